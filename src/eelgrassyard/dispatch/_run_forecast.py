"""Forecast of the remaining time of a run, and the real run times of each kind.

The load that this answers is work whose declared run times are off by up to 40%, and kinds in which
a few tasks take several times as long as usual: a long task that makes progress is not taken for a
stuck one, and its end is known early enough to plan with.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

DECLARED_ERROR = 0.4
"""Relative error of declared run times; the spread that is assumed of a kind until it is known."""

MIN_SPREAD = 0.1
"""Lower limit of a spread; tasks of equal size still differ by the other load of their worker."""

WINDOW_RUNS = 60.0
"""Window of the moving averages of a kind, in runs. With a standard deviation of the mean's size,
as in kinds with a long tail, it leaves an error of about 13%."""

PRIOR_RUNS = 4.0
"""Weight of the assumed ratio and spread, in runs of the size of the first one."""

MAX_RUN_RATIO = 20.0
"""Upper limit of the ratio of a single run; a run that stood still says little about its kind."""

MIN_RATIO, MAX_RATIO = 0.25, 4.0
"""Limits of a learned ratio; a larger deviation is more likely a fault than a property of
the kind."""

MAX_KINDS = 4_096
"""Kinds that are kept; beyond this the one that was added first is dropped. The largest known
configuration has 1,400."""

PERCENT_ERROR = 0.5
"""Mean error of a reported percentage, which is rounded down: the true one is this much higher."""

PACE_ERROR = 0.1
"""Relative error of a total that is derived from progress at its start, as tasks do not progress
evenly; it falls to 0 at the end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunTimeRatio:
    """Real run time of a kind as a multiple of the declared one on a worker of the same slowness.

    :param mean: ratio of the sums, not the mean of single ratios, which is too high.
    :param spread: standard deviation of the ratio as a multiple of its mean.
    """

    mean: float = 1.0
    spread: float = DECLARED_ERROR


UNKNOWN_RATIO = RunTimeRatio()


@dataclass(slots=True)
class _RatioSums:
    """Decayed sums over ended runs: expected and real seconds, and real ones times their ratio."""

    expected_s: float
    real_s: float
    real_s_by_ratio: float


class KindRunTimes:
    """Learns the ratio of real to expected run time of each kind from ended runs.

    The expected time is the declared one times the worker's learned slowness, so that the speed of
    a worker, and an error that all kinds share, count in :class:`Worker` only.
    """

    def __init__(self) -> None:
        self._sums_by_kind: dict[str, _RatioSums] = {}

    def __len__(self) -> int:
        return len(self._sums_by_kind)

    def add(self, kind: str, *, real_s: float, expected_s: float) -> None:
        """Learn from a run that ended well.

        :param expected_s: declared run time times the slowness that was known of its worker before.
        """
        real_s = min(real_s, MAX_RUN_RATIO * expected_s)
        sums = self._sums_by_kind.get(kind)
        if sums is None:
            if len(self._sums_by_kind) >= MAX_KINDS:
                del self._sums_by_kind[next(iter(self._sums_by_kind))]
            prior_s = PRIOR_RUNS * expected_s
            sums = _RatioSums(prior_s, prior_s, prior_s * (1.0 + DECLARED_ERROR**2))
            self._sums_by_kind[kind] = sums
        keep = 1.0 - 1.0 / WINDOW_RUNS
        sums.expected_s = sums.expected_s * keep + expected_s
        sums.real_s = sums.real_s * keep + real_s
        sums.real_s_by_ratio = sums.real_s_by_ratio * keep + real_s * real_s / expected_s

    def ratio_of(self, kind: str) -> RunTimeRatio:
        """Learned ratio of a kind; the declared one if no run of it has ended."""
        sums = self._sums_by_kind.get(kind)
        if sums is None:
            return UNKNOWN_RATIO
        mean = sums.real_s / sums.expected_s
        variance = sums.real_s_by_ratio / sums.expected_s - mean * mean
        return RunTimeRatio(
            mean=min(MAX_RATIO, max(MIN_RATIO, mean)),
            spread=max(MIN_SPREAD, math.sqrt(max(0.0, variance)) / mean),
        )

    def dump(self) -> dict[str, dict[str, float]]:
        """Learned ratio and spread by kind, for operators."""
        ratios = {kind: self.ratio_of(kind) for kind in self._sums_by_kind}
        return {
            kind: {"ratio": round(ratio.mean, 3), "spread": round(ratio.spread, 3)}
            for kind, ratio in ratios.items()
        }


def forecast_left_s(
    *, estimate_s: float, slowness: float, ratio: RunTimeRatio, elapsed_s: float, percent: int
) -> float:
    """Forecast the remaining seconds of a run.

    The total that follows from the progress and the one that its kind suggests are averaged on a
    logarithmic scale, each weighted by the inverse of its squared relative error. So the progress
    counts more the further it is, and the more the run times of the kind vary.

    :param estimate_s: declared run time.
    :param slowness: learned slowness of the worker.
    :param percent: reported progress; 0 says nothing yet.
    """
    usual_s = estimate_s * slowness * ratio.mean
    if percent <= 0:
        # Beyond its usual time a run is expected to take as long again as it is overdue; half the
        # spread is about what is left of a run at its usual time.
        return max(usual_s - elapsed_s, 0.5 * ratio.spread * usual_s, elapsed_s - usual_s)
    share = min(1.0, (percent + PERCENT_ERROR) / 100.0)
    if share >= 1.0 or elapsed_s <= 0.0:
        return max(0.0, usual_s - elapsed_s) * (1.0 - share)
    error = PERCENT_ERROR / percent + PACE_ERROR * (1.0 - share)
    weight = ratio.spread**2 / (ratio.spread**2 + error**2)
    # The total is no less than the elapsed time, whatever the kind suggests.
    known_s = max(usual_s, elapsed_s)
    total_s = known_s * math.pow(elapsed_s / share / known_s, weight)
    return max(0.0, total_s - elapsed_s)
