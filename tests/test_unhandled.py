"""Tests of the lines and counts of errors that no code handled."""

from __future__ import annotations

import asyncio
import json
import linecache
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import pytest

from eelgrassyard._error_description import (
    INNER_FRAMES,
    MAX_MESSAGE_CHARACTERS,
    OUTER_FRAMES,
    describe_error,
)
from eelgrassyard._journal import MAX_EVENTS, OTHER_EVENT, Journal
from eelgrassyard._unhandled import (
    LINES_PER_WINDOW,
    MAX_PARTS,
    OTHER_PART,
    WINDOW_S,
    UnhandledErrors,
)

ROOT = pathlib.Path(__file__).resolve().parents[1]


class Log:
    """A journal that writes to a pipe."""

    def __init__(self) -> None:
        self._read_end, write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        self.journal = Journal(host="front-1", descriptor=write_end)

    def lines(self) -> list[dict[str, Any]]:
        """The lines written since the last call."""
        self.journal.flush()
        try:
            return [json.loads(line) for line in os.read(self._read_end, 1 << 20).splitlines()]
        except BlockingIOError:
            return []


class Unprintable:
    """A value that has no text."""

    def __str__(self) -> str:
        raise ValueError("no text")

    __repr__ = __str__


def nested(depth: int) -> object:
    """Lists in lists."""
    value: object = 1
    for _ in range(depth):
        value = [value]
    return value


@pytest.mark.parametrize(
    "value", ["\ud800", Unprintable(), nested(100_000), {"a": "\udcff"}], ids=lambda value: ""
)
def test_a_value_that_cannot_be_encoded_does_not_fail_the_writer_of_the_line(value: object) -> None:
    """Guards against an error in the caller of a log line because of what an entry contains."""
    log = Log()
    log.journal.write("worker_entry_ignored", {"worker": "i-1", "reason": value})
    (line,) = log.lines()
    assert (line["event"], line["worker"]) == ("worker_entry_ignored", "i-1")
    assert line["reason"].endswith("Error)")


def test_lines_are_counted_by_event_within_a_bound() -> None:
    """Guards against ignored entries that no metric shows, and labels without a bound."""
    log = Log()
    for _ in range(3):
        log.journal.write("host_entry_ignored", {})
    log.journal.write("run_ended", {}, routine=True)
    for number in range(2 * MAX_EVENTS):
        log.journal.write(f"event-{number}", {})
    counts = log.journal.count_by_event
    assert counts["host_entry_ignored"] == 3
    assert "run_ended" not in counts
    assert len(counts) == MAX_EVENTS + 1
    assert counts.total() == 3 + 2 * MAX_EVENTS
    assert counts[OTHER_EVENT] == MAX_EVENTS + 1


def test_lines_that_the_output_refuses_are_counted() -> None:
    """Guards against lines that are lost without a trace while the reader is gone."""
    reader, writer = os.pipe()
    journal = Journal(host="front-1", descriptor=writer)
    os.close(reader)
    journal.write("start", {})
    journal.write("stop", {})
    assert journal.omitted == 2
    os.close(writer)


def overflow(depth: int = 0) -> int:
    """Recurse without end."""
    return overflow(depth + 1) + 1


def test_the_fields_of_an_error_are_bounded() -> None:
    """Guards against a line that is as long as the stack or the input that caused the error."""
    for cause in (overflow, lambda: int("9" * 5_000), lambda: {}["x" * 100_000]):
        try:
            cause()
        except Exception as error:
            fields = describe_error(error)
        assert len(str(fields["message"])) <= MAX_MESSAGE_CHARACTERS
        assert len(list(fields["trace"])) <= OUTER_FRAMES + INNER_FRAMES + 1  # type: ignore[call-overload]
    assert describe_error(KeyError(Unprintable()))["message"].startswith("message not")  # type: ignore[attr-defined]


def set_stack_left(frames: int) -> None:
    """Set the recursion limit to this number of frames above the caller."""
    depth = 1
    while True:
        try:
            # Refused below the current depth.
            sys.setrecursionlimit(depth)
        except RecursionError:
            depth += 1
        else:
            break
    sys.setrecursionlimit(depth + frames)


def test_an_error_is_described_where_little_of_the_stack_is_left() -> None:
    """Guards against a second error in the containment of a stack overflow: reading the source
    lines of a traceback parses files."""
    try:
        overflow()
    except RecursionError as error:
        caught = error
    limit = sys.getrecursionlimit()
    linecache.clearcache()
    set_stack_left(8)
    try:
        fields = describe_error(caught)
    finally:
        sys.setrecursionlimit(limit)
    assert fields["error"] == "RecursionError"


def test_a_message_with_a_lone_surrogate_is_kept() -> None:
    """Guards against a line without the message of the error, because no line can hold it as it
    is."""
    fields = describe_error(ValueError("odd \ud800 id"))
    assert fields["message"] == "odd \\ud800 id"


def test_parts_are_counted_within_a_bound_and_repeated_traces_left_out() -> None:
    """Guards against labels without a bound, and against traces at each event of a busy part."""
    log = Log()
    errors = UnhandledErrors(journal=log.journal)
    for _ in range(3):
        errors.report("mirror servers/", ValueError("odd"), key="servers/note-1")
    lines = log.lines()
    assert ["trace" in line for line in lines] == [True, False, False]
    assert {line["event"] for line in lines} == {"unhandled_error"}
    assert {line["key"] for line in lines} == {"servers/note-1"}
    for number in range(2 * MAX_PARTS):
        errors.report(f"part-{number}", ValueError("odd"))
    assert errors.count_by_part["mirror servers/"] == 3
    assert len(errors.count_by_part) == MAX_PARTS + 1
    assert errors.count_by_part[OTHER_PART] == MAX_PARTS + 1


def test_an_error_that_repeats_thousands_of_times_is_counted_but_hardly_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host without free descriptors that spends its processor time on a line for
    each connection that it cannot accept (22,527 in 3 s)."""
    log = Log()
    errors = UnhandledErrors(journal=log.journal)
    now = time.monotonic()
    monkeypatch.setattr("eelgrassyard._unhandled.time.monotonic", lambda: now)
    for _ in range(1_000):
        errors.report("listening socket", OSError(24, "Too many open files"))
    assert errors.count_by_part["listening socket"] == 1_000
    assert len(log.lines()) == LINES_PER_WINDOW
    now += WINDOW_S
    errors.report("listening socket", OSError(24, "Too many open files"))
    (line,) = log.lines()
    assert line["unwritten"] == 1_000 - LINES_PER_WINDOW
    assert line["trace"] == []


class FailingProtocol(asyncio.Protocol):
    """Raises when data arrives."""

    def data_received(self, data: bytes) -> None:
        """Raise."""
        raise RecursionError("too deep")


async def fail() -> None:
    """Raise."""
    raise ValueError("odd")


def in_callback(loop: asyncio.AbstractEventLoop) -> object:
    """Schedule a callback that raises."""
    return loop.call_soon(lambda: [][0])


def in_task(loop: asyncio.AbstractEventLoop) -> object:
    """Start a task that raises, whose result nobody retrieves."""
    loop.create_task(fail())
    return None


@pytest.mark.parametrize(
    ("cause", "part", "error"),
    [(in_callback, "callback in_callback", "IndexError"), (in_task, "task fail", "ValueError")],
)
def test_an_error_in_a_callback_or_task_is_a_line_and_counted(
    cause: Callable[[asyncio.AbstractEventLoop], object], part: str, error: str
) -> None:
    """Guards against a host that stands still without a line that names what failed."""
    log = Log()
    errors = UnhandledErrors(journal=log.journal)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(errors.handle_loop_error)
        cause(loop)
        for _ in range(3):
            await asyncio.sleep(0)

    asyncio.run(main())
    (line,) = log.lines()
    assert (line["event"], line["error"]) == ("unhandled_error", error)
    assert line["part"].startswith(part)
    assert line["trace"]
    assert errors.count_by_part.total() == 1


def test_an_error_in_a_protocol_names_the_protocol() -> None:
    """Guards against a connection that ends without a line that names its protocol."""
    log = Log()
    errors = UnhandledErrors(journal=log.journal)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(errors.handle_loop_error)
        server = await loop.create_server(FailingProtocol, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"x")
        assert await reader.read() == b""
        writer.close()
        server.close()

    asyncio.run(main())
    (line,) = log.lines()
    assert line["part"] == "protocol FailingProtocol"
    assert line["error"] == "RecursionError"


SETTINGS = """\
node = "front-1"
zone = "patan"
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:1"
control = "127.0.0.1:1"
[platform]
address = "127.0.0.1:1"
"""

FAILING_PROCESS = """
import sys
import time
from eelgrassyard.platform import __main__ as program, _host, _start

class FailingHost(_host.PlatformHost):
    async def serve(self, signals):
        for number in range(1000):
            self._journal.write("filler", {"text": "x" * 200})
        raise ExceptionGroup("tasks", [RecursionError("too deep"), ValueError("odd")])

_start.PlatformHost = FailingHost
sys.exit(program.main())
"""


def test_a_process_that_ends_by_an_error_says_so_in_its_last_lines(tmp_path: pathlib.Path) -> None:
    """Guards against a process that ends without a structured line that names the error, also
    when the reader of its output is slow."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS, encoding="utf-8")
    process = subprocess.Popen(
        [sys.executable, "-c", FAILING_PROCESS],
        env={**os.environ, "EELGRASSYARD_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "src")},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    output, rest = process.communicate(timeout=60.0)
    lines = [json.loads(line) for line in output.splitlines()]
    assert process.returncode == 4
    assert [(line["event"], line.get("error")) for line in lines[-2:]] == [
        ("process_failed", "RecursionError"),
        ("process_failed", "ValueError"),
    ]
    assert {line["host"] for line in lines} == {"front-1"}
    assert b"Traceback" not in rest


def test_a_fatal_signal_leaves_a_stack_on_standard_error(tmp_path: pathlib.Path) -> None:
    """Guards against a crash in an extension module that leaves nothing to read."""
    text = FAILING_PROCESS.replace("raise ExceptionGroup", "import os; os.kill(os.getpid(), 11)#")
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS, encoding="utf-8")
    ended = subprocess.run(
        [sys.executable, "-c", text],
        env={**os.environ, "EELGRASSYARD_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        check=False,
    )
    assert ended.returncode == -signal.SIGSEGV
    assert b"Segmentation fault" in ended.stderr
    assert b" in serve" in ended.stderr
