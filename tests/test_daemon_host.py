"""Tests of the host: core loop, actions of the core, drain and settings."""

from __future__ import annotations

import json
import math

import anyio
import httpx
import pytest

from daemonkit import (
    ScriptedCore,
    body_of,
    client_of,
    make_config,
    running_host,
)
from eelgrassyard._clock import Clock
from eelgrassyard.config import render_document
from eelgrassyard.daemon import main
from eelgrassyard.daemon._loop import CoreLoop
from eelgrassyard.daemon._metrics import Metrics
from eelgrassyard.policy import (
    ConfigLoaded,
    Count,
    DrainCalled,
    Drained,
    HostEntry,
    HostListRead,
    KindEntry,
    LoadConfig,
    Outcome,
    OutcomeKind,
    PeerFailed,
    PeerReceived,
    QueryCalled,
    ReadinessChanged,
    ReplyState,
    Send,
    SlotWithdraw,
    SubmitCalled,
    UpstreamEntry,
    UpstreamRole,
)

WORKERS = {
    "w1": UpstreamEntry(
        name="w1",
        role=UpstreamRole.WORKER,
        url="http://127.0.0.1:1",
        failure_domain="patan",
        cores=4.0,
        memory_mb=1000,
    )
}


def test_events_that_arrive_together_go_into_one_tick():
    """Guards against one tick per event, which would send one frame per message."""

    async def run():
        core = ScriptedCore()
        loop = CoreLoop(
            core=core, clock=Clock(), metrics=Metrics(), execute=lambda now, actions: None
        )
        async with anyio.create_task_group() as group:
            group.start_soon(loop.run)
            await anyio.wait_all_tasks_blocked()
            for _ in range(5):
                loop.put(DrainCalled())
            await core.wait_for(DrainCalled, 5)
            assert core.batches == [5]
            group.cancel_scope.cancel()

    anyio.run(run)


def test_core_ticks_without_events():
    """Guards against a core that takes a minute without events for a pause of its host."""

    async def run():
        times = []
        done = anyio.Event()

        class Ticking(ScriptedCore):
            def tick(self, now, inbox):
                times.append(now)
                if len(times) == 3:
                    done.set()
                return []

            def next_wake(self, now):
                return now + 0.01 if len(times) == 1 else math.inf

        loop = CoreLoop(
            core=Ticking(), clock=Clock(), metrics=Metrics(), execute=lambda now, actions: None
        )
        async with anyio.create_task_group() as group:
            group.start_soon(loop.run)
            with anyio.fail_after(10):
                await done.wait()
            group.cancel_scope.cancel()
        assert times == sorted(times)

    anyio.run(run)


def test_clock_is_the_unix_epoch():
    """Guards against expiry times that mean nothing on other hosts."""
    import time

    assert abs(Clock().now() - time.time()) < 60


def test_messages_of_a_tick_reach_the_other_host():
    """Guards against lost or reordered messages between two running hosts."""

    async def run():
        def script(event):
            if isinstance(event, QueryCalled):
                withdrawals = [SlotWithdraw(submission_id=f"{n}", pool="p") for n in range(5)]
                return [Send(to="patan-1", message=message) for message in withdrawals]
            return []

        receiver = ScriptedCore()
        sender = ScriptedCore(script=script)
        async with (
            running_host(receiver) as first,
            running_host(sender, name="patan-2") as second,
            client_of(second) as client,
        ):
            entry = HostEntry(
                name="patan-1", address="127.0.0.1", port=first.peer_port, failure_domain="patan"
            )
            second._addresses.update_from_config(make_config(hosts_by_name={"patan-1": entry}))
            async with anyio.create_task_group() as group:
                group.start_soon(client.get, "/v1/submissions/id-1")
                received = await receiver.wait_for(PeerReceived, 5)
                group.cancel_scope.cancel()
            assert [event.message.submission_id for event in received] == ["0", "1", "2", "3", "4"]
            assert {event.sender for event in received} == {"patan-2"}

    anyio.run(run)


def test_unreachable_host_is_reported():
    """Guards against a core that is not informed of a host to which no connection can be opened."""

    async def run():
        def script(event):
            message = SlotWithdraw(submission_id="x", pool="p")
            return [Send(to="gone", message=message)] if isinstance(event, QueryCalled) else []

        core = ScriptedCore(script=script)
        async with (
            running_host(core) as host,
            client_of(host) as client,
            anyio.create_task_group() as group,
        ):
            group.start_soon(client.get, "/v1/submissions/id-1")
            assert (await core.wait_for(PeerFailed))[0].peer == "gone"
            group.cancel_scope.cancel()

    anyio.run(run)


def test_readiness_and_counters_follow_the_core():
    """Guards against a load balancer that routes callers to a host that is not ready."""

    async def run():
        def script(event):
            if not isinstance(event, QueryCalled):
                return []
            return [
                ReadinessChanged(ready=True, reason="configured"),
                Count(metric="probe", value=3),
                ReplyState(call=event.call, submission_id="id-1", outcome=None),
            ]

        core = ScriptedCore(script=script)
        async with running_host(core) as host, client_of(host, "operator") as client:
            assert (await client.get("/readyz")).status_code == 503
            await client.get("/v1/submissions/id-1")
            ready = (await client.get("/readyz")).json()
            assert ready == {"ready": True, "reason": "configured"}
            counters = (await client.get("/v1/state/counters")).json()["counters"]
            assert counters["probe"] == 3

    anyio.run(run)


def test_documents_from_peers_are_checked_before_the_core_gets_them():
    """Guards against an invalid or outdated configuration document that comes into force."""

    async def run():
        kinds = {"bind": KindEntry(name="bind")}
        config = make_config(kinds_by_name=kinds, callers_by_name={}, upstreams_by_name=WORKERS)
        good = render_document(config, author="test", change_id="0" * 32)

        def script(event):
            if isinstance(event, QueryCalled):
                return [
                    LoadConfig(revision=5, document=b"{}"),
                    LoadConfig(revision=1, document=good),
                    LoadConfig(revision=6, document=good),
                ]
            return []

        core = ScriptedCore(script=script)
        async with running_host(core) as host, client_of(host) as client:
            async with anyio.create_task_group() as group:
                group.start_soon(client.get, "/v1/submissions/id-1")
                loaded = await core.wait_for(ConfigLoaded)
                group.cancel_scope.cancel()
            assert [event.revision for event in loaded] == [6]
            assert host.metrics.total_by_name["config.refused"] == 1

    anyio.run(run)


def test_drain_answers_waiting_callers():
    """Guards against a drain that aborts waiting calls, and against one that never ends."""

    async def run():
        held = []

        def script(event):
            if isinstance(event, SubmitCalled):
                held.append(event.call)
            if isinstance(event, DrainCalled):
                return [ReadinessChanged(ready=False, reason="draining")]
            if isinstance(event, QueryCalled):
                outcome = Outcome(kind=OutcomeKind.COMPLETE, results=(b"1",))
                states = [
                    ReplyState(call=call, submission_id="id-1", outcome=outcome)
                    for call in (*held, event.call)
                ]
                return [*states, Drained()]
            return []

        class Draining(ScriptedCore):
            def tick(self, now, inbox):
                actions = super().tick(now, inbox)
                drained = [item for item in actions if isinstance(item, Drained)]
                # The base class finishes the drain at once; here the query finishes it.
                if drained and not any(isinstance(event, QueryCalled) for event in inbox):
                    actions = [item for item in actions if not isinstance(item, Drained)]
                return actions

        core = Draining(script=script)
        answers = []

        async def submit(client) -> None:
            answers.append(await client.put("/v1/submissions/id-1", content=body_of()))

        async with running_host(core) as host, client_of(host) as client:
            async with anyio.create_task_group() as group:
                group.start_soon(submit, client)
                await core.wait_for(SubmitCalled)
                async with client_of(host, "operator") as operator:
                    assert (await operator.post("/v1/drain")).status_code == 202
                    await core.wait_for(DrainCalled)
                    ready = await operator.get("/readyz")
                    assert ready.status_code == 503
                    assert ready.headers["connection"] == "close"
                last = await client.get("/v1/submissions/id-1")
                assert last.status_code == 200
            assert answers[0].json()["results"] == [1]
            with anyio.fail_after(10), pytest.raises(httpx.ConnectError):
                while True:
                    async with client_of(host, None) as late:
                        await late.get("/healthz")

    anyio.run(run)


GOOD_SETTINGS = {
    "name": "patan-1",
    "failure_domain": "patan",
    "id_key": "ab" * 32,
    "http": {"address": "127.0.0.1", "port": 0},
    "peer": {"address": "127.0.0.1", "port": 0},
    "store": {"url": "http://127.0.0.1:1", "key": "site"},
    "host_list": {"url": "http://127.0.0.1:1"},
}

BAD_SETTINGS = [
    ({"name": "Patan 1"}, ["name", "'Patan 1'", "pattern"]),
    ({"id_key": "secret"}, ["id_key", "hidden", "pattern"]),
    ({"http": {"address": "localhost", "port": 1}}, ["http.address", "'localhost'", "IP address"]),
    ({"http": {"address": "127.0.0.1", "port": 70000}}, ["http.port", "70000", "65535"]),
    ({"http": {"address": "127.0.0.1"}}, ["http.port", "missing"]),
    ({"store": {"url": "http://kv:1", "key": "x"}}, ["store.url", "'http://kv:1'", "IP:PORT"]),
    ({"limits": {"connections": "many"}}, ["limits.connections", "'many'", "integer"]),
    ({"limits": {"conections": 5}}, ["limits.conections", "not a known setting"]),
    ({"log_level": "loud"}, ["log_level", "'loud'", "'debug'"]),
]


@pytest.mark.parametrize("change, parts", BAD_SETTINGS)
def test_bad_setting_is_one_line_with_file_key_value_and_what_is_allowed(
    tmp_path, capsys, change, parts
):
    """Guards against a start with invalid settings, and against errors without file and key."""
    path = tmp_path / "host.jsonc"
    path.write_text("// comment\n" + json.dumps({**GOOD_SETTINGS, **change}))
    assert main(["eelgrassyardd", f"--settings={path}"]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert str(path) in error
    for part in parts:
        assert part in error
    assert "secret" not in error


@pytest.mark.parametrize("content", ["", "[]", "{", '{"name": "a", "name": "b"}', "{a: 1}}"])
def test_settings_that_are_not_an_object_are_refused(tmp_path, capsys, content):
    """Guards against a traceback instead of an error message."""
    path = tmp_path / "host.jsonc"
    path.write_text(content)
    assert main(["eelgrassyardd", f"--settings={path}"]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_wrong_usage_is_refused(tmp_path, capsys):
    """Guards against a daemon that starts without settings."""
    for arguments in ([], ["--settings=/nowhere"], ["--setting=x"], ["--settings=x", "more"]):
        assert main(["eelgrassyardd", *arguments]) == 2
        assert capsys.readouterr().err.count("\n") == 1


def test_example_settings_are_valid():
    """Guards against an invalid example file and one that departs from the default limits."""
    from eelgrassyard.daemon._settings import read_settings

    settings = read_settings("sites/host-settings.example.jsonc").unwrap()
    assert settings.name == "patan-1"
    assert settings.limits == type(settings.limits)()


def test_host_list_is_read_without_its_broken_entries():
    """Guards against rejecting the whole host list because of one invalid entry."""
    from eelgrassyard.daemon._host_list import parse_host_list

    metrics = Metrics()
    entries = [
        {
            "name": "patan-1",
            "role": "entry",
            "address": "10.0.0.1",
            "port": 7000,
            "failure_domain": "patan",
            "state": "live",
        },
        {
            "name": "r1",
            "role": "runner",
            "address": "10.0.0.2",
            "port": 8000,
            "failure_domain": "patan",
            "service": "ruling",
            "slots": 8,
            "state": "leaving",
        },
        {"name": "broken", "role": "runner"},
        {"name": "odd", "role": "other", "failure_domain": "patan", "state": "live"},
        None,
    ]
    listed = parse_host_list(json.dumps({"hosts": entries}).encode(), metrics)
    assert isinstance(listed, HostListRead)
    assert [item.host.name for item in listed.hosts] == ["patan-1"]
    assert [(item.upstream.url, item.leaving) for item in listed.upstreams] == [
        ("http://10.0.0.2:8000", True)
    ]
    assert metrics.total_by_name["host_list.bad_entry"] == 3
    for body in (b"", b"[]", b"{}", b'{"hosts": 1}'):
        assert parse_host_list(body, metrics) is None


def test_fault_of_the_core_is_logged_and_ends_the_loop(caplog):
    """Guards against continuing with partly updated tables, and against an exit without a log."""

    class Failing(ScriptedCore):
        def tick(self, now, inbox):
            raise ZeroDivisionError

    async def run():
        loop = CoreLoop(
            core=Failing(), clock=Clock(), metrics=Metrics(), execute=lambda now, actions: None
        )
        with pytest.raises(ZeroDivisionError):
            await loop.run()

    anyio.run(run)
    assert "the decision core failed" in caplog.text
