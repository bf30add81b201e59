"""Answers of workers to orders."""

from __future__ import annotations

from ._actions import (
    Answered,
    OrderResult,
    PollResult,
    Refusal,
)
from ._handover import Handover
from ._jobs import Outcome, TaskEnd, TaskId
from ._tasks import Phase, Task
from ._workers import Worker

RUN_NUMBER_STEP = 1000
"""Added to the number of a run that a worker calls too low."""

BUSY_BACKOFF_S = 0.3
NO_ROOM_BACKOFF_S = 0.03
"""Pauses before a worker that refused a start gets another one."""


class WorkerAnswers(Handover):
    """What follows from a worker's answer, or from none."""

    def start_answered(
        self, now: float, worker_id: str, task_id: TaskId, run: int, result: OrderResult
    ) -> None:
        """Note a worker's answer to a start, or that there was none."""
        task = self._task_by_run.get((worker_id, task_id, run))
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        if isinstance(result, Answered) and result.clock_s is not None:
            worker.clock.read(reading_s=result.clock_s, now=now)
        if task is None or task.phase is not Phase.ORDERED:
            return
        match result:
            case Answered(refusal=None):
                worker.unanswered = 0
                task.phase = Phase.RUNNING
                task.started_at = now
                self.poller.poll_now(now, worker)
            case Answered(refusal=refusal):
                self._start_refused(now, worker, task, refusal)
            case failure:
                # The order may be carried out until its lease ends, unless a stop comes first.
                self.stop_run(now, task, f"start unanswered: {failure}")
                task.avoid.add(worker_id)
                self.poller.start_unanswered(now, worker)
                self.requeue(now, task)
        self._place(now, task.owner.job.service)

    def _start_refused(
        self, now: float, worker: Worker, task: Task, refusal: Refusal | None
    ) -> None:
        self._count(f"starts_refused_{refusal}")
        task.owner.started_runs -= 1
        match refusal:
            case Refusal.FENCED:
                self._fence_out(worker)
                return
            case Refusal.OLD_RUN:
                self._forget_run(task)
                task.run += RUN_NUMBER_STEP
            case Refusal.NO_ROOM:
                worker.backoff_until = now + NO_ROOM_BACKOFF_S
            case Refusal.BUSY:
                worker.backoff_until = now + BUSY_BACKOFF_S
                task.avoid.add(worker.record.id)
            case Refusal.OTHER_LIFE:
                self.poller.process_ended(now, worker, "another life answered")
                return
            case Refusal.INVALID:
                self._forget_run(task)
                self.note("start_invalid", task=str(task.id), worker=worker.record.id)
                if task.owner.is_lent:
                    self._lent_run_ended(task, TaskEnd.FAILED)
                else:
                    self._finish(now, task.owner, Outcome.FAILED, "a worker rejected a task")
                return
        self.run_ended(now, task, TaskEnd.LOST, f"start refused: {refusal}")

    def stop_answered(
        self, now: float, worker_id: str, task_id: TaskId, run: int, result: OrderResult
    ) -> None:
        """Note a worker's answer to a stop."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        match result:
            case Answered(refusal=Refusal.FENCED):
                self._fence_out(worker)
            case Answered(refusal=Refusal.OTHER_LIFE):
                self.poller.process_ended(now, worker, "another life answered")
            case Answered(refusal=None, clock_s=clock_s):
                if clock_s is not None:
                    worker.clock.read(reading_s=clock_s, now=now)
                self.stops.accepted(now, worker_id, task_id, run)
            case _:
                self.stops.unanswered(now, worker_id, task_id, run)

    def poll_answered(self, now: float, worker_id: str, result: PollResult) -> None:
        """Note a worker's list of runs, or that none came."""
        worker = self.worker_by_id.get(worker_id)
        if worker is not None:
            self.poller.poll_answered(now, worker, result)
            self._place_all(now)

    def _fence_out(self, worker: Worker) -> None:
        if not self.fenced_out:
            self.note("fenced_out", worker=worker.record.id, epoch=self.epoch)
        self.fenced_out = True
