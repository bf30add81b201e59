"""Free cores, memory and accelerators of guarded workers."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass

from ._config import UpstreamEntry
from ._events import UsageReported
from ._feasibility import gang_too_large, growing_counts, holds, task_too_large
from ._learnedsizes import LearnedSizes, group_by_kind
from ._messages import TaskSize
from ._workercapacity import (
    TOLERANCE,
    CapacityIndex,
    FreeCapacity,
    HeldGroup,
    Hold,
    Resources,
    SizeKey,
    size_key,
)

RACK_TRIES = 4
"""Racks tried for a spread task before any worker will do; a full pool has few racks with room."""

PARKED_TRIES = 4
"""Unusable workers looked at again in each call, so that one that recovers is found soon."""


@dataclass(slots=True, kw_only=True)
class _Search:
    """One call's conditions, and the rack that it used last."""

    usable: Collection[str]
    avoid: Collection[str]
    spread: bool
    tasks: int
    rack: str | None = None


class WorkerPlacement:
    """Places tasks on the worker with the tightest room, so that large holes stay whole.

    The cost of a task does not depend on the number of workers.
    """

    def __init__(self) -> None:
        self._room_by_name: dict[str, FreeCapacity] = {}
        self._index = CapacityIndex()
        self._index_by_rack: dict[str, CapacityIndex] = {}
        self._racks: list[str] = []
        self._next_rack = 0
        self._parked: dict[str, None] = {}
        self._reserved: frozenset[str] = frozenset()
        self._shapes: Counter[SizeKey] = Counter()
        self._learned = LearnedSizes()
        self._without_work: WorkerPlacement | None = None
        self._free_cores = 0.0

    def set_workers(self, workers: Iterable[UpstreamEntry]) -> None:
        """Replace the table of workers, keeping what is in use."""
        old_by_name = self._room_by_name
        self._room_by_name = {}
        self._index = CapacityIndex()
        self._index_by_rack = defaultdict(CapacityIndex)
        self._parked.clear()
        self._shapes.clear()
        self._without_work = None
        self._free_cores = 0.0
        for entry in workers:
            room = FreeCapacity.empty(entry)
            old = old_by_name.get(entry.name)
            if old is not None:
                room.held_by_size = old.held_by_size
                for group in room.held_by_size.values():
                    room.add(group.need, group.count)
            self._room_by_name[entry.name] = room
            self._shapes[(entry.cores, entry.memory_mb, entry.accelerators)] += 1
            self._free_cores += max(0.0, room.cores)
            self._reindex(room)
        self._racks = sorted(self._index_by_rack)
        self._reserved &= self._room_by_name.keys()

    def infeasible_reason(self, kind: str, sizes: Sequence[TaskSize], *, gang: bool) -> str | None:
        """Reason why the tasks can never run on these workers, or None.

        A gang is tried on a copy of the pool without any work, with sizes as learned so far.
        """
        counts = Counter(size_key(size) for size in sizes)
        reason = task_too_large(self._shapes, counts)
        if reason is not None or not gang:
            return reason
        needs: Counter[Resources] = Counter()
        for key, count in counts.items():
            needs[self._need_of(kind, key)] += count
        reason = gang_too_large(self._shapes, needs)
        if reason is not None or self._fits_without_work(kind, sizes):
            return reason
        return f"the {len(sizes)} tasks of the gang do not fit the workers even without other work"

    def place(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        *,
        usable: Collection[str],
        avoid: Collection[str] = (),
        spread_racks: bool = False,
        reservation: bool = False,
    ) -> list[str] | None:
        """Reserve room for all of the tasks; returns the worker of each, or None if any fails.

        :param usable: names of workers that may get new work.
        :param reservation: the tasks may use the workers that :meth:`reserve` set aside; the
            reservation ends when they get a place.
        """
        if len(sizes) > 1 and not self._has_room(kind, sizes):
            return None
        reserved = self._reserved
        if reservation:
            self._set_reserved(frozenset())
        places = self._fill(kind, sizes, usable=usable, avoid=avoid, spread_racks=spread_racks)
        if reservation and len(places) < len(sizes):
            self._set_reserved(reserved)
        if len(places) < len(sizes):
            for index, name in places.items():
                self.release(name, kind, sizes[index])
            return None
        return [places[index] for index in range(len(sizes))]

    def place_some(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        *,
        usable: Collection[str],
        avoid: Collection[str] = (),
        spread_racks: bool = False,
    ) -> list[str]:
        """Reserve room for as many of the first tasks as fit; returns the worker of each."""
        names: list[str] = []
        for _, run in itertools.groupby(sizes, key=size_key):
            tasks = list(run)
            places = self._fill(kind, tasks, usable=usable, avoid=avoid, spread_racks=spread_racks)
            names.extend(places[index] for index in range(len(places)))
            if len(places) < len(tasks):
                break
        return names

    def hold(self, worker: str, kind: str, size: TaskSize) -> None:
        """Note a task that already runs on a worker."""
        room = self._room_by_name.get(worker)
        if room is not None:
            self._take(room, kind, size, self.need(kind, size), 1)

    def release(self, worker: str, kind: str, size: TaskSize, *, hold: Hold = Hold.FULL) -> None:
        """Give the room of a task back."""
        room = self._room_by_name.get(worker)
        key = (kind, size_key(size), hold)
        group = room.held_by_size.get(key) if room is not None else None
        if room is None or group is None:
            return
        group.count -= 1
        if not group.count:
            del room.held_by_size[key]
        self._change(room, group.need, -1)

    def rehold(self, worker: str, kind: str, size: TaskSize, before: Hold, after: Hold) -> None:
        """Change what a started task holds when it is paused or resumed."""
        self.release(worker, kind, size, hold=before)
        room = self._room_by_name.get(worker)
        if room is not None:
            self._take(room, kind, size, self.need(kind, size, after), 1, after)

    def need(self, kind: str, size: TaskSize, hold: Hold = Hold.FULL) -> Resources:
        """Room that a task of a kind and declared size takes."""
        return self._need_of(kind, size_key(size)).under(hold)

    def free(self, worker: str) -> Resources:
        """Room that a worker has."""
        room = self._room_by_name.get(worker)
        if room is None:
            return Resources(0.0, 0.0, 0)
        return Resources(room.cores, room.memory_mb, room.accelerators)

    def fits_more(self, worker: str, kind: str, size: TaskSize, hold: Hold) -> bool:
        """Tell whether a paused task may have its full room back."""
        room = self._room_by_name.get(worker)
        if room is None or worker in self._reserved:
            return False
        full, held = self.need(kind, size), self.need(kind, size, hold)
        more = Resources(
            full.cores - held.cores,
            full.memory_mb - held.memory_mb,
            full.accelerators - held.accelerators,
        )
        return room.fits(more) > 0

    def note_usage(self, now: float, report: UsageReported) -> None:
        """Learn from a usage report, which lags.

        The mean over the reported tasks of a kind is compared with the mean declared size of the
        tasks of that kind that the worker holds.
        """
        room = self._room_by_name.get(report.upstream)
        if room is None:
            return
        for kind, entries in group_by_kind(report.tasks).items():
            groups = {key: group for key, group in room.held_by_size.items() if key[0] == kind}
            declared = {key[1]: group.count for key, group in groups.items()}
            if self._learned.learn(kind, entries, declared):
                for key, group in groups.items():
                    self._resize(room, group, self._need_of(kind, key[1]).under(key[2]))

    def reserve(self, kind: str, sizes: Sequence[TaskSize], *, usable: Collection[str]) -> None:
        """Set workers aside for a gang that finds no room while smaller tasks do.

        They take no other work until :meth:`cancel_reservation`, so the gang fits once their
        running tasks have ended. There is one reservation at a time: two could each hold what the
        other needs.
        """
        self.cancel_reservation()
        rooms = [room for name, room in self._room_by_name.items() if name in usable]
        rooms.sort(key=lambda room: (-room.cores, room.entry.name))
        trial = WorkerPlacement()
        trial._learned = self._learned
        for count in growing_counts(len(rooms)):
            trial.set_workers(room.entry for room in rooms[:count])
            if trial._fits_in(kind, sizes):
                self._set_reserved(frozenset(room.entry.name for room in rooms[:count]))
                return

    def cancel_reservation(self) -> None:
        """Let all work use the workers that were set aside."""
        self._set_reserved(frozenset())

    def dump(self) -> dict[str, object]:
        """Free room by worker and learned sizes by kind."""
        return {
            "workers": {
                name: {
                    "cores": round(room.cores, 3),
                    "memory_mb": round(room.memory_mb),
                    "accelerators": room.accelerators,
                }
                for name, room in self._room_by_name.items()
            },
            "reserved": sorted(self._reserved),
            "learned": self._learned.dump(),
        }

    # Search

    def _has_room(self, kind: str, sizes: Sequence[TaskSize]) -> bool:
        """Tell quickly that a gang cannot fit now; it is tried each time that room is freed."""
        counts = Counter(size_key(size) for size in sizes)
        cores = sum(self._need_of(kind, key).cores * count for key, count in counts.items())
        return cores <= self._free_cores + TOLERANCE

    def _fits_without_work(self, kind: str, sizes: Sequence[TaskSize]) -> bool:
        if self._without_work is None:
            self._without_work = WorkerPlacement()
            self._without_work._learned = self._learned
            self._without_work.set_workers(room.entry for room in self._room_by_name.values())
        return self._without_work._fits_in(kind, sizes)

    def _fits_in(self, kind: str, sizes: Sequence[TaskSize]) -> bool:
        places = self._fill(
            kind, sizes, usable=self._room_by_name.keys(), avoid=(), spread_racks=False
        )
        for index, name in places.items():
            self.release(name, kind, sizes[index])
        return len(places) == len(sizes)

    def _fill(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        *,
        usable: Collection[str],
        avoid: Collection[str],
        spread_racks: bool,
    ) -> dict[int, str]:
        """Place tasks, largest first, until one finds no room; returns workers by position."""
        order = sorted(range(len(sizes)), key=lambda i: size_key(sizes[i])[::-1], reverse=True)
        search = _Search(usable=usable, avoid=avoid, spread=spread_racks, tasks=len(sizes))
        self._look_at_parked(usable)
        places: dict[int, str] = {}
        for _, run in itertools.groupby(order, key=lambda i: size_key(sizes[i])):
            positions = list(run)
            need = self.need(kind, sizes[positions[0]])
            if not self._fill_run(kind, sizes, positions, need, search, places):
                break
        return places

    def _fill_run(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        positions: list[int],
        need: Resources,
        search: _Search,
        places: dict[int, str],
    ) -> bool:
        done = 0
        while done < len(positions):
            name = self._find(need, search)
            if name is None:
                return False
            room = self._room_by_name[name]
            count = min(room.fits(need), len(positions) - done)
            if search.spread:
                count = min(count, max(1, -(-search.tasks // len(self._racks))))
            self._take(room, kind, sizes[positions[done]], need, count)
            places.update((position, name) for position in positions[done : done + count])
            done += count
        return True

    def _find(self, need: Resources, search: _Search) -> str | None:
        def accept(name: str) -> bool:
            if name not in search.usable:
                unusable.append(name)
                return False
            return name not in search.avoid and self._room_by_name[name].fits(need) > 0

        unusable: list[str] = []
        found: str | None = None
        for index in self._indexes(search):
            found = index.find(need, accept)
            if found is not None:
                break
        for name in unusable:
            self._parked[name] = None
            self._reindex(self._room_by_name[name])
        if found is not None:
            search.rack = self._room_by_name[found].entry.rack
        return found

    def _indexes(self, search: _Search) -> Iterator[CapacityIndex]:
        if search.spread:
            for _ in range(min(RACK_TRIES, len(self._racks))):
                self._next_rack = (self._next_rack + 1) % len(self._racks)
                yield self._index_by_rack[self._racks[self._next_rack]]
        elif search.rack is not None:
            yield self._index_by_rack[search.rack]
        yield self._index

    # Room

    def _need_of(self, kind: str, size: SizeKey) -> Resources:
        cores, memory = self._learned.factors(kind)
        if cores == 1.0 and memory == 1.0:
            return Resources(*size)
        # A task whose learned size is above every worker still runs, alone on the largest one.
        shapes = [shape for shape in self._shapes if holds(shape, size)]
        most_cores = max((shape[0] for shape in shapes), default=size[0])
        most_memory = max((shape[1] for shape in shapes), default=size[1])
        return Resources(
            min(size[0] * cores, most_cores), min(size[1] * memory, most_memory), size[2]
        )

    def _take(
        self,
        room: FreeCapacity,
        kind: str,
        size: TaskSize,
        need: Resources,
        count: int,
        hold: Hold = Hold.FULL,
    ) -> None:
        key = (kind, size_key(size), hold)
        group = room.held_by_size.setdefault(key, HeldGroup(need))
        self._resize(room, group, need)
        group.count += count
        self._change(room, need, count)

    def _resize(self, room: FreeCapacity, group: HeldGroup, need: Resources) -> None:
        if group.need != need:
            self._change(room, group.need, -group.count)
            group.need = need
            self._change(room, need, group.count)

    def _change(self, room: FreeCapacity, need: Resources, count: int) -> None:
        free = max(0.0, room.cores)
        room.add(need, count)
        self._free_cores += max(0.0, room.cores) - free
        self._reindex(room)

    def _reindex(self, room: FreeCapacity) -> None:
        name = room.entry.name
        for index in (self._index, self._index_by_rack[room.entry.rack]):
            if name in self._parked or name in self._reserved:
                index.remove(name)
            else:
                index.update(room)

    def _set_reserved(self, names: frozenset[str]) -> None:
        changed = self._reserved | names
        self._reserved = names
        for name in sorted(changed):
            self._reindex(self._room_by_name[name])

    def _look_at_parked(self, usable: Collection[str]) -> None:
        for name in list(itertools.islice(self._parked, PARKED_TRIES)):
            del self._parked[name]
            if name in usable:
                self._reindex(self._room_by_name[name])
            else:
                self._parked[name] = None
