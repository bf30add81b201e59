"""Workers of a pool: capacity, leases, learned speed and eligibility for tasks."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .._speeds import UpstreamSpeed, speed_class
from ._jobs import Step, TaskId
from ._leases import WorkerClock

FAILURES_TO_EJECT = 2
"""Jobs that fail on a worker alone, without a success between them, before it is ejected; a single
failure may be the job's fault."""

INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 8.0
"""An ejected worker gets a single trial task after this time, which doubles with each further
ejection up to the maximum. Sites report workers that fail for 4 to 8 s at a time."""

PESSIMISTIC_FACTOR = 1.25
"""Factor on the expected run time when a worker is selected; the longest of a job's tasks decides,
and declared run times are off by 40%."""

OPTIMISTIC_FACTOR = 1.05
"""Factor on the expected run time when a worker is ruled out. Starting a job that cannot be
completed costs its caller the chance to go elsewhere, and the workers their time."""

SILENT_POLL_INTERVAL_S = 0.5
"""Interval of polls of a worker that does not answer; each attempt may open a connection."""


TYPICAL_RUN_S = 0.2
MIN_RUN_WEIGHT = 0.2
MAX_RUN_WEIGHT = 4.0
"""Weight of a run in the learned speed: its declared time as a multiple of a typical one, within
these limits."""


class WorkerState(enum.StrEnum):
    """Whether the pool may use a worker, and whether runs may be alive on it."""

    UNFENCED = "unfenced"
    """This leader has not read its runs yet, so the worker may not know the leader's epoch."""
    READY = "ready"
    SILENT = "silent"
    """It does not answer; its runs go on until their leases expire."""
    DOWN = "down"
    """Its process has terminated, and all of its runs with it."""


class Exclusion(enum.StrEnum):
    """Rule by which a worker does not get a task now, as shown to operators."""

    NOT_READY = "does not answer, or its runs are not known yet"
    DRAINING = "draining"
    NOT_REGISTERED = "not in the registry"
    OTHER_PROCESS = "its entry in the registry is of another process of it"
    PAUSED = "pause after a refused or unanswered start"
    EJECTED = "ejected after failures"
    STALE_CLOCK = "its clock was not read recently"
    SUSPECT_RUNS = "runs a task under which a worker has crashed"
    UNCLAIMED_RUNS = "has runs of unknown size of an earlier leader"
    ON_TRIAL = "ejected before, and its trial task is in progress"
    LEASE_LIMIT = "leases there must end too soon for a start"
    AVOIDED = "an earlier run of the task failed or was stopped there"
    NO_ROOM = "no room"
    LABEL = "lacks the required label"
    STEP_LIMIT = "has as many tasks of the step as allowed"
    TOO_SLOW = "too slow to end it in time"


_READY = WorkerState.READY
_NO_ROOM = Exclusion.NO_ROOM
_TOO_SLOW = Exclusion.TOO_SLOW
"""Members that are looked up for each worker and task; in CPython 3.11 a look-up in the class calls
a Python function."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRecord:
    """A worker as the platform registers it.

    :param id: name of the worker, which a later process of it may have as well.
    :param life: start time of the process that the entry describes; None if it does not say.
    :param labels: labels that steps may require; the rack is one of them.
    :param cpu: thousandths of a core.
    :param checks_capacity: whether the worker itself refuses a task that does not fit.
    :param peak: largest ``cpu``, ``memory_mb`` and ``gpu`` that it has registered so far, if these
        were larger than now.
    """

    id: str
    service: str
    address: str
    domain: str
    life: int | None = None
    labels: frozenset[str] = frozenset()
    rack: str = ""
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    draining: bool = False
    checks_capacity: bool = True
    peak: tuple[int, int, int] = (0, 0, 0)

    def can_fit(self, step: Step, *, at_peak: bool = False) -> bool:
        """Tell whether one task of a step fits on the worker while it is empty.

        :param at_peak: whether to count the largest capacity that it has had instead.
        """
        cpu, memory_mb, gpu = self.largest() if at_peak else (self.cpu, self.memory_mb, self.gpu)
        return (
            cpu >= step.cpu
            and memory_mb >= step.memory_mb
            and gpu >= step.gpu
            and (not step.label or step.label in self.labels)
        )

    def largest(self) -> tuple[int, int, int]:
        """Largest ``cpu``, ``memory_mb`` and ``gpu`` that it has registered."""
        cpu, memory_mb, gpu = self.peak
        return max(self.cpu, cpu), max(self.memory_mb, memory_mb), max(self.gpu, gpu)


def keep_peaks(
    records: Mapping[str, WorkerRecord], *, known: Mapping[str, WorkerRecord]
) -> dict[str, WorkerRecord]:
    """Carry the largest capacity of each worker over to its new record.

    :param known: earlier records by id.
    """
    kept = {}
    for worker_id, record in records.items():
        earlier = known.get(worker_id)
        largest = earlier.largest() if earlier is not None else record.largest()
        if largest != (record.cpu, record.memory_mb, record.gpu):
            record = dataclasses.replace(record, peak=largest)
        kept[worker_id] = record
    return kept


@dataclass(slots=True, kw_only=True)
class Worker:
    """The leader's view of one worker.

    :param life: start time that the worker's process reports; None before its first answer.
    :param ends_seen: number of the last run end that was processed.
    :param ends_acknowledged: value of ``ends_seen`` in the latest poll.
    :param reserved_cpu: capacity in use by runs that this leader tracks.
    :param orphan_run_by_task: runs of an earlier leader that no host has claimed yet.
    :param unowned_lease_limit: time by which leases there must have ended while it has such runs.
    :param orphan_stops: orphaned runs that are being stopped, which may still be in progress.
    :param failed_jobs: jobs that failed here and on no other worker since the last success.
    :param on_trial: whether the worker was ejected and has not completed a task since; it gets one
        task at a time.
    :param backoff_until: time until which it gets no task after a refused or unanswered start.
    :param unanswered: consecutive starts that it has not answered.
    :param disconnected: whether the last connection to it broke or was refused, as after a crash,
        and it has not answered since.
    :param suspects: running tasks under which a worker has crashed before. No other task is placed
        beside them.
    :param slowness: learned run time as a multiple of the declared one.
    :param speed_class: class of the learned speed; a lower number is faster.
    """

    record: WorkerRecord
    state: WorkerState = WorkerState.UNFENCED
    clock: WorkerClock = field(default_factory=WorkerClock)
    life: int | None = None
    ends_seen: int = 0
    ends_acknowledged: int = 0
    reserved_cpu: int = 0
    reserved_memory_mb: int = 0
    reserved_gpu: int = 0
    run_by_task: dict[TaskId, int] = field(default_factory=dict)
    orphan_run_by_task: dict[TaskId, int] = field(default_factory=dict)
    unowned_lease_limit: float = math.inf
    orphan_stops: set[tuple[TaskId, int]] = field(default_factory=set)
    speed: UpstreamSpeed = field(default_factory=UpstreamSpeed)
    failed_jobs: set[str] = field(default_factory=set)
    ejections: int = 0
    ejected_until: float = 0.0
    on_trial: bool = False
    backoff_until: float = 0.0
    unanswered: int = 0
    disconnected: bool = False
    suspects: set[TaskId] = field(default_factory=set)
    poll_in_flight: bool = False
    poll_sent_at: float = 0.0
    next_poll_at: float = 0.0
    is_registered: bool = True
    slowness: float = 1.0
    speed_class: int = 0

    def is_other_process(self, life: int | None) -> bool:
        """Tell whether an answer or an entry is of another process than the one that is known.

        :param life: start time of that process; None tells nothing.
        """
        return self.life is not None and life is not None and life != self.life

    def learn_speed(self, kind: str, slowness: float, estimate_s: float) -> None:
        """Learn from a run: its time as a multiple of the declared one, weighted by the latter.

        Declared times are too short as often as too long, so the sum of many is about right, while
        the mean of the single ratios is too high.
        """
        weight = min(MAX_RUN_WEIGHT, max(MIN_RUN_WEIGHT, estimate_s / TYPICAL_RUN_S))
        self.speed.add(kind, slowness, weight=weight)
        self.slowness = self.speed.slowness()
        self.speed_class = speed_class(1.0 / self.slowness)

    def free_cpu(self, cpu: int) -> int:
        """Free thousandths of a core, if each orphaned run takes ``cpu``."""
        return self.record.cpu - self.reserved_cpu - len(self.orphan_run_by_task) * cpu

    def has_room(self, step: Step) -> bool:
        """Tell whether one task of a step fits into the free capacity."""
        record = self.record
        # The size of orphaned runs is unknown; tasks of a service are alike.
        count = 1 + len(self.orphan_run_by_task)
        return (
            self.free_cpu(step.cpu) >= step.cpu
            and record.memory_mb - self.reserved_memory_mb >= count * step.memory_mb
            and record.gpu - self.reserved_gpu >= count * step.gpu
        )

    def free_slots(self, step: Step) -> int:
        """Number of tasks of a step that fit into the free cores and memory."""
        cpu = (self.record.cpu - self.reserved_cpu) // max(1, step.cpu)
        memory = (self.record.memory_mb - self.reserved_memory_mb) // max(1, step.memory_mb)
        return max(0, min(cpu, memory) - len(self.orphan_run_by_task))

    def reserve(self, step: Step, task: TaskId, run: int) -> None:
        """Reserve capacity for a run."""
        self.reserved_cpu += step.cpu
        self.reserved_memory_mb += step.memory_mb
        self.reserved_gpu += step.gpu
        self.run_by_task[task] = run

    def release(self, step: Step, task: TaskId) -> None:
        """Release the capacity of a run."""
        self.suspects.discard(task)
        if self.run_by_task.pop(task, None) is not None:
            self.reserved_cpu -= step.cpu
            self.reserved_memory_mb -= step.memory_mb
            self.reserved_gpu -= step.gpu

    def is_usable(self, now: float) -> bool:
        """Tell whether the worker may get a task now."""
        return self.obstacle(now) is None

    def obstacle(self, now: float) -> Exclusion | None:
        """Rule by which the worker may get no task at all now, or None."""
        if self.state is not _READY:
            return Exclusion.NOT_READY
        if self.record.draining:
            return Exclusion.DRAINING
        if not self.is_registered:
            return Exclusion.NOT_REGISTERED
        if self.is_other_process(self.record.life):
            # Labels and capacity of the process that answers are not known.
            return Exclusion.OTHER_PROCESS
        if now < self.backoff_until:
            return Exclusion.PAUSED
        if now < self.ejected_until:
            return Exclusion.EJECTED
        if not self.clock.is_fresh(now):
            return Exclusion.STALE_CLOCK
        if self.suspects:
            return Exclusion.SUSPECT_RUNS
        # The size of orphaned runs is unknown, and such a worker would refuse nothing.
        if not self.record.checks_capacity and (self.orphan_run_by_task or self.orphan_stops):
            return Exclusion.UNCLAIMED_RUNS
        if self.on_trial and self.run_by_task:
            return Exclusion.ON_TRIAL
        return None

    def record_failure(self, job: str, now: float) -> bool:
        """Record a job that failed on this worker alone; True if the worker is ejected for it."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < FAILURES_TO_EJECT and not self.on_trial:
            return False
        pause = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause
        self.on_trial = True
        self.failed_jobs.clear()
        return True

    def record_success(self) -> None:
        """Record a completed task, which ends a trial and resets the failures."""
        self.failed_jobs.clear()
        self.on_trial = False
        self.ejections = 0

    def clear_runs(self) -> None:
        """Discard all runs and reservations of a terminated process."""
        self.reserved_cpu = self.reserved_memory_mb = self.reserved_gpu = 0
        self.run_by_task.clear()
        self.orphan_run_by_task.clear()
        self.orphan_stops.clear()
        self.suspects.clear()


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskRequirements:
    """What one task of a step requires of its worker.

    :param budget_s: seconds left until the objective.
    :param limit_s: seconds left until the result is of no use; workers that are expected to need
        longer are skipped.
    :param racks: racks that the step's tasks already run on, for steps that need a single rack.
    :param count_by_worker: tasks of the step on each worker, for steps that limit it.
    :param far_factor: factor on the run time of a task placed outside its rack.
    """

    step: Step
    now: float
    budget_s: float
    limit_s: float
    avoid: frozenset[str] | set[str]
    racks: set[str]
    count_by_worker: Mapping[str, int] | None
    far_factor: float

    def run_s(self, worker: Worker) -> float | Exclusion:
        """Expected run time on a worker, or the rule by which it does not get the task now."""
        step, record = self.step, worker.record
        if record.id in self.avoid:
            return Exclusion.AVOIDED
        if not worker.has_room(step):
            return _NO_ROOM
        obstacle = worker.obstacle(self.now)
        if obstacle is not None:
            return obstacle
        if step.label and step.label not in record.labels:
            return Exclusion.LABEL
        counts = self.count_by_worker
        if counts and counts.get(record.id, 0) >= step.max_per_worker:
            return Exclusion.STEP_LIMIT
        run_s = step.estimate_s * worker.slowness
        if (step.rack and step.rack not in record.labels) or (
            step.same_rack and self.racks and record.rack not in self.racks
        ):
            run_s *= self.far_factor
        return _TOO_SLOW if run_s * OPTIMISTIC_FACTOR > self.limit_s else run_s


def choose_worker(workers: Iterable[Worker], requirements: TaskRequirements) -> Worker | None:
    """Select the worker for one task, or None if none has capacity and is fast enough.

    Among the workers expected to end the task within the budget, the slowest is selected, so that
    fast ones stay free for long tasks. If none is, the one expected to end it first is selected.
    """
    best: Worker | None = None
    best_key: tuple[int, float, int] | None = None
    for worker in workers:
        run_s = requirements.run_s(worker)
        if isinstance(run_s, Exclusion):
            continue
        in_time = run_s * PESSIMISTIC_FACTOR <= requirements.budget_s
        # Equal workers are filled one after the other, so that large tasks still find capacity.
        spare = worker.record.cpu - worker.reserved_cpu
        key = (0 if in_time else 1, -run_s if in_time else run_s, spare)
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best
