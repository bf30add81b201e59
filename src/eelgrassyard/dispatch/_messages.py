"""Messages between hosts. The host that sends requests opens the session."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from ._jobs import Job, Number, Outcome, Seconds, TaskEnd

Epoch = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Epoch of a leader in milliseconds. The next leader's is higher and must still be encodable."""

Life = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Start of a worker's process in milliseconds of the Unix epoch."""

SpeedClass = Annotated[int, msgspec.Meta(ge=-100, le=100)]
RunNumber = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
RemainingSeconds = Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]
"""Time until a deadline, which may just have passed."""


class HostRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A host, as known to its peers.

    :param incarnation: start of the process in microseconds of the Unix epoch.
    :param weight: processor share in cores; the largest host of a domain leads first.
    """

    name: str
    address: str
    domain: str
    incarnation: int
    weight: float = 1.0


class CrashState(enum.StrEnum):
    """What is known of a crash."""

    SUSPECTED = "suspected"
    """The worker cannot be connected to and its leases are over; it may also be cut off."""
    CONFIRMED = "confirmed"
    """Another process of the worker has answered."""
    WITHDRAWN = "withdrawn"
    """The same process has answered again."""


class CrashReport(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A crash of a worker while a task may have been running on it."""

    job_id: str
    step: Number
    index: Number
    worker_id: str
    state: CrashState


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag=True):
    pass


class Hello(_Message, frozen=True):
    """First message of a session.

    :param leads_epoch: epoch in which the sender leads its domain's pool, or 0.
    """

    host: HostRecord
    leads_epoch: Epoch = 0


class Ping(_Message, frozen=True):
    """Heartbeat of the host that opened the session.

    :param number: sequence number, repeated in the answer.
    :param config_version: version of the configuration in force at the sender.
    :param leads_epoch: epoch in which the sender leads its domain's pool, or 0.
    :param ready: whether the sender can serve new callers.
    :param evacuation_revision: revision of the evacuations that the sender knows.
    :param carries_starts: whether the sender understands :class:`CarryStart`; earlier releases
        do not send this field.
    :param heard: number of the last pong that the sender has received on this session, or 0;
        earlier releases do not send this field.
    """

    number: Number
    config_version: Number = 0
    leads_epoch: Epoch = 0
    ready: bool = True
    evacuation_revision: Number = 0
    carries_starts: bool = False
    heard: Number = 0


class Pong(_Message, frozen=True):
    """Answer to a ping.

    :param leader: leader of the answering host's domain, or None if it knows none.
    :param epoch: epoch of that leader, or 0.
    :param draining: whether the answering host will not lead: it is about to end, or pauses after
        an unforeseen error.
    :param room_by_service: free thousandths of a core of single workers of the answering pool, by
        service and speed class of the worker.
    :param evacuation_revision: revision of the evacuations that the answering host knows.
    :param crashes: what a leader knows of crashes of workers, as far as it has changed since the
        pong before.
    :param rival_leads: whether a host that the answering one does not follow has fenced it out;
        earlier releases do not send this field.
    :param wait_by_service: forecast seconds until a place of typical size is free in the answering
        pool, by service. Only services without room are listed; earlier releases do not send this
        field.
    """

    number: Number
    config_version: Number = 0
    leader: HostRecord | None = None
    epoch: Epoch = 0
    draining: bool = False
    room_by_service: dict[str, dict[SpeedClass, tuple[Number, ...]]] = {}
    evacuation_revision: Number = 0
    crashes: tuple[CrashReport, ...] = ()
    rival_leads: bool = False
    wait_by_service: dict[str, Seconds] = {}


class KnownHosts(_Message, frozen=True):
    """Hosts known to the answering host; sent once in answer to a hello."""

    hosts: tuple[HostRecord, ...]


class ConfigDocument(_Message, frozen=True):
    """A configuration newer than the receiver's.

    :param document: the document as the store holds it, compressed with zlib. A large one would
        hold up the pings on a slow link for longer than their timeout.
    """

    version: Number
    document: bytes


class Evacuations(_Message, frozen=True):
    """Failure domains in which nothing may start, newer than what the receiver knows.

    :param revision: revision of the store at which the domains changed.
    """

    revision: Number
    domains: tuple[str, ...]


class Progress(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Progress of a job at the resignation of its leader; tasks are pairs of step and index.

    :param done: tasks that have completed.
    :param unsettled: tasks that may be running; all others are not running anywhere.
    :param crashes: crashes of workers under the tasks.
    """

    done: tuple[tuple[int, int], ...] = ()
    unsettled: tuple[tuple[int, int], ...] = ()
    crashes: tuple[CrashReport, ...] = ()


class Submit(_Message, frozen=True):
    """Request to the leader to run a whole job.

    :param waited_s: seconds since the caller's request arrived.
    :param caller_waits_s: seconds for which the caller still waits for the answer.
    :param round: number of times that the job was submitted to a leader before. Runs of earlier
        rounds may still be in progress.
    :param progress: progress that the last leader reported, or None if it reported none.
    """

    job: Job
    waited_s: Seconds
    caller_waits_s: RemainingSeconds
    round: Annotated[int, msgspec.Meta(ge=0, le=10**6)] = 0
    progress: Progress | None = None


class Cancel(_Message, frozen=True):
    """Request to stop a job whose caller has left, or lent tasks that are no longer needed."""

    job_id: str


class JobEnded(_Message, frozen=True):
    """Outcome of a submitted job.

    :param retry_after_s: time after which the caller may retry a job that has not run.
    """

    job_id: str
    outcome: Outcome
    reason: str = ""
    retry_after_s: Seconds = 0.0


class JobReturned(_Message, frozen=True):
    """The host does not lead, or no longer does; the job must be submitted to the next leader.

    :param progress: progress of its tasks; None if none of them can have run.
    """

    job_id: str
    progress: Progress | None = None


class Lend(_Message, frozen=True):
    """Request to another pool to start tasks of one step at once, or to refuse them.

    :param tasks: index of each task and the number of its run.
    :param waited_s: seconds since the caller's request arrived.
    :param caller_waits_s: seconds for which the caller still waits for the answer.
    :param begun: whether a late result is still of use: other tasks of the job have started, or the
        lender would refuse the job otherwise.
    :param heard: as in :class:`Ping`.
    """

    job: Job
    step: Number
    tasks: tuple[tuple[Number, RunNumber], ...]
    waited_s: Seconds
    caller_waits_s: RemainingSeconds
    begun: bool = False
    heard: Number = 0


class LentEnded(_Message, frozen=True):
    """End of the run of a lent task, reported to the lender.

    :param crashes: crashes of workers under the task.
    """

    job_id: str
    step: Number
    index: Number
    run: RunNumber
    end: TaskEnd
    crashes: tuple[CrashReport, ...] = ()


class CarryStart(_Message, frozen=True):
    """Request of the leader to the host that submitted a job: send the start of one of its tasks.

    :param deadline_s: deadline of the lease on the worker's clock.
    :param fence: epoch of the leader.
    :param timeout_s: time after which the start counts as unanswered.
    :param life: start time of the worker's process whose clock that is; None if it is not known, or
        the leader is of an earlier release.
    """

    job_id: str
    step: Number
    index: Number
    run: RunNumber
    worker_id: str
    deadline_s: Annotated[float, msgspec.Meta(ge=-1e13, le=1e13)]
    fence: Epoch
    timeout_s: Seconds
    life: Life | None = None


class StartCarried(_Message, frozen=True):
    """Result of a carried start.

    :param fence: epoch of the leader that requested it.
    :param refusal: reason for which the worker refused it, or empty.
    :param failure: reason for which the worker's answer is missing, or empty.
    """

    job_id: str
    step: Number
    index: Number
    run: RunNumber
    worker_id: str
    fence: Epoch
    refusal: str = ""
    failure: str = ""


class Resigned(_Message, frozen=True):
    """The leader has resigned; without a successor its followers search for a new leader."""

    epoch: Epoch
    successor: HostRecord | None = None


class TakeOver(_Message, frozen=True):
    """A resigning leader asks a host of its domain to take over."""

    epoch: Epoch


ToServer = Hello | Ping | Submit | Cancel | Lend | StartCarried | ConfigDocument | Evacuations
ToClient = (
    Pong
    | KnownHosts
    | JobEnded
    | JobReturned
    | LentEnded
    | CarryStart
    | ConfigDocument
    | Evacuations
    | Resigned
    | TakeOver
)
Message = ToServer | ToClient
