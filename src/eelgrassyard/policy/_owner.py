"""The life of the submissions that this host owns, from acceptance to the one outcome."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from ._actions import Action, Control, Count
from ._admission import Admission
from ._config import Limits, SiteConfig
from ._events import PeerReceived, StartFinished
from ._failures import RETRY_AFTER_S, expired, failed, not_run
from ._identity import HostIdentity
from ._ids import SubmissionId
from ._messages import SlotGrant, SlotRefusal, StartResult, TaskControl, WitnessAck
from ._outcomes import Outcome, OutcomeKind, Reason, SubmissionBody
from ._ownedstate import Submission, TaskState, body_digest
from ._recordrequests import RecordRequests
from ._slotretries import SlotRetries
from ._slots import Slots
from ._startretries import may_retry
from ._starts import Start, Starts
from ._system import ConfigView, MembershipView
from ._timers import TimerQueue
from ._validation import impossible, make_submission

TICK_BOUND_S = 1.0
"""The driver is woken this often while something is unfinished, so that a pause shows as a gap."""

_PASSING_REASONS = {Reason.FLOW_LIMIT, Reason.QUOTA, Reason.NO_UPSTREAM, Reason.NOT_READY}
"""Refusals that do not end a submission that has started: it asks again until its deadline."""

_REASONS = {
    StartResult.LOST: Reason.UPSTREAM_LOST,
    StartResult.STOPPED: Reason.LEASE_LAPSED,
}

_DEFAULT_LIMITS = Limits()

OnEnd = Callable[[Submission, list[Action]], None]


class Owner:
    """Accepts, starts and ends submissions.

    :param admission: told of the tasks that wait for a place; holds the retry budgets.
    :param on_end: called once for each submission, when its outcome is set.
    """

    def __init__(
        self,
        *,
        identity: HostIdentity,
        config: ConfigView,
        membership: MembershipView,
        admission: Admission,
        on_end: OnEnd,
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._on_end = on_end
        self.by_id: dict[str, Submission] = {}
        self.live_by_id: dict[str, Submission] = {}
        self.starts = Starts(identity=identity)
        self._repeats = SlotRetries(config=config)
        self.slots = Slots(
            identity=identity, config=config, membership=membership, on_ask=self._repeats.note_ask
        )
        self._recording = RecordRequests(
            membership=membership,
            slots=self.slots,
            on_recorded=self._start_recorded,
            on_lost=self._give_up,
        )
        self._admission = admission
        self._timers: TimerQueue[tuple[str, str]] = TimerQueue()
        self._last_tick = -math.inf
        self._gap_at = -math.inf

    # Calls

    def submit(
        self,
        now: float,
        text: str,
        fields: SubmissionId,
        caller: str,
        body: SubmissionBody,
        out: list[Action],
    ) -> Submission | Reason:
        """Accept a submission or attach to the known one; a reason if the call is refused."""
        known = self.by_id.get(text)
        if known is not None:
            conflict = known.digest is not None and known.digest != body_digest(body)
            return Reason.BODY_CONFLICT if conflict else known
        config = self._config.current
        submission = make_submission(
            now,
            text,
            fields,
            caller,
            body,
            config=config,
            failure_domain=self._identity.failure_domain,
        )
        if config is None or isinstance(submission, Reason):
            return submission
        self._keep(submission)
        self.live_by_id[text] = submission
        self._begin(now, submission, config, out)
        self._count_waiting(submission)
        return submission

    def reject(
        self,
        text: str,
        fields: SubmissionId,
        caller: str,
        digest: bytes | None,
        reason: Reason,
        message: str,
    ) -> Submission:
        """Remember "not run" for an id under which nothing was accepted."""
        outcome = not_run(reason, message)
        submission = Submission(
            text=text, fields=fields, caller=caller, digest=digest, outcome=outcome
        )
        self._keep(submission)
        return submission

    def cancel(
        self, now: float, text: str, fields: SubmissionId, caller: str, out: list[Action]
    ) -> Submission:
        """Stop a submission, or make sure that it never runs."""
        submission = self.by_id.get(text)
        message = "cancelled by the caller"
        if submission is None:
            return self.reject(text, fields, caller, None, Reason.CANCELLED, message)
        if submission.outcome is None:
            self._give_up(now, submission, Reason.CANCELLED, message, out)
        return submission

    # Messages and events

    def take_grant(
        self, now: float, event: PeerReceived, grant: SlotGrant, out: list[Action]
    ) -> None:
        """Use the places of a grant, or give them back."""
        submission = self.by_id.get(grant.submission_id)
        usable = submission is not None and submission.outcome is None
        indexes = self.slots.accept(now, event, grant, submission if usable else None, out)
        if submission is None or not indexes:
            return
        self._count_waiting(submission)
        fields = submission.fields
        sender = (event.sender, event.incarnation)
        if grant.recorded and sender == (fields.witness, fields.witness_incarnation):
            submission.recorded = True
        if submission.recorded:
            self._start_granted(now, submission, indexes, out)
        elif submission.record_tries == 0:
            self._recording.request(now, submission, out)

    def take_refusal(
        self, now: float, event: PeerReceived, refusal: SlotRefusal, out: list[Action]
    ) -> None:
        """End a submission that gets no places."""
        submission = self.live_by_id.get(refusal.submission_id)
        sender = (event.sender, event.incarnation)
        if submission is None or not self.slots.is_current(now, refusal.pool, *sender, out):
            return
        if refusal.attempt != submission.attempt or submission.waiting == 0:
            return
        if submission.possible_starts > 0 and refusal.reason in _PASSING_REASONS:
            delay = refusal.retry_after_s or RETRY_AFTER_S
            self._repeats.ask_later(now + delay, submission)
            return
        self._give_up(now, submission, refusal.reason, refusal.message, out, refusal.retry_after_s)

    def take_ack(self, now: float, event: PeerReceived, ack: WitnessAck, out: list[Action]) -> None:
        """Start what waited for the record, or end a submission whose record is refused."""
        submission = self.live_by_id.get(ack.submission_id)
        if submission is not None and now != self._gap_at:
            self._recording.take_ack(now, event, ack, submission, out)

    def take_control(self, message: TaskControl, out: list[Action]) -> None:
        """Throttle, checkpoint or resume a task for the scheduler."""
        submission = self.live_by_id.get(message.submission_id)
        if submission is not None and 0 <= message.index < len(submission.tasks):
            self.starts.control(submission, message.index, Control(message.control), out)

    def take_finished(self, now: float, event: StartFinished, out: list[Action]) -> None:
        """Take the end of a start; a second report of the same start is ignored."""
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
                submission.done += 1
                if submission.done == len(submission.tasks):
                    results = tuple(task.result for task in submission.tasks)
                    self._end(
                        now, submission, Outcome(kind=OutcomeKind.COMPLETE, results=results), out
                    )
            case StartResult.NOT_STARTED:
                self._ask_again(now, submission, start, out)
            case _:
                self._take_failure(now, submission, start, event, out)

    # Time

    def note_time(self, now: float, out: list[Action]) -> None:
        """Notice a pause of the process: grants and records from before it are void."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= self._limits().lease_s or not self.live_by_id:
            return
        self._gap_at = now
        out.append(Count(metric="submissions.gap"))
        for submission in list(self.live_by_id.values()):
            self._void_grants(now, submission, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers and send releases."""
        for name, text in self._timers.pop_due(now):
            submission = self.live_by_id.get(text)
            if name == "expire":
                self._expire(now, text, out)
            elif submission is not None:
                self._check_deadline(now, submission, out)
        for submission in self._repeats.take_due(now):
            self.slots.ask(now, submission, out)
        self._recording.advance(now, out)
        self.starts.advance(now, self._limits(), out)
        self.slots.advance(now, out)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        bound = self._last_tick + TICK_BOUND_S if self.live_by_id else math.inf
        return min(
            bound,
            self._timers.next_due(),
            self._repeats.next_wake(),
            self._recording.next_wake(),
            self.starts.next_wake(),
            self.slots.next_wake(),
        )

    # Acceptance

    def _begin(
        self, now: float, submission: Submission, config: SiteConfig, out: list[Action]
    ) -> None:
        why = impossible(submission, config)
        if why is not None:
            self._end(now, submission, not_run(Reason.IMPOSSIBLE, why, None), out)
            return
        if not self._recording.is_possible(submission):
            message = "the witness named in the id is gone"
            self._give_up(now, submission, Reason.WITNESS_LOST, message, out)
            return
        self.slots.ask(now, submission, out)
        self._timers.add(
            submission.deadline_at + config.limits.ask_timeout_s, ("deadline", submission.text)
        )
        self._recording.begin(now, submission, out)

    # Starts

    def _start_recorded(self, now: float, submission: Submission, out: list[Action]) -> None:
        self._start_granted(now, submission, range(len(submission.tasks)), out)

    def _start_granted(
        self, now: float, submission: Submission, indexes: Iterable[int], out: list[Action]
    ) -> None:
        if submission.fields.is_expired(now):
            self._expire(now, submission.text, out)
            return
        assert submission.kind is not None
        task_kind = submission.kind.name
        limits = self._limits()
        for index in indexes:
            task = submission.tasks[index]
            if task.state is TaskState.GRANTED:
                self.starts.make(now, submission, index, limits, out)
                if task.tries == 1:
                    self._admission.note_start(task_kind)

    def _take_failure(
        self,
        now: float,
        submission: Submission,
        start: Start,
        event: StartFinished,
        out: list[Action],
    ) -> None:
        if self._take_retry(now, submission, start.index):
            out.append(Count(metric="submissions.retried"))
            self._ask_again(now, submission, start, out)
            return
        reason = _REASONS.get(event.result, Reason.TASK_FAILED)
        message = f"task {start.index} on {start.upstream}: {event.result.name.lower()}"
        self._give_up(now, submission, reason, message, out)

    def _take_retry(self, now: float, submission: Submission, index: int) -> bool:
        assert submission.kind is not None
        allowed = may_retry(now, submission, index)
        return allowed and self._admission.try_retry(submission.kind.name)

    def _count_waiting(self, submission: Submission) -> None:
        """Keep the number of waiting tasks of the flow, by which new calls are refused."""
        waiting = submission.waiting if submission.outcome is None else 0
        change = waiting - submission.counted_waiting
        if change and submission.kind is not None:
            submission.counted_waiting = waiting
            self._admission.add_waiting((submission.caller, submission.kind.name), change)

    def _ask_again(
        self, now: float, submission: Submission, start: Start, out: list[Action]
    ) -> None:
        task = submission.tasks[start.index]
        task.state = TaskState.WAITING
        submission.waiting += 1
        self._count_waiting(submission)
        if now >= submission.deadline_at:
            self._check_deadline(now, submission, out)
            return
        self._repeats.ask_again(now, submission, start.upstream)

    def _void_grants(self, now: float, submission: Submission, out: list[Action]) -> None:
        if submission.waiting == 0 and all(
            task.state is not TaskState.GRANTED for task in submission.tasks
        ):
            return
        self._return_granted(submission)
        self._count_waiting(submission)
        submission.min_attempt = submission.attempt + 1
        self.slots.ask(now, submission, out)
        self._recording.renew(now, submission, out)

    def _return_granted(self, submission: Submission) -> None:
        for task in submission.tasks:
            if task.state is TaskState.GRANTED and task.grant is not None:
                self.slots.release(submission.pool, task.grant, StartResult.UNUSED)
                task.state = TaskState.WAITING
                submission.waiting += 1

    # The end

    def _check_deadline(self, now: float, submission: Submission, out: list[Action]) -> None:
        unstarted = any(
            task.state in (TaskState.WAITING, TaskState.GRANTED) for task in submission.tasks
        )
        if unstarted:
            message = "no place was free before the deadline"
            self._give_up(now, submission, Reason.DEADLINE, message, out)

    def _give_up(
        self,
        now: float,
        submission: Submission,
        reason: Reason,
        message: str,
        out: list[Action],
        retry_after_s: float | None = RETRY_AFTER_S,
    ) -> None:
        """End without an answer: not run if nothing can have started, failed otherwise."""
        if submission.possible_starts == 0:
            outcome = not_run(reason, message, retry_after_s)
        else:
            outcome = failed(reason, message)
        self._end(now, submission, outcome, out)

    def _expire(self, now: float, text: str, out: list[Action]) -> None:
        submission = self.by_id.get(text)
        if submission is None:
            return
        if submission.outcome is None:
            running = all(
                task.state in (TaskState.STARTED, TaskState.DONE) for task in submission.tasks
            )
            if running:
                self._timers.add(now + 1.0, ("expire", text))
                return
            self._end(now, submission, expired(), out)
        del self.by_id[text]

    def _end(self, now: float, submission: Submission, outcome: Outcome, out: list[Action]) -> None:
        submission.outcome = outcome
        self._count_waiting(submission)
        self.live_by_id.pop(submission.text, None)
        if outcome.kind is not OutcomeKind.COMPLETE:
            self._return_granted(submission)
            self.slots.stop_asking(now, submission, out)
            for index in range(len(submission.tasks)):
                self.starts.control(submission, index, Control.STOP, out)
        submission.body = None
        submission.tasks = []
        out.append(Count(metric=f"submissions.{outcome.kind}"))
        self._on_end(submission, out)

    def _keep(self, submission: Submission) -> None:
        self.by_id[submission.text] = submission
        expires_at = float(submission.fields.expires_at)
        self._timers.add(expires_at, ("expire", submission.text))

    def _limits(self) -> Limits:
        config = self._config.current
        return _DEFAULT_LIMITS if config is None else config.limits
