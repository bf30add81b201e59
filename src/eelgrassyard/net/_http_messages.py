"""Requests and responses of the HTTP server, and the limits on them."""

from __future__ import annotations

import http
import math
from dataclasses import dataclass, field

SMALL_REQUEST_BYTES = 16_384
LARGE_REQUESTS_SHARE = 0.75
"""Share of the memory for requests that larger ones may take, so that clients who send large bodies
slowly leave room for ordinary requests."""


@dataclass(slots=True, kw_only=True)
class ServerLimits:
    """Limits on requests and connections.

    :param header_s: time for sending a request.
    :param idle_s: time without a request after which a keep-alive connection is closed.
    :param connections: open connections, beyond which new ones are closed at once.
    :param held_bytes: memory of all requests that are arriving or have no response yet, beyond
        which those that are still arriving are rejected.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 3.0
    idle_s: float = 15.0
    connections: float = math.inf
    held_bytes: float = math.inf

    def allowance(self, request_bytes: int) -> float:
        """Memory of all requests up to which one of this size may go on arriving."""
        is_small = request_bytes <= SMALL_REQUEST_BYTES
        return self.held_bytes if is_small else self.held_bytes * LARGE_REQUESTS_SHARE


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A complete request.

    :param headers: values by name in lower case.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PartialRequest:
    """A request of which the end has not arrived.

    :ivar held_bytes: memory of the request, as counted by the server.
    """

    method: str = ""
    url: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    held_bytes: int = 0
    keep_alive: bool = True


_STATUS_LINE_BY_STATUS = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n" for status in http.HTTPStatus
}


def encode_response(status: int, body: bytes, *, headers: str, keep_alive: bool) -> bytes:
    """Encode a response.

    :param headers: additional header lines, each terminated by CRLF.
    :raises KeyError: if the status has no phrase.
    :raises UnicodeEncodeError: if a header is not Latin-1.
    """
    content = "Content-Type: application/json\r\n" if body and "Content-Type" not in headers else ""
    connection = "" if keep_alive else "Connection: close\r\n"
    lines = f"{headers}{content}{connection}Content-Length: {len(body)}\r\n\r\n"
    head = _STATUS_LINE_BY_STATUS[status] + lines
    return head.encode("latin-1") + body
