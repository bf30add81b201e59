"""What a host may send to a worker that has started again under its id, unnoticed."""

from __future__ import annotations

import itertools
import json
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import pytest

from eelgrassyard.dispatch._actions import (
    Answered,
    CallFailure,
    OrderResult,
    PollReport,
    PollResult,
    PollWorker,
    Refusal,
    StartRun,
)
from eelgrassyard.dispatch._jobs import TaskId
from eelgrassyard.dispatch._leases import CLOCK_DRIFT, LEASE_S, MAX_READING_AGE_S
from eelgrassyard.dispatch._workers import WorkerRecord
from eelgrassyard.platform._worker_calls import PlatformWorkerCalls
from platform_standin import StandinWorker
from test_platform_host import JOB, Site, free_address, run_scenario

T = TypeVar("T")

LONGEST_LEASE_MS = (LEASE_S + MAX_READING_AGE_S * CLOCK_DRIFT) * 1000.0
"""Longest lease that a leader counts on, by the worker's clock."""


def test_a_job_that_meets_a_restarted_worker_gets_no_longer_lease_than_its_leader_counts_on() -> (
    None
):
    """Guards against a start with a deadline on the clock of an earlier process, whose run goes on
    after the leader has started the task elsewhere (review/11)."""

    async def scenario(site: Site) -> None:
        await anyio.sleep(0.3)
        await site.worker.restart(site.worker_address)
        answer = await site.request_as_caller(
            "POST", "/lohu930/5c0e7a21d94b36f8", {**JOB, "best_effort": True}
        )
        assert json.loads(answer.body) == {"state": "completed"}
        assert len(site.worker.starts) == 3
        assert max(site.worker.leases_ms) <= LONGEST_LEASE_MS

    run_scenario(scenario)


class Calls:
    """A worker, and the calls of one host to it."""

    def __init__(self) -> None:
        self.worker = StandinWorker(worker_id="i-1", work_s=30.0)
        self.address = free_address()
        self.invalid: list[str] = []
        self.calls = PlatformWorkerCalls(
            on_invalid_answer=lambda worker_id, reason: self.invalid.append(reason),
            is_in_use=lambda worker_id: True,
        )
        self._run = itertools.count(1)

    async def open(self) -> None:
        """Start the worker."""
        await self.worker.server.listen(self.address)
        record = WorkerRecord(id="i-1", service="s", address=self.address, domain="d0")
        self.calls.set_workers({"i-1": record})

    async def poll(
        self, *, life: int | None, ends_seen: int = 0, deadline_s: float | None = None
    ) -> PollResult:
        """Poll the worker."""
        order = PollWorker(
            worker_id="i-1",
            fence=5,
            deadline_s=deadline_s,
            ends_seen=ends_seen,
            wait_s=0.0,
            margin_s=2.0,
            life=life,
        )
        return await _result(lambda on_result: self.calls.poll(order, on_result))

    async def start(self, *, life: int | None, carried_for: str = "") -> OrderResult:
        """Start a run with a lease of 0.8 s by the clock of the first process."""
        order = StartRun(
            worker_id="i-1",
            task=TaskId("5c0e7a21d94b36f8", 0, 0),
            run=next(self._run),
            payload="text",
            deadline_s=anyio.current_time() + LEASE_S,
            fence=5,
            timeout_s=2.0,
            life=life,
            carried_for=carried_for,
        )
        return await _result(lambda on_result: self.calls.start(order, on_result))


async def _result(send: Callable[[Callable[[T], None]], None]) -> T:
    results: list[T] = []
    done = anyio.Event()

    def on_result(result: T) -> None:
        results.append(result)
        done.set()

    send(on_result)
    with anyio.fail_after(5.0):
        await done.wait()
    return results[0]


def run_calls(scenario: Callable[[Calls], Awaitable[None]]) -> None:
    """Run a scenario with a worker that has been polled once, as by a leader."""

    async def main() -> None:
        calls = Calls()
        await calls.open()
        try:
            await scenario(calls)
        finally:
            calls.calls.set_workers({})
            calls.worker.crash()

    anyio.run(main)


@pytest.mark.parametrize("carried_for", ["", "front-2"])
def test_a_start_does_not_reach_a_later_process(carried_for: str) -> None:
    """Guards against a start, also a carried one, that a later process accepts: it takes the
    deadline for a far one, and grants its longest lease."""

    async def scenario(calls: Calls) -> None:
        report = await calls.poll(life=None)
        assert isinstance(report, PollReport)
        assert report.life == calls.worker.born
        accepted = await calls.start(life=report.life, carried_for=carried_for)
        assert isinstance(accepted, Answered)
        assert (accepted.refusal, accepted.life) == (None, report.life)
        for _ in range(2):
            await calls.worker.restart(calls.address)
            calls.worker.starts.clear()
            refused = await calls.start(life=report.life, carried_for=carried_for)
            assert refused == Answered(refusal=Refusal.OTHER_LIFE)
            assert calls.worker.starts == []
        accepted = await calls.start(life=calls.worker.born, carried_for=carried_for)
        assert isinstance(accepted, Answered)
        assert accepted.refusal is None

    run_calls(scenario)


def test_a_poll_renews_and_acknowledges_nothing_at_a_later_process() -> None:
    """Guards against a poll that gives a later process a lease by another clock, or that makes it
    forget ends which nobody has read."""

    async def scenario(calls: Calls) -> None:
        report = await calls.poll(life=None)
        assert isinstance(report, PollReport)
        deadline_s = anyio.current_time() + LEASE_S
        await calls.poll(life=report.life, ends_seen=7, deadline_s=deadline_s)
        last = calls.worker.polls[-1]
        assert (last["deadline_ms"], last["acked_up_to"]) == (int(deadline_s * 1000), 7)
        await calls.worker.restart(calls.address)
        calls.worker.leases_ms.clear()
        after = await calls.poll(life=report.life, ends_seen=7, deadline_s=deadline_s)
        assert isinstance(after, PollReport)
        assert after.life == calls.worker.born
        assert calls.worker.leases_ms == []
        assert calls.worker.polls[-1]["acked_up_to"] == 0

    run_calls(scenario)


def test_orders_to_the_known_process_need_no_further_calls() -> None:
    """Guards against an introduction before each order, which would cost a round trip and a poll
    each."""

    async def scenario(calls: Calls) -> None:
        report = await calls.poll(life=None)
        assert isinstance(report, PollReport)
        for _ in range(5):
            await calls.start(life=report.life)
        assert len(calls.worker.polls) == 1
        assert len(calls.worker.starts) == 5

    run_calls(scenario)


def test_a_worker_that_refuses_the_introduction_refuses_the_start() -> None:
    """Guards against a start to a worker with a later leader that counts as unanswered."""

    async def scenario(calls: Calls) -> None:
        calls.worker.fence = 6
        result = await calls.start(life=calls.worker.born)
        assert isinstance(result, Answered)
        assert result.refusal is Refusal.FENCED
        assert calls.worker.starts == []

    run_calls(scenario)


def test_a_start_is_not_sent_if_the_introduction_gets_no_answer() -> None:
    """Guards against a start that a process may carry out whose clock nobody has read."""

    async def scenario(calls: Calls) -> None:
        report = await calls.poll(life=None)
        assert isinstance(report, PollReport)
        calls.worker.crash()
        result = await calls.start(life=report.life)
        assert result in (CallFailure.REFUSED, CallFailure.BROKEN)
        assert calls.worker.starts == []

    run_calls(scenario)


def test_a_changed_process_behind_a_kept_connection_is_reported() -> None:
    """Guards against a proxy between host and worker that hides a restart without a log line."""

    async def scenario(calls: Calls) -> None:
        report = await calls.poll(life=None)
        assert isinstance(report, PollReport)
        calls.worker.born += 5000
        after = await calls.poll(life=report.life)
        assert isinstance(after, PollReport)
        assert after.life == calls.worker.born
        assert calls.invalid == ["a connection leads to another process than before"]
        assert await calls.start(life=after.life) != CallFailure.BROKEN

    run_calls(scenario)
