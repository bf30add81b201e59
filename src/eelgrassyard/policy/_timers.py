"""A queue of timers that finds due timers without a scan of their objects."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key")


class TimerQueue(Generic[Key]):
    """A heap of keys ordered by due time.

    Timers cannot be cancelled: the user of a due key must check whether it still applies.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Key]] = []
        self._added = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due_at: float, key: Key) -> None:
        """Add a timer that is due at a time."""
        self._added += 1
        heapq.heappush(self._heap, (due_at, self._added, key))

    def pop_due(self, now: float) -> Iterator[Key]:
        """Remove and yield the keys that are due, including timers added for ``now`` meanwhile."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def next_due(self) -> float:
        """Return the earliest due time; ``math.inf`` if there is no timer."""
        return self._heap[0][0] if self._heap else math.inf
