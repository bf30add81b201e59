"""Order of service between the kinds of a pool.

There are three stages: first kinds within their guaranteed share, by urgency; then background work
below its minimum share; then the surplus, by urgency and, at equal urgency, by weight. Background
work within its guarantee is served after the second stage. Shares are measured against the served
cost, so they need no clock and hold at any speed of the pool.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ._config import Urgency
from ._flows import COST_SMOOTHING, Flow, FlowKey, KindFlows, QueuedRequest
from ._priority_queue import PriorityQueue

MIN_SHARE = 1e-4
"""Smallest share and weight, so that a kind without a share is served slowly rather than never."""

TAG_TOLERANCE = 1e-9
"""Tolerance for rounding errors in comparisons of tags, in seconds of cost."""


class KindOrder:
    """Orders the kinds with queued tasks for service.

    :ivar served_s: cost in seconds served so far; the time base of the shares.
    :ivar background_share: minimum fraction of the capacity for background work.
    """

    def __init__(self) -> None:
        self.served_s = 0.0
        self.background_share = 0.05
        self._kind_by_name: dict[str, KindFlows] = {}
        self._within_share: PriorityQueue[str] = PriorityQueue()
        self._beyond_share: PriorityQueue[str] = PriorityQueue()
        self._surplus: PriorityQueue[str] = PriorityQueue()
        self._background: PriorityQueue[str] = PriorityQueue()
        self._surplus_urgency_by_name: dict[str, int] = {}
        self._surplus_virtual_time = [0.0] * len(Urgency)
        self._background_virtual_time = 0.0
        self._background_due = 0.0

    def add_kind(self, kind: KindFlows) -> None:
        """Add a kind that has no queued tasks."""
        kind.guarantee_tag = self.served_s
        self._kind_by_name[kind.name] = kind

    def set_shares(
        self,
        wanted_by_name: dict[str, float],
        background_share: float,
        background_kinds: Collection[str],
    ) -> None:
        """Set guaranteed shares, scaled down if they leave too little for background work.

        The guarantees of background kinds count towards the minimum share of background work.
        """
        self.background_share = min(max(background_share, 0.0), 0.5)
        guaranteed = sum(share for n, share in wanted_by_name.items() if n in background_kinds)
        limit = 1.0 - max(0.0, self.background_share - guaranteed)
        total = sum(wanted_by_name.values())
        scale = min(1.0, limit / total) if total > 0.0 else 1.0
        for name, kind in self._kind_by_name.items():
            kind.share = max(wanted_by_name[name] * scale, MIN_SHARE)
            self.reposition(kind)

    def select(self, skip: Collection[FlowKey]) -> QueuedRequest | None:
        """Request to serve next, ignoring the flows in ``skip``."""
        self._promote_within_share()
        guaranteed = self._choose_flow(self._within_share, skip)
        if guaranteed is not None and guaranteed.urgency < Urgency.BACKGROUND:
            return guaranteed.head()
        if self._background_due <= self.served_s:
            flow = self._choose_background_flow(skip)
            if flow is not None:
                return flow.head(Urgency.BACKGROUND)
        chosen = guaranteed or self._choose_flow(self._surplus, skip)
        return None if chosen is None else chosen.head()

    def charge(
        self, kind: KindFlows, flow: Flow, urgency: Urgency, cost_s: float, burst_s: float
    ) -> None:
        """Charge served cost to the flow, the kind and the stage that served it.

        :param burst_s: unused guarantee, in seconds of cost, for which a kind may catch up.
        """
        self._charge_kind(kind, urgency, cost_s, burst_s)
        kind.charge(flow, cost_s)

    def charge_idle(
        self, kind: KindFlows, flow: Flow, urgency: Urgency, cost_s: float, burst_s: float
    ) -> None:
        """Charge served cost of a task that was not queued, while no task is queued."""
        self._charge_kind(kind, urgency, cost_s, burst_s)
        kind.charge_idle(flow, cost_s)

    def _charge_kind(
        self, kind: KindFlows, urgency: Urgency, cost_s: float, burst_s: float
    ) -> None:
        earliest = self.served_s - burst_s
        within = self._is_within_share(kind)
        kind.guaranteed_fraction += COST_SMOOTHING * (within - kind.guaranteed_fraction)
        if within:
            kind.guarantee_tag = max(kind.guarantee_tag, earliest) + cost_s / kind.share
        elif urgency == Urgency.BACKGROUND and self._background_due <= self.served_s:
            self._background_virtual_time = max(self._background_virtual_time, kind.background_tag)
            kind.background_tag += cost_s / kind.share
        else:
            tag = kind.surplus_tags[urgency]
            self._surplus_virtual_time[urgency] = max(self._surplus_virtual_time[urgency], tag)
            kind.surplus_tags[urgency] = tag + cost_s / kind.share
        if urgency == Urgency.BACKGROUND:
            share = max(self.background_share, MIN_SHARE)
            self._background_due = max(self._background_due, earliest) + cost_s / share
        self.served_s += cost_s

    def correct(self, kind: KindFlows, flow: Flow | None, delta_s: float) -> None:
        """Correct served cost by ``delta_s``, in proportion to the stages that served the kind."""
        self.served_s += delta_s
        kind.guarantee_tag += delta_s * kind.guaranteed_fraction / kind.share
        if flow is not None:
            kind.correct(flow, delta_s)
        self.reposition(kind)

    def reposition(self, kind: KindFlows) -> None:
        """Update the position of a kind in every stage after a change to it."""
        name = kind.name
        if not kind.active_flows:
            for queue in (
                self._within_share,
                self._beyond_share,
                self._surplus,
                self._background,
            ):
                queue.discard(name)
            self._surplus_urgency_by_name.pop(name, None)
            return
        urgency = kind.urgency()
        task_s = kind.cost_s / kind.share
        if self._is_within_share(kind):
            self._beyond_share.discard(name)
            self._within_share.set(name, (urgency, kind.guarantee_tag + task_s))
        else:
            self._within_share.discard(name)
            self._beyond_share.set(name, (kind.guarantee_tag,))
        tags = kind.surplus_tags
        if self._surplus_urgency_by_name.get(name) != urgency:
            self._surplus_urgency_by_name[name] = urgency
            tags[urgency] = max(tags[urgency], self._surplus_virtual_time[urgency])
        # Ordering by the midpoint of the next task keeps surplus shares closest to the weights.
        self._surplus.set(name, (urgency, tags[urgency] + task_s / 2))
        if kind.has_background():
            if name not in self._background:
                kind.background_tag = max(kind.background_tag, self._background_virtual_time)
            self._background.set(name, (kind.background_tag,))
        else:
            self._background.discard(name)

    def _promote_within_share(self) -> None:
        while (first := self._beyond_share.first()) is not None:
            if first[0][0] > self.served_s + TAG_TOLERANCE:
                return
            self.reposition(self._kind_by_name[first[1]])

    def _is_within_share(self, kind: KindFlows) -> bool:
        return kind.guarantee_tag <= self.served_s + TAG_TOLERANCE

    def _choose_flow(self, queue: PriorityQueue[str], skip: Collection[FlowKey]) -> Flow | None:
        if not skip:
            first = queue.first()
            return self._kind_by_name[first[1]].next_flow(()) if first else None
        candidates: list[Flow] = []

        def is_final(name: str) -> bool:
            kind = self._kind_by_name[name]
            flow = kind.next_flow(skip)
            if flow is None:
                return False
            candidates.append(flow)
            return flow.urgency <= kind.urgency()

        queue.find(is_final)
        return _most_urgent(candidates)

    def _choose_background_flow(self, skip: Collection[FlowKey]) -> Flow | None:
        def has_candidate(name: str) -> bool:
            return self._kind_by_name[name].next_background_flow(skip) is not None

        name = self._background.find(has_candidate)
        return None if name is None else self._kind_by_name[name].next_background_flow(skip)


def _most_urgent(flows: Iterable[Flow]) -> Flow | None:
    return min(flows, key=lambda flow: flow.urgency, default=None)
