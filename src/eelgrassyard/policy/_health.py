"""Health of upstreams: when one is taken out of use and when it is tried again."""

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
"""Failures in a row that eject an upstream of an otherwise healthy pool."""

CHANCE_FAILURES = 1e-4
"""Failures in a row eject only if they were less likely than this at the pool's failure ratio, so
tasks that fail everywhere do not eject upstreams."""

MAX_CONSECUTIVE_FAILURES = 60

ONE_CALLER_FACTOR = 4
"""Failures in a row of a single caller count this much less: its tasks may fail by themselves."""

FAILURE_RATIO = 0.5
"""Failure ratio that ejects an upstream, if it is also well above that of the pool."""

RATIO_DEVIATIONS = 4.0
"""Standard deviations above the pool's failure ratio that are not taken for chance."""

RATIO_WINDOW = 30.0
RATIO_MIN_RESULTS = 10.0
"""Results needed for a ratio, and twice as many if one caller has all of the latest failures."""

HALVINGS = 4
"""The last failures in a row before an ejection halve the slots in use, so less work is lost while
the evidence grows."""

STALL_FACTOR = 5.0
"""An upstream that ends nothing for this multiple of the expected run time has stalled."""

STALL_MIN_S = 0.75
"""Shortest stall. Pauses of a few hundred milliseconds (garbage collection, a busy network) end by
themselves."""

PROBE_FIRST_S = 1.0
PROBE_MAX_S = 30.0
PROBE_GROWTH = 2.0

RELAPSE_S = 60.0
"""An upstream ejected again within this time goes on with its longer probe interval."""

MAX_PROBES_NEEDED = 3
"""Probes in a row that must succeed after repeated relapses; an upstream that fails two tasks of
three passes a single probe often."""

POOL_RATIO_S = 1.0
"""Time over which the pool's failure ratio is averaged. In each check every upstream with results
counts the same, so one that fails fast hardly moves it."""

POOL_RATIO_MIN_UPSTREAMS = 4
"""With fewer upstreams in use, the others count as healthy; one in use is not the whole pool."""

BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 5.0

NOT_STARTED_LIMIT = 4
"""Refused starts in a row, with no answer in between, after which an upstream is unreachable."""


@dataclass(slots=True)
class Health:
    """What the recent starts of one upstream say.

    :param ok: successful starts, in a window of ``RATIO_WINDOW`` results.
    :param streak_caller: caller of the first failure in a row; ``one_caller`` if of all.
    :param streak_from: time at which the start with that failure was made.
    :param relapses: ejections soon after the upstream was taken back.
    :param ended_at: time of the last successful start, or of the first start after a pause.
    """

    consecutive: int = 0
    streak_caller: str = ""
    streak_from: float = -math.inf
    one_caller: bool = True
    relapses: int = 0
    probes_passed: int = 0
    ok: float = 0.0
    failed: float = 0.0
    recent_ok: int = 0
    recent_failed: int = 0
    ended_at: float = -math.inf
    not_started: int = 0
    probe_interval_s: float = PROBE_FIRST_S
    probe_at: float = math.inf
    restored_at: float = -math.inf

    def note_ok(self, now: float, started_at: float) -> bool:
        """Count a successful start; returns whether it ends the failures in a row.

        A start that was made before the first of those failures says nothing about the time since.
        """
        self._decay()
        self.ok += 1.0
        self.recent_ok += 1
        self.not_started = 0
        self.ended_at = now
        if self.consecutive and started_at < self.streak_from:
            return False
        self.consecutive = 0
        return True

    def note_failure(self, caller: str, started_at: float) -> None:
        """Count a failed start of a caller's task."""
        self._decay()
        self.failed += 1.0
        self.recent_failed += 1
        if self.consecutive == 0:
            self.streak_caller = caller
            self.streak_from = started_at
            self.one_caller = True
        elif caller != self.streak_caller:
            self.one_caller = False
        self.consecutive += 1
        self.not_started = 0

    def _decay(self) -> None:
        if self.ok + self.failed >= RATIO_WINDOW - 1.0:
            self.ok *= 1.0 - 1.0 / RATIO_WINDOW
            self.failed *= 1.0 - 1.0 / RATIO_WINDOW

    @property
    def failure_ratio(self) -> float:
        """Part of the recent starts that failed."""
        total = self.ok + self.failed
        return self.failed / total if total else 0.0

    def take_recent_ratio(self) -> float | None:
        """Failure ratio since the last call, or None if nothing ended."""
        total = self.recent_ok + self.recent_failed
        ratio = self.recent_failed / total if total else None
        self.recent_ok = self.recent_failed = 0
        return ratio

    def is_failing(self, pool_ratio: float) -> bool:
        """Tell whether the failures justify an ejection.

        :param pool_ratio: mean failure ratio of the upstreams of the pool.
        """
        if self.consecutive >= self._ejecting_streak(pool_ratio):
            return True
        results = self.ok + self.failed
        enough = RATIO_MIN_RESULTS * (2 if self.one_caller else 1)
        if results < enough or self.consecutive == 0:
            return False
        chance = RATIO_DEVIATIONS * math.sqrt(pool_ratio * (1.0 - pool_ratio) / results)
        return self.failure_ratio >= max(FAILURE_RATIO, pool_ratio + chance)

    @property
    def is_refusing(self) -> bool:
        """Tell whether so many starts in a row were refused that it counts as unreachable."""
        return self.not_started >= NOT_STARTED_LIMIT

    def slots_limit(self, slots: int, pool_ratio: float) -> int:
        """Slots to use at most: halved with each of the last failures before an ejection."""
        halvings = self.consecutive - self._ejecting_streak(pool_ratio) + HALVINGS
        return slots if halvings <= 0 else max(1, slots >> min(halvings, 30))

    def _ejecting_streak(self, pool_ratio: float) -> int:
        limit = consecutive_limit(pool_ratio)
        return limit * ONE_CALLER_FACTOR if self.one_caller else limit

    def schedule_probe(self, now: float, *, first: bool) -> None:
        """Set the time of the next probe, at growing intervals."""
        self.probes_passed = 0
        if first and now - self.restored_at > RELAPSE_S:
            self.relapses = 0
            self.probe_interval_s = PROBE_FIRST_S
        else:
            self.relapses += first
            self.probe_interval_s = min(PROBE_MAX_S, self.probe_interval_s * PROBE_GROWTH)
        self.probe_at = now + self.probe_interval_s

    def pass_probe(self, now: float) -> bool:
        """Count a successful probe; returns whether they are enough."""
        self.probes_passed += 1
        if self.probes_passed > min(self.relapses, MAX_PROBES_NEEDED - 1):
            return True
        self.probe_at = now
        return False

    def restore(self, now: float) -> None:
        """Forget the failures after a successful probe."""
        self.consecutive = 0
        self.not_started = 0
        self.ok = self.failed = 0.0
        self.probe_at = math.inf
        self.restored_at = now

    def backoff_s(self) -> float:
        """Pause after a start that the upstream refused."""
        return float(min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2.0 ** min(self.not_started, 10)))


def consecutive_limit(pool_ratio: float) -> int:
    """Failures in a row that are unlikely to be chance at the pool's failure ratio."""
    if pool_ratio <= 0.0:
        return CONSECUTIVE_FAILURES
    if pool_ratio >= 0.99:
        return MAX_CONSECUTIVE_FAILURES
    needed = math.ceil(math.log(CHANCE_FAILURES) / math.log(pool_ratio))
    return min(MAX_CONSECUTIVE_FAILURES, max(CONSECUTIVE_FAILURES, needed))


def has_stalled(
    *, now: float, oldest_start: float, overdue: int, ended_at: float, expected_s: float
) -> bool:
    """Tell whether an upstream ended nothing for far longer than expected.

    :param overdue: starts in progress that are beyond the bound; a single one may be a long task.
    """
    bound = max(STALL_MIN_S, STALL_FACTOR * expected_s)
    return overdue >= 2 and now - oldest_start > bound and now - ended_at > bound


class PoolFailures:
    """Failure ratio of a pool as a whole.

    :param ratio: mean of the upstreams' ratios over about the last second.
    """

    def __init__(self) -> None:
        self.ratio = 0.0
        self._updated_at = -math.inf

    def update(self, now: float, healths: Iterable[Health]) -> None:
        """Take the results since the last call."""
        recent = (health.take_recent_ratio() for health in healths)
        ratios = [ratio for ratio in recent if ratio is not None]
        if not ratios:
            return
        mean = sum(ratios) / max(len(ratios), POOL_RATIO_MIN_UPSTREAMS)
        keep = math.exp((self._updated_at - now) / POOL_RATIO_S)
        self.ratio = mean + (self.ratio - mean) * keep
        self._updated_at = now
