"""Expected rates of work, and the utilization of the pools that they cause."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ._answers import Answers, KindAnswer

WORKER_POOL = ""
"""Name of the pool of guarded workers; a pool of runners has the name of its service."""

MB_PER_GB = 1024

DEADLINE_DIGITS = 6
"""Decimal places of a deadline in seconds, which hides rounding errors."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Total capacity of a pool: slots of runners, or resources of workers.

    :param slots: concurrent tasks of a service.
    """

    slots: float = 0.0
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Rates:
    """Expected rates and loads.

    :param tasks_per_s_by_kind: task starts per second.
    :param load_by_kind: utilization of the pool by the kind; 1.0 uses all of its capacity.
    :param tasks_per_s_by_kind_and_caller: task starts per second for each caller of the kind.
    :param tasks_per_s_by_team: task starts per second.
    """

    capacity_by_pool: dict[str, Capacity]
    tasks_per_s_by_kind: dict[str, float]
    load_by_kind: dict[str, float]
    tasks_per_s_by_kind_and_caller: dict[str, dict[str, float]]
    tasks_per_s_by_team: dict[str, float]
    submissions_per_s: float


def pool_of(kind: KindAnswer) -> str:
    """Name of the pool that runs the kind."""
    return kind.service if kind.runs_as == "request" and kind.service else WORKER_POOL


def deadline_of(kind: KindAnswer, answers: Answers) -> float:
    """Seconds for an answer at the host: those of the caller, less its round trip to the host."""
    return round(kind.answer_within_s - 2 * answers.latency_ms.to_clients / 1000, DEADLINE_DIGITS)


def compute_rates(answers: Answers) -> Rates:
    """Compute the expected rates and loads; undeclared kinds and pools are ignored."""
    kind_by_name = {kind.name: kind for kind in answers.kinds}
    capacity_by_pool = compute_capacities(answers)
    tasks_by_kind: defaultdict[str, float] = defaultdict(float)
    tasks_by_team: defaultdict[str, float] = defaultdict(float)
    tasks_by_kind_and_caller: defaultdict[str, dict[str, float]] = defaultdict(dict)
    submissions_per_s = 0.0
    for caller in answers.callers:
        for name, sends in caller.sends.items():
            kind = kind_by_name.get(name)
            if kind is None:
                continue
            tasks_per_s = sends.per_s * kind.tasks_usual
            submissions_per_s += sends.per_s
            tasks_by_kind[name] += tasks_per_s
            tasks_by_team[caller.team] += tasks_per_s
            tasks_by_kind_and_caller[name][caller.name] = tasks_per_s
    load_by_kind = {
        name: tasks_by_kind[name] * unit_load(kind, capacity_by_pool.get(pool_of(kind)))
        for name, kind in kind_by_name.items()
    }
    return Rates(
        capacity_by_pool=capacity_by_pool,
        tasks_per_s_by_kind=dict(tasks_by_kind),
        load_by_kind=load_by_kind,
        tasks_per_s_by_kind_and_caller=dict(tasks_by_kind_and_caller),
        tasks_per_s_by_team=dict(tasks_by_team),
        submissions_per_s=submissions_per_s,
    )


def compute_capacities(answers: Answers) -> dict[str, Capacity]:
    """Return the capacity of each pool."""
    capacity_by_pool = {
        service.name: Capacity(
            slots=sum(runner.slots or service.slots for runner in service.runners)
        )
        for service in answers.services
    }
    if answers.racks:
        capacity_by_pool[WORKER_POOL] = Capacity(
            cores=sum(rack.cores * len(rack.workers) for rack in answers.racks),
            memory_mb=sum(rack.memory_gb * MB_PER_GB * len(rack.workers) for rack in answers.racks),
            accelerators=sum(rack.accelerators * len(rack.workers) for rack in answers.racks),
        )
    return capacity_by_pool


def unit_load(kind: KindAnswer, capacity: Capacity | None) -> float:
    """Utilization of a pool by one task of the kind per second."""
    if capacity is None:
        return 0.0
    if pool_of(kind) != WORKER_POOL:
        return kind.typical_s / capacity.slots
    parts = [kind.cores / capacity.cores, kind.memory_mb / capacity.memory_mb]
    if kind.accelerators and capacity.accelerators:
        parts.append(kind.accelerators / capacity.accelerators)
    return kind.typical_s * max(parts)
