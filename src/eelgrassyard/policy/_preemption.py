"""Preemption of background tasks on guarded workers, by throttling first and then by checkpointing.

The scheduler adds every background task that it grants, removes it when it is released, and calls
:meth:`Preemption.preempt` when an urgent request cannot be placed. It sends the steps to the owners
as ``TaskControl``. A throttled task gives up most of its cores at once. A checkpointed task gives
up all its resources after a delay; :meth:`Preemption.advance` then frees them.
:meth:`Preemption.resume` returns paused tasks to full resources and is to be called before new
background work is placed.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

from ._actions import Control
from ._messages import TaskSize
from ._placement import WorkerPlacement
from ._priority_queue import PriorityQueue
from ._worker_capacity import Hold, Resources

CHECKPOINT_S = 0.5
"""Seconds after which a checkpointed task is assumed to have stopped. Its resources are in use
until then."""

MIN_PAUSE_S = 1.0
"""Shortest pause, so that a task is not paused and resumed for every single urgent task."""

MAX_CANDIDATE_WORKERS = 16
"""Workers considered for one request, those with the most unpaused background cores first."""

BackgroundTaskKey = tuple[str, int]
"""Submission id and index of the task."""


@dataclass(slots=True, kw_only=True)
class BackgroundTask:
    """A background task that runs on a worker.

    :ivar hold: which of its reserved resources it holds.
    :ivar changed_at: time at which it was last paused or resumed.
    """

    owner: str
    submission_id: str
    worker: str
    kind: str
    size: TaskSize
    hold: Hold = Hold.FULL
    changed_at: float = -math.inf

    @property
    def key(self) -> BackgroundTaskKey:
        return (self.submission_id, self.size.index)


@dataclass(frozen=True, slots=True, kw_only=True)
class PreemptionStep:
    """A control to send to the owner of a background task."""

    owner: str
    submission_id: str
    index: int
    control: Control


class Preemption:
    """Tracks background tasks by worker and chooses which of them to pause and to resume."""

    def __init__(self, *, placement: WorkerPlacement) -> None:
        self._placement = placement
        self._task_by_key: dict[BackgroundTaskKey, BackgroundTask] = {}
        self._tasks_by_worker: dict[str, OrderedDict[BackgroundTaskKey, BackgroundTask]] = {}
        self._cores_by_worker: dict[str, float] = {}
        self._workers: PriorityQueue[str] = PriorityQueue()
        self._paused: OrderedDict[BackgroundTaskKey, BackgroundTask] = OrderedDict()
        self._checkpointing: OrderedDict[BackgroundTaskKey, float] = OrderedDict()

    def add(self, task: BackgroundTask) -> None:
        """Add a background task whose resources are already reserved in full."""
        self._task_by_key[task.key] = task
        self._tasks_by_worker.setdefault(task.worker, OrderedDict())[task.key] = task
        self._add_full_cores(task.worker, task.size.cores)

    def remove(self, submission_id: str, index: int) -> bool:
        """Remove a finished task and free what it holds; False if it is unknown."""
        task = self._task_by_key.pop((submission_id, index), None)
        if task is None:
            return False
        del self._tasks_by_worker[task.worker][task.key]
        if task.hold is Hold.FULL:
            self._add_full_cores(task.worker, -task.size.cores)
        self._paused.pop(task.key, None)
        self._checkpointing.pop(task.key, None)
        self._placement.release(task.worker, task.kind, task.size, hold=task.hold)
        return True

    def preempt(
        self, now: float, kind: str, size: TaskSize, *, usable: Collection[str]
    ) -> tuple[PreemptionStep, ...]:
        """Pause background tasks so that one urgent task fits; empty if that is not possible.

        What throttling frees is available when this returns, what checkpointing frees only after
        ``CHECKPOINT_S``. Until then, further calls checkpoint no more tasks on any worker.
        """
        need = self._placement.need(kind, size)
        candidates = self._candidates(usable)
        for name in candidates:
            steps = self._throttle(now, name, need)
            if steps:
                return steps
        if self._checkpointing:
            return ()
        for name in candidates:
            steps = self._checkpoint(now, name, need)
            if steps:
                return steps
        return ()

    def advance(self, now: float) -> bool:
        """Free what tasks held that have been checkpointed by now; True if there were any."""
        freed = False
        while self._checkpointing:
            key, leaves_at = next(iter(self._checkpointing.items()))
            if leaves_at > now:
                break
            del self._checkpointing[key]
            task = self._task_by_key[key]
            self._placement.change_hold(task.worker, task.kind, task.size, task.hold, Hold.NONE)
            task.hold = Hold.NONE
            freed = True
        return freed

    def next_wake(self) -> float:
        """Time at which :meth:`advance` next frees capacity; ``math.inf`` if none is due."""
        return next(iter(self._checkpointing.values()), math.inf)

    def resume(self, now: float, *, usable: Collection[str]) -> tuple[PreemptionStep, ...]:
        """Resume paused tasks whose workers have capacity again, longest pause first."""
        steps = []
        for task in list(self._paused.values()):
            if now - task.changed_at < MIN_PAUSE_S:
                break
            if task.key in self._checkpointing or task.worker not in usable:
                continue
            if self._placement.can_resume(task.worker, task.kind, task.size, task.hold):
                self._placement.change_hold(task.worker, task.kind, task.size, task.hold, Hold.FULL)
                task.hold = Hold.FULL
                task.changed_at = now
                del self._paused[task.key]
                self._add_full_cores(task.worker, task.size.cores)
                steps.append(_step(task, Control.RESUME))
        return tuple(steps)

    @property
    def paused(self) -> int:
        """Number of throttled and checkpointed tasks."""
        return len(self._paused)

    def _add_full_cores(self, worker: str, cores: float) -> None:
        total = self._cores_by_worker.get(worker, 0.0) + cores
        self._cores_by_worker[worker] = total
        if self._tasks_by_worker.get(worker):
            self._workers.set(worker, (-total,))
        else:
            self._workers.discard(worker)
            self._cores_by_worker.pop(worker, None)

    def _candidates(self, usable: Collection[str]) -> list[str]:
        names: list[str] = []

        def collect(name: str) -> bool:
            if name in usable:
                names.append(name)
            return len(names) >= MAX_CANDIDATE_WORKERS

        self._workers.find(collect)
        return names

    def _throttle(self, now: float, worker: str, need: Resources) -> tuple[PreemptionStep, ...]:
        free = self._placement.free(worker)
        if free.memory_mb < need.memory_mb or free.accelerators < need.accelerators:
            return ()
        running = [t for t in self._tasks_by_worker[worker].values() if t.hold is Hold.FULL]
        running.sort(key=lambda task: (-task.size.cores, -task.changed_at))
        missing = need.cores - free.cores
        chosen: list[BackgroundTask] = []
        for task in running:
            if missing <= 0.0:
                break
            chosen.append(task)
            held = self._placement.need(task.kind, task.size)
            missing -= held.cores - held.for_hold(Hold.THROTTLED).cores
        if missing > 0.0:
            return ()
        for task in chosen:
            self._placement.change_hold(worker, task.kind, task.size, Hold.FULL, Hold.THROTTLED)
            self._pause(now, task)
            task.hold = Hold.THROTTLED
        return tuple(_step(task, Control.THROTTLE) for task in chosen)

    def _checkpoint(self, now: float, worker: str, need: Resources) -> tuple[PreemptionStep, ...]:
        free = self._placement.free(worker)
        tasks = [t for t in self._tasks_by_worker[worker].values() if t.hold is not Hold.NONE]
        tasks.sort(key=lambda task: (task.hold is Hold.FULL, -task.size.cores))
        cores, memory = need.cores - free.cores, need.memory_mb - free.memory_mb
        accelerators = need.accelerators - free.accelerators
        chosen: list[BackgroundTask] = []
        for task in tasks:
            if cores <= 0.0 and memory <= 0.0 and accelerators <= 0:
                break
            chosen.append(task)
            held = self._placement.need(task.kind, task.size, task.hold)
            cores -= held.cores
            memory -= held.memory_mb
            accelerators -= held.accelerators
        if cores > 0.0 or memory > 0.0 or accelerators > 0:
            return ()
        for task in chosen:
            self._pause(now, task)
            self._checkpointing[task.key] = now + CHECKPOINT_S
        return tuple(_step(task, Control.CHECKPOINT) for task in chosen)

    def _pause(self, now: float, task: BackgroundTask) -> None:
        if task.key not in self._paused:
            self._paused[task.key] = task
            self._add_full_cores(task.worker, -task.size.cores)
        task.changed_at = now


def _step(task: BackgroundTask, control: Control) -> PreemptionStep:
    return PreemptionStep(
        owner=task.owner,
        submission_id=task.submission_id,
        index=task.size.index,
        control=control,
    )
