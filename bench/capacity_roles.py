"""What each role holds, sends and uses, and the budgets that bound it."""

from __future__ import annotations

from .capacity_formulas import (
    KIB,
    MOST_POLLS_PER_S,
    USAGE_POLL_S,
    changes_per_s,
    control_mb,
    idle_cpu,
    list_bytes,
    list_cpu,
    list_received,
    owner_ms,
    parse_cpu,
    poll_cpu,
    polls_per_s,
    quiet_bytes,
    record_count,
    record_ratio,
    scheduler_bytes,
    scheduler_cpu,
    scheduler_ms_per_s,
    watchers,
    watches_per_s,
)
from .capacity_sizes import ID_LIFETIME_S
from .capacity_tables import Row

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
        formula=owner_ms,
    ),
    Row(
        what="processor time of the owner",
        unit="ms/s and host",
        formula=lambda r, s: owner_ms(r, s) * s.jobs_per_s / s.hosts,
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
        formula=lambda r, s: owner_ms(r, s) / s.tasks_per_job,
    ),
    Row(
        what="usage polls of a scheduler",
        unit="a second",
        formula=lambda r, s: polls_per_s(s),
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
        formula=quiet_bytes,
    ),
    Row(
        what="control sent and received, host that schedules a pool",
        unit="B/s",
        formula=scheduler_bytes,
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
        formula=lambda r, s: record_count(s),
    ),
    Row(
        what="memory of these records",
        unit="MB",
        formula=lambda r, s: r.slope("table.records_dense", record_count(s)) / KIB,
    ),
    Row(
        what="bytes of ask, grant and release",
        unit="B a task",
        formula=lambda r, s: r.at("codec.bytes", s.tasks_per_job) / s.tasks_per_job,
    ),
    Row(
        what="processor time of scheduler and witness",
        unit="ms/s and scheduler",
        formula=scheduler_ms_per_s,
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
        formula=lambda r, s: 2 * r.at("config.peer_bytes", s.upstreams) * changes_per_s(s),
    ),
    Row(
        what="pause of the loop to read a change",
        unit="ms",
        formula=lambda r, s: r.at("config.parse", s.upstreams),
    ),
    Row(what="processor time to read changes", unit="ms/s and host", formula=parse_cpu),
    Row(
        what="time until a change is known everywhere",
        unit="s",
        formula=lambda r, s: r.at("spread.revision", s.hosts),
    ),
    Row(what="hosts that watch the store", unit="count", formula=lambda r, s: watchers(s)),
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
        * changes_per_s(s)
        / 1e3,
    ),
)

PLATFORM = (
    Row(what="store: reads and watches", unit="a second", formula=watches_per_s),
    Row(what="store: writes", unit="a second", formula=lambda r, s: changes_per_s(s)),
    Row(
        what="store: watches after all hosts start together",
        unit="calls",
        formula=lambda r, s: r.slope("hosts.start_calls", s.hosts),
    ),
    Row(what="store: value", unit="KB", formula=WATCHER[1].formula),
    Row(what="host list: answer", unit="KB", formula=lambda r, s: list_bytes(r, s) / 1e3),
    Row(what="host list: polls of all hosts", unit="a second", formula=lambda r, s: s.hosts),
    Row(
        what="host list: received",
        unit="B/s and host",
        formula=list_received,
    ),
    Row(
        what="host list: processor time",
        unit="ms/s and host",
        formula=list_cpu,
    ),
    Row(
        what="usage polls: processor time",
        unit="ms/s and scheduler of workers",
        formula=poll_cpu,
    ),
)

BUDGETS = (
    Row(
        what="control, processor time of a host that schedules nothing",
        unit="ms/s",
        formula=idle_cpu,
        bound=32,
    ),
    Row(
        what="control, processor time of a host that schedules a pool",
        unit="ms/s",
        formula=scheduler_cpu,
        bound=32,
    ),
    Row(what="control, memory beyond imports", unit="MB", formula=control_mb, bound=32),
    Row(
        what="control between hosts, host that schedules nothing",
        unit="B/s",
        formula=quiet_bytes,
        bound=5_000,
    ),
    Row(
        what="control between hosts, host that schedules a pool",
        unit="B/s",
        formula=scheduler_bytes,
        bound=5_000,
    ),
    Row(what="host list received", unit="B/s", formula=list_received, bound=5_000),
    Row(what="store reads and watches", unit="a second", formula=watches_per_s, bound=2_000),
    Row(
        what="store writes",
        unit="a second",
        formula=lambda r, s: changes_per_s(s),
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
        formula=scheduler_ms_per_s,
        bound=1_000,
    ),
    Row(
        what="records at the busiest scheduler of those that it may keep as a witness",
        unit="ratio",
        formula=record_ratio,
        bound=1,
    ),
    Row(
        what="connections between hosts, accepted",
        unit="count",
        formula=lambda r, s: s.hosts - 1,
        bound=256,
    ),
)
