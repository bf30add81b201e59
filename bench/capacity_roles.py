"""Rows of the capacity tables: resource use of each role, and the budgets that limit it."""

from __future__ import annotations

from .capacity_formulas import (
    KIB,
    MOST_POLLS_PER_S,
    USAGE_POLL_INTERVAL_S,
    changes_per_s,
    control_mb,
    idle_cpu,
    idle_host_bytes,
    list_bytes,
    list_cpu,
    list_received,
    owner_ms,
    parse_cpu,
    poll_cpu,
    polls_per_s,
    record_count,
    record_ratio,
    scheduler_cpu,
    scheduler_host_bytes,
    scheduler_ms_per_s,
    watcher_count,
    watches_per_s,
)
from .capacity_sizes import ID_LIFETIME_S
from .capacity_tables import Row

CALLERS = (
    Row(
        label="submissions in progress",
        unit="a host",
        formula=lambda r, s: s.running / s.tasks_per_job / s.hosts,
    ),
    Row(
        label="memory of tasks in progress",
        unit="MB a host",
        formula=lambda r, s: r.slope("kept.running", s.running / s.hosts) / KIB,
    ),
    Row(
        label="memory of waiting tasks, a second's worth",
        unit="MB a host",
        formula=lambda r, s: r.slope("table.waiting_jobs", s.starts_per_s / s.hosts / 20) / KIB,
    ),
    Row(
        label="answers kept until their ids expire, in tasks",
        unit="a host",
        formula=lambda r, s: s.starts_per_s * ID_LIFETIME_S / s.hosts,
    ),
    Row(
        label="memory of kept answers",
        unit="MB a host",
        formula=lambda r, s: (
            r.slope("kept.tasks", s.starts_per_s * ID_LIFETIME_S / s.hosts) / KIB
        ),
    ),
    Row(
        label="calls received (ids by the thousand, one PUT a submission)",
        unit="a second and host",
        formula=lambda r, s: s.jobs_per_s / s.hosts * 1.001,
    ),
    Row(
        label="processor time of the owner",
        unit="ms a submission",
        formula=owner_ms,
    ),
    Row(
        label="processor time of the owner",
        unit="ms/s and host",
        formula=lambda r, s: owner_ms(r, s) * s.jobs_per_s / s.hosts,
    ),
)

UPSTREAMS = (
    Row(
        label="open connections to upstreams",
        unit="a host",
        formula=lambda r, s: s.running / s.hosts,
    ),
    Row(
        label="tasks in progress and so connections in use",
        unit="an upstream",
        formula=lambda r, s: s.running / s.upstreams,
    ),
    Row(
        label="starts sent", unit="a second and host", formula=lambda r, s: s.starts_per_s / s.hosts
    ),
    Row(
        label="processor time of the owner, callers and upstreams",
        unit="ms a task",
        formula=lambda r, s: owner_ms(r, s) / s.tasks_per_job,
    ),
    Row(
        label="usage polls of a scheduler",
        unit="a second",
        formula=lambda r, s: polls_per_s(s),
    ),
    Row(
        label="time between two usage reports of a worker",
        unit="s",
        formula=lambda r, s: max(
            USAGE_POLL_INTERVAL_S, s.workers / s.scope_domains / MOST_POLLS_PER_S
        ),
    ),
)

PEERS = (
    Row(
        label="connections, both directions", unit="a host", formula=lambda r, s: 2 * (s.hosts - 1)
    ),
    Row(
        label="memory of member table and connections",
        unit="MB",
        formula=lambda r, s: r.slope("hosts.memory", s.hosts),
    ),
    Row(
        label="member table alone",
        unit="KiB",
        formula=lambda r, s: r.slope("table.members", s.hosts),
    ),
    Row(
        label="control sent and received, host that schedules nothing",
        unit="B/s",
        formula=idle_host_bytes,
    ),
    Row(
        label="control sent and received, host that schedules a pool",
        unit="B/s",
        formula=scheduler_host_bytes,
    ),
    Row(
        label="upstreams of one scheduler",
        unit="count",
        formula=lambda r, s: s.upstreams / s.scope_domains,
    ),
    Row(
        label="memory of a scheduler's tables",
        unit="MB",
        formula=lambda r, s: r.slope("table.upstreams", s.upstreams / s.scope_domains) / KIB,
    ),
    Row(
        label="records at a witness that schedules the pool",
        unit="count",
        formula=lambda r, s: record_count(s),
    ),
    Row(
        label="memory of these records",
        unit="MB",
        formula=lambda r, s: r.slope("table.records_dense", record_count(s)) / KIB,
    ),
    Row(
        label="bytes of ask, grant and release",
        unit="B a task",
        formula=lambda r, s: r.at("codec.bytes", s.tasks_per_job) / s.tasks_per_job,
    ),
    Row(
        label="processor time of scheduler and witness",
        unit="ms/s and scheduler",
        formula=scheduler_ms_per_s,
    ),
    Row(
        label="time until a death is known, no loss",
        unit="s",
        formula=lambda r, s: r.at("spread.death", s.hosts),
    ),
)

WATCHER = (
    Row(
        label="document, plain",
        unit="KB",
        formula=lambda r, s: r.at("config.plain_bytes", s.upstreams) / 1e3,
    ),
    Row(
        label="document, as stored",
        unit="KB",
        formula=lambda r, s: r.at("config.packed_bytes", s.upstreams) / 1e3,
    ),
    Row(
        label="document received and passed on once",
        unit="B/s and host",
        formula=lambda r, s: 2 * r.at("config.peer_bytes", s.upstreams) * changes_per_s(s),
    ),
    Row(
        label="pause of the loop to read a change",
        unit="ms",
        formula=lambda r, s: r.at("config.parse", s.upstreams),
    ),
    Row(label="processor time to read changes", unit="ms/s and host", formula=parse_cpu),
    Row(
        label="time until a change is known everywhere",
        unit="s",
        formula=lambda r, s: r.at("spread.revision", s.hosts),
    ),
    Row(label="hosts that watch the store", unit="count", formula=lambda r, s: watcher_count(s)),
)

TOOL = (
    Row(
        label="read the questionnaire",
        unit="ms",
        formula=lambda r, s: r.at("config.questionnaire", s.upstreams),
    ),
    Row(
        label="generate the configuration",
        unit="ms",
        formula=lambda r, s: r.at("config.generate", s.upstreams),
    ),
    Row(label="calls to the store", unit="an apply", formula=lambda r, s: 2),
    Row(label="calls to hosts until in force", unit="an apply", formula=lambda r, s: s.hosts),
    Row(
        label="tool's processor time",
        unit="cores, all changes of a day",
        formula=lambda r, s: (
            r.at("config.questionnaire", s.upstreams) + r.at("config.generate", s.upstreams)
        )
        * changes_per_s(s)
        / 1e3,
    ),
)

PLATFORM = (
    Row(label="store: reads and watches", unit="a second", formula=watches_per_s),
    Row(label="store: writes", unit="a second", formula=lambda r, s: changes_per_s(s)),
    Row(
        label="store: watches after all hosts start together",
        unit="calls",
        formula=lambda r, s: r.slope("hosts.start_calls", s.hosts),
    ),
    Row(label="store: value", unit="KB", formula=WATCHER[1].formula),
    Row(label="host list: answer", unit="KB", formula=lambda r, s: list_bytes(r, s) / 1e3),
    Row(label="host list: polls of all hosts", unit="a second", formula=lambda r, s: s.hosts),
    Row(
        label="host list: received",
        unit="B/s and host",
        formula=list_received,
    ),
    Row(
        label="host list: processor time",
        unit="ms/s and host",
        formula=list_cpu,
    ),
    Row(
        label="usage polls: processor time",
        unit="ms/s and scheduler of workers",
        formula=poll_cpu,
    ),
)

BUDGETS = (
    Row(
        label="control, processor time of a host that schedules nothing",
        unit="ms/s",
        formula=idle_cpu,
        bound=32,
    ),
    Row(
        label="control, processor time of a host that schedules a pool",
        unit="ms/s",
        formula=scheduler_cpu,
        bound=32,
    ),
    Row(label="control, memory beyond imports", unit="MB", formula=control_mb, bound=32),
    Row(
        label="control between hosts, host that schedules nothing",
        unit="B/s",
        formula=idle_host_bytes,
        bound=5_000,
    ),
    Row(
        label="control between hosts, host that schedules a pool",
        unit="B/s",
        formula=scheduler_host_bytes,
        bound=5_000,
    ),
    Row(label="host list received", unit="B/s", formula=list_received, bound=5_000),
    Row(label="store reads and watches", unit="a second", formula=watches_per_s, bound=2_000),
    Row(
        label="store writes",
        unit="a second",
        formula=lambda r, s: changes_per_s(s),
        bound=400,
    ),
    Row(
        label="stored document",
        unit="KB",
        formula=WATCHER[1].formula,
        bound=1_000,
    ),
    Row(
        label="change in force everywhere",
        unit="s",
        formula=lambda r, s: r.at("spread.revision", s.hosts),
        bound=19,
    ),
    Row(
        label="decision",
        unit="us a task",
        formula=lambda r, s: r.at("decision.us", s.upstreams / s.scope_domains),
        bound=100,
    ),
    Row(
        label="one scheduler's processor time",
        unit="ms/s",
        formula=scheduler_ms_per_s,
        bound=1_000,
    ),
    Row(
        label="records at the busiest scheduler of those that it may keep as a witness",
        unit="ratio",
        formula=record_ratio,
        bound=1,
    ),
    Row(
        label="connections between hosts, accepted",
        unit="count",
        formula=lambda r, s: s.hosts - 1,
        bound=256,
    ),
)
