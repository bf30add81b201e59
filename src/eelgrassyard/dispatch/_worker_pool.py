"""Worker pool of one failure domain, as its leader keeps it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from types import MappingProxyType

from ._actions import CallFailure
from ._crashes import CrashHistory
from ._jobs import Job, Outcome, TaskEnd, TaskId
from ._leases import HANDOVER_S
from ._lenders import LENT_RUN_EXPIRY_S
from ._messages import CrashReport, Progress
from ._peer_pools import RoomByClass
from ._placement_report import PlacementReports
from ._polling import WorkerPoller
from ._pool_state import round_s
from ._tasks import Phase, new_pool_job
from ._workers import Worker, WorkerRecord, WorkerState

FRESH_REGISTRY_S = 1.0
"""Age up to which a new leader relies on what it has read of the registry. A draining worker may
get nothing later than 2 s after it announced its end."""

REGISTRY_WAIT_S = 0.15
"""Time for which a new leader waits for a newer reading of the registry before it starts anything,
and for which it waits on after each sign that the store is answering."""

MAX_REGISTRY_WAIT_S = 0.6
"""Longest such wait. A host with a thin link needs a part of it to read hundreds of entries."""

RUNS_PER_ROUND = 200
"""Run numbers of a job start at this multiple of its round, so that those of a later leader are
higher."""

REQUESTER_RECONNECT_S = 0.25
"""Time in which a requester whose connection broke may reconnect before its jobs are stopped."""


LEND_RETRY_S = 0.25
"""Pause before a task is offered again to a pool that has refused it. The pool may report room
again that is of no use to this task, such as cores without the memory."""


class WorkerPool(PlacementReports):
    """Dispatches the jobs of one failure domain to its workers, while this host leads it.

    Each method takes the current time in seconds and appends to :attr:`actions`; the driver carries
    the actions out and reports the results. :meth:`advance` must be called at least every 20 ms
    while anything is in progress.
    """

    def __init__(
        self,
        *,
        domain: str,
        epoch: int,
        now: float,
        stop_s: float,
        far_factor: float,
        link_bytes_per_s: float = math.inf,
        is_successor: bool = False,
        crashes: CrashHistory | None = None,
    ) -> None:
        super().__init__(
            domain=domain,
            epoch=epoch,
            now=now,
            stop_s=stop_s,
            far_factor=far_factor,
            link_bytes_per_s=link_bytes_per_s,
            is_successor=is_successor,
            crashes=crashes,
        )
        self.poller = WorkerPoller(pool=self)
        self._registry_wait_began = 0.0

    def set_workers(
        self, now: float, records: Mapping[str, WorkerRecord], *, read_at: float
    ) -> None:
        """Replace the registered workers of all domains; the pool uses those of its own domain.

        :param read_at: time in seconds at which the registry was as the records say.
        """
        self._record_by_id = records
        if now - read_at <= FRESH_REGISTRY_S:
            self._end_registry_wait(now, read=True)
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
            if record.life != worker.record.life and worker.is_other_process(record.life):
                self.note(
                    "worker_entry_changed",
                    worker=record.id,
                    life=record.life,
                    known=worker.life,
                )
                worker.next_poll_at = now
            worker.record = record
            worker.is_registered = True
        for worker in list(self.worker_by_id.values()):
            if worker.record.id not in records and worker.is_registered:
                # An entry also expires if the worker cannot reach the store; its runs go on.
                self.note("worker_gone", worker=worker.record.id, runs=len(worker.run_by_task))
                worker.is_registered = False
        self._remove_departed_workers(now)
        self._index_workers()
        self.poller.advance(now)
        self._place_all(now)

    def wait_for_registry(self, now: float) -> None:
        """Start nothing until a newer reading of the registry, or until the store seems out."""
        self.starts_after = now + REGISTRY_WAIT_S
        self._registry_wait_began = now

    def store_answering(self, now: float) -> None:
        """Handle a sign that the store is answering: a reading that is awaited may be arriving."""
        if self.starts_after:
            longest = self._registry_wait_began + MAX_REGISTRY_WAIT_S
            self.starts_after = min(longest, now + REGISTRY_WAIT_S)

    def _end_registry_wait(self, now: float, *, read: bool) -> None:
        if self.starts_after:
            waited_s = round_s(now - self._registry_wait_began)
            self.note("registry_awaited", read=read, waited_s=waited_s)
            self.starts_after = 0.0

    def set_evacuated(self, now: float, evacuated: bool) -> None:
        """Start nothing on the workers of this domain while operators evacuate it; runs in progress
        end, and waiting tasks are lent to other domains."""
        if evacuated != self.evacuated:
            self.note("evacuation", domain=self.domain, evacuated=evacuated)
            self.evacuated = evacuated
            self._place_all(now)

    def _remove_departed_workers(self, now: float) -> None:
        """Remove workers that have left the registry once none of their runs can be alive.

        The answer to a poll must not be taken for that of a later one, if the worker returns.
        """
        for worker in list(self.worker_by_id.values()):
            busy = (
                worker.run_by_task
                or worker.poll_in_flight
                or self.stops.is_pending_on(worker.record.id)
            )
            if not worker.is_registered and not busy and now >= worker.clock.leases_expire_at:
                del self.worker_by_id[worker.record.id]

    def worker_lost(self, now: float, worker: Worker, reason: str) -> None:
        """Handle the termination of a worker's process: all of its runs are lost."""
        runs = [key for key in self._task_by_run if key[0] == worker.record.id]
        if runs or worker.state is WorkerState.READY:
            self.note("worker_lost", worker=worker.record.id, reason=reason, runs=len(runs))
        worker.clear_runs()
        self.crashes.confirm(now, worker.record.id)
        for task_id in self.stops.discard_worker(worker.record.id):
            self.worker_crashed(now, worker, task_id, confirmed=True)
            self.give_up_if_exhausted(now, task_id)
        for key in runs:
            task = self._task_by_run.get(key)
            if task is None:
                # Its job has ended with a run that was handled before.
                continue
            if task.phase is Phase.RUNNING:
                self.worker_crashed(now, worker, task.id, confirmed=True)
            self.presume_run_over(now, task, f"worker lost: {reason}")

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
        """Accept a job, attach a new session to it, or take it over from an earlier leader.

        :param round: number of times that the job was submitted to a leader before.
        """
        existing = self.job_by_id.get(job.id)
        if existing is not None:
            self.note("job_attached", job=job.id, requester=requester, round=round)
            existing.requester = requester
            if round != existing.round + 1:
                # Another leader has had the job in between, and may have started any task of it.
                self._delay_starts(existing, now + HANDOVER_S)
                existing.started_runs = max(1, existing.started_runs)
            existing.round = round
            existing.caller_deadline = max(existing.caller_deadline, now + caller_waits_s)
            return
        pool_job = new_pool_job(
            job,
            requester=requester,
            now=now,
            waited_s=waited_s,
            caller_waits_s=caller_waits_s,
            run_base=RUNS_PER_ROUND * round,
        )
        pool_job.round = round
        if self._refuse_if_too_large(pool_job, may_have_run=round > 0):
            return
        if progress is not None:
            self.crashes.merge(now, progress.crashes)
        exhausted = next((t for t in pool_job.task_by_id if self.crashes.is_exhausted(t)), None)
        self.job_by_id[job.id] = pool_job
        self.shares.offered(now, job.kind, pool_job.work)
        if exhausted is not None:
            self.give_up_if_exhausted(now, exhausted)
            return
        pool_job.started_runs = min(1, round)
        if round > 0:
            self._apply_progress(now, pool_job, progress)
        for task in pool_job.task_by_id.values():
            if task.phase is Phase.ENDED or self._adopt(now, task):
                continue
            if task.phase is Phase.WAITING:
                self._enqueue(now, task)
        self._unblock(now, pool_job)
        if pool_job.is_complete():
            self._finish(
                now, pool_job, Outcome.COMPLETE, "all tasks had ended under an earlier leader"
            )
            return
        self._place(now, job.service)
        if pool_job.waiting:
            self.note(
                "job_waits",
                routine=True,
                job=job.id,
                waiting=pool_job.waiting,
                start_by_s=round_s(self._start_by(pool_job) - now),
            )

    def cancel(self, now: float, requester: str, job_id: str) -> None:
        """Stop a job whose caller has left, or lent tasks that the lender no longer needs."""
        for pool_job in (
            self.job_by_id.get(job_id),
            self.lent_job_by_owner.get((requester, job_id)),
        ):
            if pool_job is not None and pool_job.requester == requester:
                self.note("job_cancelled", job=job_id, requester=requester)
                self._remove_job(now, pool_job)
                self._place(now, pool_job.job.service)

    def requester_lost(self, now: float, requester: str, *, silent: bool) -> None:
        """Stop the jobs of a lost requester: at once if its session went silent, otherwise those
        that no new session has claimed after ``REQUESTER_RECONNECT_S``. Lent tasks are stopped at
        once, since no other session can own them."""
        self.carriers.remove(requester)
        for (session, _), pool_job in list(self.lent_job_by_owner.items()):
            if session == requester:
                self._release_lent_tasks(now, pool_job, "the lender's session has closed")
        self.lenders.remove(requester)
        if silent:
            self._drop_jobs_of(now, requester)
        elif any(pool_job.requester == requester for pool_job in self.job_by_id.values()):
            self._requester_lost_at[requester] = now
        else:
            self.followers.remove(requester)

    def _drop_jobs_of(self, now: float, requester: str) -> None:
        pool_jobs = [p for p in self.job_by_id.values() if p.requester == requester]
        if pool_jobs:
            self.note(
                "requester_lost",
                requester=requester,
                jobs=[pool_job.job.id for pool_job in pool_jobs],
            )
        for pool_job in pool_jobs:
            self._remove_job(now, pool_job)
        self.followers.remove(requester)
        for service in {pool_job.job.service for pool_job in pool_jobs}:
            self._place(now, service)

    def peer_pool_updated(
        self,
        now: float,
        domain: str,
        room_by_service: Mapping[str, RoomByClass],
        wait_by_service: Mapping[str, float] = MappingProxyType({}),
    ) -> None:
        """Record the free capacity that another pool reports, and use it for waiting tasks.

        :param wait_by_service: forecast seconds until a place is free; leaders of an earlier
            release do not report it.
        """
        self.peers.update(now, domain, room_by_service, wait_by_service)
        for service, room in room_by_service.items():
            if room and self._waiting_by_service.get(service):
                self._place(now, service)

    def peer_pool_lost(self, now: float, domain: str, *, answered_at: float) -> None:
        """Handle a broken session to another pool: requeue the tasks lent to it, which may still
        run there until ``LENT_RUN_EXPIRY_S`` after its last pong.

        :param answered_at: time of that pong.
        """
        self.peers.remove(domain)
        not_before = answered_at + LENT_RUN_EXPIRY_S
        lost = 0
        for pool_job in list(self.job_by_id.values()):
            for task in list(pool_job.task_by_id.values()):
                if task.phase is Phase.LENT and task.location == domain:
                    task.not_before = max(task.not_before, not_before)
                    self.run_ended(now, task, TaskEnd.LOST, f"session to {domain} broke")
                    lost += 1
        if lost:
            self.note(
                "lent_tasks_lost",
                domain=domain,
                count=lost,
                restart_after_s=round_s(max(0.0, not_before - now)),
            )

    def lent_ended(
        self,
        now: float,
        domain: str,
        job_id: str,
        step: int,
        index: int,
        run: int,
        end: TaskEnd,
        *,
        crashes: tuple[CrashReport, ...] = (),
    ) -> None:
        """Handle another pool's report on the end of a task lent to it.

        :param crashes: crashes of workers under the task.
        """
        pool_job = self.job_by_id.get(job_id)
        task = pool_job.task_by_id.get(TaskId(job_id, step, index)) if pool_job else None
        if (
            task is None
            or task.phase is not Phase.LENT
            or task.location != domain
            or task.run != run
        ):
            return
        if end is TaskEnd.NO_ROOM:
            task.pool_job.started_runs -= 1
            # A last offer was made to workers that end the job late as well.
            begun = task.pool_job.started_runs > 0 or job_id in self._last_offer_by_job
            self.peers.mark_full(
                now,
                domain,
                task.pool_job.job.service,
                self._max_lent_slowness(now, task, begun=begun),
            )
            task.refused_until_by_domain[domain] = now + LEND_RETRY_S
        else:
            self.peers.place_freed(now, domain, task.pool_job.job.service)
        if end is TaskEnd.FAILED:
            task.avoid.add(domain)
        self.crashes.merge(now, crashes)
        self.run_ended(now, task, end, f"reported by {domain}")

    def advance(self, now: float) -> None:
        """Handle due timers: refuse or abandon expired jobs, repeat stops, poll workers, and place
        waiting tasks."""
        self._fastest_slowness_by_service.clear()
        self._forget_claimed_workers()
        self.presumed_ends.advance(now)
        self.timing.advance(now)
        if now >= self.starts_after:
            self._end_registry_wait(now, read=False)
        for requester, lost_at in list(self._requester_lost_at.items()):
            if now >= lost_at + REQUESTER_RECONNECT_S:
                del self._requester_lost_at[requester]
                self._drop_jobs_of(now, requester)
        for requester in self.followers.lost_sessions(now):
            self._requester_lost_at.pop(requester, None)
            self._drop_jobs_of(now, requester)
        for pool_job in list(self.job_by_id.values()):
            if pool_job.started_runs:
                self._count_accepted(now, pool_job)
                if now >= pool_job.caller_deadline:
                    self._finish(
                        now, pool_job, Outcome.ABANDONED, "not completed while the caller waited"
                    )
            elif pool_job.waiting and now >= self._start_by(pool_job):
                self._keep_late(now, pool_job)
        self._advance_last_offers(now)
        self._reorder_late()
        for worker_id, task_id, run in self.carriers.overdue(now):
            self.start_answered(now, worker_id, task_id, run, CallFailure.SILENT)
        for worker, task_id, run in self.stops.advance(now, is_run_over=self.is_run_over):
            self.presumed_ends.record(now, worker.record.id, task_id, run, "stop not confirmed")
            self.note("stop_unconfirmed", task=str(task_id), run=run, worker=worker.record.id)
            if worker.disconnected and worker.state is not WorkerState.READY:
                self.worker_crashed(now, worker, task_id, confirmed=False)
                self.give_up_if_exhausted(now, task_id)
        self._advance_lent_jobs(now)
        self.poller.advance(now)
        self._remove_departed_workers(now)
        self._place_all(now)
        self._shed_load(now)

    def is_idle(self) -> bool:
        """Tell whether nothing is in progress."""
        return (
            not self.job_by_id
            and not self.lent_job_by_owner
            and not self._task_by_run
            and not self.stops
        )
