"""Shows that a task that was lent to another zone runs twice at the same time after one connection
between two leaders was reset: the borrowing leader forgets the run when the lender's new session
lends a further task of the same job, while the lender starts the task again a second later."""

from __future__ import annotations

import asyncio
import pathlib

from review.standins.case import CouldNotRunError, run_case
from review.standins.record import Job, Phase, Record
from review.standins.site import CONTACT_S, Client, Site

JOB = Job(
    id="5c0e7a21d94b36f8",
    phases=(
        # Too large for what the filler leaves in the own zone; estimated too short.
        Phase(count=1, cpu=40_000, estimate_ms=200, work_s=1.4),
        # Fits beside the filler.
        Phase(count=1, cpu=8_000, estimate_ms=200, work_s=0.25),
        # Begins while the first step still runs, and again does not fit into the own zone.
        Phase(count=2, cpu=20_000, estimate_ms=200, work_s=0.2, after=(1,)),
    ),
)
FILLER = Job(
    id="00aa7a21d94b36f8", phases=(Phase(count=1, cpu=48_000, estimate_ms=900, work_s=0.95),)
)
RESET_AFTER_S = 0.12


async def scenario(record: Record, trouble: bool) -> list[str]:
    site = Site(record=record, hosts_by_zone={"patan": 2, "thamel": 2})
    site.add_worker(name="patan-1", zone="patan")
    site.add_worker(name="thamel-1", zone="thamel")
    site.add_worker(name="thamel-2", zone="thamel")
    try:
        await site.start()
        lender, borrower = await site.leader_of("patan"), await site.leader_of("thamel")
        await asyncio.sleep(CONTACT_S + 1.0)
        clients = [Client(site=site, host=lender, name=f"c{number}") for number in (1, 2)]
        for client in clients:
            await client.connect()
        filler = asyncio.ensure_future(clients[0].submit(FILLER, waits_s=1.5))
        await asyncio.sleep(0.03)
        job = asyncio.ensure_future(clients[1].submit(JOB, waits_s=1.5))
        await asyncio.sleep(RESET_AFTER_S)
        lent = [run for run in record.runs if run.job_id == JOB.id and "thamel" in run.worker]
        if not lent:
            raise CouldNotRunError("no task was lent to the other zone")
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
        await asyncio.gather(filler, job)
        await asyncio.sleep(2.5)
    finally:
        await site.stop()
    return [
        f"TWICE: {later.task} run {later.number} began on {later.worker} at {later.began:.3f} s"
        f" while run {earlier.number} was in progress on {earlier.worker}"
        for earlier, later in record.runs_at_the_same_time()
    ]


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, scenario)
