"""One pool that this host schedules: its messages and timers."""

from __future__ import annotations

import math
from collections import OrderedDict

from ._absentowners import AbsentOwners
from ._actions import Action, Count, Send, StateChanged
from ._config import Limits, Urgency
from ._fairqueue import QueuedRequest
from ._grants import Grant
from ._messages import HeldPlace, Release, SlotAsk, SlotHeld, SlotRefusal
from ._outcomes import Reason
from ._placement import WorkerPlacement
from ._poolnames import PoolScope
from ._slotallocator import LIFETIME_MARGIN_S, PoolContext, SlotAllocator
from ._upstream import max_concurrent_tasks
from ._upstreamtable import UpstreamTable

MAINTAIN_INTERVAL_S = 0.1
"""Interval of the checks for stalls, probes, deadlines and lost owners."""

REBUILD_GRACE_S = 0.1
"""A new scheduler grants nothing for this long, unless every host has reported its places before,
so it does not grant places that are in use."""

HANDOVER_GRACE_S = 2.0
"""Queued asks are dropped this long after another host became the scheduler; the owners have sent
them there by then."""

SETTLE_S = 2.0
"""Grants older than this that are missing from an owner's full report are taken back."""

SEEN_ASKS = 20_000
"""Submissions whose newest attempt is remembered, to tell duplicates from repeats."""

FIRST_ATTEMPT = 1
"""A withdrawal that overtakes its ask stands for this attempt."""

RETRY_NO_UPSTREAM_S = 2.0

_Refusal = tuple[Reason, str, float | None]

_LATE: _Refusal = (Reason.DEADLINE, "no slot became free before the deadline", None)


class PoolScheduler:
    """Queue, grants and upstreams of one pool.

    :param name: name of the pool; ``scope`` is what it says.
    """

    def __init__(self, *, name: str, scope: PoolScope, context: PoolContext) -> None:
        self.name = name
        self.scope = scope
        self.table = UpstreamTable()
        self.placement = None if scope.service else WorkerPlacement()
        self.granting = SlotAllocator(
            pool=name, table=self.table, placement=self.placement, context=context
        )
        self.has_news = False
        self._context = context
        self._absent = AbsentOwners(membership=context.membership)
        self._new_asks: list[tuple[str, int, SlotAsk]] = []
        self._seen: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._reported: set[str] = set()
        self._opened = False
        self._ready_at = math.inf
        self._maintain_at = -math.inf
        self._dirty = False
        self._mine = True
        self._lost_at = math.inf

    def touch(self) -> None:
        """Look for work that can be granted at the end of the tick."""
        self._dirty = True

    # Messages

    def take_ask(self, owner: str, incarnation: int, ask: SlotAsk) -> None:
        """Keep an ask until the end of the tick, when all releases of the tick are known."""
        self._new_asks.append((owner, incarnation, ask))

    def take_withdraw(self, owner: str, submission_id: str) -> None:
        """Forget the queued tasks of a submission."""
        self._new_asks = [
            item
            for item in self._new_asks
            if (item[0], item[2].submission_id) != (owner, submission_id)
        ]
        self.granting.withdraw(owner, submission_id)
        self._remember(owner, submission_id, FIRST_ATTEMPT)

    def take_release(self, now: float, owner: str, release: Release) -> None:
        """Take a place back and learn from how the start went."""
        if self.granting.take_release(now, owner, release):
            self.has_news = True
            self._dirty = True

    def take_held(self, now: float, owner: str, incarnation: int, held: SlotHeld) -> None:
        """Adopt the places that an owner holds, and take back the ones it no longer has."""
        grants = self.granting.grants
        numbers = set()
        for place in held.places:
            numbers.add(place.grant)
            known = place.grant in grants.by_number or grants.was_released(place.grant)
            if not known and place.upstream in self.table.by_name:
                self._adopt(now, owner, incarnation, place)
        for grant in grants.of_owner(owner):
            if grant.number not in numbers and now - grant.granted_at > SETTLE_S:
                self.granting.take_back(grant)
        self._reported.add(owner)
        self._dirty = True

    def _adopt(self, now: float, owner: str, incarnation: int, place: HeldPlace) -> None:
        upstream = self.table.by_name[place.upstream]
        expected_s = self.table.speeds.expected_s(upstream, place.kind)
        lifetime_s = self.granting.lifetime_s(place.kind, expected_s)
        grant = Grant(
            number=place.grant,
            owner=owner,
            incarnation=incarnation,
            submission_id=place.submission_id,
            caller=place.caller,
            kind=place.kind,
            size=place.size,
            upstream=place.upstream,
            granted_at=now - max(0.0, place.running_s),
            expected_s=expected_s,
            expires_at=now + lifetime_s + LIFETIME_MARGIN_S,
            urgency=self._urgency(place.kind),
        )
        self.granting.grants.add(grant)
        self.table.acquire(now, grant)
        if self.granting.rooms is not None:
            self.granting.rooms.adopt(grant)

    def _urgency(self, kind: str) -> Urgency:
        """Urgency of a kind by the configuration; reports of held places do not carry it."""
        current = self._context.config.current
        entry = None if current is None else current.kinds_by_name.get(kind)
        return Urgency.NORMAL if entry is None else entry.urgency

    # End of a tick

    def advance(self, now: float, out: list[Action]) -> None:
        """Queue the new asks, grant what can be granted, run timers."""
        if now >= self._maintain_at and (self._new_asks or self.granting.is_busy):
            self._maintain(now, out)
        if self._new_asks:
            self._open(now)
            for owner, incarnation, ask in self._new_asks:
                self._queue_ask(now, owner, incarnation, ask, out)
            self._new_asks.clear()
            self._dirty = True
        if self.granting.rooms is not None and self.granting.rooms.advance(now):
            self._dirty = True
        if now >= self.granting.quota_at:
            self.granting.quota_at = math.inf
            self._dirty = True
        if self._dirty and self._is_ready(now):
            self._dirty = False
            self.granting.dispatch(now)
        if self.granting.has_news:
            self.granting.send_grants(now, out)
        if self.table.changes:
            self._report_changes(out)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        if not self.granting.is_busy:
            return math.inf
        wake = min(max(self._maintain_at, now), self.granting.quota_at)
        if self.granting.rooms is not None:
            wake = min(wake, self.granting.rooms.next_wake())
        if self._dirty:
            wake = min(wake, max(self._ready_at, now))
        return wake

    def _open(self, now: float) -> None:
        if not self._opened:
            self._opened = True
            self._ready_at = min(self._ready_at, now + REBUILD_GRACE_S)

    def _is_ready(self, now: float) -> bool:
        if now >= self._ready_at:
            return True
        hosts = self._context.membership.alive_hosts(self.scope.failure_domain)
        if all(host in self._reported or host == self._context.host for host in hosts):
            self._ready_at = now
        return now >= self._ready_at

    def _queue_ask(
        self, now: float, owner: str, incarnation: int, ask: SlotAsk, out: list[Action]
    ) -> None:
        seen = self._seen.get((owner, ask.submission_id))
        if seen is not None:
            if ask.attempt <= seen:
                return
            if self.granting.renew(owner, ask):
                self._remember(owner, ask.submission_id, ask.attempt)
                return
            self.granting.withdraw(owner, ask.submission_id)
        self._remember(owner, ask.submission_id, ask.attempt)
        tasks = [size for size in ask.tasks if not self.granting.repeat_grant(owner, ask, size)]
        if not tasks:
            return
        entry = QueuedRequest(owner=owner, ask=ask, asked_at=now, deadline_at=now + ask.deadline_s)
        entry.remaining.extend(tasks)
        if seen is None:
            self._context.quotas.note_demand(now, ask.team, len(tasks))
        may_start = ask.deadline_s > 0.0 and self._is_ready(now)
        if may_start and self.granting.grant_idle(now, entry, incarnation):
            return
        refusal = self._refusal(now, entry)
        if refusal is not None:
            self._refuse(now, entry, refusal, out)
        else:
            self.granting.note_queued(entry, incarnation)

    def _refusal(self, now: float, entry: QueuedRequest) -> _Refusal | None:
        ask = entry.ask
        if ask.deadline_s <= 0.0:
            return Reason.DEADLINE, "the deadline has passed", None
        if not self.table.has_candidates:
            return Reason.NO_UPSTREAM, "no upstream is in use", RETRY_NO_UPSTREAM_S
        if self.placement is not None:
            why = self.placement.infeasible_reason(ask.kind, list(entry.remaining), gang=ask.gang)
            if why is not None:
                return Reason.IMPOSSIBLE, why, None
        refused = self.granting.queue.add(now, entry)
        if refused is not None:
            return refused.reason, refused.message, refused.retry_after_s
        return None

    def _refuse(
        self, now: float, entry: QueuedRequest, refusal: _Refusal, out: list[Action]
    ) -> None:
        reason, message, retry_after_s = refusal
        answer = SlotRefusal(
            submission_id=entry.ask.submission_id,
            pool=self.name,
            attempt=entry.ask.attempt,
            reason=reason,
            message=message,
            retry_after_s=retry_after_s,
            flow_wait_s=self.granting.queue.expected_wait(now, entry.flow, entry.ask.urgency),
        )
        out.append(Send(to=entry.owner, message=answer))
        out.append(Count(metric=f"scheduler.refused.{reason.value}"))

    def _remember(self, owner: str, submission_id: str, attempt: int) -> None:
        key = (owner, submission_id)
        self._seen[key] = max(attempt, self._seen.get(key, -1))
        self._seen.move_to_end(key)
        if len(self._seen) > SEEN_ASKS:
            self._seen.popitem(last=False)

    # Timers

    def _maintain(self, now: float, out: list[Action]) -> None:
        self._maintain_at = now + MAINTAIN_INTERVAL_S
        self.table.set_cut_off(self._context.membership.cut_off_domains())
        self.table.maintain(now)
        self._expire(now, out)
        self._free_lost_grants(now, out)
        self._follow_scheduler(now)
        self.granting.queue.set_capacity(max_concurrent_tasks(self.table.by_name.values()))
        if self._is_ready(now):
            self.granting.try_parked(now, len(self.granting.parked))
        self._dirty = self.granting.has_asks or self.granting.has_paused

    def _expire(self, now: float, out: list[Action]) -> None:
        refused = set()
        late = self.granting.queue.expire(now)
        late.extend(task.entry for task in self.granting.parked.expire(now))
        for entry in late:
            key = (entry.owner, entry.ask.submission_id)
            self.granting.forget(*key)
            if key not in refused:
                refused.add(key)
                self._refuse(now, entry, _LATE, out)

    def _free_lost_grants(self, now: float, out: list[Action]) -> None:
        membership = self._context.membership
        grants = self.granting.grants
        newest = {owner: membership.incarnation_of(owner) for owner in grants.owners()}
        self._absent.refresh(now, {(grant.owner, grant.incarnation) for grant in grants})
        lost = self._absent.longer_than(now, self._lease_s())
        for grant in list(grants):
            restarted = (newest[grant.owner] or 0) > grant.incarnation
            if restarted or membership.is_dead(grant.owner, grant.incarnation):
                grant.expires_at = min(grant.expires_at, self._ends_at(grant))
                grant.paused_at = None
            if (grant.owner, grant.incarnation) in lost:
                # The owner may come back with the start and report it in SlotHeld.
                self.granting.take_back(grant, remember=False)
                out.append(Count(metric="scheduler.grants_taken_back"))
            elif grant.expires_at <= now and grant.paused_at is None:
                self.granting.take_back(grant)
                out.append(Count(metric="scheduler.grants_taken_back"))

    def _ends_at(self, grant: Grant) -> float:
        """Time by which a start whose owner died has probably ended at the upstream."""
        if self.placement is not None:
            return grant.granted_at + self._lease_s()
        return grant.granted_at + 2.0 * grant.expected_s

    def _lease_s(self) -> float:
        """Seconds after which a worker stops the tasks of an owner that no longer renews."""
        current = self._context.config.current
        return (Limits() if current is None else current.limits).lease_s

    def _follow_scheduler(self, now: float) -> None:
        """Drop the queue some time after another host took the pool over."""
        scheduler = self._context.membership.scheduler_for(self.name, self.scope.failure_domain)
        mine = scheduler == self._context.host
        if mine and not self._mine:
            self._reported.clear()
            self._ready_at = now + REBUILD_GRACE_S
        if self._mine and not mine:
            self._lost_at = now
        self._mine = mine
        if not mine and now - self._lost_at > HANDOVER_GRACE_S:
            self.granting.clear_asks()

    def _report_changes(self, out: list[Action]) -> None:
        for change in self.table.changes:
            out.append(StateChanged(step="health", peer=change.upstream, message=change.message))
            out.append(Count(metric=change.metric))
        self.table.changes.clear()

    def dump(self) -> dict[str, object]:
        """The pool as JSON values."""
        page: dict[str, object] = {
            "queued": len(self.granting.queue),
            "queue": self.granting.queue.dump(),
            "parked": len(self.granting.parked),
            "grants": len(self.granting.grants),
            "mine": self._mine,
            "work_s": self.table.speeds.work.as_dict(),
            "upstreams": self.table.dump(),
        }
        if self.placement is not None:
            page["placement"] = self.placement.dump()
        return page
