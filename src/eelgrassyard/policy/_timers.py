"""Timers of a system, without a scan over what they belong to."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key")


class TimerQueue(Generic[Key]):
    """A heap of due times. Timers are not cancelled: their keys are checked when they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Key]] = []
        self._added = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: float, key: Key) -> None:
        """Make ``key`` due at a time."""
        self._added += 1
        heapq.heappush(self._heap, (due, self._added, key))

    def pop_due(self, now: float) -> Iterator[Key]:
        """Remove and return what is due; timers added meanwhile for ``now`` are included."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def next_due(self) -> float:
        """Earliest due time; ``math.inf`` if there is none."""
        return self._heap[0][0] if self._heap else math.inf
