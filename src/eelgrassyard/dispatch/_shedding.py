"""Load shedding of a pool: which waiting jobs go behind the others, and which are refused early.

The load that this answers is described in :mod:`._overload`, :mod:`._kind_shares`,
:mod:`._job_value` and :mod:`._retry_hints`, which hold the rules; this module applies them to the
pool's queues, once a tick and only while something waits.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import islice

from .._speeds import class_speed
from ._job_value import Prospect, job_value
from ._jobs import Outcome
from ._kind_shares import ShareClass
from ._last_offer import LastOffers
from ._overload import ESTIMATE_ERROR, Eviction, PlannedJob, Room, select_evictions
from ._placement import MAX_MISSES
from ._pool_state import round_s
from ._retry_hints import ReturnSchedule
from ._tasks import Phase, PoolJob, Task
from ._waiting import QueueClass, WaitingTasks, queue_class
from ._workers import OPTIMISTIC_FACTOR, Worker, WorkerState, choose_worker

PLAN_INTERVAL_S = 0.019
"""Least time between two plans; a little less than a tick of 20 ms, so that none is left out."""

MAX_PLANNED_TASKS = 150
"""Tasks of one service in a plan. What is behind them is planned later; most of a longer queue is
late already."""

TASKS_PER_TICK = 75
"""Tasks for each of which a plan is made a tick later. A plan takes a few milliseconds then, and a
leader may have 0.4 of a core."""

ORPHAN_S = 0.3
"""Time in which runs of an earlier leader are adopted or stopped."""

RejectedJob = Eviction[PoolJob]


class LoadShedding(LastOffers):
    """Defers jobs that are expected to be late, and refuses those that cannot be of use."""

    def _refuse_for_lack_of_room(self, now: float, pool_job: PoolJob, reason: str) -> None:
        """Refuse a job that has not begun, since there is no room for it in time, unless another
        domain may have a place for it."""
        if self._offer_before_refusal(now, pool_job):
            return
        retry_s = self._retry_after_s(now, pool_job)
        self._finish(now, pool_job, Outcome.NOT_RUN, reason, not_run_retry_s=retry_s)

    def _count_accepted(self, now: float, pool_job: PoolJob) -> None:
        """Count the work of a job that has begun, once."""
        if not pool_job.is_accepted:
            pool_job.is_accepted = True
            self.shares.accepted(now, pool_job.job.kind, pool_job.work)

    def _keep_late(self, now: float, pool_job: PoolJob) -> None:
        """Keep a job whose latest start has passed behind the others while an answer can still be
        of use. On a congested link late starts would make other jobs late as well, and an evacuated
        domain starts nothing, so there it is refused."""
        no_late_starts = self.evacuated or self.timing.is_congested()
        if no_late_starts or now >= self._late_start_by(pool_job):
            self._refuse_for_lack_of_room(now, pool_job, "no free worker in time")
        elif not pool_job.is_late and not self._offer_before_refusal(now, pool_job):
            pool_job.is_late = True
            self._count("jobs_kept_late")
            self._unordered_services.add(pool_job.job.service)

    def _reorder_late(self) -> None:
        """Move the tasks of jobs that have become late behind the others, once for all of them."""
        for service in self._unordered_services:
            self._waiting_by_service[service].reorder()
        self._unordered_services.clear()

    def _shed_load(self, now: float) -> None:
        """Start late jobs on places that nothing else can use, and plan the queues."""
        if now < self._next_plan_at or self.evacuated or self.timing.is_congested():
            return
        planned = min(
            MAX_PLANNED_TASKS, max(map(len, self._waiting_by_service.values()), default=0)
        )
        self._next_plan_at = now + PLAN_INTERVAL_S * (1 + planned // TASKS_PER_TICK)
        for service, waiting in list(self._waiting_by_service.items()):
            if len(waiting):
                self._start_late_jobs(now, service, waiting)
            if len(waiting):
                self._plan_queue(now, service, waiting)

    def _start_late_jobs(self, now: float, service: str, waiting: WaitingTasks) -> None:
        tried = 0
        late: dict[str, PoolJob] = {}
        for task in waiting:
            if queue_class(task.pool_job) is not QueueClass.BEHIND:
                # The placement pass has tried this many; the others might use the places.
                tried += not self._must_wait(now, task)
                if tried >= MAX_MISSES:
                    return
            elif task.pool_job.is_late:
                late.setdefault(task.pool_job.job.id, task.pool_job)
        if not late or not self._available_workers(now, service, least_cpu=waiting.least_cpu):
            return
        misses = 0
        for pool_job in late.values():
            if not self._start_late(now, pool_job):
                misses += 1
                if misses >= MAX_MISSES:
                    return

    def _plan_queue(self, now: float, service: str, waiting: WaitingTasks) -> None:
        on_time, late = self._planned_jobs(waiting)
        if not on_time and not late:
            return
        room = Room(places=self._expected_places(now, service, waiting))
        # A deferral is undone by the next plan, so it expects longer waits than predicted; a
        # rejection is final, and expects shorter ones.
        scarcity_of = self._scarcity_at(now)
        deferred = {
            eviction.job.key.job.id: eviction
            for eviction in select_evictions(
                on_time, room, now=now, error=-ESTIMATE_ERROR, scarcity_of=scarcity_of
            )
        }
        for job in on_time:
            pool_job = job.key
            pool_job.is_deferred = pool_job.job.id in deferred
            if pool_job.is_deferred:
                late.append(self._planned_late(job))
        waiting.reorder()
        late.sort(key=lambda job: job.latest_start)
        rejected = select_evictions(
            late, room, now=now, error=ESTIMATE_ERROR, scarcity_of=scarcity_of
        )
        self._reject(now, service, rejected)
        for job in (*on_time, *late):
            job.key.is_planned = True

    def _reject(self, now: float, service: str, rejected: list[RejectedJob]) -> None:
        workers = self._available_workers(now, service)
        for eviction in rejected:
            pool_job = eviction.job.key
            if self._may_start_now(now, pool_job, workers) or self._peer_has_room(now, pool_job):
                continue
            at_once = not pool_job.is_planned
            self._count("jobs_rejected_at_once" if at_once else "jobs_evicted")
            self.note(
                "job_evicted",
                job=pool_job.job.id,
                kind=pool_job.job.kind,
                value=round_s(eviction.value),
                predicted_start_s=round_s(eviction.start - now),
                latest_start_s=round_s(eviction.job.latest_start - now),
                at_once=at_once,
                evictions=len(rejected),
            )
            self._refuse_for_lack_of_room(now, pool_job, "no worker is expected in time")

    def _scarcity_at(self, now: float) -> Callable[[ShareClass, float, float], float]:
        def scarcity_of(share: ShareClass, work: float, horizon_s: float) -> float:
            return self.shares.scarcity_of(now, share, planned_work=work, horizon_s=horizon_s)

        return scarcity_of

    def _planned_jobs(
        self, waiting: WaitingTasks
    ) -> tuple[list[PlannedJob[PoolJob]], list[PlannedJob[PoolJob]]]:
        """Jobs of a queue that can be on time, or have begun, and those that can only be late, each
        in the order of their latest starts."""
        count_by_job: dict[str, int] = {}
        jobs: dict[str, tuple[PoolJob, float, int]] = {}
        tasks = list(islice((t for t in waiting if t.phase is Phase.WAITING), MAX_PLANNED_TASKS))
        usual_cpu = max(1.0, sum(task.step.cpu for task in tasks) / max(1, len(tasks)))
        for task in tasks:
            job_id = task.pool_job.job.id
            count_by_job[job_id] = count_by_job.get(job_id, 0) + 1
            jobs.setdefault(
                job_id, (task.pool_job, task.step.estimate_s, round(task.step.cpu / usual_cpu))
            )
        on_time: list[PlannedJob[PoolJob]] = []
        late: list[PlannedJob[PoolJob]] = []
        for job_id, (pool_job, run_s, places) in jobs.items():
            job = PlannedJob(
                key=pool_job,
                share=self.shares.share_class(pool_job.job.kind, pool_job.work),
                latest_start=self._start_by(pool_job),
                run_s=run_s,
                fastest=min(1.0, self.fastest_slowness(pool_job.job.service)),
                tasks=count_by_job[job_id],
                places=max(1, places),
                work=pool_job.work,
                weight=job_value(priority=pool_job.job.priority, prospect=Prospect.ON_TIME),
                is_fixed=pool_job.started_runs > 0,
            )
            if pool_job.is_late and not job.is_fixed:
                late.append(self._planned_late(job))
            else:
                on_time.append(job)
        on_time.sort(key=lambda job: job.latest_start)
        return on_time, late

    def _planned_late(self, job: PlannedJob[PoolJob]) -> PlannedJob[PoolJob]:
        """The same job with the latest start for a late answer."""
        return PlannedJob(
            key=job.key,
            share=job.share,
            latest_start=self._late_start_by(job.key),
            run_s=job.run_s,
            fastest=job.fastest,
            tasks=job.tasks,
            places=job.places,
            work=job.work,
            weight=job_value(priority=job.key.job.priority, prospect=Prospect.LATE),
        )

    def _expected_places(
        self, now: float, service: str, waiting: WaitingTasks
    ) -> list[tuple[float, float]]:
        """Places of the usual size of a waiting task: when each is free, and how slow it is."""
        tasks = list(waiting)[:MAX_PLANNED_TASKS]
        cpu = max(1.0, sum(task.step.cpu for task in tasks) / len(tasks))
        memory_mb = sum(task.step.memory_mb for task in tasks) / len(tasks)
        places: list[tuple[float, float]] = []
        for worker in self.workers_by_service.get(service, ()):
            if worker.state in (WorkerState.SILENT, WorkerState.DOWN) or worker.record.draining:
                continue
            free_at = max(now, self.starts_after, worker.backoff_until, worker.ejected_until)
            count = int(worker.record.cpu / cpu)
            if memory_mb > 0.0:
                count = min(count, int(worker.record.memory_mb / memory_mb))
            if worker.on_trial:
                count = 1
            times = self._free_times(now, worker, free_at, cpu, count)
            places += [(at, worker.slowness) for at in times]
        return places

    def _free_times(
        self, now: float, worker: Worker, free_at: float, cpu: float, count: int
    ) -> list[float]:
        """Times at which the places of a worker become free."""
        ends: list[tuple[float, float]] = [
            (max(free_at, now + self.run_left_s(now, task, worker)), task.step.cpu)
            for task in self.active_tasks(worker)
        ]
        ends += [(free_at + ORPHAN_S, cpu) for _ in worker.orphan_run_by_task]
        ends.sort()
        free_cpu = worker.record.cpu - sum(cpu for _, cpu in ends)
        times = [free_at] * max(0, min(count, int(free_cpu / cpu)))
        for end, freed in ends:
            free_cpu += freed
            while len(times) < min(count, int(free_cpu / cpu)):
                times.append(end)
        return times

    def _may_start_now(self, now: float, pool_job: PoolJob, workers: list[Worker]) -> bool:
        """Tell whether a free worker could end a waiting task of a job in time to be of use."""
        useful_s = pool_job.late_at - now - self.timing.delay_s()
        return any(
            choose_worker(workers, self._requirements(now, task, useful_s=useful_s)) is not None
            for task in self._steps_waiting(pool_job)
        )

    @staticmethod
    def _steps_waiting(pool_job: PoolJob) -> list[Task]:
        """One waiting task of each step."""
        task_by_step: dict[int, Task] = {}
        for task in pool_job.task_by_id.values():
            if task.phase is Phase.WAITING:
                task_by_step.setdefault(task.id.step, task)
        return list(task_by_step.values())

    def _peer_has_room(self, now: float, pool_job: PoolJob) -> bool:
        """Tell whether another domain reports a free worker that could end a job on time."""
        if not self.lending_enabled:
            return False
        service = pool_job.job.service
        for task in self._steps_waiting(pool_job):
            useful_s = pool_job.due_at - now
            max_slowness = useful_s / max(0.001, task.step.estimate_s * OPTIMISTIC_FACTOR)
            for pools in self.peers.room_by_service.values():
                for number, room in pools.get(service, {}).items():
                    if 1.0 / class_speed(number) <= max_slowness and (
                        max(room, default=0) >= task.step.cpu
                    ):
                        return True
        return False

    def _retry_after_s(self, now: float, pool_job: PoolJob) -> float:
        """Time after which the capacity that the queue leaves should be there for a refused job."""
        service = pool_job.job.service
        schedule = self._returns_by_service.setdefault(service, ReturnSchedule())
        capacity = math.fsum(
            worker.record.cpu / 1000.0 / worker.slowness
            for worker in self.workers_by_service.get(service, ())
            if worker.state is WorkerState.READY and not worker.record.draining
        )
        value = job_value(priority=pool_job.job.priority, prospect=Prospect.ON_TIME)
        return schedule.retry_after_s(
            now,
            value=value * self.shares.scarcity(now, pool_job.job.kind, pool_job.work),
            work=pool_job.work,
            capacity=capacity,
            offered_per_s=self.shares.offered_per_s(now),
        )
