"""Takeover and resignation of the leadership of a domain's pool."""

from __future__ import annotations

from ._delivery import ActionDelivery
from ._host_state import LOCAL_REQUESTER, CloseSession, SendSession
from ._messages import (
    HostRecord,
    Resigned,
    TakeOver,
    ToClient,
)
from ._pool_state import round_s
from ._worker_pool import FRESH_REGISTRY_S, WorkerPool

RESIGN_TIMEOUT_S = 1.0
"""Longest time for which a leader delays its resignation after SIGTERM for tasks lent to or
borrowed from other domains, since no successor can adopt them. Most tasks take less; the grace
period is 6 s."""

SUSPENSION_GAP_S = 0.6
"""Gap between two calls that shows that the process was suspended. Other hosts may have taken over
by then, so all earlier state of sessions and leadership is discarded."""

PAUSE_GAP_S = 0.2
"""Gap that is reported: more than half of the 0.34 s after which others look for another leader.
The core is called every 20 ms."""


class LeadershipTransitions(ActionDelivery):
    """Opens the pool when this host becomes leader, and closes it when the host resigns, is fenced
    out, or was suspended."""

    def _lead(self, now: float) -> None:
        self.leadership.lead(now)
        self._open_pool(now)

    def _open_pool(self, now: float) -> None:
        self._note(
            "leads",
            epoch=self.leadership.epoch,
            domain=self.own.domain,
            registry_age_s=round_s(now - self._registry_read_at),
            succeeds=self.leadership.is_successor,
        )
        self.pool = WorkerPool(
            domain=self.own.domain,
            epoch=self.leadership.epoch,
            now=now,
            stop_s=self._stop_s,
            far_factor=self._far_factor,
            link_bytes_per_s=self._link_bytes_per_s,
            is_successor=self.leadership.is_successor,
            crashes=self.crashes,
        )
        self.pool.set_evacuated(now, self.own.domain in self.evacuations.domains)
        self.pool.set_workers(now, self._record_by_id, read_at=self._registry_read_at)
        if now - self._registry_read_at > FRESH_REGISTRY_S:
            self.pool.wait_for_registry(now)
        self.links.announce_leadership(
            now,
            config_version=self.config_version,
            evacuation_revision=self.evacuations.revision,
            epoch=self.leadership.epoch,
        )

    def _stop_leading(self, now: float) -> None:
        """Discard the pool; its runs are adopted by the next leader or expire with their leases.

        The sessions to other domains end with it, so that these stop what was lent on them: a pool
        that this host opens later owns none of it, and must not prove the sessions of this one.
        """
        if self.pool is not None:
            self._deliver_pool_actions(now)
            for requester, message in self.pool.progress_by_requester():
                if requester == LOCAL_REQUESTER:
                    self.entry.job_returned(now, message)
                else:
                    self._send_session(requester, message)
        self.pool = None
        self._peer_host_by_domain.clear()
        self.links.set_wanted(now, {})
        self.entry.set_leader(now, 0)
        for session_id, session in list(self._session_by_id.items()):
            if session.host is not None and session.host.domain != self.own.domain:
                self._session_by_id.pop(session_id)
                self._actions.append(CloseSession(session=session_id))

    def _peer_pool_links(self, now: float) -> dict[str, tuple[HostRecord, bool]]:
        """One host of each other domain: its leader if known, otherwise one that may report it."""
        wanted: dict[str, tuple[HostRecord, bool]] = {}
        for domain in sorted({*self.directory.other_domains(), *self._peer_host_by_domain}):
            host = self._peer_host_by_domain.get(domain)
            if host is None:
                host = self.directory.candidates(now, {domain})[0]
                self._peer_host_by_domain[domain] = host
            wanted[host.name] = (host, True)
        return wanted

    def drain(self, now: float) -> None:
        """Prepare the end of the process: refuse new connections, and resign soon."""
        self.draining = True
        self.leadership.draining = True
        self._resign_deadline = now + RESIGN_TIMEOUT_S
        if self.pool is not None:
            self.pool.lending_enabled = False
        self._resign_when_due(now)

    def _resign_when_due(self, now: float) -> None:
        """Resign while draining, once no lent or borrowed task needs this leader."""
        if self.pool is None or not self.draining:
            return
        if self.pool.has_lent_tasks() and now < self._resign_deadline:
            return
        candidates = [
            (session_id, session)
            for session_id, session in self._session_by_id.items()
            if session.ready and session.host is not None and session.host.domain == self.own.domain
        ]
        chosen = max(
            candidates, key=lambda item: item[1].host.weight if item[1].host else 0.0, default=None
        )
        if chosen is None:
            return
        self.pool.stop_lent_runs(now)
        epoch, successor = self.leadership.epoch, chosen[1].host
        self._note("leader_resigns", epoch=epoch, successor=successor.name if successor else "")
        self._stop_leading(now)
        for session_id, session in self._session_by_id.items():
            message: ToClient = Resigned(epoch=epoch, successor=successor)
            if session_id == chosen[0]:
                message = TakeOver(epoch=epoch)
            if session.host is not None and session.host.domain == self.own.domain:
                self._actions.append(SendSession(session=session_id, message=message))
        if successor is not None:
            self.leadership.follow(now, successor, epoch)

    def _check_suspension(self, now: float) -> None:
        """Detect a suspension of the process, before the current event is handled."""
        gap_s = now - self._last_called_at
        self._last_called_at = now
        if gap_s > SUSPENSION_GAP_S:
            self._reset_after_suspension(now, gap_s)
        elif gap_s > PAUSE_GAP_S:
            self._note("delayed", gap_s=round(gap_s, 3), led=self.pool is not None)

    def _reset_after_suspension(self, now: float, gap_s: float) -> None:
        """Discard the state of sessions and leadership: other hosts may have taken over."""
        self._note("stood_still", gap_s=round(gap_s, 3), led=self.pool is not None)
        if self.pool is not None:
            self._stop_leading(now)
        for session_id in list(self._session_by_id):
            self._close_session(now, session_id)
        self.links.set_wanted(now, {})
        self.leadership.suspended(now)
        self.entry.set_leader(now, 0)
