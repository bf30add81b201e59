"""Reports of a pool on its room, for the leaders of the other domains."""

from __future__ import annotations

import math

from ._borrowing import Borrowing
from ._lending import MIN_LENT_SIZE
from ._peer_pools import RoomByClass, summarize_room
from ._pool_state import round_s
from ._shortage import MAX_FORECAST_S


class RoomReports(Borrowing):
    """Reports the room of each service, and the forecast wait where there is none."""

    def room_by_service(self, now: float) -> dict[str, RoomByClass]:
        """Room on single workers, by service and speed class; none for a service whose own tasks
        wait or were lent just before."""
        report: dict[str, RoomByClass] = {}
        if not self.lending_enabled or self.evacuated:
            return report
        for service, workers in self.workers_by_service.items():
            if self._waiting_by_service.get(service) or self.recent_lending.left_s(now, service):
                continue
            typical_cpu = self._typical_cpu_by_service.get(service, 1000.0)
            room = [
                (worker.speed_class, free)
                for worker in workers
                if (free := worker.free_cpu(math.ceil(typical_cpu))) >= MIN_LENT_SIZE * typical_cpu
                and worker.is_usable(now)
            ]
            if room:
                report[service] = summarize_room(room)
        return report

    def wait_by_service(self, now: float) -> dict[str, float]:
        """Seconds until a place of typical size is free for a task of another pool, by service;
        only services without room."""
        report: dict[str, float] = {}
        if not self.lending_enabled or self.evacuated:
            return report
        for service in self.workers_by_service:
            wait_s = max(
                self._forecast(now, service).wait_s, self.recent_lending.left_s(now, service)
            )
            if wait_s > 0.0:
                report[service] = round_s(min(wait_s, MAX_FORECAST_S))
        return report
