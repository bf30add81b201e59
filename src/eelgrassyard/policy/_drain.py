"""Drain of a host: finish its submissions, hand their outcomes over, announce its departure."""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Iterable

from ._actions import Action, Count, Drained, ReadinessChanged, Send, StateChanged
from ._events import PeerReceived
from ._identity import HostIdentity
from ._messages import Goodbye, WitnessAck, WitnessHandoff
from ._owned_state import Submission
from ._system import MembershipView

MAX_HANDOFF_BYTES = 64_000_000
"""Bytes of results that a draining host hands over; the remaining outcomes are not sent."""

MAX_UNACKED_OUTCOMES = 256
"""Outcomes that may be sent and not yet acknowledged."""

MAX_UNACKED_BYTES = 4_000_000
"""Bytes of results that may be sent and not yet acknowledged.

Keeps the bounded queues to peers from overflowing.
"""

RESEND_INTERVAL_S = 0.5
"""Interval at which unacknowledged outcomes are sent again."""

MAX_RESEND_ROUNDS = 3
"""Resend rounds since the last new outcome was sent; the last round gives up instead."""


class DrainState(enum.IntEnum):
    """Steps of a drain."""

    OFF = 0
    FINISHING = 1
    HANDING_OVER = 2
    DONE = 3


class Drain:
    """Drains this host.

    Once no submission is in progress, sends the kept outcomes to the witnesses named in their ids,
    those that no caller has got yet first. Then sends Goodbye to the other hosts.
    """

    def __init__(self, *, identity: HostIdentity, membership: MembershipView) -> None:
        self._identity = identity
        self._membership = membership
        self.state = DrainState.OFF
        self._queue: deque[Submission] = deque()
        self._unacked_by_id: dict[str, Submission] = {}
        self._unacked_bytes = 0
        self._resend_rounds = 0
        self._resend_at = math.inf

    @property
    def is_on(self) -> bool:
        return self.state is not DrainState.OFF

    def begin(self, out: list[Action]) -> None:
        """Begin the drain: the host is no longer ready, and submissions in progress continue."""
        if self.is_on:
            return
        self.state = DrainState.FINISHING
        out.append(ReadinessChanged(ready=False, reason="draining"))
        out.append(StateChanged(step="drain", peer="", message="finishing submissions"))

    def hand_over(self, now: float, submissions: Iterable[Submission], out: list[Action]) -> None:
        """Start to hand over the kept outcomes; called once no submission is in progress."""
        self.state = DrainState.HANDING_OVER
        kept = [s for s in submissions if s.outcome is not None and self._is_witness_alive(s)]
        kept.sort(key=lambda s: s.collected)
        total = 0
        for submission in kept:
            total += _size_of(submission)
            if total > MAX_HANDOFF_BYTES:
                break
            self._queue.append(submission)
        self._fill_window(now, out)

    def handle_ack(
        self, now: float, event: PeerReceived, ack: WitnessAck, out: list[Action]
    ) -> None:
        """Handle a witness's acceptance or refusal of an outcome, and send the next ones."""
        submission = self._unacked_by_id.get(ack.submission_id)
        if submission is None or event.sender != submission.fields.witness:
            return
        del self._unacked_by_id[ack.submission_id]
        self._unacked_bytes -= _size_of(submission)
        out.append(Count(metric="drain.handed_over" if ack.accepted else "drain.refused"))
        self._fill_window(now, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Resend unacknowledged outcomes; finish the drain when none is left."""
        if self.state is not DrainState.HANDING_OVER:
            return
        if now >= self._resend_at:
            self._resend(now, out)
        if self._unacked_by_id or self._queue:
            return
        self.state = DrainState.DONE
        goodbye = Goodbye(incarnation=self._identity.incarnation)
        for host in self._membership.alive_hosts():
            if host != self._identity.name:
                out.append(Send(to=host, message=goodbye))
        out.append(StateChanged(step="drain", peer="", message="drained"))
        out.append(Drained())

    def next_wake(self) -> float:
        """Time of the next resend."""
        return self._resend_at if self.state is DrainState.HANDING_OVER else math.inf

    def _resend(self, now: float, out: list[Action]) -> None:
        self._resend_rounds += 1
        for submission in list(self._unacked_by_id.values()):
            if self._resend_rounds >= MAX_RESEND_ROUNDS or not self._is_witness_alive(submission):
                del self._unacked_by_id[submission.submission_id]
                self._unacked_bytes -= _size_of(submission)
                out.append(Count(metric="drain.lost"))
            else:
                self._send(now, submission, out)
        self._resend_at = now + RESEND_INTERVAL_S
        self._fill_window(now, out)

    def _fill_window(self, now: float, out: list[Action]) -> None:
        while self._queue and len(self._unacked_by_id) < MAX_UNACKED_OUTCOMES:
            if self._unacked_by_id and self._unacked_bytes >= MAX_UNACKED_BYTES:
                break
            submission = self._queue.popleft()
            self._unacked_by_id[submission.submission_id] = submission
            self._unacked_bytes += _size_of(submission)
            self._resend_rounds = 0
            self._resend_at = now + RESEND_INTERVAL_S
            self._send(now, submission, out)

    def _send(self, now: float, submission: Submission, out: list[Action]) -> None:
        assert submission.outcome is not None and submission.fields.witness is not None
        message = WitnessHandoff(
            submission_id=submission.submission_id,
            caller=submission.caller,
            lifetime_s=max(0.0, submission.fields.expires_at - now),
            outcome=submission.outcome,
        )
        out.append(Send(to=submission.fields.witness, message=message))

    def _is_witness_alive(self, submission: Submission) -> bool:
        fields = submission.fields
        if fields.witness is None:
            return False
        return self._membership.is_alive(fields.witness, fields.witness_incarnation)


def _size_of(submission: Submission) -> int:
    outcome = submission.outcome
    return 0 if outcome is None else sum(len(result) for result in outcome.results)
