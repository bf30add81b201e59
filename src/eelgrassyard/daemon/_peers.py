"""Outgoing connections to other hosts.

The sender opens one connection for each receiver; messages flow in that direction only.
"""

from __future__ import annotations

import contextlib
import random
import ssl
import struct
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
from anyio.streams.tls import TLSAttribute, TLSStream

from ..policy import ForwardReply, PeerMessage, Ping, PingReply, PingRequest, Reason
from ._codec import MAX_FRAME_BYTES, encode_messages
from ._logs import log_change
from ._metrics import Metrics

FRAME_LENGTH = struct.Struct(">I")
"""Prefix of each frame: the number of bytes that follow."""

CONNECT_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 5.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_QUEUED_S = 5.0
"""Messages that have been queued for longer are dropped; by then the core has retried or given
up."""

CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)
"""Errors of a connection that has failed or was closed."""

Stream = anyio.abc.ByteStream
Address = tuple[str, int]


@dataclass(slots=True, kw_only=True)
class QueuedMessage:
    """A message with the monotonic time in seconds at which it was queued."""

    message: PeerMessage
    queued_at: float


class PeerLink:
    """The connection to one other host, with a bounded queue of messages.

    :param sender: name of this host.
    :param on_failure: called with the name of the other host when the connection fails or cannot
        be opened.
    """

    def __init__(
        self,
        *,
        name: str,
        sender: str,
        incarnation: int,
        address_of: Callable[[str], Address | None],
        tls: ssl.SSLContext | None,
        max_messages: int,
        metrics: Metrics,
        on_failure: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._sender = sender
        self._incarnation = incarnation
        self._address_of = address_of
        self._tls = tls
        self._max_messages = max_messages
        self._metrics = metrics
        self._on_failure = on_failure
        self._rng = rng
        self._queue: deque[QueuedMessage] = deque()
        self._arrived = anyio.Event()
        self._drained = anyio.Event()
        self._is_sending = False
        self._failures = 0
        self.is_connected = False

    @property
    def queued(self) -> int:
        """Number of messages that wait to be sent."""
        return len(self._queue)

    def put(self, messages: Sequence[PeerMessage]) -> None:
        """Queue messages; a full queue drops its oldest pings first, then its oldest messages."""
        now = time.monotonic()
        self._queue.extend(QueuedMessage(message=item, queued_at=now) for item in messages)
        if len(self._queue) > self._max_messages:
            self._drop_excess()
        self._arrived.set()

    async def wait_until_flushed(self) -> None:
        """Wait until the queue is empty and no frame is being sent."""
        while self._queue or self._is_sending:
            await self._drained.wait()

    async def run(self) -> None:
        """Connect when messages are queued, and reconnect with backoff after failures."""
        while True:
            await self._wait_for_messages()
            try:
                stream = await self._connect()
            except Exception as error:
                # An address of the host list may be one that no call accepts, such as a port out
                # of range. That is a failed connection, not the end of the process.
                await self._handle_failure(f"cannot connect: {type(error).__name__}")
                continue
            self._handle_connected()
            try:
                await self._send_until_closed(stream)
            finally:
                self.is_connected = False
                with anyio.CancelScope(shield=True, deadline=anyio.current_time() + 1.0):
                    await anyio.aclose_forcefully(stream)
            await self._handle_failure("connection lost")

    async def _connect(self) -> Stream:
        address = self._address_of(self._name)
        if address is None:
            raise OSError("the address of the host is not known")
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream: Stream = await anyio.connect_tcp(*address)
            if self._tls is not None:
                stream = await TLSStream.wrap(
                    stream, server_side=False, ssl_context=self._tls, standard_compatible=False
                )
                _check_certificate_name(stream, self._name)
            return stream

    async def _send_until_closed(self, stream: Stream) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_for_close, stream, group.cancel_scope)
            try:
                while True:
                    await self._wait_for_messages()
                    await self._send_queued(stream)
            except CONNECTION_ERRORS:
                group.cancel_scope.cancel()

    async def _watch_for_close(self, stream: Stream, scope: anyio.CancelScope) -> None:
        """Cancel the scope as soon as the connection ends.

        The receiver never sends data, so a read returns only then.
        """
        with contextlib.suppress(anyio.EndOfStream, *CONNECTION_ERRORS):
            await stream.receive(1)
        scope.cancel()

    async def _wait_for_messages(self) -> None:
        while not self._queue:
            self._arrived = anyio.Event()
            await self._arrived.wait()

    async def _send_queued(self, stream: Stream) -> None:
        oldest = time.monotonic() - MAX_QUEUED_S
        batch = [item.message for item in self._queue if item.queued_at >= oldest]
        expired = len(self._queue) - len(batch)
        if expired:
            self._metrics.count("peer.expired", expired)
        self._queue.clear()
        self._is_sending = True
        try:
            for frame in self._encode(batch):
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await stream.send(frame)
                self._metrics.count("peer.frames_sent")
                self._metrics.count("peer.bytes_sent", len(frame))
        finally:
            self._is_sending = False
            self._drained.set()
            self._drained = anyio.Event()

    def _encode(self, batch: Sequence[PeerMessage]) -> list[bytes]:
        """Encode a batch as frames.

        A batch that is too large for one frame is split in halves. A message that does not fit the
        schema is dropped and logged, and the rest of its batch is encoded message by message. A
        single message above the frame limit is dropped; a ForwardReply is replaced by a refusal.
        """
        if not batch:
            return []
        try:
            packed = encode_messages(self._sender, self._incarnation, batch)
        except ValueError as error:
            if len(batch) == 1:
                self._metrics.count("peer.unencodable")
                log_change("peer", str(error), peer=self._name)
                return []
            return [frame for item in batch for frame in self._encode([item])]
        if len(packed) <= MAX_FRAME_BYTES:
            return [FRAME_LENGTH.pack(len(packed)) + packed]
        if len(batch) > 1:
            middle = len(batch) // 2
            return self._encode(batch[:middle]) + self._encode(batch[middle:])
        self._metrics.count("peer.oversized")
        if isinstance(batch[0], ForwardReply):
            return self._encode([_replace_with_refusal(batch[0], self._sender, len(packed))])
        return []

    def _handle_connected(self) -> None:
        self.is_connected = True
        if self._failures:
            log_change("peer", "connected again", peer=self._name)
        self._failures = 0
        self._metrics.count("peer.connected")

    async def _handle_failure(self, message: str) -> None:
        self._failures += 1
        self._metrics.count("peer.failed")
        if self._failures == 1:
            log_change("peer", message, peer=self._name)
        self._on_failure(self._name)
        self._drop_pings()
        backoff_s = min(MIN_BACKOFF_S * 2.0 ** min(self._failures - 1, 10), MAX_BACKOFF_S)
        await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))

    def _drop_pings(self) -> None:
        """Drop queued pings, because a late reply would show a delay that no longer exists."""
        kept = deque(item for item in self._queue if not _is_ping(item.message))
        self._metrics.count("peer.dropped_pings", len(self._queue) - len(kept))
        self._queue = kept

    def _drop_excess(self) -> None:
        excess = len(self._queue) - self._max_messages
        kept: deque[QueuedMessage] = deque()
        for item in self._queue:
            if excess and _is_ping(item.message):
                excess -= 1
                self._metrics.count("peer.dropped_pings")
            else:
                kept.append(item)
        for _ in range(excess):
            kept.popleft()
            self._metrics.count("peer.dropped")
        self._queue = kept


class PeerLinks:
    """The links to other hosts, created with the first message to each."""

    def __init__(self, *, make_link: Callable[[str], PeerLink], group: anyio.abc.TaskGroup) -> None:
        self._make_link = make_link
        self._group = group
        self._link_by_name: dict[str, PeerLink] = {}

    def send(self, name: str, messages: Sequence[PeerMessage]) -> None:
        """Queue the messages of one tick for a host."""
        link = self._link_by_name.get(name)
        if link is None:
            link = self._link_by_name[name] = self._make_link(name)
            self._group.start_soon(link.run)
        link.put(messages)

    async def wait_until_flushed(self) -> None:
        """Wait until the queues of all connected links have been sent."""
        for link in list(self._link_by_name.values()):
            if link.is_connected:
                await link.wait_until_flushed()

    def dump(self) -> dict[str, object]:
        """Connection state and queue length by host."""
        return {
            name: {"connected": link.is_connected, "queued": link.queued}
            for name, link in sorted(self._link_by_name.items())
        }


def _is_ping(message: PeerMessage) -> bool:
    return isinstance(message, Ping | PingReply | PingRequest)


def _replace_with_refusal(reply: ForwardReply, host: str, size: int) -> ForwardReply:
    """Replace a reply that exceeds the frame limit; the owner still holds the outcome.

    :param size: bytes of the packed reply.
    """
    return ForwardReply(
        call=reply.call,
        submission_id=reply.submission_id,
        refusal=Reason.OWNER_UNREACHABLE,
        message=f"the answer has {size} bytes, too many to forward; ask host {host} directly",
    )


def _check_certificate_name(stream: Any, name: str) -> None:
    names = certificate_names(stream)
    if name not in names:
        raise OSError(f"the certificate names {sorted(names)}, not {name}")


def certificate_names(stream: Any) -> set[str]:
    """Common name and DNS names in the certificate of the peer; empty without a certificate."""
    certificate = stream.extra(TLSAttribute.peer_certificate, None) or {}
    names = {value for kind, value in certificate.get("subjectAltName", ()) if kind == "DNS"}
    for part in certificate.get("subject", ()):
        names.update(value for key, value in part if key == "commonName")
    return names
