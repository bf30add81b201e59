"""Stateful tests with several cores: faults in any order, then a period without faults."""

from __future__ import annotations

from bench.store_site import StoreSite, make_config
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from eelgrassyard.policy import ListedHost

DOMAINS = 3
HOSTS = 8
POOLS = ("runners/ruling", "workers", "runners/stamping")
QUIET_S = 20.0
"""Time without faults after which all hosts must agree."""

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=14,
    suppress_health_check=list(HealthCheck),
)

hosts = st.sampled_from([f"d{i % DOMAINS}-{i // DOMAINS}" for i in range(HOSTS)])
domains = st.sampled_from([f"d{i}" for i in range(DOMAINS)])


class Faults(RuleBasedStateMachine):
    """Faults of hosts and of the network, shared by both state machines."""

    site: StoreSite
    frozen_until: dict[str, float]

    @initialize(
        seed=st.integers(0, 1000),
        loss=st.sampled_from([0.0, 0.05, 0.2]),
        duplicates=st.sampled_from([0.0, 0.1]),
        jitter_s=st.sampled_from([0.0, 0.01, 0.1]),
    )
    def start(self, seed: int, loss: float, duplicates: float, jitter_s: float) -> None:
        self.site = StoreSite(
            config=make_config(HOSTS, DOMAINS),
            hosts_named=False,
            seed=seed,
            loss=loss,
            duplicates=duplicates,
            jitter_s=jitter_s,
        )
        self.frozen_until = {}
        self.prepare()
        self.site.start_all()
        self.site.run_for(3.0)

    def prepare(self) -> None:
        """Set up what the state machine records."""

    @rule(seconds=st.sampled_from([0.05, 0.4, 1.5, 4.0]))
    def run(self, seconds: float) -> None:
        self.site.run_for(seconds)

    @rule(name=hosts)
    def kill(self, name: str) -> None:
        self.site.kill(name)

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        # Two incarnations differ by a microsecond at least.
        self.site.run_for(0.001)
        self.site.start(name)

    @rule(name=hosts, seconds=st.sampled_from([0.5, 3.0, 12.0]))
    def pause(self, name: str, seconds: float) -> None:
        self.site.freeze(name, seconds)
        self.frozen_until[name] = self.site.now + seconds

    @rule(first=domains, second=domains)
    def cut(self, first: str, second: str) -> None:
        self.site.cut(first, second)

    @rule()
    def heal(self) -> None:
        self.site.heal()

    def end_faults(self) -> None:
        """Undo every fault, and wait for the end of all pauses and ``QUIET_S``."""
        site = self.site
        site.heal()
        # A reply that takes over 150 ms makes a host skip a scheduler, so jitter ends as well.
        site.loss = site.duplicates = site.jitter_s = 0.0
        site.run_until(max([site.now, *self.frozen_until.values()]))
        site.run_for(QUIET_S)


class MembershipStates(Faults):
    """Guards against running hosts that stay dead, ended incarnations that become alive again, and
    member tables that never converge.
    """

    def prepare(self) -> None:
        self.seen_dead: dict[tuple[str, int], set[tuple[str, int]]] = {}
        self.incarnations: set[tuple[str, int]] = set()

    @rule(
        dropped=st.sets(hosts, max_size=4),
        leaving=st.sets(hosts, max_size=2),
        receivers=st.sets(hosts, min_size=1),
    )
    def read_wrong_list(self, dropped: set[str], leaving: set[str], receivers: set[str]) -> None:
        listed = [
            ListedHost(host=host.entry, leaving=name in leaving)
            for name, host in self.site.host_by_name.items()
            if name not in dropped
        ]
        self.site.listed = lambda: listed
        for name in sorted(receivers):
            self.site.deliver(name, self.site.host_list())

    @rule(name=hosts)
    def lose_connection(self, name: str) -> None:
        for other in self.site.running():
            if other != name:
                self.site.fail_connection(other, name)

    @invariant()
    def ended_incarnations_stay_ended(self) -> None:
        if not hasattr(self, "site"):
            return
        running = self.site.running()
        self.incarnations |= {(n, c.identity.incarnation) for n, c in running.items()}
        for name, core in running.items():
            membership = core.membership
            seen = self.seen_dead.setdefault((name, core.identity.incarnation), set())
            for other, incarnation in self.incarnations:
                dead = membership.is_dead(other, incarnation)
                assert dead or (other, incarnation) not in seen
                if dead:
                    seen.add((other, incarnation))
                    assert not membership.is_alive(other, incarnation)

    @invariant()
    def running_incarnations_are_not_ended(self) -> None:
        if not hasattr(self, "site"):
            return
        running = self.site.running()
        for core in running.values():
            for other, other_core in running.items():
                assert not core.membership.is_dead(other, other_core.identity.incarnation)

    def teardown(self) -> None:
        if not hasattr(self, "site"):
            return
        self.site.listed = None
        for name in self.site.running():
            self.site.deliver(name, self.site.host_list())
        self.end_faults()
        running = self.site.running()
        expected = tuple(sorted(running))
        for name, core in running.items():
            assert core.membership.alive_hosts() == expected, name
        for pool in POOLS:
            assert len({c.membership.scheduler_for(pool) for c in running.values()}) <= 1


class ConfigStates(Faults):
    """Guards against a host that reverts to an older revision, or never gets the newest one."""

    def prepare(self) -> None:
        self.last_revision: dict[tuple[str, int], int] = {}
        self.min_revision_by_host: dict[str, int] = {}
        self.site.on_ready = self.check_ready

    @rule()
    def write(self) -> None:
        self.site.write_config()

    @rule(up=st.booleans())
    def set_store(self, up: bool) -> None:
        self.site.store_up = up

    @rule(seconds=st.sampled_from([0.003, 1.0, 8.0]))
    def slow_store(self, seconds: float) -> None:
        self.site.store_latency_s = seconds

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        super().restart(name)
        self.min_revision_by_host[name] = self.neighbours_revision(name)

    def neighbours_revision(self, name: str) -> int:
        """Highest revision at the other unpaused hosts of the same failure domain."""
        domain = name.split("-")[0]
        neighbours = (
            core.configsync.revision
            for other, core in self.site.running().items()
            if other != name
            and other.startswith(domain)
            and self.frozen_until.get(other, 0.0) <= self.site.now
        )
        return max(neighbours, default=0)

    def check_ready(self, name: str) -> None:
        """Check that a restarted host serves no older revision than its neighbours had."""
        core = self.site.running()[name]
        assert core.configsync.revision >= self.min_revision_by_host.get(name, 0)

    @invariant()
    def revisions_never_decrease(self) -> None:
        if not hasattr(self, "site"):
            return
        for name, core in self.site.running().items():
            key = (name, core.identity.incarnation)
            revision = core.configsync.revision
            assert revision >= self.last_revision.get(key, 0)
            self.last_revision[key] = revision

    def teardown(self) -> None:
        if not hasattr(self, "site"):
            return
        highest_revision = max(
            (c.configsync.revision for c in self.site.running().values()), default=0
        )
        self.end_faults()
        expected_revision = self.site.stored_revision if self.site.store_up else highest_revision
        for name, core in self.site.running().items():
            assert core.configsync.revision >= expected_revision, name
            assert self.site.ready_by_host[name] or not expected_revision, name


MembershipStates.TestCase.settings = SETTINGS
ConfigStates.TestCase.settings = SETTINGS
TestMembershipStates = MembershipStates.TestCase
TestConfigStates = ConfigStates.TestCase
