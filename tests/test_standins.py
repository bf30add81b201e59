"""The stand-ins implement the protocols of section 3.7 of the design page."""

from __future__ import annotations

import socket

import anyio
import httpx
import pytest

from eelgrassyard.standins import (
    HostListStandIn,
    KeyValueStandIn,
    RunnerStandIn,
    WorkerStandIn,
    reserve_ports,
)
from eelgrassyard.standins._keyvalue import AnswerLostError


def client_for(application) -> httpx.AsyncClient:
    transport = httpx.ASGITransport(app=application)
    return httpx.AsyncClient(transport=transport, base_url="http://127.0.0.1")


def worker_task(task: str, *, incarnation: int = 1, lease_s: float = 10.0, work_s: float = 0.0):
    return {
        "task": task,
        "fence": {"owner": "patan-1", "incarnation": incarnation, "sequence": 1},
        "lease_s": lease_s,
        "cores": 1,
        "memory_mb": 10,
        "accelerators": 0,
        "kind": "rule",
        "payload": {"work_s": work_s},
    }


def test_failed_compare_and_swap_returns_the_current_revision():
    """Guards against two conflicting writers that are both told that they succeeded."""

    async def run() -> None:
        async with client_for(KeyValueStandIn()) as client:
            first = await client.put("/kv/config", json={"value": "a", "expect": 0})
            second = await client.put("/kv/config", json={"value": "b", "expect": 0})
            assert first.json() == {"revision": 1}
            assert (second.status_code, second.json()["revision"]) == (409, 1)
            assert (await client.get("/kv/config")).json() == {"value": "a", "revision": 1}

    anyio.run(run)


def test_a_lost_answer_leaves_the_write_in_effect():
    """Guards against a lost answer whose write has no effect."""

    async def run() -> None:
        async with client_for(KeyValueStandIn()) as client:
            await client.post("/faults", json={"lost_answers": 1})
            with pytest.raises(AnswerLostError):
                await client.put("/kv/config", json={"value": "a", "expect": 0})
            assert (await client.get("/kv/config")).json()["value"] == "a"

    anyio.run(run)


def test_a_watch_returns_on_the_next_write():
    """Guards against a watch that misses a write made while it is open."""

    async def run() -> None:
        async with client_for(KeyValueStandIn()) as client, anyio.create_task_group() as group:
            seen = []

            async def watch() -> None:
                seen.append((await client.get("/watch/config?after=0&timeout_s=30")).json())

            group.start_soon(watch)
            await anyio.wait_all_tasks_blocked()
            await client.put("/kv/config", json={"value": "a", "expect": 0})
        assert seen == [{"value": "a", "revision": 1}]

    anyio.run(run)


def test_calls_above_the_rate_are_refused():
    """Guards against clients that exceed the platform's rate limits unnoticed."""

    async def run() -> None:
        store = KeyValueStandIn(reads_per_s=2, clock=lambda: 100.0)
        async with client_for(store) as client:
            statuses = [(await client.get("/kv/config")).status_code for _ in range(3)]
        assert statuses == [404, 404, 429]

    anyio.run(run)


def test_host_list_lags():
    """Guards against a stand-in whose changes are visible at once, unlike those of the platform."""

    async def run() -> None:
        now = [0.0]
        hosts = [{"name": "runner-1", "role": "runner", "state": "live"}]
        application = HostListStandIn(hosts=hosts, lag_s=5.0, clock=lambda: now[0])
        async with client_for(application) as client:
            await client.put("/hosts/runner-1", json={"state": "leaving"})
            now[0] = 4.9
            assert (await client.get("/hosts")).json()["hosts"][0]["state"] == "live"
            now[0] = 5.0
            assert (await client.get("/hosts")).json()["hosts"][0]["state"] == "leaving"

    anyio.run(run)


def test_runner_refuses_beyond_its_slots_and_says_that_nothing_started():
    """Guards against a refused start that is counted, or that the caller cannot safely repeat."""

    async def run() -> None:
        runner = RunnerStandIn(name="runner-1", slots=0)
        async with client_for(runner) as client:
            headers = {"Eelgrassyard-Task": "id/0"}
            answer = await client.post("/run/check", json={}, headers=headers)
        assert (answer.status_code, answer.headers["eelgrassyard-not-started"]) == (503, "1")
        assert not runner.starts_by_task

    anyio.run(run)


def test_worker_refuses_a_repeated_task_and_a_fenced_owner():
    """Guards against a second start by a repeated request, or by an owner that was paused."""

    async def run() -> None:
        worker = WorkerStandIn(name="worker-1")
        async with client_for(worker) as client:
            statuses = [
                (await client.post("/tasks", json=task)).status_code
                for task in (
                    worker_task("id/0", incarnation=2),
                    worker_task("id/0", incarnation=2),
                    worker_task("id/1", incarnation=1),
                )
            ]
        assert statuses == [200, 409, 409]
        assert worker.starts_by_task == {"id/0": 1}

    anyio.run(run)


def test_worker_stops_a_task_whose_lease_lapsed():
    """Guards against tasks that go on running after their owner stopped renewing the lease."""

    async def run() -> None:
        worker = WorkerStandIn(name="worker-1")
        async with client_for(worker) as client:
            answer = await client.post("/tasks", json=worker_task("id/0", lease_s=0.0, work_s=30))
        assert (answer.status_code, answer.json()["error"]) == (500, "lease lapsed")

    anyio.run(run)


def test_worker_controls():
    """Guards against a checkpointed task that is lost, or counted as a second start on resume."""

    async def run() -> None:
        worker = WorkerStandIn(name="worker-1")
        answers = []
        async with client_for(worker) as client, anyio.create_task_group() as group:

            async def start() -> None:
                task = worker_task("id/0", work_s=0.05)
                answers.append(await client.post("/tasks", json=task))

            worker.faults.stall = True
            group.start_soon(start)
            await anyio.wait_all_tasks_blocked()
            assert (await client.post("/tasks/id/0/checkpoint")).status_code == 200
            assert worker.running_by_task["id/0"].paused
            worker.faults.stall = False
            assert (await client.post("/tasks/id/0/resume")).status_code == 200
        assert answers[0].status_code == 200
        assert worker.starts_by_task == {"id/0": 1}

    anyio.run(run)


def test_a_reserved_port_is_assigned_to_no_other_socket():
    """Guards against servers that find the port of their test taken ("address already in use"):
    between the choice of a port and its server, another process connected from that port."""
    [port] = reserve_ports(1)
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))


def test_a_server_listens_on_a_reserved_port_again_and_again():
    """Guards against a reservation that blocks the server it was made for, or its next start."""
    [port] = reserve_ports(1)
    for _ in range(2):
        with socket.create_server(("127.0.0.1", port)):
            socket.create_connection(("127.0.0.1", port)).close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port))
