"""Floods on complete cores, and the processor time of served and refused submissions."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Sequence

from bench.flood_simulation import DEADLINE_S, Job, flood_config, flood_jobs, quiet_jobs
from bench.virtual import EPOCH, Reply, VirtualSite
from eelgrassyard.policy import (
    Action,
    CallerEntry,
    Core,
    Event,
    HostEntry,
    IdsCalled,
    Outcome,
    OutcomeKind,
    ReplyIds,
    ReplyRefusal,
    ReplyState,
    SiteConfig,
    StartResult,
    StartTask,
    SubmissionBody,
    SubmitCalled,
    TaskSpec,
    UpstreamEntry,
    UpstreamRole,
    Urgency,
)

RUNNERS = 3
SLOTS = 8
DURATION_S = 8.0
WARM_UP_S = 2.0
SETTLE_S = 2.0
SEED = 21


class TimedCore:
    """Wraps a core and accumulates the processor time of its ticks."""

    def __init__(self, core: Core) -> None:
        self._tick = core.tick
        self.busy_s = 0.0

    def tick(self, now: float, inbox: Sequence[Event]) -> list[Action]:
        started = time.process_time()
        actions = self._tick(now, inbox)
        self.busy_s += time.process_time() - started
        return actions


def make_config(callers: Sequence[str], hosts: int) -> SiteConfig:
    """Kinds of :func:`flood_config` on three runners; all hosts are in one failure domain."""
    base = flood_config()
    return SiteConfig(
        site="bench",
        failure_domains=("a",),
        hosts_by_name={
            f"h{i}": HostEntry(name=f"h{i}", address="127.0.0.1", port=1 + i, failure_domain="a")
            for i in range(hosts)
        },
        upstreams_by_name={
            f"r{i}": UpstreamEntry(
                name=f"r{i}",
                role=UpstreamRole.RUNNER,
                url="",
                failure_domain="a",
                service="s",
                slots=SLOTS,
            )
            for i in range(RUNNERS)
        },
        kinds_by_name=base.kinds_by_name,
        callers_by_name={name: CallerEntry(name=name, team="t") for name in callers},
        limits=base.limits,
    )


class FloodSite:
    """Simulated site of complete cores that runs jobs; the payload of a task is its run time.

    :param responses: response times of completed jobs, by ``quiet`` and ``flood``.
    """

    def __init__(self, callers: Sequence[str], *, hosts: int = 3) -> None:
        self.site = VirtualSite(config=make_config(callers, hosts), seed=SEED, run_time=_run_time)
        self.site.start_all()
        self.site.run_until(EPOCH + SETTLE_S)
        self.hosts = list(self.site.host_by_name)
        self.responses: dict[str, list[float]] = {"quiet": [], "flood": []}
        self.offered: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()

    def submit(self, job: Job) -> None:
        """Submit a job now to its host, which issues the id."""
        label = "flood" if job.flood else "quiet"
        self.offered[label] += 1
        started = self.site.now

        def on_reply(_: str, reply: Reply) -> None:
            outcome = reply.outcome if isinstance(reply, ReplyState) else None
            if isinstance(outcome, Outcome) and outcome.kind is OutcomeKind.COMPLETE:
                self.responses[label].append(self.site.now - started)
            elif isinstance(reply, ReplyRefusal):
                self.refusals[f"{label} at host"] += 1
            elif outcome is not None:
                late = self.site.now - started >= DEADLINE_S - 0.5
                when = "late" if late else "early"
                self.refusals[f"{label} by scheduler, {when}: {outcome.reason.value}"] += 1

        body = SubmissionBody(
            kind=job.kind,
            tasks=(TaskSpec(payload=b"%f" % job.work_s),),
            urgency=job.urgency,
            deadline_s=DEADLINE_S,
        )
        host = self.hosts[job.host % len(self.hosts)]
        self.site.submit(host, job.caller, body, on_reply, wait_s=DEADLINE_S)


def _run_time(start: StartTask, upstream: UpstreamEntry) -> tuple[float, StartResult]:
    return float(start.payload), StartResult.OK


def _run(by: str | None, urgency: Urgency) -> tuple[FloodSite, float]:
    slots = RUNNERS * SLOTS
    jobs = quiet_jobs(seed=SEED, slots=slots, seconds=DURATION_S)
    if by is not None:
        seconds = DURATION_S - 1.0
        flood = flood_jobs(seed=SEED, slots=slots, seconds=seconds, urgency=urgency, by=by)
        for job in flood:
            job.at += 1.0
        jobs += flood
    site = FloodSite(sorted({job.caller for job in jobs}))
    start = site.site.now
    for job in jobs:
        if job.flood or job.at >= WARM_UP_S:
            site.site.at(start + job.at, lambda job=job: site.submit(job))
    site.site.run_until(start + DURATION_S + 2.0)
    return site, start


def measure_site_floods() -> list[dict[str, object]]:
    """Throughput and response time that the quiet load keeps during floods, per type of flood."""
    quiet, _ = _run(None, Urgency.NORMAL)
    base = sorted(quiet.responses["quiet"])
    rows = []
    for by in ("caller", "kind"):
        for urgency in (Urgency.BACKGROUND, Urgency.URGENT):
            site, _ = _run(by, urgency)
            kept = sorted(site.responses["quiet"])
            rows.append(
                {
                    "by": by,
                    "urgency": urgency.name.lower(),
                    "throughput_kept": len(kept) / len(base),
                    "p99_ratio": kept[int(0.99 * len(kept))] / base[int(0.99 * len(base))],
                    "flood_offered": site.offered["flood"],
                    "flood_done": len(site.responses["flood"]),
                    "refusals": dict(site.refusals),
                }
            )
    return rows


def measure_costs(count: int = 2_000) -> dict[str, float]:
    """Processor time in the core of a served submission and of a refusal at the host.

    Both are measured on the same host in the same run; refusals with and without the cost of
    issuing the id.
    """
    site = FloodSite(["c"], hosts=2)
    timed = {}
    for name, host in site.site.host_by_name.items():
        assert host.core is not None
        timed[name] = TimedCore(host.core)
        host.core.tick = timed[name].tick  # type: ignore[method-assign]
    source = random.Random(SEED)
    start = site.site.now
    rate = 0.5 * RUNNERS * SLOTS / 0.3
    for i in range(count):
        job = Job(
            number=i,
            at=i / rate,
            caller="c",
            kind="rule",
            urgency=Urgency.NORMAL,
            work_s=source.uniform(0.2, 0.4),
            host=0,
            flood=False,
        )
        site.site.at(start + job.at, lambda job=job: site.submit(job))
    site.site.run_until(start + count / rate + 2.0)
    served_s = sum(core.busy_s for core in timed.values()) / len(site.responses["quiet"])
    return {"served_us": served_s * 1e6, **_refusal_costs(site, timed["h0"], served_s, count)}


def _refusal_costs(
    site: FloodSite, timed: TimedCore, served_s: float, count: int
) -> dict[str, float]:
    core = site.site.host_by_name["h0"].core
    assert core is not None
    now = site.site.now
    ids: list[str] = []
    timed.busy_s = 0.0
    for i in range(count):
        for action in core.tick(now, [IdsCalled(call=i, caller="c", count=1, kind="rule")]):
            if isinstance(action, ReplyIds):
                ids.extend(action.ids)
    ids_s = timed.busy_s / count
    core.admission.record_wait(now, ("c", "rule"), 1000.0)
    body = SubmissionBody(kind="rule", tasks=(TaskSpec(payload=b"0.3"),), deadline_s=DEADLINE_S)
    timed.busy_s = 0.0
    refused = 0
    for i, text in enumerate(ids):
        event = SubmitCalled(call=i, caller="c", submission_id=text, body=body, wait_s=1.0)
        refused += any(isinstance(a, ReplyRefusal) for a in core.tick(now, [event]))
    assert refused == count
    refusal_s = timed.busy_s / count
    timed.busy_s = 0.0
    for _ in range(count):
        core.tick(now, [])
    empty_s = timed.busy_s / count
    started = time.process_time()
    for _ in range(count):
        core.admission.check(now, "c", body)
    check_s = (time.process_time() - started) / count
    return {
        "check_us": check_s * 1e6,
        "check_ratio": check_s / served_s,
        "empty_tick_us": empty_s * 1e6,
        "refusal_us": refusal_s * 1e6,
        "id_us": ids_s * 1e6,
        "refusal_ratio": refusal_s / served_s,
        "refusal_without_tick_ratio": (refusal_s - empty_s) / served_s,
        "refusal_with_id_ratio": (refusal_s + ids_s) / served_s,
    }
