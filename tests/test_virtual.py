"""The discrete-event simulator that tests and benchmarks share."""

from __future__ import annotations

from bench.virtual import VirtualSite, VirtualStart, loopback_hosts

from eelgrassyard.policy import (
    FencingToken,
    SiteConfig,
    StartResult,
    StartTask,
    UpstreamEntry,
    UpstreamRole,
)


def test_result_of_a_start_is_not_delivered_to_a_restarted_host():
    """Guards against delivering the results of a killed process to its successor."""
    runner = UpstreamEntry(
        name="r", role=UpstreamRole.RUNNER, url="", failure_domain="patan", service="s", slots=1
    )
    config = SiteConfig(
        site="bagmati",
        failure_domains=("patan",),
        hosts_by_name=loopback_hosts(["patan-1"]),
        upstreams_by_name={"r": runner},
    )
    site = VirtualSite(config=config, seed=1, run_time=lambda start, upstream: (1, StartResult.OK))
    site.start_all()
    host = site.host_by_name["patan-1"]
    received = []
    site.on_event = lambda host, events: received.extend(events)
    start = VirtualStart(
        host=host,
        generation=host.generation,
        action=StartTask(
            start=1,
            upstream="r",
            submission_id="id",
            index=0,
            kind="k",
            payload=b"{}",
            cores=1,
            memory_mb=1,
            accelerators=0,
            lease_s=0.0,
            timeout_s=9.0,
            fence=FencingToken(owner="patan-1", incarnation=1, sequence=1),
        ),
        upstream=site.upstream_by_name["r"],
        delay_s=0.001,
    )
    site._arrive(start)
    site.run_until(site.now + 0.5)
    site.kill("patan-1")
    site.start("patan-1")
    received.clear()
    site.run_until(site.now + 2.0)
    assert site.starts_by_task["id", 0] == 1
    assert not [event for event in received if type(event).__name__ == "StartFinished"]
