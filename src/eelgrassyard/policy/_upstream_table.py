"""Upstreams of one pool: their health, the starts in progress, and which may get work."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from ._config import KindEntry, UpstreamEntry
from ._events import ListedUpstream
from ._grants import Grant
from ._health import (
    STALL_FACTOR,
    STALL_MIN_S,
    PoolFailureRatio,
    UpstreamState,
    has_stalled,
)
from ._messages import Release, StartResult
from ._speed_index import SpeedIndex
from ._upstream import StateChange, Upstream, has_recovered, oldest_starts, slots_of

LEAVING_RECHECK_S = 60.0
"""Time after which an upstream that reported itself as leaving, but is still listed as live, is
probed with one task. A restart at the same address may never show in the host list."""

LEAVING_LIST_LAG_S = 2.0
"""A host list that changes an upstream from leaving to live within this time is treated as a stale
copy."""

NORMALIZE_INTERVAL_S = 5.0
"""Interval at which learned speeds are normalized and idle upstreams are checked."""

IDLE_PROBE_S = 10.0
"""An upstream idle for this long is probed with one task, because it may have become faster. A slow
upstream is otherwise never chosen while faster ones have free slots."""


class UpstreamTable:
    """Keeps the upstreams of a pool, applies the health checks, and reports state changes.

    :ivar by_name: upstreams by name.
    :ivar speeds: learned speeds, and the upstreams with free slots by speed.
    :ivar changes: state changes not yet reported; the pool empties the list.
    :ivar probes_due: names of the upstreams to be probed, in the order in which they became due.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Upstream] = {}
        self.speeds = SpeedIndex(self.by_name)
        self.changes: list[StateChange] = []
        self.probes_due: dict[str, None] = {}
        self._out_of_use: dict[str, None] = {}
        self._blocked: dict[str, None] = {}
        self._last_resort: dict[str, None] = {}
        self._cut_off: frozenset[str] = frozenset()
        self._max_ejected_ratio = 0.5
        self._failures = PoolFailureRatio()
        self._normalize_at = -math.inf

    # Configuration and host list

    def configure(
        self,
        entries: Iterable[UpstreamEntry],
        kinds: Iterable[KindEntry],
        max_ejected_ratio: float,
    ) -> None:
        """Set the entries, those of the configuration and of the host list together."""
        self._max_ejected_ratio = max_ejected_ratio
        self.speeds.declare(kinds)
        seen = set()
        for entry in entries:
            seen.add(entry.name)
            self._set_entry(entry)
        for name in [name for name in self.by_name if name not in seen]:
            self._remove(self.by_name[name])
        self._enforce_ejection_limit()

    def _set_entry(self, entry: UpstreamEntry) -> None:
        slots = slots_of(entry)
        upstream = self.by_name.get(entry.name)
        if upstream is None:
            upstream = Upstream(entry=entry, slots=slots, limit=slots)
            upstream.speed.prior = self.speeds.prior_of(entry.name)
            upstream.cut_off = entry.failure_domain in self._cut_off
            self.by_name[entry.name] = upstream
        else:
            moved = upstream.entry.url != entry.url
            upstream.entry = entry
            upstream.slots = slots
            if upstream.removed or (moved and not upstream.listed_leaving):
                upstream.removed = False
                self._restore(upstream, -math.inf)
                upstream.speed.reset()
        upstream.limit = min(upstream.health.reduced_slots(slots, self._failures.ratio), slots)
        self.speeds.update(upstream)

    def _remove(self, upstream: Upstream) -> None:
        upstream.removed = True
        upstream.state = UpstreamState.LEAVING
        self._clear_probe_state(upstream)
        self.speeds.update(upstream)
        if not upstream.starts:
            del self.by_name[upstream.name]

    def update_from_host_list(self, now: float, listed: Iterable[ListedUpstream]) -> None:
        """Apply the states in the host list; upstreams not in the table are ignored."""
        names = set()
        for item in listed:
            upstream = self.by_name.get(item.upstream.name)
            if upstream is None:
                continue
            names.add(item.upstream.name)
            upstream.listed = True
            if item.leaving:
                upstream.listed_leaving = True
                self._set_leaving(now, upstream, "marked as leaving in the host list")
            else:
                self._check_listed_live(now, upstream)
        for upstream in self.by_name.values():
            if upstream.listed and upstream.name not in names:
                upstream.listed_leaving = True
                self._set_leaving(now, upstream, "no longer in the host list")

    def _check_listed_live(self, now: float, upstream: Upstream) -> None:
        """Schedule a probe of a leaving upstream once it has been listed as live long enough."""
        turned_live = upstream.listed_leaving
        upstream.listed_leaving = False
        if upstream.state is not UpstreamState.LEAVING or upstream.removed:
            return
        wait_s = LEAVING_LIST_LAG_S if turned_live else LEAVING_RECHECK_S
        if now - upstream.leaving_since >= wait_s:
            self._set_out_of_use(now, upstream, UpstreamState.UNREACHABLE, "listed as live again")
            upstream.health.probe_at = now
        elif turned_live:
            upstream.listed_leaving = True

    def set_cut_off(self, failure_domains: Collection[str]) -> None:
        """Set the failure domains that cannot be reached; their upstreams get no work."""
        domains = frozenset(failure_domains)
        if domains == self._cut_off:
            return
        self._cut_off = domains
        for upstream in self.by_name.values():
            upstream.cut_off = upstream.entry.failure_domain in domains
            self.speeds.update(upstream)

    # Selection

    @property
    def has_candidates(self) -> bool:
        """Whether any upstream may get work, now or after a successful probe."""
        if self.speeds.names_with_free_slot:
            return True
        leaving = UpstreamState.LEAVING
        return any(u.state is not leaving and not u.cut_off for u in self.by_name.values())

    def choose_probe_target(
        self, kind: str, avoid: Collection[str], *, idempotent: bool, now: float
    ) -> str | None:
        """Return an upstream to probe with the next task, or None.

        Idempotent tasks are preferred because they can be retried; once a further probe interval
        has passed, any task is used. An idle upstream that is in use is probed only with a task of
        a short kind.

        :param kind: kind of the task.
        :param avoid: upstreams that the task must not go to.
        """
        for name in self.probes_due:
            health = self.by_name[name].health
            idempotent_only = now < health.probe_at + health.probe_interval_s
            if name in avoid or (idempotent_only and not idempotent):
                continue
            if self._may_probe(self.by_name[name], kind):
                return name
        return None

    def _may_probe(self, upstream: Upstream, kind: str) -> bool:
        if upstream.state is not UpstreamState.LIVE:
            return True
        return upstream.has_free_slot and self.speeds.work.is_short(kind)

    def acquire(self, now: float, grant: Grant) -> None:
        """Occupy a slot with a grant."""
        upstream = self.by_name[grant.upstream]
        if not upstream.starts:
            upstream.health.last_progress_at = max(upstream.health.last_progress_at, now)
        upstream.starts[grant.number] = grant
        if grant.probe:
            upstream.probe = grant.number
            self.probes_due.pop(grant.upstream, None)
        if len(upstream.starts) >= upstream.limit:
            self.speeds.update_free_slot(upstream)

    # Results

    def release_slot(self, grant: Grant) -> None:
        """Free the slot of a grant without recording a result."""
        upstream = self.by_name.get(grant.upstream)
        if upstream is None or upstream.starts.pop(grant.number, None) is None:
            return
        if upstream.probe == grant.number:
            upstream.probe = None
        if upstream.removed and not upstream.starts:
            del self.by_name[grant.upstream]
            return
        self.speeds.update_free_slot(upstream)

    def mark_leaving(self, now: float, name: str) -> None:
        """Take an upstream out of use after a response that reported it as leaving."""
        upstream = self.by_name.get(name)
        if upstream is not None:
            self._set_leaving(now, upstream, "reported itself as leaving")

    def record_result(self, now: float, grant: Grant, release: Release) -> None:
        """Free the slot of a grant and update health and learned speed from its result."""
        upstream = self.by_name.get(grant.upstream)
        if upstream is None:
            return
        was_probe = upstream.probe == grant.number
        self.release_slot(grant)
        if release.leaving:
            self.mark_leaving(now, grant.upstream)
        match release.result:
            case StartResult.OK:
                self._record_success(now, upstream, grant, release, was_probe)
            case StartResult.FAILED | StartResult.LOST:
                self._record_failure(now, upstream, grant, was_probe)
            case StartResult.NOT_STARTED:
                self._record_refusal(now, upstream, grant, was_probe)
            case _:
                pass

    def _record_success(
        self, now: float, upstream: Upstream, grant: Grant, release: Release, was_probe: bool
    ) -> None:
        no_streak = upstream.health.record_success(now, grant.granted_at)
        self.speeds.learn(upstream, grant.kind, release.run_s)
        if no_streak and upstream.limit < upstream.slots:
            upstream.limit = min(upstream.slots, upstream.limit * 2)
            self.speeds.update_free_slot(upstream)
        answered = not release.leaving and not upstream.listed_leaving and not upstream.removed
        if answered and has_recovered(now, upstream, grant, was_probe):
            self._restore(upstream, now)
            self._report(upstream, "back in use", "upstream.restored")
        if upstream.last_resort and not upstream.health.is_failing(self._failures.ratio):
            upstream.last_resort = False
            self._last_resort.pop(upstream.name, None)
        self.speeds.update(upstream, grant.kind)

    def _record_failure(
        self, now: float, upstream: Upstream, grant: Grant, was_probe: bool
    ) -> None:
        health = upstream.health
        health.record_failure(grant.caller, grant.granted_at)
        if upstream.state is not UpstreamState.LIVE:
            if was_probe:
                health.schedule_probe(now, first=False)
            return
        upstream.limit = min(
            upstream.limit, health.reduced_slots(upstream.slots, self._failures.ratio)
        )
        if health.is_failing(self._failures.ratio):
            self._eject(now, upstream, "starts fail")
        if upstream.last_resort:
            self._block(upstream, now + self.speeds.expected_s(upstream, grant.kind))
        self.speeds.update_free_slot(upstream)

    def _record_refusal(
        self, now: float, upstream: Upstream, grant: Grant, was_probe: bool
    ) -> None:
        health = upstream.health
        if upstream.state is not UpstreamState.LIVE:
            if was_probe and upstream.state is not UpstreamState.LEAVING:
                health.schedule_probe(now, first=False)
            return
        if upstream.blocked_until > now:
            return
        health.consecutive_refusals += 1
        if health.refuses_starts:
            self._set_out_of_use(now, upstream, UpstreamState.UNREACHABLE, "refuses every start")
            health.schedule_probe(now, first=True)
            return
        self._block(upstream, now + health.backoff_s())

    def _block(self, upstream: Upstream, until: float) -> None:
        """Give an upstream no new work until a time, so that fast failures attract no work."""
        upstream.blocked_until = until
        self._blocked[upstream.name] = None
        self.speeds.update_free_slot(upstream)

    # State changes

    def _set_leaving(self, now: float, upstream: Upstream, why: str) -> None:
        if upstream.state is UpstreamState.LEAVING:
            upstream.leaving_since = now
            return
        upstream.leaving_since = now
        self._set_out_of_use(now, upstream, UpstreamState.LEAVING, why)
        upstream.health.probe_at = math.inf

    def _set_out_of_use(
        self, now: float, upstream: Upstream, state: UpstreamState, why: str
    ) -> None:
        upstream.state = state
        upstream.last_resort = False
        upstream.blocked_until = -math.inf
        name = upstream.name
        self._blocked.pop(name, None)
        self._last_resort.pop(name, None)
        self.probes_due.pop(name, None)
        self._out_of_use[name] = None
        self.speeds.update(upstream)
        self._report(upstream, why, f"upstream.{state.value}")
        self._enforce_ejection_limit()

    def _enforce_ejection_limit(self) -> None:
        """Return ejected upstreams to use as last resorts while more are ejected than allowed.

        The limit falls when other upstreams leave or become unreachable. The failures stay
        recorded, so that the upstream is ejected again once the limit permits it.
        """
        excess = self.ejected_count() - self.max_ejected()
        if excess <= 0:
            return
        ejected = [u for u in self.by_name.values() if u.state is UpstreamState.EJECTED]
        ejected.sort(key=lambda u: (u.stalled, u.health.relapses, u.name))
        for upstream in ejected[:excess]:
            upstream.state = UpstreamState.LIVE
            upstream.stalled = False
            upstream.health.probe_at = math.inf
            self._clear_probe_state(upstream)
            self._keep_as_last_resort(upstream, "ejected, but too few others are in use")

    def _keep_as_last_resort(self, upstream: Upstream, why: str) -> None:
        upstream.last_resort = True
        self._last_resort[upstream.name] = None
        self._report(upstream, why, "upstream.kept_by_floor")
        self.speeds.update(upstream)

    def _eject(self, now: float, upstream: Upstream, why: str, *, stalled: bool = False) -> None:
        if self.ejected_count() >= self.max_ejected():
            if not upstream.last_resort:
                self._keep_as_last_resort(
                    upstream, why + "; not ejected, max_ejected_ratio is reached"
                )
            return
        upstream.stalled = stalled
        self._set_out_of_use(now, upstream, UpstreamState.EJECTED, why)
        upstream.health.schedule_probe(now, first=True)

    def _restore(self, upstream: Upstream, now: float) -> None:
        if upstream.state is UpstreamState.EJECTED:
            upstream.speed.reset()
            upstream.limit = min(upstream.slots, len(upstream.starts) + 1)
        upstream.state = UpstreamState.LIVE
        upstream.stalled = False
        upstream.health.restore(now)
        upstream.health.last_progress_at = now
        self._clear_probe_state(upstream)
        self.speeds.update(upstream)

    def _clear_probe_state(self, upstream: Upstream) -> None:
        name = upstream.name
        upstream.probe = None
        upstream.blocked_until = -math.inf
        for table in (self.probes_due, self._out_of_use, self._blocked, self._last_resort):
            table.pop(name, None)

    def _report(self, upstream: Upstream, why: str, metric: str) -> None:
        message = f"{upstream.state.value}: {why}"
        self.changes.append(StateChange(upstream=upstream.name, message=message, metric=metric))

    def ejected_count(self) -> int:
        """Number of upstreams in state ejected."""
        states = (self.by_name[name].state for name in self._out_of_use if name in self.by_name)
        return sum(state is UpstreamState.EJECTED for state in states)

    def max_ejected(self) -> int:
        """Number of upstreams that may be ejected at once.

        It is ``max_ejected_ratio`` of the live and ejected ones; leaving and unreachable ones do
        not count.
        """
        counted = sum(
            upstream.state in (UpstreamState.LIVE, UpstreamState.EJECTED)
            for upstream in self.by_name.values()
        )
        return int(counted * self._max_ejected_ratio)

    # Timers

    def maintain(self, now: float) -> None:
        """Check for stalls, due probes and expired backoffs; called several times a second."""
        for name in [n for n in self._blocked if self.by_name[n].blocked_until <= now]:
            del self._blocked[name]
            self.by_name[name].blocked_until = -math.inf
            self.speeds.update_free_slot(self.by_name[name])
        self._failures.update(now, (u.health for u in self.by_name.values()))
        for upstream in [u for u in self.by_name.values() if u.starts]:
            self._check_stall(now, upstream)
        for name in list(self._last_resort):
            if self.by_name[name].health.is_failing(self._failures.ratio):
                self._eject(now, self.by_name[name], "starts fail")
        for name in [n for n in self._out_of_use if n in self.by_name]:
            self._check_probe_due(now, self.by_name[name])
        if now >= self._normalize_at:
            self._normalize_at = now + NORMALIZE_INTERVAL_S
            self.speeds.normalize()
            for upstream in self.by_name.values():
                self._check_idle(now, upstream)

    def _check_stall(self, now: float, upstream: Upstream) -> None:
        first, second = oldest_starts(upstream)
        if upstream.probe is not None and upstream.probe in upstream.starts:
            probe = upstream.starts[upstream.probe]
            if now - probe.granted_at > max(STALL_MIN_S, STALL_FACTOR * probe.expected_s):
                upstream.probe = None
                upstream.health.schedule_probe(now, first=False)
            return
        if upstream.state is not UpstreamState.LIVE or first is None:
            return
        overdue = 1 + (second is not None)
        slowest_s = max(first.expected_s, second.expected_s if second else 0.0)
        if second is None:
            slowest_s = max(slowest_s, self.speeds.longest_s(first.kind))
            overdue = 2
        newest = second or first
        if has_stalled(
            now=now,
            oldest_start=newest.granted_at,
            overdue=overdue,
            last_progress_at=upstream.health.last_progress_at,
            expected_s=slowest_s,
        ):
            self._eject(now, upstream, "starts do not finish", stalled=True)

    def _check_idle(self, now: float, upstream: Upstream) -> None:
        """Schedule a probe of an idle upstream, so that its learned speed stays current."""
        idle_s = now - upstream.health.last_progress_at
        if not upstream.has_free_slot or upstream.starts or idle_s < NORMALIZE_INTERVAL_S:
            return
        upstream.speed.decay()
        if IDLE_PROBE_S <= idle_s < math.inf:
            self.probes_due[upstream.name] = None

    def _check_probe_due(self, now: float, upstream: Upstream) -> None:
        due = (
            upstream.state in (UpstreamState.EJECTED, UpstreamState.UNREACHABLE)
            and upstream.probe is None
            and not upstream.cut_off
            and upstream.health.probe_at <= now
            and len(upstream.starts) < upstream.slots
        )
        if due:
            self.probes_due[upstream.name] = None
        else:
            self.probes_due.pop(upstream.name, None)

    def dump(self) -> dict[str, object]:
        """State of the upstreams as JSON values, for the state dump."""
        return {
            name: {
                "state": upstream.state.value,
                "speed": round(1.0 / upstream.speed.slowness(), 3),
                "in_use": len(upstream.starts),
                "limit": upstream.limit,
                "failure_ratio": round(upstream.health.failure_ratio, 3),
                "cut_off": upstream.cut_off,
                "last_resort": upstream.last_resort,
            }
            for name, upstream in self.by_name.items()
        }
