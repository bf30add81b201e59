"""Workers of a pool: room, leases, learned speed, and whether they may get work."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from .._speeds import UpstreamSpeed
from ._jobs import Step, TaskId
from ._leases import WorkerClock

BLAMES_TO_EJECT = 2
"""Jobs in a row that fail on this worker alone before it gets no more work; one may be bad luck."""

EJECTION_FIRST_S = 1.0
EJECTION_MAX_S = 8.0
"""An ejected worker gets a single task after this time, doubled after each relapse up to the
maximum. Sites report sick workers for 4 to 8 s at a time."""

SAFETY = 1.1
"""Factor on the expected run time when a worker is chosen; learned speeds are a few percent off."""

HOPE = 0.9
"""Factor on the expected run time when a worker is ruled out; declared times are often too long."""

SILENT_POLL_INTERVAL_S = 0.5
"""Pause between looks at a worker that does not answer; each attempt may open a connection."""


class WorkerState(enum.StrEnum):
    """What the pool may do with a worker."""

    UNFENCED = "unfenced"
    """This leader has not read its list of runs yet."""
    READY = "ready"
    SILENT = "silent"
    """It does not answer; its runs go on until their leases lapse."""
    DOWN = "down"
    """Its process is gone, and with it all of its runs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRecord:
    """A worker as the platform registers it.

    :param id: name of this life of the worker.
    :param labels: what steps may ask for; the rack is one of them.
    :param cpu: thousandths of a core.
    :param guards: whether the worker itself refuses what does not fit.
    """

    id: str
    service: str
    address: str
    domain: str
    labels: frozenset[str] = frozenset()
    rack: str = ""
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    draining: bool = False
    guards: bool = True

    def could_hold(self, step: Step) -> bool:
        """Tell whether one task of a step fits on the worker while it is empty."""
        return (
            self.cpu >= step.cpu
            and self.memory_mb >= step.memory_mb
            and self.gpu >= step.gpu
            and (not step.label or step.label in self.labels)
        )


@dataclass(slots=True, kw_only=True)
class Worker:
    """State that the leader keeps of one worker.

    :param life: start time that the worker reports; None before its first answer.
    :param ends_seen: number of the last end that was taken note of.
    :param held_cpu: room in use by runs that this leader counts.
    :param unclaimed: runs of an earlier leader that no host has claimed yet.
    :param unanswered: orders in a row that it has not answered.
    :param blamed_jobs: jobs that failed here and on no other worker since the last success.
    """

    record: WorkerRecord
    state: WorkerState = WorkerState.UNFENCED
    clock: WorkerClock = field(default_factory=WorkerClock)
    life: int | None = None
    ends_seen: int = 0
    ends_acknowledged: int = 0
    held_cpu: int = 0
    held_memory_mb: int = 0
    held_gpu: int = 0
    run_by_task: dict[TaskId, int] = field(default_factory=dict)
    unclaimed: dict[TaskId, int] = field(default_factory=dict)
    speed: UpstreamSpeed = field(default_factory=UpstreamSpeed)
    blamed_jobs: set[str] = field(default_factory=set)
    ejections: int = 0
    ejected_until: float = 0.0
    on_trial: bool = False
    full_until: float = 0.0
    unanswered: int = 0
    poll_in_flight: bool = False
    poll_sent_at: float = 0.0
    next_poll_at: float = 0.0
    is_registered: bool = True

    def free_cpu(self, cpu: int) -> int:
        """Room in thousandths of a core, if each run of unknown size takes as much as given."""
        return self.record.cpu - self.held_cpu - len(self.unclaimed) * cpu

    def has_room(self, step: Step) -> bool:
        """Tell whether one task of a step fits beside what is held."""
        record = self.record
        # Runs of an earlier leader take room of unknown size; tasks of a service are alike.
        count = 1 + len(self.unclaimed)
        return (
            self.free_cpu(step.cpu) >= step.cpu
            and record.memory_mb - self.held_memory_mb >= count * step.memory_mb
            and record.gpu - self.held_gpu >= count * step.gpu
        )

    def places(self, step: Step) -> int:
        """Number of tasks of a step that fit beside what is held, by cores and memory."""
        cpu = (self.record.cpu - self.held_cpu) // max(1, step.cpu)
        memory = (self.record.memory_mb - self.held_memory_mb) // max(1, step.memory_mb)
        return max(0, min(cpu, memory) - len(self.unclaimed))

    def hold(self, step: Step, task: TaskId, run: int) -> None:
        """Count a run against the room."""
        self.held_cpu += step.cpu
        self.held_memory_mb += step.memory_mb
        self.held_gpu += step.gpu
        self.run_by_task[task] = run

    def release(self, step: Step, task: TaskId) -> None:
        """Free the room of a run."""
        if self.run_by_task.pop(task, None) is not None:
            self.held_cpu -= step.cpu
            self.held_memory_mb -= step.memory_mb
            self.held_gpu -= step.gpu

    def is_usable(self, now: float) -> bool:
        """Tell whether the worker may get a task now."""
        if self.state is not WorkerState.READY or self.record.draining or not self.is_registered:
            return False
        if now < self.full_until or now < self.ejected_until or not self.clock.is_fresh(now):
            return False
        if self.unclaimed and not self.record.guards:
            return False
        return not (self.on_trial and self.run_by_task)

    def blame(self, job: str, now: float) -> bool:
        """Note a job that failed here alone; True if the worker is ejected for it."""
        self.blamed_jobs.add(job)
        if len(self.blamed_jobs) < BLAMES_TO_EJECT and not self.on_trial:
            return False
        pause = min(EJECTION_MAX_S, EJECTION_FIRST_S * 2.0**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause
        self.on_trial = True
        self.blamed_jobs.clear()
        return True

    def praise(self) -> None:
        """Note a task that ended well."""
        self.blamed_jobs.clear()
        self.on_trial = False
        self.ejections = 0

    def forget_runs(self) -> None:
        """Drop what a dead process of the worker held."""
        self.held_cpu = self.held_memory_mb = self.held_gpu = 0
        self.run_by_task.clear()
        self.unclaimed.clear()


def choose(
    workers: Iterable[Worker],
    step: Step,
    *,
    now: float,
    budget_s: float,
    limit_s: float,
    avoid: frozenset[str] | set[str],
    racks: set[str],
    count_by_worker: dict[str, int] | None,
    far_factor: float,
) -> Worker | None:
    """The worker for one task of a step, or None if none has room.

    Among the workers expected to end the task within the budget, the slowest is taken, so that fast
    ones stay free for long tasks. If none would make it, the one expected to end first is taken.

    :param budget_s: seconds left until the objective.
    :param limit_s: seconds left until the run would be of no use; workers that are expected to need
        longer are passed over.
    :param racks: racks that the step's tasks already run on, for steps that want a single rack.
    :param count_by_worker: tasks of the step on each worker, for steps that limit it.
    :param far_factor: how many times longer a task takes away from its rack.
    """
    best: Worker | None = None
    best_key: tuple[int, float, int] | None = None
    for worker in workers:
        record = worker.record
        if record.id in avoid or not worker.has_room(step) or not worker.is_usable(now):
            continue
        if step.label and step.label not in record.labels:
            continue
        if count_by_worker and count_by_worker.get(record.id, 0) >= step.max_per_worker:
            continue
        run_s = step.estimate_s * worker.speed.slowness()
        if (step.rack and step.rack not in record.labels) or (
            step.same_rack and racks and record.rack not in racks
        ):
            run_s *= far_factor
        if run_s * HOPE > limit_s:
            continue
        in_time = run_s * SAFETY <= budget_s
        # Equal workers are filled one after the other, so that large holes stay whole.
        spare = record.cpu - worker.held_cpu
        key = (0 if in_time else 1, -run_s if in_time else run_s, spare)
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best
