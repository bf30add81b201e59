"""One upstream as the scheduler of its pool sees it."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .._speeds import UpstreamSpeed
from ._config import UpstreamEntry, UpstreamRole
from ._grants import Grant
from ._health import Health, UpstreamState

WORKER_SLOTS_PER_CORE = 4
"""Starts at once on a healthy worker; cores and memory bound it before this does."""


@dataclass(slots=True, kw_only=True)
class Upstream:
    """State, learned speed and starts of one upstream.

    :param limit: slots in use at most; below ``slots`` after failures.
    :param stalled: it was ejected because its starts did not end.
    :param blocked_until: no new work until then, after a refused start.
    :param held_run_s: average time that a slot is in use.
    :param last_resort: it fails, but the ejection floor keeps it in use.
    :param room: whether the index lists it as having room.
    :param probe: grant of the start that tries it out.
    """

    entry: UpstreamEntry
    slots: int
    limit: int
    state: UpstreamState = UpstreamState.LIVE
    stalled: bool = False
    cut_off: bool = False
    listed: bool = False
    listed_leaving: bool = False
    removed: bool = False
    last_resort: bool = False
    leaving_since: float = -math.inf
    blocked_until: float = -math.inf
    held_run_s: float = 0.0
    room: bool = False
    probe: int | None = None
    health: Health = field(default_factory=Health)
    speed: UpstreamSpeed = field(default_factory=UpstreamSpeed)
    starts: dict[int, Grant] = field(default_factory=dict)

    @property
    def name(self) -> str:
        return self.entry.name

    @property
    def usable(self) -> bool:
        """Whether it may get ordinary work when a slot is free."""
        return self.state is UpstreamState.LIVE and not self.cut_off

    @property
    def has_room(self) -> bool:
        """Whether it may get ordinary work now."""
        return (
            len(self.starts) < self.limit
            and self.state is UpstreamState.LIVE
            and not self.cut_off
            and self.blocked_until == -math.inf
        )


def slots_of(entry: UpstreamEntry) -> int:
    """Most starts at once."""
    return entry.slots or max(1, int(entry.cores * WORKER_SLOTS_PER_CORE))


def tasks_at_once(upstreams: Iterable[Upstream]) -> float:
    """Starts that the upstreams in use run at once, with one core for a task on a worker."""
    total = 0.0
    for upstream in upstreams:
        if upstream.usable:
            is_worker = upstream.entry.role is UpstreamRole.WORKER
            most = upstream.entry.cores if is_worker else upstream.limit
            total += min(upstream.limit, most)
    return total


@dataclass(frozen=True, slots=True, kw_only=True)
class StateChange:
    """A change of an upstream's state, for the log."""

    upstream: str
    message: str
    metric: str


def has_recovered(now: float, upstream: Upstream, grant: Grant, was_probe: bool) -> bool:
    """Tell whether a successful start is reason to use an upstream again."""
    match upstream.state:
        case UpstreamState.LIVE:
            return False
        case UpstreamState.LEAVING:
            return grant.granted_at > upstream.leaving_since
        case UpstreamState.EJECTED if upstream.stalled and not was_probe:
            return True
        case _:
            return was_probe and upstream.health.pass_probe(now)


def oldest_starts(upstream: Upstream) -> tuple[Grant | None, Grant | None]:
    """The two oldest starts, without paused ones and those from before an ejection."""
    since = upstream.health.restored_at
    starts = (
        grant
        for grant in upstream.starts.values()
        if grant.granted_at >= since and grant.paused_at is None
    )
    return next(starts, None), next(starts, None)
