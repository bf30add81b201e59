"""Fake worker on virtual time, which follows the platform's published rules."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from eelgrassyard.dispatch._actions import (
    Answered,
    EndedEntry,
    PollReport,
    PollWorker,
    Refusal,
    RunningEntry,
    StartRun,
    StopRun,
)
from eelgrassyard.dispatch._jobs import TaskEnd, TaskId
from eelgrassyard.dispatch._workers import WorkerRecord

MAX_LEASE_S = 1.0
STOP_S = 0.05


@dataclass(kw_only=True)
class FakeRun:
    """One run on a fake worker."""

    task: TaskId
    run: int
    started_at: float
    ends_at: float
    cpu: int
    end: TaskEnd = TaskEnd.DONE
    stops_at: float = math.inf


@dataclass(kw_only=True)
class FakeWorker:
    """Runs tasks under one lease and one fencing epoch.

    :param clock_rate: rate of its clock; 0.98 is 2% slow.
    :param speed: at 1.0 a task takes its work time.
    :param work_by_job: work time of the tasks of a job, which a start does not carry.
    :param work_by_step: the same for jobs whose steps differ, by job and step.
    :param cpu_by_job: CPU demand of the tasks of a job, which a start does not carry.
    :param hides_restarts: whether something in front of it passes orders on to whichever process is
        there, instead of ending the connections with their process.
    """

    record: WorkerRecord
    clock_rate: float = 1.0
    speed: float = 1.0
    clock_offset: float = 1000.0
    work_by_job: dict[str, float] = field(default_factory=dict)
    work_by_step: dict[tuple[str, int], float] = field(default_factory=dict)
    cpu_by_job: dict[str, int] = field(default_factory=dict)
    hides_restarts: bool = False
    fails: bool = False
    up: bool = True
    life: int = 1
    fence: int = 0
    lease_until: float = -math.inf
    run_by_task: dict[TaskId, FakeRun] = field(default_factory=dict)
    highest_run: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedEntry] = field(default_factory=list)
    last_number: int = 0
    starts: list[tuple[float, TaskId, int]] = field(default_factory=list)

    def clock(self, now: float) -> float:
        """The worker's own clock."""
        return self.clock_offset + now * self.clock_rate

    def crash(self) -> None:
        """Terminate the process; its state is lost."""
        self.up = False

    def restart(self, now: float) -> None:
        """Start a new process under the same id, without any state; its clock starts anew."""
        self.up = True
        self.life += 1
        self.clock_offset = -now * self.clock_rate
        self.fence = 0
        self.lease_until = -math.inf
        self.run_by_task.clear()
        self.highest_run.clear()
        self.ended.clear()
        self.last_number = 0

    def end_due_runs(self, now: float) -> None:
        """End the runs that are due, and all of them if the lease has expired."""
        if self.run_by_task and self.clock(now) >= self.lease_until:
            for run in list(self.run_by_task.values()):
                self._end(run, TaskEnd.LOST)
        for run in sorted(
            self.run_by_task.values(), key=lambda run: min(run.ends_at, run.stops_at)
        ):
            if now >= run.ends_at and run.ends_at <= run.stops_at:
                self._end(run, run.end)
            elif now >= run.stops_at:
                self._end(run, TaskEnd.LOST)

    def _end(self, run: FakeRun, end: TaskEnd) -> None:
        self.run_by_task.pop(run.task, None)
        self.last_number += 1
        self.highest_run[run.task] = max(run.run, self.highest_run.get(run.task, 0))
        self.ended.append(EndedEntry(number=self.last_number, task=run.task, run=run.run, end=end))

    def _renew(self, now: float, deadline_s: float) -> None:
        longest = self.clock(now) + MAX_LEASE_S
        self.lease_until = max(self.lease_until, min(deadline_s, longest))

    def is_not_meant(self, order: StartRun | PollWorker) -> bool:
        """Tell whether an order is bound to another process, so that its host does not send it."""
        return not self.hides_restarts and order.life not in (None, self.life)

    def start(self, now: float, order: StartRun) -> Answered:
        """Handle a start."""
        self.end_due_runs(now)
        clock_s = self.clock(now)
        if order.fence < self.fence:
            return Answered(clock_s=clock_s, refusal=Refusal.FENCED, life=self.life)
        self.fence = order.fence
        known = self.run_by_task.get(order.task)
        if known is not None and known.run == order.run:
            return Answered(clock_s=clock_s, life=self.life)
        if order.deadline_s <= clock_s:
            return Answered(clock_s=clock_s, refusal=Refusal.LATE, life=self.life)
        self._renew(now, order.deadline_s)
        if known is not None or order.run <= self.highest_run.get(order.task, 0):
            return Answered(clock_s=clock_s, refusal=Refusal.OLD_RUN, life=self.life)
        cpu = self.cpu_by_job[order.task.job]
        if sum(run.cpu for run in self.run_by_task.values()) + cpu > self.record.cpu:
            return Answered(clock_s=clock_s, refusal=Refusal.NO_ROOM, life=self.life)
        work_s = self.work_by_step.get((order.task.job, order.task.step))
        if work_s is None:
            work_s = self.work_by_job[order.task.job]
        took_s = 0.005 if self.fails else work_s / self.speed
        self.run_by_task[order.task] = FakeRun(
            task=order.task,
            run=order.run,
            started_at=now,
            ends_at=now + took_s,
            cpu=cpu,
            end=TaskEnd.FAILED if self.fails else TaskEnd.DONE,
        )
        self.starts.append((now, order.task, order.run))
        return Answered(clock_s=clock_s, life=self.life)

    def stop(self, now: float, order: StopRun) -> Answered:
        """Handle a stop; the run ends ``STOP_S`` later."""
        self.end_due_runs(now)
        clock_s = self.clock(now)
        if order.fence < self.fence:
            return Answered(clock_s=clock_s, refusal=Refusal.FENCED, life=self.life)
        self.fence = order.fence
        self.highest_run[order.task] = max(order.run, self.highest_run.get(order.task, 0))
        run = self.run_by_task.get(order.task)
        if run is not None and run.run == order.run:
            run.stops_at = min(run.stops_at, now + STOP_S)
        return Answered(clock_s=clock_s, life=self.life)

    def begin_poll(self, now: float, order: PollWorker) -> Answered | None:
        """Apply the lease and the acknowledgement of a poll; returns an answer only if it is
        refused."""
        self.end_due_runs(now)
        if order.fence < self.fence:
            return Answered(clock_s=self.clock(now), refusal=Refusal.FENCED, life=self.life)
        self.fence = order.fence
        if self.is_not_meant(order):
            return None
        if order.deadline_s is not None:
            self._renew(now, order.deadline_s)
        self.ended = [entry for entry in self.ended if entry.number > order.ends_seen]
        return None

    def report(self, now: float) -> PollReport:
        """Report of the runs in progress and of those that have ended."""
        self.end_due_runs(now)
        return PollReport(
            clock_s=self.clock(now),
            life=self.life,
            running=tuple(
                RunningEntry(
                    task=run.task,
                    run=run.run,
                    percent=int(
                        100 * (now - run.started_at) / max(1e-6, run.ends_at - run.started_at)
                    ),
                )
                for run in self.run_by_task.values()
            ),
            ended=tuple(self.ended),
        )
