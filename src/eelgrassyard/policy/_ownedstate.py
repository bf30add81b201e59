"""Submissions and their tasks, as their owner keeps them."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass, field

from ._config import KindEntry
from ._ids import SubmissionId
from ._outcomes import Outcome, SubmissionBody

GrantKey = tuple[str, int, int]
"""Scheduler, its incarnation, and the number of the grant there."""


class TaskState(enum.IntEnum):
    """What the owner knows of one task."""

    WAITING = 0
    GRANTED = 1
    STARTED = 2
    DONE = 3


@dataclass(slots=True)
class OwnedTask:
    """One task; ``grant`` is its last one, kept so that a duplicate is not taken for a new one."""

    state: TaskState = TaskState.WAITING
    grant: GrantKey | None = None
    upstream: str = ""
    start: int = 0
    tries: int = 0
    result: bytes = b""


@dataclass(slots=True, kw_only=True)
class Submission:
    """One submission that this host owns.

    :param digest: digest of the body; None if it was cancelled before it was submitted.
    :param body: None once there is an outcome.
    :param attempt: number of the last ask for places.
    :param min_attempt: lowest attempt whose grants may be used.
    :param recorded: the witness holds the record, or the id names no witness.
    :param counted_waiting: tasks that the admission counts as waiting for a place.
    :param possible_starts: starts that were not reported as provably never made.
    """

    text: str
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
    record_tries: int = 0
    possible_starts: int = 0
    waiting: int = 0
    counted_waiting: int = 0
    done: int = 0
    reasks: int = 0
    reask_due: bool = False
    avoid: tuple[str, ...] = ()
    tasks: list[OwnedTask] = field(default_factory=list)
    outcome: Outcome | None = None
    collected: bool = False


def body_digest(body: SubmissionBody) -> bytes:
    """Digest by which a resubmission with another body is told."""
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
