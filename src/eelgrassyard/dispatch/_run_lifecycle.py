"""Ends of runs and jobs, and what they say about workers."""

from __future__ import annotations

from ._actions import (
    Reply,
    SendPeerLeader,
)
from ._jobs import Outcome, Step, TaskEnd, TaskId
from ._messages import Cancel, JobEnded, LentEnded
from ._placement import TaskPlacement
from ._pool_state import round_s
from ._tasks import Phase, PoolJob, Task
from ._workers import Worker

UNKNOWN_SIZE = Step(count=1, cpu=0)
"""Stands for the unknown size of a run that an earlier leader started."""

MIN_RETRY_AFTER_S = 1.0
"""Smallest unit of the Retry-After header."""


class RunLifecycle(TaskPlacement):
    """What follows from the end of a run."""

    def stop_run(self, now: float, task: Task, reason: str) -> None:
        """Stop a run in progress; its room is freed when the worker says that it is over."""
        worker = self.worker_by_id.get(task.location)
        if worker is None or task.phase not in (Phase.ORDERED, Phase.RUNNING):
            return
        self._task_by_run.pop((task.location, task.id, task.run), None)
        self.note(
            "run_stopped", task=str(task.id), run=task.run, worker=task.location, reason=reason
        )
        self.stops.request_stop(now, worker, task.id, task.run, task.step)

    def _forget_run(self, task: Task) -> None:
        self._task_by_run.pop((task.location, task.id, task.run), None)
        worker = self.worker_by_id.get(task.location)
        if worker is not None and worker.run_by_task.get(task.id) == task.run:
            worker.release(task.step, task.id)

    def stop_orphan(self, now: float, worker: Worker, task_id: TaskId, run: int) -> None:
        """Stop a run that no host of the system asks for any more."""
        self.note("run_unclaimed", task=str(task_id), run=run, worker=worker.record.id)
        self.stops.request_stop(now, worker, task_id, run, UNKNOWN_SIZE)

    def run_ended(self, now: float, task: Task, end: TaskEnd, reason: str) -> None:
        """Note the end of the current run of a task, and go on with its job."""
        worker = self.worker_by_id.get(task.location)
        self._forget_run(task)
        owner = task.owner
        self.note(
            "run_ended",
            routine=end is TaskEnd.DONE,
            task=str(task.id),
            run=task.run,
            worker=task.location,
            end=end.value,
            reason=reason,
            took_s=round_s(now - task.ordered_at),
        )
        if worker is not None:
            self._record_run_end(now, worker, task, end)
        if owner.is_lent:
            self._lent_run_ended(task, end)
            return
        if self.job_by_id.get(owner.job.id) is not owner:
            return
        if end is TaskEnd.DONE:
            task.phase = Phase.ENDED
            owner.remaining_by_step[task.id.step] -= 1
            self._unblock(now, owner)
            if owner.is_complete():
                self._finish(now, owner, Outcome.COMPLETE, "all tasks have ended")
            return
        if end is TaskEnd.FAILED:
            task.attempts += 1
            task.avoid.add(task.location)
            if task.attempts >= owner.job.max_attempts:
                self._finish(now, owner, Outcome.FAILED, f"{task.id} failed {task.attempts} times")
                return
        self.requeue(now, task)

    def requeue(self, now: float, task: Task) -> None:
        """Queue a task whose latest run is over, or is being stopped."""
        if task.owner.is_lent:
            if self.stops.is_stopping(task.id):
                self._stopping_lent_tasks.append(task)
            else:
                self._lent_run_ended(task, TaskEnd.LOST)
            return
        workers = self.workers_by_service.get(task.owner.job.service, ())
        if len(task.avoid) >= len(workers):
            task.avoid.clear()
        self._enqueue(now, task)

    def _record_run_end(self, now: float, worker: Worker, task: Task, end: TaskEnd) -> None:
        owner = task.owner
        if end is TaskEnd.DONE:
            if task.started_at > task.ordered_at:
                took_s = now - task.ordered_at
                worker.speed.add(
                    owner.job.kind, max(0.02, took_s / max(0.001, task.step.estimate_s))
                )
            worker.record_success()
        elif end is TaskEnd.FAILED:
            self.record_failure(now, worker, owner)

    def record_failure(self, now: float, worker: Worker, owner: PoolJob) -> None:
        """Count a failure against a worker, unless the job fails on several."""
        owner.failed_worker_ids.add(worker.record.id)
        if len(owner.failed_worker_ids) > 1:
            for other in owner.failed_worker_ids:
                known = self.worker_by_id.get(other)
                if known is not None:
                    known.failed_jobs.discard(owner.job.id)
            return
        if worker.record_failure(owner.job.id, now):
            self.note(
                "worker_ejected",
                worker=worker.record.id,
                for_s=round_s(worker.ejected_until - now),
                ejections=worker.ejections,
            )
            self._count("workers_ejected")

    def _unblock(self, now: float, owner: PoolJob) -> None:
        for task in owner.task_by_id.values():
            if task.phase is Phase.BLOCKED and not any(
                owner.remaining_by_step[i] for i in task.step.after
            ):
                self._enqueue(now, task)

    def _lent_run_ended(self, task: Task, end: TaskEnd) -> None:
        owner = task.owner
        owner.task_by_id.pop(task.id, None)
        task.phase = Phase.ENDED
        if not owner.task_by_id and self.lent_by_id.get(owner.job.id) is owner:
            del self.lent_by_id[owner.job.id]
        self.actions.append(
            Reply(
                requester=owner.requester,
                message=LentEnded(
                    job_id=task.id.job,
                    step=task.id.step,
                    index=task.id.index,
                    run=task.lender_run,
                    end=end,
                ),
            )
        )

    def _reply(self, owner: PoolJob, message: JobEnded) -> None:
        self.actions.append(Reply(requester=owner.requester, message=message))

    def _finish(self, now: float, owner: PoolJob, outcome: Outcome, reason: str) -> None:
        retry_after_s = MIN_RETRY_AFTER_S if outcome is Outcome.NOT_RUN else 0.0
        self._count(f"jobs_{outcome}")
        self.note(
            "job_ended",
            routine=outcome is Outcome.COMPLETE,
            job=owner.job.id,
            outcome=outcome.value,
            reason=reason,
            took_s=round_s(now - owner.arrived_at),
            objective_s=round_s(owner.due - owner.arrived_at),
        )
        self._drop(now, owner)
        self._reply(
            owner,
            JobEnded(
                job_id=owner.job.id, outcome=outcome, reason=reason, retry_after_s=retry_after_s
            ),
        )

    def _drop(self, now: float, owner: PoolJob) -> None:
        """Take a job out of all tables, and stop what runs of it."""
        table = self.lent_by_id if owner.is_lent else self.job_by_id
        if table.get(owner.job.id) is owner:
            del table[owner.job.id]
        waiting = self._waiting_by_service.get(owner.job.service)
        if waiting and owner.waiting:
            waiting.remove({id(task) for task in owner.task_by_id.values()})
        lent_to: set[str] = set()
        for task in owner.task_by_id.values():
            if task.phase in (Phase.ORDERED, Phase.RUNNING):
                self.stop_run(now, task, "the job is over")
            elif task.phase is Phase.LENT:
                lent_to.add(task.location)
            task.phase = Phase.ENDED
        for domain in lent_to:
            self.actions.append(SendPeerLeader(domain=domain, message=Cancel(job_id=owner.job.id)))

    def give_up(self, now: float, owner: PoolJob, reason: str) -> None:
        """End a job that cannot end in its caller's time."""
        if owner.is_lent:
            for task in list(owner.task_by_id.values()):
                self.stop_run(now, task, reason)
                self.requeue(now, task)
        elif self.job_by_id.get(owner.job.id) is owner:
            self._finish(now, owner, Outcome.ABANDONED, reason)
