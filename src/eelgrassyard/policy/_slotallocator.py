"""Turns queued asks of one pool into grants."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass

from ._actions import Action, Count, Send
from ._config import Urgency
from ._deferred import DeferredTask, DeferredTasks
from ._fairqueue import FairQueue, FlowKey, QueuedRequest
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
from ._speedclasses import WAIT
from ._system import ConfigView, MembershipView, WitnessView
from ._upstreamtable import UpstreamTable
from ._workerallocator import PlacementRequest, WorkerAllocator

LIFETIME_FACTOR = 3.0
"""Owners give a start up after three times the declared longest run time, or at the deadline."""

LIFETIME_MARGIN_S = 5.0
"""A grant without a release is taken back this long after its owner must have given it up."""

PARKED_TRIES = 2
"""Parked tasks looked at when a slot becomes free; all of them are looked at by the timer."""

QUOTA_MIN_WAIT_S = 0.001


@dataclass(slots=True, kw_only=True)
class PoolContext:
    """What the pools of a scheduler share."""

    config: ConfigView
    membership: MembershipView
    quotas: Quotas
    witness: WitnessView
    host: str
    numbers: itertools.count[int]


class SlotAllocator:
    """Queue, parked tasks and grants of one pool.

    :param quota_at: time at which a team that is out of quota may start a task again.
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
        self.parked = DeferredTasks()
        self.grants = GrantTable()
        self.quota_at = math.inf
        self._room_freed = False
        self._pool = pool
        self._table = table
        self.rooms = (
            None if placement is None else WorkerAllocator(placement=placement, grants=self.grants)
        )
        self._context = context
        self._outgoing: dict[tuple[str, str, int], list[Grant]] = {}
        self._entry_by_key: dict[tuple[str, str], QueuedRequest] = {}
        self._incarnation_by_owner: dict[str, int] = {}

    @property
    def is_busy(self) -> bool:
        """Whether there are asks or grants."""
        return self.has_asks or len(self.grants) > 0

    @property
    def has_asks(self) -> bool:
        """Whether any task has no place yet."""
        return len(self.parked) > 0 or len(self.queue) > 0

    @property
    def has_paused(self) -> bool:
        """Whether any task is throttled or checkpointed."""
        return self.rooms is not None and self.rooms.has_paused

    @property
    def has_news(self) -> bool:
        """Whether grants wait to be sent."""
        return bool(self._outgoing) or (self.rooms is not None and bool(self.rooms.steps))

    def clear_asks(self) -> None:
        """Forget all tasks that have no place."""
        self.parked.clear()
        self._entry_by_key.clear()
        if self.rooms is not None:
            self.rooms.forget_asks()
        self.queue = FairQueue(config=self._context.config)

    def note_queued(self, entry: QueuedRequest, incarnation: int) -> None:
        """Note that the queue has taken an ask."""
        self._entry_by_key[entry.owner, entry.ask.submission_id] = entry
        self._note_owner(entry.owner, incarnation)

    def _note_owner(self, owner: str, incarnation: int) -> None:
        known = self._incarnation_by_owner.get(owner, 0)
        self._incarnation_by_owner[owner] = max(known, incarnation)

    def renew(self, owner: str, ask: SlotAsk) -> bool:
        """Let a repeat of an ask that is still queued keep its place in the queue.

        Returns False if the repeat asks for other tasks than the queue holds.
        """
        entry = self._entry_by_key.get((owner, ask.submission_id))
        if entry is None or len(entry.remaining) != len(ask.tasks):
            return False
        if any(mine != theirs for mine, theirs in zip(entry.remaining, ask.tasks, strict=True)):
            return False
        if (ask.avoid, ask.gang, ask.kind) != (entry.ask.avoid, entry.ask.gang, entry.ask.kind):
            return False
        entry.ask = ask
        return True

    def forget(self, owner: str, submission_id: str) -> None:
        """Note that the queue no longer holds an ask."""
        self._entry_by_key.pop((owner, submission_id), None)
        if self.rooms is not None:
            self.rooms.forget_ask((owner, submission_id))

    def withdraw(self, owner: str, submission_id: str) -> None:
        """Forget the tasks of a submission that have no place."""
        self.forget(owner, submission_id)
        self.queue.withdraw(owner, submission_id)
        if self.parked:
            self.parked.withdraw(owner, submission_id)

    # From the queue to a grant

    def grant_idle(self, now: float, entry: QueuedRequest, incarnation: int) -> bool:
        """Grant or park a single task at once if nothing waits and a slot is free.

        Most asks of a pool that is not overloaded take this way around the queue.
        """
        ask = entry.ask
        if len(self.queue) or self.rooms is not None or len(entry.remaining) != 1:
            return False
        if self._context.quotas.allowed(now, ask.team, 1) <= 0 or self._probe_for(now, ask):
            return False
        self._try_freed(now)
        ahead = self.parked.ahead_of(ask.urgency)
        name = self._table.speeds.choose(ask.kind, ahead, ask.avoid)
        if name is None:
            return False
        self._context.quotas.charge(now, ask.team, 1)
        self._note_owner(entry.owner, incarnation)
        size = entry.remaining.popleft()
        if name == WAIT:
            cost_s = self._table.speeds.work.mean_s(ask.kind)
            self.queue.serve_idle(now, entry, cost_s)
            self.parked.add(DeferredTask(entry=entry, size=size, cost_s=cost_s))
        else:
            expected_s = self._expected_s(name, ask.kind)
            self.queue.serve_idle(now, entry, expected_s)
            self._grant(now, entry, size, name, expected_s)
        return True

    def _try_freed(self, now: float) -> None:
        if self._room_freed:
            self._room_freed = False
            self.try_parked(now, PARKED_TRIES)

    def dispatch(self, now: float) -> None:
        """Grant what the free slots, quotas and waits for faster slots allow."""
        self._try_freed(now)
        skip: set[FlowKey] = set()
        while len(self.queue):
            entry = self.queue.select(now, skip=skip)
            if entry is None:
                break
            ask = entry.ask
            allowed = self._context.quotas.allowed(
                now, ask.team, len(entry.remaining), gang=ask.gang
            )
            if allowed <= 0:
                again = self._context.quotas.next_allowed(now, ask.team)
                self.quota_at = min(self.quota_at, max(again, now + QUOTA_MIN_WAIT_S))
                skip.add(entry.flow)
            elif self.rooms is not None:
                if not self._place_on_worker(now, entry, allowed, self.rooms):
                    skip.add(entry.flow)
            elif not self._place_on_runner(now, entry):
                if not ask.avoid:
                    return
                skip.add(entry.flow)
        if self.rooms is not None:
            # Work that waits for paused tasks to end must not be what keeps them paused.
            self.rooms.resume(now, self._table.speeds.names_with_room)

    def try_parked(self, now: float, tries: int) -> None:
        """Grant parked tasks for which a slot that is free now is good enough."""
        if not self.parked:
            return
        for ahead, task in enumerate(self.parked.first(tries)):
            ask = task.entry.ask
            name = self._table.speeds.choose(ask.kind, ahead, ask.avoid)
            if name is None:
                return
            if name != WAIT:
                self.parked.remove(task)
                expected_s = self._expected_s(name, ask.kind)
                self.queue.correct_cost(task.entry.flow, task.cost_s, expected_s)
                self._grant(now, task.entry, task.size, name, expected_s)

    def _place_on_runner(self, now: float, entry: QueuedRequest) -> bool:
        """Grant or park the next task of an ask; False if no slot is free."""
        ask = entry.ask
        name = self._probe_for(now, ask)
        probe = name is not None
        if name is None:
            ahead = self.parked.ahead_of(ask.urgency)
            name = self._table.speeds.choose(ask.kind, ahead, ask.avoid)
        if name is None:
            return False
        if name == WAIT:
            cost_s = self._table.speeds.work.mean_s(ask.kind)
            size = self._take(now, entry, 1, cost_s)[0]
            self.parked.add(DeferredTask(entry=entry, size=size, cost_s=cost_s))
        else:
            expected_s = self._expected_s(name, ask.kind)
            size = self._take(now, entry, 1, expected_s)[0]
            self._grant(now, entry, size, name, expected_s, probe=probe)
        self._context.quotas.charge(now, ask.team, 1)
        return True

    def _place_on_worker(
        self, now: float, entry: QueuedRequest, allowed: int, rooms: WorkerAllocator
    ) -> bool:
        """Grant as many tasks of an ask as fit, or all of a gang; False if none fits."""
        if entry.ask.urgency is Urgency.BACKGROUND:
            rooms.resume(now, self._table.speeds.names_with_room)
        probe = None if entry.ask.gang else self._probe_for(now, entry.ask)
        request = PlacementRequest(
            entry=entry,
            most=allowed if probe is None else 1,
            usable=self._table.speeds.names_with_room if probe is None else {probe},
        )
        workers = rooms.place(now, request)
        if workers:
            self._grant_workers(now, entry, workers, probe=probe is not None)
        return bool(workers)

    def _grant_workers(
        self, now: float, entry: QueuedRequest, workers: list[str], *, probe: bool
    ) -> None:
        expected = [self._expected_s(name, entry.ask.kind) for name in workers]
        sizes = self._take(now, entry, len(workers), sum(expected) / len(expected))
        for name, size, expected_s in zip(workers, sizes, expected, strict=True):
            self._grant(now, entry, size, name, expected_s, probe=probe)
        self._context.quotas.charge(now, entry.ask.team, len(workers))

    def _take(self, now: float, entry: QueuedRequest, count: int, cost_s: float) -> list[TaskSize]:
        sizes = self.queue.take(now, entry, count, cost_s)
        if not entry.remaining:
            self._entry_by_key.pop((entry.owner, entry.ask.submission_id), None)
        return sizes

    def _probe_for(self, now: float, ask: SlotAsk) -> str | None:
        if not self._table.probes_due:
            return None
        return self._table.choose_probe_target(
            ask.kind, ask.avoid, idempotent=ask.idempotent, now=now
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
        ask = entry.ask
        lifetime_s = max(self.lifetime_s(ask.kind, expected_s), entry.deadline_at - now)
        grant = Grant(
            number=next(self._context.numbers),
            owner=entry.owner,
            incarnation=self._incarnation_by_owner[entry.owner],
            submission_id=ask.submission_id,
            caller=ask.caller,
            kind=ask.kind,
            size=size,
            upstream=upstream,
            granted_at=now,
            expected_s=expected_s,
            expires_at=now + lifetime_s + LIFETIME_MARGIN_S,
            attempt=ask.attempt,
            urgency=ask.urgency,
            probe=probe,
        )
        self.grants.add(grant)
        self._table.acquire(now, grant)
        if self.rooms is not None:
            self.rooms.add(grant)
        self._announce(grant)

    def lifetime_s(self, kind: str, expected_s: float) -> float:
        """Seconds after which the owner of a start without a deadline has given it up."""
        return LIFETIME_FACTOR * max(self._table.speeds.longest_s(kind), expected_s)

    def repeat_grant(self, owner: str, ask: SlotAsk, size: TaskSize) -> bool:
        """Send the grant of a task again, as the first one may have been lost."""
        grant = self.grants.of_task((owner, ask.submission_id, size.index))
        if grant is None:
            return False
        if grant.upstream in ask.avoid:
            self.take_back(grant)
            return False
        grant.attempt = ask.attempt
        self._announce(grant)
        return True

    def take_back(self, grant: Grant, *, remember: bool = True) -> None:
        """Free the place of a grant that was not released.

        :param remember: ignore later reports that the place is in use.
        """
        self.grants.remove(grant.number, remember=remember)
        self._table.release_slot(grant)
        self._give_room_back(grant)

    def take_release(self, now: float, owner: str, release: Release) -> bool:
        """Free the place of a finished start; returns whether its grant was known."""
        grant = self.grants.by_number.get(release.grant)
        if grant is not None and grant.owner != owner:
            return False
        self.grants.remove(release.grant)
        if grant is None:
            if release.leaving:
                self._table.mark_leaving(now, release.upstream)
            return False
        self._room_freed = True
        self._table.record_result(now, grant, release)
        self._give_room_back(grant)
        ran = release.result not in (StartResult.UNUSED, StartResult.NOT_STARTED)
        actual_s = release.run_s if ran else 0.0
        self.queue.correct_cost((grant.caller, grant.kind), grant.expected_s, actual_s)
        return True

    def _give_room_back(self, grant: Grant) -> None:
        if self.rooms is not None:
            self.rooms.remove(grant)

    def _announce(self, grant: Grant) -> None:
        key = (grant.owner, grant.submission_id, grant.attempt)
        self._outgoing.setdefault(key, []).append(grant)

    def send_grants(self, now: float, out: list[Action]) -> None:
        """Send the grants of this tick, one message a submission."""
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
        if self.rooms is not None:
            self._send_steps(self.rooms, out)

    def _send_steps(self, rooms: WorkerAllocator, out: list[Action]) -> None:
        for step in rooms.steps:
            control = TaskControl(
                submission_id=step.submission_id, index=step.index, control=step.control.value
            )
            out.append(Send(to=step.owner, message=control))
            out.append(Count(metric=f"scheduler.control.{step.control.value}"))
        rooms.steps.clear()
