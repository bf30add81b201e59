"""A task runs on two workers at once, after one of them has started again and is then cut off.

Shows: a leader that has not noticed the restart starts the task with a deadline on the clock of the
process before. The worker shortens that lease to the longest one, 1.0 s, while the leader counts on
0.82 s; it starts the task elsewhere while the first run goes on.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab3

RESTARTS = os.environ.get("RESTARTS", "1") != "0"
"""With RESTARTS=0 the workers are only cut off, and the rule holds."""

ROUNDS = 6
WORK_S = 1.6
DEADLINE_S = 8.0
DOWN_S = 0.5
RECENT_S = 0.3
CUT_AFTER_S = 0.1
CUT_S = 2.5


async def first_run(lab: lab3.Lab, job: lab3.Job) -> lab3.Worker:
    """Wait until a job runs; returns the worker."""
    while True:
        for run in lab.runs:
            if run.task.startswith(job.id):
                return next(worker for worker in lab.workers if worker.id == run.worker)
        await asyncio.sleep(0.005)


async def play_round(lab: lab3.Lab, number: int) -> None:
    """Play the fault once, on one worker of 20; the job of a round needs a label of two workers."""
    label = f"k{number}"
    idle = next(worker for worker in lab.workers if worker.kind == label)
    # The next poll of an idle worker comes 3.5 s after this one.
    while time.monotonic() - idle.polled_at > RECENT_S:
        await asyncio.sleep(0.02)
    await asyncio.sleep(RECENT_S)
    if lab.trouble and RESTARTS:
        lab.note(f"{idle.id} crashes")
        await idle.crash()
        await asyncio.sleep(DOWN_S)
        await idle.restart(kind=idle.kind)
        lab.note(f"{idle.id} has started again under its id")
    await asyncio.sleep(0.1)
    job = lab.new_job(work_s=WORK_S, label=label)
    host = next(host for host in lab.hosts if host.zone == idle.zone)
    answer = asyncio.create_task(lab.submit(host, job, deadline_s=DEADLINE_S))
    worker = await asyncio.wait_for(first_run(lab, job), 3.0)
    if lab.trouble:
        await asyncio.sleep(CUT_AFTER_S)
        worker.http.is_cut = True
        lab.note(f"{worker.id} is cut off, and runs on")
        await asyncio.sleep(CUT_S)
        worker.http.is_cut = False
        worker.http.reset()
        lab.note(f"{worker.id} can be reached again")
    await answer


async def play(lab: lab3.Lab) -> list[str]:
    lab.configure(timeout_ms=int(DEADLINE_S * 1000))
    workers = [("patan" if n % 2 else "thamel", f"k{n}") for n in range(10) for _ in range(2)]
    await lab.start(hosts={"patan": 2, "thamel": 2}, workers=workers)
    await asyncio.sleep(4.0)
    for number in range(ROUNDS):
        await play_round(lab, number)
    return [f"TWICE: {text}" for text in lab3.overlaps(lab.runs)]


lab3.main(__file__, play)
