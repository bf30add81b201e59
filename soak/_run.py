"""One soak run, from the start of the processes to the last check."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import time
from dataclasses import dataclass, field

from ._faults import Faults
from ._site import Site

START_S = 20.0
"""Time in which all hosts must be ready at first."""

WARM_S = 3.5
"""Load without faults at the beginning, so that promises with a time bound apply at once."""

RECOVERY_S = 12.0
MEASURED_S = 3.0
LEAST_SERVED = 0.25
"""After the recovery time a quarter of the jobs must be served (users' rule)."""

MEAN_GAPS_S = (0.4, 0.8, 1.6)
TRACE_CHARACTERS = 500
LAG_INTERVAL_S = 0.05
LISTED = 10
"""Broken promises of a run that its summary lists; the rest are counted."""

PLANNED_ONLY_SHARE = 0.25
CLOSING_SHARE = 0.3


@dataclass(slots=True, kw_only=True)
class RunResult:
    """What a run showed.

    :param faults: what was injected, in order.
    :param served: share of the jobs that got their answer after the recovery time.
    :param lag_s: how late the timers of the run itself fired: 99th percentile and longest.
    :param broken: promises that did not hold.
    """

    seed: int
    faults: list[str]
    counts: dict[str, int]
    served: float
    lag_s: tuple[float, float]
    violations: list[str] = field(default_factory=list)

    def summary(self) -> dict[str, object]:
        """Figures of the run for one line of JSON."""
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
) -> RunResult:
    """Play one run.

    :param folder: gets the settings and the output of each process.
    :param fault_s: time in which faults begin.
    :param rate: jobs a second.
    :param timed: whether promises with a time bound are checked.
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
    faults = Faults(site=site, seed=seed)
    ledger = site.ledger
    watchers = [asyncio.ensure_future(watch) for watch in (site.store.expire_leases(), site.beat())]
    try:
        await site.start()
        watchers.append(asyncio.ensure_future(site.balancer.run()))
        watchers.append(asyncio.ensure_future(_watch_process_exits(site)))
        await _until_ready(site)
        load = asyncio.ensure_future(site.callers.run())
        watchers += [load, asyncio.ensure_future(site.prober.run())]
        lag = LoopLag()
        watchers.append(asyncio.ensure_future(lag.run()))
        await asyncio.sleep(WARM_S)
        planned_only = rng.random() < PLANNED_ONLY_SHARE
        await faults.run(fault_s, gap_s=rng.choice(MEAN_GAPS_S), planned_only=planned_only)
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
        for problem in await site.stop():
            ledger.record_violation("STOP", problem)
    ledger.check_refusals()
    for problem in _read_logs(folder):
        ledger.record_violation("LOG", problem)
    return RunResult(
        seed=seed,
        faults=faults.log,
        counts=ledger.counts,
        served=served,
        lag_s=lag.summary(),
        violations=ledger.violations,
    )


class LoopLag:
    """How late the timers of the run itself fire, which tells whether the machine was too busy.

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
        """The delay that 99 of 100 timers stay below, and the longest, in seconds."""
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
    """Note processes that end without having been asked to."""
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
    """Lines that are not JSON, or that carry the trace of an exception."""
    found = []
    for path in sorted(folder.glob("*.log")):
        lines = path.read_bytes().split(b"\n")
        # A killed process may leave half a line at the end.
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
