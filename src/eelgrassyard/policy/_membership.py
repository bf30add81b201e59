"""SWIM-style membership: failure detection by probes, dissemination by gossip on the probes."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import ClassVar

from ._actions import Action, Count, ReadinessChanged, StateChanged
from ._config import Limits
from ._declared_hosts import DeclaredHosts
from ._detector import FailureDetector
from ._events import DrainCalled, Event, HostListRead, PeerFailed, PeerReceived
from ._gossip import NO_REPLY, GossipSender
from ._identity import HostIdentity
from ._member_table import ENDED_COUNTER, Member, MemberTable
from ._membership_queries import MembershipQueries
from ._messages import Goodbye, MemberState, MemberUpdate, Ping, PingReply, PingRequest
from ._reachability import DomainReachability
from ._system import ConfigView

NEW_INCARNATION_AGE_S = 3.0
"""Age up to which an incarnation counts as starting.

A starting host is sent the whole table when it first pings, and passes on no changes that it
received from third parties.
"""

PAUSE_THRESHOLD_S = 0.25
"""Delay of a timer from which this host counts as paused; it may then have missed replies."""

RETENTION_S = 3_600.0
"""Time for which a host that is neither declared nor alive stays in the table."""

CLEANUP_INTERVAL_S = 60.0
"""Time between searches for hosts whose retention has expired."""


class Membership(MembershipQueries):
    """Maintains the member table from probe results, gossip updates and the declared hosts.

    :param seed: seed of the random numbers used for the order of probes.
    """

    HANDLES: ClassVar[tuple[type, ...]] = (
        HostListRead,
        PeerFailed,
        DrainCalled,
        Ping,
        PingReply,
        PingRequest,
        Goodbye,
    )

    def __init__(self, *, identity: HostIdentity, seed: int) -> None:
        rng = random.Random(seed)
        table = MemberTable()
        reachability = DomainReachability()
        super().__init__(identity=identity, table=table, reachability=reachability)
        self._own = table.add_own(identity)
        self._declared = DeclaredHosts(table=table)
        self._gossip = GossipSender(own=self._own, table=table, reachability=reachability, rng=rng)
        self._detector = FailureDetector(
            own=self._own, table=table, reachability=reachability, gossip=self._gossip, rng=rng
        )
        self._config: ConfigView | None = None
        self._suspect_by_name: dict[str, Member] = {}
        self._draining = False
        self._superseded = False
        self._wake_at = 0.0
        self._probe_requests: set[str] = set()
        self._startup_ends_at = math.inf
        self._cleanup_at = -math.inf

    def use_config(self, config: ConfigView) -> None:
        """Set the view of the configuration, which is itself constructed from the membership."""
        self._config = config

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Process one event."""
        match event:
            case HostListRead():
                self._apply_host_list(now, event, out)
            case PeerFailed(peer=peer):
                member = self._table.by_name.get(peer)
                if member is not None:
                    self._detector.connection_failed(now, member, out)
            case DrainCalled():
                self._draining = True
                self._update_own_state(now)
            case PeerReceived(sender=sender) if sender != self._own.name:
                self._handle_message(now, event, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""
        if self._superseded:
            return
        if self._wake_at == 0.0:
            self._startup_ends_at = now + NEW_INCARNATION_AGE_S
        self._compensate_for_pause(now)
        self._apply_config(now)
        self._probe_requested(now, out)
        self._expire_probes(now, out)
        self._expire_suspicions(now, out)
        self._detector.start_due_probes(now, self._limits(), out)
        self._gossip.push(now, out)
        if now >= self._cleanup_at:
            self._cleanup_at = now + CLEANUP_INTERVAL_S
            self._remove_expired_members(now)
        self._wake_at = self._next_timer(now)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return now if self._probe_requests else self._wake_at

    def dump(self) -> dict[str, object]:
        """The member table as JSON values."""
        hosts = {
            member.name: {
                "state": member.state.name.lower() if member.incarnation else "unheard",
                "incarnation": member.incarnation,
                "counter": member.counter,
                "failure_domain": member.failure_domain,
                "endpoint": f"{member.address}:{member.port}",
            }
            for member in self._table
        }
        return {"hosts": hosts, "cut_off": list(self.unreachable_domains())}

    def probe_soon(self, host: str) -> None:
        """Probe a host in the next tick, because it is late with an answer to this host."""
        if host in self._table.by_name and host != self._own.name:
            self._probe_requests.add(host)

    # Messages

    def _handle_message(self, now: float, event: PeerReceived, out: list[Action]) -> None:
        sender, message = event.sender, event.message
        if self._superseded or self._table.is_ended(sender, event.incarnation):
            return
        if isinstance(message, Ping | PingReply):
            for update in message.updates:
                self._handle_update(now, sender, update, out)
        reply_requested = isinstance(message, Ping) and message.sequence != NO_REPLY
        self._update_sender(now, sender, event.incarnation, out)
        if reply_requested:
            self._send_table_if_new(now, sender, out)
        match message:
            case Ping(sequence=sequence):
                self._answer_ping(now, sender, sequence, out)
            case PingReply(sequence=sequence):
                self._handle_reply(now, sequence, out)
            case PingRequest(sequence=sequence, target=name):
                target = self._table.by_name.get(name)
                if target is not None and target is not self._own:
                    self._detector.relay_ping(sender, sequence, target, out)
            case Goodbye(incarnation=incarnation):
                member = self._table.by_name.get(sender)
                if member is not None and member.incarnation == incarnation:
                    self._mark_ended(now, member, out)

    def _update_sender(self, now: float, sender: str, incarnation: int, out: list[Action]) -> None:
        member = self._table.by_name.get(sender)
        if member is None or incarnation < member.incarnation:
            return
        if incarnation > member.incarnation:
            alive = member.to_update(MemberState.ALIVE)
            started = dataclasses.replace(alive, incarnation=incarnation, counter=0)
            self._merge(now, started, out)
        elif member.state == MemberState.DEAD:
            # A delayed message does not show that the host is alive. The probe carries its DEAD
            # state, which a live host refutes.
            self._detector.probe_now(now, member, out)

    def _send_table_if_new(self, now: float, sender: str, out: list[Action]) -> None:
        """Send the whole table, once, to an incarnation that has just started."""
        member = self._table.by_name.get(sender)
        if (
            member is None
            or member.full_table_sent
            or now - member.started_at >= NEW_INCARNATION_AGE_S
        ):
            return
        member.full_table_sent = True
        self._gossip.send_table(member, out)

    def _answer_ping(self, now: float, sender: str, sequence: int, out: list[Action]) -> None:
        if sequence != NO_REPLY:
            self._gossip.reply(sender, sequence, out)
        member = self._table.by_name.get(sender)
        if member is not None and self.is_domain_unreachable(member.failure_domain):
            self._detector.probe_now(now, member, out)

    def _handle_reply(self, now: float, sequence: int, out: list[Action]) -> None:
        relay = self._detector.take_relay(sequence)
        if relay is not None:
            self._gossip.forward_reply(*relay, out)
            return
        member, reachable_again = self._detector.handle_reply(now, sequence)
        if member is not None and reachable_again:
            _report(out, member.failure_domain, "failure domain is reachable again")
            self._gossip.disseminate(now, member)
            self._gossip.send_table(member, out)

    # Gossip updates

    def _handle_update(
        self, now: float, sender: str, update: MemberUpdate, out: list[Action]
    ) -> None:
        is_remote = update.failure_domain != self._own.failure_domain
        if update.name == self._own.name:
            self._handle_own_update(now, update, out)
            return
        is_domain_suspicion = is_remote and update.state == MemberState.SUSPECT
        if not is_domain_suspicion:
            self._merge(now, update, out, relayed=update.name != sender)
        if is_domain_suspicion or self.is_domain_unreachable(update.failure_domain):
            self._detector.check_domain(now, update.failure_domain, out)

    def _handle_own_update(self, now: float, update: MemberUpdate, out: list[Action]) -> None:
        own = self._own
        if update.incarnation > own.incarnation:
            self._stop_as_superseded(out)
            return
        claimed = (update.incarnation, update.counter, update.state)
        if claimed <= (own.incarnation, own.counter, own.state) or update.counter >= ENDED_COUNTER:
            return
        own.counter = update.counter + 1
        self._table.version += 1
        self._gossip.disseminate(now, own)

    def _stop_as_superseded(self, out: list[Action]) -> None:
        own = self._own
        self._superseded = True
        self._wake_at = math.inf
        self._table.record_ended(own.name, own.incarnation)
        reason = "a newer incarnation of this host is running"
        _report(out, own.name, reason)
        out.append(ReadinessChanged(ready=False, reason=reason))

    def _merge(
        self, now: float, update: MemberUpdate, out: list[Action], *, relayed: bool = False
    ) -> None:
        known = self._table.by_name.get(update.name)
        before = (known.incarnation, known.state) if known is not None else (0, MemberState.DEAD)
        if not self._table.merge(now, update):
            return
        member = self._table.by_name[update.name]
        changed = before != (member.incarnation, member.state)
        if now >= self._startup_ends_at or (changed and not relayed):
            # Third parties have already disseminated what they tell a starting host.
            self._gossip.disseminate(now, member, soon=changed)
        if changed:
            _report_change(before, member, out)
        if member.state == MemberState.SUSPECT:
            limits = self._limits()
            self._suspect_by_name[member.name] = member
            member.suspect_until = now + limits.suspicion_periods * limits.ping_interval_s
            self._detector.probe_now(now, member, out)
        displaced = self._table.displaced_by(member)
        if displaced is not None and displaced is not self._own:
            self._mark_ended(now, displaced, out)

    def _mark_ended(self, now: float, member: Member, out: list[Action]) -> None:
        dead = member.to_update(MemberState.DEAD)
        self._merge(now, dataclasses.replace(dead, counter=ENDED_COUNTER), out)

    # Host list, configuration, own state

    def _apply_host_list(self, now: float, event: HostListRead, out: list[Action]) -> None:
        for update in self._declared.apply_host_list(event):
            if update.name != self._own.name:
                self._merge(now, update, out)
        self._update_own_state(now)

    def _update_own_state(self, now: float) -> None:
        own = self._own
        leaving = self._draining or self._declared.is_leaving(own.name)
        state = MemberState.LEAVING if leaving else MemberState.ALIVE
        if state == own.state:
            return
        if state < own.state:
            own.counter += 1
        own.state = state
        self._table.version += 1
        self._gossip.disseminate(now, own)

    def _apply_config(self, now: float) -> None:
        config = self._config
        if config is None or config.revision == self._gossip.revision:
            return
        self._gossip.revision = config.revision
        if config.current is not None:
            self._declared.set_configured(config.current)
        self._gossip.push_soon(now)

    def _limits(self) -> Limits:
        current = self._config.current if self._config is not None else None
        return current.limits if current is not None else Limits()

    # Timers

    def _compensate_for_pause(self, now: float) -> None:
        late_s = now - self._wake_at
        if late_s < PAUSE_THRESHOLD_S or self._wake_at == 0.0:
            return
        self._detector.reset_failures()
        for member in self._suspect_by_name.values():
            member.suspect_until += late_s

    def _probe_requested(self, now: float, out: list[Action]) -> None:
        for name in sorted(self._probe_requests):
            member = self._table.by_name.get(name)
            if member is not None:
                self._detector.probe_now(now, member, out)
        self._probe_requests.clear()

    def _expire_probes(self, now: float, out: list[Action]) -> None:
        for member in self._detector.expire_probes(now, self._limits(), out):
            if member.is_usable and member.state != MemberState.SUSPECT:
                self._merge(now, member.to_update(MemberState.SUSPECT), out)
        for domain in self._reachability.take_newly_unreachable(now):
            _report(out, domain, "failure domain is unreachable")

    def _expire_suspicions(self, now: float, out: list[Action]) -> None:
        for name, member in list(self._suspect_by_name.items()):
            if member.state != MemberState.SUSPECT:
                del self._suspect_by_name[name]
            elif member.suspect_until <= now:
                self._merge(now, member.to_update(MemberState.DEAD), out)
                del self._suspect_by_name[name]

    def _remove_expired_members(self, now: float) -> None:
        for member in list(self._table):
            old = now - member.changed_at > RETENTION_S
            if old and not member.declared and not self.is_alive(member.name):
                self._table.remove(member.name)
        self._reachability.keep_only({member.failure_domain for member in self._table})

    def _next_timer(self, now: float) -> float:
        suspicions = (member.suspect_until for member in self._suspect_by_name.values())
        return min(
            self._detector.next_timer(now),
            self._gossip.push_at,
            min(suspicions, default=math.inf),
        )


def _report(out: list[Action], peer: str, message: str) -> None:
    out.append(StateChanged(step="membership", peer=peer, message=message))


def _report_change(before: tuple[int, MemberState], member: Member, out: list[Action]) -> None:
    incarnation, state = before
    if member.state == MemberState.SUSPECT:
        out.append(Count(metric="membership.suspicions"))
    elif member.state == MemberState.DEAD:
        out.append(Count(metric="membership.deaths"))
        cause = "ended" if member.has_ended else "failed"
        _report(out, member.name, f"host {cause}, incarnation {member.incarnation}")
    elif state != MemberState.SUSPECT or incarnation != member.incarnation:
        name = member.state.name.lower()
        _report(out, member.name, f"host {name}, incarnation {member.incarnation}")
