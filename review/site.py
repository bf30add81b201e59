"""A small site on loopback: host processes as the deploy file starts them, and stand-ins."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import tempfile
import tomllib
from dataclasses import dataclass

from soak._proxy import Network, Proxy
from soak._store import StandinStore
from soak._worker import StandinWorker

from eelgrassyard.net import HttpServer

from .record import Job, Record

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "ruling-desk"
ROUTE_HOST = "nony24.example"
PREFIX = "/lohu930/"
HEARTBEAT_S = 1.5
READY_WITHIN_S = 25.0
CONTACT_S = 3.0
"""``contact_ms`` of a small deployment."""
GRACE_S = 6.0
_ports = itertools.count(20_000)

SETTINGS = """\
node = "{name}"
role = "host"
machine_class = "front"
serves = ["front", "control"]
ip = "127.0.0.1"
zone = "{zone}"
region = "kathmandu-valley"
seeds = [{seeds}]
bootstrap = true
heartbeat_ms = 1500
orders = "call"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
control_bind = "{control_bind}"
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
loss_slack_ms = 200
config_apply_ms = 2000
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
remote_slowdown = 1.5
resend_ms = 1300
[platform]
address = "{store}"
ttl_min_ms = 1000
"""


def free_address() -> str:
    """An unused address on loopback.

    Each run of a script has an IP address of its own, and ports below those that the system gives
    to outgoing connections, so that nothing else takes a port before its process listens there.
    """
    pid = os.getpid()
    ip = f"127.{100 + (pid >> 16) % 100}.{(pid >> 8) % 256}.{pid % 256}"
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return f"{ip}:{port}"


@dataclass(slots=True, kw_only=True, eq=False)
class Host:
    """One machine of the system, with its process while it runs.

    :param control: address that other hosts connect to; a proxy forwards it to ``control_bind``.
    """

    name: str
    zone: str
    front: str
    ready: str
    control: str
    control_bind: str
    process: asyncio.subprocess.Process | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Site:
    """Store, runners, proxies between hosts, and host processes.

    :param hosts_by_zone: number of hosts in each zone.
    :param timeout_ms: timeout of the route in the first configuration.
    """

    def __init__(
        self, *, record: Record, hosts_by_zone: dict[str, int], timeout_ms: int = 1500
    ) -> None:
        self.record = record
        self.network = Network()
        self.store = StandinStore()
        self.workers: list[StandinWorker] = []
        self.hosts = [
            Host(
                name=f"front-{zone}-{number + 1}",
                zone=zone,
                front=free_address(),
                ready=free_address(),
                control=free_address(),
                control_bind=free_address(),
            )
            for zone, count in hosts_by_zone.items()
            for number in range(count)
        ]
        self.host_by_name = {host.name: host for host in self.hosts}
        self._timeout_ms = timeout_ms
        self._version = 0
        self._address_by_worker: dict[str, str] = {}
        self._servers: list[HttpServer] = []
        self._store_address = free_address()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: list[asyncio.Task[None]] = []

    def add_worker(
        self, *, name: str, zone: str, rack: str = "r1", cpu: int = 64_000, slowness: float = 1.0
    ) -> StandinWorker:
        """Add a runner; call it before :meth:`start`."""
        worker = StandinWorker(
            name=name,
            domain=zone,
            service=SERVICE,
            rack=rack,
            cpu=cpu,
            memory_mb=131_072,
            ledger=self.record,  # type: ignore[arg-type]
            random=random.Random(len(self.workers)),
            slowness=slowness,
        )
        self.workers.append(worker)
        return worker

    async def start(self) -> None:
        """Start everything, and wait until all hosts are ready."""
        self.configure()
        await self._serve(self.store.server, self._store_address)
        for worker in self.workers:
            worker.begin(new_id=True)
            self._address_by_worker[worker.name] = free_address()
            await self._serve(worker.server(), self._address_by_worker[worker.name])
            self._register(worker)
        for host in self.hosts:
            proxy = Proxy(
                network=self.network,
                source="",
                target=host.name,
                address=host.control_bind,
                identify=self._identify,
            )
            await proxy.listen(host.control)
        self._tasks = [
            asyncio.ensure_future(self.store.expire_leases()),
            asyncio.ensure_future(self._heartbeat()),
        ]
        await asyncio.gather(*(self.start_host(host) for host in self.hosts))
        await self.until_ready()
        self.record.write("all hosts are ready")

    async def _serve(self, server: HttpServer, address: str) -> None:
        await server.listen(address)
        self._servers.append(server)

    def _identify(self, first: bytes) -> str:
        return next((name for name in self.host_by_name if name.encode() in first), "")

    def _register(self, worker: StandinWorker) -> None:
        self.store.put(f"servers/{worker.id}", worker.entry(self._address_by_worker[worker.name]))

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.up:
                    self._register(worker)

    def configure(self) -> None:
        """Write the next configuration."""
        self._version += 3
        document = {
            "version": self._version,
            "routes": [
                {
                    "name": "r-3hwrr6x",
                    "host": ROUTE_HOST,
                    "prefix": PREFIX,
                    "kind": "unsafe",
                    "timeout_ms": self._timeout_ms,
                    "target_duration_ms": 60,
                    "priority": 0,
                    "service": SERVICE,
                    "max_attempts": 3,
                    "stretch": 1.6,
                }
            ],
            "services": [
                {"name": SERVICE, "max_conns": 64, "enforces_capacity": True, "standby": False}
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def start_host(self, host: Host) -> None:
        """Start a host with the command of the deploy file."""
        seeds = ", ".join(f'"{other.control}"' for other in self.hosts[:3])
        path = self._folder / f"{host.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=host.name,
                zone=host.zone,
                seeds=seeds,
                front=host.front,
                ready=host.ready,
                control=host.control,
                control_bind=host.control_bind,
                store=self._store_address,
            ),
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        (role,) = deploy["roles"].values()
        with (self._folder / f"{host.name}.log").open("ab") as output:
            host.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "EELGRASSYARD_SETTINGS": str(path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )

    async def until_ready(self) -> None:
        """Wait until all hosts are ready."""
        await asyncio.wait_for(self._poll_readiness(), READY_WITHIN_S)

    async def _poll_readiness(self) -> None:
        for host in self.hosts:
            while (await self.status(host, "/api/ready"))[0] != 200:
                await asyncio.sleep(0.1)

    async def status(self, host: Host, path: str) -> tuple[int, bytes]:
        """Call the ready address of a host; status 0 if it does not answer."""
        try:
            return await asyncio.wait_for(_get(host.ready, path), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b""

    async def leader_of(self, zone: str) -> Host:
        """The host that its zone's hosts name as leader, once they agree."""
        members = [host for host in self.hosts if host.zone == zone]
        while True:
            names = set()
            for host in members:
                status, body = await self.status(host, "/state")
                names.add(json.loads(body)["leader"] if status == 200 else "")
            if len(names) == 1 and (name := names.pop()):
                return self.host_by_name[name]
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes and stand-ins that were started.

        The variable ``KEEP_LOGS`` names a folder that keeps the settings and logs of the hosts.
        """
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        for server in self._servers:
            server.close()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder)


async def _get(address: str, path: str) -> tuple[int, bytes]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one response: its status and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ", 2)[1])
    lengths = [
        int(line.partition(":")[2])
        for line in head.split("\r\n")
        if line.lower().startswith("content-length:")
    ]
    return status, await reader.readexactly(lengths[0] if lengths else 0)


@dataclass(slots=True, kw_only=True)
class Answer:
    """How an attempt of a client ended.

    :param status: 0 if the connection ended without a complete answer, or none came in time.
    """

    status: int
    body: bytes
    sent_at: float
    ended_at: float
    reason: str = ""


class Client:
    """A client with one connection to a host, which it keeps open."""

    def __init__(self, *, site: Site, host: Host, name: str) -> None:
        self._record = site.record
        self._host = host
        self._name = name
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        address, _, port = self._host.front.rpartition(":")
        self._streams = await asyncio.open_connection(address, int(port))

    async def submit(self, job: Job, *, waits_s: float) -> Answer:
        """Send a job, and wait for the answer for as long as the deadline header says."""
        self._record.job_by_id[job.id] = job
        return await self.call("POST", job.id, json.dumps(job.body()).encode(), waits_s=waits_s)

    async def call(self, method: str, job_id: str, body: bytes, *, waits_s: float) -> Answer:
        """Send a request about a job."""
        if self._streams is None:
            await self.connect()
        assert self._streams is not None
        reader, writer = self._streams
        sent_at = self._record.now()
        what = f"{method} {job_id}"
        self._record.write(f"client {self._name} sends {what} to {self._host.name}")
        head = (
            f"{method} {PREFIX}{job_id} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"X-Request-Deadline: {int(waits_s * 1000)}\r\n\r\n"
        )
        status, reply, reason = 0, b"", ""
        try:
            writer.write(head.encode() + body)
            status, reply = await asyncio.wait_for(read_response(reader), waits_s + 0.2)
        except TimeoutError:
            reason = "no answer in time"
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            reason = "the connection ended without a complete answer"
            self.close()
        shown = f"{status} {reply.decode()}" if status else reason
        self._record.write(f"client {self._name} gets for {what}: {shown}")
        return Answer(
            status=status,
            body=reply,
            sent_at=sent_at,
            ended_at=self._record.now(),
            reason=reason,
        )

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
