"""What sick upstreams cost: work lost, time to stop using them, time to use them again.

24 runners at load 0.7; the sick ones are sick from second 12 to second 37. Half of the tasks are
idempotent and are sent again after a failure, elsewhere. Per scenario:

* lost: starts that failed or were lost, and tasks that failed for good, as a part of the starts
  that the sick upstreams would have made in that time at their rate before;
* stop: seconds until the last of them got its last start that was not a probe, until recovery;
* probes: starts on sick upstreams after that;
* back: seconds from recovery until the last of them is in use again, and until all of them
  together start at 80% of their rate before;
* ejected: the most upstreams that were ejected at once, beside the most that may be.
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
SICK_FROM = EPOCH + 12.0
SICK_UNTIL = EPOCH + 37.0
SECONDS = 62.0
FAIL_S = 0.005
FLAP_S = 2.0
TIMEOUT_S = 24.0
"""Owners give a start up after three times the declared longest run time."""

Behaviour = Callable[[float, Task, Runner], tuple[float, StartResult] | None]


def fail_fast(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail everything after 5 ms."""
    return FAIL_S, StartResult.FAILED


def stall(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """End nothing; what is in progress at recovery is lost."""
    return TIMEOUT_S + 1.0, StartResult.LOST


def run_slowly(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Take ten times as long."""
    return 10.0 * task.work_s / runner.speed, StartResult.OK


def flap(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail everything for two seconds, then work for two seconds."""
    failing = int((now - SICK_FROM) / FLAP_S) % 2 == 0
    return (FAIL_S, StartResult.FAILED) if failing else None


def fail_some(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail two tasks of three, at the usual run time."""
    seconds = task.work_s / runner.speed
    return (seconds, StartResult.FAILED) if task.number % 3 else None


def fail_one_caller(now: float, task: Task, runner: Runner) -> tuple[float, StartResult] | None:
    """Fail the tasks of one caller of three."""
    return (FAIL_S, StartResult.FAILED) if task.number % 3 == 0 else None


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Which runners are sick and how; ``down`` ones refuse every start."""

    name: str
    sick: tuple[int, ...]
    behave: Behaviour | None = None
    down: bool = False


SCENARIOS = (
    Scenario(name="one fails fast", sick=(20,), behave=fail_fast),
    Scenario(name="one stalls", sick=(20,), behave=stall),
    Scenario(name="one ten times slower", sick=(20,), behave=run_slowly),
    Scenario(name="one flaps", sick=(20,), behave=flap),
    Scenario(name="one fails two of three", sick=(20,), behave=fail_some),
    Scenario(name="one is down", sick=(20,), down=True),
    Scenario(name="half a rack fails fast", sick=(8, 10, 12, 14), behave=fail_fast),
    Scenario(name="half a rack stalls", sick=(8, 10, 12, 14), behave=stall),
    Scenario(name="16 of 24 fail fast", sick=tuple(range(4, 20)), behave=fail_fast),
    Scenario(name="one caller's tasks fail", sick=tuple(range(24)), behave=fail_one_caller),
)


class Observer:
    """Watches states at every tick of the scheduler."""

    def __init__(self, site: PoolSite, names: Sequence[str]) -> None:
        self.site = site
        self.names = names
        self.most_ejected = 0
        self.floor_kept = True
        self.back_at = 0.0
        self.changes = 0
        site.on_tick = self.look

    def look(self) -> None:
        pool = self.site.scheduler.pools_by_name.get(POOL)
        if pool is None or (len(self.site.changes) == self.changes and self.back_at):
            return
        self.changes = len(self.site.changes)
        ejected = pool.table.ejected_count()
        self.most_ejected = max(self.most_ejected, ejected)
        self.floor_kept = self.floor_kept and ejected <= pool.table.max_ejected()
        if self.site.now < SICK_UNTIL:
            return
        live = all(pool.table.by_name[n].state is UpstreamState.LIVE for n in self.names)
        if not live:
            self.back_at = 0.0
        elif not self.back_at:
            self.back_at = self.site.now


def run_scenario(scenario: Scenario) -> dict[str, object]:
    """One scenario on its own site; all use the same arrivals."""
    entries, speeds = make_runners(RUNNERS)
    capacity = sum(e.slots * speeds[e.name] for e in entries)
    rate = LOAD * capacity / mean_work_s()
    tasks = make_tasks(seed=SEED, rate_per_s=rate, seconds=SECONDS, hosts=9, idempotent_share=0.5)
    site = PoolSite(entries=entries, speed_by_name=speeds, task_timeout_s=TIMEOUT_S)
    names = [entries[index].name for index in scenario.sick]
    for name in names:
        _make_sick(site, site.runner_by_name[name], scenario)
    observer = Observer(site, names)
    site.run(tasks, drain_s=60.0)
    return _result(scenario, site, tasks, names, observer)


def _make_sick(site: PoolSite, runner: Runner, scenario: Scenario) -> None:
    def behave(now: float, task: Task) -> tuple[float, StartResult] | None:
        sick = SICK_FROM <= now < SICK_UNTIL
        return scenario.behave(now, task, runner) if sick and scenario.behave else None

    def set_down(down: bool) -> None:
        runner.down = down

    runner.behave = behave
    if scenario.down:
        site.at(SICK_FROM, lambda: set_down(True))
        site.at(SICK_UNTIL, lambda: set_down(False))


def _result(
    scenario: Scenario,
    site: PoolSite,
    tasks: Sequence[Task],
    names: Sequence[str],
    observer: Observer,
) -> dict[str, object]:
    starts = [start for name in names for start in site.runner_by_name[name].starts]
    before = sum(SICK_FROM - 6.0 <= at < SICK_FROM for at, _, _ in starts) / 6.0
    expected = before * (SICK_UNTIL - SICK_FROM)
    sick = [start for start in starts if SICK_FROM <= start[0] < SICK_UNTIL]
    ordinary = [at for at, probe, _ in sick if not probe]
    unanswered = sum(task.result is None for task in tasks)
    failed = sum(
        task.result not in (StartResult.OK, None) and task.at < SICK_UNTIL for task in tasks
    )
    during = [
        task.answered_at - task.at
        for task in tasks
        if SICK_FROM <= task.at < SICK_UNTIL and task.result is StartResult.OK
    ]
    return {
        "scenario": scenario.name,
        "lost_starts": sum(bad for _, _, bad in sick),
        "failed_tasks": failed,
        "unanswered_tasks": unanswered,
        "expected_starts": expected,
        "lost_ratio": sum(bad for _, _, bad in sick) / expected,
        "refused_starts": site.wasted["SlotGrant not started"],
        "stop_s": max(ordinary, default=SICK_FROM) - SICK_FROM,
        "starts_after_10_s": sum(at >= SICK_FROM + 10.0 for at in ordinary),
        "probes": sum(probe for _, probe, _ in sick),
        "back_s": observer.back_at - SICK_UNTIL if observer.back_at else None,
        "full_s": _full_at(starts, before),
        "most_ejected": observer.most_ejected,
        "may_eject": site.scheduler.pools_by_name[POOL].table.max_ejected(),
        "floor_kept": observer.floor_kept,
        "p99_s": statistics.quantiles(during, n=100)[98],
    }


def _full_at(starts: Sequence[tuple[float, bool, bool]], before: float) -> float | None:
    """Seconds after recovery at which a window of two seconds has 80% of the rate before."""
    for step in range(int(10 * (EPOCH + SECONDS - SICK_UNTIL - 2.0))):
        begin = SICK_UNTIL + step / 10
        count = sum(begin <= at < begin + 2.0 for at, _, _ in starts)
        if count >= 0.8 * 2.0 * before:
            return step / 10
    return None


def print_table(rows: Sequence[dict]) -> None:
    """Print what :func:`run_scenario` returned."""
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
