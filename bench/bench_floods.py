"""Floods at ten times the capacity: what the other work keeps.

The least and the most urgent work floods in, from one caller and of one kind over many callers.
The same arrivals are run with the fair queue, first come first served and strict priority.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import sys

from bench.flood_loop import KINDS, Job, Loop, Outcome, flood_jobs, quiet_jobs
from bench.flood_sites import measure_costs, run_whole_cores
from eelgrassyard.policy import RetryBudget, Urgency

SEED = 20
SLOTS = 48
SECONDS = 16.0
WARM_S = 4.0
POLICIES = ("fair", "fifo", "strict")
FLOODS = tuple(
    (by, urgency) for urgency in (Urgency.BACKGROUND, Urgency.URGENT) for by in ("caller", "kind")
)


def percentile(values: list[float], part: float) -> float:
    """Value at a part of the sorted list; nan if it is empty."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


def run(policy: str, by: str | None, urgency: Urgency) -> Outcome:
    """One run; the quiet arrivals are the same in all of them."""
    jobs = quiet_jobs(seed=SEED, slots=SLOTS, seconds=SECONDS)
    if by is not None:
        flood = flood_jobs(seed=SEED, slots=SLOTS, seconds=SECONDS - 1.0, urgency=urgency, by=by)
        for job in flood:
            job.at += 1.0
        jobs = sorted([*jobs, *flood], key=_arrival)
    loop = Loop(policy=policy, slots=SLOTS, seconds=SECONDS, warm_s=WARM_S)
    return loop.run(jobs)


def _arrival(job: Job) -> float:
    return job.at


def compare(quiet: Outcome, flooded: Outcome) -> dict[str, float]:
    """What the quiet work keeps, as ratios to the run without the flood."""
    responses = [r for values in flooded.response_by_kind.values() for r in values]
    before = [r for values in quiet.response_by_kind.values() for r in values]
    by_kind = [
        percentile(flooded.response_by_kind[kind.name], 0.99)
        / percentile(quiet.response_by_kind[kind.name], 0.99)
        for kind in KINDS
        if kind.load and flooded.response_by_kind[kind.name]
    ]
    return {
        "throughput_kept": flooded.done.total() / quiet.done.total(),
        "p99_ratio": percentile(responses, 0.99) / percentile(before, 0.99),
        "worst_kind_p99_ratio": max(by_kind, default=float("nan")),
        "least_urgent_kept": flooded.done["stamp"] / quiet.done["stamp"],
        "flood_done_per_s": flooded.flood_done / (SECONDS - 1.0),
        "refused_at_host": flooded.refused_at_host,
        "refused_at_scheduler": flooded.refused_at_scheduler,
    }


def retry_load(failing: float, starts: int = 20_000) -> float:
    """Repeated starts per first start when a part of all starts fails."""
    source = random.Random(SEED)
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(starts):
        budget.note_start()
        while source.random() < failing and budget.try_retry():
            retries += 1
    return retries / starts


def measure() -> dict[str, object]:
    """All runs."""
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
        "costs": measure_costs(),
        "whole_cores": run_whole_cores(),
    }


def print_table(result: dict[str, object]) -> None:
    """The figures for people."""
    print(
        f"{'queue':7} {'flood':18} {'kept':>6} {'p99':>6} {'worst':>6} {'least':>6}"
        f" {'flood/s':>8} {'host':>7} {'sched':>7}"
    )
    for row in result["rows"]:  # type: ignore[attr-defined]
        flood = f"{row['urgency']} {row['by']}"
        print(
            f"{row['policy']:7} {flood:18} {row['throughput_kept']:6.3f} {row['p99_ratio']:6.2f}"
            f" {row['worst_kind_p99_ratio']:6.2f} {row['least_urgent_kept']:6.3f}"
            f" {row['flood_done_per_s']:8.1f} {row['refused_at_host']:7d}"
            f" {row['refused_at_scheduler']:7d}"
        )
    print("kept: throughput of other callers; p99, worst: ratio to the quiet run, all and")
    print("worst kind; least: throughput of the least urgent; refusals at host and scheduler")
    for name in ("retry_load_at_failures", "costs", "whole_cores"):
        print(name, json.dumps(result[name]))


def plot(result: dict[str, object], path: pathlib.Path) -> None:
    """Throughput kept by queue and flood."""
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


def main() -> int:
    """Run, print, plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print only the JSON line")
    args = parser.parse_args()
    result = measure()
    if not args.json:
        print_table(result)
        plot(result, pathlib.Path("out/floods.png"))
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
