"""Scheduling of one pool: messages from owners, and timers."""

from __future__ import annotations

import math
from collections import OrderedDict

from ._absent_owners import AbsentOwners
from ._actions import Action, Count, Send, StateChanged
from ._config import Limits, Urgency
from ._fair_queue import QueuedRequest
from ._grants import Grant
from ._messages import HeldPlace, Release, SlotAsk, SlotHeld, SlotRefusal
from ._outcomes import Reason
from ._placement import WorkerPlacement
from ._pool_names import PoolScope
from ._slot_allocator import LIFETIME_MARGIN_S, PoolContext, SlotAllocator
from ._upstream import max_concurrent_tasks
from ._upstream_table import UpstreamTable

MAINTAIN_INTERVAL_S = 0.1
"""Interval between checks for stalls, due probes, passed deadlines and lost owners."""

REBUILD_GRACE_S = 0.1
"""A new scheduler grants nothing for this long after its first request, so that it does not grant
slots that are in use. The period ends early once every alive host has reported the slots it
holds."""

HANDOVER_GRACE_S = 2.0
"""The backlog is dropped this long after another host became the scheduler. By then, the owners
have sent their requests there."""

GRANT_REPORT_LAG_S = 2.0
"""A grant that is missing from its owner's full report is revoked only if it is older than this, as
the report may have been sent before the grant arrived."""

MAX_REMEMBERED_REQUESTS = 20_000
"""Submissions whose latest attempt number is kept, to tell duplicated messages from retries."""

FIRST_ATTEMPT = 1
"""Attempt number recorded for a withdrawal that arrives before the request it refers to."""

RETRY_NO_UPSTREAM_S = 2.0
"""Retry hint while no upstream of the pool can take work."""

_Refusal = tuple[Reason, str, float | None]

_DEADLINE_PASSED: _Refusal = (Reason.DEADLINE, "no slot became free before the deadline", None)


class PoolScheduler:
    """Schedules one pool: takes the messages of owners, runs the timers, answers in each tick.

    :param name: name of the pool.
    :param scope: service and failure domain that the name stands for.
    :ivar placement: free capacity of the workers; None if the pool consists of runners.
    :ivar has_new_speeds: whether there are results since the last speed digest.
    """

    def __init__(self, *, name: str, scope: PoolScope, context: PoolContext) -> None:
        self.name = name
        self.scope = scope
        self.table = UpstreamTable()
        self.placement = None if scope.service else WorkerPlacement()
        self.granting = SlotAllocator(
            pool=name, table=self.table, placement=self.placement, context=context
        )
        self.has_new_speeds = False
        self._context = context
        self._absent = AbsentOwners(membership=context.membership)
        self._new_requests: list[tuple[str, int, SlotAsk]] = []
        self._attempt_by_key: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._reported: set[str] = set()
        self._grace_started = False
        self._ready_at = math.inf
        self._maintain_at = -math.inf
        self._dirty = False
        self._is_scheduler = True
        self._handed_over_at = math.inf

    def mark_dirty(self) -> None:
        """Let the next :meth:`advance` look for queued work to grant."""
        self._dirty = True

    # Messages

    def receive_request(self, owner: str, incarnation: int, request: SlotAsk) -> None:
        """Keep a slot request until :meth:`advance`, when all releases of the tick are known."""
        self._new_requests.append((owner, incarnation, request))

    def receive_withdrawal(self, owner: str, submission_id: str) -> None:
        """Remove the queued tasks of a submission."""
        self._new_requests = [
            item
            for item in self._new_requests
            if (item[0], item[2].submission_id) != (owner, submission_id)
        ]
        self.granting.withdraw(owner, submission_id)
        self._remember(owner, submission_id, FIRST_ATTEMPT)

    def receive_release(self, now: float, owner: str, release: Release) -> None:
        """Free the slot of a grant and record the result of the start."""
        if self.granting.receive_release(now, owner, release):
            self.has_new_speeds = True
            self._dirty = True

    def receive_held(self, now: float, owner: str, incarnation: int, held: SlotHeld) -> None:
        """Adopt the slots that an owner reports, and revoke grants missing from the report."""
        grants = self.granting.grants
        numbers = set()
        for place in held.places:
            numbers.add(place.grant)
            known = place.grant in grants.by_number or grants.was_released(place.grant)
            if not known and place.upstream in self.table.by_name:
                self._adopt(now, owner, incarnation, place)
        for grant in grants.of_owner(owner):
            if grant.number not in numbers and now - grant.granted_at > GRANT_REPORT_LAG_S:
                self.granting.revoke(grant)
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
        if self.granting.worker_allocator is not None:
            self.granting.worker_allocator.adopt(grant)

    def _urgency(self, kind: str) -> Urgency:
        """Configured urgency of a kind, since reports of held slots do not include one."""
        current = self._context.config.current
        entry = None if current is None else current.kinds_by_name.get(kind)
        return Urgency.NORMAL if entry is None else entry.urgency

    # End of a tick

    def advance(self, now: float, out: list[Action]) -> None:
        """Run due timers, queue the new requests and grant what can be granted."""
        if now >= self._maintain_at and (self._new_requests or self.granting.is_busy):
            self._maintain(now, out)
        if self._new_requests:
            self._start_grace(now)
            for owner, incarnation, request in self._new_requests:
                self._queue_request(now, owner, incarnation, request, out)
            self._new_requests.clear()
            self._dirty = True
        if self.granting.worker_allocator is not None and self.granting.worker_allocator.advance(
            now
        ):
            self._dirty = True
        if now >= self.granting.quota_at:
            self.granting.quota_at = math.inf
            self._dirty = True
        if self._dirty and self._is_ready(now):
            self._dirty = False
            self.granting.grant_queued(now)
        if self.granting.has_outgoing:
            self.granting.send_grants(now, out)
        if self.table.changes:
            self._report_changes(out)

    def next_wake(self, now: float) -> float:
        """Earliest time at which :meth:`advance` has work to do."""
        if not self.granting.is_busy:
            return math.inf
        wake = min(max(self._maintain_at, now), self.granting.quota_at)
        if self.granting.worker_allocator is not None:
            wake = min(wake, self.granting.worker_allocator.next_wake())
        if self._dirty:
            wake = min(wake, max(self._ready_at, now))
        return wake

    def _start_grace(self, now: float) -> None:
        if not self._grace_started:
            self._grace_started = True
            self._ready_at = min(self._ready_at, now + REBUILD_GRACE_S)

    def _is_ready(self, now: float) -> bool:
        if now >= self._ready_at:
            return True
        hosts = self._context.membership.alive_hosts(self.scope.failure_domain)
        if all(host in self._reported or host == self._context.host for host in hosts):
            self._ready_at = now
        return now >= self._ready_at

    def _queue_request(
        self, now: float, owner: str, incarnation: int, request: SlotAsk, out: list[Action]
    ) -> None:
        seen = self._attempt_by_key.get((owner, request.submission_id))
        if seen is not None:
            if request.attempt <= seen:
                return
            if self.granting.replace_queued(owner, request):
                self._remember(owner, request.submission_id, request.attempt)
                return
            self.granting.withdraw(owner, request.submission_id)
        self._remember(owner, request.submission_id, request.attempt)
        tasks = [
            size for size in request.tasks if not self.granting.repeat_grant(owner, request, size)
        ]
        if not tasks:
            return
        entry = QueuedRequest(
            owner=owner, request=request, requested_at=now, deadline_at=now + request.deadline_s
        )
        entry.remaining.extend(tasks)
        if seen is None:
            self._context.quotas.record_demand(now, request.team, len(tasks))
        may_start = request.deadline_s > 0.0 and self._is_ready(now)
        if may_start and self.granting.grant_if_idle(now, entry, incarnation):
            return
        refusal = self._refusal(now, entry)
        if refusal is not None:
            self._refuse(now, entry, refusal, out)
        else:
            self.granting.record_queued(entry, incarnation)

    def _refusal(self, now: float, entry: QueuedRequest) -> _Refusal | None:
        request = entry.request
        if request.deadline_s <= 0.0:
            return Reason.DEADLINE, "the deadline has passed", None
        if not self.table.has_candidates:
            return Reason.NO_UPSTREAM, "no upstream of the pool is in use", RETRY_NO_UPSTREAM_S
        if self.placement is not None:
            reason = self.placement.infeasible_reason(
                request.kind, list(entry.remaining), gang=request.gang
            )
            if reason is not None:
                return Reason.IMPOSSIBLE, reason, None
        refused = self.granting.queue.add(now, entry)
        if refused is not None:
            return refused.reason, refused.message, refused.retry_after_s
        return None

    def _refuse(
        self, now: float, entry: QueuedRequest, refusal: _Refusal, out: list[Action]
    ) -> None:
        reason, message, retry_after_s = refusal
        answer = SlotRefusal(
            submission_id=entry.request.submission_id,
            pool=self.name,
            attempt=entry.request.attempt,
            reason=reason,
            message=message,
            retry_after_s=retry_after_s,
            flow_wait_s=self.granting.queue.expected_wait(now, entry.flow, entry.request.urgency),
        )
        out.append(Send(to=entry.owner, message=answer))
        out.append(Count(metric=f"scheduler.refused.{reason.value}"))

    def _remember(self, owner: str, submission_id: str, attempt: int) -> None:
        key = (owner, submission_id)
        self._attempt_by_key[key] = max(attempt, self._attempt_by_key.get(key, -1))
        self._attempt_by_key.move_to_end(key)
        if len(self._attempt_by_key) > MAX_REMEMBERED_REQUESTS:
            self._attempt_by_key.popitem(last=False)

    # Timers

    def _maintain(self, now: float, out: list[Action]) -> None:
        self._maintain_at = now + MAINTAIN_INTERVAL_S
        self.table.set_cut_off(self._context.membership.unreachable_domains())
        self.table.maintain(now)
        self._expire(now, out)
        self._free_orphaned_grants(now, out)
        self._check_handover(now)
        self.granting.queue.set_capacity(max_concurrent_tasks(self.table.by_name.values()))
        if self._is_ready(now):
            self.granting.grant_deferred(now, len(self.granting.deferred))
        self._dirty = self.granting.has_backlog or self.granting.has_paused

    def _expire(self, now: float, out: list[Action]) -> None:
        refused = set()
        late = self.granting.queue.expire(now)
        late.extend(task.entry for task in self.granting.deferred.expire(now))
        for entry in late:
            key = (entry.owner, entry.request.submission_id)
            self.granting.drop_request_records(*key)
            if key not in refused:
                refused.add(key)
                self._refuse(now, entry, _DEADLINE_PASSED, out)

    def _free_orphaned_grants(self, now: float, out: list[Action]) -> None:
        membership = self._context.membership
        grants = self.granting.grants
        newest = {owner: membership.incarnation_of(owner) for owner in grants.owners()}
        self._absent.refresh(now, {(grant.owner, grant.incarnation) for grant in grants})
        lost = self._absent.absent_for(now, self._lease_s())
        for grant in list(grants):
            restarted = (newest[grant.owner] or 0) > grant.incarnation
            if restarted or membership.is_dead(grant.owner, grant.incarnation):
                grant.expires_at = min(grant.expires_at, self._expected_end(grant))
                grant.paused_at = None
            if (grant.owner, grant.incarnation) in lost:
                # The owner may return with the task still running and report it in SlotHeld.
                self.granting.revoke(grant, remember=False)
                out.append(Count(metric="scheduler.grants_taken_back"))
            elif grant.expires_at <= now and grant.paused_at is None:
                self.granting.revoke(grant)
                out.append(Count(metric="scheduler.grants_taken_back"))

    def _expected_end(self, grant: Grant) -> float:
        """Time by which a start whose owner died has probably ended on the upstream."""
        if self.placement is not None:
            return grant.granted_at + self._lease_s()
        return grant.granted_at + 2.0 * grant.expected_s

    def _lease_s(self) -> float:
        """Seconds after which a worker stops the tasks of an owner that does not renew leases."""
        current = self._context.config.current
        return (Limits() if current is None else current.limits).lease_s

    def _check_handover(self, now: float) -> None:
        """Drop the backlog once another host has been the scheduler of the pool for a while.

        A host that becomes the scheduler again waits for new reports of held slots.
        """
        scheduler = self._context.membership.scheduler_for(self.name, self.scope.failure_domain)
        is_scheduler = scheduler == self._context.host
        if is_scheduler and not self._is_scheduler:
            self._reported.clear()
            self._ready_at = now + REBUILD_GRACE_S
        if self._is_scheduler and not is_scheduler:
            self._handed_over_at = now
        self._is_scheduler = is_scheduler
        if not is_scheduler and now - self._handed_over_at > HANDOVER_GRACE_S:
            self.granting.clear_backlog()

    def _report_changes(self, out: list[Action]) -> None:
        for change in self.table.changes:
            out.append(StateChanged(step="health", peer=change.upstream, message=change.message))
            out.append(Count(metric=change.metric))
        self.table.changes.clear()

    def dump(self) -> dict[str, object]:
        """State of the pool as JSON values."""
        state: dict[str, object] = {
            "queued": len(self.granting.queue),
            "queue": self.granting.queue.dump(),
            "parked": len(self.granting.deferred),
            "grants": len(self.granting.grants),
            "mine": self._is_scheduler,
            "work_s": self.table.speeds.work.as_dict(),
            "upstreams": self.table.dump(),
        }
        if self.placement is not None:
            state["placement"] = self.placement.dump()
        return state
