"""Formulas over measured figures that the rows of several tables share."""

from __future__ import annotations

from eelgrassyard.config._limits import MIN_WITNESS_RECORDS, WITNESS_HEADROOM

from .capacity_sizes import DAY_S, RECORD_S, SiteSize
from .capacity_tables import Reader, job_cost_ms

KIB = 1024
REQUEST_TASKS = 1.5
"""Pools with fewer tasks a submission serve requests."""

FEW, MANY = 700, 6_000
"""Named upstreams between which the usage polls stay at their bound and only the list grows."""

MOST_POLLS_PER_S = 10.0
"""As in ``eelgrassyard.daemon._usage``."""

USAGE_POLL_S = 2.0
WATCH_S = 30.0
WATCHERS = 2
"""Hosts of a failure domain that watch the store."""

DIGEST_INTERVAL_S = 5.0
DIGEST_RECEIVERS = 2
DIGEST_ENTRIES = 256
"""Learned speeds, as in ``eelgrassyard.policy._scheduler`` and ``_speed_index``."""

BROADCAST_S = 10.0
"""Time between two quota digests that go to all hosts."""


def owner_ms(r: Reader, s: SiteSize) -> float:
    return job_cost_ms(r, s.tasks_per_job)[0]


def scheduler_ms_per_s(r: Reader, s: SiteSize) -> float:
    """Processor time at the host of the busiest pool; most requests are one task a submission."""
    if s.scheduler_tasks_per_job < REQUEST_TASKS:
        return r.at("request.scheduler", r.highest("request.scheduler")) * s.scheduler_jobs_per_s
    return job_cost_ms(r, s.scheduler_tasks_per_job)[1] * s.scheduler_jobs_per_s


def record_count(s: SiteSize) -> float:
    """Records at a host that schedules a pool and is the witness of its submissions."""
    return s.scheduler_jobs_per_s * RECORD_S


def record_ratio(r: Reader, s: SiteSize) -> float:
    """These records as a part of what the generated configuration lets a host keep."""
    allowed = WITNESS_HEADROOM * s.jobs_per_s * RECORD_S
    return record_count(s) / max(allowed, MIN_WITNESS_RECORDS)


def changes_per_s(s: SiteSize) -> float:
    return s.changes_per_day / DAY_S


def watchers(s: SiteSize) -> float:
    return min(s.hosts, WATCHERS * s.domains)


def watches_per_s(r: Reader, s: SiteSize) -> float:
    per_change = r.at("hosts.change_calls", 8) / WATCHERS
    return watchers(s) * (1 / WATCH_S + per_change * changes_per_s(s))


def spread_bytes(r: Reader, s: SiteSize) -> float:
    """Sent and received, without quotas."""
    document = r.at("config.peer_bytes", s.upstreams) * changes_per_s(s)
    news = r.at("spread.restart_bytes", s.hosts) * s.restarts_per_day / DAY_S
    return 2 * (r.at("spread.quiet.bytes", s.hosts) + news + document)


def quiet_bytes(r: Reader, s: SiteSize) -> float:
    """Sent and received at a host that schedules nothing; it hears the digests sent to all."""
    digests = s.scope_domains * r.at("digest.quota_bytes", s.teams) / BROADCAST_S
    return spread_bytes(r, s) + digests


def scheduler_bytes(r: Reader, s: SiteSize) -> float:
    """Sent and received at a host that schedules; quota digests both ways, speeds sent."""
    digest = r.at("digest.quota_bytes", s.teams)
    others = s.scope_domains - 1
    if others:
        quota = digest * (2 * others + s.hosts / BROADCAST_S)
    else:
        quota = digest * (s.domains - 1 + s.hosts / BROADCAST_S)
    entries = min(DIGEST_ENTRIES, s.upstreams / s.scope_domains)
    speeds = r.at("digest.speed_bytes") * entries / DIGEST_ENTRIES
    return spread_bytes(r, s) + quota + speeds * DIGEST_RECEIVERS / DIGEST_INTERVAL_S


def list_bytes(r: Reader, s: SiteSize) -> float:
    return r.at("list.bytes", s.upstreams + s.hosts)


def list_received(r: Reader, s: SiteSize) -> float:
    """Bytes a second: the whole list after each change, else an unchanged answer each second.

    A restart or replacement changes the list twice, to leaving or gone and back to live.
    """
    changes_per_s = 2 * s.restarts_per_day / DAY_S
    return list_bytes(r, s) * changes_per_s + r.at("list.unchanged_bytes", s.upstreams + s.hosts)


def list_cpu(r: Reader, s: SiteSize) -> float:
    """Processor time to read the host list, without usage polls; 0 if it drowns in the noise."""
    grown = r.at("idle.upstreams", MANY) - r.at("idle.upstreams", FEW)
    return max(0.0, grown / (MANY - FEW) * (s.upstreams + s.hosts))


def poll_cpu(r: Reader, s: SiteSize) -> float:
    """Processor time of the usage polls of a host that schedules workers."""
    grown = r.at("idle.upstreams", FEW) - r.at("idle.upstreams", 0)
    per_upstream = (r.at("idle.upstreams", MANY) - r.at("idle.upstreams", FEW)) / (MANY - FEW)
    return (grown - per_upstream * FEW) * polls_per_s(s) / MOST_POLLS_PER_S


def polls_per_s(s: SiteSize) -> float:
    return min(MOST_POLLS_PER_S, s.workers / s.scope_domains / USAGE_POLL_S)


def idle_cpu(r: Reader, s: SiteSize) -> float:
    """Processor time that control takes at a host that schedules nothing.

    Real processes up to the largest number measured, growth beyond it from the virtual clock.
    """
    real = min(s.hosts, r.highest("hosts.cpu"))
    grown = r.at("spread.quiet.cpu", s.hosts) - r.at("spread.quiet.cpu", real)
    return r.at("hosts.cpu", real) + grown + list_cpu(r, s) + parse_cpu(r, s)


def scheduler_cpu(r: Reader, s: SiteSize) -> float:
    digests = r.at("spread.scheduler.cpu", s.hosts) - r.at("spread.quiet.cpu", s.hosts)
    part = (s.teams / 68) * (s.scope_domains / 11)
    return idle_cpu(r, s) + poll_cpu(r, s) + digests * part


def parse_cpu(r: Reader, s: SiteSize) -> float:
    return r.at("config.parse", s.upstreams) * changes_per_s(s)


def control_mb(r: Reader, s: SiteSize) -> float:
    """Memory beyond the imports: start, named upstreams, peers, scheduler table, records."""
    start = r.at("memory.upstreams", s.upstreams) - r.at("memory.imports")
    peers = r.slope("hosts.memory", s.hosts)
    table = r.slope("table.upstreams", s.upstreams / s.scope_domains) / KIB
    records = r.slope("table.records_dense", record_count(s)) / KIB
    return start + peers + table + records
