"""Messages between hosts. A session is opened by the host that wants something of the other."""

from __future__ import annotations

import msgspec

from ._jobs import Job, Outcome, TaskEnd


class HostRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A host as its peers know it.

    :param incarnation: start of the process in microseconds of the Unix epoch.
    :param weight: processor share in cores; the largest host of a domain leads first.
    """

    name: str
    address: str
    domain: str
    incarnation: int
    weight: float = 1.0


class _Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag=True):
    pass


class Hello(_Message, frozen=True):
    """First message of a session.

    :param leads_epoch: epoch in which the sender leads its domain's pool, or 0.
    """

    host: HostRecord
    leads_epoch: int = 0


class Ping(_Message, frozen=True):
    """Sign of life of the host that opened the session.

    :param number: rises by one; the answer repeats it.
    :param config_version: version of the configuration in force at the sender.
    """

    number: int
    config_version: int = 0
    leads_epoch: int = 0
    ready: bool = True


class Pong(_Message, frozen=True):
    """Answer to a ping.

    :param leader: host that leads the domain of the answering host, or None if it knows none.
    :param epoch: epoch of that leader.
    :param free_by_service: tasks of usual size that the answering pool could start at once.
    """

    number: int
    config_version: int = 0
    leader: HostRecord | None = None
    epoch: int = 0
    draining: bool = False
    free_by_service: dict[str, int] = {}


class KnownHosts(_Message, frozen=True):
    """Hosts that the answering host knows; sent once in answer to a hello."""

    hosts: tuple[HostRecord, ...]


class ConfigDocument(_Message, frozen=True):
    """A newer configuration, as the store holds it."""

    version: int
    document: bytes


class Progress(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What a leader that resigned knew of a job's tasks, as pairs of step and index.

    :param done: tasks that have ended well.
    :param unsettled: tasks with runs that may be going on; all others are not running anywhere.
    """

    done: tuple[tuple[int, int], ...] = ()
    unsettled: tuple[tuple[int, int], ...] = ()


class Submit(_Message, frozen=True):
    """Asks the leader to run a whole job.

    :param waited_s: seconds since the caller's request arrived.
    :param caller_waits_s: seconds that the caller still waits for the answer.
    :param round: number of times that the job was handed to a leader before. Runs of earlier rounds
        may still be going on.
    :param progress: what the last leader said of it, or None if it said nothing.
    """

    job: Job
    waited_s: float
    caller_waits_s: float
    round: int = 0
    progress: Progress | None = None


class Cancel(_Message, frozen=True):
    """The caller has left, or the lender no longer needs the tasks."""

    job_id: str


class JobEnded(_Message, frozen=True):
    """Outcome of a submitted job.

    :param retry_after_s: when to come back, for a job that has not run.
    """

    job_id: str
    outcome: Outcome
    reason: str = ""
    retry_after_s: float = 0.0


class JobReturned(_Message, frozen=True):
    """The host no longer leads; the job has to be submitted to the next leader.

    :param progress: state of its tasks; None if the host never took the job up.
    """

    job_id: str
    progress: Progress | None = None


class Lend(_Message, frozen=True):
    """Asks another pool to start tasks of one step at once, or to refuse them.

    :param tasks: index of each task and the number of its run.
    :param begun: whether other tasks of the job have started, so that it is worth being late.
    """

    job: Job
    step: int
    tasks: tuple[tuple[int, int], ...]
    waited_s: float
    caller_waits_s: float
    begun: bool = False


class LentEnded(_Message, frozen=True):
    """End of a lent task."""

    job_id: str
    step: int
    index: int
    run: int
    end: TaskEnd


class Resigned(_Message, frozen=True):
    """The leader gives up its pool in favour of a successor."""

    epoch: int
    successor: HostRecord | None = None


class TakeOver(_Message, frozen=True):
    """A leader that is being stopped asks a member to lead."""

    epoch: int


ToServer = Hello | Ping | Submit | Cancel | Lend | ConfigDocument
ToClient = (
    Pong | KnownHosts | JobEnded | JobReturned | LentEnded | ConfigDocument | Resigned | TakeOver
)
Message = ToServer | ToClient
