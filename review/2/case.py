"""Shows that one entry of another writer under ``servers/`` ends every host process, and each of
its successors: the decoder of entries fails with an error that nothing handles."""

from __future__ import annotations

import asyncio
import pathlib

from review.frame import run_case
from review.record import Job, Phase, Record
from review.site import CONTACT_S, Client, Host, Site

NESTED = 1_100
KEY = "servers/note-1"
ENTRY = b'{"service":"other","note":' + b"[" * NESTED + b"]" * NESTED + b"}"
TIMES = 3
SHOWN_S = 3.0
"""Longest time for which the entry is there at once."""

RESTART_DELAY_S = 1.0
"""Short delay after which the platform starts a process again."""

EXCUSED_S = 1.0
"""A process that ends within this time of a disruption, such as its start, isn't counted."""

ENDS_OF_A_MACHINE = 3
MACHINES = 2


async def _restart(site: Site, host: Host, ends: list[str]) -> None:
    """Start a process again each time that it ends, as the platform does."""
    started_at = float("-inf")
    while True:
        assert host.process is not None
        code = await host.process.wait()
        ran_s = site.record.now() - started_at
        counts = ran_s > EXCUSED_S
        site.record.write(
            f"the process of {host.name} ended by itself with code {code}"
            + ("" if counts else f", {ran_s:.2f} s after its start: not counted")
        )
        if counts:
            ends.append(host.name)
        await asyncio.sleep(RESTART_DELAY_S)
        started_at = site.record.now()
        await site.start_host(host)


async def _show_entry(site: Site, ends: list[str], *, times: int) -> None:
    """Write the entry, and remove it once the process of each host has ended for it."""
    site.record.write(f"another writer puts {KEY}: {len(ENTRY)} bytes")
    site.store.put(KEY, ENTRY)
    for _ in range(int(SHOWN_S / 0.05)):
        if all(ends.count(host.name) >= times for host in site.hosts):
            break
        await asyncio.sleep(0.05)
    site.store.delete(KEY)
    site.record.write(f"{KEY} is gone")


async def scenario(record: Record, trouble: bool) -> list[str]:
    site = Site(record=record, hosts_by_zone={"patan": 2, "thamel": 2})
    for zone in ("patan", "thamel"):
        site.add_worker(name=f"{zone}-1", zone=zone)
    ends: list[str] = []
    watchers = []
    try:
        await site.start()
        watchers = [asyncio.ensure_future(_restart(site, host, ends)) for host in site.hosts]
        for times in range(1, TIMES + 1):
            await asyncio.sleep(CONTACT_S + 1.0)
            if trouble:
                await _show_entry(site, ends, times=times)
                await asyncio.sleep(RESTART_DELAY_S + EXCUSED_S)
            await site.until_ready()
        job = Job(id="5c0e7a21d94b36f8", phases=(Phase(count=2, estimate_ms=200, work_s=0.2),))
        client = Client(site=site, host=site.hosts[0], name="c1")
        await client.submit(job, waits_s=1.5)
    finally:
        for watcher in watchers:
            watcher.cancel()
        await site.stop()
    often = sorted(host.name for host in site.hosts if ends.count(host.name) >= ENDS_OF_A_MACHINE)
    if len(often) < MACHINES:
        return []
    return [f"Fault: processes ended by themselves {ENDS_OF_A_MACHINE} times or more on {often}"]


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, scenario)
