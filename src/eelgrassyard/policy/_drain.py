"""The planned stop of a host: finish the work, hand the answers over, say goodbye."""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Iterable

from ._actions import Action, Count, Drained, ReadinessChanged, Send, StateChanged
from ._events import PeerReceived
from ._identity import HostIdentity
from ._messages import Goodbye, WitnessAck, WitnessHandoff
from ._ownedstate import Submission
from ._system import MembershipView

MAX_HANDOFF_BYTES = 64_000_000
WINDOW = 256
"""Outcomes that are sent and not yet acknowledged."""

WINDOW_BYTES = 4_000_000
"""Bytes sent and not yet acknowledged, so that the bounded queues to peers do not overflow."""

REPEAT_S = 0.5
MAX_TRIES = 3


class DrainState(enum.IntEnum):
    """Steps of a planned stop."""

    OFF = 0
    FINISHING = 1
    HANDING_OVER = 2
    DONE = 3


class Drain:
    """Hands over outcomes to the witnesses named in the ids, uncollected ones first."""

    def __init__(self, *, identity: HostIdentity, membership: MembershipView) -> None:
        self._identity = identity
        self._membership = membership
        self.state = DrainState.OFF
        self._queue: deque[Submission] = deque()
        self._sent_by_id: dict[str, Submission] = {}
        self._sent_bytes = 0
        self._tries = 0
        self._repeat_at = math.inf

    @property
    def is_on(self) -> bool:
        return self.state is not DrainState.OFF

    def begin(self, out: list[Action]) -> None:
        """Stop being ready; what is in progress goes on."""
        if self.is_on:
            return
        self.state = DrainState.FINISHING
        out.append(ReadinessChanged(ready=False, reason="draining"))
        out.append(StateChanged(step="drain", peer="", message="finishing submissions"))

    def hand_over(self, now: float, submissions: Iterable[Submission], out: list[Action]) -> None:
        """Start to hand over what is kept, once nothing is in progress."""
        self.state = DrainState.HANDING_OVER
        kept = [s for s in submissions if s.outcome is not None and self._has_witness(s)]
        kept.sort(key=lambda s: s.collected)
        total = 0
        for submission in kept:
            total += _size_of(submission)
            if total > MAX_HANDOFF_BYTES:
                break
            self._queue.append(submission)
        self._fill_window(now, out)

    def take_ack(self, now: float, event: PeerReceived, ack: WitnessAck, out: list[Action]) -> None:
        """Go on when a witness has an outcome, or has refused it."""
        submission = self._sent_by_id.get(ack.submission_id)
        if submission is None or event.sender != submission.fields.witness:
            return
        del self._sent_by_id[ack.submission_id]
        self._sent_bytes -= _size_of(submission)
        out.append(Count(metric="drain.handed_over" if ack.accepted else "drain.refused"))
        self._fill_window(now, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Repeat what is not acknowledged; leave when there is nothing more to do."""
        if self.state is not DrainState.HANDING_OVER:
            return
        if now >= self._repeat_at:
            self._repeat(now, out)
        if self._sent_by_id or self._queue:
            return
        self.state = DrainState.DONE
        goodbye = Goodbye(incarnation=self._identity.incarnation)
        for host in self._membership.alive_hosts():
            if host != self._identity.name:
                out.append(Send(to=host, message=goodbye))
        out.append(StateChanged(step="drain", peer="", message="drained"))
        out.append(Drained())

    def next_wake(self) -> float:
        """Time of the next repeat."""
        return self._repeat_at if self.state is DrainState.HANDING_OVER else math.inf

    def _repeat(self, now: float, out: list[Action]) -> None:
        self._tries += 1
        for submission in list(self._sent_by_id.values()):
            if self._tries >= MAX_TRIES or not self._has_witness(submission):
                del self._sent_by_id[submission.text]
                self._sent_bytes -= _size_of(submission)
                out.append(Count(metric="drain.lost"))
            else:
                self._send(now, submission, out)
        self._repeat_at = now + REPEAT_S
        self._fill_window(now, out)

    def _fill_window(self, now: float, out: list[Action]) -> None:
        while self._queue and len(self._sent_by_id) < WINDOW:
            if self._sent_by_id and self._sent_bytes >= WINDOW_BYTES:
                break
            submission = self._queue.popleft()
            self._sent_by_id[submission.text] = submission
            self._sent_bytes += _size_of(submission)
            self._tries = 0
            self._repeat_at = now + REPEAT_S
            self._send(now, submission, out)

    def _send(self, now: float, submission: Submission, out: list[Action]) -> None:
        assert submission.outcome is not None and submission.fields.witness is not None
        message = WitnessHandoff(
            submission_id=submission.text,
            caller=submission.caller,
            lifetime_s=max(0.0, submission.fields.expires_at - now),
            outcome=submission.outcome,
        )
        out.append(Send(to=submission.fields.witness, message=message))

    def _has_witness(self, submission: Submission) -> bool:
        fields = submission.fields
        if fields.witness is None:
            return False
        return self._membership.is_alive(fields.witness, fields.witness_incarnation)


def _size_of(submission: Submission) -> int:
    outcome = submission.outcome
    return 0 if outcome is None else sum(len(result) for result in outcome.results)
