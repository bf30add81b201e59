"""HTTP server and client of a host on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from eelgrassyard.net import CallError, Exchange, HttpClient, HttpServer, Response, ServerLimits


def free_address() -> str:
    """A loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def echo(exchange: Exchange) -> None:
    """Answer with the body."""
    exchange.respond(200, exchange.request.body)


def serve(
    scenario: Callable[[str, HttpServer], Awaitable[None]],
    handler: Callable[[Exchange], None] = echo,
    limits: ServerLimits | None = None,
) -> None:
    """Run a scenario against a server."""

    async def main() -> None:
        server = HttpServer(handler=handler, limits=limits)
        address = free_address()
        await server.listen(address)
        await scenario(address, server)
        server.close()

    asyncio.run(main())


async def raw(address: str, data: bytes, *, answers: int = 1, ends: bool = False) -> bytes:
    """Send bytes and read so many answers, or until the server closes.

    :param ends: whether the client ends its side, which the server takes for leaving.
    """
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    if ends:
        writer.write_eof()
    received = b""
    while ends or received.count(b"HTTP/1.1 ") < answers:
        part = await reader.read(65536)
        if not part:
            break
        received += part
    writer.close()
    return received


async def call(client: HttpClient, method: str, target: str, body: bytes = b"") -> object:
    """One call."""
    future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
    client.call(method, target, timeout_s=5.0, on_result=future.set_result, body=body)
    return await future


def test_calls_reuse_their_connection() -> None:
    """Guards against a new connection for each call, which workers charge for."""

    async def scenario(address: str, server: HttpServer) -> None:
        client = HttpClient(address=address, max_connections=2)
        for number in range(5):
            answer = await call(client, "POST", "/x", b"%d" % number)
            assert isinstance(answer, Response)
            assert answer.body == b"%d" % number
        assert len(server.connections) == 1
        client.close()

    serve(scenario)


def test_a_refused_connection_is_told_from_a_silent_one() -> None:
    """Guards against an error that hides whether anybody listens."""

    async def main() -> None:
        client = HttpClient(address=free_address(), max_connections=1)
        assert await call(client, "GET", "/") is CallError.REFUSED

    asyncio.run(main())


def test_a_call_without_an_answer_ends_and_later_ones_work() -> None:
    """Guards against a connection that stays blocked by a call that was given up."""
    held: list[Exchange] = []

    def handler(exchange: Exchange) -> None:
        if exchange.request.path == "/hang":
            held.append(exchange)
        else:
            exchange.respond(200)

    async def scenario(address: str, server: HttpServer) -> None:
        client = HttpClient(address=address, max_connections=1)
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        client.call("GET", "/hang", timeout_s=0.05, on_result=future.set_result)
        assert await future is CallError.SILENT
        answer = await call(client, "GET", "/")
        assert isinstance(answer, Response)
        client.close()

    serve(scenario, handler)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 3000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + b"x" * 3000, b"413"),
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", b"200"),
    ],
)
def test_malformed_and_oversized_requests_are_answered(data: bytes, status: bytes) -> None:
    """Guards against a request that ends a connection without an answer."""

    async def scenario(address: str, server: HttpServer) -> None:
        received = await raw(address, data)
        assert received.split()[1] == status

    serve(scenario, limits=ServerLimits(header_bytes=2000, body_bytes=2000))


def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against answers that reach the wrong request."""

    async def scenario(address: str, server: HttpServer) -> None:
        requests = b"".join(
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n%d" % number for number in range(4)
        )
        received = await raw(address, requests, answers=4)
        bodies = [part.rpartition(b"\r\n\r\n")[2][:1] for part in received.split(b"HTTP/1.1")[1:]]
        assert bodies == [b"0", b"1", b"2", b"3"]

    def handler(exchange: Exchange) -> None:
        asyncio.get_running_loop().call_soon(exchange.respond, 200, exchange.request.body)

    serve(scenario, handler)


def test_the_handler_learns_that_a_client_has_left() -> None:
    """Guards against work that goes on for a client that is gone."""
    left: list[str] = []

    def handler(exchange: Exchange) -> None:
        exchange.on_close = lambda: left.append(exchange.request.path)

    async def scenario(address: str, server: HttpServer) -> None:
        host, _, port = address.partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /waits HTTP/1.1\r\n\r\n")
        await writer.drain()
        while not server.pending_requests():
            await asyncio.sleep(0.005)
        writer.close()
        while not left:
            await asyncio.sleep(0.005)

    serve(scenario, handler)


def test_closing_lets_requests_in_progress_end() -> None:
    """Guards against a shutdown that cuts off an answer."""
    held: list[Exchange] = []

    async def scenario(address: str, server: HttpServer) -> None:
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        while not held:
            await asyncio.sleep(0.005)
        server.close_idle()
        held[0].respond(200, b"whole")
        received = await reader.read()
        assert received.endswith(b"whole")
        assert b"Connection: close" in received
        writer.close()

    serve(scenario, held.append)


@settings(max_examples=60)
@given(data=st.binary(max_size=300))
@example(data=b"GET / HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
def test_no_bytes_break_the_server(data: bytes) -> None:
    """Guards against input that leaves the server unable to serve the next client."""

    async def scenario(address: str, server: HttpServer) -> None:
        await raw(address, data, ends=True)
        assert (await raw(address, b"GET / HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 200")

    serve(scenario)
