"""Tasks that crash the workers that start them, on virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from dispatch_workers import FakeWorker
from eelgrassyard.dispatch._actions import (
    CallFailure,
    OrderResult,
    PollWorker,
    Reply,
    StartRun,
    StopRun,
)
from eelgrassyard.dispatch._jobs import Job, Outcome, Step, TaskId
from eelgrassyard.dispatch._messages import JobEnded
from eelgrassyard.dispatch._worker_pool import WorkerPool
from eelgrassyard.dispatch._workers import WorkerRecord

STEP_S = 0.01
CRASH_AFTER_S = 0.02
DOWN_S = 3.0


@dataclass(kw_only=True)
class Site:
    """A pool and its workers; a worker crashes soon after it starts a task of a deadly job.

    :param loses_answer: whether the worker crashes before it answers the start.
    """

    deadly_jobs: set[str]
    workers: int = 12
    loses_answer: bool = False
    now: float = 0.0
    starts: list[tuple[float, TaskId]] = field(default_factory=list)
    outcome_by_job: dict[str, Outcome] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.cpu_by_job: dict[str, int] = {}
        self.work_by_job: dict[str, float] = {}
        self.worker_by_id = {
            f"w{n}": FakeWorker(
                record=WorkerRecord(
                    id=f"w{n}", service="s", address=f"w{n}", domain="d0", cpu=2000, memory_mb=1000
                ),
                work_by_job=self.work_by_job,
                cpu_by_job=self.cpu_by_job,
            )
            for n in range(self.workers)
        }
        self._crash_at: dict[str, float] = {}
        self._up_at: dict[str, float] = {}
        self._polls: dict[str, tuple[float, PollWorker]] = {}
        self.records = {name: worker.record for name, worker in self.worker_by_id.items()}
        self.lead(epoch=5)

    def lead(self, *, epoch: int) -> None:
        """Have a new leader take over, which knows nothing but the registry."""
        self.pool = WorkerPool(domain="d0", epoch=epoch, now=self.now, stop_s=0.05, far_factor=1.5)
        self.pool.set_workers(self.now, self.records, read_at=self.now)
        self._polls.clear()

    def submit(
        self,
        job_id: str,
        *,
        tasks: int = 1,
        work_s: float = 0.1,
        caller_waits_s: float = 30.0,
        cpu: int = 1000,
    ) -> None:
        """Submit a job as an entry host."""
        self.cpu_by_job[job_id], self.work_by_job[job_id] = cpu, work_s
        job = Job(
            id=job_id,
            kind="k",
            service="s",
            payload="p",
            steps=(Step(count=tasks, cpu=cpu, estimate_s=work_s),),
            max_attempts=3,
            stretch=100.0,
            target_s=0.1,
        )
        self.pool.submit(self.now, "r", job, waited_s=0.0, caller_waits_s=caller_waits_s, round=0)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self._crash_and_restart()
            self._answer_polls()
            self.pool.advance(self.now)
            self._perform_actions()

    def starts_of(self, job_id: str) -> int:
        """Number of starts of a job's tasks that a worker has carried out."""
        return sum(task.job == job_id for _, task in self.starts)

    def _crash_and_restart(self) -> None:
        for name, at in list(self._crash_at.items()):
            if self.now >= at:
                del self._crash_at[name]
                self._crash(name)
        for name, at in list(self._up_at.items()):
            if self.now >= at:
                del self._up_at[name]
                self.worker_by_id[name].restart()

    def _crash(self, name: str) -> None:
        self.worker_by_id[name].crash()
        self._up_at[name] = self.now + DOWN_S
        if name in self._polls:
            del self._polls[name]
            self.pool.poll_answered(self.now, name, CallFailure.BROKEN)

    def _answer_polls(self) -> None:
        for name, (until, _) in list(self._polls.items()):
            worker = self.worker_by_id[name]
            report = worker.report(self.now)
            if report.ended or self.now >= until:
                del self._polls[name]
                self.pool.poll_answered(self.now, name, report)

    def _perform_actions(self) -> None:
        while self.pool.actions:
            action = self.pool.actions.pop(0)
            match action:
                case StartRun():
                    self.pool.start_answered(
                        self.now, action.worker_id, action.task, action.run, self._start(action)
                    )
                case StopRun(worker_id=name, task=task, run=run):
                    worker = self.worker_by_id[name]
                    answer: OrderResult = CallFailure.REFUSED
                    if worker.up:
                        answer = worker.stop(self.now, action)
                    self.pool.stop_answered(self.now, name, task, run, answer)
                case PollWorker(worker_id=name):
                    self._poll(name, action)
                case Reply(message=JobEnded(job_id=job_id, outcome=outcome)):
                    self.outcome_by_job[job_id] = outcome

    def _start(self, order: StartRun) -> OrderResult:
        worker = self.worker_by_id[order.worker_id]
        if not worker.up:
            return CallFailure.REFUSED
        answer = worker.start(self.now, order)
        if answer.refusal is not None:
            return answer
        self.starts.append((self.now, order.task))
        if order.task.job not in self.deadly_jobs:
            return answer
        if self.loses_answer:
            self._crash(order.worker_id)
            return CallFailure.BROKEN
        self._crash_at[order.worker_id] = self.now + CRASH_AFTER_S
        return answer

    def _poll(self, name: str, order: PollWorker) -> None:
        worker = self.worker_by_id[name]
        if not worker.up:
            self.pool.poll_answered(self.now, name, CallFailure.REFUSED)
            return
        refusal = worker.begin_poll(self.now, order)
        if refusal is not None:
            self.pool.poll_answered(self.now, name, refusal)
        else:
            self._polls[name] = (self.now + (order.wait_s or 0.0), order)


@pytest.mark.parametrize("loses_answer", [False, True])
def test_a_task_that_crashes_its_workers_is_given_up(loses_answer: bool) -> None:
    """Guards against a task that is started again and again and crashes worker after worker: after
    three crashes it may not be started three times more."""
    site = Site(deadly_jobs={"deadly"}, loses_answer=loses_answer)
    site.run(0.2)
    site.submit("deadly", caller_waits_s=30.0)
    site.run(30.0)
    assert 2 <= site.starts_of("deadly") < 6
    assert site.outcome_by_job["deadly"] in (Outcome.FAILED, Outcome.ABANDONED)
