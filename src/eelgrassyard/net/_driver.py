"""Driver of the dispatch core: performs its actions and reports events to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from .._clock import Clock
from .._error_description import UNHANDLED_ERROR, describe_error
from .._journal import Journal
from ..dispatch._actions import (
    CallFailure,
    Note,
    OrderResult,
    PollResult,
    PollWorker,
    StartRun,
    StopRun,
)
from ..dispatch._entry import AnswerCaller
from ..dispatch._host import DispatchHost
from ..dispatch._host_state import CloseSession, HostAction, SendSession
from ..dispatch._jobs import Job, Outcome
from ..dispatch._links import CloseLink, OpenLink, SendLink
from ..dispatch._messages import HostRecord, Message
from ._session_reports import SessionReports
from ._sessions import SessionClient, SessionServer, Unsent
from ._traffic import Traffic

TICK_S = 0.02
"""Interval at which the core handles its timers, a fifth of its shortest time limit."""

_Result = TypeVar("_Result")
_Order = TypeVar("_Order", StartRun, StopRun, PollWorker)


class WorkerCalls(Protocol):
    """Sends orders and polls to workers in the platform's protocol.

    Each callback is called once, with the worker's answer or the failure of the call.
    """

    def start(self, order: StartRun, on_result: Callable[[OrderResult], None]) -> None:
        """Send an order to start a run."""

    def stop(self, order: StopRun, on_result: Callable[[OrderResult], None]) -> None:
        """Send an order to stop a run."""

    def poll(self, order: PollWorker, on_result: Callable[[PollResult], None]) -> None:
        """Poll a worker: read its runs and renew their leases."""


class Driver:
    """Runs the dispatch core of one host on the event loop.

    It reports callers' requests, worker answers and session events to the core, and performs the
    actions that the core returns.

    :param peer_address: address to listen on for the sessions of other hosts.
    :param traffic: counts the bytes of all sessions.
    """

    def __init__(
        self,
        *,
        core: DispatchHost,
        calls: WorkerCalls,
        clock: Clock,
        journal: Journal,
        peer_address: str,
        traffic: Traffic | None = None,
    ) -> None:
        self.core = core
        self._calls = calls
        self._clock = clock
        self._journal = journal
        self._peer_address = peer_address
        self._last_ticket = 0
        self._answer_by_ticket: dict[int, Callable[[AnswerCaller], None]] = {}
        self._actions_scheduled = False
        self._stopped = False
        self._timer: asyncio.TimerHandle | None = None
        reports = SessionReports(log=journal.write, on_error=self._record_error)
        self._server = SessionServer(
            on_message=self._session_message,
            on_close=self._session_closed,
            traffic=traffic,
            reports=reports,
        )
        self._client = SessionClient(
            on_open=self._link_connected,
            on_message=self._link_message,
            on_close=self._link_closed,
            traffic=traffic,
            reports=reports,
        )

    async def start(self) -> None:
        """Listen for sessions and start the timer of the core."""
        await self._server.listen(self._peer_address)
        self._tick()

    def stop(self) -> None:
        """Stop the timer and close all sessions; the core is not driven any more."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._server.stop()
        self._client.stop()

    def now(self) -> float:
        """Current time of the core's clock."""
        return self._clock.now()

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        try:
            self.core.advance(self.now())
        except Exception as error:
            self._record_error("advance", error, {})
        self.perform_actions()

    def schedule_actions(self) -> None:
        """Schedule :meth:`perform_actions` for the next iteration of the event loop, so that the
        events of the current one are handled together."""
        if not self._actions_scheduled:
            self._actions_scheduled = True
            asyncio.get_running_loop().call_soon(self.perform_actions)

    # --- callers ---

    def submit(
        self, job: Job, *, caller_waits_s: float, on_answer: Callable[[AnswerCaller], None]
    ) -> int:
        """Submit a caller's job to the core.

        If it raises, the request is withdrawn, and ``on_answer`` is not called.

        :returns: ticket for :meth:`caller_left`.
        """
        self._last_ticket += 1
        ticket = self._last_ticket
        self._answer_by_ticket[ticket] = on_answer
        try:
            self.core.job_arrived(self.now(), ticket, job, caller_waits_s=caller_waits_s)
            self.schedule_actions()
        except Exception:
            self.caller_left(ticket)
            raise
        return ticket

    def caller_left(self, ticket: int) -> None:
        """Report a caller's disconnect to the core, unless the caller has been answered."""
        if self._answer_by_ticket.pop(ticket, None) is not None:
            self.core.caller_left(self.now(), ticket)
            self.schedule_actions()

    def has_job(self, job_id: str) -> bool:
        """Tell whether callers of this host wait for a job."""
        return job_id in self.core.entry.job_by_id

    def cancel_job(self, job_id: str, *, kind: str) -> bool:
        """Cancel a job that callers of this host wait for; False if there is none of this kind."""
        cancelled = self.core.cancel_job(self.now(), job_id, kind=kind)
        self.schedule_actions()
        return cancelled

    def give_up_jobs(self) -> None:
        """Answer all callers of this host now, since the process ends."""
        self.core.give_up_jobs(self.now())
        self.perform_actions()

    # --- actions ---

    def perform_actions(self) -> None:
        """Perform all pending actions of the core, and send messages in one frame a session."""
        self._actions_scheduled = False
        if self._stopped:
            return
        frames = _Frames()
        for action in self.core.take_actions(self.now()):
            try:
                self._perform(action, frames)
            except Exception as error:
                # The other actions of this turn answer callers and keep sessions alive.
                self._record_error(type(action).__name__, error, _action_ids(action))
        for session, messages in frames.by_session.items():
            self._send_frame(session, messages, self._server.send)
        for name, messages in frames.by_link.items():
            self._send_frame(name, messages, self._client.send)

    def _perform(self, action: HostAction, frames: _Frames) -> None:
        match action:
            case Note(event=event, fields=fields, routine=routine):
                self._journal.write(event, fields, routine=routine)
            case StartRun():
                self._start_run(action)
            case StopRun():
                self._stop_run(action)
            case PollWorker():
                self._poll_worker(action)
            case SendSession(session=session, message=message):
                frames.by_session.setdefault(session, []).append(message)
            case SendLink(name=name, message=message):
                frames.by_link.setdefault(name, []).append(message)
            case AnswerCaller():
                self._answer(action)
            case OpenLink(host=host):
                self._open_link(host)
            case CloseLink(name=name):
                frames.by_link.pop(name, None)
                self._client.close(name)
            case CloseSession(session=session):
                messages = frames.by_session.pop(session, [])
                self._send_frame(session, messages, self._server.send)
                self._server.close(session)
            case _:
                self._journal.write("unknown_action", {"action": type(action).__name__})

    def _answer(self, answer: AnswerCaller) -> None:
        on_answer = self._answer_by_ticket.pop(answer.ticket, None)
        if on_answer is None:
            return
        try:
            on_answer(answer)
        except Exception as error:
            self._record_error("AnswerCaller", error, _action_ids(answer))
            # The intended answer may be the cause; this one claims the least.
            on_answer(
                AnswerCaller(
                    ticket=answer.ticket, outcome=Outcome.ABANDONED, reason="unforeseen error"
                )
            )

    def _open_link(self, host: HostRecord) -> None:
        try:
            self._client.open(host.name, host.address)
        except Exception:
            self._link_closed(host.name, False)
            raise

    def _send_frame(
        self, to: str, messages: list[Message], send: Callable[[str, list[Message]], list[Unsent]]
    ) -> None:
        try:
            unsent = send(to, messages)
        except Exception as error:
            names = [type(message).__name__ for message in messages]
            self._record_error("send", error, {"to": to, "message_types": names})
            return
        for message, reason in unsent:
            self._record_error("send", reason, {"to": to, "message_type": type(message).__name__})
            self.core.message_unsent(self.now(), message)
            self.schedule_actions()

    def _record_error(self, event: str, error: Exception, fields: dict[str, object]) -> None:
        self.core.unforeseen_errors[event] += 1
        line: dict[str, object] = {"part": event, **describe_error(error)}
        try:
            self._journal.write(UNHANDLED_ERROR, {**line, **fields})
        except Exception:
            # The fields may be what no line can hold.
            self._journal.write(UNHANDLED_ERROR, line)

    def _start_run(self, order: StartRun) -> None:
        def on_result(result: OrderResult) -> None:
            self.core.start_answered(self.now(), order, result)
            self.schedule_actions()

        self._call(order, self._calls.start, on_result)

    def _stop_run(self, order: StopRun) -> None:
        def on_result(result: OrderResult) -> None:
            self.core.stop_answered(self.now(), order, result)
            self.schedule_actions()

        self._call(order, self._calls.stop, on_result)

    def _poll_worker(self, order: PollWorker) -> None:
        def on_result(result: PollResult) -> None:
            self.core.poll_answered(self.now(), order, result)
            self.schedule_actions()

        self._call(order, self._calls.poll, on_result)

    def _call(
        self,
        order: _Order,
        send: Callable[[_Order, Callable[[_Result], None]], None],
        on_result: Callable[[_Result | CallFailure], None],
    ) -> None:
        """Make a call to a worker; one that raises counts as unanswered, since it may have been
        sent."""
        answered = False

        def answer_once(result: _Result | CallFailure) -> None:
            nonlocal answered
            if not answered:
                answered = True
                on_result(result)

        try:
            send(order, answer_once)
        except Exception as error:
            self._record_error(type(order).__name__, error, _action_ids(order))
            answer_once(CallFailure.SILENT)

    # --- sessions ---

    def _session_message(self, session: str, message: Message) -> None:
        self.core.session_received(self.now(), session, message)
        self.schedule_actions()

    def _session_closed(self, session: str) -> None:
        self.core.session_closed(self.now(), session)
        self.schedule_actions()

    def _link_connected(self, name: str) -> None:
        self.core.link_connected(self.now(), name)
        self.schedule_actions()

    def _link_message(self, name: str, message: Message) -> None:
        self.core.link_received(self.now(), name, message)
        self.schedule_actions()

    def _link_closed(self, name: str, refused: bool) -> None:
        self.core.link_closed(self.now(), name, refused=refused)
        self.schedule_actions()


@dataclass(slots=True, kw_only=True)
class _Frames:
    """Messages of one turn, which are sent in one frame a session."""

    by_session: dict[str, list[Message]] = field(default_factory=dict)
    by_link: dict[str, list[Message]] = field(default_factory=dict)


def _action_ids(action: HostAction) -> dict[str, object]:
    """Fields of a log line that identify an action."""
    match action:
        case Note(event=event):
            return {"note": event}
        case StartRun() | StopRun():
            return {"worker": action.worker_id, "task": str(action.task), "run": action.run}
        case PollWorker(worker_id=worker_id):
            return {"worker": worker_id}
        case AnswerCaller(ticket=ticket, outcome=outcome):
            return {"ticket": ticket, "outcome": outcome.value}
        case OpenLink(host=host):
            return {"peer": host.name, "address": host.address}
        case CloseLink(name=name):
            return {"peer": name}
        case CloseSession(session=session):
            return {"session": session}
        case _:
            return {}
