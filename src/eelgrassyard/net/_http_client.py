"""HTTP/1.1 client with keep-alive connections and a callback for each result."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from .._addresses import parse_address
from ._errors import report_contained
from ._http_results import CallError, Response
from ._peer_binding import PeerBinding
from ._traffic import Traffic

MAX_RESPONSE_BYTES = 16_000_000
"""Default of the largest response that is read. The store answers with at most about a megabyte of
items; a process has 300 MB of memory."""


OnResult = Callable[[Response | CallError], None]


@dataclass(slots=True, kw_only=True)
class _Call:
    data: bytes
    on_result: OnResult
    traffic: Traffic
    binding: PeerBinding | None = None
    introduction: bytes = b""
    progress_s: float | None = None
    timer: asyncio.TimerHandle | None = None
    connection: _Connection | None = None
    done: bool = False


class HttpClient:
    """Connection pool for calls to one address.

    :param address: ``host:port`` with an IPv4 address; calls to any other address fail with
        ``BROKEN``.
    :param max_connections: limit on open connections; further calls are queued.
    :param max_response_bytes: limit on the size of a response with its headers; a call with a
        larger one fails with ``BROKEN``.
    :param on_error: called with the reason for which a response could not be read.
    :param identify: reads from a response which process of the server has sent it; None if the
        response does not tell. Needed for calls that are bound to a process.
    """

    def __init__(
        self,
        *,
        address: str,
        max_connections: int,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        on_error: Callable[[str], None] | None = None,
        identify: Callable[[Response], int | None] = lambda response: None,
    ) -> None:
        self.address = address
        self.max_response_bytes = max_response_bytes
        self.identify = identify
        self._on_error = on_error
        self._endpoint = parse_address(address).unwrap_or(None)
        self._max_connections = max_connections
        self._idle: list[_Connection] = []
        self._queue: deque[_Call] = deque()
        self._task_by_opening: dict[_Connection, asyncio.Task[None]] = {}
        self._connections: set[_Connection] = set()

    def call(
        self,
        method: str,
        target: str,
        *,
        timeout_s: float,
        on_result: OnResult,
        body: bytes = b"",
        headers: str = "",
        progress_s: float | None = None,
        traffic: Traffic | None = None,
        binding: PeerBinding | None = None,
    ) -> None:
        """Send a request.

        :param timeout_s: time until the complete response, or until its first part if
            ``progress_s`` is given.
        :param progress_s: time from each part of the response to the next one; large responses
            take seconds on a slow link.
        :param on_result: called with the response, or with the reason why there is none.
        :param headers: additional header lines, each terminated by CRLF.
        :param traffic: counts the bytes of the call.
        :param binding: process that the request is meant for; any one if left out.
        """
        call = _Call(
            data=self._encode(method, target, headers, body),
            on_result=on_result,
            progress_s=progress_s,
            traffic=traffic if traffic is not None else Traffic(),
            binding=binding,
        )
        if binding is not None:
            call.introduction = self._encode("POST", binding.target, headers, binding.body)
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(timeout_s, self._expire, call)
        if self._endpoint is None:
            loop.call_soon(self._finish, call, CallError.BROKEN)
            return
        connection = self._take_idle(binding)
        if connection is not None:
            connection.send(call)
            return
        self._queue.append(call)
        self._open_if_queued()

    def _encode(self, method: str, target: str, headers: str, body: bytes) -> bytes:
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\n{headers}"
        if body or method != "GET":
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body

    def _take_idle(self, binding: PeerBinding | None) -> _Connection | None:
        """Take the idle connection that suits a call best: one to its process, or else one on which
        no process has named itself. Connections to another process are closed."""
        unnamed: _Connection | None = None
        for connection in reversed(self._idle[:]):
            if not connection.is_usable():
                self._idle.remove(connection)
            elif binding is None or connection.peer == binding.peer:
                self._idle.remove(connection)
                return connection
            elif connection.peer is None:
                unnamed = connection
            else:
                self._idle.remove(connection)
                connection.abort()
        if unnamed is not None:
            self._idle.remove(unnamed)
        return unnamed

    def _open_if_queued(self) -> None:
        """Open a connection if calls are queued and the limit allows it."""
        open_count = len(self._connections) + len(self._task_by_opening)
        if self._endpoint is None or not self._queue or open_count >= self._max_connections:
            return
        connection = _Connection(client=self)
        self._task_by_opening[connection] = asyncio.get_running_loop().create_task(
            self._connect(connection, *self._endpoint)
        )

    async def _connect(self, connection: _Connection, host: str, port: int) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
        except Exception as error:
            if not isinstance(error, OSError):
                report_contained("connection could not be opened", error)
            if self._task_by_opening.pop(connection, None) is None:
                return
            refused = isinstance(error, ConnectionRefusedError)
            self._fail_queued(CallError.REFUSED if refused else CallError.BROKEN)

    def _fail_queued(self, reason: CallError) -> None:
        queue, self._queue = self._queue, deque()
        for call in queue:
            self._finish(call, reason)

    def connection_opened(self, connection: _Connection) -> None:
        """Handle a newly opened connection."""
        if self._task_by_opening.pop(connection, None) is None:
            # The attempt was given up.
            connection.abort()
            return
        self._connections.add(connection)
        self.connection_idle(connection)

    def connection_idle(self, connection: _Connection) -> None:
        """Send the next queued call on a connection, or keep the connection for later calls."""
        while self._queue:
            call = self._queue.popleft()
            if call.done:
                continue
            if call.binding is not None and connection.peer not in (None, call.binding.peer):
                self._queue.appendleft(call)
                connection.abort()
                return
            connection.send(call)
            return
        self._idle.append(connection)

    def connection_closed(self, connection: _Connection, call: _Call | None) -> None:
        """Handle a closed connection; its call, if any, fails."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if call is not None:
            self._finish(call, CallError.BROKEN)
        self._open_if_queued()

    def _expire(self, call: _Call) -> None:
        if call.done:
            return
        if call.connection is not None:
            call.connection.abort()
        elif call in self._queue:
            self._queue.remove(call)
        if not self._connections:
            # A connection attempt to an unreachable machine can hang for seconds. Pending attempts
            # are cancelled so that later calls do not wait for them.
            self._cancel_attempts()
            self._open_if_queued()
        self._finish(call, CallError.SILENT)

    def _cancel_attempts(self) -> None:
        tasks = list(self._task_by_opening.values())
        self._task_by_opening.clear()
        for task in tasks:
            task.cancel()

    def response_continues(self, call: _Call) -> None:
        """Handle a part of the response to a call."""
        if call.progress_s is not None and call.timer is not None and not call.done:
            call.timer.cancel()
            call.timer = asyncio.get_running_loop().call_later(call.progress_s, self._expire, call)

    def report_error(self, reason: str) -> None:
        """Report a response that could not be read."""
        if self._on_error is not None:
            self._on_error(reason)

    def _finish(self, call: _Call, result: Response | CallError) -> None:
        if call.done:
            return
        call.done = True
        if call.timer is not None:
            call.timer.cancel()
        try:
            call.on_result(result)
        except Exception as error:
            # It must not fail the other calls of the connection or the queue.
            report_contained(f"result of a call to {self.address} could not be handled", error)

    def complete_call(self, call: _Call, result: Response | CallError) -> None:
        """Report the result of a call."""
        self._finish(call, result)

    def close(self) -> None:
        """Close all connections; calls in progress fail with ``BROKEN``."""
        self._cancel_attempts()
        self._fail_queued(CallError.BROKEN)
        for connection in list(self._connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """One keep-alive connection with at most one call in progress."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client
        self._transport: asyncio.Transport | None = None
        self._call: _Call | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._response: Response | None = None
        self._received = 0
        self._keep_alive = False
        self._is_introducing = False
        self.peer: int | None = None

    def is_usable(self) -> bool:
        """Tell whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._client.connection_opened(self)

    def send(self, call: _Call) -> None:
        """Send the request of a call, or its introduction if no process has named itself here."""
        assert self._transport is not None
        self._call = call
        call.connection = self
        self._is_introducing = call.binding is not None and call.binding.peer != self.peer
        data = call.introduction if self._is_introducing else call.data
        call.traffic.sent += len(data)
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self._call is None:
            # Data without a request would be taken for the response to the next one.
            self.abort()
            return
        self._call.traffic.received += len(data)
        self._received += len(data)
        if self._received > self._client.max_response_bytes:
            self._client.report_error(f"response of over {self._client.max_response_bytes} bytes")
            self.abort()
            return
        self._client.response_continues(self._call)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._response is None:
                self._client.report_error(f"malformed response: {type(error).__name__}: {error}")
                self.abort()
                return
            self._keep_alive = False
        if self._response is not None:
            self._finish(self._call, self._response)

    def on_message_begin(self) -> None:
        """Parser callback: start of a message."""
        if self._response is not None:
            # A second response; the connection is out of step with its requests.
            self._keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Parser callback: part of the body."""
        if self._response is None:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: end of the message."""
        status = self._parser.get_status_code()
        if self._response is not None:
            return
        body, headers = b"".join(self._body), self._headers
        self._body, self._headers = [], {}
        if 100 <= status < 200:
            # An interim response; the final one follows.
            return
        self._response = Response(status=status, body=body, headers=headers)
        # The parser can answer this only within its callbacks.
        self._keep_alive = self._parser.should_keep_alive()

    def _finish(self, call: _Call, response: Response) -> None:
        self._call = None
        self._response = None
        self._received = 0
        self._body, self._headers = [], {}
        self._parser = httptools.HttpResponseParser(self)
        if self.peer is None:
            self.peer = self._client.identify(response)
        response.peer = self.peer
        result: Response | CallError = response
        if self._is_introducing and call.binding is not None:
            introduced = self._end_introduction(call.binding, response)
            if introduced is None:
                if not call.done:
                    self.send(call)
                    return
            else:
                result = introduced
        if self._keep_alive:
            self._client.connection_idle(self)
        else:
            self.abort()
        self._client.complete_call(call, result)

    def _end_introduction(
        self, binding: PeerBinding, response: Response
    ) -> Response | CallError | None:
        """Result of a call after its introduction, or None if the call can be sent now."""
        self._is_introducing = False
        if binding.replaces_call:
            return response
        if self.peer is None:
            if response.status != 200:
                # The server has refused the introduction, and would refuse the call as well.
                return response
            self._client.report_error("response to an introduction names no process")
            return CallError.BROKEN
        if self.peer != binding.peer:
            return CallError.OTHER_PEER
        return None if self._keep_alive else CallError.BROKEN

    def abort(self) -> None:
        """Close the connection at once, without flushing buffered data."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        call, self._call = self._call, None
        self._client.connection_closed(self, call)
