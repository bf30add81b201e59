"""Actions that the dispatch core requests of its driver, and the driver's reports on workers.

An order is a start or a stop sent to a worker."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._jobs import TaskEnd, TaskId
from ._messages import ToClient, ToServer
from ._order_timing import MIN_POLL_MARGIN_S, MIN_TIMEOUT_S


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Order a worker to start a task.

    :param run: number of the run; each run of a task has a higher one.
    :param life: start time of the worker's process that ``deadline_s`` holds for. The order must
        reach no other process; None if the worker does not report it.
    :param deadline_s: deadline of the lease on the clock of that process.
    :param fence: fencing epoch of the leader.
    :param timeout_s: time after which the order counts as unanswered.
    :param carried_for: leader on whose behalf this host sends the order; empty for its own.
    """

    worker_id: str
    task: TaskId
    run: int
    payload: str
    deadline_s: float
    fence: int
    timeout_s: float = MIN_TIMEOUT_S
    life: int | None = None
    carried_for: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Order a worker to stop a run.

    :param fence: fencing epoch of the leader.
    :param timeout_s: time after which the order counts as unanswered.
    """

    worker_id: str
    task: TaskId
    run: int
    fence: int
    timeout_s: float = MIN_TIMEOUT_S


@dataclass(frozen=True, slots=True, kw_only=True)
class PollWorker:
    """Poll a worker: read its list of runs and renew the leases of all of them.

    :param fence: fencing epoch of the leader.
    :param life: start time of the worker's process that ``deadline_s`` and ``ends_seen`` hold for;
        any other process is only read. None if there is no such process, or it is not reported.
    :param deadline_s: new deadline of the leases on the worker's clock; None renews none.
    :param ends_seen: acknowledges the run ends up to this number, which need not be listed again.
    :param wait_s: longest time for which the worker may wait for a run to end before it answers.
    :param margin_s: time beyond that after which the poll counts as unanswered.
    """

    worker_id: str
    fence: int
    deadline_s: float | None
    ends_seen: int
    wait_s: float
    margin_s: float = MIN_POLL_MARGIN_S
    life: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Send a message to a requester on its session."""

    requester: str
    message: ToClient


@dataclass(frozen=True, slots=True, kw_only=True)
class SendPeerLeader:
    """Send a message to the leader of another failure domain."""

    domain: str
    message: ToServer


@dataclass(frozen=True, slots=True, kw_only=True)
class Note:
    """Write a log line about a decision.

    :param fields: inputs of the decision.
    :param routine: whether the line reports normal operation and is frequent.
    """

    event: str
    fields: dict[str, object]
    routine: bool = False


Action = StartRun | StopRun | PollWorker | Reply | SendPeerLeader | Note


class Refusal(enum.StrEnum):
    """Reason for which a worker refused an order or poll; it has not acted on it."""

    FENCED = "fenced"
    """The worker has seen a leader with a higher epoch."""
    OLD_RUN = "old_run"
    """The worker has seen a run of the task with this number or a higher one before."""
    LATE = "late"
    """The deadline of the order had passed."""
    NO_ROOM = "no_room"
    BUSY = "busy"
    OTHER_LIFE = "other_life"
    """The worker process at this address is not the one that the order was meant for."""
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    """The host that was asked to carry the order has not sent it to the worker."""


class CallFailure(enum.StrEnum):
    """Failure of a call to a worker without a complete answer. The call may have been carried out,
    or may still be."""

    REFUSED = "refused"
    """No process listens at the address."""
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """Answer of a worker to an order, or its refusal of a poll.

    :param clock_s: the worker's clock.
    :param refusal: None if the worker accepted the order.
    :param life: start time of the worker's process.
    """

    clock_s: float | None = None
    refusal: Refusal | None = None
    life: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningEntry:
    """A run in progress, as listed by a worker.

    :param percent: completed share of its work.
    """

    task: TaskId
    run: int
    percent: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedEntry:
    """The end of a run, as listed by a worker.

    :param number: sequence number of the end within the worker's process.
    """

    number: int
    task: TaskId
    run: int
    end: TaskEnd


@dataclass(frozen=True, slots=True, kw_only=True)
class PollReport:
    """Answer of a worker to a poll.

    :param life: start time of the worker's process.
    """

    clock_s: float
    life: int | None
    running: tuple[RunningEntry, ...]
    ended: tuple[EndedEntry, ...]


OrderResult = Answered | CallFailure
PollResult = PollReport | Answered | CallFailure
