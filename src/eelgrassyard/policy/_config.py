"""Data classes of the site configuration that the decision core reads.

The daemon builds them from the validated model in :mod:`eelgrassyard.config`.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


class Urgency(enum.IntEnum):
    """Priority class of a task; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class UpstreamRole(enum.StrEnum):
    """Type of an upstream: a runner serves requests of a service, a guarded worker runs jobs."""

    RUNNER = "runner"
    WORKER = "worker"


class Scope(enum.StrEnum):
    """Part of a site whose pool is scheduled by one host."""

    SITE = "site"
    FAILURE_DOMAIN = "failure_domain"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """An entry host in the configuration or the host list.

    :param port: port that other hosts connect to.
    :param callers_port: port that callers and operators connect to; 0 if unknown.
    :param weight: relative size of the host, 1.0 for the usual one.
    """

    name: str
    address: str
    port: int
    failure_domain: str
    region: str = ""
    weight: float = 1.0
    callers_port: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEntry:
    """An upstream: a runner or a guarded worker.

    :param service: the service of a runner; empty for a worker.
    :param url: base URL, with an IP address as host.
    :param slots: concurrent tasks of a runner; 0 for a worker.
    :param connections: concurrent connections that the upstream accepts.
    :param memory_mb: memory of a worker in MiB.
    """

    name: str
    role: UpstreamRole
    url: str
    failure_domain: str
    rack: str = ""
    service: str = ""
    slots: int = 0
    connections: int = 60
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class KindEntry:
    """A kind of work.

    :param service: the service that runs a request; empty for jobs on guarded workers.
    :param typical_s: declared typical run time in seconds on an average upstream.
    :param longest_s: declared longest run time in seconds.
    :param share: ratio of the pool's capacity that is guaranteed to the kind, 0 to 1.
    :param deadline_s: seconds within which callers need the response.
    """

    name: str
    service: str = ""
    typical_s: float = 0.3
    longest_s: float = 5.0
    idempotent: bool = False
    urgency: Urgency = Urgency.NORMAL
    share: float = 0.1
    deadline_s: float = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerEntry:
    """A caller with its hashed key.

    :param key_hash: hexadecimal salted hash of the key.
    :param weight: weight in the fair sharing among the callers of one kind of work.
    :param kinds: kinds of work that the caller may submit; empty for all.
    """

    name: str
    team: str
    key_salt: str = ""
    key_hash: str = ""
    weight: float = 1.0
    operator: bool = False
    kinds: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamEntry:
    """A team and its quota.

    :param starts_per_s: task starts per second over all hosts; 0 for no quota.
    """

    name: str
    starts_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits, intervals and timeouts that the configuration sets; times in seconds."""

    tasks_per_job: int = 620
    body_bytes: int = 2_000_000
    queued_tasks_per_flow: int = 5_000
    queued_tasks_total: int = 50_000
    witness_records: int = 200_000
    id_lifetime_s: float = 600.0
    lease_s: float = 10.0
    ping_interval_s: float = 0.5
    remote_ping_interval_s: float = 1.0
    suspicion_periods: int = 3
    retry_budget_ratio: float = 0.1
    background_share: float = 0.05
    max_ejected_ratio: float = 0.5
    ask_timeout_s: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SiteConfig:
    """Complete configuration of a site."""

    site: str
    failure_domains: tuple[str, ...]
    scope: Scope = Scope.SITE
    hosts_by_name: Mapping[str, HostEntry] = field(default_factory=dict)
    upstreams_by_name: Mapping[str, UpstreamEntry] = field(default_factory=dict)
    kinds_by_name: Mapping[str, KindEntry] = field(default_factory=dict)
    callers_by_name: Mapping[str, CallerEntry] = field(default_factory=dict)
    teams_by_name: Mapping[str, TeamEntry] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
