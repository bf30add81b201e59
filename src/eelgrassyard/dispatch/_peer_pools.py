"""Free capacity of the pools of other failure domains, by speed and size.

The load that this answers is a burst in one domain, or of long or large tasks: a pool whose own
workers are full lends tasks, but only where a worker has room for the task and is fast enough. A
pool that is offered another task refuses it, and meanwhile the task misses the room that becomes
free at home.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from .._speeds import class_speed
from ._links import REMOTE_PING_INTERVAL_S

RoomByClass = dict[int, tuple[int, ...]]
"""Free thousandths of a core of single workers, by speed class of the worker."""

MAX_REPORTED_WORKERS = 64
"""Workers in the report on one service; each report crosses domains six times a second. A domain
whose callers are joined by those of another one lends several hundred tasks a second, and lends
nothing between two reports once the reported room is used up."""

MAX_REPORT_AGE_S = 1.5 * REMOTE_PING_INTERVAL_S
"""Age up to which a report is relied on. An older one shows that a pong is missing: the other
leader may be lost, and what is lent to a lost leader cannot start anywhere for about 1.5 s. The
half interval is for timers of 20 ms and pauses of a process."""

REFUSAL_WAIT_S = 0.05
"""Time for which a refusal waits for the answer to the last offer, and after an offer to a domain
without reported room until the next one. A round trip between domains takes about 3 ms; the rest
is for pauses of the other leader's process."""


def summarize_room(room: Iterable[tuple[int, int]]) -> RoomByClass:
    """Report on the workers with the most room.

    :param room: speed class and free thousandths of a core of each worker.
    """
    largest = sorted(room, key=lambda item: -item[1])[:MAX_REPORTED_WORKERS]
    report: RoomByClass = {}
    for number, cpu in largest:
        report[number] = (*report.get(number, ()), cpu)
    return report


def count_places(
    room_by_class: Mapping[int, tuple[int, ...]], cpu: int, max_slowness: float
) -> int:
    """Number of tasks that find room on workers that are fast enough.

    :param cpu: thousandths of a core that one task takes.
    :param max_slowness: greatest run time that is of use, as a multiple of the declared one.
    """
    return sum(
        free // max(1, cpu)
        for number, room in room_by_class.items()
        if 1.0 / class_speed(number) <= max_slowness
        for free in room
    )


@dataclass(slots=True, kw_only=True)
class PeerPools:
    """What the leaders of the other domains last reported, less what was lent since.

    :param room_by_service: by domain, then by service.
    :param free_at_by_service: time from which a task may be offered there without reported room,
        since a place should be free by then; by domain, then by service.
    :param reported_at: time of the last report of each domain.
    """

    room_by_service: dict[str, dict[str, RoomByClass]] = field(default_factory=dict)
    free_at_by_service: dict[str, dict[str, float]] = field(default_factory=dict)
    reported_at: dict[str, float] = field(default_factory=dict)

    def update(
        self,
        now: float,
        domain: str,
        room_by_service: Mapping[str, RoomByClass],
        wait_by_service: Mapping[str, float],
    ) -> None:
        """Replace the free capacity of a domain by a new report.

        :param wait_by_service: seconds until a place is free, where there is no room.
        """
        wait_by_service = {**dict.fromkeys(room_by_service, 0.0), **wait_by_service}
        self.reported_at[domain] = now
        self.room_by_service[domain] = {
            service: dict(room) for service, room in room_by_service.items()
        }
        self.free_at_by_service[domain] = {
            service: now + wait_s for service, wait_s in wait_by_service.items()
        }

    def remove(self, domain: str) -> None:
        """Forget a domain whose leader is not reachable."""
        self.reported_at.pop(domain, None)
        self.room_by_service.pop(domain, None)
        self.free_at_by_service.pop(domain, None)

    def mark_full(self, now: float, domain: str, service: str, max_slowness: float) -> None:
        """Record that a domain has refused a task: workers that would have been fast enough for it
        have no room. Slower ones may have; the next report says more.

        :param max_slowness: greatest run time that is of use to the task, as a multiple of the
            declared one.
        """
        pools = self.room_by_service.get(domain, {})
        if service in pools:
            pools[service] = {
                number: room
                for number, room in pools[service].items()
                if 1.0 / class_speed(number) > max_slowness
            }
        if self.wait_s(now, domain, service) <= REFUSAL_WAIT_S:
            self._expect_answer(now, domain, service)

    def reporting_domains(self, now: float) -> list[str]:
        """Domains whose last report is recent enough to be relied on."""
        return [d for d, at in self.reported_at.items() if now - at <= MAX_REPORT_AGE_S]

    def room(self, domain: str, service: str) -> RoomByClass:
        """Room that a domain has left for a service."""
        return self.room_by_service.get(domain, {}).get(service, {})

    def wait_s(self, now: float, domain: str, service: str) -> float:
        """Seconds until a place should be free in a domain, negative after that time; infinite if
        that is not known."""
        return self.free_at_by_service.get(domain, {}).get(service, math.inf) - now

    def has_room(self, now: float, service: str) -> bool:
        """Tell whether any domain reports free capacity for a service."""
        return any(
            any(free > 0 for room in self.room(domain, service).values() for free in room)
            for domain in self.reporting_domains(now)
        )

    def take_room(
        self, now: float, service: str, *, cpu: int, max_slowness: float, excluded: Container[str]
    ) -> str | None:
        """Reserve room for one task, in the domain with the most room of use to it.

        :param cpu: thousandths of a core that the task takes.
        :param max_slowness: greatest run time that is of use, as a multiple of the declared one.
        :param excluded: domains that must not get the task.
        :returns: the domain, or None if no worker has room and is fast enough.
        """
        best = self.best_domain(now, service, cpu=cpu, max_slowness=max_slowness, excluded=excluded)
        if best is not None:
            self._reserve(self.room_by_service[best][service], cpu, max_slowness)
        return best

    def best_domain(
        self, now: float, service: str, *, cpu: int, max_slowness: float, excluded: Container[str]
    ) -> str | None:
        """The domain with the most room of use to a task, or None."""
        best: str | None = None
        most = 0
        for domain in self.reporting_domains(now):
            if domain in excluded:
                continue
            count = count_places(self.room(domain, service), cpu, max_slowness)
            if count > most:
                best, most = domain, count
        return best

    def place_freed(self, now: float, domain: str, service: str) -> None:
        """Record that a task which was lent to a domain has ended there: if the domain was not
        short of places, its place is free."""
        if self.wait_s(now, domain, service) <= REFUSAL_WAIT_S:
            self.free_at_by_service[domain][service] = now

    def _expect_answer(self, now: float, domain: str, service: str) -> None:
        self.free_at_by_service[domain][service] = now + REFUSAL_WAIT_S

    def reserve_all(
        self, now: float, domain: str, service: str, task_cpu: Iterable[int], max_slowness: float
    ) -> None:
        """Reserve the room of a job in one domain, or the place that is expected there."""
        for cpu in task_cpu:
            room = self.room(domain, service)
            if count_places(room, cpu, max_slowness):
                self._reserve(room, cpu, max_slowness)
            else:
                self._expect_answer(now, domain, service)

    @staticmethod
    def _reserve(room_by_class: RoomByClass, cpu: int, max_slowness: float) -> None:
        """Reserve room as the other pool does: on the slowest worker that is fast enough."""
        number = max(
            number
            for number, room in room_by_class.items()
            if max(room, default=0) >= cpu and 1.0 / class_speed(number) <= max_slowness
        )
        room = sorted(room_by_class[number])
        tight = next(i for i, free in enumerate(room) if free >= cpu)
        room[tight] -= cpu
        room_by_class[number] = tuple(room)
