"""Polling of workers: when a poll is due, and how its report changes the state of runs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ._actions import (
    Answered,
    CallFailure,
    PollReport,
    PollResult,
    PollWorker,
    Refusal,
    RunningEntry,
)
from ._jobs import TaskEnd
from ._leases import WorkerClock
from ._run_numbers import is_lent_run
from ._tasks import Phase, Task
from ._workers import SILENT_POLL_INTERVAL_S, Worker, WorkerState

if TYPE_CHECKING:
    from ._worker_pool import WorkerPool

POLL_WAIT_S = 0.3
"""Longest time for which a worker may hold a poll until the next run ends. Each poll renews the
leases of 0.8 s, so one poll may fail without a lease expiring."""

OVERDUE_POLL_WAIT_S = 0.06
"""Shortest such wait, used while a run is overdue so that its progress is known soon."""

OVERDUE_FACTOR = 1.7
"""A run is overdue at this multiple of its expected run time; declared run times are off by 40%."""

STUCK_FACTOR = 3.0
"""A run without any progress at this multiple of its expected run time counts as stuck."""

STUCK_MIN_S = 0.15
"""Shortest run time after which a run may count as overdue or stuck."""

IDLE_POLL_INTERVAL_S = 3.5
"""Interval of polls of an idle worker; keeps the reading of its clock recent enough for starts."""

ACK_DELAY_S = 0.5
"""Delay before the run ends on an idle worker are acknowledged by a poll of their own; usually the
next start, and with it a poll, comes sooner."""

NO_ANSWER_BACKOFF_S = 0.1
"""Pause after an unanswered start before the worker gets another one."""

SILENT_AFTER_STARTS = 2
"""Consecutive unanswered starts after which a worker counts as silent; a single answer may be
lost."""

MIGRATION_S = 0.08
"""Time that it takes to stop a run and start its task on another worker."""

MAX_MIGRATION_RATIO = 0.7
"""A task is moved only if its new run would end within this share of the remaining time of the
current one."""

OVERDUE_POLL_WAIT_RATIO = 0.25
"""The wait of polls of an overdue run as a share of its expected run time. Without it an overdue
run of several seconds would be polled 16 times a second until it ends."""

PROGRESS_CHECK_AFTER_S = 0.4
"""Run time from which progress is evaluated even if the run is not overdue yet."""

PROGRESS_CHECK_PERCENT = 10
"""Progress from which it is evaluated before the run is overdue. It is reported in whole percent,
so the end that follows from a lower one is off by more than a tenth: by half for a run of 20 s
after 0.4 s."""

ABANDON_SLACK_S = 0.1
"""A job is abandoned only if it would end this long after its caller stops waiting."""

MAX_SLOWNESS = 20.0
"""Upper bound of the slowness learned from a run that is moved."""

ORPHAN_CLAIM_S = 0.3
"""Time in which hosts submit their jobs to a new leader before it stops orphaned runs. It leaves
time to confirm the stops within ``UNOWNED_LEASE_S``, which ends the leases on the worker."""


class WorkerPoller:
    """Schedules polls of a pool's workers and applies their reports.

    It detects silent, restarted and terminated workers, and slow or stuck runs. At most one poll of
    a worker is in flight at a time.
    """

    def __init__(self, *, pool: WorkerPool) -> None:
        self._pool = pool
        self._claim_deadline_by_worker: dict[str, float] = {}

    def advance(self, now: float) -> None:
        """Send the polls that are due; end the runs on silent workers whose leases have expired."""
        pool = self._pool
        for worker in pool.worker_by_id.values():
            if worker.state is WorkerState.SILENT and now >= pool.runs_end_at(worker):
                for task in pool.active_tasks(worker):
                    if not pool.is_run_over(now, worker, task.id):
                        continue
                    if worker.disconnected:
                        pool.worker_crashed(now, worker, task.id, confirmed=False)
                    pool.presume_run_over(now, task, "worker silent and lease expired")
            if worker.orphan_run_by_task and now >= self._claim_deadline_by_worker.get(
                worker.record.id, 0.0
            ):
                self._stop_orphans(now, worker)
            if not worker.poll_in_flight and now >= worker.next_poll_at:
                self._poll(now, worker)

    def poll_now(self, now: float, worker: Worker) -> None:
        """Poll a worker that has a new run, unless a poll is in flight or it is not ready."""
        if not worker.poll_in_flight and worker.state is WorkerState.READY:
            self._poll(now, worker)

    def start_unanswered(self, now: float, worker: Worker) -> None:
        """Handle a start without an answer: pause new starts on the worker, and mark it silent
        after ``SILENT_AFTER_STARTS`` in a row."""
        worker.unanswered += 1
        worker.backoff_until = max(worker.backoff_until, now + NO_ANSWER_BACKOFF_S)
        if worker.state is WorkerState.READY and worker.unanswered >= SILENT_AFTER_STARTS:
            worker.state = WorkerState.SILENT
            worker.next_poll_at = now
            self._pool.counts["workers_silent"] = self._pool.counts.get("workers_silent", 0) + 1

    def process_ended(self, now: float, worker: Worker, reason: str) -> None:
        """Handle proof that the worker's process is gone: end its runs, and forget what is known of
        it. The worker is down until another process has reported."""
        worker.state = WorkerState.DOWN
        worker.life = None
        worker.clock = WorkerClock()
        worker.ends_seen = 0
        worker.unanswered = 0
        worker.next_poll_at = now + SILENT_POLL_INTERVAL_S
        self._pool.worker_lost(now, worker, reason)

    def _poll(self, now: float, worker: Worker) -> None:
        pool = self._pool
        busy = worker.state is WorkerState.READY and (
            worker.run_by_task or pool.stops.is_pending_on(worker.record.id)
        )
        worker.poll_in_flight = True
        worker.poll_sent_at = now
        worker.ends_acknowledged = worker.ends_seen
        # A poll that may reach the runs of another leader must not renew leases.
        limit = pool.lease_limit_on(worker)
        renews = bool(worker.state is WorkerState.READY and worker.run_by_task and limit > now)
        pool.actions.append(
            PollWorker(
                worker_id=worker.record.id,
                fence=pool.epoch,
                deadline_s=worker.clock.grant_lease(now, limit=limit) if renews else None,
                ends_seen=worker.ends_seen,
                wait_s=self._wait_s(now, worker) if busy else 0.0,
                margin_s=pool.timing.poll_margin_s(),
                life=worker.life if renews or worker.ends_seen else None,
            )
        )

    def _wait_s(self, now: float, worker: Worker) -> float:
        # The next poll must renew the leases in time, however old the proofs of followers are.
        lease_s = self._pool.followers.lowest_lease_limit() - now
        wait_s = min(POLL_WAIT_S, max(OVERDUE_POLL_WAIT_S, lease_s / 2.0))
        for task in self._pool.active_tasks(worker):
            overdue_s = task.ordered_at + OVERDUE_FACTOR * task.expected_s - now
            shortest_s = max(OVERDUE_POLL_WAIT_S, OVERDUE_POLL_WAIT_RATIO * task.expected_s)
            wait_s = min(wait_s, max(shortest_s, overdue_s))
        return wait_s

    def poll_answered(self, now: float, worker: Worker, result: PollResult) -> None:
        """Handle the result of a poll and schedule the next one."""
        worker.poll_in_flight = False
        match result:
            case PollReport():
                self._apply_report(now, worker, result)
            case Answered(refusal=Refusal.FENCED):
                self._pool.fenced_out = True
            case Answered(refusal=Refusal.OTHER_LIFE):
                self.process_ended(now, worker, "a different worker process answered")
            case _:
                # A refused connection may come from a broken path; only an answer from another
                # process proves that the worker has terminated.
                self._poll_unanswered(now, worker, result)
        self._schedule_next_poll(now, worker)

    def _poll_unanswered(self, now: float, worker: Worker, result: object) -> None:
        worker.disconnected = result in (CallFailure.BROKEN, CallFailure.REFUSED)
        if worker.state is WorkerState.READY:
            self._pool.note("worker_silent", worker=worker.record.id, result=str(result))
            worker.state = WorkerState.SILENT
            worker.next_poll_at = now
        else:
            worker.next_poll_at = now + SILENT_POLL_INTERVAL_S

    def _schedule_next_poll(self, now: float, worker: Worker) -> None:
        # Applying the report may have sent a poll already. A second one in flight would make
        # reports ambiguous: the time of the latest poll decides which starts a report must list.
        if worker.state is not WorkerState.READY or worker.poll_in_flight:
            return
        if worker.run_by_task or self._pool.stops.is_pending_on(worker.record.id):
            self._poll(now, worker)
        elif worker.ends_seen > worker.ends_acknowledged:
            worker.next_poll_at = now + ACK_DELAY_S
        else:
            worker.next_poll_at = now + IDLE_POLL_INTERVAL_S

    def _apply_report(self, now: float, worker: Worker, report: PollReport) -> None:
        pool = self._pool
        if worker.is_other_process(report.life):
            pool.note(
                "worker_restarted",
                worker=worker.record.id,
                runs=len(worker.run_by_task),
                life=report.life,
                before=worker.life,
            )
            # Starts are bound to the process, so the new one has none of this leader's runs.
            self.process_ended(now, worker, "another process of the worker reports")
        elif worker.state is WorkerState.SILENT:
            pool.crashes.withdraw(now, worker.record.id)
        is_first_report = worker.state in (WorkerState.UNFENCED, WorkerState.DOWN)
        if worker.state is not WorkerState.READY:
            pool.note("worker_ready", worker=worker.record.id, after=worker.state.value)
        worker.state = WorkerState.READY
        worker.disconnected = False
        worker.unanswered = 0
        worker.life = report.life
        worker.clock.update(reading_s=report.clock_s, now=now)
        if is_first_report:
            self._claim_deadline_by_worker[worker.record.id] = now + ORPHAN_CLAIM_S
            worker.unowned_lease_limit = pool.unowned_lease_limit(now)
            worker.clock.count_earlier_leases(now)
        worker_id = worker.record.id
        for ended in sorted(report.ended, key=lambda ended: ended.number):
            if ended.number <= worker.ends_seen:
                continue
            worker.ends_seen = ended.number
            if pool.stops.run_ended(worker_id, ended.task, ended.run):
                if ended.end is TaskEnd.DONE:
                    pool.stopped_run_done(now, worker, ended.task, ended.run)
                continue
            pool.refute_presumed_end(now, worker, ended.task, ended.run, ended.end)
            was_orphan = worker.orphan_run_by_task.pop(ended.task, None) == ended.run
            task = pool.task_of_run(worker_id, ended.task, ended.run)
            if task is not None:
                pool.run_ended(now, task, ended.end, "listed by the worker")
            elif is_first_report or was_orphan:
                pool.record_orphan_end(ended.task, ended.end)
                pool.adopt_orphan(now, ended.task)
        listed = {(entry.task, entry.run) for entry in report.running}
        for entry in report.running:
            self._apply_running_entry(now, worker, entry, is_first_report=is_first_report)
        for task in pool.active_tasks(worker):
            answered = task.phase is Phase.RUNNING and task.started_at < worker.poll_sent_at
            if answered and (task.id, task.run) not in listed:
                pool.presume_run_over(now, task, "no longer listed by the worker")

    def _apply_running_entry(
        self, now: float, worker: Worker, entry: RunningEntry, *, is_first_report: bool
    ) -> None:
        pool = self._pool
        task = pool.task_of_run(worker.record.id, entry.task, entry.run)
        if task is None:
            if pool.stops.is_requested(worker.record.id, entry.task, entry.run):
                return
            pool.refute_presumed_end(now, worker, entry.task, entry.run, "running")
            if worker.orphan_run_by_task.get(entry.task) == entry.run:
                return
            if is_lent_run(entry.run):
                # Its owner was a session of an earlier leader, so nobody can claim it.
                pool.stop_orphan(now, worker, entry.task, entry.run, lease_limit=now)
                return
            worker.orphan_run_by_task[entry.task] = entry.run
            if is_first_report:
                pool.adopt_orphan(now, entry.task)
            else:
                # Its start was carried out late, after the first reading.
                self._claim_deadline_by_worker[worker.record.id] = now
                worker.unowned_lease_limit = now
            pool.unclaimed_worker_by_id[worker.record.id] = worker
            return
        if task.phase is Phase.ORDERED:
            task.phase = Phase.RUNNING
            task.started_at = now
        task.percent = entry.percent
        if task.adopted_percent is None:
            task.adopted_percent = entry.percent
        self._check_progress(now, worker, task)

    def _check_progress(self, now: float, worker: Worker, task: Task) -> None:
        """Move a run that will not end in time, or abandon its job if no worker would be in
        time.

        A run is moved if a new one would meet the earliest limit that can still be met (on time,
        late, or the end of the caller's wait), and the present one would not.
        """
        estimate_s = task.step.estimate_s
        elapsed_s = now - task.ordered_at
        expected_s = task.expected_s
        # The run time before an adoption is not known, so only the progress since then counts.
        gained = task.percent - task.start_percent()
        if elapsed_s < max(STUCK_MIN_S, OVERDUE_FACTOR * expected_s) and (
            elapsed_s < PROGRESS_CHECK_AFTER_S or gained < PROGRESS_CHECK_PERCENT
        ):
            return
        pool_job = task.pool_job
        stuck = gained <= 0 and elapsed_s > max(STUCK_MIN_S, STUCK_FACTOR * expected_s)
        pool = self._pool
        ratio = pool.run_times.ratio_of(pool_job.job.kind)
        left_s = math.inf if stuck else pool.run_left_s(now, task, worker)
        # The run may be just short of the next whole percent.
        least_left_s = min(left_s, elapsed_s * max(0, 99 - task.percent) / max(1, gained + 1))
        run_s = (elapsed_s + left_s) * 100 / (100 - task.start_percent())
        # A run without progress says nothing about the work of its task.
        work_s = run_s / worker.slowness if gained > 0 else estimate_s * ratio.mean
        rerun_s = MIGRATION_S + work_s * pool.fastest_slowness(pool_job.job.service)
        limits = (pool_job.due_at, pool_job.late_at, pool_job.caller_deadline)
        limit = next((limit for limit in limits if now + rerun_s <= limit), limits[-1])
        if not stuck and (now + left_s <= limit or rerun_s >= left_s * MAX_MIGRATION_RATIO):
            if now + least_left_s > pool_job.caller_deadline + ABANDON_SLACK_S:
                pool.abandon(now, pool_job, f"{task.id} would be late, ending in {left_s:.2f} s")
            return
        if now + rerun_s > pool_job.caller_deadline:
            pool.abandon(now, pool_job, f"{task.id}: no worker is fast enough")
            return
        pool.note(
            "run_slow",
            task=str(task.id),
            worker=worker.record.id,
            percent=task.percent,
            elapsed_s=round(elapsed_s, 3),
            expected_s=round(expected_s, 3),
            kind_ratio=round(ratio.mean, 3),
        )
        slowness = min(MAX_SLOWNESS, run_s / max(0.01, estimate_s))
        worker.learn_speed(pool_job.job.kind, slowness, estimate_s)
        if stuck:
            pool.record_failure(now, worker, pool_job)
        task.avoid.add(worker.record.id)
        pool.stop_run(now, task, "no progress" if stuck else "too slow for the objective")
        pool.requeue(now, task)

    def _stop_orphans(self, now: float, worker: Worker) -> None:
        pool = self._pool
        for task_id, run in worker.orphan_run_by_task.items():
            pool.stop_orphan(now, worker, task_id, run, lease_limit=worker.unowned_lease_limit)
        worker.orphan_run_by_task.clear()
