"""Requests that a handler of the HTTP server responds to."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ._errors import report_contained
from ._http_messages import HttpRequest


class Connection(Protocol):
    """The connection that a request has arrived on."""

    def respond(self, status: int, body: bytes, *, headers: str, keep_alive: bool) -> None:
        """Write the response to the current request."""

    def abort(self) -> None:
        """Close the connection at once, without flushing buffered data."""


class Exchange:
    """A request and the means to respond to it.

    :param held_bytes: memory of the request, as counted by the server.
    :ivar on_close: called if the connection is closed before the response.
    """

    def __init__(
        self, *, connection: Connection, request: HttpRequest, keep_alive: bool, held_bytes: int
    ) -> None:
        self.request = request
        self.held_bytes = held_bytes
        self.on_close: Callable[[], None] | None = None
        self._connection = connection
        self._keep_alive = keep_alive
        self._answered = False

    def respond(
        self, status: int, body: bytes = b"", *, headers: str = "", close: bool = False
    ) -> None:
        """Send the response; later calls are ignored.

        :param headers: additional header lines, each terminated by CRLF.
        :param close: whether to close the connection after the response.
        """
        if self._answered:
            return
        self._answered = True
        self._connection.respond(
            status, body, headers=headers, keep_alive=self._keep_alive and not close
        )

    def client_left(self) -> None:
        """Notify the handler that its response can't be sent any more."""
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            try:
                on_close()
            except Exception as error:
                report_contained("disconnect of a client could not be handled", error)

    def abort(self) -> None:
        """Abort the connection without a response."""
        self._answered = True
        self._connection.abort()
