"""What the decision core asks its driver to do, and what the driver reports about workers."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._jobs import TaskEnd, TaskId
from ._messages import ToClient, ToServer


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Order a worker to start a task.

    :param deadline_s: end of the lease on the worker's clock.
    :param fence: epoch of the leader.
    """

    worker_id: str
    task: TaskId
    run: int
    payload: str
    deadline_s: float
    fence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Order a worker to stop a run."""

    worker_id: str
    task: TaskId
    run: int
    fence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PollWorker:
    """Poll a worker: read its list of runs and renew the leases of all of them.

    :param deadline_s: new end of the leases on the worker's clock; None renews nothing.
    :param ends_seen: ends up to this number need not be listed again.
    :param wait_s: how long the worker may wait for the next end before it answers.
    """

    worker_id: str
    fence: int
    deadline_s: float | None
    ends_seen: int
    wait_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Send a message back on the session of a requester."""

    requester: str
    message: ToClient


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPeerLeader:
    """Send a message to the leader of another failure domain."""

    domain: str
    message: ToServer


@dataclass(frozen=True, slots=True, kw_only=True)
class Note:
    """One log line about a decision.

    :param fields: the inputs that decided it.
    :param routine: whether many such lines say that all goes as usual.
    """

    event: str
    fields: dict[str, object]
    routine: bool = False


Action = StartRun | StopRun | PollWorker | Reply | SendPeerLeader | Note


class Refusal(enum.StrEnum):
    """Why a worker did not do what it was told; in each case it has done nothing."""

    FENCED = "fenced"
    """Another leader with a higher epoch has the worker."""
    OLD_RUN = "old_run"
    """A run with this number or a higher one was seen before."""
    LATE = "late"
    """The deadline of the order had passed."""
    NO_ROOM = "no_room"
    BUSY = "busy"
    OTHER_LIFE = "other_life"
    """The worker at this address is not the one that the order was meant for."""
    INVALID = "invalid"


class CallFailure(enum.StrEnum):
    """A call without a whole answer; it may have been carried out, or may still be."""

    REFUSED = "refused"
    """No process listens at the address any more."""
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """Answer of a worker to an order.

    :param clock_s: the worker's clock.
    """

    clock_s: float | None = None
    refusal: Refusal | None = None
    life: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningEntry:
    """One run that a worker lists as going on.

    :param percent: how much of its work is done.
    """

    task: TaskId
    run: int
    percent: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedEntry:
    """One end that a worker lists."""

    number: int
    task: TaskId
    run: int
    end: TaskEnd


@dataclass(frozen=True, slots=True, kw_only=True)
class PollReport:
    """Answer of a worker to a poll."""

    clock_s: float
    life: int | None
    running: tuple[RunningEntry, ...]
    ended: tuple[EndedEntry, ...]


OrderResult = Answered | CallFailure
PollResult = PollReport | Answered | CallFailure
