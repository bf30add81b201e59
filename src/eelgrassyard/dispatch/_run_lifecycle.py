"""Stops and ends of runs and jobs, and their effect on the statistics of workers."""

from __future__ import annotations

import math

from ._actions import (
    Reply,
    SendPeerLeader,
)
from ._jobs import Job, Outcome, Step, TaskEnd, TaskId
from ._leases import HANDOVER_S
from ._messages import Cancel, JobEnded, LentEnded
from ._placement import TaskPlacement
from ._pool_state import round_s
from ._tasks import EarlierRun, Phase, PoolJob, Task
from ._workers import Worker

UNKNOWN_SIZE = Step(count=1, cpu=0)
"""Placeholder for the unknown size of a run that an earlier leader started."""

MIN_RETRY_AFTER_S = 1.0
"""Smallest unit of the Retry-After header."""


ORDER_TRANSIT_S = 0.004
"""Part of the measured time of a run in which its start travels to the worker and its end back."""

MIN_RUN_S = 0.002
"""Lower limit of a measured run time; the end of a run may be listed as it is ordered."""


class RunLifecycle(TaskPlacement):
    """Ends runs: requeues or finishes their tasks, unblocks later steps, and answers jobs."""

    def stop_run(self, now: float, task: Task, reason: str, *, may_have_run: bool = True) -> None:
        """Stop a run in progress; its capacity is freed once the run is known to have ended.

        :param may_have_run: False if the connection for its start was refused.
        """
        worker = self.worker_by_id.get(task.location)
        if worker is None or task.phase not in (Phase.ORDERED, Phase.RUNNING):
            return
        self._discard_run(task)
        self._remember_run(now, task, reason)
        self.note(
            "run_stopped", task=str(task.id), run=task.run, worker=task.location, reason=reason
        )
        self.stops.request_stop(
            now,
            worker,
            task.id,
            task.run,
            task.step,
            may_have_run=may_have_run,
            lease_limit=self._lease_limit_of(task.pool_job),
        )

    def presume_run_over(self, now: float, task: Task, reason: str) -> None:
        """Take a run for over though its worker has not said so; its task may start again."""
        self.presumed_ends.record(now, task.location, task.id, task.run, reason)
        self._remember_run(now, task, reason)
        self.run_ended(now, task, TaskEnd.LOST, reason)

    def refute_presumed_end(
        self, now: float, worker: Worker, task_id: TaskId, run: int, listed: str
    ) -> None:
        """Report a run that was taken for over, if its worker lists it otherwise.

        :param listed: what the worker says of it.
        """
        presumed = self.presumed_ends.take(worker.record.id, task_id, run)
        if presumed is None or listed == TaskEnd.LOST:
            return
        self._count("presumed_ends_refuted")
        self.note(
            "presumed_end_refuted",
            task=str(task_id),
            run=run,
            worker=worker.record.id,
            listed=listed,
            presumed_for_s=round_s(now - presumed.at),
            reason=presumed.reason,
        )

    def _remember_run(self, now: float, task: Task, reason: str) -> None:
        worker = self.worker_by_id.get(task.location)
        # The clock of a process that has ended is not known any more.
        lease_s = worker.clock.leases_expire_at - task.ordered_at if worker is not None else 0.0
        task.earlier_run = EarlierRun(
            run=task.run,
            worker_id=task.location,
            lease_s=lease_s if lease_s > 0.0 else None,
            given_up_at=now,
            reason=reason,
        )

    def _release_run(self, task: Task) -> None:
        self._discard_run(task)
        worker = self.worker_by_id.get(task.location)
        if worker is not None and worker.run_by_task.get(task.id) == task.run:
            worker.release(task.step, task.id)

    def stop_orphan(
        self,
        now: float,
        worker: Worker,
        task_id: TaskId,
        run: int,
        *,
        lease_limit: float = math.inf,
    ) -> None:
        """Stop a run of an earlier leader that no host has claimed.

        :param lease_limit: time by which leases on the worker must have ended until the stop is
            confirmed.
        """
        self.note("run_unclaimed", task=str(task_id), run=run, worker=worker.record.id)
        worker.orphan_stops.add((task_id, run))
        self.stops.request_stop(
            now,
            worker,
            task_id,
            run,
            UNKNOWN_SIZE,
            leased_until=now + HANDOVER_S,
            lease_limit=lease_limit,
        )

    def run_ended(self, now: float, task: Task, end: TaskEnd, reason: str) -> None:
        """Record the end of a task's current run, and continue or finish its job."""
        worker = self.worker_by_id.get(task.location)
        self._release_run(task)
        pool_job = task.pool_job
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
        if pool_job.is_lent:
            self._lent_run_ended(task, end)
            return
        if self.job_by_id.get(pool_job.job.id) is not pool_job:
            return
        if end is TaskEnd.DONE:
            task.phase = Phase.ENDED
            pool_job.remaining_by_step[task.id.step] -= 1
            self._unblock(now, pool_job)
            if pool_job.is_complete():
                self._finish(now, pool_job, Outcome.COMPLETE, "all tasks have ended")
            return
        if end is TaskEnd.FAILED:
            task.attempts += 1
            task.avoid.add(task.location)
            if task.attempts >= pool_job.job.max_attempts:
                self._finish(
                    now, pool_job, Outcome.FAILED, f"{task.id} failed {task.attempts} times"
                )
                return
        self.requeue(now, task)

    def requeue(self, now: float, task: Task) -> None:
        """Queue a task whose latest run has ended or is being stopped.

        A lent task is reported to the lender as lost instead, once its run has ended.
        """
        if task.pool_job.is_lent:
            if self.stops.is_stopping(task.id):
                task.phase = Phase.ENDED
                self._stopping_lent_tasks.append(task)
            else:
                self._lent_run_ended(task, TaskEnd.LOST)
            return
        if self.crashes.is_exhausted(task.id):
            task.phase = Phase.WAITING
            self.give_up_if_exhausted(now, task.id)
            return
        workers = self.workers_by_service.get(task.pool_job.job.service, ())
        if len(task.avoid) >= len(workers):
            task.avoid.clear()
        self._enqueue(now, task)

    def worker_crashed(
        self, now: float, worker: Worker, task_id: TaskId, *, confirmed: bool
    ) -> None:
        """Record that a worker has crashed while a task may have been running on it.

        :param confirmed: whether another process of the worker has answered since.
        """
        if worker.record.draining:
            return
        self.crashes.record(now, task_id, worker.record.id, confirmed=confirmed)
        self._count("crashes_under_tasks")
        self.note(
            "worker_crashed",
            task=str(task_id),
            worker=worker.record.id,
            confirmed=confirmed,
            crashes=self.crashes.count(task_id),
        )

    def give_up_if_exhausted(self, now: float, task_id: TaskId) -> None:
        """End the job of a task that has crashed too many workers: as failed if these crashes are
        confirmed, since another attempt would crash more of them."""
        pool_job = self.job_by_id.get(task_id.job)
        if pool_job is None or not self.crashes.is_exhausted(task_id):
            return
        outcome = Outcome.FAILED if self.crashes.is_proved(task_id) else Outcome.ABANDONED
        self._finish(
            now, pool_job, outcome, f"{self.crashes.count(task_id)} workers crashed under {task_id}"
        )

    def _record_run_end(self, now: float, worker: Worker, task: Task, end: TaskEnd) -> None:
        pool_job = task.pool_job
        if end is TaskEnd.DONE:
            if task.started_at > task.ordered_at:
                took_s = max(MIN_RUN_S, now - task.ordered_at - ORDER_TRANSIT_S)
                estimate_s = max(0.001, task.step.estimate_s)
                # Before the worker learns from the run, so that its slowness holds none of it.
                self.run_times.add(
                    pool_job.job.kind, real_s=took_s, expected_s=estimate_s * worker.slowness
                )
                worker.learn_speed(pool_job.job.kind, took_s / estimate_s, estimate_s)
            worker.record_success()
        elif end is TaskEnd.FAILED:
            self.record_failure(now, worker, pool_job)

    def record_failure(self, now: float, worker: Worker, pool_job: PoolJob) -> None:
        """Count a failed job against a worker, unless the job has failed on several workers."""
        pool_job.failed_worker_ids.add(worker.record.id)
        if len(pool_job.failed_worker_ids) > 1:
            for other in pool_job.failed_worker_ids:
                known = self.worker_by_id.get(other)
                if known is not None:
                    known.failed_jobs.discard(pool_job.job.id)
            return
        if worker.record_failure(pool_job.job.id, now):
            self.note(
                "worker_ejected",
                worker=worker.record.id,
                for_s=round_s(worker.ejected_until - now),
                ejections=worker.ejections,
            )
            self._count("workers_ejected")

    def _unblock(self, now: float, pool_job: PoolJob) -> None:
        for task in pool_job.task_by_id.values():
            if task.phase is Phase.BLOCKED and not any(
                pool_job.remaining_by_step[i] for i in task.step.after
            ):
                self._enqueue(now, task)

    def _lent_run_ended(self, task: Task, end: TaskEnd) -> None:
        pool_job = task.pool_job
        task.phase = Phase.ENDED
        if pool_job.task_by_id.get(task.id) is task:
            del pool_job.task_by_id[task.id]
        self._remove_lent_job_if_empty(pool_job)
        self._report_lent_end(task, end)

    def _remove_lent_job_if_empty(self, pool_job: PoolJob) -> None:
        owner = (pool_job.requester, pool_job.job.id)
        if not pool_job.task_by_id and self.lent_job_by_owner.get(owner) is pool_job:
            del self.lent_job_by_owner[owner]

    def _report_lent_end(self, task: Task, end: TaskEnd) -> None:
        """Report the end of a lent task's run to the session on which the task was lent."""
        self.actions.append(
            Reply(
                requester=task.pool_job.requester,
                message=LentEnded(
                    job_id=task.id.job,
                    step=task.id.step,
                    index=task.id.index,
                    run=task.lender_run,
                    end=end,
                    crashes=self.crashes.reports_of_task(task.id),
                ),
            )
        )

    def _refuse_if_too_large(self, pool_job: PoolJob, *, may_have_run: bool) -> bool:
        """Refuse a new job with a task that fits no worker."""
        job = pool_job.job
        message = self._size_refusal(job, may_have_run=may_have_run)
        if message is None:
            return False
        self.note("job_too_large", job=job.id, service=job.service, outcome=message.outcome.value)
        self._reply(pool_job, message)
        return True

    def _size_refusal(self, job: Job, *, may_have_run: bool) -> JobEnded | None:
        """Refusal of a job with a task that fits no worker, or None: for good if none has ever had
        the capacity, otherwise until some of it is back."""
        if self._fits_any_worker(job):
            return None
        if not self._fits_any_worker(job, at_peak=True):
            return JobEnded(job_id=job.id, outcome=Outcome.FAILED, reason="a task fits no worker")
        if may_have_run:
            return None
        return JobEnded(
            job_id=job.id,
            outcome=Outcome.NOT_RUN,
            reason="a task fits no worker at present",
            retry_after_s=MIN_RETRY_AFTER_S,
        )

    def _reply(self, pool_job: PoolJob, message: JobEnded) -> None:
        self.actions.append(Reply(requester=pool_job.requester, message=message))

    def _finish(
        self,
        now: float,
        pool_job: PoolJob,
        outcome: Outcome,
        reason: str,
        *,
        not_run_retry_s: float = MIN_RETRY_AFTER_S,
    ) -> None:
        retry_after_s = not_run_retry_s if outcome is Outcome.NOT_RUN else 0.0
        self._count(f"jobs_{outcome}")
        self.note(
            "job_ended",
            routine=outcome is Outcome.COMPLETE,
            job=pool_job.job.id,
            outcome=outcome.value,
            reason=reason,
            took_s=round_s(now - pool_job.arrived_at),
            objective_s=round_s(pool_job.due_at - pool_job.arrived_at),
        )
        self._remove_job(now, pool_job)
        self._reply(
            pool_job,
            JobEnded(
                job_id=pool_job.job.id, outcome=outcome, reason=reason, retry_after_s=retry_after_s
            ),
        )

    def _remove_job(self, now: float, pool_job: PoolJob) -> None:
        """Remove a job from all tables, stop its runs, and cancel its lent tasks."""
        job_id, owner = pool_job.job.id, (pool_job.requester, pool_job.job.id)
        if self.job_by_id.get(job_id) is pool_job:
            del self.job_by_id[job_id]
        elif self.lent_job_by_owner.get(owner) is pool_job:
            del self.lent_job_by_owner[owner]
        waiting = self._waiting_by_service.get(pool_job.job.service)
        if waiting and pool_job.waiting:
            waiting.remove({id(task) for task in pool_job.task_by_id.values()})
        lent_to: set[str] = set()
        for task in pool_job.task_by_id.values():
            if task.phase in (Phase.ORDERED, Phase.RUNNING):
                self.stop_run(now, task, "its job has ended")
            elif task.phase is Phase.LENT:
                lent_to.add(task.location)
            task.phase = Phase.ENDED
        for domain in lent_to:
            self.actions.append(
                SendPeerLeader(domain=domain, message=Cancel(job_id=pool_job.job.id))
            )

    def abandon(self, now: float, pool_job: PoolJob, reason: str) -> None:
        """Abandon a job that cannot be completed before its caller stops waiting; tasks of another
        pool are stopped and reported to it as lost."""
        if pool_job.is_lent:
            for task in list(pool_job.task_by_id.values()):
                self.stop_run(now, task, reason)
                self.requeue(now, task)
        elif self.job_by_id.get(pool_job.job.id) is pool_job:
            self._finish(now, pool_job, Outcome.ABANDONED, reason)
