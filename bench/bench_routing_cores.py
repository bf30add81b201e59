"""Response time of complete cores relative to the ideal, at load 0.8.

Nine cores with membership, witness records, submissions and the scheduler run on a simulated site;
each caller requests an id and submits at the same host. The ideal is that of ``bench_routing``. The
run is short: only about 80 tasks lie above the 99th percentile. Wasted messages are repeated slot
requests, refusals, withdrawals and digests; pings and witness messages are listed by type.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Sequence

from absl import app, flags

from bench import pool_site
from bench.bench_routing import WAIT_WEIGHTS, after_warm_up, measure, ratios, run_central
from bench.virtual import EPOCH, Reply, VirtualSite
from eelgrassyard.policy import (
    CallerEntry,
    HostEntry,
    OutcomeKind,
    ReplyState,
    SiteConfig,
    StartResult,
    StartTask,
    SubmissionBody,
    TaskSpec,
    UpstreamEntry,
)

SEED = 20
HOSTS = 9
LOAD = 0.8
SETTLE_S = 3.0
"""Time for membership to discover all hosts before the first task."""

DURATION_S = 40.0
WASTED_MESSAGE_TYPES = ("SlotRefusal", "SlotWithdraw", "SpeedDigest", "QuotaDigest")


def make_config(entries: Sequence[UpstreamEntry]) -> SiteConfig:
    """Configuration of :mod:`bench.pool_site` with hosts and callers."""
    hosts = {
        f"host-{i}": HostEntry(
            name=f"host-{i}",
            address="127.0.0.1",
            port=9000 + i,
            failure_domain=pool_site.DOMAINS[i % len(pool_site.DOMAINS)],
        )
        for i in range(HOSTS)
    }
    callers = {f"caller-{i}": CallerEntry(name=f"caller-{i}", team="team") for i in range(3)}
    config = pool_site.make_config(entries)
    return dataclasses.replace(config, hosts_by_name=hosts, callers_by_name=callers)


def run() -> dict[str, object]:
    """Simulate the site and compare with the ideal."""
    entries, speeds = pool_site.make_runners(24)
    capacity = sum(e.slots * speeds[e.name] for e in entries)
    rate = LOAD * capacity / pool_site.mean_work_s()
    tasks = pool_site.make_tasks(seed=SEED, rate_per_s=rate, seconds=DURATION_S, hosts=HOSTS)
    task_by_payload = {b"%d" % task.number: task for task in tasks}

    def run_time(action: StartTask, entry: UpstreamEntry) -> tuple[float, StartResult]:
        return task_by_payload[action.payload].work_s / speeds[entry.name], StartResult.OK

    site = VirtualSite(config=make_config(entries), seed=SEED, run_time=run_time)
    site.start_all()
    site.run_until(EPOCH + SETTLE_S)
    shift = site.now - pool_site.EPOCH
    time_by_number: dict[int, float] = {}

    def submit(task: pool_site.Task) -> None:
        body = SubmissionBody(
            kind=task.kind, tasks=(TaskSpec(payload=b"%d" % task.number),), deadline_s=60.0
        )

        def on_reply(submission_id: str, reply: Reply) -> None:
            if not isinstance(reply, ReplyState) or reply.outcome is None:
                return
            if reply.outcome.kind is OutcomeKind.COMPLETE:
                time_by_number[task.number] = site.now - shift - task.at

        site.submit(f"host-{task.host}", f"caller-{task.number % 3}", body, on_reply)

    for task in tasks:
        site.at(task.at + shift, lambda task=task: submit(task))
    site.run_until(site.now + DURATION_S + 20.0)
    return _result(site, tasks, entries, speeds, time_by_number)


def _result(
    site: VirtualSite,
    tasks: Sequence[pool_site.Task],
    entries: Sequence[UpstreamEntry],
    speeds: dict[str, float],
    time_by_number: dict[int, float],
) -> dict[str, object]:
    times = [time_by_number[t.number] for t in after_warm_up(tasks) if t.number in time_by_number]
    central = [measure(run_central(tasks, entries, speeds, weight)) for weight in WAIT_WEIGHTS]
    ideal = {key: min(row[key] for row in central) for key in ("mean", "p99")}
    count = len(tasks)
    messages = {k: v / count for k, v in sorted(site.messages_by_type.items())}
    repeated = max(0.0, messages.get("SlotAsk", 0.0) - messages.get("SlotGrant", 0.0))
    return {
        "bench": "routing_cores",
        "seed": SEED,
        "load": LOAD,
        "tasks": count,
        "complete": len(time_by_number),
        "measured": len(times),
        "ratios": ratios(measure(times), ideal),
        "messages_per_task": messages,
        "messages_per_task_total": sum(messages.values()),
        "wasted_per_task": repeated + sum(messages.get(name, 0.0) for name in WASTED_MESSAGE_TYPES),
    }


def main(argv: Sequence[str]) -> None:
    """Run the benchmark and print its result."""
    result = run()
    if not flags.FLAGS.json:
        for name, value in result.items():
            print(f"{name:<24} {value}")
    print(json.dumps(result))


if __name__ == "__main__":
    app.run(main)
