"""Events that a driver (the daemon, a test, a benchmark) puts into the core's inbox."""

from __future__ import annotations

from dataclasses import dataclass

from ._config import HostEntry, SiteConfig, UpstreamEntry
from ._messages import PeerMessage, StartResult
from ._outcomes import SubmissionBody


@dataclass(frozen=True, slots=True, kw_only=True)
class IdsCalled:
    """A caller requests submission ids.

    :param call: number of the call at this host.
    :param kind: the kind of work that the ids are for; empty if not known.
    """

    call: int
    caller: str
    count: int
    kind: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitCalled:
    """A caller submits or resubmits, waiting up to ``wait_s`` seconds for the outcome."""

    call: int
    caller: str
    submission_id: str
    body: SubmissionBody
    wait_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueryCalled:
    """A caller queries a submission, waiting up to ``wait_s`` seconds for the outcome."""

    call: int
    caller: str
    submission_id: str
    wait_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelCalled:
    """A caller cancels a submission."""

    call: int
    caller: str
    submission_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAbandoned:
    """The caller of a pending call disconnected; the submission continues."""

    call: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReceived:
    """A message from another host, or from this host to itself."""

    sender: str
    incarnation: int
    message: PeerMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerFailed:
    """A connection to another host failed."""

    peer: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartFinished:
    """A start on an upstream ended.

    :param start: number of the start, as in StartTask.
    :param run_s: seconds between the start and the upstream's answer.
    :param payload: JSON text of the result if it is OK, otherwise a message.
    :param leaving: the upstream reported that it is leaving.
    :param refused_by_connect: no connection to the upstream could be made.
    """

    start: int
    upstream: str
    result: StartResult
    run_s: float
    payload: bytes = b""
    leaving: bool = False
    refused_by_connect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UsageEntry:
    """Reported resource use of one task.

    :param memory_mb: memory in MiB.
    """

    task: str
    kind: str
    cores: float
    memory_mb: int


@dataclass(frozen=True, slots=True, kw_only=True)
class UsageReported:
    """A worker's usage report; it lags behind the actual state."""

    upstream: str
    tasks: tuple[UsageEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedHost:
    """An entry host in the platform's host list."""

    host: HostEntry
    leaving: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedUpstream:
    """An upstream in the platform's host list."""

    upstream: UpstreamEntry
    leaving: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class HostListRead:
    """The platform's host list; it lags behind the actual state."""

    hosts: tuple[ListedHost, ...]
    upstreams: tuple[ListedUpstream, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigLoaded:
    """A valid configuration read from the store or from a peer's document."""

    revision: int
    document: bytes
    config: SiteConfig


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainCalled:
    """A drain was requested."""


Event = (
    IdsCalled
    | SubmitCalled
    | QueryCalled
    | CancelCalled
    | CallAbandoned
    | PeerReceived
    | PeerFailed
    | StartFinished
    | UsageReported
    | HostListRead
    | ConfigLoaded
    | DrainCalled
)
