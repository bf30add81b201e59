"""Index of a pool's upstreams by speed class, for one kind of work."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from .._speeds import MIN_SPEED, class_speed, speed_class

WAIT = ""
"""Result of a choice: a slot is free, but waiting for a faster one costs less."""

WAIT_COST_FACTOR = 10.0
"""Cost of a second of waiting relative to a second of run time. It is above 1 because a task that
waits also delays the tasks behind it."""

LAST_RESORT = speed_class(MIN_SPEED) + 1
"""Class of failing upstreams that stay in use because too many others are ejected already. It ranks
behind all other classes."""


@dataclass(slots=True)
class SpeedClass:
    """Upstreams of about the same speed.

    :param speed: run time at speed 1.0 divided by the run time here.
    :param free: names of upstreams with a free slot, in the order in which they became free.
    :param members: number of upstreams.
    :param rate: slots that become free per second when all of them are in use.
    """

    speed: float
    free: dict[str, None] = field(default_factory=dict)
    members: int = 0
    rate: float = 0.0


@dataclass(slots=True)
class _Member:
    number: int
    rate: float


class SpeedClassIndex:
    """Speed classes for one kind.

    The time of every operation is bounded by the number of classes.
    """

    def __init__(self) -> None:
        self._class_by_number: dict[int, SpeedClass] = {}
        self._ordered: list[SpeedClass] = []
        self._member_by_name: dict[str, _Member] = {}

    def put(self, name: str, number: int, rate: float, *, free: bool) -> None:
        """Add an upstream, or update its class, rate and free slot.

        :param number: number of the speed class.
        """
        member = self._member_by_name.get(name)
        if member is None:
            self._member_by_name[name] = _Member(number, rate)
            entered = self._join_class(number)
            entered.rate += rate
        elif member.number != number:
            self._leave_class(name, member)
            member.number = number
            member.rate = rate
            entered = self._join_class(number)
            entered.rate += rate
        else:
            entered = self._class_by_number[number]
            entered.rate += rate - member.rate
            member.rate = rate
        if free:
            entered.free[name] = None
        else:
            entered.free.pop(name, None)

    def set_free(self, name: str, free: bool) -> None:
        """Record whether an upstream has a free slot."""
        member = self._member_by_name.get(name)
        if member is None:
            return
        names = self._class_by_number[member.number].free
        if free:
            names[name] = None
        else:
            names.pop(name, None)

    def remove(self, name: str) -> None:
        """Remove an upstream that must not get work."""
        member = self._member_by_name.pop(name, None)
        if member is not None:
            self._leave_class(name, member)

    def choose(self, work_s: float, ahead: int, avoid: Collection[str]) -> str | None:
        """Fastest upstream with a free slot, ``WAIT`` if waiting is better, None if none is free.

        Waiting is better if ``WAIT_COST_FACTOR`` times the expected wait for a faster slot, plus
        the run time there, is shorter than the run time on the fastest free slot.

        :param work_s: mean run time of the task at speed 1.0.
        :param ahead: number of tasks that already wait for a faster slot.
        :param avoid: names of upstreams that must not be chosen.
        """
        wait_cost = math.inf
        rate = 0.0
        for entry in self._ordered:
            run_s = work_s / entry.speed
            if entry.free:
                if run_s > wait_cost:
                    return WAIT
                name = _first(entry.free, avoid)
                if name is not None:
                    return name
            rate += entry.rate
            if rate > 0.0:
                cost = WAIT_COST_FACTOR * (ahead + 1) / rate + run_s
                if cost < wait_cost:
                    wait_cost = cost
        return None

    def _join_class(self, number: int) -> SpeedClass:
        entry = self._class_by_number.get(number)
        if entry is None:
            entry = self._class_by_number[number] = SpeedClass(class_speed(number))
            self._sort()
        entry.members += 1
        return entry

    def _leave_class(self, name: str, member: _Member) -> None:
        entry = self._class_by_number[member.number]
        entry.free.pop(name, None)
        entry.members -= 1
        entry.rate -= member.rate
        if entry.members == 0:
            del self._class_by_number[member.number]
            self._sort()

    def _sort(self) -> None:
        self._ordered = [self._class_by_number[number] for number in sorted(self._class_by_number)]


def _first(names: dict[str, None], avoid: Collection[str]) -> str | None:
    if not avoid:
        return next(iter(names))
    return next((name for name in names if name not in avoid), None)
