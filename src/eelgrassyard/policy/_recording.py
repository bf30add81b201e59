"""The record at the witness that a submission needs before its first start."""

from __future__ import annotations

from collections.abc import Callable

from ._actions import Action, Send
from ._endings import RETRY_SOON_S
from ._events import PeerReceived
from ._messages import WitnessAck, WitnessRecord
from ._outcomes import Reason
from ._records import Submission
from ._slots import Slots
from ._system import MembershipView
from ._timers import TimerQueue

RECORD_TIMEOUT_S = 0.4
"""Many round trips to a witness, and longer than the loop of a busy host takes for a large job."""

ASKED_TIMEOUT_S = 1.0
"""Time between looks at a submission whose ask waits in the queue of its witness."""

MAX_TRIES = 4
"""Unanswered requests for a record after which the witness counts as lost."""

MIN_TRIES = 2
"""The same for a witness that does not answer probes either; one late answer proves nothing."""

OnRecorded = Callable[[float, Submission, list[Action]], None]
OnLost = Callable[[float, Submission, Reason, str, list[Action], float], None]


class Recording:
    """Gets records, by a request of its own or with the ask if the scheduler is the witness.

    :param on_recorded: called when the witness holds the record.
    :param on_lost: called when there will be no record.
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
        """Tell whether the record is there, or the witness can be asked for it."""
        if submission.recorded:
            return True
        fields = submission.fields
        assert fields.witness is not None
        return self._membership.is_alive(fields.witness, fields.witness_incarnation)

    def begin(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Get the record for a submission whose places were just asked for."""
        if submission.recorded:
            return
        if self._is_asked(now, submission, out):
            self._set_timer(now, submission)
        else:
            self.request(now, submission, out)

    def request(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Ask the witness itself."""
        fields = submission.fields
        assert fields.witness is not None
        submission.record_tries += 1
        message = WitnessRecord(
            submission_id=submission.text,
            caller=submission.caller,
            lifetime_s=max(0.0, fields.expires_at - now),
        )
        out.append(Send(to=fields.witness, message=message))
        self._set_timer(now, submission)

    def renew(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Ask again after a pause of the process; the earlier record is not relied on."""
        submission.recorded = submission.fields.witness is None
        submission.record_tries = 0
        if not submission.recorded:
            self.request(now, submission, out)

    def take_ack(
        self,
        now: float,
        event: PeerReceived,
        ack: WitnessAck,
        submission: Submission,
        out: list[Action],
    ) -> None:
        """Take the witness's answer, if it is from the incarnation that the id names."""
        fields = submission.fields
        sender = (event.sender, event.incarnation)
        if submission.recorded or sender != (fields.witness, fields.witness_incarnation):
            return
        if ack.accepted:
            submission.recorded = True
            self._on_recorded(now, submission, out)
        else:
            message = "the witness refused the record"
            self._on_lost(now, submission, Reason.WITNESS_REFUSED, message, out, RETRY_SOON_S)

    def advance(self, now: float, out: list[Action]) -> None:
        """Repeat requests; notice that a witness is gone."""
        for submission, tries in self._timers.pop_due(now):
            if submission.recorded or submission.outcome is not None:
                continue
            if submission.record_tries != tries:
                continue
            witness = submission.fields.witness
            assert witness is not None
            prompt = self._membership.is_responsive(witness)
            most_tries = MAX_TRIES if prompt else MIN_TRIES
            if tries >= most_tries or not self.is_possible(submission):
                message = "the witness did not acknowledge the record"
                self._on_lost(now, submission, Reason.WITNESS_LOST, message, out, RETRY_SOON_S)
            elif tries == 0 and prompt and self._is_asked(now, submission, out):
                self._set_timer(now, submission, ASKED_TIMEOUT_S)
            else:
                self._membership.request_probe(witness)
                self.request(now, submission, out)

    def next_wake(self) -> float:
        """Time of the next repeat."""
        return self._timers.next_due()

    def _is_asked(self, now: float, submission: Submission, out: list[Action]) -> bool:
        """Tell whether the scheduler is the witness, so that the ask is the record."""
        link = self._slots.link(now, submission.pool, out)
        fields = submission.fields
        return (link.scheduler, link.incarnation) == (fields.witness, fields.witness_incarnation)

    def _set_timer(
        self, now: float, submission: Submission, timeout_s: float = RECORD_TIMEOUT_S
    ) -> None:
        self._timers.add(now + timeout_s, (submission, submission.record_tries))
