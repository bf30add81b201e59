"""When an owner asks for places again."""

from __future__ import annotations

from collections.abc import Iterator

from ._config import Limits
from ._ownedstate import Submission
from ._system import ConfigView
from ._timers import TimerQueue

MAX_AVOIDED = 4
"""Upstreams that one ask may exclude; more could exclude a whole small pool."""

MAX_ASK_INTERVAL_S = 8.0
"""Repeats of an unanswered ask back off to this, as a long queue is no fault."""

FIRST_DELAY_S = 0.02
"""Delay before asking again for a start that was not made twice; doubles up to ``MAX_DELAY_S``."""

MAX_DELAY_S = 1.0

_DEFAULT_LIMITS = Limits()


class SlotRetries:
    """Timers of repeated asks: for those unanswered, and for tasks whose start was not made."""

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config
        self._unanswered: TimerQueue[tuple[Submission, int]] = TimerQueue()
        self._delayed: TimerQueue[tuple[Submission, int]] = TimerQueue()

    def note_ask(self, now: float, submission: Submission) -> None:
        """Plan the repeat of an ask that was just sent."""
        config = self._config.current
        limits = _DEFAULT_LIMITS if config is None else config.limits
        backoff = limits.ask_timeout_s * 2.0 ** min(submission.attempt, 10)
        due = now + min(MAX_ASK_INTERVAL_S, backoff)
        self._unanswered.add(due, (submission, submission.attempt))

    def ask_again(self, now: float, submission: Submission, upstream: str) -> None:
        """Ask for a task whose start on ``upstream`` was not made or failed; first time at once.

        Tasks that end meanwhile are in the same ask.
        """
        others = [name for name in submission.avoid if name != upstream]
        submission.avoid = (*others, upstream)[-MAX_AVOIDED:]
        if submission.reask_due:
            return
        delay = FIRST_DELAY_S * 2.0 ** min(submission.reasks - 1, 10)
        self.ask_later(now + (min(MAX_DELAY_S, delay) if submission.reasks else 0.0), submission)

    def ask_later(self, due: float, submission: Submission) -> None:
        """Ask at a given time."""
        submission.reask_due = True
        submission.reasks += 1
        self._delayed.add(due, (submission, submission.reasks))

    def take_due(self, now: float) -> Iterator[Submission]:
        """Submissions that must ask now for the tasks that wait."""
        for submission, number in self._delayed.pop_due(now):
            if submission.reasks == number:
                submission.reask_due = False
                if _is_waiting(submission):
                    yield submission
        for submission, attempt in self._unanswered.pop_due(now):
            if submission.attempt == attempt and _is_waiting(submission):
                yield submission

    def next_wake(self) -> float:
        """Time of the next repeat."""
        return min(self._unanswered.next_due(), self._delayed.next_due())


def _is_waiting(submission: Submission) -> bool:
    return submission.outcome is None and submission.waiting > 0
