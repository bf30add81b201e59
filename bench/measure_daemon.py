"""Processor time and memory of daemons that run as processes on loopback.

Processor time is read from /proc before and after a fixed number of requests, sent over a fixed
number of connections with one outstanding request each. Compare figures of the same run only.

Usage: ``PYTHONPATH=src:. python -m bench.measure_daemon [requests per case]``
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from eelgrassyard.policy import Limits

from .daemon_site import HostProcess, Site, running_site

CONNECTIONS = 8
REQUESTS = 2_000
WARM_UP_REQUESTS = 200
IDLE_S = 4.0
HOST_COUNTS = (1, 2, 4)
KEPT_SUBMISSIONS = 4_000
JOB_TASKS = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A type of request to measure.

    :param make: builds request number ``n``.
    :param expected: status codes of correct answers.
    """

    name: str
    make: Callable[[int], bytes]
    expected: frozenset[int]


def request_bytes(method: str, path: str, key: str, body: object = None) -> bytes:
    """Encode an HTTP request for a persistent connection."""
    content = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


async def exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes
) -> tuple[int, bytes]:
    """Send a request and read the answer; returns status and body."""
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return int(head.split(None, 2)[1]), await reader.readexactly(length)


async def run_requests(
    host: HostProcess, requests: Sequence[bytes], connections: int = CONNECTIONS
) -> dict[int, int]:
    """Send requests over several connections; returns the number of answers by status."""
    statuses: dict[int, int] = {}
    waiting = iter(requests)

    async def use_connection() -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.http_port)
        for request in waiting:
            status, _ = await exchange(reader, writer, request)
            statuses[status] = statuses.get(status, 0) + 1
        writer.close()

    await asyncio.gather(*(use_connection() for _ in range(connections)))
    return statuses


async def issue_ids(host: HostProcess, key: str, kind: str, count: int) -> list[str]:
    """Request ids for submissions."""
    reader, writer = await asyncio.open_connection("127.0.0.1", host.http_port)
    ids: list[str] = []
    while len(ids) < count:
        body = {"count": min(1000, count - len(ids)), "kind": kind}
        _, content = await exchange(reader, writer, request_bytes("POST", "/v1/ids", key, body))
        ids.extend(json.loads(content)["ids"])
    writer.close()
    return ids


async def cost_of(hosts: Sequence[HostProcess], case: Case, count: int) -> dict[str, object]:
    """Processor time of all hosts per request of a case; requests are sent to the first host."""
    await run_requests(hosts[0], [case.make(n) for n in range(WARM_UP_REQUESTS)])
    requests = [case.make(n) for n in range(WARM_UP_REQUESTS, WARM_UP_REQUESTS + count)]
    before = [host.cpu_s() for host in hosts]
    began = time.monotonic()
    statuses = await run_requests(hosts[0], requests)
    elapsed_s = time.monotonic() - began
    used = [host.cpu_s() - start for host, start in zip(hosts, before, strict=True)]
    unexpected = sum(number for status, number in statuses.items() if status not in case.expected)
    return {
        "case": case.name,
        "cpu_ms": round(1e3 * sum(used) / count, 3),
        "requests_per_s": round(count / elapsed_s),
        "statuses": {str(status): number for status, number in sorted(statuses.items())},
        "wrong": unexpected,
    }


def submissions(site: Site, kind: str, count: int, tasks: int = 1) -> Callable[[int], bytes]:
    """Returns a function that builds submission number ``n`` with an unused id."""
    key = site.key_by_caller["clerk"]
    ids = asyncio.run(issue_ids(site.hosts[0], key, kind, count + WARM_UP_REQUESTS))
    payload = {"work_s": 0.0, "page": "x" * 200}
    body = {"kind": kind, "tasks": [{"payload": payload}] * tasks}
    return lambda n: request_bytes("PUT", f"/v1/submissions/{ids[n]}", key, body)


def measure_served(count: int) -> list[dict[str, object]]:
    """Measure served submissions with one host and with two, and calls that run nothing."""
    rows = []
    for hosts in (1, 2):
        with running_site(hosts=hosts) as site:
            key = site.key_by_caller["clerk"]
            suffix = f", {hosts} host{'s' if hosts > 1 else ''}"
            cases = [
                Case(
                    name="served request" + suffix,
                    make=submissions(site, "rule", count),
                    expected=frozenset({200}),
                ),
                Case(
                    name=f"served job of {JOB_TASKS} tasks" + suffix,
                    make=submissions(site, "bind", count // JOB_TASKS, JOB_TASKS),
                    expected=frozenset({200}),
                ),
            ]
            if hosts == 1:
                cases += plain_calls(key)
            for case in cases:
                number = count // JOB_TASKS if "job" in case.name else count
                rows.append(asyncio.run(cost_of(site.hosts, case, number)))
    return rows


def plain_calls(key: str) -> list[Case]:
    """Cases of calls that run no task."""
    ids = request_bytes("POST", "/v1/ids", key, {"count": 1, "kind": "rule"})
    liveness = request_bytes("GET", "/healthz", key)
    unauthorized = request_bytes("GET", "/v1/submissions/x", "wrong")
    return [
        Case(name="one id", make=lambda n: ids, expected=frozenset({201})),
        Case(name="liveness", make=lambda n: liveness, expected=frozenset({200})),
        Case(name="wrong key", make=lambda n: unauthorized, expected=frozenset({401})),
    ]


def measure_refused(count: int) -> list[dict[str, object]]:
    """Measure refusals of submissions to a flow whose queue is full."""
    limits = Limits(queued_tasks_per_flow=10)
    with running_site(hosts=1, runners=1, slots=1, limits=limits) as site:
        key = site.key_by_caller["clerk"]
        host = site.hosts[0]
        ids = asyncio.run(issue_ids(host, key, "rule", 20))
        slow = {"kind": "rule", "tasks": [{"payload": {"work_s": 25.0}}]}
        fill = [request_bytes("PUT", f"/v1/submissions/{text}?wait=0", key, slow) for text in ids]
        asyncio.run(run_requests(host, fill))
        make = submissions(site, "rule", count)
        refused = Case(name="refused, flow is full", make=make, expected=frozenset({429}))
        noncanonical = Case(
            name="refused, not written plainly",
            make=lambda n: make(n).replace(b"host: x", b"trailer: x\r\nhost: x"),
            expected=frozenset({429}),
        )
        return [asyncio.run(cost_of([host], case, count)) for case in (refused, noncanonical)]


def measure_idle() -> list[dict[str, object]]:
    """Measure memory and processor time of idle hosts, by number of hosts."""
    rows = []
    for count in HOST_COUNTS:
        with running_site(hosts=count, runners=2, workers=1) as site:
            time.sleep(IDLE_S)
            before = [host.cpu_s() for host in site.hosts]
            time.sleep(IDLE_S)
            used = [host.cpu_s() - start for host, start in zip(site.hosts, before, strict=True)]
            rows.append(
                {
                    "hosts": count,
                    "cpu_percent": round(100 * sum(used) / IDLE_S / count, 2),
                    "memory_mb": round(sum(host.memory_mb() for host in site.hosts) / count, 1),
                }
            )
    return rows


def measure_growth() -> dict[str, object]:
    """Measure the growth of memory with the number of submissions whose outcomes are stored."""
    with running_site(hosts=1) as site:
        host = site.hosts[0]
        make = submissions(site, "rule", KEPT_SUBMISSIONS)
        asyncio.run(run_requests(host, [make(n) for n in range(WARM_UP_REQUESTS)]))
        before = host.memory_mb()
        requests = [make(n) for n in range(WARM_UP_REQUESTS, WARM_UP_REQUESTS + KEPT_SUBMISSIONS)]
        asyncio.run(run_requests(host, requests))
        grown_kb = (host.memory_mb() - before) * 1024
        return {
            "start_mb": round(before, 1),
            "kept_submissions": KEPT_SUBMISSIONS,
            "kb_per_submission": round(grown_kb / KEPT_SUBMISSIONS, 2),
        }


def main(arguments: Sequence[str]) -> int:
    """Measure, print tables and a line of JSON; returns 1 if an answer had an unexpected status."""
    count = int(arguments[1]) if len(arguments) > 1 else REQUESTS
    rows = measure_served(count) + measure_refused(count)
    served = next(row for row in rows if str(row["case"]).startswith("served request"))
    print(f"{'case':36} {'cpu ms':>8} {'of served':>10} {'per s':>7}  answers")
    for row in rows:
        row["of_served"] = round(float(str(row["cpu_ms"])) / float(str(served["cpu_ms"])), 3)
        print(
            f"{row['case']:36} {row['cpu_ms']:>8} {row['of_served']:>10} "
            f"{row['requests_per_s']:>7}  {row['statuses']}"
        )
    idle = measure_idle()
    print(f"{'idle hosts':36} {'cpu %':>8} {'memory MB':>10}")
    for line in idle:
        print(f"{line['hosts']:<36} {line['cpu_percent']:>8} {line['memory_mb']:>10}")
    growth = measure_growth()
    print(f"memory: {growth}")
    print(json.dumps({"requests": rows, "idle": idle, "memory": growth}))
    return 1 if any(row["wrong"] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
