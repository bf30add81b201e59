"""One pool that this host schedules: queue of asks, grants, upstreams."""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict
from dataclasses import dataclass

from ._actions import Action, Count, Send, StateChanged
from ._classes import WAIT
from ._fairqueue import FairQueue, FlowKey, QueuedAsk
from ._grants import Grant, GrantTable
from ._messages import (
    HeldPlace,
    Placement,
    Release,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRefusal,
    StartResult,
    TaskSize,
)
from ._outcomes import Reason
from ._parked import ParkedTask, ParkedTasks
from ._placement import WorkerPlacement
from ._pools import PoolScope
from ._quotas import Quotas
from ._system import ConfigView, MembershipView, WitnessView
from ._upstreams import UpstreamTable

MAINTAIN_INTERVAL_S = 0.1
"""Interval of the checks for stalls, probes, deadlines and lost owners."""

REBUILD_GRACE_S = 0.1
"""A new scheduler grants nothing for this long, unless every host has reported its places before,
so it does not grant places that are in use. Reports arrive one network delay after the change."""

MOVED_GRACE_S = 2.0
"""Queued asks are dropped this long after another host became the scheduler; the owners have sent
them there by then."""

SETTLE_S = 2.0
"""Grants older than this that are missing from an owner's full report are taken back."""

GRANT_MARGIN_S = 5.0
"""A grant without a release is taken back after twice the longest run time plus this."""

PARKED_TRIES = 4
"""Parked tasks looked at when a slot becomes free; all of them are looked at by the timer."""

SEEN_ASKS = 20_000
"""Submissions whose newest attempt is remembered, to tell duplicates from repeats."""

RETRY_NO_UPSTREAM_S = 2.0


@dataclass(slots=True, kw_only=True)
class PoolContext:
    """What the pools of a scheduler share."""

    config: ConfigView
    membership: MembershipView
    quotas: Quotas
    witness: WitnessView
    host: str
    numbers: itertools.count[int]


class Pool:
    """Queue, grants and upstreams of one pool.

    :param name: name of the pool; ``scope`` is what it says.
    """

    def __init__(self, *, name: str, scope: PoolScope, context: PoolContext) -> None:
        self.name = name
        self.scope = scope
        self.table = UpstreamTable()
        self.placement = None if scope.service else WorkerPlacement()
        self.grants = GrantTable()
        self.queue = FairQueue(config=context.config)
        self.parked = ParkedTasks()
        self._context = context
        self._new_asks: list[tuple[str, int, SlotAsk]] = []
        self._seen: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._outgoing: dict[tuple[str, str, int], list[Placement]] = {}
        self._reported: set[str] = set()
        self._ready_at = math.inf
        self._maintain_at = -math.inf
        self._quota_at = math.inf
        self._dirty = False
        self._mine = False
        self._lost_at = math.inf
        self.has_news = False

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
        self.queue.withdraw(owner, submission_id)
        self.parked.withdraw(owner, submission_id)
        self._remember(owner, submission_id, 0)

    def take_release(self, now: float, owner: str, release: Release) -> None:
        """Take a place back and learn from how the start went."""
        grant = self.grants.by_number.get(release.grant)
        if grant is not None and grant.owner != owner:
            return
        self.grants.remove(release.grant)
        if grant is None:
            if release.leaving:
                self.table.note_leaving(now, release.upstream)
            return
        self.table.note_result(now, grant, release)
        self.has_news = True
        self._give_room_back(grant)
        ran = release.result not in (StartResult.UNUSED, StartResult.NOT_STARTED)
        actual_s = release.run_s if ran else 0.0
        self.queue.correct_cost((grant.caller, grant.kind), grant.expected_s, actual_s)
        self._dirty = True

    def take_held(self, now: float, owner: str, incarnation: int, held: SlotHeld) -> None:
        """Adopt the places that an owner holds, and take back the ones it no longer has."""
        numbers = set()
        for place in held.places:
            numbers.add(place.grant)
            known = place.grant in self.grants.by_number
            if not known and not self.grants.was_released(place.grant):
                self._adopt(now, owner, incarnation, place)
        for grant in self.grants.of_owner(owner):
            if grant.number not in numbers and now - grant.granted_at > SETTLE_S:
                self._take_back(grant)
        self._reported.add(owner)
        self._dirty = True

    def _adopt(self, now: float, owner: str, incarnation: int, place: HeldPlace) -> None:
        upstream = self.table.by_name.get(place.upstream)
        if upstream is None:
            return
        expected_s = self.table.expected_s(upstream, place.kind)
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
            expires_at=now + self._lifetime_s(place.kind, expected_s),
        )
        self.grants.add(grant)
        self.table.acquire(now, grant)
        if self.placement is not None:
            self.placement.hold(place.upstream, place.kind, place.size)

    # End of a tick

    def advance(self, now: float, out: list[Action]) -> None:
        """Queue the new asks, grant what can be granted, run timers."""
        if self._new_asks:
            self._open(now)
            for owner, incarnation, ask in self._new_asks:
                self._queue_ask(now, owner, incarnation, ask, out)
            self._new_asks.clear()
            self._dirty = True
        if now >= self._maintain_at and self.is_busy:
            self._maintain(now, out)
        if now >= self._quota_at:
            self._quota_at = math.inf
            self._dirty = True
        if self._dirty and self._is_ready(now):
            self._dirty = False
            self._dispatch(now)
        if self._outgoing:
            self._send_grants(now, out)
        if self.table.changes:
            self._report_changes(out)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        if not self.is_busy:
            return math.inf
        wake = min(max(self._maintain_at, now), self._quota_at)
        if self._dirty:
            wake = min(wake, max(self._ready_at, now))
        return wake

    @property
    def is_busy(self) -> bool:
        """Whether there are asks or grants."""
        return bool(self.grants) or bool(self.parked) or len(self.queue) > 0

    def _open(self, now: float) -> None:
        if self._ready_at == math.inf:
            others = len(self._context.membership.alive_hosts(self.scope.failure_domain)) > 1
            self._ready_at = now + REBUILD_GRACE_S if others else now
            self._mine = True

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
        seen = self._seen.get((owner, ask.submission_id), -1)
        if ask.attempt <= seen:
            return
        self._remember(owner, ask.submission_id, ask.attempt)
        if ask.attempt > 0:
            self.queue.withdraw(owner, ask.submission_id)
            self.parked.withdraw(owner, ask.submission_id)
        tasks = [size for size in ask.tasks if not self._repeat_grant(owner, ask, size)]
        if not tasks:
            return
        entry = QueuedAsk(
            owner=owner,
            ask=ask,
            asked_at=now,
            deadline_at=now + ask.deadline_s,
        )
        entry.remaining.extend(tasks)
        self._context.quotas.note_demand(now, ask.team, len(tasks))
        refusal = self._refusal(now, entry)
        if refusal is not None:
            self._refuse(now, entry, refusal, out)

    def _repeat_grant(self, owner: str, ask: SlotAsk, size: TaskSize) -> bool:
        """Send the grant of a task again if the first one may have been lost."""
        grant = self.grants.of_task((owner, ask.submission_id, size.index))
        if grant is None:
            return False
        if grant.upstream in ask.avoid:
            self._take_back(grant)
            return False
        grant.attempt = ask.attempt
        self._announce(grant)
        return True

    def _refusal(self, now: float, entry: QueuedAsk) -> tuple[Reason, str, float | None] | None:
        ask = entry.ask
        if ask.deadline_s <= 0.0:
            return Reason.DEADLINE, "the deadline has passed", None
        if not self.table.has_prospect:
            return Reason.NO_UPSTREAM, "no upstream is in use", RETRY_NO_UPSTREAM_S
        if self.placement is not None:
            why = self.placement.never_fits(ask.kind, list(entry.remaining), gang=ask.gang)
            if why is not None:
                return Reason.IMPOSSIBLE, why, None
        refused = self.queue.add(now, entry)
        if refused is not None:
            return refused.reason, refused.message, refused.retry_after_s
        return None

    def _refuse(
        self,
        now: float,
        entry: QueuedAsk,
        refusal: tuple[Reason, str, float | None],
        out: list[Action],
    ) -> None:
        reason, message, retry_after_s = refusal
        out.append(
            Send(
                to=entry.owner,
                message=SlotRefusal(
                    submission_id=entry.ask.submission_id,
                    pool=self.name,
                    attempt=entry.ask.attempt,
                    reason=reason,
                    message=message,
                    retry_after_s=retry_after_s,
                    flow_wait_s=self.queue.expected_wait(now, entry.flow, entry.ask.urgency),
                ),
            )
        )
        out.append(Count(metric=f"scheduler.refused.{reason.value}"))

    def _remember(self, owner: str, submission_id: str, attempt: int) -> None:
        key = (owner, submission_id)
        self._seen[key] = max(attempt, self._seen.get(key, -1))
        self._seen.move_to_end(key)
        if len(self._seen) > SEEN_ASKS:
            self._seen.popitem(last=False)

    # Grants

    def _dispatch(self, now: float) -> None:
        self._try_parked(now, PARKED_TRIES)
        skip: set[FlowKey] = set()
        while True:
            entry = self.queue.select(now, skip=skip)
            if entry is None:
                return
            allowed = self._context.quotas.allowed(now, entry.ask.team, len(entry.remaining))
            if allowed <= 0:
                again = self._context.quotas.next_allowed(now, entry.ask.team)
                self._quota_at = min(self._quota_at, max(again, now + 1e-3))
                skip.add(entry.flow)
            elif self.placement is not None:
                if not self._place_on_worker(now, entry, allowed, self.placement):
                    skip.add(entry.flow)
            elif not self._place_on_runner(now, entry):
                if not entry.ask.avoid:
                    return
                skip.add(entry.flow)

    def _place_on_runner(self, now: float, entry: QueuedAsk) -> bool:
        """Grant or park the next task of an ask; False if no slot is free."""
        ask = entry.ask
        name = self._probe_for(now, ask)
        probe = name is not None
        if name is None:
            name = self.table.choose(ask.kind, self.parked.ahead_of(ask.urgency), ask.avoid)
        if name is None:
            return False
        if name == WAIT:
            cost_s = self.table.work.work(ask.kind)
            size = self.queue.take(now, entry, 1, cost_s)[0]
            self.parked.add(ParkedTask(entry=entry, size=size, cost_s=cost_s))
        else:
            expected_s = self.table.expected_s(self.table.by_name[name], ask.kind)
            size = self.queue.take(now, entry, 1, expected_s)[0]
            self._grant(now, entry, size, name, expected_s, probe=probe)
        self._context.quotas.charge(now, ask.team, 1)
        return True

    def _try_parked(self, now: float, tries: int) -> None:
        if not self.parked:
            return
        for ahead, task in enumerate(list(itertools.islice(self.parked, tries))):
            ask = task.entry.ask
            name = self.table.choose(ask.kind, ahead, ask.avoid)
            if name is None:
                return
            if name != WAIT:
                self.parked.remove(task)
                expected_s = self.table.expected_s(self.table.by_name[name], ask.kind)
                self.queue.correct_cost(task.entry.flow, task.cost_s, expected_s)
                self._grant(now, task.entry, task.size, name, expected_s)

    def _place_on_worker(
        self, now: float, entry: QueuedAsk, allowed: int, placement: WorkerPlacement
    ) -> bool:
        """Grant as many tasks of an ask as fit, or all of a gang; False if none fits."""
        ask = entry.ask
        count = len(entry.remaining)
        if ask.gang and allowed < count:
            return False
        count = count if ask.gang else min(count, allowed)
        probe = self._probe_for(now, ask) if not ask.gang else None
        usable = self.table.usable_names if probe is None else {probe}
        count = count if probe is None else 1
        while count > 0:
            sizes = list(itertools.islice(entry.remaining, count))
            workers = placement.place(
                ask.kind, sizes, usable=usable, avoid=ask.avoid, spread_racks=ask.spread_racks
            )
            if workers is not None:
                self._grant_workers(now, entry, workers, probe=probe is not None)
                return True
            if ask.gang:
                return False
            count //= 2
        return False

    def _grant_workers(
        self, now: float, entry: QueuedAsk, workers: list[str], *, probe: bool
    ) -> None:
        expected = [
            self.table.expected_s(self.table.by_name[name], entry.ask.kind) for name in workers
        ]
        sizes = self.queue.take(now, entry, len(workers), sum(expected) / len(expected))
        for name, size, expected_s in zip(workers, sizes, expected, strict=True):
            self._grant(now, entry, size, name, expected_s, probe=probe)
        self._context.quotas.charge(now, entry.ask.team, len(workers))

    def _probe_for(self, now: float, ask: SlotAsk) -> str | None:
        if not self.table.probes_due:
            return None
        return self.table.take_probe(ask.avoid, idempotent=ask.idempotent, now=now)

    def _grant(
        self,
        now: float,
        entry: QueuedAsk,
        size: TaskSize,
        upstream: str,
        expected_s: float,
        *,
        probe: bool = False,
    ) -> None:
        ask = entry.ask
        grant = Grant(
            number=next(self._context.numbers),
            owner=entry.owner,
            incarnation=self._context.membership.incarnation_of(entry.owner) or 0,
            submission_id=ask.submission_id,
            caller=ask.caller,
            kind=ask.kind,
            size=size,
            upstream=upstream,
            granted_at=now,
            expected_s=expected_s,
            expires_at=now + self._lifetime_s(ask.kind, expected_s),
            attempt=ask.attempt,
            urgency=ask.urgency,
            probe=probe,
        )
        self.grants.add(grant)
        self.table.acquire(now, grant)
        self._announce(grant)

    def _announce(self, grant: Grant) -> None:
        placement = Placement(
            grant=grant.number,
            index=grant.size.index,
            upstream=grant.upstream,
            expected_s=grant.expected_s,
        )
        key = (grant.owner, grant.submission_id, grant.attempt)
        self._outgoing.setdefault(key, []).append(placement)

    def _send_grants(self, now: float, out: list[Action]) -> None:
        for (owner, submission_id, attempt), placements in self._outgoing.items():
            grant = self.grants.by_number[placements[0].grant]
            out.append(
                Send(
                    to=owner,
                    message=SlotGrant(
                        submission_id=submission_id,
                        pool=self.name,
                        attempt=attempt,
                        placements=tuple(placements),
                        recorded=self._context.witness.is_recorded(submission_id),
                        flow_wait_s=self.queue.expected_wait(
                            now, (grant.caller, grant.kind), grant.urgency
                        ),
                    ),
                )
            )
        self._outgoing.clear()

    def _lifetime_s(self, kind: str, expected_s: float) -> float:
        return 2.0 * max(self.table.longest_s(kind), expected_s) + GRANT_MARGIN_S

    def _take_back(self, grant: Grant) -> None:
        self.grants.remove(grant.number)
        self.table.give_back(grant)
        self._give_room_back(grant)
        self._dirty = True

    def _give_room_back(self, grant: Grant) -> None:
        if self.placement is not None:
            self.placement.release(grant.upstream, grant.kind, grant.size)

    # Timers

    def _maintain(self, now: float, out: list[Action]) -> None:
        self._maintain_at = now + MAINTAIN_INTERVAL_S
        self.table.set_cut_off(self._context.membership.cut_off_domains())
        self.table.maintain(now)
        self._expire(now, out)
        self._free_lost_grants(now, out)
        self._follow_scheduler(now)
        if self._is_ready(now):
            self._try_parked(now, len(self.parked))
        self._dirty = len(self.queue) > 0 or bool(self.parked)

    def _expire(self, now: float, out: list[Action]) -> None:
        late = (Reason.DEADLINE, "no slot became free before the deadline", None)
        refused = set()
        for entry in self.queue.expire(now):
            refused.add((entry.owner, entry.ask.submission_id))
            self._refuse(now, entry, late, out)
        for task in self.parked.expire(now):
            key = (task.entry.owner, task.entry.ask.submission_id)
            if key not in refused:
                refused.add(key)
                self._refuse(now, task.entry, late, out)

    def _free_lost_grants(self, now: float, out: list[Action]) -> None:
        membership = self._context.membership
        newest = {owner: membership.incarnation_of(owner) for owner in self.grants.owners()}
        for grant in list(self.grants):
            dead = grant.incarnation and membership.is_dead(grant.owner, grant.incarnation)
            restarted = (newest[grant.owner] or 0) > grant.incarnation > 0
            if dead or restarted:
                grant.expires_at = min(grant.expires_at, self._ends_at(grant))
            if grant.expires_at <= now:
                self._take_back(grant)
                out.append(Count(metric="scheduler.grants_taken_back"))

    def _ends_at(self, grant: Grant) -> float:
        """Time by which a start whose owner died has probably ended at the upstream."""
        current = self._context.config.current
        if self.placement is not None and current is not None:
            return grant.granted_at + current.limits.lease_s
        return grant.granted_at + 2.0 * grant.expected_s

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
        if not mine and now - self._lost_at > MOVED_GRACE_S:
            self.parked.clear()
            self.queue = FairQueue(config=self._context.config)

    def _report_changes(self, out: list[Action]) -> None:
        for change in self.table.changes:
            out.append(StateChanged(step="health", peer=change.upstream, message=change.message))
            out.append(Count(metric=change.metric))
        self.table.changes.clear()

    def dump(self) -> dict[str, object]:
        """The pool as JSON values."""
        return {
            "queued": len(self.queue),
            "parked": len(self.parked),
            "grants": len(self.grants),
            "mine": self._mine,
            "work_s": self.table.work.as_dict(),
            "upstreams": self.table.dump(),
        }
