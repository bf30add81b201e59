"""Report on where a given job would be placed now, and why, without placing it.

The load that this answers is a question of an operator: why a job waits, is refused, or runs where
it does. The report applies the functions that decide to copies of the workers and to a job that is
not in the pool.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ._jobs import Job
from ._peer_pools import count_places
from ._placement import MAX_MISSES
from ._shedding import LoadShedding
from ._tasks import Phase, PoolJob, Task, new_pool_job
from ._workers import Exclusion, Worker

MAX_PLAN_STEPS = 400_000
"""Workers and tasks that are looked at, after which the forecast of a job's start is given up. The
loop that also serves callers calculates it, and a gap of 0.6 s would drop the pool."""

START_STEPS = 50
"""Steps that a planned start counts for, beyond the workers that are looked at."""

NOT_PREFERRED = "another worker is preferred: the slowest that is in time, or else the first to end"


class Decision(enum.StrEnum):
    """What the leader would do with a job that is submitted now."""

    STARTS = "starts now"
    LENT = "is offered to another domain now"
    WAITS = "waits in the queue"
    LATE = "starts late"
    REFUSED = "is refused at once"
    REFUSED_LATER = "waits, and is refused unless workers become free sooner than predicted"
    ATTACHED = "is attached to the job with this id that is in progress"


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskForecast:
    """Predicted start and end of a task, in seconds from now."""

    index: int
    worker: str
    starts_in_s: float
    ends_in_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StepForecast:
    """Placement of the tasks of one step.

    :param after: steps whose tasks must end first; such a step is not planned.
    :param unplaced: number of tasks for which no worker is predicted.
    :param reason_by_worker: why a worker gets none of them, as of now.
    """

    step: int
    after: tuple[int, ...]
    tasks: tuple[TaskForecast, ...] = ()
    unplaced: int = 0
    reason_by_worker: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class OtherDomain:
    """Alternative in another domain, as its leader last reported.

    :param slots: tasks of the first step for which workers that are fast enough have room.
    :param is_offered: whether a task without a worker would be offered to it next.
    """

    domain: str
    slots: int
    is_offered: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementReport:
    """Where a job would be placed now.

    :param rule: what keeps the job from starting now; empty if it starts.
    :param rank: place in the queue that it would get, from 1.
    :param start_by_s: seconds until its latest start with which it can be on time.
    :param ends_in_s: predicted seconds until its last task has ended; None if that is not known.
        Steps that depend on others are assumed to run on the fastest worker.
    """

    domain: str
    epoch: int
    decision: Decision
    rule: str
    queue_length: int
    rank: int
    start_by_s: float
    due_in_s: float
    caller_waits_s: float
    ends_in_s: float | None
    steps: tuple[StepForecast, ...]
    other_domains: tuple[OtherDomain, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LedElsewhere:
    """Answer of a host that does not lead its domain.

    :param leader: name of the host that does; empty if none is known, as a job would be refused
        then.
    """

    domain: str
    leader: str


class PlacementReports(LoadShedding):
    """Explains placement. Nothing here changes the pool."""

    def report_placement(self, now: float, job: Job, *, caller_waits_s: float) -> PlacementReport:
        """Report where a job that is submitted now would be placed, and why."""
        pool_job = new_pool_job(
            job, requester="", now=now, waited_s=0.0, caller_waits_s=caller_waits_s, run_base=0
        )
        waiting = self._waiting_by_service.get(job.service)
        start_by = self._start_by(pool_job)
        ahead = waiting.before(start_by) if waiting else []
        workers = [_copy(worker) for worker in self.workers_by_service.get(job.service, ())]
        self._limit_ejections(now, workers)
        reasons = {
            number: self._reasons(now, pool_job, number, workers)
            for number, step in enumerate(job.steps)
            if not step.after
        }
        others = self._other_domains(now, pool_job)
        decision, rule = self._decide_at_once(pool_job)
        forecasts: dict[int, list[TaskForecast]] = {}
        if decision is None:
            plan = self._plan(now, pool_job, ahead, workers)
            forecasts = plan.forecasts
            decision, rule = self._decide(now, plan, others)
        return PlacementReport(
            domain=self.domain,
            epoch=self.epoch,
            decision=decision,
            rule=rule,
            queue_length=len(waiting) if waiting else 0,
            rank=len(ahead) + 1,
            start_by_s=start_by - now,
            due_in_s=pool_job.due_at - now,
            caller_waits_s=caller_waits_s,
            ends_in_s=self._job_ends_in_s(job, forecasts),
            steps=tuple(
                _step_forecast(job, number, forecasts.get(number, []), reasons.get(number, {}))
                for number in range(len(job.steps))
            ),
            other_domains=others,
        )

    def _decide_at_once(self, pool_job: PoolJob) -> tuple[Decision | None, str]:
        """Decision on a job that is not queued, and its rule; None if it is queued."""
        job = pool_job.job
        if job.id in self.job_by_id:
            return Decision.ATTACHED, "a job with this id is in progress"
        refusal = self._size_refusal(job, may_have_run=False)
        if refusal is not None:
            return Decision.REFUSED, refusal.reason
        if any(self.crashes.is_exhausted(task_id) for task_id in pool_job.task_by_id):
            return Decision.REFUSED, "workers crashed under a task of it"
        return None, ""

    def _decide(
        self, now: float, plan: _Plan, others: Iterable[OtherDomain]
    ) -> tuple[Decision, str]:
        """Decision on a job that is queued, and the rule that keeps it from starting now."""
        pool_job = plan.pool_job
        if any(self._must_wait(now, task) for task in pool_job.task_by_id.values()):
            return Decision.WAITS, "an earlier run of a task may be in progress"
        starts = [task.starts_in_s for tasks in plan.forecasts.values() for task in tasks]
        held = self._starts_held(now)
        if starts and min(starts) <= 0.0:
            return Decision.STARTS, ""
        if any(other.is_offered for other in others):
            return Decision.LENT, held or "no free worker here, and another domain reports room"
        if starts:
            return Decision.WAITS, held or "no free worker"
        if plan.steps_left <= 0:
            return Decision.WAITS, "no free worker; too much is ahead of it to predict its start"
        if now >= self._start_by(pool_job) and self._may_start_late(now, pool_job):
            return Decision.LATE, "too late for its objective, but all of its tasks have room"
        if not self.workers_by_service.get(pool_job.job.service):
            return Decision.REFUSED_LATER, "no worker of its service is registered in this domain"
        return Decision.REFUSED_LATER, held or "no free worker in time"

    def _reasons(
        self, now: float, pool_job: PoolJob, step: int, workers: Iterable[Worker]
    ) -> dict[str, str]:
        """Why each worker would not get the first task of a step now, by worker."""
        requirements = self._requirements(now, pool_job.tasks_of(step)[0])
        limits = self.lease_limits()
        reason_by_worker = {}
        for worker in workers:
            reason: object = self._obstacle(now, worker, limits)
            if reason is None:
                reason = requirements.run_s(worker)
            is_excluded = isinstance(reason, Exclusion)
            reason_by_worker[worker.record.id] = str(reason) if is_excluded else NOT_PREFERRED
        return reason_by_worker

    def _other_domains(self, now: float, pool_job: PoolJob) -> tuple[OtherDomain, ...]:
        job = pool_job.job
        task = next(task for task in pool_job.task_by_id.values() if not task.step.after)
        cpu = task.step.cpu
        max_slowness = self._max_lent_slowness(now, task, begun=False)
        offered = None
        if self._may_lend(now, job.service) and not self.crashes.count(task.id):
            offered = self.peers.best_domain(
                now, job.service, cpu=cpu, max_slowness=max_slowness, excluded=task.avoid
            )
        return tuple(
            OtherDomain(
                domain=domain,
                slots=count_places(self.peers.room(domain, job.service), cpu, max_slowness),
                is_offered=domain == offered,
            )
            for domain in sorted(self.peers.room_by_service)
        )

    def _plan(
        self, now: float, pool_job: PoolJob, ahead: list[Task], workers: list[Worker]
    ) -> _Plan:
        """Forecast the starts of a job's tasks, and of the tasks ahead of it, as runs end.

        :param workers: copies, whose capacity the plan changes.
        """
        plan = _Plan(
            now=now,
            pool_job=pool_job,
            own=[task for task in pool_job.task_by_id.values() if task.phase is Phase.WAITING],
            ahead=list(ahead),
            least_cpu=min(task.step.cpu for task in [*ahead, *pool_job.task_by_id.values()]),
        )
        if self.evacuated:
            return plan
        for worker in workers:
            for task in self.active_tasks(worker):
                plan.add_end(now + self.run_left_s(now, task, worker), worker, task)
        at = max(now, self.starts_after)
        candidates = self._select_available(now, workers, least_cpu=0)
        while plan.steps_left > 0:
            self._plan_starts(plan, at, candidates)
            if not plan.own or not plan.ends or plan.ends[0][0] >= pool_job.caller_deadline:
                break
            ended_at, _, worker, task = heapq.heappop(plan.ends)
            at = max(at, ended_at)
            worker.release(task.step, task.id)
            if task.pool_job is pool_job:
                task.phase = Phase.ENDED
            candidates = self._select_available(now, [worker], least_cpu=plan.least_cpu)
        return plan

    def _plan_starts(self, plan: _Plan, at: float, candidates: list[Worker]) -> None:
        """Plan the starts at a time, as a placement pass makes them."""
        misses = 0
        # Tasks of a job that has begun precede the others.
        begun = plan.pool_job.started_runs > 0
        for waiting in (plan.own, plan.ahead) if begun else (plan.ahead, plan.own):
            index = 0
            while index < len(waiting) and misses < MAX_MISSES and plan.steps_left > 0:
                if len(candidates) == 1 and candidates[0].free_cpu(0) < plan.least_cpu:
                    return
                task = waiting[index]
                if not self._must_wait(at, task):
                    if self._plan_start(plan, at, task, candidates):
                        del waiting[index]
                        continue
                    misses += 1
                index += 1

    def _plan_start(self, plan: _Plan, at: float, task: Task, candidates: list[Worker]) -> bool:
        """Plan the start of a task at a time; False if no worker would get it."""
        step = task.step
        siblings = len(task.pool_job.task_by_id) if step.max_per_worker or step.same_rack else 0
        plan.steps_left -= START_STEPS + len(candidates) + siblings
        # Whether a worker may be used is known as of now only.
        requirements = dataclasses.replace(self._requirements(at, task), now=plan.now)
        worker = self._choose(task, candidates, requirements)
        run_s = requirements.run_s(worker) if worker is not None else Exclusion.NO_ROOM
        if worker is None or isinstance(run_s, Exclusion):
            return False
        ends_at = at + run_s * self.run_times.ratio_of(task.pool_job.job.kind).mean
        worker.reserve(step, task.id, 0)
        plan.add_end(ends_at, worker, task)
        if task.pool_job is plan.pool_job:
            plan.add_start(at, ends_at, worker, task)
        return True

    def _job_ends_in_s(self, job: Job, forecasts: Mapping[int, list[TaskForecast]]) -> float | None:
        """Predicted seconds until a job ends; None unless all tasks of its first steps are
        planned."""
        first = [number for number, step in enumerate(job.steps) if not step.after]
        if any(len(forecasts.get(number, ())) < job.steps[number].count for number in first):
            return None
        ends_in_s = max(task.ends_in_s for number in first for task in forecasts[number])
        later_s = job.critical_path_s() - max(job.steps[number].estimate_s for number in first)
        ratio = self.run_times.ratio_of(job.kind).mean
        return ends_in_s + max(0.0, later_s) * self.fastest_slowness(job.service) * ratio


@dataclass(slots=True, kw_only=True)
class _Plan:
    """Predicted starts and ends of runs.

    :param own: tasks of the job that have no start yet.
    :param ahead: waiting tasks that precede it and have no start yet.
    :param least_cpu: lower bound of the CPU demand of all of these.
    :param ends: heap of predicted ends: time, serial number, copy of the worker, and task.
    """

    now: float
    pool_job: PoolJob
    own: list[Task]
    ahead: list[Task]
    least_cpu: int
    ends: list[tuple[float, int, Worker, Task]] = field(default_factory=list)
    forecasts: dict[int, list[TaskForecast]] = field(default_factory=dict)
    steps_left: int = MAX_PLAN_STEPS
    _last_number: int = 0

    def add_end(self, at: float, worker: Worker, task: Task) -> None:
        """Add the predicted end of a run."""
        self._last_number += 1
        heapq.heappush(self.ends, (at, self._last_number, worker, task))

    def add_start(self, at: float, ends_at: float, worker: Worker, task: Task) -> None:
        """Record the predicted start of a task of the job."""
        # The task is not in the pool; limits of its step count it.
        task.phase, task.location = Phase.ORDERED, worker.record.id
        self.pool_job.started_runs += 1
        self.forecasts.setdefault(task.id.step, []).append(
            TaskForecast(
                index=task.id.index,
                worker=worker.record.id,
                starts_in_s=at - self.now,
                ends_in_s=ends_at - self.now,
            )
        )


def _copy(worker: Worker) -> Worker:
    """Copy of a worker whose reservations can be changed."""
    return dataclasses.replace(
        worker, run_by_task=dict(worker.run_by_task), suspects=set(worker.suspects)
    )


def _step_forecast(
    job: Job, number: int, tasks: list[TaskForecast], reason_by_worker: Mapping[str, str]
) -> StepForecast:
    step = job.steps[number]
    chosen = {task.worker for task in tasks}
    return StepForecast(
        step=number,
        after=step.after,
        tasks=tuple(sorted(tasks, key=lambda task: task.index)),
        unplaced=0 if step.after else step.count - len(tasks),
        reason_by_worker={w: r for w, r in reason_by_worker.items() if w not in chosen},
    )
