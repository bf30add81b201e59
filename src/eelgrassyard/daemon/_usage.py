"""Polls guarded workers for their usage reports."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import anyio

from ..policy import MembershipView, Scope, SiteConfig, UpstreamRole

MAX_POLLS_PER_S = 10.0
"""Limits the CPU time for usage reports at hosts that schedule very many workers."""

WORKERS = "workers"
"""Pool of the workers; a failure domain is appended where each domain has its own pool."""


def workers_to_poll(config: SiteConfig, membership: MembershipView, own_name: str) -> list[str]:
    """Workers whose pool this host schedules; only the scheduler uses their reports."""
    scoped = config.scope is Scope.FAILURE_DOMAIN
    is_scheduled_here_by_domain: dict[str | None, bool] = {}
    names = []
    for entry in config.upstreams_by_name.values():
        if entry.role is not UpstreamRole.WORKER:
            continue
        domain = entry.failure_domain if scoped else None
        if domain not in is_scheduled_here_by_domain:
            pool = WORKERS if domain is None else f"{WORKERS}@{domain}"
            is_scheduled_here_by_domain[domain] = membership.scheduler_for(pool, domain) == own_name
        if is_scheduled_here_by_domain[domain]:
            names.append(entry.name)
    return names


async def poll_usage(
    *,
    workers: Callable[[], list[str]],
    read: Callable[[str], Awaitable[None]],
    interval_s: float,
    rng: random.Random,
) -> None:
    """Poll the workers one after the other, each about once in ``interval_s`` seconds.

    With more than ``MAX_POLLS_PER_S * interval_s`` workers, each is polled less often. Each
    pause varies at random by up to 20 %.

    :param workers: returns the names of the workers to poll.
    :param read: reads the usage report of one worker.
    """
    while True:
        names = workers()
        pause_s = max(interval_s / max(1, len(names)), 1.0 / MAX_POLLS_PER_S)
        if not names:
            await anyio.sleep(interval_s)
        for name in names:
            await read(name)
            await anyio.sleep(pause_s * rng.uniform(0.8, 1.2))
