"""Admission control at the host that callers reach, and retry budgets.

Submissions that would miss their deadline or exceed a limit are shed before any work is done.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ._config import Urgency
from ._fair_queue import WAIT_MARGIN, FlowKey, QueueRefusal
from ._outcomes import Reason, SubmissionBody
from ._system import ConfigView

MIN_RETRY_AFTER_S = 0.1
"""Shortest retry time given to a caller."""

REFUSAL_CACHE_S = 0.25
"""Minimum time for which a scheduler's refusal is cached and repeated locally."""

REFUSAL_CACHE_RATIO = 0.25
"""Time for which a refusal is cached, as a ratio of the flow's expected wait. The scheduler's queue
does not run empty in that time."""

GRANT_RATE_TIME_CONSTANT_S = 5.0
"""Time constant of the moving average of a flow's grant rate."""

MIN_GRANTS_PER_S = 4.0
"""Lowest rate at which refused tasks are scheduled to retry, in force while fewer or no tasks are
granted. A task takes 50 ms to 1 s."""

MAX_RETRY_AFTER_S = 300.0
"""Limit on the time by which retries are spread."""

MAX_FLOWS = 20_000
"""Estimates kept before stale ones are evicted."""

ESTIMATE_TTL_S = 60.0
"""Age at which the estimate of a flow is stale."""

MAX_BUDGETED_RETRIES = 100.0
"""Burst size of a retry budget."""


@dataclass(slots=True)
class FlowEstimate:
    """Estimates for one flow, from the scheduler's latest grants and refusals.

    :ivar updated_at: time of the latest grant or refusal.
    :ivar start_at: time at which a task submitted at the latest grant or refusal of its urgency was
        expected to start, by urgency.
    :ivar refused_until: time until which the scheduler's refusal is repeated.
    :ivar retry_at: time at which the scheduler expected free capacity.
    :ivar reason: reason of the scheduler's refusal.
    :ivar recent_grants: granted tasks, decaying over ``GRANT_RATE_TIME_CONSTANT_S``.
    :ivar granted_at: time of the latest grant.
    :ivar first_granted_at: time of the first grant, from which the rate is averaged.
    :ivar retries_reserved_until: latest time at which a refused task has been told to retry.
    """

    updated_at: float
    start_at: list[float] = field(default_factory=lambda: [0.0] * len(Urgency))
    refused_until: float = 0.0
    retry_at: float = 0.0
    reason: Reason = Reason.FLOW_LIMIT
    recent_grants: float = 0.0
    granted_at: float = -math.inf
    first_granted_at: float = math.inf
    retries_reserved_until: float = 0.0

    def record_grants(self, now: float, tasks: int) -> None:
        """Count granted tasks."""
        if self.recent_grants == 0.0:
            self.first_granted_at = now
        self.recent_grants = self._decayed_grants(now) + tasks
        self.granted_at = now

    def reserve_retry(self, now: float, earliest_s: float, tasks: int) -> float:
        """Return the seconds after which refused tasks may be retried.

        Each refusal is scheduled after the earlier ones, at the rate at which this host gets
        grants for the flow.

        :param earliest_s: shortest time before a retry.
        """
        grants_per_s = max(self._grants_per_s(now), MIN_GRANTS_PER_S)
        earliest_at = max(now + earliest_s, self.retries_reserved_until)
        self.retries_reserved_until = min(
            earliest_at + tasks / grants_per_s, now + MAX_RETRY_AFTER_S
        )
        return self.retries_reserved_until - now

    def _grants_per_s(self, now: float) -> float:
        age_s = max(now - self.first_granted_at, 0.1)
        return self._decayed_grants(now) / (
            GRANT_RATE_TIME_CONSTANT_S * (1.0 - math.exp(-age_s / GRANT_RATE_TIME_CONSTANT_S))
        )

    def _decayed_grants(self, now: float) -> float:
        return self.recent_grants * math.exp((self.granted_at - now) / GRANT_RATE_TIME_CONSTANT_S)


class RetryBudget:
    """Token bucket that limits retries to a ratio of the first starts.

    :ivar ratio: tokens added per first start; a retry costs one.
    """

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = 0.0

    def record_start(self, starts: int = 1) -> None:
        """Add tokens for starts of tasks that were not started before."""
        self._tokens = min(MAX_BUDGETED_RETRIES, self._tokens + starts * self.ratio)

    def try_retry(self) -> bool:
        """Take a token if one is available, and return whether it was."""
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


class Admission:
    """Limits waiting tasks per flow and sheds load that schedulers are expected to refuse.

    A flow is the work of one kind from one caller.
    """

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config
        self._estimate_by_flow: dict[FlowKey, FlowEstimate] = {}
        self._waiting_by_flow: dict[FlowKey, int] = {}
        self._budget_by_kind: dict[str, RetryBudget] = defaultdict(self._new_budget)

    def check(self, now: float, caller: str, body: SubmissionBody) -> QueueRefusal | None:
        """Return a refusal of a submission, or None if it is admitted."""
        flow = (caller, body.kind)
        return self.check_flow(now, flow, len(body.tasks), body.deadline_s, body.urgency)

    def check_flow(
        self, now: float, flow: FlowKey, tasks: int, deadline_s: float, urgency: Urgency
    ) -> QueueRefusal | None:
        """Return a refusal from the headers alone, before the body is read, or None.

        :param tasks: number of tasks; 1 if it is not known yet.
        """
        estimate = self._estimate_by_flow.get(flow)
        wait_s = 0.0
        if estimate is not None:
            # Less urgent work of a flow waits at least as long as more urgent work.
            wait_s = max(0.0, max(estimate.start_at[: urgency + 1]) - now)
        site = self._config.current
        waiting = self._waiting_by_flow.get(flow, 0)
        if site is not None and waiting + tasks > site.limits.queued_tasks_per_flow:
            message = (
                f"{waiting} tasks of caller {flow[0]}, kind {flow[1]} already wait at this host"
            )
            return _refusal(Reason.FLOW_LIMIT, message, wait_s)
        if estimate is None:
            return None
        over_s = wait_s - deadline_s / WAIT_MARGIN
        if over_s > 0.0:
            message = f"the expected wait is {wait_s:.1f} s, the deadline {deadline_s:.1f} s"
            return _refusal(Reason.DEADLINE, message, estimate.reserve_retry(now, over_s, tasks))
        if now < estimate.refused_until:
            message = f"the queue of caller {flow[0]}, kind {flow[1]} is full"
            return _refusal(
                estimate.reason,
                message,
                estimate.reserve_retry(now, estimate.retry_at - now, tasks),
            )
        return None

    def record_wait(
        self,
        now: float,
        flow: FlowKey,
        wait_s: float,
        urgency: Urgency = Urgency.NORMAL,
        granted: int = 0,
    ) -> None:
        """Update the expected wait of a flow from a grant or refusal.

        The expected wait shrinks as time passes, so a flow refused here reaches the scheduler
        again once the queue seen there should have been served.

        :param urgency: urgency of the submission that was granted or refused.
        :param granted: number of its tasks that were granted a slot.
        """
        estimate = self._estimate_for(now, flow)
        estimate.start_at[urgency] = now + wait_s
        if granted:
            estimate.record_grants(now, granted)

    def record_refusal(
        self, now: float, flow: FlowKey, reason: Reason, retry_after_s: float | None
    ) -> None:
        """Cache a scheduler's refusal of a flow; call it after :meth:`record_wait`."""
        if reason not in (Reason.FLOW_LIMIT, Reason.QUOTA):
            return
        estimate = self._estimate_for(now, flow)
        retry_s = max(MIN_RETRY_AFTER_S, retry_after_s or 0.0)
        wait_s = max(estimate.start_at) - now
        cache_s = max(REFUSAL_CACHE_S, wait_s * REFUSAL_CACHE_RATIO)
        estimate.reason = reason
        estimate.retry_at = now + retry_s
        estimate.refused_until = now + min(retry_s, cache_s)

    def add_waiting(self, flow: FlowKey, tasks: int) -> None:
        """Change the number of a flow's waiting tasks.

        :param tasks: tasks that begin to wait, or minus the number of those that stop waiting.
        """
        left = self._waiting_by_flow.get(flow, 0) + tasks
        if left > 0:
            self._waiting_by_flow[flow] = left
        else:
            self._waiting_by_flow.pop(flow, None)

    def record_start(self, kind: str, starts: int = 1) -> None:
        """Add first starts of a kind to its retry budget."""
        self._budget_by_kind[kind].record_start(starts)

    def try_retry(self, kind: str) -> bool:
        """Take a retry from the budget of a kind if one is available, and return whether it was."""
        return self._budget_by_kind[kind].try_retry()

    def dump(self) -> dict[str, object]:
        """Waiting tasks and expected start times by flow as JSON values, for the state dump."""
        return {
            "waiting": {"/".join(flow): tasks for flow, tasks in self._waiting_by_flow.items()},
            "start_at": {
                "/".join(f): max(estimate.start_at)
                for f, estimate in self._estimate_by_flow.items()
            },
        }

    def _estimate_for(self, now: float, flow: FlowKey) -> FlowEstimate:
        estimate = self._estimate_by_flow.get(flow)
        if estimate is None:
            if len(self._estimate_by_flow) >= MAX_FLOWS:
                self._evict_stale(now)
            estimate = self._estimate_by_flow[flow] = FlowEstimate(now)
        estimate.updated_at = now
        return estimate

    def _evict_stale(self, now: float) -> None:
        fresh = {
            f: estimate
            for f, estimate in self._estimate_by_flow.items()
            if now - estimate.updated_at < ESTIMATE_TTL_S
        }
        self._estimate_by_flow = fresh if len(fresh) < MAX_FLOWS else {}

    def _new_budget(self) -> RetryBudget:
        site = self._config.current
        return RetryBudget(site.limits.retry_budget_ratio if site is not None else 0.1)


def _refusal(reason: Reason, message: str, retry_s: float) -> QueueRefusal:
    retry_after_s = round(max(MIN_RETRY_AFTER_S, retry_s), 3)
    return QueueRefusal(reason=reason, message=message, retry_after_s=retry_after_s)
