"""Server that receives frames from other hosts."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream
from anyio.streams.tls import TLSListener, TLSStream

from ..policy import PeerReceived
from ._codec import MAX_FRAME_BYTES, Envelope, FrameError, FrameFault, decode_envelope
from ._logs import log_change
from ._metrics import Metrics
from ._peers import FRAME_LENGTH, certificate_names
from ._settings import PeerTlsSettings

FRAME_TIMEOUT_S = 10.0
"""Longest time for the rest of a frame after its length has arrived, and for a TLS handshake."""

LISTEN_BACKLOG = 512


class PeerServer:
    """Accepts connections of other hosts and delivers their messages.

    An invalid frame is counted and closes its own connection only.

    :param on_message: receives each message, in order for each connection.
    """

    def __init__(
        self,
        *,
        name: str,
        tls: ssl.SSLContext | None,
        max_connections: int,
        metrics: Metrics,
        on_message: Callable[[PeerReceived], None],
    ) -> None:
        self._name = name
        self._tls = tls
        self._max_connections = max_connections
        self._metrics = metrics
        self._on_message = on_message
        self.open_connections = 0

    async def serve(self, listening: socket.socket) -> None:
        """Accept connections on a bound socket until cancelled."""
        listening.listen(LISTEN_BACKLOG)
        listener: Any = await anyio.abc.SocketListener.from_socket(listening)
        if self._tls is not None:
            listener = TLSListener(
                listener, self._tls, standard_compatible=False, handshake_timeout=FRAME_TIMEOUT_S
            )
        async with listener:
            await listener.serve(self._handle)

    async def _handle(self, stream: anyio.abc.ByteStream) -> None:
        async with stream:
            if self.open_connections >= self._max_connections:
                self._metrics.count("peer.connections_refused")
                return
            self.open_connections += 1
            try:
                fault = await self._read_frames(stream)
            finally:
                self.open_connections -= 1
        if fault is not None:
            self._metrics.count(f"peer.frame_{fault.fault.value}")
            log_change("peer", f"connection closed: {fault.message}")

    async def _read_frames(self, stream: anyio.abc.ByteStream) -> FrameError | None:
        """Read frames until the connection ends; returns the frame error that ended it, if any."""
        names = certificate_names(stream) if isinstance(stream, TLSStream) else None
        buffered = BufferedByteReceiveStream(stream)
        while True:
            try:
                size = FRAME_LENGTH.unpack(await buffered.receive_exactly(FRAME_LENGTH.size))[0]
            except (anyio.IncompleteRead, anyio.EndOfStream):
                return _truncated("length") if buffered.buffer else None
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                return None
            if size > MAX_FRAME_BYTES:
                return FrameError(
                    fault=FrameFault.OVERSIZED,
                    message=f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes",
                )
            try:
                with anyio.fail_after(FRAME_TIMEOUT_S):
                    frame = await buffered.receive_exactly(size)
            except (anyio.IncompleteRead, TimeoutError):
                return _truncated("frame")
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                return _truncated("frame")
            fault = self._process_frame(frame, names)
            if fault is not None:
                return fault

    def _process_frame(self, frame: bytes, names: set[str] | None) -> FrameError | None:
        decoded = decode_envelope(frame)
        if decoded.is_err():
            return decoded.unwrap_err()
        envelope = decoded.unwrap()
        if names is not None and envelope.sender not in names:
            return _sender_error(
                f"sender {envelope.sender!r} is not named in the certificate of its connection"
            )
        if envelope.sender == self._name:
            return _sender_error("frame claims to be sent by this host")
        self._deliver(envelope)
        return None

    def _deliver(self, envelope: Envelope) -> None:
        self._metrics.count("peer.frames_received")
        for message in envelope.messages:
            self._on_message(
                PeerReceived(
                    sender=envelope.sender, incarnation=envelope.incarnation, message=message
                )
            )


def make_tls_contexts(
    settings: PeerTlsSettings | None,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Server and client contexts of mutual TLS between hosts; None for both without settings.

    :raises OSError: if a file cannot be read or is not valid.
    """
    if settings is None:
        return None, None
    contexts = []
    for protocol in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Hosts are addressed by IP address; instead of that, the names in the certificate are
        # compared with the name of the host.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(settings.certificate, settings.key)
        context.load_verify_locations(settings.authorities)
        contexts.append(context)
    return contexts[0], contexts[1]


def _truncated(part: str) -> FrameError:
    return FrameError(
        fault=FrameFault.TRUNCATED, message=f"connection ended or timed out within a {part}"
    )


def _sender_error(message: str) -> FrameError:
    return FrameError(fault=FrameFault.MALFORMED, message=message)
