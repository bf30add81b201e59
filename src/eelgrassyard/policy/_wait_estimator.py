"""Estimates of waits from the service rates of a pool, its kinds and its flows."""

from __future__ import annotations

import math

from ._flows import BacklogRateMeter, Flow, KindFlows, TotalRateMeter

MIN_MEASURED_S = 0.5
"""Seconds of backlog after which a measured rate is used."""

PROMPT_WAIT_S = 0.1
"""Tasks that waited for less than this do not compete with queued tasks; their cost is subtracted
from the capacity."""

MIN_FLOW_FRACTION = 0.25
"""Fraction of a kind's rate that is divided by weight even if prompt work seems to use it all."""

MIN_MEASURED_TASKS = 5
"""Tasks in the averaging window from which a flow's own measured rate is used."""


class WaitEstimator:
    """Estimates the wait of tasks from the queue ahead of them and its service rate.

    :ivar capacity: tasks that the pool runs at once, in use until a rate has been measured.
    """

    def __init__(self) -> None:
        self.capacity = 0.0
        self._backlog_rate = BacklogRateMeter()
        self._total_rate = TotalRateMeter()

    def start_backlog(self, now: float, queued: int, kind: KindFlows, flow: Flow) -> None:
        """Start the meters of what had no backlog; called before new work is counted as queued.

        :param queued: tasks queued in the whole queue.
        """
        if not queued:
            self._backlog_rate.restart(now)
        if not kind.queued:
            kind.backlog_rate.restart(now)
        if not flow.queued:
            flow.backlog_rate.restart(now)

    def record_served(
        self, now: float, kind: KindFlows, flow: Flow, cost_s: float, waited_s: float
    ) -> None:
        """Count the cost of tasks that got slots after ``waited_s`` in the queue."""
        for meter in (
            self._backlog_rate,
            kind.backlog_rate,
            flow.backlog_rate,
            self._total_rate,
            kind.total_rate,
        ):
            meter.add(now, cost_s)
        if waited_s < PROMPT_WAIT_S:
            kind.prompt_rate.add(now, cost_s)

    def record_unqueued(self, now: float, kind: KindFlows, cost_s: float) -> None:
        """Count the cost of a task that was not queued; backlog rates do not include it."""
        for meter in (self._total_rate, kind.total_rate, kind.prompt_rate):
            meter.add(now, cost_s)

    def rate(self) -> float:
        """Service rate of the pool in seconds of cost per second; 0 if unknown."""
        return self._backlog_rate.rate(MIN_MEASURED_S) or self.capacity

    def flow_rate(self, now: float, kind: KindFlows, flow: Flow) -> float:
        """Expected service rate of a flow: measured, or its weighted share of the kind's."""
        kind_rate = self._kind_rate(now, kind)
        if flow.backlog_rate.cost_s >= MIN_MEASURED_TASKS * kind.cost_s:
            measured = _measured_rate(now, flow)
            if measured > 0.0:
                return min(measured, kind_rate)
        weight = kind.active_weight + (0.0 if flow.queued else flow.weight)
        available = max(kind_rate - kind.prompt_rate.rate(now), MIN_FLOW_FRACTION * kind_rate)
        return available * flow.weight / weight

    def wait(
        self, now: float, queued: int, kind: KindFlows, flow: Flow, urgency: int, tasks: int
    ) -> float:
        """Seconds until the last of ``tasks`` new tasks of a flow is expected to start.

        :param queued: tasks queued in the whole queue.
        """
        if not queued or self.rate() <= 0.0:
            return 0.0
        # The flow's next turn may be a whole round of the kind's flows away.
        ahead_s = (flow.queued_up_to(urgency) + tasks) * kind.cost_s
        return ahead_s / self.flow_rate(now, kind, flow)

    def drain_time(self, now: float, kind: KindFlows, flow: Flow, tasks: float) -> float:
        """Seconds in which a flow is expected to get slots for ``tasks``; 0 if unknown."""
        rate = self.flow_rate(now, kind, flow)
        return tasks * kind.cost_s / rate if rate > 0.0 else 0.0

    def _kind_rate(self, now: float, kind: KindFlows) -> float:
        """Expected service rate of a kind.

        It is the measured rate, or else what the other kinds leave, but at least the guarantee.
        """
        capacity = self.rate()
        measured = _measured_rate(now, kind)
        if measured <= 0.0:
            measured = capacity - (self._total_rate.rate(now) - kind.total_rate.rate(now))
        return max(measured, capacity * kind.share)


def _measured_rate(now: float, served: KindFlows | Flow) -> float:
    """Service rate of a kind or flow while it had a backlog; 0 if unknown."""
    return served.backlog_rate.rate(MIN_MEASURED_S, now if served.queued else -math.inf)
