"""Task sizes learned from usage reports."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._events import UsageEntry
from ._worker_capacity import SizeKey

WINDOW_TASKS = 300.0
"""Number of reported tasks over which usage is averaged.

Reports lag, so the tasks in a report are not exactly those that the worker holds when it arrives.
With mixed sizes, the two means differ by chance; over this many tasks the differences average out.
"""

PRIOR_TASKS = 5.0
"""Weight of the declared size before the first report, in tasks."""

STEPS_PER_UNIT = 16
"""Steps per 1.0 to which learned factors are rounded, so that small changes do not resize
reservations."""


@dataclass(slots=True)
class Factor:
    """Learned ratio of used to declared size, at least 1."""

    used: float = 0.0
    declared: float = 0.0

    @property
    def value(self) -> float:
        """The ratio learned so far; 1.0 before the first report."""
        return max(1.0, self.used / self.declared) if self.declared > 0.0 else 1.0

    def learn(self, used: float, declared: float, tasks: int) -> None:
        """Add a report of ``tasks`` tasks with their mean usage and mean declared size."""
        if self.declared == 0.0:
            self.used = self.declared = declared * PRIOR_TASKS
        keep = math.exp(-tasks / WINDOW_TASKS)
        self.used = self.used * keep + used * tasks
        self.declared = self.declared * keep + declared * tasks

    @property
    def rounded(self) -> float:
        """The ratio, rounded to a multiple of ``1 / STEPS_PER_UNIT``."""
        return math.ceil(self.value * STEPS_PER_UNIT - 0.5) / STEPS_PER_UNIT


@dataclass(slots=True)
class KindFactors:
    """Learned factors for the cores and the memory of one kind."""

    cores: Factor
    memory: Factor


class LearnedSizes:
    """Learns by which factors the tasks of each kind exceed their declared size.

    The factors are at least 1, so a reservation is never below the declared size.
    """

    def __init__(self) -> None:
        self._factors_by_kind: dict[str, KindFactors] = {}

    def factors(self, kind: str) -> tuple[float, float]:
        """Rounded factors for cores and memory; 1.0 for a kind without reports."""
        found = self._factors_by_kind.get(kind)
        return (found.cores.rounded, found.memory.rounded) if found else (1.0, 1.0)

    def learn(
        self, kind: str, entries: Sequence[UsageEntry], declared: Mapping[SizeKey, int]
    ) -> bool:
        """Learn from one worker's report on a kind; False if there is nothing to compare.

        :param entries: usage of each reported task.
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
            found.cores.learn(used_cores, cores, len(entries))
        if memory_mb > 0.0:
            found.memory.learn(used_mb, memory_mb, len(entries))
        return True

    def dump(self) -> dict[str, object]:
        """Learned factors by kind, as JSON values."""
        return {
            kind: {"cores": round(found.cores.value, 3), "memory": round(found.memory.value, 3)}
            for kind, found in self._factors_by_kind.items()
        }


def group_by_kind(entries: Iterable[UsageEntry]) -> dict[str, list[UsageEntry]]:
    """Entries of a usage report by kind."""
    by_kind: dict[str, list[UsageEntry]] = {}
    for entry in entries:
        by_kind.setdefault(entry.kind, []).append(entry)
    return by_kind
