"""Health checks of upstreams: outlier ejection, stalls, and the schedule of recovery probes."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass


class UpstreamState(enum.StrEnum):
    """Whether an upstream gets new work."""

    LIVE = "live"
    LEAVING = "leaving"
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"


CONSECUTIVE_FAILURES = 5
"""Consecutive failures that eject an upstream when the rest of its pool is healthy."""

STREAK_SIGNIFICANCE = 1e-4
"""Significance level: consecutive failures eject an upstream only if their probability at the
pool's failure ratio is below this, so tasks that fail everywhere do not eject upstreams."""

MAX_CONSECUTIVE_FAILURES = 60
"""Upper bound on the consecutive failures needed, however high the pool's failure ratio is."""

SINGLE_CALLER_FACTOR = 4
"""Factor on the consecutive failures needed if all are of one caller: its tasks may be at fault."""

EJECTION_FAILURE_RATIO = 0.5
"""Failure ratio that ejects an upstream if it also exceeds that of the pool significantly."""

RATIO_STD_DEVIATIONS = 4.0
"""Standard deviations above the pool's failure ratio that count as significant."""

RATIO_WINDOW_RESULTS = 30.0
"""Window of the moving failure ratio, in results."""

RATIO_MIN_RESULTS = 10.0
"""Results needed to judge a ratio; doubled if all failures of the current streak are of one
caller."""

LIMIT_HALVINGS = 4
"""Each of this many failures before an ejection halves the concurrency limit, so that less work is
lost before the failures are significant."""

STALL_FACTOR = 5.0
"""An upstream has stalled if no start finishes for this multiple of the expected run time."""

STALL_MIN_S = 0.75
"""Shortest time that counts as a stall. Shorter pauses of a few hundred milliseconds, such as
garbage collection or network congestion, are transient."""

PROBE_FIRST_S = 1.0
"""Time to the first probe of an upstream taken out of use, unless that is a relapse."""

PROBE_MAX_S = 30.0
PROBE_INTERVAL_FACTOR = 2.0
"""Exponential backoff of probes: factor on the interval after each failed one."""

RELAPSE_WINDOW_S = 60.0
"""An upstream ejected again within this time of its return keeps increasing its probe interval."""

MAX_PROBES_NEEDED = 3
"""Most consecutive probes that must succeed after repeated relapses. An upstream that fails two
tasks of three often passes a single probe."""

POOL_RATIO_TIME_CONSTANT_S = 1.0
"""Time constant of the moving average of the pool's failure ratio. Each update weights all
upstreams with results equally, so one that fails fast has little influence."""

POOL_RATIO_MIN_UPSTREAMS = 4
"""Least number of upstreams that the pool's failure ratio is averaged over. Missing ones count as
healthy, so that a single upstream in use does not stand for the whole pool."""

BACKOFF_FIRST_S = 0.05
"""Base of the backoff after refused starts, which doubles with each refusal."""

BACKOFF_MAX_S = 5.0

MAX_CONSECUTIVE_REFUSALS = 4
"""Consecutive refused starts, without a success or failure in between, after which an upstream is
unreachable."""


@dataclass(slots=True)
class Health:
    """Tracks the results of the recent starts of one upstream and its probe schedule.

    :param consecutive_failures: length of the current streak of failures.
    :param streak_caller: caller of the first failure of the streak.
    :param streak_started_at: time at which the start with that failure was granted.
    :param single_caller: whether all failures of the streak are of ``streak_caller``.
    :param relapses: ejections within ``RELAPSE_WINDOW_S`` of the upstream's return to use.
    :param probes_passed: consecutive successful probes.
    :param ok: successful starts, decayed to a window of ``RATIO_WINDOW_RESULTS`` results.
    :param failed: failed starts, likewise.
    :param recent_ok: successful starts since the last update of the pool's failure ratio.
    :param recent_failed: failed starts, likewise.
    :param last_progress_at: time of the latest successful start, start after an idle time, or
        return to use.
    :param consecutive_refusals: refused starts since the last success or failure.
    :param probe_at: time of the next probe.
    :param restored_at: time of the last return to use.
    """

    consecutive_failures: int = 0
    streak_caller: str = ""
    streak_started_at: float = -math.inf
    single_caller: bool = True
    relapses: int = 0
    probes_passed: int = 0
    ok: float = 0.0
    failed: float = 0.0
    recent_ok: int = 0
    recent_failed: int = 0
    last_progress_at: float = -math.inf
    consecutive_refusals: int = 0
    probe_interval_s: float = PROBE_FIRST_S
    probe_at: float = math.inf
    restored_at: float = -math.inf

    def record_success(self, now: float, started_at: float) -> bool:
        """Count a successful start and return whether no streak of failures remains.

        A start granted before the first failure of the streak does not end it, because it is no
        evidence of the upstream's state since.
        """
        self._decay()
        self.ok += 1.0
        self.recent_ok += 1
        self.consecutive_refusals = 0
        self.last_progress_at = now
        if self.consecutive_failures and started_at < self.streak_started_at:
            return False
        self.consecutive_failures = 0
        return True

    def record_failure(self, caller: str, started_at: float) -> None:
        """Count a failed start.

        :param caller: caller whose task failed.
        :param started_at: time at which the start was granted.
        """
        self._decay()
        self.failed += 1.0
        self.recent_failed += 1
        if self.consecutive_failures == 0:
            self.streak_caller = caller
            self.streak_started_at = started_at
            self.single_caller = True
        elif caller != self.streak_caller:
            self.single_caller = False
        self.consecutive_failures += 1
        self.consecutive_refusals = 0

    def _decay(self) -> None:
        if self.ok + self.failed >= RATIO_WINDOW_RESULTS - 1.0:
            self.ok *= 1.0 - 1.0 / RATIO_WINDOW_RESULTS
            self.failed *= 1.0 - 1.0 / RATIO_WINDOW_RESULTS

    @property
    def failure_ratio(self) -> float:
        """Moving ratio of failed to all finished starts."""
        total = self.ok + self.failed
        return self.failed / total if total else 0.0

    def pop_recent_failure_ratio(self) -> float | None:
        """Return the failure ratio since the last call, or None if no start finished."""
        total = self.recent_ok + self.recent_failed
        ratio = self.recent_failed / total if total else None
        self.recent_ok = self.recent_failed = 0
        return ratio

    def is_failing(self, pool_ratio: float) -> bool:
        """Tell whether the failures justify an ejection.

        :param pool_ratio: mean failure ratio of the upstreams of the pool.
        """
        if self.consecutive_failures >= self._ejection_streak(pool_ratio):
            return True
        results = self.ok + self.failed
        enough = RATIO_MIN_RESULTS * (2 if self.single_caller else 1)
        if results < enough or self.consecutive_failures == 0:
            return False
        chance = RATIO_STD_DEVIATIONS * math.sqrt(pool_ratio * (1.0 - pool_ratio) / results)
        return self.failure_ratio >= max(EJECTION_FAILURE_RATIO, pool_ratio + chance)

    @property
    def refuses_starts(self) -> bool:
        """Whether enough consecutive starts were refused to count as unreachable."""
        return self.consecutive_refusals >= MAX_CONSECUTIVE_REFUSALS

    def reduced_slots(self, slots: int, pool_ratio: float) -> int:
        """``slots``, halved for each of the last failures before an ejection; at least 1."""
        halvings = self.consecutive_failures - self._ejection_streak(pool_ratio) + LIMIT_HALVINGS
        return slots if halvings <= 0 else max(1, slots >> min(halvings, 30))

    def _ejection_streak(self, pool_ratio: float) -> int:
        limit = ejection_streak(pool_ratio)
        return limit * SINGLE_CALLER_FACTOR if self.single_caller else limit

    def schedule_probe(self, now: float, *, first: bool) -> None:
        """Set the time of the next probe, with exponential backoff.

        :param first: whether the upstream was just taken out of use; otherwise a probe failed.
        """
        self.probes_passed = 0
        if first and now - self.restored_at > RELAPSE_WINDOW_S:
            self.relapses = 0
            self.probe_interval_s = PROBE_FIRST_S
        else:
            self.relapses += first
            self.probe_interval_s = min(PROBE_MAX_S, self.probe_interval_s * PROBE_INTERVAL_FACTOR)
        self.probe_at = now + self.probe_interval_s

    def record_probe_success(self, now: float) -> bool:
        """Count a successful probe and return whether no further one is needed."""
        self.probes_passed += 1
        if self.probes_passed > min(self.relapses, MAX_PROBES_NEEDED - 1):
            return True
        self.probe_at = now
        return False

    def restore(self, now: float) -> None:
        """Clear the failures when the upstream returns to use."""
        self.consecutive_failures = 0
        self.consecutive_refusals = 0
        self.ok = self.failed = 0.0
        self.probe_at = math.inf
        self.restored_at = now

    def backoff_s(self) -> float:
        """Seconds to wait after a refused start, with exponential backoff."""
        return float(
            min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2.0 ** min(self.consecutive_refusals, 10))
        )


def ejection_streak(pool_ratio: float) -> int:
    """Number of consecutive failures that is significant at the pool's failure ratio."""
    if pool_ratio <= 0.0:
        return CONSECUTIVE_FAILURES
    if pool_ratio >= 0.99:
        return MAX_CONSECUTIVE_FAILURES
    needed = math.ceil(math.log(STREAK_SIGNIFICANCE) / math.log(pool_ratio))
    return min(MAX_CONSECUTIVE_FAILURES, max(CONSECUTIVE_FAILURES, needed))


def has_stalled(
    *, now: float, oldest_start: float, overdue: int, last_progress_at: float, expected_s: float
) -> bool:
    """Tell whether no start of an upstream finished for far longer than expected.

    :param oldest_start: time of the start whose age is compared with the bound.
    :param overdue: starts in progress that may be overdue; a single one may be a long task.
    :param last_progress_at: time of the last successful start.
    """
    bound = max(STALL_MIN_S, STALL_FACTOR * expected_s)
    return overdue >= 2 and now - oldest_start > bound and now - last_progress_at > bound


class PoolFailureRatio:
    """Moving average of the failure ratio of a pool.

    :ivar ratio: mean of the upstreams' ratios, averaged over ``POOL_RATIO_TIME_CONSTANT_S``.
    """

    def __init__(self) -> None:
        self.ratio = 0.0
        self._updated_at = -math.inf

    def update(self, now: float, healths: Iterable[Health]) -> None:
        """Add the results since the last call."""
        recent = (health.pop_recent_failure_ratio() for health in healths)
        ratios = [ratio for ratio in recent if ratio is not None]
        if not ratios:
            return
        mean = sum(ratios) / max(len(ratios), POOL_RATIO_MIN_UPSTREAMS)
        keep = math.exp((self._updated_at - now) / POOL_RATIO_TIME_CONSTANT_S)
        self.ratio = mean + (self.ratio - mean) * keep
        self._updated_at = now
