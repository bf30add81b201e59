"""Calls that are meant for one process of a server, and for no later one at the same address."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerBinding:
    """Binds a call to one process of the server.

    A connection ends with the process that accepted it. So a request on a connection on which a
    process has named itself reaches that process or none, whenever it arrives. On a connection
    without such a response, an introduction is sent first, and the call only if the process that
    answers is the right one.

    :param peer: identity of the process, as :class:`~eelgrassyard.net.HttpClient` reads it from
        responses.
    :param target: path of the introduction, which is sent with POST and the headers of the call.
    :param body: body of the introduction; it must be harmless to any process.
    :param replaces_call: whether the response to the introduction is the result of the call, which
        is not sent then.
    """

    peer: int
    target: str
    body: bytes
    replaces_call: bool = False
