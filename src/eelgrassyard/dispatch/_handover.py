"""Jobs that go from one leader to the next."""

from __future__ import annotations

from ._jobs import TaskEnd, TaskId
from ._messages import JobReturned, Progress
from ._run_lifecycle import RunLifecycle
from ._tasks import Phase, PoolJob, Task

HANDOVER_S = 0.95
"""After a change of leader, runs of tasks that no worker has listed may be alive for this long: the
lease, the clock error, and the time in which another domain notices that its requester is gone."""


class Handover(RunLifecycle):
    """Adoption of runs, and the state that a resigning leader passes on."""

    def record_orphan_end(self, task_id: TaskId, end: TaskEnd) -> None:
        """Keep an end that belongs to a run of an earlier leader until its job is submitted."""
        self._orphan_end_by_task[task_id] = end

    def _apply_progress(self, now: float, owner: PoolJob, progress: Progress | None) -> None:
        """Note what an earlier leader did for a job, or that it may have done anything."""
        done = set(progress.done) if progress is not None else set()
        unsettled = set(progress.unsettled) if progress is not None else None
        for task in owner.task_by_id.values():
            place = (task.id.step, task.id.index)
            if place in done:
                task.phase = Phase.ENDED
                owner.remaining_by_step[task.id.step] -= 1
            elif unsettled is None or place in unsettled:
                task.not_before = now + HANDOVER_S

    def progress_by_requester(self) -> list[tuple[str, JobReturned]]:
        """State of all jobs, for the hosts that have to submit them to the next leader."""
        returned = []
        for owner in self.job_by_id.values():
            done = []
            unsettled = []
            for task in owner.task_by_id.values():
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
            if owner.started_runs or done:
                progress = Progress(done=tuple(done), unsettled=tuple(unsettled))
            message = JobReturned(job_id=owner.job.id, progress=progress)
            returned.append((owner.requester, message))
        return returned

    def adopt_orphan(self, now: float, task_id: TaskId) -> None:
        """Let a job that was submitted before its run was found take the run over."""
        owner = self.job_by_id.get(task_id.job)
        task = owner.task_by_id.get(task_id) if owner is not None else None
        if task is not None and task.phase is Phase.WAITING and self._adopt(now, task):
            task.owner.waiting = max(0, task.owner.waiting - 1)

    def _adopt(self, now: float, task: Task) -> bool:
        """Take over a run, or an end, that workers listed for an earlier leader."""
        end = self._orphan_end_by_task.pop(task.id, None)
        if end is TaskEnd.DONE:
            task.phase = Phase.ORDERED
            self.run_ended(now, task, end, "had ended under an earlier leader")
            return True
        for worker in self.worker_by_id.values():
            run = worker.orphan_run_by_task.pop(task.id, None)
            if run is None:
                continue
            task.phase = Phase.RUNNING
            task.run = run
            task.location = worker.record.id
            task.ordered_at = task.started_at = now
            task.owner.started_runs += 1
            worker.reserve(task.step, task.id, run)
            self._task_by_run[(worker.record.id, task.id, run)] = task
            self.note("run_adopted", task=str(task.id), run=run, worker=worker.record.id)
            self.poller.poll_now(now, worker)
            return True
        return False

    def has_lent_tasks(self) -> bool:
        """Tell whether tasks are lent to other pools or by them."""
        return bool(self.lent_by_id) or any(
            task.phase is Phase.LENT
            for owner in self.job_by_id.values()
            for task in owner.task_by_id.values()
        )

    def stop_lent_runs(self, now: float) -> None:
        """Stop what runs for other pools, and tell them, before this host gives up its pool."""
        for owner in list(self.lent_by_id.values()):
            for task in list(owner.task_by_id.values()):
                self.stop_run(now, task, "this host resigns")
                self.requeue(now, task)
