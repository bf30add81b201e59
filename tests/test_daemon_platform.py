"""The platform clients against the stand-ins, and hosts around the real core."""

from __future__ import annotations

import contextlib
import json
import random

import anyio
import httpx

from daemonkit import KEY_BY_CALLER, SALT, client_of, make_settings
from eelgrassyard.config import hash_key, render_document
from eelgrassyard.daemon._connections import HttpConnections, client_tls
from eelgrassyard.daemon._host import Host
from eelgrassyard.daemon._metrics import Metrics
from eelgrassyard.daemon._platform import HostListPoller, StoreWatcher
from eelgrassyard.daemon._server import CallerServer, bind
from eelgrassyard.daemon._settings import (
    HostListSettings,
    HttpSettings,
    LimitSettings,
    StoreSettings,
)
from eelgrassyard.policy import (
    CallerEntry,
    HostEntry,
    KindEntry,
    SiteConfig,
    TeamEntry,
    UpstreamEntry,
    UpstreamRole,
)
from eelgrassyard.standins import (
    HostListStandIn,
    KeyValueStandIn,
    RunnerStandIn,
    WorkerStandIn,
)


def connections_to(port: int) -> HttpConnections:
    url = f"http://127.0.0.1:{port}"
    return HttpConnections(
        url=url,
        tls=client_tls(url),
        connect_s=2.0,
        idle_s=2.0,
        max_idle=1,
        max_answer_bytes=1_000_000,
    )


class StandInApplication:
    """A stand-in as the server of callers' connections expects an application."""

    refusing_until = 0.0

    def __init__(self, application) -> None:
        self._application = application

    async def __call__(self, scope, receive, send) -> None:
        await self._application(scope, receive, send)

    def caller_of(self, authorization):
        return None

    def refuse_whole(self, caller, submission_id, content):
        return None


@contextlib.asynccontextmanager
async def serving(*applications):
    """Serve stand-ins; gives their ports."""
    servers = []
    for application in applications:
        server = CallerServer(
            application=StandInApplication(application),
            settings=HttpSettings(address="127.0.0.1", port=0),
            limits=LimitSettings(),
            metrics=Metrics(),
        )
        await server.start(bind("127.0.0.1", 0))
        servers.append(server)
    try:
        yield [server.port for server in servers]
    finally:
        for server in servers:
            with anyio.CancelScope(shield=True):
                await server.stop(0.0)


class Found:
    """Collects what a client found."""

    def __init__(self) -> None:
        self.items: list = []
        self.changed = anyio.Event()

    def take(self, *item) -> None:
        self.items.append(item)
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for(self, count: int) -> None:
        with anyio.fail_after(15):
            while len(self.items) < count:
                await self.changed.wait()


async def put_value(store: KeyValueStandIn, value, expect: int) -> None:
    transport = httpx.ASGITransport(app=store)
    async with httpx.AsyncClient(transport=transport, base_url="http://store") as client:
        body = {"value": value, "expect": expect}
        (await client.put("/kv/site", json=body)).raise_for_status()


async def wait_until(condition) -> None:
    with anyio.fail_after(15):
        while not condition():
            await anyio.sleep(0.005)


def test_store_is_watched_only_while_the_core_wants_it():
    """Guards against hosts that all watch the store, and against a missed or repeated revision."""

    async def run():
        store = KeyValueStandIn()
        found = Found()
        metrics = Metrics()
        async with serving(store) as (port,), anyio.create_task_group() as group:
            watcher = StoreWatcher(
                settings=StoreSettings(url=f"http://127.0.0.1:{port}", key="site", watch_s=1.0),
                connections=connections_to(port),
                metrics=metrics,
                rng=random.Random(1),
                found=found.take,
                revision=lambda: 0,
            )
            group.start_soon(watcher.run)
            await put_value(store, "first", 0)
            await anyio.wait_all_tasks_blocked()
            assert not store.calls_by_method["GET watch"]
            watcher.switch(True)
            await found.wait_for(1)
            await put_value(store, {"second": 2}, 1)
            await found.wait_for(2)
            assert found.items == [(1, b"first"), (2, b'{"second": 2}')]
            await wait_until(lambda: store.calls_by_method["GET watch"] == 3)
            watcher.switch(False)
            await anyio.wait_all_tasks_blocked()
            await put_value(store, "third", 2)
            watcher.switch(True)
            await found.wait_for(3)
            assert found.items[2] == (3, b"third")
            await wait_until(lambda: store.calls_by_method["GET watch"] == 5)
            assert metrics.total_by_name["store.calls"] == 5
            group.cancel_scope.cancel()

    anyio.run(run)


def test_store_outage_is_survived():
    """Guards against a watch that ends with the first failed call."""

    async def run():
        store = KeyValueStandIn()
        found = Found()
        metrics = Metrics()
        store.faults.down = True
        async with serving(store) as (port,), anyio.create_task_group() as group:
            watcher = StoreWatcher(
                settings=StoreSettings(url=f"http://127.0.0.1:{port}", key="site"),
                connections=connections_to(port),
                metrics=metrics,
                rng=random.Random(1),
                found=found.take,
                revision=lambda: 0,
            )
            watcher.switch(True)
            group.start_soon(watcher.run)
            await wait_until(lambda: metrics.total_by_name["store.failed"] >= 2)
            store.faults.down = False
            await put_value(store, "first", 0)
            await found.wait_for(1)
            assert found.items == [(1, b"first")]
            group.cancel_scope.cancel()

    anyio.run(run)


def test_host_list_is_passed_on_when_it_changes_and_kept_when_it_is_down():
    """Guards against a list that is sent or handled again while it is the same, or an empty one."""

    async def run():
        entry = {
            "name": "w1",
            "role": "worker",
            "address": "127.0.0.1",
            "port": 1,
            "failure_domain": "patan",
            "cores": 4,
            "memory_mb": 100,
            "state": "live",
        }
        hosts = HostListStandIn(hosts=[entry], lag_s=0.0)
        found = Found()
        metrics = Metrics()
        async with serving(hosts) as (port,), anyio.create_task_group() as group:
            poller = HostListPoller(
                settings=HostListSettings(url=f"http://127.0.0.1:{port}", poll_s=0.1),
                connections=connections_to(port),
                metrics=metrics,
                rng=random.Random(1),
                found=found.take,
            )
            group.start_soon(poller.run)
            await wait_until(lambda: metrics.total_by_name["host_list.calls"] >= 4)
            assert len(found.items) == 1
            assert hosts.lists_sent == 1
            hosts.down = True
            await wait_until(lambda: metrics.total_by_name["host_list.failed"] >= 1)
            hosts.down = False
            transport = httpx.ASGITransport(app=hosts)
            async with httpx.AsyncClient(transport=transport, base_url="http://list") as client:
                await client.put("/hosts/w1", json={"state": "leaving"})
            await found.wait_for(2)
            assert [item[0].upstreams[0].leaving for item in found.items] == [False, True]
            group.cancel_scope.cancel()

    anyio.run(run)


def site_config(hosts: dict[str, int], runner_port: int, worker_port: int) -> SiteConfig:
    return SiteConfig(
        site="bagmati",
        failure_domains=("patan",),
        hosts_by_name={
            name: HostEntry(name=name, address="127.0.0.1", port=port, failure_domain="patan")
            for name, port in hosts.items()
        },
        upstreams_by_name={
            "r1": UpstreamEntry(
                name="r1",
                role=UpstreamRole.RUNNER,
                url=f"http://127.0.0.1:{runner_port}",
                failure_domain="patan",
                service="ruling",
                slots=8,
            ),
            "w1": UpstreamEntry(
                name="w1",
                role=UpstreamRole.WORKER,
                url=f"http://127.0.0.1:{worker_port}",
                failure_domain="patan",
                cores=8.0,
                memory_mb=10_000,
            ),
        },
        kinds_by_name={
            "rule": KindEntry(name="rule", service="ruling", idempotent=True),
            "bind": KindEntry(name="bind"),
        },
        callers_by_name={
            name: CallerEntry(
                name=name,
                team="land",
                key_salt=SALT,
                key_hash=hash_key(key, SALT),
                operator=name == "operator",
            )
            for name, key in KEY_BY_CALLER.items()
        },
        teams_by_name={"land": TeamEntry(name="land")},
    )


def listed_hosts(config: SiteConfig) -> list[dict]:
    return [
        {
            "name": host.name,
            "role": "entry",
            "address": host.address,
            "port": host.port,
            "failure_domain": host.failure_domain,
            "state": "live",
        }
        for host in config.hosts_by_name.values()
    ]


class RealSite:
    """Stand-ins and hosts with the real core in one event loop."""

    def __init__(self) -> None:
        self.store = KeyValueStandIn()
        self.host_list = HostListStandIn(hosts=[], lag_s=0.0)
        self.runner = RunnerStandIn(name="r1")
        self.worker = WorkerStandIn(name="w1", cores=8.0, memory_mb=10_000)
        self.hosts: list[Host] = []
        self.results: dict[str, bool] = {}

    async def run_host(self, host: Host, name: str) -> None:
        self.results[name] = await host.run()


@contextlib.asynccontextmanager
async def real_site(*names: str):
    site = RealSite()
    stand_ins = (site.store, site.host_list, site.runner, site.worker)
    async with serving(*stand_ins) as ports, anyio.create_task_group() as group:
        store_port, list_port, runner_port, worker_port = ports
        for name in names:
            settings = make_settings(
                name=name,
                store={"url": f"http://127.0.0.1:{store_port}", "key": "site"},
                host_list={"url": f"http://127.0.0.1:{list_port}", "poll_s": 0.1},
            )
            site.hosts.append(Host(settings=settings, seed=len(site.hosts)))
        peer_ports = {name: host.peer_port for name, host in zip(names, site.hosts, strict=True)}
        config = site_config(peer_ports, runner_port, worker_port)
        site.host_list._entry_by_name.update({item["name"]: item for item in listed_hosts(config)})
        site.host_list._save_version()
        await put_value(site.store, render_document(config, author="test").decode(), 0)
        for name, host in zip(names, site.hosts, strict=True):
            group.start_soon(site.run_host, host, name)
        for host in site.hosts:
            await host.started.wait()
            await wait_until(lambda host=host: host.readiness[0])
        yield site
        group.cancel_scope.cancel()


async def submit(client: httpx.AsyncClient, kind: str, payloads: list, submission_id: str = ""):
    if not submission_id:
        submission_id = (await client.post("/v1/ids", json={"kind": kind})).json()["ids"][0]
    body = {"kind": kind, "tasks": [{"payload": payload} for payload in payloads]}
    return submission_id, await client.put(f"/v1/submissions/{submission_id}", json=body)


def test_whole_path_with_real_core_and_drain():
    """Guards against parts that work alone and not together."""

    async def run():
        async with real_site("patan-1") as site:
            host = site.hosts[0]
            async with client_of(host) as client, client_of(host, "till") as till:
                request_id, answer = await submit(client, "rule", [{"work_s": 0.01, "n": 1}])
                assert answer.status_code == 200, answer.text
                assert answer.json()["results"][0]["task"] == f"{request_id}/0"
                payloads = [{"work_s": 0.01, "n": n} for n in range(20)]
                job_id, answer = await submit(client, "bind", payloads)
                assert answer.status_code == 200, answer.text
                tasks = [item["task"] for item in answer.json()["results"]]
                assert tasks == [f"{job_id}/{n}" for n in range(20)]
                _, again = await submit(client, "bind", payloads, job_id)
                assert again.json() == answer.json()
                assert set(site.worker.starts_by_task.values()) == {1}
                for method in ("GET", "DELETE"):
                    foreign = await till.request(method, f"/v1/submissions/{job_id}")
                    assert foreign.status_code == 403
                _, failed = await submit(client, "bind", [{"fail": True}])
                assert failed.status_code == 502
            async with client_of(host, "operator") as operator:
                assert (await operator.post("/v1/drain")).status_code == 202
            await wait_until(lambda: site.results)
            assert site.results == {"patan-1": True}

    anyio.run(run)


def test_calls_at_any_host_reach_the_owner():
    """Guards against a submission that only the host that issued its id can answer for."""

    async def run():
        async with real_site("patan-1", "patan-2") as site:
            first, second = site.hosts
            both_alive = lambda host: len(host.core.membership.alive_hosts()) == 2  # noqa: E731
            await wait_until(lambda: both_alive(first) and both_alive(second))
            async with client_of(first) as one, client_of(second) as two:
                ids = (await one.post("/v1/ids", json={"kind": "rule"})).json()["ids"]
                _, answer = await submit(two, "rule", [{"work_s": 0.01}], ids[0])
                assert answer.status_code == 200, answer.text
                for client in (one, two):
                    same = await client.get(f"/v1/submissions/{ids[0]}")
                    assert same.json() == answer.json()
            assert set(site.runner.starts_by_task.values()) == {1}
            assert json.loads(json.dumps(second.dump()))["peers"]["patan-1"]["connected"]

    anyio.run(run)
