"""Expected waits: how fast the pool and each flow are served."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ._config import Urgency
from ._flows import COST_SMOOTHING, Flow, KindFlows, RateMeter

MIN_MEASURED_S = 0.5
"""Seconds of waiting work before a measured rate is believed."""


@dataclass(slots=True)
class ActiveShares:
    """Sums of the shares of kinds with work waiting, by the urgency of what is next."""

    sums: list[float]
    counted_by_name: dict[str, tuple[int, float]]

    @classmethod
    def empty(cls) -> ActiveShares:
        """No kind has work waiting."""
        return cls([0.0] * len(Urgency), {})

    def update(self, kind: KindFlows) -> None:
        """Count a kind as it is now."""
        before = self.counted_by_name.pop(kind.name, None)
        if before is not None:
            self.sums[before[0]] -= before[1]
        if kind.active_flows:
            counted = (kind.urgency(), kind.share)
            self.counted_by_name[kind.name] = counted
            self.sums[counted[0]] += counted[1]
        if not self.counted_by_name:
            self.sums = [0.0] * len(Urgency)

    def part(self, kind: KindFlows, urgency: int, background_share: float) -> float:
        """Part of the capacity that work of a kind and urgency can expect."""
        own = self.counted_by_name.get(kind.name, (urgency, 0.0))
        others = [total - own[1] * (u == own[0]) for u, total in enumerate(self.sums)]
        rest = max(0.0, 1.0 - sum(others) - kind.share)
        if any(total > 1e-9 for total in others[:urgency]):
            minimum = background_share if urgency == Urgency.BACKGROUND else 0.0
            return max(kind.share, minimum)
        return kind.share + rest * kind.share / (kind.share + max(0.0, others[urgency]))


class WaitEstimator:
    """Expected wait of tasks, from the queue ahead of them and the rate at which it shrinks."""

    def __init__(self) -> None:
        self.capacity = 0.0
        self.background_share = 0.05
        self.meter = RateMeter()
        self.active = ActiveShares.empty()
        self._mean_cost_s = 0.0

    def note_taken(self, now: float, cost_s: float, tasks: int) -> None:
        """Count tasks that got a place."""
        self.meter.add(now, cost_s * tasks)
        smoothing = COST_SMOOTHING if self._mean_cost_s else 1.0
        self._mean_cost_s += smoothing * (cost_s - self._mean_cost_s)

    def rate(self) -> float:
        """Cost in seconds that the pool serves per second; 0 if unknown."""
        return self.meter.rate(MIN_MEASURED_S) or self.capacity

    def flow_rate(self, now: float, kind: KindFlows, flow: Flow, urgency: int) -> float:
        """Cost per second that a flow can expect: its share, or what it got if that is more."""
        part = self.active.part(kind, urgency, self.background_share)
        weight = kind.active_weight + (0.0 if flow.queued else flow.weight)
        return max(self.rate() * part * flow.weight / weight, self._measured(now, flow))

    def wait(
        self, now: float, queued: int, kind: KindFlows, flow: Flow, urgency: int, tasks: int
    ) -> float:
        """Seconds until the last of ``tasks`` new tasks of a flow is expected to start.

        :param queued: tasks that wait in the whole queue.
        """
        capacity = self.rate()
        if not queued or capacity <= 0.0:
            return 0.0
        ahead = flow.queued_up_to(urgency) + tasks - 1
        turn_s = kind.cost_s / capacity
        wait_s = turn_s + ahead * kind.cost_s / self.flow_rate(now, kind, flow, urgency)
        if self._measured(now, flow) > 0.0:
            return wait_s
        # Without a rate of its own, the flow waits at most for the whole queue.
        mean_cost_s = self._mean_cost_s or kind.cost_s
        everything_s = queued * mean_cost_s + (tasks - 1) * kind.cost_s
        return min(wait_s, turn_s + everything_s / capacity)

    def drain_time(
        self, now: float, kind: KindFlows, flow: Flow, urgency: int, tasks: float
    ) -> float:
        """Seconds in which a flow is expected to get places for ``tasks``; 0 if unknown."""
        rate = self.flow_rate(now, kind, flow, urgency)
        return tasks * kind.cost_s / rate if rate > 0.0 else 0.0

    def _measured(self, now: float, flow: Flow) -> float:
        return flow.meter.rate(MIN_MEASURED_S, now if flow.queued else -math.inf)
