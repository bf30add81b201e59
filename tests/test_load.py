"""The load generator: schedule, ideal, summary, and an open-loop run against fake hosts."""

import itertools
import json
import math
import statistics

import anyio
import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.cli import Client, State, SubmissionAnswer
from eelgrassyard.cli._load import (
    Arrival,
    LoadResult,
    format_summary,
    ideal_response_times,
    make_schedule,
    parse_slots,
    summarize,
)
from eelgrassyard.cli._load_command import LoadGenerator, LoadOptions, _digest, find_result_error
from tool_fakes import outcome


def schedule(seed: int, **changes) -> list[Arrival]:
    arguments = {
        "rate_per_s": 50.0,
        "duration_s": 100.0,
        "work_s": 0.2,
        "spread": "exponential",
        "max_arrivals": 10**6,
    }
    return make_schedule(seed=seed, **(arguments | changes))


def test_the_schedule_repeats_and_has_the_rate_asked_for():
    """Guards against runs that cannot be compared, and a rate other than the one reported."""
    arrivals = schedule(1)
    assert arrivals == schedule(1)
    assert arrivals != schedule(2)
    assert len(arrivals) == pytest.approx(5000, rel=0.05)
    gaps = [b.at_s - a.at_s for a, b in itertools.pairwise(arrivals)]
    # In a Poisson process the deviation of the gaps equals their mean.
    assert statistics.pstdev(gaps) == pytest.approx(statistics.mean(gaps), rel=0.1)
    assert statistics.mean(item.work_s for item in arrivals) == pytest.approx(0.2, rel=0.1)
    assert len(schedule(1, max_arrivals=10)) == 10
    # The same seed keeps its arrivals when only the run times change.
    assert [a.at_s for a in schedule(1, work_s=0.5)] == [a.at_s for a in arrivals]


def test_the_ideal_by_hand():
    """Guards against serving out of order, or choosing a slot where the task ends later."""
    arrivals = [Arrival(at_s=0, work_s=1), Arrival(at_s=0, work_s=1), Arrival(at_s=0.5, work_s=1)]
    assert ideal_response_times(arrivals, slots_by_speed={1.0: 1}) == [1, 2, 2.5]
    assert ideal_response_times(arrivals, slots_by_speed={1.0: 3}) == [1, 1, 1]
    # The third waits 0.5 s for the fast slot, which ends sooner than starting on a slow one.
    assert ideal_response_times(arrivals, slots_by_speed={2.0: 1, 0.2: 5}) == [0.5, 1.0, 1.0]
    assert ideal_response_times([Arrival(at_s=0, work_s=1)], slots_by_speed={1.0: 2}, tasks=5) == [
        3
    ]
    with pytest.raises(ValueError):
        ideal_response_times(arrivals, slots_by_speed={})


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(
    works=st.lists(st.floats(0.01, 2), min_size=1, max_size=40),
    gap_s=st.floats(0, 1),
    slots=st.integers(1, 5),
)
def test_more_slots_never_make_the_ideal_worse(works, gap_s, slots):
    """Guards against an ideal that is below the run time or not monotonic."""
    arrivals = [Arrival(at_s=i * gap_s, work_s=work) for i, work in enumerate(works)]
    few = ideal_response_times(arrivals, slots_by_speed={1.0: slots})
    more = ideal_response_times(arrivals, slots_by_speed={1.0: slots + 1})
    for arrival, fewer, time_s in zip(arrivals, few, more, strict=True):
        assert arrival.work_s - 1e-9 <= time_s <= fewer + 1e-9
    alone = ideal_response_times(arrivals, slots_by_speed={1.0: len(works)})
    assert all(math.isclose(t, a.work_s) for t, a in zip(alone, arrivals, strict=True))


def test_slots_are_read_as_count_and_speed():
    """Guards against an ideal for other upstreams than those named."""
    assert parse_slots(["96x1.0", "4x0.5", "2", "2x0.5"]) == {1.0: 98, 0.5: 6}
    for wrong in ("x1", "0x1", "3x0", "3xnan", "3x-1", "a"):
        with pytest.raises(ValueError):
            parse_slots([wrong])


def test_the_summary_counts_and_compares():
    """Guards against refusals that lower the reported response time."""
    result = LoadResult()
    for number in range(1, 101):
        result.add("complete", "", number / 100, 1)
    result.add("not_run", "flow_limit", 0.001, 2)
    summary = summarize(result, offered=102, duration_s=10, ideal_s=[0.5] * 101)
    assert summary["response_s"]["count"] == 100
    assert summary["response_s"]["p99"] == pytest.approx(0.99, rel=0.01)
    assert summary["response_s"]["mean"] == pytest.approx(0.505, rel=0.01)
    assert summary["ratio_to_ideal"]["p50"] == pytest.approx(1.0, rel=0.02)
    assert summary["calls_per_submission"] == pytest.approx(102 / 101, rel=1e-3)
    assert {"outcome": "not_run", "reason": "flow_limit", "count": 1} in summary["outcomes"]
    text = format_summary(summary)
    assert "flow_limit" in text
    assert "ratio" in text
    assert "count" in format_summary(summarize(LoadResult(), offered=0, duration_s=1))


OPTIONS = LoadOptions(
    kind="rule",
    tasks=2,
    rate_per_s=200.0,
    grace_s=5.0,
    most_open=100,
    label="1",
    cores=1.0,
    memory_mb=256,
)


def run_load(respond, arrivals, options=OPTIONS) -> LoadResult:
    async def run():
        client = Client(
            hosts=["http://10.0.0.1:1"], key="k", transport=httpx.MockTransport(respond)
        )
        try:
            return await LoadGenerator(
                client=client, options=options, arrivals=arrivals, show=False
            ).run()
        finally:
            await client.close()

    return anyio.run(run)


def answer_ids(request: httpx.Request) -> httpx.Response:
    count = json.loads(request.content)["count"]
    return httpx.Response(201, json={"ids": [f"id{n}" for n in range(count)]})


def test_a_run_counts_every_outcome():
    """Guards against submissions that are missing from the table of outcomes."""
    arrivals = [Arrival(at_s=number / 200, work_s=0.01) for number in range(20)]
    calls = iter(range(1000))

    def respond(request: httpx.Request) -> httpx.Response:
        if request.url.path == "/v1/ids":
            return answer_ids(request)
        if next(calls) % 4 == 0:
            return outcome("not_run", 429, reason="flow_limit", retry_after_s=1)
        return outcome("complete", 200, results=[1, 2])

    result = run_load(respond, arrivals)
    assert result.outcomes == {("complete", ""): 15, ("not_run", "flow_limit"): 5}
    assert (result.ended, result.broken) == (20, [])


def test_a_short_answer_is_a_broken_promise():
    """Guards against a partial answer that is counted as complete."""

    def respond(request: httpx.Request) -> httpx.Response:
        if request.url.path == "/v1/ids":
            return answer_ids(request)
        return outcome("complete", 200, results=[1])

    result = run_load(respond, [Arrival(at_s=0, work_s=0.01)])
    assert result.broken == ["id0: 1 results for 2 tasks"]


def test_an_answer_to_other_work_is_a_broken_promise():
    """Guards against counting the answer to another submission as complete."""
    body = OPTIONS.body(3, 0.01)
    right = [{"answer": _digest(task["payload"])} for task in body["tasks"]]

    def check(results) -> str:
        answer = SubmissionAnswer(submission_id="i", state=State.COMPLETE, results=tuple(results))
        return find_result_error(body, answer)

    assert check(right) == ""
    assert check(right[::-1]) == "the result of task 0 belongs to other work"
    assert find_result_error(body, SubmissionAnswer(submission_id="i", state=State.FAILED)) == ""
