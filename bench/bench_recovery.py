"""Fault injection: outcomes that callers see, and recovery time, for each kind of fault.

Complete cores run on virtual time under light load. Scenarios of an hour have fewer hosts, 16 times
longer ping intervals and a lower load, to keep the run short. ``--json`` prints the JSON line only.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from bench.recovery_site import RACK_SIZE, RecoverySite, TrackedSubmission
from eelgrassyard.policy import OutcomeKind

SEED = 20_232
HOSTS = 9
LONG_HOSTS = 6
WARM_UP_S = 20.0
FAULT_S = 30.0
LONG_FAULT_S = 3_600.0
OBSERVATION_S = 30.0
DRAIN_S = 80.0
"""Time in which the last callers get their outcome or give up."""

STEP_S = 0.1
MAX_PROCESSES = 3
"""Number of scenarios that run in parallel; results don't depend on it."""

STORE_SLOW_S = 8.0
STORE_SLOWER_S = 30.0


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A fault to inject: functions that begin and end it, and its duration."""

    name: str
    begin: Callable[[RecoverySite], None]
    end: Callable[[RecoverySite], None]
    seconds: float = FAULT_S


@dataclass(frozen=True, kw_only=True)
class Result:
    """Outcomes of the submissions that were made or still unanswered after the fault began.

    :param broken: number of violated guarantees.
    :param views_s: seconds from the end of the fault until the views of all hosts agree.
    :param callers_s: seconds from the end of the fault to the last submission that did not end as
        complete.
    """

    name: str
    submitted: int
    complete: int
    failed: int
    refused: int
    unknown: int
    no_answer: int
    broken: int
    views_s: float
    callers_s: float


def store_outage(site: RecoverySite) -> None:
    """The store is down; a host restarts during the outage."""
    site.store_up = False
    site.after(600.0, lambda: restart(site, ["d1-0"]))


def store_outage_with_flap(site: RecoverySite) -> None:
    """The store is down, except for two seconds halfway, in which a new revision is written."""

    def flap() -> None:
        site.store_up = True
        site.write_config()
        site.after(2.0, lambda: set_store(site, up=False))

    store_outage(site)
    site.after(LONG_FAULT_S / 2, flap)


def set_store(site: RecoverySite, *, up: bool) -> None:
    """Make the store available or unavailable."""
    site.store_up = up


def restore_store(site: RecoverySite) -> None:
    """The store has its normal response time again, and a new revision is written."""
    site.store_up = True
    site.store_latency_s = 0.003
    site.write_config()


def slow_store(site: RecoverySite) -> None:
    """The store takes seconds to answer, while revisions are written and a host restarts."""
    site.store_latency_s = STORE_SLOW_S
    for number in range(1, 6):
        site.after(number * 500.0, lambda: ignore(site.write_config()))
    site.after(600.0, lambda: restart(site, ["d1-0"]))


def slower_store(site: RecoverySite) -> None:
    """The store is slow, and becomes slower halfway."""
    slow_store(site)
    site.after(LONG_FAULT_S / 2, lambda: set_latency(site, STORE_SLOWER_S))


def set_latency(site: RecoverySite, seconds: float) -> None:
    """Set the response time of the store."""
    site.store_latency_s = seconds


def ignore(value: object) -> None:
    """Discard a result."""


def restart(site: RecoverySite, names: Sequence[str]) -> None:
    """Crash hosts and start them again a second later."""
    for name in names:
        site.kill(name)
    site.after(1.0, lambda: start(site, names))


def start(site: RecoverySite, names: Sequence[str]) -> None:
    """Start several hosts."""
    for name in names:
        site.start(name)


def partition(*pairs: tuple[str, str]) -> Callable[[RecoverySite], None]:
    """Fault that partitions the network between pairs of failure domains."""

    def begin(site: RecoverySite) -> None:
        for first, second in pairs:
            site.cut(first, second)

    return begin


def rack_members(number: int) -> tuple[list[str], str]:
    """Names of the workers and of the one entry host of a rack."""
    workers = [f"worker-{n}" for n in range(number * RACK_SIZE, (number + 1) * RACK_SIZE)]
    return workers, f"d{number}-0"


def fail_racks(*numbers: int) -> Callable[[RecoverySite], None]:
    """Fault that crashes all workers and the entry host of racks."""

    def begin(site: RecoverySite) -> None:
        for number in numbers:
            workers, host = rack_members(number)
            site.kill(host)
            site.crash_upstreams(workers)

    return begin


def restore_racks(*numbers: int) -> Callable[[RecoverySite], None]:
    """End of a fault: the workers and entry hosts of racks start again."""

    def end(site: RecoverySite) -> None:
        for number in numbers:
            workers, host = rack_members(number)
            site.restore_upstreams(workers)
            site.start(host)

    return end


def restart_domains(*domains: str) -> Callable[[RecoverySite], None]:
    """Fault that restarts all hosts of failure domains."""

    def begin(site: RecoverySite) -> None:
        names = [name for name in site.host_by_name if name[:2] in domains]
        restart(site, names)

    return begin


def no_action(site: RecoverySite) -> None:
    """Do nothing: there is no fault, or it ends without action."""


SCENARIOS = (
    Scenario(name="quiet", begin=no_action, end=no_action),
    Scenario(name="store out 1 h", begin=store_outage, end=restore_store, seconds=LONG_FAULT_S),
    Scenario(
        name="store out, back 2 s, out",
        begin=store_outage_with_flap,
        end=restore_store,
        seconds=LONG_FAULT_S,
    ),
    Scenario(name="store slow 1 h", begin=slow_store, end=restore_store, seconds=LONG_FAULT_S),
    Scenario(
        name="store slow, then slower", begin=slower_store, end=restore_store, seconds=LONG_FAULT_S
    ),
    Scenario(name="2 domains cut", begin=partition(("d0", "d1")), end=RecoverySite.heal),
    Scenario(
        name="2 pairs cut",
        begin=partition(("d0", "d1"), ("d1", "d2")),
        end=RecoverySite.heal,
    ),
    Scenario(name="rack lost", begin=fail_racks(0), end=restore_racks(0)),
    Scenario(name="2 racks lost", begin=fail_racks(0, 1), end=restore_racks(0, 1)),
    Scenario(name="domain restarted", begin=restart_domains("d0"), end=no_action, seconds=1.0),
    Scenario(
        name="2 domains restarted", begin=restart_domains("d0", "d1"), end=no_action, seconds=1.0
    ),
)


def measure(scenario: Scenario) -> Result:
    """Simulate one scenario."""
    is_long = scenario.seconds >= LONG_FAULT_S
    site = RecoverySite(
        hosts=LONG_HOSTS if is_long else HOSTS,
        seed=SEED,
        rate=0.2 if is_long else 16.0,
        ping_interval_s=8.0 if is_long else 0.5,
    )
    site.start_all()
    site.run_for(WARM_UP_S / 2)
    site.start_load()
    site.run_for(WARM_UP_S / 2)
    began = site.now
    scenario.begin(site)
    _run(site, scenario.seconds)
    ended = site.now
    scenario.end(site)
    views_s = _time_until_converged(site)
    _run(site, OBSERVATION_S)
    site.stop_load()
    _run(site, DRAIN_S)
    site.check_guarantees()
    return _summarize(scenario, site, began, ended, views_s)


def measure_by_index(number: int) -> Result:
    """Simulate the scenario with an index; scenarios contain functions, which cannot be pickled."""
    return measure(SCENARIOS[number])


def _run(site: RecoverySite, seconds: float) -> None:
    until = site.now + seconds
    while site.now < until:
        site.run_until(min(until, site.now + 1.0))
        site.check_revisions()


def _time_until_converged(site: RecoverySite) -> float:
    started = site.now
    while site.now - started < OBSERVATION_S:
        if site.has_converged():
            return site.now - started
        site.run_for(STEP_S)
        site.check_revisions()
    return float("inf")


def _summarize(
    scenario: Scenario, site: RecoverySite, began: float, ended: float, views_s: float
) -> Result:
    submissions = [r for r in site.submissions if not r.answered_at or r.answered_at >= began]
    counts = Counter(_outcome_name(item) for item in submissions)
    bad = [item.submitted_at for item in submissions if _outcome_name(item) != "complete"]
    return Result(
        name=scenario.name,
        submitted=len(submissions),
        complete=counts["complete"],
        failed=counts["failed"],
        refused=counts["not_run"],
        unknown=counts["unknown"],
        no_answer=counts["no answer"],
        broken=sum(site.violations.values()),
        views_s=round(views_s, 2),
        callers_s=round(max(0.0, max(bad, default=ended) - ended), 2),
    )


def _outcome_name(submission: TrackedSubmission) -> str:
    if submission.outcome is None:
        return "not_run" if submission.refused and not submission.submission_id else "no answer"
    return OutcomeKind(submission.outcome.kind).value


def main(arguments: Sequence[str]) -> int:
    """Print the table and the JSON line; returns 1 if a guarantee was violated."""
    with ProcessPoolExecutor(max_workers=MAX_PROCESSES) as pool:
        results = list(pool.map(measure_by_index, range(len(SCENARIOS))))
    if "--json" not in arguments:
        _print_table(results)
    print(json.dumps([asdict(result) for result in results]))
    return 1 if any(result.broken for result in results) else 0


def _print_table(results: Sequence[Result]) -> None:
    print(
        f"seed {SEED}; {HOSTS} hosts ({LONG_HOSTS} in the scenarios of an hour) in 3 failure "
        "domains; times in s after the end of the fault"
    )
    print(
        f"{'scenario':24} {'sent':>5} {'complete':>8} {'failed':>6} {'not run':>7} {'unknown':>7} "
        f"{'no answer':>9} {'broken':>6} {'views':>6} {'callers':>7}"
    )
    for result in results:
        print(
            f"{result.name:24} {result.submitted:5} {result.complete:8} {result.failed:6} "
            f"{result.refused:7} {result.unknown:7} {result.no_answer:9} {result.broken:6} "
            f"{result.views_s:6.2f} {result.callers_s:7.2f}"
        )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
