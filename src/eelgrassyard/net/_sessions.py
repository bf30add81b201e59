"""Sessions between hosts over TCP: length-prefixed frames of MessagePack messages."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from .._addresses import parse_address
from .._decoding import decode
from ..dispatch._message_checks import check_message
from ..dispatch._messages import Message, ToClient, ToServer
from ._session_reports import SessionReports
from ._traffic import Traffic

FRAME_HEADER_BYTES = 4
"""Length prefix of a frame, in network byte order."""

MAX_FRAME_BYTES = 4_000_000
"""Largest frame that is accepted; a configuration has at most a megabyte."""

MAX_LIST_HEADER_BYTES = 5
"""Longest header of the list of messages in a frame."""

MAX_BUFFERED_BYTES = 8_000_000
"""Limit on unsent data, beyond which the connection to a peer that does not read is aborted."""

FIRST_FRAME_BYTES = 65_536
FIRST_FRAME_TIMEOUT_S = 5.0
"""Limits on the first frame of an inbound session, which holds little more than the hello. Other
programs may connect to the port."""

_encoder = msgspec.msgpack.Encoder()
_raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
_server_decoder = msgspec.msgpack.Decoder(list[ToServer])
_server_message_decoder = msgspec.msgpack.Decoder(ToServer)
_client_decoder = msgspec.msgpack.Decoder(list[ToClient])
_client_message_decoder = msgspec.msgpack.Decoder(ToClient)

Unsent = tuple[Message, Exception]
"""A message that no frame can hold, and the reason."""


class _FrameProtocol(asyncio.Protocol, abc.ABC):
    """Framing of a session: splits the stream into frames and decodes their messages.

    A frame that is too large or not a list of messages aborts the connection. A message that is
    invalid, or that raises when it is handled, is reported and left out.

    :param decoder: decodes all messages of a frame.
    :param message_decoder: decodes a single one.
    """

    def __init__(
        self,
        *,
        decoder: msgspec.msgpack.Decoder[Any],
        message_decoder: msgspec.msgpack.Decoder[Any],
        traffic: Traffic,
        reports: SessionReports,
    ) -> None:
        self._decoder = decoder
        self._message_decoder = message_decoder
        self._traffic = traffic
        self._reports = reports
        self._buffer = bytearray()
        self._max_frame_bytes = MAX_FRAME_BYTES
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._traffic.received += len(data)
        self._buffer += data
        while len(self._buffer) >= FRAME_HEADER_BYTES:
            size = int.from_bytes(self._buffer[:FRAME_HEADER_BYTES], "big")
            if size > self._max_frame_bytes:
                self.reject(f"frame of {size} bytes")
                return
            if len(self._buffer) < FRAME_HEADER_BYTES + size:
                return
            frame = bytes(self._buffer[FRAME_HEADER_BYTES : FRAME_HEADER_BYTES + size])
            del self._buffer[: FRAME_HEADER_BYTES + size]
            result = decode(self._decoder, frame)
            messages = result.unwrap() if result.is_ok() else self._decode_singly(frame)
            if messages is None:
                return
            self._max_frame_bytes = MAX_FRAME_BYTES
            for message in messages:
                self._handle(message)

    def _decode_singly(self, frame: bytes) -> list[Message] | None:
        """Decode the valid messages of a frame; None if it is not a list of messages."""
        parts = decode(_raw_decoder, frame)
        if parts.is_err():
            self.reject(f"invalid frame: {parts.unwrap_err()}")
            return None
        messages: list[Message] = []
        for part in parts.unwrap():
            message = decode(self._message_decoder, bytes(part))
            if message.is_err():
                fields = {**self.peer(), "reason": message.unwrap_err()}
                self._reports.log("message_ignored", fields)
            else:
                messages.append(message.unwrap())
        return messages

    def _handle(self, message: Message) -> None:
        result = check_message(message)
        if result.is_err():
            name = type(message).__name__
            self._reports.log(
                "message_ignored", {**self.peer(), "message": name, "reason": result.unwrap_err()}
            )
            return
        try:
            self.message_received(result.unwrap())
        except Exception as error:
            fields: dict[str, object] = {**self.peer(), "message_type": type(message).__name__}
            self._reports.on_error("message_received", error, fields)

    @abc.abstractmethod
    def peer(self) -> dict[str, object]:
        """Fields of a log line that identify the session."""

    @abc.abstractmethod
    def message_received(self, message: Message) -> None:
        """Handle a received message."""

    def send(self, messages: list[Message]) -> list[Unsent]:
        """Send messages in as few frames as can hold them, unless the connection is closed.

        :returns: messages that could not be encoded or are too large for a frame.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return []
        if transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.reject("the host does not read")
            return []
        unsent: list[Unsent] = []
        for frame in _encode_frames(messages, unsent):
            self._traffic.sent += len(frame)
            transport.write(frame)
            # Otherwise it would be in memory while the next one is encoded.
            del frame
        return unsent

    def reject(self, reason: str) -> None:
        """Abort the connection for a fault of the other side, and report it."""
        fields: dict[str, object] = {**self.peer(), "reason": reason}
        if self.transport is not None:
            fields["address"] = str(self.transport.get_extra_info("peername"))
        self._reports.log("session_aborted", fields)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once, without flushing buffered data."""
        if self.transport is not None:
            self.transport.abort()


def _encode_frames(messages: list[Message], unsent: list[Unsent]) -> Iterator[bytes]:
    """Encode messages into frames, one at a time: all of a large burst may not fit into memory."""
    parts: list[bytes] = []
    size = 0
    for message in messages:
        try:
            part = _encoder.encode(message)
            if len(part) > MAX_FRAME_BYTES - MAX_LIST_HEADER_BYTES:
                raise ValueError(f"message of {len(part)} bytes")
        except Exception as error:
            unsent.append((message, error))
            continue
        if size + len(part) > MAX_FRAME_BYTES - MAX_LIST_HEADER_BYTES:
            yield _join(parts, size)
            parts, size = [], 0
        parts.append(part)
        size += len(part)
    if parts:
        yield _join(parts, size)


def _join(parts: list[bytes], size: int) -> bytes:
    """A frame with a list of encoded messages, which have ``size`` bytes in total."""
    count = len(parts)
    # Formats fixarray and array 32 of MessagePack.
    header = bytes([0x90 | count]) if count < 16 else b"\xdd" + count.to_bytes(4, "big")
    prefix = (len(header) + size).to_bytes(FRAME_HEADER_BYTES, "big")
    return b"".join((prefix, header, *parts))


class SessionServer:
    """Accepts inbound sessions.

    :param on_message: called with the id of the session and each message received.
    :param on_close: called with the id of each closed session.
    :param traffic: counts the bytes of all sessions.
    :param reports: gets the errors and refusals of all sessions.
    """

    def __init__(
        self,
        *,
        on_message: Callable[[str, Message], None],
        on_close: Callable[[str], None],
        traffic: Traffic | None = None,
        reports: SessionReports | None = None,
    ) -> None:
        self.reports = reports if reports is not None else SessionReports()
        self.traffic = traffic if traffic is not None else Traffic()
        self.on_message = on_message
        self.on_close = on_close
        self.session_by_id: dict[str, _InboundSession] = {}
        self._last_number = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Listen at ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _InboundSession(server=self), host, int(port)
        )

    def stop(self) -> None:
        """Stop listening and close all sessions, after their unsent messages have been written."""
        if self._server is not None:
            self._server.close()
        for session_id in list(self.session_by_id):
            self.close(session_id)

    def next_id(self) -> str:
        """Return a new session id."""
        self._last_number += 1
        return f"s{self._last_number}"

    def send(self, session_id: str, messages: list[Message]) -> list[Unsent]:
        """Send messages if the session is still open; returns those that no frame can hold."""
        session = self.session_by_id.get(session_id)
        return session.send(messages) if session is not None else []

    def close(self, session_id: str) -> None:
        """Close a session after its unsent messages have been written."""
        session = self.session_by_id.get(session_id)
        if session is not None and session.transport is not None:
            session.transport.close()


class _InboundSession(_FrameProtocol):
    def __init__(self, *, server: SessionServer) -> None:
        super().__init__(
            decoder=_server_decoder,
            message_decoder=_server_message_decoder,
            traffic=server.traffic,
            reports=server.reports,
        )
        self._server = server
        self._id = server.next_id()
        self._max_frame_bytes = FIRST_FRAME_BYTES
        self._opening_timer: asyncio.TimerHandle | None = None
        server.session_by_id[self._id] = self

    def peer(self) -> dict[str, object]:
        return {"session": self._id}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._opening_timer = asyncio.get_running_loop().call_later(
            FIRST_FRAME_TIMEOUT_S, self.reject, "no message in time"
        )

    def message_received(self, message: Message) -> None:
        self._end_opening()
        self._server.on_message(self._id, message)

    def _end_opening(self) -> None:
        if self._opening_timer is not None:
            self._opening_timer.cancel()
            self._opening_timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._end_opening()
        self._server.session_by_id.pop(self._id, None)
        self._server.on_close(self._id)


class SessionClient:
    """Opens outbound sessions, by name of the host.

    :param on_open: called with the name of the host when the session is open.
    :param on_message: called with the name of the host and each message received.
    :param on_close: called with the name of the host when the session has failed to open or was
        lost, and whether the connection was refused. It is not called after :meth:`close`.
    :param traffic: counts the bytes of all sessions.
    :param reports: gets the errors and refusals of all sessions.
    """

    def __init__(
        self,
        *,
        on_open: Callable[[str], None],
        on_message: Callable[[str, Message], None],
        on_close: Callable[[str, bool], None],
        traffic: Traffic | None = None,
        reports: SessionReports | None = None,
    ) -> None:
        self.reports = reports if reports is not None else SessionReports()
        self.traffic = traffic if traffic is not None else Traffic()
        self.on_open = on_open
        self.on_message = on_message
        self.on_close = on_close
        self._session_by_name: dict[str, _OutboundSession] = {}
        self._task_by_name: dict[str, asyncio.Task[None]] = {}
        self._stopped = False

    def stop(self) -> None:
        """Close all sessions, and open no more: a task that is created while the event loop ends
        would never be cancelled."""
        self._stopped = True
        for name in [*self._task_by_name, *self._session_by_name]:
            self.close(name)

    def open(self, name: str, address: str) -> None:
        """Open a session to a host, and close the previous one."""
        self.close(name)
        if self._stopped:
            return
        task = asyncio.get_running_loop().create_task(self._connect(name, address))
        self._task_by_name[name] = task

    async def _connect(self, name: str, address: str) -> None:
        session = _OutboundSession(client=self, name=name)
        result = parse_address(address)
        if result.is_err():
            self.reports.log("host_address_unusable", {"peer": name, "reason": result.unwrap_err()})
            self._connect_failed(name)
            return
        host, port = result.unwrap()
        try:
            await asyncio.get_running_loop().create_connection(lambda: session, host, port)
        except OSError as error:
            self._connect_failed(name, refused=isinstance(error, ConnectionRefusedError))
            return
        except Exception as error:
            self.reports.on_error("connect", error, {"peer": name, "address": address})
            self._connect_failed(name)
            return
        self._task_by_name.pop(name, None)
        self._session_by_name[name] = session
        self.on_open(name)

    def _connect_failed(self, name: str, *, refused: bool = False) -> None:
        self._task_by_name.pop(name, None)
        self.on_close(name, refused)

    def send(self, name: str, messages: list[Message]) -> list[Unsent]:
        """Send messages if the session is open; returns those that no frame can hold."""
        session = self._session_by_name.get(name)
        return session.send(messages) if session is not None else []

    def close(self, name: str) -> None:
        """Close a session, or cancel opening it."""
        task = self._task_by_name.pop(name, None)
        if task is not None:
            task.cancel()
        session = self._session_by_name.pop(name, None)
        if session is not None:
            session.is_wanted = False
            session.abort()

    def session_lost(self, session: _OutboundSession) -> None:
        """Handle a session that was lost."""
        if self._session_by_name.get(session.name) is session:
            del self._session_by_name[session.name]
            self.on_close(session.name, False)


class _OutboundSession(_FrameProtocol):
    def __init__(self, *, client: SessionClient, name: str) -> None:
        super().__init__(
            decoder=_client_decoder,
            message_decoder=_client_message_decoder,
            traffic=client.traffic,
            reports=client.reports,
        )
        self._client = client
        self.name = name
        self.is_wanted = True

    def peer(self) -> dict[str, object]:
        return {"peer": self.name}

    def message_received(self, message: Message) -> None:
        if self.is_wanted:
            self._client.on_message(self.name, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.is_wanted:
            self._client.session_lost(self)
