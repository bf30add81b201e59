"""Handling of workers' answers to starts, stops and polls."""

from __future__ import annotations

from ._actions import (
    Answered,
    CallFailure,
    OrderResult,
    PollResult,
    PollWorker,
    Refusal,
    Reply,
    StartRun,
    StopRun,
)
from ._entry import UNFORESEEN_REASON
from ._handover import Handover
from ._jobs import Outcome, TaskEnd, TaskId
from ._leases import HANDOVER_S
from ._messages import JobEnded
from ._tasks import Phase, Task
from ._workers import SILENT_POLL_INTERVAL_S, Worker

RUN_NUMBER_STEP = 1000
"""Added to a task's run number if a worker has seen that number or a higher one before."""

BUSY_BACKOFF_S = 0.3
NO_ROOM_BACKOFF_S = 0.03
"""Pauses after a refused start before the worker gets another one."""


class WorkerAnswers(Handover):
    """Applies the result of each order and poll to the pool: an answer, a refusal, or none."""

    def start_answered(
        self, now: float, worker_id: str, task_id: TaskId, run: int, result: OrderResult
    ) -> None:
        """Handle a worker's answer to a start, or its absence."""
        carrier = self.carriers.take_carrier((worker_id, task_id, run))
        task = self._task_by_run.get((worker_id, task_id, run))
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        self._read_clock(now, worker, result)
        if task is None or task.phase is not Phase.ORDERED:
            return
        match result:
            case Answered(refusal=None, life=life) if worker.is_other_process(life):
                self._started_elsewhere(now, worker, task, life)
            case Answered(refusal=None):
                self.timing.add(now, now - task.ordered_at)
                worker.unanswered = 0
                task.phase = Phase.RUNNING
                task.started_at = now
                self.poller.poll_now(now, worker)
            case Answered(refusal=Refusal.NOT_SENT):
                if carrier is not None:
                    self.carriers.pause(now, carrier)
                self._start_refused(now, worker, task, Refusal.NOT_SENT)
            case Answered(refusal=refusal):
                self._start_refused(now, worker, task, refusal)
            case failure:
                # The worker may still carry out the start until its lease expires, unless a stop
                # reaches it first.
                if failure is CallFailure.SILENT:
                    self.timing.unanswered()
                self.stop_run(
                    now,
                    task,
                    f"start unanswered: {failure}",
                    may_have_run=failure is not CallFailure.REFUSED,
                )
                if failure is CallFailure.REFUSED:
                    # The order was never sent, so the job may still be refused as not run.
                    task.pool_job.started_runs -= 1
                task.avoid.add(worker_id)
                if carrier is None:
                    self.poller.start_unanswered(now, worker)
                else:
                    # The fault may lie with the carrier; the leader's own polls judge the worker.
                    self.carriers.pause(now, carrier)
                self.requeue(now, task)
        self._place(now, task.pool_job.job.service)

    def _start_refused(
        self, now: float, worker: Worker, task: Task, refusal: Refusal | None
    ) -> None:
        self._count(f"starts_refused_{refusal}")
        task.pool_job.started_runs -= 1
        match refusal:
            case Refusal.FENCED:
                self._fence_out(worker)
                return
            case Refusal.OLD_RUN:
                self._release_run(task)
                task.run += RUN_NUMBER_STEP
            case Refusal.NO_ROOM:
                worker.backoff_until = now + NO_ROOM_BACKOFF_S
            case Refusal.BUSY:
                worker.backoff_until = now + BUSY_BACKOFF_S
                task.avoid.add(worker.record.id)
            case Refusal.OTHER_LIFE:
                self.poller.process_ended(now, worker, "a different worker process answered")
                worker.next_poll_at = now
                return
            case Refusal.INVALID:
                self._release_run(task)
                self.note("start_invalid", task=str(task.id), worker=worker.record.id)
                if task.pool_job.is_lent:
                    self._lent_run_ended(task, TaskEnd.FAILED)
                else:
                    self._finish(
                        now, task.pool_job, Outcome.FAILED, "a worker rejected a task as invalid"
                    )
                return
        self.run_ended(now, task, TaskEnd.LOST, f"start refused: {refusal}")

    def _started_elsewhere(self, now: float, worker: Worker, task: Task, life: int | None) -> None:
        """Handle a start that another process of the worker has carried out, as something between
        here and there does not keep connections apart. Its lease is as long as a worker grants."""
        self.note("started_by_other_process", task=str(task.id), worker=worker.record.id, life=life)
        self._discard_run(task)
        self.poller.process_ended(now, worker, "another process of the worker has started a run")
        self.stops.request_stop(
            now, worker, task.id, task.run, task.step, leased_until=now + HANDOVER_S
        )
        self.requeue(now, task)

    def _read_clock(self, now: float, worker: Worker, result: OrderResult) -> None:
        """Record the clock in an answer, if it is certainly that of the worker's known process."""
        if (
            isinstance(result, Answered)
            and result.clock_s is not None
            and result.life == worker.life
        ):
            worker.clock.update(reading_s=result.clock_s, now=now)

    def stop_answered(
        self, now: float, worker_id: str, task_id: TaskId, run: int, result: OrderResult
    ) -> None:
        """Handle a worker's answer to a stop, or its absence."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        match result:
            case Answered(refusal=Refusal.FENCED):
                self._fence_out(worker)
            case Answered(refusal=Refusal.OTHER_LIFE):
                # A late answer says nothing of a process that has been read since.
                if self.stops.is_requested(worker_id, task_id, run):
                    self.poller.process_ended(now, worker, "a different worker process answered")
            case Answered(refusal=None):
                self._read_clock(now, worker, result)
                self.stops.confirmed(now, worker_id, task_id, run)
            case _:
                self.stops.schedule_retry(now, worker_id, task_id, run)

    def poll_answered(self, now: float, worker_id: str, result: PollResult) -> None:
        """Handle a worker's poll report, or its absence."""
        worker = self.worker_by_id.get(worker_id)
        if worker is not None:
            self.poller.poll_answered(now, worker, result)
            self._place_all(now)

    def answer_failed(self, now: float, order: StartRun | StopRun | PollWorker) -> None:
        """Handle an answer whose handling has raised like one that did not arrive."""
        match order:
            case StartRun():
                self.start_answered(now, order.worker_id, order.task, order.run, CallFailure.SILENT)
            case StopRun():
                self.stops.schedule_retry(now, order.worker_id, order.task, order.run)
            case PollWorker():
                worker = self.worker_by_id.get(order.worker_id)
                if worker is not None:
                    # The handling may have ordered the next poll before it raised. Two polls in
                    # flight would make reports ambiguous.
                    self.actions[:] = [
                        action
                        for action in self.actions
                        if not isinstance(action, PollWorker) or action.worker_id != order.worker_id
                    ]
                    self.poller.poll_answered(now, worker, CallFailure.SILENT)
                    # The next answer may raise as well.
                    worker.next_poll_at = now + SILENT_POLL_INTERVAL_S

    def fail_job(self, now: float, requester: str, job_id: str) -> None:
        """Give up a job after an unforeseen error; it may have run."""
        pool_job = self.job_by_id.get(job_id)
        if pool_job is not None and pool_job.requester == requester:
            self._finish(now, pool_job, Outcome.ABANDONED, UNFORESEEN_REASON)
            return
        message = JobEnded(job_id=job_id, outcome=Outcome.ABANDONED, reason=UNFORESEEN_REASON)
        self.actions.append(Reply(requester=requester, message=message))

    def _fence_out(self, worker: Worker) -> None:
        if not self.fenced_out:
            self.note("fenced_out", worker=worker.record.id, epoch=self.epoch)
        self.fenced_out = True
