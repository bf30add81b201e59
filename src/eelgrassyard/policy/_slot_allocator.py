"""Allocation of the slots of one pool to queued requests."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass

from ._actions import Action, Count, Send
from ._config import Urgency
from ._deferred import DeferredTask, DeferredTasks
from ._fair_queue import FairQueue, FlowKey, QueuedRequest
from ._grants import Grant, GrantTable
from ._messages import (
    Placement,
    Release,
    SlotAsk,
    SlotGrant,
    StartResult,
    TaskControl,
    TaskSize,
)
from ._placement import WorkerPlacement
from ._quotas import Quotas
from ._speed_classes import WAIT
from ._system import ConfigView, MembershipView, WitnessView
from ._upstream_table import UpstreamTable
from ._worker_allocator import PlacementRequest, WorkerAllocator

LIFETIME_FACTOR = 3.0
"""Owners abandon a start after three times the declared longest run time, or at the deadline."""

LIFETIME_MARGIN_S = 5.0
"""A grant without a release is revoked this long after its owner must have abandoned the start."""

DEFERRED_TRIES = 2
"""Deferred tasks tried when a slot becomes free. The timer tries all of them."""

QUOTA_MIN_WAIT_S = 0.001
"""Shortest wait before the quota of a team is checked again."""


@dataclass(slots=True, kw_only=True)
class PoolContext:
    """Dependencies shared by all pools of a scheduler.

    :param host: name of this host.
    :param grant_numbers: source of grant numbers that no other grant has.
    """

    config: ConfigView
    membership: MembershipView
    quotas: Quotas
    witness: WitnessView
    host: str
    grant_numbers: itertools.count[int]


class SlotAllocator:
    """Owns the queue, deferred tasks and grants of one pool, and turns requests into grants.

    :ivar quota_at: time at which a team that is out of quota may start a task again.
    :ivar worker_allocator: None if the pool consists of runners.
    """

    def __init__(
        self,
        *,
        pool: str,
        table: UpstreamTable,
        placement: WorkerPlacement | None,
        context: PoolContext,
    ) -> None:
        self.queue = FairQueue(config=context.config)
        self.deferred = DeferredTasks()
        self.grants = GrantTable()
        self.quota_at = math.inf
        self._slot_freed = False
        self._pool = pool
        self._table = table
        self.worker_allocator = (
            None if placement is None else WorkerAllocator(placement=placement, grants=self.grants)
        )
        self._context = context
        self._outgoing: dict[tuple[str, str, int], list[Grant]] = {}
        self._entry_by_key: dict[tuple[str, str], QueuedRequest] = {}
        self._incarnation_by_owner: dict[str, int] = {}

    @property
    def is_busy(self) -> bool:
        """Whether there are requests or grants."""
        return self.has_backlog or len(self.grants) > 0

    @property
    def has_backlog(self) -> bool:
        """Whether any task waits for a slot."""
        return len(self.deferred) > 0 or len(self.queue) > 0

    @property
    def has_paused(self) -> bool:
        """Whether any task is throttled or checkpointed."""
        return self.worker_allocator is not None and self.worker_allocator.has_paused

    @property
    def has_outgoing(self) -> bool:
        """Whether grants or task controls wait to be sent."""
        return bool(self._outgoing) or (
            self.worker_allocator is not None and bool(self.worker_allocator.steps)
        )

    def clear_backlog(self) -> None:
        """Drop all tasks that wait for a slot."""
        self.deferred.clear()
        self._entry_by_key.clear()
        if self.worker_allocator is not None:
            self.worker_allocator.clear_requests()
        self.queue = FairQueue(config=self._context.config)

    def record_queued(self, entry: QueuedRequest, incarnation: int) -> None:
        """Record that the queue accepted a request."""
        self._entry_by_key[entry.owner, entry.request.submission_id] = entry
        self._record_incarnation(entry.owner, incarnation)

    def _record_incarnation(self, owner: str, incarnation: int) -> None:
        known = self._incarnation_by_owner.get(owner, 0)
        self._incarnation_by_owner[owner] = max(known, incarnation)

    def replace_queued(self, owner: str, request: SlotAsk) -> bool:
        """Replace a queued request by its retry, which keeps the position in the queue.

        Returns False if the retry differs from what is queued in its tasks, the upstreams to avoid,
        its kind or whether it is a gang.
        """
        entry = self._entry_by_key.get((owner, request.submission_id))
        if entry is None or len(entry.remaining) != len(request.tasks):
            return False
        if any(mine != theirs for mine, theirs in zip(entry.remaining, request.tasks, strict=True)):
            return False
        if (request.avoid, request.gang, request.kind) != (
            entry.request.avoid,
            entry.request.gang,
            entry.request.kind,
        ):
            return False
        entry.request = request
        return True

    def drop_request_records(self, owner: str, submission_id: str) -> None:
        """Drop the records of a request that is no longer queued."""
        self._entry_by_key.pop((owner, submission_id), None)
        if self.worker_allocator is not None:
            self.worker_allocator.end_reservation((owner, submission_id))

    def withdraw(self, owner: str, submission_id: str) -> None:
        """Remove the tasks of a submission that wait for a slot."""
        self.drop_request_records(owner, submission_id)
        self.queue.withdraw(owner, submission_id)
        if self.deferred:
            self.deferred.withdraw(owner, submission_id)

    # From the queue to a grant

    def grant_if_idle(self, now: float, entry: QueuedRequest, incarnation: int) -> bool:
        """Grant or defer a single task at once if the queue is empty and a slot is free.

        Most requests of a pool that is not overloaded take this fast path around the queue.
        """
        request = entry.request
        if len(self.queue) or self.worker_allocator is not None or len(entry.remaining) != 1:
            return False
        if self._context.quotas.allowed(now, request.team, 1) <= 0 or self._probe_for(now, request):
            return False
        self._retry_deferred(now)
        ahead = self.deferred.ahead_of(request.urgency)
        name = self._table.speeds.choose(request.kind, ahead, request.avoid)
        if name is None:
            return False
        self._context.quotas.charge(now, request.team, 1)
        self._record_incarnation(entry.owner, incarnation)
        size = entry.remaining.popleft()
        if name == WAIT:
            cost_s = self._table.speeds.work.mean_s(request.kind)
            self.queue.charge_idle(now, entry, cost_s)
            self.deferred.add(DeferredTask(entry=entry, size=size, cost_s=cost_s))
        else:
            expected_s = self._expected_s(name, request.kind)
            self.queue.charge_idle(now, entry, expected_s)
            self._grant(now, entry, size, name, expected_s)
        return True

    def _retry_deferred(self, now: float) -> None:
        if self._slot_freed:
            self._slot_freed = False
            self.grant_deferred(now, DEFERRED_TRIES)

    def grant_queued(self, now: float) -> None:
        """Grant queued requests as free slots and quotas allow; tasks may wait for faster slots."""
        self._retry_deferred(now)
        skip: set[FlowKey] = set()
        while len(self.queue):
            entry = self.queue.select(now, skip=skip)
            if entry is None:
                break
            request = entry.request
            allowed = self._context.quotas.allowed(
                now, request.team, len(entry.remaining), gang=request.gang
            )
            if allowed <= 0:
                next_allowed = self._context.quotas.next_allowed(now, request.team)
                self.quota_at = min(self.quota_at, max(next_allowed, now + QUOTA_MIN_WAIT_S))
                skip.add(entry.flow)
            elif self.worker_allocator is not None:
                if not self._place_on_worker(now, entry, allowed, self.worker_allocator):
                    skip.add(entry.flow)
            elif not self._place_on_runner(now, entry):
                if not request.avoid:
                    return
                skip.add(entry.flow)
        if self.worker_allocator is not None:
            # Otherwise queued work that waits for paused tasks to end would keep them paused.
            self.worker_allocator.resume(now, self._table.speeds.names_with_free_slot)

    def grant_deferred(self, now: float, tries: int) -> None:
        """Grant deferred tasks for which a slot that is free now is fast enough.

        :param tries: number of deferred tasks to try, in order.
        """
        if not self.deferred:
            return
        for ahead, task in enumerate(self.deferred.first(tries)):
            request = task.entry.request
            name = self._table.speeds.choose(request.kind, ahead, request.avoid)
            if name is None:
                return
            if name != WAIT:
                self.deferred.remove(task)
                expected_s = self._expected_s(name, request.kind)
                self.queue.correct_cost(task.entry.flow, task.cost_s, expected_s)
                self._grant(now, task.entry, task.size, name, expected_s)

    def _place_on_runner(self, now: float, entry: QueuedRequest) -> bool:
        """Grant or defer the next task of a request; False if no slot is free."""
        request = entry.request
        name = self._probe_for(now, request)
        probe = name is not None
        if name is None:
            ahead = self.deferred.ahead_of(request.urgency)
            name = self._table.speeds.choose(request.kind, ahead, request.avoid)
        if name is None:
            return False
        if name == WAIT:
            cost_s = self._table.speeds.work.mean_s(request.kind)
            size = self._take(now, entry, 1, cost_s)[0]
            self.deferred.add(DeferredTask(entry=entry, size=size, cost_s=cost_s))
        else:
            expected_s = self._expected_s(name, request.kind)
            size = self._take(now, entry, 1, expected_s)[0]
            self._grant(now, entry, size, name, expected_s, probe=probe)
        self._context.quotas.charge(now, request.team, 1)
        return True

    def _place_on_worker(
        self, now: float, entry: QueuedRequest, allowed: int, worker_allocator: WorkerAllocator
    ) -> bool:
        """Grant as many tasks of a request as fit, or all of a gang; False if none fits."""
        if entry.request.urgency is Urgency.BACKGROUND:
            worker_allocator.resume(now, self._table.speeds.names_with_free_slot)
        probe = None if entry.request.gang else self._probe_for(now, entry.request)
        request = PlacementRequest(
            entry=entry,
            max_tasks=allowed if probe is None else 1,
            usable=self._table.speeds.names_with_free_slot if probe is None else {probe},
        )
        workers = worker_allocator.place(now, request)
        if workers:
            self._grant_workers(now, entry, workers, probe=probe is not None)
        return bool(workers)

    def _grant_workers(
        self, now: float, entry: QueuedRequest, workers: list[str], *, probe: bool
    ) -> None:
        expected = [self._expected_s(name, entry.request.kind) for name in workers]
        sizes = self._take(now, entry, len(workers), sum(expected) / len(expected))
        for name, size, expected_s in zip(workers, sizes, expected, strict=True):
            self._grant(now, entry, size, name, expected_s, probe=probe)
        self._context.quotas.charge(now, entry.request.team, len(workers))

    def _take(self, now: float, entry: QueuedRequest, count: int, cost_s: float) -> list[TaskSize]:
        sizes = self.queue.take(now, entry, count, cost_s)
        if not entry.remaining:
            self._entry_by_key.pop((entry.owner, entry.request.submission_id), None)
        return sizes

    def _probe_for(self, now: float, request: SlotAsk) -> str | None:
        if not self._table.probes_due:
            return None
        return self._table.choose_probe_target(
            request.kind, request.avoid, idempotent=request.idempotent, now=now
        )

    def _expected_s(self, name: str, kind: str) -> float:
        return self._table.speeds.expected_s(self._table.by_name[name], kind)

    # Grants

    def _grant(
        self,
        now: float,
        entry: QueuedRequest,
        size: TaskSize,
        upstream: str,
        expected_s: float,
        *,
        probe: bool = False,
    ) -> None:
        request = entry.request
        lifetime_s = max(self.lifetime_s(request.kind, expected_s), entry.deadline_at - now)
        grant = Grant(
            number=next(self._context.grant_numbers),
            owner=entry.owner,
            incarnation=self._incarnation_by_owner[entry.owner],
            submission_id=request.submission_id,
            caller=request.caller,
            kind=request.kind,
            size=size,
            upstream=upstream,
            granted_at=now,
            expected_s=expected_s,
            expires_at=now + lifetime_s + LIFETIME_MARGIN_S,
            attempt=request.attempt,
            urgency=request.urgency,
            probe=probe,
        )
        self.grants.add(grant)
        self._table.acquire(now, grant)
        if self.worker_allocator is not None:
            self.worker_allocator.add(grant)
        self._queue_grant(grant)

    def lifetime_s(self, kind: str, expected_s: float) -> float:
        """Seconds after which the owner has abandoned a start without a deadline."""
        return LIFETIME_FACTOR * max(self._table.speeds.longest_s(kind), expected_s)

    def repeat_grant(self, owner: str, request: SlotAsk, size: TaskSize) -> bool:
        """Send the grant of a task again because the first message may have been lost.

        Returns False if the task has no grant, or if the retry avoids its upstream. In the latter
        case, the grant is revoked.
        """
        grant = self.grants.of_task((owner, request.submission_id, size.index))
        if grant is None:
            return False
        if grant.upstream in request.avoid:
            self.revoke(grant)
            return False
        grant.attempt = request.attempt
        self._queue_grant(grant)
        return True

    def revoke(self, grant: Grant, *, remember: bool = True) -> None:
        """Free the slot of a grant that its owner did not release.

        :param remember: ignore later reports that the slot is in use.
        """
        self.grants.remove(grant.number, remember=remember)
        self._table.release_slot(grant)
        self._release_capacity(grant)

    def receive_release(self, now: float, owner: str, release: Release) -> bool:
        """Free the slot of a finished start; returns whether its grant was known."""
        grant = self.grants.by_number.get(release.grant)
        if grant is not None and grant.owner != owner:
            return False
        self.grants.remove(release.grant)
        if grant is None:
            if release.leaving:
                self._table.mark_leaving(now, release.upstream)
            return False
        self._slot_freed = True
        self._table.record_result(now, grant, release)
        self._release_capacity(grant)
        ran = release.result not in (StartResult.UNUSED, StartResult.NOT_STARTED)
        actual_s = release.run_s if ran else 0.0
        self.queue.correct_cost((grant.caller, grant.kind), grant.expected_s, actual_s)
        return True

    def _release_capacity(self, grant: Grant) -> None:
        if self.worker_allocator is not None:
            self.worker_allocator.remove(grant)

    def _queue_grant(self, grant: Grant) -> None:
        key = (grant.owner, grant.submission_id, grant.attempt)
        self._outgoing.setdefault(key, []).append(grant)

    def send_grants(self, now: float, out: list[Action]) -> None:
        """Send the grants of this tick, one message per submission, and the task controls."""
        for (owner, submission_id, attempt), grants in self._outgoing.items():
            placements = tuple(
                Placement(
                    grant=grant.number,
                    index=grant.size.index,
                    upstream=grant.upstream,
                    expected_s=grant.expected_s,
                )
                for grant in grants
            )
            message = SlotGrant(
                submission_id=submission_id,
                pool=self._pool,
                attempt=attempt,
                placements=placements,
                recorded=self._context.witness.is_recorded(submission_id),
                flow_wait_s=self.queue.expected_wait(
                    now, (grants[0].caller, grants[0].kind), grants[0].urgency
                ),
            )
            out.append(Send(to=owner, message=message))
        self._outgoing.clear()
        if self.worker_allocator is not None:
            self._send_controls(self.worker_allocator, out)

    def _send_controls(self, worker_allocator: WorkerAllocator, out: list[Action]) -> None:
        for step in worker_allocator.steps:
            control = TaskControl(
                submission_id=step.submission_id, index=step.index, control=step.control.value
            )
            out.append(Send(to=step.owner, message=control))
            out.append(Count(metric=f"scheduler.control.{step.control.value}"))
        worker_allocator.steps.clear()
