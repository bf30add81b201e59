"""One host: its callers, its part in the domain's leadership, and the pool while it leads."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ._actions import Action, Ask, LookResult, Note, OrderResult, Reply
from ._entry import AnswerCaller, Entry, SendLeader
from ._jobs import Job, TaskEnd, TaskId
from ._leadership import Leadership, Role
from ._links import CloseLink, Links, OpenLink, SendLink
from ._messages import (
    Cancel,
    ConfigDocument,
    Hello,
    HostRecord,
    JobEnded,
    JobReturned,
    KnownHosts,
    Lend,
    LentEnded,
    Message,
    Ping,
    Pong,
    Resigned,
    Submit,
    TakeOver,
    ToClient,
    ToServer,
)
from ._pool import Pool
from ._workers import WorkerRecord

SESSION_SILENT_S = 0.45
"""A session without a ping for this long has lost its host; its jobs are stopped."""

FAR_SESSION_SILENT_S = 0.6

FREEZE_S = 0.6
"""A gap of this length between two calls means that the process stood still. Other hosts may have
taken over by then, so everything believed before is dropped."""

OWN = ""
"""Requester of the jobs of this host's own callers."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendSession:
    """Send a message on a session that another host has opened."""

    session: str
    message: ToClient


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseSession:
    """Close a session that another host has opened."""

    session: str


@dataclass(slots=True, kw_only=True)
class Session:
    """A session that another host has opened to this one."""

    host: HostRecord | None = None
    leads_epoch: int = 0
    ready: bool = False
    last_heard: float = 0.0


HostAction = Action | AnswerCaller | OpenLink | CloseLink | SendLink | SendSession | CloseSession


class DispatchHost:
    """Everything that one host decides about jobs whose callers wait.

    The driver calls the methods as things happen, :meth:`advance` at least every 20 ms, and carries
    out what :meth:`take_actions` returns.

    :param now: start of the process, in seconds.
    :param stop_s: longest time that a worker takes to stop a run.
    :param far_factor: how many times longer a task takes away from its rack.
    """

    def __init__(self, *, own: HostRecord, now: float, stop_s: float, far_factor: float) -> None:
        self.own = own
        self.entry = Entry()
        self.links = Links()
        self.leadership = Leadership(own=own, now=now)
        self.pool: Pool | None = None
        self.config_version = 0
        self.config_document = b""
        self.new_config: ConfigDocument | None = None
        self.draining = False
        self._stop_s = stop_s
        self._far_factor = far_factor
        self._records: Mapping[str, WorkerRecord] = {}
        self._host_by_name: dict[str, HostRecord] = {own.name: own}
        self._session_by_id: dict[str, Session] = {}
        self._neighbour_by_domain: dict[str, HostRecord] = {}
        self._neighbour_tries: dict[str, int] = {}
        self._actions: list[HostAction] = []
        self._last_advance = now

    # --- what the platform says ---

    def set_workers(self, now: float, records: Mapping[str, WorkerRecord]) -> None:
        """Replace the registered workers of all domains, by id."""
        self._records = records
        if self.pool is not None:
            self.pool.set_workers(now, records)

    def set_hosts(self, now: float, hosts: Iterable[HostRecord]) -> None:
        """Replace the hosts that the store lists."""
        listed = {host.name: host for host in hosts}
        for host in listed.values():
            self._learn(host)
        self.leadership.set_hosts(self._host_by_name, listed)
        self.leadership.hosts_known = True

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Addresses of hosts whose names are not known yet; they may be stale."""
        for address in addresses:
            if address != self.own.address:
                self._learn(HostRecord(name=address, address=address, domain="", incarnation=0))

    def _learn(self, host: HostRecord) -> None:
        known = self._host_by_name.get(host.name)
        if host.name != self.own.name and (known is None or known.incarnation < host.incarnation):
            # An address belongs to one host; a seed is known by its address until it says its name.
            for name, other in list(self._host_by_name.items()):
                if other.address == host.address and name not in (host.name, self.own.name):
                    del self._host_by_name[name]
            self._host_by_name[host.name] = host
            self.leadership.set_hosts(self._host_by_name, self.leadership.registered)

    def set_config(self, version: int, document: bytes) -> None:
        """Note the configuration in force, to be passed on to other hosts."""
        self.config_version = version
        self.config_document = document

    # --- callers ---

    def job_arrived(self, now: float, ticket: int, job: Job, *, caller_waits_s: float) -> None:
        """A caller has sent a job."""
        self.entry.arrive(now, ticket, job, caller_waits_s=caller_waits_s)

    def caller_left(self, now: float, ticket: int) -> None:
        """A caller has closed its connection before the answer."""
        self.entry.caller_left(now, ticket)

    def is_ready(self) -> bool:
        """Tell whether jobs of new callers can be served."""
        if self.draining or not self.config_version:
            return False
        if self.pool is not None:
            return self.pool.ready_workers() > 0
        return self._confirmed_epoch() > 0

    def drain(self, now: float) -> None:
        """Prepare the end of the process: give up the lead, take no new connections."""
        self.draining = True
        self.leadership.draining = True
        if self.pool is None:
            return
        self.pool.stop_lent(now)
        heirs = [
            (session_id, session)
            for session_id, session in self._session_by_id.items()
            if session.ready and session.host is not None and session.host.domain == self.own.domain
        ]
        heir = max(
            heirs, key=lambda item: item[1].host.weight if item[1].host else 0.0, default=None
        )
        if heir is None:
            return
        epoch, successor = self.leadership.epoch, heir[1].host
        self._note("leader_resigns", epoch=epoch, successor=successor.name if successor else "")
        self._stop_leading(now)
        for session_id, session in self._session_by_id.items():
            message: ToClient = Resigned(epoch=epoch, successor=successor)
            if session_id == heir[0]:
                message = TakeOver(epoch=epoch)
            if session.host is not None and session.host.domain == self.own.domain:
                self._actions.append(SendSession(session=session_id, message=message))
        if successor is not None:
            self.leadership.follow(now, successor, epoch)

    # --- results of orders ---

    def start_answered(
        self, now: float, worker_id: str, task: TaskId, run: int, result: OrderResult
    ) -> None:
        """A worker has answered a start, or has not."""
        if self.pool is not None:
            self.pool.start_answered(now, worker_id, task, run, result)

    def stop_answered(
        self, now: float, worker_id: str, task: TaskId, run: int, result: OrderResult
    ) -> None:
        """A worker has answered a stop, or has not."""
        if self.pool is not None:
            self.pool.stop_answered(now, worker_id, task, run, result)

    def look_answered(self, now: float, worker_id: str, result: LookResult) -> None:
        """A worker has answered a look, or has not."""
        if self.pool is not None:
            self.pool.look_answered(now, worker_id, result)

    # --- sessions that this host has opened ---

    def link_connected(self, now: float, name: str) -> None:
        """A session to another host is open."""
        self.links.connected(now, name)
        epoch = self.leadership.epoch if self.pool is not None else 0
        self._actions.append(SendLink(name=name, message=Hello(host=self.own, leads_epoch=epoch)))

    def link_closed(self, now: float, name: str, *, refused: bool) -> None:
        """A session to another host has broken, or could not be opened."""
        self.links.closed(now, name, refused=refused)

    def link_received(self, now: float, name: str, message: Message) -> None:
        """A message has come on a session that this host has opened."""
        match message:
            case Pong():
                self._pong(now, name, message)
            case KnownHosts():
                for host in message.hosts:
                    self._learn(host)
                self.leadership.hosts_known = True
            case JobEnded():
                self.entry.ended(now, message)
            case JobReturned():
                self.entry.returned(now, message)
            case LentEnded():
                self._lent_ended(now, name, message)
            case ConfigDocument():
                self._config_received(message)
            case Resigned():
                self._resigned(now, name, message)
            case TakeOver():
                if self.pool is None and not self.draining:
                    self.leadership.highest_epoch = max(
                        self.leadership.highest_epoch, message.epoch
                    )
                    self._lead(now)

    def _pong(self, now: float, name: str, pong: Pong) -> None:
        self.links.answered(now, name, pong)
        self.leadership.answered(now, name, pong)
        if pong.config_version < self.config_version:
            self._actions.append(SendLink(name=name, message=self._config_message()))
        if self.pool is None:
            return
        host = self._host_by_name.get(name)
        if host is None or host.domain == self.own.domain:
            return
        if pong.leader is not None and pong.leader.name == name:
            self.pool.neighbour_seen(now, host.domain, pong.free_by_service)
        elif pong.leader is not None and pong.leader.domain == host.domain:
            self._neighbour_by_domain[host.domain] = pong.leader

    def _config_message(self) -> ConfigDocument:
        return ConfigDocument(version=self.config_version, document=self.config_document)

    def _config_received(self, message: ConfigDocument) -> None:
        newest = self.new_config.version if self.new_config else self.config_version
        if message.version > newest:
            self.new_config = message

    def _lent_ended(self, now: float, name: str, message: LentEnded) -> None:
        host = self._host_by_name.get(name)
        if self.pool is not None and host is not None:
            self.pool.lent_ended(
                now,
                host.domain,
                message.job_id,
                message.step,
                message.index,
                message.run,
                message.end,
            )

    def _resigned(self, now: float, name: str, message: Resigned) -> None:
        leader = self.leadership.leader
        if self.leadership.role is Role.FOLLOWING and leader is not None and leader.name == name:
            if message.successor is None or message.successor.name == self.own.name:
                self.leadership.search(now)
            else:
                self._learn(message.successor)
                self.leadership.follow(now, message.successor, message.epoch)

    # --- sessions that other hosts have opened ---

    def session_received(self, now: float, session_id: str, message: Message) -> None:
        """A message has come on a session that another host has opened."""
        session = self._session_by_id.setdefault(session_id, Session())
        session.last_heard = now
        match message:
            case Hello():
                session.host = message.host
                session.leads_epoch = message.leads_epoch
                self._learn(message.host)
                known = tuple(self._host_by_name.values())
                self._send_session(session_id, KnownHosts(hosts=known))
            case Ping():
                self._ping(now, session_id, session, message)
            case ConfigDocument():
                self._config_received(message)
            case Submit() | Cancel() | Lend():
                self._request(now, session_id, message)

    def _request(self, now: float, session_id: str, message: Submit | Cancel | Lend) -> None:
        pool = self.pool
        if pool is None:
            self._return_request(session_id, message)
            return
        match message:
            case Submit():
                pool.submit(
                    now,
                    session_id,
                    message.job,
                    waited_s=message.waited_s,
                    caller_waits_s=message.caller_waits_s,
                    round=message.round,
                    progress=message.progress,
                )
            case Cancel():
                pool.cancel(now, session_id, message.job_id)
            case Lend():
                pool.lend(
                    now,
                    session_id,
                    message.job,
                    message.step,
                    message.tasks,
                    waited_s=message.waited_s,
                    caller_waits_s=message.caller_waits_s,
                )

    def _return_request(self, session_id: str, message: Submit | Cancel | Lend) -> None:
        """Say that this host does not lead, and has done nothing."""
        match message:
            case Submit():
                self._send_session(session_id, JobReturned(job_id=message.job.id))
            case Lend():
                for index, run in message.tasks:
                    ended = LentEnded(
                        job_id=message.job.id,
                        step=message.step,
                        index=index,
                        run=run,
                        end=TaskEnd.NO_ROOM,
                    )
                    self._send_session(session_id, ended)
            case Cancel():
                pass

    def session_closed(self, now: float, session_id: str) -> None:
        """A session that another host had opened has broken."""
        if self._session_by_id.pop(session_id, None) is not None and self.pool is not None:
            self.pool.requester_lost(now, session_id, silent=False)

    def _ping(self, now: float, session_id: str, session: Session, ping: Ping) -> None:
        session.leads_epoch = ping.leads_epoch
        session.ready = ping.ready
        leader = self.leadership.leader
        if self.leadership.role is Role.FOLLOWING and not self._confirmed_epoch():
            leader = None
        pool = self.pool
        pong = Pong(
            number=ping.number,
            config_version=self.config_version,
            leader=leader,
            epoch=self.leadership.epoch if leader is not None else 0,
            draining=self.draining,
            free_by_service=pool.free_by_service(now) if pool and ping.leads_epoch else {},
        )
        self._send_session(session_id, pong)
        if ping.config_version < self.config_version:
            self._send_session(session_id, self._config_message())

    def _send_session(self, session_id: str, message: ToClient) -> None:
        self._actions.append(SendSession(session=session_id, message=message))

    def _close_session(self, now: float, session_id: str) -> None:
        self._session_by_id.pop(session_id, None)
        self._actions.append(CloseSession(session=session_id))
        if self.pool is not None:
            self.pool.requester_lost(now, session_id, silent=True)

    # --- leadership ---

    def _confirmed_epoch(self) -> int:
        """Epoch of the leader that takes this host's jobs, or 0."""
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

    def _lead(self, now: float) -> None:
        self.leadership.lead(now)
        self._begin_pool(now)

    def _begin_pool(self, now: float) -> None:
        self._note("leads", epoch=self.leadership.epoch, domain=self.own.domain)
        self.pool = Pool(
            domain=self.own.domain,
            epoch=self.leadership.epoch,
            now=now,
            stop_s=self._stop_s,
            far_factor=self._far_factor,
        )
        self.pool.set_workers(now, self._records)

    def _stop_leading(self, now: float) -> None:
        """Drop the pool; what runs is adopted by the next leader, or lapses."""
        if self.pool is not None:
            self._carry_out_pool(now)
            for requester, message in self.pool.progress_by_requester():
                if requester == OWN:
                    self.entry.returned(now, message)
                else:
                    self._send_session(requester, message)
        self.pool = None
        self._neighbour_by_domain.clear()
        self.entry.set_leader(now, 0)
        for session_id, session in list(self._session_by_id.items()):
            if session.host is not None and session.host.domain != self.own.domain:
                self._session_by_id.pop(session_id)
                self._actions.append(CloseSession(session=session_id))

    def _neighbour_links(self) -> dict[str, tuple[HostRecord, bool]]:
        """One host of each other domain: its leader, or one that may name it."""
        wanted: dict[str, tuple[HostRecord, bool]] = {}
        domains = {h.domain for h in self._host_by_name.values() if h.domain} - {self.own.domain}
        for domain in sorted(domains):
            host = self._neighbour_by_domain.get(domain)
            if host is None:
                known = sorted(
                    (h for h in self._host_by_name.values() if h.domain == domain),
                    key=lambda h: (-h.weight, h.name),
                )
                host = known[self._neighbour_tries.get(domain, 0) % len(known)]
                self._neighbour_by_domain[domain] = host
            wanted[host.name] = (host, True)
        return wanted

    def dump(self) -> dict[str, object]:
        """State of this host, for operators."""
        leadership = self.leadership
        return {
            "host": self.own.name,
            "incarnation": self.own.incarnation,
            "role": leadership.role.name.lower(),
            "leader": leadership.leader.name if leadership.leader is not None else "",
            "epoch": leadership.epoch,
            "ready": self.is_ready(),
            "draining": self.draining,
            "config_version": self.config_version,
            "hosts": sorted(self._host_by_name),
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

    # --- time ---

    def advance(self, now: float) -> None:
        """Do what is due."""
        gap_s = now - self._last_advance
        self._last_advance = now
        if gap_s > FREEZE_S:
            self._thaw(now, gap_s)
        for session_id, session in list(self._session_by_id.items()):
            far = session.host is not None and session.host.domain != self.own.domain
            limit_s = FAR_SESSION_SILENT_S if far else SESSION_SILENT_S
            if now - session.last_heard > limit_s:
                self._close_session(now, session_id)
        if self.pool is not None:
            self.pool.advance(now)
            if self.pool.fenced_out:
                self._stop_leading(now)
                self.leadership.fenced_out(now)
        self._keep_links(now)
        if self.leadership.advance(now, self.links):
            self._begin_pool(now)
        self.entry.set_leader(now, self._confirmed_epoch())
        self.entry.advance(now)

    def _keep_links(self, now: float) -> None:
        for name in self.links.take_lost():
            self._link_lost(now, name)
        wanted = self.leadership.wanted_links()
        if self.pool is not None:
            wanted.update(self._neighbour_links())
        self.links.want(now, wanted)
        self.links.advance(
            now,
            config_version=self.config_version,
            leads_epoch=self.leadership.epoch if self.pool is not None else 0,
            ready=self.is_ready(),
        )

    def _link_lost(self, now: float, name: str) -> None:
        leader = self.leadership.leader
        if leader is not None and leader.name == name:
            self._note("leader_lost", leader=name, epoch=self.leadership.epoch)
            self.entry.set_leader(now, 0)
        self.leadership.host_lost(now, name)
        for domain, host in list(self._neighbour_by_domain.items()):
            if host.name == name:
                del self._neighbour_by_domain[domain]
                self._neighbour_tries[domain] = self._neighbour_tries.get(domain, 0) + 1
                if self.pool is not None:
                    self.pool.neighbour_lost(now, domain)

    def _thaw(self, now: float, gap_s: float) -> None:
        """The process stood still: others may have taken over, so nothing old is believed."""
        self._note("stood_still", gap_s=round(gap_s, 3), led=self.pool is not None)
        if self.pool is not None:
            self._stop_leading(now)
        for session_id in list(self._session_by_id):
            self._close_session(now, session_id)
        self.links.want(now, {})
        self.leadership.search(now)
        self.entry.set_leader(now, 0)

    # --- actions ---

    def _carry_out_pool(self, now: float) -> None:
        """Pass on the pool's actions: replies and requests to other pools go by session."""
        pool = self.pool
        if pool is None:
            return
        actions = pool.actions[:]
        pool.actions.clear()
        for action in actions:
            match action:
                case Reply(requester=requester, message=message) if requester == OWN:
                    if isinstance(message, JobEnded):
                        self.entry.ended(now, message)
                case Reply(requester=requester, message=message):
                    self._send_session(requester, message)
                case Ask(domain=domain, message=message):
                    host = self._neighbour_by_domain.get(domain)
                    if host is not None:
                        self._actions.append(SendLink(name=host.name, message=message))
                case _:
                    self._actions.append(action)

    def _carry_out_entry(self, now: float) -> bool:
        actions = self.entry.actions[:]
        self.entry.actions.clear()
        for action in actions:
            match action:
                case SendLeader(message=message):
                    self._send_leader(now, message)
                case AnswerCaller() | Note():
                    self._actions.append(action)
        return bool(actions)

    def _send_leader(self, now: float, message: Submit | Cancel) -> None:
        if self.pool is not None:
            match message:
                case Submit():
                    self.pool.submit(
                        now,
                        OWN,
                        message.job,
                        waited_s=message.waited_s,
                        caller_waits_s=message.caller_waits_s,
                        round=message.round,
                        progress=message.progress,
                    )
                case Cancel():
                    self.pool.cancel(now, OWN, message.job_id)
        elif self.leadership.leader is not None:
            self._actions.append(SendLink(name=self.leadership.leader.name, message=message))

    def _note(self, event: str, **fields: object) -> None:
        self._actions.append(Note(event=event, fields=fields))

    def take_actions(self, now: float) -> list[HostAction]:
        """What the driver has to do now, in order."""
        while self._carry_out_entry(now):
            self._carry_out_pool(now)
        self._carry_out_pool(now)
        while self.entry.actions:
            self._carry_out_entry(now)
            self._carry_out_pool(now)
        self._actions.extend(self.links.actions)
        self.links.actions.clear()
        actions, self._actions = self._actions, []
        return actions


__all__ = ["DispatchHost", "HostAction", "SendSession", "ToServer"]
