"""Fault injection on upstreams: work lost, time until they are avoided and until they are reused.

24 runners at load 0.7; the faulty ones have their fault from second 12 to second 37. Half of the
tasks are idempotent and are retried on another upstream after a failure. Columns per scenario:

* lost, of: starts on faulty upstreams that failed or were lost, and the number of starts that these
  upstreams would have had during the fault at their previous rate;
* failed: tasks that failed permanently;
* stop: seconds from the start of the fault to the last start on them that was not a probe;
* probes: probe starts on faulty upstreams during the fault;
* back, full: seconds from recovery until the last of them is in use again, and until all of them
  together start tasks at 80% of their previous rate;
* ejected: the maximum number of upstreams ejected at the same time, and the allowed maximum.
"""

from __future__ import annotations

import json
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from absl import app, flags

from bench.pool_site import (
    EPOCH,
    POOL,
    PoolSite,
    Runner,
    Task,
    make_runners,
    make_tasks,
    mean_work_s,
)
from eelgrassyard.policy import StartResult
from eelgrassyard.policy._health import UpstreamState

_JSON = flags.DEFINE_bool("json", False, "Print only the JSON line.")

SEED = 31
RUNNERS = 24
LOAD = 0.7
# Virtual times between which upstreams are faulty.
FAULT_FROM = EPOCH + 12.0
FAULT_UNTIL = EPOCH + 37.0
DURATION_S = 62.0
FAILURE_TIME_S = 0.005
FLAP_HALF_PERIOD_S = 2.0
TASK_TIMEOUT_S = 24.0
"""Time-out of a start at its owner, three times the declared longest run time."""

Fault = Callable[[float, Task, Runner], tuple[float, StartResult] | None]


def fail_fast(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail everything after 5 ms."""
    return FAILURE_TIME_S, StartResult.FAILED


def stall(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """End no task; tasks in progress at recovery are lost."""
    return TASK_TIMEOUT_S + 1.0, StartResult.LOST


def run_slowly(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Run ten times slower."""
    return 10.0 * task.work_s / runner.speed, StartResult.OK


def flap(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail everything for two seconds, then work for two seconds."""
    failing = int((now - FAULT_FROM) / FLAP_HALF_PERIOD_S) % 2 == 0
    return (FAILURE_TIME_S, StartResult.FAILED) if failing else None


def fail_some(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail two tasks of three, after the usual run time."""
    seconds = task.work_s / runner.speed
    return (seconds, StartResult.FAILED) if task.number % 3 else None


def fail_one_caller(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail the tasks of one caller of three."""
    return (FAILURE_TIME_S, StartResult.FAILED) if task.number % 3 == 0 else None


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A fault and the runners that have it.

    :param faulty: indices of the runners.
    :param down: whether they refuse every start.
    """

    name: str
    faulty: tuple[int, ...]
    inject_fault: Fault | None = None
    down: bool = False


SCENARIOS = (
    Scenario(name="one fails fast", faulty=(20,), inject_fault=fail_fast),
    Scenario(name="one stalls", faulty=(20,), inject_fault=stall),
    Scenario(name="one ten times slower", faulty=(20,), inject_fault=run_slowly),
    Scenario(name="one flaps", faulty=(20,), inject_fault=flap),
    Scenario(name="one fails two of three", faulty=(20,), inject_fault=fail_some),
    Scenario(name="one is down", faulty=(20,), down=True),
    Scenario(name="half a rack fails fast", faulty=(8, 10, 12, 14), inject_fault=fail_fast),
    Scenario(name="half a rack stalls", faulty=(8, 10, 12, 14), inject_fault=stall),
    Scenario(name="16 of 24 fail fast", faulty=tuple(range(4, 20)), inject_fault=fail_fast),
    Scenario(name="one caller's tasks fail", faulty=tuple(range(24)), inject_fault=fail_one_caller),
)


class StateObserver:
    """Observes the states of upstreams at every tick of the scheduler.

    :param names: the faulty upstreams.
    """

    def __init__(self, site: PoolSite, names: Sequence[str]) -> None:
        self.site = site
        self.names = names
        self.peak_ejected = 0
        self.within_limit = True
        self.recovered_at = 0.0
        self.changes = 0
        site.on_tick = self.observe

    def observe(self) -> None:
        pool = self.site.scheduler.pools_by_name.get(POOL)
        if pool is None or (len(self.site.changes) == self.changes and self.recovered_at):
            return
        self.changes = len(self.site.changes)
        ejected = pool.table.ejected_count()
        self.peak_ejected = max(self.peak_ejected, ejected)
        self.within_limit = self.within_limit and ejected <= pool.table.max_ejected()
        if self.site.now < FAULT_UNTIL:
            return
        live = all(pool.table.by_name[n].state is UpstreamState.LIVE for n in self.names)
        if not live:
            self.recovered_at = 0.0
        elif not self.recovered_at:
            self.recovered_at = self.site.now


def run_scenario(scenario: Scenario) -> dict[str, object]:
    """Simulate one scenario on a new site; arrivals are the same in all scenarios."""
    entries, speeds = make_runners(RUNNERS)
    capacity = sum(e.slots * speeds[e.name] for e in entries)
    rate = LOAD * capacity / mean_work_s()
    tasks = make_tasks(
        seed=SEED, rate_per_s=rate, seconds=DURATION_S, hosts=9, idempotent_share=0.5
    )
    site = PoolSite(entries=entries, speed_by_name=speeds, task_timeout_s=TASK_TIMEOUT_S)
    names = [entries[index].name for index in scenario.faulty]
    for name in names:
        _set_up_fault(site, site.runner_by_name[name], scenario)
    observer = StateObserver(site, names)
    site.run(tasks, drain_s=60.0)
    return _result(scenario, site, tasks, names, observer)


def _set_up_fault(site: PoolSite, runner: Runner, scenario: Scenario) -> None:
    def inject_fault(now: float, task: Task) -> tuple[float, StartResult] | None:
        faulty = FAULT_FROM <= now < FAULT_UNTIL
        return (
            scenario.inject_fault(now, task, runner) if faulty and scenario.inject_fault else None
        )

    def set_down(down: bool) -> None:
        runner.down = down

    runner.inject_fault = inject_fault
    if scenario.down:
        site.at(FAULT_FROM, lambda: set_down(True))
        site.at(FAULT_UNTIL, lambda: set_down(False))


def _result(
    scenario: Scenario,
    site: PoolSite,
    tasks: Sequence[Task],
    names: Sequence[str],
    observer: StateObserver,
) -> dict[str, object]:
    starts = [start for name in names for start in site.runner_by_name[name].starts]
    before = sum(FAULT_FROM - 6.0 <= at < FAULT_FROM for at, _, _ in starts) / 6.0
    expected = before * (FAULT_UNTIL - FAULT_FROM)
    faulty = [start for start in starts if FAULT_FROM <= start[0] < FAULT_UNTIL]
    ordinary = [at for at, probe, _ in faulty if not probe]
    unanswered = sum(task.result is None for task in tasks)
    failed = sum(
        task.result not in (StartResult.OK, None) and task.at < FAULT_UNTIL for task in tasks
    )
    during = [
        task.answered_at - task.at
        for task in tasks
        if FAULT_FROM <= task.at < FAULT_UNTIL and task.result is StartResult.OK
    ]
    return {
        "scenario": scenario.name,
        "lost_starts": sum(bad for _, _, bad in faulty),
        "failed_tasks": failed,
        "unanswered_tasks": unanswered,
        "expected_starts": expected,
        "lost_ratio": sum(bad for _, _, bad in faulty) / expected,
        "refused_starts": site.wasted_counts["SlotGrant not started"],
        "stop_s": max(ordinary, default=FAULT_FROM) - FAULT_FROM,
        "starts_after_10_s": sum(at >= FAULT_FROM + 10.0 for at in ordinary),
        "probes": sum(probe for _, probe, _ in faulty),
        "back_s": observer.recovered_at - FAULT_UNTIL if observer.recovered_at else None,
        "full_s": _rate_restored_s(starts, before),
        "most_ejected": observer.peak_ejected,
        "may_eject": site.scheduler.pools_by_name[POOL].table.max_ejected(),
        "floor_kept": observer.within_limit,
        "p99_s": statistics.quantiles(during, n=100)[98],
    }


def _rate_restored_s(starts: Sequence[tuple[float, bool, bool]], before: float) -> float | None:
    """Seconds from recovery to the first window of two seconds with 80% of the previous rate."""
    for step in range(int(10 * (EPOCH + DURATION_S - FAULT_UNTIL - 2.0))):
        begin = FAULT_UNTIL + step / 10
        count = sum(begin <= at < begin + 2.0 for at, _, _ in starts)
        if count >= 0.8 * 2.0 * before:
            return step / 10
    return None


def print_table(rows: Sequence[dict]) -> None:
    """Print the results of :func:`run_scenario`."""
    print(
        f"{'scenario':<24} {'lost':>5} {'of':>6} {'failed':>6} {'refused':>7} {'stop s':>7} "
        f"{'probes':>6} {'back s':>7} {'full s':>7} {'ejected':>8} {'p99 s':>6}"
    )
    for row in rows:
        print(
            f"{row['scenario']:<24} {row['lost_starts']:>5} {row['expected_starts']:>6.0f} "
            f"{row['failed_tasks']:>6} {row['refused_starts']:>7} {row['stop_s']:>7.2f} "
            f"{row['probes']:>6} {_text(row['back_s']):>7} {_text(row['full_s']):>7} "
            f"{row['most_ejected']:>3} of {row['may_eject']:>2} {row['p99_s']:>6.2f}"
        )


def _text(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def main(argv: Sequence[str]) -> None:
    """Run all scenarios."""
    rows = [run_scenario(scenario) for scenario in SCENARIOS]
    if not _JSON.value:
        print_table(rows)
    print(json.dumps({"bench": "sick_upstreams", "seed": SEED, "load": LOAD, "rows": rows}))


if __name__ == "__main__":
    app.run(main)
