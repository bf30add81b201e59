"""Places the waiting tasks of a pool on its workers, or lends them to other pools."""

from __future__ import annotations

import math
from collections.abc import Iterable

from ._actions import (
    SendPeerLeader,
    StartRun,
)
from ._jobs import Job
from ._messages import Lend
from ._pool_state import PoolState, round_s
from ._tasks import Phase, PoolJob, Task
from ._waiting import WaitingTasks
from ._workers import Worker, choose_worker

MAX_MISSES = 6
"""Waiting tasks in a row that find no room before a round of placing ends; sizes within a service
are alike, so the next ones would not fit either."""


class TaskPlacement(PoolState):
    """Placement of waiting tasks."""

    def _can_ever_fit(self, job: Job) -> bool:
        records = [r for r in self._records.values() if r.service == job.service]
        return not records or all(
            any(record.could_hold(step) for record in records) for step in job.steps
        )

    def _enqueue(self, now: float, task: Task) -> None:
        service = task.owner.job.service
        task.phase = Phase.WAITING
        task.owner.waiting += 1
        waiting = self._waiting_by_service.setdefault(service, WaitingTasks())
        waiting.add(task, start_by=self._start_by(task.owner), in_front=task.owner.started_runs > 0)

    def _start_by(self, owner: PoolJob) -> float:
        """Time by which a job must start to be answered on time."""
        return owner.due - owner.job.critical_path_s() * min(
            1.0, self.fastest_slowness(owner.job.service)
        )

    def _place_all(self, now: float) -> None:
        for service in list(self._waiting_by_service):
            self._place(now, service)

    def _place(self, now: float, service: str) -> None:
        """Start waiting tasks while there is room, here or in other pools."""
        waiting = self._waiting_by_service.get(service)
        if not waiting:
            return
        workers = self._available_workers(now, service, least_cpu=waiting.least_cpu)
        lendable = self._may_lend(service)
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
        waiting.move_to_front([task for task in unplaced if task.owner.started_runs > 0])

    def _must_wait(self, now: float, task: Task) -> bool:
        return now < task.not_before or self.stops.is_stopping(task.id)

    def _available_workers(self, now: float, service: str, *, least_cpu: int = 0) -> list[Worker]:
        """Workers that may get a task now and have room for the smallest one."""
        workers = self.workers_by_service.get(service, [])
        self._limit_ejections(now, workers)
        return [w for w in workers if w.free_cpu(least_cpu) >= least_cpu and w.is_usable(now)]

    def _try_start(self, now: float, task: Task, workers: Iterable[Worker]) -> bool:
        """Start a task on one of the workers, if one has room and time for it."""
        owner = task.owner
        step = task.step
        count_by_worker: dict[str, int] | None = None
        racks: set[str] = set()
        if step.max_per_worker or step.same_rack:
            count_by_worker = {}
            for other in owner.tasks_of(task.id.step):
                if other.phase in (Phase.ORDERED, Phase.RUNNING):
                    count_by_worker[other.location] = count_by_worker.get(other.location, 0) + 1
                    racks.add(self.worker_by_id[other.location].record.rack)
            if not step.max_per_worker:
                count_by_worker = None
        worker = choose_worker(
            workers,
            step,
            now=now,
            budget_s=owner.due - now,
            # A job that has not begun starts only where it can be in time; one that has goes on.
            limit_s=(owner.gives_up_at if owner.started_runs else owner.due) - now,
            avoid=task.avoid,
            racks=racks,
            count_by_worker=count_by_worker,
            far_factor=self._far_factor,
        )
        if worker is None or task.id in worker.run_by_task:
            return False
        self._start(now, task, worker)
        return True

    def _start_late(self, now: float, owner: PoolJob) -> bool:
        """Start a job that will be late, if there is room for the whole of it; a late answer is
        worth more to the caller than none."""
        tasks = [task for task in owner.task_by_id.values() if task.phase is Phase.WAITING]
        limit_s = owner.gives_up_at - now
        slots = 0
        for worker in self.workers_by_service.get(owner.job.service, ()):
            run_s = tasks[0].step.estimate_s * worker.speed.slowness()
            if worker.is_usable(now) and run_s <= limit_s:
                slots += worker.free_slots(tasks[0].step)
        if slots < len(tasks):
            return False
        owner.started_runs += 1
        workers = self._available_workers(now, owner.job.service)
        started = [task for task in tasks if self._try_start(now, task, workers)]
        owner.started_runs -= 1
        self._waiting_by_service[owner.job.service].remove({id(task) for task in started})
        return bool(started)

    def _limit_ejections(self, now: float, workers: list[Worker]) -> None:
        """Use ejected workers after all if they are more than half of the service."""
        ejected = [w for w in workers if now < w.ejected_until or w.on_trial]
        if len(ejected) * 2 > len(workers):
            for worker in ejected:
                worker.ejected_until = 0.0
                worker.on_trial = False

    def _start(self, now: float, task: Task, worker: Worker) -> None:
        owner = task.owner
        if task.phase is Phase.WAITING:
            owner.waiting = max(0, owner.waiting - 1)
        task.phase = Phase.ORDERED
        task.run += 1
        task.location = worker.record.id
        task.ordered_at = now
        task.percent = 0
        owner.started_runs += 1
        worker.reserve(task.step, task.id, task.run)
        self._task_by_run[(worker.record.id, task.id, task.run)] = task
        typical_cpu = self._typical_cpu_by_service.get(owner.job.service, float(task.step.cpu))
        self._typical_cpu_by_service[owner.job.service] = max(
            1.0, typical_cpu + 0.02 * (task.step.cpu - typical_cpu)
        )
        self.actions.append(
            StartRun(
                worker_id=worker.record.id,
                task=task.id,
                run=task.run,
                payload=owner.job.payload,
                deadline_s=worker.clock.grant_lease(now),
                fence=self.epoch,
            )
        )
        self.note(
            "run_ordered",
            routine=True,
            task=str(task.id),
            run=task.run,
            worker=worker.record.id,
            slowness=round_s(worker.speed.slowness()),
            left_s=round_s(owner.due - now),
        )
        self.poller.poll_now(now, worker)

    def _may_lend(self, service: str) -> bool:
        """Tell whether another pool has said that it has room for tasks of a service."""
        return self.lending_enabled and any(
            peer.free_by_service.get(service, 0) > 0 for peer in self.peer_pool_by_domain.values()
        )

    def _lend_tasks(self, now: float, service: str, tasks: list[Task]) -> list[Task]:
        """Ask other pools with room to run tasks that find none here."""
        lent: list[Task] = []
        if not tasks or not self.lending_enabled:
            return lent
        groups: dict[tuple[str, str, int], list[Task]] = {}
        for domain, peer in sorted(
            self.peer_pool_by_domain.items(),
            key=lambda item: -item[1].free_by_service.get(service, 0),
        ):
            free = peer.free_by_service.get(service, 0)
            for task in tasks:
                if free <= 0:
                    break
                if task.phase is not Phase.WAITING or domain in task.avoid or task.owner.is_lent:
                    continue
                free -= 1
                task.phase = Phase.LENT
                task.run += 1
                task.location = domain
                task.ordered_at = now
                task.owner.waiting = max(0, task.owner.waiting - 1)
                task.owner.started_runs += 1
                lent.append(task)
                groups.setdefault((domain, task.id.job, task.id.step), []).append(task)
            peer.free_by_service[service] = max(0, free)
        for (domain, job_id, step), members in groups.items():
            owner = members[0].owner
            self.note("tasks_lent", job=job_id, step=step, count=len(members), to=domain)
            self.actions.append(
                SendPeerLeader(
                    domain=domain,
                    message=Lend(
                        job=owner.job,
                        step=step,
                        tasks=tuple((task.id.index, task.run) for task in members),
                        waited_s=now - owner.arrived_at,
                        caller_waits_s=owner.gives_up_at - now,
                        begun=owner.started_runs > len(members),
                    ),
                )
            )
        return lent

    def free_by_service(self, now: float) -> dict[str, int]:
        """Tasks of usual size that could start at once, by service."""
        free: dict[str, int] = {}
        if not self.lending_enabled:
            return free
        for service, workers in self.workers_by_service.items():
            typical_cpu = self._typical_cpu_by_service.get(service, 1000.0)
            busy = len(self._waiting_by_service.get(service, ()))
            slots = sum(
                max(
                    0,
                    math.floor((worker.record.cpu - worker.reserved_cpu) / typical_cpu)
                    - len(worker.orphan_run_by_task),
                )
                for worker in workers
                if worker.is_usable(now)
            )
            free[service] = max(0, slots) if not busy else 0
        return free
