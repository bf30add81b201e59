"""Connections of callers: hypercorn's HTTP/1.1 protocol with limits on slow and idle clients."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections import OrderedDict
from typing import Any

import anyio
import h11
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.tcp_server import MAX_RECV, TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H2CProtocolRequiredError, H2ProtocolAssumedError, H11Protocol
from hypercorn.typing import ConnectionState
from hypercorn.utils import parse_socket_addr

from ._fast_refusals import FastRefusals
from ._http import HttpInterface
from ._logs import logger
from ._metrics import Metrics
from ._settings import HttpSettings, LimitSettings

LISTEN_BACKLOG_CONNECTIONS = 512

LINGER_TIMEOUT_S = 2.0
"""Time that a client has to read the answer if it was refused while still sending."""

SEND_BUFFER_BYTES = 65_536
"""Unsent bytes above which writing pauses until the client reads, for at most
``LimitSettings.request_s``; a fast refusal that exceeds it aborts the connection."""


class CallerConnection(TCPServer):
    """One connection of a caller.

    Only HTTP/1.1 is supported: with HTTP/2 one connection could carry many requests at once, and
    the limit on connections would not limit the load.
    """

    def __init__(
        self,
        *,
        server: CallerServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            server.wrapper,
            loop,
            server.config,
            server.context,
            server.lifespan_state,
            reader,
            writer,
        )
        self._server = server
        self._timer: asyncio.TimerHandle | None = None
        self._is_idle = True
        self._has_partial_request = False
        self._is_lingering = False
        self._unsent: list[bytes] = []

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            async with TaskGroup(self.loop) as task_group:
                self._task_group = task_group
                self.protocol = self._make_protocol(task_group)  # type: ignore[assignment]
                self._set_idle(True)
                await self._read_data()
        except* OSError as errors:
            self._connection_failed(errors.exceptions[0])
        finally:
            self._stop_timer()
            self._server.remove(self)
            self._flush()
            await self._close()

    async def _close(self) -> None:
        try:
            await super()._close()
        except OSError as error:
            self._connection_failed(error)

    def _connection_failed(self, error: BaseException) -> None:
        self._server.metrics.count("http.connections_failed")
        logger.debug("connection of a caller failed: %r", error, extra={"step": "http", "peer": ""})

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self.writer.transport.abort()

    def _make_protocol(self, task_group: TaskGroup) -> H11Protocol:
        peer = self.writer.get_extra_info("socket")
        return H11Protocol(
            self.app,
            self.config,
            self.context,
            task_group,
            ConnectionState(self.state),
            self.writer.get_extra_info("ssl_object") is not None,
            parse_socket_addr(peer.family, self.writer.get_extra_info("peername") or ("", 0)),
            parse_socket_addr(peer.family, self.writer.get_extra_info("sockname")),
            self.protocol_send,
        )

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the HTTP protocol: data to send, closing, or a change of idleness."""
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            self._flush()
            await self._close_gracefully()
        elif isinstance(event, Updated):
            self._flush()
            self._set_idle(event.idle)

    async def _write(self, data: bytes) -> None:
        """Buffer the parts of an answer, so that a small answer needs only one system call."""
        self._unsent.append(data)
        if len(data) < SEND_BUFFER_BYTES:
            if len(self._unsent) == 1:
                self.loop.call_soon(self._flush)
            return
        self._flush()
        if self.writer.transport.get_write_buffer_size() <= SEND_BUFFER_BYTES:
            return
        try:
            await asyncio.wait_for(self.writer.drain(), self._server.limits.request_s)
        except TimeoutError:
            self._server.metrics.count("http.slow_receiver")
            self.abort()
        except (ConnectionError, RuntimeError):
            await self.protocol.handle(Closed())

    async def _close_gracefully(self) -> None:
        """Close; if the client is still sending, first give it time to read the answer.

        Closing a socket with unread data resets the connection, and the client would lose the
        answer.
        """
        transport = self.writer.transport
        if self._is_lingering or transport.is_closing():
            return
        if self._has_complete_request() or not transport.can_write_eof():
            await self._close()
            return
        try:
            self.writer.write_eof()
        except OSError as error:
            # The client has reset the connection.
            self._connection_failed(error)
            self.abort()
            return
        self._is_lingering = True
        self._restart_timer(LINGER_TIMEOUT_S)

    def _has_complete_request(self) -> bool:
        return self.protocol.connection.their_state is h11.DONE  # type: ignore[attr-defined]

    def _flush(self) -> None:
        if self._unsent:
            data = b"".join(self._unsent)
            self._unsent.clear()
            if not self.writer.transport.is_closing():
                self.writer.write(data)

    async def _read_data(self) -> None:
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(MAX_RECV)
            except (OSError, ssl.SSLError):
                break
            if self._is_lingering:
                continue
            if self._is_idle and not self._has_partial_request and data:
                if self._try_fast_refusal(data):
                    continue
                self._has_partial_request = True
                self._restart_timer(self._server.limits.request_s)
            try:
                await self.protocol.handle(RawData(data))
            except (H2CProtocolRequiredError, H2ProtocolAssumedError):
                self._server.metrics.count("http.not_http11")
                break
        if not self._is_lingering:
            await self.protocol.handle(Closed())

    def _try_fast_refusal(self, data: bytes) -> bool:
        """Answer a request of a refused flow without the HTTP library.

        :returns: whether the request was answered.
        """
        if not self._server.is_refusing() or self.protocol.connection.trailing_data[0]:  # type: ignore[attr-defined]
            return False
        refusal = self._server.fast_refusals.refusal_for(data)
        if refusal is None:
            return False
        self._flush()
        self.writer.write(refusal)
        if self.writer.transport.get_write_buffer_size() > SEND_BUFFER_BYTES:
            self._server.metrics.count("http.slow_receiver")
            self.abort()
        self._restart_timer(self._server.limits.keep_alive_s)
        return True

    def _set_idle(self, idle: bool) -> None:
        self._is_idle = idle
        self._has_partial_request = False
        self._server.record_idle(self, idle)
        if not idle:
            self._stop_timer()
        elif self._server.is_stopping:
            self.writer.close()
        else:
            self._restart_timer(self._server.limits.keep_alive_s)

    def _restart_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(seconds, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._has_partial_request:
            self._server.metrics.count("http.slow_header")
        self.writer.transport.abort()


class CallerServer:
    """Accepts connections of callers and limits their number.

    At the limit, the connection that has been idle for the longest time is closed for a new one,
    so idle clients cannot block others.
    """

    def __init__(
        self,
        *,
        application: HttpInterface,
        settings: HttpSettings,
        limits: LimitSettings,
        metrics: Metrics,
    ) -> None:
        self.wrapper = ASGIWrapper(application)  # type: ignore[arg-type]
        self.fast_refusals = FastRefusals(
            max_head_bytes=limits.header_bytes,
            caller_of=application.caller_of,
            refuse=application.refuse_submission,
        )
        self._application = application
        self.config = make_config(settings, limits)
        self.context = WorkerContext(None)
        self.lifespan_state: dict[str, Any] = {}
        self.limits = limits
        self.metrics = metrics
        self.is_stopping = False
        self._connections: set[CallerConnection] = set()
        self._idle: OrderedDict[CallerConnection, None] = OrderedDict()
        self._all_closed = anyio.Event()
        self._listener: asyncio.Server | None = None

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        if self._listener is None:
            raise RuntimeError("the server has not started")
        return int(self._listener.sockets[0].getsockname()[1])

    def is_refusing(self) -> bool:
        """Whether a flow was refused within the last ``FAST_REFUSAL_PERIOD_S`` seconds."""
        return self._application.refusing_until_s > anyio.current_time()

    async def start(self, listening: socket.socket) -> None:
        """Start accepting connections on a bound socket."""
        context = self.config.create_ssl_context()
        self._listener = await asyncio.start_server(
            self._serve,
            sock=listening,
            backlog=LISTEN_BACKLOG_CONNECTIONS,
            ssl=context,
            ssl_handshake_timeout=self.limits.request_s if context else None,
        )

    async def stop(self, grace_s: float) -> None:
        """Stop accepting and wait up to ``grace_s`` seconds for pending answers.

        Idle connections are closed at once, those that remain after the wait are aborted.
        """
        self.is_stopping = True
        await self.context.terminated.set()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._idle):
            connection.writer.close()
        with anyio.move_on_after(grace_s):
            while self._connections:
                self._all_closed = anyio.Event()
                await self._all_closed.wait()
        for connection in list(self._connections):
            connection.abort()

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._idle.pop(connection, None)
        self._all_closed.set()

    def record_idle(self, connection: CallerConnection, idle: bool) -> None:
        """Record whether a connection is idle, that is, without a request."""
        self._idle.pop(connection, None)
        if idle:
            self._idle[connection] = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_stopping or not self._admit():
            self.metrics.count("http.connections_refused")
            writer.transport.abort()
            return
        connection = CallerConnection(server=self, reader=reader, writer=writer)
        self._connections.add(connection)
        await connection.run()

    def _admit(self) -> bool:
        if len(self._connections) < self.limits.connections:
            return True
        if not self._idle:
            return False
        oldest = next(iter(self._idle))
        self.metrics.count("http.connections_evicted")
        oldest.abort()
        self.remove(oldest)
        return True


def make_config(settings: HttpSettings, limits: LimitSettings) -> Config:
    """Build hypercorn's configuration."""
    config = Config()
    config.include_server_header = False
    config.errorlog = None
    config.h11_max_incomplete_size = limits.header_bytes
    # Unbounded: with a bounded queue, the protocol would wait forever for an application that has
    # answered and no longer reads, and the connection would never close.
    config.max_app_queue_size = 0
    config.alpn_protocols = ["http/1.1"]
    if settings.tls is not None:
        config.certfile = settings.tls.certificate
        config.keyfile = settings.tls.key
        if settings.tls.authorities is not None:
            config.ca_certs = settings.tls.authorities
            config.verify_mode = ssl.CERT_REQUIRED
    return config


def bind(address: str, port: int) -> socket.socket:
    """Bind a listening socket.

    :raises OSError: if the address is not available.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind((address, port))
    except OSError:
        listening.close()
        raise
    return listening
