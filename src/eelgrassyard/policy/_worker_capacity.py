"""Free capacity of workers, and an index whose search time does not depend on their number."""

from __future__ import annotations

import bisect
import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ._config import UpstreamEntry
from ._messages import TaskSize

TOLERANCE = 1e-6
"""Tolerance for rounding errors in sums of fractional cores."""

CORE_LEVELS = (0.01, 0.25, 0.5, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256)
MEMORY_LEVELS = tuple(float(2**power) for power in range(5, 23))
ACCELERATOR_LEVELS = (1.0, 2.0, 4.0, 8.0, 16.0)
"""Lower bounds of the index levels; memory in MiB."""

PARTIAL_LEVEL_TRIES = 8
"""Workers tried in one search although their level does not guarantee that the task fits. A bound
keeps the search from becoming a linear scan."""

SizeKey = tuple[float, int, int]
"""Declared cores, memory in MiB and accelerators."""


class Hold(enum.IntEnum):
    """Which of its reserved resources a started task holds: all, fewer cores, or nothing."""

    FULL = 0
    THROTTLED = 1
    NONE = 2


THROTTLED_CORE_FRACTION = 0.1
"""Fraction of its cores that a throttled task keeps using."""


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of cores, memory in MiB and accelerators."""

    cores: float
    memory_mb: float
    accelerators: int

    def for_hold(self, hold: Hold) -> Resources:
        """The part of a task's resources that it holds in a given state."""
        if hold is Hold.FULL:
            return self
        if hold is Hold.NONE:
            return Resources(0.0, 0.0, 0)
        return Resources(self.cores * THROTTLED_CORE_FRACTION, self.memory_mb, self.accelerators)


@dataclass(slots=True)
class HeldGroup:
    """Tasks on one worker that have the same kind, declared size and hold.

    :param need: resources reserved for each of them.
    """

    need: Resources
    count: int = 0


GroupKey = tuple[str, SizeKey, Hold]
"""Kind, declared size and hold."""


@dataclass(slots=True, kw_only=True)
class FreeCapacity:
    """Free resources of one worker, and the tasks that hold the rest."""

    entry: UpstreamEntry
    cores: float
    memory_mb: float
    accelerators: int
    held_by_size: dict[GroupKey, HeldGroup] = field(default_factory=dict)

    @classmethod
    def of_idle_worker(cls, entry: UpstreamEntry) -> FreeCapacity:
        """Capacity of a worker that runs nothing."""
        return cls(
            entry=entry,
            cores=entry.cores,
            memory_mb=float(entry.memory_mb),
            accelerators=entry.accelerators,
        )

    def max_tasks(self, need: Resources) -> int:
        """How many tasks with the same need fit."""
        counts = []
        if need.cores > 0.0:
            counts.append(int((self.cores + TOLERANCE) // need.cores))
        if need.memory_mb > 0.0:
            counts.append(int((self.memory_mb + TOLERANCE) // need.memory_mb))
        if need.accelerators > 0:
            counts.append(self.accelerators // need.accelerators)
        return max(0, min(counts, default=1_000_000))

    def reserve(self, need: Resources, count: int) -> None:
        """Reserve resources for ``count`` tasks, or free them if ``count`` is negative."""
        self.cores -= need.cores * count
        self.memory_mb -= need.memory_mb * count
        self.accelerators -= need.accelerators * count


def size_key(size: TaskSize) -> SizeKey:
    """Declared size of a task, without its index."""
    return (size.cores, size.memory_mb, size.accelerators)


def level(levels: tuple[float, ...], value: float) -> int:
    """Number of levels whose lower bound a value reaches."""
    return bisect.bisect_right(levels, value + TOLERANCE)


def level_covering(levels: tuple[float, ...], value: float) -> int:
    """Lowest level that guarantees that at least ``value`` is free."""
    return bisect.bisect_left(levels, value - TOLERANCE) + 1 if value > 0.0 else 0


Cell = tuple[int, int, int]
"""Levels of free accelerators, cores and memory."""


class CapacityIndex:
    """Index of workers by level of free accelerators, cores and memory.

    Workers with the same three levels share a cell. A search goes through the cells from the
    smallest free capacity up; for each level of accelerators and cores, a bit mask tells which
    memory levels have a cell.
    """

    def __init__(self) -> None:
        self._cell_by_name: dict[str, Cell] = {}
        self._names_by_cell: dict[Cell, dict[str, None]] = {}
        self._masks = [[0] * (len(CORE_LEVELS) + 1) for _ in range(len(ACCELERATOR_LEVELS) + 1)]

    def __contains__(self, name: str) -> bool:
        return name in self._cell_by_name

    def update(self, capacity: FreeCapacity) -> None:
        """Insert a worker, or move it to the cell of its free capacity."""
        name = capacity.entry.name
        cell = (
            level(ACCELERATOR_LEVELS, capacity.accelerators),
            level(CORE_LEVELS, capacity.cores),
            level(MEMORY_LEVELS, capacity.memory_mb),
        )
        if self._cell_by_name.get(name) == cell:
            return
        self.remove(name)
        self._cell_by_name[name] = cell
        self._names_by_cell.setdefault(cell, {})[name] = None
        self._masks[cell[0]][cell[1]] |= 1 << cell[2]

    def remove(self, name: str) -> None:
        """Remove a worker if it is in the index."""
        cell = self._cell_by_name.pop(name, None)
        if cell is None:
            return
        names = self._names_by_cell[cell]
        del names[name]
        if not names:
            del self._names_by_cell[cell]
            self._masks[cell[0]][cell[1]] &= ~(1 << cell[2])

    def find(self, need: Resources, accept: Callable[[str], bool]) -> str | None:
        """Worker in the cell of smallest free capacity that ``accept`` returns True for.

        ``accept`` checks the exact capacity and may reject workers for other reasons.
        """
        sure = (
            level_covering(ACCELERATOR_LEVELS, need.accelerators),
            level_covering(CORE_LEVELS, need.cores),
            level_covering(MEMORY_LEVELS, need.memory_mb),
        )
        partial = (
            level(ACCELERATOR_LEVELS, need.accelerators),
            level(CORE_LEVELS, need.cores),
            level(MEMORY_LEVELS, need.memory_mb),
        )
        failed: list[tuple[Cell, str]] = []
        found = self._search(partial, sure, accept, failed)
        for cell, name in failed:
            # Moved to the end of its cell, so that successive searches try every worker.
            self._names_by_cell[cell][name] = self._names_by_cell[cell].pop(name)
        return found

    def _search(
        self,
        lowest: Cell,
        sure: Cell,
        accept: Callable[[str], bool],
        failed: list[tuple[Cell, str]],
    ) -> str | None:
        for cell in self._cells(lowest):
            is_sure = all(have >= enough for have, enough in zip(cell, sure, strict=True))
            for name in self._names_by_cell[cell]:
                if not is_sure and len(failed) >= PARTIAL_LEVEL_TRIES:
                    break
                if accept(name):
                    return name
                if not is_sure:
                    failed.append((cell, name))
        return None

    def _cells(self, lowest: Cell) -> Iterator[Cell]:
        for accelerators in range(lowest[0], len(self._masks)):
            masks = self._masks[accelerators]
            for cores in range(lowest[1], len(masks)):
                mask = masks[cores] >> lowest[2] << lowest[2]
                while mask:
                    bit = mask & -mask
                    yield (accelerators, cores, bit.bit_length() - 1)
                    mask ^= bit
