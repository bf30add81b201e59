"""An ordered table: keys by rank, smallest first."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Priority = tuple[float, ...]

MIN_COMPACT = 64
"""Outdated heap entries that are always tolerated before the heap is rebuilt."""


class PriorityQueue(Generic[Key]):
    """Keys ordered by rank; setting, discarding and finding the first cost O(log n) amortised.

    Equal ranks are ordered by the time at which they were set.
    """

    def __init__(self) -> None:
        self._live_by_key: dict[Key, tuple[Priority, int]] = {}
        self._heap: list[tuple[Priority, int, Key]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._live_by_key)

    def __contains__(self, key: Key) -> bool:
        return key in self._live_by_key

    def set(self, key: Key, rank: Priority) -> None:
        """Insert a key or change its rank; an unchanged rank keeps its order."""
        live = self._live_by_key.get(key)
        if live is not None and live[0] == rank:
            return
        self._sequence += 1
        self._live_by_key[key] = (rank, self._sequence)
        heapq.heappush(self._heap, (rank, self._sequence, key))
        if len(self._heap) > 2 * len(self._live_by_key) + MIN_COMPACT:
            self._heap = [(r, s, k) for k, (r, s) in self._live_by_key.items()]
            heapq.heapify(self._heap)

    def discard(self, key: Key) -> None:
        """Remove a key if it is there."""
        self._live_by_key.pop(key, None)

    def first(self) -> tuple[Priority, Key] | None:
        """Smallest rank and its key, or None."""
        while self._heap:
            rank, sequence, key = self._heap[0]
            if self._live_by_key.get(key) == (rank, sequence):
                return rank, key
            heapq.heappop(self._heap)
        return None

    def find(self, wanted: Callable[[Key], bool]) -> Key | None:
        """First key in order that is wanted; each step costs O(log n).

        ``wanted`` must not change the table.
        """
        passed: list[tuple[Priority, int, Key]] = []
        found: Key | None = None
        while found is None and (top := self.first()) is not None:
            passed.append(heapq.heappop(self._heap))
            if wanted(top[1]):
                found = top[1]
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found
