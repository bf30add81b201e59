"""Real host processes that read odd values of other writers from the platform's store."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import httpx
import pytest
from soak._hosts import HostProcess, free_addresses
from soak._ledger import JobEntry, Ledger
from soak._store import StandinStore
from soak._worker import StandinWorker

from eelgrassyard.net import HttpServer
from odd_values import (
    ODD_CONFIGS,
    ODD_HOST_ENTRIES,
    ODD_ITEMS,
    PREFIX,
    ROUTE_HOST,
    SERVICE,
    WORKER_ENTRIES_BY_CASE,
    config,
)

DOMAINS = ("d0", "d1")
CAP_S = 20.0
"""Longest wait for a condition. Each holds within a few seconds on an idle machine."""

CALL_TIMEOUT_S = 5.0
POLL_S = 0.05


def last_error(host: HostProcess) -> str:
    """Return the last line of a host's output that names an error."""
    lines = host.log_path.read_bytes().decode().splitlines()
    return next((line.strip(" |")[:200] for line in reversed(lines) if "Error" in line), "")


class RunLedger(Ledger):
    """Ledger that also lists the workers on which runs began."""

    def __init__(self) -> None:
        super().__init__(timed=False)
        self.used_workers: list[str] = []

    def run_began(self, worker: str, task: str, run: int, spec: str, *, draining: bool) -> None:
        """Record the start of a run on a worker."""
        self.used_workers.append(worker)
        super().run_began(worker, task, run, spec, draining=draining)


class Site:
    """A store, workers, and two host processes in each of two failure domains."""

    def __init__(self, *, folder: Path, client: httpx.AsyncClient) -> None:
        self.store = StandinStore()
        self.store.put("op/config", config(7))
        self.ledger = RunLedger()
        self.hosts: list[HostProcess] = []
        self._folder = folder
        self._client = client
        self._servers: list[HttpServer] = []
        self._store_address = free_addresses(1)[0]
        self._jobs = 0

    async def serve(self, server: HttpServer, address: str) -> None:
        """Serve a stand-in until the test ends."""
        await server.listen(address)
        self._servers.append(server)

    async def start(self) -> None:
        """Start the store, a worker in each domain and the hosts, and wait until they are ready."""
        await self.serve(self.store.server, self._store_address)
        for domain in DOMAINS:
            await self.add_worker(f"{domain}-w0", domain)
        for name in ("d0-h0", "d0-h1", "d1-h0", "d1-h1"):
            self.add_host(name)
        await asyncio.gather(*(host.start() for host in self.hosts))
        await self.until(self.all_ready)

    def add_host(self, name: str) -> HostProcess:
        """Add a host, which is not started yet."""
        front, ready, peer = free_addresses(3)
        host = HostProcess(
            name=name,
            domain=name.partition("-")[0],
            folder=self._folder,
            front=front,
            front_bind=front,
            ready=ready,
            peer=peer,
            peer_bind=peer,
            store=self._store_address,
            seeds=tuple(host.peer for host in self.hosts[:3]),
        )
        self.hosts.append(host)
        return host

    async def add_worker(self, name: str, domain: str) -> StandinWorker:
        """Add a worker and its entry."""
        worker = StandinWorker(
            name=name,
            domain=domain,
            service=SERVICE,
            rack="r1",
            cpu=64_000,
            memory_mb=131_072,
            ledger=self.ledger,
            random=random.Random(0),
        )
        worker.begin(new_id=True)
        address = free_addresses(1)[0]
        await self.serve(worker.server(), address)
        self.store.put(f"servers/{worker.id}", worker.entry(address))
        return worker

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(*(host.kill() for host in self.hosts))
        for server in self._servers:
            server.close()

    # --- conditions ---

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait for a condition; fail if a process has ended."""
        async with asyncio.timeout(CAP_S):
            while not await condition():
                self.check_processes()
                await asyncio.sleep(POLL_S)
        self.check_processes()

    def check_processes(self) -> None:
        """Fail if a process has ended."""
        ended = [
            f"{host.name} ended with code {host.process.returncode}: {last_error(host)}"
            for host in self.hosts
            if host.process is not None and not host.is_up
        ]
        assert not ended, "; ".join(ended)

    async def all_ready(self) -> bool:
        """Tell whether all hosts are ready."""
        return all([await self._is_ready(host) for host in self.hosts])

    async def _is_ready(self, host: HostProcess) -> bool:
        try:
            return (await self._client.get(f"http://{host.ready}/api/ready")).status_code == 200
        except httpx.HTTPError:
            return False

    async def leaders(self) -> list[HostProcess]:
        """Return the hosts that lead their domains."""
        leaders = set()
        for host in self.hosts:
            state = (await self._client.get(f"http://{host.ready}/state")).json()
            leaders.add(state["leader"])
        return [host for host in self.hosts if host.name in leaders]

    def lines(self, host: HostProcess, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        found = []
        for line in host.log_path.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [line for line in found if line["event"] == event]

    async def until_logged(
        self, hosts: list[HostProcess], event: str, field: str, values: set[str]
    ) -> None:
        """Wait until each host has logged an event with each value of a field."""

        async def is_logged() -> bool:
            return all(
                values <= {str(line[field]) for line in self.lines(host, event)} for host in hosts
            )

        try:
            await self.until(is_logged)
        except TimeoutError:
            missing = {
                host.name: values - {str(line[field]) for line in self.lines(host, event)}
                for host in hosts
            }
            pytest.fail(f"{event} is not logged for {missing}")

    # --- jobs ---

    async def serves(self, host: HostProcess) -> bool:
        """Tell whether a host serves a job."""
        self._jobs += 1
        job = JobEntry(
            id=f"{self._jobs:016x}",
            spec="text",
            counts=(2,),
            work_s=(0.01,),
            cpu=1000,
            max_attempts=3,
        )
        self.ledger.job_by_id[job.id] = job
        body = {
            "spec": "text",
            "best_effort": True,
            "phases": [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 10}],
        }
        response = await self._client.post(
            f"http://{host.front}{PREFIX}{job.id}", json=body, headers={"Host": ROUTE_HOST}
        )
        return response.status_code == 200 and response.json() == {"state": "completed"}

    async def until_moved(self) -> None:
        """Drain the workers, add others, and wait until jobs run on the others only."""
        for domain in DOMAINS:
            await self.add_worker(f"{domain}-w1", domain)
        for key in ("servers/d0-w0-1", "servers/d1-w0-1"):
            entry = json.loads(base64.b64decode(self.store.items[key]["value"]))
            self.store.put(key, json.dumps({**entry, "state": "draining"}).encode())

        async def all_moved() -> bool:
            await self.until_served()
            return set(self.ledger.used_workers[-8:]) <= {"d0-w1", "d1-w1"}

        await self.until(all_moved)

    async def until_served(self) -> None:
        """Wait until each host has served a job after this call."""
        for host in self.hosts:
            await self.until(lambda host=host: self.serves(host))  # type: ignore[misc]


@contextlib.asynccontextmanager
async def running_site(folder: Path) -> AsyncIterator[Site]:
    """Run a site, and check afterwards that no promise was broken."""
    async with httpx.AsyncClient(trust_env=False, timeout=CALL_TIMEOUT_S) as client:
        site = Site(folder=folder, client=client)
        try:
            await site.start()
            yield site
        finally:
            await site.stop()
    assert site.ledger.violations == []


@pytest.mark.parametrize("case", list(WORKER_ENTRIES_BY_CASE))
def test_odd_worker_entries_end_no_process_and_hide_no_worker(tmp_path: Path, case: str) -> None:
    """Guards against processes that end, or follow the workers no more, after another writer has
    left odd entries among those of the workers."""
    entries = WORKER_ENTRIES_BY_CASE[case]

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            leaders = await site.leaders()
            for name, value in entries.items():
                site.store.put(f"servers/a-{name}", value)
            await site.until_logged(
                leaders, "worker_entry_ignored", "worker", {f"a-{name}" for name in entries}
            )
            await site.until_moved()

    asyncio.run(scenario())


def test_items_that_cannot_be_read_hide_no_worker(tmp_path: Path) -> None:
    """Guards against hosts that follow the workers no more, since one item of a page or of the
    changes can't be read: each answer with it was refused as a whole."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            leaders = await site.leaders()
            for number, fields in enumerate(ODD_ITEMS):
                site.store.revision += 1
                item = {"key": f"servers/a-{number}", "revision": site.store.revision, **fields}
                site.store.items[str(item["key"])] = item
                site.store.events.append(item)
            await site.until_moved()
            keys = {f"servers/a-{number}" for number in range(len(ODD_ITEMS))}
            await site.until_logged(leaders, "store_item_ignored", "key", keys)

    asyncio.run(scenario())


def test_odd_configurations_end_no_process_and_leave_the_last_one_in_force(tmp_path: Path) -> None:
    """Guards against processes that end, use a part of an invalid configuration, or read no more
    configurations after an invalid one."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for number, value in enumerate(ODD_CONFIGS.values(), start=1):
                site.store.put("op/config", value)

                async def all_refused(number: int = number) -> bool:
                    refusals = (site.lines(host, "config_unusable") for host in site.hosts)
                    return all(len(list(lines)) >= number for lines in refusals)

                await site.until(all_refused)
            await site.until_served()
            site.store.put("op/config", config(8))
            await site.until_logged(site.hosts, "config_in_force", "version", {"8"})
            await site.until_served()
            for host in site.hosts:
                versions = [line["version"] for line in site.lines(host, "config_in_force")]
                assert versions == [7, 8]

    asyncio.run(scenario())


def test_odd_host_entries_end_no_process_and_hide_no_host(tmp_path: Path) -> None:
    """Guards against processes that end, or find new hosts no more, after another writer has left
    odd entries among those of the hosts."""

    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for name, value in ODD_HOST_ENTRIES.items():
                site.store.put(f"hosts/a-{name}", value)
            keys = {f"hosts/a-{name}" for name in ODD_HOST_ENTRIES}
            await site.until_logged(site.hosts, "host_entry_ignored", "key", keys)
            late = site.add_host("d1-h2")
            late.seeds = ()
            await late.start()
            await site.until(site.all_ready)
            await site.until_served()

    asyncio.run(scenario())
