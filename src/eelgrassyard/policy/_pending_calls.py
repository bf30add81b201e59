"""Calls that are held open at the owner until their submission ends."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ._actions import Action, ReplyRefusal, ReplyState, Send
from ._messages import ForwardReply
from ._outcomes import Outcome, Reason
from ._timers import TimerQueue


@dataclass(frozen=True, slots=True)
class Waiter:
    """A call to be answered: made at this host, or forwarded from another one.

    :param call: number of the call at the host that received it from the caller.
    :param host: host that forwarded the call; None for a call at this host.
    :param incarnation: incarnation of that host; 0 for a call at this host.
    """

    call: int
    host: str | None = None
    incarnation: int = 0

    def reply(self, submission_id: str, outcome: Outcome | None, out: list[Action]) -> None:
        """Answer with an outcome, or with "running" if it is None."""
        if self.host is None:
            out.append(ReplyState(call=self.call, submission_id=submission_id, outcome=outcome))
            return
        message = ForwardReply(call=self.call, submission_id=submission_id, outcome=outcome)
        out.append(Send(to=self.host, message=message))

    def refuse(
        self,
        submission_id: str,
        reason: Reason,
        message: str,
        out: list[Action],
        *,
        retry_after_s: float | None = None,
    ) -> None:
        """Refuse the call; this has no bearing on the submission's outcome."""
        if self.host is None:
            out.append(
                ReplyRefusal(
                    call=self.call, reason=reason, message=message, retry_after_s=retry_after_s
                )
            )
            return
        reply = ForwardReply(
            call=self.call, submission_id=submission_id, refusal=reason, message=message
        )
        out.append(Send(to=self.host, message=reply))


class PendingCalls:
    """Holds the pending calls of each submission.

    A call is answered when the submission ends, or with "running" when its wait is over.
    """

    def __init__(self) -> None:
        self._expiry_by_waiter_by_id: defaultdict[str, dict[Waiter, float]] = defaultdict(dict)
        self._id_by_local_call: dict[int, str] = {}
        self._timers: TimerQueue[tuple[str, Waiter]] = TimerQueue()

    def __len__(self) -> int:
        return sum(len(waiters) for waiters in self._expiry_by_waiter_by_id.values())

    def add(self, now: float, submission_id: str, waiter: Waiter, wait_s: float) -> None:
        """Hold a call open for up to ``wait_s``.

        A repeated forwarded call replaces the earlier one.
        """
        expires_at = now + max(wait_s, 0.0)
        self._expiry_by_waiter_by_id[submission_id][waiter] = expires_at
        if waiter.host is None:
            self._id_by_local_call[waiter.call] = submission_id
        self._timers.add(expires_at, (submission_id, waiter))

    def abandon(self, call: int) -> None:
        """Remove a call made at this host whose caller disconnected."""
        submission_id = self._id_by_local_call.pop(call, None)
        if submission_id is not None:
            self._remove(submission_id, Waiter(call))

    def answer(self, submission_id: str, outcome: Outcome, out: list[Action]) -> int:
        """Answer all pending calls of a submission and return their number."""
        waiters = self._expiry_by_waiter_by_id.pop(submission_id, {})
        for waiter in waiters:
            self._id_by_local_call.pop(waiter.call, None) if waiter.host is None else None
            waiter.reply(submission_id, outcome, out)
        return len(waiters)

    def advance(self, now: float, out: list[Action]) -> None:
        """Answer the calls whose wait is over with "running"."""
        for submission_id, waiter in self._timers.pop_due(now):
            waiters = self._expiry_by_waiter_by_id.get(submission_id, {})
            if waiters.get(waiter, now + 1.0) <= now:
                self._remove(submission_id, waiter)
                waiter.reply(submission_id, None, out)

    def next_wake(self) -> float:
        """Time at which the next wait is over."""
        return self._timers.next_due()

    def _remove(self, submission_id: str, waiter: Waiter) -> None:
        waiters = self._expiry_by_waiter_by_id.get(submission_id)
        if waiters is None:
            return
        waiters.pop(waiter, None)
        if waiter.host is None:
            self._id_by_local_call.pop(waiter.call, None)
        if not waiters:
            del self._expiry_by_waiter_by_id[submission_id]
