"""Derivation of the pool scope and of the limits and timings from the answers."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..policy import Limits, Scope
from ._answers import Answers
from ._positions import Path
from ._priorities import Priority
from ._rates import Rates, pool_of, unit_load
from ._shares import background_share

MIN_ID_LIFETIME_S = 600.0
CLOCK_SKEW_S = 60.0
"""Time beyond the lifetime of an id for which its record is kept, to allow for clock skew."""

MAX_ID_LIFETIME_S = 86_400.0

MIN_QUEUED_PER_FLOW = 500
MAX_QUEUED_TOTAL = 100_000
"""Limit on the queued tasks of a scheduler, which are held in memory: 100,000 of them take some
tens of megabytes."""

MIN_WITNESS_RECORDS = 20_000
MAX_WITNESS_RECORDS = 10_000_000
WITNESS_HEADROOM = 4.0
"""Factor on the expected number of records. Clients request ids that they never use, and half of
the hosts may have to keep all records."""

MIN_PING_INTERVAL_S = 0.5
MIN_REMOTE_PING_INTERVAL_S = 1.0
ROUND_TRIPS_PER_PING = 20.0
"""Least ping interval, as a multiple of the round-trip time between failure domains."""

ROUND_TRIPS_PER_ASK = 20.0
"""Least timeout of a request to a scheduler, as a multiple of the round-trip time."""

SITE_SCOPE_MAX_HOSTS = 16
SITE_SCOPE_MAX_UPSTREAMS = 200
SITE_SCOPE_MAX_STARTS_PER_S = 5_000.0
"""A decision may cost 100 µs, so 5,000 starts per second use half of the scheduler's core."""

SITE_SCOPE_MAX_LATENCY_MS = 5.0
"""One host schedules a pool for the whole site only if none of these limits is exceeded."""

RecordOrigin = Callable[[str, Path, object, str], None]
"""Records the origin of a value: key, path of the answer, value, rule."""


def derive_scope(answers: Answers, rates: Rates) -> tuple[Scope, str]:
    """Return whether one host schedules a pool for the whole site, and the reason."""
    upstreams = sum(len(service.runners) for service in answers.services)
    upstreams += sum(len(rack.workers) for rack in answers.racks)
    starts_per_s = sum(rates.tasks_per_s_by_kind.values())
    latency_ms = answers.latency_ms.between_failure_domains
    if len(answers.hosts) > SITE_SCOPE_MAX_HOSTS:
        return Scope.FAILURE_DOMAIN, f"more than {SITE_SCOPE_MAX_HOSTS} hosts"
    if upstreams > SITE_SCOPE_MAX_UPSTREAMS:
        return Scope.FAILURE_DOMAIN, f"more than {SITE_SCOPE_MAX_UPSTREAMS} upstreams"
    if starts_per_s > SITE_SCOPE_MAX_STARTS_PER_S:
        return Scope.FAILURE_DOMAIN, f"more than {SITE_SCOPE_MAX_STARTS_PER_S:g} starts a second"
    if latency_ms > SITE_SCOPE_MAX_LATENCY_MS:
        return Scope.FAILURE_DOMAIN, f"more than {SITE_SCOPE_MAX_LATENCY_MS:g} ms between domains"
    return Scope.SITE, "few hosts and upstreams close together share one queue for each pool"


def derive_limits(
    answers: Answers, rates: Rates, priority: Priority, record: RecordOrigin
) -> Limits:
    """Derive the limits and record the origin of each."""
    values: dict[str, object] = {}

    def put(name: str, value: object, path: Path, rule: str) -> None:
        values[name] = value
        record(f"limits.{name}", path, value, rule)

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
        f"answer, {MIN_QUEUED_PER_FLOW} to {priority.max_queued_per_flow}",
    )
    put(
        "queued_tasks_total",
        _queued_total(answers, per_flow),
        ("callers",),
        f"half of all flows at their bound, up to {MAX_QUEUED_TOTAL}",
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
        max(MIN_PING_INTERVAL_S, ROUND_TRIPS_PER_PING * round_trip_s),
        latency,
        f"{ROUND_TRIPS_PER_PING:g} round trips, from {MIN_PING_INTERVAL_S} s",
    )
    put(
        "remote_ping_interval_s",
        max(MIN_REMOTE_PING_INTERVAL_S, ROUND_TRIPS_PER_PING * round_trip_s),
        latency,
        f"{ROUND_TRIPS_PER_PING:g} round trips, from {MIN_REMOTE_PING_INTERVAL_S} s",
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
    lifetime_s = min(max(MIN_ID_LIFETIME_S, 2 * longest_s), MAX_ID_LIFETIME_S)
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
            # Its long answer time would allow every flow a queue of minutes.
            continue
        load_per_rate = unit_load(kind, rates.capacity_by_pool.get(pool_of(kind)))
        queued = (
            kind.answer_within_s * priority.queue_wait_ratio / load_per_rate
            if load_per_rate
            else 0.0
        )
        if queued > most:
            most, path = queued, ("kinds", index, "answer_within_s")  # type: ignore[assignment]
    least = max(MIN_QUEUED_PER_FLOW, 2 * _tasks_per_job(answers)[0])
    return int(min(max(most, least), priority.max_queued_per_flow)), path


def _queued_total(answers: Answers, per_flow: int) -> int:
    flows = sum(len(caller.sends) for caller in answers.callers)
    return min(MAX_QUEUED_TOTAL, per_flow * max(1, math.ceil(flows / 2)))


def _witness_records(answers: Answers, rates: Rates, lifetime_s: float) -> int:
    kept = rates.submissions_per_s * (lifetime_s + CLOCK_SKEW_S)
    # One host is the witness of the ids of all kinds in the pool that it schedules.
    records = math.ceil(WITNESS_HEADROOM * kept)
    return min(max(records, MIN_WITNESS_RECORDS), MAX_WITNESS_RECORDS)
