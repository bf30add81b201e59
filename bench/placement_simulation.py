"""Discrete-event simulation of jobs and gangs on workers, with the real worker placement.

One kind declares sizes that are too small. While the tasks on a worker use more cores than it has,
tasks that start on it run slower by that ratio. Usage reports are made every second and arrive one
second later.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from eelgrassyard.policy import (
    TaskSize,
    UpstreamEntry,
    UpstreamRole,
    UsageEntry,
    UsageReported,
)
from eelgrassyard.policy._placement import WorkerPlacement

WORKERS = 24
CORES = 64.0
MEMORY_MB = 131_072
RACKS = 3
USAGE_REPORT_DELAY_S = 1.0
LOOKAHEAD_JOBS = 40
"""Number of waiting jobs that are considered when capacity becomes free."""

HOLD_BATCH_TASKS = 32
"""Tasks of a gang that ``hold`` places at most in one round; the rest waits for the next round."""

DISPATCH_INTERVAL_S = 0.005

GANG_RESERVATION_DELAY_S = 1.0
"""Waiting time after which workers are reserved for a gang."""

UNDERDECLARED_KIND = "stamp"
UNDERDECLARED_FACTOR = 1.5


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A job or gang, and its progress.

    :param spread: whether its tasks are spread over racks.
    :param run_s: run time of each task at full speed.
    :param placed: number of tasks placed so far, for a job.
    :param left: number of tasks that have not ended.
    :param held: workers held and task sizes, for a gang that waits for the rest of its places.
    """

    number: int
    at: float
    kind: str
    gang: bool
    spread: bool
    sizes: list[TaskSize]
    run_s: list[float]
    placed: int = 0
    left: int = 0
    held: list[tuple[str, TaskSize]] = field(default_factory=list)
    started_at: float = -1.0
    done_at: float = -1.0


def make_workers(count: int = WORKERS) -> list[UpstreamEntry]:
    """Workers of equal size in racks of eight."""
    return [
        UpstreamEntry(
            name=f"worker-{i}",
            role=UpstreamRole.WORKER,
            url="",
            failure_domain="a",
            rack=f"rack-{i // 8}",
            cores=CORES,
            memory_mb=MEMORY_MB,
        )
        for i in range(count)
    ]


def make_jobs(*, seed: int, load: float, seconds: float, gang_part: float = 0.5) -> list[Job]:
    """Generate jobs and gangs as Poisson arrival processes.

    :param load: declared work as a fraction of all cores.
    :param gang_part: fraction of the work that comes in gangs.
    """
    source = random.Random(seed)
    sample = [_job(source, i, 0.0, gang) for gang in (False, True) for i in range(400)]
    work = [_work(sample[:400]) / 400, _work(sample[400:]) / 400]
    total = load * WORKERS * CORES
    jobs: list[Job] = []
    for gang, part in ((False, 1.0 - gang_part), (True, gang_part)):
        rate = total * part / work[gang]
        now = source.expovariate(rate)
        while now < seconds:
            jobs.append(_job(source, len(jobs), now, gang))
            now += source.expovariate(rate)
    return sorted(jobs, key=lambda job: job.at)


def _work(jobs: list[Job]) -> float:
    return sum(
        size.cores * run for job in jobs for size, run in zip(job.sizes, job.run_s, strict=True)
    )


def _job(source: random.Random, number: int, at: float, gang: bool) -> Job:
    if gang:
        tasks = min(620, max(4, round(source.lognormvariate(4.2, 0.9))))
        kind, cores, memory = "rule", 1.0, 1024
    else:
        tasks = source.randint(1, 24)
        kind = source.choice((UNDERDECLARED_KIND, "check"))
        cores = source.choice((0.5, 1.0, 2.0, 4.0))
        memory = source.choice((256, 512, 2048))
    sizes = [TaskSize(index=i, cores=cores, memory_mb=memory) for i in range(tasks)]
    run_s = [min(5.0, max(0.05, source.lognormvariate(-0.9, 0.6))) for _ in sizes]
    return Job(
        number=number,
        at=at,
        kind=kind,
        gang=gang,
        spread=source.random() < 0.3,
        sizes=sizes,
        run_s=run_s,
        left=tasks,
    )


class PlacementSimulation:
    """Places jobs on workers by one of several strategies.

    :param variant: ``atomic`` places a gang all at once or not at all; ``reserve`` also reserves
        workers for a waiting gang; ``hold`` gives free places to waiting gangs in random order, a
        few at a time, and starts a gang when it holds all of its places; ``hold-fifo`` gives them
        in order of arrival, as many as are free.
    :param learning: whether usage reports are passed to the placement.
    """

    def __init__(self, *, variant: str, learning: bool = True, workers: int = WORKERS) -> None:
        self.placement = WorkerPlacement()
        entries = make_workers(workers)
        self.placement.set_workers(entries)
        self.usable = {entry.name for entry in entries}
        self.variant = variant
        self.learning = learning
        self.now = 0.0
        self.deadlocks = 0
        self.first_deadlock_s = math.inf
        self.core_s = 0.0
        self.busy_until = 0.0
        self.slowed_tasks = 0
        self.tasks = 0
        self.worst_overfill = 0.0
        self._queues: dict[bool, deque[Job]] = {True: deque(), False: deque()}
        self._random = random.Random(1)
        self._reserved: Job | None = None
        self._is_due = False
        self._dispatched_at = 0.0
        self._used: Counter[str] = Counter()
        self._running: dict[str, dict[tuple[int, int], UsageEntry]] = {
            entry.name: {} for entry in entries
        }
        self._running_tasks = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def run(self, jobs: list[Job], until: float) -> None:
        """Run all arrivals until no event is left or virtual time ``until`` is reached."""
        for job in jobs:
            self._schedule(job.at, lambda job=job: self._arrive(job))
        if self.learning:
            self._schedule(1.0, self._report)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (at, next(self._sequence), action))

    def _arrive(self, job: Job) -> None:
        if self.placement.infeasible_reason(job.kind, job.sizes, gang=job.gang) is not None:
            return
        self._queues[job.gang].append(job)
        self._dispatch()
        if job.gang and job.started_at < 0.0:
            self._schedule(self.now + GANG_RESERVATION_DELAY_S, self._dispatch)

    def _dispatch(self) -> None:
        """Schedule a placement of waiting jobs, at most one per ``DISPATCH_INTERVAL_S``."""
        if not self._is_due:
            self._is_due = True
            self._schedule(
                max(self.now, self._dispatched_at + DISPATCH_INTERVAL_S), self._place_waiting
            )

    def _place_waiting(self) -> None:
        self._is_due = False
        self._dispatched_at = self.now
        for gang in (True, False):
            waiting = self._queues[gang]
            jobs = list(itertools.islice(waiting, LOOKAHEAD_JOBS))
            if gang and self.variant == "hold":
                self._random.shuffle(jobs)
            for job in jobs:
                if self._place(job):
                    waiting.remove(job)
                elif not gang:
                    break
        if self.variant.startswith("hold"):
            self._break_deadlock()
        elif self.variant == "reserve":
            self._reserve()

    def _place(self, job: Job) -> bool:
        if not job.gang:
            return self._place_some(job)
        if self.variant.startswith("hold"):
            return self._hold(job)
        names = self.placement.place(
            job.kind,
            job.sizes,
            usable=self.usable,
            spread_racks=job.spread,
            reservation=job is self._reserved,
        )
        if names is None:
            return False
        if job is self._reserved:
            self._reserved = None
        self._start(job, list(zip(names, range(len(names)), strict=True)))
        return True

    def _place_some(self, job: Job) -> bool:
        sizes = job.sizes[job.placed :]
        names = self.placement.place_some(
            job.kind, sizes, usable=self.usable, spread_racks=job.spread
        )
        first = job.placed
        job.placed += len(names)
        self._start(job, [(name, first + i) for i, name in enumerate(names)])
        return job.placed == len(job.sizes)

    def _hold(self, job: Job) -> bool:
        sizes = job.sizes[len(job.held) :]
        if self.variant == "hold":
            sizes = sizes[:HOLD_BATCH_TASKS]
        names = self.placement.place_some(
            job.kind, sizes, usable=self.usable, spread_racks=job.spread
        )
        job.held.extend(zip(names, sizes, strict=False))
        if len(job.held) < len(job.sizes):
            if names and len(names) == len(sizes):
                self._dispatch()
            return False
        self._start(job, [(name, size.index) for name, size in job.held])
        return True

    def _break_deadlock(self) -> None:
        """Detect and resolve a deadlock: nothing runs, and waiting gangs hold places.

        The youngest gang that holds places releases them.
        """
        waiting = [job for job in self._queues[True] if job.held]
        if self._running_tasks or not waiting:
            return
        self.deadlocks += 1
        self.first_deadlock_s = min(self.first_deadlock_s, self.now)
        victim = waiting[-1]
        for name, size in victim.held:
            self.placement.release(name, victim.kind, size)
        victim.held.clear()
        self._schedule(self.now + 0.05, self._dispatch)

    def _reserve(self) -> None:
        if self._reserved is not None or not self._queues[True]:
            return
        oldest = self._queues[True][0]
        if self.now - oldest.at >= GANG_RESERVATION_DELAY_S:
            self._reserved = oldest
            self.placement.reserve(oldest.kind, oldest.sizes, usable=self.usable)

    def _start(self, job: Job, places: list[tuple[str, int]]) -> None:
        if places and job.started_at < 0.0:
            job.started_at = self.now
        factor = UNDERDECLARED_FACTOR if job.kind == UNDERDECLARED_KIND else 1.0
        for name, index in places:
            size = job.sizes[index]
            cores = size.cores * factor
            self._used[name] += cores  # type: ignore[assignment]
            overfill = self._used[name] / CORES
            self.worst_overfill = max(self.worst_overfill, overfill)
            slow = max(1.0, overfill)
            self.tasks += 1
            self.slowed_tasks += slow > 1.05
            run_s = job.run_s[index] * slow
            self.core_s += cores * job.run_s[index]
            self._running[name][job.number, index] = UsageEntry(
                task=f"{job.number}/{index}",
                kind=job.kind,
                cores=cores,
                memory_mb=round(size.memory_mb * factor),
            )
            self._running_tasks += 1
            self._schedule(self.now + run_s, self._end_of(job, name, index, cores))

    def _end_of(self, job: Job, name: str, index: int, cores: float) -> Callable[[], None]:
        def finish() -> None:
            self._used[name] -= cores  # type: ignore[assignment]
            del self._running[name][job.number, index]
            self._running_tasks -= 1
            self.placement.release(name, job.kind, job.sizes[index])
            job.left -= 1
            if not job.left:
                job.done_at = self.busy_until = self.now
            self._dispatch()

        return finish

    def _report(self) -> None:
        for name, running in self._running.items():
            report = UsageReported(upstream=name, tasks=tuple(running.values()))
            self._schedule(
                self.now + USAGE_REPORT_DELAY_S,
                lambda report=report: self.placement.record_usage(self.now, report),
            )
        self._schedule(self.now + 1.0, self._report)
