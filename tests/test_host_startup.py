"""Tests of the start, the signals and the exit of real host processes, as the deploy file runs
them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from soak._hosts import ROOT, HostProcess, free_addresses

from eelgrassyard.platform._host import EXIT_LISTEN_FAILED, SETTINGS_POLL_INTERVAL_S
from eelgrassyard.platform._start import EXIT_SETTINGS_UNUSABLE

TIMEOUT_S = 30.0
"""Time after which a condition that never becomes true fails the test."""

POLL_S = 0.002
"""Interval at which conditions are checked."""

SIGNAL_INTERVAL_S = 0.0005
"""Interval of the signals of a series that lasts until the process has ended."""

UNASSIGNED = "192.0.2.77:8161"
"""Address that no machine has, since it is reserved for documentation."""

WITH_A_BUSY_THREAD = """\
import runpy, sys, threading, time
threading.Thread(target=time.sleep, args=(3600.0,)).start()
runpy.run_path(sys.argv[1], run_name="__main__")
"""


class Host(HostProcess):
    """A host process with a short grace period.

    :ivar command: words before the path of the program.
    """

    command: tuple[str, ...] = (sys.executable,)

    def write_settings(self) -> None:
        """Write the settings file."""
        HostProcess.write_settings(self)
        text = self.settings_path.read_text()
        self.settings_path.write_text(text.replace("grace_s = 6", "grace_s = 1"))

    async def spawn(self) -> asyncio.subprocess.Process:
        """Start the process with the settings file as it is."""
        self.incarnation += 1
        with self.log_path.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                str(ROOT / "deploy" / "host.py"),
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "EELGRASSYARD_SETTINGS": str(self.settings_path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )
        return self.process

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the complete lines of an event; fail if there is one that is not structured."""
        text = self.log_path.read_text()
        lines = [json.loads(line) for line in text.splitlines(keepends=True) if line[-1] == "\n"]
        return [line for line in lines if line["event"] == event]

    def has_mapped(self, name: str) -> bool:
        """Tell whether the process has loaded a compiled module."""
        assert self.process is not None
        return name in pathlib.Path(f"/proc/{self.process.pid}/maps").read_text()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition; fail if the process ends before."""
        assert self.process is not None
        while not condition():
            await asyncio.sleep(POLL_S)
            if self.process.returncode is not None and not condition():
                pytest.fail(f"ended with {self.process.returncode}: {self.log_path.read_text()}")

    async def until_logged(self, event: str) -> None:
        """Wait for a line of an event."""
        await self.until(lambda: bool(self.lines(event)))

    async def exit_code(self) -> int:
        """Wait for the end of the process; return its exit code."""
        assert self.process is not None
        return await self.process.wait()


def listen(address: str) -> socket.socket:
    """Listen at an address as another process would."""
    name, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((name, int(port)))
    listener.listen()
    return listener


def run_with_host(
    scenario: Callable[[Host], Awaitable[None]], folder: pathlib.Path, **changes: str
) -> None:
    """Run a scenario with a host that is not started yet, and kill its process afterwards."""

    async def run() -> None:
        front, ready, peer, store = free_addresses(4)
        host = Host(
            name="h1",
            domain="d1",
            folder=folder,
            front=front,
            front_bind=front,
            ready=ready,
            peer=peer,
            peer_bind=peer,
            store=store,
        )
        for name, value in changes.items():
            setattr(host, name, value)
        host.write_settings()
        try:
            await asyncio.wait_for(scenario(host), TIMEOUT_S)
        finally:
            await host.kill()

    asyncio.run(run())


def test_a_signal_during_the_imports_is_handled(tmp_path: pathlib.Path) -> None:
    """Guards against a SIGHUP that ends a starting process, and a SIGTERM that it reports as a
    failure."""

    async def scenario(host: Host) -> None:
        process = await host.spawn()
        await host.until(lambda: host.has_mapped("msgspec"))
        process.send_signal(signal.SIGHUP)
        await host.until_logged("listening")
        await host.kill()
        for number in (signal.SIGTERM, signal.SIGINT):
            process = await host.spawn()
            await host.until(lambda: host.has_mapped("msgspec"))
            process.send_signal(number)
            assert await host.exit_code() == 0

    run_with_host(scenario, tmp_path)


def test_an_odd_settings_file_does_not_end_a_serving_host(tmp_path: pathlib.Path) -> None:
    """Guards against a process that ends or goes silent when its settings file is odd for a while,
    and against changes that seem to be in force but need a new start."""

    async def scenario(host: Host) -> None:
        text = host.settings_path.read_text()
        host.settings_path.write_text(text.replace("grace_s = 1", "grace_s = 3600"))
        process = await host.spawn()
        await host.until_logged("listening")
        deep = f"note = {'[' * 5000}{']' * 5000}\n{text}"
        odd = [deep, "", text[: len(text) // 2], text.replace(host.front, "127.0.0.1:\u00b2")]
        for number, content in enumerate(odd, start=1):
            host.settings_path.write_text(content)
            process.send_signal(signal.SIGHUP)
            await host.until(lambda number=number: len(host.lines("settings_unusable")) >= number)
        # The file is also read without a signal, and that must not repeat the line.
        await asyncio.sleep(1.5 * SETTINGS_POLL_INTERVAL_S)
        (other,) = free_addresses(1)
        host.settings_path.write_text(text.replace(host.front, other))
        await host.until_logged("settings_changed")
        (changed,) = host.lines("settings_changed")
        assert changed["fields"] == ["grace_s"]
        assert changed["fields_of_next_start"] == ["front_address"]
        # Writing a file truncates it first, so that it may also have been read while it was empty.
        reasons = [line["reason"] for line in host.lines("settings_unusable")]
        assert all(reason != later for reason, later in itertools.pairwise(reasons))
        _, writer = await asyncio.open_connection(*host.front.split(":"))
        writer.write(b"GET / HTTP/1.1\r\n")
        process.send_signal(signal.SIGTERM)
        assert await host.exit_code() == 0
        writer.close()

    run_with_host(scenario, tmp_path)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_during_the_exit_do_not_change_it(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    """Guards against a signal that ends the process after its handlers were removed, so that a
    planned stop looks like a failure."""

    async def scenario(host: Host) -> None:
        process = await host.spawn()
        await host.until_logged("listening")
        process.send_signal(signal.SIGTERM)
        # Popen.send_signal would reap the process, and asyncio would not learn the exit code.
        descriptor = os.pidfd_open(process.pid)
        with contextlib.suppress(ProcessLookupError):
            while True:
                signal.pidfd_send_signal(descriptor, number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
        os.close(descriptor)
        assert await host.exit_code() == 0
        assert host.lines("stop")

    run_with_host(scenario, tmp_path)


def test_incomplete_settings_are_awaited(tmp_path: pathlib.Path) -> None:
    """Guards against a process that ends since the platform has not written its settings yet, or
    only a part."""

    async def scenario(host: Host) -> None:
        text = host.settings_path.read_text()
        host.settings_path.unlink()
        await host.spawn()
        for number, content in enumerate((None, "", text[: len(text) // 2]), start=1):
            if content is not None:
                host.settings_path.write_text(content)
            await host.until(lambda number=number: len(host.lines("settings_awaited")) >= number)
        host.settings_path.write_text(text)
        await host.until_logged("listening")

    run_with_host(scenario, tmp_path)


def test_settings_that_stay_unusable_end_the_start(tmp_path: pathlib.Path) -> None:
    """Guards against an end without a structured line that names the file and the reason."""

    async def scenario(host: Host) -> None:
        text = host.settings_path.read_text()
        host.settings_path.write_text(text.replace(host.ready, "127.0.0.1:\u00b2"))
        await host.spawn()
        assert await host.exit_code() == EXIT_SETTINGS_UNUSABLE
        (failed,) = host.lines("start_failed")
        assert (failed["step"], failed["peer"]) == ("check", str(host.settings_path))
        assert "ready" in failed["reason"]

    run_with_host(scenario, tmp_path)


def test_a_start_that_waits_for_its_settings_can_be_stopped(tmp_path: pathlib.Path) -> None:
    """Guards against a planned stop that is reported as a failure."""

    async def scenario(host: Host) -> None:
        host.settings_path.unlink()
        process = await host.spawn()
        await host.until_logged("settings_awaited")
        process.send_signal(signal.SIGTERM)
        assert await host.exit_code() == 0

    run_with_host(scenario, tmp_path)


def test_dependencies_that_do_not_import_are_reported(tmp_path: pathlib.Path) -> None:
    """Guards against a process that ends with a traceback only, with libraries of another
    machine."""

    async def scenario(host: Host) -> None:
        host.command = (sys.executable, "-S")
        await host.spawn()
        assert await host.exit_code() == 5
        (failed,) = host.lines("start_failed")
        assert failed["step"] == "import"
        assert "ModuleNotFoundError" in failed["reason"]

    run_with_host(scenario, tmp_path)


def test_a_host_starts_without_standard_streams(tmp_path: pathlib.Path) -> None:
    """Guards against a process that ends since its output is closed, or that writes its log into a
    socket."""

    async def scenario(host: Host) -> None:
        host.command = ("/bin/sh", "-c", 'exec "$@" <&- >&- 2>&-', "sh", sys.executable)
        process = await host.spawn()
        name, _, port = host.front.rpartition(":")
        writer = None
        while writer is None:
            assert process.returncode is None
            with contextlib.suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(name, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        writer.close()
        process.send_signal(signal.SIGTERM)
        assert await host.exit_code() == 0

    run_with_host(scenario, tmp_path)


def test_a_host_outlives_the_reader_of_its_log(tmp_path: pathlib.Path) -> None:
    """Guards against a process that SIGPIPE or a failed write ends."""

    async def scenario(host: Host) -> None:
        host.settings_path.unlink()
        log = host.folder / "first-line"
        command = f'"$@" 2>&1 | head -n 1 > "{log}"; echo "$?"'
        host.command = ("/bin/bash", "-c", f"set -o pipefail; {command}", "bash", sys.executable)
        await host.spawn()
        await host.until(lambda: log.exists() and b"settings_awaited" in log.read_bytes())
        # The reader is gone now; the last line and the exit code are those of the failed start.
        assert await host.exit_code() == 0
        assert host.log_path.read_text() == f"{EXIT_SETTINGS_UNUSABLE}\n"

    run_with_host(scenario, tmp_path)


def test_taken_addresses_are_awaited(tmp_path: pathlib.Path) -> None:
    """Guards against a process that ends since its predecessor, which is in its grace period, still
    holds an address."""

    async def scenario(host: Host) -> None:
        # The predecessor is this test, which a busy machine may hold up for seconds.
        text = host.settings_path.read_text()
        host.settings_path.write_text(text.replace("grace_s = 1", "grace_s = 60"))
        addresses = [host.ready, host.front_bind, host.peer_bind]
        listeners = [listen(address) for address in addresses]
        await host.spawn()
        for number, listener in enumerate(listeners, start=1):
            await host.until(lambda number=number: len(host.lines("address_awaited")) == number)
            listener.close()
        await host.until_logged("listening")
        awaited = host.lines("address_awaited")
        assert [line["peer"] for line in awaited] == addresses
        assert all("in use" in line["reason"] for line in awaited)

    run_with_host(scenario, tmp_path)


def test_a_start_that_waits_for_an_address_can_be_stopped(tmp_path: pathlib.Path) -> None:
    """Guards against a SIGTERM that is handled only after the start."""

    async def scenario(host: Host) -> None:
        process = await host.spawn()
        await host.until_logged("address_awaited")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert await host.exit_code() == 0
        assert not host.lines("listening") and not host.lines("start_failed")

    run_with_host(scenario, tmp_path, front_bind=UNASSIGNED)


def test_an_address_that_stays_unassigned_ends_the_start(tmp_path: pathlib.Path) -> None:
    """Guards against a process that waits forever for an address of another machine."""

    async def scenario(host: Host) -> None:
        await host.spawn()
        assert await host.exit_code() == EXIT_LISTEN_FAILED
        (failed,) = host.lines("start_failed")
        assert (failed["step"], failed["peer"]) == ("listen", UNASSIGNED)

    run_with_host(scenario, tmp_path, front_bind=UNASSIGNED)


def test_the_exit_does_not_wait_for_threads(tmp_path: pathlib.Path) -> None:
    """Guards against a thread, such as one that looks up a name, that keeps the process running
    after its last log line."""

    async def scenario(host: Host) -> None:
        host.command = (sys.executable, "-c", WITH_A_BUSY_THREAD)
        process = await host.spawn()
        await host.until_logged("listening")
        process.send_signal(signal.SIGTERM)
        assert await host.exit_code() == 0
        assert host.lines("stop")

    run_with_host(scenario, tmp_path)
