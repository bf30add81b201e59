"""Upstreams of a pool by speed class, for one kind of work."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from .._speeds import MIN_SPEED, class_speed, speed_class

WAIT = ""
"""Result of a choice: a free slot exists, but waiting for a faster one is shorter."""

WAIT_WEIGHT = 10.0
"""Weight of waiting time against run time. A task that waits also delays the tasks behind it, which
its own wait does not show."""

LAST_RESORT = speed_class(MIN_SPEED) + 1
"""Class of upstreams that fail but that the ejection floor keeps in use."""


@dataclass(slots=True)
class SpeedClass:
    """Upstreams of about the same speed.

    :param free: names of upstreams with a free slot, in the order in which they became free.
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
    """Speed classes for one kind; every operation costs at most the number of classes."""

    def __init__(self) -> None:
        self._class_by_number: dict[int, SpeedClass] = {}
        self._ordered: list[SpeedClass] = []
        self._member_by_name: dict[str, _Member] = {}

    def put(self, name: str, number: int, rate: float, *, free: bool) -> None:
        """Add an upstream or move it to another class."""
        member = self._member_by_name.get(name)
        if member is None:
            self._member_by_name[name] = _Member(number, rate)
            entered = self._enter(number)
            entered.rate += rate
        elif member.number != number:
            self._leave(name, member)
            member.number = number
            member.rate = rate
            entered = self._enter(number)
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
        """Note that an upstream has a free slot or has none."""
        member = self._member_by_name.get(name)
        if member is None:
            return
        names = self._class_by_number[member.number].free
        if free:
            names[name] = None
        else:
            names.pop(name, None)

    def remove(self, name: str) -> None:
        """Drop an upstream that must not get work."""
        member = self._member_by_name.pop(name, None)
        if member is not None:
            self._leave(name, member)

    def choose(self, work_s: float, ahead: int, avoid: Collection[str]) -> str | None:
        """Fastest upstream with a free slot, ``WAIT`` if waiting is better, None if none is free.

        Waiting is better if the expected wait for a faster slot plus the run time there is
        shorter than the run time on the fastest free slot.

        :param work_s: mean run time of the task at speed 1.0.
        :param ahead: tasks that already wait for a faster slot.
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
                cost = WAIT_WEIGHT * (ahead + 1) / rate + run_s
                if cost < wait_cost:
                    wait_cost = cost
        return None

    def _enter(self, number: int) -> SpeedClass:
        entry = self._class_by_number.get(number)
        if entry is None:
            entry = self._class_by_number[number] = SpeedClass(class_speed(number))
            self._sort()
        entry.members += 1
        return entry

    def _leave(self, name: str, member: _Member) -> None:
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
