"""Names of pools."""

from __future__ import annotations

from ._config import KindEntry, Scope, SiteConfig

WORKER_POOL = "workers"
"""Name of the pool of guarded workers; runner pools are named by their service."""


def pool_of(kind: KindEntry) -> str:
    """Pool that runs a kind of work."""
    return kind.service or WORKER_POOL


def scope_of(config: SiteConfig, failure_domain: str) -> str | None:
    """Failure domain to which a host's pools are restricted, or None for the whole site."""
    return failure_domain if config.scope is Scope.FAILURE_DOMAIN else None
