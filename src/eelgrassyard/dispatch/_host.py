"""Dispatch core of one host: entry for its callers, leadership, and the pool while it leads."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from ._actions import OrderResult, PollResult, PollWorker, StartRun, StopRun
from ._host_events import HostEvents
from ._host_state import HostAction
from ._jobs import Job
from ._messages import HostRecord, Message, Submit
from ._placement_report import LedElsewhere, PlacementReport
from ._workers import WorkerRecord


class DispatchHost(HostEvents):
    """Makes all decisions of one host about jobs whose callers wait.

    The driver reports each event by calling a method, calls :meth:`advance` at least every 20 ms,
    and carries out the actions that :meth:`take_actions` returns.

    No event of a caller, a worker or another host raises, nor does the timer; setting workers,
    hosts or the configuration may, and can be repeated. An unforeseen error is logged, counted in
    :attr:`unforeseen_errors`, and contained to the job, worker, session or link that the event
    concerns. One that cannot be contained to it discards the pool, as after a suspension of the
    process.

    :param now: start of the process, in seconds.
    :param stop_s: longest time that a worker takes to stop a run.
    :param far_factor: factor on the run time of a task placed outside its rack.
    :param link_bytes_per_s: capacity of this host's link; infinite if it is not known.
    """

    # --- store ---

    def set_workers(
        self, now: float, records: Mapping[str, WorkerRecord], *, read_at: float
    ) -> None:
        """Replace the registered workers of all domains, by id.

        :param read_at: time in seconds at which the registry was as the records say.
        """
        try:
            super().set_workers(now, records, read_at=read_at)
        except Exception as error:
            self._contain(now, "set_workers", error, lambda: self._start_over(now))

    def set_hosts(self, now: float, hosts: Iterable[HostRecord], *, read_at: float) -> None:
        """Replace the hosts that the store lists.

        :param read_at: time in seconds at which the store listed them.
        """
        try:
            super().set_hosts(now, hosts, read_at=read_at)
        except Exception as error:
            self._contain(now, "set_hosts", error, lambda: None)

    def confirm_hosts(self, now: float, *, read_at: float) -> None:
        """Record that the store still lists the same hosts.

        :param read_at: time in seconds at which it did.
        """
        try:
            super().confirm_hosts(now, read_at=read_at)
        except Exception as error:
            self._contain(now, "confirm_hosts", error, lambda: None)

    # --- callers ---

    def job_arrived(self, now: float, ticket: int, job: Job, *, caller_waits_s: float) -> None:
        """Handle a caller's request.

        :param ticket: names the request in :class:`~eelgrassyard.dispatch._entry.AnswerCaller`.
        """
        try:
            super().job_arrived(now, ticket, job, caller_waits_s=caller_waits_s)
        except Exception as error:
            self._contain(
                now, "job_arrived", error, lambda: self.entry.fail_request(ticket), job=job.id
            )

    def caller_left(self, now: float, ticket: int) -> None:
        """Handle a caller's disconnect before the answer."""
        try:
            super().caller_left(now, ticket)
        except Exception as error:
            # The job goes on until its deadline.
            self._contain(now, "caller_left", error, lambda: None)

    def cancel_job(self, now: float, job_id: str, *, kind: str) -> bool:
        """Cancel a job of callers of this host, and answer them.

        :returns: whether there was such a job of this kind.
        """
        try:
            return super().cancel_job(now, job_id, kind=kind)
        except Exception as error:
            self._contain(now, "cancel_job", error, lambda: self.entry.fail(job_id), job=job_id)
            return False

    def give_up_jobs(self, now: float) -> None:
        """Answer the jobs of all callers of this host, since the process ends."""
        try:
            super().give_up_jobs(now)
        except Exception as error:
            self._contain(now, "give_up_jobs", error, lambda: None)

    def explain(
        self, now: float, job: Job, *, caller_waits_s: float
    ) -> PlacementReport | LedElsewhere:
        """Report where a job that arrives now would be placed; nothing changes."""
        if self.pool is not None:
            return self.pool.report_placement(now, job, caller_waits_s=caller_waits_s)
        leader = self.leadership.leader
        return LedElsewhere(
            domain=self.own.domain, leader=leader.name if leader is not None else ""
        )

    # --- workers ---

    def start_answered(self, now: float, order: StartRun, result: OrderResult) -> None:
        """Handle a worker's answer to a start, or its absence."""
        try:
            super().start_answered(now, order, result)
        except Exception as error:
            self._contain_answer(now, "start_answered", error, order)

    def stop_answered(self, now: float, order: StopRun, result: OrderResult) -> None:
        """Handle a worker's answer to a stop, or its absence."""
        try:
            super().stop_answered(now, order, result)
        except Exception as error:
            self._contain_answer(now, "stop_answered", error, order)

    def poll_answered(self, now: float, order: PollWorker, result: PollResult) -> None:
        """Handle a worker's poll report, or its absence."""
        try:
            super().poll_answered(now, order, result)
        except Exception as error:
            self._contain_answer(now, "poll_answered", error, order)

    def _contain_answer(
        self, now: float, event: str, error: Exception, order: StartRun | StopRun | PollWorker
    ) -> None:
        """Contain the error of a worker's answer: it counts as one that did not arrive."""

        def recover() -> None:
            if self.pool is not None and self.pool.epoch == order.fence:
                self.pool.answer_failed(now, order)

        self._contain(now, event, error, recover, worker=order.worker_id)

    # --- other hosts ---

    def session_received(self, now: float, session_id: str, message: Message) -> None:
        """Handle a message on an inbound session."""
        try:
            super().session_received(now, session_id, message)
        except Exception as error:

            def recover() -> None:
                if isinstance(message, Submit) and self.pool is not None:
                    self.pool.fail_job(now, session_id, message.job.id)
                else:
                    self._close_session(now, session_id)

            self._contain_message(now, "session_received", error, recover, session_id, message)

    def session_closed(self, now: float, session_id: str) -> None:
        """Handle a broken session."""
        try:
            super().session_closed(now, session_id)
        except Exception as error:
            # Runs of its jobs may be left that nobody would stop.
            self._contain(now, "session_closed", error, lambda: self._start_over(now))

    def link_connected(self, now: float, name: str) -> None:
        """Handle an opened session: introduce this host."""
        try:
            super().link_connected(now, name)
        except Exception as error:
            self._contain(now, "link_connected", error, lambda: self.links.drop(now, name))

    def link_closed(self, now: float, name: str, *, refused: bool) -> None:
        """Handle a session that has broken or could not be opened.

        :param refused: whether no process listened at the address.
        """
        try:
            super().link_closed(now, name, refused=refused)
        except Exception as error:
            self._contain(now, "link_closed", error, lambda: self._start_over(now))

    def link_received(self, now: float, name: str, message: Message) -> None:
        """Handle a message on an outbound session."""
        try:
            super().link_received(now, name, message)
        except Exception as error:
            self._contain_message(
                now, "link_received", error, lambda: self.links.drop(now, name), name, message
            )

    def message_unsent(self, now: float, message: Message) -> None:
        """Handle a message to another host that no frame can hold.

        A job that cannot be submitted is answered now. The senders of other requests, and the
        receivers of other answers, wait until the deadline of the job.
        """
        if isinstance(message, Submit):
            self.entry.fail(message.job.id)

    def _contain_message(
        self,
        now: float,
        event: str,
        error: Exception,
        recover: Callable[[], None],
        peer: str,
        message: Message,
    ) -> None:
        self._contain(now, event, error, recover, peer=peer, message_type=type(message).__name__)

    # --- timers ---

    def drain(self, now: float) -> None:
        """Prepare the end of the process: refuse new connections, and resign soon."""
        try:
            super().drain(now)
        except Exception as error:
            self._contain(now, "drain", error, lambda: self._start_over(now))

    def advance(self, now: float) -> None:
        """Handle due timers: close silent sessions, and advance the pool, leadership, links and
        entry."""
        for event, handle in (
            ("advance_suspension", self._check_suspension),
            ("advance_sessions", self._close_silent_sessions),
            ("advance_pool", self._advance_pool),
            ("advance_leadership", self._advance_leadership),
        ):
            try:
                handle(now)
            except Exception as error:
                self._contain(now, event, error, lambda: self._start_over(now))
        for job_id in list(self.entry.job_by_id):
            try:
                self.entry.advance_job(now, job_id)
            except Exception as error:
                self._contain(
                    now, "advance_entry", error, partial(self.entry.fail, job_id), job=job_id
                )

    def take_actions(self, now: float) -> list[HostAction]:
        """Actions that the driver must carry out now, in order."""
        try:
            return super().take_actions(now)
        except Exception as error:
            self._contain(now, "take_actions", error, lambda: self._start_over(now))
            actions, self._actions = self._actions, []
            return actions
