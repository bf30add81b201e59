"""Flows of one kind of work, scheduled by the weights of their callers."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Collection
from dataclasses import dataclass, field

from ._config import Urgency
from ._messages import SlotAsk, TaskSize
from ._priority_queue import PriorityQueue

FlowKey = tuple[str, str]
"""Caller and kind of work."""

RequestKey = tuple[str, str]
"""Owner and submission id."""

RATE_WINDOW_S = 2.0
"""Time constant of measured service rates. With a shorter one, rates would follow single jobs."""

COST_SMOOTHING = 0.02
"""Weight of one task in the moving average of its kind's cost."""


@dataclass(slots=True, kw_only=True)
class QueuedRequest:
    """A slot request and its tasks that have no slot yet.

    :param owner: host that sent the request.
    :param deadline_at: time at which the caller no longer needs the answer.
    :param remaining: the tasks without a slot.
    """

    owner: str
    request: SlotAsk
    requested_at: float
    deadline_at: float
    remaining: deque[TaskSize] = field(default_factory=deque)

    @property
    def flow(self) -> FlowKey:
        return (self.request.caller, self.request.kind)

    @property
    def key(self) -> RequestKey:
        return (self.owner, self.request.submission_id)


@dataclass(slots=True)
class BacklogRateMeter:
    """Service rate in seconds of cost per second, averaged over the times with a backlog."""

    cost_s: float = 0.0
    time_s: float = 0.0
    last: float = -math.inf
    counting: bool = False

    def restart(self, now: float) -> None:
        """Begin a period with a backlog.

        Slots that were free before it are filled at this instant, so that cost is not counted.
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
        """Cost served per second, or 0 if backlogged for less than ``min_time_s``.

        :param waiting_until: present time if there has been a backlog since the last ``add``.
        """
        time_s = self.time_s + max(0.0, waiting_until - self.last)
        return self.cost_s / time_s if time_s >= min_time_s else 0.0


@dataclass(slots=True)
class TotalRateMeter:
    """Service rate in seconds of cost per second, averaged over all time, idle or not."""

    cost_s: float = 0.0
    last: float = -math.inf

    def add(self, now: float, cost_s: float) -> None:
        """Count served cost."""
        self.cost_s = self._decayed_cost_s(now) + cost_s
        self.last = now

    def rate(self, now: float) -> float:
        """Cost served per second."""
        return self._decayed_cost_s(now) / RATE_WINDOW_S

    def _decayed_cost_s(self, now: float) -> float:
        return self.cost_s * math.exp((self.last - now) / RATE_WINDOW_S)


class Flow:
    """Queued requests of one caller for one kind.

    :ivar retry_at: latest time at which a rejected request has been told to retry.
    :ivar start_tag: WF2Q+ start tag, the virtual time of the kind at which the next task may start.
    """

    def __init__(self, key: FlowKey, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.start_tag = 0.0
        self.queued = 0
        self.queued_by_urgency = [0] * len(Urgency)
        self.retry_at = 0.0
        self.backlog_rate = BacklogRateMeter()
        self.requests_by_urgency: tuple[OrderedDict[RequestKey, QueuedRequest], ...] = tuple(
            OrderedDict() for _ in Urgency
        )

    @property
    def urgency(self) -> int:
        """Highest urgency of the queued requests; ``len(Urgency)`` if there is none."""
        for urgency, requests in enumerate(self.requests_by_urgency):
            if requests:
                return urgency
        return len(Urgency)

    def head(self, urgency: int | None = None) -> QueuedRequest:
        """First request of an urgency, by default of the highest one queued."""
        requests = self.requests_by_urgency[self.urgency if urgency is None else urgency]
        return next(iter(requests.values()))

    def queued_up_to(self, urgency: int) -> int:
        """Number of queued tasks that are served before a new task of that urgency."""
        return sum(self.queued_by_urgency[: urgency + 1])

    def has_background(self) -> bool:
        """Whether a request for background work is queued."""
        return bool(self.requests_by_urgency[Urgency.BACKGROUND])


class KindFlows:
    """Schedules the flows of one kind by WF2Q+; urgency decides among eligible flows.

    A flow is eligible if it is not ahead of its weighted share of what the kind was served. So no
    caller is ever more than one grant ahead, whatever the urgency of its work.

    :ivar share: guaranteed fraction of the pool's capacity.
    :ivar cost_s: mean cost of a task; the declared run time until the first measurement.
    :ivar backlog_rate: service rate while tasks are queued.
    :ivar total_rate: service rate over all time.
    :ivar prompt_rate: service rate of tasks that hardly waited.
    :ivar guarantee_tag: served cost of the pool at which the guarantee allows the next task.
    :ivar guaranteed_fraction: moving average of the part of tasks served under the guarantee.
    :ivar surplus_tags: start tags for the surplus capacity beyond all guarantees, by urgency.
    """

    def __init__(self, name: str, cost_s: float) -> None:
        self.name = name
        self.share = 0.0
        self.cost_s = cost_s
        self.cost_samples = 0
        self.queued = 0
        self.backlog_rate = BacklogRateMeter()
        self.total_rate = TotalRateMeter()
        self.prompt_rate = TotalRateMeter()
        self.flow_by_key: dict[FlowKey, Flow] = {}
        self.guarantee_tag = 0.0
        self.guaranteed_fraction = 0.0
        self.surplus_tags = [0.0] * len(Urgency)
        self.background_tag = 0.0
        self.active_weight = 0.0
        self._virtual_time = 0.0
        self._eligible: PriorityQueue[FlowKey] = PriorityQueue()
        self._future: PriorityQueue[FlowKey] = PriorityQueue()
        self._background: PriorityQueue[FlowKey] = PriorityQueue()

    @property
    def active_flows(self) -> int:
        """Number of flows with queued tasks."""
        return len(self._eligible) + len(self._future)

    def has_background(self) -> bool:
        """Whether background work is queued."""
        return len(self._background) > 0

    def urgency(self) -> int:
        """Highest urgency of the eligible flows; ``len(Urgency)`` if there is none."""
        first = self._eligible.first()
        return int(first[0][0]) if first else len(Urgency)

    def update_mean_cost(self, actual_s: float) -> None:
        """Add a measured cost to the moving average; the first one replaces the declared cost."""
        self.cost_samples += 1
        smoothing = max(COST_SMOOTHING, 1.0 / self.cost_samples)
        self.cost_s += smoothing * (actual_s - self.cost_s)

    def set_weight(self, flow: Flow, weight: float) -> None:
        """Change the weight of a flow, queued or not."""
        if flow.queued:
            self.active_weight += weight - flow.weight
        flow.weight = weight

    def activate(self, flow: Flow) -> None:
        """Add a flow that is about to get its first queued task."""
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        self.active_weight += flow.weight

    def deactivate(self, flow: Flow) -> None:
        """Remove a flow that has no queued tasks left."""
        self.active_weight -= flow.weight
        self._eligible.discard(flow.key)
        self._future.discard(flow.key)
        self._background.discard(flow.key)
        if self.active_flows == 0:
            self.active_weight = 0.0
        self._update_virtual_time()

    def charge(self, flow: Flow, cost_s: float) -> None:
        """Charge a flow with queued tasks for served cost and advance the virtual time."""
        flow.start_tag += cost_s / flow.weight
        self._virtual_time += cost_s / self.active_weight
        self.reposition(flow)

    def charge_idle(self, flow: Flow, cost_s: float) -> None:
        """Charge a flow for served cost as if it were the only one with queued tasks."""
        cost = cost_s / flow.weight
        flow.start_tag = max(flow.start_tag, self._virtual_time) + cost
        self._virtual_time += cost

    def correct(self, flow: Flow, delta_s: float) -> None:
        """Correct by ``delta_s`` what a flow was charged."""
        flow.start_tag += delta_s / flow.weight
        if flow.queued:
            self.reposition(flow)

    def reposition(self, flow: Flow) -> None:
        """Update the position of a flow with queued tasks in the order of service."""
        if flow.start_tag > self._virtual_time + 1e-9:
            self._eligible.discard(flow.key)
            self._future.set(flow.key, (flow.start_tag,))
        else:
            self._make_eligible(flow)
        if flow.has_background():
            self._background.set(flow.key, (flow.start_tag,))
        else:
            self._background.discard(flow.key)
        self._update_virtual_time()

    def next_flow(self, skip: Collection[FlowKey]) -> Flow | None:
        """Flow to serve next, ignoring those in ``skip``."""
        for queue in (self._eligible, self._future):
            flow = self._first(queue, skip)
            if flow is not None:
                return flow
        return None

    def next_background_flow(self, skip: Collection[FlowKey]) -> Flow | None:
        """Flow whose background work is to be served next, ignoring those in ``skip``."""
        return self._first(self._background, skip)

    def evict_idle_flows(self) -> None:
        """Drop flows without queued tasks that are not ahead of their share."""
        idle = [
            key
            for key, flow in self.flow_by_key.items()
            if not flow.queued and flow.start_tag <= self._virtual_time
        ]
        for key in idle:
            del self.flow_by_key[key]

    def _first(self, queue: PriorityQueue[FlowKey], skip: Collection[FlowKey]) -> Flow | None:
        if not skip:
            first = queue.first()
            return self.flow_by_key[first[1]] if first else None
        key = queue.find(lambda candidate: candidate not in skip)
        return None if key is None else self.flow_by_key[key]

    def _update_virtual_time(self) -> None:
        first = self._future.first()
        if first is None:
            return
        if not len(self._eligible):
            self._virtual_time = max(self._virtual_time, first[0][0])
        while first is not None and first[0][0] <= self._virtual_time + 1e-9:
            self._make_eligible(self.flow_by_key[first[1]])
            first = self._future.first()

    def _make_eligible(self, flow: Flow) -> None:
        self._future.discard(flow.key)
        finish = flow.start_tag + self.cost_s / flow.weight
        self._eligible.set(flow.key, (flow.urgency, finish))
