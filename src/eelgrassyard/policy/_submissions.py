"""Calls of callers on submissions: executed here by the owner, otherwise forwarded to it."""

from __future__ import annotations

import itertools
from typing import ClassVar

from result import Err, Ok

from ._actions import Action, ReplyIds
from ._admission import Admission
from ._config import Limits
from ._drain import Drain, DrainState
from ._events import (
    CallAbandoned,
    CancelCalled,
    DrainCalled,
    Event,
    IdsCalled,
    PeerReceived,
    QueryCalled,
    StartFinished,
    SubmitCalled,
)
from ._failures import DEFAULT_RETRY_AFTER_S, expired
from ._forwarding import ForwardedCall, Forwarding
from ._identity import HostIdentity
from ._ids import MAX_IDS_PER_CALL, SubmissionId, issue_id, verify_id
from ._messages import (
    ForwardCall,
    ForwardReply,
    Operation,
    SlotGrant,
    SlotRefusal,
    TaskControl,
    WitnessAck,
    WitnessVerdict,
)
from ._outcomes import Reason, SubmissionBody
from ._owned_state import Submission, body_digest
from ._owner import Owner
from ._pending_calls import PendingCalls, Waiter
from ._pool_names import pool_for
from ._system import ConfigView, MembershipView

MAX_DUMPED_SUBMISSIONS = 1000
"""Unfinished submissions that a state dump lists individually."""

_DEFAULT_LIMITS = Limits()

_MESSAGE_BY_REASON = {
    Reason.BODY_CONFLICT: "the id was submitted with another body",
    Reason.NOT_READY: "the host has no configuration yet",
    Reason.UNKNOWN_KIND: "the kind of work is not configured",
    Reason.KIND_FORBIDDEN: "the caller may not submit this kind of work",
    Reason.NOT_SUBMITTED: "the id has not been submitted yet",
    Reason.ID_INVALID: "the id is malformed",
    Reason.FOREIGN_ID: "the id was not issued to this caller",
    Reason.OWNER_LOST: "the owner has restarted since the id was issued",
    Reason.DRAINING: "the host is draining; use another host",
}


class Submissions:
    """Issues submission ids and handles submit, query and cancel calls.

    A call on a submission that this incarnation owns is passed to :class:`Owner`; any other call is
    forwarded to the owning host. Also runs the drain of this host.

    :param admission: limits on new submissions at this host.
    """

    HANDLES: ClassVar[tuple[type, ...]] = (
        IdsCalled,
        SubmitCalled,
        QueryCalled,
        CancelCalled,
        CallAbandoned,
        DrainCalled,
        StartFinished,
        ForwardCall,
        ForwardReply,
        WitnessAck,
        WitnessVerdict,
        SlotGrant,
        SlotRefusal,
        TaskControl,
    )

    def __init__(
        self,
        *,
        identity: HostIdentity,
        config: ConfigView,
        membership: MembershipView,
        admission: Admission,
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._admission = admission
        self._owner = Owner(
            identity=identity,
            config=config,
            membership=membership,
            admission=admission,
            on_end=self._answer_pending_calls,
        )
        self._pending_calls = PendingCalls()
        self._forwarding = Forwarding(identity=identity, membership=membership)
        self._drain = Drain(identity=identity, membership=membership)
        self._sequences = itertools.count(1)

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Handle one event."""
        self._owner.check_for_pause(now, out)
        match event:
            case IdsCalled():
                self._issue_ids(now, event, out)
            case SubmitCalled() | QueryCalled() | CancelCalled():
                self._handle_call(now, event, out)
            case CallAbandoned():
                self._pending_calls.abandon(event.call)
                self._forwarding.abandon(event.call)
            case StartFinished():
                self._owner.handle_start_finished(now, event, out)
            case DrainCalled():
                self._drain.begin(out)
            case PeerReceived():
                self._handle_message(now, event, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run the timers that are due, and continue a drain."""
        self._owner.check_for_pause(now, out)
        self._owner.advance(now, out)
        self._pending_calls.advance(now, out)
        self._forwarding.advance(now, out)
        idle = not self._owner.live_by_id and not len(self._owner.starts)
        if self._drain.state is DrainState.FINISHING and idle:
            self._forwarding.abandon_all(out)
            self._drain.hand_over(now, self._owner.by_id.values(), out)
        self._drain.advance(now, out)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return min(
            self._owner.next_wake(now),
            self._pending_calls.next_wake(),
            self._forwarding.next_wake(),
            self._drain.next_wake(),
        )

    def owns(self, submission_id: str) -> bool:
        """Return whether this host owns a submission with the id, and so must not refuse it.

        The daemon refuses calls of a flow early when the flow is over its limit, but not calls on a
        submission that was already accepted.
        """
        return submission_id in self._owner.by_id

    def dump(self) -> dict[str, object]:
        """State of the submissions as JSON values; lists the unfinished ones individually."""
        live = itertools.islice(self._owner.live_by_id.values(), MAX_DUMPED_SUBMISSIONS)
        return {
            "kept": len(self._owner.by_id),
            "unfinished": len(self._owner.live_by_id),
            "starts": len(self._owner.starts),
            "waiting_calls": len(self._pending_calls),
            "forwarded_calls": len(self._forwarding),
            "drain": self._drain.state.name.lower(),
            "pools": self._owner.slots.dump(),
            "by_id": {submission.submission_id: _dump_of(submission) for submission in live},
        }

    # Ids

    def _issue_ids(self, now: float, event: IdsCalled, out: list[Action]) -> None:
        waiter = Waiter(event.call)
        refusal = Reason.NOT_READY if self._config.current is None else Reason.NONE
        if self._drain.is_on:
            refusal = Reason.DRAINING
        if refusal is not Reason.NONE:
            waiter.refuse(
                "", refusal, _MESSAGE_BY_REASON[refusal], out, retry_after_s=DEFAULT_RETRY_AFTER_S
            )
            return
        count = min(max(event.count, 1), MAX_IDS_PER_CALL)
        scheduler = self._scheduler_for_kind(now, event.kind, out)
        ids = tuple(self._issue_one(now, event.caller, scheduler) for _ in range(count))
        out.append(ReplyIds(call=event.call, ids=ids))

    def _issue_one(self, now: float, caller: str, scheduler: str | None) -> str:
        config = self._config.current
        limits = _DEFAULT_LIMITS if config is None else config.limits
        sequence = next(self._sequences)
        witness = scheduler or self._membership.witness_for(sequence)
        incarnation = None if witness is None else self._membership.incarnation_of(witness)
        if incarnation is None or witness == self._identity.name:
            witness, incarnation = None, 0
        fields = SubmissionId(
            owner=self._identity.name,
            incarnation=self._identity.incarnation,
            sequence=sequence,
            expires_at=int(now + limits.id_lifetime_s),
            witness=witness,
            witness_incarnation=incarnation,
        )
        return issue_id(fields, caller=caller, key=self._identity.id_key)

    def _scheduler_for_kind(self, now: float, kind: str, out: list[Action]) -> str | None:
        """Return the scheduler of the kind's pool; None for an unknown kind or this host itself.

        As the witness of an id it records the submission when the slot request arrives, without a
        separate message. The owner cannot be its own witness.
        """
        config = self._config.current
        if config is None or kind not in config.kinds_by_name:
            return None
        pool = pool_for(config, kind, self._identity.failure_domain)
        host = self._owner.slots.link(now, pool, out).scheduler
        return None if host == self._identity.name else host

    # Calls

    def _handle_call(
        self, now: float, event: SubmitCalled | QueryCalled | CancelCalled, out: list[Action]
    ) -> None:
        waiter = Waiter(event.call)
        submission_id = event.submission_id
        match verify_id(submission_id, caller=event.caller, key=self._identity.id_key):
            case Err(reason):
                waiter.refuse(submission_id, reason, _MESSAGE_BY_REASON[reason], out)
                return
            case Ok(fields):
                pass
        operation, body, wait_s = _call_parameters(event)
        if self._refuse_draining(waiter, submission_id, fields, operation, out):
            return
        if self._refuse_submit(now, waiter, submission_id, event.caller, body, out):
            return
        if fields.is_expired(now) and submission_id not in self._owner.live_by_id:
            waiter.reply(submission_id, expired(), out)
        elif self._is_own(fields):
            self._execute(
                now, waiter, operation, submission_id, fields, event.caller, body, wait_s, out
            )
        else:
            forwarded = ForwardedCall(
                call=event.call,
                caller=event.caller,
                operation=operation,
                submission_id=submission_id,
                fields=fields,
                wait_until=now + wait_s,
                body=body,
            )
            self._forwarding.begin(now, forwarded, out)

    def _refuse_draining(
        self,
        waiter: Waiter,
        submission_id: str,
        fields: SubmissionId,
        operation: Operation,
        out: list[Action],
    ) -> bool:
        """While draining, refuse calls for other owners that could outlast this process.

        Queries and cancels are still forwarded until the handover of outcomes begins.
        """
        if not self._drain.is_on or self._is_own(fields):
            return False
        if operation is not Operation.SUBMIT and self._drain.state is DrainState.FINISHING:
            return False
        message = _MESSAGE_BY_REASON[Reason.DRAINING]
        waiter.refuse(submission_id, Reason.DRAINING, message, out, retry_after_s=0.0)
        return True

    def _refuse_submit(
        self,
        now: float,
        waiter: Waiter,
        submission_id: str,
        caller: str,
        body: SubmissionBody | None,
        out: list[Action],
    ) -> bool:
        """Refuse a new submission that this host cannot admit.

        The refusal has no bearing on the outcome of earlier calls with the same id.
        """
        if body is None or submission_id in self._owner.by_id:
            return False
        if self._config.current is None:
            message = _MESSAGE_BY_REASON[Reason.NOT_READY]
            waiter.refuse(
                submission_id, Reason.NOT_READY, message, out, retry_after_s=DEFAULT_RETRY_AFTER_S
            )
            return True
        refusal = self._admission.check(now, caller, body)
        if refusal is None:
            return False
        waiter.refuse(
            submission_id, refusal.reason, refusal.message, out, retry_after_s=refusal.retry_after_s
        )
        return True

    def _execute(
        self,
        now: float,
        waiter: Waiter,
        operation: Operation,
        submission_id: str,
        fields: SubmissionId,
        caller: str,
        body: SubmissionBody | None,
        wait_s: float,
        out: list[Action],
    ) -> None:
        """Execute a call on a submission that this incarnation owns."""
        result: Submission | Reason
        if operation is Operation.CANCEL:
            result = self._owner.cancel(now, submission_id, fields, caller, out)
        elif body is None:
            result = self._owner.by_id.get(submission_id, Reason.NOT_SUBMITTED)
        elif self._drain.is_on and submission_id not in self._owner.by_id:
            message = _MESSAGE_BY_REASON[Reason.DRAINING]
            digest = body_digest(body)
            result = self._owner.record_not_run(
                submission_id, fields, caller, digest, Reason.DRAINING, message
            )
        else:
            result = self._owner.submit(now, submission_id, fields, caller, body, out)
        if isinstance(result, Reason):
            waiter.refuse(submission_id, result, _MESSAGE_BY_REASON[result], out)
        elif result.outcome is not None:
            result.collected = True
            waiter.reply(submission_id, result.outcome, out)
        elif wait_s > 0.0:
            self._pending_calls.add(now, submission_id, waiter, wait_s)
        else:
            waiter.reply(submission_id, None, out)

    def _answer_pending_calls(self, submission: Submission, out: list[Action]) -> None:
        assert submission.outcome is not None
        if self._pending_calls.answer(submission.submission_id, submission.outcome, out):
            submission.collected = True

    # Messages

    def _handle_message(self, now: float, event: PeerReceived, out: list[Action]) -> None:
        match event.message:
            case ForwardCall() as message:
                self._handle_forwarded(now, event, message, out)
            case ForwardReply() as message:
                self._forwarding.handle_reply(now, event, message, out)
            case WitnessVerdict() as message:
                self._forwarding.handle_verdict(message, event, out)
            case WitnessAck() as message:
                self._owner.handle_ack(now, event, message, out)
                self._drain.handle_ack(now, event, message, out)
            case SlotGrant() as message:
                self._report_flow_wait(now, message)
                self._owner.handle_grant(now, event, message, out)
            case SlotRefusal() as message:
                self._report_flow_wait(now, message)
                self._owner.handle_refusal(now, event, message, out)
            case TaskControl() as message:
                self._owner.handle_control(message, out)

    def _handle_forwarded(
        self, now: float, event: PeerReceived, message: ForwardCall, out: list[Action]
    ) -> None:
        waiter = Waiter(message.call, event.sender, event.incarnation)
        submission_id = message.submission_id
        match verify_id(submission_id, caller=message.caller, key=self._identity.id_key):
            case Ok(fields) if self._is_own(fields):
                if fields.is_expired(now) and submission_id not in self._owner.live_by_id:
                    waiter.reply(submission_id, expired(), out)
                    return
                self._execute(
                    now,
                    waiter,
                    message.operation,
                    submission_id,
                    fields,
                    message.caller,
                    message.body,
                    message.wait_s,
                    out,
                )
            case Ok(_):
                waiter.refuse(
                    submission_id, Reason.OWNER_LOST, _MESSAGE_BY_REASON[Reason.OWNER_LOST], out
                )
            case Err(reason):
                waiter.refuse(submission_id, reason, _MESSAGE_BY_REASON[reason], out)

    def _report_flow_wait(self, now: float, message: SlotGrant | SlotRefusal) -> None:
        """Pass the wait or refusal that the scheduler reports for a flow to the admission."""
        submission = self._owner.by_id.get(message.submission_id)
        if submission is None or submission.body is None:
            return
        flow = (submission.caller, submission.body.kind)
        urgency = submission.body.urgency
        granted = len(message.placements) if isinstance(message, SlotGrant) else 0
        self._admission.record_wait(now, flow, message.flow_wait_s, urgency, granted)
        if isinstance(message, SlotRefusal):
            self._admission.record_refusal(now, flow, message.reason, message.retry_after_s)

    def _is_own(self, fields: SubmissionId) -> bool:
        own = (self._identity.name, self._identity.incarnation)
        return (fields.owner, fields.incarnation) == own


def _call_parameters(
    event: SubmitCalled | QueryCalled | CancelCalled,
) -> tuple[Operation, SubmissionBody | None, float]:
    match event:
        case SubmitCalled():
            return Operation.SUBMIT, event.body, event.wait_s
        case QueryCalled():
            return Operation.QUERY, None, event.wait_s
        case _:
            return Operation.CANCEL, None, 0.0


def _dump_of(submission: Submission) -> dict[str, object]:
    return {
        "caller": submission.caller,
        "kind": "" if submission.kind is None else submission.kind.name,
        "tasks": len(submission.tasks),
        "waiting": submission.tasks_waiting,
        "done": submission.tasks_done,
        "recorded": submission.recorded,
        "attempt": submission.attempt,
    }
