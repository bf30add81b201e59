"""Host processes of a soak run: settings, start, signals, readiness."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import pathlib
import signal
import sys
import time
from dataclasses import dataclass, field

import httpx

from ._ledger import GRACE_S

ROOT = pathlib.Path(__file__).resolve().parent.parent
_ports = itertools.count(20_000)

EXIT_MARGIN_S = 0.5
"""Time beyond the grace period in which the parent must see the exit of a process."""

READY_POLL_S = 0.5
"""Interval and timeout of readiness polls."""

STATE_TIMEOUT_S = 0.2

MAX_MISSED_POLLS = 2
"""Consecutive polls without a 200 after which a balancer removes a host from rotation."""

SETTINGS = """\
node = "{name}"
role = "host"
zone = "{domain}"
seeds = [{seeds}]
[listen]
front = "{front}"
ready = "{ready}"
control = "{peer}"
control_bind = "{peer_bind}"
[limits]
cpu_share = {weight}
cores = 1
[bounds]
stop_ms = 50
remote_slowdown = 1.5
grace_s = 6
[platform]
address = "{store}"
ttl_min_ms = 1000
"""


def free_addresses(count: int) -> list[str]:
    """Return unused loopback addresses of this run."""
    pid = os.getpid()
    # Concurrent runs use different loopback IP addresses. The ports are below the ephemeral range.
    number = f"127.{100 + (pid >> 16) % 100}.{(pid >> 8) % 256}.{pid % 256}"
    return [f"{number}:{next(_ports)}" for _ in range(count)]


@dataclass(slots=True, kw_only=True, eq=False)
class HostProcess:
    """One host with its addresses, and its process while it runs.

    :param front: address of the proxy that callers connect to.
    :param front_bind: address at which the process listens for callers.
    :param peer: address of the proxy that other hosts connect to.
    :param peer_bind: address at which the process listens for other hosts.
    :param expected: whether the exit of the process is expected.
    :param misses: consecutive readiness polls without a 200.
    """

    name: str
    domain: str
    folder: pathlib.Path
    front: str
    front_bind: str
    ready: str
    peer: str
    peer_bind: str
    store: str
    seeds: tuple[str, ...] = ()
    weight: float = 1.0
    process: asyncio.subprocess.Process | None = None
    expected: bool = False
    misses: int = MAX_MISSED_POLLS
    incarnation: int = 0
    started_at: float = 0.0
    ends: list[str] = field(default_factory=list)

    @property
    def is_up(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    @property
    def settings_path(self) -> pathlib.Path:
        """Path of the settings file."""
        return self.folder / f"{self.name}.toml"

    def write_settings(self) -> None:
        """Write the settings file as the platform would."""
        text = SETTINGS.format(
            name=self.name,
            domain=self.domain,
            seeds=", ".join(f'"{seed}"' for seed in self.seeds),
            front=self.front_bind,
            ready=self.ready,
            peer=self.peer,
            peer_bind=self.peer_bind,
            weight=self.weight,
            store=self.store,
        )
        self.settings_path.write_text(text, encoding="utf-8")

    @property
    def log_path(self) -> pathlib.Path:
        """Path of the output of the latest process."""
        return self.folder / f"{self.name}-{self.incarnation}.log"

    async def start(self) -> None:
        """Start a new process with its own output file."""
        self.write_settings()
        self.incarnation += 1
        with self.log_path.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "host.py"),
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "EELGRASSYARD_SETTINGS": str(self.settings_path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )
        # Until now this flag applied to the exit of the previous process.
        self.process = process
        self.expected = False
        self.started_at = time.monotonic()
        self.misses = MAX_MISSED_POLLS

    async def leads(self) -> bool:
        """Tell whether the process answers that it leads its domain."""
        try:
            async with httpx.AsyncClient(
                trust_env=False, verify=False, timeout=STATE_TIMEOUT_S
            ) as client:
                state = (await client.get(f"http://{self.ready}/state")).json()
        except httpx.HTTPError:
            # A host that does not answer may be frozen, starting or ending.
            return False
        return bool(state["leader"] == self.name)

    def stopped_at(self) -> float:
        """Unix time of the "stop" line at the end of the latest log, or 0 if there is none."""
        lines = self.log_path.read_bytes().splitlines()
        last = json.loads(lines[-1]) if lines else {}
        return float(last["at"]) if last.get("event") == "stop" else 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.expected = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def stop(self) -> str:
        """Stop the process with SIGTERM; return what was wrong with its exit, or nothing."""
        process = self.process
        if process is None or process.returncode is not None:
            return ""
        self.expected = True
        sent_at = time.time()
        process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), GRACE_S + EXIT_MARGIN_S)
        except TimeoutError:
            # A stalled run sees the exit and the timeout at the same time, so the time in the
            # host's log decides.
            if process.returncode == 0 and 0.0 <= self.stopped_at() - sent_at <= GRACE_S:
                return ""
            state = _process_state(process.pid)
            if process.returncode is None:
                process.kill()
            await process.wait()
            stopped_at = self.stopped_at()
            log = (
                f"log ended {stopped_at - sent_at:.1f} s after it"
                if stopped_at
                else "no end of log"
            )
            waited_s = GRACE_S + EXIT_MARGIN_S
            return f"{self.name} was still running {waited_s} s after SIGTERM ({state}; {log})"
        # The signal also ends a process that does not serve yet; its output is empty then.
        is_new = code == -signal.SIGTERM and not self.log_path.stat().st_size
        return "" if code == 0 or is_new else f"{self.name} ended with {code} after SIGTERM"


def _process_state(pid: int) -> str:
    """State of a process in the kernel's words, such as "S (sleeping)", or why it is unknown."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    except OSError as error:
        return f"state unknown: {error.strerror}"
    return next((line for line in lines if line.startswith("State:")), "state unknown")


class Balancer:
    """Polls the readiness of hosts, and selects those for new connections of callers."""

    def __init__(self, *, hosts: list[HostProcess]) -> None:
        self._hosts = hosts

    async def run(self) -> None:
        """Poll until cancelled."""
        async with httpx.AsyncClient(trust_env=False, timeout=READY_POLL_S) as client:
            while True:
                await asyncio.gather(*(self._poll(client, host) for host in self._hosts))
                await asyncio.sleep(READY_POLL_S)

    async def _poll(self, client: httpx.AsyncClient, host: HostProcess) -> None:
        try:
            reply = await client.get(f"http://{host.ready}/api/ready")
            ready = reply.status_code == 200
        except httpx.HTTPError:
            # A failed poll counts like a status other than 200.
            ready = False
        host.misses = 0 if ready else host.misses + 1

    def candidates(self, domain: str) -> list[HostProcess]:
        """Return the hosts for new connections, by the platform's rules of rotation."""
        members = [host for host in self._hosts if host.domain == domain]
        ready = [host for host in members if host.misses < MAX_MISSED_POLLS]
        if ready:
            return ready if 2 * len(ready) >= len(members) else members
        others = [host for host in self._hosts if host.misses < MAX_MISSED_POLLS]
        return others or members

    def all_ready(self) -> bool:
        """Tell whether each host is in rotation."""
        return all(host.misses == 0 for host in self._hosts)
