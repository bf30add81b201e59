"""Runs that a leader takes for over without the word of their worker, and what refutes it.

A run on a worker that cannot be reached counts as over when its leases have expired, so that its
task can start elsewhere. If that was wrong, the worker tells so when it answers again.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._jobs import TaskId

MEMORY_S = 60.0
"""Time for which such runs are remembered. Workers are cut off for seconds."""

FORGET_INTERVAL_S = 1.0
"""Interval at which old ones are looked for."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PresumedEnd:
    """A run that is taken for over.

    :param at: time in seconds from which it counts as over.
    :param reason: why.
    """

    at: float
    reason: str


class PresumedEnds:
    """Remembers the presumed ends of runs for ``MEMORY_S``."""

    def __init__(self) -> None:
        self._end_by_run: dict[tuple[str, TaskId, int], PresumedEnd] = {}
        self._forget_at = 0.0

    def record(self, now: float, worker_id: str, task_id: TaskId, run: int, reason: str) -> None:
        """Record that a run is taken for over from now on."""
        self._end_by_run[worker_id, task_id, run] = PresumedEnd(at=now, reason=reason)

    def take(self, worker_id: str, task_id: TaskId, run: int) -> PresumedEnd | None:
        """Forget the presumed end of a run that its worker lists, and return it."""
        return self._end_by_run.pop((worker_id, task_id, run), None)

    def advance(self, now: float) -> None:
        """Forget old presumed ends."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_S
        for key, end in list(self._end_by_run.items()):
            if end.at < now - MEMORY_S:
                del self._end_by_run[key]
