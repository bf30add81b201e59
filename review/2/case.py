"""Shows that one entry of another writer under ``servers/`` ends every host process, and each of
its successors: the decoder of entries fails with an error that nothing handles."""

from __future__ import annotations

import asyncio
import pathlib

from review.standins.case import run_case
from review.standins.record import Job, Phase, Record
from review.standins.site import CONTACT_S, Client, Host, Site

NESTED = 1_100
ENTRY = b'{"service":"other","note":' + b"[" * NESTED + b"]" * NESTED + b"}"
WATCHED_S = 10.0
RESTART_DELAY_S = 1.0
"""Short delay after which the platform starts a process again."""

ENDS_OF_A_MACHINE = 3
MACHINES = 2


async def _restart(site: Site, host: Host, ends: list[str]) -> None:
    """Start a process again each time that it ends, as the platform does."""
    while True:
        assert host.process is not None
        code = await host.process.wait()
        ends.append(host.name)
        site.record.write(f"the process of {host.name} ended by itself with code {code}")
        await asyncio.sleep(RESTART_DELAY_S)
        await site.start_host(host)


async def scenario(record: Record, trouble: bool) -> list[str]:
    site = Site(record=record, hosts_by_zone={"patan": 2, "thamel": 2})
    for zone in ("patan", "thamel"):
        site.add_worker(name=f"{zone}-1", zone=zone)
    ends: list[str] = []
    watchers = []
    try:
        await site.start()
        await asyncio.sleep(CONTACT_S)
        watchers = [asyncio.ensure_future(_restart(site, host, ends)) for host in site.hosts]
        if trouble:
            record.write(f"another writer puts servers/note-1: {len(ENTRY)} bytes")
            site.store.put("servers/note-1", ENTRY)
        await asyncio.sleep(WATCHED_S)
        job = Job(id="5c0e7a21d94b36f8", phases=(Phase(count=2, estimate_ms=200, work_s=0.2),))
        client = Client(site=site, host=site.hosts[0], name="c1")
        try:
            await client.submit(job, waits_s=1.5)
        except OSError as error:
            record.write(f"client c1 cannot connect: {error.strerror}")
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
