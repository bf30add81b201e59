"""Actions that the core returns for its driver to carry out."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._messages import PeerMessage
from ._outcomes import Outcome, Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send a message to another host; the message may be lost, delayed or duplicated."""

    to: str
    message: PeerMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyIds:
    """Answer an IdsCalled event."""

    call: int
    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyState:
    """Answer a submit, query or cancel call; ``outcome`` is None while the submission runs."""

    call: int
    submission_id: str
    outcome: Outcome | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyRefusal:
    """Refuse a call; the refusal has no bearing on the submission's outcome."""

    call: int
    reason: Reason
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class FencingToken:
    """Fencing token of a start: a worker refuses starts of older incarnations of the same owner."""

    owner: str
    incarnation: int
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTask:
    """Start one task on an upstream; answered by StartFinished with the same ``start``.

    :param start: number of the start at this incarnation of the host.
    :param lease_s: seconds after which the worker stops the task unless the lease is renewed; 0
        for a runner.
    :param timeout_s: seconds after which the driver gives up and reports LOST.
    """

    start: int
    upstream: str
    submission_id: str
    index: int
    kind: str
    payload: bytes
    cores: float
    memory_mb: int
    accelerators: int
    lease_s: float
    timeout_s: float
    fence: FencingToken


class Control(enum.StrEnum):
    """Operations on a running task on a guarded worker."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESUME = "resume"


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlTask:
    """Stop, checkpoint, throttle or resume a started task; a runner supports only STOP."""

    start: int
    upstream: str
    submission_id: str
    index: int
    control: Control


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewLeases:
    """Renew the leases of running tasks on a worker, named ``<submission id>/<index>``."""

    upstream: str
    tasks: tuple[str, ...]
    lease_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadConfig:
    """Validate a document received from a peer and answer with ConfigLoaded if it is valid."""

    revision: int
    document: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchStore:
    """Start or stop watching the configuration key in the platform's store."""

    on: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadinessChanged:
    """Report that the host became ready to serve callers, or stopped being ready."""

    ready: bool
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """Report the end of the drain: all work has ended, Goodbye is sent, the process may exit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Count:
    """Increase a counter."""

    metric: str
    value: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class StateChanged:
    """Log a change of state."""

    step: str
    peer: str
    message: str


Action = (
    Send
    | ReplyIds
    | ReplyState
    | ReplyRefusal
    | StartTask
    | ControlTask
    | RenewLeases
    | LoadConfig
    | WatchStore
    | ReadinessChanged
    | Drained
    | Count
    | StateChanged
)
