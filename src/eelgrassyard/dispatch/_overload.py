"""Plan of a queue on the room that is expected, and the jobs that it has no room for.

The load that this answers is a queue that the workers cannot do in time, such as a burst, the
callers that come back after a loss of power, or the loss of half of the workers. Without a plan all
jobs wait until their latest start and the callers of those that are refused then have waited in
vain; the jobs that are served have no time left for a slow worker.

The plan follows Moore and Hodgson's rule, with values: jobs are placed in the order of their latest
starts, and while one would start too late, the job of the lowest value among those placed so far is
taken out again.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ._kind_shares import ShareClass

ESTIMATE_ERROR = 0.4
"""Error of declared run times. A predicted wait is a sum of them, so a job counts as too late only
if it were so with a wait shorter by this part."""

MAX_SKIPPED_PLACES = 8
"""Places that are tried for a task before a plan takes one that is too slow for it."""

MAX_VICTIMS = 8
"""Jobs that may be taken out for one other job; it bounds the time of a plan."""

Key = TypeVar("Key")


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedJob(Generic[Key]):
    """A waiting job in a plan.

    :param latest_start: latest start on the fastest worker.
    :param run_s: declared run time of one task.
    :param fastest: slowness of the fastest worker.
    :param tasks: number of its waiting tasks.
    :param places: places that one task takes.
    :param work: work that is left, in core-seconds.
    :param weight: value per unit of work, without regard to its class.
    :param is_fixed: whether it must not be taken out.
    """

    key: Key
    share: ShareClass
    latest_start: float
    run_s: float
    fastest: float = 1.0
    tasks: int = 1
    places: int = 1
    work: float = 0.0
    weight: float = 1.0
    is_fixed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Eviction(Generic[Key]):
    """A job without room in the plan.

    :param value: its value per unit of work, times the scarcity of its class.
    :param start: its predicted start when it was taken out.
    """

    job: PlannedJob[Key]
    value: float
    start: float


class Room:
    """Places for one task each, and the times at which they become free.

    :param places: for each place the time at which it is free, and the slowness of its worker.
    """

    def __init__(self, *, places: Iterable[tuple[float, float]]) -> None:
        self._places = list(places)
        self._free_at = [free_at for free_at, _ in self._places]
        # Entries whose time is not that of their place any more are outdated.
        self._heap = [(free_at, number) for number, free_at in enumerate(self._free_at)]
        heapq.heapify(self._heap)

    def __len__(self) -> int:
        return len(self._places)

    def first_free(self, count: int) -> float:
        """Time at which so many places are free, if nothing more is placed."""
        times = heapq.nsmallest(min(count, len(self._free_at)), self._free_at)
        return times[-1]

    def take(self, job: PlannedJob[Key]) -> tuple[float, list[tuple[int, float]]]:
        """Place all tasks of a job as early as possible.

        :returns: the start of the last one, and the places with the seconds taken there.
        """
        taken: list[tuple[int, float]] = []
        last_start = 0.0
        for _ in range(job.tasks):
            numbers = [self._take_place(job) for _ in range(min(job.places, len(self._places)))]
            start = max(self._free_at[number] for number in numbers)
            last_start = max(last_start, start)
            for number in numbers:
                end = start + job.run_s * self._places[number][1]
                taken.append((number, end - self._free_at[number]))
                self._set_free_at(number, end)
        return last_start, taken

    def give_back(self, taken: list[tuple[int, float]]) -> None:
        """Let what is placed later start earlier by the seconds that a job had taken."""
        for number, seconds in taken:
            self._set_free_at(number, self._free_at[number] - seconds)

    def _set_free_at(self, number: int, free_at: float) -> None:
        self._free_at[number] = free_at
        heapq.heappush(self._heap, (free_at, number))

    def _take_place(self, job: PlannedJob[Key]) -> int:
        """Remove the place that is free first and fast enough, or the first one, from the heap."""
        skipped: list[tuple[float, int]] = []
        chosen: tuple[float, int] | None = None
        while self._heap and len(skipped) < MAX_SKIPPED_PLACES:
            free_at, number = entry = heapq.heappop(self._heap)
            if self._free_at[number] != free_at:
                continue
            lag_s = job.run_s * (self._places[number][1] - job.fastest)
            if free_at + lag_s <= job.latest_start or free_at >= job.latest_start:
                chosen = entry
                break
            skipped.append(entry)
        if chosen is None:
            chosen = skipped.pop(0)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return chosen[1]


@dataclass(slots=True)
class _Kept(Generic[Key]):
    """Jobs of one class that the plan keeps."""

    weight: float
    work: float = 0.0
    until: float = 0.0
    version: int = 0
    candidates: list[tuple[int, float, int]] = field(default_factory=list)
    """Heap of jobs by size in doublings, latest start, and number in the plan."""


class _Plan(Generic[Key]):
    """One pass over the queue.

    :param scarcity_of: scarcity of a class with its planned work and the seconds that it takes.
    """

    def __init__(
        self,
        *,
        room: Room,
        now: float,
        error: float,
        scarcity_of: Callable[[ShareClass, float, float], float],
    ) -> None:
        self._room = room
        self._now = now
        self._error = error
        self._scarcity_of = scarcity_of
        self._kept_by_class: dict[tuple[ShareClass, float], _Kept[Key]] = {}
        self._class_heap: list[tuple[float, int, tuple[ShareClass, float]]] = []
        self._jobs: list[PlannedJob[Key]] = []
        self._placed: list[tuple[float, list[tuple[int, float]]]] = []
        self.evictions: list[Eviction[Key]] = []

    def place(self, job: PlannedJob[Key], first_start: float) -> None:
        """Place a job, and take others out, or the job itself, if it would start too late.

        :param first_start: its start if no other evictable job were placed.
        """
        number = len(self._jobs)
        self._jobs.append(job)
        self._placed.append((0.0, []))
        self._keep(number)
        if self._is_late(job, first_start):
            self._evict(number, self._value(self._class_of(job)))
            return
        victims: list[tuple[int, float]] = []
        while self._is_late(job, self._placed[number][0]):
            victim, value = self._least_valuable()
            if victim != number and len(victims) == MAX_VICTIMS:
                victim, value = number, self._value(self._class_of(job))
            victims.append((victim, value))
            self._remove(victim)
            if victim == number:
                # The others were taken out in vain.
                for other, _ in victims[:-1]:
                    self._keep(other)
                victims = victims[-1:]
                break
            self._room.give_back(self._placed[number][1])
            self._placed[number] = self._room.take(job)
        for victim, value in victims:
            self._record(victim, value)

    def _is_late(self, job: PlannedJob[Key], start: float) -> bool:
        return start - self._error * (start - self._now) > job.latest_start

    def _class_of(self, job: PlannedJob[Key]) -> tuple[ShareClass, float]:
        return job.share, job.weight

    def _value(self, key: tuple[ShareClass, float]) -> float:
        kept = self._kept_by_class[key]
        horizon_s = max(0.0, kept.until - self._now)
        return kept.weight * self._scarcity_of(key[0], kept.work, horizon_s)

    def _keep(self, number: int) -> None:
        job = self._jobs[number]
        start, taken = self._room.take(job)
        self._placed[number] = start, taken
        key = self._class_of(job)
        kept = self._kept_by_class.setdefault(key, _Kept(weight=job.weight))
        kept.work += job.work
        kept.until = max(kept.until, start)
        size = _doublings(job.work)
        # Of jobs of like size, those with the least time left go first: the others then have time
        # for a slow worker.
        heapq.heappush(kept.candidates, (-size, job.latest_start, number))
        self._changed(key, kept)

    def _changed(self, key: tuple[ShareClass, float], kept: _Kept[Key]) -> None:
        kept.version += 1
        if kept.candidates:
            heapq.heappush(self._class_heap, (self._value(key), kept.version, key))

    def _least_valuable(self) -> tuple[int, float]:
        """Number and value of the job to take out next; one is always kept when this is called."""
        while True:
            value, version, key = self._class_heap[0]
            kept = self._kept_by_class[key]
            if kept.version == version and kept.candidates:
                return kept.candidates[0][2], value
            heapq.heappop(self._class_heap)

    def _remove(self, number: int) -> None:
        job = self._jobs[number]
        key = self._class_of(job)
        kept = self._kept_by_class[key]
        entry = (-_doublings(job.work), job.latest_start, number)
        if kept.candidates[0] == entry:
            heapq.heappop(kept.candidates)
        else:
            kept.candidates.remove(entry)
            heapq.heapify(kept.candidates)
        kept.work = max(0.0, kept.work - job.work)
        self._room.give_back(self._placed[number][1])
        self._changed(key, kept)

    def _evict(self, number: int, value: float) -> None:
        self._remove(number)
        self._record(number, value)

    def _record(self, number: int, value: float) -> None:
        start = self._placed[number][0]
        self.evictions.append(Eviction(job=self._jobs[number], value=value, start=start))


def _doublings(work: float) -> int:
    """Size class of a job in doublings of its work."""
    return max(-40, int(work * 1000.0).bit_length())


def select_evictions(
    jobs: Sequence[PlannedJob[Key]],
    room: Room,
    *,
    now: float,
    error: float,
    scarcity_of: Callable[[ShareClass, float, float], float],
) -> list[Eviction[Key]]:
    """Jobs that must be taken out of the queue so that the others start in time.

    :param jobs: the queue in the order of the latest starts. Fixed jobs are placed before the
        others.
    :param room: room that is free or expected; the jobs that stay are placed on it.
    :param error: part of a predicted wait by which the real one may be shorter; a job is too late
        only if it is so without this part. With a negative part the wait may be longer.
    :param scarcity_of: scarcity of a class with its planned work and the seconds that it takes.
    """
    if not len(room):
        return []
    for job in jobs:
        if job.is_fixed:
            room.take(job)
    plan: _Plan[Key] = _Plan(room=room, now=now, error=error, scarcity_of=scarcity_of)
    evictable = [job for job in jobs if not job.is_fixed]
    first_by_count: dict[int, float] = {}
    for job in evictable:
        count = job.tasks * job.places
        if count not in first_by_count:
            first_by_count[count] = room.first_free(count)
    for job in evictable:
        plan.place(job, first_by_count[job.tasks * job.places])
    return plan.evictions
