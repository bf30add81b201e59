"""Asks for places, and places in use, towards the schedulers of the pools."""

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
from ._pools import pool_scope
from ._records import GrantKey, Submission, TaskState
from ._system import ConfigView, MembershipView

CHECK_INTERVAL_S = 0.25
"""How long a change of scheduler may go unnoticed."""

SILENCE_S = 0.2
"""Time without a message from a scheduler that is asked for places, after which it is probed."""

_DEFAULT_LIMITS = Limits()


@dataclass(slots=True)
class Place:
    """A place in use or held for a task that waits for its record."""

    submission: Submission
    size: TaskSize
    upstream: str
    since: float


@dataclass(slots=True)
class PoolLink:
    """The scheduler of one pool as this host knows it, and what it holds there.

    :param silent_since: time of the first ask since the last message from the scheduler.
    """

    pool: str
    scheduler: str = ""
    incarnation: int = 0
    checked_at: float = -math.inf
    silent_since: float = math.inf
    waiting_by_id: dict[str, Submission] = field(default_factory=dict)
    place_by_grant: dict[GrantKey, Place] = field(default_factory=dict)

    @property
    def is_active(self) -> bool:
        return bool(self.waiting_by_id or self.place_by_grant)


class Slots:
    """Talks to the schedulers of all pools.

    :param on_ask: called after each ask, to set the timer for its repeat.
    """

    def __init__(
        self,
        *,
        identity: HostIdentity,
        config: ConfigView,
        membership: MembershipView,
        on_ask: Callable[[float, Submission], None],
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._on_ask = on_ask
        self._link_by_pool: dict[str, PoolLink] = {}
        self._releases: defaultdict[tuple[str, str], list[Release]] = defaultdict(list)

    def link(self, now: float, pool: str, out: list[Action]) -> PoolLink:
        """The link of a pool, with its scheduler checked a short time ago."""
        link = self._link_by_pool.get(pool)
        if link is None:
            link = self._link_by_pool[pool] = PoolLink(pool)
        if now - link.checked_at >= CHECK_INTERVAL_S:
            self._check(now, link, out)
        return link

    def ask(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Ask for places for all tasks that have none; replaces the earlier ask."""
        link = self.link(now, submission.pool, out)
        self._send_ask(now, link, submission, out)

    def stop_asking(self, now: float, submission: Submission, out: list[Action]) -> None:
        """Withdraw what is still asked for."""
        link = self._link_by_pool.get(submission.pool)
        if link is not None and link.waiting_by_id.pop(submission.text, None) is not None:
            message = SlotWithdraw(submission_id=submission.text, pool=submission.pool)
            out.append(Send(to=link.scheduler, message=message))

    def accept(
        self,
        now: float,
        event: PeerReceived,
        grant: SlotGrant,
        submission: Submission | None,
        out: list[Action],
    ) -> list[int]:
        """Take the places of a grant, giving back what is not needed; returns the task indexes.

        :param submission: None if it has ended or is not known.
        """
        current = self.is_current(now, grant.pool, event.sender, event.incarnation, out)
        usable = (
            submission is not None
            and current
            and grant.attempt >= submission.min_attempt
            and grant.pool == submission.pool
        )
        taken: list[int] = []
        for placement in grant.placements:
            key = (event.sender, event.incarnation, placement.grant)
            if self._is_known(grant.pool, key, submission, placement.index):
                continue
            if submission is not None and usable and _is_waiting(submission, placement.index):
                self._take(now, submission, placement, key)
                taken.append(placement.index)
            else:
                self._return(event.sender, grant.pool, placement)
        return taken

    def is_current(
        self, now: float, pool: str, host: str, incarnation: int, out: list[Action]
    ) -> bool:
        """Tell whether a message is from the pool's scheduler, learning of its restart."""
        link = self._link_by_pool.get(pool)
        if link is None or link.scheduler != host:
            return False
        if link.incarnation == 0:
            link.incarnation = incarnation
        if incarnation > link.incarnation:
            self._change(now, link, host, incarnation, out)
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
        """Give a place back to the present scheduler and report how its start went."""
        link = self._link_by_pool[pool]
        place = link.place_by_grant.pop(key, None)
        if place is None:
            return
        assert place.submission.kind is not None
        release = Release(
            grant=key[2],
            upstream=place.upstream,
            kind=place.submission.kind.name,
            result=result,
            run_s=run_s,
            leaving=leaving,
        )
        self._releases[link.scheduler, pool].append(release)

    def advance(self, now: float, out: list[Action]) -> None:
        """Notice changes of scheduler, and send the releases of this tick."""
        for link in self._link_by_pool.values():
            if link.is_active and now - link.checked_at >= CHECK_INTERVAL_S:
                self._check(now, link, out)
            if link.waiting_by_id and now - link.silent_since >= SILENCE_S:
                self._membership.request_probe(link.scheduler)
                link.silent_since = now
        self._flush(out)

    def next_wake(self) -> float:
        """Time of the next check of a scheduler."""
        due = (
            min(link.checked_at + CHECK_INTERVAL_S, link.silent_since + SILENCE_S)
            for link in self._link_by_pool.values()
            if link.is_active
        )
        return min(due, default=math.inf)

    def dump(self) -> dict[str, object]:
        """The pools that this host uses."""
        return {
            link.pool: {
                "scheduler": link.scheduler,
                "waiting": len(link.waiting_by_id),
                "places": len(link.place_by_grant),
            }
            for link in self._link_by_pool.values()
        }

    def _is_known(
        self, pool: str, key: GrantKey, submission: Submission | None, index: int
    ) -> bool:
        """Tell whether a placement is a duplicate of one that was taken."""
        link = self._link_by_pool.get(pool)
        if link is not None and key in link.place_by_grant:
            return True
        if submission is None or index >= len(submission.tasks):
            return False
        return submission.tasks[index].grant == key

    def _take(
        self, now: float, submission: Submission, placement: Placement, key: GrantKey
    ) -> None:
        task = submission.tasks[placement.index]
        task.state = TaskState.GRANTED
        task.grant = key
        task.upstream = placement.upstream
        submission.waiting -= 1
        link = self._link_by_pool[submission.pool]
        size = _size_of(submission, placement.index)
        link.place_by_grant[key] = Place(submission, size, task.upstream, now)
        if submission.waiting == 0:
            link.waiting_by_id.pop(submission.text, None)

    def _return(self, sender: str, pool: str, placement: Placement) -> None:
        release = Release(
            grant=placement.grant,
            upstream=placement.upstream,
            kind="",
            result=StartResult.UNUSED,
            run_s=0.0,
        )
        self._releases[sender, pool].append(release)

    def _check(self, now: float, link: PoolLink, out: list[Action]) -> None:
        link.checked_at = now
        config = self._config.current
        if config is None:
            return
        scope = pool_scope(link.pool).failure_domain
        host = self._membership.scheduler_for(link.pool, scope)
        incarnation = self._membership.incarnation_of(host) or 0
        if host != link.scheduler or incarnation > link.incarnation:
            self._change(now, link, host, incarnation, out)

    def _change(
        self, now: float, link: PoolLink, host: str, incarnation: int, out: list[Action]
    ) -> None:
        """Tell a new scheduler what is held, then ask it for all that is waited for."""
        self._flush(out)
        previous, link.scheduler, link.incarnation = link.scheduler, host, incarnation
        if not previous or not link.is_active:
            return
        out.append(Count(metric="slots.scheduler_changed"))
        places = tuple(_held(now, key, place) for key, place in link.place_by_grant.items())
        out.append(Send(to=host, message=SlotHeld(pool=link.pool, places=places)))
        withdraw = previous != host and self._membership.is_alive(previous)
        for submission in list(link.waiting_by_id.values()):
            if withdraw:
                message = SlotWithdraw(submission_id=submission.text, pool=link.pool)
                out.append(Send(to=previous, message=message))
            self._send_ask(now, link, submission, out)

    def _send_ask(
        self, now: float, link: PoolLink, submission: Submission, out: list[Action]
    ) -> None:
        body, kind = submission.body, submission.kind
        assert body is not None and kind is not None
        submission.attempt += 1
        link.waiting_by_id[submission.text] = submission
        ask = SlotAsk(
            submission_id=submission.text,
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
        out.append(Send(to=link.scheduler, message=ask))
        link.silent_since = min(link.silent_since, now)
        self._on_ask(now, submission)

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


def _held(now: float, key: GrantKey, place: Place) -> HeldPlace:
    submission = place.submission
    assert submission.kind is not None
    return HeldPlace(
        submission_id=submission.text,
        caller=submission.caller,
        team=submission.team,
        kind=submission.kind.name,
        upstream=place.upstream,
        size=place.size,
        running_s=now - place.since,
        grant=key[2],
    )
