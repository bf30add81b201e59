"""Jobs whose caller waits on the open connection, and their outcomes."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

Number = Annotated[int, msgspec.Meta(ge=0)]
PositiveNumber = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=1e7)]
"""Ranges of fields that other processes send; decoding refuses other values. They include all that
a host sends and exclude what the core cannot calculate with."""


class Step(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Tasks of one kind and size within a job.

    :param count: number of tasks.
    :param cpu: thousandths of a core that one task takes.
    :param memory_mb: memory of one task in MB.
    :param gpu: accelerators of one task.
    :param estimate_s: run time declared by the caller, in seconds; often off by 40%.
    :param after: numbers of earlier steps whose tasks must all have ended well.
    :param label: label that the worker must have, or empty.
    :param rack: rack that holds the data, or empty.
    :param same_rack: whether tasks on several racks slow each other down.
    :param max_per_worker: maximum number of tasks of the step on one worker; 0 means no limit.
    """

    count: PositiveNumber
    cpu: Number
    memory_mb: Number = 0
    gpu: Number = 0
    estimate_s: Seconds = 0.1
    after: tuple[Number, ...] = ()
    label: str = ""
    rack: str = ""
    same_rack: bool = False
    max_per_worker: Number = 0


class Job(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A job of a caller.

    :param kind: name of the route that the job arrived on.
    :param payload: text that is sent to the worker with each task.
    :param priority: 0 is the most urgent.
    :param max_attempts: failed runs of a task after which the job has failed.
    :param stretch: factor on the critical path in the latency objective.
    :param target_s: constant part of the latency objective, in seconds.
    """

    id: str
    kind: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    priority: int = 0
    max_attempts: PositiveNumber = 1
    stretch: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 1.0
    target_s: Seconds = 0.1

    def critical_path_s(self) -> float:
        """Estimated seconds of the longest chain of steps on a worker of speed 1."""
        end_by_step: list[float] = []
        for number, step in enumerate(self.steps):
            begin = max((end_by_step[i] for i in step.after if i < number), default=0.0)
            end_by_step.append(begin + step.estimate_s)
        return max(end_by_step, default=0.0)

    def objective_s(self) -> float:
        """Seconds from the caller's first send within which the answer is on time."""
        return self.stretch * self.critical_path_s() + self.target_s

    def latest_end_s(self) -> float:
        """Safe estimate of the longest time from the job's arrival to its end: it waits as long as
        it can still be on time, and takes ``LONGEST_RUN_FACTOR`` times its declared run time."""
        critical_path_s = self.critical_path_s()
        longest_wait_s = max(0.0, self.objective_s() - critical_path_s)
        return longest_wait_s + LONGEST_RUN_FACTOR * critical_path_s


class TaskId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a task by its job, step and index in the step."""

    job: str
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.step}/{self.index}"


class Outcome(enum.StrEnum):
    """Outcome of a job, as reported to its caller."""

    COMPLETE = "complete"
    """All tasks have completed."""
    FAILED = "failed"
    """A task has failed as often as its kind allows, fits no worker, was rejected as invalid, or
    has crashed its workers."""
    NOT_RUN = "not_run"
    """No task has been started on any worker, and none will be."""
    ABANDONED = "abandoned"
    """Some task may have run; runs in progress are stopped before the caller may submit again."""


class TaskEnd(enum.StrEnum):
    """Result of a run of a task."""

    DONE = "done"
    FAILED = "failed"
    """The task itself or its worker failed."""
    LOST = "lost"
    """The run was stopped, expired or lost without a fault of its own."""
    NO_ROOM = "no_room"
    """Another pool had no capacity for the task, and has not started it."""


ESTIMATE_ERROR = 0.4
"""Largest usual error of a declared run time, as a share of it."""

SLOWEST_USUAL_SPEED = 0.6
"""Speed of the slowest usual worker, as a multiple of that of a typical one."""

LONGEST_RUN_FACTOR = (1.0 + ESTIMATE_ERROR) / SLOWEST_USUAL_SPEED
"""Longest usual run time as a multiple of the declared one."""

LATE_FACTOR = 3.0
"""Multiple of the objective after which an answer is of no use to the caller (users' page on
credit)."""
