"""Allocation of guarded workers to the tasks of one pool: placement, gangs and preemption."""

from __future__ import annotations

import itertools
import math
from collections.abc import Collection
from dataclasses import dataclass

from ._actions import Control
from ._config import Urgency
from ._fair_queue import QueuedRequest
from ._grants import Grant, GrantTable
from ._placement import WorkerPlacement
from ._preemption import BackgroundTask, Preemption, PreemptionStep

GANG_RESERVATION_DELAY_S = 5.0
"""Workers are reserved for a gang that has not fitted for this long, so that smaller tasks cannot
starve it. Reserved workers are partly idle until their last task ends, so there is no reservation
for a gang that would soon fit anyway."""

ReservationKey = tuple[str, str]
"""Owner and submission id of a request for which workers may be reserved."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """The part of a queued request that may be placed now.

    :param entry: the queued request.
    :param max_tasks: tasks that the quota allows, or 1 for a probe.
    :param usable: names of workers that may get new work.
    """

    entry: QueuedRequest
    max_tasks: int
    usable: Collection[str]


class WorkerAllocator:
    """Places tasks on workers, preempts background tasks and tracks what each grant holds.

    :ivar steps: controls of background tasks that have not been sent to their owners yet.
    """

    def __init__(self, *, placement: WorkerPlacement, grants: GrantTable) -> None:
        self.placement = placement
        self.steps: list[PreemptionStep] = []
        self._preemption = Preemption(placement=placement)
        self._grants = grants
        self._reserved_for: ReservationKey | None = None

    def place(self, now: float, request: PlacementRequest) -> list[str]:
        """Place the first tasks of a request, or all or none of a gang; returns their workers."""
        slot_request = request.entry.request
        if slot_request.gang:
            return self._place_gang(now, request)
        workers = self._place_some(request)
        if not workers and slot_request.urgency is Urgency.URGENT:
            size = request.entry.remaining[0]
            steps = self._preemption.preempt(now, slot_request.kind, size, usable=request.usable)
            self._record_steps(now, steps)
            if any(step.control is Control.THROTTLE for step in steps):
                workers = self._place_some(request)
        return workers

    def _place_some(self, request: PlacementRequest) -> list[str]:
        slot_request = request.entry.request
        return self.placement.place_some(
            slot_request.kind,
            list(itertools.islice(request.entry.remaining, request.max_tasks)),
            usable=request.usable,
            avoid=slot_request.avoid,
            spread_racks=slot_request.spread_racks,
        )

    def _place_gang(self, now: float, request: PlacementRequest) -> list[str]:
        entry, slot_request = request.entry, request.entry.request
        key = (entry.owner, slot_request.submission_id)
        sizes = list(entry.remaining)
        if request.max_tasks < len(sizes):
            return []
        workers = self.placement.place(
            slot_request.kind,
            sizes,
            usable=request.usable,
            avoid=slot_request.avoid,
            spread_racks=slot_request.spread_racks,
            reservation=key == self._reserved_for,
        )
        if workers is not None:
            self.end_reservation(key)
            return workers
        if self._reserved_for is None and now - entry.requested_at >= GANG_RESERVATION_DELAY_S:
            self.placement.reserve(slot_request.kind, sizes, usable=request.usable)
            self._reserved_for = key
        return []

    def end_reservation(self, key: ReservationKey) -> None:
        """End the reservation, if any, of a request that has been placed or removed."""
        if key == self._reserved_for:
            self._reserved_for = None
            self.placement.cancel_reservation()

    def clear_requests(self) -> None:
        """End the reservation, if any, because all requests have been removed."""
        if self._reserved_for is not None:
            self.end_reservation(self._reserved_for)

    # What grants hold

    def add(self, grant: Grant) -> None:
        """Add a grant whose capacity is already reserved."""
        if grant.urgency is Urgency.BACKGROUND:
            self._preemption.add(
                BackgroundTask(
                    owner=grant.owner,
                    submission_id=grant.submission_id,
                    worker=grant.upstream,
                    kind=grant.kind,
                    size=grant.size,
                )
            )

    def adopt(self, grant: Grant) -> None:
        """Add a grant that was in use before this host became the scheduler of the pool.

        The previous scheduler may have paused a background task, so it is resumed.
        """
        self.placement.add_running(grant.upstream, grant.kind, grant.size)
        self.add(grant)
        if grant.urgency is Urgency.BACKGROUND:
            self.steps.append(
                PreemptionStep(
                    owner=grant.owner,
                    submission_id=grant.submission_id,
                    index=grant.size.index,
                    control=Control.RESUME,
                )
            )

    def remove(self, grant: Grant) -> None:
        """Free what a grant holds."""
        if not self._preemption.remove(grant.submission_id, grant.size.index):
            self.placement.release(grant.upstream, grant.kind, grant.size)

    # Paused tasks

    def advance(self, now: float) -> bool:
        """Free what checkpointed tasks held; True if that frees any capacity."""
        return self._preemption.advance(now)

    def next_wake(self) -> float:
        """Time at which :meth:`advance` next frees capacity; ``math.inf`` if none is due."""
        return self._preemption.next_wake()

    @property
    def has_paused(self) -> bool:
        """Whether any task is throttled or checkpointed."""
        return self._preemption.paused > 0

    def resume(self, now: float, usable: Collection[str]) -> None:
        """Resume paused tasks whose workers have capacity again.

        None is resumed while a task is being checkpointed, as free capacity then belongs to the
        request for which it was preempted.
        """
        if self.has_paused and self._preemption.next_wake() == math.inf:
            self._record_steps(now, self._preemption.resume(now, usable=usable))

    def _record_steps(self, now: float, steps: tuple[PreemptionStep, ...]) -> None:
        """Queue steps, and keep paused grants out of the stall check and of expiry."""
        self.steps.extend(steps)
        for step in steps:
            grant = self._grants.of_task((step.owner, step.submission_id, step.index))
            if grant is None:
                continue
            if step.control is not Control.RESUME:
                grant.paused_at = now if grant.paused_at is None else grant.paused_at
            elif grant.paused_at is not None:
                grant.expires_at += now - grant.paused_at
                grant.granted_at = now
                grant.paused_at = None
