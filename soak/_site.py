"""One site on loopback: store, workers, proxies, callers and host processes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import re

from eelgrassyard.net import HttpServer

from ._clients import HOST_HEADER, MAX_ATTEMPTS, SHAPES, TIMEOUT_S, Callers, ExtraRoute, Prober
from ._hosts import Balancer, HostProcess, free_addresses
from ._ledger import Ledger
from ._other_writer import OtherWriter
from ._proxy import Network, Proxy
from ._store import StandinStore
from ._worker import StandinWorker

SERVICE = "desk"
WORKERS_KEY = "servers/"
CONFIG_KEY = "op/config"
HEARTBEAT_S = 1.5
LAPSE_HEARTBEATS = 3
CLOCK_RATES = (0.98, 1.0, 1.0)
SLOWNESSES = (0.6, 1.0, 1.6)
STORE = "store"
CALLERS = "callers"
CPU = 64_000
MEMORY_MB = 131_072

_REQUEST = re.compile(rb"POST \S*/([0-9a-f]{16}) ")
_ADDRESS = re.compile(rb'"address": "([^"]*)"')


class Site:
    """All components of one soak run.

    :param hosts_per_domain: host processes of each failure domain.
    :param workers_per_domain: workers of each failure domain.
    :ivar registry_lapses: whether workers cannot renew their entries.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        seed: int,
        domains: int,
        hosts_per_domain: int,
        workers_per_domain: int,
        rate: float,
        timed: bool,
    ) -> None:
        self.random = random.Random(seed)
        self.ledger = Ledger(timed=timed)
        self.network = Network(on_forward=self._note_request)
        self.domains = [f"d{number}" for number in range(domains)]
        self.store = StandinStore(view=self._view, seed=seed)
        self.hosts = self._make_hosts(folder, hosts_per_domain)
        self.host_by_name = {host.name: host for host in self.hosts}
        self.workers = [
            self._make_worker(domain, number)
            for domain in self.domains
            for number in range(workers_per_domain)
        ]
        self.balancer = Balancer(hosts=self.hosts)
        self.callers = Callers(
            domains=self.domains,
            balancer=self.balancer,
            ledger=self.ledger,
            seed=seed + 1,
            rate=rate,
        )
        self.prober = Prober(hosts=self.hosts, ledger=self.ledger)
        self.other_writer = OtherWriter(
            store=self.store, prefix=WORKERS_KEY, entry=self._any_entry, seed=seed + 2
        )
        self.registry_lapses = False
        self._address_by_worker: dict[tuple[str, str], str] = {}
        self._server_address_by_worker: dict[str, str] = {}
        self._replaced = 0
        self._servers: list[HttpServer] = []
        self._config_version = 0

    def _make_host(self, folder: pathlib.Path, name: str, domain: str) -> HostProcess:
        front, front_bind, ready, peer, peer_bind, store = free_addresses(6)
        return HostProcess(
            name=name,
            domain=domain,
            folder=folder,
            front=front,
            front_bind=front_bind,
            ready=ready,
            peer=peer,
            peer_bind=peer_bind,
            store=store,
            weight=self.random.choice((0.4, 0.6, 1.0)),
        )

    def _make_hosts(self, folder: pathlib.Path, hosts_per_domain: int) -> list[HostProcess]:
        hosts = [
            self._make_host(folder, f"{domain}-h{number}", domain)
            for domain in self.domains
            for number in range(hosts_per_domain)
        ]
        seeds = tuple(host.peer for host in hosts[::hosts_per_domain])[:3]
        for host in hosts:
            host.seeds = seeds
        return hosts

    def _make_worker(self, domain: str, number: int) -> StandinWorker:
        return StandinWorker(
            name=f"{domain}-w{number}",
            domain=domain,
            service=SERVICE,
            rack=f"{domain}-r{number // 4}",
            cpu=CPU,
            memory_mb=MEMORY_MB,
            ledger=self.ledger,
            random=random.Random(self.random.getrandbits(32)),
            clock_rate=self.random.choice(CLOCK_RATES),
            slowness=self.random.choice(SLOWNESSES),
        )

    # --- start ---

    async def start(self) -> None:
        """Start all stand-ins, proxies and host processes."""
        self.configure()
        for worker in self.workers:
            worker.begin(new_id=True)
            await self._connect_worker(worker)
            self.register(worker)
        for host in self.hosts:
            await self._connect_host(host)
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def replace_host(self, gone: HostProcess) -> HostProcess:
        """Start a host with a new name and new addresses in place of one that is gone for good."""
        self._replaced += 1
        # No name is part of another one, since a session is identified by the name in its bytes.
        host = self._make_host(gone.folder, f"{gone.domain}-r{self._replaced:03}", gone.domain)
        # The platform names hosts of the time at which the settings are written.
        host.seeds = tuple(other.peer for other in self.hosts if other is not gone)[:3]
        for worker in self.workers:
            await self._connect_host_to_worker(host, worker)
        await self._connect_host(host)
        self.hosts[self.hosts.index(gone)] = host
        self.host_by_name[host.name] = host
        await host.start()
        return host

    async def _connect_worker(self, worker: StandinWorker) -> None:
        """Start the server of a worker, and a proxy to it for each host."""
        (address,) = free_addresses(1)
        await self._serve(worker.server(), address)
        self._server_address_by_worker[worker.name] = address
        for host in self.hosts:
            await self._connect_host_to_worker(host, worker)

    async def _connect_host_to_worker(self, host: HostProcess, worker: StandinWorker) -> None:
        proxy = Proxy(
            network=self.network,
            source=host.name,
            target=worker.name,
            address=self._server_address_by_worker[worker.name],
        )
        (address,) = free_addresses(1)
        await proxy.listen(address)
        self._address_by_worker[host.name, worker.name] = address

    async def _connect_host(self, host: HostProcess) -> None:
        store_address = free_addresses(1)[0]
        await self._serve(self.store.server_for(host.name), store_address)
        to_store = Proxy(
            network=self.network, source=host.name, target=STORE, address=store_address
        )
        await to_store.listen(host.store)
        to_front = Proxy(
            network=self.network, source=CALLERS, target=host.name, address=host.front_bind
        )
        await to_front.listen(host.front)
        to_peer = Proxy(
            network=self.network,
            source="",
            target=host.name,
            address=host.peer_bind,
            identify=self._identify,
        )
        await to_peer.listen(host.peer)

    async def _serve(self, server: HttpServer, address: str) -> None:
        await server.listen(address)
        self._servers.append(server)

    def _note_request(self, source: str, data: bytes) -> None:
        found = _REQUEST.match(data) if source == CALLERS else None
        if found is not None:
            self.ledger.request_forwarded(found[1].decode())

    def _identify(self, first: bytes) -> str:
        """Find the host that opens a session by its name in the first message."""
        found = [name for name in self.host_by_name if name.encode() in first]
        return found[0] if found else ""

    def _view(self, client: str, key: str, value: bytes) -> bytes:
        """Replace the address in a worker entry by that of the proxy for the host that reads it."""
        if not key.startswith(WORKERS_KEY) or not client:
            return value
        # Entries of another writer may have any form, so the value is not parsed.
        found = _ADDRESS.search(value)
        name = found[1].decode(errors="replace") if found is not None else ""
        address = self._address_by_worker.get((client, name))
        if found is None or address is None:
            known = {worker.id for worker in self.workers}
            assert key.removeprefix(WORKERS_KEY) not in known, f"{key} names no worker"
            return value
        return value[: found.start(1)] + address.encode() + value[found.end(1) :]

    # --- workers' and operators' writes ---

    def register(self, worker: StandinWorker) -> None:
        """Write the entry of a worker; its address field holds its name until a host reads it."""
        self.store.put(WORKERS_KEY + worker.id, worker.entry(worker.name))

    def _any_entry(self) -> bytes:
        worker = self.workers[0]
        return worker.entry(worker.name)

    def remove(self, worker: StandinWorker) -> None:
        """Delete the entry of a worker."""
        self.store.delete(WORKERS_KEY + worker.id)

    async def renew_entries(self) -> None:
        """Renew the entries of running workers, and delete those without renewals."""
        silent: dict[str, int] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            known = {worker.id: worker for worker in self.workers}
            for worker in self.workers:
                if worker.up and not self.registry_lapses:
                    self.register(worker)
                    silent[worker.id] = 0
            for key in [key for key in self.store.items if key.startswith(WORKERS_KEY)]:
                worker_id = key.removeprefix(WORKERS_KEY)
                silent[worker_id] = silent.get(worker_id, 0) + 1
                holder = known.get(worker_id)
                if silent[worker_id] > LAPSE_HEARTBEATS and not (
                    holder and holder.up and not self.registry_lapses
                ):
                    self.store.delete(key)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._config_version += self.random.randint(1, 5)
        prefixes = list(dict.fromkeys(shape.prefix for shape in SHAPES))
        prefixes += [route.prefix for route in self.prober.routes if not route.removal_sent]
        routes = [
            {
                "name": f"route-{prefix.strip('/')}",
                "host": HOST_HEADER,
                "prefix": prefix,
                "kind": "unsafe",
                "service": SERVICE,
                "timeout_ms": int(TIMEOUT_S * 1000),
                "target_duration_ms": 60,
                "priority": 0,
                "max_attempts": MAX_ATTEMPTS,
                "stretch": 1.6,
            }
            for prefix in prefixes
        ]
        document = {
            "version": self._config_version,
            "routes": routes,
            "services": [{"name": SERVICE, "enforces_capacity": True}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
        self.store.put(CONFIG_KEY, json.dumps(document).encode())

    def change_routes(self, now: float) -> None:
        """Add an extra route, and often remove the previous one."""
        routes = self.prober.routes
        if routes and self.random.random() < 0.7:
            routes[-1].removal_sent = True
        routes.append(ExtraRoute(prefix=f"/extra-{len(routes)}/", added_at=now))
        self.configure()
        for route in routes:
            if route.removal_sent and route.removed_at is None:
                route.removed_at = now

    async def stop(self) -> list[str]:
        """Stop all processes; return what was wrong with their exits."""
        found = await asyncio.gather(*(host.stop() for host in self.hosts))
        for server in self._servers:
            server.close()
        return [text for text in found if text]
