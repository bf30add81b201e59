"""Placement of tasks on guarded workers by free cores, memory and accelerators."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass

from ._config import UpstreamEntry
from ._events import UsageReported
from ._feasibility import can_hold, gang_too_large, growing_counts, task_too_large
from ._learned_sizes import LearnedSizes, group_by_kind
from ._messages import TaskSize
from ._worker_capacity import (
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
"""Racks tried for a task to be spread before any worker is accepted. In a full pool, few racks have
free capacity."""

UNUSABLE_RECHECKS = 4
"""Unusable workers rechecked in each placement, so that a recovered one is soon in use again."""


@dataclass(slots=True, kw_only=True)
class _Search:
    """Constraints of one placement, and the rack of the worker chosen last.

    :param spread: spread the tasks over racks rather than keep them on one.
    """

    usable: Collection[str]
    avoid: Collection[str]
    spread: bool
    tasks: int
    rack: str | None = None


class WorkerPlacement:
    """Places tasks by best fit, so that large blocks of free capacity stay whole.

    Tracks what each worker has in use. The time to place a task does not depend on the number of
    workers.
    """

    def __init__(self) -> None:
        self._capacity_by_name: dict[str, FreeCapacity] = {}
        self._index = CapacityIndex()
        self._index_by_rack: dict[str, CapacityIndex] = {}
        self._racks: list[str] = []
        self._next_rack = 0
        self._unusable: dict[str, None] = {}
        self._reserved: frozenset[str] = frozenset()
        self._shapes: Counter[SizeKey] = Counter()
        self._learned = LearnedSizes()
        self._empty_copy: WorkerPlacement | None = None
        self._free_cores = 0.0

    def set_workers(self, workers: Iterable[UpstreamEntry]) -> None:
        """Replace the set of workers, keeping what is in use on those that remain."""
        old_by_name = self._capacity_by_name
        self._capacity_by_name = {}
        self._index = CapacityIndex()
        self._index_by_rack = defaultdict(CapacityIndex)
        self._unusable.clear()
        self._shapes.clear()
        self._empty_copy = None
        self._free_cores = 0.0
        for entry in workers:
            capacity = FreeCapacity.of_idle_worker(entry)
            old = old_by_name.get(entry.name)
            if old is not None:
                capacity.held_by_size = old.held_by_size
                for group in capacity.held_by_size.values():
                    capacity.reserve(group.need, group.count)
            self._capacity_by_name[entry.name] = capacity
            self._shapes[(entry.cores, entry.memory_mb, entry.accelerators)] += 1
            self._free_cores += max(0.0, capacity.cores)
            self._reindex(capacity)
        self._racks = sorted(self._index_by_rack)
        self._reserved &= self._capacity_by_name.keys()

    def infeasible_reason(self, kind: str, sizes: Sequence[TaskSize], *, gang: bool) -> str | None:
        """Reason why the tasks can never run on these workers, or None.

        A gang is tried on an idle copy of the pool, with the sizes learned so far.
        """
        counts = Counter(size_key(size) for size in sizes)
        reason = task_too_large(self._shapes, counts)
        if reason is not None or not gang:
            return reason
        needs: Counter[Resources] = Counter()
        for key, count in counts.items():
            needs[self._required(kind, key)] += count
        reason = gang_too_large(self._shapes, needs)
        if reason is not None or self._fits_when_empty(kind, sizes):
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
        """Allocate capacity for all of the tasks; returns their workers, or None if any fails.

        :param usable: names of workers that may get new work.
        :param reservation: the tasks may use the workers that :meth:`reserve` has reserved; the
            reservation ends when the tasks are placed.
        """
        if len(sizes) > 1 and not self._has_free_cores(kind, sizes):
            return None
        reserved = self._reserved
        if reservation:
            self._set_reserved(frozenset())
        worker_by_position = self._place_tasks(
            kind, sizes, usable=usable, avoid=avoid, spread_racks=spread_racks
        )
        if reservation and len(worker_by_position) < len(sizes):
            self._set_reserved(reserved)
        if len(worker_by_position) < len(sizes):
            for index, name in worker_by_position.items():
                self.release(name, kind, sizes[index])
            return None
        return [worker_by_position[index] for index in range(len(sizes))]

    def place_some(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        *,
        usable: Collection[str],
        avoid: Collection[str] = (),
        spread_racks: bool = False,
    ) -> list[str]:
        """Allocate capacity for as many of the first tasks as fit; returns the worker of each."""
        names: list[str] = []
        for _, run in itertools.groupby(sizes, key=size_key):
            tasks = list(run)
            worker_by_position = self._place_tasks(
                kind, tasks, usable=usable, avoid=avoid, spread_racks=spread_racks
            )
            names.extend(worker_by_position[index] for index in range(len(worker_by_position)))
            if len(worker_by_position) < len(tasks):
                break
        return names

    def add_running(self, worker: str, kind: str, size: TaskSize) -> None:
        """Account for a task that already runs on a worker."""
        capacity = self._capacity_by_name.get(worker)
        if capacity is not None:
            self._reserve(capacity, kind, size, self.need(kind, size), 1)

    def release(self, worker: str, kind: str, size: TaskSize, *, hold: Hold = Hold.FULL) -> None:
        """Free the capacity that a task holds."""
        capacity = self._capacity_by_name.get(worker)
        key = (kind, size_key(size), hold)
        group = capacity.held_by_size.get(key) if capacity is not None else None
        if capacity is None or group is None:
            return
        group.count -= 1
        if not group.count:
            del capacity.held_by_size[key]
        self._change_usage(capacity, group.need, -1)

    def change_hold(
        self, worker: str, kind: str, size: TaskSize, before: Hold, after: Hold
    ) -> None:
        """Change what a started task holds of its worker when it is paused or resumed."""
        self.release(worker, kind, size, hold=before)
        capacity = self._capacity_by_name.get(worker)
        if capacity is not None:
            self._reserve(capacity, kind, size, self.need(kind, size, after), 1, after)

    def need(self, kind: str, size: TaskSize, hold: Hold = Hold.FULL) -> Resources:
        """Resources reserved for a task of a kind and declared size, with learned factors."""
        return self._required(kind, size_key(size)).for_hold(hold)

    def free(self, worker: str) -> Resources:
        """Free resources of a worker; none if it is unknown."""
        capacity = self._capacity_by_name.get(worker)
        if capacity is None:
            return Resources(0.0, 0.0, 0)
        return Resources(capacity.cores, capacity.memory_mb, capacity.accelerators)

    def can_resume(self, worker: str, kind: str, size: TaskSize, hold: Hold) -> bool:
        """Whether a paused task can get its full resources back; never on a reserved worker."""
        capacity = self._capacity_by_name.get(worker)
        if capacity is None or worker in self._reserved:
            return False
        full, held = self.need(kind, size), self.need(kind, size, hold)
        more = Resources(
            full.cores - held.cores,
            full.memory_mb - held.memory_mb,
            full.accelerators - held.accelerators,
        )
        return capacity.max_tasks(more) > 0

    def record_usage(self, now: float, report: UsageReported) -> None:
        """Update learned sizes from a usage report and resize what is in use on its worker.

        The mean use of the reported tasks of a kind is compared with the mean declared size of the
        tasks of that kind on the worker, because reports lag and may cover other tasks.
        """
        capacity = self._capacity_by_name.get(report.upstream)
        if capacity is None:
            return
        for kind, entries in group_by_kind(report.tasks).items():
            groups = {key: group for key, group in capacity.held_by_size.items() if key[0] == kind}
            declared = {key[1]: group.count for key, group in groups.items()}
            if self._learned.learn(kind, entries, declared):
                for key, group in groups.items():
                    self._resize(capacity, group, self._required(kind, key[1]).for_hold(key[2]))

    def reserve(self, kind: str, sizes: Sequence[TaskSize], *, usable: Collection[str]) -> None:
        """Reserve workers for a gang that does not fit while smaller tasks do.

        They get no other work until :meth:`cancel_reservation`, so the gang fits once their running
        tasks have ended. There is at most one reservation, since two could deadlock by each holding
        what the other needs.
        """
        self.cancel_reservation()
        candidates = [
            capacity for name, capacity in self._capacity_by_name.items() if name in usable
        ]
        candidates.sort(key=lambda capacity: (-capacity.cores, capacity.entry.name))
        trial = WorkerPlacement()
        trial._learned = self._learned
        for count in growing_counts(len(candidates)):
            trial.set_workers(capacity.entry for capacity in candidates[:count])
            if trial._can_place(kind, sizes):
                self._set_reserved(
                    frozenset(capacity.entry.name for capacity in candidates[:count])
                )
                return

    def cancel_reservation(self) -> None:
        """Make the reserved workers available to all work."""
        self._set_reserved(frozenset())

    def dump(self) -> dict[str, object]:
        """Free capacity by worker, reserved workers and learned factors by kind, as JSON values."""
        return {
            "workers": {
                name: {
                    "cores": round(capacity.cores, 3),
                    "memory_mb": round(capacity.memory_mb),
                    "accelerators": capacity.accelerators,
                }
                for name, capacity in self._capacity_by_name.items()
            },
            "reserved": sorted(self._reserved),
            "learned": self._learned.dump(),
        }

    # Search

    def _has_free_cores(self, kind: str, sizes: Sequence[TaskSize]) -> bool:
        """Whether enough cores are free in total.

        It is a cheap check, as a waiting gang is tried each time that capacity is freed.
        """
        counts = Counter(size_key(size) for size in sizes)
        cores = sum(self._required(kind, key).cores * count for key, count in counts.items())
        return cores <= self._free_cores + TOLERANCE

    def _fits_when_empty(self, kind: str, sizes: Sequence[TaskSize]) -> bool:
        if self._empty_copy is None:
            self._empty_copy = WorkerPlacement()
            self._empty_copy._learned = self._learned
            self._empty_copy.set_workers(
                capacity.entry for capacity in self._capacity_by_name.values()
            )
        return self._empty_copy._can_place(kind, sizes)

    def _can_place(self, kind: str, sizes: Sequence[TaskSize]) -> bool:
        worker_by_position = self._place_tasks(
            kind, sizes, usable=self._capacity_by_name.keys(), avoid=(), spread_racks=False
        )
        for index, name in worker_by_position.items():
            self.release(name, kind, sizes[index])
        return len(worker_by_position) == len(sizes)

    def _place_tasks(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        *,
        usable: Collection[str],
        avoid: Collection[str],
        spread_racks: bool,
    ) -> dict[int, str]:
        """Place tasks, largest first, until one does not fit; returns workers by position."""
        order = sorted(range(len(sizes)), key=lambda i: size_key(sizes[i])[::-1], reverse=True)
        search = _Search(usable=usable, avoid=avoid, spread=spread_racks, tasks=len(sizes))
        self._recheck_unusable(usable)
        worker_by_position: dict[int, str] = {}
        for _, run in itertools.groupby(order, key=lambda i: size_key(sizes[i])):
            positions = list(run)
            need = self.need(kind, sizes[positions[0]])
            if not self._place_run(kind, sizes, positions, need, search, worker_by_position):
                break
        return worker_by_position

    def _place_run(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        positions: list[int],
        need: Resources,
        search: _Search,
        worker_by_position: dict[int, str],
    ) -> bool:
        done = 0
        while done < len(positions):
            name = self._find(need, search)
            if name is None:
                return False
            capacity = self._capacity_by_name[name]
            count = min(capacity.max_tasks(need), len(positions) - done)
            if search.spread:
                count = min(count, max(1, -(-search.tasks // len(self._racks))))
            self._reserve(capacity, kind, sizes[positions[done]], need, count)
            worker_by_position.update(
                (position, name) for position in positions[done : done + count]
            )
            done += count
        return True

    def _find(self, need: Resources, search: _Search) -> str | None:
        def accept(name: str) -> bool:
            if name not in search.usable:
                unusable.append(name)
                return False
            return name not in search.avoid and self._capacity_by_name[name].max_tasks(need) > 0

        unusable: list[str] = []
        found: str | None = None
        for index in self._indexes(search):
            found = index.find(need, accept)
            if found is not None:
                break
        for name in unusable:
            self._unusable[name] = None
            self._reindex(self._capacity_by_name[name])
        if found is not None:
            search.rack = self._capacity_by_name[found].entry.rack
        return found

    def _indexes(self, search: _Search) -> Iterator[CapacityIndex]:
        if search.spread:
            for _ in range(min(RACK_TRIES, len(self._racks))):
                self._next_rack = (self._next_rack + 1) % len(self._racks)
                yield self._index_by_rack[self._racks[self._next_rack]]
        elif search.rack is not None:
            yield self._index_by_rack[search.rack]
        yield self._index

    # Capacity

    def _required(self, kind: str, size: SizeKey) -> Resources:
        cores, memory = self._learned.factors(kind)
        if cores == 1.0 and memory == 1.0:
            return Resources(*size)
        # Learned sizes are capped, so that a task that outgrew every worker still runs, alone on
        # the largest one.
        shapes = [shape for shape in self._shapes if can_hold(shape, size)]
        most_cores = max((shape[0] for shape in shapes), default=size[0])
        most_memory = max((shape[1] for shape in shapes), default=size[1])
        return Resources(
            min(size[0] * cores, most_cores), min(size[1] * memory, most_memory), size[2]
        )

    def _reserve(
        self,
        capacity: FreeCapacity,
        kind: str,
        size: TaskSize,
        need: Resources,
        count: int,
        hold: Hold = Hold.FULL,
    ) -> None:
        key = (kind, size_key(size), hold)
        group = capacity.held_by_size.setdefault(key, HeldGroup(need))
        self._resize(capacity, group, need)
        group.count += count
        self._change_usage(capacity, need, count)

    def _resize(self, capacity: FreeCapacity, group: HeldGroup, need: Resources) -> None:
        if group.need != need:
            self._change_usage(capacity, group.need, -group.count)
            group.need = need
            self._change_usage(capacity, need, group.count)

    def _change_usage(self, capacity: FreeCapacity, need: Resources, count: int) -> None:
        free = max(0.0, capacity.cores)
        capacity.reserve(need, count)
        self._free_cores += max(0.0, capacity.cores) - free
        self._reindex(capacity)

    def _reindex(self, capacity: FreeCapacity) -> None:
        name = capacity.entry.name
        for index in (self._index, self._index_by_rack[capacity.entry.rack]):
            if name in self._unusable or name in self._reserved:
                index.remove(name)
            else:
                index.update(capacity)

    def _set_reserved(self, names: frozenset[str]) -> None:
        changed = self._reserved | names
        self._reserved = names
        for name in sorted(changed):
            self._reindex(self._capacity_by_name[name])

    def _recheck_unusable(self, usable: Collection[str]) -> None:
        for name in list(itertools.islice(self._unusable, UNUSABLE_RECHECKS)):
            del self._unusable[name]
            if name in usable:
                self._reindex(self._capacity_by_name[name])
            else:
                self._unusable[name] = None
