"""One soak run, from the start of the processes to the final checks."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import time
from dataclasses import dataclass, field

from ._clients import LONG_SHAPES
from ._faults import Faults
from ._site import Site

START_S = 20.0
"""Time in which all hosts must become ready at the start."""

WARM_S = 3.5
"""Time of load without faults at the beginning, so that invariants with a time bound apply when
the first fault is injected."""

RECOVERY_S = 12.0
"""Recovery time after the last fault."""

MEASURED_S = 3.0
"""Time after the recovery in which the served jobs are measured."""

LEAST_SERVED = 0.25
"""Share of the jobs that must be served after the recovery time (users' rule)."""

MEAN_GAPS_S = (0.4, 0.8, 1.6)
TRACE_CHARACTERS = 500
LAG_INTERVAL_S = 0.05
LISTED = 10
"""Violations listed in the summary of a run; the rest are only counted."""

PLANNED_ONLY_SHARE = 0.25
CLOSING_SHARE = 0.3


@dataclass(slots=True, kw_only=True)
class RunResult:
    """Result of a run.

    :param faults: injected faults, in order.
    :param served: share of the jobs that were answered after the recovery time.
    :param lag_s: event loop lag of the run itself: 99th percentile and maximum.
    :param violations: violations of invariants.
    """

    seed: int
    faults: list[str]
    counts: dict[str, int]
    served: float
    lag_s: tuple[float, float]
    violations: list[str] = field(default_factory=list)

    def summary(self) -> dict[str, object]:
        """Return the figures of the run, which are printed as a line of JSON."""
        return {
            "seed": self.seed,
            "faults": len(self.faults),
            "counts": dict(sorted(self.counts.items())),
            "served_after_recovery": round(self.served, 3),
            "lag_p99_s": round(self.lag_s[0], 3),
            "lag_max_s": round(self.lag_s[1], 3),
            "broken": len(self.violations),
            "first": self.violations[:LISTED],
        }


async def run_soak(
    *,
    seed: int,
    folder: pathlib.Path,
    fault_s: float,
    domains: int,
    hosts_per_domain: int,
    workers_per_domain: int,
    rate: float,
    timed: bool = True,
    replacements: int = 0,
    restarts: int = 0,
    lead_changes: int = 0,
) -> RunResult:
    """Make one run.

    :param folder: directory for the settings and the output of each process.
    :param fault_s: time during which faults are injected.
    :param rate: jobs per second.
    :param timed: whether invariants with a time bound are checked.
    :param replacements: how often hosts are removed for good and others come, beside other faults.
    :param restarts: how often a worker starts again under its id and is then cut off, beside those.
    :param lead_changes: how often a leader is lost and workers are then cut off, beside those; with
        longer tasks, so that runs are in progress then.
    """
    rng = random.Random(seed)
    site = Site(
        folder=folder,
        seed=seed,
        domains=domains,
        hosts_per_domain=hosts_per_domain,
        workers_per_domain=workers_per_domain,
        rate=rate,
        timed=timed,
    )
    if lead_changes:
        site.callers.shapes = LONG_SHAPES
    faults = Faults(site=site, seed=seed)
    ledger = site.ledger
    watchers = [
        asyncio.ensure_future(watch) for watch in (site.store.expire_leases(), site.renew_entries())
    ]
    try:
        await site.start()
        watchers.append(asyncio.ensure_future(site.balancer.run()))
        watchers.append(asyncio.ensure_future(_watch_process_exits(site)))
        await _until_ready(site)
        load = asyncio.ensure_future(site.callers.run())
        watchers += [load, asyncio.ensure_future(site.prober.run())]
        watchers.append(asyncio.ensure_future(site.other_writer.run()))
        lag = LoopLag()
        watchers.append(asyncio.ensure_future(lag.run()))
        await asyncio.sleep(WARM_S)
        planned_only = rng.random() < PLANNED_ONLY_SHARE
        await faults.run(
            fault_s,
            gap_s=rng.choice(MEAN_GAPS_S),
            planned_only=planned_only,
            replacements=replacements,
            restarts=restarts,
            lead_changes=lead_changes,
        )
        if not planned_only and rng.random() < CLOSING_SHARE:
            await faults.change_routes()
            await faults.kill_many()
        settled_at = time.monotonic() + RECOVERY_S
        await asyncio.sleep(RECOVERY_S + MEASURED_S)
        load.cancel()
        await site.callers.finish()
        served = site.callers.share_served(settled_at)
        if served < LEAST_SERVED:
            ledger.record_violation(
                "RECOVER", f"{served:.2f} of the jobs served after {RECOVERY_S} s"
            )
    finally:
        for watcher in watchers:
            watcher.cancel()
        faults.close_removed()
        for problem in await site.stop():
            ledger.record_violation("STOP", problem)
    ledger.check_refusals()
    for problem in _read_logs(folder):
        ledger.record_violation("LOG", problem)
    return RunResult(
        seed=seed,
        faults=faults.log,
        counts={**ledger.counts, "odd_entries": site.other_writer.written},
        served=served,
        lag_s=lag.summary(),
        violations=ledger.violations,
    )


class LoopLag:
    """Measures the event loop lag of the run, which shows whether the machine was overloaded.

    :ivar delays_s: delay of each timer beyond its interval.
    """

    def __init__(self) -> None:
        self.delays_s: list[float] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.delays_s.append(time.monotonic() - began - LAG_INTERVAL_S)

    def summary(self) -> tuple[float, float]:
        """Return the 99th percentile and the maximum of the lag, in seconds."""
        delays = sorted(self.delays_s)
        return (delays[len(delays) * 99 // 100], delays[-1]) if delays else (0.0, 0.0)


async def _until_ready(site: Site) -> None:
    ends = time.monotonic() + START_S
    while not site.balancer.all_ready():
        if time.monotonic() > ends:
            late = [host.name for host in site.hosts if host.misses]
            site.ledger.record_violation("START", f"{late} not ready after {START_S} s")
            return
        await asyncio.sleep(0.1)


async def _watch_process_exits(site: Site) -> None:
    """Record processes that exit unexpectedly."""
    reported: set[tuple[str, int]] = set()
    while True:
        await asyncio.sleep(0.1)
        for host in site.hosts:
            key = (host.name, host.incarnation)
            if host.process is not None and not (host.is_up or host.expected or key in reported):
                reported.add(key)
                code = host.process.returncode
                site.ledger.record_violation(
                    "END", f"{host.name}-{host.incarnation} ended with {code}"
                )


def _read_logs(folder: pathlib.Path) -> list[str]:
    """Find log lines that are not JSON or that contain a traceback."""
    found = []
    for path in sorted(folder.glob("*.log")):
        lines = path.read_bytes().split(b"\n")
        # A killed process may leave an incomplete line at the end.
        for number, line in enumerate(lines[:-1]):
            try:
                fields = json.loads(line)
            except ValueError:
                rest = b"\n".join(lines[number:]).decode(errors="replace")
                found.append(f"{path.name}: not a line of JSON: {rest[-TRACE_CHARACTERS:]}")
                break
            if "trace" in fields:
                found.append(f"{path.name}: {fields['trace']}")
    return found
