"""Room on guarded workers for the tasks of one pool: placement, gangs, urgent work."""

from __future__ import annotations

import itertools
import math
from collections.abc import Collection
from dataclasses import dataclass

from ._actions import Control
from ._config import Urgency
from ._fairqueue import QueuedRequest
from ._grants import Grant, GrantTable
from ._placement import WorkerPlacement
from ._preemption import BackgroundTask, Preemption, PreemptionStep

GANG_RESERVATION_DELAY_S = 5.0
"""A gang that found no room for this long has workers set aside, so smaller work cannot keep it
waiting for ever. Workers set aside run empty until the last task on them ends, so a gang that would
soon find room anyway does not have any."""

RequestKey = tuple[str, str]
"""Owner and submission id."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """What may be placed for one ask.

    :param most: tasks that the quota allows.
    :param usable: names of workers that may get new work.
    """

    entry: QueuedRequest
    most: int
    usable: Collection[str]


class WorkerAllocator:
    """Finds room on workers and keeps what each grant holds.

    :ivar steps: controls of background tasks that are to be sent to their owners.
    """

    def __init__(self, *, placement: WorkerPlacement, grants: GrantTable) -> None:
        self.placement = placement
        self.steps: list[PreemptionStep] = []
        self._preemption = Preemption(placement=placement)
        self._grants = grants
        self._reserved_for: RequestKey | None = None

    def place(self, now: float, request: PlacementRequest) -> list[str]:
        """Reserve room for the first tasks of an ask, all of a gang or none; may be empty."""
        ask = request.entry.ask
        if ask.gang:
            return self._place_gang(now, request)
        workers = self._place_some(request)
        if not workers and ask.urgency is Urgency.URGENT:
            size = request.entry.remaining[0]
            steps = self._preemption.make_room(now, ask.kind, size, usable=request.usable)
            self._take_steps(now, steps)
            if any(step.control is Control.THROTTLE for step in steps):
                workers = self._place_some(request)
        return workers

    def _place_some(self, request: PlacementRequest) -> list[str]:
        ask = request.entry.ask
        return self.placement.place_some(
            ask.kind,
            list(itertools.islice(request.entry.remaining, request.most)),
            usable=request.usable,
            avoid=ask.avoid,
            spread_racks=ask.spread_racks,
        )

    def _place_gang(self, now: float, request: PlacementRequest) -> list[str]:
        entry, ask = request.entry, request.entry.ask
        key = (entry.owner, ask.submission_id)
        sizes = list(entry.remaining)
        if request.most < len(sizes):
            return []
        workers = self.placement.place(
            ask.kind,
            sizes,
            usable=request.usable,
            avoid=ask.avoid,
            spread_racks=ask.spread_racks,
            reservation=key == self._reserved_for,
        )
        if workers is not None:
            self.forget_ask(key)
            return workers
        if self._reserved_for is None and now - entry.asked_at >= GANG_RESERVATION_DELAY_S:
            self.placement.reserve(ask.kind, sizes, usable=request.usable)
            self._reserved_for = key
        return []

    def forget_ask(self, key: RequestKey) -> None:
        """Note that an ask has its places or is gone."""
        if key == self._reserved_for:
            self._reserved_for = None
            self.placement.cancel_reservation()

    def forget_asks(self) -> None:
        """Note that all asks are gone."""
        if self._reserved_for is not None:
            self.forget_ask(self._reserved_for)

    # What grants hold

    def add(self, grant: Grant) -> None:
        """Note a grant whose room is reserved."""
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
        """Note a place that was in use before this host scheduled the pool.

        A background task may have been paused by the scheduler before, so it is resumed.
        """
        self.placement.hold(grant.upstream, grant.kind, grant.size)
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
        """Give back what a grant holds."""
        if not self._preemption.remove(grant.submission_id, grant.size.index):
            self.placement.release(grant.upstream, grant.kind, grant.size)

    # Paused tasks

    def advance(self, now: float) -> bool:
        """Book the room of checkpointed tasks; True if there is more room."""
        return self._preemption.advance(now)

    def next_wake(self) -> float:
        """Time of the next change by :meth:`advance`."""
        return self._preemption.next_wake()

    @property
    def has_paused(self) -> bool:
        """Whether any task is throttled or checkpointed."""
        return self._preemption.paused > 0

    def resume(self, now: float, usable: Collection[str]) -> None:
        """Resume paused tasks whose workers have room again.

        While a task is being checkpointed, the free room counts for the ask that it makes room for.
        """
        if self.has_paused and self._preemption.next_wake() == math.inf:
            self._take_steps(now, self._preemption.resume(now, usable=usable))

    def _take_steps(self, now: float, steps: tuple[PreemptionStep, ...]) -> None:
        """Keep paused starts out of the search for stalls, and out of the expiry of grants."""
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
