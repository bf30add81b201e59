"""Containment of errors in the driver: an action that fails affects no other."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable, Iterator
from functools import partial
from typing import cast

import pytest

from eelgrassyard._clock import Clock
from eelgrassyard._journal import Journal
from eelgrassyard.dispatch._actions import (
    CallFailure,
    Note,
    OrderResult,
    PollResult,
    PollWorker,
    StartRun,
    StopRun,
)
from eelgrassyard.dispatch._entry import AnswerCaller
from eelgrassyard.dispatch._host import DispatchHost
from eelgrassyard.dispatch._host_state import HostAction, SendSession
from eelgrassyard.dispatch._jobs import Job, Outcome, Step, TaskId
from eelgrassyard.dispatch._links import Link, OpenLink, SendLink
from eelgrassyard.dispatch._messages import HostRecord, Message, Pong, Submit
from eelgrassyard.net._driver import Driver

OWN = HostRecord(name="a", address="127.0.0.1:1", domain="d", incarnation=1)
TASK = TaskId("5c0e7a21d94b36f8", 0, 0)
START = StartRun(worker_id="w", task=TASK, run=1, payload="p", deadline_s=1.0, fence=5)
JOB = Job(
    id=TASK.job, kind="k", service="s", payload="p", steps=(Step(count=1, cpu=1000),), target_s=0.5
)
STOP = StopRun(worker_id="w", task=TASK, run=1, fence=5)
POLL = PollWorker(worker_id="w", fence=5, deadline_s=None, ends_seen=0, wait_s=0.0)


class FailingCalls:
    """Calls to workers that raise before they are sent."""

    def start(self, order: StartRun, on_result: Callable[[OrderResult], None]) -> None:
        """Raise."""
        int(float("inf"))

    def stop(self, order: StopRun, on_result: Callable[[OrderResult], None]) -> None:
        """Raise."""
        int(float("inf"))

    def poll(self, order: PollWorker, on_result: Callable[[PollResult], None]) -> None:
        """Raise."""
        int(float("inf"))


class Bench:
    """A driver without a network, the actions of whose core are set by the test."""

    def __init__(self, descriptor: int) -> None:
        core = DispatchHost(own=OWN, now=0.0, stop_s=0.05, far_factor=1.0)
        self.driver = Driver(
            core=core,
            calls=FailingCalls(),
            clock=Clock(),
            journal=Journal(host="a", descriptor=descriptor),
            peer_address=OWN.address,
        )
        self.core = core
        self.sent: list[tuple[str, list[Message]]] = []
        self.driver._server.send = (  # type: ignore[method-assign]
            lambda session, messages: self.sent.append((session, messages)) or []  # type: ignore[func-returns-value]
        )
        self.answers: list[AnswerCaller] = []

    def perform(self, *actions: HostAction) -> None:
        """Perform actions as if the core had requested them."""

        async def main() -> None:
            self.core._actions.extend(actions)
            self.driver.perform_actions()

        asyncio.run(main())


@pytest.fixture
def bench() -> Iterator[Bench]:
    """A driver whose log lines are read by :func:`lines`."""
    reading, writing = os.pipe()
    bench = Bench(writing)
    bench.reading = reading  # type: ignore[attr-defined]
    yield bench
    os.close(writing)
    os.close(reading)


def lines(bench: Bench) -> list[dict[str, object]]:
    """Log lines that have been written."""
    bench.driver._journal.flush()
    text = os.read(bench.reading, 1_000_000)  # type: ignore[attr-defined]
    return [json.loads(line) for line in text.splitlines()]


PONG = SendSession(session="s1", message=Pong(number=1))


@pytest.mark.parametrize("order", [START, STOP, POLL])
def test_a_call_to_a_worker_that_raises_loses_no_other_action(
    bench: Bench, order: StartRun | StopRun | PollWorker
) -> None:
    """Guards against a call that raises and takes the answers and pongs of the same turn with it:
    callers waited without an end, and the other hosts took this one for silent."""
    bench.driver._answer_by_ticket[7] = bench.answers.append
    bench.perform(PONG, order, AnswerCaller(ticket=7, outcome=Outcome.COMPLETE))
    assert [answer.outcome for answer in bench.answers] == [Outcome.COMPLETE]
    assert bench.sent == [("s1", [PONG.message])]
    line = next(line for line in lines(bench) if line["event"] == "unhandled_error")
    assert (line["error"], line["worker"]) == ("OverflowError", "w")
    assert line["part"] == type(order).__name__
    assert line["message"] == "cannot convert float infinity to integer"
    assert isinstance(line["trace"], list)
    assert sum(bench.core.unforeseen_errors.values()) == 1


def test_a_call_that_raises_counts_as_unanswered(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a run, a stop or a poll that waits without an end for the result of a call
    that raised; it may have been sent."""
    results: list[object] = []
    for name in ("start_answered", "stop_answered", "poll_answered"):
        monkeypatch.setattr(bench.core, name, lambda now, order, result: results.append(result))
    bench.perform(START, STOP, POLL)
    assert results == [CallFailure.SILENT] * 3


def test_an_answer_that_raises_is_given_once_more_as_possibly_run(bench: Bench) -> None:
    """Guards against a caller that waits until its deadline because its answer could not be
    formed, and against the loss of the answers behind it."""

    def answer_badly(answer: AnswerCaller) -> None:
        bench.answers.append(answer)
        if answer.outcome is Outcome.NOT_RUN:
            raise ValueError("no such header")

    bench.driver._answer_by_ticket[1] = answer_badly
    bench.driver._answer_by_ticket[2] = bench.answers.append
    bench.perform(
        AnswerCaller(ticket=1, outcome=Outcome.NOT_RUN),
        AnswerCaller(ticket=2, outcome=Outcome.COMPLETE),
    )
    assert [(answer.ticket, answer.outcome) for answer in bench.answers] == [
        (1, Outcome.NOT_RUN),
        (1, Outcome.ABANDONED),
        (2, Outcome.COMPLETE),
    ]


def test_a_log_line_that_cannot_be_written_loses_no_other_action(bench: Bench) -> None:
    """Guards against a field that no line can hold, such as a lone surrogate."""
    bench.perform(Note(event="odd", fields={"reason": "\ud800"}), PONG)
    assert bench.sent == [("s1", [PONG.message])]
    (line,) = (line for line in lines(bench) if line["event"] == "odd")
    assert "ud800" in str(line["reason"])


def test_a_session_that_cannot_be_opened_is_reported_as_closed(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a link that stays open without a connection."""

    def fail(name: str, address: str) -> None:
        raise ValueError("no such address")

    monkeypatch.setattr(bench.driver._client, "open", fail)
    peer = HostRecord(name="b", address="127.0.0.1:2", domain="d", incarnation=1)
    bench.core.links.link_by_name["b"] = Link(
        host=peer, is_remote=False, opened_at=0.0, last_heard=0.0
    )
    bench.perform(OpenLink(host=peer), PONG)
    assert bench.sent == [("s1", [PONG.message])]
    assert not bench.core.links.link_by_name["b"].is_open


def test_an_error_in_the_timers_of_the_core_loses_no_action_and_no_later_tick(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a host that listens but sends nothing any more because each tick raises."""
    ticks = 0

    def fail(now: float) -> None:
        nonlocal ticks
        ticks += 1
        bench.core._actions.append(PONG)
        raise RuntimeError("odd")

    async def main() -> None:
        bench.driver._tick()
        while ticks < 3:
            await asyncio.sleep(0.005)
        bench.driver.stop()

    monkeypatch.setattr(bench.core, "advance", fail)
    asyncio.run(main())
    assert bench.sent == [("s1", [PONG.message])] * 3
    assert bench.core.unforeseen_errors["advance"] == 3


def test_a_job_that_cannot_be_sent_to_the_leader_is_answered_at_once(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a job whose message no frame can hold and whose caller waits until its
    deadline, while the other messages are sent."""
    sent: list[Message] = []
    odd = Submit(job=JOB, waited_s=0.0, caller_waits_s=1.0, round=2**70)

    def send(name: str, messages: list[Message]) -> list[tuple[Message, Exception]]:
        sent.extend(message for message in messages if message is not odd)
        return [(odd, OverflowError("too large"))]

    monkeypatch.setattr(bench.driver._client, "send", send)
    bench.driver._answer_by_ticket[3] = bench.answers.append
    bench.core.entry.submit(bench.driver.now(), 3, JOB, caller_waits_s=1.0)
    other = cast(Message, Pong(number=3))
    bench.perform(
        SendLink(name="b", message=odd),
        SendLink(name="b", message=other),  # type: ignore[arg-type]
    )
    bench.perform()
    assert sent == [other]
    assert [answer.outcome for answer in bench.answers] == [Outcome.ABANDONED]


@pytest.mark.parametrize("others", [0, 1])
def test_nothing_runs_on_for_a_request_that_the_core_could_not_accept(
    bench: Bench, monkeypatch: pytest.MonkeyPatch, others: int
) -> None:
    """Guards against a job that goes on although its caller was answered after an error and holds
    no ticket to cancel it, and against the end of the same job of another caller."""
    accept = bench.core.job_arrived

    def fail(now: float, ticket: int, job: Job, *, caller_waits_s: float) -> None:
        accept(now, ticket, job, caller_waits_s=caller_waits_s)
        raise RuntimeError("odd")

    async def main() -> None:
        submit = partial(
            bench.driver.submit, JOB, caller_waits_s=1.0, on_answer=bench.answers.append
        )
        for _ in range(others):
            submit()
        monkeypatch.setattr(bench.core, "job_arrived", fail)
        with pytest.raises(RuntimeError, match="odd"):
            submit()
        bench.driver.perform_actions()

    asyncio.run(main())
    assert [len(job.tickets) for job in bench.core.entry.job_by_id.values()] == [1] * others
    assert len(bench.driver._answer_by_ticket) == others
    assert not bench.answers
