"""Sessions between hosts: frames of messages over TCP."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from ..dispatch._messages import Message, ToClient, ToServer

FRAME_HEAD_BYTES = 4

MAX_FRAME_BYTES = 4_000_000
"""Larger frames close the connection; a configuration has at most a megabyte."""

MAX_BUFFERED_BYTES = 8_000_000
"""A peer that does not read is dropped when this much waits for it."""

_encoder = msgspec.msgpack.Encoder()
_to_server = msgspec.msgpack.Decoder(list[ToServer])
_to_client = msgspec.msgpack.Decoder(list[ToClient])


class _FrameProtocol(asyncio.Protocol, abc.ABC):
    """Splits the stream into frames and decodes them."""

    def __init__(self, *, decoder: msgspec.msgpack.Decoder[Any]) -> None:
        self._decoder = decoder
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= FRAME_HEAD_BYTES:
            size = int.from_bytes(self._buffer[:FRAME_HEAD_BYTES], "big")
            if size > MAX_FRAME_BYTES:
                self.drop()
                return
            if len(self._buffer) < FRAME_HEAD_BYTES + size:
                return
            frame = bytes(self._buffer[FRAME_HEAD_BYTES : FRAME_HEAD_BYTES + size])
            del self._buffer[: FRAME_HEAD_BYTES + size]
            try:
                messages = self._decoder.decode(frame)
            except msgspec.MsgspecError:
                self.drop()
                return
            for message in messages:
                self.received(message)

    @abc.abstractmethod
    def received(self, message: Message) -> None:
        """Handle one message."""

    def send(self, messages: list[Message]) -> None:
        """Send messages in one frame."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.drop()
            return
        frame = _encoder.encode(messages)
        transport.write(len(frame).to_bytes(FRAME_HEAD_BYTES, "big") + frame)

    def drop(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class SessionServer:
    """Accepts sessions of other hosts.

    :param on_message: gets the session's id and each message.
    :param on_close: gets the id of a session that has broken.
    """

    def __init__(
        self,
        *,
        on_message: Callable[[str, Message], None],
        on_close: Callable[[str], None],
    ) -> None:
        self.on_message = on_message
        self.on_close = on_close
        self.session_by_id: dict[str, _ServedSession] = {}
        self._numbers = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Listen at ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _ServedSession(server=self), host, int(port)
        )

    def next_id(self) -> str:
        """A new id for a session."""
        self._numbers += 1
        return f"s{self._numbers}"

    def send(self, session_id: str, messages: list[Message]) -> None:
        """Send messages, if the session is still open."""
        session = self.session_by_id.get(session_id)
        if session is not None:
            session.send(messages)

    def close(self, session_id: str) -> None:
        """Close a session."""
        session = self.session_by_id.get(session_id)
        if session is not None and session.transport is not None:
            session.transport.close()


class _ServedSession(_FrameProtocol):
    def __init__(self, *, server: SessionServer) -> None:
        super().__init__(decoder=_to_server)
        self._server = server
        self._id = server.next_id()
        server.session_by_id[self._id] = self

    def received(self, message: Message) -> None:
        self._server.on_message(self._id, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._server.session_by_id.pop(self._id, None)
        self._server.on_close(self._id)


class SessionClient:
    """Opens sessions to other hosts.

    :param on_open: gets the name of a host whose session is open.
    :param on_message: gets the host's name and each message.
    :param on_close: gets the host's name, and whether no process listened there.
    """

    def __init__(
        self,
        *,
        on_open: Callable[[str], None],
        on_message: Callable[[str, Message], None],
        on_close: Callable[[str, bool], None],
    ) -> None:
        self.on_open = on_open
        self.on_message = on_message
        self.on_close = on_close
        self._session_by_name: dict[str, _OpenedSession] = {}
        self._task_by_name: dict[str, asyncio.Task[None]] = {}

    def open(self, name: str, address: str) -> None:
        """Open a session to a host; an earlier one is dropped."""
        self.close(name)
        task = asyncio.get_running_loop().create_task(self._connect(name, address))
        self._task_by_name[name] = task

    async def _connect(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        session = _OpenedSession(client=self, name=name)
        try:
            await asyncio.get_running_loop().create_connection(lambda: session, host, int(port))
        except OSError as error:
            self._task_by_name.pop(name, None)
            self.on_close(name, isinstance(error, ConnectionRefusedError))
            return
        self._task_by_name.pop(name, None)
        self._session_by_name[name] = session
        self.on_open(name)

    def send(self, name: str, messages: list[Message]) -> None:
        """Send messages, if the session is open."""
        session = self._session_by_name.get(name)
        if session is not None:
            session.send(messages)

    def close(self, name: str) -> None:
        """Close a session, or give up opening it."""
        task = self._task_by_name.pop(name, None)
        if task is not None:
            task.cancel()
        session = self._session_by_name.pop(name, None)
        if session is not None:
            session.wanted = False
            session.drop()

    def lost(self, session: _OpenedSession) -> None:
        """A session has broken."""
        if self._session_by_name.get(session.name) is session:
            del self._session_by_name[session.name]
            self.on_close(session.name, False)


class _OpenedSession(_FrameProtocol):
    def __init__(self, *, client: SessionClient, name: str) -> None:
        super().__init__(decoder=_to_client)
        self._client = client
        self.name = name
        self.wanted = True

    def received(self, message: Message) -> None:
        if self.wanted:
            self._client.on_message(self.name, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.wanted:
            self._client.lost(self)
