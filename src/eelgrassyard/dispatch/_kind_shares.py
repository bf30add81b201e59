"""Offered and accepted work of each kind and size.

The load that this answers is a kind that floods, and sizes that are always refused: a kind that
gets more than its usual rate loses value against the others, and one that is turned away gains it
(proportional fairness). Callers are not known at this interface, so shares are by kind and size
only; a caller that floods takes from the other callers of the same kind and size.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

USUAL_WINDOW_S = 20.0
"""Time constant of the usual rate. A burst of a few seconds moves it by less than a quarter; a
lasting change of the load becomes usual within a minute."""

FLOOD_RATIO = 1.5
"""Multiple of the usual rate beyond which offered work is not counted as usual, so that a flood
does not become usual while it lasts: the usual rate grows by 2.5% a second at most."""

RECENT_WINDOW_S = 2.0
"""Time constant of the recent rate: several run times of usual tasks, and the length of the window
over which the users rate the worst seconds."""

MIN_SCARCITY = 0.25
MAX_SCARCITY = 4.0
"""Limits of the factor, so that averages over little work do not outweigh everything else."""

SMALL_LIMIT = 0.75
LARGE_LIMIT = 1.5
"""Limits between the size classes, as multiples of the mean work of the kind."""

MEAN_WORK_WEIGHT = 0.02
"""Weight of one job in the mean work of its kind."""


class ShareClass(NamedTuple):
    """A kind and size that has a share of the capacity.

    :param size: 0 is small, 1 is usual, 2 is large.
    """

    kind: str
    size: int


@dataclass(slots=True, kw_only=True)
class DecayingRate:
    """Rate with exponential decay."""

    window_s: float
    _total: float = 0.0
    _at: float = 0.0

    def add(self, now: float, work: float) -> None:
        """Add work that was done now."""
        self._total = self._decayed(now) + work
        self._at = now

    def per_s(self, now: float, *, since: float) -> float:
        """Work a second.

        :param since: start of the observation, which may have been shorter than the window.
        """
        observed_s = max(RECENT_WINDOW_S, now - since)
        return self._decayed(now) / (self.window_s * -math.expm1(-observed_s / self.window_s))

    def _decayed(self, now: float) -> float:
        return self._total * math.exp(-max(0.0, now - self._at) / self.window_s)


@dataclass(slots=True, kw_only=True)
class _ClassRates:
    offered: DecayingRate = field(default_factory=lambda: DecayingRate(window_s=RECENT_WINDOW_S))
    usual: DecayingRate = field(default_factory=lambda: DecayingRate(window_s=USUAL_WINDOW_S))
    accepted: DecayingRate = field(default_factory=lambda: DecayingRate(window_s=RECENT_WINDOW_S))


@dataclass(slots=True, kw_only=True)
class KindShares:
    """Rates of offered and accepted work by kind and size class.

    :param began_at: start of the observation.
    """

    began_at: float
    _rates_by_class: dict[ShareClass, _ClassRates] = field(default_factory=dict)
    _mean_work_by_kind: dict[str, float] = field(default_factory=dict)

    def share_class(self, kind: str, work: float) -> ShareClass:
        """Kind and size class of a job."""
        mean_work = self._mean_work_by_kind.get(kind, work)
        if work < SMALL_LIMIT * mean_work:
            return ShareClass(kind, 0)
        return ShareClass(kind, 1 if work <= LARGE_LIMIT * mean_work else 2)

    def offered(self, now: float, kind: str, work: float) -> None:
        """Count a job that has arrived.

        :param work: its declared work, in core-seconds.
        """
        mean_work = self._mean_work_by_kind.setdefault(kind, work)
        self._mean_work_by_kind[kind] = mean_work + MEAN_WORK_WEIGHT * (work - mean_work)
        rates = self._rates(self.share_class(kind, work))
        rates.offered.add(now, work)
        counted = work
        if now - self.began_at > 2.0 * RECENT_WINDOW_S:
            # One job does not make a flood in a class that has one every few seconds.
            limit = FLOOD_RATIO * rates.usual.per_s(now, since=self.began_at)
            limit += self._mean_work_by_kind[kind] / RECENT_WINDOW_S
            counted = work * min(
                1.0, limit / max(1e-9, rates.offered.per_s(now, since=self.began_at))
            )
        rates.usual.add(now, counted)

    def accepted(self, now: float, kind: str, work: float) -> None:
        """Count a job that has begun."""
        self._rates(self.share_class(kind, work)).accepted.add(now, work)

    def offered_per_s(self, now: float) -> float:
        """Usual rate of the offered work of all kinds."""
        return sum(
            rates.usual.per_s(now, since=self.began_at) for rates in self._rates_by_class.values()
        )

    def scarcity(self, now: float, kind: str, work: float) -> float:
        """Factor on the value of a job: above 1 if less of its class is accepted than usually
        offered."""
        return self.scarcity_of(now, self.share_class(kind, work))

    def scarcity_of(
        self, now: float, share: ShareClass, *, planned_work: float = 0.0, horizon_s: float = 0.0
    ) -> float:
        """Factor on the value of the jobs of a class.

        :param planned_work: work of the class that is planned to begin next; it counts as accepted.
        :param horizon_s: seconds in which it is planned to begin.
        """
        rates = self._rates(share)
        # One job more or less must not decide about a class that has one every few seconds.
        slack = self._mean_work_by_kind.get(share.kind, 1.0) / RECENT_WINDOW_S
        usual = rates.usual.per_s(now, since=self.began_at)
        accepted = rates.accepted.per_s(now, since=self.began_at)
        span_s = RECENT_WINDOW_S + horizon_s
        recent = (accepted * RECENT_WINDOW_S + planned_work) / span_s
        ratio = (usual + slack) / max(1e-9, recent + slack)
        return min(MAX_SCARCITY, max(MIN_SCARCITY, ratio))

    def _rates(self, share: ShareClass) -> _ClassRates:
        rates = self._rates_by_class.get(share)
        if rates is None:
            rates = self._rates_by_class[share] = _ClassRates()
        return rates
