"""Flows of one kind of work and the share that each caller has of it."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Collection
from dataclasses import dataclass, field

from ._config import Urgency
from ._messages import SlotAsk, TaskSize
from ._priorityqueue import PriorityQueue

FlowKey = tuple[str, str]
"""Caller and kind of work."""

RequestKey = tuple[str, str]
"""Owner and submission id."""

RATE_WINDOW_S = 2.0
"""Time constant of the learned service rates; shorter ones follow single jobs."""

COST_SMOOTHING = 0.02
"""Weight of one task in the mean cost of its kind."""


@dataclass(slots=True, kw_only=True)
class QueuedRequest:
    """An ask with the tasks that have no place yet.

    :param deadline_at: time at which the caller no longer needs the answer.
    """

    owner: str
    ask: SlotAsk
    asked_at: float
    deadline_at: float
    remaining: deque[TaskSize] = field(default_factory=deque)

    @property
    def flow(self) -> FlowKey:
        return (self.ask.caller, self.ask.kind)

    @property
    def key(self) -> RequestKey:
        return (self.owner, self.ask.submission_id)


@dataclass(slots=True)
class RateMeter:
    """Cost in seconds served per second, averaged over the times with work waiting."""

    cost_s: float = 0.0
    time_s: float = 0.0
    last: float = -math.inf
    counting: bool = False

    def restart(self, now: float) -> None:
        """Begin a period with work waiting.

        Places that were free before it are taken at this instant and tell nothing of the rate.
        """
        self.last = now
        self.counting = False

    def add(self, now: float, cost_s: float) -> None:
        """Count served cost."""
        elapsed = now - self.last
        if elapsed > 0.0:
            keep = math.exp(-elapsed / RATE_WINDOW_S)
            self.cost_s *= keep
            self.time_s = self.time_s * keep + elapsed
            self.last = now
            self.counting = True
        if self.counting:
            self.cost_s += cost_s

    def rate(self, min_time_s: float, waiting_until: float = -math.inf) -> float:
        """Cost served per second, or 0 if work has waited for less than ``min_time_s``.

        :param waiting_until: present time if work has waited since the last call of ``add``.
        """
        time_s = self.time_s + max(0.0, waiting_until - self.last)
        return self.cost_s / time_s if time_s >= min_time_s else 0.0


@dataclass(slots=True)
class UseMeter:
    """Cost in seconds served per second, averaged over all time."""

    cost_s: float = 0.0
    last: float = -math.inf

    def add(self, now: float, cost_s: float) -> None:
        """Count served cost."""
        self.cost_s = self._left(now) + cost_s
        self.last = now

    def rate(self, now: float) -> float:
        """Cost served per second."""
        return self._left(now) / RATE_WINDOW_S

    def _left(self, now: float) -> float:
        return self.cost_s * math.exp((self.last - now) / RATE_WINDOW_S)


class Flow:
    """Asks of one caller for one kind.

    :ivar retry_at: time up to which refused asks have been told to come back.
    :ivar start: virtual time of the kind at which the next task may start (WF2Q+ start tag).
    """

    def __init__(self, key: FlowKey, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.start = 0.0
        self.queued = 0
        self.queued_by_urgency = [0] * len(Urgency)
        self.retry_at = 0.0
        self.meter = RateMeter()
        self.asks_by_urgency: tuple[OrderedDict[RequestKey, QueuedRequest], ...] = tuple(
            OrderedDict() for _ in Urgency
        )

    @property
    def urgency(self) -> int:
        """Urgency of the ask that is next."""
        for urgency, asks in enumerate(self.asks_by_urgency):
            if asks:
                return urgency
        return len(Urgency)

    def head(self, urgency: int | None = None) -> QueuedRequest:
        """First ask of an urgency, by default of the most urgent one."""
        asks = self.asks_by_urgency[self.urgency if urgency is None else urgency]
        return next(iter(asks.values()))

    def queued_up_to(self, urgency: int) -> int:
        """Number of tasks that are served before a new task of that urgency."""
        return sum(self.queued_by_urgency[: urgency + 1])

    def has_background(self) -> bool:
        """Tell whether an ask of background work waits."""
        return bool(self.asks_by_urgency[Urgency.BACKGROUND])


class KindFlows:
    """Flows of one kind, served by WF2Q+ with urgency deciding among eligible flows.

    A flow is eligible if it is not ahead of its weighted share of what the kind was served. So no
    caller is ever more than one grant ahead, whatever the urgency of its work.

    :ivar share: part of the pool's capacity that the kind is guaranteed.
    :ivar guarantee_tag: pool's served cost at which the guarantee allows the next task.
    :ivar rest_tags: start tags in the rest of the capacity, by urgency.
    """

    def __init__(self, name: str, cost_s: float) -> None:
        self.name = name
        self.share = 0.0
        self.cost_s = cost_s
        self.cost_samples = 0
        self.queued = 0
        self.meter = RateMeter()
        self.use = UseMeter()
        self.prompt_use = UseMeter()
        self.flow_by_key: dict[FlowKey, Flow] = {}
        self.guarantee_tag = 0.0
        self.guaranteed_part = 0.0
        self.rest_tags = [0.0] * len(Urgency)
        self.background_tag = 0.0
        self.active_weight = 0.0
        self._virtual = 0.0
        self._eligible: PriorityQueue[FlowKey] = PriorityQueue()
        self._future: PriorityQueue[FlowKey] = PriorityQueue()
        self._background: PriorityQueue[FlowKey] = PriorityQueue()

    @property
    def active_flows(self) -> int:
        """Number of flows with work waiting."""
        return len(self._eligible) + len(self._future)

    def has_background(self) -> bool:
        """Tell whether background work waits."""
        return len(self._background) > 0

    def urgency(self) -> int:
        """Urgency of the flow that is next."""
        first = self._eligible.first()
        return int(first[0][0]) if first else len(Urgency)

    def learn_cost(self, actual_s: float) -> None:
        """Take a measured cost into the mean; the first one replaces the declared cost."""
        self.cost_samples += 1
        smoothing = max(COST_SMOOTHING, 1.0 / self.cost_samples)
        self.cost_s += smoothing * (actual_s - self.cost_s)

    def set_weight(self, flow: Flow, weight: float) -> None:
        """Change the weight of a flow."""
        if flow.queued:
            self.active_weight += weight - flow.weight
        flow.weight = weight

    def activate(self, flow: Flow) -> None:
        """Count a flow among those with work waiting."""
        flow.start = max(flow.start, self._virtual)
        self.active_weight += flow.weight

    def deactivate(self, flow: Flow) -> None:
        """Take a flow out of those with work waiting."""
        self.active_weight -= flow.weight
        self._eligible.discard(flow.key)
        self._future.discard(flow.key)
        self._background.discard(flow.key)
        if self.active_flows == 0:
            self.active_weight = 0.0
        self._advance()

    def charge(self, flow: Flow, cost_s: float) -> None:
        """Count served cost; the flow has work waiting."""
        flow.start += cost_s / flow.weight
        self._virtual += cost_s / self.active_weight
        self.rank(flow)

    def charge_idle(self, flow: Flow, cost_s: float) -> None:
        """Count served cost as if the flow were the only one with work waiting."""
        cost = cost_s / flow.weight
        flow.start = max(flow.start, self._virtual) + cost
        self._virtual += cost

    def correct(self, flow: Flow, delta_s: float) -> None:
        """Change what a flow was charged."""
        flow.start += delta_s / flow.weight
        if flow.queued:
            self.rank(flow)

    def rank(self, flow: Flow) -> None:
        """Put a flow with work waiting into its place."""
        if flow.start > self._virtual + 1e-9:
            self._eligible.discard(flow.key)
            self._future.set(flow.key, (flow.start,))
        else:
            self._make_eligible(flow)
        if flow.has_background():
            self._background.set(flow.key, (flow.start,))
        else:
            self._background.discard(flow.key)
        self._advance()

    def best(self, skip: Collection[FlowKey]) -> Flow | None:
        """Flow to serve next, leaving out those in ``skip``."""
        for ranking in (self._eligible, self._future):
            flow = self._first(ranking, skip)
            if flow is not None:
                return flow
        return None

    def best_background(self, skip: Collection[FlowKey]) -> Flow | None:
        """Flow whose background work is to be served next."""
        return self._first(self._background, skip)

    def forget_idle(self) -> None:
        """Drop idle flows that owe nothing."""
        idle = [
            key
            for key, flow in self.flow_by_key.items()
            if not flow.queued and flow.start <= self._virtual
        ]
        for key in idle:
            del self.flow_by_key[key]

    def _first(self, ranking: PriorityQueue[FlowKey], skip: Collection[FlowKey]) -> Flow | None:
        if not skip:
            first = ranking.first()
            return self.flow_by_key[first[1]] if first else None
        key = ranking.find(lambda candidate: candidate not in skip)
        return None if key is None else self.flow_by_key[key]

    def _advance(self) -> None:
        first = self._future.first()
        if first is None:
            return
        if not len(self._eligible):
            self._virtual = max(self._virtual, first[0][0])
        while first is not None and first[0][0] <= self._virtual + 1e-9:
            self._make_eligible(self.flow_by_key[first[1]])
            first = self._future.first()

    def _make_eligible(self, flow: Flow) -> None:
        self._future.discard(flow.key)
        finish = flow.start + self.cost_s / flow.weight
        self._eligible.set(flow.key, (flow.urgency, finish))
