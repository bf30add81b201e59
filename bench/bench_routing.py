"""Response time of the scheduler relative to an ideal, and messages per task, next to baselines.

The ideal is a central queue without latency that knows all run times and speeds. Tasks are assigned
in order of arrival to the slot with the least sum of weighted waiting time and run time, which may
be a busy slot. Waiting also delays later tasks, so the best weight is above 1; mean and 99th
percentile are each taken at the best of several weights, which no single policy reaches.
``first end`` is the same queue with weight 1: each task takes the slot on which it ends first.

The baselines decide at each host, without messages between hosts, and send the task directly to a
runner, which queues tasks beyond its slots in FIFO order. ``random by speed`` knows the true
speeds; the others do not.

``scheduler, one kind`` runs the same tasks with a single kind, so the scheduler cannot distinguish
long tasks from short ones; run times of that kind are from 50 ms to 8 s.
``central, run times unknown`` is the bound for that case: the central queue without latency, which
assumes the mean run time for every task.

Wasted messages are those that neither assign a task to a slot nor free a slot: repeated slot
requests, refusals, withdrawals, grants whose start was refused, and digests. The total number of
messages is printed as well.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import json
import pathlib
import random
import statistics
from collections.abc import Callable, Sequence

from absl import app, flags

from bench.pool_site import (
    DOMAINS,
    EPOCH,
    KINDS,
    PoolSite,
    Task,
    make_runners,
    make_tasks,
    mean_work_s,
)
from eelgrassyard.policy import StartResult, UpstreamEntry

_JSON = flags.DEFINE_bool("json", False, "Print only the JSON line.")

RUNNERS = 24
HOSTS = 9
LOADS = (0.5, 0.8, 0.95)
WAIT_WEIGHTS = (1.0, 2.0, 5.0, 10.0, 100.0)
UNKNOWN_RUN_TIMES_WEIGHT = 10.0
WARM_UP_S = 20.0
DURATION_S = 80.0
SEED = 20
PLOT = pathlib.Path("out/routing.png")


def measure(response_times: Sequence[float]) -> dict[str, float]:
    """Mean and 99th percentile of response times, in seconds."""
    return {
        "mean": statistics.fmean(response_times),
        "p99": statistics.quantiles(response_times, n=100)[98],
    }


def after_warm_up(tasks: Sequence[Task]) -> list[Task]:
    """Tasks that arrive after the warm-up, during which the scheduler learns speeds."""
    return [task for task in tasks if task.at >= EPOCH + WARM_UP_S]


def run_central(
    tasks: Sequence[Task],
    entries: Sequence[UpstreamEntry],
    speeds: dict[str, float],
    weight: float,
    assumed_s: float | None = None,
) -> list[float]:
    """Response times of the central queue.

    :param weight: weight of the waiting time against the run time.
    :param assumed_s: run time assumed for every task; None if the queue knows the true ones.
    """
    free_at = {e.name: [EPOCH] * e.slots for e in entries}
    ordered = sorted(entries, key=lambda e: -speeds[e.name])
    times = []
    for task in tasks:
        best, best_end, best_cost = "", 0.0, float("inf")
        for entry in ordered:
            run_s = (assumed_s or task.work_s) / speeds[entry.name]
            wait_s = max(0.0, free_at[entry.name][0] - task.at)
            if weight * wait_s + run_s < best_cost:
                best_cost = weight * wait_s + run_s
                best = entry.name
                best_end = task.at + wait_s + task.work_s / speeds[entry.name]
        heapq.heapreplace(free_at[best], best_end)
        if task.at >= EPOCH + WARM_UP_S:
            times.append(best_end - task.at)
    return times


def run_scheduler(
    tasks: Sequence[Task], entries: Sequence[UpstreamEntry], speeds: dict[str, float]
) -> tuple[list[float], PoolSite]:
    """Response times with the scheduler, and the site with its counters.

    :raises RuntimeError: if a task did not complete.
    """
    site = PoolSite(entries=entries, speed_by_name=speeds, hosts=HOSTS)
    site.run(tasks)
    unanswered = [task for task in tasks if task.result is not StartResult.OK]
    if unanswered:
        raise RuntimeError(f"{len(unanswered)} tasks did not complete")
    return [task.answered_at - task.at for task in after_warm_up(tasks)], site


RunnerChoice = Callable[[int, list[int], random.Random], int]


def run_baseline(
    tasks: Sequence[Task],
    entries: Sequence[UpstreamEntry],
    speeds: dict[str, float],
    choose: RunnerChoice,
) -> list[float]:
    """Response times of a per-host policy with FIFO queues at the runners."""
    source = random.Random(SEED)
    free_at = [[EPOCH] * e.slots for e in entries]
    in_flight = [[0] * len(entries) for _ in range(HOSTS)]
    ends: list[tuple[float, int, int, int]] = []
    order = itertools.count()
    arrivals: list[tuple[float, int, Task, int, float]] = []
    times = []
    for task in tasks:
        while arrivals and arrivals[0][0] <= task.at:
            _serve(heapq.heappop(arrivals), free_at, entries, speeds, ends, order, times)
        while ends and ends[0][0] <= task.at:
            _, _, host, index = heapq.heappop(ends)
            in_flight[host][index] -= 1
        index = choose(task.host, in_flight[task.host], source)
        in_flight[task.host][index] += 1
        local = DOMAINS[task.host % len(DOMAINS)] == entries[index].failure_domain
        delay = 0.00025 if local else 0.0015
        heapq.heappush(arrivals, (task.at + delay, next(order), task, index, delay))
    while arrivals:
        _serve(heapq.heappop(arrivals), free_at, entries, speeds, ends, order, times)
    return times


def _serve(
    arrival: tuple[float, int, Task, int, float],
    free_at: list[list[float]],
    entries: Sequence[UpstreamEntry],
    speeds: dict[str, float],
    ends: list[tuple[float, int, int, int]],
    order: itertools.count[int],
    times: list[float],
) -> None:
    at, _, task, index, delay = arrival
    end = max(at, free_at[index][0]) + task.work_s / speeds[entries[index].name]
    heapq.heapreplace(free_at[index], end)
    heapq.heappush(ends, (end + delay, next(order), task.host, index))
    if task.at >= EPOCH + WARM_UP_S:
        times.append(end + delay - task.at)


def baseline_policies(
    entries: Sequence[UpstreamEntry], speeds: dict[str, float]
) -> dict[str, RunnerChoice]:
    """The per-host baseline policies, by name."""
    next_index = [host * 7 % len(entries) for host in range(HOSTS)]
    weights = list(itertools.accumulate(speeds[e.name] for e in entries))

    def round_robin(host: int, counts: list[int], source: random.Random) -> int:
        next_index[host] = (next_index[host] + 1) % len(entries)
        return next_index[host]

    def least(host: int, counts: list[int], source: random.Random) -> int:
        fewest = min(counts)
        return source.choice([i for i, count in enumerate(counts) if count == fewest])

    return {
        "random": lambda host, counts, source: source.randrange(len(entries)),
        "random by speed": lambda host, counts, source: source.choices(
            range(len(entries)), cum_weights=weights
        )[0],
        "round robin": round_robin,
        "least local in-flight": least,
    }


def run_load(load: float) -> dict[str, object]:
    """Run all policies at one load."""
    entries, speeds = make_runners(RUNNERS)
    capacity = sum(e.slots * speeds[e.name] for e in entries)
    rate = load * capacity / mean_work_s()
    tasks = make_tasks(seed=SEED, rate_per_s=rate, seconds=DURATION_S, hosts=HOSTS)
    central = [measure(run_central(tasks, entries, speeds, weight)) for weight in WAIT_WEIGHTS]
    ideal = {key: min(row[key] for row in central) for key in ("mean", "p99")}
    rows: dict[str, dict[str, float]] = {"first end": ratios(central[0], ideal)}
    for name, choose in baseline_policies(entries, speeds).items():
        rows[name] = ratios(measure(run_baseline(tasks, entries, speeds, choose)), ideal)
    estimated = run_central(tasks, entries, speeds, UNKNOWN_RUN_TIMES_WEIGHT, mean_work_s())
    rows["central, run times unknown"] = ratios(measure(estimated), ideal)
    one_kind = [dataclasses.replace(task, kind=KINDS[1].name) for task in tasks]
    times, _ = run_scheduler(one_kind, entries, speeds)
    rows["scheduler, one kind"] = ratios(measure(times), ideal)
    times, site = run_scheduler(tasks, entries, speeds)
    rows["scheduler"] = ratios(measure(times), ideal)
    count = len(tasks)
    return {
        "load": load,
        "tasks": count,
        "ideal_mean_s": ideal["mean"],
        "ideal_p99_s": ideal["p99"],
        "rows": rows,
        "messages_per_task": {k: v / count for k, v in sorted(site.message_counts.items())},
        "messages_per_task_total": sum(site.message_counts.values()) / count,
        "wasted_per_task": {k: v / count for k, v in sorted(site.wasted_counts.items())},
        "wasted_per_task_total": sum(site.wasted_counts.values()) / count,
    }


def ratios(values: dict[str, float], ideal: dict[str, float]) -> dict[str, float]:
    """Mean and 99th percentile as multiples of the ideal."""
    return {key: values[key] / ideal[key] for key in ideal}


def print_table(results: Sequence[dict]) -> None:
    """Print the results of :func:`run_load`."""
    print(f"{'load':>5} {'policy':<27} {'mean/ideal':>10} {'p99/ideal':>10}")
    for result in results:
        for name, row in result["rows"].items():
            print(f"{result['load']:>5} {name:<27} {row['mean']:>10.3f} {row['p99']:>10.3f}")
    for result in results:
        by_type = ", ".join(f"{k} {v:.3f}" for k, v in result["messages_per_task"].items())
        print(
            f"load {result['load']}: ideal mean {result['ideal_mean_s']:.3f} s, "
            f"p99 {result['ideal_p99_s']:.3f} s; messages a task "
            f"{result['messages_per_task_total']:.3f} ({by_type}), "
            f"wasted {result['wasted_per_task_total']:.4f}"
        )


def plot(results: Sequence[dict]) -> None:
    """Write a plot of the 99th percentile ratio by load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    PLOT.parent.mkdir(exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(6, 4))
    for name in results[0]["rows"]:
        axes.plot(
            [r["load"] for r in results],
            [r["rows"][name]["p99"] for r in results],
            marker="o",
            label=name,
        )
    axes.set_yscale("log")
    axes.set_xlabel("load")
    axes.set_ylabel("99th percentile, ratio to the ideal")
    axes.legend()
    figure.tight_layout()
    figure.savefig(PLOT)


def main(argv: Sequence[str]) -> None:
    """Run all loads."""
    results = [run_load(load) for load in LOADS]
    if not _JSON.value:
        print_table(results)
        plot(results)
    print(json.dumps({"bench": "routing", "seed": SEED, "results": results}))


if __name__ == "__main__":
    app.run(main)
