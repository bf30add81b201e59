"""Tests of what a host shows, and goes on doing, when one of its parts fails."""

from __future__ import annotations

import re
import socket

import anyio
import pytest

from eelgrassyard.platform._host import PlatformHost
from eelgrassyard.platform._items import Item
from eelgrassyard.platform._registration import Registration
from eelgrassyard.platform._store_follower import StoreFollower
from platform_standin import config
from test_platform_host import JOB, Site, free_address, run_scenario

SAMPLE = re.compile(r'^eelgrassyard_(\w+?)(?:\{\w+="([^"]*)"\})? (\S+)$', re.MULTILINE)


async def read_metrics(site: Site, address: str) -> dict[tuple[str, str], float]:
    """Metrics with at most one label, by name without the prefix and value of the label."""
    answer = await site.call(address, "GET", "/metrics")
    assert answer.status == 200
    samples = SAMPLE.findall(answer.body.decode())
    return {(name, label): float(value) for name, label, value in samples}


def test_metrics_show_what_the_process_uses_ignores_and_follows() -> None:
    """Guards against metrics that cannot tell a full memory, an ignored entry and a store that is
    not followed from each other."""

    async def scenario(site: Site) -> None:
        site.store.put("op/config", config(version=9)[:-1])
        while not site.host._journal.count_by_event["config_unusable"]:
            await site.call(site.settings.ready_address, "GET", "/api/ready")
        metrics = await read_metrics(site, site.settings.ready_address)
        assert metrics["log_events_total", "worker_entry_ignored"] == 1.0
        assert metrics["log_events_total", "config_unusable"] == 1.0
        for prefix in ("op/", "servers/", "hosts/"):
            assert 0.0 <= metrics["registry_age_seconds", prefix] < 10.0
        assert metrics["process_resident_memory_bytes", ""] > 1e6
        assert metrics["process_open_fds", ""] > 3.0
        assert metrics["start_time_seconds", ""] > 1e9
        assert metrics["timer_late_seconds_count", ""] >= 1.0

    run_scenario(scenario)


@pytest.mark.parametrize("port", ["taken", "no port", "70000"])
def test_a_metrics_port_that_cannot_be_used_does_not_end_the_host(port: str) -> None:
    """Guards against a host that ends because of an address that only metrics use."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        if port == "taken":
            port = str(listener.getsockname()[1])

        async def scenario(site: Site) -> None:
            metrics = await read_metrics(site, site.settings.ready_address)
            assert metrics["log_events_total", "metrics_not_served"] == 1.0

        run_scenario(scenario, metrics_port=port)


def test_metrics_are_served_at_a_port_of_their_own() -> None:
    """Guards against metrics that cannot be fetched because the port of the ready address is
    different each day."""
    address = free_address()

    async def scenario(site: Site) -> None:
        metrics = await read_metrics(site, address)
        assert metrics["ready", ""] == 1.0

    run_scenario(scenario, metrics_port=address.rpartition(":")[2])


FAILURES = [
    ("mirror op/", StoreFollower, "_operator_keys_changed"),
    ("mirror servers/", StoreFollower, "_workers_changed"),
    ("mirror hosts/", StoreFollower, "_hosts_changed"),
    ("registration", Registration, "maintain"),
    ("settings", PlatformHost, "_reload_settings"),
    ("housekeeping", StoreFollower, "_report_store_traffic"),
]


@pytest.mark.parametrize(
    ("task", "part", "method"), FAILURES, ids=[task for task, _, _ in FAILURES]
)
def test_an_error_in_a_background_task_does_not_end_the_host(
    task: str, part: type, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one odd entry that ends the process, and against a task that stays dead."""
    original = getattr(part, method)
    failures: list[str] = []

    def fail_once(self: object, *arguments: object) -> object:
        if not failures:
            failures.append(method)
            raise RecursionError("maximum recursion depth exceeded")
        return original(self, *arguments)

    monkeypatch.setattr(part, method, fail_once)

    async def scenario(site: Site) -> None:
        with anyio.fail_after(10.0):
            while True:
                metrics = await read_metrics(site, site.settings.ready_address)
                if metrics.get(("task_restarts_total", task)) == 1.0:
                    break
                await anyio.sleep(0.05)
        assert metrics["unhandled_errors_total", task] == 1.0
        assert metrics["log_events_total", "task_failed"] == 1.0
        assert metrics["tasks_failing", ""] == 1.0
        while "hosts/front-1" not in site.store.items:
            await anyio.sleep(0.05)
        job = {**JOB, "best_effort": True}
        answer = await site.request_as_caller("POST", "/lohu930/5c0e7a21d94b36f8", job)
        assert answer.status == 200

    run_scenario(scenario)


def test_a_mirror_that_failed_applies_the_change_that_it_failed_at() -> None:
    """Guards against a restarted mirror that goes on after the change and never applies it."""

    async def scenario(site: Site) -> None:
        host, failures = site.host, list[str]()
        mirror = host._follower._worker_mirror
        apply_change = mirror._on_change

        def fail_once(items: dict[str, Item], revision: int) -> None:
            if not failures and "servers/i-2" in items:
                failures.append("servers/i-2")
                raise RecursionError("maximum recursion depth exceeded")
            apply_change(items, revision)

        mirror._on_change = fail_once
        site.store.put("servers/i-2", site.worker.entry(site.worker_address, "patan", "svc"))
        with anyio.fail_after(10.0):
            while "i-2" not in host._follower._record_by_id:
                await anyio.sleep(0.02)
        assert failures

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "part"), [("/metrics", "metrics"), ("/state", "state")], ids=["metrics", "state"]
)
def test_an_error_in_metrics_or_state_is_a_500_and_the_host_stays_ready(
    path: str, part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a host that is taken out of rotation, or a reader that waits in vain, because
    one value cannot be shown."""

    async def scenario(site: Site) -> None:
        def fail(*_: object) -> bytes:
            raise ValueError("odd")

        monkeypatch.setattr(site.host._metrics, "render", fail)
        monkeypatch.setattr(site.host._core, "dump", fail)
        address = site.settings.ready_address
        assert (await site.call(address, "GET", path)).status == 500
        assert (await site.call(address, "GET", "/api/ready")).status == 200
        assert site.host._errors.count_by_part[part] == 1

    run_scenario(scenario)


def test_a_suspension_shows_as_a_late_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against metrics that show a suspended machine as one that ran on time, since the
    clock of the event loop stands still with it."""

    async def scenario(site: Site) -> None:
        clock = site.host._clock
        now = clock.now
        monkeypatch.setattr(clock, "now", lambda: now() + 5.0)
        with anyio.fail_after(10.0):
            while True:
                metrics = await read_metrics(site, site.settings.ready_address)
                if metrics["timer_late_seconds_sum", ""] >= 4.0:
                    return
                await anyio.sleep(0.05)

    run_scenario(scenario)


async def wait_for_event(site: Site, event: str) -> None:
    """Wait until the host has written a line with an event."""
    with anyio.fail_after(10.0):
        while not site.host._journal.count_by_event[event]:
            await anyio.sleep(0.05)


def test_a_lease_that_has_expired_leaves_a_line_and_is_replaced() -> None:
    """Guards against a host whose entry disappears again and again without a line."""

    async def scenario(site: Site) -> None:
        while "hosts/front-1" not in site.store.items:
            await anyio.sleep(0.05)
        site.store.leases.clear()
        await wait_for_event(site, "host_entry_not_renewed")
        with anyio.fail_after(10.0):
            while not site.store.leases:
                await anyio.sleep(0.05)

    run_scenario(scenario)


def test_a_malformed_request_at_the_ready_address_leaves_a_line() -> None:
    """Guards against a balancer whose polls are refused without a line."""

    async def scenario(site: Site) -> None:
        host, _, port = site.settings.ready_address.partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"GET\r\n\r\n")
            await wait_for_event(site, "request_rejected")

    run_scenario(scenario)
