"""Times after which the callers of refused jobs may come back.

The load that this answers is the return of many refused callers at once: with the same hint for all
they come back together and are refused again. The hints spread them over the capacity that the
queue leaves, in the order of the value of their jobs.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MIN_RETRY_S = 1.0
"""Smallest unit of the Retry-After header."""

MAX_RETRY_S = 60.0
"""Longest hint; by then the load is another one."""

MIN_SPARE_RATIO = 0.25
"""Least capacity that counts as left by the queue, as a part of all capacity. Estimates of the
offered load include callers that come back, and must not push the hints to their maximum."""


@dataclass(slots=True, kw_only=True)
class ReturnSchedule:
    """Refused work that may come back, most valuable first."""

    _entries: deque[tuple[float, float, float]] = field(default_factory=deque)
    """Time until which a refused job counts, its value, and its work."""

    def retry_after_s(
        self, now: float, *, value: float, work: float, capacity: float, offered_per_s: float
    ) -> float:
        """Seconds after which the caller of a refused job may come back.

        :param capacity: work a second that the workers can do.
        :param offered_per_s: usual rate of the offered work.
        """
        while self._entries and self._entries[0][0] <= now:
            self._entries.popleft()
        if capacity <= 0.0:
            return MIN_RETRY_S
        spare = max(MIN_SPARE_RATIO * capacity, capacity - offered_per_s)
        ahead = sum(other for _, other_value, other in self._entries if other_value >= value)
        hint_s = min(MAX_RETRY_S, max(MIN_RETRY_S, ahead / spare))
        self._add(now + hint_s, value, work)
        return hint_s

    def _add(self, until: float, value: float, work: float) -> None:
        # Sorted by the end; most hints are longer than those before them.
        later = []
        while self._entries and self._entries[-1][0] > until:
            later.append(self._entries.pop())
        self._entries.append((until, value, work))
        self._entries.extend(reversed(later))
