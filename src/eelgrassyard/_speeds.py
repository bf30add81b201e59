"""Learned speed of upstreams, from successful runs only."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

CLASS_RATIO = 1.15
"""Ratio of speed between neighbouring classes; a choice looks at about ten of them for 1:4."""

_LOG_CLASS_RATIO = math.log(CLASS_RATIO)

MIN_SPEED = 0.02
MAX_SPEED = 50.0

UPSTREAM_WINDOW = 60.0
"""Runs that the speed of an upstream is averaged over. Run times within a kind vary by about half
of their mean, so 60 runs leave an error of about 7%, half of a class."""

KIND_WINDOW = 200.0
"""Runs that the mean work of a kind is averaged over."""

PRIOR_RUNS = 2.0
"""Weight of a speed from a digest, or of the average if there is none, in runs."""

AGE_FACTOR = 0.6
"""Part of the weight that earlier runs keep after some seconds without work or a surprise."""

SURPRISE_RATIO = 4.0
SURPRISES = 3
"""So many runs in a row that are this much longer, or all shorter, than expected make the runs
before them count less: the speed has probably changed. A single one is common in a kind whose run
times spread widely."""

MIN_WORK_S = 1e-4

KIND_PRIOR_RUNS = 8.0
"""Weight of an upstream's overall speed in its speed for one kind, in runs."""


@dataclass(slots=True)
class _Average:
    total: float = 0.0
    weight: float = 0.0

    def add(self, value: float, window: float) -> None:
        if self.weight >= window - 1.0:
            keep = 1.0 - 1.0 / window
            self.total *= keep
            self.weight *= keep
        self.total += value
        self.weight += 1.0

    def scale(self, factor: float) -> None:
        self.total *= factor

    def fade(self, factor: float, mean: float) -> None:
        """Keep a part of the weight, with the mean given."""
        self.weight *= factor
        self.total = self.weight * mean


@dataclass(slots=True)
class UpstreamSpeed:
    """Slowness (run time over the kind's mean work) of one upstream, overall and by kind.

    :param surprises: latest runs in a row that were far longer (or, if negative, far shorter) than
        expected.
    """

    prior: float = 1.0
    surprises: int = 0
    overall: _Average = field(default_factory=_Average)
    slowness_by_kind: dict[str, _Average] = field(default_factory=dict)

    def slowness(self) -> float:
        """Average run time as a multiple of the pool's average."""
        average = self.overall
        return (average.total + PRIOR_RUNS / self.prior) / (average.weight + PRIOR_RUNS)

    def speed(self, kind: str) -> float:
        """Speed for a kind: 1.0 is the pool's average, higher is faster."""
        slowness = self.slowness()
        average = self.slowness_by_kind.get(kind)
        if average is not None:
            slowness = (average.total + KIND_PRIOR_RUNS * slowness) / (
                average.weight + KIND_PRIOR_RUNS
            )
        return min(MAX_SPEED, max(MIN_SPEED, 1.0 / slowness)) if slowness > 0.0 else MAX_SPEED

    def add(self, kind: str, slowness: float) -> None:
        """Learn from one successful run."""
        self._note_surprise(slowness * self.speed(kind))
        self.overall.add(slowness, UPSTREAM_WINDOW)
        average = self.slowness_by_kind.get(kind)
        if average is None:
            average = self.slowness_by_kind[kind] = _Average()
        average.add(slowness, UPSTREAM_WINDOW)

    def _note_surprise(self, change: float) -> None:
        if change >= SURPRISE_RATIO:
            self.surprises = max(self.surprises, 0) + 1
        elif change <= 1.0 / SURPRISE_RATIO:
            self.surprises = min(self.surprises, 0) - 1
        else:
            self.surprises = 0
        if abs(self.surprises) >= SURPRISES:
            self.age()

    def age(self) -> None:
        """Give the next runs more weight, as earlier ones may no longer hold."""
        self.prior = max(MIN_SPEED, 1.0 / self.slowness())
        self.overall.fade(AGE_FACTOR, 1.0 / self.prior)
        for average in self.slowness_by_kind.values():
            average.fade(AGE_FACTOR, average.total / average.weight)

    def forget(self) -> None:
        """Give the next runs full weight, after the upstream was out of use."""
        self.prior = max(MIN_SPEED, 1.0 / self.slowness())
        self.overall = _Average()
        self.slowness_by_kind.clear()

    def scale(self, factor: float) -> None:
        """Multiply every slowness by a factor."""
        self.prior /= factor
        self.overall.scale(factor)
        for average in self.slowness_by_kind.values():
            average.scale(factor)


class KindWork:
    """Mean work of each kind: its run time on an upstream of speed 1.0, in seconds."""

    def __init__(self) -> None:
        self._average_by_kind: dict[str, _Average] = {}

    def declare(self, kind: str, typical_s: float) -> None:
        """Start from the declared run time if nothing has been learned."""
        if kind not in self._average_by_kind:
            total = max(typical_s, MIN_WORK_S) * PRIOR_RUNS
            self._average_by_kind[kind] = _Average(total=total, weight=PRIOR_RUNS)

    def work(self, kind: str) -> float:
        """Mean work of a kind in seconds."""
        average = self._average_by_kind.get(kind)
        if average is None:
            self.declare(kind, 0.3)
            return 0.3
        return average.total / average.weight

    def is_short(self, kind: str) -> bool:
        """Tell whether a kind takes no longer than the average of the kinds."""
        works = [self.work(name) for name in self._average_by_kind]
        return self.work(kind) <= sum(works) / len(works) if works else True

    def add(self, kind: str, work_s: float) -> None:
        """Learn from one successful run."""
        self.work(kind)
        self._average_by_kind[kind].add(work_s, KIND_WINDOW)

    def scale(self, factor: float) -> None:
        """Multiply the work of every kind by a factor."""
        for average in self._average_by_kind.values():
            average.scale(factor)

    def as_dict(self) -> dict[str, float]:
        """Mean work by kind."""
        return {kind: self.work(kind) for kind in self._average_by_kind}


def speed_class(speed: float) -> int:
    """Number of the logarithmic class of a speed; a lower number is faster."""
    return round(-math.log(speed) / _LOG_CLASS_RATIO)


def class_speed(number: int) -> float:
    """Speed in the middle of a class."""
    return float(CLASS_RATIO**-number)
