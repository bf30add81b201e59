"""Structured reports of errors that no code handled."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ._error_description import (
    MAX_MESSAGE_CHARACTERS,
    UNHANDLED_ERROR,
    describe_error,
    frames_of,
    leaf_errors,
    name_error,
)
from ._journal import Journal

MAX_GROUP_ERRORS = 4
"""Errors of an exception group that are reported."""

MAX_PARTS = 64
"""Parts that are counted under their own names."""

OTHER_PART = "other"
"""Part under which all further ones are counted."""

WINDOW_S = 5.0
"""Interval in which the same type of error in the same part gets one line with a trace and at most
:data:`LINES_PER_WINDOW` lines. The event loop reports each failed accept, thousands a second when
no descriptor is left, and would spend the processor time of the host on lines."""

LINES_PER_WINDOW = 10


@dataclass(slots=True)
class _Window:
    """Lines of one type of error in one part since ``began_at``.

    :param unwritten: errors that were only counted since the last line.
    """

    began_at: float = -math.inf
    lines: int = 0
    unwritten: int = 0


class UnhandledErrors:
    """Writes a line for each unhandled error and counts them by the part they occurred in.

    :ivar count_by_part: errors since the start; at most :data:`MAX_PARTS` parts.
    """

    def __init__(self, *, journal: Journal) -> None:
        self._journal = journal
        self.count_by_part: Counter[str] = Counter()
        self._window_by_error: dict[tuple[str, str], _Window] = {}

    def report(
        self, part: str, error: BaseException, *, event: str = UNHANDLED_ERROR, **fields: object
    ) -> None:
        """Count the error and write a line; it never raises.

        Repetitions beyond :data:`LINES_PER_WINDOW` are only counted; the next line has their
        number as ``unwritten``.

        :param part: name of the task, callback or protocol.
        :param fields: what the part was doing, such as the key of an entry.
        """
        if part not in self.count_by_part and len(self.count_by_part) >= MAX_PARTS:
            self.count_by_part[OTHER_PART] += 1
        else:
            self.count_by_part[part] += 1
        now = time.monotonic()
        key = (part, type(error).__name__)
        if key not in self._window_by_error and len(self._window_by_error) >= MAX_PARTS:
            self._window_by_error.clear()
        window = self._window_by_error.setdefault(key, _Window())
        is_first = now - window.began_at >= WINDOW_S
        if is_first:
            window.began_at, window.lines = now, 0
        elif window.lines >= LINES_PER_WINDOW:
            window.unwritten += 1
            return
        window.lines += 1
        line: dict[str, object] = {"part": part, **name_error(error), **fields}
        if is_first:
            line["trace"] = frames_of(error)
        if window.unwritten:
            line["unwritten"], window.unwritten = window.unwritten, 0
        self._journal.write(event, line)

    @contextlib.contextmanager
    def contained(self, part: str) -> Iterator[None]:
        """Report an error in the block instead of raising it."""
        try:
            yield
        except Exception as error:
            self.report(part, error)

    def handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Exception handler of an event loop: report errors of callbacks, protocols and tasks
        whose result nobody retrieved."""
        message = str(context.get("message", ""))
        error = context.get("exception")
        if not isinstance(error, BaseException):
            error = RuntimeError(message)
        try:
            part = _part(context)
        except Exception as unnamed:
            part = f"unknown ({type(unnamed).__name__})"
        self.report(part, error, text=message[:MAX_MESSAGE_CHARACTERS])


def report_process_failure(journal: Journal, error: BaseException) -> None:
    """Write a line ``process_failed`` for each error that ends the process, and a last one for
    those beyond :data:`MAX_GROUP_ERRORS`."""
    errors = list(leaf_errors(error))
    for leaf in errors[:MAX_GROUP_ERRORS]:
        journal.write("process_failed", describe_error(leaf), final=True)
    if len(errors) > MAX_GROUP_ERRORS:
        journal.write("process_failed", {"more_errors": len(errors) - MAX_GROUP_ERRORS}, final=True)


def _part(context: dict[str, Any]) -> str:
    """Name of what failed: the coroutine of a task, or the function of a callback."""
    task = context.get("task") or context.get("future")
    if isinstance(task, asyncio.Task):
        coroutine = task.get_coro()
        return f"task {getattr(coroutine, '__qualname__', type(coroutine).__name__)}"
    if (protocol := context.get("protocol")) is not None:
        return f"protocol {type(protocol).__name__}"
    if (handle := context.get("handle")) is not None:
        callback = getattr(handle, "_callback", None)
        owner = getattr(callback, "__self__", None)
        if isinstance(owner, asyncio.Task):
            return _part({"task": owner})
        return f"callback {getattr(callback, '__qualname__', type(callback).__name__)}"
    if "socket" in context:
        return "listening socket"
    if (generator := context.get("asyncgen")) is not None:
        return f"generator {getattr(generator, '__qualname__', '')}"
    return type(task).__name__ if task is not None else "event loop"
