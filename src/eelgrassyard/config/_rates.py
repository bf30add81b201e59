"""What the expected work takes of the capacity, worked out from the answers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ._answers import Answers, KindAnswer

WORKER_POOL = ""
"""Name of the pool of guarded workers; a pool of runners has the name of its service."""

MB_PER_GB = 1024
DEADLINE_DIGITS = 6


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Capacity of a pool.

    :param slots: tasks of a service that run at once.
    """

    slots: float = 0.0
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Rates:
    """Expected rates and loads.

    :param tasks_per_s_by_kind: task starts per second.
    :param load_by_kind: part of the pool's capacity that the kind needs, 1.0 for all of it.
    :param tasks_per_s_by_kind_and_caller: the same for each caller of the kind.
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
    """Seconds that a host has for the answer: what the caller allows, less the round trip."""
    return round(kind.answer_within_s - 2 * answers.latency_ms.to_clients / 1000, DEADLINE_DIGITS)


def find_rates(answers: Answers) -> Rates:
    """Add up the answers; kinds and pools that are not declared count as nothing."""
    kind_by_name = {kind.name: kind for kind in answers.kinds}
    capacity_by_pool = find_capacities(answers)
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
        name: tasks_by_kind[name] * part_of_pool(kind, capacity_by_pool.get(pool_of(kind)))
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


def find_capacities(answers: Answers) -> dict[str, Capacity]:
    """Capacity of every pool."""
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


def part_of_pool(kind: KindAnswer, capacity: Capacity | None) -> float:
    """Part of the pool that one task a second of the kind keeps busy."""
    if capacity is None:
        return 0.0
    if pool_of(kind) != WORKER_POOL:
        return kind.typical_s / capacity.slots
    parts = [kind.cores / capacity.cores, kind.memory_mb / capacity.memory_mb]
    if kind.accelerators and capacity.accelerators:
        parts.append(kind.accelerators / capacity.accelerators)
    return kind.typical_s * max(parts)
