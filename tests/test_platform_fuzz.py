"""Fuzzing of what other processes write: entries of the store, and answers of workers."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.dispatch._actions import Answered, CallFailure, PollReport
from eelgrassyard.net import Response
from eelgrassyard.platform._documents import decode_config, decode_host, decode_worker
from eelgrassyard.platform._worker_calls import PlatformWorkerCalls
from platform_standin import config

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "10.0.0.1:²", ":", "a:b:1"]),
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

HOST = {"name": "h", "address": "a:1", "domain": "d", "incarnation": 1, "weight": 1.0}

POLL = {
    "clock_ms": 5.0,
    "running": [["5c0e7a21d94b36f8.0.0.1", 1, "", 40]],
    "finished": [[1, "5c0e7a21d94b36f8.0.0.2", 1, "done", ""]],
    "born": 1,
}


@st.composite
def changed(draw: st.DrawFn, document: dict[str, object]) -> bytes:
    """A document with some fields replaced, at the top or one level below, or cut off."""
    copy = json.loads(json.dumps(document))
    for _ in range(draw(st.integers(1, 3))):
        target = copy
        key = draw(st.sampled_from(sorted(copy)))
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
    """Guards against a host entry that ends the process."""
    decode_host(value)


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
