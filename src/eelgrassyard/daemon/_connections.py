"""HTTP connections to one upstream or platform service.

Each connection has its own transport, because a pool shared by many concurrent requests costs more
than twice the CPU time for each request.
"""

from __future__ import annotations

import importlib.util
import ssl
import sys
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

import anyio
import httpcore
import httpx

from ._logs import logger
from ._transport import ConnectionTransport

AMBIGUOUS_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
)
"""Errors after which it is unknown whether the request arrived."""

# httpcore imports sniffio about five times for each request. Where it is not installed, each
# attempt searches the whole path, which takes a tenth of the CPU time of a served request. An entry
# of None makes the import fail at once, with the same result.
if importlib.util.find_spec("sniffio") is None:
    sys.modules["sniffio"] = None  # type: ignore[assignment]


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ReplyTooLargeError(Exception):
    """The response exceeds the size limit; the request did reach the server."""


class NotSentError(Exception):
    """The request provably did not reach the server: no connection could be opened."""


class ReplyLostError(Exception):
    """The request may have reached the server, but no complete response arrived."""


@dataclass(slots=True, kw_only=True)
class _IdleConnection:
    transport: ConnectionTransport
    since: float


def client_tls(url: str) -> ssl.SSLContext:
    """TLS context for a base URL; loads certificate authorities only for HTTPS."""
    if url.startswith("https:"):
        return ssl.create_default_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class HttpConnections:
    """Connections to one base URL, kept open between requests for up to ``idle_s``.

    :param connect_s: time limit for opening a connection.
    :param idle_s: a connection idle for this long is closed. It must be shorter than the keep-alive
        time of the server, or a request may be written to a connection that the server is closing,
        and whether it arrived would be unknown.
    :param max_idle: number of idle connections that are kept.
    """

    def __init__(
        self,
        *,
        url: str,
        tls: ssl.SSLContext,
        connect_s: float,
        idle_s: float,
        max_idle: int,
        max_answer_bytes: int,
    ) -> None:
        self.url = url
        self._tls = tls
        self._connect_s = connect_s
        self._idle_s = idle_s
        self._max_idle = max_idle
        self._max_answer_bytes = max_answer_bytes
        self._idle: deque[_IdleConnection] = deque()
        self.in_use = 0

    @property
    def idle(self) -> int:
        """Number of open connections without a request."""
        return len(self._idle)

    async def request(
        self,
        method: str,
        path: str,
        *,
        content: bytes = b"",
        headers: Mapping[str, str] | None = None,
        read_s: float | None = None,
    ) -> HttpReply:
        """Send one request and read the complete response; the caller limits the total time.

        :param path: path with query, already quoted.
        :raises NotSentError: if the request was not sent.
        :raises ReplyLostError: if the request may have arrived but no complete response did.
        :raises ReplyTooLargeError: if the response exceeds the size limit.
        """
        try:
            request = httpx.Request(
                method,
                self.url + path,
                headers={"content-type": "application/json", **(headers or {})},
                content=content or None,
                extensions={"timeout": {"connect": self._connect_s, "read": read_s}},
            )
            transport = await self._acquire()
        except (httpx.InvalidURL, ValueError) as error:
            raise NotSentError(str(error)) from error
        self.in_use += 1
        reusable = False
        try:
            reply = await self._exchange(transport, request)
            reusable = reply.headers.get("connection", "").lower() != "close"
            return reply
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise NotSentError(str(error) or type(error).__name__) from error
        except ReplyTooLargeError:
            raise
        except AMBIGUOUS_ERRORS as error:
            raise ReplyLostError(str(error) or type(error).__name__) from error
        except Exception as error:
            # An unexpected error in one request must not end the process.
            logger.exception(
                "HTTP request failed with an unexpected error",
                extra={"step": "connection", "peer": self.url},
            )
            raise ReplyLostError(repr(error)) from error
        finally:
            self.in_use -= 1
            if reusable and len(self._idle) < self._max_idle:
                self._idle.append(_IdleConnection(transport=transport, since=time.monotonic()))
            else:
                with anyio.CancelScope(shield=True):
                    await transport.aclose()

    async def _exchange(self, transport: ConnectionTransport, request: httpx.Request) -> HttpReply:
        response = await transport.handle_async_request(request)
        chunks = []
        size = 0
        try:
            async for chunk in response.aiter_raw():
                size += len(chunk)
                if size > self._max_answer_bytes:
                    raise ReplyTooLargeError(f"response exceeds {self._max_answer_bytes} bytes")
                chunks.append(chunk)
        finally:
            await response.aclose()
        return HttpReply(
            status=response.status_code, headers=response.headers, body=b"".join(chunks)
        )

    async def _acquire(self) -> ConnectionTransport:
        await self.close_expired()
        if self._idle:
            # The most recently used connection is reused, so that surplus connections expire.
            return self._idle.pop().transport
        return ConnectionTransport(url=self.url, tls=self._tls, idle_s=self._idle_s)

    async def close_expired(self) -> None:
        """Close connections that have been idle for longer than ``idle_s``."""
        oldest = time.monotonic() - self._idle_s
        while self._idle and self._idle[0].since < oldest:
            await self._idle.popleft().transport.aclose()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.popleft().transport.aclose()
