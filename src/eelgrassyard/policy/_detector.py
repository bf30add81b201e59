"""SWIM-style failure detector: schedules probes and evaluates those that time out."""

from __future__ import annotations

import math
import random

from ._actions import Action
from ._config import Limits
from ._gossip import GossipSender
from ._member_table import Member, MemberTable
from ._probing import (
    DIRECT_TIMEOUT_S,
    INDIRECT_PROBE_HOSTS,
    INDIRECT_TIMEOUT_S,
    Probe,
    ProbeSchedule,
    ProbeTable,
    Purpose,
    RoundRobin,
    sample,
)
from ._reachability import RETRY_HOSTS, DomainReachability

REMOTE_PROBE_TIMEOUT_S = 0.3
"""Timeout of a probe to another failure domain; longer than the round trip between regions."""

UNRESPONSIVE_PROBE_INTERVAL_S = 0.4
"""Time between probes of usable hosts that left the last probe unanswered.

Until a probe is answered, this host may choose another scheduler than the other hosts do.
"""

ABSENT_PROBE_INTERVAL_S = 1.0
"""Time between probes of hosts that are not alive, to detect their return."""

JOIN_PROBES = 4
"""Hosts of the own failure domain that a starting host probes at once."""

MAX_CONCURRENT_PROBES = 4
"""Open probes of local hosts from which a direct timeout starts no further probe."""

DOMAIN_CHECK_INTERVAL_S = 0.5
"""Shortest time between two probes of a failure domain caused by updates of other hosts."""


DOMAIN_PURPOSES = (Purpose.DOMAIN, Purpose.DOMAIN_CHECK)


class FailureDetector:
    """Probes each host of the own failure domain, and each other failure domain as a whole.

    Only hosts of its own failure domain declare a host failed. For the other failure domains, this
    host only detects whether they answer at all.

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
        self._host_schedule = ProbeSchedule(own=own.name, others=())
        self._domain_schedule = ProbeSchedule(own=own.failure_domain, others=())
        self._absent: list[str] = []
        self._unresponsive: list[str] = []
        self._order_version = (-1, -1)
        self._reprobe_order = RoundRobin(rng=rng)
        self._local_at = self._remote_at = self._reprobe_at = -math.inf
        self._joined = False
        self._checked_at_by_domain: dict[str, float] = {}

    # Input

    def probe_now(self, now: float, member: Member, out: list[Action]) -> None:
        """Probe a host at once, for example because others suspect it or a connection failed."""
        if member.failure_domain != self._own.failure_domain:
            self._start(now, member, Purpose.DOMAIN_CHECK, out)
        elif member.is_usable:
            self._start(now, member, Purpose.MEMBER, out)
        else:
            self._start(now, member, Purpose.ABSENT, out)

    def connection_failed(self, now: float, member: Member, out: list[Action]) -> None:
        """Time out the open direct probe of a host whose connection failed, or start a probe."""
        probe = self._probes.find(member.name)
        if probe is None:
            self.probe_now(now, member, out)
        elif not probe.indirect:
            probe.deadline = now

    def check_domain(self, now: float, domain: str, out: list[Action]) -> None:
        """Probe a failure domain because another host may see its reachability differently."""
        last = self._checked_at_by_domain.get(domain, -math.inf)
        if domain != self._own.failure_domain and now - last >= DOMAIN_CHECK_INTERVAL_S:
            self._checked_at_by_domain[domain] = now
            self._probe_domain(now, domain, 1, Purpose.DOMAIN_CHECK, out)

    def handle_reply(self, now: float, sequence: int) -> tuple[Member | None, bool]:
        """Process a reply to a probe.

        :returns: the host that was probed, and whether its failure domain was unreachable until
            now.
        """
        probe = self._probes.take_answered(sequence)
        member = self._table.by_name.get(probe.target) if probe is not None else None
        if member is not None:
            self._table.set_responsive(member, True)
        if member is None or member.failure_domain == self._own.failure_domain:
            return member, False
        reachable_again = self._reachability.record_reply(now, member.failure_domain)
        if reachable_again:
            for other in self._members_in(member.failure_domain):
                self._table.set_responsive(other, True)
        return member, reachable_again

    def relay_ping(self, requester: str, requested: int, target: Member, out: list[Action]) -> None:
        """Ping a host on behalf of another host, for its indirect probe."""
        self._gossip.ping(target, self._probes.add_relay(requester, requested), out)

    def take_relay(self, sequence: int) -> tuple[str, int] | None:
        """Requester and its sequence number if the reply is to a ping on behalf of another host."""
        return self._probes.take_relay(sequence)

    def reset_failures(self) -> None:
        """Discard probes and failures that a pause of this host may have falsified."""
        self._probes.clear()
        self._reachability.reset_failures()

    # Timers

    def start_due_probes(self, now: float, limits: Limits, out: list[Action]) -> None:
        """Start the probes that are due."""
        if not self._joined and len(self._table.by_name) > 1:
            self._joined = True
            self._join(now, limits, out)
        if now >= self._local_at:
            self._local_at = self._local_schedule().next_turn(now, limits.ping_interval_s)
            self._probe_local(now, limits.ping_interval_s, out)
        if now >= self._remote_at:
            self._remote_at = self._remote_schedule().next_turn(now, limits.remote_ping_interval_s)
            domain = self._remote_schedule().target(now, limits.remote_ping_interval_s)
            if domain is not None:
                self._probe_domain(now, domain, 1, Purpose.DOMAIN, out)
        self._refresh_order()
        if now >= self._reprobe_at:
            self._reprobe_next(now, out)
        for domain in self._reachability.take_due_retries(now):
            self._probe_domain(now, domain, RETRY_HOSTS, Purpose.DOMAIN_CHECK, out)

    def expire_probes(self, now: float, limits: Limits, out: list[Action]) -> list[Member]:
        """Process the probes that have timed out.

        :returns: hosts of the own failure domain that are to be suspected.
        """
        suspects: list[Member] = []
        for probe in self._probes.due(now):
            member = self._table.by_name.get(probe.target)
            if member is not None:
                self._table.set_responsive(member, False)
            if member is None or probe.purpose == Purpose.ABSENT:
                self._probes.close(probe)
            elif probe.purpose in DOMAIN_PURPOSES:
                self._handle_domain_timeout(now, probe, member, limits, out)
            elif not self._start_indirect_probe(now, probe, member, out):
                self._probes.close(probe)
                suspects.append(member)
        return suspects

    def next_timer(self, now: float) -> float:
        """Time of the next timer."""
        return min(
            self._local_at,
            self._remote_at,
            self._reprobe_at if self._absent or self._unresponsive else math.inf,
            self._probes.next_deadline(),
            self._reachability.next_timer(now),
        )

    # Details

    def _start(self, now: float, target: Member, purpose: Purpose, out: list[Action]) -> None:
        timeout_s = REMOTE_PROBE_TIMEOUT_S if purpose in DOMAIN_PURPOSES else DIRECT_TIMEOUT_S
        if target is self._own or target.has_ended:
            return
        probe = self._probes.start(now, target.name, purpose, timeout_s)
        if probe is not None:
            self._gossip.ping(target, probe.sequence, out)

    def _join(self, now: float, limits: Limits, out: list[Action]) -> None:
        self._local_at = self._local_schedule().next_turn(now, limits.ping_interval_s)
        self._remote_at = self._remote_schedule().next_turn(now, limits.remote_ping_interval_s)
        self._reprobe_at = now + self._random.random() * ABSENT_PROBE_INTERVAL_S
        local_members = self._members_in(self._own.failure_domain)
        for member in sample(self._random, local_members, JOIN_PROBES):
            self._start(now, member, Purpose.ABSENT, out)
        for domain in self._remote_domains():
            self._probe_domain(now, domain, 1, Purpose.DOMAIN, out)

    def _probe_local(self, now: float, interval_s: float, out: list[Action]) -> None:
        name = self._local_schedule().target(now, interval_s)
        if name is not None:
            self._start(now, self._table.by_name[name], Purpose.MEMBER, out)

    def _probe_random_local_host(self, now: float, out: list[Action]) -> None:
        members = [m for m in self._members_in(self._own.failure_domain) if m.is_usable]
        for member in sample(self._random, members, 1):
            self._start(now, member, Purpose.MEMBER, out)

    def _local_schedule(self) -> ProbeSchedule:
        self._refresh_order()
        return self._host_schedule

    def _remote_schedule(self) -> ProbeSchedule:
        self._refresh_order()
        return self._domain_schedule

    def _refresh_order(self) -> None:
        version = (self._table.version, self._reachability.version)
        if self._order_version == version:
            return
        self._order_version = version
        own = self._own
        usable = [m.name for m in self._members_in(own.failure_domain) if m.is_usable]
        self._host_schedule = ProbeSchedule(own=own.name, others=usable)
        # The shift spreads the probes of the hosts of one failure domain over domains and time.
        self._domain_schedule = ProbeSchedule(
            own=own.failure_domain,
            others=self._remote_domains(),
            shift=self._host_schedule.position,
        )
        self._absent = [m.name for m in self._table if not m.is_usable and not m.has_ended]
        self._unresponsive = [
            m.name for m in self._table if m.is_usable and not self._is_responsive_or_unreachable(m)
        ]

    def _probe_domain(
        self, now: float, domain: str, count: int, purpose: Purpose, out: list[Action]
    ) -> None:
        members = self._members_in(domain)
        usable = [member for member in members if member.is_usable]
        for member in sample(self._random, usable or members, count):
            self._start(now, member, purpose, out)

    def _reprobe_next(self, now: float, out: list[Action]) -> None:
        self._refresh_order()
        self._reprobe_at = now + (
            UNRESPONSIVE_PROBE_INTERVAL_S if self._unresponsive else ABSENT_PROBE_INTERVAL_S
        )
        name = self._reprobe_order.pick(self._unresponsive or self._absent)
        if name is not None:
            self.probe_now(now, self._table.by_name[name], out)

    def _start_indirect_probe(
        self, now: float, probe: Probe, member: Member, out: list[Action]
    ) -> bool:
        if probe.indirect:
            return False
        probe.indirect = True
        probe.deadline = now + INDIRECT_TIMEOUT_S
        if self._probes.count(Purpose.MEMBER) < MAX_CONCURRENT_PROBES:
            # If one host fails, its whole rack may have failed.
            self._probe_random_local_host(now, out)
        return self._gossip.request_indirect_pings(
            member, probe.sequence, INDIRECT_PROBE_HOSTS, out
        )

    def _handle_domain_timeout(
        self, now: float, probe: Probe, member: Member, limits: Limits, out: list[Action]
    ) -> None:
        self._probes.close(probe)
        domain = member.failure_domain
        self._reachability.record_failure(
            now,
            domain,
            sent_at=probe.sent_at,
            bound_s=limits.suspicion_periods * limits.ping_interval_s,
        )
        if self._reachability.take_suspicion(
            domain, failures=1 if probe.purpose == Purpose.DOMAIN else 2
        ):
            self._gossip.send_domain_suspicion(member, out)

    def _is_responsive_or_unreachable(self, member: Member) -> bool:
        # The hosts of an unreachable failure domain are not probed one by one.
        return member.responsive or self._reachability.is_unreachable(member.failure_domain)

    def _members_in(self, domain: str) -> list[Member]:
        members = self._table.by_domain().get(domain, ())
        return [member for member in members if member is not self._own]

    def _remote_domains(self) -> list[str]:
        return sorted(self._table.by_domain().keys() - {self._own.failure_domain})
