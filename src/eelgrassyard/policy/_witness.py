"""Witness: records, on behalf of other hosts, which of their submissions may have started."""

from __future__ import annotations

from typing import ClassVar

from result import Ok

from ._actions import Action, Count, Send
from ._config import Limits
from ._events import Event, PeerReceived
from ._failures import SHORT_RETRY_AFTER_S, expired, not_run, unknown
from ._identity import HostIdentity
from ._ids import SubmissionId, parse_id, verify_id
from ._mark_pages import Mark, MarkPages
from ._messages import (
    SlotAsk,
    WitnessAck,
    WitnessHandoff,
    WitnessQuery,
    WitnessRecord,
    WitnessVerdict,
)
from ._outcomes import Outcome, OutcomeKind, Reason
from ._system import ConfigView
from ._timers import TimerQueue

MAX_HANDOFF_BYTES = 64_000_000
"""Bytes of results kept for drained owners; as much as one owner hands over."""

_DEFAULT_LIMITS = Limits()


class Witness:
    """Keeps the records of submissions that name this host as witness, and answers queries on them.

    An owner needs a record before its first start. An id is marked either as recorded or as refused
    and never changes from one to the other, so once a query was answered with "not run" the owner
    cannot get the record any more.
    """

    HANDLES: ClassVar[tuple[type, ...]] = (WitnessRecord, WitnessQuery, WitnessHandoff, SlotAsk)

    def __init__(self, *, identity: HostIdentity, config: ConfigView) -> None:
        self._identity = identity
        self._config = config
        self._marks = MarkPages()
        self._outcome_by_id: dict[str, Outcome] = {}
        self._outcome_bytes = 0
        self._outcome_expiry: TimerQueue[str] = TimerQueue()

    def is_recorded(self, submission_id: str) -> bool:
        """Return whether the id has a record at this incarnation of this host."""
        fields = parse_id(submission_id)
        if fields is None or not self._is_named_in(fields):
            return False
        return self._marks.get(fields) is Mark.RECORDED

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Handle one event."""
        if not isinstance(event, PeerReceived):
            return
        match event.message:
            case WitnessRecord() as message:
                accepted = self._record(now, event, message)
                self._acknowledge(event, message.submission_id, accepted, out)
            case SlotAsk() as message:
                self._handle_slot_request(now, event, message, out)
            case WitnessQuery() as message:
                outcome = self._decide_verdict(now, message)
                verdict = WitnessVerdict(submission_id=message.submission_id, outcome=outcome)
                out.append(Send(to=event.sender, message=verdict))
                out.append(Count(metric=f"witness.verdict.{outcome.kind}"))
            case WitnessHandoff() as message:
                accepted = self._store_handoff(now, event, message)
                self._acknowledge(event, message.submission_id, accepted, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Drop expired marks and outcomes."""
        self._marks.expire(now)
        for submission_id in self._outcome_expiry.pop_due(now):
            outcome = self._outcome_by_id.pop(submission_id)
            self._outcome_bytes -= _size_of(outcome)

    def next_wake(self, now: float) -> float:
        """Time of the next expiry of marks or outcomes."""
        return min(self._marks.next_expiry(), self._outcome_expiry.next_due())

    def dump(self) -> dict[str, object]:
        """Numbers of marked ids, pages and outcomes, and the size of the outcomes' results."""
        return {
            "records": self._marks.used,
            "pages": len(self._marks),
            "outcomes": len(self._outcome_by_id),
            "outcome_bytes": self._outcome_bytes,
        }

    def _handle_slot_request(
        self, now: float, event: PeerReceived, request: SlotAsk, out: list[Action]
    ) -> None:
        fields = parse_id(request.submission_id)
        if fields is None or fields.witness != self._identity.name:
            return
        if not self._record(now, event, request):
            self._acknowledge(event, request.submission_id, False, out)

    def _record(self, now: float, event: PeerReceived, message: WitnessRecord | SlotAsk) -> bool:
        fields = self._verify(message.submission_id, message.caller)
        if fields is None or fields.is_expired(now) or not _is_from_owner(event, fields):
            return False
        mark = self._marks.get(fields)
        if mark is Mark.NONE:
            if self._is_full():
                return False
            self._marks.set(fields, Mark.RECORDED)
        return mark is not Mark.REFUSED

    def _decide_verdict(self, now: float, query: WitnessQuery) -> Outcome:
        fields = self._verify(query.submission_id, query.caller)
        if fields is None:
            return unknown(Reason.WITNESS_LOST, "the witness named in the id has restarted")
        if fields.is_expired(now):
            return expired()
        kept = self._outcome_by_id.get(query.submission_id)
        if kept is not None:
            return kept
        mark = self._marks.get(fields)
        if mark is Mark.RECORDED:
            return unknown(Reason.OWNER_LOST, "the owner is unreachable; the work may have run")
        if mark is Mark.NONE:
            if self._is_full():
                return unknown(Reason.OWNER_UNREACHABLE, "the records of the witness are full")
            self._marks.set(fields, Mark.REFUSED)
        message = "the owner is unreachable and had not started the work"
        return not_run(Reason.OWNER_LOST, message, SHORT_RETRY_AFTER_S)

    def _store_handoff(self, now: float, event: PeerReceived, handoff: WitnessHandoff) -> bool:
        submission_id = handoff.submission_id
        fields = self._verify(submission_id, handoff.caller)
        if fields is None or fields.is_expired(now) or not _is_from_owner(event, fields):
            return False
        if submission_id in self._outcome_by_id:
            return True
        size = _size_of(handoff.outcome)
        if self._outcome_bytes + size > MAX_HANDOFF_BYTES:
            return False
        self._outcome_by_id[submission_id] = handoff.outcome
        self._outcome_bytes += size
        self._outcome_expiry.add(fields.expires_at, submission_id)
        if handoff.outcome.kind is OutcomeKind.NOT_RUN:
            self._marks.set(fields, Mark.REFUSED)
        else:
            self._marks.set(fields, Mark.RECORDED)
        return True

    def _verify(self, submission_id: str, caller: str) -> SubmissionId | None:
        """Return the fields of an id issued to the caller that names this incarnation as witness.

        Returns None for any other id.
        """
        match verify_id(submission_id, caller=caller, key=self._identity.id_key):
            case Ok(fields) if self._is_named_in(fields):
                return fields
        return None

    def _is_named_in(self, fields: SubmissionId) -> bool:
        named = (fields.witness, fields.witness_incarnation)
        return named == (self._identity.name, self._identity.incarnation)

    def _is_full(self) -> bool:
        config = self._config.current
        limits = _DEFAULT_LIMITS if config is None else config.limits
        return self._marks.used >= limits.witness_records

    def _acknowledge(
        self, event: PeerReceived, submission_id: str, accepted: bool, out: list[Action]
    ) -> None:
        ack = WitnessAck(submission_id=submission_id, accepted=accepted)
        out.append(Send(to=event.sender, message=ack))
        if not accepted:
            out.append(Count(metric="witness.refused"))


def _is_from_owner(event: PeerReceived, fields: SubmissionId) -> bool:
    return (event.sender, event.incarnation) == (fields.owner, fields.incarnation)


def _size_of(outcome: Outcome) -> int:
    return sum(len(result) for result in outcome.results)
