"""Placement of a pool's waiting tasks on its workers, or on other pools."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from ._actions import (
    Reply,
    StartRun,
)
from ._jobs import Job
from ._leases import MAX_LEASE_S, MIN_START_LEASE_S
from ._lending import TaskLending
from ._messages import CarryStart
from ._pool_state import round_s
from ._run_numbers import next_own_run
from ._tasks import Phase, PoolJob, Task
from ._waiting import WaitingTasks
from ._workers import Exclusion, TaskRequirements, Worker, choose_worker

MAX_MISSES = 6
"""Tasks without a suitable worker after which a placement pass tries no more workers; task sizes
within a service are alike, so the next ones would not fit either."""


class TaskPlacement(TaskLending):
    """Starts waiting tasks on workers with free capacity, and lends the others to pools that
    have some."""

    def _fits_any_worker(self, job: Job, *, at_peak: bool = False) -> bool:
        records = [r for r in self._record_by_id.values() if r.service == job.service]
        return not records or all(
            any(record.can_fit(step, at_peak=at_peak) for record in records) for step in job.steps
        )

    def _enqueue(self, now: float, task: Task) -> None:
        service = task.pool_job.job.service
        task.phase = Phase.WAITING
        task.pool_job.waiting += 1
        waiting = self._waiting_by_service.setdefault(service, WaitingTasks())
        waiting.add(task, start_by=self._start_by(task.pool_job))

    def _place_all(self, now: float) -> None:
        for service in list(self._waiting_by_service):
            self._place(now, service)

    def _place(self, now: float, service: str) -> None:
        """Start a service's waiting tasks while there is capacity, here or in other pools."""
        waiting = self._waiting_by_service.get(service)
        if not waiting:
            return
        workers = self._available_workers(now, service, least_cpu=waiting.least_cpu)
        lendable = self._may_lend(now, service)
        if not workers and not lendable:
            return
        started: set[int] = set()
        unplaced: list[Task] = []
        misses = 0
        for task in waiting:
            if task.phase is not Phase.WAITING:
                started.add(id(task))
            elif misses >= MAX_MISSES and not lendable:
                unplaced.append(task)
            elif self._must_wait(now, task):
                continue
            elif misses < MAX_MISSES and self._try_start(now, task, workers):
                started.add(id(task))
            else:
                misses += 1
                unplaced.append(task)
        for task in self._lend_tasks(now, service, unplaced):
            started.add(id(task))
        if started:
            waiting.remove(started)
        waiting.prioritize([task for task in unplaced if task.pool_job.started_runs > 0])

    def _must_wait(self, now: float, task: Task) -> bool:
        if now < task.not_before or self.may_be_running(task.id):
            return True
        return self._lease_limit_of(task.pool_job) < now + MIN_START_LEASE_S

    def _available_workers(self, now: float, service: str, *, least_cpu: int = 0) -> list[Worker]:
        """Workers that may get a task now and have ``least_cpu`` free."""
        if self._starts_held(now):
            return []
        workers = self.workers_by_service.get(service, [])
        self._limit_ejections(now, workers)
        return self._select_available(now, workers, least_cpu=least_cpu)

    def _starts_held(self, now: float) -> str:
        """Reason for which nothing may start in this domain now, or empty."""
        if self.evacuated:
            return "the domain is being evacuated"
        if now < self.starts_after:
            return "a new leader waits for the registry"
        return ""

    def _select_available(
        self, now: float, workers: Iterable[Worker], *, least_cpu: int
    ) -> list[Worker]:
        limits = self.lease_limits()
        return [
            w
            for w in workers
            if w.free_cpu(least_cpu) >= least_cpu and self._obstacle(now, w, limits) is None
        ]

    def _obstacle(
        self, now: float, worker: Worker, lease_limits: Mapping[str, float]
    ) -> Exclusion | None:
        """Rule by which a worker may get no task at all now, or None."""
        obstacle = worker.obstacle(now)
        if obstacle is not None:
            return obstacle
        if lease_limits.get(worker.record.id, math.inf) < now + MIN_START_LEASE_S:
            return Exclusion.LEASE_LIMIT
        return None

    def _try_start(
        self,
        now: float,
        task: Task,
        workers: Iterable[Worker],
        *,
        useful_s: float | None = None,
    ) -> bool:
        """Start a task on the best of the workers, if one has capacity and can end it in time, and
        no other run of the task may be in progress.

        :param useful_s: seconds in which the run must end; those of :meth:`_useful_s` if left out.
        """
        if self._must_wait(now, task):
            return False
        limit = self._lease_limit_of(task.pool_job)
        if limit < now + MAX_LEASE_S:
            # A run may live as long as the leases that its worker has already.
            workers = [w for w in workers if w.clock.leases_expire_at <= limit]
        worker = self._choose(task, workers, self._requirements(now, task, useful_s=useful_s))
        if worker is None:
            return False
        self._start(now, task, worker)
        return True

    def _requirements(
        self, now: float, task: Task, *, useful_s: float | None = None
    ) -> TaskRequirements:
        """What a task requires of the worker that it starts on now."""
        pool_job = task.pool_job
        if useful_s is None:
            useful_s = self._useful_s(now, pool_job, begun=pool_job.started_runs > 0)
        step = task.step
        count_by_worker: Counter[str] | None = None
        racks: set[str] = set()
        if step.max_per_worker or step.same_rack:
            # A run that is being stopped is on its worker until the worker lists its end.
            count_by_worker = self.stops.count_by_worker(task.id.job, task.id.step)
            for other in pool_job.tasks_of(task.id.step):
                if other.phase in (Phase.ORDERED, Phase.RUNNING):
                    count_by_worker[other.location] += 1
                    racks.add(self.worker_by_id[other.location].record.rack)
            if not step.max_per_worker:
                count_by_worker = None
        return TaskRequirements(
            step=step,
            now=now,
            budget_s=pool_job.due_at - now - self.timing.delay_s(),
            limit_s=useful_s,
            avoid=task.avoid,
            racks=racks,
            count_by_worker=count_by_worker,
            far_factor=self._far_factor,
        )

    def _choose(
        self, task: Task, workers: Iterable[Worker], requirements: TaskRequirements
    ) -> Worker | None:
        """Select the worker for a task, or None."""
        candidate_lists = [workers]
        if self.crashes.count(task.id):
            # Alone, it cannot take other tasks down, and shows whether it is the cause.
            workers = list(workers)
            idle = [w for w in workers if not w.run_by_task and not w.orphan_run_by_task]
            candidate_lists = [idle, workers]
        for candidates in candidate_lists:
            worker = choose_worker(candidates, requirements)
            if worker is not None and task.id not in worker.run_by_task:
                return worker
        return None

    def _start_late(self, now: float, pool_job: PoolJob) -> bool:
        """Start a job that will miss its objective, if there is capacity for all of its waiting
        tasks; a late answer is worth more to the caller than none, until it is of no use. While the
        host's link is congested such starts would make other jobs late as well."""
        if not self._may_start_late(now, pool_job):
            return False
        tasks = [task for task in pool_job.task_by_id.values() if task.phase is Phase.WAITING]
        workers = self._available_workers(now, pool_job.job.service)
        useful_s = pool_job.late_at - now - self.timing.delay_s()
        started = [task for task in tasks if self._try_start(now, task, workers, useful_s=useful_s)]
        self._waiting_by_service[pool_job.job.service].remove({id(task) for task in started})
        return bool(started)

    def _may_start_late(self, now: float, pool_job: PoolJob) -> bool:
        """Tell whether there is capacity for all waiting tasks of a job that will be late."""
        if self._starts_held(now) or self.timing.is_congested():
            return False
        tasks = [task for task in pool_job.task_by_id.values() if task.phase is Phase.WAITING]
        limit_s = pool_job.late_at - now
        slots = 0
        for worker in self.workers_by_service.get(pool_job.job.service, ()):
            run_s = tasks[0].step.estimate_s * worker.slowness
            if worker.is_usable(now) and run_s <= limit_s:
                slots += worker.free_slots(tasks[0].step)
        return slots >= len(tasks)

    def _limit_ejections(self, now: float, workers: list[Worker]) -> None:
        """Restore all ejected workers of a service if they are more than half of it."""
        ejected = [w for w in workers if now < w.ejected_until or w.on_trial]
        if len(ejected) * 2 > len(workers):
            for worker in ejected:
                worker.ejected_until = 0.0
                worker.on_trial = False

    def _start(self, now: float, task: Task, worker: Worker) -> None:
        pool_job = task.pool_job
        if task.phase is Phase.WAITING:
            pool_job.waiting = max(0, pool_job.waiting - 1)
        task.phase = Phase.ORDERED
        task.run = task.run + 1 if pool_job.is_lent else next_own_run(task.run)
        task.location = worker.record.id
        task.ordered_at = now
        task.expected_s = task.step.estimate_s * worker.slowness
        task.percent = task.adopted_percent = 0
        pool_job.started_runs += 1
        worker.reserve(task.step, task.id, task.run)
        if self.crashes.count(task.id):
            worker.suspects.add(task.id)
        self._add_run(task)
        typical_cpu = self._typical_cpu_by_service.get(pool_job.job.service, float(task.step.cpu))
        self._typical_cpu_by_service[pool_job.job.service] = max(
            1.0, typical_cpu + 0.02 * (task.step.cpu - typical_cpu)
        )
        order = StartRun(
            worker_id=worker.record.id,
            task=task.id,
            run=task.run,
            payload=pool_job.job.payload,
            deadline_s=worker.clock.grant_lease(now, limit=self._start_limit(worker, task)),
            fence=self.epoch,
            timeout_s=self.timing.timeout_s(),
            life=worker.life,
        )
        carried = self.carriers.should_carry(now, pool_job.requester, order.payload)
        if carried:
            self._have_carried(now, pool_job.requester, order)
        else:
            self.actions.append(order)
        self.note(
            "run_ordered",
            routine=True,
            task=str(task.id),
            run=task.run,
            worker=worker.record.id,
            life=order.life,
            lease_ends_s=round_s(worker.clock.leases_expire_at - now),
            carried=carried,
            slowness=round_s(worker.slowness),
            left_s=round_s(pool_job.due_at - now),
        )
        self._note_restart(now, task)
        self.poller.poll_now(now, worker)

    def _note_restart(self, now: float, task: Task) -> None:
        """Report on which belief about its earlier run a task starts again."""
        earlier, task.earlier_run = task.earlier_run, None
        if earlier is None:
            return
        self.note(
            "task_restarted",
            task=str(task.id),
            run=task.run,
            worker=task.location,
            earlier_run=earlier.run,
            earlier_worker=earlier.worker_id,
            lease_s=None if earlier.lease_s is None else round_s(earlier.lease_s),
            given_up_s=round_s(now - earlier.given_up_at),
            reason=earlier.reason,
            led_s=round_s(now - self._led_since),
        )

    def _start_limit(self, worker: Worker, task: Task) -> float:
        """Time by which the lease of a start must have ended."""
        return min(self.lease_limit_on(worker), self._lease_limit_of(task.pool_job))

    def _have_carried(self, now: float, requester: str, order: StartRun) -> None:
        """Have the host that submitted a job send the start of one of its tasks."""
        self._count("starts_carried")
        self.carriers.carried(
            now,
            requester,
            (order.worker_id, order.task, order.run),
            timeout_s=order.timeout_s,
        )
        self.actions.append(
            Reply(
                requester=requester,
                message=CarryStart(
                    job_id=order.task.job,
                    step=order.task.step,
                    index=order.task.index,
                    run=order.run,
                    worker_id=order.worker_id,
                    deadline_s=order.deadline_s,
                    fence=order.fence,
                    timeout_s=order.timeout_s,
                    life=order.life,
                ),
            )
        )
