"""Processor time of a call to an upstream, by size of its body, in this process.

The daemon sends one task per call. Calls with the bodies of several tasks estimate the cost of
batching, which the daemon does not do.
"""

from __future__ import annotations

import json
import time

import anyio

from eelgrassyard.daemon._connections import HttpConnections, client_tls

from .capacity_series import Series, series
from .daemon_site import running_site

TASKS_PER_CALL = (1, 5, 20, 62)
CALLS = 300
PAGE = "x" * 200


def measure_wire() -> list[Series]:
    """Milliseconds per call, for bodies of one and of several tasks."""
    with running_site(hosts=1, runners=1) as site:
        points = [(n, anyio.run(_call_ms, site.runner_urls[0], n)) for n in TASKS_PER_CALL]
    return [series("wire", "wire.call", "ms a call", points, "tasks of 200 bytes a call")]


async def _call_ms(url: str, tasks: int) -> float:
    connections = HttpConnections(
        url=url,
        tls=client_tls(url),
        connect_s=2.0,
        idle_s=2.0,
        max_idle=4,
        max_answer_bytes=2_000_000,
    )
    body = json.dumps({"work_s": 0.0, "page": [PAGE] * tasks}).encode()
    used = 0.0
    for number in range(CALLS + 20):
        began = time.process_time()
        headers = {"eelgrassyard-task": f"bench-{tasks}/{number}"}
        reply = await connections.request("POST", "/run/rule", headers=headers, content=body)
        if reply.status != 200:
            raise RuntimeError(f"upstream answered with status {reply.status}")
        if number >= 20:
            used += time.process_time() - began
    await connections.close()
    return used * 1e3 / CALLS
