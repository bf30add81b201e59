"""Sizes learned from usage reports."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._events import UsageEntry
from ._workercapacity import SizeKey

WINDOW_TASKS = 300.0
"""Reported tasks over which use is averaged.

Reports lag, so the tasks in a report are not quite those that the worker holds when it arrives.
With mixed sizes the two means differ by chance; over this many tasks the differences cancel out.
"""

PRIOR_TASKS = 5.0
"""Weight, in tasks, of the declared size before the first report."""

STEPS_PER_UNIT = 16
"""Learned factors are rounded up to this grid, so that small changes do not move reservations."""


@dataclass(slots=True)
class Factor:
    """Ratio of used to declared size, at least 1."""

    used: float = 0.0
    declared: float = 0.0

    @property
    def value(self) -> float:
        """The ratio so far."""
        return max(1.0, self.used / self.declared) if self.declared > 0.0 else 1.0

    def learn(self, used: float, declared: float, tasks: int) -> None:
        """Take the mean use of some tasks and their mean declared size."""
        if self.declared == 0.0:
            self.used = self.declared = declared * PRIOR_TASKS
        keep = math.exp(-tasks / WINDOW_TASKS)
        self.used = self.used * keep + used * tasks
        self.declared = self.declared * keep + declared * tasks

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
            found.cores.learn(used_cores, cores, len(entries))
        if memory_mb > 0.0:
            found.memory.learn(used_mb, memory_mb, len(entries))
        return True

    def dump(self) -> dict[str, object]:
        """Factors by kind."""
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
