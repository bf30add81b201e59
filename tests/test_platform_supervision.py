"""Tests of what a host shows, and goes on doing, when one of its parts fails."""

from __future__ import annotations

import re
import socket

import pytest

from platform_standin import config
from test_platform_host import Site, free_address, run_scenario

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
