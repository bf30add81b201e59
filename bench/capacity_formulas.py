"""Formulas on measured figures that several tables of the capacity page share."""

from __future__ import annotations

from eelgrassyard.config._limits import MIN_WITNESS_RECORDS, WITNESS_HEADROOM

from .capacity_sizes import DAY_S, RECORD_LIFETIME_S, SiteSize
from .capacity_tables import Reader, job_cost_ms

KIB = 1024
MAX_REQUEST_TASKS = 1.5
"""Tasks per submission below which a pool counts as serving requests instead of jobs."""

FEW_UPSTREAMS, MANY_UPSTREAMS = 700, 6_000
"""Numbers of configured upstreams between which usage polls stay at their maximum rate.

Processor time between the two grows only with the host list.
"""

MOST_POLLS_PER_S = 10.0
"""Maximum rate of usage polls, as in ``eelgrassyard.daemon._usage``."""

USAGE_POLL_INTERVAL_S = 2.0
WATCH_INTERVAL_S = 30.0
WATCHERS_PER_DOMAIN = 2
"""Number of hosts per failure domain that watch the store."""

DIGEST_INTERVAL_S = 5.0
DIGEST_RECEIVERS = 2
DIGEST_ENTRIES = 256
"""Maximum number of learned speeds in a speed digest.

Intervals, receivers and entries are as in ``eelgrassyard.policy._scheduler`` and ``_speed_index``.
"""

BROADCAST_INTERVAL_S = 10.0
"""Interval between quota digests that are sent to all hosts."""


def owner_ms(r: Reader, s: SiteSize) -> float:
    return job_cost_ms(r, s.tasks_per_job)[0]


def scheduler_ms_per_s(r: Reader, s: SiteSize) -> float:
    """Processor time at the scheduler of the busiest pool.

    For pools of requests, which mostly have one task, the figure per request applies.
    """
    if s.scheduler_tasks_per_job < MAX_REQUEST_TASKS:
        return r.at("request.scheduler", r.highest("request.scheduler")) * s.scheduler_jobs_per_s
    return job_cost_ms(r, s.scheduler_tasks_per_job)[1] * s.scheduler_jobs_per_s


def record_count(s: SiteSize) -> float:
    """Witness records at a host that is scheduler of a pool and witness of its submissions."""
    return s.scheduler_jobs_per_s * RECORD_LIFETIME_S


def record_ratio(r: Reader, s: SiteSize) -> float:
    """Those records as a fraction of the limit in the generated configuration."""
    allowed = WITNESS_HEADROOM * s.jobs_per_s * RECORD_LIFETIME_S
    return record_count(s) / max(allowed, MIN_WITNESS_RECORDS)


def changes_per_s(s: SiteSize) -> float:
    return s.changes_per_day / DAY_S


def watcher_count(s: SiteSize) -> float:
    return min(s.hosts, WATCHERS_PER_DOMAIN * s.domains)


def watches_per_s(r: Reader, s: SiteSize) -> float:
    per_change = r.at("hosts.change_calls", 8) / WATCHERS_PER_DOMAIN
    return watcher_count(s) * (1 / WATCH_INTERVAL_S + per_change * changes_per_s(s))


def dissemination_bytes(r: Reader, s: SiteSize) -> float:
    """Bytes per second sent and received for membership and configuration, without quotas."""
    document = r.at("config.peer_bytes", s.upstreams) * changes_per_s(s)
    updates = r.at("spread.restart_bytes", s.hosts) * s.restarts_per_day / DAY_S
    return 2 * (r.at("spread.quiet.bytes", s.hosts) + updates + document)


def idle_host_bytes(r: Reader, s: SiteSize) -> float:
    """Bytes per second sent and received at a host that is no scheduler.

    It receives the quota digests that are sent to all hosts.
    """
    digests = s.scope_domains * r.at("digest.quota_bytes", s.teams) / BROADCAST_INTERVAL_S
    return dissemination_bytes(r, s) + digests


def scheduler_host_bytes(r: Reader, s: SiteSize) -> float:
    """Bytes per second sent and received at a scheduler.

    Includes quota digests in both directions and speed digests sent.
    """
    digest = r.at("digest.quota_bytes", s.teams)
    others = s.scope_domains - 1
    if others:
        quota = digest * (2 * others + s.hosts / BROADCAST_INTERVAL_S)
    else:
        quota = digest * (s.domains - 1 + s.hosts / BROADCAST_INTERVAL_S)
    entries = min(DIGEST_ENTRIES, s.upstreams / s.scope_domains)
    speeds = r.at("digest.speed_bytes") * entries / DIGEST_ENTRIES
    return dissemination_bytes(r, s) + quota + speeds * DIGEST_RECEIVERS / DIGEST_INTERVAL_S


def list_bytes(r: Reader, s: SiteSize) -> float:
    return r.at("list.bytes", s.upstreams + s.hosts)


def list_received(r: Reader, s: SiteSize) -> float:
    """Bytes per second received from the host list service.

    After a change the whole list is sent; other polls, one a second, get a "not modified" response.
    A restart or replacement changes the list twice, to leaving or gone and back to live.
    """
    changes_per_s = 2 * s.restarts_per_day / DAY_S
    return list_bytes(r, s) * changes_per_s + r.at("list.unchanged_bytes", s.upstreams + s.hosts)


def list_cpu(r: Reader, s: SiteSize) -> float:
    """Processor time to read the host list, without usage polls; 0 if noise makes it negative."""
    increase = r.at("idle.upstreams", MANY_UPSTREAMS) - r.at("idle.upstreams", FEW_UPSTREAMS)
    return max(0.0, increase / (MANY_UPSTREAMS - FEW_UPSTREAMS) * (s.upstreams + s.hosts))


def poll_cpu(r: Reader, s: SiteSize) -> float:
    """Processor time of usage polls at a scheduler of workers."""
    increase = r.at("idle.upstreams", FEW_UPSTREAMS) - r.at("idle.upstreams", 0)
    per_upstream = (
        r.at("idle.upstreams", MANY_UPSTREAMS) - r.at("idle.upstreams", FEW_UPSTREAMS)
    ) / (MANY_UPSTREAMS - FEW_UPSTREAMS)
    return (increase - per_upstream * FEW_UPSTREAMS) * polls_per_s(s) / MOST_POLLS_PER_S


def polls_per_s(s: SiteSize) -> float:
    return min(MOST_POLLS_PER_S, s.workers / s.scope_domains / USAGE_POLL_INTERVAL_S)


def idle_cpu(r: Reader, s: SiteSize) -> float:
    """Processor time of control work at a host that is no scheduler.

    From real processes up to the largest number of hosts measured with them; growth beyond that
    from the simulation.
    """
    real = min(s.hosts, r.highest("hosts.cpu"))
    increase = r.at("spread.quiet.cpu", s.hosts) - r.at("spread.quiet.cpu", real)
    return r.at("hosts.cpu", real) + increase + list_cpu(r, s) + parse_cpu(r, s)


def scheduler_cpu(r: Reader, s: SiteSize) -> float:
    digests = r.at("spread.scheduler.cpu", s.hosts) - r.at("spread.quiet.cpu", s.hosts)
    part = (s.teams / 68) * (s.scope_domains / 11)
    return idle_cpu(r, s) + poll_cpu(r, s) + digests * part


def parse_cpu(r: Reader, s: SiteSize) -> float:
    return r.at("config.parse", s.upstreams) * changes_per_s(s)


def control_mb(r: Reader, s: SiteSize) -> float:
    """Memory beyond imports: startup, configured upstreams, peers, scheduler tables, records."""
    start = r.at("memory.upstreams", s.upstreams) - r.at("memory.imports")
    peers = r.slope("hosts.memory", s.hosts)
    table = r.slope("table.upstreams", s.upstreams / s.scope_domains) / KIB
    records = r.slope("table.records_dense", record_count(s)) / KIB
    return start + peers + table + records
