"""Memory of state tables and processor time of core and codec, in this process.

Memory is measured with tracemalloc on the real tables.
"""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Sequence

from eelgrassyard.daemon._codec import decode_envelope, encode_messages
from eelgrassyard.policy import (
    Limits,
    PeerMessage,
    Placement,
    QuotaDigest,
    Release,
    SlotAsk,
    SlotGrant,
    SlotRelease,
    SpeedDigest,
    SpeedEntry,
    StartResult,
    SubmissionBody,
    TaskSize,
    TaskSpec,
    TeamDemand,
    Urgency,
)
from eelgrassyard.policy._ids import SubmissionId
from eelgrassyard.policy._mark_pages import Mark, MarkPages

from .bench_decision_cost import LoadedScheduler
from .bench_membership import MeteredSite
from .capacity_series import Series, series
from .daemon_site import make_config
from .virtual import EPOCH, VirtualSite

TASKS_PER_MESSAGE = (1, 20, 100, 310, 620)
CODEC_TASKS = 6_000
DECISION_TASKS = 4_000
DECISION_ROUNDS = 3
UPSTREAMS = (24, 127, 700, 1400)
RECORDS = (10_000, 20_000, 40_000)
MEMBERS = (8, 16, 32, 48)
MEMBER_DOMAINS = 4
JOBS = (50, 100, 200)
TASKS_PER_JOB = 20
TEAMS = (1, 17, 34, 68)
PAYLOAD = json.dumps({"work_s": 0.0, "page": "x" * 200}).encode()
INCARNATION = 1_800_000_000_000_000
SUBMISSION = "patan-1.1800000000000000.12345.1800000600.thamel-1.1800000000000001.0123456789abcdef"

DEEP_QUEUES = Limits(queued_tasks_per_flow=100_000, queued_tasks_total=100_000)


def allocated_kib(make: Callable[[], object]) -> float:
    """Memory in KiB that remains allocated for the return value of ``make``."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
    finally:
        tracemalloc.stop()
    return (after - before) / 1024


def measure_tables() -> list[Series]:
    """Memory of each table by number of entries."""

    def table(name: str, x: str, counts: Sequence[int], make: Callable[[int], object]) -> Series:
        points = [(n, allocated_kib(lambda n=n: make(n))) for n in counts]  # type: ignore[misc]
        return series("tables", name, "KiB", points, x)

    members = [
        (n, allocated_kib(lambda n=n: _converged_site(n)) / n) for n in MEMBERS  # type: ignore[misc]
    ]
    return [
        table("table.records_dense", "records", RECORDS, lambda n: _records(n, 1)),
        table("table.records_sparse", "records", RECORDS, lambda n: _records(n, 16)),
        series("tables", "table.members", "KiB a host", members, "hosts"),
        table("table.upstreams", "upstreams", UPSTREAMS, _scheduler),
        table("table.waiting_jobs", f"jobs of {TASKS_PER_JOB} tasks", JOBS, _waiting_jobs),
    ]


def _records(count: int, step: int) -> MarkPages:
    """Witness records of one owner; every ``step``-th of its ids names this witness."""
    pages = MarkPages()
    for number in range(count):
        fields = SubmissionId(
            owner="patan-1",
            incarnation=INCARNATION,
            sequence=number * step,
            expires_at=int(EPOCH) + 600,
            witness="thamel-1",
            witness_incarnation=1,
        )
        pages.set(fields, Mark.RECORDED)
    return pages


def _converged_site(hosts: int) -> MeteredSite:
    site = MeteredSite(hosts=hosts, domains=MEMBER_DOMAINS)
    site.start_all()
    site.run_for(5.0)
    return site


def _scheduler(upstreams: int) -> LoadedScheduler:
    loaded = LoadedScheduler(upstreams)
    loaded.run(int(0.8 * loaded.capacity))
    return loaded


def _waiting_jobs(jobs: int) -> VirtualSite:
    """A host that is owner and scheduler of jobs, nearly all of whose tasks wait for a slot."""
    config = make_config({"clerk": "key"}, [(1, 2)], [], [3], 8, limits=DEEP_QUEUES)
    site = VirtualSite(config=config, seed=1, run_time=lambda task, entry: (1e6, StartResult.OK))
    site.start_all()
    for _ in range(jobs):
        tasks = tuple(TaskSpec(payload=bytes(bytearray(PAYLOAD))) for _ in range(TASKS_PER_JOB))
        body = SubmissionBody(kind="bind", tasks=tasks, deadline_s=3600.0)
        site.submit("patan-1", "clerk", body, lambda text, reply: None, wait_s=3600.0)
    site.run_until(site.now + 0.5)
    return site


def measure_decisions() -> list[Series]:
    """Processor time of decisions and of the codec, and sizes of digests."""
    decision = [(count, _decision_us(count)) for count in UPSTREAMS]
    codec = [(tasks, *_codec_cost(tasks)) for tasks in TASKS_PER_MESSAGE]
    x = "tasks a job"
    return [
        series("decisions", "decision.us", "us a task", decision, "upstreams"),
        series("decisions", "codec.us", "us a job", [(t, t * us) for t, us, _ in codec], x),
        series("decisions", "codec.bytes", "B a job", [(t, t * b) for t, _, b in codec], x),
        series(
            "decisions",
            "digest.quota_bytes",
            "B",
            [(teams, len(_encode([_quota_digest(teams)]))) for teams in TEAMS],
            "teams",
        ),
        series("decisions", "digest.speed_bytes", "B", [(256, len(_encode([_speeds(256)])))]),
    ]


def _decision_us(upstreams: int) -> float:
    """Microseconds per task, the minimum of several rounds."""
    loaded = LoadedScheduler(upstreams)
    loaded.run(max(DECISION_TASKS, loaded.capacity))
    gc.collect()
    return 1e6 * min(loaded.run(DECISION_TASKS) for _ in range(DECISION_ROUNDS))


def _codec_cost(tasks: int) -> tuple[float, float]:
    """Microseconds and bytes per task of slot request, grant and release.

    Includes encoding at the sender and decoding at the receiver.
    """
    batch = _messages(tasks)
    rounds = max(3, CODEC_TASKS // tasks)
    size = 0
    began = time.process_time()
    for _ in range(rounds):
        for message in batch:
            frame = _encode([message])
            size += len(frame)
            decode_envelope(frame).unwrap()
    used = time.process_time() - began
    return used * 1e6 / rounds / tasks, size / rounds / tasks


def _messages(tasks: int) -> list[PeerMessage]:
    pool = "workers@patan"
    slot_request = SlotAsk(
        submission_id=SUBMISSION,
        pool=pool,
        caller="clerk",
        team="land",
        kind="bind",
        urgency=Urgency.NORMAL,
        deadline_s=29.75,
        tasks=tuple(TaskSize(index=n) for n in range(tasks)),
    )
    places = tuple(
        Placement(grant=10_000 + n, index=n, upstream=f"patan-rack-worker-{n % 127}")
        for n in range(tasks)
    )
    grant = SlotGrant(submission_id=SUBMISSION, pool=pool, attempt=0, placements=places)
    releases = tuple(
        Release(
            grant=place.grant,
            upstream=place.upstream,
            kind="bind",
            result=StartResult.OK,
            run_s=0.3 + place.index / 997,
        )
        for place in places
    )
    return [slot_request, grant, SlotRelease(pool=pool, releases=releases)]


def _quota_digest(teams: int) -> QuotaDigest:
    demands = tuple(
        TeamDemand(team=f"team-{n:02}", asked_per_s=1279.41 + n, started_per_s=1201.37 + n)
        for n in range(teams)
    )
    return QuotaDigest(failure_domain="d3", sequence=4711, demands=demands)


def _speeds(entries: int) -> SpeedDigest:
    speeds = tuple(
        SpeedEntry(upstream=f"patan-rack-worker-{n}", speed=0.5 + n / 301, samples=n)
        for n in range(entries)
    )
    return SpeedDigest(pool="workers@patan", speeds=speeds)


def _encode(messages: list[PeerMessage]) -> bytes:
    return encode_messages("patan-1", INCARNATION, messages)
