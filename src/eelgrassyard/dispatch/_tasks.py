"""State of jobs and tasks in a leader's pool."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ._job_value import job_work
from ._jobs import LATE_FACTOR, Job, Step, TaskId

ROUND_TRIP_S = 0.015
"""Part of the objective taken by the round trip between caller, host and worker: two client links
of 3 ms and a few milliseconds at each host."""

OBJECTIVE_SAFETY_FACTOR = 0.85
"""Share of the estimated objective that is planned with: the estimate follows from a declared run
time that may be 40% too long, while the objective counts the real run time."""


class Phase(enum.Enum):
    """State of a task."""

    BLOCKED = enum.auto()
    """A step that it depends on has not ended."""
    WAITING = enum.auto()
    ORDERED = enum.auto()
    """A start was sent and has not been answered yet."""
    RUNNING = enum.auto()
    LENT = enum.auto()
    """It was lent to another pool."""
    ENDED = enum.auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlierRun:
    """Run of a task that was given up, for the line that says so when the task starts again.

    :param run: its number; 0 if it belonged to an earlier leader.
    :param worker_id: worker, or failure domain if it was lent; empty if it is not known.
    :param lease_s: seconds from its start to the end of the leases that its leader counted on.
    :param given_up_at: time in seconds.
    """

    run: int = 0
    worker_id: str = ""
    lease_s: float | None = None
    given_up_at: float
    reason: str


@dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """One task of a job.

    :param run: number of its latest run; the next one is higher.
    :param lender_run: run number that the lender assigned, which identifies the run in the report.
    :param attempts: runs that have failed.
    :param location: worker of the latest run or, if lent, failure domain.
    :param avoid: workers and failure domains that are excluded from its next run.
    :param not_before: time until which an earlier run may still be alive.
    :param expected_s: run time that was expected of the latest run when it was ordered. What its
        worker learns later, as from another run that stands still, does not excuse it.
    :param percent: progress of the latest run.
    :param adopted_percent: progress of that run at ``ordered_at``, if it was adopted from an
        earlier leader; None until it is reported.
    :param refused_until_by_domain: failure domains that have refused it, and until when it is not
        offered to them again.
    :param earlier_run: its latest run that was given up.
    """

    id: TaskId
    pool_job: PoolJob
    step: Step
    phase: Phase = Phase.WAITING
    run: int = 0
    lender_run: int = 0
    attempts: int = 0
    location: str = ""
    ordered_at: float = 0.0
    started_at: float = 0.0
    expected_s: float = 0.0
    avoid: set[str] = field(default_factory=set)
    not_before: float = 0.0
    percent: int = 0
    adopted_percent: int | None = 0
    refused_until_by_domain: dict[str, float] = field(default_factory=dict)
    earlier_run: EarlierRun | None = None

    def start_percent(self) -> int:
        """Progress of the latest run at ``ordered_at``, below 100."""
        return min(99, self.adopted_percent or 0)

    def refusing_domains(self, now: float) -> set[str]:
        """Failure domains that have refused it too recently to be asked again."""
        return {domain for domain, until in self.refused_until_by_domain.items() if now < until}


@dataclass(slots=True, kw_only=True, eq=False)
class PoolJob:
    """A job, or the tasks of a job that another pool has lent.

    :param requester: session that gets the answer.
    :param arrived_at: when the caller's request arrived at its entry host.
    :param due_at: when the last task must have ended for an answer on time.
    :param late_at: when the last task must have ended for an answer that is late but still of use.
    :param caller_deadline: when the caller stops waiting, so that no answer can reach it.
    :param started_runs: runs that may have started, not counting refused starts; at 0 the job has
        certainly not run.
    :param remaining_by_step: tasks of each step that have not ended well.
    :param failed_worker_ids: workers on which a task of it has failed.
    :param waiting: number of its waiting tasks.
    :param critical_path_s: declared seconds of its longest chain of steps.
    :param work: declared work of the whole job, in core-seconds.
    :param is_late: whether its latest start has passed before it began, so that it waits behind the
        jobs that can be on time.
    :param is_deferred: whether the last plan expects it to miss its objective, so that it waits
        behind the others as well.
    :param is_planned: whether a plan has included it.
    :param is_accepted: whether its work was counted as accepted.
    :param round: number of times that its host had submitted it before, to any leader.
    """

    job: Job
    requester: str
    arrived_at: float
    due_at: float
    late_at: float
    caller_deadline: float
    is_lent: bool = False
    started_runs: int = 0
    task_by_id: dict[TaskId, Task] = field(default_factory=dict)
    remaining_by_step: list[int] = field(default_factory=list)
    failed_worker_ids: set[str] = field(default_factory=set)
    waiting: int = 0
    critical_path_s: float = 0.0
    work: float = 0.0
    is_late: bool = False
    is_deferred: bool = False
    is_planned: bool = False
    is_accepted: bool = False
    round: int = 0

    def is_complete(self) -> bool:
        """Tell whether all tasks have completed."""
        return not any(self.remaining_by_step)

    def tasks_of(self, step: int) -> list[Task]:
        """Tasks of one step."""
        return [task for task in self.task_by_id.values() if task.id.step == step]


def new_pool_job(
    job: Job, *, requester: str, now: float, waited_s: float, caller_waits_s: float, run_base: int
) -> PoolJob:
    """Create the pool's state of a whole job.

    :param run_base: the first run of each task gets the next number.
    """
    arrived_at = now - waited_s
    due_at, late_at = _limits(job, arrived_at=arrived_at, caller_deadline=now + caller_waits_s)
    pool_job = PoolJob(
        job=job,
        requester=requester,
        arrived_at=arrived_at,
        due_at=due_at,
        late_at=late_at,
        caller_deadline=now + caller_waits_s,
        critical_path_s=job.critical_path_s(),
        work=job_work(job),
    )
    for number, step in enumerate(job.steps):
        pool_job.remaining_by_step.append(step.count)
        phase = Phase.BLOCKED if step.after else Phase.WAITING
        for index in range(step.count):
            task_id = TaskId(job.id, number, index)
            pool_job.task_by_id[task_id] = Task(
                id=task_id, pool_job=pool_job, step=step, phase=phase, run=run_base
            )
    return pool_job


def _limits(job: Job, *, arrived_at: float, caller_deadline: float) -> tuple[float, float]:
    """Times by which the last task of a job must have ended for an answer on time, and for one that
    is late but still of use."""
    on_time_s = job.objective_s() * OBJECTIVE_SAFETY_FACTOR
    due_at = min(arrived_at + on_time_s, caller_deadline) - ROUND_TRIP_S
    late_at = min(arrived_at + LATE_FACTOR * on_time_s, caller_deadline) - ROUND_TRIP_S
    return due_at, late_at


def new_lent_job(
    job: Job,
    *,
    requester: str,
    now: float,
    waited_s: float,
    caller_waits_s: float,
    step: int,
    runs: tuple[tuple[int, int], ...],
) -> PoolJob:
    """Create the pool's state of tasks that another pool lends.

    :param runs: index of each task and the number that the lender gave its run.
    """
    pool_job = new_pool_job(
        Job(
            id=job.id,
            kind=job.kind,
            service=job.service,
            payload=job.payload,
            steps=(),
            priority=job.priority,
            max_attempts=job.max_attempts,
        ),
        requester=requester,
        now=now,
        waited_s=waited_s,
        caller_waits_s=caller_waits_s,
        run_base=0,
    )
    pool_job.is_lent = True
    pool_job.due_at, pool_job.late_at = _limits(
        job, arrived_at=pool_job.arrived_at, caller_deadline=pool_job.caller_deadline
    )
    for index, run in runs:
        task_id = TaskId(job.id, step, index)
        # The start increments the number to the one that the lender gave.
        pool_job.task_by_id[task_id] = Task(
            id=task_id, pool_job=pool_job, step=job.steps[step], run=run - 1, lender_run=run
        )
    pool_job.remaining_by_step = [len(runs)]
    return pool_job
