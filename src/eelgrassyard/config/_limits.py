"""Bounds and timings that follow from the answers."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..policy import Limits, Scope
from ._answers import Answers
from ._positions import Path
from ._priorities import Priority
from ._rates import Rates, part_of_pool, pool_of
from ._shares import background_share

ID_LIFETIME_S = 600.0
CLOCK_SKEW_S = 60.0
LONGEST_LIFETIME_S = 86_400.0

LEAST_QUEUED_PER_FLOW = 500
MOST_QUEUED_TOTAL = 100_000
"""Queued tasks are held in memory; 100,000 of them are some tens of megabytes."""

LEAST_WITNESS_RECORDS = 20_000
MOST_WITNESS_RECORDS = 10_000_000
WITNESS_HEADROOM = 4.0
"""Clients take ids that they never use, and half of the hosts may have to keep all records."""

PING_INTERVAL_S = 0.5
REMOTE_PING_INTERVAL_S = 1.0
ROUND_TRIPS_PER_PING = 20.0
ROUND_TRIPS_PER_ASK = 20.0

ONE_SCHEDULER_HOSTS = 16
ONE_SCHEDULER_UPSTREAMS = 200
ONE_SCHEDULER_STARTS_PER_S = 5_000.0
"""A decision may cost 100 µs, so 5,000 a second fill half of the scheduler's core."""
ONE_SCHEDULER_LATENCY_MS = 5.0

Take = Callable[[str, Path, object, str], None]
"""Notes the origin of a value: key, path of the answer, value, rule."""


def find_scope(answers: Answers, rates: Rates) -> tuple[Scope, str]:
    """Whether one host schedules a pool of the whole site, and why."""
    upstreams = sum(len(service.runners) for service in answers.services)
    upstreams += sum(len(rack.workers) for rack in answers.racks)
    starts_per_s = sum(rates.tasks_per_s_by_kind.values())
    latency_ms = answers.latency_ms.between_failure_domains
    if len(answers.hosts) > ONE_SCHEDULER_HOSTS:
        return Scope.FAILURE_DOMAIN, f"more than {ONE_SCHEDULER_HOSTS} hosts"
    if upstreams > ONE_SCHEDULER_UPSTREAMS:
        return Scope.FAILURE_DOMAIN, f"more than {ONE_SCHEDULER_UPSTREAMS} upstreams"
    if starts_per_s > ONE_SCHEDULER_STARTS_PER_S:
        return Scope.FAILURE_DOMAIN, f"more than {ONE_SCHEDULER_STARTS_PER_S:g} starts a second"
    if latency_ms > ONE_SCHEDULER_LATENCY_MS:
        return Scope.FAILURE_DOMAIN, f"more than {ONE_SCHEDULER_LATENCY_MS:g} ms between domains"
    return Scope.SITE, "few hosts and upstreams close together share one queue for each pool"


def find_limits(answers: Answers, rates: Rates, priority: Priority, take: Take) -> Limits:
    """Work out the limits and note the origin of each."""
    values: dict[str, object] = {}

    def put(name: str, value: object, path: Path, rule: str) -> None:
        values[name] = value
        take(f"limits.{name}", path, value, rule)

    matters: Path = ("matters_most",)
    latency: Path = ("latency_ms", "between_failure_domains")
    round_trip_s = 2 * answers.latency_ms.between_failure_domains / 1000
    lifetime_s, lifetime_path = _id_lifetime(answers)
    per_flow, per_flow_path = _queued_per_flow(answers, rates, priority)
    job_tasks, job_path = _tasks_per_job(answers)

    put("tasks_per_job", job_tasks, job_path, "most tasks of any kind; 620 where none is given")
    put("body_bytes", 2_000_000, (), "fixed by the interface towards callers")
    put(
        "queued_tasks_per_flow",
        per_flow,
        per_flow_path,
        f"tasks that the pool finishes in {priority.queue_wait_ratio:.0%} of the time for an "
        f"answer, {LEAST_QUEUED_PER_FLOW} to {priority.most_queued_per_flow}",
    )
    put(
        "queued_tasks_total",
        _queued_total(answers, per_flow),
        ("callers",),
        f"half of all flows at their bound, up to {MOST_QUEUED_TOTAL}",
    )
    put(
        "witness_records",
        _witness_records(answers, rates, lifetime_s),
        ("callers",),
        f"{WITNESS_HEADROOM:g} times the submissions of an id's lifetime, all at one host",
    )
    put("id_lifetime_s", lifetime_s, lifetime_path, "twice the longest answer_within_s, from 600 s")
    put("lease_s", priority.lease_s, matters, "from what matters most")
    put(
        "ping_interval_s",
        max(PING_INTERVAL_S, ROUND_TRIPS_PER_PING * round_trip_s),
        latency,
        f"{ROUND_TRIPS_PER_PING:g} round trips, from {PING_INTERVAL_S} s",
    )
    put(
        "remote_ping_interval_s",
        max(REMOTE_PING_INTERVAL_S, ROUND_TRIPS_PER_PING * round_trip_s),
        latency,
        f"{ROUND_TRIPS_PER_PING:g} round trips, from {REMOTE_PING_INTERVAL_S} s",
    )
    put("suspicion_periods", 3, (), "fixed: a host that misses 3 periods is dead")
    put("retry_budget_ratio", priority.retry_budget_ratio, matters, "from what matters most")
    keeps: Path = (
        matters if answers.least_urgent_keeps_percent is None else ("least_urgent_keeps_percent",)
    )
    put(
        "background_share",
        background_share(answers, priority),
        keeps,
        "from what matters most" if keeps == matters else "percent as a part of 1",
    )
    put("max_ejected_ratio", 0.5, (), "fixed: at least half of a pool stays in use")
    put(
        "ask_timeout_s",
        max(priority.ask_timeout_s, ROUND_TRIPS_PER_ASK * round_trip_s),
        matters if priority.ask_timeout_s >= ROUND_TRIPS_PER_ASK * round_trip_s else latency,
        f"from what matters most, at least {ROUND_TRIPS_PER_ASK:g} round trips",
    )
    return Limits(**values)  # type: ignore[arg-type]


def _id_lifetime(answers: Answers) -> tuple[float, Path]:
    index = max(range(len(answers.kinds)), key=lambda i: answers.kinds[i].answer_within_s)
    longest_s = answers.kinds[index].answer_within_s
    lifetime_s = min(max(ID_LIFETIME_S, 2 * longest_s), LONGEST_LIFETIME_S)
    return lifetime_s, ("kinds", index, "answer_within_s")


def _tasks_per_job(answers: Answers) -> tuple[int, Path]:
    jobs = [(i, kind) for i, kind in enumerate(answers.kinds) if kind.runs_as == "job"]
    if not jobs:
        return 1, ("kinds",)
    index, kind = max(jobs, key=lambda item: item[1].tasks_most or 620)
    return kind.tasks_most or 620, ("kinds", index, "tasks_most")


def _queued_per_flow(answers: Answers, rates: Rates, priority: Priority) -> tuple[int, Path]:
    most, path = 0.0, ("kinds",)
    can_wait = all(kind.late_answer == "can_wait" for kind in answers.kinds)
    for index, kind in enumerate(answers.kinds):
        if kind.late_answer == "can_wait" and not can_wait:
            # Its long time for an answer would let every flow queue for minutes.
            continue
        part = part_of_pool(kind, rates.capacity_by_pool.get(pool_of(kind)))
        queued = kind.answer_within_s * priority.queue_wait_ratio / part if part else 0.0
        if queued > most:
            most, path = queued, ("kinds", index, "answer_within_s")  # type: ignore[assignment]
    least = max(LEAST_QUEUED_PER_FLOW, 2 * _tasks_per_job(answers)[0])
    return int(min(max(most, least), priority.most_queued_per_flow)), path


def _queued_total(answers: Answers, per_flow: int) -> int:
    flows = sum(len(caller.sends) for caller in answers.callers)
    return min(MOST_QUEUED_TOTAL, per_flow * max(1, math.ceil(flows / 2)))


def _witness_records(answers: Answers, rates: Rates, lifetime_s: float) -> int:
    kept = rates.submissions_per_s * (lifetime_s + CLOCK_SKEW_S)
    # One host is the witness of all ids that name the kinds of the pool that it schedules.
    records = math.ceil(WITNESS_HEADROOM * kept)
    return min(max(records, LEAST_WITNESS_RECORDS), MOST_WITNESS_RECORDS)
