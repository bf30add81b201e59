"""A priority queue whose entries can be updated and removed."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Priority = tuple[float, ...]

MIN_STALE_ENTRIES = 64
"""Stale heap entries allowed, besides one per key, before the heap is rebuilt."""


class PriorityQueue(Generic[Key]):
    """Min-heap of keys by priority; ``set``, ``discard`` and ``first`` take amortised O(log n).

    Updated and removed entries stay in the heap until they reach the top or the heap is rebuilt.
    Equal priorities are served in the order in which they were set.
    """

    def __init__(self) -> None:
        self._live_by_key: dict[Key, tuple[Priority, int]] = {}
        self._heap: list[tuple[Priority, int, Key]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._live_by_key)

    def __contains__(self, key: Key) -> bool:
        return key in self._live_by_key

    def set(self, key: Key, priority: Priority) -> None:
        """Insert a key or change its priority; with an unchanged priority it keeps its position."""
        live = self._live_by_key.get(key)
        if live is not None and live[0] == priority:
            return
        self._sequence += 1
        self._live_by_key[key] = (priority, self._sequence)
        heapq.heappush(self._heap, (priority, self._sequence, key))
        if len(self._heap) > 2 * len(self._live_by_key) + MIN_STALE_ENTRIES:
            self._heap = [(r, s, k) for k, (r, s) in self._live_by_key.items()]
            heapq.heapify(self._heap)

    def discard(self, key: Key) -> None:
        """Remove a key if it is present."""
        self._live_by_key.pop(key, None)

    def first(self) -> tuple[Priority, Key] | None:
        """Smallest priority and its key, or None."""
        while self._heap:
            priority, sequence, key = self._heap[0]
            if self._live_by_key.get(key) == (priority, sequence):
                return priority, key
            heapq.heappop(self._heap)
        return None

    def find(self, wanted: Callable[[Key], bool]) -> Key | None:
        """First key in order for which ``wanted`` returns True; each step takes O(log n).

        ``wanted`` must not modify the queue.
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
