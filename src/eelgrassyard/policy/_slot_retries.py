"""Timers that repeat or retry slot requests."""

from __future__ import annotations

from collections.abc import Iterator

from ._config import Limits
from ._owned_state import Submission
from ._system import ConfigView
from ._timers import TimerQueue

MAX_AVOIDED = 4
"""Upstreams that one slot request may exclude; more could exclude a whole small pool."""

MAX_RESEND_INTERVAL_S = 8.0
"""Longest interval between repeats of an unanswered slot request.

The interval doubles up to this value, as a long queue is not a failure.
"""

MIN_RETRY_DELAY_S = 0.02
"""Delay before the second retry of a submission; doubles up to ``MAX_RETRY_DELAY_S``.

The first retry is sent at once.
"""

MAX_RETRY_DELAY_S = 1.0

_DEFAULT_LIMITS = Limits()


class SlotRetries:
    """Decides when an owner sends a slot request again.

    A request without an answer is repeated. A task whose start was not made, or failed and may be
    retried, gets a new request.
    """

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config
        self._resend_timers: TimerQueue[tuple[Submission, int]] = TimerQueue()
        self._retry_timers: TimerQueue[tuple[Submission, int]] = TimerQueue()

    def schedule_resend(self, now: float, submission: Submission) -> None:
        """Schedule the repeat of a slot request that was just sent."""
        config = self._config.current
        limits = _DEFAULT_LIMITS if config is None else config.limits
        backoff = limits.ask_timeout_s * 2.0 ** min(submission.attempt, 10)
        due = now + min(MAX_RESEND_INTERVAL_S, backoff)
        self._resend_timers.add(due, (submission, submission.attempt))

    def retry_task(self, now: float, submission: Submission, upstream: str) -> None:
        """Schedule a slot request for a task whose start on ``upstream`` was not made or failed.

        The first retry of a submission is due at once. Tasks that need a retry before the request
        is sent share it.
        """
        others = [name for name in submission.avoid if name != upstream]
        submission.avoid = (*others, upstream)[-MAX_AVOIDED:]
        if submission.slot_retry_scheduled:
            return
        delay = MIN_RETRY_DELAY_S * 2.0 ** min(submission.slot_retries - 1, 10)
        self.schedule_retry(
            now + (min(MAX_RETRY_DELAY_S, delay) if submission.slot_retries else 0.0), submission
        )

    def schedule_retry(self, due: float, submission: Submission) -> None:
        """Schedule a slot request at a given time."""
        submission.slot_retry_scheduled = True
        submission.slot_retries += 1
        self._retry_timers.add(due, (submission, submission.slot_retries))

    def pop_due_submissions(self, now: float) -> Iterator[Submission]:
        """Remove the timers that are due and return the submissions that must request slots now."""
        for submission, number in self._retry_timers.pop_due(now):
            if submission.slot_retries == number:
                submission.slot_retry_scheduled = False
                if _is_waiting(submission):
                    yield submission
        for submission, attempt in self._resend_timers.pop_due(now):
            if submission.attempt == attempt and _is_waiting(submission):
                yield submission

    def next_wake(self) -> float:
        """Time of the next repeat or retry."""
        return min(self._resend_timers.next_due(), self._retry_timers.next_due())


def _is_waiting(submission: Submission) -> bool:
    return submission.outcome is None and submission.tasks_waiting > 0
