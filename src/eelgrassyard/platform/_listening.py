"""Listening at the addresses of a host while a predecessor may still hold them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import anyio

from .._journal import Journal

LISTEN_MARGIN_S = 2.0
"""Time beyond the grace period for which the start waits for an address."""

LISTEN_RETRY_INTERVAL_S = 0.05
"""Interval of the attempts to listen at an address."""


async def listen_when_free(
    steps: Sequence[tuple[str, Callable[[], Awaitable[None]]]],
    *,
    journal: Journal,
    grace_s: float,
) -> bool:
    """Listen at all addresses in order, retrying while one is taken or not assigned.

    :param steps: addresses, each with a function that listens there; it raises :class:`OSError` if
        it can't.
    :param grace_s: grace period of a predecessor, for which the start waits and for
        :data:`LISTEN_MARGIN_S` more.
    :returns: whether that succeeded; else a line ``start_failed`` has been written.
    """
    give_up_at = anyio.current_time() + grace_s + LISTEN_MARGIN_S
    for address, listen in steps:
        waited = False
        while True:
            try:
                await listen()
                break
            except OSError as error:
                fields = {"step": "listen", "peer": address, "reason": str(error)}
            if anyio.current_time() >= give_up_at:
                journal.write("start_failed", fields, final=True)
                return False
            if not waited:
                journal.write("address_awaited", fields)
                waited = True
            await anyio.sleep(LISTEN_RETRY_INTERVAL_S)
    journal.write("listening", {"addresses": [address for address, _ in steps]})
    return True
