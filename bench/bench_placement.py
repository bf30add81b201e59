"""Placement of jobs and gangs of up to 620 tasks on 24 workers of 64 cores and 128 GB in 3 racks.

Compares gangs placed all at once, with and without reservation, with gangs that acquire places as
these become free (hold and wait), and task sizes learned from usage with declared sizes. Also
measures the processor time of a placement at 24 and 1,400 workers.
"""

from __future__ import annotations

import json
import math
import pathlib
import random
import sys
import time

from bench.placement_simulation import Job, PlacementSimulation, make_jobs, make_workers
from bench.report import run_program
from eelgrassyard.policy import TaskSize
from eelgrassyard.policy._placement import WorkerPlacement

SEED = 40
DURATION_S = 14.0
DRAIN_S = 20.0
RUNS = (
    ("atomic", True, 0.7),
    ("atomic", False, 0.7),
    ("hold", True, 0.7),
    ("atomic", True, 0.85),
    ("reserve", True, 0.85),
    ("hold", True, 0.85),
    ("hold-fifo", True, 0.85),
)
"""Variant, whether sizes are learned, load."""

FLOOD_DURATION_S = 10.0
DEADLOCK_LOAD = 0.95
DEADLOCK_DURATION_S = 10.0
DEADLOCK_SEEDS = 8
LARGE_GANG_TASKS = 100
TASKS_PER_WORKER = 27
"""Number of tasks, of 1.9 cores on average, that use 80% of a worker of 64 cores."""

VARIANTS = (
    ("atomic", True),
    ("atomic", False),
    ("reserve", True),
    ("hold", True),
    ("hold-fifo", True),
)


def quantile(values: list[float], part: float) -> float:
    """Quantile of the values, ``part`` from 0 to 1; 0 if there are none."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))] if values else 0.0


def ratios(jobs: list[Job], gang: bool) -> list[float]:
    """Response times of finished jobs or gangs, each divided by its longest task."""
    return [
        (job.done_at - job.at) / max(job.run_s)
        for job in jobs
        if job.gang is gang and job.done_at >= 0.0
    ]


def run(variant: str, learning: bool, load: float) -> dict[str, object]:
    """Simulate one variant; arrivals are the same for all variants at the same load."""
    jobs = make_jobs(seed=SEED, load=load, seconds=DURATION_S)
    simulation = PlacementSimulation(variant=variant, learning=learning)
    simulation.run(jobs, DURATION_S + DRAIN_S)
    gangs, small = ratios(jobs, True), ratios(jobs, False)
    return {
        "variant": variant,
        "learning": learning,
        "load": load,
        "gangs": sum(job.gang for job in jobs),
        "unfinished": sum(job.done_at < 0.0 for job in jobs),
        "gang_mean": sum(gangs) / max(1, len(gangs)),
        "gang_p99": quantile(gangs, 0.99),
        "large_gang_mean": _mean_of_large(jobs),
        "job_mean": sum(small) / max(1, len(small)),
        "job_p99": quantile(small, 0.99),
        "utilisation": simulation.core_s / (simulation.busy_until * 24 * 64),
        "slowed_tasks": simulation.slowed_tasks / max(1, simulation.tasks),
        "worst_overfill": simulation.worst_overfill,
        "deadlocks": simulation.deadlocks,
    }


def _mean_of_large(jobs: list[Job], tasks: int = 200) -> float:
    large = ratios([job for job in jobs if len(job.sizes) >= tasks], True)
    return sum(large) / max(1, len(large))


def measure_gangs_in_flood(variant: str) -> dict[str, object]:
    """Waiting times of gangs of 100 tasks and more while work arrives at twice the capacity."""
    jobs = make_jobs(seed=SEED, load=2.0, seconds=FLOOD_DURATION_S, gang_part=0.05)
    simulation = PlacementSimulation(variant=variant)
    simulation.run(jobs, FLOOD_DURATION_S)
    large = [job for job in jobs if job.gang and len(job.sizes) >= LARGE_GANG_TASKS]
    waits = [
        (job.started_at if job.started_at >= 0.0 else FLOOD_DURATION_S) - job.at for job in large
    ]
    return {
        "variant": variant,
        "large_gangs": len(large),
        "never_started": sum(job.started_at < 0.0 for job in large),
        "mean_wait_s": sum(waits) / len(waits),
        "utilisation": simulation.core_s / (FLOOD_DURATION_S * 24 * 64),
    }


def measure_deadlocks() -> dict[str, float]:
    """Number of runs in which hold and wait causes a deadlock, and mean time of the first one."""
    times = []
    for seed in range(DEADLOCK_SEEDS):
        jobs = make_jobs(seed=seed, load=DEADLOCK_LOAD, seconds=DEADLOCK_DURATION_S)
        simulation = PlacementSimulation(variant="hold")
        simulation.run(jobs, DEADLOCK_DURATION_S)
        times.append(simulation.first_deadlock_s)
    locked = [at for at in times if at < math.inf]
    return {
        "load": DEADLOCK_LOAD,
        "runs": DEADLOCK_SEEDS,
        "seconds": DEADLOCK_DURATION_S,
        "deadlocked_runs": len(locked),
        "mean_first_s": sum(locked) / max(1, len(locked)),
    }


def placement_cost(workers: int, tasks: int = 20_000) -> float:
    """Microseconds of processor time to place and release one task on workers that are 80% full."""
    source = random.Random(SEED)
    placement = WorkerPlacement()
    entries = make_workers(workers)
    placement.set_workers(entries)
    usable = {entry.name for entry in entries}
    held: list[tuple[str, TaskSize]] = []

    def place() -> None:
        size = TaskSize(index=0, cores=source.choice((0.5, 1.0, 2.0, 4.0)), memory_mb=512)
        names = placement.place("k", [size], usable=usable, spread_racks=source.random() < 0.3)
        if names is not None:
            held.append((names[0], size))

    while len(held) < workers * TASKS_PER_WORKER:
        place()
    started = time.process_time()
    for _ in range(tasks):
        position = source.randrange(len(held))
        held[position], held[-1] = held[-1], held[position]
        name, size = held.pop()
        placement.release(name, "k", size)
        place()
    return (time.process_time() - started) / tasks * 1e6


def gang_cost(workers: int, tasks: int = 620, rounds: int = 100) -> float:
    """Microseconds of processor time per task to place and release a gang."""
    placement = WorkerPlacement()
    entries = make_workers(workers)
    placement.set_workers(entries)
    usable = {entry.name for entry in entries}
    sizes = [TaskSize(index=i) for i in range(tasks)]
    started = time.process_time()
    for _ in range(rounds):
        names = placement.place("k", sizes, usable=usable, spread_racks=True)
        assert names is not None
        for name, size in zip(names, sizes, strict=True):
            placement.release(name, "k", size)
    return (time.process_time() - started) / rounds / tasks * 1e6


def measure() -> dict[str, object]:
    """Run all simulations and cost measurements."""
    rows = [run(*arguments) for arguments in RUNS]
    small, large = placement_cost(24), placement_cost(1400)
    return {
        "seed": SEED,
        "rows": rows,
        "gangs_in_a_flood": [measure_gangs_in_flood(v) for v in ("atomic", "reserve")],
        "deadlocks": measure_deadlocks(),
        "cost": {
            "task_us_24": small,
            "task_us_1400": large,
            "ratio": large / small,
            "gang_task_us_24": gang_cost(24),
            "gang_task_us_1400": gang_cost(1400),
        },
    }


def print_table(result: dict[str, object]) -> None:
    """Print the figures as a table."""
    print(
        f"{'variant':11} {'learn':5} {'load':>4} {'gang':>6} {'p99':>6} {'large':>6} {'job':>6}"
        f" {'p99':>6} {'util':>6} {'slowed':>6} {'fill':>5} {'locks':>5} {'open':>5}"
    )
    for row in result["rows"]:  # type: ignore[attr-defined]
        print(
            f"{row['variant']:11} {row['learning']!s:5} {row['load']:4.2f} {row['gang_mean']:6.2f}"
            f" {row['gang_p99']:6.2f} {row['large_gang_mean']:6.2f} {row['job_mean']:6.2f}"
            f" {row['job_p99']:6.2f} {row['utilisation']:6.3f} {row['slowed_tasks']:6.3f}"
            f" {row['worst_overfill']:5.2f} {row['deadlocks']:5d} {row['unfinished']:5d}"
        )
    print("response times are ratios to the longest task of the job; large: gangs of 200 and more;")
    print("slowed: tasks on overfilled workers; locks: deadlocks; open: unfinished jobs")
    print(json.dumps(result["gangs_in_a_flood"]))
    print(json.dumps(result["deadlocks"]))
    print(json.dumps(result["cost"]))


def plot(result: dict[str, object], path: pathlib.Path) -> None:
    """Write a plot of the mean response of gangs and jobs by run."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    path.parent.mkdir(exist_ok=True)
    figure, axes = plt.subplots(figsize=(9, 4))
    rows = result["rows"]
    for offset, what in enumerate(("gang_mean", "job_mean")):
        heights = [row[what] for row in rows]  # type: ignore[attr-defined]
        axes.bar([i + 0.35 * offset for i in range(len(heights))], heights, 0.3, label=what)
    names = [f"{v}\n{'learns' if learns else 'declared'}\n{load}" for v, learns, load in RUNS]
    axes.set_xticks([i + 0.17 for i in range(len(names))], names)
    axes.set_ylabel("mean response / longest task")
    axes.legend()
    figure.savefig(path)


def show(result: dict[str, object]) -> None:
    """Print the table and write the plot."""
    print_table(result)
    plot(result, pathlib.Path("out/placement.png"))


if __name__ == "__main__":
    sys.exit(run_program(__doc__, measure, show))
