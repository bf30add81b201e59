"""Decides which host to probe when, and what an unanswered probe means."""

from __future__ import annotations

import math
import random

from ._actions import Action
from ._config import Limits
from ._gossip import GossipSender
from ._member_table import Member, MemberTable
from ._probing import (
    DIRECT_TIMEOUT_S,
    HELPERS,
    INDIRECT_TIMEOUT_S,
    Probe,
    ProbeTable,
    Purpose,
    Ring,
    RoundRobin,
    sample,
)
from ._reachability import RETRY_HOSTS, DomainReachability

REMOTE_TIMEOUT_S = 0.3
"""Above the round trip between regions."""

SILENT_INTERVAL_S = 0.4
"""Time between probes of hosts that are alive but left the last probe unanswered; until one is
answered, other hosts may name another scheduler."""

RETURN_INTERVAL_S = 1.0
"""Time between probes of hosts that are not alive, to notice that they are back."""

JOIN_LOCAL = 4
"""Hosts of the own failure domain that a starting host contacts at once."""

MAX_BURST = 4
"""Members probed at once while some do not answer."""

RECHECK_S = 0.5
"""Shortest time between two checks of a failure domain that other hosts' hints ask for."""


DOMAIN_PURPOSES = (Purpose.DOMAIN, Purpose.DOMAIN_CHECK)


class FailureDetector:
    """Probes members of the own failure domain, and the other failure domains as a whole.

    A host of another failure domain is declared failed by its own failure domain only. What this
    host finds out by itself is whether that failure domain answers at all.

    :param own: the record of the own host.
    """

    def __init__(
        self,
        *,
        own: Member,
        table: MemberTable,
        reachability: DomainReachability,
        gossip: GossipSender,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._table = table
        self._reachability = reachability
        self._gossip = gossip
        self._random = rng
        self._probes = ProbeTable(rng=rng)
        self._hosts_ring = Ring(own=own.name, others=())
        self._domains_ring = Ring(own=own.failure_domain, others=())
        self._absent: list[str] = []
        self._silent: list[str] = []
        self._order_version = (-1, -1)
        self._absent_order = RoundRobin(rng=rng)
        self._local_at = self._remote_at = self._absent_at = -math.inf
        self._joined = False
        self._checked_at: dict[str, float] = {}

    # Input

    def confirm(self, now: float, member: Member, out: list[Action]) -> None:
        """Probe a host at once, because others doubt it or a connection to it failed."""
        if member.failure_domain != self._own.failure_domain:
            self._start(now, member, Purpose.DOMAIN_CHECK, out)
        elif member.is_usable:
            self._start(now, member, Purpose.MEMBER, out)
        else:
            self._start(now, member, Purpose.ABSENT, out)

    def connection_failed(self, now: float, member: Member, out: list[Action]) -> None:
        """Treat an open probe over a failed connection as unanswered, or start one."""
        probe = self._probes.find(member.name)
        if probe is None:
            self.confirm(now, member, out)
        elif not probe.indirect:
            probe.deadline = now

    def check_domain(self, now: float, domain: str, out: list[Action]) -> None:
        """Probe a failure domain because another host found that it does or doesn't answer."""
        last = self._checked_at.get(domain, -math.inf)
        if domain != self._own.failure_domain and now - last >= RECHECK_S:
            self._checked_at[domain] = now
            self._probe_domain(now, domain, 1, Purpose.DOMAIN_CHECK, out)

    def answered(self, now: float, sequence: int) -> tuple[Member | None, bool]:
        """Take a reply to a probe.

        :returns: the host that answered, and whether its failure domain was cut off until now.
        """
        probe = self._probes.answered(sequence)
        member = self._table.by_name.get(probe.target) if probe is not None else None
        if member is not None:
            self._table.note_answers(member, True)
        if member is None or member.failure_domain == self._own.failure_domain:
            return member, False
        back_in_reach = self._reachability.note_reply(now, member.failure_domain)
        if back_in_reach:
            for other in self._in_domain(member.failure_domain):
                self._table.note_answers(other, True)
        return member, back_in_reach

    def ping_for(self, requester: str, requested: int, target: Member, out: list[Action]) -> None:
        """Ping a host on behalf of another."""
        self._gossip.ping(target, self._probes.add_relay(requester, requested), out)

    def take_relay(self, sequence: int) -> tuple[str, int] | None:
        """Requester and its sequence if the reply answers a ping on behalf of another host."""
        return self._probes.take_relay(sequence)

    def forget_failures(self) -> None:
        """Drop what a pause of the own host makes doubtful."""
        self._probes.clear()
        self._reachability.forget_failures()

    # Timers

    def start_due(self, now: float, limits: Limits, out: list[Action]) -> None:
        """Start the probes that are due."""
        if not self._joined and len(self._table.by_name) > 1:
            self._joined = True
            self._join(now, limits, out)
        if now >= self._local_at:
            self._local_at = self._local_ring().next_turn(now, limits.ping_interval_s)
            self._probe_local(now, limits.ping_interval_s, out)
        if now >= self._remote_at:
            self._remote_at = self._domain_ring().next_turn(now, limits.remote_ping_interval_s)
            domain = self._domain_ring().target(now, limits.remote_ping_interval_s)
            if domain is not None:
                self._probe_domain(now, domain, 1, Purpose.DOMAIN, out)
        self._refresh_order()
        if now >= self._absent_at:
            self._probe_absent(now, out)
        for domain in self._reachability.take_retries(now):
            self._probe_domain(now, domain, RETRY_HOSTS, Purpose.DOMAIN_CHECK, out)

    def end_due(self, now: float, limits: Limits, out: list[Action]) -> list[Member]:
        """Take the probes that went unanswered.

        :returns: members of the own failure domain that are suspect now.
        """
        suspects: list[Member] = []
        for probe in self._probes.due(now):
            member = self._table.by_name.get(probe.target)
            if member is not None:
                self._table.note_answers(member, False)
            if member is None or probe.purpose == Purpose.ABSENT:
                self._probes.close(probe)
            elif probe.purpose in DOMAIN_PURPOSES:
                self._domain_failed(now, probe, member, limits, out)
            elif not self._ask_helpers(now, probe, member, out):
                self._probes.close(probe)
                suspects.append(member)
        return suspects

    def next_timer(self, now: float) -> float:
        """Time of the next timer."""
        return min(
            self._local_at,
            self._remote_at,
            self._absent_at if self._absent or self._silent else math.inf,
            self._probes.next_deadline(),
            self._reachability.next_timer(now),
        )

    # Details

    def _start(self, now: float, target: Member, purpose: Purpose, out: list[Action]) -> None:
        timeout = REMOTE_TIMEOUT_S if purpose in DOMAIN_PURPOSES else DIRECT_TIMEOUT_S
        if target is self._own or target.has_ended:
            return
        probe = self._probes.start(now, target.name, purpose, timeout)
        if probe is not None:
            self._gossip.ping(target, probe.sequence, out)

    def _join(self, now: float, limits: Limits, out: list[Action]) -> None:
        self._local_at = self._local_ring().next_turn(now, limits.ping_interval_s)
        self._remote_at = self._domain_ring().next_turn(now, limits.remote_ping_interval_s)
        self._absent_at = now + self._random.random() * RETURN_INTERVAL_S
        unheard = self._in_domain(self._own.failure_domain)
        for member in sample(self._random, unheard, JOIN_LOCAL):
            self._start(now, member, Purpose.ABSENT, out)
        for domain in self._remote_domains():
            self._probe_domain(now, domain, 1, Purpose.DOMAIN, out)

    def _probe_local(self, now: float, interval: float, out: list[Action]) -> None:
        name = self._local_ring().target(now, interval)
        if name is not None:
            self._start(now, self._table.by_name[name], Purpose.MEMBER, out)

    def _probe_another(self, now: float, out: list[Action]) -> None:
        members = [m for m in self._in_domain(self._own.failure_domain) if m.is_usable]
        for member in sample(self._random, members, 1):
            self._start(now, member, Purpose.MEMBER, out)

    def _local_ring(self) -> Ring:
        self._refresh_order()
        return self._hosts_ring

    def _domain_ring(self) -> Ring:
        self._refresh_order()
        return self._domains_ring

    def _refresh_order(self) -> None:
        version = (self._table.version, self._reachability.version)
        if self._order_version == version:
            return
        self._order_version = version
        own = self._own
        usable = [m.name for m in self._in_domain(own.failure_domain) if m.is_usable]
        self._hosts_ring = Ring(own=own.name, others=usable)
        # Hosts of one failure domain start at different places.
        self._domains_ring = Ring(
            own=own.failure_domain,
            others=self._remote_domains(),
            shift=self._hosts_ring.position,
        )
        self._absent = [m.name for m in self._table if not m.is_usable and not m.has_ended]
        self._silent = [m.name for m in self._table if m.is_usable and not self._is_clear(m)]

    def _probe_domain(
        self, now: float, domain: str, count: int, purpose: Purpose, out: list[Action]
    ) -> None:
        members = self._in_domain(domain)
        usable = [member for member in members if member.is_usable]
        for member in sample(self._random, usable or members, count):
            self._start(now, member, purpose, out)

    def _probe_absent(self, now: float, out: list[Action]) -> None:
        self._refresh_order()
        self._absent_at = now + (SILENT_INTERVAL_S if self._silent else RETURN_INTERVAL_S)
        name = self._absent_order.pick(self._silent or self._absent)
        if name is not None:
            self.confirm(now, self._table.by_name[name], out)

    def _ask_helpers(self, now: float, probe: Probe, member: Member, out: list[Action]) -> bool:
        if probe.indirect:
            return False
        probe.indirect = True
        probe.deadline = now + INDIRECT_TIMEOUT_S
        if self._probes.count(Purpose.MEMBER) < MAX_BURST:
            # Where one host fails, a whole rack may have failed.
            self._probe_another(now, out)
        return self._gossip.ask_helpers(member, probe.sequence, HELPERS, out)

    def _domain_failed(
        self, now: float, probe: Probe, member: Member, limits: Limits, out: list[Action]
    ) -> None:
        self._probes.close(probe)
        domain = member.failure_domain
        self._reachability.note_failure(
            now,
            domain,
            sent_at=probe.sent_at,
            bound_s=limits.suspicion_periods * limits.ping_interval_s,
        )
        if self._reachability.take_hint(
            domain, failures=1 if probe.purpose == Purpose.DOMAIN else 2
        ):
            self._gossip.hint(member, out)

    def _is_clear(self, member: Member) -> bool:
        # The hosts of a failure domain that is cut off are not probed one by one.
        return member.answers or self._reachability.is_unreachable(member.failure_domain)

    def _in_domain(self, domain: str) -> list[Member]:
        members = self._table.by_domain().get(domain, ())
        return [member for member in members if member is not self._own]

    def _remote_domains(self) -> list[str]:
        return sorted(self._table.by_domain().keys() - {self._own.failure_domain})
