"""Weighted fair queue of slot requests.

A flow is one caller's work of one kind. :mod:`._kind_order` orders the kinds, :mod:`._flows` the
callers of a kind; :mod:`._wait_estimator` estimates waits.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Collection
from dataclasses import dataclass

from ._config import KindEntry, Limits, SiteConfig, Urgency
from ._flows import Flow, FlowKey, KindFlows, QueuedRequest, RequestKey
from ._kind_order import KindOrder
from ._messages import TaskSize
from ._outcomes import Reason
from ._system import ConfigView
from ._wait_estimator import WaitEstimator

__all__ = ["FairQueue", "FlowKey", "QueueRefusal", "QueuedRequest"]

BURST_S = 1.0
"""Seconds of unused guaranteed share for which a kind may catch up."""

MIN_BURST_COST_S = 10.0
"""Lower bound of that burst in seconds of cost; in force while the capacity is unknown."""

WAIT_MARGIN = 1.1
"""Factor on expected waits. Without it, half of the work accepted at the limit misses its
deadline."""

MIN_RETRY_S = 0.1
MAX_RETRY_S = 300.0
"""Bounds of the retry hint in a refusal."""

MIN_WEIGHT = 1e-3
"""Smallest weight of a caller, so that a weight of 0 does not stop its flows."""

IDLE_FLOWS_KEPT = 1_000
"""Flows that a kind keeps, besides twice its active ones, before idle flows are evicted."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueRefusal:
    """Why the queue rejects a request, and when to retry."""

    reason: Reason
    message: str
    retry_after_s: float | None


class FairQueue:
    """Weighted fair queue over the flows of one pool, with admission control.

    Requests are rejected if a queue bound would be exceeded or the expected wait is longer than the
    time left to the deadline.
    """

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config
        self._site: SiteConfig | None = None
        self._limits = Limits()
        self._kind_by_name: dict[str, KindFlows] = {}
        self._request_by_key: dict[RequestKey, QueuedRequest] = {}
        self._deadlines: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = itertools.count()
        self._queued = 0
        self._order = KindOrder()
        self._waits = WaitEstimator()

    def __len__(self) -> int:
        """Number of queued tasks."""
        return self._queued

    def set_capacity(self, tasks_at_once: float) -> None:
        """Set how many tasks the pool runs at once; used until a service rate has been measured."""
        self._waits.capacity = tasks_at_once

    def add(self, now: float, entry: QueuedRequest) -> QueueRefusal | None:
        """Queue a request, or return why it is rejected.

        A request of the same owner and submission replaces the earlier one.
        """
        self._read_config()
        self._remove(entry.key)
        if not entry.remaining:
            return None
        kind, flow = self._find_flow(entry)
        refusal = self._check_admission(now, entry, kind, flow)
        if refusal is None:
            self._insert(now, entry, kind, flow)
        return refusal

    def select(self, now: float, *, skip: Collection[FlowKey] = ()) -> QueuedRequest | None:
        """Request whose task is to be placed next, ignoring the flows in ``skip``."""
        return self._order.select(skip)

    def take(self, now: float, entry: QueuedRequest, count: int, cost_s: float) -> list[TaskSize]:
        """Dequeue ``count`` tasks of a request and charge its flow ``cost_s`` for each."""
        kind, flow = self._find_flow(entry)
        taken = [entry.remaining.popleft() for _ in range(count)]
        burst_s = max(MIN_BURST_COST_S, self._waits.rate() * BURST_S)
        self._order.charge(kind, flow, entry.request.urgency, cost_s * count, burst_s)
        self._waits.record_served(now, kind, flow, cost_s * count, now - entry.requested_at)
        self._add_queued(kind, flow, entry.request.urgency, -count)
        if not entry.remaining:
            self._remove_entry(entry, kind, flow)
        self._order.reposition(kind)
        return taken

    def charge_idle(self, now: float, entry: QueuedRequest, cost_s: float) -> None:
        """Charge the flow of a single task that gets a slot at once while the queue is empty.

        Same effect as :meth:`add` followed by :meth:`take`, at a third of the computing time.
        """
        self._read_config()
        kind, flow = self._find_flow(entry)
        burst_s = max(MIN_BURST_COST_S, self._waits.rate() * BURST_S)
        self._order.charge_idle(kind, flow, entry.request.urgency, cost_s, burst_s)
        self._waits.record_unqueued(now, kind, cost_s)

    def correct_cost(self, flow: FlowKey, estimated_s: float, actual_s: float) -> None:
        """Replace the estimated cost charged for a task by its measured run time."""
        kind = self._kind_by_name.get(flow[1])
        if kind is None:
            return
        kind.update_mean_cost(actual_s)
        self._order.correct(kind, kind.flow_by_key.get(flow), actual_s - estimated_s)

    def withdraw(self, owner: str, submission_id: str) -> int:
        """Remove a request; returns the number of tasks removed."""
        return self._remove((owner, submission_id))

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        late = []
        while self.next_deadline() <= now:
            entry = heapq.heappop(self._deadlines)[2]
            self._remove(entry.key)
            late.append(entry)
        return late

    def next_deadline(self) -> float:
        """Earliest deadline of a queued request; ``math.inf`` if there is none."""
        while self._deadlines:
            entry = self._deadlines[0][2]
            if self._request_by_key.get(entry.key) is entry:
                return self._deadlines[0][0]
            heapq.heappop(self._deadlines)
        return math.inf

    def expected_wait(self, now: float, flow: FlowKey, urgency: Urgency | None = None) -> float:
        """Seconds that a new task of the flow is expected to wait.

        :param urgency: urgency of the task; by default that of its kind.
        """
        self._read_config()
        kind = self._find_kind(flow[1])
        record = kind.flow_by_key.get(flow) or Flow(flow, self._weight(flow[0]))
        if urgency is None:
            urgency = self._kind_entry(flow[1]).urgency
        return self._waits.wait(now, self._queued, kind, record, urgency, 1)

    def dump(self) -> dict[str, object]:
        """Queued tasks, shares and mean costs by kind, and queued tasks by active flow."""
        return {
            "queued": self._queued,
            "served_per_s": round(self._waits.rate(), 3),
            "kinds": {
                name: {
                    "queued": kind.queued,
                    "share": round(kind.share, 3),
                    "cost_s": round(kind.cost_s, 3),
                }
                for name, kind in self._kind_by_name.items()
            },
            "flows": {
                "/".join(key): flow.queued
                for kind in self._kind_by_name.values()
                for key, flow in kind.flow_by_key.items()
                if flow.queued
            },
        }

    def _read_config(self) -> None:
        site = self._config.current
        if site is self._site or site is None:
            return
        self._site = site
        self._limits = site.limits
        for kind in self._kind_by_name.values():
            for key, flow in kind.flow_by_key.items():
                kind.set_weight(flow, self._weight(key[0]))
        self._set_shares()

    def _kind_entry(self, name: str) -> KindEntry:
        found = self._site.kinds_by_name.get(name) if self._site is not None else None
        return found or KindEntry(name=name)

    def _weight(self, caller: str) -> float:
        found = self._site.callers_by_name.get(caller) if self._site is not None else None
        return max(found.weight, MIN_WEIGHT) if found else 1.0

    def _set_shares(self) -> None:
        entries = [self._kind_entry(name) for name in self._kind_by_name]
        self._order.set_shares(
            {entry.name: max(0.0, entry.share) for entry in entries},
            self._limits.background_share,
            {entry.name for entry in entries if entry.urgency is Urgency.BACKGROUND},
        )

    def _find_kind(self, name: str) -> KindFlows:
        kind = self._kind_by_name.get(name)
        if kind is None:
            kind = KindFlows(name, self._kind_entry(name).typical_s)
            self._kind_by_name[name] = kind
            self._order.add_kind(kind)
            self._set_shares()
        return kind

    def _find_flow(self, entry: QueuedRequest) -> tuple[KindFlows, Flow]:
        kind = self._find_kind(entry.request.kind)
        flow = kind.flow_by_key.get(entry.flow)
        if flow is None:
            if len(kind.flow_by_key) >= IDLE_FLOWS_KEPT + 2 * kind.active_flows:
                kind.evict_idle_flows()
            flow = Flow(entry.flow, self._weight(entry.request.caller))
            kind.flow_by_key[entry.flow] = flow
        return kind, flow

    def _check_admission(
        self, now: float, entry: QueuedRequest, kind: KindFlows, flow: Flow
    ) -> QueueRefusal | None:
        tasks = len(entry.remaining)
        excess = self._excess(kind, flow, tasks)
        if excess > 0:
            over_s = self._waits.drain_time(now, kind, flow, excess)
            return self._refuse(now, entry, kind, flow, Reason.FLOW_LIMIT, over_s)
        if not kind.cost_samples and not flow.queued:
            # Admitted without an estimate, as the declared run time may be far too high and only a
            # first run can correct it.
            return None
        wait_s = self._waits.wait(now, self._queued, kind, flow, entry.request.urgency, tasks)
        over_s = wait_s - (entry.deadline_at - now) / WAIT_MARGIN
        if over_s > 0.0:
            return self._refuse(now, entry, kind, flow, Reason.DEADLINE, over_s)
        return None

    def _excess(self, kind: KindFlows, flow: Flow, tasks: int) -> int:
        """Number of tasks by which a request exceeds the bound of its flow or of the whole queue.

        A kind may queue at most as many tasks as it leaves free for the others, so that one kind
        cannot fill the queue. In a kind over that bound, each caller keeps an equal part of it.
        """
        over_flow = flow.queued + tasks - self._limits.queued_tasks_per_flow
        free = max(0, self._limits.queued_tasks_total - self._queued)
        over_kind = kind.queued + tasks - free
        if over_kind <= 0:
            return max(0, over_flow)
        callers = kind.active_flows + (not flow.queued)
        over_part = flow.queued + tasks - free // callers
        return max(0, over_flow, min(over_kind, over_part))

    def _refuse(
        self,
        now: float,
        entry: QueuedRequest,
        kind: KindFlows,
        flow: Flow,
        reason: Reason,
        over_s: float,
    ) -> QueueRefusal:
        """Reject with the time after which the flow is expected to have capacity again.

        Each rejected request moves that time on by its own service time, so that retries arrive at
        the rate at which the flow is served rather than all at once.
        """
        own_s = self._waits.drain_time(now, kind, flow, len(entry.remaining))
        flow.retry_at = min(max(now + over_s, flow.retry_at + own_s), now + MAX_RETRY_S)
        retry_s = max(MIN_RETRY_S, flow.retry_at - now)
        message = f"{flow.queued} tasks of caller {flow.key[0]}, kind {flow.key[1]} are waiting"
        return QueueRefusal(reason=reason, message=message, retry_after_s=round(retry_s, 3))

    def _insert(self, now: float, entry: QueuedRequest, kind: KindFlows, flow: Flow) -> None:
        self._waits.start_backlog(now, self._queued, kind, flow)
        if not flow.queued:
            kind.activate(flow)
        flow.requests_by_urgency[entry.request.urgency][entry.key] = entry
        self._request_by_key[entry.key] = entry
        heapq.heappush(self._deadlines, (entry.deadline_at, next(self._sequence), entry))
        self._add_queued(kind, flow, entry.request.urgency, len(entry.remaining))
        kind.reposition(flow)
        self._order.reposition(kind)

    def _remove(self, key: RequestKey) -> int:
        entry = self._request_by_key.get(key)
        if entry is None:
            return 0
        kind, flow = self._find_flow(entry)
        tasks = len(entry.remaining)
        self._add_queued(kind, flow, entry.request.urgency, -tasks)
        self._remove_entry(entry, kind, flow)
        self._order.reposition(kind)
        return tasks

    def _remove_entry(self, entry: QueuedRequest, kind: KindFlows, flow: Flow) -> None:
        del self._request_by_key[entry.key]
        del flow.requests_by_urgency[entry.request.urgency][entry.key]
        if flow.queued:
            kind.reposition(flow)
        else:
            kind.deactivate(flow)

    def _add_queued(self, kind: KindFlows, flow: Flow, urgency: int, tasks: int) -> None:
        flow.queued += tasks
        flow.queued_by_urgency[urgency] += tasks
        kind.queued += tasks
        self._queued += tasks
