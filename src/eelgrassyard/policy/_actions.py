"""Actions that the core asks its driver to carry out."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._messages import PeerMessage
from ._outcomes import Outcome, Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send a message to another host; it may be lost, delayed or duplicated."""

    to: str
    message: PeerMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyIds:
    """Answer to IdsCalled."""

    call: int
    ids: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyState:
    """Answer to a submit, query or cancel call; ``outcome`` is None while running."""

    call: int
    submission_id: str
    outcome: Outcome | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyRefusal:
    """A call that could not be carried out; it has no bearing on the submission's outcome."""

    call: int
    reason: Reason
    message: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class FencingToken:
    """Fencing token of a start: a worker refuses older incarnations of the same owner."""

    owner: str
    incarnation: int
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTask:
    """Start one task on an upstream; answered by StartFinished with the same ``start``.

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
    """What can be done to a running task on a guarded worker."""

    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    RESUME = "resume"


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlTask:
    """Stop, checkpoint, throttle or resume a started task; a runner only knows STOP."""

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
    """The host became ready or stopped being ready to serve callers."""

    ready: bool
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Drained:
    """All work has ended, the goodbye is sent; the process may exit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Count:
    """Raise a counter."""

    metric: str
    value: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class StateChanged:
    """A change of state worth a log line."""

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
