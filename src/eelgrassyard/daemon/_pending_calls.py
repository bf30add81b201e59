"""Calls that wait for a reply from the core."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ..policy import CallAbandoned, Event, ReplyIds, ReplyRefusal, ReplyState

Reply = ReplyIds | ReplyState | ReplyRefusal

REPLY_GRACE_S = 10.0
"""Time after the end of a call's wait for which a reply may still come, so that no connection is
held forever."""


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """A call that waits for its reply.

    :param number: identifies the call at this host.
    :param answered: set when the reply has arrived.
    """

    number: int
    answered: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None


class PendingHttpCalls:
    """Numbers calls and matches the core's replies to them.

    :param put: puts an event into the core's inbox.
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
        """Wait for the reply; None, and the call is abandoned, if it is overdue.

        :param wait_s: the call's own wait, to which ``REPLY_GRACE_S`` is added.
        """
        with anyio.move_on_after(wait_s + REPLY_GRACE_S):
            await call.answered.wait()
        if call.reply is None:
            self.abandon(call)
        return call.reply

    def abandon(self, call: PendingCall) -> None:
        """Notify the core that no reply is needed, unless the call was answered or abandoned."""
        if self._call_by_number.pop(call.number, None) is not None:
            self._put(CallAbandoned(call=call.number))

    def resolve(self, reply: Reply) -> None:
        """Pass a reply to its call; a reply to an abandoned call is dropped."""
        call = self._call_by_number.pop(reply.call, None)
        if call is not None:
            call.reply = reply
            call.answered.set()
