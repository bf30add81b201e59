"""State that an owner keeps for each submission and its tasks."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field

from ._config import KindEntry
from ._ids import SubmissionId
from ._outcomes import Outcome, SubmissionBody

GrantKey = tuple[str, int, int]
"""Name of the scheduler, its incarnation, and the number of the grant at that incarnation."""


class TaskState(enum.IntEnum):
    """State of one task at its owner."""

    WAITING = 0
    GRANTED = 1
    STARTED = 2
    DONE = 3


@dataclass(slots=True)
class OwnedTask:
    """One task of an owned submission.

    :param grant: the last grant, kept after its end so that a duplicate of it is recognised.
    :param upstream: upstream of the last grant.
    :param start_number: number of the last start; 0 before the first.
    :param starts_made: starts of this task so far, whatever their results.
    :param result: JSON text of the result once the task is done.
    """

    state: TaskState = TaskState.WAITING
    grant: GrantKey | None = None
    upstream: str = ""
    start_number: int = 0
    starts_made: int = 0
    result: bytes = b""


@dataclass(slots=True, kw_only=True)
class Submission:
    """One submission that this host owns.

    :param submission_id: the id as text.
    :param fields: the fields of the id.
    :param digest: digest of the body; None if it was cancelled before it was submitted.
    :param body: None once there is an outcome.
    :param pool: pool whose scheduler grants the slots.
    :param attempt: number of the last slot request; -1 before the first.
    :param min_attempt: lowest attempt whose grants may be used.
    :param recorded: the witness holds the record, or the id names no witness.
    :param record_requests: record requests sent since acceptance or the last pause.
    :param possible_starts: starts that were not reported as provably never made.
    :param tasks_waiting: tasks without a slot.
    :param admission_waiting: tasks that the admission counts as waiting for a slot.
    :param tasks_done: tasks that ended with a result.
    :param slot_retries: slot requests that were scheduled for tasks whose start was not made or
        failed, or after a refusal.
    :param slot_retry_scheduled: such a request is scheduled and not yet sent.
    :param avoid: upstreams on which a start of a task was not made or failed, the latest last.
    :param tasks: empty once there is an outcome.
    :param collected: the outcome was sent to a caller.
    """

    submission_id: str
    fields: SubmissionId
    caller: str
    digest: bytes | None
    body: SubmissionBody | None = None
    kind: KindEntry | None = None
    team: str = ""
    pool: str = ""
    deadline_at: float = 0.0
    attempt: int = -1
    min_attempt: int = 0
    recorded: bool = False
    record_requests: int = 0
    possible_starts: int = 0
    tasks_waiting: int = 0
    admission_waiting: int = 0
    tasks_done: int = 0
    slot_retries: int = 0
    slot_retry_scheduled: bool = False
    avoid: tuple[str, ...] = ()
    tasks: list[OwnedTask] = field(default_factory=list)
    outcome: Outcome | None = None
    collected: bool = False


def body_digest(body: SubmissionBody) -> bytes:
    """Digest by which a resubmission with another body is detected."""
    digest = hashlib.blake2b(digest_size=16)
    head = (
        body.kind,
        int(body.urgency),
        float(body.deadline_s),
        body.idempotent,
        body.gang,
        body.spread_racks,
        len(body.tasks),
    )
    digest.update(repr(head).encode())
    for task in body.tasks:
        size = (len(task.payload), float(task.cores), task.memory_mb, task.accelerators)
        digest.update(repr(size).encode())
        digest.update(task.payload)
    return digest.digest()
