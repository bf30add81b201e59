"""Sizes learned from usage reports."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._events import UsageEntry
from ._rooms import SizeKey

RISE_TASKS = 4.0
"""A report of this many tasks counts half when it raises a size; one task alone may be unusual."""

FALL_SMOOTHING = 0.02
"""Weight of a report that lowers a size; a size that falls too soon overfills workers again."""

STEPS_PER_UNIT = 16
"""Learned factors are rounded up to this grid, so that small changes do not move reservations."""


@dataclass(slots=True)
class Factor:
    """Ratio of used to declared size, at least 1."""

    value: float = 1.0

    def learn(self, ratio: float, tasks: int) -> None:
        """Take the mean ratio over some tasks."""
        if ratio > self.value:
            self.value += (ratio - self.value) * tasks / (tasks + RISE_TASKS)
        else:
            self.value += (max(1.0, ratio) - self.value) * FALL_SMOOTHING

    @property
    def rounded(self) -> float:
        """The factor on the grid."""
        return math.ceil(self.value * STEPS_PER_UNIT - 0.5) / STEPS_PER_UNIT


@dataclass(slots=True)
class KindFactors:
    """Learned factors of one kind."""

    cores: Factor
    memory: Factor


class LearnedSizes:
    """Learned factors by kind; they only ever raise a declared size."""

    def __init__(self) -> None:
        self._factors_by_kind: dict[str, KindFactors] = {}

    def factors(self, kind: str) -> tuple[float, float]:
        """Factors for cores and memory."""
        found = self._factors_by_kind.get(kind)
        return (found.cores.rounded, found.memory.rounded) if found else (1.0, 1.0)

    def learn(
        self, kind: str, entries: Sequence[UsageEntry], declared: Mapping[SizeKey, int]
    ) -> bool:
        """Compare reported use with declared sizes; False if there is nothing to compare.

        :param declared: number of tasks of the kind that the worker holds, by declared size.
        """
        tasks = sum(declared.values())
        if not tasks or not entries:
            return False
        found = self._factors_by_kind.setdefault(kind, KindFactors(Factor(), Factor()))
        used_cores = sum(entry.cores for entry in entries) / len(entries)
        used_mb = sum(entry.memory_mb for entry in entries) / len(entries)
        cores = sum(size[0] * count for size, count in declared.items()) / tasks
        memory_mb = sum(size[1] * count for size, count in declared.items()) / tasks
        if cores > 0.0:
            found.cores.learn(used_cores / cores, len(entries))
        if memory_mb > 0.0:
            found.memory.learn(used_mb / memory_mb, len(entries))
        return True

    def dump(self) -> dict[str, object]:
        """Factors by kind."""
        return {
            kind: {"cores": found.cores.value, "memory": found.memory.value}
            for kind, found in self._factors_by_kind.items()
        }


def group_by_kind(entries: Iterable[UsageEntry]) -> dict[str, list[UsageEntry]]:
    """Entries of a usage report by kind."""
    by_kind: dict[str, list[UsageEntry]] = {}
    for entry in entries:
        by_kind.setdefault(entry.kind, []).append(entry)
    return by_kind
