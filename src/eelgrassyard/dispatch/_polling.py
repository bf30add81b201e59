"""Looks at workers: when they are due, and what their reports say about runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._actions import Answered, PollReport, PollResult, PollWorker, Refusal, RunningEntry
from ._jobs import TaskEnd
from ._tasks import Phase, Task
from ._workers import SILENT_POLL_INTERVAL_S, Worker, WorkerState

if TYPE_CHECKING:
    from ._worker_pool import WorkerPool

POLL_WAIT_S = 0.3
"""Longest wait of a look for the next end. Leases of 0.8 s are renewed with each look, so one look
may fail without a lease lapsing."""

OVERDUE_POLL_WAIT_S = 0.06
"""Wait of a look while a run is overdue, so that its progress is known soon."""

OVERDUE_FACTOR = 1.7
"""A run is overdue at this multiple of the expected time; declared times are off by 40%."""

STUCK_FACTOR = 3.0
"""A run without any progress at this multiple of the expected time is taken for stuck."""

STUCK_MIN_S = 0.15

IDLE_POLL_INTERVAL_S = 3.5
"""Pause between looks at an idle worker; keeps the reading of its clock fresh for starts."""

ACK_DELAY_S = 0.5
"""Pause before the ends on an idle worker are acknowledged; the next start usually comes sooner."""

NO_ANSWER_BACKOFF_S = 0.1
SILENT_AFTER_STARTS = 2
"""Unanswered orders in a row after which a worker counts as silent; a single answer may be lost."""

MIGRATION_S = 0.08
"""Time to stop a run and start it elsewhere."""

MAX_MIGRATION_RATIO = 0.7
"""A run is moved only if the new one ends in less than this share of the time that is left."""

PROGRESS_CHECK_AFTER_S = 0.4
"""Progress of a run that is not overdue yet is judged from this time on."""

GIVE_UP_SLACK_S = 0.1
"""A job is given up only if it would end this much after its caller's time; percents are coarse."""

MAX_SLOWNESS = 20.0

ORPHAN_CLAIM_S = 0.35
"""Time in which hosts hand their jobs to a new leader before it stops runs that nobody claimed."""


class WorkerPoller:
    """Plans looks at the workers of a pool and reads their reports."""

    def __init__(self, *, pool: WorkerPool) -> None:
        self._pool = pool
        self._claim_deadline_by_worker: dict[str, float] = {}

    def advance(self, now: float) -> None:
        """Send the looks that are due; end the runs on silent workers whose leases are over."""
        pool = self._pool
        for worker in pool.worker_by_id.values():
            if worker.state is WorkerState.SILENT and now >= worker.clock.lapses_at:
                for task in pool.active_tasks(worker):
                    pool.run_ended(
                        now, task, TaskEnd.LOST, "the worker is silent, the lease is over"
                    )
            if worker.orphan_run_by_task and now >= self._claim_deadline_by_worker.get(
                worker.record.id, 0.0
            ):
                self._stop_orphans(now, worker)
            if not worker.poll_in_flight and now >= worker.next_poll_at:
                self._poll(now, worker)

    def poll_now(self, now: float, worker: Worker) -> None:
        """Look at a worker that has got a run."""
        if not worker.poll_in_flight and worker.state is WorkerState.READY:
            self._poll(now, worker)

    def start_unanswered(self, now: float, worker: Worker) -> None:
        """A call was not answered: give the worker a pause, and no work after the second in a
        row."""
        worker.unanswered += 1
        worker.backoff_until = max(worker.backoff_until, now + NO_ANSWER_BACKOFF_S)
        if worker.state is WorkerState.READY and worker.unanswered >= SILENT_AFTER_STARTS:
            worker.state = WorkerState.SILENT
            worker.next_poll_at = now
            self._pool.counts["workers_silent"] = self._pool.counts.get("workers_silent", 0) + 1

    def process_ended(self, now: float, worker: Worker, reason: str) -> None:
        """The worker's process has ended."""
        worker.state = WorkerState.DOWN
        worker.life = None
        worker.ends_seen = 0
        worker.next_poll_at = now + SILENT_POLL_INTERVAL_S
        self._pool.worker_lost(now, worker, reason)

    def _poll(self, now: float, worker: Worker) -> None:
        pool = self._pool
        busy = worker.state is WorkerState.READY and (
            worker.run_by_task or pool.stops.on_worker(worker.record.id)
        )
        worker.poll_in_flight = True
        worker.poll_sent_at = now
        worker.ends_acknowledged = worker.ends_seen
        # A look that may reach another life of the worker or another leader's runs renews nothing.
        renews = bool(worker.state is WorkerState.READY and worker.run_by_task)
        pool.actions.append(
            PollWorker(
                worker_id=worker.record.id,
                fence=pool.epoch,
                deadline_s=worker.clock.grant_lease(now) if renews else None,
                ends_seen=worker.ends_seen,
                wait_s=self._wait_s(now, worker) if busy else 0.0,
            )
        )

    def _wait_s(self, now: float, worker: Worker) -> float:
        wait_s = POLL_WAIT_S
        for task in self._pool.active_tasks(worker):
            expected_s = task.step.estimate_s * worker.speed.slowness()
            overdue_s = task.ordered_at + OVERDUE_FACTOR * expected_s - now
            wait_s = min(wait_s, max(OVERDUE_POLL_WAIT_S, overdue_s))
        return wait_s

    def poll_answered(self, now: float, worker: Worker, result: PollResult) -> None:
        """Note what became of a look."""
        worker.poll_in_flight = False
        match result:
            case PollReport():
                self._apply_report(now, worker, result)
            case Answered(refusal=Refusal.FENCED):
                self._pool.fenced_out = True
            case Answered(refusal=Refusal.OTHER_LIFE):
                self.process_ended(now, worker, "another life answered")
            case _:
                # A refused connection may come from a cut path; only another life proves a death.
                self._poll_unanswered(now, worker, result)
        self._schedule_next_poll(now, worker)

    def _poll_unanswered(self, now: float, worker: Worker, result: object) -> None:
        if worker.state is WorkerState.READY:
            self._pool.note("worker_silent", worker=worker.record.id, result=str(result))
            worker.state = WorkerState.SILENT
            worker.next_poll_at = now
        else:
            worker.next_poll_at = now + SILENT_POLL_INTERVAL_S

    def _schedule_next_poll(self, now: float, worker: Worker) -> None:
        # Reading a report may have led to a look already. A second one beside it would make reports
        # ambiguous: the time of the latest look tells which starts a report must list.
        if worker.state is not WorkerState.READY or worker.poll_in_flight:
            return
        if worker.run_by_task or self._pool.stops.on_worker(worker.record.id):
            self._poll(now, worker)
        elif worker.ends_seen > worker.ends_acknowledged:
            worker.next_poll_at = now + ACK_DELAY_S
        else:
            worker.next_poll_at = now + IDLE_POLL_INTERVAL_S

    def _apply_report(self, now: float, worker: Worker, report: PollReport) -> None:
        pool = self._pool
        if worker.life is not None and report.life is not None and report.life != worker.life:
            # Its ends are numbered anew. Runs of the old life are no longer listed; a start that
            # has just been answered may belong to the new one.
            pool.note("worker_restarted", worker=worker.record.id, runs=len(worker.run_by_task))
            worker.ends_seen = 0
        first = worker.state in (WorkerState.UNFENCED, WorkerState.DOWN)
        if worker.state is not WorkerState.READY:
            pool.note("worker_ready", worker=worker.record.id, after=worker.state.value)
        worker.state = WorkerState.READY
        worker.unanswered = 0
        worker.life = report.life
        worker.clock.read(reading_s=report.clock_s, now=now)
        if first:
            self._claim_deadline_by_worker[worker.record.id] = now + ORPHAN_CLAIM_S
        worker_id = worker.record.id
        for ended in sorted(report.ended, key=lambda ended: ended.number):
            if ended.number <= worker.ends_seen:
                continue
            worker.ends_seen = ended.number
            if pool.stops.run_ended(worker_id, ended.task, ended.run):
                continue
            worker.orphan_run_by_task.pop(ended.task, None)
            task = pool.task_of_run(worker_id, ended.task, ended.run)
            if task is not None:
                pool.run_ended(now, task, ended.end, "listed by the worker")
            elif first:
                pool.record_orphan_end(ended.task, ended.end)
                pool.adopt_orphan(now, ended.task)
        listed = {(entry.task, entry.run) for entry in report.running}
        for entry in report.running:
            self._apply_running_entry(now, worker, entry, first=first)
        for task in pool.active_tasks(worker):
            answered = task.phase is Phase.RUNNING and task.started_at < worker.poll_sent_at
            if answered and (task.id, task.run) not in listed:
                pool.run_ended(now, task, TaskEnd.LOST, "no longer listed by the worker")

    def _apply_running_entry(
        self, now: float, worker: Worker, entry: RunningEntry, *, first: bool
    ) -> None:
        pool = self._pool
        task = pool.task_of_run(worker.record.id, entry.task, entry.run)
        if task is None:
            if pool.stops.is_requested(worker.record.id, entry.task, entry.run):
                return
            if worker.orphan_run_by_task.get(entry.task) == entry.run:
                return
            worker.orphan_run_by_task[entry.task] = entry.run
            if first:
                pool.adopt_orphan(now, entry.task)
            else:
                self._claim_deadline_by_worker[worker.record.id] = now
            return
        if task.phase is Phase.ORDERED:
            task.phase = Phase.RUNNING
            task.started_at = now
        task.percent = entry.percent
        self._check_progress(now, worker, task)

    def _check_progress(self, now: float, worker: Worker, task: Task) -> None:
        """Move a run that will not end in time, or give up its job if no worker could do better."""
        estimate_s = task.step.estimate_s
        elapsed_s = now - task.ordered_at
        expected_s = estimate_s * worker.speed.slowness()
        if elapsed_s < max(STUCK_MIN_S, OVERDUE_FACTOR * expected_s) and (
            elapsed_s < PROGRESS_CHECK_AFTER_S or task.percent == 0
        ):
            return
        owner = task.owner
        stuck = task.percent == 0 and elapsed_s > max(STUCK_MIN_S, STUCK_FACTOR * expected_s)
        left_s = elapsed_s * (100 - task.percent) / max(1, task.percent)
        # The work as the progress shows it, which says more than the declared time.
        work_s = estimate_s if stuck else (elapsed_s + left_s) / worker.speed.slowness()
        pool = self._pool
        again_s = MIGRATION_S + work_s * pool.fastest_slowness(owner.job.service)
        limit = owner.due if now + again_s <= owner.due else owner.gives_up_at
        if not stuck and (now + left_s <= limit or again_s >= left_s * MAX_MIGRATION_RATIO):
            if now + left_s > owner.gives_up_at + GIVE_UP_SLACK_S:
                pool.give_up(now, owner, f"{task.id} would end {left_s:.2f} s from now")
            return
        if now + again_s > owner.gives_up_at:
            pool.give_up(now, owner, f"{task.id} has no worker that is fast enough")
            return
        pool.note(
            "run_slow",
            task=str(task.id),
            worker=worker.record.id,
            percent=task.percent,
            elapsed_s=round(elapsed_s, 3),
            expected_s=round(expected_s, 3),
        )
        slowness = min(MAX_SLOWNESS, (elapsed_s + left_s) / max(0.01, estimate_s))
        worker.speed.add(owner.job.kind, slowness)
        if stuck:
            pool.record_failure(now, worker, owner)
        task.avoid.add(worker.record.id)
        pool.stop_run(now, task, "no progress" if stuck else "too slow for the objective")
        pool.requeue(now, task)

    def _stop_orphans(self, now: float, worker: Worker) -> None:
        pool = self._pool
        for task_id, run in worker.orphan_run_by_task.items():
            pool.stop_orphan(now, worker, task_id, run)
        worker.orphan_run_by_task.clear()
