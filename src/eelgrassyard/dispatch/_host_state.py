"""State of a host: sessions, known hosts, registered workers and configuration."""

from __future__ import annotations

import math
import zlib
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from functools import partial

from .._error_description import UNHANDLED_ERROR, describe_error
from ._actions import Action, Note
from ._crashes import CrashHistory
from ._entry import AnswerCaller, Entry
from ._host_directory import HostDirectory
from ._leadership import Leadership, Role
from ._links import CloseLink, Links, OpenLink, SendLink
from ._messages import (
    ConfigDocument,
    Evacuations,
    HostRecord,
    ToClient,
)
from ._worker_pool import WorkerPool
from ._workers import WorkerRecord

LOCAL_REQUESTER = ""
"""Requester id of jobs of this host's own callers, which need no session."""

MIN_START_OVER_PAUSE_S = 0.3
MAX_START_OVER_PAUSE_S = 2.0
"""Pause after an unforeseen error before this host may lead again. It doubles with each further
one: another host may lead meanwhile, which the error does not concern."""

MAX_UNHEARD_PONGS = 64
"""Pongs of a session whose times are kept. A message that names an earlier one proves nothing."""

START_OVER_MEMORY_S = 30.0
"""Time without such an error after which the pause is as short as at first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendSession:
    """Send a message on an inbound session."""

    session: str
    message: ToClient


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseSession:
    """Close an inbound session."""

    session: str


@dataclass(slots=True, kw_only=True)
class Session:
    """Inbound session, opened by another host.

    :param host: the other host, or None before its hello.
    :param leads_epoch: epoch in which the other host leads its domain's pool, or 0.
    :param ready: whether the other host can serve new callers.
    :param opened_at: when the other host introduced itself.
    :param last_heard: when the last message arrived.
    :param followed_at: latest time at which the other host certainly did not lead; minus infinity
        before a ping has named a pong.
    :param first_pong_at: when the first pong was sent.
    :param told_hosts: names of the hosts that were named to the other host on this session.
    :param crashes_reported: latest change of the crash history that was reported to it.
    :param pong_sent_at_by_number: times of the latest pongs.
    """

    host: HostRecord | None = None
    leads_epoch: int = 0
    ready: bool = False
    opened_at: float = 0.0
    last_heard: float = 0.0
    followed_at: float = -math.inf
    first_pong_at: float = -math.inf
    told_hosts: set[str] = field(default_factory=set)
    crashes_reported: int = 0
    pong_sent_at_by_number: dict[int, float] = field(default_factory=dict)

    def is_from(self, domain: str) -> bool:
        """Tell whether the other host is known to be in a failure domain."""
        return self.host is not None and self.host.domain == domain

    def proved_at(self, heard: int) -> float:
        """Time at which the other host certainly held the session, by a message that has just
        arrived: the message was sent after the pong that it names. One that names none proves
        nothing.

        :param heard: number of that pong, or 0.
        """
        return self.pong_sent_at_by_number.get(heard, -math.inf)

    def pong_sent(self, now: float, number: int) -> None:
        """Record the time of a pong."""
        if not self.pong_sent_at_by_number:
            self.first_pong_at = now
        self.pong_sent_at_by_number[number] = now
        self.pong_sent_at_by_number.pop(number - MAX_UNHEARD_PONGS, None)


HostAction = Action | AnswerCaller | OpenLink | CloseLink | SendLink | SendSession | CloseSession


class HostState:
    """State that the mixins of a host share.

    :param now: start of the process, in seconds.
    :param stop_s: longest time that a worker takes to stop a run.
    :param far_factor: factor on the run time of a task placed outside its rack.
    :param link_bytes_per_s: capacity of this host's link; infinite if it is not known.

    :ivar directory: the other hosts of all domains.
    :ivar pool: worker pool of the domain while this host leads it, otherwise None.
    :ivar crashes: crashes of workers under tasks, in all domains.
    :ivar new_config: newer configuration received from another host; the driver takes it.
    :ivar unforeseen_errors: number of contained errors since the start, by what raised them.
    """

    def __init__(
        self,
        *,
        own: HostRecord,
        now: float,
        stop_s: float,
        far_factor: float,
        link_bytes_per_s: float = math.inf,
    ) -> None:
        self.own = own
        self.entry = Entry()
        self.links = Links()
        self.directory = HostDirectory(own=own)
        self.leadership = Leadership(own=own, directory=self.directory, now=now)
        self.pool: WorkerPool | None = None
        self.crashes = CrashHistory()
        self.config_version = 0
        self.config_document = b""
        self._compressed_config: bytes | None = None
        self.new_config: ConfigDocument | None = None
        self.evacuations = Evacuations(revision=0, domains=())
        self.draining = False
        self._resign_deadline = 0.0
        self._stop_s = stop_s
        self._far_factor = far_factor
        self._link_bytes_per_s = link_bytes_per_s
        self._record_by_id: Mapping[str, WorkerRecord] = {}
        self._registry_read_at = -math.inf
        self._session_by_id: dict[str, Session] = {}
        self._peer_host_by_domain: dict[str, HostRecord] = {}
        self._actions: list[HostAction] = []
        self._last_called_at = now
        self.unforeseen_errors: Counter[str] = Counter()
        self._start_over_pause_s = 0.0
        self._started_over_at = now

    def is_ready(self) -> bool:
        """Tell whether this host can serve new callers."""
        if self.draining or not self.config_version:
            return False
        if self.pool is not None:
            return self.pool.ready_workers() > 0
        return self._confirmed_epoch() > 0

    def _confirmed_epoch(self) -> int:
        """Epoch of the leader that accepts this host's jobs; 0 if there is none or it has not
        confirmed its role."""
        if self.pool is not None:
            return self.leadership.epoch
        leader = self.leadership.leader
        if self.leadership.role is not Role.FOLLOWING or leader is None:
            return 0
        link = self.links.link_by_name.get(leader.name)
        pong = link.pong if link is not None and link.is_open else None
        if pong is None or pong.leader is None or pong.leader.name != leader.name:
            return 0
        return pong.epoch

    def _config_message(self) -> ConfigDocument:
        if self._compressed_config is None:
            self._compressed_config = zlib.compress(self.config_document)
        return ConfigDocument(version=self.config_version, document=self._compressed_config)

    def _config_received(self, message: ConfigDocument) -> None:
        newest = self.new_config.version if self.new_config else self.config_version
        if message.version > newest:
            self.new_config = message

    def set_evacuations(self, now: float, *, revision: int, domains: Collection[str]) -> None:
        """Set the failure domains in which nothing may start, unless newer ones are known.

        :param revision: revision of the store at which they changed.
        """
        if revision <= self.evacuations.revision:
            return
        if self.pool is not None:
            self.pool.set_evacuated(now, self.own.domain in domains)
        # Last, so that the change is applied again after an error.
        self.evacuations = Evacuations(revision=revision, domains=tuple(sorted(domains)))

    def _send_session(self, session_id: str, message: ToClient) -> None:
        self._actions.append(SendSession(session=session_id, message=message))

    def _close_session(self, now: float, session_id: str) -> None:
        self._session_by_id.pop(session_id, None)
        self._actions.append(CloseSession(session=session_id))
        if self.pool is not None:
            self.pool.requester_lost(now, session_id, silent=True)

    def _contain(
        self,
        now: float,
        event: str,
        error: Exception,
        recover: Callable[[], None],
        **fields: object,
    ) -> None:
        """Contain an unforeseen error in the handling of an event.

        :param recover: brings what the event concerns into a known state; if that fails as well,
            the host starts over.
        """
        self._record_error(event, error, fields)
        try:
            recover()
        except Exception as second:
            self._record_error(f"{event}_recovery", second, fields)
            self._start_over(now)

    def _record_error(self, event: str, error: Exception, fields: dict[str, object]) -> None:
        self.unforeseen_errors[event] += 1
        self._note(UNHANDLED_ERROR, **{"part": event, **fields, **describe_error(error)})

    def _start_over(self, now: float) -> None:
        """Discard the pool and the state of sessions after an unforeseen error that may have left
        them half changed.

        The runs of the pool are adopted by the next leader, or expire with their leases. What the
        pool knows of their progress is not reported, since it may be wrong: the next leader takes
        each task for one that may be running.
        """
        if self._start_over_pause_s and now - self._started_over_at > START_OVER_MEMORY_S:
            self._start_over_pause_s = 0.0
        self._start_over_pause_s = min(
            MAX_START_OVER_PAUSE_S, max(MIN_START_OVER_PAUSE_S, 2.0 * self._start_over_pause_s)
        )
        self._started_over_at = now
        self._note(
            "starts_over", led=self.pool is not None, pause_s=round(self._start_over_pause_s, 3)
        )
        self.pool = None
        self._peer_host_by_domain.clear()
        steps = (
            *(partial(self._close_session, now, session) for session in self._session_by_id),
            partial(self.links.set_wanted, now, {}),
            partial(self.leadership.pause, now, self._start_over_pause_s),
            partial(self.entry.set_leader, now, 0),
        )
        for step in steps:
            try:
                step()
            except Exception as error:
                self._record_error("start_over", error, {})

    def _note(self, event: str, **fields: object) -> None:
        self._actions.append(Note(event=event, fields=fields))

    def dump(self) -> dict[str, object]:
        """State of this host, as shown to operators."""
        leadership = self.leadership
        return {
            "host": self.own.name,
            "incarnation": self.own.incarnation,
            "role": leadership.role.name.lower(),
            "leader": leadership.leader.name if leadership.leader is not None else "",
            "epoch": leadership.epoch,
            "waits_for": leadership.waits_for,
            "ready": self.is_ready(),
            "draining": self.draining,
            "config_version": self.config_version,
            "evacuated_domains": self.evacuations.domains,
            "hosts": self.directory.dump(self._last_called_at),
            "links": {
                name: {"alive": link.is_alive(), "last_heard": round(link.last_heard, 3)}
                for name, link in self.links.link_by_name.items()
            },
            "sessions": {
                session_id: session.host.name if session.host is not None else ""
                for session_id, session in self._session_by_id.items()
            },
            "callers_jobs": {
                job_id: {"epoch": job.sent_epoch, "round": job.round}
                for job_id, job in self.entry.job_by_id.items()
            },
            "pool": self.pool.dump() if self.pool is not None else None,
        }
