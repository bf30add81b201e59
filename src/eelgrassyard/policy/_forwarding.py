"""Forwards calls on other hosts' submissions to the owner, or queries the witness without one."""

from __future__ import annotations

import enum
import math
from collections import defaultdict
from dataclasses import dataclass

from ._actions import Action, Count, Send
from ._events import PeerReceived
from ._failures import unknown
from ._identity import HostIdentity
from ._ids import SubmissionId
from ._messages import ForwardCall, ForwardReply, Operation, WitnessQuery, WitnessVerdict
from ._outcomes import Outcome, Reason, SubmissionBody
from ._pending_calls import Waiter
from ._system import MembershipView
from ._timers import TimerQueue

RESEND_INTERVAL_S = 1.0
"""Interval at which an unanswered call is sent to the owner again.

A submit is repeated as a query, so that its body is not sent again.
"""

OWNER_GRACE_S = 3.0
"""Time beyond the caller's wait after which an owner that does not answer counts as unreachable."""

QUERY_RESEND_INTERVAL_S = 0.5
"""Interval at which an unanswered query is sent to the witness again."""
MAX_QUERIES = 3
"""Unanswered queries to the witness after which the outcome is reported as unknown."""


class Stage(enum.IntEnum):
    """Host whose answer a forwarded call waits for."""

    OWNER = 0
    WITNESS = 1


@dataclass(slots=True, kw_only=True)
class ForwardedCall:
    """A call of a caller at this host on a submission of another host.

    :param call: number of the call at this host.
    :param fields: the fields of the submission id.
    :param wait_until: time up to which the caller waits for an outcome.
    :param body: set for a submit only.
    :param sends: messages sent to the host of the present stage.
    """

    call: int
    caller: str
    operation: Operation
    submission_id: str
    fields: SubmissionId
    wait_until: float
    body: SubmissionBody | None = None
    stage: Stage = Stage.OWNER
    sends: int = 0


class Forwarding:
    """Sends each forwarded call to the owner, repeats it, and answers it from the reply.

    If that incarnation of the owner is not reachable, the witness named in the id is queried
    instead. Without a reachable witness the call is answered "unknown".
    """

    def __init__(self, *, identity: HostIdentity, membership: MembershipView) -> None:
        self._identity = identity
        self._membership = membership
        self._forwarded_by_call: dict[int, ForwardedCall] = {}
        self._calls_by_id: defaultdict[str, set[int]] = defaultdict(set)
        self._timers: TimerQueue[tuple[int, Stage, int]] = TimerQueue()

    def __len__(self) -> int:
        return len(self._forwarded_by_call)

    def begin(self, now: float, forwarded: ForwardedCall, out: list[Action]) -> None:
        """Forward a call."""
        self._forwarded_by_call[forwarded.call] = forwarded
        self._calls_by_id[forwarded.submission_id].add(forwarded.call)
        if self._is_owner_reachable(forwarded):
            self._send_to_owner(now, forwarded, forwarded.operation, out)
        else:
            self._query_witness(now, forwarded, out)

    def abandon(self, call: int) -> None:
        """Forget a call whose caller disconnected."""
        forwarded = self._forwarded_by_call.get(call)
        if forwarded is not None:
            self._remove(forwarded)

    def abandon_all(self, out: list[Action]) -> None:
        """Answer all calls "unknown" before the process ends; their state is not known here."""
        for forwarded in list(self._forwarded_by_call.values()):
            message = "this host is draining; repeat the call with the same id at another host"
            self._answer(forwarded, unknown(Reason.DRAINING, message, 0.0), out)

    def handle_reply(
        self, now: float, event: PeerReceived, reply: ForwardReply, out: list[Action]
    ) -> None:
        """Answer a call with the owner's reply.

        If a submit has not reached the owner, it is sent again with its body. If the owner has
        restarted, the witness is queried.
        """
        forwarded = self._forwarded_by_call.get(reply.call)
        if forwarded is None or forwarded.submission_id != reply.submission_id:
            return
        fields = forwarded.fields
        if (event.sender, event.incarnation) != (fields.owner, fields.incarnation):
            if reply.refusal is Reason.OWNER_LOST and event.sender == fields.owner:
                self._query_witness(now, forwarded, out)
            return
        if reply.refusal is Reason.NOT_SUBMITTED and forwarded.operation is Operation.SUBMIT:
            self._send_to_owner(now, forwarded, Operation.SUBMIT, out)
        elif reply.refusal is not Reason.NONE:
            self._remove(forwarded)
            Waiter(forwarded.call).refuse(
                forwarded.submission_id, reply.refusal, reply.message, out
            )
        else:
            self._answer(forwarded, reply.outcome, out)

    def handle_verdict(
        self, verdict: WitnessVerdict, event: PeerReceived, out: list[Action]
    ) -> None:
        """Answer the calls on a submission with the verdict of its witness."""
        for call in list(self._calls_by_id.get(verdict.submission_id, ())):
            forwarded = self._forwarded_by_call[call]
            fields = forwarded.fields
            sender = (event.sender, event.incarnation)
            if sender == (fields.witness, fields.witness_incarnation):
                self._answer(forwarded, verdict.outcome, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Repeat unanswered calls, or answer "unknown" if they were unanswered for too long."""
        for call, stage, sends in self._timers.pop_due(now):
            forwarded = self._forwarded_by_call.get(call)
            if forwarded is None or (forwarded.stage, forwarded.sends) != (stage, sends):
                continue
            if stage is Stage.WITNESS or not self._is_owner_reachable(forwarded):
                self._query_witness(now, forwarded, out)
            elif now >= forwarded.wait_until + OWNER_GRACE_S:
                message = "the owner does not answer; repeat the call with the same id"
                self._answer(forwarded, unknown(Reason.OWNER_UNREACHABLE, message), out)
            else:
                repeat = forwarded.operation
                if repeat is Operation.SUBMIT:
                    repeat = Operation.QUERY
                self._send_to_owner(now, forwarded, repeat, out)

    def next_wake(self) -> float:
        """Time of the next repeat."""
        return self._timers.next_due() if self._forwarded_by_call else math.inf

    def _is_owner_reachable(self, forwarded: ForwardedCall) -> bool:
        fields = forwarded.fields
        if fields.owner == self._identity.name:
            return False
        if self._membership.is_dead(fields.owner, fields.incarnation):
            return False
        return self._membership.is_alive(fields.owner, fields.incarnation)

    def _send_to_owner(
        self, now: float, forwarded: ForwardedCall, operation: Operation, out: list[Action]
    ) -> None:
        forwarded.sends += 1
        message = ForwardCall(
            call=forwarded.call,
            caller=forwarded.caller,
            operation=operation,
            submission_id=forwarded.submission_id,
            wait_s=max(0.0, forwarded.wait_until - now),
            body=forwarded.body if operation is Operation.SUBMIT else None,
        )
        out.append(Send(to=forwarded.fields.owner, message=message))
        out.append(Count(metric="submissions.forwarded"))
        self._set_timer(now + RESEND_INTERVAL_S, forwarded)

    def _query_witness(self, now: float, forwarded: ForwardedCall, out: list[Action]) -> None:
        """Query the witness, or answer "unknown" if there is none or it cannot be reached."""
        fields = forwarded.fields
        if forwarded.stage is not Stage.WITNESS:
            forwarded.stage, forwarded.sends = Stage.WITNESS, 0
        if fields.witness is None:
            message = "the owner cannot be reached and the id names no witness"
            self._answer(forwarded, unknown(Reason.OWNER_LOST, message), out)
            return
        alive = self._membership.is_alive(fields.witness, fields.witness_incarnation)
        if not alive or forwarded.sends >= MAX_QUERIES:
            message = "neither owner nor witness can be reached; repeat the call with the same id"
            self._answer(forwarded, unknown(Reason.OWNER_UNREACHABLE, message), out)
            return
        forwarded.sends += 1
        query = WitnessQuery(
            submission_id=forwarded.submission_id,
            caller=forwarded.caller,
            lifetime_s=max(0.0, fields.expires_at - now),
        )
        out.append(Send(to=fields.witness, message=query))
        self._set_timer(now + QUERY_RESEND_INTERVAL_S, forwarded)

    def _set_timer(self, due: float, forwarded: ForwardedCall) -> None:
        self._timers.add(due, (forwarded.call, forwarded.stage, forwarded.sends))

    def _answer(self, forwarded: ForwardedCall, outcome: Outcome | None, out: list[Action]) -> None:
        self._remove(forwarded)
        Waiter(forwarded.call).reply(forwarded.submission_id, outcome, out)

    def _remove(self, forwarded: ForwardedCall) -> None:
        del self._forwarded_by_call[forwarded.call]
        calls = self._calls_by_id[forwarded.submission_id]
        calls.discard(forwarded.call)
        if not calls:
            del self._calls_by_id[forwarded.submission_id]
