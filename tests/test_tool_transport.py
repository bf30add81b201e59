"""The client's transport over real sockets on the loopback interface."""

import anyio
import anyio.abc
import httpx
import pytest

from eelgrassyard.cli._transport import DirectTransport

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def run(answers: list[bytes], calls):
    """Serve the answers, one for each request; an empty one closes the connection."""
    connections = 0

    async def handle(stream: anyio.abc.SocketStream) -> None:
        nonlocal connections
        connections += 1
        async with stream:
            try:
                while True:
                    await stream.receive()
                    answer = answers.pop(0)
                    if not answer:
                        return
                    await stream.send(answer)
            except anyio.EndOfStream:
                return

    async def main():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, handle)
            transport = DirectTransport(max_connections=4)
            async with httpx.AsyncClient(transport=transport) as client:
                result = await calls(client, f"http://127.0.0.1:{port}/")
            group.cancel_scope.cancel()
        return result

    return anyio.run(main), connections


def test_connections_are_used_again():
    """Guards against a new connection for every call."""

    async def calls(client, url):
        return [(await client.get(url)).text for _ in range(3)]

    assert run([ANSWER] * 3, calls) == (["ok"] * 3, 1)


def test_a_broken_connection_is_not_used_again():
    """Guards against a call that fails because an earlier one on its connection failed."""

    async def calls(client, url):
        with pytest.raises(httpx.TransportError):
            await client.get(url)
        return (await client.get(url)).text

    assert run([b"", ANSWER], calls) == ("ok", 2)


def test_calls_beyond_the_bound_wait():
    """Guards against more connections than a host accepts from one caller."""

    async def calls(client, url):
        texts = []

        async def call():
            texts.append((await client.get(url)).text)

        async with anyio.create_task_group() as group:
            for _ in range(12):
                group.start_soon(call)
        return texts

    texts, connections = run([ANSWER] * 12, calls)
    assert texts == ["ok"] * 12
    assert connections <= 4
