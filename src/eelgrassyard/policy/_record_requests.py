"""Requests for the witness record that a submission needs before its first start."""

from __future__ import annotations

from collections.abc import Callable

from ._actions import Action, Send
from ._events import PeerReceived
from ._failures import SHORT_RETRY_AFTER_S
from ._messages import WitnessAck, WitnessRecord
from ._outcomes import Reason
from ._owned_state import Submission
from ._slots import Slots
from ._system import MembershipView
from ._timers import TimerQueue

RECORD_TIMEOUT_S = 0.4
"""Time without an acknowledgement after which a record request is repeated.

Many round trips to a witness, and longer than a large job occupies the loop of a busy host.
"""

QUEUED_CHECK_INTERVAL_S = 1.0
"""Interval for checking a submission whose slot request is queued at its witness."""

MAX_REQUESTS = 4
"""Unanswered record requests after which the witness counts as lost."""

MAX_REQUESTS_IF_UNRESPONSIVE = 2
"""The same for a witness that does not answer probes either.

Not 1, as a single late answer does not show that the witness is lost.
"""

OnRecorded = Callable[[float, Submission, list[Action]], None]
OnLost = Callable[[float, Submission, Reason, str, list[Action], float], None]


class RecordRequests:
    """Obtains the witness record of each submission before its first start.

    If the scheduler of the pool is the witness, the slot request serves as the record request;
    otherwise a WitnessRecord message is sent and repeated.

    :param on_recorded: called when the witness holds the record.
    :param on_lost: called when the record cannot be obtained.
    """

    def __init__(
        self,
        *,
        membership: MembershipView,
        slots: Slots,
        on_recorded: OnRecorded,
        on_lost: OnLost,
    ) -> None:
        self._membership = membership
        self._slots = slots
        self._on_recorded = on_recorded
        self._on_lost = on_lost
        self._timers: TimerQueue[tuple[Submission, int]] = TimerQueue()

    def is_possible(self, submission: Submission) -> bool:
        """Return whether the record is there, or the witness is alive and can store it."""
        if submission.recorded:
            return True
        fields = submission.fields
        assert fields.witness is not None
        return self._membership.is_alive(fields.witness, fields.witness_incarnation)

    def begin(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Obtain the record for a submission whose slots were just requested."""
        if submission.recorded:
            return
        if self._is_scheduler_witness(now, submission, out):
            self._set_timer(now, submission)
        else:
            self.request(now, submission, out)

    def request(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Send a record request to the witness."""
        fields = submission.fields
        assert fields.witness is not None
        submission.record_requests += 1
        message = WitnessRecord(
            submission_id=submission.submission_id,
            caller=submission.caller,
            lifetime_s=max(0.0, fields.expires_at - now),
        )
        out.append(Send(to=fields.witness, message=message))
        self._set_timer(now, submission)

    def renew(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Request the record again after a pause of the process; the earlier one does not count."""
        submission.recorded = submission.fields.witness is None
        submission.record_requests = 0
        if not submission.recorded:
            self.request(now, submission, out)

    def handle_ack(
        self,
        now: float,
        event: PeerReceived,
        ack: WitnessAck,
        submission: Submission,
        out: list[Action],
    ) -> None:
        """Handle an acknowledgement; ignored unless from the incarnation that the id names."""
        fields = submission.fields
        sender = (event.sender, event.incarnation)
        if submission.recorded or sender != (fields.witness, fields.witness_incarnation):
            return
        if ack.accepted:
            submission.recorded = True
            self._on_recorded(now, submission, out)
        else:
            message = "the witness refused the record"
            self._on_lost(
                now, submission, Reason.WITNESS_REFUSED, message, out, SHORT_RETRY_AFTER_S
            )

    def advance(self, now: float, out: list[Action]) -> None:
        """Repeat unanswered requests, and give up on witnesses that are lost."""
        for submission, requests in self._timers.pop_due(now):
            if submission.recorded or submission.outcome is not None:
                continue
            if submission.record_requests != requests:
                continue
            witness = submission.fields.witness
            assert witness is not None
            responsive = self._membership.is_responsive(witness)
            max_requests = MAX_REQUESTS if responsive else MAX_REQUESTS_IF_UNRESPONSIVE
            if requests >= max_requests or not self.is_possible(submission):
                message = "the witness did not acknowledge the record"
                self._on_lost(
                    now, submission, Reason.WITNESS_LOST, message, out, SHORT_RETRY_AFTER_S
                )
            elif requests == 0 and responsive and self._is_scheduler_witness(now, submission, out):
                self._set_timer(now, submission, QUEUED_CHECK_INTERVAL_S)
            else:
                self._membership.probe_soon(witness)
                self.request(now, submission, out)

    def next_wake(self) -> float:
        """Time of the next repeat or check."""
        return self._timers.next_due()

    def _is_scheduler_witness(self, now: float, submission: Submission, out: list[Action]) -> bool:
        """Return whether the scheduler is the witness, so that the slot request is the record."""
        link = self._slots.link(now, submission.pool, out)
        fields = submission.fields
        return (link.scheduler, link.incarnation) == (fields.witness, fields.witness_incarnation)

    def _set_timer(
        self, now: float, submission: Submission, timeout_s: float = RECORD_TIMEOUT_S
    ) -> None:
        self._timers.add(now + timeout_s, (submission, submission.record_requests))
