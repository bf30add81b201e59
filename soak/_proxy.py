"""Loopback proxy that delays, blocks, resets or silences connections between two parties."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

logger = logging.getLogger(__name__)

CHUNK_BYTES = 65_536
RESET_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"
"""SO_LINGER on with zero seconds: closing sends a reset."""


@dataclass(slots=True, kw_only=True)
class Path:
    """One direction between two parties.

    :param source: sending party.
    :param cuts: number of active faults that block the path; blocked data passes when it is 0.
    :param delay_s: delay of each chunk.
    :param passable: set while the path is not blocked.
    """

    source: str
    cuts: int = 0
    delay_s: float = 0.0
    passable: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.passable.set()

    async def traverse(self) -> None:
        """Wait for the delay of a chunk, and while the path is blocked."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self.passable.wait()


class Network:
    """Paths between parties, and the connections that use them.

    :param on_forward: called with the source and the data of each chunk that is forwarded.
    """

    def __init__(self, *, on_forward: Callable[[str, bytes], None] | None = None) -> None:
        self.on_forward = on_forward
        self._path_by_ends: dict[tuple[str, str], Path] = {}
        self._connections: set[Connection] = set()

    def path(self, source: str, target: str) -> Path:
        """Return the path from one party to another."""
        return self._path_by_ends.setdefault((source, target), Path(source=source))

    @contextlib.contextmanager
    def cut(self, ends: list[tuple[str, str]]) -> Iterator[None]:
        """Block paths within the context; the data is delivered afterwards."""
        paths = [self.path(source, target) for source, target in ends]
        for path in paths:
            path.cuts += 1
            path.passable.clear()
        try:
            yield
        finally:
            for path in paths:
                path.cuts -= 1
                if not path.cuts:
                    path.passable.set()

    @contextlib.contextmanager
    def delayed(self, ends: list[tuple[str, str]], delay_s: float) -> Iterator[None]:
        """Delay each chunk on paths within the context."""
        paths = [self.path(source, target) for source, target in ends]
        for path in paths:
            path.delay_s += delay_s
        try:
            yield
        finally:
            for path in paths:
                path.delay_s = max(0.0, path.delay_s - delay_s)

    def open_connections(self, parties: set[str]) -> list[Connection]:
        """Return the connections of the given parties, in the order of their creation."""
        chosen = [c for c in self._connections if c.source in parties or c.target in parties]
        return sorted(chosen, key=lambda connection: connection.number)

    def joined(self, connection: Connection) -> None:
        """Add an open connection."""
        self._connections.add(connection)

    def left(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


class Connection:
    """A proxied connection, which copies data between two streams."""

    numbers = 0

    def __init__(self, *, network: Network, source: str, target: str) -> None:
        Connection.numbers += 1
        self.number = Connection.numbers
        self.source = source
        self.target = target
        self._silenced = False
        # Kept as an attribute: a task that waits for an event that nothing else refers to may be
        # garbage collected.
        self._never = asyncio.Event()
        self._network = network
        self._writers: list[asyncio.StreamWriter] = []

    async def run(
        self,
        first: bytes,
        client_stream: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        server_stream: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Copy both ways until one side closes."""
        self._writers = [client_stream[1], server_stream[1]]
        self._network.joined(self)
        there = self._network.path(self.source, self.target)
        back = self._network.path(self.target, self.source)
        copies = [
            asyncio.ensure_future(self._copy(there, client_stream[0], server_stream[1], first)),
            asyncio.ensure_future(self._copy(back, server_stream[0], client_stream[1], b"")),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            self._network.left(self)
            for writer in self._writers:
                writer.close()

    async def _copy(
        self, path: Path, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bytes
    ) -> None:
        data = first
        try:
            while True:
                if data:
                    await path.traverse()
                    if self._silenced:
                        await self._never.wait()
                    if self._network.on_forward is not None:
                        self._network.on_forward(path.source, data)
                    writer.write(data)
                    await writer.drain()
                data = await reader.read(CHUNK_BYTES)
                if not data:
                    await path.traverse()
                    return
        except ConnectionError as error:
            logger.debug("%s to %s: %s", self.source, self.target, error)
            await path.traverse()

    def silence(self) -> None:
        """Drop all further data without closing the connection."""
        self._silenced = True

    def reset(self) -> None:
        """Reset both streams."""
        for writer in self._writers:
            raw = writer.get_extra_info("socket")
            if raw is not None:
                with contextlib.suppress(OSError):
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()


class Proxy:
    """Listens for one party and forwards to another.

    :param source: party that connects, or empty if it is identified by the first bytes.
    :param target: party that is connected to.
    :param address: address at which the target listens.
    :param identify: returns the connecting party from the first bytes.
    """

    def __init__(
        self,
        *,
        network: Network,
        source: str,
        target: str,
        address: str,
        identify: Callable[[bytes], str] | None = None,
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._address = address
        self._identify = identify
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept connections at ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source, first = self._source, b""
        try:
            if self._identify is not None:
                first = await reader.read(CHUNK_BYTES)
                source = self._identify(first)
            await self._network.path(source, self._target).traverse()
            host, _, port = self._address.rpartition(":")
            server_stream = await asyncio.open_connection(host, int(port))
        except OSError as error:
            # The target does not listen. The client sees a reset, as it would without the proxy.
            logger.debug("%s to %s: %s", source, self._target, error)
            writer.transport.abort()
            return
        connection = Connection(network=self._network, source=source, target=self._target)
        with contextlib.suppress(asyncio.CancelledError):
            await connection.run(first, (reader, writer), server_stream)
