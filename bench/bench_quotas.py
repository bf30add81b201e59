"""Quotas of 68 teams over several schedulers: error, overshoot in partitions, time to move a share.

The quotas of all hosts run on virtual time and exchange the real digests. A team starts every task
that its token buckets allow. Four hosts in three failure domains are schedulers; the other hosts
only exchange digests on behalf of their failure domains.
"""

from __future__ import annotations

import heapq
import itertools
import pathlib
import random
import sys
from collections import defaultdict

from bench.report import run_program
from bench.virtual import identity_of
from eelgrassyard.policy import (
    HostEntry,
    PeerReceived,
    QuotaDigest,
    Send,
    SiteConfig,
    TeamEntry,
)
from eelgrassyard.policy._quotas import Quotas

SEED = 30
TEAMS = 68
DOMAINS = ("patan", "thamel", "bhaktapur")
HOSTS_PER_DOMAIN = 3
SCHEDULERS = ("patan-0", "patan-1", "thamel-0", "bhaktapur-0")
LATENCY_S = 0.0015
STEP_S = 0.02


class FixedConfig:
    """Configuration view with a constant revision."""

    revision = 1

    def __init__(self, current: SiteConfig) -> None:
        self.current = current


class FixedMembership:
    """Membership view in which all hosts are alive; a partition only shows in lost digests."""

    def __init__(self, site: SiteConfig) -> None:
        self._all = sorted(site.hosts_by_name)
        self._by_domain = {
            d: [h for h in self._all if site.hosts_by_name[h].failure_domain == d] for d in DOMAINS
        }

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        return True

    def alive_hosts(self, failure_domain: str | None = None) -> list[str]:
        return self._all if failure_domain is None else self._by_domain[failure_domain]


def make_site(source: random.Random) -> SiteConfig:
    """Configuration with teams whose quotas are from 5 to 500 starts per second."""
    hosts = [
        HostEntry(name=f"{d}-{i}", address="127.0.0.1", port=1, failure_domain=d)
        for d in DOMAINS
        for i in range(HOSTS_PER_DOMAIN)
    ]
    teams = [
        TeamEntry(name=f"team-{i}", starts_per_s=round(5.0 * 100.0 ** source.random(), 1))
        for i in range(TEAMS)
    ]
    return SiteConfig(
        site="bench",
        failure_domains=DOMAINS,
        hosts_by_name={host.name: host for host in hosts},
        teams_by_name={team.name: team for team in teams},
    )


class QuotaSimulation:
    """Simulates the quotas of every host.

    :param demand: demand in starts per second, by scheduler and team.
    """

    def __init__(self) -> None:
        self.site = make_site(random.Random(SEED))
        membership = FixedMembership(self.site)
        self.quotas_by_host = {
            name: Quotas(
                identity=identity_of(host, 1),
                config=FixedConfig(self.site),
                membership=membership,
            )
            for name, host in self.site.hosts_by_name.items()
        }
        self.now = 1_000.0
        self.cuts: set[frozenset[str]] = set()
        self.demand: dict[tuple[str, str], float] = {}
        self.starts: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
        self.bytes_sent = 0
        self._queued: dict[tuple[str, str], float] = defaultdict(float)
        self._in_transit: list[tuple[float, int, str, PeerReceived]] = []
        self._number = itertools.count()

    def run(self, seconds: float) -> None:
        """Advance virtual time by a number of seconds."""
        end = self.now + seconds - 1e-9
        while self.now < end:
            self.now += STEP_S
            while self._in_transit and self._in_transit[0][0] <= self.now:
                _, _, host, event = heapq.heappop(self._in_transit)
                self._advance(host, event)
            for key, rate in self.demand.items():
                self._start_tasks(key, rate)
            for name, quotas in self.quotas_by_host.items():
                if quotas.next_wake(self.now) <= self.now or name in SCHEDULERS:
                    self._advance(name, None)

    def _start_tasks(self, key: tuple[str, str], rate: float) -> None:
        host, team = key
        quotas = self.quotas_by_host[host]
        before = self._queued[key]
        queued = before + rate * STEP_S
        new = int(queued) - int(before)
        if new > 0:
            quotas.record_demand(self.now, team, new)
        if queued >= 1.0:
            started = quotas.allowed(self.now, team, int(queued))
            if started:
                quotas.charge(self.now, team, started)
                self.starts[team].append((self.now, host, started))
                queued -= started
        # The queue is bounded: at most two seconds of demand wait.
        self._queued[key] = min(queued, 2.0 * rate + 1.0)

    def _advance(self, name: str, event: PeerReceived | None) -> None:
        quotas = self.quotas_by_host[name]
        out: list = []
        if event is not None:
            quotas.handle(self.now, event, out)
        quotas.advance(self.now, out)
        source = self.site.hosts_by_name[name].failure_domain
        for action in out:
            assert isinstance(action, Send)
            target = self.site.hosts_by_name[action.to].failure_domain
            if frozenset((source, target)) in self.cuts:
                continue
            assert isinstance(action.message, QuotaDigest)
            # An entry has a team name and two numbers, about 24 bytes when encoded.
            self.bytes_sent += 16 + 24 * len(action.message.demands)
            digest = PeerReceived(sender=name, incarnation=1, message=action.message)
            heapq.heappush(
                self._in_transit, (self.now + LATENCY_S, next(self._number), action.to, digest)
            )

    def started(self, team: str, since: float, until: float, host: str | None = None) -> int:
        """Starts of a team in an interval, at one host or all."""
        return sum(
            count
            for at, name, count in self.starts[team]
            if since < at <= until and host in (None, name)
        )

    def worst_excess(self, team: str, since: float) -> float:
        """Largest excess of starts over the quota in any interval, in seconds of the quota.

        A single token bucket with a burst of one second has 1.0.
        """
        quota = self.site.teams_by_name[team].starts_per_s
        level = worst = 0.0
        last = since
        for at, _, count in self.starts[team]:
            if at <= since:
                continue
            level = max(0.0, level - (at - last) * quota) + count
            last = at
            worst = max(worst, level)
        return worst / quota

    def drop_queues(self) -> None:
        """Discard all queued tasks."""
        self._queued.clear()

    def distribute_demand(self, source: random.Random, factor: float) -> None:
        """Set each team's demand to a multiple of its quota, divided at random over schedulers."""
        for team in self.site.teams_by_name.values():
            parts = [source.random() ** 3 for _ in SCHEDULERS]
            for host, part in zip(SCHEDULERS, parts, strict=True):
                self.demand[host, team.name] = factor * team.starts_per_s * part / sum(parts)


def quantile(values: list[float], part: float) -> float:
    """Quantile of the values, ``part`` from 0 to 1."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def measure_connected() -> dict[str, float]:
    """Error and excess without partitions, at twice the quota; steady, then changing demand."""
    simulation = QuotaSimulation()
    source = random.Random(SEED + 1)
    simulation.distribute_demand(source, 2.0)
    simulation.run(10.0)
    since = simulation.now
    simulation.run(20.0)
    steady = [
        simulation.started(t.name, since, simulation.now) / (20.0 * t.starts_per_s) - 1.0
        for t in simulation.site.teams_by_name.values()
    ]
    moving_since = simulation.now
    for _ in range(6):
        simulation.distribute_demand(source, 2.0)
        simulation.run(5.0)
    excess = [simulation.worst_excess(team, since) for team in simulation.site.teams_by_name]
    moving = [
        simulation.started(t.name, moving_since, simulation.now) / (30.0 * t.starts_per_s) - 1.0
        for t in simulation.site.teams_by_name.values()
    ]
    seconds = simulation.now - 1_000.0
    return {
        "steady_error_mean": sum(steady) / TEAMS,
        "steady_error_worst": max(steady, key=abs),
        "moving_error_mean": sum(moving) / TEAMS,
        "moving_error_worst_below": min(moving),
        "worst_excess_s": max(excess),
        "digest_bytes_per_s_and_host": simulation.bytes_sent
        / seconds
        / len(simulation.quotas_by_host),
    }


def measure_partition(cuts: tuple[frozenset[str], ...], factor: float) -> dict[str, float]:
    """Excess in a partition that begins while nearly all demand is at one scheduler.

    :param cuts: pairs of failure domains that cannot reach each other.
    :param factor: demand at every scheduler during the partition, as a multiple of the quota.
    """
    simulation = QuotaSimulation()
    source = random.Random(SEED + 2)
    for team in simulation.site.teams_by_name.values():
        for host in SCHEDULERS:
            simulation.demand[host, team.name] = 0.02 * team.starts_per_s
        simulation.demand["patan-0", team.name] = 2.0 * team.starts_per_s
    simulation.run(10.0 + source.random())
    since = simulation.now
    simulation.cuts = set(cuts)
    for key in simulation.demand:
        simulation.demand[key] = factor * simulation.site.teams_by_name[key[1]].starts_per_s
    simulation.run(30.0)
    heal = simulation.now
    simulation.cuts = set()
    simulation.run(15.0)
    excess = [simulation.worst_excess(team, since) for team in simulation.site.teams_by_name]
    during = [
        simulation.started(t.name, since + 8.0, heal) / (22.0 * t.starts_per_s)
        for t in simulation.site.teams_by_name.values()
    ]
    after = [
        simulation.started(t.name, heal + 5.0, simulation.now) / (10.0 * t.starts_per_s)
        for t in simulation.site.teams_by_name.values()
    ]
    return {
        "worst_excess_s": max(excess),
        "median_excess_s": quantile(excess, 0.5),
        "used_while_cut": sum(during) / TEAMS,
        "used_after_heal": sum(after) / TEAMS,
    }


def measure_move(part: float = 0.9) -> dict[str, float]:
    """Seconds until a scheduler uses the fraction ``part`` of the quota after all demand moved."""
    simulation = QuotaSimulation()
    for team in simulation.site.teams_by_name:
        simulation.demand["patan-0", team] = 2.0 * simulation.site.teams_by_name[team].starts_per_s
    simulation.run(10.0)
    moved = simulation.now
    simulation.drop_queues()
    simulation.demand = {
        ("thamel-0", team): 2.0 * quota for team, quota in _quotas(simulation).items()
    }
    simulation.run(15.0)
    times = []
    for team, quota in _quotas(simulation).items():
        shares = [moved + 0.25 * i for i in range(1, 57)]
        rates = [
            (at, simulation.started(team, at - 1.0, at, "thamel-0") / quota)
            for at in shares
            if at > moved
        ]
        times.append(next((at - moved for at, rate in rates if rate >= part), float(15)))
    return {
        "mean_s": sum(times) / TEAMS,
        "p99_s": quantile(times, 0.99),
    }


def _quotas(simulation: QuotaSimulation) -> dict[str, float]:
    return {t.name: t.starts_per_s for t in simulation.site.teams_by_name.values()}


def compute_baselines() -> dict[str, float]:
    """Error of two baselines, computed from the same demand.

    One divides the quota into fixed shares, the other gives each scheduler the full quota.
    """
    simulation = QuotaSimulation()
    source = random.Random(SEED + 1)
    simulation.distribute_demand(source, 2.0)
    fixed, local = [], []
    for team, quota in _quotas(simulation).items():
        demands = [simulation.demand[host, team] for host in SCHEDULERS]
        fixed.append(sum(min(d, quota / len(SCHEDULERS)) for d in demands) / quota - 1.0)
        local.append(sum(min(d, quota) for d in demands) / quota - 1.0)
    return {
        "fixed_shares_error_mean": sum(fixed) / TEAMS,
        "fixed_shares_error_worst": min(fixed),
        "local_quota_error_mean": sum(local) / TEAMS,
        "local_quota_error_worst": max(local),
    }


def measure() -> dict[str, object]:
    """Run all simulations."""
    patan, thamel, bhaktapur = DOMAINS
    one = (frozenset((patan, thamel)), frozenset((patan, bhaktapur)))
    every = (*one, frozenset((thamel, bhaktapur)))
    one_sided = (frozenset((patan, thamel)),)
    return {
        "seed": SEED,
        "teams": TEAMS,
        "connected": measure_connected(),
        "one_domain_cut": measure_partition(one, 2.0),
        "all_cut": measure_partition(every, 2.0),
        "one_link_cut": measure_partition(one_sided, 2.0),
        "move": measure_move(),
        "baselines": compute_baselines(),
    }


def plot(path: pathlib.Path) -> None:
    """Write a plot of the starts of one team while all failure domains are partitioned."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    simulation = QuotaSimulation()
    team, quota = max(_quotas(simulation).items(), key=lambda item: item[1])
    simulation.demand = {(host, team): 0.02 * quota for host in SCHEDULERS}
    simulation.demand["patan-0", team] = 2.0 * quota
    begin = simulation.now
    simulation.run(8.0)
    simulation.cuts = {frozenset(pair) for pair in itertools.combinations(DOMAINS, 2)}
    simulation.demand = {(host, team): 2.0 * quota for host in SCHEDULERS}
    simulation.run(16.0)
    simulation.cuts = set()
    simulation.run(10.0)
    path.parent.mkdir(exist_ok=True)
    figure, axes = plt.subplots(figsize=(8, 4))
    times = [begin + 0.25 * i for i in range(4, int((simulation.now - begin) * 4))]
    for host in (None, *SCHEDULERS):
        rates = [simulation.started(team, at - 1.0, at, host) / quota for at in times]
        axes.plot([at - begin for at in times], rates, label=host or "all")
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.axvspan(8.0, 24.0, alpha=0.1)
    axes.set_xlabel("seconds; shaded: every failure domain cut off")
    axes.set_ylabel("starts as a part of the quota")
    axes.legend()
    figure.savefig(path)


def show(result: dict[str, object]) -> None:
    """Print the table and write the plot."""
    for name, figures in result.items():
        if isinstance(figures, dict):
            for key, value in figures.items():
                print(f"{name:16} {key:28} {value:9.3f}")
    plot(pathlib.Path("out/quotas.png"))


if __name__ == "__main__":
    sys.exit(run_program(__doc__, measure, show))
