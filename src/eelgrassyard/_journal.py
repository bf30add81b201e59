"""Structured log lines on standard output, bounded in volume, written without blocking."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
import time
from collections.abc import Mapping

import msgspec

LINES_PER_S = 400.0
BURST_LINES = 1200.0
"""Bound on the lines of one process. A calm host writes about a tenth of it."""

RESERVED_LINES = 400.0
"""Part of the burst that routine lines leave alone, so that a busy host still writes the lines that
explain a failure. A leader of a large site has over 1,000 routine lines a second."""

FLUSH_S = 0.05
"""Lines are written in batches of this interval, because each write costs a system call."""

MAX_PENDING_BYTES = 256_000
"""Lines are dropped beyond this while nobody reads the output."""

logger = logging.getLogger("eelgrassyard.journal")


class _Emitter(logging.Handler):
    """Hands log records of the standard library to the journal."""

    def __init__(self, *, journal: Journal) -> None:
        super().__init__()
        self._journal = journal

    def emit(self, record: logging.LogRecord) -> None:
        fields: dict[str, object] = {"level": record.levelname.lower(), "text": record.getMessage()}
        if record.exc_info:
            fields["trace"] = logging.Formatter().formatException(record.exc_info)
        self._journal.write(record.name, fields)


class Journal:
    """Writes one JSON object a line.

    :param host: name that each line carries.
    :param descriptor: file descriptor to write to.
    """

    def __init__(self, *, host: str, descriptor: int | None = None) -> None:
        self._host = host
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._pending = bytearray()
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._flush_planned = False
        self.omitted = 0
        self._omitted_told = 0
        os.set_blocking(self._descriptor, False)

    def take_over_logging(self) -> None:
        """Write the records of the standard library's loggers too."""
        root = logging.getLogger()
        root.handlers = [_Emitter(journal=self)]
        root.setLevel(logging.WARNING)

    def write(self, event: str, fields: Mapping[str, object], *, routine: bool = False) -> None:
        """Queue a line, unless the bound on lines is reached.

        :param routine: whether the line is one of many that say that all went as usual.
        """
        now = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if (
            self._tokens < (RESERVED_LINES if routine else 1.0)
            or len(self._pending) > MAX_PENDING_BYTES
        ):
            self.omitted += 1
            return
        self._tokens -= 1.0
        line = {"at": round(time.time(), 4), "host": self._host, "event": event, **fields}
        if self.omitted > self._omitted_told:
            line["omitted_lines"] = self.omitted - self._omitted_told
            self._omitted_told = self.omitted
        self._pending += self._encoder.encode(line) + b"\n"
        if not self._flush_planned and not self._plan_flush():
            self.flush()

    def _plan_flush(self) -> bool:
        """Write soon; False outside of a running loop."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flush_planned = True
        loop.call_later(FLUSH_S, self.flush)
        return True

    def flush(self) -> None:
        """Write what is queued, as far as the reader takes it."""
        self._flush_planned = False
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the output any more; there is no other place to say so.
            self._pending.clear()
            return
        del self._pending[:written]
        if self._pending:
            self._plan_flush()
