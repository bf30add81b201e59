"""Admission control at a host, and retry budgets."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.policy import Limits, Reason, SiteConfig, SubmissionBody, TaskSpec, Urgency
from eelgrassyard.policy._admission import REFUSAL_CACHE_S, Admission, RetryBudget

FIXED = settings(derandomize=True, deadline=None, max_examples=60)
FLOW = ("c", "k")


class FixedConfig:
    """Configuration view that returns a fixed configuration."""

    revision = 1

    def __init__(self, current: SiteConfig | None) -> None:
        self.current = current


def make_admission(**limits) -> Admission:
    site = SiteConfig(site="test", failure_domains=("a",), limits=Limits(**limits))
    return Admission(config=FixedConfig(site))


def make_body(tasks: int = 1, deadline_s: float = 10.0, kind: str = "k") -> SubmissionBody:
    return SubmissionBody(kind=kind, tasks=(TaskSpec(payload=b"0"),) * tasks, deadline_s=deadline_s)


def test_wait_beyond_the_deadline_is_refused_until_the_queue_should_be_served():
    """Guards against work sent to a scheduler that cannot serve it, and a flow refused forever."""
    admission = make_admission()
    assert admission.check(0.0, "c", make_body()) is None
    admission.record_wait(0.0, FLOW, 14.0)
    refusal = admission.check(1.0, "c", make_body())
    assert refusal.reason is Reason.DEADLINE
    assert 3.0 <= refusal.retry_after_s <= 13.0
    assert admission.check(5.0, "c", make_body()) is None
    assert admission.check(1.0, "c", make_body(deadline_s=20.0)) is None


def test_other_flows_are_not_refused():
    """Guards against a flood of one flow that makes the host refuse others."""
    admission = make_admission()
    admission.record_wait(0.0, FLOW, 1000.0)
    admission.record_refusal(0.0, FLOW, Reason.FLOW_LIMIT, 50.0)
    assert admission.check(0.1, "other", make_body()) is None
    assert admission.check(0.1, "c", make_body(kind="other")) is None


def test_refusal_of_the_scheduler_is_cached_briefly():
    """Guards against a round trip for each refusal in a flood, and retry times that shrink."""
    admission = make_admission()
    admission.record_refusal(0.0, FLOW, Reason.FLOW_LIMIT, 5.0)
    refusal = admission.check(0.1, "c", make_body())
    assert refusal.reason is Reason.FLOW_LIMIT
    assert 4.9 <= refusal.retry_after_s <= 7.0
    assert admission.check(REFUSAL_CACHE_S + 0.01, "c", make_body()) is None


def test_refused_work_is_retried_no_faster_than_slots_are_granted():
    """Guards against refused callers that all retry at once."""
    admission = make_admission()
    for i in range(1000):
        admission.record_wait(i * 0.1, FLOW, 30.0, granted=1)
    hints = [admission.check(100.0, "c", make_body()).retry_after_s for _ in range(100)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(hints)]
    assert hints[0] >= 19.0
    assert max(gaps) == pytest.approx(0.1, rel=0.05)
    assert min(gaps) == pytest.approx(0.1, rel=0.05)


def test_waits_are_estimated_separately_by_urgency():
    """Guards against refusing urgent submissions because background work of the flow waits."""
    admission = make_admission()
    admission.record_wait(0.0, FLOW, 1000.0, Urgency.BACKGROUND)
    urgent = SubmissionBody(kind="k", tasks=(TaskSpec(payload=b"0"),), urgency=Urgency.URGENT)
    background = SubmissionBody(
        kind="k", tasks=(TaskSpec(payload=b"0"),), urgency=Urgency.BACKGROUND
    )
    assert admission.check(0.0, "c", urgent) is None
    assert admission.check(0.0, "c", background).reason is Reason.DEADLINE


def test_refusal_of_one_submission_does_not_block_the_flow():
    """Guards against refusing a flow because one of its jobs can never run."""
    admission = make_admission()
    admission.record_refusal(0.0, FLOW, Reason.IMPOSSIBLE, None)
    assert admission.check(0.1, "c", make_body()) is None


def test_limit_per_flow_counts_waiting_tasks():
    """Guards against one flow that exhausts the memory of a host."""
    admission = make_admission(queued_tasks_per_flow=10)
    admission.add_waiting(FLOW, 8)
    assert admission.check(0.0, "c", make_body(tasks=2)) is None
    refusal = admission.check(0.0, "c", make_body(tasks=3))
    assert refusal.reason is Reason.FLOW_LIMIT
    assert refusal.retry_after_s > 0.0
    admission.add_waiting(FLOW, -8)
    assert admission.check(0.0, "c", make_body(tasks=3)) is None


@FIXED
@given(
    calls=st.lists(st.one_of(st.integers(1, 50), st.none()), max_size=200),
    ratio=st.sampled_from((0.0, 0.05, 0.1, 0.5)),
)
def test_retries_stay_within_their_ratio_of_the_starts(calls, ratio):
    """Guards against retries that add more load than the budget allows."""
    budget = RetryBudget(ratio)
    starts = retries = 0
    for call in calls:
        if call is None:
            retries += budget.try_retry()
        else:
            budget.record_start(call)
            starts += call
        assert retries <= starts * ratio + 1e-6


def test_each_kind_has_its_own_retry_budget():
    """Guards against a failing service that uses up the retries of others."""
    admission = make_admission(retry_budget_ratio=0.1)
    admission.record_start("k", 10)
    assert not admission.try_retry("other")
    assert admission.try_retry("k")
    assert not admission.try_retry("k")
