"""Names of pools, and what they stand for.

A pool is ``service:<name>`` for the runners of a service or ``workers`` for the guarded workers.
A pool scoped to one failure domain carries ``@<failure domain>`` after that.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._config import Scope, SiteConfig, UpstreamEntry, UpstreamRole

WORKERS = "workers"
SERVICE_PREFIX = "service:"


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolScope:
    """Set of upstreams that a pool name stands for.

    :param service: the service of the runners; empty for guarded workers.
    :param failure_domain: the failure domain that the pool is scoped to, or None for the site.
    """

    service: str
    failure_domain: str | None

    def contains(self, entry: UpstreamEntry) -> bool:
        """Whether an upstream belongs to the pool."""
        if self.failure_domain is not None and entry.failure_domain != self.failure_domain:
            return False
        if not self.service:
            return entry.role is UpstreamRole.WORKER
        return entry.role is UpstreamRole.RUNNER and entry.service == self.service


def pool_name(service: str, failure_domain: str | None = None) -> str:
    """Name of the pool of a service, or of the workers if ``service`` is empty."""
    name = SERVICE_PREFIX + service if service else WORKERS
    return name if failure_domain is None else f"{name}@{failure_domain}"


def pool_for(config: SiteConfig, kind: str, failure_domain: str) -> str:
    """Name of the pool that runs a kind of work for a host in ``failure_domain``.

    :param kind: name of the kind.
    :raises KeyError: if the configuration has no such kind.
    """
    service = config.kinds_by_name[kind].service
    scoped = config.scope is Scope.FAILURE_DOMAIN
    return pool_name(service, failure_domain if scoped else None)


def parse_pool_name(pool: str) -> PoolScope:
    """Parse a pool name.

    The ``failure_domain`` of the result is an argument of ``MembershipView.scheduler_for``.
    """
    name, separator, failure_domain = pool.partition("@")
    return PoolScope(
        service=name.removeprefix(SERVICE_PREFIX) if name != WORKERS else "",
        failure_domain=failure_domain if separator else None,
    )
