"""Leases of running tasks on guarded workers."""

from __future__ import annotations

import math
from collections import defaultdict

from ._actions import Action, RenewLeases

RENEWALS_PER_LEASE = 3.0


class Leases:
    """Renews the leases of all running tasks, one action for each worker."""

    def __init__(self) -> None:
        self._task_by_start_by_upstream: defaultdict[str, dict[int, str]] = defaultdict(dict)
        self._next_at = math.inf

    def add(self, now: float, upstream: str, start: int, task: str, lease_s: float) -> None:
        """Keep the lease of a started task."""
        self._task_by_start_by_upstream[upstream][start] = task
        self._next_at = min(self._next_at, now + lease_s / RENEWALS_PER_LEASE)

    def remove(self, upstream: str, start: int) -> None:
        """Let the lease of a task go."""
        tasks = self._task_by_start_by_upstream.get(upstream)
        if tasks is not None:
            tasks.pop(start, None)
            if not tasks:
                del self._task_by_start_by_upstream[upstream]

    def advance(self, now: float, lease_s: float, out: list[Action]) -> None:
        """Renew when a third of the lease time has passed."""
        if now < self._next_at:
            return
        for upstream, tasks in self._task_by_start_by_upstream.items():
            names = tuple(tasks.values())
            out.append(RenewLeases(upstream=upstream, tasks=names, lease_s=lease_s))
        busy = bool(self._task_by_start_by_upstream)
        self._next_at = now + lease_s / RENEWALS_PER_LEASE if busy else math.inf

    def next_wake(self) -> float:
        """Time of the next renewal."""
        return self._next_at
