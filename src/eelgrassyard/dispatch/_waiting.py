"""Tasks that wait for room, in the order in which they must start."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from ._tasks import Task


@dataclass(slots=True)
class WaitingTasks:
    """Waiting tasks of one service, the one that must start first in front."""

    _order: list[tuple[float, int, Task]] = field(default_factory=list)
    _numbers: int = 0
    cpu_seconds: float = 0.0

    def __len__(self) -> int:
        return len(self._order)

    def __iter__(self) -> Iterator[Task]:
        return iter([task for _, _, task in self._order])

    def add(self, task: Task, *, start_by: float) -> None:
        """Queue a task."""
        self._numbers += 1
        bisect.insort(self._order, (start_by, self._numbers, task))
        self.cpu_seconds += task.step.cpu / 1000.0 * task.step.estimate_s

    def remove(self, tasks: set[int]) -> None:
        """Take out tasks, named by their object id."""
        kept = [entry for entry in self._order if id(entry[2]) not in tasks]
        if len(kept) != len(self._order):
            self._order = kept
            self.cpu_seconds = sum(t.step.cpu / 1000.0 * t.step.estimate_s for _, _, t in kept)
