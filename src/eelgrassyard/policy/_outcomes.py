"""The body of a submission as sent by the caller, and the outcome returned to the caller."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._config import Urgency


class OutcomeKind(enum.StrEnum):
    """The four kinds of outcome of a submission."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a submission did not complete, or why a call was refused."""

    NONE = ""
    TASK_FAILED = "task_failed"
    LEASE_LAPSED = "lease_lapsed"
    UPSTREAM_LOST = "upstream_lost"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    FLOW_LIMIT = "flow_limit"
    QUOTA = "quota"
    DEADLINE = "deadline"
    IMPOSSIBLE = "impossible"
    NO_UPSTREAM = "no_upstream"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    WITNESS_LOST = "witness_lost"
    WITNESS_REFUSED = "witness_refused"
    OWNER_LOST = "owner_lost"
    OWNER_UNREACHABLE = "owner_unreachable"
    ID_EXPIRED = "id_expired"
    ID_INVALID = "id_invalid"
    FOREIGN_ID = "foreign_id"
    BODY_CONFLICT = "body_conflict"
    UNKNOWN_KIND = "unknown_kind"
    KIND_FORBIDDEN = "kind_forbidden"
    NOT_SUBMITTED = "not_submitted"


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskSpec:
    """One task of a submission.

    :param payload: JSON text, passed to the upstream unchanged.
    :param memory_mb: memory in MiB.
    """

    payload: bytes
    cores: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionBody:
    """The body of a submission.

    :param deadline_s: seconds from submission within which the caller needs the outcome.
    :param gang: start all tasks together or none.
    """

    kind: str
    tasks: tuple[TaskSpec, ...]
    urgency: Urgency = Urgency.NORMAL
    deadline_s: float = 30.0
    idempotent: bool = False
    gang: bool = False
    spread_racks: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The outcome of a submission, as reported to callers.

    :param results: JSON text for each task, in order; empty unless the submission is complete.
    :param retry_after_s: seconds after which a retry is sensible, or None.
    """

    kind: OutcomeKind
    results: tuple[bytes, ...] = ()
    reason: Reason = Reason.NONE
    message: str = ""
    retry_after_s: float | None = None
