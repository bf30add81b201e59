"""An httpx transport for a single connection, without a pool."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from typing import Any, cast

import httpcore
import httpx


class _ResponseBody(httpx.AsyncByteStream):
    """Adapts a response stream of httpcore to httpx."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._stream:
            yield chunk

    async def aclose(self) -> None:
        await self._stream.aclose()


class ConnectionTransport(httpx.AsyncBaseTransport):
    """One HTTP/1.1 connection, opened on demand and reopened after the server closed it.

    A pool, even of one connection, costs about a fifth of the CPU time of a request. Exceptions of
    httpcore are not translated.

    :param idle_s: a connection idle for this long is not reused.
    :raises ValueError: if the URL is not an HTTP or HTTPS URL with a host.
    """

    def __init__(self, *, url: str, tls: ssl.SSLContext, idle_s: float) -> None:
        parsed = httpx.URL(url)
        if parsed.scheme not in ("http", "https") or not parsed.host:
            raise ValueError(f"{url!r} is not an HTTP URL")
        port = parsed.port or (443 if parsed.scheme == "https" else 80)
        self._origin = httpcore.Origin(parsed.raw_scheme, parsed.raw_host, port)
        self._tls = tls if parsed.scheme == "https" else None
        self._idle_s = idle_s
        self._connection: httpcore.AsyncHTTPConnection | None = None

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request; concurrent requests are not supported.

        :raises httpcore.ConnectError: if no connection can be opened; nothing was sent.
        :raises httpcore.ConnectTimeout: likewise, after the time limit.
        """
        connection = self._connection
        if connection is not None and (connection.is_closed() or connection.has_expired()):
            # The server has closed the connection or may do so; a request sent now could be lost.
            await self.aclose()
            connection = None
        if connection is None:
            connection = self._connection = httpcore.AsyncHTTPConnection(
                origin=self._origin, ssl_context=self._tls, keepalive_expiry=self._idle_s
            )
        response = await connection.handle_async_request(
            httpcore.Request(
                request.method,
                httpcore.URL(
                    scheme=self._origin.scheme,
                    host=self._origin.host,
                    port=self._origin.port,
                    target=request.url.raw_path,
                ),
                headers=request.headers.raw,
                content=cast(httpx.AsyncByteStream, request.stream),
                extensions=request.extensions,
            )
        )
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=_ResponseBody(response.stream),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.aclose()
