"""Tasks that other pools lend to this one, from the request to the end of their runs."""

from __future__ import annotations

from ._jobs import Job, TaskEnd
from ._tasks import Phase, PoolJob, Task, new_lent_job
from ._worker_answers import WorkerAnswers
from ._workers import Worker


class Borrowing(WorkerAnswers):
    """Runs the tasks of other pools, each for the session on which it was lent.

    A session that closes, is silent or cancels ends its own runs only, and a new session of the
    same lender owns none of them. A task is refused while another run of it may be in progress
    here, whoever owns that one.
    """

    def lend(
        self,
        now: float,
        requester: str,
        job: Job,
        step: int,
        runs: tuple[tuple[int, int], ...],
        *,
        waited_s: float,
        caller_waits_s: float,
        proved_at: float,
        begun: bool = False,
    ) -> None:
        """Start tasks of another pool's job at once, or refuse them for lack of capacity.

        :param runs: index of each task and the number that the lender gave its run.
        :param proved_at: time at which the lender certainly still held the session.
        :param begun: whether other tasks of the job have started.
        """
        self.lenders.prove(requester, proved_at)
        pool_job = new_lent_job(
            job,
            requester=requester,
            now=now,
            waited_s=waited_s,
            caller_waits_s=caller_waits_s,
            step=step,
            runs=runs,
        )
        pool_job.started_runs = int(begun)
        offered = list(pool_job.task_by_id.values())
        pool_job.task_by_id.clear()
        owned = self.lent_job_by_owner.setdefault((requester, job.id), pool_job)
        reason = self._refusal_of_lent_tasks(now, requester, job.service)
        # A run there may live as long as the leases that its worker has already.
        limit = self.lenders.lease_limit(requester)
        workers = [
            worker
            for worker in self._available_workers(now, job.service)
            if worker.clock.leases_expire_at <= limit
        ]
        refused = 0
        for task in offered:
            task.pool_job = owned
            if reason or not self._start_lent(now, owned, task, workers):
                refused += 1
                self._report_lent_end(task, TaskEnd.NO_ROOM)
        self._remove_lent_job_if_empty(owned)
        if refused:
            self.note(
                "lent_tasks_refused",
                routine=True,
                job=job.id,
                count=refused,
                reason=reason or "no worker has room and is fast enough",
            )

    def _refusal_of_lent_tasks(self, now: float, requester: str, service: str) -> str:
        """Reason for which no lent task may start at present, or empty."""
        if not self.lending_enabled:
            return "the leader resigns"
        if self.evacuated:
            return "the domain is being evacuated"
        if self._waiting_by_service.get(service):
            return "tasks of this domain wait"
        if self.recent_lending.left_s(now, service):
            return "this domain has just lent tasks itself"
        if self.lenders.is_silent(now, requester):
            return "the lender may have lost the session"
        return ""

    def _start_lent(self, now: float, owned: PoolJob, task: Task, workers: list[Worker]) -> bool:
        if task.id in owned.task_by_id:
            return False
        # The start polls the worker, whose lease this task limits.
        owned.task_by_id[task.id] = task
        if self._try_start(now, task, workers):
            return True
        del owned.task_by_id[task.id]
        return False

    def lender_proved(self, session: str, at: float) -> None:
        """Record that a lender certainly still held its session at a time."""
        self.lenders.prove(session, at)

    def _release_lent_tasks(self, now: float, pool_job: PoolJob, reason: str) -> None:
        """Stop lent tasks; each is reported to its session as lost once its run has ended."""
        in_progress = [t for t in pool_job.task_by_id.values() if t.phase is not Phase.ENDED]
        if not in_progress:
            return
        self.note(
            "lent_tasks_released",
            job=pool_job.job.id,
            lender=pool_job.requester,
            count=len(in_progress),
            reason=reason,
        )
        for task in in_progress:
            self.stop_run(now, task, reason)
            self.requeue(now, task)

    def _advance_lent_jobs(self, now: float) -> None:
        """End the lent tasks whose callers wait no more or whose lenders are silent, and report
        those whose stops have been confirmed."""
        for pool_job in list(self.lent_job_by_owner.values()):
            if now >= pool_job.caller_deadline:
                # The lender may have a later caller of the job, and waits for the end of each run.
                self._release_lent_tasks(now, pool_job, "the caller stops waiting")
            elif self.lenders.is_silent(now, pool_job.requester):
                self._release_lent_tasks(now, pool_job, "no proof of the lender's session")
        stopping, self._stopping_lent_tasks = self._stopping_lent_tasks, []
        for task in stopping:
            self.requeue(now, task)

    def stop_lent_runs(self, now: float) -> None:
        """Stop the runs of other pools' tasks, before this host resigns."""
        for pool_job in list(self.lent_job_by_owner.values()):
            self._release_lent_tasks(now, pool_job, "the leader of this pool resigns")
