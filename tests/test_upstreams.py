"""Upstreams of a pool: selection by learned speed, health checks, state changes."""

import itertools

import pytest
from bench.pool_site import KINDS, make_config, make_runners

from eelgrassyard.policy import Release, SpeedEntry, StartResult, TaskSize
from eelgrassyard.policy._events import ListedUpstream
from eelgrassyard.policy._grants import Grant
from eelgrassyard.policy._health import (
    CONSECUTIVE_FAILURES,
    POOL_RATIO_MIN_UPSTREAMS,
    PROBE_FIRST_S,
    PROBE_MAX_S,
    SINGLE_CALLER_FACTOR,
    UpstreamState,
    ejection_streak,
)
from eelgrassyard.policy._speed_classes import WAIT
from eelgrassyard.policy._speed_index import DIGEST_ENTRIES
from eelgrassyard.policy._upstream_table import (
    IDLE_PROBE_S,
    LEAVING_RECHECK_S,
    UpstreamTable,
)

KIND = KINDS[0].name
WORK_S = KINDS[0].mean_s


class Driver:
    """Drives an upstream table with a simulated clock."""

    def __init__(self, count: int = 6, slots: int = 2) -> None:
        self.entries, _ = make_runners(count, slots=slots)
        self.config = make_config(self.entries)
        self.table = UpstreamTable()
        self.table.configure(self.entries, self.config.kinds_by_name.values(), 0.5)
        self.now = 1000.0
        self.numbers = itertools.count(1)

    def start(self, upstream: str, *, probe: bool = False, caller: str = "") -> Grant:
        number = next(self.numbers)
        grant = Grant(
            number=number,
            owner="owner",
            incarnation=1,
            submission_id=f"s{number}",
            caller=caller or f"caller-{number % 3}",
            kind=KIND,
            size=TaskSize(index=0),
            upstream=upstream,
            granted_at=self.now,
            expected_s=self.table.speeds.expected_s(self.table.by_name[upstream], KIND),
            expires_at=self.now + 100.0,
            probe=probe,
        )
        self.table.acquire(self.now, grant)
        return grant

    def end(
        self,
        grant: Grant,
        result: StartResult = StartResult.OK,
        run_s: float = WORK_S,
        leaving: bool = False,
    ) -> None:
        release = Release(
            grant=grant.number,
            upstream=grant.upstream,
            kind=KIND,
            result=result,
            run_s=run_s,
            leaving=leaving,
        )
        self.table.record_result(self.now, grant, release)

    def run(
        self,
        upstream: str,
        result: StartResult = StartResult.OK,
        run_s: float = WORK_S,
        times: int = 1,
    ) -> None:
        for _ in range(times):
            grant = self.start(upstream)
            self.now += run_s
            self.end(grant, result, run_s)

    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.1)
            self.table.maintain(self.now)

    def choose(self, ahead: int = 0) -> str | None:
        return self.table.speeds.choose(KIND, ahead, ())

    def chosen(self) -> set[str]:
        """Names of the upstreams that get work when all free slots are filled."""
        names = set()
        grants = []
        while (name := self.choose(ahead=100)) not in (None, WAIT):
            names.add(name)
            grants.append(self.start(name))
        for grant in grants:
            self.table.release_slot(grant)
        return names

    def state(self, name: str) -> UpstreamState:
        return self.table.by_name[name].state

    def list(self, leaving: set[str] = frozenset(), without: set[str] = frozenset()) -> None:
        self.table.update_from_host_list(
            self.now,
            [
                ListedUpstream(upstream=e, leaving=e.name in leaving)
                for e in self.entries
                if e.name not in without
            ],
        )

    def fail_until_ejected(self, name: str) -> None:
        """Fail starts until the ejection; the streak must suffice in a pool of few upstreams."""
        for _ in range(ejection_streak(1.0 / POOL_RATIO_MIN_UPSTREAMS)):
            if self.state(name) is UpstreamState.LIVE:
                self.run(name, StartResult.FAILED, 0.001)
        assert self.state(name) is UpstreamState.EJECTED


def test_faster_upstream_is_chosen_after_learning():
    """Guards against selection that ignores learned speed."""
    driver = Driver()
    for entry in driver.entries:
        fast = entry.name == "runner-3"
        driver.run(entry.name, run_s=WORK_S / 2 if fast else WORK_S, times=20)
    assert driver.choose() == "runner-3"


def test_fast_failures_do_not_change_the_learned_speed():
    """Guards against fast failures raising an upstream's learned speed and attracting work."""
    driver = Driver()
    driver.run("runner-0", times=5)
    before = driver.table.by_name["runner-0"].speed.speed(KIND)
    for result in (StartResult.FAILED, StartResult.LOST, StartResult.NOT_STARTED):
        driver.run("runner-0", result, 0.0001)
    driver.run("runner-0", StartResult.STOPPED, 0.0001)
    assert driver.table.by_name["runner-0"].speed.speed(KIND) == before


def test_consecutive_failures_eject_an_upstream():
    """Guards against a failing upstream that still gets work."""
    driver = Driver()
    driver.fail_until_ejected("runner-0")
    assert "runner-0" not in driver.chosen()


def test_failures_that_all_upstreams_share_do_not_eject():
    """Guards against ejections because of tasks that fail on every upstream."""
    driver = Driver()
    for _ in range(40):
        for entry in driver.entries:
            driver.run(entry.name, StartResult.OK)
            driver.run(entry.name, StartResult.FAILED)
            driver.run(entry.name, StartResult.FAILED)
        driver.table.maintain(driver.now)
    assert driver.table.ejected_count() == 0


@pytest.mark.parametrize("count", [1, 2, 5, 8])
def test_at_most_half_of_the_pool_is_ejected(count):
    """Guards against ejections that leave too few upstreams in use."""
    driver = Driver(count=count)
    for entry in driver.entries:
        driver.run(entry.name, StartResult.FAILED, 0.001, times=100)
        driver.table.maintain(driver.now)
        assert driver.table.ejected_count() <= count // 2
    driver.wait(0.5)
    assert len(driver.chosen()) >= count - count // 2


def test_failing_upstream_beyond_the_ejection_limit_is_chosen_last():
    """Guards against preferring a failing upstream that could not be ejected to healthy ones."""
    driver = Driver(count=4)
    for name in ("runner-0", "runner-1", "runner-2"):
        driver.run(name, StartResult.FAILED, 0.001, times=10)
    assert driver.table.by_name["runner-2"].last_resort
    assert driver.choose() == "runner-3"


def test_unreachable_and_leaving_do_not_count_towards_the_ejection_limit():
    """Guards against an ejection limit computed from upstreams that cannot be used anyway."""
    driver = Driver(count=6)
    driver.list(leaving={"runner-4", "runner-5"})
    for name in ("runner-0", "runner-1", "runner-2"):
        driver.run(name, StartResult.FAILED, 0.001, times=10)
    assert driver.table.ejected_count() == 2


@pytest.mark.parametrize("evidence", ["marked", "unlisted", "removed"])
def test_ejected_upstreams_return_when_others_leave(evidence):
    """Guards against more ejected upstreams than allowed after others have left the pool."""
    driver = Driver(count=6)
    driver.list()
    for name in ("runner-0", "runner-1", "runner-2"):
        driver.fail_until_ejected(name)
    gone = {"runner-4", "runner-5"}
    if evidence == "marked":
        driver.list(leaving=gone)
    elif evidence == "unlisted":
        driver.list(without=gone)
    else:
        kept = [entry for entry in driver.entries if entry.name not in gone]
        driver.table.configure(kept, driver.config.kinds_by_name.values(), 0.5)
    assert driver.table.ejected_count() == driver.table.max_ejected() == 2
    assert driver.choose() == "runner-3"


def test_stalled_upstream_is_ejected_and_restored_when_a_start_succeeds():
    """Guards against a stalled upstream that accumulates tasks."""
    driver = Driver()
    grants = [driver.start("runner-0"), driver.start("runner-0")]
    driver.wait(10.0)
    assert driver.state("runner-0") is UpstreamState.EJECTED
    driver.end(grants[0], run_s=10.0)
    assert driver.state("runner-0") is UpstreamState.LIVE


def test_one_long_task_is_not_a_stall():
    """Guards against ejecting an upstream that finishes other tasks meanwhile."""
    driver = Driver()
    driver.start("runner-0")
    for _ in range(40):
        driver.run("runner-0", run_s=0.2)
        driver.table.maintain(driver.now)
    assert driver.state("runner-0") is UpstreamState.LIVE


def test_probes_are_sent_one_at_a_time_with_exponential_backoff():
    """Guards against many tasks lost in probes of a failing upstream."""
    driver = Driver()
    driver.fail_until_ejected("runner-0")
    probed_at = []
    ejected_at = driver.now
    while driver.now < ejected_at + 200.0:
        driver.wait(0.1)
        name = driver.table.choose_probe_target(KIND, (), idempotent=True, now=driver.now)
        if name is not None:
            probed_at.append(driver.now)
            grant = driver.start(name, probe=True)
            assert (
                driver.table.choose_probe_target(KIND, (), idempotent=True, now=driver.now) is None
            )
            driver.end(grant, StartResult.FAILED, 0.001)
    gaps = [b - a for a, b in itertools.pairwise([ejected_at, *probed_at])]
    assert gaps[0] >= PROBE_FIRST_S
    assert all(b >= a - 0.2 for a, b in itertools.pairwise(gaps))
    assert PROBE_MAX_S <= max(gaps) <= PROBE_MAX_S + 1.0


def test_restored_upstream_ramps_up_slowly():
    """Guards against full load on an upstream after a single successful probe."""
    driver = Driver(slots=8)
    driver.fail_until_ejected("runner-0")
    driver.wait(PROBE_FIRST_S + 0.2)
    driver.end(driver.start("runner-0", probe=True))
    assert driver.state("runner-0") is UpstreamState.LIVE
    assert driver.table.by_name["runner-0"].limit < 8
    driver.run("runner-0", times=4)
    assert driver.table.by_name["runner-0"].limit == 8


def test_flapping_upstream_is_probed_less_and_less_often():
    """Guards against an upstream that passes each probe and then fails all other tasks."""
    driver = Driver()
    intervals = []
    for _ in range(4):
        driver.fail_until_ejected("runner-0")
        intervals.append(driver.table.by_name["runner-0"].health.probe_interval_s)
        while driver.state("runner-0") is not UpstreamState.LIVE:
            driver.wait(0.1)
            if "runner-0" in driver.table.probes_due:
                driver.end(driver.start("runner-0", probe=True))
    assert intervals == sorted(set(intervals))


def test_relapses_need_more_probes():
    """Guards against an upstream that fails two tasks of three but passes single probes."""
    driver = Driver()
    needed = []
    for _ in range(4):
        driver.fail_until_ejected("runner-0")
        needed.append(0)
        while driver.state("runner-0") is not UpstreamState.LIVE:
            driver.wait(0.1)
            if "runner-0" in driver.table.probes_due:
                driver.end(driver.start("runner-0", probe=True))
                needed[-1] += 1
    assert needed == [1, 2, 3, 3]


def test_failures_of_one_caller_eject_later():
    """Guards against one caller's failing tasks ejecting upstreams that others use."""
    driver = Driver()
    for _ in range(CONSECUTIVE_FAILURES * SINGLE_CALLER_FACTOR - 1):
        driver.end(driver.start("runner-0", caller="bad"), StartResult.FAILED, 0.001)
    assert driver.state("runner-0") is UpstreamState.LIVE
    driver.end(driver.start("runner-0", caller="bad"), StartResult.FAILED, 0.001)
    assert driver.state("runner-0") is UpstreamState.EJECTED


def test_fast_failures_of_a_last_resort_upstream_attract_no_work():
    """Guards against an upstream of last resort that fails hundreds of tasks a second."""
    driver = Driver(count=2, slots=8)
    for name in ("runner-0", "runner-1"):
        driver.run(name, StartResult.FAILED, 0.001, times=10)
    assert driver.table.by_name["runner-1"].last_resort
    begin = driver.now
    starts = 0
    while driver.now < begin + 10.0:
        while driver.choose() == "runner-1":
            driver.run("runner-1", StartResult.FAILED, 0.001)
            starts += 1
        driver.wait(0.01)
    assert starts <= 10.0 / WORK_S


def test_starts_stuck_before_a_probe_do_not_eject_again():
    """Guards against ejecting a recovered upstream for starts lost before the probe."""
    driver = Driver(slots=8)
    for _ in range(3):
        driver.start("runner-0")
    driver.wait(20.0)
    assert driver.state("runner-0") is UpstreamState.EJECTED
    driver.end(driver.start("runner-0", probe=True))
    assert "runner-0" in driver.chosen()
    for _ in range(20):
        driver.run("runner-0")
        driver.table.maintain(driver.now)
    assert driver.state("runner-0") is UpstreamState.LIVE


def test_idle_slow_upstream_is_probed_and_its_speed_updated():
    """Guards against never selecting a slow upstream that has become fast again."""
    driver = Driver()
    for entry in driver.entries:
        driver.run(entry.name, run_s=WORK_S, times=30)
    driver.run("runner-0", run_s=WORK_S * 10, times=30)
    tried = 0
    begin = driver.now
    for _ in range(200):
        driver.wait(1.0)
        for entry in driver.entries[1:]:
            driver.run(entry.name)
        name = driver.table.choose_probe_target(KIND, (), idempotent=True, now=driver.now)
        if name is not None:
            tried += name == "runner-0"
            driver.end(driver.start(name, probe=True))
    assert 3 <= tried <= (driver.now - begin) / IDLE_PROBE_S
    assert driver.table.by_name["runner-0"].speed.speed(KIND) > 0.7


@pytest.mark.parametrize("evidence", ["list", "answer", "absent"])
def test_leaving_upstream_gets_nothing(evidence):
    """Guards against new work for an upstream that is leaving."""
    driver = Driver()
    driver.list()
    if evidence == "list":
        driver.list(leaving={"runner-0"})
    elif evidence == "absent":
        driver.list(without={"runner-0"})
    else:
        driver.end(driver.start("runner-0"), leaving=True)
    assert driver.state("runner-0") is UpstreamState.LEAVING
    assert "runner-0" not in driver.chosen()
    driver.wait(5.0)
    assert "runner-0" not in driver.chosen()
    assert not driver.table.probes_due


def test_stale_list_does_not_restore_a_leaving_upstream():
    """Guards against a stale host list overriding the upstream's own response."""
    driver = Driver()
    driver.list()
    driver.end(driver.start("runner-0"), leaving=True)
    for _ in range(10):
        driver.wait(1.0)
        driver.list()
    assert driver.state("runner-0") is UpstreamState.LEAVING


def test_restarted_upstream_is_restored_by_one_probe():
    """Guards against an upstream that stays out of use after a restart at its old address."""
    driver = Driver()
    driver.list()
    driver.end(driver.start("runner-0"), leaving=True)
    driver.wait(LEAVING_RECHECK_S + 1.0)
    driver.list()
    driver.wait(0.2)
    assert "runner-0" not in driver.chosen()
    assert driver.table.choose_probe_target(KIND, (), idempotent=True, now=driver.now) == "runner-0"
    driver.end(driver.start("runner-0", probe=True))
    assert driver.state("runner-0") is UpstreamState.LIVE


def test_probe_of_an_upstream_that_still_leaves_keeps_it_out():
    """Guards against a probe ending the leaving state that its own result confirms."""
    driver = Driver()
    driver.end(driver.start("runner-0"), leaving=True)
    driver.wait(LEAVING_RECHECK_S + 1.0)
    driver.list()
    driver.wait(0.2)
    driver.end(driver.start("runner-0", probe=True), StartResult.NOT_STARTED, leaving=True)
    assert driver.state("runner-0") is UpstreamState.LEAVING


def test_refused_starts_pause_and_then_mark_unreachable():
    """Guards against endless refused starts on an upstream that is down."""
    driver = Driver()
    refused = 0
    for _ in range(100):
        if "runner-0" in driver.chosen():
            driver.run("runner-0", StartResult.NOT_STARTED, 0.0)
            refused += 1
        driver.wait(0.1)
    assert driver.state("runner-0") is UpstreamState.UNREACHABLE
    assert refused <= 5


def test_upstreams_of_cut_off_domains_are_not_used():
    """Guards against starts sent to an upstream in an unreachable failure domain."""
    driver = Driver()
    driver.table.set_cut_off(["thamel"])
    domains = {driver.table.by_name[name].entry.failure_domain for name in driver.chosen()}
    assert domains == {"patan", "bhaktapur"}
    driver.table.set_cut_off([])
    assert len(driver.chosen()) == 6


def test_task_waits_for_a_faster_slot_only_while_that_is_shorter():
    """Guards against using slow slots too early, and against waiting indefinitely."""
    driver = Driver(count=2, slots=8)
    for _ in range(60):
        driver.run("runner-0", run_s=WORK_S / 4)
        driver.run("runner-1", run_s=WORK_S * 4)
    for _ in range(8):
        driver.start("runner-0")
    assert driver.choose(ahead=0) == WAIT
    assert driver.choose(ahead=1000) == "runner-1"


def test_learned_speed_follows_an_upstream_that_becomes_slow():
    """Guards against an upstream that becomes slow but keeps its former speed class."""
    driver = Driver()
    for entry in driver.entries:
        driver.run(entry.name, times=30)
    driver.run("runner-0", run_s=WORK_S * 10, times=20)
    assert driver.choose() != "runner-0"
    assert driver.table.by_name["runner-0"].speed.speed(KIND) < 0.4


def test_speed_is_learned_by_kind():
    """Guards against the speed for one kind determining the choice for another."""
    driver = Driver()
    other = KINDS[1]
    for _ in range(40):
        for name in ("runner-0", "runner-1"):
            driver.run(name, run_s=WORK_S / 2 if name == "runner-0" else WORK_S)
            grant = driver.start(name)
            grant.kind = other.name
            driver.end(grant, run_s=other.mean_s / (2 if name == "runner-1" else 1))
    speed = driver.table.by_name["runner-0"].speed
    assert speed.speed(KIND) > 1.5 * speed.speed(other.name)


def test_digest_is_bounded_and_initializes_the_speeds_of_a_new_table():
    """Guards against digests that grow with the site, and schedulers that start from scratch."""
    driver = Driver(count=400)
    for index, entry in enumerate(driver.entries):
        driver.run(entry.name, run_s=WORK_S * (1 + index % 4), times=10)
    digest = driver.table.speeds.digest()
    assert len(digest) == DIGEST_ENTRIES
    fresh = Driver(count=400)
    fresh.table.speeds.read_digest(digest)
    learned = {entry.upstream: entry.speed for entry in digest}
    for name, speed in learned.items():
        assert fresh.table.by_name[name].speed.speed(KIND) == pytest.approx(speed)


def test_digest_with_unusable_speeds_is_ignored():
    """Guards against selection that fails after an invalid digest."""
    driver = Driver()
    for speed in (0.0, -1.0, float("nan"), float("inf")):
        driver.table.speeds.read_digest([SpeedEntry(upstream="runner-0", speed=speed, samples=1)])
    assert driver.choose() is not None


def test_removed_upstream_is_dropped_after_its_starts_end():
    """Guards against an upstream that stays in the table after its configuration is removed."""
    driver = Driver()
    grant = driver.start("runner-0")
    driver.table.configure(driver.entries[1:], driver.config.kinds_by_name.values(), 0.5)
    assert "runner-0" not in driver.chosen()
    driver.end(grant)
    assert "runner-0" not in driver.table.by_name
    driver.table.maintain(driver.now + 10.0)
