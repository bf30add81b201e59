"""Shows that a task that was lent to another zone runs twice at the same time: the borrowing leader
forgets its run when another session of the lending zone lends a further task of the same job, while
that zone starts the task again a second later.

The sessions change because one connection between two leaders is reset. With the argument
``planned-stop`` they change because the lending leader gets SIGTERM, and nothing else happens.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

from review.frame import CouldNotRunError, run_case
from review.record import Job, Phase, Record
from review.site import CONTACT_S, Client, Host, Site

DISRUPTED_AFTER_S = 0.12


def _job(*, lent: Phase, own: Phase) -> Job:
    """A job whose last step begins while its first one still runs in the other zone.

    :param lent: does not fit beside the filler.
    :param own: fits beside the filler.
    """
    last = Phase(count=2, cpu=20_000, estimate_ms=200, work_s=0.2, after=(1,))
    return Job(id="5c0e7a21d94b36f8", phases=(lent, own, last))


def _filler(*, work_s: float) -> Job:
    """A job that leaves little room in its own zone."""
    phase = Phase(count=1, cpu=48_000, estimate_ms=int(work_s * 1000) - 50, work_s=work_s)
    return Job(id="00aa7a21d94b36f8", phases=(phase,))


async def _start(record: Record, *, timeout_s: float) -> tuple[Site, Host, Host]:
    """Start a site with little room in one zone; returns it with the two zones' leaders."""
    site = Site(
        record=record,
        hosts_by_zone={"patan": 2, "thamel": 2},
        timeout_ms=int(timeout_s * 1000),
    )
    site.add_worker(name="patan-1", zone="patan")
    site.add_worker(name="thamel-1", zone="thamel")
    site.add_worker(name="thamel-2", zone="thamel")
    try:
        await site.start()
        lender, borrower = await site.leader_of("patan"), await site.leader_of("thamel")
        await asyncio.sleep(CONTACT_S + 1.0)
    except BaseException:
        await site.stop()
        raise
    return site, lender, borrower


async def _submit(
    site: Site, host: Host, *, filler: Job, job: Job, waits_s: float
) -> list[asyncio.Future[object]]:
    """Send both jobs to a host, and return when a task of the second one has been lent."""
    clients = [Client(site=site, host=host, name=f"c{number}") for number in (1, 2)]
    for client in clients:
        await client.connect()
    sent: list[asyncio.Future[object]] = []
    for client, body in zip(clients, (filler, job), strict=True):
        sent.append(asyncio.ensure_future(client.submit(body, waits_s=waits_s)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(DISRUPTED_AFTER_S - 0.03)
    runs = site.record.runs
    if not any(run.job_id == job.id and run.worker.startswith("thamel") for run in runs):
        raise CouldNotRunError("no task was lent to the other zone")
    return sent


def _verdict(record: Record) -> list[str]:
    return [
        f"TWICE: {later.task} run {later.number} began on {later.worker} at {later.began:.3f} s"
        f" while run {earlier.number} was in progress on {earlier.worker}"
        for earlier, later in record.runs_at_the_same_time()
    ]


async def reset(record: Record, trouble: bool) -> list[str]:
    site, lender, borrower = await _start(record, timeout_s=1.5)
    try:
        job = _job(
            # Estimated too short.
            lent=Phase(count=1, cpu=40_000, estimate_ms=200, work_s=1.4),
            own=Phase(count=1, cpu=8_000, estimate_ms=200, work_s=0.25),
        )
        sent = await _submit(site, lender, filler=_filler(work_s=0.95), job=job, waits_s=1.5)
        if trouble:
            found = [
                connection
                for connection in site.network.open_connections({lender.name})
                if (connection.source, connection.target) == (lender.name, borrower.name)
            ]
            if not found:
                raise CouldNotRunError("the lender has no connection to the borrower")
            record.write(f"the connection of {lender.name} to {borrower.name} is reset")
            found[0].reset()
        await asyncio.gather(*sent)
        await asyncio.sleep(2.5)
    finally:
        await site.stop()
    return _verdict(record)


async def planned_stop(record: Record, trouble: bool) -> list[str]:
    site, lender, _ = await _start(record, timeout_s=5.0)
    other = next(host for host in site.hosts if host.zone == lender.zone and host is not lender)
    try:
        job = _job(
            lent=Phase(count=1, cpu=40_000, estimate_ms=2_000, work_s=3.4),
            own=Phase(count=1, cpu=8_000, estimate_ms=900, work_s=0.9),
        )
        sent = await _submit(site, other, filler=_filler(work_s=4.4), job=job, waits_s=5.0)
        if trouble:
            record.write(f"{lender.name} gets SIGTERM")
            lender.signal(signal.SIGTERM)
        await asyncio.gather(*sent)
        await asyncio.sleep(1.0)
    finally:
        await site.stop()
    return _verdict(record)


if __name__ == "__main__":
    run_case(
        pathlib.Path(__file__).resolve().parent,
        planned_stop if "planned-stop" in sys.argv[1:] else reset,
    )
