"""Tasks that wait for a slot on a faster upstream while a slower one is free."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ._config import Urgency
from ._fair_queue import QueuedRequest
from ._messages import TaskSize


@dataclass(slots=True, kw_only=True)
class DeferredTask:
    """A dequeued task that waits for a slot.

    :param cost_s: cost charged to its flow when the task left the queue.
    """

    entry: QueuedRequest
    size: TaskSize
    cost_s: float


class DeferredTasks:
    """Deferred tasks in order of urgency, then of arrival."""

    def __init__(self) -> None:
        self._tasks_by_urgency: dict[Urgency, deque[DeferredTask]] = {u: deque() for u in Urgency}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[DeferredTask]:
        for tasks in self._tasks_by_urgency.values():
            yield from tasks

    def first(self, count: int) -> list[DeferredTask]:
        """The first ``count`` tasks in order."""
        found: list[DeferredTask] = []
        for tasks in self._tasks_by_urgency.values():
            if tasks:
                found.extend(itertools.islice(tasks, count - len(found)))
        return found

    def add(self, task: DeferredTask) -> None:
        """Append a task behind those of the same urgency."""
        self._tasks_by_urgency[task.entry.request.urgency].append(task)
        self._length += 1

    def remove(self, task: DeferredTask) -> None:
        """Remove a task that got a slot. It is near the front, so the search is short."""
        self._tasks_by_urgency[task.entry.request.urgency].remove(task)
        self._length -= 1

    def ahead_of(self, urgency: Urgency) -> int:
        """Number of deferred tasks that get a slot before a new task of this urgency."""
        if urgency is Urgency.BACKGROUND:
            return self._length
        return sum(len(self._tasks_by_urgency[u]) for u in Urgency if u <= urgency)

    def withdraw(self, owner: str, submission_id: str) -> int:
        """Remove the tasks of a submission; returns how many there were."""
        return len(
            self._take(
                lambda t: t.entry.request.submission_id == submission_id and t.entry.owner == owner
            )
        )

    def expire(self, now: float) -> list[DeferredTask]:
        """Remove and return the tasks whose deadline has passed."""
        return self._take(lambda t: t.entry.deadline_at <= now)

    def clear(self) -> None:
        """Remove all tasks."""
        self._take(lambda t: True)

    def _take(self, matches: Callable[[DeferredTask], bool]) -> list[DeferredTask]:
        taken: list[DeferredTask] = []
        for urgency, tasks in self._tasks_by_urgency.items():
            found = [task for task in tasks if matches(task)]
            if found:
                self._tasks_by_urgency[urgency] = deque(t for t in tasks if not matches(t))
                taken.extend(found)
        self._length -= len(taken)
        return taken
