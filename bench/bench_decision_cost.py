"""Processor time of scheduling decisions per task, by number of upstreams.

For each task the scheduler handles a slot request and a release and sends a grant. The load keeps
80% of the slots in use, and slots become free in random order, so upstreams change between free and
full. Building the messages is not measured. The bound is 100 microseconds a task, and growth is at
most logarithmic: a factor of log(1,400) / log(24), 2.28, from 24 to 1,400 upstreams. Objects that
exist before the measured rounds are excluded from garbage collection, because they belong to six
sites at once; objects allocated during the rounds are collected.
"""

from __future__ import annotations

import gc
import json
import math
import pathlib
import random
import time
from collections.abc import Sequence

from absl import app, flags

from bench.pool_site import (
    EPOCH,
    KINDS,
    POOL,
    FixedMembership,
    make_config,
    make_runners,
    make_scheduler,
)
from eelgrassyard.policy import (
    Action,
    PeerReceived,
    Release,
    Send,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRelease,
    StartResult,
    TaskSize,
    Urgency,
)
from eelgrassyard.policy._scheduler import Scheduler

_JSON = flags.DEFINE_bool("json", False, "Print only the JSON line.")

COUNTS = (24, 75, 150, 350, 700, 1400)
BOUND_US = 100.0
SEED = 11
WARM_UP_TASKS = 4_000
TASKS = 2_000
ROUNDS = 7
REFERENCE_STEPS = 1_000
LOAD = 0.8
PLOT = pathlib.Path("out/decision_cost.png")


class LoadedScheduler:
    """Runs a scheduler with a constant number of tasks in progress, and measures processor time.

    :param count: number of upstreams.
    """

    def __init__(self, count: int) -> None:
        entries, self.speeds = make_runners(count)
        self.membership = FixedMembership([f"host-{i}" for i in range(9)])
        self.scheduler: Scheduler = make_scheduler(
            make_config(entries), self.membership, name="host-0"
        )
        self.random = random.Random(SEED)
        self.now = EPOCH
        self.number = 0
        self.running: list[tuple[str, str, int, str]] = []
        self.cpu_s = 0.0
        self.capacity = 8 * count
        for host in self.membership.hosts:
            held = SlotHeld(pool=POOL, places=())
            self._tick([PeerReceived(sender=host, incarnation=1, message=held)])

    def run(self, tasks: int) -> float:
        """Run a number of tasks; returns the mean processor time per task in seconds."""
        self.cpu_s = 0.0
        for _ in range(tasks):
            self.now += 0.385 / (LOAD * self.capacity)
            if len(self.running) >= LOAD * self.capacity:
                self._tick([self._release()])
            self._tick([self._request_slot()])
        return self.cpu_s / tasks

    def _request_slot(self) -> PeerReceived:
        self.number += 1
        host = self.membership.hosts[self.number % 9]
        kind = self.random.choices(KINDS, [k.share for k in KINDS])[0]
        slot_request = SlotAsk(
            submission_id=f"{host}.{self.number}",
            pool=POOL,
            caller=f"caller-{self.number % 3}",
            team="team",
            kind=kind.name,
            urgency=Urgency.NORMAL,
            deadline_s=30.0,
            tasks=(TaskSize(index=0),),
            attempt=1,
        )
        return PeerReceived(sender=host, incarnation=1, message=slot_request)

    def _release(self) -> PeerReceived:
        index = self.random.randrange(len(self.running))
        self.running[index], self.running[-1] = self.running[-1], self.running[index]
        owner, kind, number, upstream = self.running.pop()
        mean_s = next(k.mean_s for k in KINDS if k.name == kind)
        release = Release(
            grant=number,
            upstream=upstream,
            kind=kind,
            result=StartResult.OK,
            run_s=mean_s / self.speeds[upstream] * self.random.lognormvariate(-0.125, 0.5),
        )
        message = SlotRelease(pool=POOL, releases=(release,))
        return PeerReceived(sender=owner, incarnation=1, message=message)

    def _tick(self, events: Sequence[PeerReceived]) -> None:
        out: list[Action] = []
        start = time.process_time()
        for event in events:
            self.scheduler.handle(self.now, event, out)
        self.scheduler.advance(self.now, out)
        self.scheduler.next_wake(self.now)
        self.cpu_s += time.process_time() - start
        for action in out:
            if isinstance(action, Send) and isinstance(action.message, SlotGrant):
                for place in action.message.placements:
                    kind = (
                        self.scheduler.pools_by_name[POOL]
                        .granting.grants.by_number[place.grant]
                        .kind
                    )
                    self.running.append((action.to, kind, place.grant, place.upstream))


def reference_loop_us() -> float:
    """Processor time of a constant amount of work in Python, to compare machines and their load."""
    start = time.process_time()
    table: dict[int, int] = {}
    for number in range(REFERENCE_STEPS):
        table[number % 64] = table.get(number % 64, 0) + 1
    return (time.process_time() - start) * 1e6


def run_all() -> tuple[list[dict[str, float]], float]:
    """Measure all numbers of upstreams and the reference loop; takes the minimum of several rounds.

    Each round measures all numbers, so that changes in the load of the machine affect all alike.
    """
    loaded_by_count = {count: LoadedScheduler(count) for count in COUNTS}
    for loaded in loaded_by_count.values():
        loaded.run(max(WARM_UP_TASKS, loaded.capacity))
    costs: dict[int, list[float]] = {count: [] for count in COUNTS}
    references = []
    gc.collect()
    gc.freeze()
    for _ in range(ROUNDS):
        references.append(reference_loop_us())
        for count, loaded in loaded_by_count.items():
            costs[count].append(loaded.run(TASKS) * 1e6)
    rows = [
        {"upstreams": count, "us_per_task": min(found), "us_per_task_worst": max(found)}
        for count, found in costs.items()
    ]
    return rows, min(references)


def main(argv: Sequence[str]) -> None:
    """Run the benchmark; prints a table and a JSON line and writes a plot."""
    rows, reference = run_all()
    growth = rows[-1]["us_per_task"] / rows[0]["us_per_task"]
    allowed = math.log(COUNTS[-1]) / math.log(COUNTS[0])
    result = {
        "bench": "decision_cost",
        "seed": SEED,
        "bound_us": BOUND_US,
        "reference_us": reference,
        "rows": rows,
        "growth": growth,
        "logarithmic_growth": allowed,
        "inside": max(r["us_per_task"] for r in rows) < BOUND_US and growth <= allowed,
    }
    if not _JSON.value:
        print(f"{'upstreams':>9} {'us a task':>10} {'worst round':>12}")
        for row in rows:
            print(
                f"{row['upstreams']:>9} {row['us_per_task']:>10.1f} "
                f"{row['us_per_task_worst']:>12.1f}"
            )
        print(f"reference loop of {REFERENCE_STEPS} dictionary updates: {reference:.1f} us")
        print(f"growth {growth:.2f}, logarithmic growth {allowed:.2f}")
        plot(rows)
    print(json.dumps(result))


def plot(rows: Sequence[dict[str, float]]) -> None:
    """Write a plot of cost by number of upstreams."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    PLOT.parent.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot([r["upstreams"] for r in rows], [r["us_per_task"] for r in rows], marker="o")
    axes.axhline(BOUND_US, linestyle="--")
    axes.set_xscale("log")
    axes.set_ylim(bottom=0.0)
    axes.set_xlabel("upstreams")
    axes.set_ylabel("microseconds a task")
    figure.tight_layout()
    figure.savefig(PLOT)


if __name__ == "__main__":
    app.run(main)
