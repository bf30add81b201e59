"""Order in which the kinds of a pool are served.

Three steps: kinds within their guaranteed share, by urgency; background work below its minimum
share; the rest by urgency, and by weight among equals. Shares are counted against the served cost,
so they need no clock and hold at any speed of the pool.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ._config import Urgency
from ._flows import COST_SMOOTHING, Flow, FlowKey, KindFlows, QueuedRequest
from ._priorityqueue import PriorityQueue

MIN_SHARE = 1e-4
"""Smallest share and weight, so that a kind without a share is slow but not stuck."""

TAG_TOLERANCE = 1e-9


class KindOrder:
    """Kinds with work waiting, ordered for service.

    :ivar served_s: cost in seconds that was served so far; the time base of the shares.
    """

    def __init__(self) -> None:
        self.served_s = 0.0
        self.background_share = 0.05
        self._kind_by_name: dict[str, KindFlows] = {}
        self._within: PriorityQueue[str] = PriorityQueue()
        self._beyond: PriorityQueue[str] = PriorityQueue()
        self._rest: PriorityQueue[str] = PriorityQueue()
        self._background: PriorityQueue[str] = PriorityQueue()
        self._rest_urgency_by_name: dict[str, int] = {}
        self._rest_virtual = [0.0] * len(Urgency)
        self._background_virtual = 0.0
        self._background_due = 0.0

    def add_kind(self, kind: KindFlows) -> None:
        """Add a kind without work."""
        kind.guarantee_tag = self.served_s
        self._kind_by_name[kind.name] = kind

    def set_shares(
        self,
        wanted_by_name: dict[str, float],
        background_share: float,
        background_kinds: Collection[str],
    ) -> None:
        """Set guaranteed shares; they are scaled down where they leave no room for background.

        What the background kinds are guaranteed counts towards the minimum of background work.
        """
        self.background_share = min(max(background_share, 0.0), 0.5)
        guaranteed = sum(share for n, share in wanted_by_name.items() if n in background_kinds)
        limit = 1.0 - max(0.0, self.background_share - guaranteed)
        total = sum(wanted_by_name.values())
        scale = min(1.0, limit / total) if total > 0.0 else 1.0
        for name, kind in self._kind_by_name.items():
            kind.share = max(wanted_by_name[name] * scale, MIN_SHARE)
            self.rank(kind)

    def select(self, skip: Collection[FlowKey]) -> QueuedRequest | None:
        """Ask to serve next, leaving out the flows in ``skip``."""
        self._release_guarantees()
        guaranteed = self._pick(self._within, skip)
        if guaranteed is not None and guaranteed.urgency < Urgency.BACKGROUND:
            return guaranteed.head()
        if self._background_due <= self.served_s:
            flow = self._pick_background(skip)
            if flow is not None:
                return flow.head(Urgency.BACKGROUND)
        chosen = guaranteed or self._pick(self._rest, skip)
        return None if chosen is None else chosen.head()

    def charge(
        self, kind: KindFlows, flow: Flow, urgency: Urgency, cost_s: float, burst_s: float
    ) -> None:
        """Count served cost to the step that served it.

        :param burst_s: unused guarantee, in seconds of cost, that a kind may make up for.
        """
        self._charge_kind(kind, urgency, cost_s, burst_s)
        kind.charge(flow, cost_s)

    def charge_idle(
        self, kind: KindFlows, flow: Flow, urgency: Urgency, cost_s: float, burst_s: float
    ) -> None:
        """Count served cost of a task that did not wait, while nothing waits."""
        self._charge_kind(kind, urgency, cost_s, burst_s)
        kind.charge_idle(flow, cost_s)

    def _charge_kind(
        self, kind: KindFlows, urgency: Urgency, cost_s: float, burst_s: float
    ) -> None:
        earliest = self.served_s - burst_s
        within = self._is_within(kind)
        kind.guaranteed_part += COST_SMOOTHING * (within - kind.guaranteed_part)
        if within:
            kind.guarantee_tag = max(kind.guarantee_tag, earliest) + cost_s / kind.share
        elif urgency == Urgency.BACKGROUND and self._background_due <= self.served_s:
            self._background_virtual = max(self._background_virtual, kind.background_tag)
            kind.background_tag += cost_s / kind.share
        else:
            tag = kind.rest_tags[urgency]
            self._rest_virtual[urgency] = max(self._rest_virtual[urgency], tag)
            kind.rest_tags[urgency] = tag + cost_s / kind.share
        if urgency == Urgency.BACKGROUND:
            share = max(self.background_share, MIN_SHARE)
            self._background_due = max(self._background_due, earliest) + cost_s / share
        self.served_s += cost_s

    def correct(self, kind: KindFlows, flow: Flow | None, delta_s: float) -> None:
        """Change served cost after the fact, in the proportion of the steps that served it."""
        self.served_s += delta_s
        kind.guarantee_tag += delta_s * kind.guaranteed_part / kind.share
        if flow is not None:
            kind.correct(flow, delta_s)
        self.rank(kind)

    def rank(self, kind: KindFlows) -> None:
        """Put a kind into its places after any change to it."""
        name = kind.name
        if not kind.active_flows:
            for ranking in (self._within, self._beyond, self._rest, self._background):
                ranking.discard(name)
            self._rest_urgency_by_name.pop(name, None)
            return
        urgency = kind.urgency()
        task_s = kind.cost_s / kind.share
        if self._is_within(kind):
            self._beyond.discard(name)
            self._within.set(name, (urgency, kind.guarantee_tag + task_s))
        else:
            self._within.discard(name)
            self._beyond.set(name, (kind.guarantee_tag,))
        tags = kind.rest_tags
        if self._rest_urgency_by_name.get(name) != urgency:
            self._rest_urgency_by_name[name] = urgency
            tags[urgency] = max(tags[urgency], self._rest_virtual[urgency])
        # Ordering by the middle of the next task keeps shares of the rest closest to the weights.
        self._rest.set(name, (urgency, tags[urgency] + task_s / 2))
        if kind.has_background():
            if name not in self._background:
                kind.background_tag = max(kind.background_tag, self._background_virtual)
            self._background.set(name, (kind.background_tag,))
        else:
            self._background.discard(name)

    def _release_guarantees(self) -> None:
        while (first := self._beyond.first()) is not None:
            if first[0][0] > self.served_s + TAG_TOLERANCE:
                return
            self.rank(self._kind_by_name[first[1]])

    def _is_within(self, kind: KindFlows) -> bool:
        return kind.guarantee_tag <= self.served_s + TAG_TOLERANCE

    def _pick(self, ranking: PriorityQueue[str], skip: Collection[FlowKey]) -> Flow | None:
        if not skip:
            first = ranking.first()
            return self._kind_by_name[first[1]].best(()) if first else None
        candidates: list[Flow] = []

        def is_final(name: str) -> bool:
            kind = self._kind_by_name[name]
            flow = kind.best(skip)
            if flow is None:
                return False
            candidates.append(flow)
            return flow.urgency <= kind.urgency()

        ranking.find(is_final)
        return _most_urgent(candidates)

    def _pick_background(self, skip: Collection[FlowKey]) -> Flow | None:
        def has_candidate(name: str) -> bool:
            return self._kind_by_name[name].best_background(skip) is not None

        name = self._background.find(has_candidate)
        return None if name is None else self._kind_by_name[name].best_background(skip)


def _most_urgent(flows: Iterable[Flow]) -> Flow | None:
    return min(flows, key=lambda flow: flow.urgency, default=None)
