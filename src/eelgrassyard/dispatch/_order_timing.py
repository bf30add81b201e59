"""Time that orders take to workers and back, as measured.

The load that this answers is more orders than the host's link carries: answers then wait in the
link's queue. A fixed timeout takes workers that answer for silent, stops their runs and starts the
tasks again, which fills the link further. The timeout follows the measured time instead, and jobs
that would be late by that time are refused before anything is sent for them.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_TIMEOUT_S = 0.05
"""Timeout of an order on an idle link. Workers answer in about 3 ms. A start without an answer is
stopped, which takes 0.07 s, before the task starts elsewhere; a task of 0.2 s with an objective of
0.38 s is then still on time on a worker of mean speed."""

MAX_TIMEOUT_S = 0.35
"""Longest timeout of an order. With it a silent worker is found before the lease of 0.8 s that the
order granted has expired."""

TIMEOUT_FACTOR = 3.0
"""Timeout as a multiple of the usual time."""

BACKOFF_FACTOR = 2.0
"""Increase of the timeout after an order without an answer. An order that is slower than the
timeout adds nothing to the average, so without the increase a link that becomes slow would leave
all further orders unanswered."""

BACKOFF_RECOVERY = 0.9
"""Factor on the increased timeout after each answer."""

MIN_POLL_MARGIN_S = 0.2
"""Shortest timeout of a poll beyond its long-poll time. A worker that counts as silent gets no
work, and a poll is retried before the leases of 0.8 s expire."""

POLL_MARGIN_FACTOR = 2.0
"""Timeout of a poll beyond its long-poll time, as a multiple of the timeout of an order."""

MAX_POLL_MARGIN_S = 0.4
"""Longest such margin. A poll that takes 0.3 s and this long is still followed by another one
before the leases of 0.8 s expire."""

SMOOTHING = 0.1
"""Weight of one answer in the moving average; a burst of ten orders moves it by two thirds."""

STALE_AFTER_S = 0.1
"""Time without an answered order after which the average counts as outdated."""

STALE_HALF_LIFE_S = 0.2
"""Time in which an outdated average loses half of its excess over the time of an idle link."""

USUAL_S = 0.003

CONGESTED_S = 0.03
"""Usual time from which the link counts as congested; half of the constant part of an objective of
60 ms."""


@dataclass(slots=True, kw_only=True)
class OrderTiming:
    """Moving average of the time from an order to its answer.

    :param usual_s: the average.
    :param answered_at: when the last order was answered.
    :param advanced_at: when the average was last advanced.
    :param backoff_s: lower limit of the timeout after orders without an answer.
    """

    usual_s: float = USUAL_S
    answered_at: float = 0.0
    advanced_at: float = 0.0
    backoff_s: float = MIN_TIMEOUT_S

    def advance(self, now: float) -> None:
        """Let an outdated average decay. While it is high, jobs are refused and nothing is sent for
        them, so that no answer would ever correct it."""
        elapsed_s = now - self.advanced_at
        self.advanced_at = now
        if now - self.answered_at > STALE_AFTER_S and self.usual_s > USUAL_S:
            excess_s = self.usual_s - USUAL_S
            self.usual_s = USUAL_S + excess_s * 0.5 ** (elapsed_s / STALE_HALF_LIFE_S)

    def add(self, now: float, took_s: float) -> None:
        """Add an answered order."""
        self.answered_at = now
        self.usual_s += SMOOTHING * (max(0.0, took_s) - self.usual_s)
        self.backoff_s = max(MIN_TIMEOUT_S, BACKOFF_RECOVERY * self.backoff_s)

    def unanswered(self) -> None:
        """Count an order without an answer: further ones get more time."""
        self.backoff_s = min(MAX_TIMEOUT_S, BACKOFF_FACTOR * self.timeout_s())

    def timeout_s(self) -> float:
        """Time after which an order counts as unanswered."""
        return min(MAX_TIMEOUT_S, max(self.backoff_s, TIMEOUT_FACTOR * self.usual_s))

    def poll_margin_s(self) -> float:
        """Time beyond the long-poll time after which a poll counts as unanswered."""
        margin_s = POLL_MARGIN_FACTOR * self.timeout_s()
        return min(MAX_POLL_MARGIN_S, max(MIN_POLL_MARGIN_S, margin_s))

    def is_congested(self) -> bool:
        """Tell whether orders wait in the queue of the host's link."""
        return self.usual_s >= CONGESTED_S

    def delay_s(self) -> float:
        """Time by which orders currently take longer than on an idle link."""
        return max(0.0, self.usual_s - USUAL_S)
