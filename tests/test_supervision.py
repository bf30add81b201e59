"""Tests of the supervisor of background tasks, on a virtual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import anyio
import pytest

from eelgrassyard._journal import Journal
from eelgrassyard._supervision import RESTART_MAX_S, RESTART_MIN_S, STABLE_AFTER_S, Supervisor
from eelgrassyard._unhandled import UnhandledErrors
from test_unhandled import Log


class StopTest(BaseException):
    """Ends a supervised task from outside."""


class Timeline:
    """A virtual clock, and a supervisor that sleeps on it.

    :ivar delays: each sleep of the supervisor, in seconds.
    """

    def __init__(self, *, journal: Journal, variation: Callable[[], float]) -> None:
        self.now = 0.0
        self.delays: list[float] = []
        self.errors = UnhandledErrors(journal=journal)
        self.supervisor = Supervisor(
            errors=self.errors, now=lambda: self.now, sleep=self.sleep, variation=variation
        )

    async def sleep(self, delay_s: float) -> None:
        """Advance the clock."""
        await anyio.sleep(0)
        self.delays.append(delay_s)
        self.now += delay_s

    def run(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it raises :class:`StopTest`."""

        async def main() -> None:
            with pytest.raises(StopTest):
                await self.supervisor.run("mirror", task)

        anyio.run(main)


def make_timeline(log: Log, *, variation: float = 1.0) -> Timeline:
    """A timeline whose delays are multiplied by a fixed factor."""
    return Timeline(journal=log.journal, variation=lambda: variation)


def failing_task(
    timeline: Timeline, *, runs: int, run_s: float = 0.0
) -> Callable[[], Awaitable[None]]:
    """A task that fails after ``run_s``, and ends the test after a number of runs."""
    left = [runs]

    async def task() -> None:
        if not left[0]:
            raise StopTest
        left[0] -= 1
        timeline.now += run_s
        raise RecursionError("too deep")

    return task


def test_a_task_that_fails_at_once_is_started_again_after_growing_delays() -> None:
    """Guards against a task that is gone for good, or takes all processor time, after an error."""
    log = Log()
    timeline = make_timeline(log)
    timeline.run(failing_task(timeline, runs=9))
    assert timeline.delays[:3] == [RESTART_MIN_S, 2 * RESTART_MIN_S, 4 * RESTART_MIN_S]
    assert timeline.delays[-1] == RESTART_MAX_S
    lines = log.lines()
    assert [line["event"] for line in lines] == ["task_failed"] * 9
    assert {(line["part"], line["error"]) for line in lines} == {("mirror", "RecursionError")}
    assert timeline.supervisor.restarts_by_task == {"mirror": 9}
    assert timeline.errors.count_by_part["mirror"] == 9


def test_the_delay_is_short_again_after_the_task_has_worked() -> None:
    """Guards against long gaps for errors that are hours apart."""
    timeline = make_timeline(Log())
    timeline.run(failing_task(timeline, runs=5, run_s=STABLE_AFTER_S))
    assert timeline.delays == [RESTART_MIN_S] * 5


def test_delays_are_varied() -> None:
    """Guards against hosts that all read the store again at the same moment."""
    timeline = make_timeline(Log(), variation=0.5)
    timeline.run(failing_task(timeline, runs=2))
    assert timeline.delays == [0.5 * RESTART_MIN_S, RESTART_MIN_S]


def test_a_task_that_returns_is_reported_and_started_again() -> None:
    """Guards against a task that ends without an error and without a line."""
    log = Log()
    timeline = make_timeline(log)
    runs: list[float] = []

    async def task() -> None:
        if runs:
            raise StopTest
        runs.append(timeline.now)

    timeline.run(task)
    (line,) = log.lines()
    assert (line["event"], line["message"]) == ("task_failed", "the task returned")


def test_each_error_of_a_group_is_reported() -> None:
    """Guards against a line that says only that a task group failed."""
    log = Log()
    timeline = make_timeline(log)
    runs: list[float] = []

    async def task() -> None:
        if runs:
            raise StopTest
        runs.append(timeline.now)
        raise ExceptionGroup("tasks", [ValueError("odd"), ExceptionGroup("more", [KeyError("x")])])

    timeline.run(task)
    assert [line["error"] for line in log.lines()] == ["ValueError", "KeyError"]


def test_a_task_counts_as_failing_until_it_has_worked_for_a_while() -> None:
    """Guards against a metric that shows a task as working between two failures."""
    timeline = make_timeline(Log())
    timeline.run(failing_task(timeline, runs=1))
    assert timeline.supervisor.failing == ["mirror"]
    timeline.now += STABLE_AFTER_S
    assert timeline.supervisor.failing == []


def test_cancellation_ends_the_task_and_its_supervisor() -> None:
    """Guards against a process that does not end because a cancelled task is started again."""
    log = Log()

    async def main() -> None:
        supervisor = Supervisor(errors=UnhandledErrors(journal=log.journal), now=anyio.current_time)
        async with anyio.create_task_group() as group:
            group.start_soon(supervisor.run, "mirror", anyio.sleep_forever)
            await anyio.sleep(0)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert log.lines() == []


def test_the_cancellation_of_what_a_task_awaits_starts_it_again() -> None:
    """Guards against a process that ends with code 0 and without a line about it: the error of a
    cancelled future cancels the task group like a cancellation of the task itself."""
    log = Log()
    timeline = make_timeline(log)
    runs: list[float] = []

    async def task() -> None:
        if len(runs) == 2:
            raise StopTest
        runs.append(timeline.now)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    timeline.run(task)
    assert [(line["event"], line["error"]) for line in log.lines()] == [
        ("task_failed", "CancelledError")
    ] * 2
    assert timeline.delays == [RESTART_MIN_S, 2 * RESTART_MIN_S]


def test_cancellation_during_nested_scopes_ends_the_supervisor() -> None:
    """Guards against a task that ignores its cancellation, because a scope of its own has ended
    before."""
    log = Log()
    passed: list[int] = []

    async def task() -> None:
        while True:
            with anyio.move_on_after(0.0):
                await anyio.sleep_forever()
            passed.append(1)
            await anyio.sleep(0)

    async def main() -> None:
        supervisor = Supervisor(errors=UnhandledErrors(journal=log.journal), now=anyio.current_time)
        async with anyio.create_task_group() as group:
            group.start_soon(supervisor.run, "mirror", task)
            while len(passed) < 20:
                await anyio.sleep(0)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert log.lines() == []
