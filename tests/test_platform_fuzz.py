"""Fuzzing of what other processes write: entries of the store, and answers of workers."""

from __future__ import annotations

import asyncio
import contextlib
import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.dispatch._actions import (
    Answered,
    CallFailure,
    PollReport,
    PollWorker,
    StartRun,
    StopRun,
)
from eelgrassyard.dispatch._jobs import TaskId
from eelgrassyard.net import Response
from eelgrassyard.platform._documents import decode_config, decode_host, decode_worker
from eelgrassyard.platform._worker_calls import PlatformWorkerCalls
from eelgrassyard.standins import reserve_ports
from platform_standin import config

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "10.0.0.1:²", ":", "a:b:1"])
    | st.sampled_from(["5c0e7a21d94b36f8.0.0.²", "a.0.0." + "9" * 5000, 2**53 + 1, 2**70, 1e308]),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)

WORKER = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "patan",
    "state": "ready",
    "capacity": {"cpu": 64000, "mem_mb": 1000, "gpu": 0},
    "labels": ["a", "r1"],
}

HOST = ["front-1", "10.0.0.1:1", "d", 1, 1.0]

POLL = {
    "clock_ms": 5.0,
    "running": [["5c0e7a21d94b36f8.0.0.1", 1, "", 40]],
    "finished": [[1, "5c0e7a21d94b36f8.0.0.2", 1, "done", ""]],
    "born": 1,
}


@st.composite
def changed(draw: st.DrawFn, document: dict[str, object] | list[object]) -> bytes:
    """A document with some fields replaced, at the top or one level below, or cut off."""
    copy = json.loads(json.dumps(document))
    for _ in range(draw(st.integers(1, 3))):
        target = copy
        keys = sorted(copy) if isinstance(copy, dict) else range(len(copy))
        key = draw(st.sampled_from(keys))
        inner = copy[key]
        if isinstance(inner, dict) and inner and draw(st.booleans()):
            target, key = inner, draw(st.sampled_from(sorted(inner)))
        elif isinstance(inner, list) and inner and draw(st.booleans()):
            inner[0] = draw(VALUES)
            continue
        target[key] = draw(VALUES)
    text = json.dumps(copy).encode()
    return text[: draw(st.integers(0, len(text)))] if draw(st.booleans()) else text


@settings(derandomize=True, deadline=None, max_examples=400)
@given(changed(WORKER) | st.binary(max_size=40))
def test_no_worker_entry_raises(value: bytes) -> None:
    """Guards against an entry of another writer that ends the process, or a usable record without
    a port that can be connected to."""
    result = decode_worker("w", value)
    if result.is_ok():
        host, _, port = result.unwrap().address.rpartition(":")
        assert host
        assert int(port) >= 0


@settings(derandomize=True, deadline=None, max_examples=400)
@given(changed(json.loads(config())) | st.binary(max_size=40))
def test_no_configuration_raises(value: bytes) -> None:
    """Guards against a configuration that ends the process."""
    decode_config(value)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(changed(HOST) | st.binary(max_size=40))
def test_no_host_entry_raises(value: bytes) -> None:
    """Guards against a host entry that ends the process, or a usable record that no message
    between hosts can hold."""
    result = decode_host("front-1", value)
    if result.is_ok():
        msgspec.msgpack.encode(result.unwrap())


@settings(derandomize=True, deadline=None, max_examples=400)
@given(changed(POLL) | st.binary(max_size=40), st.sampled_from([200, 409, 421, 429, 500, 503]))
def test_no_answer_of_a_worker_raises(body: bytes, status: int) -> None:
    """Guards against an answer that ends the process or is taken for something else."""
    calls = PlatformWorkerCalls(on_invalid_answer=lambda *_: None, is_in_use=lambda _: True)
    response = Response(status=status, body=body)
    if status == 200:
        assert isinstance(calls._decode_poll_answer("w", response), PollReport | CallFailure)
    assert isinstance(calls._decode_order_answer("w", response), Answered | CallFailure)


@pytest.mark.parametrize("address", ["10.0.0.1:²", "10.0.0.1:", "80", "10.0.0.1:99999"])
def test_an_address_without_a_usable_port_is_refused(address: str) -> None:
    """Guards against connections to a worker that fail before they begin, which were never counted
    as closed."""
    assert decode_worker("w", json.dumps({**WORKER, "address": address}).encode()).is_err()


ROW = "5c0e7a21d94b36f8.0.0.1"


def decode_poll(**changes: object) -> tuple[PollReport | Answered | CallFailure, list[str]]:
    """Decode the answer to a poll with some fields replaced.

    :returns: the result, and the reasons that were reported.
    """
    reasons: list[str] = []
    calls = PlatformWorkerCalls(
        on_invalid_answer=lambda _, reason: reasons.append(reason), is_in_use=lambda _: True
    )
    body = json.dumps({**POLL, **changes}).encode()
    response = Response(status=200, body=body)
    return calls._decode("w", response, calls._decode_poll_answer), reasons


@pytest.mark.parametrize(
    "name",
    ["5c0e7a21d94b36f8.0.²", "5c0e7a21d94b36f8.0.0.²", "a.0.0." + "9" * 5000, "a.0.-1.0", "..0.0"],
)
def test_a_row_with_an_odd_task_name_affects_no_other_row(name: str) -> None:
    """Guards against a name with other digits, or too many, that raises in the decoder: the poll
    had no result, and the worker was not polled again."""
    result, reasons = decode_poll(
        running=[[name, 1, "", 40], [ROW, 1, "", 40]],
        finished=[[1, name, 1, "done"], [2, ROW, 2, "done"]],
    )
    assert isinstance(result, PollReport)
    assert [(entry.task.job, entry.run) for entry in result.running] == [(ROW[:16], 1)]
    assert [entry.number for entry in result.ended] == [1, 2]
    assert result.ended[0].task.job == ""
    assert len(reasons) == 1


@pytest.mark.parametrize("percent", [-5, 101, 1e308, "x", None, [], 10**30])
def test_an_odd_percent_is_clamped(percent: object) -> None:
    """Guards against a poll that fails, or a negative remaining time, because of a rough figure."""
    result, _ = decode_poll(running=[[ROW, 1, {}, percent]])
    assert isinstance(result, PollReport)
    assert 0 <= result.running[0].percent <= 100


@pytest.mark.parametrize(
    "end", [[7, ROW, 10**30, "done"], [7, ROW, "1", "done"], [7, ROW, -1, []], [7, 5, 1, "done"]]
)
def test_an_unreadable_end_is_acknowledged_without_its_run(end: list[object]) -> None:
    """Guards against a row that is listed in each answer for good, and against run numbers that
    can't be sent to other hosts."""
    result, reasons = decode_poll(finished=[end, [8, ROW, 2, "done"]])
    assert isinstance(result, PollReport)
    assert [(entry.number, entry.task.job) for entry in result.ended] == [(7, ""), (8, ROW[:16])]
    assert len(reasons) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"clock_ms": 1e308},
        {"clock_ms": -1.0},
        {"clock_ms": 2**60},
        {"born": 2**70},
        {"born": -1},
        {"finished": [[2**70, ROW, 1, "done"]]},
        {"finished": [["1", ROW, 1, "done"]]},
        {"running": [[5, 1]]},
        {"running": [[ROW, "1"]]},
        {"running": [[ROW, 1.5]]},
        {"running": [[ROW, True]]},
    ],
)
def test_an_answer_with_numbers_out_of_range_or_an_unreadable_run_is_invalid(
    changes: dict[str, object],
) -> None:
    """Guards against a clock whose deadline overflows, numbers that can't be sent to other hosts,
    which lost all actions of that turn, and a run in progress that counts as ended since its row
    can't be read."""
    result, reasons = decode_poll(**changes)
    assert result is CallFailure.BROKEN
    assert len(reasons) == 1


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"reason":"odd"}', b'{"reason":5}', b'{"reason":"room"', b"\xff"]
)
def test_an_unreadable_refusal_does_not_count_as_an_invalid_task(body: bytes) -> None:
    """Guards against a caller's job that fails because one worker's refusal can't be read."""
    reasons: list[str] = []
    calls = PlatformWorkerCalls(
        on_invalid_answer=lambda _, reason: reasons.append(reason), is_in_use=lambda _: True
    )
    response = Response(status=409, body=body)
    assert calls._decode_order_answer("w", response) is CallFailure.BROKEN
    assert reasons


HEADS = st.sampled_from(
    [
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 204 X\r\n\r\n",
        b"HTTP/1.1 409 X\r\n",
        b"HTTP/1.1 999 X\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
    ]
)


@st.composite
def responses(draw: st.DrawFn) -> bytes:
    """What a worker writes for one request: a response, a part of one, several, or any bytes."""
    data = b""
    for _ in range(draw(st.integers(1, 2))):
        body = draw(changed(POLL) | st.binary(max_size=20))
        data += draw(HEADS)
        if draw(st.integers(0, 3)):
            data += b"Content-Length: %d\r\n\r\n" % len(body)
        data += body
    return draw(st.binary(max_size=10)) if draw(st.integers(0, 5)) == 5 else data


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(responses(), min_size=1, max_size=3))
def test_each_call_to_a_worker_has_one_result(answers: list[bytes]) -> None:
    """Guards against a call without a result, or with two, and an error that reaches the event
    loop, whatever listens at the address of a worker."""
    reported: list[object] = []
    results: list[list[object]] = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with (
                contextlib.closing(writer),
                contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
            ):
                for data in answers:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(data)
                    await writer.drain()

        port = reserve_ports(1)[0]
        server = await asyncio.start_server(answer, "127.0.0.1", port)
        record = decode_worker(
            "w", json.dumps({**WORKER, "address": f"127.0.0.1:{port}"}).encode()
        ).unwrap()
        calls = PlatformWorkerCalls(on_invalid_answer=lambda *_: None, is_in_use=lambda _: False)
        calls.set_workers({"w": record})
        task = TaskId("5c0e7a21d94b36f8", 0, 0)
        for number in range(6):
            result: list[object] = []
            results.append(result)
            match number % 3:
                case 0:
                    poll = PollWorker(
                        worker_id="w",
                        fence=1,
                        deadline_s=1.0,
                        ends_seen=0,
                        wait_s=0.0,
                        margin_s=0.05,
                    )
                    calls.poll(poll, result.append)
                case 1:
                    start = StartRun(
                        worker_id="w",
                        task=task,
                        run=1,
                        payload="x",
                        deadline_s=1.0,
                        fence=1,
                        timeout_s=0.05,
                    )
                    calls.start(start, result.append)
                case _:
                    stop = StopRun(worker_id="w", task=task, run=1, fence=1, timeout_s=0.05)
                    calls.stop(stop, result.append)
        async with asyncio.timeout(5.0):
            while not all(results):
                await asyncio.sleep(0)
        calls.set_workers({})
        server.close()
        for _ in range(10):
            await asyncio.sleep(0)

    asyncio.run(main())
    assert [len(result) for result in results] == [1] * 6
    assert not reported


@pytest.mark.parametrize(
    "worker_id", ["w\r\nX-Odd: 1", "w\r\n\r\nPOST /api/run-stop HTTP/1.1", "w\x00"]
)
def test_a_worker_id_that_is_no_header_value_is_not_sent(worker_id: str) -> None:
    """Guards against an entry of another writer whose key adds headers or requests to what this
    host sends."""
    reasons: list[str] = []
    results: list[object] = []
    received: list[bytes] = []

    async def main() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.closing(writer):
                received.append(await reader.read(1000))

        port = reserve_ports(1)[0]
        server = await asyncio.start_server(answer, "127.0.0.1", port)
        entry = json.dumps({**WORKER, "address": f"127.0.0.1:{port}"}).encode()
        record = decode_worker("w", entry).unwrap()
        calls = PlatformWorkerCalls(
            on_invalid_answer=lambda _, reason: reasons.append(reason), is_in_use=lambda _: False
        )
        calls.set_workers({worker_id: record})
        stop = StopRun(
            worker_id=worker_id,
            task=TaskId("5c0e7a21d94b36f8", 0, 0),
            run=1,
            fence=1,
            timeout_s=0.2,
        )
        calls.stop(stop, results.append)
        async with asyncio.timeout(5.0):
            while not results:
                await asyncio.sleep(0)
        server.close()

    asyncio.run(main())
    assert results == [CallFailure.BROKEN]
    assert not received
    assert len(reasons) == 1


@pytest.mark.parametrize(
    ("deadline_s", "payload", "failures"),
    [
        (float("inf"), "x", [CallFailure.REFUSED, CallFailure.REFUSED]),
        (float("nan"), "x", [CallFailure.REFUSED, CallFailure.REFUSED]),
        (1e308, "x", [CallFailure.REFUSED, CallFailure.REFUSED]),
        # The poll has no payload; it fails as there is no entry of the worker.
        (1.0, "\ud800", [CallFailure.REFUSED, CallFailure.BROKEN]),
    ],
)
def test_an_order_that_cannot_be_encoded_has_a_result(
    deadline_s: float, payload: str, failures: list[CallFailure]
) -> None:
    """Guards against a start, or a poll, that raises instead of ending: its task stayed ordered,
    and the worker was not polled again."""
    results: list[object] = []
    reported: list[object] = []

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context["exception"]))
        calls = PlatformWorkerCalls(on_invalid_answer=lambda *_: None, is_in_use=lambda _: True)
        task = TaskId("5c0e7a21d94b36f8", 0, 0)
        start = StartRun(
            worker_id="w", task=task, run=1, payload=payload, deadline_s=deadline_s, fence=1
        )
        calls.start(start, results.append)
        poll = PollWorker(worker_id="w", fence=1, deadline_s=deadline_s, ends_seen=0, wait_s=0.0)
        calls.poll(poll, results.append)

    asyncio.run(main())
    assert results == failures
    assert len(reported) == failures.count(CallFailure.REFUSED)
