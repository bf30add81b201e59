"""Handover of jobs and runs from one leader to the next."""

from __future__ import annotations

from ._jobs import TaskEnd, TaskId
from ._leases import HANDOVER_S
from ._messages import JobReturned, Progress
from ._run_lifecycle import RunLifecycle
from ._tasks import EarlierRun, Phase, PoolJob, Task
from ._workers import Worker


class Handover(RunLifecycle):
    """Adopts orphaned runs of an earlier leader, and reports the progress of jobs on resigning.

    An orphaned run is one that a worker lists and that no job of this leader has claimed yet.
    """

    def record_orphan_end(self, task_id: TaskId, end: TaskEnd) -> None:
        """Keep the end of an earlier leader's run until its job is submitted."""
        self._orphan_end_by_task[task_id] = end

    def stopped_run_done(self, now: float, worker: Worker, task_id: TaskId, run: int) -> None:
        """Complete a task whose run was done before its stop arrived, unless it is in progress
        elsewhere."""
        pool_job = self.job_by_id.get(task_id.job)
        task = pool_job.task_by_id.get(task_id) if pool_job is not None else None
        if task is not None and (task.location, task.run) == (worker.record.id, run):
            self.record_orphan_end(task_id, TaskEnd.DONE)
            self.adopt_orphan(now, task_id)

    def _apply_progress(self, now: float, pool_job: PoolJob, progress: Progress | None) -> None:
        """Apply an earlier leader's progress on a job: mark completed tasks as ended, and delay
        those that may still run. Without a report any task may still run."""
        done = set(progress.done) if progress is not None else set()
        unsettled = set(progress.unsettled) if progress is not None else None
        for task in pool_job.task_by_id.values():
            place = (task.id.step, task.id.index)
            if place in done:
                task.phase = Phase.ENDED
                pool_job.remaining_by_step[task.id.step] -= 1
            elif unsettled is None or place in unsettled:
                task.not_before = now + HANDOVER_S
                task.earlier_run = EarlierRun(
                    given_up_at=now, reason="may have run under an earlier leader"
                )

    def _delay_starts(self, pool_job: PoolJob, not_before: float) -> None:
        """Start no task of a job before a time."""
        for task in pool_job.task_by_id.values():
            task.not_before = max(task.not_before, not_before)

    def progress_by_requester(self) -> list[tuple[str, JobReturned]]:
        """Progress of all jobs, for the hosts that must submit them to the next leader."""
        returned = []
        for pool_job in self.job_by_id.values():
            done = []
            unsettled = []
            for task in pool_job.task_by_id.values():
                place = (task.id.step, task.id.index)
                if task.phase is Phase.ENDED:
                    done.append(place)
                elif (
                    task.phase not in (Phase.WAITING, Phase.BLOCKED)
                    or self.stops.is_stopping(task.id)
                    or task.not_before
                ):
                    unsettled.append(place)
            progress = None
            if pool_job.started_runs or done:
                progress = Progress(
                    done=tuple(done),
                    unsettled=tuple(unsettled),
                    crashes=self.crashes.reports_of_job(pool_job.job.id),
                )
            message = JobReturned(job_id=pool_job.job.id, progress=progress)
            returned.append((pool_job.requester, message))
        return returned

    def adopt_orphan(self, now: float, task_id: TaskId) -> None:
        """Assign an orphaned run, or its end, to a task of a job that was submitted before the
        worker listed it."""
        pool_job = self.job_by_id.get(task_id.job)
        task = pool_job.task_by_id.get(task_id) if pool_job is not None else None
        if task is not None and task.phase is Phase.WAITING and self._adopt(now, task):
            task.pool_job.waiting = max(0, task.pool_job.waiting - 1)

    def _adopt(self, now: float, task: Task) -> bool:
        """Adopt an orphaned run, or the end of one, for a task; False if there is none."""
        end = self._orphan_end_by_task.pop(task.id, None)
        if end is TaskEnd.DONE:
            task.phase = Phase.ORDERED
            self.run_ended(now, task, end, "ended under an earlier leader")
            return True
        for worker in self.worker_by_id.values():
            run = worker.orphan_run_by_task.pop(task.id, None)
            if run is None:
                continue
            task.phase = Phase.RUNNING
            task.earlier_run = None
            task.run = run
            task.location = worker.record.id
            task.ordered_at = task.started_at = now
            task.adopted_percent = None
            task.expected_s = task.step.estimate_s * worker.slowness
            task.pool_job.started_runs += 1
            worker.reserve(task.step, task.id, run)
            self._add_run(task)
            self.note("run_adopted", task=str(task.id), run=run, worker=worker.record.id)
            self.poller.poll_now(now, worker)
            return True
        return False

    def has_lent_tasks(self) -> bool:
        """Tell whether tasks are lent to other pools or borrowed from them."""
        return bool(self.lent_job_by_owner) or any(
            task.phase is Phase.LENT
            for pool_job in self.job_by_id.values()
            for task in pool_job.task_by_id.values()
        )
