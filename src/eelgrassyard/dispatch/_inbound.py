"""Handling of inbound sessions, which other hosts have opened."""

from __future__ import annotations

from ._actions import Answered, CallFailure, OrderResult, Refusal
from ._delivery import forward_to_pool
from ._host_state import CloseSession, Session
from ._jobs import TaskEnd, TaskId
from ._leadership import Role
from ._messages import (
    Cancel,
    ConfigDocument,
    CrashReport,
    Evacuations,
    Hello,
    HostRecord,
    JobReturned,
    KnownHosts,
    Lend,
    LentEnded,
    Message,
    Ping,
    Pong,
    StartCarried,
    Submit,
)
from ._transitions import LeadershipTransitions


class InboundSessions(LeadershipTransitions):
    """Handles events and messages of inbound sessions."""

    def session_received(self, now: float, session_id: str, message: Message) -> None:
        """Handle a message on an inbound session."""
        self._check_suspension(now)
        if isinstance(message, Hello):
            self._session_by_id.setdefault(session_id, Session())
        session = self._session_by_id.get(session_id)
        if session is None:
            # It was closed, and what it has proved is forgotten.
            self._note("message_dropped", session=session_id, message=type(message).__name__)
            return
        session.last_heard = now
        match message:
            case Hello():
                self._close_earlier_sessions(now, session_id, message.host)
                session.host = message.host
                session.opened_at = now
                session.leads_epoch = message.leads_epoch
                self.directory.heard(now, message.host)
                present = self.directory.present(now)
                session.told_hosts.update(host.name for host in present)
                self._send_session(session_id, KnownHosts(hosts=(self.own, *present)))
                self._introduce(message.host)
            case Ping():
                self._ping(now, session_id, session, message)
            case ConfigDocument():
                self._config_received(message)
            case Evacuations():
                self.set_evacuations(now, revision=message.revision, domains=message.domains)
            case Submit() | Cancel() | Lend():
                self._request(now, session_id, session, message)
            case StartCarried():
                self._start_carried(now, message)

    def _introduce(self, host: HostRecord) -> None:
        """Name a new host of the domain to the followers: while the store is out, nothing else
        tells them whom to ask when this leader is lost."""
        if self.pool is None or host.domain != self.own.domain:
            return
        for session_id, session in self._session_by_id.items():
            if (
                session.host is not None
                and session.host.domain == self.own.domain
                and host.name not in session.told_hosts
            ):
                session.told_hosts.add(host.name)
                self._send_session(session_id, KnownHosts(hosts=(host,)))

    def _close_earlier_sessions(self, now: float, session_id: str, host: HostRecord) -> None:
        """Close the sessions that a host has replaced by a new one. Their lent tasks end, since a
        session owns only what was lent on it; jobs may be submitted again on the new one."""
        for other_id, other in list(self._session_by_id.items()):
            if (
                other_id != session_id
                and other.host is not None
                and other.host.name == host.name
                and other.host.incarnation <= host.incarnation
            ):
                self._actions.append(CloseSession(session=other_id))
                self.session_closed(now, other_id)

    def _request(
        self, now: float, session_id: str, session: Session, message: Submit | Cancel | Lend
    ) -> None:
        pool = self.pool
        if pool is None:
            self._return_request(session_id, message)
            return
        match message:
            case Submit():
                # A host submits only after a pong on this session has named its leader.
                pool.followers.prove(session_id, max(session.followed_at, session.first_pong_at))
                forward_to_pool(pool, now, session_id, message)
            case Cancel():
                forward_to_pool(pool, now, session_id, message)
            case Lend():
                pool.lend(
                    now,
                    session_id,
                    message.job,
                    message.step,
                    message.tasks,
                    waited_s=message.waited_s,
                    caller_waits_s=message.caller_waits_s,
                    proved_at=session.proved_at(message.heard),
                    begun=message.begun,
                )

    def _return_request(self, session_id: str, message: Submit | Cancel | Lend) -> None:
        """Report that this host does not lead and has not acted on the request."""
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

    def _start_carried(self, now: float, message: StartCarried) -> None:
        """Handle the report of a host on a start that it was asked to carry."""
        if self.pool is None or self.pool.epoch != message.fence:
            return
        result: OrderResult
        try:
            result = (
                CallFailure(message.failure)
                if message.failure
                else Answered(refusal=Refusal(message.refusal) if message.refusal else None)
            )
        except ValueError as error:
            # A later release may know more reasons; the start may have been carried out.
            self._note("carried_start_not_understood", reason=str(error))
            result = CallFailure.BROKEN
        task = TaskId(message.job_id, message.step, message.index)
        self.pool.start_answered(now, message.worker_id, task, message.run, result)

    def session_closed(self, now: float, session_id: str) -> None:
        """Handle a broken session."""
        if self._session_by_id.pop(session_id, None) is not None and self.pool is not None:
            self.pool.requester_lost(now, session_id, silent=False)

    def _ping(self, now: float, session_id: str, session: Session, ping: Ping) -> None:
        session.leads_epoch = ping.leads_epoch
        session.ready = ping.ready
        if session.host is not None:
            self.directory.heard(now, session.host)
        if ping.carries_starts and self.pool is not None and session.is_from(self.own.domain):
            self.pool.carriers.add(session_id)
        if (
            session.host is not None
            and session.host.domain == self.own.domain
            and self.leadership.leader_announced(now, session.host, ping.leads_epoch)
        ):
            self.links.reopen(now, session.host.name)
        session.pong_sent(now, ping.number)
        proved_at = session.proved_at(ping.heard)
        if not ping.leads_epoch:
            session.followed_at = max(session.followed_at, proved_at)
        if self.pool is not None:
            if ping.leads_epoch:
                self.pool.lender_proved(session_id, proved_at)
            elif ping.heard and session.is_from(self.own.domain):
                self.pool.followers.prove(session_id, session.followed_at)
        leader = self.leadership.leader
        if self.leadership.role is Role.FOLLOWING and not self._confirmed_epoch():
            leader = None
        pool = self.pool
        crashes: tuple[CrashReport, ...] = ()
        if pool is not None:
            crashes = self.crashes.reports_after(session.crashes_reported)
            session.crashes_reported = self.crashes.last_change
        pong = Pong(
            number=ping.number,
            config_version=self.config_version,
            evacuation_revision=self.evacuations.revision,
            leader=leader,
            epoch=self.leadership.epoch if leader is not None else 0,
            draining=self.draining or self.leadership.is_paused(now),
            room_by_service=pool.room_by_service(now) if pool and ping.leads_epoch else {},
            wait_by_service=pool.wait_by_service(now) if pool and ping.leads_epoch else {},
            crashes=crashes,
            rival_leads=self.leadership.has_rival(now),
        )
        self._send_session(session_id, pong)
        if ping.evacuation_revision < self.evacuations.revision:
            self._send_session(session_id, self.evacuations)
        if ping.config_version < self.config_version:
            self._send_session(session_id, self._config_message())
