"""Structured, rate-limited logging to standard output with non-blocking writes."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import sys
import time
from collections import Counter
from collections.abc import Mapping

import msgspec

LINES_PER_S = 400.0
"""Refill rate of the token bucket that limits the lines of a process. An undisturbed host writes
about a tenth of it."""

BURST_LINES = 1200.0
"""Burst size of the token bucket."""

RESERVED_LINES = 400.0
"""Tokens that routine lines may not use, so that a busy host can still write the lines that explain
a failure. A leader of a large site has over 1,000 routine lines a second."""

FLUSH_S = 0.05
"""Interval at which buffered lines are written; batching saves system calls."""

MAX_PENDING_BYTES = 256_000
"""Size of the buffer, in which lines wait for a slow reader; further lines are dropped."""

WRITE_BYTES = 4096
"""Longest single write. Longer ones are not atomic on a pipe, and readers may cut them."""

MAX_EVENTS = 128
"""Events that are counted under their own names."""

OTHER_EVENT = "other"
"""Event under which all further ones are counted."""

MAX_REPLACEMENT_CHARACTERS = 200
"""Longest text that replaces a field that cannot be encoded."""

logger = logging.getLogger("eelgrassyard.journal")


class _Emitter(logging.Handler):
    """Handler that forwards log records of the standard library to the journal."""

    def __init__(self, *, journal: Journal) -> None:
        super().__init__()
        self._journal = journal

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, object] = {"level": record.levelname.lower()}
        try:
            fields["text"] = record.getMessage()
            if record.exc_info:
                fields["trace"] = logging.Formatter().formatException(record.exc_info)
        except Exception as error:
            fields["unprintable"] = type(error).__name__
        self._journal.write(record.name, fields)


class Journal:
    """Structured log: one JSON object per line.

    :param host: host name added to each line.
    :param descriptor: file descriptor to write to; standard output if left out.
    :ivar omitted: lines dropped since the start.
    :ivar count_by_event: lines since the start that are not routine, also those dropped; at most
        :data:`MAX_EVENTS` events.
    """

    def __init__(self, *, host: str, descriptor: int | None = None) -> None:
        self.host = host
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._pending = bytearray()
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._flush_scheduled = False
        self.omitted = 0
        self._omitted_reported = 0
        self.count_by_event: Counter[str] = Counter()
        os.set_blocking(self._descriptor, False)

    def capture_stdlib_logging(self) -> None:
        """Replace the handlers of the root logger, so that the journal receives its records."""
        root = logging.getLogger()
        root.handlers = [_Emitter(journal=self)]
        root.setLevel(logging.WARNING)

    def write(
        self,
        event: str,
        fields: Mapping[str, object],
        *,
        routine: bool = False,
        final: bool = False,
    ) -> None:
        """Buffer a line, or drop it if the rate limit is reached or the buffer is full.

        The next line written carries the number of lines dropped before it. It never raises; a
        field that cannot be encoded is replaced by a short text.

        :param routine: whether the line is one of many that report normal operation; such lines
            cannot use the reserved tokens.
        :param final: whether the line says why the process ends; such lines are never dropped.
        """
        if not routine:
            self._count(event)
        now = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if not final and (
            self._tokens < (RESERVED_LINES if routine else 1.0)
            or len(self._pending) > MAX_PENDING_BYTES
        ):
            self.omitted += 1
            return
        self._tokens -= 1.0
        line = {"at": round(time.time(), 4), "host": self.host, "event": event, **fields}
        if self.omitted > self._omitted_reported:
            line["omitted_lines"] = self.omitted - self._omitted_reported
            self._omitted_reported = self.omitted
        self._pending += self._encode(line) + b"\n"
        if not self._flush_scheduled and not self._schedule_flush():
            self.flush()

    def _count(self, event: str) -> None:
        if event not in self.count_by_event and len(self.count_by_event) >= MAX_EVENTS:
            event = OTHER_EVENT
        self.count_by_event[event] += 1

    def _encode(self, line: dict[str, object]) -> bytes:
        try:
            return self._encoder.encode(line)
        except Exception:
            return self._encoder.encode(
                {
                    name if name.isascii() else _printable(name): self._encodable(value)
                    for name, value in line.items()
                }
            )

    def _encodable(self, value: object) -> object:
        """The value itself, or a short text if it cannot be encoded."""
        try:
            self._encoder.encode(value)
        except Exception as error:
            return f"{_printable(value)} ({type(error).__name__})"
        return value

    def _schedule_flush(self) -> bool:
        """Schedule a flush; return False if no event loop is running."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flush_scheduled = True
        loop.call_later(FLUSH_S, self.flush)
        return True

    def flush(self) -> None:
        """Write the buffered lines, as far as the descriptor accepts them without blocking."""
        self._flush_scheduled = False
        while self._pending:
            # Whole lines, or a part of one that is longer than a write.
            end = self._pending.rfind(b"\n", 0, WRITE_BYTES) + 1 or WRITE_BYTES
            try:
                written = os.write(self._descriptor, self._pending[:end])
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader is gone or the disk is full, and there is no other output to report
                # that to; the count is in the metrics, and in a line if the output works again.
                self.omitted += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]

    def close(self, limit_s: float) -> None:
        """Write the buffered lines before the process ends, and wait for a slow reader.

        :param limit_s: longest wait in seconds; lines that are left then are lost.
        """
        end_at = time.monotonic() + limit_s
        self.flush()
        while self._pending and (left_s := end_at - time.monotonic()) > 0.0:
            try:
                poll = select.poll()
                poll.register(self._descriptor, select.POLLOUT)
                poll.poll(left_s * 1000.0)
            except OSError:
                return
            self.flush()


def _printable(value: object) -> str:
    """A short ASCII text for a value; for one that cannot be shown, its type."""
    try:
        text = ascii(value)
    except Exception:
        text = f"<{type(value).__name__}>"
    return text[:MAX_REPLACEMENT_CHARACTERS]
