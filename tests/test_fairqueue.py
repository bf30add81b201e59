"""Fair queue: order of service, shares, queue bounds, early rejection."""

from __future__ import annotations

import itertools
from collections import Counter, deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.policy import (
    CallerEntry,
    KindEntry,
    Limits,
    Reason,
    SiteConfig,
    SlotAsk,
    TaskSize,
    Urgency,
)
from eelgrassyard.policy._fair_queue import WAIT_MARGIN, FairQueue, QueuedRequest

FIXED = settings(derandomize=True, deadline=None, max_examples=60)
URGENCIES = tuple(Urgency)


class FixedConfig:
    """A configuration view with a fixed revision."""

    revision = 1

    def __init__(self, current: SiteConfig) -> None:
        self.current = current


def make_site(
    shares: dict[str, float],
    weights: dict[str, float] | None = None,
    limits: Limits | None = None,
) -> SiteConfig:
    return SiteConfig(
        site="test",
        failure_domains=("a",),
        kinds_by_name={n: KindEntry(name=n, share=s, typical_s=0.1) for n, s in shares.items()},
        callers_by_name={
            n: CallerEntry(name=n, team="t", weight=w) for n, w in (weights or {}).items()
        },
        limits=limits or Limits(),
    )


def make_queue(shares: dict[str, float], **options) -> FairQueue:
    return FairQueue(config=FixedConfig(make_site(shares, **options)))


def make_entry(
    submission: str,
    caller: str = "c",
    kind: str = "k",
    *,
    tasks: int = 1,
    urgency: Urgency = Urgency.NORMAL,
    now: float = 0.0,
    deadline_s: float = 1e6,
) -> QueuedRequest:
    sizes = tuple(TaskSize(index=i) for i in range(tasks))
    ask = SlotAsk(
        submission_id=submission,
        pool="p",
        caller=caller,
        team="t",
        kind=kind,
        urgency=urgency,
        deadline_s=deadline_s,
        tasks=sizes,
    )
    return QueuedRequest(
        owner="h",
        request=ask,
        requested_at=now,
        deadline_at=now + deadline_s,
        remaining=deque(sizes),
    )


def serve(queue: FairQueue, tasks: int, cost_s: float = 0.1) -> Counter:
    """Serve tasks one after the other; returns the number served by flow and urgency."""
    served: Counter = Counter()
    for i in range(tasks):
        entry = queue.select(i * cost_s)
        assert entry is not None
        queue.take(i * cost_s, entry, 1, cost_s)
        served[(*entry.flow, entry.request.urgency)] += 1
    return served


def by_caller(served: Counter) -> Counter:
    counts: Counter = Counter()
    for (caller, _, _), tasks in served.items():
        counts[caller] += tasks
    return counts


@FIXED
@given(
    weights=st.lists(st.sampled_from((0.5, 1.0, 2.0, 3.0)), min_size=2, max_size=5),
    tasks=st.integers(1, 120),
)
def test_callers_of_a_kind_share_by_weight_within_a_task(weights, tasks):
    """Guards against a caller that gets more or less than its weighted share of a kind."""
    names = {f"c{i}": weight for i, weight in enumerate(weights)}
    queue = make_queue({"k": 0.5}, weights=names)
    for name in names:
        queue.add(0.0, make_entry(name, name, tasks=500))
    served = by_caller(serve(queue, tasks))
    for name, weight in names.items():
        assert abs(served[name] - tasks * weight / sum(weights)) <= 1.0 + 1e-6


@FIXED
@given(
    shares=st.lists(st.sampled_from((0.1, 0.2, 0.4)), min_size=2, max_size=4),
    tasks=st.integers(1, 200),
)
def test_kinds_of_one_urgency_share_by_weight_within_a_task_per_stage(shares, tasks):
    """Guards against a kind that gets more or less than its share.

    Guarantees and surplus are two stages, each of them exact to one task.
    """
    names = {f"k{i}": share for i, share in enumerate(shares)}
    queue = make_queue(names)
    for name in names:
        queue.add(0.0, make_entry(name, kind=name, tasks=500))
    served = serve(queue, tasks)
    for name, share in names.items():
        count = served[("c", name, Urgency.NORMAL)]
        assert abs(count - tasks * share / sum(shares)) <= 2.0 + 1e-6


@pytest.mark.parametrize("flood_urgency", URGENCIES)
def test_flood_of_one_caller_leaves_the_other_callers_their_share(flood_urgency):
    """Guards against urgent floods that starve other callers of the same kind."""
    queue = make_queue({"k": 0.9})
    queue.add(0.0, make_entry("flood", "flooder", tasks=4000, urgency=flood_urgency))
    queue.add(0.0, make_entry("quiet", "quiet", tasks=1000, urgency=Urgency.BACKGROUND))
    served = by_caller(serve(queue, 400))
    assert served["quiet"] >= 199


@pytest.mark.parametrize("callers", (1, 300))
def test_urgent_flood_of_one_kind_leaves_other_kinds_their_guarantee(callers):
    """Guards against a flood that evades the bounds per flow by using many callers."""
    queue = make_queue({"flood": 0.3, "quiet": 0.5})
    for i in range(callers):
        entry = make_entry(f"f{i}", f"f{i}", "flood", tasks=3000 // callers, urgency=Urgency.URGENT)
        queue.add(0.0, entry)
    queue.add(0.0, make_entry("quiet", "q", "quiet", tasks=1000, urgency=Urgency.BACKGROUND))
    served = serve(queue, 1000)
    quiet = served[("q", "quiet", Urgency.BACKGROUND)]
    assert quiet >= 0.5 * 1000 - 2


def test_surplus_beyond_the_guarantees_goes_to_the_most_urgent():
    """Guards against urgency having no effect once every kind has its guarantee."""
    queue = make_queue({"a": 0.2, "b": 0.2})
    queue.add(0.0, make_entry("a", "c", "a", tasks=1000, urgency=Urgency.URGENT))
    queue.add(0.0, make_entry("b", "c", "b", tasks=1000, urgency=Urgency.NORMAL))
    served = serve(queue, 1000)
    assert served[("c", "b", Urgency.NORMAL)] == pytest.approx(200, abs=2)


@FIXED
@given(
    urgent_callers=st.integers(1, 6),
    background_share=st.sampled_from((0.02, 0.05, 0.2)),
    same_kind=st.booleans(),
)
def test_background_gets_its_minimum(urgent_callers, background_share, same_kind):
    """Guards against background work that starves while urgent work floods in."""
    limits = Limits(background_share=background_share)
    queue = make_queue({"k": 0.9, "b": 0.0}, limits=limits)
    for i in range(urgent_callers):
        queue.add(0.0, make_entry(f"u{i}", f"u{i}", tasks=2000, urgency=Urgency.URGENT))
    kind = "k" if same_kind else "b"
    queue.add(0.0, make_entry("b", "b", kind, tasks=500, urgency=Urgency.BACKGROUND))
    served = serve(queue, 1000)
    assert served[("b", kind, Urgency.BACKGROUND)] >= background_share * 1000 - 1


operations = st.lists(
    st.tuples(
        st.sampled_from(("add", "take", "withdraw", "expire", "correct")),
        st.integers(0, 7),
        st.integers(1, 5),
        st.sampled_from(URGENCIES),
    ),
    max_size=80,
)


@FIXED
@given(steps=operations)
def test_no_task_is_lost_or_served_twice(steps):
    """Guards against tasks that are dropped or granted twice, for any order of calls."""
    queue = make_queue({"k0": 0.3, "k1": 0.5})
    waiting: dict[str, int] = {}
    for now, (what, number, tasks, urgency) in enumerate(steps):
        name = str(number)
        if what == "add":
            entry = make_entry(
                name,
                f"c{number % 3}",
                f"k{number % 2}",
                tasks=tasks,
                urgency=urgency,
                now=now,
                deadline_s=10.0 + 5 * number,
            )
            if queue.add(now, entry) is None:
                waiting[name] = tasks
            else:
                waiting.pop(name, None)
        elif what == "take":
            found = queue.select(now)
            assert (found is None) == (not waiting)
            if found is not None:
                count = min(tasks, len(found.remaining))
                assert len(queue.take(now, found, count, 0.1)) == count
                waiting[found.request.submission_id] -= count
        elif what == "withdraw":
            assert queue.withdraw("h", name) == waiting.pop(name, 0)
        elif what == "expire":
            for late in queue.expire(now):
                assert late.deadline_at <= now
                assert waiting.pop(late.request.submission_id) == len(late.remaining)
        else:
            queue.correct_cost((f"c{number % 3}", f"k{number % 2}"), 0.1, 0.05 * tasks)
        waiting = {k: v for k, v in waiting.items() if v}
        assert len(queue) == sum(waiting.values())
    left = Counter()
    while (entry := queue.select(1000.0)) is not None:
        left[entry.request.submission_id] += len(queue.take(1000.0, entry, 1, 0.1))
    assert left == waiting


def test_skipped_flows_are_ignored_and_keep_their_position():
    """Guards against a flow without capacity or quota blocking the others or losing its turn."""
    queue = make_queue({"a": 0.4, "b": 0.4})
    for kind in "ab":
        for caller in ("c0", "c1"):
            queue.add(0.0, make_entry(f"{kind}{caller}", caller, kind, tasks=5))
    skip: set = set()
    order = []
    while (entry := queue.select(0.0, skip=skip)) is not None:
        order.append(entry.flow)
        skip.add(entry.flow)
    assert len(order) == len(set(order)) == 4
    assert queue.select(0.0).flow == order[0]


def test_corrected_costs_decide_the_shares():
    """Guards against a flow that gets more than its share by declaring short run times."""
    queue = make_queue({"k": 0.5})
    queue.add(0.0, make_entry("x", "honest", tasks=1000))
    queue.add(0.0, make_entry("y", "liar", tasks=1000))
    used: Counter = Counter()
    for i in range(600):
        entry = queue.select(i * 0.1)
        queue.take(i * 0.1, entry, 1, 0.1)
        actual = 0.1 if entry.request.caller == "honest" else 0.4
        queue.correct_cost(entry.flow, 0.1, actual)
        used[entry.request.caller] += actual
    assert used["liar"] == pytest.approx(used["honest"], abs=0.5)


def test_bound_per_flow():
    """Guards against a flow that uses unbounded memory in the scheduler."""
    queue = make_queue({"k": 0.5}, limits=Limits(queued_tasks_per_flow=10))
    assert queue.add(0.0, make_entry("a", tasks=10)) is None
    refusal = queue.add(0.0, make_entry("b"))
    assert refusal.reason is Reason.FLOW_LIMIT
    assert refusal.retry_after_s > 0.0
    assert queue.add(0.0, make_entry("c", "other")) is None


def test_flood_over_many_callers_leaves_queue_capacity_for_other_kinds():
    """Guards against one kind using up the bound on all queued tasks."""
    queue = make_queue({"flood": 0.5, "quiet": 0.5}, limits=Limits(queued_tasks_total=1000))
    for i in range(2000):
        queue.add(0.0, make_entry(f"f{i}", f"c{i}", "flood"))
    assert len(queue) <= 1000
    assert queue.add(0.0, make_entry("q", "q", "quiet", tasks=50)) is None


def test_wait_beyond_the_deadline_is_rejected_with_the_excess_as_retry_hint():
    """Guards against queueing work that must miss its deadline, and against wrong retry hints."""
    queue = make_queue({"k": 0.9})
    queue.set_capacity(1.0)
    queue.add(0.0, make_entry("a", tasks=100))
    refusal = queue.add(0.0, make_entry("b", deadline_s=5.0))
    assert refusal.reason is Reason.DEADLINE
    assert refusal.retry_after_s == pytest.approx(10.1 - 5.0 / WAIT_MARGIN, rel=0.1)
    assert queue.add(0.0, make_entry("b", deadline_s=15.0)) is None


def test_retry_hints_of_many_rejections_are_spread_at_the_rate_of_the_flow():
    """Guards against rejected callers that all retry at once."""
    queue = make_queue({"k": 0.9}, limits=Limits(queued_tasks_per_flow=10))
    queue.set_capacity(1.0)
    queue.add(0.0, make_entry("a", tasks=10))
    hints = [queue.add(0.0, make_entry(f"b{i}")).retry_after_s for i in range(20)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(hints)]
    assert min(gaps) == pytest.approx(0.1, rel=0.2)


def test_expected_wait_follows_the_measured_rate():
    """Guards against estimates from a declared capacity that the pool does not have."""
    queue = make_queue({"k": 0.9})
    queue.set_capacity(10.0)
    queue.add(0.0, make_entry("a", tasks=1000))
    now = 0.0
    for _ in range(100):
        now += 0.1
        queue.take(now, queue.select(now), 1, 0.1)
    assert queue.expected_wait(now, ("c", "k")) == pytest.approx(90.0, rel=0.1)


def test_repeated_request_replaces_the_earlier_one():
    """Guards against tasks that are granted twice when an owner repeats its request."""
    queue = make_queue({"k": 0.5})
    queue.add(0.0, make_entry("a", tasks=5))
    queue.add(1.0, make_entry("a", tasks=3))
    assert len(queue) == 3


def test_accepted_work_of_a_flood_is_served_before_its_deadline():
    """Guards against wait estimates that include capacity used by another kind.

    The other kind never has a backlog, but it uses half of the slots.
    """
    queue = make_queue({"quiet": 0.6, "flood": 0.2})
    queue.set_capacity(10.0)
    free, now, late, served = 10, 0.0, 0, 0
    running: list[float] = []
    for step in range(4000):
        now = step * 0.01
        while running and running[0] <= now:
            running.pop(0)
            free += 1
        late += len(queue.expire(now))
        if step % 2 == 0:
            queue.add(now, make_entry(f"q{step}", "q", "quiet", now=now, deadline_s=5.0))
        if now >= 5.0:
            for i in range(5):
                name = f"f{step}/{i}"
                queue.add(now, make_entry(name, f"f{i}", "flood", now=now, deadline_s=5.0))
        while free and (entry := queue.select(now)) is not None:
            queue.take(now, entry, 1, 0.1)
            free -= 1
            running.append(now + 0.1)
            served += entry.request.kind == "flood"
    assert served > 1000
    assert late <= 0.05 * served
