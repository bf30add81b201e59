"""Queue of tasks that wait for capacity, ordered by their latest start."""

from __future__ import annotations

import bisect
import enum
from collections.abc import Iterator
from dataclasses import dataclass, field

from ._tasks import Phase, PoolJob, Task


class QueueClass(enum.IntEnum):
    """Part of the queue; all tasks of a lower one precede those of a higher one."""

    BEGUN = 0
    """Tasks of jobs that have begun: the work done for them is wasted if the rest is too late."""
    ON_TIME = 1
    BEHIND = 2
    """Tasks of jobs that can only be late, or that the plan expects to be late."""


def queue_class(pool_job: PoolJob) -> QueueClass:
    """Part of the queue in which the tasks of a job wait."""
    if pool_job.started_runs > 0:
        return QueueClass.BEGUN
    if pool_job.is_late or pool_job.is_deferred:
        return QueueClass.BEHIND
    return QueueClass.ON_TIME


@dataclass(slots=True)
class WaitingTasks:
    """Priority queue of the waiting tasks of one service.

    The :class:`QueueClass` of their jobs decides, then the latest start.

    :ivar least_cpu: lower bound of the tasks' CPU demand, in thousandths of a core.
    """

    least_cpu: int = 0
    _entries: list[tuple[QueueClass, float, int, Task]] = field(default_factory=list)
    _last_number: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Task]:
        return iter([entry[3] for entry in self._entries])

    def before(self, start_by: float) -> list[Task]:
        """Tasks that precede one that is added now, of a job that has not begun.

        :param start_by: its latest start.
        """
        added = (QueueClass.ON_TIME, start_by)
        end = bisect.bisect_right(self._entries, added, key=lambda entry: entry[:2])
        return [entry[3] for entry in self._entries[:end]]

    def add(self, task: Task, *, start_by: float) -> None:
        """Queue a task.

        :param start_by: latest start with which its job can be answered on time.
        """
        self._last_number += 1
        self.least_cpu = min(self.least_cpu, task.step.cpu) if self._entries else task.step.cpu
        entry = (queue_class(task.pool_job), start_by, self._last_number, task)
        bisect.insort(self._entries, entry)

    def prioritize(self, tasks: list[Task]) -> None:
        """Move tasks of jobs that have begun before all others."""
        moved = {id(task) for task in tasks if task.phase is Phase.WAITING}
        if any(id(e[3]) in moved and e[0] is not QueueClass.BEGUN for e in self._entries):
            self._entries = sorted(
                (QueueClass.BEGUN, *entry[1:]) if id(entry[3]) in moved else entry
                for entry in self._entries
            )

    def reorder(self) -> None:
        """Move the tasks of jobs that have become late or deferred, or are so no more. Tasks that
        were queued for a begun job stay where they are."""
        entries = [
            entry if entry[0] is QueueClass.BEGUN else (queue_class(entry[3].pool_job), *entry[1:])
            for entry in self._entries
        ]
        if any(new[0] is not old[0] for new, old in zip(entries, self._entries, strict=True)):
            self._entries = sorted(entries)

    def remove(self, tasks: set[int]) -> None:
        """Remove tasks, given by their ``id()``."""
        self._entries = [entry for entry in self._entries if id(entry[3]) not in tasks]
