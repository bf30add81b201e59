"""State that a pool scheduler keeps for each upstream, and the rules for its changes."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .._speeds import UpstreamSpeed
from ._config import UpstreamEntry, UpstreamRole
from ._grants import Grant
from ._health import Health, UpstreamState

WORKER_SLOTS_PER_CORE = 4
"""Concurrent starts per core of a healthy worker. The cores and memory that tasks reserve normally
limit a worker before this bound does."""


@dataclass(slots=True, kw_only=True)
class Upstream:
    """State, learned speed and starts in progress of one upstream.

    :param slots: configured limit on concurrent starts.
    :param limit: current limit on concurrent starts; below ``slots`` after failures.
    :param stalled: ejected because its starts did not finish.
    :param cut_off: its failure domain cannot be reached from this host.
    :param listed: the host list has contained it.
    :param listed_leaving: the host list last reported it as leaving or no longer contained it.
    :param removed: no longer configured; it is dropped when its starts have ended.
    :param last_resort: it meets the conditions for ejection, but ``max_ejected_ratio`` is reached;
        it is chosen only after all others.
    :param leaving_since: time of the latest report that it is leaving.
    :param blocked_until: time before which it gets no new work, after a refused start or, for an
        upstream of last resort, after a failed one.
    :param mean_run_s: moving average of the time for which a start occupies a slot.
    :param indexed_as_free: whether the speed index lists it as having a free slot.
    :param probe: number of the grant of the probe in progress.
    :param starts: grants in progress by number, oldest first.
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
    mean_run_s: float = 0.0
    indexed_as_free: bool = False
    probe: int | None = None
    health: Health = field(default_factory=Health)
    speed: UpstreamSpeed = field(default_factory=UpstreamSpeed)
    starts: dict[int, Grant] = field(default_factory=dict)

    @property
    def name(self) -> str:
        return self.entry.name

    @property
    def usable(self) -> bool:
        """Whether it may get work other than probes when a slot is free."""
        return self.state is UpstreamState.LIVE and not self.cut_off

    @property
    def has_free_slot(self) -> bool:
        """Whether it may get work other than probes now."""
        return (
            len(self.starts) < self.limit
            and self.state is UpstreamState.LIVE
            and not self.cut_off
            and self.blocked_until == -math.inf
        )


def slots_of(entry: UpstreamEntry) -> int:
    """Limit on the concurrent starts of an upstream."""
    return entry.slots or max(1, int(entry.cores * WORKER_SLOTS_PER_CORE))


def max_concurrent_tasks(upstreams: Iterable[Upstream]) -> float:
    """Capacity of the usable upstreams in concurrent tasks, at one core per task on a worker."""
    total = 0.0
    for upstream in upstreams:
        if upstream.usable:
            is_worker = upstream.entry.role is UpstreamRole.WORKER
            most = upstream.entry.cores if is_worker else upstream.limit
            total += min(upstream.limit, most)
    return total


@dataclass(frozen=True, slots=True, kw_only=True)
class StateChange:
    """A change of an upstream's state, to be logged and counted.

    :param metric: name of the counter to increment.
    """

    upstream: str
    message: str
    metric: str


def has_recovered(now: float, upstream: Upstream, grant: Grant, was_probe: bool) -> bool:
    """Tell whether a successful start returns an upstream to use.

    A leaving upstream returns if the start was granted after the latest report that it leaves; one
    ejected for a stall returns when any start succeeds; the others need successful probes.
    """
    match upstream.state:
        case UpstreamState.LIVE:
            return False
        case UpstreamState.LEAVING:
            return grant.granted_at > upstream.leaving_since
        case UpstreamState.EJECTED if upstream.stalled and not was_probe:
            return True
        case _:
            return was_probe and upstream.health.record_probe_success(now)


def oldest_starts(upstream: Upstream) -> tuple[Grant | None, Grant | None]:
    """The two oldest starts that are not paused and were granted since the last return to use."""
    since = upstream.health.restored_at
    starts = (
        grant
        for grant in upstream.starts.values()
        if grant.granted_at >= since and grant.paused_at is None
    )
    return next(starts, None), next(starts, None)
