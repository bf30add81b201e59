"""Lifecycle of the submissions that this host owns, from acceptance to the terminal outcome."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from ._actions import Action, Control, Count
from ._admission import Admission
from ._config import Limits, SiteConfig
from ._events import PeerReceived, StartFinished
from ._failures import DEFAULT_RETRY_AFTER_S, expired, failed, not_run
from ._identity import HostIdentity
from ._ids import SubmissionId
from ._messages import SlotGrant, SlotRefusal, StartResult, TaskControl, WitnessAck
from ._outcomes import Outcome, OutcomeKind, Reason, SubmissionBody
from ._owned_state import Submission, TaskState, body_digest
from ._record_requests import RecordRequests
from ._slot_retries import SlotRetries
from ._slots import Slots
from ._start_retries import may_retry
from ._starts import Start, Starts
from ._system import ConfigView, MembershipView
from ._timers import TimerQueue
from ._validation import make_submission, task_count_error

MAX_TICK_INTERVAL_S = 1.0
"""The driver is woken this often while a submission is unfinished.

A longer time between two ticks is therefore a pause of the process.
"""

_TRANSIENT_REASONS = {Reason.FLOW_LIMIT, Reason.QUOTA, Reason.NO_UPSTREAM, Reason.NOT_READY}
"""Refusals after which a submission with started tasks requests slots again until its deadline."""

_REASON_BY_RESULT = {
    StartResult.LOST: Reason.UPSTREAM_LOST,
    StartResult.STOPPED: Reason.LEASE_LAPSED,
}

_DEFAULT_LIMITS = Limits()

OnOutcome = Callable[[Submission, list[Action]], None]


class Owner:
    """Drives each owned submission to its one outcome.

    Accepts submissions, requests slots and the witness record, starts the tasks once both are
    there, retries starts and sets the outcome.

    :param admission: counts the tasks that wait for a slot; holds the retry budgets.
    :param on_end: called once for each accepted submission, when its outcome is set.
    """

    def __init__(
        self,
        *,
        identity: HostIdentity,
        config: ConfigView,
        membership: MembershipView,
        admission: Admission,
        on_end: OnOutcome,
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._on_end = on_end
        self.by_id: dict[str, Submission] = {}
        self.live_by_id: dict[str, Submission] = {}
        self.starts = Starts(identity=identity)
        self._slot_retries = SlotRetries(config=config)
        self.slots = Slots(
            identity=identity,
            config=config,
            membership=membership,
            on_request=self._slot_retries.schedule_resend,
        )
        self._record_requests = RecordRequests(
            membership=membership,
            slots=self.slots,
            on_recorded=self._start_all_granted,
            on_lost=self._end_without_results,
        )
        self._admission = admission
        self._timers: TimerQueue[tuple[str, str]] = TimerQueue()
        self._last_tick = -math.inf
        self._pause_detected_at = -math.inf

    # Calls

    def submit(
        self,
        now: float,
        submission_id: str,
        fields: SubmissionId,
        caller: str,
        body: SubmissionBody,
        out: list[Action],
    ) -> Submission | Reason:
        """Accept a new submission, or return the known one with the same id and body.

        :returns: the submission, or the reason for which the call is refused.
        """
        known = self.by_id.get(submission_id)
        if known is not None:
            conflict = known.digest is not None and known.digest != body_digest(body)
            return Reason.BODY_CONFLICT if conflict else known
        config = self._config.current
        submission = make_submission(
            now,
            submission_id,
            fields,
            caller,
            body,
            config=config,
            failure_domain=self._identity.failure_domain,
        )
        if config is None or isinstance(submission, Reason):
            return submission
        self._add(submission)
        self.live_by_id[submission_id] = submission
        self._begin_submission(now, submission, config, out)
        self._update_waiting_count(submission)
        return submission

    def record_not_run(
        self,
        submission_id: str,
        fields: SubmissionId,
        caller: str,
        digest: bytes | None,
        reason: Reason,
        message: str,
    ) -> Submission:
        """Store the outcome "not run" for an id under which nothing was accepted."""
        outcome = not_run(reason, message)
        submission = Submission(
            submission_id=submission_id,
            fields=fields,
            caller=caller,
            digest=digest,
            outcome=outcome,
        )
        self._add(submission)
        return submission

    def cancel(
        self, now: float, submission_id: str, fields: SubmissionId, caller: str, out: list[Action]
    ) -> Submission:
        """Cancel a submission; an id that was not submitted yet cannot be submitted any more."""
        submission = self.by_id.get(submission_id)
        message = "cancelled by the caller"
        if submission is None:
            return self.record_not_run(
                submission_id, fields, caller, None, Reason.CANCELLED, message
            )
        if submission.outcome is None:
            self._end_without_results(now, submission, Reason.CANCELLED, message, out)
        return submission

    # Messages and events

    def handle_grant(
        self, now: float, event: PeerReceived, grant: SlotGrant, out: list[Action]
    ) -> None:
        """Start tasks in the granted slots or request the record first; release unusable slots."""
        submission = self.by_id.get(grant.submission_id)
        usable = submission is not None and submission.outcome is None
        indexes = self.slots.accept_grant(now, event, grant, submission if usable else None, out)
        if submission is None or not indexes:
            return
        self._update_waiting_count(submission)
        fields = submission.fields
        sender = (event.sender, event.incarnation)
        if grant.recorded and sender == (fields.witness, fields.witness_incarnation):
            submission.recorded = True
        if submission.recorded:
            self._start_granted(now, submission, indexes, out)
        elif submission.record_requests == 0:
            self._record_requests.request(now, submission, out)

    def handle_refusal(
        self, now: float, event: PeerReceived, refusal: SlotRefusal, out: list[Action]
    ) -> None:
        """End a submission whose slot request is refused, or retry the request later."""
        submission = self.live_by_id.get(refusal.submission_id)
        sender = (event.sender, event.incarnation)
        if submission is None or not self.slots.is_from_scheduler(now, refusal.pool, *sender, out):
            return
        if refusal.attempt != submission.attempt or submission.tasks_waiting == 0:
            return
        if submission.possible_starts > 0 and refusal.reason in _TRANSIENT_REASONS:
            delay = refusal.retry_after_s or DEFAULT_RETRY_AFTER_S
            self._slot_retries.schedule_retry(now + delay, submission)
            return
        self._end_without_results(
            now, submission, refusal.reason, refusal.message, out, refusal.retry_after_s
        )

    def handle_ack(
        self, now: float, event: PeerReceived, ack: WitnessAck, out: list[Action]
    ) -> None:
        """Start the granted tasks of a recorded submission, or end it if the record is refused.

        An acknowledgement handled in the tick that detects a pause is ignored: it answers a
        request from before the pause.
        """
        submission = self.live_by_id.get(ack.submission_id)
        if submission is not None and now != self._pause_detected_at:
            self._record_requests.handle_ack(now, event, ack, submission, out)

    def handle_control(self, message: TaskControl, out: list[Action]) -> None:
        """Carry out a scheduler's request to stop, checkpoint, throttle or resume a task."""
        submission = self.live_by_id.get(message.submission_id)
        if submission is not None and 0 <= message.index < len(submission.tasks):
            self.starts.control(submission, message.index, Control(message.control), out)

    def handle_start_finished(self, now: float, event: StartFinished, out: list[Action]) -> None:
        """Handle the result of a start; further reports of the same start are ignored."""
        start = self.starts.finish(event.start)
        if start is None:
            return
        submission = start.submission
        self.slots.release(
            submission.pool,
            start.grant,
            event.result,
            run_s=event.run_s,
            leaving=event.leaving,
        )
        if event.result is StartResult.NOT_STARTED:
            submission.possible_starts -= 1
        if submission.outcome is not None:
            return
        task = submission.tasks[start.index]
        match event.result:
            case StartResult.OK:
                task.state = TaskState.DONE
                task.result = event.payload
                submission.tasks_done += 1
                if submission.tasks_done == len(submission.tasks):
                    results = tuple(task.result for task in submission.tasks)
                    self._set_outcome(
                        now, submission, Outcome(kind=OutcomeKind.COMPLETE, results=results), out
                    )
            case StartResult.NOT_STARTED:
                self._retry_task(now, submission, start, out)
            case _:
                self._handle_failure(now, submission, start, event, out)

    # Time

    def check_for_pause(self, now: float, out: list[Action]) -> None:
        """Detect a pause of the process longer than the lease, and drop what was granted before it.

        Granted slots that were not used are released, slots are requested again, and the witness
        record is requested again before any start.
        """
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= self._limits().lease_s or not self.live_by_id:
            return
        self._pause_detected_at = now
        out.append(Count(metric="submissions.gap"))
        for submission in list(self.live_by_id.values()):
            self._invalidate_grants(now, submission, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run the timers that are due, and send slot requests and releases."""
        for name, submission_id in self._timers.pop_due(now):
            submission = self.live_by_id.get(submission_id)
            if name == "expire":
                self._expire(now, submission_id, out)
            elif submission is not None:
                self._check_deadline(now, submission, out)
        for submission in self._slot_retries.pop_due_submissions(now):
            self.slots.request_slots(now, submission, out)
        self._record_requests.advance(now, out)
        self.starts.advance(now, self._limits(), out)
        self.slots.advance(now, out)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        bound = self._last_tick + MAX_TICK_INTERVAL_S if self.live_by_id else math.inf
        return min(
            bound,
            self._timers.next_due(),
            self._slot_retries.next_wake(),
            self._record_requests.next_wake(),
            self.starts.next_wake(),
            self.slots.next_wake(),
        )

    # Acceptance

    def _begin_submission(
        self, now: float, submission: Submission, config: SiteConfig, out: list[Action]
    ) -> None:
        error = task_count_error(submission, config)
        if error is not None:
            self._set_outcome(now, submission, not_run(Reason.IMPOSSIBLE, error, None), out)
            return
        if not self._record_requests.is_possible(submission):
            message = "the witness named in the id is no longer alive"
            self._end_without_results(now, submission, Reason.WITNESS_LOST, message, out)
            return
        self.slots.request_slots(now, submission, out)
        self._timers.add(
            submission.deadline_at + config.limits.ask_timeout_s,
            ("deadline", submission.submission_id),
        )
        self._record_requests.begin(now, submission, out)

    # Starts

    def _start_all_granted(self, now: float, submission: Submission, out: list[Action]) -> None:
        self._start_granted(now, submission, range(len(submission.tasks)), out)

    def _start_granted(
        self, now: float, submission: Submission, indexes: Iterable[int], out: list[Action]
    ) -> None:
        if submission.fields.is_expired(now):
            self._expire(now, submission.submission_id, out)
            return
        assert submission.kind is not None
        task_kind = submission.kind.name
        limits = self._limits()
        for index in indexes:
            task = submission.tasks[index]
            if task.state is TaskState.GRANTED:
                self.starts.make(now, submission, index, limits, out)
                if task.starts_made == 1:
                    self._admission.record_start(task_kind)

    def _handle_failure(
        self,
        now: float,
        submission: Submission,
        start: Start,
        event: StartFinished,
        out: list[Action],
    ) -> None:
        if self._try_retry(now, submission, start.index):
            out.append(Count(metric="submissions.retried"))
            self._retry_task(now, submission, start, out)
            return
        reason = _REASON_BY_RESULT.get(event.result, Reason.TASK_FAILED)
        message = f"task {start.index} on {start.upstream}: {event.result.name.lower()}"
        self._end_without_results(now, submission, reason, message, out)

    def _try_retry(self, now: float, submission: Submission, index: int) -> bool:
        assert submission.kind is not None
        allowed = may_retry(now, submission, index)
        return allowed and self._admission.try_retry(submission.kind.name)

    def _update_waiting_count(self, submission: Submission) -> None:
        """Update the flow's number of waiting tasks, by which admission refuses new submissions."""
        waiting = submission.tasks_waiting if submission.outcome is None else 0
        change = waiting - submission.admission_waiting
        if change and submission.kind is not None:
            submission.admission_waiting = waiting
            self._admission.add_waiting((submission.caller, submission.kind.name), change)

    def _retry_task(
        self, now: float, submission: Submission, start: Start, out: list[Action]
    ) -> None:
        task = submission.tasks[start.index]
        task.state = TaskState.WAITING
        submission.tasks_waiting += 1
        self._update_waiting_count(submission)
        if now >= submission.deadline_at:
            self._check_deadline(now, submission, out)
            return
        self._slot_retries.retry_task(now, submission, start.upstream)

    def _invalidate_grants(self, now: float, submission: Submission, out: list[Action]) -> None:
        if submission.tasks_waiting == 0 and all(
            task.state is not TaskState.GRANTED for task in submission.tasks
        ):
            return
        self._release_granted(submission)
        self._update_waiting_count(submission)
        submission.min_attempt = submission.attempt + 1
        self.slots.request_slots(now, submission, out)
        self._record_requests.renew(now, submission, out)

    def _release_granted(self, submission: Submission) -> None:
        for task in submission.tasks:
            if task.state is TaskState.GRANTED and task.grant is not None:
                self.slots.release(submission.pool, task.grant, StartResult.UNUSED)
                task.state = TaskState.WAITING
                submission.tasks_waiting += 1

    # Outcomes

    def _check_deadline(self, now: float, submission: Submission, out: list[Action]) -> None:
        unstarted = any(
            task.state in (TaskState.WAITING, TaskState.GRANTED) for task in submission.tasks
        )
        if unstarted:
            message = "no slot was free before the deadline"
            self._end_without_results(now, submission, Reason.DEADLINE, message, out)

    def _end_without_results(
        self,
        now: float,
        submission: Submission,
        reason: Reason,
        message: str,
        out: list[Action],
        retry_after_s: float | None = DEFAULT_RETRY_AFTER_S,
    ) -> None:
        """Set the outcome "not run" if no task can have started, "failed" otherwise."""
        if submission.possible_starts == 0:
            outcome = not_run(reason, message, retry_after_s)
        else:
            outcome = failed(reason, message)
        self._set_outcome(now, submission, outcome, out)

    def _expire(self, now: float, submission_id: str, out: list[Action]) -> None:
        submission = self.by_id.get(submission_id)
        if submission is None:
            return
        if submission.outcome is None:
            running = all(
                task.state in (TaskState.STARTED, TaskState.DONE) for task in submission.tasks
            )
            if running:
                self._timers.add(now + 1.0, ("expire", submission_id))
                return
            self._set_outcome(now, submission, expired(), out)
        del self.by_id[submission_id]

    def _set_outcome(
        self, now: float, submission: Submission, outcome: Outcome, out: list[Action]
    ) -> None:
        submission.outcome = outcome
        self._update_waiting_count(submission)
        self.live_by_id.pop(submission.submission_id, None)
        if outcome.kind is not OutcomeKind.COMPLETE:
            self._release_granted(submission)
            self.slots.withdraw(now, submission, out)
            for index in range(len(submission.tasks)):
                self.starts.control(submission, index, Control.STOP, out)
        submission.body = None
        submission.tasks = []
        out.append(Count(metric=f"submissions.{outcome.kind}"))
        self._on_end(submission, out)

    def _add(self, submission: Submission) -> None:
        self.by_id[submission.submission_id] = submission
        expires_at = float(submission.fields.expires_at)
        self._timers.add(expires_at, ("expire", submission.submission_id))

    def _limits(self) -> Limits:
        config = self._config.current
        return _DEFAULT_LIMITS if config is None else config.limits
