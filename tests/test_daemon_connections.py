"""Connections of callers: slow and idle clients, malformed requests, too many connections."""

from __future__ import annotations

import contextlib
import random

import anyio

from daemonkit import (
    ScriptedCore,
    body_of,
    client_of,
    connect,
    headers_of,
    put_request,
    receive_all,
    running_host,
)
from eelgrassyard.policy import (
    Outcome,
    OutcomeKind,
    QueryCalled,
    ReplyState,
    SubmitCalled,
)


def complete(event):
    if isinstance(event, QueryCalled | SubmitCalled):
        outcome = Outcome(kind=OutcomeKind.COMPLETE, results=(b"1",))
        return [ReplyState(call=event.call, submission_id=event.submission_id, outcome=outcome)]
    return []


SHORT_LIMITS = {"limits": {"request_s": 0.2, "keep_alive_s": 0.2, "connections": 8}}


def test_request_head_that_never_ends_is_cut_off():
    """Guards against clients that hold connections by sending headers slowly without end."""

    async def run():
        async with (
            running_host(ScriptedCore(), **SHORT_LIMITS) as host,
            await connect(host) as stream,
        ):
            async with anyio.create_task_group() as group:

                async def send_headers_slowly() -> None:
                    with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                        await stream.send(b"GET /healthz HTTP/1.1\r\n")
                        while True:
                            await stream.send(b"x: y\r\n")
                            await anyio.sleep(0.02)

                group.start_soon(send_headers_slowly)
                assert await receive_all(stream) == b""
                group.cancel_scope.cancel()
            assert host.metrics.total_by_name["http.slow_header"] == 1

    anyio.run(run)


def test_body_that_never_ends_is_refused():
    """Guards against clients that hold calls by sending a body slowly or not at all."""

    async def run():
        core = ScriptedCore(script=complete)
        async with running_host(core, **SHORT_LIMITS) as host, await connect(host) as stream:
            await stream.send(put_request(b'{"kind"', length=1000))
            answer = await receive_all(stream)
            assert answer.startswith(b"HTTP/1.1 408")
            assert not core.of_type(SubmitCalled)

    anyio.run(run)


def test_silent_connection_is_closed():
    """Guards against connections that are opened and never used."""

    async def run():
        async with (
            running_host(ScriptedCore(), **SHORT_LIMITS) as host,
            await connect(host) as stream,
        ):
            assert await receive_all(stream) == b""

    anyio.run(run)


def test_silent_connections_make_room_for_callers():
    """Guards against clients that keep callers out by opening all connections."""

    async def run():
        core = ScriptedCore(script=complete)
        limits = {"connections": 8, "keep_alive_s": 60}
        async with (
            running_host(core, limits=limits) as host,
            contextlib.AsyncExitStack() as stack,
        ):
            for _ in range(20):
                await stack.enter_async_context(await connect(host))
            async with client_of(host) as client:
                assert (await client.get("/v1/submissions/id-1")).status_code == 200
            assert host.metrics.total_by_name["http.connections_evicted"] >= 12

    anyio.run(run)


def test_one_caller_cannot_take_all_connections():
    """Guards against a caller whose waiting calls keep other callers out."""

    async def run():
        def script(event):
            caller = getattr(event, "caller", "")
            return complete(event) if caller == "till" else []

        core = ScriptedCore(script=script)
        limits = {"connections": 8, "connection_share": 0.5}
        async with (
            running_host(core, limits=limits) as host,
            client_of(host, "till") as till,
            client_of(host) as clerk,
            anyio.create_task_group() as group,
        ):
            for number in range(4):
                group.start_soon(clerk.get, f"/v1/submissions/id-{number}")
            await core.wait_for(QueryCalled, 4)
            answer = await clerk.get("/v1/submissions/id-9")
            assert answer.status_code == 429
            assert answer.json()["error"]["code"] == "too_many_calls"
            assert "retry-after" in answer.headers
            assert (await till.get("/v1/submissions/id-1")).status_code == 200
            group.cancel_scope.cancel()

    anyio.run(run)


def test_client_that_does_not_read_its_answer_is_cut_off():
    """Guards against answers that pile up in memory for a client that does not read."""

    async def run():
        def script(event):
            if not isinstance(event, QueryCalled):
                return []
            outcome = Outcome(kind=OutcomeKind.COMPLETE, results=(b"1" * 20_000_000,))
            return [ReplyState(call=event.call, submission_id=event.submission_id, outcome=outcome)]

        core = ScriptedCore(script=script)
        async with running_host(core, **SHORT_LIMITS) as host, await connect(host) as stream:
            key = headers_of("clerk")["authorization"]
            head = f"GET /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\r\n"
            await stream.send(head.encode())
            with anyio.fail_after(10):
                while not host.metrics.total_by_name["http.slow_receiver"]:
                    await anyio.sleep(0.01)

    anyio.run(run)


def test_other_protocols_are_refused():
    """Guards against protocols with which one connection carries many requests at once."""

    async def run():
        upgrade = b"GET /healthz HTTP/1.1\r\nhost: x\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n"
        websocket = (
            b"GET /healthz HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\n"
            b"sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\nsec-websocket-version: 13\r\n\r\n"
        )
        starts = (
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            upgrade,
            websocket,
            b"\x16\x03\x01\x02",
            b"\x00",
        )
        async with running_host(ScriptedCore(), **SHORT_LIMITS) as host:
            for start in starts:
                async with await connect(host) as stream:
                    await stream.send(start)
                    answer = await receive_all(stream)
                    assert b"200" not in answer.partition(b"\r\n")[0], start
            async with client_of(host, None) as client:
                assert (await client.get("/healthz")).status_code == 200

    anyio.run(run)


def test_pipelined_requests_are_answered_in_order():
    """Guards against lost or mixed answers when a client does not wait between requests."""

    async def run():
        async with (
            running_host(ScriptedCore(), **SHORT_LIMITS) as host,
            await connect(host) as stream,
        ):
            head = b"GET /healthz HTTP/1.1\r\nhost: x\r\n"
            await stream.send(head + b"\r\n" + head + b"connection: close\r\n\r\n")
            assert (await receive_all(stream)).count(b'{"live":true}') == 2

    anyio.run(run)


def test_connection_stays_open_after_a_refusal():
    """Guards against closing the connection on refusal: a new one costs more than the call."""

    async def run():
        core = ScriptedCore(script=complete)
        async with running_host(core) as host, await connect(host) as stream:
            for caller, status in (("clerk", b"200"), ("operator", b"200")):
                await stream.send(put_request(body_of(), caller=caller))
                assert (await stream.receive()).startswith(b"HTTP/1.1 " + status)
            await stream.send(put_request(b"{}"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 400")
            await stream.send(put_request(body_of()).replace(b"key-of-clerk", b"key-of-nobod"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 401")
            await stream.send(put_request(body_of()))
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")

    anyio.run(run)


def test_garbage_and_cut_requests_leave_nothing_behind():
    """Guards against leaked connections or calls when clients send garbage or disconnect."""
    rng = random.Random(17)
    plain = put_request(body_of())
    chunked = plain.replace(b"content-length", b"x-length").replace(
        b"host: x", b"host: x\r\ntransfer-encoding: chunked"
    )
    inputs = [rng.randbytes(rng.randrange(1, 400)) for _ in range(20)]
    for _ in range(40):
        damaged = bytearray(rng.choice((plain, chunked)))
        for _ in range(rng.randrange(1, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        inputs.append(bytes(damaged[: rng.randrange(1, len(damaged))]))
    inputs += [plain * 30, chunked + b"ffffffffffff\r\n", chunked + b"5\r\nab", plain[:-1]]

    async def run():
        core = ScriptedCore(script=complete)
        async with running_host(core) as host:
            for content in inputs:
                async with await connect(host) as stream:
                    await stream.send(content)
            async with client_of(host) as client:
                assert (await client.get("/v1/submissions/id-1")).status_code == 200
            with anyio.fail_after(10):
                while host._server.open_connections or len(host.calls):
                    await anyio.sleep(0.005)
            assert not host.metrics.total_by_name["http.internal_error"]

    anyio.run(run)


def test_refused_uploads_do_not_keep_their_connections():
    """Guards against a connection that stays open forever because a refused body is not read."""

    async def run():
        core = ScriptedCore(script=complete)
        async with running_host(core) as host:
            head = put_request(b"", caller="clerk", length=2_000_000)
            wrong = head.replace(b"key-of-clerk", b"key-of-nobod")
            async with contextlib.AsyncExitStack() as stack:
                for _ in range(10):
                    stream = await stack.enter_async_context(await connect(host))
                    await stream.send(wrong + b"x" * 200_000)
                    answer = await receive_all(stream)
                    assert answer.startswith(b"HTTP/1.1 401")
            with anyio.fail_after(10):
                while host._server.open_connections:
                    await anyio.sleep(0.005)

    anyio.run(run)
