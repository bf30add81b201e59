"""Refusals at the host towards callers, before any work is done, and budgets for retries."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ._config import Urgency
from ._fairqueue import WAIT_MARGIN, FlowKey, QueueRefusal
from ._outcomes import Reason, SubmissionBody
from ._system import ConfigView

MIN_RETRY_S = 0.1

REFUSAL_HOLD_S = 0.25
"""Time for which a scheduler's refusal is repeated locally, if its queue is short."""

REFUSAL_HOLD_PART = 0.25
"""The same as a part of the flow's expected wait; its queue does not run empty meanwhile."""

GRANT_WINDOW_S = 5.0
"""Time constant of the rate at which a flow gets places."""

LEAST_GRANTS_PER_S = 4.0
"""Rate at which refused work comes back while nothing is granted; a task takes 50 ms to 1 s."""

MAX_RETRY_S = 300.0

MAX_FLOWS = 20_000
"""Flows kept before those without news are dropped."""

NEWS_S = 60.0
"""Age at which the news of a flow is dropped."""

MAX_SAVED_RETRIES = 100.0
"""Retries that a long quiet time may save up."""


@dataclass(slots=True)
class FlowNews:
    """What the scheduler last said of a flow.

    :ivar start_at: time at which a task submitted at ``noted_at`` was expected to start, by
        urgency.
    :ivar closed_until: time up to which the scheduler's refusal is repeated.
    :ivar retry_at: time at which the scheduler expected room.
    :ivar granted: tasks that got a place, decaying over ``GRANT_WINDOW_S``.
    :ivar booked_until: time up to which refused tasks have been told to come back.
    """

    noted_at: float
    start_at: list[float] = field(default_factory=lambda: [0.0] * len(Urgency))
    closed_until: float = 0.0
    retry_at: float = 0.0
    reason: Reason = Reason.FLOW_LIMIT
    granted: float = 0.0
    granted_at: float = -math.inf
    first_granted_at: float = math.inf
    booked_until: float = 0.0

    def note_granted(self, now: float, tasks: int) -> None:
        """Count tasks that got a place."""
        if self.granted == 0.0:
            self.first_granted_at = now
        self.granted = self._granted(now) + tasks
        self.granted_at = now

    def book(self, now: float, earliest_s: float, tasks: int) -> float:
        """Seconds after which refused tasks may come back, behind those refused before.

        They come back no faster than this host gets places for the flow.
        """
        per_s = max(self._grants_per_s(now), LEAST_GRANTS_PER_S)
        room_at = max(now + earliest_s, self.booked_until)
        self.booked_until = min(room_at + tasks / per_s, now + MAX_RETRY_S)
        return self.booked_until - now

    def _grants_per_s(self, now: float) -> float:
        age_s = max(now - self.first_granted_at, 0.1)
        return self._granted(now) / (GRANT_WINDOW_S * (1.0 - math.exp(-age_s / GRANT_WINDOW_S)))

    def _granted(self, now: float) -> float:
        return self.granted * math.exp((self.granted_at - now) / GRANT_WINDOW_S)


class RetryBudget:
    """Allows repeated starts up to a part of all starts."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._saved = 0.0

    def note_start(self, starts: int = 1) -> None:
        """Count starts of work that was not started before."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + starts * self.ratio)

    def try_retry(self) -> bool:
        """Take one retry from the budget if it has one."""
        if self._saved < 1.0 - 1e-9:
            return False
        self._saved -= 1.0
        return True


class Admission:
    """Bounds per flow at one host, and what the schedulers said about waits."""

    def __init__(self, *, config: ConfigView) -> None:
        self._config = config
        self._news_by_flow: dict[FlowKey, FlowNews] = {}
        self._waiting_by_flow: dict[FlowKey, int] = {}
        self._budget_by_kind: dict[str, RetryBudget] = defaultdict(self._new_budget)

    def check(self, now: float, caller: str, body: SubmissionBody) -> QueueRefusal | None:
        """Tell why a submission is refused here, or None if it may go on."""
        flow = (caller, body.kind)
        return self.check_flow(now, flow, len(body.tasks), body.deadline_s, body.urgency)

    def check_flow(
        self, now: float, flow: FlowKey, tasks: int, deadline_s: float, urgency: Urgency
    ) -> QueueRefusal | None:
        """The same from the headers, before the body is read.

        :param tasks: number of tasks; 1 if it is not known yet.
        """
        news = self._news_by_flow.get(flow)
        wait_s = 0.0
        if news is not None:
            # Less urgent work of a flow waits at least as long as more urgent work.
            wait_s = max(0.0, max(news.start_at[: urgency + 1]) - now)
        site = self._config.current
        waiting = self._waiting_by_flow.get(flow, 0)
        if site is not None and waiting + tasks > site.limits.queued_tasks_per_flow:
            message = f"{waiting} tasks of caller {flow[0]}, kind {flow[1]} are waiting here"
            return _refusal(Reason.FLOW_LIMIT, message, wait_s)
        if news is None:
            return None
        over_s = wait_s - deadline_s / WAIT_MARGIN
        if over_s > 0.0:
            message = f"the expected wait is {wait_s:.1f} s, the deadline {deadline_s:.1f} s"
            return _refusal(Reason.DEADLINE, message, news.book(now, over_s, tasks))
        if now < news.closed_until:
            message = f"the queue of caller {flow[0]}, kind {flow[1]} is full"
            return _refusal(news.reason, message, news.book(now, news.retry_at - now, tasks))
        return None

    def note_wait(
        self,
        now: float,
        flow: FlowKey,
        wait_s: float,
        urgency: Urgency = Urgency.NORMAL,
        granted: int = 0,
    ) -> None:
        """Take the expected wait of a flow from a grant or refusal.

        The wait is taken to shrink as time passes, so a flow that is refused here is tried again
        at the scheduler once the queue that was there must have been served.

        :param urgency: urgency of the submission that was granted or refused.
        :param granted: number of its tasks that got a place.
        """
        news = self._news(now, flow)
        news.start_at[urgency] = now + wait_s
        if granted:
            news.note_granted(now, granted)

    def note_refusal(
        self, now: float, flow: FlowKey, reason: Reason, retry_after_s: float | None
    ) -> None:
        """Repeat a scheduler's refusal of a flow here for a while; follows :meth:`note_wait`."""
        if reason not in (Reason.FLOW_LIMIT, Reason.QUOTA):
            return
        news = self._news(now, flow)
        retry_s = max(MIN_RETRY_S, retry_after_s or 0.0)
        wait_s = max(news.start_at) - now
        hold_s = max(REFUSAL_HOLD_S, wait_s * REFUSAL_HOLD_PART)
        news.reason = reason
        news.retry_at = now + retry_s
        news.closed_until = now + min(retry_s, hold_s)

    def add_waiting(self, flow: FlowKey, tasks: int) -> None:
        """Count tasks that wait for a place, or stop to if ``tasks`` is negative."""
        left = self._waiting_by_flow.get(flow, 0) + tasks
        if left > 0:
            self._waiting_by_flow[flow] = left
        else:
            self._waiting_by_flow.pop(flow, None)

    def note_start(self, kind: str, starts: int = 1) -> None:
        """Count first starts of a kind towards its retry budget."""
        self._budget_by_kind[kind].note_start(starts)

    def try_retry(self, kind: str) -> bool:
        """Take one retry from the budget of a kind if there is one."""
        return self._budget_by_kind[kind].try_retry()

    def dump(self) -> dict[str, object]:
        """Waiting tasks and start times by flow."""
        return {
            "waiting": {"/".join(flow): tasks for flow, tasks in self._waiting_by_flow.items()},
            "start_at": {"/".join(f): max(news.start_at) for f, news in self._news_by_flow.items()},
        }

    def _news(self, now: float, flow: FlowKey) -> FlowNews:
        news = self._news_by_flow.get(flow)
        if news is None:
            if len(self._news_by_flow) >= MAX_FLOWS:
                self._forget(now)
            news = self._news_by_flow[flow] = FlowNews(now)
        news.noted_at = now
        return news

    def _forget(self, now: float) -> None:
        fresh = {f: n for f, n in self._news_by_flow.items() if now - n.noted_at < NEWS_S}
        self._news_by_flow = fresh if len(fresh) < MAX_FLOWS else {}

    def _new_budget(self) -> RetryBudget:
        site = self._config.current
        return RetryBudget(site.limits.retry_budget_ratio if site is not None else 0.1)


def _refusal(reason: Reason, message: str, retry_s: float) -> QueueRefusal:
    retry_after_s = round(max(MIN_RETRY_S, retry_s), 3)
    return QueueRefusal(reason=reason, message=message, retry_after_s=retry_after_s)
