"""Estimates of upstream speeds and of the work of each kind, from successful runs only.

The work of a kind is its run time on an upstream of speed 1.0. The slowness of an upstream is the
inverse of its speed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SPEED_CLASS_RATIO = 1.15
"""Ratio between the speeds of adjacent classes. Speeds in a range of 1:4 fall into about ten
classes, all of which are considered for each choice."""

_LOG_SPEED_CLASS_RATIO = math.log(SPEED_CLASS_RATIO)

MIN_SPEED = 0.02
"""Lower limit on an estimated speed, as a multiple of the pool's average."""

MAX_SPEED = 50.0
"""Upper limit on an estimated speed, as a multiple of the pool's average."""

UPSTREAM_WINDOW_RUNS = 60.0
"""Window of the moving average of an upstream's slowness, in runs. The standard deviation of the
run times of a kind is about half of their mean, so 60 runs give an error of about 7%, half of a
class."""

KIND_WINDOW_RUNS = 200.0
"""Window of the moving average of a kind's work, in runs."""

PRIOR_RUNS = 2.0
"""Weight of a prior estimate, in runs: a speed from a digest or else the pool's average, or the
declared run time of a kind."""

DECAY_FACTOR = 0.6
"""Factor on the weight of earlier runs after an idle interval, or while runs are outliers."""

OUTLIER_RATIO = 4.0
OUTLIERS_BEFORE_DECAY = 3
"""A run is an outlier if its time is at least ``OUTLIER_RATIO`` times as long or as short as
expected. From this many consecutive outliers in the same direction on, the speed has probably
changed, and earlier runs lose weight. Single outliers are common in kinds whose run times vary
widely."""

MIN_WORK_S = 1e-4
"""Lower limit on the declared work of a kind."""

KIND_PRIOR_RUNS = 8.0
"""Weight of an upstream's overall slowness in the estimate for one kind, in runs."""


@dataclass(slots=True)
class _MovingAverage:
    """Weighted mean, with exponential decay once the weight reaches the window."""

    total: float = 0.0
    weight: float = 0.0

    def add(self, value: float, window: float, weight: float = 1.0) -> None:
        if self.weight >= window - weight:
            keep = max(0.0, 1.0 - weight / window)
            self.total *= keep
            self.weight *= keep
        self.total += weight * value
        self.weight += weight

    def scale(self, factor: float) -> None:
        self.total *= factor

    def decay(self, factor: float, mean: float) -> None:
        """Reduce the weight by a factor and set the mean."""
        self.weight *= factor
        self.total = self.weight * mean


@dataclass(slots=True)
class UpstreamSpeed:
    """Estimates the slowness of one upstream (run time over the kind's work), overall and by kind.

    :param prior: speed assumed before runs are known.
    :param consecutive_outliers: length of the current streak of outliers; negative if their run
        times were shorter than expected.
    """

    prior: float = 1.0
    consecutive_outliers: int = 0
    overall: _MovingAverage = field(default_factory=_MovingAverage)
    slowness_by_kind: dict[str, _MovingAverage] = field(default_factory=dict)

    def slowness(self) -> float:
        """Estimated run time, over all kinds, as a multiple of the pool's average."""
        average = self.overall
        return (average.total + PRIOR_RUNS / self.prior) / (average.weight + PRIOR_RUNS)

    def speed(self, kind: str) -> float:
        """Estimated speed for a kind, as a multiple of the pool's average."""
        slowness = self.slowness()
        average = self.slowness_by_kind.get(kind)
        if average is not None:
            slowness = (average.total + KIND_PRIOR_RUNS * slowness) / (
                average.weight + KIND_PRIOR_RUNS
            )
        return min(MAX_SPEED, max(MIN_SPEED, 1.0 / slowness)) if slowness > 0.0 else MAX_SPEED

    def add(self, kind: str, slowness: float, *, weight: float = 1.0) -> None:
        """Add a successful run.

        :param weight: of the run, as a multiple of a typical one.
        """
        self._track_outliers(slowness * self.speed(kind))
        self.overall.add(slowness, UPSTREAM_WINDOW_RUNS, weight)
        average = self.slowness_by_kind.get(kind)
        if average is None:
            average = self.slowness_by_kind[kind] = _MovingAverage()
        average.add(slowness, UPSTREAM_WINDOW_RUNS, weight)

    def _track_outliers(self, change: float) -> None:
        if change >= OUTLIER_RATIO:
            self.consecutive_outliers = max(self.consecutive_outliers, 0) + 1
        elif change <= 1.0 / OUTLIER_RATIO:
            self.consecutive_outliers = min(self.consecutive_outliers, 0) - 1
        else:
            self.consecutive_outliers = 0
        if abs(self.consecutive_outliers) >= OUTLIERS_BEFORE_DECAY:
            self.decay()

    def decay(self) -> None:
        """Reduce the weight of earlier runs, which may no longer be representative."""
        self.prior = max(MIN_SPEED, 1.0 / self.slowness())
        self.overall.decay(DECAY_FACTOR, 1.0 / self.prior)
        for average in self.slowness_by_kind.values():
            average.decay(DECAY_FACTOR, average.total / average.weight)

    def reset(self) -> None:
        """Discard the runs, and keep the estimated speed as the prior, after a time out of use."""
        self.prior = max(MIN_SPEED, 1.0 / self.slowness())
        self.overall = _MovingAverage()
        self.slowness_by_kind.clear()

    def scale(self, factor: float) -> None:
        """Multiply every slowness by a factor."""
        self.prior /= factor
        self.overall.scale(factor)
        for average in self.slowness_by_kind.values():
            average.scale(factor)


class KindWork:
    """Estimates the mean work of each kind, in seconds."""

    def __init__(self) -> None:
        self._average_by_kind: dict[str, _MovingAverage] = {}

    def declare(self, kind: str, typical_s: float) -> None:
        """Use the declared run time as the prior of a kind that is not known yet."""
        if kind not in self._average_by_kind:
            total = max(typical_s, MIN_WORK_S) * PRIOR_RUNS
            self._average_by_kind[kind] = _MovingAverage(total=total, weight=PRIOR_RUNS)

    def mean_s(self, kind: str) -> float:
        """Estimated mean work of a kind."""
        average = self._average_by_kind.get(kind)
        if average is None:
            self.declare(kind, 0.3)
            return 0.3
        return average.total / average.weight

    def is_short(self, kind: str) -> bool:
        """Return whether the work of a kind is at most the mean over the kinds."""
        works = [self.mean_s(name) for name in self._average_by_kind]
        return self.mean_s(kind) <= sum(works) / len(works) if works else True

    def add(self, kind: str, work_s: float) -> None:
        """Add a successful run, with its time scaled to an upstream of speed 1.0."""
        self.mean_s(kind)
        self._average_by_kind[kind].add(work_s, KIND_WINDOW_RUNS)

    def scale(self, factor: float) -> None:
        """Multiply the work of every kind by a factor."""
        for average in self._average_by_kind.values():
            average.scale(factor)

    def as_dict(self) -> dict[str, float]:
        """Estimated mean work by kind, in seconds."""
        return {kind: self.mean_s(kind) for kind in self._average_by_kind}


def speed_class(speed: float) -> int:
    """Number of the logarithmic class of a speed; a lower number is faster."""
    return round(-math.log(speed) / _LOG_SPEED_CLASS_RATIO)


def class_speed(number: int) -> float:
    """Central speed of a class."""
    return float(SPEED_CLASS_RATIO**-number)
