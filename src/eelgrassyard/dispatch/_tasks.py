"""Jobs and tasks as the leader of a pool keeps them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ._jobs import Job, Step, TaskId

ROUND_TRIP_S = 0.015
"""Part of the objective that the way between caller, host and worker takes: two client links of 3
ms and a few milliseconds at each host."""


OBJECTIVE_SAFETY_FACTOR = 0.85
"""Share of the objective that is planned with: it follows from a declared run time that may be 40%
too long, and the objective counts the real one."""


class Phase(enum.Enum):
    """Where a task is."""

    BLOCKED = enum.auto()
    """An earlier step has not ended."""
    WAITING = enum.auto()
    ORDERED = enum.auto()
    """A start was sent and not answered yet."""
    RUNNING = enum.auto()
    LENT = enum.auto()
    """Another pool was asked to run it."""
    ENDED = enum.auto()


@dataclass(slots=True, kw_only=True, eq=False)
class Task:
    """One task of a job.

    :param run: number of its latest run; the next one is higher.
    :param lender_run: number that the lender gave the run, which names it in the report.
    :param attempts: runs that ended as failed.
    :param location: worker or, if lent, failure domain of the latest run.
    :param avoid: workers that failed it or did not answer for it.
    :param not_before: time before which an earlier run may still be alive somewhere.
    """

    id: TaskId
    owner: PoolJob
    step: Step
    phase: Phase = Phase.WAITING
    run: int = 0
    lender_run: int = 0
    attempts: int = 0
    location: str = ""
    ordered_at: float = 0.0
    started_at: float = 0.0
    avoid: set[str] = field(default_factory=set)
    not_before: float = 0.0
    percent: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class PoolJob:
    """A job, or the part of a job that another pool has lent.

    :param requester: session that gets the answer.
    :param arrived_at: when the caller's request arrived at the first host.
    :param due: when the last task must have ended for an answer on time.
    :param gives_up_at: when an answer would be of no use any more, or the caller has left.
    :param started_runs: orders for it that may have been carried out; without any it has not run.
    :param failed_worker_ids: workers on which a task of it has failed.
    """

    job: Job
    requester: str
    arrived_at: float
    due: float
    gives_up_at: float
    is_lent: bool = False
    started_runs: int = 0
    task_by_id: dict[TaskId, Task] = field(default_factory=dict)
    remaining_by_step: list[int] = field(default_factory=list)
    failed_worker_ids: set[str] = field(default_factory=set)
    waiting: int = 0

    def is_complete(self) -> bool:
        """Tell whether all tasks have ended well."""
        return not any(self.remaining_by_step)

    def tasks_of(self, step: int) -> list[Task]:
        """The tasks of one step."""
        return [task for task in self.task_by_id.values() if task.id.step == step]


def new_pool_job(
    job: Job, *, requester: str, now: float, waited_s: float, caller_waits_s: float, run_base: int
) -> PoolJob:
    """Take up a whole job.

    :param run_base: runs are numbered from the next number on.
    """
    arrived_at = now - waited_s
    objective_s = job.objective_s()
    owner = PoolJob(
        job=job,
        requester=requester,
        arrived_at=arrived_at,
        due=min(arrived_at + objective_s * OBJECTIVE_SAFETY_FACTOR, now + caller_waits_s)
        - ROUND_TRIP_S,
        gives_up_at=now + caller_waits_s,
    )
    for number, step in enumerate(job.steps):
        owner.remaining_by_step.append(step.count)
        phase = Phase.BLOCKED if step.after else Phase.WAITING
        for index in range(step.count):
            task_id = TaskId(job.id, number, index)
            owner.task_by_id[task_id] = Task(
                id=task_id, owner=owner, step=step, phase=phase, run=run_base
            )
    return owner


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
    """Take up the tasks of one step that another pool asks for."""
    owner = new_pool_job(
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
    owner.is_lent = True
    due = owner.arrived_at + job.objective_s() * OBJECTIVE_SAFETY_FACTOR
    owner.due = min(due, owner.gives_up_at) - ROUND_TRIP_S
    for index, run in runs:
        task_id = TaskId(job.id, step, index)
        # The first start takes the run's number as it was given.
        owner.task_by_id[task_id] = Task(
            id=task_id, owner=owner, step=job.steps[step], run=run - 1, lender_run=run
        )
    owner.remaining_by_step = [len(runs)]
    return owner
