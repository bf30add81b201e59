"""Tests of the upstream client: the result of a start after each kind of failure."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from eelgrassyard._clock import Clock
from eelgrassyard.daemon._metrics import Metrics
from eelgrassyard.daemon._settings import LimitSettings
from eelgrassyard.daemon._upstream_client import UpstreamAddress, UpstreamClient
from eelgrassyard.policy import (
    Control,
    ControlTask,
    FencingToken,
    RenewLeases,
    StartFinished,
    StartResult,
    StartTask,
    UpstreamRole,
    UsageReported,
)

Handler = Callable[[anyio.abc.ByteStream], Awaitable[None]]

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n" + b'{"a":1}'


def answer(status: int, body: bytes = b"{}", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} x", f"content-length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def make_start(**changes) -> StartTask:
    values = {
        "start": 1,
        "upstream": "u1",
        "submission_id": "id-1",
        "index": 0,
        "kind": "rule",
        "payload": b'{"n": 1.10}',
        "cores": 1.0,
        "memory_mb": 256,
        "accelerators": 0,
        "lease_s": 10.0,
        "timeout_s": 20.0,
        "fence": FencingToken(owner="patan-1", incarnation=1, sequence=1),
        **changes,
    }
    return StartTask(**values)


class ClientHarness:
    """An upstream client whose only upstream, u1, is a scripted TCP server."""

    def __init__(self, group: anyio.abc.TaskGroup, url: str, role: UpstreamRole) -> None:
        self.clock = Clock()
        self.metrics = Metrics()
        self.send_events, self.events = anyio.create_memory_object_stream(100)
        self.client = UpstreamClient(
            group=group,
            address_of=lambda name: UpstreamAddress(url=url, role=role) if name == "u1" else None,
            lease_s=lambda: 10.0,
            put=self.send_events.send_nowait,
            clock=self.clock,
            limits=LimitSettings(answer_bytes=10_000),
            metrics=self.metrics,
        )

    async def run(self, action: StartTask, decided_ago_s: float = 0.0) -> StartFinished:
        self.client.start(self.clock.now() - decided_ago_s, action)
        return await self.next_event()

    async def next_event(self):
        with anyio.fail_after(20):
            return await self.events.receive()


@contextlib.asynccontextmanager
async def client_harness(handler: Handler | None, role: UpstreamRole = UpstreamRole.RUNNER):
    """Run ``handler`` for each connection to the upstream; without one, the port is closed."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        if handler is None:
            await listener.aclose()
        else:
            group.start_soon(listener.serve, handler)
        yield ClientHarness(group, f"http://127.0.0.1:{port}", role)
        group.cancel_scope.cancel()


async def read_request(stream: anyio.abc.ByteStream) -> bytes:
    """Read one request with its body."""
    received = b""
    while True:
        head, found, body = received.partition(b"\r\n\r\n")
        if found:
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.partition(b":")[2])
            if len(body) >= length:
                return received
        received += await stream.receive()


def answering(*answers: bytes) -> Handler:
    """Answer the requests of a connection in order, then keep it open."""

    async def handle(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            for item in answers:
                await read_request(stream)
                await stream.send(item)
            await anyio.sleep_forever()

    return handle


def closing_after(received: int, sent: bytes = b"") -> Handler:
    """Close the connection after reading ``received`` bytes or more and sending ``sent``."""

    async def handle(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            count = 0
            while count < received:
                count += len(await stream.receive())
            if sent:
                await stream.send(sent)

    return handle


def run_one(handler: Handler | None, role=UpstreamRole.RUNNER, **changes) -> StartFinished:
    results = []

    async def run():
        async with client_harness(handler, role) as harness:
            results.append(await harness.run(make_start(**changes)))

    anyio.run(run)
    return results[0]


def test_refused_connection_is_not_a_start():
    """Guards against reporting a task as lost that provably never ran."""
    finished = run_one(None)
    assert finished.result is StartResult.NOT_STARTED
    assert finished.refused_by_connect


def test_unknown_upstream_is_not_a_start():
    """Guards against a start without a result."""
    finished = run_one(None, upstream="nobody")
    assert finished.result is StartResult.NOT_STARTED


def test_unusable_address_is_not_a_start():
    """Guards against an invalid URL in the host list that ends the process."""

    async def run():
        for url in ("http://[::1", "ftp://127.0.0.1:1", "127.0.0.1:1", "http://127.0.0.1:0"):
            async with anyio.create_task_group() as group:
                finished = await ClientHarness(group, url, UpstreamRole.RUNNER).run(make_start())
                assert finished.result is StartResult.NOT_STARTED, url
                group.cancel_scope.cancel()

    anyio.run(run)


LOST_CASES = {
    "closed at once": closing_after(0),
    "closed after the first bytes": closing_after(1),
    "closed within the answer's head": closing_after(1, b"HTTP/1.1 200 OK\r\ncontent-le"),
    "closed within the answer's body": closing_after(1, OK[:-3]),
    "not HTTP": closing_after(1, b"hello\r\n\r\n"),
    "closed within a refusal's head": closing_after(
        1, b"HTTP/1.1 503 x\r\nEelgrassyard-Not-Started: 1\r\ncontent-length: 2\r\n"
    ),
}


@pytest.mark.parametrize("name", LOST_CASES)
def test_start_without_whole_answer_is_lost(name):
    """Guards against restarting a task that may still be running."""
    finished = run_one(LOST_CASES[name])
    assert finished.result is StartResult.LOST
    assert not finished.refused_by_connect


STATUS_CASES = [
    (answer(200, b'{"a":1}'), StartResult.OK, False),
    (answer(200, b'{"a":1}', "Eelgrassyard-Leaving: 1"), StartResult.OK, True),
    (answer(200, b"not json"), StartResult.FAILED, False),
    (answer(200, b"NaN"), StartResult.FAILED, False),
    (answer(200, b"x" * 20_000), StartResult.FAILED, False),
    (answer(204, b""), StartResult.FAILED, False),
    (answer(302, b""), StartResult.FAILED, False),
    (answer(409), StartResult.FAILED, False),
    (answer(500), StartResult.FAILED, False),
    (answer(503), StartResult.FAILED, False),
    (answer(500, b"{}", "Eelgrassyard-Not-Started: 1"), StartResult.FAILED, False),
    (answer(503, b"{}", "Eelgrassyard-Not-Started: 0"), StartResult.FAILED, False),
    (answer(503, b"{}", "Eelgrassyard-Not-Started: 1"), StartResult.NOT_STARTED, False),
    (
        answer(503, b"{}", "Eelgrassyard-Not-Started: 1", "Eelgrassyard-Leaving: 1"),
        StartResult.NOT_STARTED,
        True,
    ),
]


@pytest.mark.parametrize("content, result, leaving", STATUS_CASES)
def test_status_and_headers_decide_the_result(content, result, leaving):
    """Guards against taking a 503 without the header for "not started"."""
    finished = run_one(answering(content))
    assert (finished.result, finished.leaving) == (result, leaving)
    assert not finished.refused_by_connect
    if result is StartResult.OK:
        assert finished.payload == b'{"a":1}'


def test_no_answer_in_time_is_lost():
    """Guards against waiting without a limit, and against a time-out reported as not started."""
    assert run_one(answering(), timeout_s=0.05).result is StartResult.LOST


def test_start_decided_before_a_pause_is_not_sent():
    """Guards against starting a task whose submission was reported as not run during a pause, and
    against refusing all starts on runners, which carry no lease of their own."""

    async def run():
        async with client_harness(answering(OK)) as harness:
            finished = await harness.run(make_start(lease_s=0.0), decided_ago_s=10.5)
            assert finished.result is StartResult.NOT_STARTED
            assert not finished.refused_by_connect
            finished = await harness.run(make_start(start=2, lease_s=0.0), decided_ago_s=5.0)
            assert finished.result is StartResult.OK

    anyio.run(run)


def test_runner_request_carries_task_and_payload_unchanged():
    """Guards against altered payloads and a missing task header."""
    requests = []

    async def handle(stream):
        async with stream:
            requests.append(await read_request(stream))
            await stream.send(OK)

    run_one(handle)
    head, _, body = requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /run/rule HTTP/1.1")
    assert b"eelgrassyard-task: id-1/0" in head.lower()
    assert body == b'{"n": 1.10}'


def test_worker_request_carries_fence_lease_and_size():
    """Guards against a worker that cannot fence or lease a task."""
    requests = []

    async def handle(stream):
        async with stream:
            requests.append(await read_request(stream))
            await stream.send(OK)

    run_one(handle, UpstreamRole.WORKER)
    head, _, body = requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /tasks HTTP/1.1")
    assert json.loads(body) == {
        "task": "id-1/0",
        "fence": {"owner": "patan-1", "incarnation": 1, "sequence": 1},
        "lease_s": 10.0,
        "cores": 1.0,
        "memory_mb": 256,
        "accelerators": 0,
        "kind": "rule",
        "payload": {"n": 1.1},
    }
    assert b'"payload":{"n": 1.10}' in body


def test_connection_is_used_again_and_replaced_when_closed():
    """Guards against a new connection for every task, and against reusing a closed one."""
    connections = []

    async def handle(stream):
        async with stream:
            connections.append(stream)
            for _ in range(3):
                await read_request(stream)
                await stream.send(OK)

    async def run():
        async with client_harness(handle) as harness:
            for start in range(9):
                finished = await harness.run(make_start(start=start))
                assert finished.result is StartResult.OK
                # The close of the connection must be received before the next request.
                await anyio.wait_all_tasks_blocked()

    anyio.run(run)
    assert len(connections) == 3


def test_stop_ends_a_request_to_a_runner():
    """Guards against a request to a runner that stays open after a stop."""
    ended = []

    async def run():
        arrived = anyio.Event()
        gone = anyio.Event()

        async def handle(stream):
            async with stream:
                await read_request(stream)
                arrived.set()
                with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    await stream.receive()
                gone.set()

        async with client_harness(handle) as harness:
            harness.client.start(harness.clock.now(), make_start())
            await arrived.wait()
            harness.client.control(
                ControlTask(
                    start=1, upstream="u1", submission_id="id-1", index=0, control=Control.STOP
                )
            )
            ended.append(await harness.next_event())
            with anyio.fail_after(10):
                await gone.wait()

    anyio.run(run)
    assert ended[0].result is StartResult.STOPPED


def test_worker_calls_for_control_leases_and_usage():
    """Guards against wrong paths of the calls that control a task, and an unread usage report."""
    requests = []
    usage = {"tasks": [{"task": "id-1/0", "kind": "rule", "cores": 1.5, "memory_mb": 10}]}

    async def run():
        seen = anyio.Event()

        async def handle(stream):
            async with stream:
                while True:
                    request = await read_request(stream)
                    requests.append(request)
                    await stream.send(answer(200, json.dumps(usage).encode()))
                    if len(requests) == 5:
                        seen.set()

        async with client_harness(handle, UpstreamRole.WORKER) as harness:
            for control in Control:
                harness.client.control(
                    ControlTask(
                        start=1, upstream="u1", submission_id="id-1", index=0, control=control
                    )
                )
            harness.client.renew(RenewLeases(upstream="u1", tasks=("id-1/0",), lease_s=10.0))
            with anyio.fail_after(10):
                await seen.wait()
            await harness.client.read_usage("u1")
            report = await harness.next_event()
            assert isinstance(report, UsageReported)
            assert report.tasks[0].cores == 1.5

    anyio.run(run)
    lines = {request.partition(b" HTTP")[0] for request in requests}
    assert lines == {
        b"POST /tasks/id-1/0/stop",
        b"POST /tasks/id-1/0/checkpoint",
        b"POST /tasks/id-1/0/throttle",
        b"POST /tasks/id-1/0/resume",
        b"POST /leases",
        b"GET /usage",
    }


def test_stopped_worker_task_is_reported_as_stopped():
    """Guards against counting a requested stop as a failure of the worker."""
    results = []

    async def run():
        arrived = anyio.Event()
        stopped = anyio.Event()

        async def handle(stream):
            async with stream:
                request = await read_request(stream)
                if b"/stop" in request.partition(b"\r\n")[0]:
                    stopped.set()
                    await stream.send(answer(200))
                else:
                    arrived.set()
                    await stopped.wait()
                    await stream.send(answer(500, b'{"error":"stopped"}'))

        async with client_harness(handle, UpstreamRole.WORKER) as harness:
            harness.client.start(harness.clock.now(), make_start())
            await arrived.wait()
            harness.client.control(
                ControlTask(
                    start=1, upstream="u1", submission_id="id-1", index=0, control=Control.STOP
                )
            )
            results.append(await harness.next_event())

    anyio.run(run)
    assert results[0].result is StartResult.STOPPED
