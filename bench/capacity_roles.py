"""What each role holds, sends and uses: formulas over measured figures."""

from __future__ import annotations

from .capacity_sizes import DAY_S, ID_LIFETIME_S, RECORD_S, SiteSize
from .capacity_tables import Reader, Row, job_cost_ms

KIB = 1024
MOST_POLLS_PER_S = 10.0
"""As in ``eelgrassyard.daemon._usage``."""

USAGE_POLL_S = 2.0
WATCH_S = 30.0
WATCHERS = 2
"""Hosts of a failure domain that watch the store."""

DIGEST_INTERVAL_S = 5.0
DIGEST_RECEIVERS = 2
DIGEST_ENTRIES = 256
"""Learned speeds, as in ``eelgrassyard.policy._scheduler`` and ``_speedindex``."""

BROADCAST_S = 10.0
"""Time between two quota digests that go to all hosts."""


def _owner_ms(r: Reader, s: SiteSize) -> float:
    return job_cost_ms(r, s.tasks_per_job)[0]


def _scheduler_ms_per_s(r: Reader, s: SiteSize) -> float:
    return job_cost_ms(r, s.tasks_per_job)[1] * s.jobs_per_s / s.scope_domains


def _records(s: SiteSize) -> float:
    """Records at a host that schedules a pool and is the witness of its submissions."""
    return s.jobs_per_s * RECORD_S / s.scope_domains


def _changes_per_s(s: SiteSize) -> float:
    return s.changes_per_day / DAY_S


def _watchers(s: SiteSize) -> float:
    return min(s.hosts, WATCHERS * s.domains)


def _watches_per_s(r: Reader, s: SiteSize) -> float:
    per_change = r.at("hosts.change_calls", 8) / WATCHERS
    return _watchers(s) * (1 / WATCH_S + per_change * _changes_per_s(s))


def _spread_bytes(r: Reader, s: SiteSize) -> float:
    """Sent and received, without quotas."""
    document = r.at("config.packed_bytes", s.upstreams) * _changes_per_s(s)
    news = r.at("spread.restart_bytes", s.hosts) * s.restarts_per_day / DAY_S
    return 2 * (r.at("spread.quiet.bytes", s.hosts) + news + document)


def _scheduler_bytes(r: Reader, s: SiteSize) -> float:
    """Sent and received at a host that schedules; quota digests both ways, speeds sent."""
    digest = r.at("digest.quota_bytes", s.teams)
    others = s.scope_domains - 1
    if others:
        quota = digest * (2 * others + s.hosts / BROADCAST_S)
    else:
        quota = digest * (s.domains - 1 + s.hosts / BROADCAST_S)
    entries = min(DIGEST_ENTRIES, s.upstreams / s.scope_domains)
    speeds = r.at("digest.speed_bytes") * entries / DIGEST_ENTRIES
    return _spread_bytes(r, s) + quota + speeds * DIGEST_RECEIVERS / DIGEST_INTERVAL_S


def _list_bytes(r: Reader, s: SiteSize) -> float:
    return r.at("list.bytes", s.upstreams + s.hosts)


def _idle_cpu(r: Reader, s: SiteSize) -> float:
    """Processor time that control takes at a host without work, by hosts and by upstreams."""
    upstreams = r.at("idle.upstreams", s.upstreams) - r.at("idle.upstreams", 0)
    return r.at("hosts.cpu", s.hosts) + upstreams + _parse_cpu(r, s)


def _scheduler_cpu(r: Reader, s: SiteSize) -> float:
    digests = r.at("spread.scheduler.cpu", s.hosts) - r.at("spread.quiet.cpu", s.hosts)
    return _idle_cpu(r, s) + digests * (s.teams / 68) * (s.scope_domains / 11)


def _parse_cpu(r: Reader, s: SiteSize) -> float:
    return r.at("config.parse", s.upstreams) * _changes_per_s(s)


def _control_mb(r: Reader, s: SiteSize) -> float:
    """Memory beyond the imports: start, named upstreams, peers, scheduler table, records."""
    start = r.at("memory.upstreams", s.upstreams) - r.at("memory.imports")
    peers = r.slope("hosts.memory", s.hosts)
    table = r.slope("table.upstreams", s.upstreams / s.scope_domains) / KIB
    records = r.slope("table.records_dense", _records(s)) / KIB
    return start + peers + table + records


CALLERS = (
    Row(
        what="submissions in progress",
        unit="a host",
        formula=lambda r, s: s.running / s.tasks_per_job / s.hosts,
    ),
    Row(
        what="memory of tasks in progress",
        unit="MB a host",
        formula=lambda r, s: r.slope("kept.running", s.running / s.hosts) / KIB,
    ),
    Row(
        what="memory of waiting tasks, a second's worth",
        unit="MB a host",
        formula=lambda r, s: r.slope("table.waiting_jobs", s.starts_per_s / s.hosts / 20) / KIB,
    ),
    Row(
        what="answers kept until their ids expire, in tasks",
        unit="a host",
        formula=lambda r, s: s.starts_per_s * ID_LIFETIME_S / s.hosts,
    ),
    Row(
        what="memory of kept answers",
        unit="MB a host",
        formula=lambda r, s: (
            r.slope("kept.tasks", s.starts_per_s * ID_LIFETIME_S / s.hosts) / KIB
        ),
    ),
    Row(
        what="calls received (ids by the thousand, one PUT a submission)",
        unit="a second and host",
        formula=lambda r, s: s.jobs_per_s / s.hosts * 1.001,
    ),
    Row(
        what="processor time of the owner",
        unit="ms a submission",
        formula=_owner_ms,
    ),
    Row(
        what="processor time of the owner",
        unit="ms/s and host",
        formula=lambda r, s: _owner_ms(r, s) * s.jobs_per_s / s.hosts,
    ),
)

UPSTREAMS = (
    Row(
        what="open connections to upstreams",
        unit="a host",
        formula=lambda r, s: s.running / s.hosts,
    ),
    Row(
        what="tasks in progress and so connections in use",
        unit="an upstream",
        formula=lambda r, s: s.running / s.upstreams,
    ),
    Row(
        what="starts sent", unit="a second and host", formula=lambda r, s: s.starts_per_s / s.hosts
    ),
    Row(
        what="processor time of the owner, callers and upstreams",
        unit="ms a task",
        formula=lambda r, s: _owner_ms(r, s) / s.tasks_per_job,
    ),
    Row(
        what="usage polls of a scheduler",
        unit="a second",
        formula=lambda r, s: min(MOST_POLLS_PER_S, s.workers / s.scope_domains / USAGE_POLL_S),
    ),
    Row(
        what="time between two usage reports of a worker",
        unit="s",
        formula=lambda r, s: max(USAGE_POLL_S, s.workers / s.scope_domains / MOST_POLLS_PER_S),
    ),
)

PEERS = (
    Row(what="connections, both directions", unit="a host", formula=lambda r, s: 2 * (s.hosts - 1)),
    Row(
        what="memory of member table and connections",
        unit="MB",
        formula=lambda r, s: r.slope("hosts.memory", s.hosts),
    ),
    Row(
        what="member table alone",
        unit="KiB",
        formula=lambda r, s: r.slope("table.members", s.hosts),
    ),
    Row(
        what="control sent and received, host that schedules nothing",
        unit="B/s",
        formula=_spread_bytes,
    ),
    Row(
        what="control sent and received, host that schedules a pool",
        unit="B/s",
        formula=_scheduler_bytes,
    ),
    Row(
        what="upstreams of one scheduler",
        unit="count",
        formula=lambda r, s: s.upstreams / s.scope_domains,
    ),
    Row(
        what="memory of a scheduler's tables",
        unit="MB",
        formula=lambda r, s: r.slope("table.upstreams", s.upstreams / s.scope_domains) / KIB,
    ),
    Row(
        what="records at a witness that schedules the pool",
        unit="count",
        formula=lambda r, s: _records(s),
    ),
    Row(
        what="memory of these records",
        unit="MB",
        formula=lambda r, s: r.slope("table.records_dense", _records(s)) / KIB,
    ),
    Row(
        what="bytes of ask, grant and release",
        unit="B a task",
        formula=lambda r, s: r.at("codec.bytes", s.tasks_per_job) / s.tasks_per_job,
    ),
    Row(
        what="processor time of scheduler and witness",
        unit="ms/s and scheduler",
        formula=_scheduler_ms_per_s,
    ),
    Row(
        what="time until a death is known, no loss",
        unit="s",
        formula=lambda r, s: r.at("spread.death", s.hosts),
    ),
)

WATCHER = (
    Row(
        what="document, plain",
        unit="KB",
        formula=lambda r, s: r.at("config.plain_bytes", s.upstreams) / 1e3,
    ),
    Row(
        what="document, as stored",
        unit="KB",
        formula=lambda r, s: r.at("config.packed_bytes", s.upstreams) / 1e3,
    ),
    Row(
        what="document received and passed on once",
        unit="B/s and host",
        formula=lambda r, s: 2 * r.at("config.packed_bytes", s.upstreams) * _changes_per_s(s),
    ),
    Row(
        what="pause of the loop to read a change",
        unit="ms",
        formula=lambda r, s: r.at("config.parse", s.upstreams),
    ),
    Row(what="processor time to read changes", unit="ms/s and host", formula=_parse_cpu),
    Row(
        what="time until a change is known everywhere",
        unit="s",
        formula=lambda r, s: r.at("spread.revision", s.hosts),
    ),
    Row(what="hosts that watch the store", unit="count", formula=lambda r, s: _watchers(s)),
)

TOOL = (
    Row(
        what="read the questionnaire",
        unit="ms",
        formula=lambda r, s: r.at("config.questionnaire", s.upstreams),
    ),
    Row(
        what="generate the configuration",
        unit="ms",
        formula=lambda r, s: r.at("config.generate", s.upstreams),
    ),
    Row(what="calls to the store", unit="an apply", formula=lambda r, s: 2),
    Row(what="calls to hosts until in force", unit="an apply", formula=lambda r, s: s.hosts),
    Row(
        what="tool's processor time",
        unit="cores, all changes of a day",
        formula=lambda r, s: (
            r.at("config.questionnaire", s.upstreams) + r.at("config.generate", s.upstreams)
        )
        * _changes_per_s(s)
        / 1e3,
    ),
)

PLATFORM = (
    Row(what="store: reads and watches", unit="a second", formula=_watches_per_s),
    Row(what="store: writes", unit="a second", formula=lambda r, s: _changes_per_s(s)),
    Row(
        what="store: watches after all hosts start together",
        unit="calls",
        formula=lambda r, s: r.slope("hosts.start_calls", s.hosts),
    ),
    Row(what="store: value", unit="KB", formula=WATCHER[1].formula),
    Row(what="host list: answer", unit="KB", formula=lambda r, s: _list_bytes(r, s) / 1e3),
    Row(what="host list: polls of all hosts", unit="a second", formula=lambda r, s: s.hosts),
    Row(
        what="host list: received",
        unit="B/s and host",
        formula=_list_bytes,
    ),
    Row(
        what="host list and usage polls: processor time",
        unit="ms/s and host",
        formula=lambda r, s: r.at("idle.upstreams", s.upstreams) - r.at("idle.upstreams", 0),
    ),
)

BUDGETS = (
    Row(
        what="control, processor time of a host that schedules nothing",
        unit="ms/s",
        formula=_idle_cpu,
        bound=32,
    ),
    Row(
        what="control, processor time of a host that schedules a pool",
        unit="ms/s",
        formula=_scheduler_cpu,
        bound=32,
    ),
    Row(what="control, memory beyond imports", unit="MB", formula=_control_mb, bound=32),
    Row(
        what="control between hosts, host that schedules nothing",
        unit="B/s",
        formula=_spread_bytes,
        bound=5_000,
    ),
    Row(
        what="control between hosts, host that schedules a pool",
        unit="B/s",
        formula=_scheduler_bytes,
        bound=5_000,
    ),
    Row(what="host list received", unit="B/s", formula=_list_bytes, bound=5_000),
    Row(what="store reads and watches", unit="a second", formula=_watches_per_s, bound=2_000),
    Row(
        what="store writes",
        unit="a second",
        formula=lambda r, s: _changes_per_s(s),
        bound=400,
    ),
    Row(
        what="stored document",
        unit="KB",
        formula=WATCHER[1].formula,
        bound=1_000,
    ),
    Row(
        what="change in force everywhere",
        unit="s",
        formula=lambda r, s: r.at("spread.revision", s.hosts),
        bound=19,
    ),
    Row(
        what="decision",
        unit="us a task",
        formula=lambda r, s: r.at("decision.us", s.upstreams / s.scope_domains),
        bound=100,
    ),
    Row(
        what="one scheduler's processor time",
        unit="ms/s",
        formula=_scheduler_ms_per_s,
        bound=1_000,
    ),
    Row(
        what="connections between hosts, accepted",
        unit="count",
        formula=lambda r, s: s.hosts - 1,
        bound=256,
    ),
)
