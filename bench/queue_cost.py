"""Processor time of fair queue operations by number of flows."""

from __future__ import annotations

import time
from collections import deque

from bench.flood_simulation import FixedConfig
from eelgrassyard.policy import KindEntry, Limits, SiteConfig, SlotAsk, TaskSize, Urgency
from eelgrassyard.policy._fair_queue import FairQueue, QueuedRequest

KIND_COUNT = 20
TASKS = 8_000


def queue_cost(flows: int) -> dict[str, float]:
    """Microseconds to add a slot request, to select and take a task, and to withdraw a request.

    Flows are distributed over twenty kinds; urgencies are mixed; every flow has waiting tasks.
    """
    kinds = {f"k{i}": KindEntry(name=f"k{i}", share=0.9 / KIND_COUNT) for i in range(KIND_COUNT)}
    limits = Limits(queued_tasks_total=10**7)
    site = SiteConfig(site="x", failure_domains=("a",), kinds_by_name=kinds, limits=limits)
    queue = FairQueue(config=FixedConfig(site))
    queue.set_capacity(100.0)
    entries = [_entry(i, flows) for i in range(flows + 2 * TASKS)]
    for entry in entries[:flows]:
        queue.add(0.0, entry)
    started = time.process_time()
    for entry in entries[flows:]:
        queue.add(0.0, entry)
    add_s = time.process_time() - started
    started = time.process_time()
    for i in range(TASKS):
        found = queue.select(i * 0.003)
        assert found is not None
        queue.take(i * 0.003, found, 1, 0.3)
    take_s = time.process_time() - started
    started = time.process_time()
    for entry in entries[-TASKS:]:
        queue.withdraw("h", entry.request.submission_id)
    withdraw_s = time.process_time() - started
    return {
        "flows": flows,
        "add_us": add_s / (2 * TASKS) * 1e6,
        "select_and_take_us": take_s / TASKS * 1e6,
        "withdraw_us": withdraw_s / TASKS * 1e6,
    }


def _entry(number: int, flows: int) -> QueuedRequest:
    sizes = (TaskSize(index=0),)
    flow = number % flows
    ask = SlotAsk(
        submission_id=str(number),
        pool="p",
        caller=f"c{flow // KIND_COUNT}",
        team="t",
        kind=f"k{flow % KIND_COUNT}",
        urgency=Urgency(number % 3),
        deadline_s=1e6,
        tasks=sizes,
    )
    return QueuedRequest(
        owner="h", request=ask, requested_at=0.0, deadline_at=1e6, remaining=deque(sizes)
    )
