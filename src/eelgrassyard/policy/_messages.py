"""Messages between hosts.

Each class has a struct of the same name in ``daemon/peer.capnp``. Times are in seconds, relative to
the arrival of the message, so that hosts need no synchronised clocks to interpret them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._config import Urgency
from ._outcomes import Outcome, Reason, SubmissionBody


class MemberState(enum.IntEnum):
    """State of a host as its peers see it; at equal counters the higher value wins."""

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
    """Reply to a Ping, or to a PingRequest if passed back by the host that pinged the target."""

    sequence: int
    revision: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class PingRequest:
    """Requests an indirect probe: the receiver pings ``target`` and passes the reply back."""

    sequence: int
    target: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Goodbye:
    """Announces that the sender leaves after a drain; it makes no more starts."""

    incarnation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigPull:
    """Requests the configuration if its revision is above ``after_revision``."""

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
    """Forwards a caller's operation to the owner of the submission.

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
    """Requests that the witness records that the submission may have started.

    :param lifetime_s: seconds until the id expires.
    """

    submission_id: str
    caller: str
    lifetime_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessAck:
    """The witness's answer to a WitnessRecord or a WitnessHandoff.

    Also sent if the record that comes with a SlotAsk is refused.

    :param accepted: False if its records are full, if the id has expired or was already reported
        as not run, or if it does not match the caller, the sender or the witness's incarnation.
    """

    submission_id: str
    accepted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessQuery:
    """Queries the witness for the outcome of a submission whose owner is unreachable."""

    submission_id: str
    caller: str
    lifetime_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessVerdict:
    """The witness's answer to a WitnessQuery; a COMPLETE outcome always carries its results."""

    submission_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class WitnessHandoff:
    """Hands an outcome of a draining owner over to the witness."""

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
    """Requests a slot for each of the tasks from the scheduler of ``pool``.

    :param attempt: number of the request, from 0; a later request replaces the earlier ones.
    :param deadline_s: seconds left until the caller needs the outcome.
    :param avoid: upstreams on which a start of a task was not made or failed.
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
    """The slot granted to one task.

    :param grant: number of the grant, unique at the scheduler's incarnation.
    :param index: index of the task within the submission.
    :param upstream: upstream that runs the task.
    """

    grant: int
    index: int
    upstream: str
    expected_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotGrant:
    """Grants slots to tasks of one submission.

    :param flow_wait_s: expected wait of a new task of the same flow, by which the admission at the
        owner refuses new submissions.
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
    """Refuses slots for all tasks of a slot request that have no grant."""

    submission_id: str
    pool: str
    attempt: int
    reason: Reason
    message: str = ""
    retry_after_s: float | None = None
    flow_wait_s: float = 0.0


class StartResult(enum.IntEnum):
    """Result of a start on an upstream; UNUSED if the granted slot was not used."""

    OK = 0
    FAILED = 1
    NOT_STARTED = 2
    LOST = 3
    STOPPED = 4
    UNUSED = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """Releases one slot and reports the result of its start.

    :param run_s: seconds between the start and the upstream's answer.
    :param leaving: the upstream reported that it is leaving.
    """

    grant: int
    upstream: str
    kind: str
    result: StartResult
    run_s: float
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRelease:
    """Releases slots of a pool at its scheduler."""

    pool: str
    releases: tuple[Release, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotWithdraw:
    """Withdraws the slot request of a submission for all tasks that have no grant."""

    submission_id: str
    pool: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldPlace:
    """A slot in use, reported to a new scheduler."""

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
    """All slots of a pool that the sender holds; sent to a new scheduler before slot requests."""

    pool: str
    places: tuple[HeldPlace, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskControl:
    """Requests that the owner checkpoints, throttles, resumes or stops a background task."""

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
    """Learned speeds of a pool's upstreams, so that a later scheduler need not learn them again."""

    pool: str
    speeds: tuple[SpeedEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamDemand:
    """Task starts requested and made for a team, per second."""

    team: str
    asked_per_s: float
    started_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaDigest:
    """Demand of each team at one scheduler."""

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
