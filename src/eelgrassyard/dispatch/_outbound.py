"""Handling of outbound sessions, which this host has opened."""

from __future__ import annotations

import dataclasses

from ._actions import Answered, CallFailure, OrderResult, Refusal, StartRun
from ._inbound import InboundSessions
from ._jobs import TaskId
from ._leadership import Role
from ._links import SendLink
from ._messages import (
    CarryStart,
    ConfigDocument,
    Evacuations,
    Hello,
    HostRecord,
    JobEnded,
    JobReturned,
    KnownHosts,
    LentEnded,
    Message,
    Pong,
    Resigned,
    StartCarried,
    TakeOver,
)


class OutboundSessions(InboundSessions):
    """Handles events and messages of outbound sessions."""

    def link_connected(self, now: float, name: str) -> None:
        """Handle an opened session: introduce this host."""
        self.links.connected(now, name)
        epoch = self.leadership.epoch if self.pool is not None else 0
        self._actions.append(SendLink(name=name, message=Hello(host=self.own, leads_epoch=epoch)))

    def link_closed(self, now: float, name: str, *, refused: bool) -> None:
        """Handle a session that has broken or could not be opened.

        :param refused: whether no process listened at the address.
        """
        self.links.closed(now, name, refused=refused)

    def link_received(self, now: float, name: str, message: Message) -> None:
        """Handle a message on an outbound session."""
        self._check_suspension(now)
        match message:
            case Pong():
                self._pong(now, name, message)
            case KnownHosts():
                for host in message.hosts:
                    self.directory.add(now, host)
                self.leadership.hosts_known = True
            case JobEnded():
                self.entry.job_ended(now, message)
            case JobReturned():
                self.entry.job_returned(now, message)
            case LentEnded():
                self._lent_ended(now, name, message)
            case CarryStart():
                self._carry_start(name, message)
            case ConfigDocument():
                self._config_received(message)
            case Evacuations():
                self.set_evacuations(now, revision=message.revision, domains=message.domains)
            case Resigned():
                self._resigned(now, name, message)
            case TakeOver():
                if self.pool is None and not self.draining:
                    self.leadership.highest_epoch = max(
                        self.leadership.highest_epoch, message.epoch
                    )
                    self._lead(now)

    def _pong(self, now: float, name: str, pong: Pong) -> None:
        self.links.pong_received(now, name, pong)
        self.directory.answered(name)
        link = self.links.link_by_name.get(name)
        if link is not None:
            self.directory.heard(now, link.host)
        if pong.leader is not None:
            self.directory.add(now, pong.leader)
        self.leadership.pong_received(now, name, pong)
        self.crashes.merge(now, pong.crashes)
        if pong.evacuation_revision < self.evacuations.revision:
            self._actions.append(SendLink(name=name, message=self.evacuations))
        if pong.config_version < self.config_version:
            self._actions.append(SendLink(name=name, message=self._config_message()))
        if self.pool is None:
            return
        host = self.directory.get(name)
        if host is None or host.domain == self.own.domain:
            return
        if pong.leader is not None and pong.leader.name == name:
            self.pool.peer_pool_updated(
                now, host.domain, pong.room_by_service, pong.wait_by_service
            )
        elif pong.leader is not None and pong.leader.domain == host.domain:
            self._peer_leader_reported(now, pong.leader)

    def _peer_leader_reported(self, now: float, leader: HostRecord) -> None:
        """Replace the session to another domain's pool by one to its leader."""
        known = self._peer_host_by_domain.get(leader.domain)
        self._peer_host_by_domain[leader.domain] = leader
        if self.pool is None or known is None:
            return
        if (known.name, known.incarnation) != (leader.name, leader.incarnation):
            # The runs that the earlier leader has belong to the session that closes.
            answered_at = self.links.answered_at(known.name)
            self.pool.peer_pool_lost(now, leader.domain, answered_at=answered_at)

    def _lent_ended(self, now: float, name: str, message: LentEnded) -> None:
        host = self.directory.get(name)
        if self.pool is not None and host is not None:
            self.pool.lent_ended(
                now,
                host.domain,
                message.job_id,
                message.step,
                message.index,
                message.run,
                message.end,
                crashes=message.crashes,
            )

    def _carry_start(self, name: str, message: CarryStart) -> None:
        """Send a start for the leader of this domain, unless this host knows that it must not be
        sent: the job has left the leader, or the domain is being evacuated."""
        order = StartRun(
            worker_id=message.worker_id,
            task=TaskId(message.job_id, message.step, message.index),
            run=message.run,
            payload="",
            deadline_s=message.deadline_s,
            fence=message.fence,
            timeout_s=message.timeout_s,
            life=message.life,
            carried_for=name,
        )
        job = self.entry.job_at_leader(message.job_id, message.fence)
        if (
            job is None
            or message.worker_id not in self._record_by_id
            or self.own.domain in self.evacuations.domains
        ):
            self._note("start_not_carried", task=str(order.task), worker=message.worker_id)
            self._report_carried(order, Answered(refusal=Refusal.NOT_SENT))
            return
        self._actions.append(dataclasses.replace(order, payload=job.payload))

    def _report_carried(self, order: StartRun, result: OrderResult) -> None:
        refusal = result.refusal if isinstance(result, Answered) else None
        report = StartCarried(
            job_id=order.task.job,
            step=order.task.step,
            index=order.task.index,
            run=order.run,
            worker_id=order.worker_id,
            fence=order.fence,
            refusal=refusal.value if refusal is not None else "",
            failure=result.value if isinstance(result, CallFailure) else "",
        )
        self._actions.append(SendLink(name=order.carried_for, message=report))

    def _resigned(self, now: float, name: str, message: Resigned) -> None:
        leader = self.leadership.leader
        if self.leadership.role is Role.FOLLOWING and leader is not None and leader.name == name:
            if message.successor is None or message.successor.name == self.own.name:
                self.leadership.search(now)
            else:
                self.directory.add(now, message.successor)
                self.leadership.follow(now, message.successor, message.epoch)
