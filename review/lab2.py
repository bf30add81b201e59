"""A small deployment on loopback for the scripts of cases 6 to 10.

Hosts are the processes of the deploy file. The store and the workers are the stand-ins of ``soak``;
clients are plain HTTP/1.1 connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from soak._store import StandinStore
from soak._worker import StandinWorker

from eelgrassyard.net import HttpServer

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
CONTACT_S = 3.0
READY_WAIT_S = 25.0
HOST_HEADER = "desk.example"
SERVICE = "desk"

SETTINGS = """\
node = "{name}"
role = "host"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "valley"
internal_port_range = [7720, 7735]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "call"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
remote_slowdown = 1.5
resend_ms = 1300
[platform]
address = "{store}"
form = "kv"
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The case could not be run, so it shows nothing."""


@dataclass(slots=True, kw_only=True)
class Work:
    """What the tasks of a job do.

    :param work_s: run time of a task on a worker of slowness 1, by step.
    """

    work_s: tuple[float, ...]
    cpu: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A run of a task that a worker has begun, as the worker sees it."""

    worker: str
    task: str
    number: int
    at: float


@dataclass(slots=True, kw_only=True)
class RunLog:
    """What the workers were told to run; takes the place of the ledger of ``soak``.

    :ivar alive: runs in progress, by task, run number and worker.
    :ivar twice: runs that began while another run of their task was in progress.
    """

    record: Callable[[str], None]
    work_by_job: dict[str, Work] = field(default_factory=dict)
    begun: list[Run] = field(default_factory=list)
    alive: dict[tuple[str, int, str], Run] = field(default_factory=dict)
    on_begin: Callable[[Run], None] | None = None
    twice: list[str] = field(default_factory=list)

    def work_of(self, task: str) -> tuple[float, int, bool]:
        """Return run time, CPU and whether the task always fails."""
        job, _, step, _ = task.rsplit(".", 3)
        work = self.work_by_job[job]
        return work.work_s[min(int(step), len(work.work_s) - 1)], work.cpu, False

    def run_began(self, worker: str, task: str, run: int, spec: str, *, draining: bool) -> None:
        """Record the start of a run."""
        begun = Run(worker=worker, task=task, number=run, at=time.monotonic())
        if self.on_begin is not None:
            self.on_begin(begun)
        others = [other for other in self.alive.values() if other.task == task]
        if others:
            text = f"{task} run {run} on {worker} beside {others}"
            self.twice.append(text)
            self.record(f"TWICE: {text}")
        self.begun.append(begun)
        self.alive[task, run, worker] = begun
        self.record(f"{worker} runs {task} run {run}" + (" while draining" if draining else ""))

    def run_over(self, worker: str, task: str, run: int, how: str) -> None:
        """Record the end of a run."""
        self.alive.pop((task, run, worker), None)
        self.record(f"{worker} ends {task} run {run}: {how}")

    def record_violation(self, promise: str, text: str) -> None:
        """Record what a worker itself finds odd."""
        self.record(f"{promise}: {text}")


def free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


@dataclass(slots=True, kw_only=True, eq=False)
class HostProcess:
    """A host process of the deploy file."""

    name: str
    zone: str
    ip: str
    front: str
    ready: str
    control: str
    folder: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    silent_sockets: list[socket.socket] = field(default_factory=list)

    async def start(self, *, store: str, seeds: list[str]) -> None:
        """Write the settings and start the process as the platform does."""
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                front=self.front,
                ready=self.ready,
                control=self.control,
                store=store,
            )
        )
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["host"]
        passed = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env={
                    **passed,
                    **role.get("env", {}),
                    "EELGRASSYARD_SETTINGS": str(settings),
                    # The platform puts this folder on Python's path (page on deployment).
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def remove(self) -> None:
        """Take the machine away for good: its process ends, and its addresses answer nothing."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        for address in (self.front, self.ready, self.control):
            # Without a listener an address refuses connections instead.
            with contextlib.suppress(OSError):
                self._silence(address)

    def _silence(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        listener = socket.socket()
        self.silent_sockets.append(listener)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(0)
        # A full queue drops further attempts, as a machine without power does.
        for _ in range(2):
            filler = socket.socket()
            self.silent_sockets.append(filler)
            filler.setblocking(False)
            filler.connect_ex((ip, int(port)))

    def log_lines(self, event: str) -> list[dict[str, object]]:
        """Lines of the log with an event."""
        lines = (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        found = []
        for line in lines:
            if f'"{event}"' in line:
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Answer to a request; status 0 means that the connection ended or stayed silent."""

    status: int
    body: bytes = b""


class Connection:
    """A client's connection to a host, kept open from request to request.

    :param address: front or ready address of the host.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the connection unless it is open."""
        if self._writer is None:
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        timeout_s: float = 1.5,
        deadline_ms: int | None = None,
    ) -> Reply:
        """Send a request, and wait for the answer or the timeout."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
        head += f"Content-Length: {len(body)}\r\nContent-Type: application/json\r\n"
        if deadline_ms is not None:
            head += f"X-Request-Deadline: {deadline_ms}\r\n"
        try:
            async with asyncio.timeout(timeout_s):
                await self.open()
                assert self._reader is not None and self._writer is not None
                self._writer.write(head.encode() + b"\r\n" + body)
                await self._writer.drain()
                return await self._read(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return Reply(status=0)

    async def _read(self, reader: asyncio.StreamReader) -> Reply:
        lines = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
        values = dict(line.split(b": ", 1) for line in lines[1:] if b": " in line)
        content = await reader.readexactly(int(values.get(b"content-length", b"0")))
        if values.get(b"connection") == b"close":
            self.close()
        return Reply(status=int(lines[0].split()[1]), body=content)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def request(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    timeout_s: float = 1.5,
    deadline_ms: int | None = None,
) -> Reply:
    """Send a request on a connection of its own."""
    connection = Connection(address)
    reply = await connection.request(
        method, path, body=body, timeout_s=timeout_s, deadline_ms=deadline_ms
    )
    connection.close()
    return reply


class Lab:
    """A deployment: one store, some workers and hosts, and an operator.

    :param record_path: file to which all that is seen is written.
    :param routes: routes of the first configuration, as rows of the platform's document.
    :param make_worker: makes a worker from the name, the zone and the run log.
    """

    def __init__(
        self,
        *,
        record_path: pathlib.Path,
        hosts_by_zone: dict[str, int],
        workers_by_zone: dict[str, int],
        routes: list[dict[str, object]],
        make_worker: Callable[[str, str, RunLog], StandinWorker] | None = None,
        enforces_capacity: bool = True,
    ) -> None:
        self._began = time.monotonic()
        self._record_file = record_path.open("w", buffering=1)
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0
        self._enforces_capacity = enforces_capacity
        self.routes = routes
        self.runs = RunLog(record=self.record)
        self.store = StandinStore()
        self.store_address = ""
        make = make_worker or self._make_worker
        self.workers = [
            make(f"{zone}-w{number}", zone, self.runs)
            for zone, count in workers_by_zone.items()
            for number in range(count)
        ]
        self._address_by_worker: dict[str, str] = {}
        self._number_by_zone: dict[str, int] = {}
        self.gone: list[HostProcess] = []
        self.hosts: list[HostProcess] = []
        for zone, count in hosts_by_zone.items():
            for _ in range(count):
                self.add_host(zone)

    def add_host(self, zone: str) -> HostProcess:
        """Add a machine to a zone, without starting its process."""
        number = self._number_by_zone[zone] = self._number_by_zone.get(zone, 0) + 1
        # An address of its own lets each host have the metrics port of the deploy file.
        block = len(self.hosts) + len(self.gone) + 1
        ip = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 250}.{block}"
        front, ready, control = (f"{ip}:{free_port(ip)}" for _ in range(3))
        host = HostProcess(
            name=f"front-{zone}-{number}",
            zone=zone,
            ip=ip,
            front=front,
            ready=ready,
            control=control,
            folder=self._folder,
        )
        self.hosts.append(host)
        return host

    def _make_worker(self, name: str, zone: str, runs: RunLog) -> StandinWorker:
        return new_worker(name, zone, runs)

    def record(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        self._record_file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    def configure(self) -> float:
        """Write the next configuration; return when the store had it."""
        self._version += 3
        document = {
            "version": self._version,
            "routes": self.routes,
            "services": [{"name": SERVICE, "enforces_capacity": self._enforces_capacity}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record(f"operator: version {self._version} with {[r['prefix'] for r in self.routes]}")
        return time.monotonic()

    def register(self, worker: StandinWorker) -> None:
        """Write a worker's entry."""
        entry = worker.entry(self._address_by_worker[worker.name])
        self.store.put(f"servers/{worker.id}", entry)

    async def _heartbeats(self) -> None:
        while True:
            for worker in self.workers:
                if worker.up:
                    self.register(worker)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, server: HttpServer) -> str:
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        await server.listen(address)
        self._servers.append(server)
        return address

    async def start(self) -> None:
        """Start all parts, and wait until each host is ready and the calm span is over."""
        self.configure()
        self.store_address = await self._serve(self.store.server)
        for worker in self.workers:
            worker.begin(new_id=True)
            self._address_by_worker[worker.name] = await self._serve(worker.server())
        self._tasks.append(asyncio.ensure_future(self._heartbeats()))
        self._tasks.append(asyncio.ensure_future(self.store.expire_leases()))
        for host in self.hosts:
            await self.start_host(host)
        limit = time.monotonic() + READY_WAIT_S
        while not all([await self.is_ready(host) for host in self.hosts]):
            if time.monotonic() > limit:
                raise CannotRunError("the hosts are not ready in time")
            await asyncio.sleep(0.2)
        self.record("all hosts are ready")
        await asyncio.sleep(CONTACT_S + 1.0)

    async def start_host(self, host: HostProcess) -> None:
        """Start a host process."""
        seeds = [h.control for h in self.hosts][:3]
        await host.start(store=self.store_address, seeds=seeds)

    async def is_ready(self, host: HostProcess) -> bool:
        """Ask a host whether it is ready."""
        return (await request(host.ready, "GET", "/api/ready", timeout_s=1.0)).status == 200

    async def leader(self, zone: str) -> HostProcess:
        """The host that leads a zone, by its own word."""
        for host in self.hosts:
            if host.zone == zone:
                reply = await request(host.ready, "GET", "/state", timeout_s=1.0)
                if reply.status == 200 and json.loads(reply.body)["role"] == "leading":
                    return host
        raise CannotRunError(f"no host leads {zone}")

    async def stop(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for host in [*self.gone, *self.hosts]:
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
        for host in [*self.gone, *self.hosts]:
            if host.process is not None:
                await host.process.wait()
        for server in self._servers:
            server.close()
        for host in self.gone:
            for silent in host.silent_sockets:
                silent.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


class Balancer:
    """Asks each host once a second whether it is ready; two misses take it out of rotation."""

    def __init__(self, *, lab: Lab, seed: int) -> None:
        self._lab = lab
        self._misses: dict[str, int] = {}
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            hosts = list(self._lab.hosts)
            answers = await asyncio.gather(*(self._lab.is_ready(host) for host in hosts))
            for host, ready in zip(hosts, answers, strict=True):
                self._misses[host.name] = 0 if ready else self._misses.get(host.name, 0) + 1
            await asyncio.sleep(1.0)

    def choose(self) -> HostProcess:
        """Choose the host of a new connection."""
        hosts = self._lab.hosts
        ready = [host for host in hosts if self._misses.get(host.name, 0) < 2]
        return self._random.choice(ready if 2 * len(ready) >= len(hosts) else hosts)


def new_worker(
    name: str,
    zone: str,
    runs: RunLog,
    *,
    slowness: float = 1.0,
    cpu: int = 64_000,
    kind: type[StandinWorker] = StandinWorker,
) -> StandinWorker:
    """Make a worker of 64 cores and 128 GB."""
    return kind(
        name=name,
        domain=zone,
        service=SERVICE,
        rack=f"{zone}-r1",
        cpu=cpu,
        memory_mb=131_072,
        ledger=runs,  # type: ignore[arg-type]
        random=random.Random(name),
        slowness=slowness,
    )


def route(prefix: str, *, timeout_ms: int = 1500, max_attempts: int = 3) -> dict[str, object]:
    """A route of the platform's configuration document."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST_HEADER,
        "prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": timeout_ms,
        "target_duration_ms": 60,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": max_attempts,
        "stretch": 1.6,
    }


def job_body(phases: list[dict[str, object]], *, spec: str) -> bytes:
    """The body of a POST for a job that needn't be stored."""
    text = {"spec": spec, "phases": phases, "best_effort": True}
    return json.dumps(text, separators=(",", ":")).encode()


@contextlib.asynccontextmanager
async def running(lab: Lab) -> AsyncIterator[Lab]:
    """Start a deployment, and end it on leaving."""
    try:
        await lab.start()
        yield lab
    finally:
        await lab.stop()


def main(case: Callable[[bool], Awaitable[bool]], *, limit_s: float = 110.0) -> None:
    """Run a case and exit: with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param case: gets whether the disruption is to happen; tells whether the rule was broken.
    """

    async def timed() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(os.environ.get("TROUBLE", "1") != "0")

    try:
        broken = asyncio.run(timed())
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(int(broken))
