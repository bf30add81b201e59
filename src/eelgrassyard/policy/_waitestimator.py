"""Expected waits: how fast the pool, its kinds and its flows are served."""

from __future__ import annotations

import math

from ._flows import Flow, KindFlows, RateMeter, UseMeter

MIN_MEASURED_S = 0.5
"""Seconds of waiting work before a measured rate is believed."""

PROMPT_S = 0.1
"""Work that waited for less does not compete with work that waits; it comes off the capacity."""

LEAST_PART = 0.25
"""Part of its kind's rate by weight that a flow gets even if prompt work seems to use it all."""

MIN_MEASURED_TASKS = 5
"""Tasks in the averaging window from which on a flow's own rate is believed."""


class WaitEstimator:
    """Expected wait of tasks, from the queue ahead of them and the rate at which it shrinks."""

    def __init__(self) -> None:
        self.capacity = 0.0
        self._meter = RateMeter()
        self._use = UseMeter()

    def note_waiting(self, now: float, queued: int, kind: KindFlows, flow: Flow) -> None:
        """Prepare the meters for new work; called before it is counted."""
        if not queued:
            self._meter.restart(now)
        if not kind.queued:
            kind.meter.restart(now)
        if not flow.queued:
            flow.meter.restart(now)

    def note_taken(
        self, now: float, kind: KindFlows, flow: Flow, cost_s: float, waited_s: float
    ) -> None:
        """Count cost that got a place after some time in the queue."""
        for meter in (self._meter, kind.meter, flow.meter, self._use, kind.use):
            meter.add(now, cost_s)
        if waited_s < PROMPT_S:
            kind.prompt_use.add(now, cost_s)

    def note_idle(self, now: float, kind: KindFlows, cost_s: float) -> None:
        """Count cost that got a place while nothing waited; it tells nothing of rates."""
        for use in (self._use, kind.use, kind.prompt_use):
            use.add(now, cost_s)

    def rate(self) -> float:
        """Cost in seconds that the pool serves per second; 0 if unknown."""
        return self._meter.rate(MIN_MEASURED_S) or self.capacity

    def flow_rate(self, now: float, kind: KindFlows, flow: Flow) -> float:
        """Cost per second that a flow can expect: what it got, or its part of the kind."""
        kind_rate = self._kind_rate(now, kind)
        if flow.meter.cost_s >= MIN_MEASURED_TASKS * kind.cost_s:
            measured = _measured(now, flow)
            if measured > 0.0:
                return min(measured, kind_rate)
        weight = kind.active_weight + (0.0 if flow.queued else flow.weight)
        left = max(kind_rate - kind.prompt_use.rate(now), LEAST_PART * kind_rate)
        return left * flow.weight / weight

    def wait(
        self, now: float, queued: int, kind: KindFlows, flow: Flow, urgency: int, tasks: int
    ) -> float:
        """Seconds until the last of ``tasks`` new tasks of a flow is expected to start.

        :param queued: tasks that wait in the whole queue.
        """
        if not queued or self.rate() <= 0.0:
            return 0.0
        # The flow's next turn may be a whole round of the kind's flows away.
        ahead_s = (flow.queued_up_to(urgency) + tasks) * kind.cost_s
        return ahead_s / self.flow_rate(now, kind, flow)

    def drain_time(self, now: float, kind: KindFlows, flow: Flow, tasks: float) -> float:
        """Seconds in which a flow is expected to get places for ``tasks``; 0 if unknown."""
        rate = self.flow_rate(now, kind, flow)
        return tasks * kind.cost_s / rate if rate > 0.0 else 0.0

    def _kind_rate(self, now: float, kind: KindFlows) -> float:
        """The guarantee of a kind, or what it got, or what the other kinds leave."""
        capacity = self.rate()
        got = _measured(now, kind)
        if got <= 0.0:
            got = capacity - (self._use.rate(now) - kind.use.rate(now))
        return max(got, capacity * kind.share)


def _measured(now: float, served: KindFlows | Flow) -> float:
    """Cost per second that a kind or flow got while it had work waiting; 0 if unknown."""
    return served.meter.rate(MIN_MEASURED_S, now if served.queued else -math.inf)
