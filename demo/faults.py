"""Injects random faults into a running site: ``python -m demo.faults --seed=1 --load_s=60``.

While callers submit work, hosts are killed, paused and restarted, the store is unavailable, slow or
loses answers, upstreams fail, stall, slow down or leave, and two operators apply conflicting
configurations. Afterwards the promises are checked against the callers' answers and the start
counts of the upstreams.
"""

from __future__ import annotations

import logging
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio
import httpx
from absl import app, flags

from eelgrassyard.cli import State
from eelgrassyard.config import generate, render_document

from .checks import Report
from .processes import STORE_KEY, DemoHostProcess, DemoSite
from .run import FLAGS, LoadGenerator, count_starts, print_line, wait_ready

flags.DEFINE_integer("seed", 1, "Seed of the faults and of the load.")

FAULT_INTERVAL_S = 2.0
MAX_HOST_PAUSE_S = 14.0
"""Longer than the lease, so that fencing is tested."""

CONVERGENCE_TIMEOUT_S = 25.0


class Faults:
    """Injects random faults at an interval and reverts each after a random time."""

    def __init__(self, *, site: DemoSite, report: Report, seed: int) -> None:
        self._site = site
        self._report = report
        self._random = random.Random(seed)
        self._faulted: set[str] = set()
        self._runs = 0
        self.counts: Counter[str] = Counter()
        self.revision_by_host: dict[str, int] = {}

    async def run(self, seconds: float) -> None:
        """Inject faults for a time; returns when all have been reverted."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill_host,
            self.pause_host,
            self.drain_host,
            self.break_store,
            self.break_upstream,
            self.race_operators,
        ]
        ends = time.monotonic() + seconds
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch_revisions, ends + 5.0)
            while time.monotonic() < ends:
                group.start_soon(self._random.choice(kinds))
                await anyio.sleep(FAULT_INTERVAL_S)

    async def kill_host(self) -> None:
        """Kill a host and start it again as a new incarnation."""
        await self._replace("kill", signal.SIGKILL)

    async def drain_host(self) -> None:
        """Drain a host and start it again."""
        await self._replace("drain", signal.SIGTERM)

    async def _replace(self, fault: str, number: signal.Signals) -> None:
        host = self._reserve_host()
        if host is None or host.process is None:
            return
        self.counts[fault] += 1
        host.process.send_signal(number)
        await anyio.to_thread.run_sync(host.process.wait)
        self.revision_by_host.pop(host.name, None)
        await anyio.sleep(self._random.uniform(0.2, 4.0))
        self._site.start_host(host)
        await anyio.sleep(3.0)
        self._faulted.discard(host.name)

    async def pause_host(self) -> None:
        """Pause a host, sometimes for longer than its lease."""
        host = self._reserve_host()
        if host is None or host.process is None:
            return
        self.counts["pause"] += 1
        host.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self._random.uniform(0.5, MAX_HOST_PAUSE_S))
        host.process.send_signal(signal.SIGCONT)
        await anyio.sleep(1.0)
        self._faulted.discard(host.name)

    async def break_store(self) -> None:
        """Make the store unavailable or slow, or make it lose an answer."""
        if "store" in self._faulted:
            return
        self._faulted.add("store")
        fault = self._random.choice([{"down": True}, {"slow_s": 2.0}, {"lost_answers": 1}])
        self.counts[f"store {next(iter(fault))}"] += 1
        await post(f"{self._site.store_url}/faults", fault)
        await anyio.sleep(self._random.uniform(1.0, 8.0))
        await post(f"{self._site.store_url}/faults", {})
        self._faulted.discard("store")

    async def break_upstream(self) -> None:
        """Make an upstream fail all work, stall, slow down or leave."""
        url = self._random.choice(self._site.upstream_urls)
        if url in self._faulted:
            return
        self._faulted.add(url)
        fault = self._random.choice(
            [{"fail": True}, {"stall": True}, {"slow_factor": 10.0}, {"leaving": True}]
        )
        self.counts[f"upstream {next(iter(fault))}"] += 1
        await post(f"{url}/faults", fault)
        await anyio.sleep(self._random.uniform(1.0, 6.0))
        await post(f"{url}/faults", {})
        self._faulted.discard(url)

    async def race_operators(self) -> None:
        """Have two operators apply different configurations at the same time."""
        self.counts["operators race"] += 1
        codes: list[int] = []
        async with anyio.create_task_group() as group:
            for operator in ("first", "second"):
                group.start_soon(self._apply, operator, codes)
        self._report.require(set(codes) <= {0, 1, 5, 6}, f"apply ends with known codes: {codes}")

    async def _apply(self, operator: str, codes: list[int]) -> None:
        self._runs += 1
        generated = generate(self._site.questionnaire)
        # Both operators change the body limit, because no caller depends on its value.
        limits = replace(generated.config.limits, body_bytes=1_000_000 + self._runs)
        document = render_document(
            replace(generated.config, limits=limits),
            author=operator,
            origins_by_key=generated.origins_by_key,
        )
        path = self._site.folder / f"race-{self._runs}.json"
        path.write_bytes(document)
        done = await anyio.to_thread.run_sync(
            lambda: self._site.run_tool(
                "apply",
                str(path),
                f"--store={self._site.store_url}",
                f"--config_key={STORE_KEY}",
                "--wait_s=0",
                key=self._site.operator,
            )
        )
        codes.append(done.returncode)

    async def watch_revisions(self, ends: float) -> None:
        """Check that the revision in force on a host never decreases while the host runs."""
        headers = {"Authorization": f"Bearer {self._site.key_by_name[self._site.operator]}"}
        async with httpx.AsyncClient(trust_env=False, headers=headers, timeout=1.0) as client:
            while time.monotonic() < ends:
                for host in self._site.hosts:
                    await self._check_revision(client, host)
                await anyio.sleep(0.5)

    async def _check_revision(self, client: httpx.AsyncClient, host: DemoHostProcess) -> None:
        if host.name in self._faulted:
            return
        try:
            reply = await client.get(f"{host.url}/v1/state/config")
            revision = int(reply.json()["config"]["revision"])
        except (httpx.HTTPError, ValueError, KeyError):
            return
        before = self.revision_by_host.get(host.name, 0)
        self._report.require(
            revision >= before, f"revision of {host.name} went from {before} to {revision}"
        )
        self.revision_by_host[host.name] = revision

    def _reserve_host(self) -> DemoHostProcess | None:
        """Reserve a host for a fault; None unless two others stay without one."""
        free = [host for host in self._site.hosts if host.name not in self._faulted]
        if len(free) < 3:
            return None
        host = self._random.choice(free)
        self._faulted.add(host.name)
        return host


async def post(url: str, content: dict[str, object]) -> None:
    """Set the faults of a stand-in."""
    async with httpx.AsyncClient(trust_env=False) as client:
        await client.post(url, json=content)


async def run_faults(site: DemoSite, report: Report) -> Counter[str]:
    """Run load and faults on a new site, then check that all hosts have the same revision."""
    site.start_standins()
    site.start_hosts()
    applied = site.apply()
    report.require(applied.returncode == 0, f"the first apply succeeds: {applied.stderr}")
    await wait_ready(site)
    load = LoadGenerator(site=site, report=report, seed=FLAGS.seed)
    faults = Faults(site=site, report=report, seed=FLAGS.seed)
    async with anyio.create_task_group() as group:
        group.start_soon(faults.run, FLAGS.load_s)
        group.start_soon(load.run, FLAGS.load_s, FLAGS.rate)
    await load.close()
    await wait_ready(site)
    print_line(
        "faults: " + ", ".join(f"{name} {count}" for name, count in sorted(faults.counts.items()))
    )
    with anyio.move_on_after(CONVERGENCE_TIMEOUT_S):
        while len(await read_revisions(site)) != 1:
            await anyio.sleep(0.5)
    found = await read_revisions(site)
    report.require(len(found) == 1, f"all hosts agree on the revision, not {found}")
    return await count_starts(site)


async def read_revisions(site: DemoSite) -> set[int]:
    """Return the revisions in the store and in force on the hosts."""
    headers = {"Authorization": f"Bearer {site.key_by_name[site.operator]}"}
    found = set()
    async with httpx.AsyncClient(trust_env=False, headers=headers) as client:
        stored = await client.get(f"{site.store_url}/kv/{STORE_KEY}")
        found.add(int(stored.json()["revision"]))
        for host in site.hosts:
            reply = await client.get(f"{host.url}/v1/state/config")
            found.add(int(reply.json()["config"]["revision"]))
    return found


def main(arguments: list[str]) -> int:
    """Run in a kept or a temporary folder; returns 1 if a promise was broken."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(FLAGS.keep or name)
        folder.mkdir(parents=True, exist_ok=True)
        return run_in_folder(folder)


def run_in_folder(folder: pathlib.Path) -> int:
    """Run with files in a folder and print the summary; returns the exit code."""
    report = Report()
    site = DemoSite(site=FLAGS.site, folder=folder)
    try:
        starts = anyio.run(run_faults, site, report)
    finally:
        stuck = site.stop()
    report.require(not stuck, f"every process ends when asked to ({', '.join(stuck)})")
    report.check_answers()
    idempotent = {name: kind.idempotent for name, kind in site.config.kinds_by_name.items()}
    report.check_starts(starts, idempotent)
    states = Counter(str(run.answer.state) for run in report.runs)
    reasons = Counter(
        f"{run.answer.state} {run.answer.reason}"
        for run in report.runs
        if run.answer.state is not State.COMPLETE
    )
    print_line(report.table(starts))
    print_line(f"outcomes {dict(states)}; reasons {dict(reasons)}")
    for promise in report.broken:
        print_line(f"BROKEN: {promise}")
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
