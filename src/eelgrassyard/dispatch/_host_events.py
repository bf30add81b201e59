"""Handling of all events of a host: callers, workers, the store, and timers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ._actions import OrderResult, PollResult, PollWorker, StartRun, StopRun
from ._host_directory import UNKNOWN_DOMAIN
from ._host_state import Session
from ._jobs import Job
from ._leadership import Role
from ._messages import HostRecord
from ._outbound import OutboundSessions
from ._worker_pool import WorkerPool
from ._workers import WorkerRecord, keep_peaks

SESSION_TIMEOUT_S = 0.45
"""Time without a message, usually a ping, after which the host of an inbound session counts as
lost; its jobs are stopped."""

REMOTE_SESSION_TIMEOUT_S = 0.6
"""The same for hosts of other failure domains."""


class HostEvents(OutboundSessions):
    """Handles the events of a host, without containment of errors."""

    def set_workers(
        self, now: float, records: Mapping[str, WorkerRecord], *, read_at: float
    ) -> None:
        """Replace the registered workers of all domains, by id.

        :param read_at: time in seconds at which the registry was as the records say.
        """
        self._record_by_id = keep_peaks(records, known=self._record_by_id)
        self._registry_read_at = read_at
        if self.pool is not None:
            self.pool.set_workers(now, self._record_by_id, read_at=read_at)

    def store_answering(self, now: float) -> None:
        """Record that data of the store has just arrived."""
        if self.pool is not None:
            self.pool.store_answering(now)

    def set_hosts(self, now: float, hosts: Iterable[HostRecord], *, read_at: float) -> None:
        """Replace the hosts that the store lists.

        :param read_at: time in seconds at which the store listed them.
        """
        self._note_departed(self.directory.set_listed(now, hosts, read_at=read_at))
        self.leadership.hosts_known = True

    def confirm_hosts(self, now: float, *, read_at: float) -> None:
        """Record that the store still lists the same hosts.

        :param read_at: time in seconds at which it did.
        """
        self._note_departed(self.directory.confirm_listed(now, read_at=read_at))

    def _note_departed(self, names: Iterable[str]) -> None:
        for name in names:
            self._note("host_departed", peer=name, hosts_left=len(self.directory))
            for session in self._session_by_id.values():
                session.told_hosts.discard(name)

    def set_seeds(self, now: float, addresses: Iterable[str]) -> None:
        """Add the addresses of hosts whose names are not known yet; they may be stale."""
        for address in addresses:
            if address != self.own.address:
                seed = HostRecord(
                    name=address, address=address, domain=UNKNOWN_DOMAIN, incarnation=0
                )
                self.directory.add(now, seed)

    def set_config(self, version: int, document: bytes) -> None:
        """Set the configuration in force, which is also sent to hosts with an older one."""
        self.config_version = version
        self.config_document = document
        self._compressed_config = None

    def job_arrived(self, now: float, ticket: int, job: Job, *, caller_waits_s: float) -> None:
        """Handle a caller's request.

        :param ticket: names the request in :class:`~eelgrassyard.dispatch._entry.AnswerCaller`.
        """
        self._check_suspension(now)
        self.entry.submit(now, ticket, job, caller_waits_s=caller_waits_s)

    def caller_left(self, now: float, ticket: int) -> None:
        """Handle a caller's disconnect before the answer."""
        self.entry.caller_left(now, ticket)

    def cancel_job(self, now: float, job_id: str, *, kind: str) -> bool:
        """Cancel a job of callers of this host, and answer them.

        :returns: whether there was such a job of this kind.
        """
        entry_job = self.entry.job_by_id.get(job_id)
        if entry_job is None or entry_job.job.kind != kind:
            return False
        self._check_suspension(now)
        self.entry.give_up(job_id, "cancelled by its caller")
        return True

    def give_up_jobs(self, now: float) -> None:
        """Answer the jobs of all callers of this host, since the process ends."""
        for job_id in list(self.entry.job_by_id):
            self.entry.give_up(job_id, "the host is shutting down")

    def start_answered(self, now: float, order: StartRun, result: OrderResult) -> None:
        """Handle a worker's answer to a start, or its absence."""
        if order.carried_for:
            self._check_suspension(now)
            self._report_carried(order, result)
            return
        pool = self._issuing_pool(now, order)
        if pool is not None:
            pool.start_answered(now, order.worker_id, order.task, order.run, result)

    def stop_answered(self, now: float, order: StopRun, result: OrderResult) -> None:
        """Handle a worker's answer to a stop, or its absence."""
        pool = self._issuing_pool(now, order)
        if pool is not None:
            pool.stop_answered(now, order.worker_id, order.task, order.run, result)

    def poll_answered(self, now: float, order: PollWorker, result: PollResult) -> None:
        """Handle a worker's poll report, or its absence."""
        pool = self._issuing_pool(now, order)
        if pool is not None:
            pool.poll_answered(now, order.worker_id, result)

    def _issuing_pool(
        self, now: float, order: StartRun | StopRun | PollWorker
    ) -> WorkerPool | None:
        """The pool that issued an order, unless it has been discarded since."""
        self._check_suspension(now)
        # A host may lose leadership and regain it while an order of its earlier pool is in flight.
        # The answer must not reach the new pool, since the worker had not seen the new epoch.
        return self.pool if self.pool is not None and self.pool.epoch == order.fence else None

    def _close_silent_sessions(self, now: float) -> None:
        for session_id, session in list(self._session_by_id.items()):
            is_remote = session.host is not None and session.host.domain != self.own.domain
            limit_s = REMOTE_SESSION_TIMEOUT_S if is_remote else SESSION_TIMEOUT_S
            if now - session.last_heard > limit_s:
                self._close_session(now, session_id)
            elif self._may_have_left(now, session_id, session):
                name = session.host.name if session.host is not None else ""
                self._note("follower_left", host=name, leads_epoch=session.leads_epoch)
                self._close_session(now, session_id)

    def _may_have_left(self, now: float, session_id: str, session: Session) -> bool:
        """Tell whether another host has left this leader, or may have: it leads itself, or what
        still arrives of it was sent too long ago."""
        if self.pool is None or not session.is_from(self.own.domain):
            return False
        return bool(session.leads_epoch) or self.pool.followers.may_have_left(now, session_id)

    def _advance_pool(self, now: float) -> None:
        self.crashes.advance(now)
        if self.pool is not None:
            self._update_followers(now, self.pool)
            self.pool.advance(now)
            if self.pool.fenced_out:
                was_obeyed = self.pool.ready_workers() > 0
                self._stop_leading(now)
                self.leadership.fenced_out(now, was_obeyed=was_obeyed)
        self._resign_when_due(now)

    def _update_followers(self, now: float, pool: WorkerPool) -> None:
        times: dict[str, tuple[float, float]] = {}
        for session in self._session_by_id.values():
            if session.host is not None and not session.leads_epoch:
                latest = (session.followed_at, session.opened_at)
                times[session.host.name] = max(latest, times.get(session.host.name, latest))
        present = self.directory.present(now, self.own.domain)
        pool.followers.update(now, present=[host.name for host in present], session_times=times)

    def _advance_leadership(self, now: float) -> None:
        if (self.leadership.role is Role.LEADING) != (self.pool is not None):
            # An error has interrupted a change of the role.
            self._start_over(now)
        self._update_links(now)
        waited_for = self.leadership.waits_for
        if self.leadership.advance(now, self.links):
            self._open_pool(now)
        if self.leadership.waits_for not in ("", waited_for):
            self._note("waits_to_lead", waits_for=self.leadership.waits_for)
        self.entry.set_leader(now, self._confirmed_epoch())

    def _update_links(self, now: float) -> None:
        for name in self.links.take_lost():
            self._link_lost(now, name)
        wanted = self.leadership.wanted_links(now)
        if self.pool is not None:
            wanted.update(self._peer_pool_links(now))
        self.links.set_wanted(now, wanted)
        self.links.advance(
            now,
            config_version=self.config_version,
            evacuation_revision=self.evacuations.revision,
            leads_epoch=self.leadership.epoch if self.pool is not None else 0,
            ready=self.is_ready(),
        )

    def _link_lost(self, now: float, name: str) -> None:
        leader = self.leadership.leader
        if leader is not None and leader.name == name:
            self._note("leader_lost", leader=name, epoch=self.leadership.epoch)
            self.entry.set_leader(now, 0)
        link = self.links.link_by_name.get(name)
        self.directory.lost(now, name, refused=link is not None and link.refused)
        self.leadership.host_lost(now, name)
        for domain, host in list(self._peer_host_by_domain.items()):
            if host.name == name:
                del self._peer_host_by_domain[domain]
                if self.pool is not None:
                    answered_at = self.links.answered_at(name)
                    self.pool.peer_pool_lost(now, domain, answered_at=answered_at)
