"""Quotas over several schedulers: totals, redistribution of shares, network partitions."""

from __future__ import annotations

import heapq
import itertools

import pytest
from bench.virtual import identity_of
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.policy import (
    HostEntry,
    PeerReceived,
    QuotaDigest,
    Send,
    SiteConfig,
    TeamEntry,
)
from eelgrassyard.policy._quotas import DIGEST_INTERVAL_S, PEER_TIMEOUT_S, Quotas
from eelgrassyard.policy._team_quota import PARTITION_RAISE_DELAY_S, max_min_shares

FIXED = settings(derandomize=True, deadline=None, max_examples=25)
DELAY_S = 0.0015
DOMAINS = ("a", "b", "c")


class FixedConfig:
    """Configuration view that returns a fixed configuration."""

    revision = 1

    def __init__(self, current: SiteConfig) -> None:
        self.current = current


class FixedMembership:
    """Membership view in which all hosts stay alive; partitions only drop messages."""

    def __init__(self, site: SiteConfig) -> None:
        self._hosts = site.hosts_by_name

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        return host in self._hosts

    def alive_hosts(self, failure_domain: str | None = None) -> list[str]:
        return sorted(
            name
            for name, host in self._hosts.items()
            if failure_domain in (None, host.failure_domain)
        )


def make_site(quota: float, hosts_per_domain: int = 2) -> SiteConfig:
    hosts = [
        HostEntry(name=f"{d}{i}", address="127.0.0.1", port=1, failure_domain=d)
        for d in DOMAINS
        for i in range(hosts_per_domain)
    ]
    return SiteConfig(
        site="test",
        failure_domains=DOMAINS,
        hosts_by_name={host.name: host for host in hosts},
        teams_by_name={"t": TeamEntry(name="t", starts_per_s=quota)},
    )


class Loop:
    """Runs the quotas of all hosts on a virtual clock; the team starts all that is allowed."""

    STEP_S = 0.02

    def __init__(self, quota: float) -> None:
        self.site = make_site(quota)
        membership = FixedMembership(self.site)
        self.quota_by_host = {
            name: Quotas(
                identity=identity_of(host, 1),
                config=FixedConfig(self.site),
                membership=membership,
            )
            for name, host in self.site.hosts_by_name.items()
        }
        self.cuts: set[frozenset[str]] = set()
        self.now = 100.0
        self.demand_by_host: dict[str, float] = {}
        self.starts: list[tuple[float, str, int]] = []
        self._owed_by_host: dict[str, float] = {}
        self._mail: list[tuple[float, int, str, PeerReceived]] = []
        self._number = itertools.count()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += self.STEP_S
            while self._mail and self._mail[0][0] <= self.now:
                _, _, host, event = heapq.heappop(self._mail)
                self._drive(host, event)
            for name, quotas in self.quota_by_host.items():
                self._ask(name, quotas)
                self._drive(name, None)

    def _ask(self, name: str, quotas: Quotas) -> None:
        owed = self._owed_by_host.get(name, 0.0) + self.demand_by_host.get(name, 0.0) * self.STEP_S
        new = int(owed) - int(self._owed_by_host.get(name, 0.0))
        if new > 0:
            quotas.record_demand(self.now, "t", new)
        if owed >= 1.0:
            started = quotas.allowed(self.now, "t", int(owed))
            quotas.charge(self.now, "t", started)
            owed -= started
            if started:
                self.starts.append((self.now, name, started))
        self._owed_by_host[name] = min(owed, 2.0 * self.demand_by_host.get(name, 0.0) + 1.0)

    def _drive(self, name: str, event: PeerReceived | None) -> None:
        quotas = self.quota_by_host[name]
        out: list = []
        if event is not None:
            quotas.handle(self.now, event, out)
        quotas.advance(self.now, out)
        for action in out:
            assert isinstance(action, Send)
            source = self.site.hosts_by_name[name].failure_domain
            target = self.site.hosts_by_name[action.to].failure_domain
            if frozenset((source, target)) in self.cuts:
                continue
            mail = PeerReceived(sender=name, incarnation=1, message=action.message)
            at = self.now + DELAY_S
            heapq.heappush(self._mail, (at, next(self._number), action.to, mail))

    def started(self, since: float, until: float, host: str | None = None) -> int:
        return sum(
            count for at, name, count in self.starts if since < at <= until and host in (None, name)
        )

    def worst_window(self, since: float, window_s: float) -> int:
        """Highest number of starts in any window of that length."""
        worst = 0
        for at, _, _ in self.starts:
            if at >= since:
                worst = max(worst, self.started(at - 1e-9, at + window_s))
        return worst


@FIXED
@given(
    quota=st.sampled_from((5.0, 50.0, 300.0)),
    changes=st.lists(
        st.tuples(st.sampled_from(("a0", "a1", "b0", "c1")), st.sampled_from((0.0, 0.1, 0.6, 3.0))),
        min_size=1,
        max_size=5,
    ),
)
def test_quota_is_never_exceeded_while_connected(quota, changes):
    """Guards against a share that rises before those of other schedulers fall."""
    loop = Loop(quota)
    loop.run(0.1)
    for host in ("a0", "a1", "b0", "c1"):
        loop.demand_by_host[host] = 0.2 * quota
    loop.run(6.0)
    since = loop.now
    for host, factor in changes:
        loop.demand_by_host[host] = factor * quota
        loop.run(2.3)
    # Burst of one second, at least one token for each scheduler, and one step of the loop.
    for window_s in (1.0, 4.0):
        allowed = quota * (window_s + 1.0 + 2 * Loop.STEP_S) + 4
        assert loop.worst_window(since, window_s) <= allowed


def test_quota_is_used_where_the_demand_is():
    """Guards against shares that stay at schedulers without demand."""
    loop = Loop(100.0)
    loop.demand_by_host = {"a0": 300.0, "b0": 0.0}
    loop.run(10.0)
    assert loop.started(105.0, 110.0) == pytest.approx(500, rel=0.02)
    loop.demand_by_host = {"a0": 0.0, "b0": 300.0}
    moved = loop.now
    loop.run(12.0)
    # The backlog at a0, two seconds of its demand, is served first.
    assert loop.started(moved + 8.0, moved + 12.0, "b0") == pytest.approx(400, rel=0.05)


def test_partitioned_schedulers_use_fixed_shares_with_bounded_overshoot():
    """Guards against both sides of a partition using the whole quota."""
    loop = Loop(90.0)
    loop.demand_by_host = {"a0": 300.0, "b0": 5.0}
    loop.run(10.0)
    loop.demand_by_host = {"a0": 300.0, "b0": 300.0, "c0": 300.0}
    loop.cuts = {frozenset(("a", "b")), frozenset(("a", "c")), frozenset(("b", "c"))}
    cut = loop.now
    loop.run(12.0)
    settled = cut + PEER_TIMEOUT_S + DIGEST_INTERVAL_S + PARTITION_RAISE_DELAY_S
    assert loop.started(settled, cut + 12.0) <= 90.0 * (cut + 12.0 - settled) * 1.03 + 3
    total = loop.started(cut, cut + 12.0)
    # c0 began to schedule during the partition, on its fixed share, before a0 could detect it.
    moved = 90.0 / 3
    assert total <= 90.0 * 12.0 + 90.0 + moved * (PEER_TIMEOUT_S + DIGEST_INTERVAL_S)


def test_partial_partition_counts_the_fixed_shares_of_unheard_schedulers():
    """Guards against overshoot when a hears c and b hears c, but a and b do not hear each other."""
    loop = Loop(90.0)
    loop.demand_by_host = {"a0": 300.0, "b0": 300.0, "c0": 300.0}
    loop.run(8.0)
    loop.cuts = {frozenset(("a", "b"))}
    loop.run(8.0)
    since = loop.now
    loop.run(6.0)
    assert loop.started(since, loop.now) <= 90.0 * 6.0 * 1.03 + 3


def test_shares_recover_after_the_partition_heals():
    """Guards against a scheduler that stays on its fixed share indefinitely."""
    loop = Loop(100.0)
    loop.demand_by_host = {"a0": 300.0}
    loop.run(6.0)
    loop.cuts = {frozenset(("a", "b"))}
    loop.run(8.0)
    loop.cuts = set()
    loop.run(5.0)
    since = loop.now
    loop.run(4.0)
    assert loop.started(since, loop.now) == pytest.approx(400, rel=0.03)


def test_team_without_a_quota_is_not_limited():
    """Guards against refusing the work of teams without a quota."""
    loop = Loop(100.0)
    assert loop.quota_by_host["a0"].allowed(1.0, "other", 1000) == 1000


def test_gang_larger_than_the_bucket_is_allowed_and_leaves_a_debt():
    """Guards against gangs that exceed the burst size of a small quota and never start."""
    loop = Loop(30.0)
    loop.run(0.1)
    quotas = loop.quota_by_host["a0"]
    quotas.allowed(loop.now, "t", 1)
    loop.run(6.0)
    assert quotas.allowed(loop.now, "t", 200) < 200
    assert quotas.allowed(loop.now, "t", 200, gang=True) == 200
    quotas.charge(loop.now, "t", 200)
    loop.run(3.0)
    assert quotas.allowed(loop.now, "t", 1) == 0
    assert quotas.next_allowed(loop.now, "t") > loop.now


def test_late_digest_does_not_replace_a_newer_one():
    """Guards against shares computed from the outdated demand of a reordered digest."""
    loop = Loop(90.0)
    quotas = loop.quota_by_host["a0"]
    for sequence in (5, 4):
        digest = QuotaDigest(failure_domain="b", sequence=sequence, demands=())
        event = PeerReceived(sender="b0", incarnation=1, message=digest)
        quotas.handle(100.0 + sequence, event, [])
    assert quotas._peer_by_host["b0"].order == (1, 5)


@FIXED
@given(
    quota=st.floats(0.1, 1000.0),
    demands=st.lists(st.floats(0.0, 1000.0), min_size=1, max_size=9),
)
def test_shares_add_up_to_the_quota_and_meet_small_demands(quota, demands):
    """Guards against shares that exceed the quota, and a flood at one scheduler that takes all."""
    weights = [1.0 + i % 2 for i in range(len(demands))]
    shares = max_min_shares(quota, demands, weights)
    assert sum(shares) == pytest.approx(quota)
    for share, demand, weight in zip(shares, demands, weights, strict=True):
        assert share >= min(demand, quota * weight / sum(weights)) - 1e-6
