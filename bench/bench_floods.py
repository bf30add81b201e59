"""Throughput and response time that other work keeps during floods of ten times the capacity.

Floods consist of the least or the most urgent work, from a single caller or of one kind from many
callers. The same arrivals run with the fair queue, a FIFO queue and strict priority.
"""

from __future__ import annotations

import json
import pathlib
import random
import sys

from bench.flood_simulation import (
    DEADLINE_S,
    KINDS,
    FloodSimulation,
    Job,
    Outcome,
    flood_jobs,
    quiet_jobs,
)
from bench.flood_sites import measure_costs, measure_site_floods
from bench.queue_cost import queue_cost
from bench.report import run_program
from eelgrassyard.policy import RetryBudget, Urgency

SEED = 20
SLOTS = 48
DURATION_S = 14.0
WARM_UP_S = 3.0
MAX_RESPONSE_S = DEADLINE_S
POLICIES = ("fair", "fifo", "strict")
FLOODS = tuple(
    (by, urgency) for urgency in (Urgency.BACKGROUND, Urgency.URGENT) for by in ("caller", "kind")
)


def percentile(values: list[float], part: float) -> float:
    """Quantile of the values, ``part`` from 0 to 1; the longest possible response if empty."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else MAX_RESPONSE_S


def run(policy: str, by: str | None, urgency: Urgency) -> Outcome:
    """Simulate one queue and flood; the quiet arrivals are the same in all runs."""
    jobs = quiet_jobs(seed=SEED, slots=SLOTS, seconds=DURATION_S)
    if by is not None:
        flood = flood_jobs(seed=SEED, slots=SLOTS, seconds=DURATION_S - 1.0, urgency=urgency, by=by)
        for job in flood:
            job.at += 1.0
        jobs = sorted([*jobs, *flood], key=_arrival)
    simulation = FloodSimulation(
        policy=policy, slots=SLOTS, seconds=DURATION_S, warm_up_s=WARM_UP_S
    )
    return simulation.run(jobs)


def _arrival(job: Job) -> float:
    return job.at


def compare(quiet: Outcome, flooded: Outcome) -> dict[str, float]:
    """Figures of the quiet load during a flood, as ratios to the run without flood."""
    responses = [r for values in flooded.response_by_kind.values() for r in values]
    before = [r for values in quiet.response_by_kind.values() for r in values]
    by_kind = [
        percentile(flooded.response_by_kind[kind.name], 0.99)
        / percentile(quiet.response_by_kind[kind.name], 0.99)
        for kind in KINDS
        if kind.load
    ]
    return {
        "throughput_kept": flooded.done.total() / quiet.done.total(),
        "p99_ratio": percentile(responses, 0.99) / percentile(before, 0.99),
        "worst_kind_p99_ratio": max(by_kind),
        "least_urgent_kept": flooded.done["stamp"] / quiet.done["stamp"],
        "flood_done_per_s": flooded.flood_done / (DURATION_S - 1.0),
        "expired": flooded.expired,
        "retried_and_taken": flooded.retries_granted / max(1, flooded.retries),
        "refused_at_host": flooded.refused_at_host,
        "refused_at_scheduler": flooded.refused_at_scheduler,
    }


def measure_retry_hints(flood_s: float = 2.0, seconds: float = 100.0) -> dict[str, float]:
    """Accuracy of retry hints: how often refused clients get a slot when they follow the hint.

    :param flood_s: duration of the flood, after which the queue drains.
    """
    found = {}
    for by in ("caller", "kind"):
        quiet = quiet_jobs(seed=SEED, slots=SLOTS, seconds=seconds)
        flood = flood_jobs(seed=SEED, slots=SLOTS, seconds=flood_s, urgency=Urgency.NORMAL, by=by)
        for job in flood:
            job.at += 1.0
        simulation = FloodSimulation(
            policy="fair", slots=SLOTS, seconds=seconds, warm_up_s=WARM_UP_S, client_retries=1_000
        )
        outcome = simulation.run(sorted([*quiet, *flood], key=_arrival))
        refused = [job for job in flood if job.refused]
        once = [job for job in refused if job.refused == 1]
        found[f"{by}_refused"] = len(refused)
        found[f"{by}_taken_at_first_hint"] = len(once) / len(refused)
        found[f"{by}_mean_refusals"] = sum(job.refused for job in refused) / len(refused)
        found[f"{by}_served"] = outcome.flood_done / len(flood)
    return found


def retry_load(failing: float, starts: int = 20_000) -> float:
    """Retries per first start under the retry budget, if a fraction of all starts fails."""
    source = random.Random(SEED)
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(starts):
        budget.record_start()
        while source.random() < failing and budget.try_retry():
            retries += 1
    return retries / starts


def measure() -> dict[str, object]:
    """Run all queues and floods, and the related measurements."""
    rows = []
    for policy in POLICIES:
        quiet = run(policy, None, Urgency.NORMAL)
        for by, urgency in FLOODS:
            figures = compare(quiet, run(policy, by, urgency))
            rows.append({"policy": policy, "by": by, "urgency": urgency.name.lower(), **figures})
    return {
        "seed": SEED,
        "rows": rows,
        "retry_load_at_failures": {str(f): retry_load(f) for f in (0.05, 0.3, 1.0)},
        "hints": measure_retry_hints(),
        "costs": measure_costs(),
        "queue_costs": [queue_cost(flows) for flows in (20, 1_000, 20_000)],
        "whole_cores": measure_site_floods(),
    }


def print_table(result: dict[str, object]) -> None:
    """Print the figures as a table."""
    print(
        f"{'queue':7} {'flood':18} {'kept':>6} {'p99':>6} {'worst':>6} {'least':>6}"
        f" {'flood/s':>8} {'host':>7} {'sched':>7} {'late':>6} {'taken':>6}"
    )
    for row in result["rows"]:  # type: ignore[attr-defined]
        flood = f"{row['urgency']} {row['by']}"
        print(
            f"{row['policy']:7} {flood:18} {row['throughput_kept']:6.3f} {row['p99_ratio']:6.2f}"
            f" {row['worst_kind_p99_ratio']:6.2f} {row['least_urgent_kept']:6.3f}"
            f" {row['flood_done_per_s']:8.1f} {row['refused_at_host']:7d}"
            f" {row['refused_at_scheduler']:7d} {row['expired']:6d} {row['retried_and_taken']:6.3f}"
        )
    print("kept: throughput of other callers; p99, worst: ratio to the quiet run, all and")
    print("worst kind; least: throughput of the least urgent; refusals at host and scheduler;")
    print("late: refused only at the deadline; taken: retries after a hint that got a place")
    for name in ("retry_load_at_failures", "hints", "costs", "queue_costs", "whole_cores"):
        print(name, json.dumps(result[name]))


def plot(result: dict[str, object], path: pathlib.Path) -> None:
    """Write a plot of the throughput kept, by queue and flood."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    path.parent.mkdir(exist_ok=True)
    figure, axes = plt.subplots(figsize=(8, 4))
    rows = result["rows"]
    for offset, policy in enumerate(POLICIES):
        kept = [r["throughput_kept"] for r in rows if r["policy"] == policy]  # type: ignore
        axes.bar([i + 0.25 * offset for i in range(len(kept))], kept, width=0.22, label=policy)
    names = [f"{urgency.name.lower()}\nby {by}" for by, urgency in FLOODS]
    axes.set_xticks([i + 0.25 for i in range(len(names))], names)
    axes.axhline(0.95, color="black", linewidth=0.8)
    axes.set_ylabel("throughput kept by other callers")
    axes.legend()
    figure.savefig(path)


def show(result: dict[str, object]) -> None:
    """Print the table and write the plot."""
    print_table(result)
    plot(result, pathlib.Path("out/floods.png"))


if __name__ == "__main__":
    sys.exit(run_program(__doc__, measure, show))
