"""Stand-ins and host processes of the third review's scripts; needs only the standard library.

The store and the workers follow the users' pages (PROTOCOL.md). The hosts are started with the
command of deploy/system.toml, each with its own loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICE = "desk"
HOST_HEADER = "desk.example"
PREFIX = "/jobs/"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000.0
STOP_S = 0.05
RESEND_S = 1.3
LONGEST_S = 110.0

SETTINGS = """\
node = "{name}"
role = "host"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "valley"
internal_port_range = [{low}, {high}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
orders = "call"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = {weight}
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
writes_per_s = 400
reads_per_s = 2000
history_s = 20
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The case could not be set up, so it shows nothing."""


@dataclass(slots=True, kw_only=True)
class Request:
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


Answer = tuple[int, dict[str, Any]] | None
Handler = Callable[[Request], Awaitable[Answer]]


class HttpStandin:
    """HTTP/1.1 server that can be cut off: requests and answers are then lost without a word."""

    def __init__(self, handler: Handler) -> None:
        self.address = ""
        self.is_cut = False
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Listen at an address; the port 0 stands for any free one."""
        self._server = await asyncio.start_server(self._serve, ip, port, limit=8_000_000)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if self.is_cut:
                    continue
                answer = await self._handler(request)
                if answer is None:
                    return
                if self.is_cut:
                    continue
                status, body = answer
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled only at the end of the case.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    raw = await reader.readexactly(size) if size else b""
    path, _, query = target.partition("?")
    return Request(
        method=method,
        path=path,
        query=dict(urllib.parse.parse_qsl(query)),
        headers=headers,
        body=json.loads(raw) if raw else {},
    )


# --- the platform's store ---


class Store:
    """Keys with revisions, watches and leases."""

    def __init__(self) -> None:
        self.http = HttpStandin(self._handle)
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 1000
        self._changed = asyncio.Event()

    def put(self, key: str, document: dict[str, Any]) -> None:
        """Write a key as the operator or a worker does."""
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created}
        item["lease"] = lease
        self.items[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def _record(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """End the leases that are due, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            for lease, (ends_at, _) in list(self._leases.items()):
                if time.monotonic() >= ends_at:
                    del self._leases[lease]
                    for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                        self.delete(key)

    async def _handle(self, request: Request) -> Answer:
        match request.method, request.path:
            case "GET", "/api/kv-range":
                return 200, self._range(request.query)
            case "GET", "/api/kv-watch":
                return 200, await self._watch(request.query)
            case "GET", "/api/kv-key":
                item = self.items.get(request.query["key"])
                return (200, {**item, "current_rev": self.revision}) if item else (404, {})
            case "POST", "/api/kv-txn":
                return self._transact(request.body)
            case "POST", "/api/kv-lease":
                ttl_s = request.body["ttl_ms"] / 1000.0
                self._last_lease += 1
                self._leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": self._last_lease, "ttl_ms": request.body["ttl_ms"]}
            case "POST", path if path.startswith("/api/kv-keep/"):
                lease = int(path.rpartition("/")[2])
                if lease not in self._leases:
                    return 404, {}
                ttl_s = self._leases[lease][1]
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttl_ms": int(ttl_s * 1000)}
        return 400, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(query["prefix"]) and k > after]
        page = [self.items[key] for key in keys[:500]]
        return {"items": page, "truncated": len(keys) > 500, "current_rev": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after, prefix = int(query["after"]), query["prefix"]
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while True:
            events = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0.0:
                return {"events": events, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body: dict[str, Any]) -> Answer:
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": []}
        if any(row.get("lease") and row["lease"] not in self._leases for row in body["puts"]):
            return 404, {}
        for row in body["puts"]:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


# --- workers ---


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """A run of a task on a worker."""

    task: str
    number: int
    worker: str
    began: float
    work_s: float
    ended: float | None = None
    how: str = ""
    timer: asyncio.TimerHandle | None = None


class Worker:
    """A worker (runner) with one lease and one fence for all of its runs."""

    def __init__(self, *, lab: Lab, name: str, zone: str, kind: str, rack: str, cpu: int) -> None:
        self.lab = lab
        self.id = name
        self.zone = zone
        self.kind = kind
        self.rack = rack
        self.cpu = cpu
        self.checks_capacity = True
        self.http = HttpStandin(self._handle)
        self.state = "ready"
        self.is_up = False
        self.running: dict[str, Run] = {}
        self.deadline_ms = 0.0
        self._ip = ""
        self._port = 0
        self._is_later_life = False
        self.polled_at = 0.0

    async def start(self, ip: str) -> None:
        """Start the first life."""
        await self.http.listen(ip, self._port)
        self._ip, _, port = self.http.address.rpartition(":")
        self._port = int(port)
        self._begin()

    def _begin(self) -> None:
        self.born = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        # The clock of a life starts with it; the first lives began before the case.
        self._clock_offset_ms = 0.0 if self._is_later_life else random.uniform(1e5, 1e6)
        self._is_later_life = True
        self._fence = self._last_end = self._seq = 0
        self.deadline_ms = 0.0
        self._lapse_timer: asyncio.TimerHandle | None = None
        self.running = {}
        self._highest: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        self._end_listed = asyncio.Event()
        self.is_up = True
        self.register()

    async def crash(self) -> None:
        """End the process; all that runs on it ends."""
        self.is_up = False
        await self.http.close()
        for run in list(self.running.values()):
            self._close_run(run, "crashed")
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()

    async def restart(self, *, kind: str) -> None:
        """Start again under the same id at the same address. The entry is written first."""
        self.kind = kind
        self._begin()
        await self.http.listen(self._ip, self._port)

    def clock_ms(self) -> float:
        """The worker's steady clock."""
        return self._clock_offset_ms + (time.monotonic() - self._clock_zero) * 1000.0

    def register(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        entry = {
            "service": SERVICE,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
            "labels": [self.kind, self.rack],
            "clock_ms": int(self.clock_ms()),
            "born": self.born,
            "seq": self._seq,
        }
        self.lab.store.put(f"servers/{self.id}", entry)

    async def _handle(self, request: Request) -> Answer:
        body, base = request.body, {"born": self.born}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": int(self.clock_ms()), **base}
        if body.get("fence", 0) < self._fence:
            return 409, {"clock_ms": int(self.clock_ms()), "reason": "fence", **base}
        self._fence = body.get("fence", 0)
        match request.path:
            case "/api/run-start":
                reason = self._start(body)
            case "/api/run-stop":
                reason = self._stop(body)
            case "/api/hold":
                return await self._hold(body)
            case _:
                return 400, {}
        answer = {"clock_ms": int(self.clock_ms()), **base}
        return (409, {**answer, "reason": reason}) if reason else (200, answer)

    def _renew(self, deadline_ms: float) -> None:
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        left_s = max(0.0, (self.deadline_ms - self.clock_ms()) / 1000.0)
        self._lapse_timer = asyncio.get_running_loop().call_later(left_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, "lapsed")

    def _start(self, body: dict[str, Any]) -> str:
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            self._renew(body["deadline_ms"])
            return ""
        if body["deadline_ms"] <= self.clock_ms():
            return "late"
        self._renew(body["deadline_ms"])
        if number <= self._highest.get(task, 0):
            return "old"
        job = self.lab.job_by_id.get(task.partition(".")[0])
        used = sum(self.lab.cpu_of(run.task) for run in self.running.values())
        is_over = used + self.lab.cpu_of(task) > self.cpu
        if known is not None or (is_over and self.checks_capacity):
            return "room"
        work_s = job.work_s if job is not None else 0.1
        run = Run(task=task, number=number, worker=self.id, began=time.monotonic(), work_s=work_s)
        self.running[task] = run
        self.lab.began(run, self)
        run.timer = asyncio.get_running_loop().call_later(work_s, self._end, run, "done")
        return ""

    def _stop(self, body: dict[str, Any]) -> str:
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            delay_s = random.uniform(0.2, 0.8) * STOP_S
            asyncio.get_running_loop().call_later(delay_s, self._end, run, "stopped")
        self._highest[task] = max(number, self._highest.get(task, 0))
        return ""

    def _close_run(self, run: Run, how: str) -> None:
        self.running.pop(run.task, None)
        if run.timer is not None:
            run.timer.cancel()
        run.ended, run.how = time.monotonic(), how
        self.lab.ended(run)

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        self._close_run(run, how)
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._last_end += 1
        self._finished.append([self._last_end, run.task, run.number, how, ""])
        self._end_listed.set()
        self._end_listed = asyncio.Event()

    async def _hold(self, body: dict[str, Any]) -> Answer:
        self.polled_at = time.monotonic()
        self._finished = [row for row in self._finished if row[0] > body["acked_up_to"]]
        if body.get("deadline_ms") is not None:
            self._renew(body["deadline_ms"])
        if not self._finished and body.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._end_listed.wait(), body["wait_ms"] / 1000.0)
        running = []
        for run in self.running.values():
            percent = int(100 * min(1.0, (time.monotonic() - run.began) / run.work_s))
            running.append([run.task, run.number, "", percent, self.lab.cpu_of(run.task)])
        answer = {"clock_ms": int(self.clock_ms()), "born": self.born, "running": running}
        return 200, {**answer, "finished": self._finished[:500]}


# --- host processes ---


class HostProcess:
    """One host, started with the command of the deploy file."""

    def __init__(self, *, lab: Lab, name: str, zone: str, ip: str, weight: float) -> None:
        self.lab = lab
        self.name = name
        self.zone = zone
        self.ip = ip
        self.weight = weight
        self.front, self.ready, self.control = (f"{ip}:{port}" for port in lab.ports)
        self.process: asyncio.subprocess.Process | None = None
        self.leads_since = 0.0
        self.exits: list[int] = []

    async def start(self) -> None:
        """Write the settings, and start the process."""
        path = self.lab.folder / f"{self.name}.toml"
        seeds = ", ".join(f'"{host.control}"' for host in self.lab.hosts[:3])
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            low=self.lab.ports[2] + 1,
            high=self.lab.ports[2] + 16,
            seeds=seeds,
            front=self.front,
            ready=self.ready,
            control=self.control,
            weight=self.weight,
            store=self.lab.store.http.address,
        )
        path.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["host"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {**kept, **role.get("env", {}), "EELGRASSYARD_SETTINGS": str(path)}
        # The platform has this folder on Python's path (DEPLOY.md).
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=8_000_000,
        )
        self.lab.tasks.append(asyncio.create_task(self._read_log(self.process)))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        with (self.lab.folder / f"{self.name}.log").open("ab") as log:
            async for line in process.stdout:
                log.write(line)
                log.flush()
                if b'"leads"' in line:
                    self.leads_since = time.monotonic()
        self.exits.append(await process.wait())

    @property
    def is_up(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the host reports itself ready."""
        status, _ = await call(self.ready, "GET", "/api/ready", timeout_s=1.0)
        return status == 200


# --- clients ---


async def call(
    address: str,
    method: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> tuple[int | str, bytes]:
    """Make one call on a connection of its own.

    :returns: the status and the body, or ``broken`` or ``silent``.
    """
    try:
        return await asyncio.wait_for(_call(address, method, path, body, headers or {}), timeout_s)
    except TimeoutError:
        return "silent", b""
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return "broken", b""


async def _call(
    address: str, method: str, path: str, body: Any, headers: dict[str, str]
) -> tuple[int, bytes]:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = {"Host": HOST_HEADER, "Content-Type": "application/json", **headers}
        lines["Content-Length"] = str(len(data))
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in lines.items())
        writer.write(head.encode() + b"\r\n" + data)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        sizes = [line.partition(":")[2] for line in answer if line.lower().startswith("content-l")]
        content = await reader.readexactly(int(sizes[0])) if sizes else b""
        return int(answer[0].split(" ")[1]), content
    finally:
        writer.transport.abort()


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A job that a client sends.

    :param work_s: run time of each task on a worker.
    """

    id: str
    phases: list[dict[str, Any]]
    work_s: float
    cpu: int
    answers: list[int | str] = field(default_factory=list)


# --- the site ---


class Lab:
    """One site: a store, workers, hosts, clients, and a record of what they have seen."""

    def __init__(self, case: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="eelgrassyard-review-"))
        self._record = (pathlib.Path(case).resolve().parent / "record.txt").open("w")
        self._began_at = time.monotonic()
        self.store = Store()
        self.hosts: list[HostProcess] = []
        self.workers: list[Worker] = []
        self.runs: list[Run] = []
        self.kind_by_run: dict[Run, str] = {}
        self.job_by_id: dict[str, Job] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.ports = (0, 0, 0)
        self._net = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}"
        self._version = 0

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        self._record.write(f"{time.monotonic() - self._began_at:8.3f}  {text}\n")
        self._record.flush()

    def cpu_of(self, task: str) -> int:
        """Thousandths of a core that a task takes."""
        job = self.job_by_id.get(task.partition(".")[0])
        return job.cpu if job is not None else 1000

    def began(self, run: Run, worker: Worker) -> None:
        """Record the start of a run."""
        self.runs.append(run)
        self.kind_by_run[run] = worker.kind
        self.note(f"{worker.id} ({worker.kind}) runs {run.task} run {run.number}")

    def ended(self, run: Run) -> None:
        """Record the end of a run."""
        self.note(f"{run.worker} ends {run.task} run {run.number}: {run.how}")

    def configure(self, *, timeout_ms: int, enforces_capacity: bool = True) -> None:
        """Write the next configuration, with one queue."""
        self._version += 3
        route = {
            "name": "r-jobs",
            "host": HOST_HEADER,
            "prefix": PREFIX,
            "kind": "unsafe",
            "timeout_ms": timeout_ms,
            "target_duration_ms": 60,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 3,
            "stretch": 1.6,
        }
        service = {"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1"}
        service["enforces_capacity"] = enforces_capacity
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        document = {"version": self._version, "routes": [route], "services": [service]}
        self.store.put("op/config", {**document, "limits": limits})

    async def start(
        self,
        *,
        hosts: dict[str, int],
        workers: list[tuple[str, str]],
        cpu_by_kind: dict[str, int] | None = None,
    ) -> None:
        """Start the site, and wait until all hosts are ready.

        :param hosts: number of hosts by zone.
        :param workers: zone and kind of each worker.
        :param cpu_by_kind: thousandths of a core; 64 cores if left out.
        """
        await self.store.http.listen(f"{self._net}.1", 0)
        self.tasks.append(asyncio.create_task(self.store.expire_leases()))
        zones = list(hosts)
        for number, (zone, kind) in enumerate(workers):
            name = f"i-{zone}-{number:02}"
            rack = f"r{zones.index(zone)}-{number // 8}"
            cpu = (cpu_by_kind or {}).get(kind, 64_000)
            worker = Worker(lab=self, name=name, zone=zone, kind=kind, rack=rack, cpu=cpu)
            self.workers.append(worker)
            await worker.start(f"{self._net}.{100 + number}")
        self.tasks.append(asyncio.create_task(self._renew_entries()))
        self.ports = _free_ports(f"{self._net}.2")
        number = 2
        for zone, count in hosts.items():
            for index in range(count):
                name = f"front-{zone}-{index + 1}"
                ip = f"{self._net}.{number}"
                weight = 0.6 - 0.01 * index
                self.hosts.append(HostProcess(lab=self, name=name, zone=zone, ip=ip, weight=weight))
                number += 1
        for host in self.hosts:
            await host.start()
        await self.until_ready(self.hosts)
        self.note("all hosts are ready")

    async def until_ready(self, hosts: list[HostProcess], *, within_s: float = 20.0) -> None:
        """Wait until hosts are ready."""
        give_up_at = time.monotonic() + within_s
        while not all(await asyncio.gather(*(host.is_ready() for host in hosts))):
            if time.monotonic() > give_up_at:
                raise CannotRunError("the hosts are not ready")
            await asyncio.sleep(0.1)

    async def _renew_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers:
                if worker.is_up and not worker.http.is_cut:
                    worker.register()

    def leader(self, zone: str) -> HostProcess:
        """The host of a zone that took the lead last, by its log lines."""
        hosts = [h for h in self.hosts if h.zone == zone and h.is_up and h.leads_since]
        if not hosts:
            raise CannotRunError(f"no host leads {zone}")
        return max(hosts, key=lambda host: host.leads_since)

    def new_job(
        self, *, work_s: float, tasks: int = 1, steps: int = 1, cpu: int = 27_000, label: str = ""
    ) -> Job:
        """Make a job whose caller waits; its steps follow each other."""
        phases: list[dict[str, Any]] = []
        for step in range(steps):
            phase: dict[str, Any] = {"count": tasks, "cpu": cpu, "mem_mb": 64}
            phase["estimate_ms"] = int(work_s * 1000)
            if step:
                phase["after"] = [step - 1]
            if label:
                phase["requirements"] = label
            phases.append(phase)
        job = Job(id=f"{random.getrandbits(64):016x}", phases=phases, work_s=work_s, cpu=cpu)
        self.job_by_id[job.id] = job
        return job

    async def submit(self, host: HostProcess, job: Job, *, deadline_s: float) -> int | str:
        """Send a job once, and wait for the answer."""
        self.note(f"client sends {job.id} to {host.name}")
        body = {"spec": f"job {job.id}", "phases": job.phases, "best_effort": True}
        status, content = await call(
            host.front,
            "POST",
            PREFIX + job.id,
            body=body,
            headers={"X-Request-Deadline": str(int(deadline_s * 1000))},
            timeout_s=deadline_s,
        )
        answer = f"{status} {content.decode()}".strip()
        self.note(f"client gets {answer} for {job.id} from {host.name}")
        job.answers.append(status)
        return status

    async def stop(self) -> None:
        """End all processes."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        for task in self.tasks:
            task.cancel()
        for worker in self.workers:
            await worker.http.close()
        await self.store.http.close()


def _free_ports(ip: str) -> tuple[int, int, int]:
    """Ports that are free at an address, above which 16 more are left for the hosts."""
    for _ in range(50):
        first = random.randrange(20_000, 30_000)
        try:
            for port in range(first, first + 3):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return first, first + 1, first + 2
    raise CannotRunError("no free ports")


def overlaps(runs: list[Run]) -> list[str]:
    """Pairs of runs of one task that were in progress at the same time."""
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for task, several in by_task.items():
        several.sort(key=lambda run: run.began)
        for earlier, later in itertools.pairwise(several):
            ended = earlier.ended if earlier.ended is not None else float("inf")
            if later.began < ended:
                found.append(
                    f"{task}: run {later.number} on {later.worker} began "
                    f"{(ended - later.began) * 1000:.0f} ms before the end of run "
                    f"{earlier.number} on {earlier.worker} ({earlier.how})"
                )
    return found


def main(case: str, play: Callable[[Lab], Awaitable[list[str]]]) -> None:
    """Play a case, and exit with 1 if a rule was broken, 0 if it held, 2 if it could not run.

    :param play: returns the violations that it has seen.
    """

    async def run() -> int:
        lab = Lab(case)
        try:
            found = await asyncio.wait_for(play(lab), LONGEST_S)
        except Exception as error:
            lab.note(f"the case could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await lab.stop()
            if os.environ.get("KEEP"):
                print(lab.folder)
            else:
                for path in lab.folder.iterdir():
                    path.unlink()
                lab.folder.rmdir()
        for text in found:
            lab.note(f"BROKEN: {text}")
            print(f"broken: {text}")
        print(f"{len(found)} violations")
        return 1 if found else 0

    sys.exit(asyncio.run(run()))
