"""HTTP/1.1 server with limits on headers, bodies and times."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import httptools

from ._errors import report_contained
from ._http_exchange import Exchange
from ._http_messages import HttpRequest, PartialRequest, ServerLimits, encode_response
from ._traffic import Traffic

TIMEOUT_CHECK_INTERVAL_S = 0.5
"""Interval at which connections are checked for timeouts."""

MAX_PIPELINED = 16
"""Pipelined requests of a connection that may wait behind the current one."""

HEADER_OVERHEAD_BYTES = 200
"""Memory of a header besides its text; a header may have only a few bytes on the wire."""

MAX_WIRE_FACTOR = 9
"""Largest ratio of the bytes that carry a body to the body. A chunk of one byte takes six."""

OVERLOAD_HEADERS = "Retry-After: 1\r\n"
"""Headers of the response to a request for which there is no memory; nothing of it has run."""


Handler = Callable[[Exchange], None]


class HttpServer:
    """Serves one address.

    :param handler: called with each complete request; it may respond at once or later. If it
        raises, the request is answered with 500 unless it has a response.
    :param on_error: called with the status and the reason of each request that is rejected
        before it reaches the handler.
    :param traffic: counts the bytes of all connections.
    :ivar idle_connections: kept connections without a request, longest idle first.
    :ivar refused_connections: connections that were closed at once, beyond the limit.
    :ivar held_bytes: memory of all requests that are arriving or have no response yet.
    :ivar overload_rejections: requests that were rejected while they arrived, since there was no
        memory for them.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits | None = None,
        on_error: Callable[[int, str], None] | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        self.handler = handler
        self.traffic = traffic if traffic is not None else Traffic()
        self.limits = limits if limits is not None else ServerLimits()
        self.connections: set[_ServerConnection] = set()
        self.idle_connections: dict[_ServerConnection, None] = {}
        self.closing = False
        self.refused_connections = 0
        self.held_bytes = 0
        self.overload_rejections = 0
        self._was_full = False
        self._on_error = on_error
        self._server: asyncio.Server | None = None
        self._timeout_check_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Listen at ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _ServerConnection(server=self), host, int(port), backlog=1024
        )
        self._check_timeouts()

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        self._timeout_check_timer = loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        now = loop.time()
        for connection in list(self.connections):
            try:
                connection.close_if_timed_out(now)
            except Exception as error:
                report_contained("timeout of a connection could not be handled", error)

    def is_full(self) -> bool:
        """Tell whether a new connection is beyond the limit; count it, and report the first one.

        The kept connection that has been idle for the longest time is closed for a new one.
        """
        full = len(self.connections) >= self.limits.connections
        if full and self.idle_connections:
            connection = next(iter(self.idle_connections))
            del self.idle_connections[connection]
            # It leaves the set when its transport has closed, which is later.
            self.connections.discard(connection)
            connection.close_if_idle()
            full = False
        if full:
            self.refused_connections += 1
            if not self._was_full:
                self.report_error(503, f"over {self.limits.connections} connections")
        self._was_full = full
        return full

    def report_error(self, status: int, reason: str) -> None:
        """Report a request that could not be read."""
        if self._on_error is not None:
            self._on_error(status, reason)

    def pending_requests(self) -> int:
        """Number of connections with a request that has no response yet."""
        return sum(1 for connection in self.connections if connection.has_pending_request())

    def close_idle(self) -> None:
        """Close idle connections now, and each other connection after its next response."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def is_listening(self) -> bool:
        """Tell whether new connections are accepted."""
        return self._server is not None

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are still served."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Stop listening and checking for timeouts."""
        if self._timeout_check_timer is not None:
            self._timeout_check_timer.cancel()
        self.stop_listening()


class _ServerConnection(asyncio.Protocol):
    """One client connection; pipelined requests are handled one at a time, in order."""

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming = PartialRequest()
        self._header_bytes = 0
        self._body_wire_bytes = 0
        self._in_headers = True
        self._state_since = 0.0
        self._current_exchange: Exchange | None = None
        self._pipelined: deque[Exchange] = deque()
        self._rejection: int | None = None
        self._write_paused = False

    # --- transport ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        if self._server.is_full():
            transport.abort()
            return
        self._transport = transport
        self._state_since = asyncio.get_running_loop().time()
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.connections.discard(self)
        self._server.idle_connections.pop(self, None)
        exchange, self._current_exchange = self._current_exchange, None
        waiting = [*self._pipelined] if exchange is None else [exchange, *self._pipelined]
        self._server.held_bytes -= sum(each.held_bytes for each in waiting)
        self._release_incoming()
        self._pipelined.clear()
        if exchange is not None:
            exchange.client_left()

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        self._state_since = asyncio.get_running_loop().time()
        self._handle_next()

    def data_received(self, data: bytes) -> None:
        self._server.traffic.received += len(data)
        self._server.idle_connections.pop(self, None)
        if self._rejection is not None:
            return
        if self._in_headers:
            if self._header_bytes == 0:
                self._state_since = asyncio.get_running_loop().time()
            self._header_bytes += len(data)
            if (
                self._header_bytes
                > self._server.limits.header_bytes + self._server.limits.body_bytes
            ):
                self._reject(431, "headers too large")
                return
        else:
            self._body_wire_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade is not supported")
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {error}")
        if self._in_headers and self._header_bytes > self._server.limits.header_bytes:
            self._reject(431, "headers too large")
        if not self._in_headers and self._body_wire_bytes > (
            self._server.limits.header_bytes + MAX_WIRE_FACTOR * len(self._incoming.body)
        ):
            self._reject(431, "chunk headers or trailers too large")

    # --- parser callbacks ---

    def on_message_begin(self) -> None:
        """Parser callback: start of a request."""
        self._release_incoming()
        self._in_headers = True

    def on_url(self, url: bytes) -> None:
        """Parser callback: part of the target."""
        if self._hold(len(url)):
            self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header, or a trailer, which is ignored."""
        if self._in_headers and self._hold(len(name) + len(value) + HEADER_OVERHEAD_BYTES):
            self._incoming.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Parser callback: end of the headers."""
        self._in_headers = False
        self._header_bytes = self._body_wire_bytes = 0
        incoming = self._incoming
        incoming.method = self._parser.get_method().decode("latin-1")
        incoming.keep_alive = self._parser.should_keep_alive()
        limits = self._server.limits
        if sum(len(n) + len(v) + 4 for n, v in incoming.headers.items()) > limits.header_bytes:
            self._reject(431, "headers too large")
        elif incoming.headers.get("expect", "").lower() == "100-continue":
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser callback: part of the body."""
        incoming = self._incoming
        if len(incoming.body) + len(body) > self._server.limits.body_bytes:
            self._reject(413, "body too large")
        elif self._hold(len(body)):
            incoming.body += body

    def on_message_complete(self) -> None:
        """Parser callback: end of the message."""
        if self._rejection is not None:
            return
        self._in_headers = True
        self._state_since = asyncio.get_running_loop().time()
        incoming = self._incoming
        try:
            url = httptools.parse_url(incoming.url)
        except httptools.HttpParserError:
            self._reject(400, "malformed target")
            return
        exchange = Exchange(
            connection=self,
            request=HttpRequest(
                method=incoming.method,
                path=(url.path or b"/").decode("latin-1"),
                query=(url.query or b"").decode("latin-1"),
                headers=incoming.headers,
                body=bytes(incoming.body),
            ),
            keep_alive=incoming.keep_alive,
            held_bytes=incoming.held_bytes,
        )
        self._incoming = PartialRequest()
        if self._current_exchange is None and not self._write_paused:
            self._handle(exchange)
        elif len(self._pipelined) < MAX_PIPELINED:
            self._pipelined.append(exchange)
        else:
            self._server.held_bytes -= exchange.held_bytes
            self._reject(429, "too many pipelined requests")

    def _hold(self, size: int) -> bool:
        """Count memory of the incoming request; tell whether there is any for it."""
        if self._rejection is not None:
            return False
        self._incoming.held_bytes += size
        self._server.held_bytes += size
        if self._server.held_bytes <= self._server.limits.allowance(self._incoming.held_bytes):
            return True
        self._server.overload_rejections += 1
        self._reject(503, f"requests of {self._server.held_bytes} bytes are in progress")
        return False

    def _release_incoming(self) -> None:
        self._server.held_bytes -= self._incoming.held_bytes
        self._incoming = PartialRequest()

    def _handle(self, exchange: Exchange) -> None:
        self._current_exchange = exchange
        try:
            self._server.handler(exchange)
        except Exception as error:
            report_contained("handler of a request failed", error)
            # Whatever the handler has begun for the client is no longer needed.
            exchange.client_left()
            exchange.respond(500)

    # --- responses ---

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._server.traffic.sent += len(data)
            self._transport.write(data)

    def respond(self, status: int, body: bytes, *, headers: str, keep_alive: bool) -> None:
        """Write the response to the current request, and handle the next pipelined one."""
        keep_alive = keep_alive and not self._server.closing
        try:
            data = encode_response(status, body, headers=headers, keep_alive=keep_alive)
        except (KeyError, UnicodeEncodeError) as error:
            report_contained(f"response with status {status} could not be encoded", error)
            data = encode_response(500, b"", headers="", keep_alive=keep_alive)
        self._write(data)
        if self._current_exchange is not None:
            self._server.held_bytes -= self._current_exchange.held_bytes
            self._current_exchange = None
        self._state_since = asyncio.get_running_loop().time()
        if not keep_alive:
            if self._transport is not None:
                self._transport.close()
            return
        self._handle_next()

    def _handle_next(self) -> None:
        """Handle the next pipelined request, unless the client does not read its responses."""
        if self._write_paused or self._current_exchange is not None:
            return
        if self._transport is None or self._transport.is_closing():
            return
        if self._pipelined:
            self._handle(self._pipelined.popleft())
        elif self._rejection is not None:
            self._close_rejected(self._rejection)
        elif self._in_headers and self._header_bytes == 0:
            self._server.idle_connections[self] = None

    def _reject(self, status: int, reason: str) -> None:
        """Reject what the client sends; requests that it has sent before are answered first."""
        if self._rejection is not None:
            return
        self._rejection = status
        self._release_incoming()
        self._server.report_error(status, reason)
        self._handle_next()

    def _close_rejected(self, status: int) -> None:
        if self._transport is not None:
            headers = OVERLOAD_HEADERS if status == 503 else ""
            self._write(encode_response(status, b"", headers=headers, keep_alive=False))
            self._transport.close()

    # --- timeouts and shutdown ---

    def abort(self) -> None:
        """Close the connection at once, without flushing buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def has_pending_request(self) -> bool:
        """Tell whether a request has no response yet."""
        return self._current_exchange is not None

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if sending a request, reading the responses or idling has exceeded
        its time limit."""
        if self._current_exchange is not None or self._transport is None:
            return
        limits = self._server.limits
        if self._write_paused or self._transport.is_closing():
            # Responses wait for a client that does not read them; closing would wait as well.
            if now - self._state_since > limits.idle_s:
                self._transport.abort()
            return
        reading = self._header_bytes > 0 or not self._in_headers
        if reading and now - self._state_since > limits.header_s:
            self._reject(408, "request not sent in time")
        elif not reading and now - self._state_since > limits.idle_s:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is being received or handled."""
        waiting = self._current_exchange is not None or self._pipelined
        idle = not waiting and self._header_bytes == 0 and self._in_headers
        if idle and self._transport is not None:
            self._transport.close()
