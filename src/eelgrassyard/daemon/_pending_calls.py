"""Calls that wait for a reply of the core."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ..policy import CallAbandoned, Event, ReplyIds, ReplyRefusal, ReplyState

Reply = ReplyIds | ReplyState | ReplyRefusal

REPLY_GRACE_S = 10.0
"""A reply that is this late is given up, so that no connection is held for ever."""


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """A call by its number."""

    number: int
    answered: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None


class PendingCalls:
    """Numbers calls and matches replies to them.

    :param put: takes an event for the core.
    """

    def __init__(self, *, put: Callable[[Event], None]) -> None:
        self._put = put
        self._numbers = itertools.count(1)
        self._call_by_number: dict[int, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._call_by_number)

    def open(self, make_event: Callable[[int], Event]) -> PendingCall:
        """Number a call and pass its event to the core."""
        call = PendingCall(number=next(self._numbers))
        self._call_by_number[call.number] = call
        self._put(make_event(call.number))
        return call

    async def wait(self, call: PendingCall, wait_s: float) -> Reply | None:
        """Wait for the reply; None if it is overdue."""
        with anyio.move_on_after(wait_s + REPLY_GRACE_S):
            await call.answered.wait()
        if call.reply is None:
            self.abandon(call)
        return call.reply

    def abandon(self, call: PendingCall) -> None:
        """Tell the core that nobody waits for the reply any more."""
        if self._call_by_number.pop(call.number, None) is not None:
            self._put(CallAbandoned(call=call.number))

    def resolve(self, reply: Reply) -> None:
        """Hand a reply to the call that waits for it; others are dropped."""
        call = self._call_by_number.pop(reply.call, None)
        if call is not None:
            call.reply = reply
            call.answered.set()
