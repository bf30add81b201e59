"""Limits on the starts of a pool's jobs, and the loans of waiting tasks to other pools."""

from __future__ import annotations

import math

from ._actions import SendPeerLeader
from ._messages import Lend
from ._pool_state import PoolState
from ._run_numbers import next_lent_run
from ._shortage import (
    FORECAST_INTERVAL_S,
    QueuedTask,
    QueueForecast,
    forecast_queue,
)
from ._tasks import Phase, PoolJob, Task
from ._workers import OPTIMISTIC_FACTOR

LEND_TRANSIT_S = 0.004
"""Time that a task takes to another domain, and its end back, beyond a local run: one to three
milliseconds each way between domains."""

MIN_LENT_SIZE = 0.6
"""Least room that is reported to other domains, as a multiple of the typical size of a task."""


class TaskLending(PoolState):
    """Lends waiting tasks to pools that report room for them."""

    def _start_by(self, pool_job: PoolJob) -> float:
        """Latest start of a job that can still be answered on time."""
        return pool_job.due_at - self._shortest_s(pool_job) - self.timing.delay_s()

    def _late_start_by(self, pool_job: PoolJob) -> float:
        """Latest start of a job whose answer can still be of use, although late."""
        fastest_s = pool_job.critical_path_s * self.fastest_slowness(pool_job.job.service)
        return pool_job.late_at - fastest_s - self.timing.delay_s()

    def _shortest_s(self, pool_job: PoolJob) -> float:
        """Declared seconds of a job on the fastest worker."""
        return pool_job.critical_path_s * min(1.0, self.fastest_slowness(pool_job.job.service))

    def _useful_s(self, now: float, pool_job: PoolJob, *, begun: bool) -> float:
        """Seconds in which a run that starts now must end. A job that has not begun starts only
        where it can meet its objective; one that has goes on as long as its caller waits."""
        limit = pool_job.caller_deadline if begun else pool_job.due_at
        return limit - now - self.timing.delay_s()

    def _may_lend(self, now: float, service: str) -> bool:
        """Tell whether lending is enabled and another pool reports free capacity for a service."""
        return self.lending_enabled and self.peers.has_room(now, service)

    def _max_lent_slowness(self, now: float, task: Task, *, begun: bool) -> float:
        """Greatest slowness of a worker of another pool that would end a task in time."""
        useful_s = self._useful_s(now, task.pool_job, begun=begun) - LEND_TRANSIT_S
        return useful_s / max(0.001, task.step.estimate_s * OPTIMISTIC_FACTOR)

    def _lend_tasks(self, now: float, service: str, tasks: list[Task]) -> list[Task]:
        """Lend tasks to pools with workers that are free and fast enough, first those that would
        start too late here; returns those that were lent."""
        lent: list[Task] = []
        groups: dict[tuple[str, str, int], list[Task]] = {}
        begun_by_job: dict[str, bool] = {}
        if not tasks or not self._may_lend(now, service):
            return lent
        if len(tasks) > 1:
            late = self._forecast(now, service).late_tasks
            tasks = sorted(tasks, key=lambda task: task.id not in late)
        for task in tasks:
            if not self._may_lend(now, service):
                break
            if task.phase is not Phase.WAITING or task.pool_job.is_lent:
                continue
            if self.crashes.count(task.id):
                continue
            begun = begun_by_job.setdefault(task.id.job, task.pool_job.started_runs > 0)
            max_slowness = self._max_lent_slowness(now, task, begun=begun)
            excluded = task.avoid | task.refusing_domains(now)
            domain = self.peers.take_room(
                now, service, cpu=task.step.cpu, max_slowness=max_slowness, excluded=excluded
            )
            if domain is None:
                continue
            self._mark_lent(now, task, domain)
            lent.append(task)
            groups.setdefault((domain, task.id.job, task.id.step), []).append(task)
        for (domain, job_id, _), members in groups.items():
            self._request_loan(now, domain, members, begun=begun_by_job[job_id])
        return lent

    def _mark_lent(self, now: float, task: Task, domain: str) -> None:
        """Record that a waiting task is lent; the caller removes it from the queue."""
        task.phase = Phase.LENT
        task.run = next_lent_run(task.run)
        task.location = domain
        task.ordered_at = now
        task.pool_job.waiting = max(0, task.pool_job.waiting - 1)
        task.pool_job.started_runs += 1

    def _request_loan(self, now: float, domain: str, tasks: list[Task], *, begun: bool) -> None:
        """Ask another pool to run tasks of one step."""
        pool_job, step = tasks[0].pool_job, tasks[0].id.step
        self.recent_lending.record(now, pool_job.job.service)
        self.note("tasks_lent", job=pool_job.job.id, step=step, count=len(tasks), to=domain)
        self.actions.append(
            SendPeerLeader(
                domain=domain,
                message=Lend(
                    job=pool_job.job,
                    step=step,
                    tasks=tuple((task.id.index, task.run) for task in tasks),
                    waited_s=now - pool_job.arrived_at,
                    caller_waits_s=pool_job.caller_deadline - now,
                    begun=begun,
                ),
            )
        )

    def _forecast(self, now: float, service: str) -> QueueForecast:
        """Forecast of a service's queue on the workers of this pool."""
        forecast = self._forecast_by_service.get(service)
        if forecast is None or not 0.0 <= now - forecast.made_at < FORECAST_INTERVAL_S:
            tasks = [
                task
                for task in self._waiting_by_service.get(service, ())
                if task.phase is Phase.WAITING
            ]
            forecast = forecast_queue(
                now,
                self._places_free_in_s(now, service),
                [
                    QueuedTask(
                        id=task.id, run_s=task.step.estimate_s, start_by=self._latest_start(task)
                    )
                    for task in tasks
                ],
            )
            self._forecast_by_service[service] = forecast
        return forecast

    def _latest_start(self, task: Task) -> float:
        """Latest start of a waiting task whose result is of use."""
        pool_job = task.pool_job
        if not pool_job.started_runs:
            return self._start_by(pool_job)
        run_s = task.step.estimate_s * min(1.0, self.fastest_slowness(pool_job.job.service))
        return pool_job.caller_deadline - run_s - self.timing.delay_s()

    def _places_free_in_s(self, now: float, service: str) -> list[float]:
        """Seconds until each place of typical size is free, on the workers that are in use."""
        places: list[float] = []
        if self.evacuated or now < self.starts_after:
            return places
        typical_cpu = self._typical_cpu_by_service.get(service, 1000.0)
        for worker in self.workers_by_service.get(service, ()):
            if not worker.is_usable(now):
                continue
            # As in the report of room, a little less than the typical size counts as a place.
            free = worker.free_cpu(math.ceil(typical_cpu)) / typical_cpu
            places += [0.0] * max(0, int(free + 1.0 - MIN_LENT_SIZE))
            for task in self.active_tasks(worker):
                count = max(1, round(task.step.cpu / typical_cpu))
                places += [self.run_left_s(now, task, worker)] * count
        return places
