"""Tests of odd input that reaches a daemon from the platform services and from upstreams."""

from __future__ import annotations

import json
import random

import anyio
import httpx
import pytest

from eelgrassyard._clock import Clock
from eelgrassyard.daemon._connections import HttpConnections, HttpReply, client_tls
from eelgrassyard.daemon._metrics import Metrics
from eelgrassyard.daemon._peers import PeerLink
from eelgrassyard.daemon._platform_clients import StoreWatcher, parse_host_list
from eelgrassyard.daemon._settings import LimitSettings, StoreSettings
from eelgrassyard.daemon._upstream_client import UpstreamAddress, UpstreamClient
from eelgrassyard.policy import PingRequest, UpstreamRole

URL = "http://127.0.0.1:1"
HOST = {
    "name": "patan-1",
    "role": "entry",
    "address": "10.0.0.1",
    "port": 7000,
    "failure_domain": "patan",
    "state": "live",
}
RUNNER = {**HOST, "name": "r1", "role": "runner", "service": "ruling", "slots": 8}

ODD_ENTRIES = {
    "deep": json.dumps({**HOST, "name": "odd"})[:-1] + ',"note":' + "[" * 5_000 + "]" * 5_000 + "}",
    "port": json.dumps({**HOST, "name": "odd", "port": 70_000}),
    "port of 400 digits": json.dumps({**HOST, "name": "odd", "port": int("9" * 400)}),
    "port infinite": json.dumps({**HOST, "name": "odd"})[:-1] + ',"port":1e999}',
    "weight": json.dumps({**HOST, "name": "odd"})[:-1] + ',"weight":1e999}',
    "weight not a number": json.dumps({**HOST, "name": "odd"})[:-1] + ',"weight":NaN}',
    "address": json.dumps({**HOST, "name": "odd", "address": "10.0.0.1\0"}),
    "name": json.dumps({**HOST, "name": "\ud800"}),
    "runner's port": json.dumps({**RUNNER, "name": "odd", "port": 70_000}),
    "runner's URL": json.dumps({**RUNNER, "name": "odd", "url": "http://10.0.0.1:99999"}),
    "slots": json.dumps({**RUNNER, "name": "odd"})[:-1] + ',"slots":1e999}',
    "memory": json.dumps({**RUNNER, "name": "odd", "role": "worker", "memory_mb": 10**400}),
    "text": '"odd"',
}


@pytest.mark.parametrize("case", list(ODD_ENTRIES))
def test_an_odd_entry_hides_no_other_host_or_upstream(case: str) -> None:
    """Guards against a daemon that ends, or follows the host list no more, for one odd entry."""
    entries = [json.dumps(HOST), ODD_ENTRIES[case], json.dumps(RUNNER)]
    metrics = Metrics()
    listed = parse_host_list(f'{{"hosts": [{", ".join(entries)}]}}'.encode(), metrics)
    assert listed is not None
    # A value that is nested too deeply in a field that nobody reads leaves the entry usable.
    odd = ["odd"] if case == "deep" else []
    assert [item.host.name for item in listed.hosts] == ["patan-1", *odd]
    assert [item.upstream.name for item in listed.upstreams] == ["r1"]
    assert metrics.total_by_name["host_list.bad_entry"] == (0 if odd else 1)


@pytest.mark.parametrize(
    "body", [b"[" * 100_000, b'{"hosts":' * 100_000, b'{"hosts": "\xff"}', b'{"hosts": 1}']
)
def test_an_unreadable_host_list_is_passed_over(body: bytes) -> None:
    """Guards against a daemon that ends for a list that its parser refuses."""
    assert parse_host_list(body, Metrics()) is None


@pytest.mark.parametrize("end", [b"", b"\\", b"\\\\"])
def test_a_long_string_without_an_end_does_not_stall_the_daemon(end: bytes) -> None:
    """Guards against a daemon that serves nothing for hours, because it looks for the end of such a
    string from each of the quotes in it."""
    body = b"[" * 70 + b'"' + b'\\"' * 2_000_000 + end
    assert parse_host_list(body, Metrics()) is None


@pytest.mark.parametrize(
    "body",
    [
        b'{"revision": 2, "value": ' + b"[" * 100_000,
        b'{"revision": 1e999, "value": "text"}',
        b'{"revision": Infinity, "value": "text"}',
        b'{"revision": ' + b"9" * 400 + b', "value": "text"}',
        b'{"revision": 2, "value": "\\ud800"}',
        b'{"revision": 2}',
        b"[]",
    ],
)
def test_an_odd_answer_of_the_store_does_not_end_its_watch(body: bytes) -> None:
    """Guards against a daemon that ends for an answer of the store that it can't read."""
    documents: list[bytes] = []
    watcher = StoreWatcher(
        settings=StoreSettings(url=URL, key="site"),
        connections=HttpConnections(
            url=URL, tls=client_tls(URL), connect_s=1.0, idle_s=1.0, max_idle=1, max_answer_bytes=1
        ),
        metrics=Metrics(),
        rng=random.Random(1),
        on_document=lambda revision, document: documents.append(document),
        revision=lambda: 0,
    )
    assert not watcher._apply_value(body)
    assert watcher._apply_value(b'{"revision": 2, "value": "text"}')
    assert documents == [b"text"]


@pytest.mark.parametrize(
    "tasks",
    [
        '[{"task": "a/0", "kind": "rule", "cores": 1, "memory_mb": 1e999}]',
        '[{"task": "a/0", "kind": "rule", "cores": Infinity, "memory_mb": 1}]',
        '[{"task": "a/0", "kind": "rule", "cores": 1, "memory_mb": ' + "9" * 400 + "}]",
        "[" * 100_000,
    ],
)
def test_an_odd_usage_report_is_passed_over(tasks: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a daemon that ends for the usage report of one worker."""
    reports: list[object] = []
    metrics = Metrics()
    body = f'{{"tasks": {tasks}}}'.encode()

    async def answer(*_: object, **__: object) -> HttpReply:
        return HttpReply(status=200, headers=httpx.Headers(), body=body)

    async def run() -> None:
        async with anyio.create_task_group() as group:
            client = UpstreamClient(
                group=group,
                address_of=lambda name: UpstreamAddress(url=URL, role=UpstreamRole.WORKER),
                lease_s=lambda: 1.0,
                put=reports.append,
                clock=Clock(),
                limits=LimitSettings(),
                metrics=metrics,
            )
            monkeypatch.setattr(client, "_send_control", answer)
            await client.read_usage("w1")

    anyio.run(run)
    assert reports == []
    assert metrics.total_by_name["upstream.bad_usage"] == 1


@pytest.mark.parametrize("address", [("127.0.0.1", 70_000), ("127.0.0.1", -1), ("\0", 1)])
def test_an_odd_address_of_a_host_is_a_failed_connection(address: tuple[str, int]) -> None:
    """Guards against a daemon that ends because another host's address can't be connected to."""
    failed: list[str] = []

    async def run() -> None:
        async with anyio.create_task_group() as group:

            def record_failure(name: str) -> None:
                failed.append(name)
                group.cancel_scope.cancel()

            link = PeerLink(
                name="patan-1",
                sender="thamel-1",
                incarnation=7,
                address_of=lambda name: address,
                tls=None,
                max_messages=10,
                metrics=Metrics(),
                on_failure=record_failure,
                rng=random.Random(1),
            )
            link.put([PingRequest(sequence=1, target="thamel-2")])
            group.start_soon(link.run)

    anyio.run(run)
    assert failed == ["patan-1"]
