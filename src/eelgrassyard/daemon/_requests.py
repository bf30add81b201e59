"""A caller's HTTP request: headers, size-limited body and error answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import anyio

from ._answers import ErrorInfo, HttpAnswer, HttpError

MAX_WAIT_S = 60.0
DEFAULT_WAIT_S = 30.0
"""Time that a call is held open if its query has no ``wait``."""

DISCARD_TIMEOUT_S = 1.0
MAX_DISCARDED_BYTES = 65_536
"""Bodies with a declared size up to this are read and discarded, which costs less than a new
connection; with a larger one the connection is closed."""

CONNECTION_CLOSE = (b"connection", b"close")

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class DisconnectedError(Exception):
    """The client disconnected before it was answered."""


@dataclass(slots=True, kw_only=True)
class CallRequest:
    """One request, as ASGI delivers it.

    :param body_read: whether the body has been read to its end.
    """

    method: str
    path: str
    headers: Mapping[bytes, bytes]
    query: bytes
    receive: Receive
    body_read: bool = False

    def content_length(self) -> int | None:
        """Declared size of the body; None if it is sent in chunks or the header is not a number."""
        text = self.headers.get(b"content-length")
        if text is None:
            return None if b"transfer-encoding" in self.headers else 0
        return int(text) if text.isdigit() else None

    async def read_body(
        self,
        *,
        max_bytes: int,
        time_s: float,
        check_start: Callable[[bytes], None] | None = None,
    ) -> bytes:
        """Read the body.

        :param time_s: time that the client has to send it.
        :param check_start: called with the first bytes; may raise to refuse the call early.
        :raises HttpError: 413 if the body is too large, 408 if it takes too long.
        :raises DisconnectedError: if the client disconnected.
        """
        declared = self.content_length()
        if declared is not None and declared > max_bytes:
            raise _too_large(max_bytes)
        chunks: list[bytes] = []
        size = 0
        with anyio.move_on_after(time_s):
            while not self.body_read:
                chunk = await self._receive_chunk()
                if chunk and check_start is not None:
                    check_start(chunk)
                    check_start = None
                chunks.append(chunk)
                size += len(chunk)
                if size > max_bytes:
                    raise _too_large(max_bytes)
        if not self.body_read:
            raise http_error(
                408, "request_timeout", f"a request must be sent within {time_s:g} s", close=True
            )
        return b"".join(chunks)

    async def discard_body(self) -> bool:
        """Read and discard the rest of a small body.

        :returns: False if the body was not read to its end and the connection must be closed.
        """
        if self.body_read:
            return True
        declared = self.content_length()
        if declared is None or declared > MAX_DISCARDED_BYTES:
            return False
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            try:
                while not self.body_read:
                    await self._receive_chunk()
            except DisconnectedError:
                return False
        return self.body_read

    async def wait_for_disconnect(self) -> None:
        """Return when the client has disconnected."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def _receive_chunk(self) -> bytes:
        message = await self.receive()
        if message["type"] == "http.disconnect":
            raise DisconnectedError
        self.body_read = not message.get("more_body", False)
        chunk: bytes = message.get("body", b"")
        return chunk

    def require_method(self, method: str) -> None:
        """Check the method.

        :raises HttpError: 405 if it is another one.
        """
        if self.method != method:
            raise method_not_allowed(method)

    def wait_s(self) -> float:
        """Seconds that the call is held open, from ``wait`` in the query.

        :raises HttpError: 400 if the value is invalid or the query has other keys.
        """
        if not self.query:
            return DEFAULT_WAIT_S
        values = parse_qs(self.query.decode("latin-1"), keep_blank_values=True)
        texts = values.pop("wait", [f"{DEFAULT_WAIT_S}"])
        if values:
            raise http_error(400, "bad_query", f"{min(values)!r} is not known; allowed: wait")
        try:
            wait_s = float(texts[-1])
        except ValueError:
            wait_s = -1.0
        if not 0.0 <= wait_s <= MAX_WAIT_S:
            raise http_error(400, "bad_query", f"wait: {texts[-1]!r}: 0 to {MAX_WAIT_S:g} seconds")
        return wait_s


def http_error(
    status: int,
    code: str,
    message: str,
    *,
    step: str = "http",
    retry_after_s: float | None = None,
    close: bool = False,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> HttpError:
    """Build an error answer to raise."""
    return HttpError(
        status=status,
        error=ErrorInfo(code=code, message=message, step=step),
        retry_after_s=retry_after_s,
        close=close,
        headers=headers,
    )


def method_not_allowed(allowed: str) -> HttpError:
    """Build the error for a path that exists but does not support the method."""
    return http_error(
        405, "method_not_allowed", f"allowed: {allowed}", headers=((b"allow", allowed.encode()),)
    )


def with_connection_close(answer: HttpAnswer) -> HttpAnswer:
    """Return the answer with the header ``Connection: close``."""
    if CONNECTION_CLOSE in answer.headers:
        return answer
    return HttpAnswer(
        status=answer.status, body=answer.body, headers=(*answer.headers, CONNECTION_CLOSE)
    )


async def send_answer(send: Send, answer: HttpAnswer) -> None:
    """Send an answer as ASGI messages."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(answer.body)).encode()),
        *answer.headers,
    ]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body, "more_body": False})


def _too_large(max_bytes: int) -> HttpError:
    return http_error(413, "body_too_large", f"at most {max_bytes} bytes", close=True)
