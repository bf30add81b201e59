"""HTTP transport with one connection per call in progress.

The connection pool of httpx searches all of its connections on every call: with 500 connections
this took about 20 ms of CPU time per call, too much for a load generator.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterable
from typing import cast

import anyio
import httpx

IDLE_TIMEOUT_S = 5.0
"""Idle connections are closed after this time, before the hosts close them."""

Origin = tuple[str, str, int | None]
"""Scheme, host and port."""


class DirectTransport(httpx.AsyncBaseTransport):
    """Reuses the most recently used idle connection to an origin, or opens a new one.

    :param max_connections: limit on concurrent calls; further ones wait.
    """

    def __init__(self, *, max_connections: int) -> None:
        self._limiter = anyio.Semaphore(max_connections)
        # Creating a context loads the system's CA certificates, so the connections share one.
        self._tls = httpx.create_ssl_context(trust_env=False)
        self._idle_by_origin: defaultdict[Origin, list[httpx.AsyncHTTPTransport]] = defaultdict(
            list
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and read the whole response."""
        origin = (request.url.scheme, request.url.host, request.url.port)
        async with self._limiter:
            idle = self._idle_by_origin[origin]
            connection = idle.pop() if idle else self._new_connection()
            try:
                response = await connection.handle_async_request(request)
                stream = cast(AsyncIterable[bytes], response.stream)
                content = b"".join([chunk async for chunk in stream])
                await response.aclose()
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()
                raise
            idle.append(connection)
        return httpx.Response(
            response.status_code,
            headers=response.headers,
            stream=httpx.ByteStream(content),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close the idle connections."""
        for connections in self._idle_by_origin.values():
            while connections:
                await connections.pop().aclose()

    def _new_connection(self) -> httpx.AsyncHTTPTransport:
        return httpx.AsyncHTTPTransport(
            verify=self._tls,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=1, max_keepalive_connections=1, keepalive_expiry=IDLE_TIMEOUT_S
            ),
        )
