"""The leader's side: jobs and runs of one failure domain."""

from __future__ import annotations

from collections.abc import Mapping

from ._jobs import Job, Outcome, TaskEnd, TaskId
from ._messages import JobEnded, Progress
from ._polling import WorkerPoller
from ._pool_state import PeerPool, round_s
from ._tasks import Phase, new_lent_job, new_pool_job
from ._worker_answers import WorkerAnswers
from ._workers import Worker, WorkerRecord, WorkerState

RUNS_PER_ROUND = 100
"""Runs are numbered from this multiple of the job's round, so that a later leader's are higher."""

LENT_RUN_EXPIRY_S = 1.0
"""After the session to another pool has broken, tasks lent to it are over by then: it stops them
when the session is silent for 0.5 s, and their leases lapse if it cannot."""

REQUESTER_RECONNECT_S = 0.25
"""Time in which a requester whose connection broke may open a new one before its jobs are
stopped."""


class WorkerPool(WorkerAnswers):
    """Jobs and runs of one failure domain, while this host leads it.

    Each method takes the current time in seconds and leaves actions in :attr:`actions`; the driver
    carries them out and reports the results. :meth:`advance` is called at least every 20 ms while
    anything is in progress.
    """

    def __init__(
        self, *, domain: str, epoch: int, now: float, stop_s: float, far_factor: float
    ) -> None:
        super().__init__(domain=domain, epoch=epoch, now=now, stop_s=stop_s, far_factor=far_factor)
        self.poller = WorkerPoller(pool=self)

    def set_workers(self, now: float, records: Mapping[str, WorkerRecord]) -> None:
        """Replace the registered workers of all domains; the pool uses those of its own."""
        self._records = records
        for record in records.values():
            if record.domain != self.domain:
                continue
            worker = self.worker_by_id.get(record.id)
            if worker is None:
                self.worker_by_id[record.id] = Worker(record=record)
                self.note("worker_added", routine=True, worker=record.id, service=record.service)
                continue
            if worker.record.draining != record.draining:
                self.note("worker_draining", worker=record.id, draining=record.draining)
            worker.record = record
            worker.is_registered = True
        for worker in list(self.worker_by_id.values()):
            if worker.record.id not in records and worker.is_registered:
                # An entry lapses too if the worker is cut off from the store; its runs go on.
                self.note("worker_gone", worker=worker.record.id, runs=len(worker.run_by_task))
                worker.is_registered = False
        self._remove_departed_workers(now)
        self._index_workers()
        self.poller.advance(now)
        self._place_all(now)

    def _remove_departed_workers(self, now: float) -> None:
        """Drop workers that have left the registry once none of their runs can be alive."""
        for worker in list(self.worker_by_id.values()):
            busy = worker.run_by_task or self.stops.on_worker(worker.record.id)
            if not worker.is_registered and not busy and now >= worker.clock.lapses_at:
                del self.worker_by_id[worker.record.id]

    def worker_lost(self, now: float, worker: Worker, reason: str) -> None:
        """Note that a worker's process is gone, and all of its runs with it."""
        runs = [key for key in self._task_by_run if key[0] == worker.record.id]
        if runs or worker.state is WorkerState.READY:
            self.note("worker_lost", worker=worker.record.id, reason=reason, runs=len(runs))
        worker.clear_runs()
        self.stops.forget_worker(worker.record.id)
        for key in runs:
            self.run_ended(now, self._task_by_run[key], TaskEnd.LOST, f"worker lost: {reason}")

    def submit(
        self,
        now: float,
        requester: str,
        job: Job,
        *,
        waited_s: float,
        caller_waits_s: float,
        round: int,
        progress: Progress | None = None,
    ) -> None:
        """Take up a job, or take it over from an earlier session or leader."""
        known = self.job_by_id.get(job.id)
        if known is not None:
            self.note("job_attached", job=job.id, requester=requester, round=round)
            known.requester = requester
            known.gives_up_at = max(known.gives_up_at, now + caller_waits_s)
            return
        owner = new_pool_job(
            job,
            requester=requester,
            now=now,
            waited_s=waited_s,
            caller_waits_s=caller_waits_s,
            run_base=RUNS_PER_ROUND * round,
        )
        if not self._can_ever_fit(job):
            self.note("job_too_large", job=job.id, service=job.service)
            self._reply(owner, JobEnded(job_id=job.id, outcome=Outcome.FAILED, reason="too large"))
            return
        self.job_by_id[job.id] = owner
        owner.started_runs = min(1, round)
        if round > 0:
            self._apply_progress(now, owner, progress)
        for task in owner.task_by_id.values():
            if task.phase is Phase.ENDED or self._adopt(now, task):
                continue
            if task.phase is Phase.WAITING:
                self._enqueue(now, task)
        self._unblock(now, owner)
        if owner.is_complete():
            self._finish(now, owner, Outcome.COMPLETE, "all tasks had ended")
            return
        self._place(now, job.service)
        if owner.waiting:
            self.note(
                "job_waits",
                routine=True,
                job=job.id,
                waiting=owner.waiting,
                start_by_s=round_s(self._start_by(owner) - now),
            )

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
        begun: bool = False,
    ) -> None:
        """Start tasks of another pool's job at once, or refuse them."""
        owner = new_lent_job(
            job,
            requester=requester,
            now=now,
            waited_s=waited_s,
            caller_waits_s=caller_waits_s,
            step=step,
            runs=runs,
        )
        owner.started_runs = int(begun)
        known = self.lent_by_id.get(job.id)
        if known is not None and known.requester == requester:
            known.task_by_id.update(owner.task_by_id)
            for task in owner.task_by_id.values():
                task.owner = known
        else:
            self.lent_by_id[job.id] = owner
        busy = bool(len(self._waiting_by_service.get(job.service, ())))
        workers = self._available_workers(now, job.service)
        for task in list(owner.task_by_id.values()):
            if busy or not self.lending_enabled or not self._try_start(now, task, workers):
                self._lent_run_ended(task, TaskEnd.NO_ROOM)

    def cancel(self, now: float, requester: str, job_id: str) -> None:
        """Stop a job whose caller has left, or tasks that a lender no longer needs."""
        for table in (self.job_by_id, self.lent_by_id):
            owner = table.get(job_id)
            if owner is not None and owner.requester == requester:
                self.note("job_cancelled", job=job_id, requester=requester)
                self._drop(now, owner)
                self._place(now, owner.job.service)

    def requester_lost(self, now: float, requester: str, *, silent: bool) -> None:
        """Stop what a requester wanted: at once if it was silent, else after a pause."""
        if silent:
            self._drop_jobs_of(now, requester)
        elif any(o.requester == requester for o in self._owners()):
            self._requester_lost_at[requester] = now

    def _drop_jobs_of(self, now: float, requester: str) -> None:
        owners = [owner for owner in self._owners() if owner.requester == requester]
        if owners:
            self.note("requester_lost", requester=requester, jobs=[o.job.id for o in owners])
        for owner in owners:
            self._drop(now, owner)
        for service in {owner.job.service for owner in owners}:
            self._place(now, service)

    def peer_pool_updated(self, now: float, domain: str, free_by_service: dict[str, int]) -> None:
        """Note how much room another pool says it has."""
        self.peer_pool_by_domain[domain] = PeerPool(free_by_service=dict(free_by_service))
        for service, free in free_by_service.items():
            if free > 0 and self._waiting_by_service.get(service):
                self._place(now, service)

    def peer_pool_lost(self, now: float, domain: str) -> None:
        """The session to another pool has broken; tasks lent there end within
        ``LENT_RUN_EXPIRY_S``."""
        self.peer_pool_by_domain.pop(domain, None)
        for owner in list(self.job_by_id.values()):
            for task in list(owner.task_by_id.values()):
                if task.phase is Phase.LENT and task.location == domain:
                    task.not_before = max(task.not_before, now + LENT_RUN_EXPIRY_S)
                    self.run_ended(now, task, TaskEnd.LOST, f"session to {domain} broke")

    def lent_ended(
        self, now: float, domain: str, job_id: str, step: int, index: int, run: int, end: TaskEnd
    ) -> None:
        """Another pool reports the end of a task lent to it."""
        owner = self.job_by_id.get(job_id)
        task = owner.task_by_id.get(TaskId(job_id, step, index)) if owner else None
        if (
            task is None
            or task.phase is not Phase.LENT
            or task.location != domain
            or task.run != run
        ):
            return
        if end is TaskEnd.NO_ROOM:
            task.owner.started_runs -= 1
            peer = self.peer_pool_by_domain.get(domain)
            if peer is not None:
                peer.free_by_service[task.owner.job.service] = 0
        elif end is TaskEnd.FAILED:
            task.avoid.add(domain)
        self.run_ended(now, task, end, f"reported by {domain}")

    def advance(self, now: float) -> None:
        """Refuse and give up jobs whose time has passed, repeat stops, look at workers."""
        self._fastest_slowness_by_service.clear()
        for requester, lost_at in list(self._requester_lost_at.items()):
            if now >= lost_at + REQUESTER_RECONNECT_S:
                del self._requester_lost_at[requester]
                self._drop_jobs_of(now, requester)
        for owner in list(self.job_by_id.values()):
            if owner.started_runs:
                if now >= owner.gives_up_at:
                    self._finish(now, owner, Outcome.ABANDONED, "no answer in time")
            elif (
                owner.waiting and now >= self._start_by(owner) and not self._start_late(now, owner)
            ):
                self._finish(now, owner, Outcome.NOT_RUN, "no room in time")
        for owner in list(self.lent_by_id.values()):
            if now >= owner.gives_up_at:
                self._drop(now, owner)
        self.stops.advance(now)
        stopping, self._stopping_lent_tasks = self._stopping_lent_tasks, []
        for task in stopping:
            self.requeue(now, task)
        self.poller.advance(now)
        self._remove_departed_workers(now)
        self._place_all(now)

    def is_idle(self) -> bool:
        """Tell whether nothing is in progress."""
        return (
            not self.job_by_id and not self.lent_by_id and not self._task_by_run and not self.stops
        )
