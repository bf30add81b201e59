"""Leases of tasks on guarded workers; a worker stops a task whose lease is not renewed."""

from __future__ import annotations

import math
from collections import defaultdict

from ._actions import Action, RenewLeases

RENEWALS_PER_LEASE = 3.0
"""Renewals within the duration of a lease."""


class Leases:
    """Renews the leases of this host's running tasks, with one action for each worker."""

    def __init__(self) -> None:
        self._task_by_start_by_upstream: defaultdict[str, dict[int, str]] = defaultdict(dict)
        self._next_at = math.inf

    def add(self, now: float, upstream: str, start: int, task: str, lease_s: float) -> None:
        """Renew the lease of a started task from now on."""
        self._task_by_start_by_upstream[upstream][start] = task
        self._next_at = min(self._next_at, now + lease_s / RENEWALS_PER_LEASE)

    def remove(self, upstream: str, start: int) -> None:
        """Stop renewing the lease of a task."""
        tasks = self._task_by_start_by_upstream.get(upstream)
        if tasks is not None:
            tasks.pop(start, None)
            if not tasks:
                del self._task_by_start_by_upstream[upstream]

    def advance(self, now: float, lease_s: float, out: list[Action]) -> None:
        """Renew all leases when a third of the lease time has passed since the last renewal."""
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
