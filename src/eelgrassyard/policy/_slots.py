"""Slot requests to the schedulers of the pools, and the slots that this host holds."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ._actions import Action, Count, Send
from ._config import Limits
from ._events import PeerReceived
from ._identity import HostIdentity
from ._messages import (
    HeldPlace,
    Placement,
    Release,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRelease,
    SlotWithdraw,
    StartResult,
    TaskSize,
)
from ._owned_state import GrantKey, Submission, TaskState
from ._pool_names import parse_pool_name
from ._system import ConfigView, MembershipView

CHECK_INTERVAL_S = 0.25
"""Interval of checks for a new scheduler of a pool in use; a change may go unnoticed this long."""

PROBE_AFTER_S = 0.2
"""Time without a message from a scheduler with a pending slot request, after which it is probed."""

_DEFAULT_LIMITS = Limits()


@dataclass(slots=True)
class HeldSlot:
    """A granted slot: its task runs, or waits for the submission's record at the witness.

    :param since: time of the grant.
    """

    submission: Submission
    size: TaskSize
    upstream: str
    since: float


@dataclass(slots=True)
class PoolLink:
    """The scheduler of one pool as known to this host, with this host's slots and slot requests.

    :param incarnation: the scheduler's incarnation; 0 if not known.
    :param silent_since: time of the first slot request since the scheduler's last message, or of
        the last probe since then; ``math.inf`` if there was neither.
    :param waiting_by_id: submissions with tasks that wait for a slot.
    """

    pool: str
    scheduler: str = ""
    incarnation: int = 0
    checked_at: float = -math.inf
    silent_since: float = math.inf
    waiting_by_id: dict[str, Submission] = field(default_factory=dict)
    slot_by_grant: dict[GrantKey, HeldSlot] = field(default_factory=dict)

    @property
    def is_active(self) -> bool:
        return bool(self.waiting_by_id or self.slot_by_grant)


class Slots:
    """Requests, accepts and releases slots at the schedulers of all pools.

    When the scheduler of a pool changes, reports the held slots to the new one and then repeats the
    pending slot requests there.

    :param on_request: called after each slot request, to set the timer for its repeat.
    """

    def __init__(
        self,
        *,
        identity: HostIdentity,
        config: ConfigView,
        membership: MembershipView,
        on_request: Callable[[float, Submission], None],
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._on_request = on_request
        self._link_by_pool: dict[str, PoolLink] = {}
        self._releases: defaultdict[tuple[str, str], list[Release]] = defaultdict(list)

    def link(self, now: float, pool: str, out: list[Action]) -> PoolLink:
        """Return the link of a pool; its scheduler was checked within ``CHECK_INTERVAL_S``."""
        link = self._link_by_pool.get(pool)
        if link is None:
            link = self._link_by_pool[pool] = PoolLink(pool)
        if now - link.checked_at >= CHECK_INTERVAL_S:
            self._check_scheduler(now, link, out)
        return link

    def request_slots(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Request slots for all tasks without one; replaces the submission's earlier request."""
        link = self.link(now, submission.pool, out)
        self._send_request(now, link, submission, out)

    def withdraw(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Withdraw the pending slot request of a submission, if there is one."""
        link = self._link_by_pool.get(submission.pool)
        if link is not None and link.waiting_by_id.pop(submission.submission_id, None) is not None:
            message = SlotWithdraw(submission_id=submission.submission_id, pool=submission.pool)
            out.append(Send(to=link.scheduler, message=message))

    def accept_grant(
        self,
        now: float,
        event: PeerReceived,
        grant: SlotGrant,
        submission: Submission | None,
        out: list[Action],
    ) -> list[int]:
        """Assign the slots of a grant to waiting tasks and release those that are not needed.

        :param submission: None if it has ended or is not known.
        :returns: indexes of the tasks that got a slot.
        """
        current = self.is_from_scheduler(now, grant.pool, event.sender, event.incarnation, out)
        usable = (
            submission is not None
            and current
            and grant.attempt >= submission.min_attempt
            and grant.pool == submission.pool
        )
        taken: list[int] = []
        for placement in grant.placements:
            key = (event.sender, event.incarnation, placement.grant)
            if self._is_duplicate(grant.pool, key, submission, placement.index):
                continue
            if submission is not None and usable and _is_waiting(submission, placement.index):
                self._assign(now, submission, placement, key)
                taken.append(placement.index)
            else:
                self._return_unused(event.sender, grant.pool, placement)
        return taken

    def is_from_scheduler(
        self, now: float, pool: str, host: str, incarnation: int, out: list[Action]
    ) -> bool:
        """Return whether a message is from the current scheduler of the pool.

        A newer incarnation in the message shows that the scheduler has restarted.
        """
        link = self._link_by_pool.get(pool)
        if link is None or link.scheduler != host:
            return False
        if link.incarnation == 0:
            link.incarnation = incarnation
        if incarnation > link.incarnation:
            self._switch_scheduler(now, link, host, incarnation, out)
        link.silent_since = math.inf
        return link.incarnation == incarnation

    def release(
        self,
        pool: str,
        key: GrantKey,
        result: StartResult,
        *,
        run_s: float = 0.0,
        leaving: bool = False,
    ) -> None:
        """Release a slot at the pool's current scheduler, with the result of its start.

        The message is sent at the end of the tick.
        """
        link = self._link_by_pool[pool]
        held = link.slot_by_grant.pop(key, None)
        if held is None:
            return
        assert held.submission.kind is not None
        release = Release(
            grant=key[2],
            upstream=held.upstream,
            kind=held.submission.kind.name,
            result=result,
            run_s=run_s,
            leaving=leaving,
        )
        self._releases[link.scheduler, pool].append(release)

    def advance(self, now: float, out: list[Action]) -> None:
        """Check for changed and silent schedulers, and send the releases of this tick."""
        for link in self._link_by_pool.values():
            if link.is_active and now - link.checked_at >= CHECK_INTERVAL_S:
                self._check_scheduler(now, link, out)
            if link.waiting_by_id and now - link.silent_since >= PROBE_AFTER_S:
                self._membership.probe_soon(link.scheduler)
                link.silent_since = now
        self._flush(out)

    def next_wake(self) -> float:
        """Time of the next check or probe of a scheduler."""
        due = (
            min(link.checked_at + CHECK_INTERVAL_S, link.silent_since + PROBE_AFTER_S)
            for link in self._link_by_pool.values()
            if link.is_active
        )
        return min(due, default=math.inf)

    def dump(self) -> dict[str, object]:
        """Scheduler, waiting submissions and held slots of each pool, as JSON values."""
        return {
            link.pool: {
                "scheduler": link.scheduler,
                "waiting": len(link.waiting_by_id),
                "places": len(link.slot_by_grant),
            }
            for link in self._link_by_pool.values()
        }

    def _is_duplicate(
        self, pool: str, key: GrantKey, submission: Submission | None, index: int
    ) -> bool:
        """Return whether a placement duplicates one that was already accepted."""
        link = self._link_by_pool.get(pool)
        if link is not None and key in link.slot_by_grant:
            return True
        if submission is None or index >= len(submission.tasks):
            return False
        return submission.tasks[index].grant == key

    def _assign(
        self, now: float, submission: Submission, placement: Placement, key: GrantKey
    ) -> None:
        task = submission.tasks[placement.index]
        task.state = TaskState.GRANTED
        task.grant = key
        task.upstream = placement.upstream
        submission.tasks_waiting -= 1
        link = self._link_by_pool[submission.pool]
        size = _size_of(submission, placement.index)
        link.slot_by_grant[key] = HeldSlot(submission, size, task.upstream, now)
        if submission.tasks_waiting == 0:
            link.waiting_by_id.pop(submission.submission_id, None)

    def _return_unused(self, sender: str, pool: str, placement: Placement) -> None:
        release = Release(
            grant=placement.grant,
            upstream=placement.upstream,
            kind="",
            result=StartResult.UNUSED,
            run_s=0.0,
        )
        self._releases[sender, pool].append(release)

    def _check_scheduler(self, now: float, link: PoolLink, out: list[Action]) -> None:
        link.checked_at = now
        config = self._config.current
        if config is None:
            return
        scope = parse_pool_name(link.pool).failure_domain
        host = self._membership.scheduler_for(link.pool, scope)
        incarnation = self._membership.incarnation_of(host) or 0
        if host != link.scheduler or incarnation > link.incarnation:
            self._switch_scheduler(now, link, host, incarnation, out)

    def _switch_scheduler(
        self, now: float, link: PoolLink, host: str, incarnation: int, out: list[Action]
    ) -> None:
        """Switch a pool to a new scheduler or a new incarnation of it.

        Reports the held slots before the slot requests, so that the scheduler does not grant those
        slots again.
        """
        self._flush(out)
        previous, link.scheduler, link.incarnation = link.scheduler, host, incarnation
        if not previous or not link.is_active:
            return
        out.append(Count(metric="slots.scheduler_changed"))
        places = tuple(_held_place_of(now, key, held) for key, held in link.slot_by_grant.items())
        out.append(Send(to=host, message=SlotHeld(pool=link.pool, places=places)))
        withdraw = previous != host and self._membership.is_alive(previous)
        for submission in list(link.waiting_by_id.values()):
            if withdraw:
                message = SlotWithdraw(submission_id=submission.submission_id, pool=link.pool)
                out.append(Send(to=previous, message=message))
            self._send_request(now, link, submission, out)

    def _send_request(
        self, now: float, link: PoolLink, submission: Submission, out: list[Action]
    ) -> None:
        body, kind = submission.body, submission.kind
        assert body is not None and kind is not None
        submission.attempt += 1
        link.waiting_by_id[submission.submission_id] = submission
        request = SlotAsk(
            submission_id=submission.submission_id,
            pool=submission.pool,
            caller=submission.caller,
            team=submission.team,
            kind=kind.name,
            urgency=body.urgency,
            deadline_s=max(0.0, submission.deadline_at - now),
            tasks=tuple(
                _size_of(submission, index)
                for index, task in enumerate(submission.tasks)
                if task.state is TaskState.WAITING
            ),
            attempt=submission.attempt,
            idempotent=body.idempotent,
            gang=body.gang,
            spread_racks=body.spread_racks,
            avoid=submission.avoid,
        )
        out.append(Send(to=link.scheduler, message=request))
        link.silent_since = min(link.silent_since, now)
        self._on_request(now, submission)

    def _flush(self, out: list[Action]) -> None:
        for (host, pool), releases in self._releases.items():
            message = SlotRelease(pool=pool, releases=tuple(releases))
            out.append(Send(to=host, message=message))
        self._releases.clear()


def _is_waiting(submission: Submission, index: int) -> bool:
    tasks = submission.tasks
    return index < len(tasks) and tasks[index].state is TaskState.WAITING


def _size_of(submission: Submission, index: int) -> TaskSize:
    assert submission.body is not None
    spec = submission.body.tasks[index]
    return TaskSize(
        index=index,
        cores=spec.cores,
        memory_mb=spec.memory_mb,
        accelerators=spec.accelerators,
    )


def _held_place_of(now: float, key: GrantKey, held: HeldSlot) -> HeldPlace:
    submission = held.submission
    assert submission.kind is not None
    return HeldPlace(
        submission_id=submission.submission_id,
        caller=submission.caller,
        team=submission.team,
        kind=submission.kind.name,
        upstream=held.upstream,
        size=held.size,
        running_s=now - held.since,
        grant=key[2],
    )
