"""Tests of the peer transport: frames, invalid frames, full queues and reconnection."""

from __future__ import annotations

import contextlib
import random

import anyio
import anyio.abc
import pytest

from eelgrassyard.daemon import _codec
from eelgrassyard.daemon._codec import MAX_FRAME_BYTES, decode_envelope, encode_messages
from eelgrassyard.daemon._metrics import Metrics
from eelgrassyard.daemon._peer_server import PeerServer
from eelgrassyard.daemon._peers import FRAME_LENGTH, PeerLink
from eelgrassyard.daemon._server import bind
from eelgrassyard.policy import (
    ConfigDocument,
    ForwardReply,
    Goodbye,
    Outcome,
    OutcomeKind,
    Ping,
    Reason,
    SlotWithdraw,
)


def frame_of(*messages, sender: str = "thamel-1") -> bytes:
    packed = encode_messages(sender, 7, messages)
    return FRAME_LENGTH.pack(len(packed)) + packed


def withdraw(number: int) -> SlotWithdraw:
    return SlotWithdraw(submission_id=f"id-{number}", pool="p")


class Receiver:
    """A peer server that records the messages it receives."""

    def __init__(self, max_connections: int = 10) -> None:
        self.metrics = Metrics()
        self.messages: list = []
        self.changed = anyio.Event()
        self.socket = bind("127.0.0.1", 0)
        self.port = self.socket.getsockname()[1]
        self.server = PeerServer(
            name="patan-1",
            tls=None,
            max_connections=max_connections,
            metrics=self.metrics,
            on_message=self.take,
        )

    def take(self, event) -> None:
        assert event.incarnation == 7
        self.messages.append(event.message)
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for(self, count: int) -> None:
        with anyio.fail_after(10):
            while len(self.messages) < count:
                await self.changed.wait()


@contextlib.asynccontextmanager
async def receiving(**options):
    receiver = Receiver(**options)
    async with anyio.create_task_group() as group:
        group.start_soon(receiver.server.serve, receiver.socket)
        await anyio.wait_all_tasks_blocked()
        yield receiver
        group.cancel_scope.cancel()


async def wait_for_end(stream: anyio.abc.ByteStream) -> None:
    with anyio.fail_after(10), contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        await stream.receive()


def make_link(address, failed=lambda name: None, max_messages: int = 1000, metrics=None):
    return PeerLink(
        name="patan-1",
        sender="thamel-1",
        incarnation=7,
        address_of=address,
        tls=None,
        max_messages=max_messages,
        metrics=metrics or Metrics(),
        on_failure=failed,
        rng=random.Random(1),
    )


VERSION_99 = _codec._SCHEMA.Envelope.new_message(
    version=99, sender="x", incarnation=1
).to_bytes_packed()

BAD_FRAMES = {
    "oversized": (FRAME_LENGTH.pack(MAX_FRAME_BYTES + 1), "oversized"),
    "random": (FRAME_LENGTH.pack(100) + random.Random(3).randbytes(100), "malformed"),
    "empty": (FRAME_LENGTH.pack(0), "malformed"),
    "version": (FRAME_LENGTH.pack(len(VERSION_99)) + VERSION_99, "version"),
    "own name": (frame_of(withdraw(1), sender="patan-1"), "malformed"),
    "truncated": (frame_of(withdraw(1))[:-5], "truncated"),
    "truncated length": (b"\x00\x00", "truncated"),
}


@pytest.mark.parametrize("name", BAD_FRAMES)
def test_bad_frame_closes_its_connection_and_loses_nothing_else(name):
    """Guards against an invalid frame that ends the process or affects other connections."""
    content, fault = BAD_FRAMES[name]

    async def run():
        async with receiving() as receiver:
            other = await anyio.connect_tcp("127.0.0.1", receiver.port)
            bad = await anyio.connect_tcp("127.0.0.1", receiver.port)
            await other.send(frame_of(withdraw(1)))
            await bad.send(frame_of(withdraw(2)) + content)
            if fault == "truncated":
                await bad.send_eof()
            await wait_for_end(bad)
            await other.send(frame_of(withdraw(3)))
            await receiver.wait_for(3)
            assert {item.submission_id for item in receiver.messages} == {"id-1", "id-2", "id-3"}
            assert receiver.metrics.total_by_name[f"peer.frame_{fault}"] == 1
            await other.aclose()
            await bad.aclose()

    anyio.run(run)


def test_frames_arrive_in_any_split():
    """Guards against decoding a frame before all of it has arrived."""

    async def run():
        rng = random.Random(11)
        content = b"".join(frame_of(withdraw(n), Ping(sequence=n, revision=1)) for n in range(40))
        async with receiving() as receiver:
            stream = await anyio.connect_tcp("127.0.0.1", receiver.port)
            position = 0
            while position < len(content):
                size = rng.randrange(1, 200)
                await stream.send(content[position : position + size])
                position += size
            await receiver.wait_for(80)
            assert receiver.messages[::2] == [withdraw(n) for n in range(40)]
            await stream.aclose()

    anyio.run(run)


def test_connections_are_bounded():
    """Guards against memory exhaustion by clients that open many connections."""

    async def run():
        async with receiving(max_connections=1) as receiver:
            first = await anyio.connect_tcp("127.0.0.1", receiver.port)
            await first.send(frame_of(withdraw(1)))
            await receiver.wait_for(1)
            second = await anyio.connect_tcp("127.0.0.1", receiver.port)
            await wait_for_end(second)
            await first.send(frame_of(withdraw(2)))
            await receiver.wait_for(2)
            assert receiver.metrics.total_by_name["peer.connections_refused"] == 1
            await first.aclose()
            await second.aclose()

    anyio.run(run)


def test_link_sends_a_tick_as_one_frame_and_connects_again():
    """Guards against one frame per message, and against a link that does not reconnect."""

    async def run():
        failures = []
        failed = anyio.Event()

        def note(name: str) -> None:
            failures.append(name)
            failed.set()

        port = 0
        async with anyio.create_task_group() as group:
            async with receiving() as receiver:
                port = receiver.port
                link = make_link(lambda name: ("127.0.0.1", port), note)
                link.put([withdraw(n) for n in range(50)])
                group.start_soon(link.run)
                await receiver.wait_for(50)
                assert receiver.messages == [withdraw(n) for n in range(50)]
                assert receiver.metrics.total_by_name["peer.frames_received"] == 1
            with anyio.fail_after(10):
                await failed.wait()
            assert failures[0] == "patan-1"
            async with receiving() as receiver:
                port = receiver.port
                link.put([withdraw(60)])
                await receiver.wait_for(1)
                assert receiver.messages == [withdraw(60)]
            group.cancel_scope.cancel()

    anyio.run(run)


def test_link_reports_that_it_cannot_connect():
    """Guards against connection failures, here of an unknown address, that are not reported."""

    async def run():
        failures = []
        done = anyio.Event()

        def note(name: str) -> None:
            failures.append(name)
            if len(failures) == 3:
                done.set()

        async with anyio.create_task_group() as group:
            link = make_link(lambda name: None, note)
            link.put([withdraw(1)])
            group.start_soon(link.run)
            with anyio.fail_after(10):
                await done.wait()
            assert link.queued == 1
            group.cancel_scope.cancel()

    anyio.run(run)


def test_full_queue_drops_the_oldest_pings_first():
    """Guards against an unbounded queue, and against dropping other messages before pings."""
    metrics = Metrics()

    async def run():
        link = make_link(lambda name: None, max_messages=10, metrics=metrics)
        for number in range(8):
            link.put([withdraw(number), Ping(sequence=number, revision=1)])
        assert link.queued == 10
        kept = [item.message for item in link._queue]
        assert [item for item in kept if isinstance(item, SlotWithdraw)] == [
            withdraw(number) for number in range(8)
        ]
        assert [item.sequence for item in kept if isinstance(item, Ping)] == [6, 7]
        link.put([withdraw(number) for number in range(8, 20)])
        assert [item.message for item in link._queue] == [withdraw(n) for n in range(10, 20)]

    anyio.run(run)
    assert metrics.total_by_name["peer.dropped"] == 10


def test_batches_above_the_frame_limit_are_split():
    """Guards against a frame above the size limit, which every receiver refuses."""

    async def run():
        link = make_link(lambda name: None)
        rng = random.Random(2)
        documents = [ConfigDocument(revision=n, document=rng.randbytes(900_000)) for n in range(10)]
        frames = link._encode(documents)
        assert all(len(frame) <= MAX_FRAME_BYTES + FRAME_LENGTH.size for frame in frames)
        received = [
            item for frame in frames for item in decode_envelope(frame[4:]).unwrap().messages
        ]
        assert received == documents

    anyio.run(run)


def test_reply_above_the_frame_limit_becomes_a_refusal():
    """Guards against a caller that waits for a reply that is too large for a frame."""

    async def run():
        link = make_link(lambda name: None)
        results = (random.Random(2).randbytes(MAX_FRAME_BYTES + 1),)
        outcome = Outcome(kind=OutcomeKind.COMPLETE, results=results)
        reply = ForwardReply(call=5, submission_id="id-1", outcome=outcome)
        goodbye = Goodbye(incarnation=7)
        frames = link._encode([reply, goodbye])
        messages = [
            item for frame in frames for item in decode_envelope(frame[4:]).unwrap().messages
        ]
        assert messages[0].refusal is Reason.OWNER_UNREACHABLE
        assert messages[0].call == 5
        assert "thamel-1" in messages[0].message
        assert messages[1] == goodbye

    anyio.run(run)


def test_message_outside_the_schema_is_dropped_alone():
    """Guards against a value outside the schema that ends the process or drops its whole batch."""
    metrics = Metrics()

    async def run():
        link = make_link(lambda name: None, metrics=metrics)
        frames = link._encode([withdraw(1), Goodbye(incarnation=-1), withdraw(2)])
        messages = [
            item for frame in frames for item in decode_envelope(frame[4:]).unwrap().messages
        ]
        assert messages == [withdraw(1), withdraw(2)]

    anyio.run(run)
    assert metrics.total_by_name["peer.unencodable"] == 1
