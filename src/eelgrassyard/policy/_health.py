"""Health of upstreams: when one is taken out of use and when it is tried again."""

from __future__ import annotations

import enum
import math
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

FAILURE_RATIO = 0.5
"""Failure ratio that ejects an upstream, if it is also twice that of the pool."""

RATIO_WINDOW = 20.0
RATIO_MIN_RESULTS = 10.0

FAILURES_BEFORE_LIMIT = 2
"""Failures in a row from which on the slots in use are halved with each failure. One failure alone
is common where tasks may fail by themselves."""

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

BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 5.0

NOT_STARTED_LIMIT = 4
"""Refused starts in a row, with no answer in between, after which an upstream is unreachable."""


@dataclass(slots=True)
class Health:
    """What the recent starts of one upstream say.

    :param ok: successful starts, in a window of ``RATIO_WINDOW`` results.
    :param ended_at: time of the last successful start, or of the first start after a pause.
    """

    consecutive: int = 0
    ok: float = 0.0
    failed: float = 0.0
    ended_at: float = -math.inf
    not_started: int = 0
    probe_interval_s: float = PROBE_FIRST_S
    probe_at: float = math.inf
    restored_at: float = -math.inf

    def note_ok(self, now: float) -> None:
        """Count a successful start."""
        self._decay()
        self.ok += 1.0
        self.consecutive = 0
        self.not_started = 0
        self.ended_at = now

    def note_failure(self) -> None:
        """Count a failed start."""
        self._decay()
        self.failed += 1.0
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

    def is_failing(self, pool_ratio: float) -> bool:
        """Tell whether the failures justify an ejection.

        :param pool_ratio: mean failure ratio of the upstreams of the pool.
        """
        if self.consecutive >= consecutive_limit(pool_ratio):
            return True
        enough = self.ok + self.failed >= RATIO_MIN_RESULTS and self.consecutive > 0
        return enough and self.failure_ratio >= max(FAILURE_RATIO, 2.0 * pool_ratio)

    @property
    def is_refusing(self) -> bool:
        """Tell whether so many starts in a row were refused that it counts as unreachable."""
        return self.not_started >= NOT_STARTED_LIMIT

    def slots_limit(self, slots: int) -> int:
        """Slots to use at most after the latest failures."""
        halvings = self.consecutive - FAILURES_BEFORE_LIMIT + 1
        return slots if halvings <= 0 else max(1, slots >> min(halvings, 30))

    def schedule_probe(self, now: float, *, first: bool) -> None:
        """Set the time of the next probe, at growing intervals."""
        if first and now - self.restored_at > RELAPSE_S:
            self.probe_interval_s = PROBE_FIRST_S
        else:
            self.probe_interval_s = min(PROBE_MAX_S, self.probe_interval_s * PROBE_GROWTH)
        self.probe_at = now + self.probe_interval_s

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
