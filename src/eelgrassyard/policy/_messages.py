"""Messages between hosts.

Each class has a struct of the same name in ``daemon/peer.capnp``. Times are seconds and relative
to the arrival of the message, so hosts need no common clock to read them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._config import Urgency
from ._outcomes import Outcome, Reason, SubmissionBody


class MemberState(enum.IntEnum):
    """State of a host as its peers see it; a higher value overrides at equal counters."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdate:
    """What the sender knows about one host.

    :param incarnation: start time of the host in microseconds of the Unix epoch.
    :param counter: raised by the host itself to refute a suspicion.
    """

    name: str
    address: str
    port: int
    failure_domain: str
    incarnation: int
    counter: int
    state: MemberState
    weight: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Probe of a host.

    :param revision: configuration revision in force at the sender.
    """

    sequence: int
    revision: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class PingReply:
    """Answer to a Ping or, passed back by a helper, to a PingRequest."""

    sequence: int
    revision: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class PingRequest:
    """Asks the receiver to ping ``target`` and to pass the reply back."""

    sequence: int
    target: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye:
    """The sender leaves after a planned stop; it starts nothing any more."""

    incarnation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigPull:
    """Asks for the configuration if its revision is above ``after_revision``."""

    after_revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigDocument:
    """A configuration document with the store's revision.

    :param document: the document as stored, compressed by zlib.
    """

    revision: int
    document: bytes


class Operation(enum.IntEnum):
    """A caller's operation on a submission."""

    SUBMIT = 0
    QUERY = 1
    CANCEL = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardCall:
    """A caller's operation passed on to the owner of the submission.

    :param call: number of the call at the sender.
    :param body: set for a submit only.
    :param wait_s: seconds that the caller waits for an outcome.
    """

    call: int
    caller: str
    operation: Operation
    submission_id: str
    wait_s: float
    body: SubmissionBody | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardReply:
    """The owner's reply to a ForwardCall.

    :param outcome: None while the submission is running.
    :param refusal: reason for a refused call; ``Reason.NONE`` otherwise.
    """

    call: int
    submission_id: str
    outcome: Outcome | None = None
    refusal: Reason = Reason.NONE
    message: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessRecord:
    """Asks the witness to record that the submission may have started.

    :param lifetime_s: seconds until the id expires.
    """

    submission_id: str
    caller: str
    lifetime_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessAck:
    """The witness's answer to a WitnessRecord.

    :param accepted: False if the record is full or the id was already reported as not run.
    """

    submission_id: str
    accepted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessQuery:
    """Asks the witness what may be said of a submission whose owner is unreachable."""

    submission_id: str
    caller: str
    lifetime_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessVerdict:
    """The witness's answer to a WitnessQuery; the outcome is never COMPLETE without results."""

    submission_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessHandoff:
    """An outcome that a draining owner leaves with the witness."""

    submission_id: str
    caller: str
    lifetime_s: float
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskSize:
    """Declared size of one task; ``index`` counts from 0 within the submission."""

    index: int
    cores: float = 1.0
    memory_mb: int = 256
    accelerators: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotAsk:
    """Asks the scheduler of ``pool`` for a place for each of the tasks.

    :param attempt: counts repeats of the ask; a repeat replaces the earlier ask.
    :param deadline_s: seconds left until the caller needs the answer.
    :param avoid: upstreams that already failed the task.
    """

    submission_id: str
    pool: str
    caller: str
    team: str
    kind: str
    urgency: Urgency
    deadline_s: float
    tasks: tuple[TaskSize, ...]
    attempt: int = 0
    idempotent: bool = False
    gang: bool = False
    spread_racks: bool = False
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """One granted task: its index and the upstream that runs it.

    :param grant: number of the grant, unique at the scheduler's incarnation.
    """

    grant: int
    index: int
    upstream: str
    expected_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotGrant:
    """Grants places to tasks of one submission.

    :param flow_wait_s: expected wait of a new task of the same flow, for refusals at the host.
    :param recorded: the scheduler is the witness of the submission and holds its record.
    """

    submission_id: str
    pool: str
    attempt: int
    placements: tuple[Placement, ...]
    recorded: bool = False
    flow_wait_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRefusal:
    """Refuses all tasks of an ask that have no grant."""

    submission_id: str
    pool: str
    attempt: int
    reason: Reason
    message: str = ""
    retry_after_s: float | None = None
    flow_wait_s: float = 0.0


class StartResult(enum.IntEnum):
    """How a start on an upstream ended."""

    OK = 0
    FAILED = 1
    NOT_STARTED = 2
    LOST = 3
    STOPPED = 4
    UNUSED = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """One finished start.

    :param run_s: seconds between start and answer.
    :param leaving: the upstream said that it is leaving.
    """

    grant: int
    upstream: str
    kind: str
    result: StartResult
    run_s: float
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRelease:
    """Gives places back to the scheduler and reports how the starts went."""

    pool: str
    releases: tuple[Release, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotWithdraw:
    """Withdraws all asks of a submission that have no grant."""

    submission_id: str
    pool: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldPlace:
    """A place in use, reported to a new scheduler."""

    submission_id: str
    caller: str
    team: str
    kind: str
    upstream: str
    size: TaskSize
    running_s: float
    grant: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotHeld:
    """All places of a pool that the sender holds; sent to a new scheduler before any ask."""

    pool: str
    places: tuple[HeldPlace, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskControl:
    """Asks the owner to checkpoint, throttle, resume or stop a background task."""

    submission_id: str
    index: int
    control: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedEntry:
    """Learned speed of an upstream: 1.0 is the pool's average, higher is faster."""

    upstream: str
    speed: float
    samples: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedDigest:
    """Learned speeds of a pool, so that a later scheduler need not learn them again."""

    pool: str
    speeds: tuple[SpeedEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamDemand:
    """Task starts asked for and made for a team, per second."""

    team: str
    asked_per_s: float
    started_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaDigest:
    """Demand by team at one scheduler."""

    failure_domain: str
    sequence: int
    demands: tuple[TeamDemand, ...]


PeerMessage = (
    Ping
    | PingReply
    | PingRequest
    | Goodbye
    | ConfigPull
    | ConfigDocument
    | ForwardCall
    | ForwardReply
    | WitnessRecord
    | WitnessAck
    | WitnessQuery
    | WitnessVerdict
    | WitnessHandoff
    | SlotAsk
    | SlotGrant
    | SlotRefusal
    | SlotRelease
    | SlotWithdraw
    | SlotHeld
    | TaskControl
    | SpeedDigest
    | QuotaDigest
)
