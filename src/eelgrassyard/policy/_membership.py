"""Which hosts are alive, found out by probing and spread with the probes."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import ClassVar

from ._actions import Action, Count, ReadinessChanged, StateChanged
from ._config import Limits
from ._detector import Detector
from ._events import DrainCalled, Event, HostListRead, PeerFailed, PeerReceived
from ._hostlist import NamedHosts
from ._hostview import HostView
from ._identity import HostIdentity
from ._memberlist import ENDED_COUNTER, Member, MemberTable
from ._messages import Goodbye, MemberState, MemberUpdate, Ping, PingReply, PingRequest
from ._messenger import NO_REPLY, Messenger
from ._reach import DomainReach
from ._system import ConfigView

YOUNG_S = 3.0
"""Age up to which an incarnation is sent the whole table on its first message."""

PAUSE_S = 0.25
"""A wake-up later than this means that this host was paused and may have missed replies."""

RETAIN_S = 3_600.0
"""Time for which a host that is neither named nor alive is remembered."""

CLEANUP_INTERVAL_S = 60.0
"""Time between searches for hosts to forget."""


class Membership(HostView):
    """The table of hosts, and what news and silence of a host change in it.

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
        reach = DomainReach()
        super().__init__(identity=identity, table=table, reach=reach)
        self._own = table.add_own(identity)
        self._named = NamedHosts(table=table)
        self._messenger = Messenger(own=self._own, table=table, reach=reach, rng=rng)
        self._detector = Detector(
            own=self._own, table=table, reach=reach, messenger=self._messenger, rng=rng
        )
        self._config: ConfigView | None = None
        self._suspect_by_name: dict[str, Member] = {}
        self._draining = False
        self._superseded = False
        self._expected_wake = 0.0
        self._doubted: set[str] = set()
        self._settled_at = math.inf
        self._cleanup_at = -math.inf

    def use_config(self, config: ConfigView) -> None:
        """Set the view of the configuration, which itself needs the membership."""
        self._config = config

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""
        match event:
            case HostListRead():
                self._take_list(now, event, out)
            case PeerFailed(peer=peer):
                member = self._table.by_name.get(peer)
                if member is not None:
                    self._detector.connection_failed(now, member, out)
            case DrainCalled():
                self._draining = True
                self._update_own_state(now)
            case PeerReceived(sender=sender) if sender != self._own.name:
                self._take_message(now, event, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""
        if self._superseded:
            return
        if self._expected_wake == 0.0:
            self._settled_at = now + YOUNG_S
        self._allow_for_pause(now)
        self._take_config(now)
        self._probe_doubted(now, out)
        self._end_probes(now, out)
        self._end_suspicions(now, out)
        self._detector.start_due(now, self._limits(), out)
        self._messenger.push(now, out)
        if now >= self._cleanup_at:
            self._cleanup_at = now + CLEANUP_INTERVAL_S
            self._forget_absent(now)
        self._expected_wake = self._next_timer(now)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return now if self._doubted else self._expected_wake

    def dump(self) -> dict[str, object]:
        """The table of hosts."""
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
        return {"hosts": hosts, "cut_off": list(self.cut_off_domains())}

    def probe_soon(self, host: str) -> None:
        """Have a host probed in the next tick, because an answer that it owes is late."""
        if host in self._table.by_name and host != self._own.name:
            self._doubted.add(host)

    # Messages

    def _take_message(self, now: float, event: PeerReceived, out: list[Action]) -> None:
        sender, message = event.sender, event.message
        if self._superseded or self._table.is_ended(sender, event.incarnation):
            return
        if isinstance(message, Ping | PingReply):
            for update in message.updates:
                self._learn(now, sender, update, out)
        asks_reply = isinstance(message, Ping) and message.sequence != NO_REPLY
        self._hear_of_sender(now, sender, event.incarnation, out)
        if asks_reply:
            self._introduce(now, sender, out)
        match message:
            case Ping(sequence=sequence):
                self._answer_ping(now, sender, sequence, out)
            case PingReply(sequence=sequence):
                self._take_reply(now, sequence, out)
            case PingRequest(sequence=sequence, target=name):
                target = self._table.by_name.get(name)
                if target is not None and target is not self._own:
                    self._detector.ping_for(sender, sequence, target, out)
            case Goodbye(incarnation=incarnation):
                member = self._table.by_name.get(sender)
                if member is not None and member.incarnation == incarnation:
                    self._end(now, member, out)

    def _hear_of_sender(self, now: float, sender: str, incarnation: int, out: list[Action]) -> None:
        member = self._table.by_name.get(sender)
        if member is None or incarnation < member.incarnation:
            return
        if incarnation > member.incarnation:
            alive = member.to_update(MemberState.ALIVE)
            started = dataclasses.replace(alive, incarnation=incarnation, counter=0)
            self._merge(now, started, out)
        elif member.state == MemberState.DEAD:
            # A late message is no proof of life; the claim in a ping makes the host refute it.
            self._detector.confirm(now, member, out)

    def _introduce(self, now: float, sender: str, out: list[Action]) -> None:
        """Send the whole table to a host that has just started."""
        member = self._table.by_name.get(sender)
        if member is None or member.synced or now - member.started_at >= YOUNG_S:
            return
        member.synced = True
        self._messenger.send_table(member, out)

    def _answer_ping(self, now: float, sender: str, sequence: int, out: list[Action]) -> None:
        if sequence != NO_REPLY:
            self._messenger.reply(sender, sequence, out)
        member = self._table.by_name.get(sender)
        if member is not None and self.is_cut_off(member.failure_domain):
            self._detector.confirm(now, member, out)

    def _take_reply(self, now: float, sequence: int, out: list[Action]) -> None:
        relay = self._detector.take_relay(sequence)
        if relay is not None:
            self._messenger.pass_reply(*relay, out)
            return
        member, back_in_reach = self._detector.answered(now, sequence)
        if member is not None and back_in_reach:
            _report(out, member.failure_domain, "failure domain is in reach again")
            self._messenger.spread(now, member)
            self._messenger.send_table(member, out)

    # News of hosts

    def _learn(self, now: float, sender: str, update: MemberUpdate, out: list[Action]) -> None:
        is_remote = update.failure_domain != self._own.failure_domain
        if update.name == self._own.name:
            self._answer_claim(now, update, out)
            return
        is_hint = is_remote and update.state == MemberState.SUSPECT
        if not is_hint:
            self._merge(now, update, out, hearsay=update.name != sender)
        if is_hint or self.is_cut_off(update.failure_domain):
            self._detector.check_domain(now, update.failure_domain, out)

    def _answer_claim(self, now: float, update: MemberUpdate, out: list[Action]) -> None:
        own = self._own
        if update.incarnation > own.incarnation:
            self._stop_superseded(out)
            return
        claim = (update.incarnation, update.counter, update.state)
        if claim <= (own.incarnation, own.counter, own.state) or update.counter >= ENDED_COUNTER:
            return
        own.counter = update.counter + 1
        self._table.version += 1
        self._messenger.spread(now, own)

    def _stop_superseded(self, out: list[Action]) -> None:
        own = self._own
        self._superseded = True
        self._expected_wake = math.inf
        self._table.note_ended(own.name, own.incarnation)
        reason = "a newer incarnation of this host is running"
        _report(out, own.name, reason)
        out.append(ReadinessChanged(ready=False, reason=reason))

    def _merge(
        self, now: float, update: MemberUpdate, out: list[Action], *, hearsay: bool = False
    ) -> None:
        known = self._table.by_name.get(update.name)
        before = (known.incarnation, known.state) if known is not None else (0, MemberState.DEAD)
        if not self._table.merge(now, update):
            return
        member = self._table.by_name[update.name]
        changed = before != (member.incarnation, member.state)
        if now >= self._settled_at or (changed and not hearsay):
            # What a starting host hears from others has been announced by them.
            self._messenger.spread(now, member, soon=changed)
        if changed:
            _report_change(before, member, out)
        if member.state == MemberState.SUSPECT:
            limits = self._limits()
            self._suspect_by_name[member.name] = member
            member.suspect_until = now + limits.suspicion_periods * limits.ping_interval_s
            self._detector.confirm(now, member, out)
        displaced = self._table.displaced_by(member)
        if displaced is not None and displaced is not self._own:
            self._end(now, displaced, out)

    def _end(self, now: float, member: Member, out: list[Action]) -> None:
        dead = member.to_update(MemberState.DEAD)
        self._merge(now, dataclasses.replace(dead, counter=ENDED_COUNTER), out)

    # Host list, configuration, own state

    def _take_list(self, now: float, event: HostListRead, out: list[Action]) -> None:
        for update in self._named.take_list(event):
            if update.name != self._own.name:
                self._merge(now, update, out)
        self._update_own_state(now)

    def _update_own_state(self, now: float) -> None:
        own = self._own
        leaving = self._draining or self._named.is_leaving(own.name)
        state = MemberState.LEAVING if leaving else MemberState.ALIVE
        if state == own.state:
            return
        if state < own.state:
            own.counter += 1
        own.state = state
        self._table.version += 1
        self._messenger.spread(now, own)

    def _take_config(self, now: float) -> None:
        config = self._config
        if config is None or config.revision == self._messenger.revision:
            return
        self._messenger.revision = config.revision
        if config.current is not None:
            self._named.take_config(config.current)
        self._messenger.push_soon(now)

    def _limits(self) -> Limits:
        current = self._config.current if self._config is not None else None
        return current.limits if current is not None else Limits()

    # Timers

    def _allow_for_pause(self, now: float) -> None:
        late_s = now - self._expected_wake
        if late_s < PAUSE_S or self._expected_wake == 0.0:
            return
        self._detector.forget_failures()
        for member in self._suspect_by_name.values():
            member.suspect_until += late_s

    def _probe_doubted(self, now: float, out: list[Action]) -> None:
        for name in sorted(self._doubted):
            member = self._table.by_name.get(name)
            if member is not None:
                self._detector.confirm(now, member, out)
        self._doubted.clear()

    def _end_probes(self, now: float, out: list[Action]) -> None:
        for member in self._detector.end_due(now, self._limits(), out):
            if member.is_usable and member.state != MemberState.SUSPECT:
                self._merge(now, member.to_update(MemberState.SUSPECT), out)
        for domain in self._reach.take_cut_off(now):
            _report(out, domain, "failure domain is cut off")

    def _end_suspicions(self, now: float, out: list[Action]) -> None:
        for name, member in list(self._suspect_by_name.items()):
            if member.state != MemberState.SUSPECT:
                del self._suspect_by_name[name]
            elif member.suspect_until <= now:
                self._merge(now, member.to_update(MemberState.DEAD), out)
                del self._suspect_by_name[name]

    def _forget_absent(self, now: float) -> None:
        for member in list(self._table):
            old = now - member.changed_at > RETAIN_S
            if old and not member.named and not self.is_alive(member.name):
                self._table.remove(member.name)
        self._reach.keep_only({member.failure_domain for member in self._table})

    def _next_timer(self, now: float) -> float:
        suspicions = (member.suspect_until for member in self._suspect_by_name.values())
        return min(
            self._detector.next_timer(now),
            self._messenger.push_at,
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
