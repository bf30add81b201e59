"""Tasks that wait for room, in the order in which they must start."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from ._tasks import Phase, Task

PRIORITY_OFFSET_S = 1e12
"""Taken off the time of tasks in front; all times are seconds of the Unix epoch."""


@dataclass(slots=True)
class WaitingTasks:
    """Waiting tasks of one service, the one that must start first in front.

    :ivar least_cpu: no waiting task takes less, in thousandths of a core.
    """

    least_cpu: int = 0
    _order: list[tuple[float, int, Task]] = field(default_factory=list)
    _numbers: int = 0

    def __len__(self) -> int:
        return len(self._order)

    def __iter__(self) -> Iterator[Task]:
        return iter([task for _, _, task in self._order])

    def add(self, task: Task, *, start_by: float, in_front: bool) -> None:
        """Queue a task.

        :param in_front: whether its job has begun, so that it goes before all others.
        """
        self._numbers += 1
        self.least_cpu = min(self.least_cpu, task.step.cpu) if self._order else task.step.cpu
        rank = start_by - PRIORITY_OFFSET_S if in_front else start_by
        bisect.insort(self._order, (rank, self._numbers, task))

    def move_to_front(self, tasks: list[Task]) -> None:
        """Put tasks of jobs that have begun before all others: what has run of them is lost if the
        rest comes too late."""
        moved = {id(task) for task in tasks if task.phase is Phase.WAITING}
        late = [entry for entry in self._order if id(entry[2]) in moved and entry[0] >= 0.0]
        if not late:
            return
        kept = [entry for entry in self._order if id(entry[2]) not in moved or entry[0] < 0.0]
        front = [(start_by - PRIORITY_OFFSET_S, number, task) for start_by, number, task in late]
        self._order = sorted([*front, *kept])

    def remove(self, tasks: set[int]) -> None:
        """Take out tasks, named by their object id."""
        self._order = [entry for entry in self._order if id(entry[2]) not in tasks]
