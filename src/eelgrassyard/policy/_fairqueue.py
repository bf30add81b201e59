"""Queue of asks for places, shared fairly between flows."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from ._messages import SlotAsk, TaskSize
from ._outcomes import Reason
from ._system import ConfigView

FlowKey = tuple[str, str]
"""Caller and kind of work."""


@dataclass(slots=True, kw_only=True)
class QueuedAsk:
    """An ask with the tasks that have no place yet.

    :param deadline_at: time at which the caller no longer needs the answer.
    """

    owner: str
    ask: SlotAsk
    asked_at: float
    deadline_at: float
    remaining: deque[TaskSize] = field(default_factory=deque)

    @property
    def flow(self) -> FlowKey:
        return (self.ask.caller, self.ask.kind)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueRefusal:
    """Why the queue does not take an ask."""

    reason: Reason
    message: str
    retry_after_s: float | None


class FairQueue:
    """First in, first out for now; the interface is final."""

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config
        self._entries: deque[QueuedAsk] = deque()

    def __len__(self) -> int:
        """Number of tasks that have no place yet."""
        return sum(len(entry.remaining) for entry in self._entries)

    def add(self, now: float, entry: QueuedAsk) -> QueueRefusal | None:
        """Queue an ask, or tell why not (bounds, a wait beyond the deadline)."""
        self._entries.append(entry)
        return None

    def select(self, now: float, *, skip: Collection[FlowKey] = ()) -> QueuedAsk | None:
        """Ask whose task is to be placed next, leaving out the flows in ``skip``."""
        return next((entry for entry in self._entries if entry.flow not in skip), None)

    def take(self, now: float, entry: QueuedAsk, count: int, cost_s: float) -> list[TaskSize]:
        """Remove the first ``count`` tasks of an ask and charge its flow ``cost_s`` for each."""
        taken = [entry.remaining.popleft() for _ in range(count)]
        if not entry.remaining:
            self._entries.remove(entry)
        return taken

    def correct_cost(self, flow: FlowKey, estimated_s: float, actual_s: float) -> None:
        """Replace an estimated charge by the time that the task really took."""

    def withdraw(self, owner: str, submission_id: str) -> int:
        """Remove an ask; returns the number of tasks removed."""
        found = [
            e for e in self._entries if (e.owner, e.ask.submission_id) == (owner, submission_id)
        ]
        for entry in found:
            self._entries.remove(entry)
        return sum(len(entry.remaining) for entry in found)

    def expire(self, now: float) -> list[QueuedAsk]:
        """Remove and return the asks whose deadline has passed."""
        late = [entry for entry in self._entries if entry.deadline_at <= now]
        for entry in late:
            self._entries.remove(entry)
        return late

    def expected_wait(self, now: float, flow: FlowKey) -> float:
        """Seconds that a new task of the flow is expected to wait."""
        return 0.0
