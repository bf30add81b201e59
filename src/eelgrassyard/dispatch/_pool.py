"""The leader's side: places the tasks of jobs on the workers of one failure domain."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ._actions import (
    Action,
    Answered,
    Ask,
    LookResult,
    Note,
    OrderResult,
    Refusal,
    Reply,
    StartRun,
)
from ._jobs import Job, Outcome, Step, TaskEnd, TaskId
from ._looks import Looks
from ._messages import Cancel, JobEnded, JobReturned, Lend, LentEnded, Progress
from ._stops import STOP_MARGIN_S, Stops
from ._tasks import Phase, PoolJob, Task, open_job, open_lent
from ._waiting import WaitingTasks
from ._workers import Worker, WorkerRecord, WorkerState, choose

MAX_MISSES = 6
"""Waiting tasks in a row that find no room before a round of placing ends; sizes within a service
are alike, so the next ones would not fit either."""

RUNS_A_ROUND = 100
"""Runs are numbered from this multiple of the job's round, so that a later leader's are higher."""

RUN_JUMP = 1000
"""Added to the number of a run that a worker calls too low."""

HANDOVER_S = 0.95
"""After a change of leader, runs of tasks that no worker has listed may be alive for this long: the
lease, the clock error, and the time in which another domain notices that its requester is gone."""

LENT_LOSS_S = 1.0
"""After the session to another pool has broken, tasks lent to it are over by then: it stops them
when the session is silent for 0.5 s, and their leases lapse if it cannot."""

ORPHAN_S = 0.25
"""Time in which a requester whose connection broke may open a new one before its jobs are
stopped."""

BUSY_PAUSE_S = 0.3
FULL_PAUSE_S = 0.03
"""Pauses before a worker that refused a start gets another one."""

NO_ROOM_HELD = Step(count=1, cpu=0)
"""Stands for the unknown size of a run that an earlier leader started."""

MIN_RETRY_AFTER_S = 1.0
"""Smallest unit of the Retry-After header."""


@dataclass(slots=True, kw_only=True)
class Neighbour:
    """Pool of another failure domain, as it last described itself."""

    free_by_service: dict[str, int] = field(default_factory=dict)


class Pool:
    """Jobs and runs of one failure domain, while this host leads it.

    Each method takes the current time in seconds and leaves actions in :attr:`actions`; the driver
    carries them out and reports the results. :meth:`advance` is called at least every 20 ms while
    anything is in progress.

    :param epoch: fence of all orders; higher than that of any earlier leader.
    :param now: time at which the host began to lead.
    :param stop_s: longest time that a worker takes to stop a run.
    :param far_factor: how many times longer a task takes away from its rack.
    """

    def __init__(
        self, *, domain: str, epoch: int, now: float, stop_s: float, far_factor: float
    ) -> None:
        self.domain = domain
        self.epoch = epoch
        self.actions: list[Action] = []
        self.fenced_out = False
        self.worker_by_id: dict[str, Worker] = {}
        self.workers_by_service: dict[str, list[Worker]] = {}
        self.job_by_id: dict[str, PoolJob] = {}
        self.lent_by_id: dict[str, PoolJob] = {}
        self.neighbour_by_domain: dict[str, Neighbour] = {}
        self.counts: dict[str, int] = {}
        self._far_factor = far_factor
        self._records: Mapping[str, WorkerRecord] = {}
        self._waiting_by_service: dict[str, WaitingTasks] = {}
        self._live: dict[tuple[str, TaskId, int], Task] = {}
        self._orphaned_at: dict[str, float] = {}
        self._usual_cpu: dict[str, float] = {}
        self._found_end: dict[TaskId, TaskEnd] = {}
        self._closing: list[Task] = []
        self.stops = Stops(epoch=epoch, stop_s=stop_s + STOP_MARGIN_S, actions=self.actions)
        self.looks = Looks(pool=self)

    # --- workers ---

    def set_workers(self, now: float, records: Mapping[str, WorkerRecord]) -> None:
        """Replace the registered workers of all domains; the pool uses those of its own."""
        self._records = records
        for record in records.values():
            if record.domain != self.domain:
                continue
            worker = self.worker_by_id.get(record.id)
            if worker is None:
                self.worker_by_id[record.id] = Worker(record=record)
                self.note("worker_added", worker=record.id, service=record.service)
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
        self._forget_departed(now)
        self._index_workers()
        self.looks.advance(now)
        self._place_all(now)

    def _index_workers(self) -> None:
        self.workers_by_service = {}
        for worker in self.worker_by_id.values():
            if worker.is_registered:
                self.workers_by_service.setdefault(worker.record.service, []).append(worker)

    def _forget_departed(self, now: float) -> None:
        """Drop workers that have left the registry once none of their runs can be alive."""
        for worker in list(self.worker_by_id.values()):
            busy = worker.run_by_task or self.stops.on_worker(worker.record.id)
            if not worker.is_registered and not busy and now >= worker.clock.lapses_at:
                del self.worker_by_id[worker.record.id]

    def worker_lost(self, now: float, worker: Worker, reason: str) -> None:
        """Note that a worker's process is gone, and all of its runs with it."""
        runs = [key for key in self._live if key[0] == worker.record.id]
        if runs or worker.state is WorkerState.READY:
            self.note("worker_lost", worker=worker.record.id, reason=reason, runs=len(runs))
        worker.forget_runs()
        self.stops.forget_worker(worker.record.id)
        for key in runs:
            self.run_over(now, self._live[key], TaskEnd.LOST, f"worker lost: {reason}")

    def ready_workers(self) -> int:
        """Number of workers that answer and are fenced."""
        return sum(w.state is WorkerState.READY for w in self.worker_by_id.values())

    def dump(self) -> dict[str, object]:
        """State of workers and jobs, for operators."""
        return {
            "epoch": self.epoch,
            "counts": self.counts,
            "workers": {
                worker.record.id: {
                    "state": worker.state.value,
                    "draining": worker.record.draining,
                    "registered": worker.is_registered,
                    "slowness": round_s(worker.speed.slowness()),
                    "ejected_until": round_s(worker.ejected_until),
                    "held_cpu": worker.held_cpu,
                    "lapses_at": round_s(worker.clock.lapses_at),
                    "runs": {str(task): run for task, run in worker.run_by_task.items()},
                }
                for worker in self.worker_by_id.values()
            },
            "jobs": {
                job_id: {
                    "requester": owner.requester,
                    "due": round_s(owner.due),
                    "gives_up_at": round_s(owner.gives_up_at),
                    "tasks": {str(t.id): t.phase.name.lower() for t in owner.task_by_id.values()},
                }
                for job_id, owner in self.job_by_id.items()
            },
            "neighbours": {
                domain: neighbour.free_by_service
                for domain, neighbour in self.neighbour_by_domain.items()
            },
        }

    def live_runs(self, worker: Worker) -> list[Task]:
        """Tasks that are ordered or running on a worker."""
        task_by_key = self._live
        worker_id = worker.record.id
        return [
            task
            for task_id, run in worker.run_by_task.items()
            if (task := task_by_key.get((worker_id, task_id, run))) is not None
        ]

    def live_run(self, worker_id: str, task_id: TaskId, run: int) -> Task | None:
        """The task of a run in progress."""
        return self._live.get((worker_id, task_id, run))

    # --- requests from hosts ---

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
        owner = open_job(
            job,
            requester=requester,
            now=now,
            waited_s=waited_s,
            caller_waits_s=caller_waits_s,
            run_base=RUNS_A_ROUND * round,
        )
        if not self._can_ever_fit(job):
            self.note("job_too_large", job=job.id, service=job.service)
            self._reply(owner, JobEnded(job_id=job.id, outcome=Outcome.FAILED, reason="too large"))
            return
        self.job_by_id[job.id] = owner
        owner.orders = min(1, round)
        if round > 0:
            self._note_handover(now, owner, progress)
        for task in owner.task_by_id.values():
            if task.phase is Phase.ENDED or self._adopt(now, task):
                continue
            if task.phase is Phase.WAITING:
                self._queue(now, task)
        self._unblock(now, owner)
        if owner.is_complete():
            self._finish(now, owner, Outcome.COMPLETE, "all tasks had ended")
            return
        self._place(now, job.service)
        if owner.waiting:
            self.note(
                "job_waits",
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
    ) -> None:
        """Start tasks of another pool's job at once, or refuse them."""
        owner = open_lent(
            job,
            requester=requester,
            now=now,
            waited_s=waited_s,
            caller_waits_s=caller_waits_s,
            step=step,
            runs=runs,
        )
        known = self.lent_by_id.get(job.id)
        if known is not None and known.requester == requester:
            known.task_by_id.update(owner.task_by_id)
            for task in owner.task_by_id.values():
                task.owner = known
        else:
            self.lent_by_id[job.id] = owner
        busy = bool(len(self._waiting_by_service.get(job.service, ())))
        for task in list(owner.task_by_id.values()):
            if busy or not self._start_somewhere(now, task):
                self._lent_over(task, TaskEnd.NO_ROOM)

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
            self._stop_orphans(now, requester)
        elif any(o.requester == requester for o in self._owners()):
            self._orphaned_at[requester] = now

    def _stop_orphans(self, now: float, requester: str) -> None:
        orphans = [owner for owner in self._owners() if owner.requester == requester]
        if orphans:
            self.note("requester_lost", requester=requester, jobs=[o.job.id for o in orphans])
        for owner in orphans:
            self._drop(now, owner)
        for service in {owner.job.service for owner in orphans}:
            self._place(now, service)

    def _owners(self) -> Iterable[PoolJob]:
        yield from self.job_by_id.values()
        yield from self.lent_by_id.values()

    # --- other pools ---

    def neighbour_seen(self, now: float, domain: str, free_by_service: dict[str, int]) -> None:
        """Note how much room another pool says it has."""
        self.neighbour_by_domain[domain] = Neighbour(free_by_service=dict(free_by_service))
        for service, free in free_by_service.items():
            if free > 0 and self._waiting_by_service.get(service):
                self._place(now, service)

    def neighbour_lost(self, now: float, domain: str) -> None:
        """The session to another pool has broken; tasks lent there end within ``LENT_LOSS_S``."""
        self.neighbour_by_domain.pop(domain, None)
        for owner in list(self.job_by_id.values()):
            for task in list(owner.task_by_id.values()):
                if task.phase is Phase.LENT and task.place == domain:
                    task.not_before = max(task.not_before, now + LENT_LOSS_S)
                    self.run_over(now, task, TaskEnd.LOST, f"session to {domain} broke")

    def lent_ended(
        self, now: float, domain: str, job_id: str, step: int, index: int, run: int, end: TaskEnd
    ) -> None:
        """Another pool reports the end of a task lent to it."""
        owner = self.job_by_id.get(job_id)
        task = owner.task_by_id.get(TaskId(job_id, step, index)) if owner else None
        if task is None or task.phase is not Phase.LENT or task.place != domain or task.run != run:
            return
        if end is TaskEnd.NO_ROOM:
            task.owner.orders -= 1
            neighbour = self.neighbour_by_domain.get(domain)
            if neighbour is not None:
                neighbour.free_by_service[task.owner.job.service] = 0
        elif end is TaskEnd.FAILED:
            task.avoid.add(domain)
        self.run_over(now, task, end, f"reported by {domain}")

    def free_by_service(self, now: float) -> dict[str, int]:
        """Tasks of usual size that could start at once, by service."""
        free: dict[str, int] = {}
        for service, workers in self.workers_by_service.items():
            usual = self._usual_cpu.get(service, 1000.0)
            busy = len(self._waiting_by_service.get(service, ()))
            places = sum(
                math.floor((worker.record.cpu - worker.held_cpu) / usual)
                for worker in workers
                if worker.is_usable(now)
            )
            free[service] = max(0, places) if not busy else 0
        return free

    # --- placing ---

    def _can_ever_fit(self, job: Job) -> bool:
        workers = [
            Worker(record=record)
            for record in self._records.values()
            if record.service == job.service
        ]
        if not workers:
            return True
        return all(any(worker.could_hold(step) for worker in workers) for step in job.steps)

    def _queue(self, now: float, task: Task) -> None:
        service = task.owner.job.service
        task.phase = Phase.WAITING
        task.owner.waiting += 1
        waiting = self._waiting_by_service.setdefault(service, WaitingTasks())
        waiting.add(task, start_by=self._start_by(task.owner))

    def _start_by(self, owner: PoolJob) -> float:
        """Time by which a job must start to be answered on time."""
        return owner.due - owner.job.critical_path_s() * min(1.0, self.fastest(owner.job.service))

    def _place_all(self, now: float) -> None:
        for service in list(self._waiting_by_service):
            self._place(now, service)

    def _place(self, now: float, service: str) -> None:
        """Start waiting tasks while there is room, here or in other pools."""
        waiting = self._waiting_by_service.get(service)
        if not waiting:
            return
        placed: set[int] = set()
        unplaced: list[Task] = []
        misses = 0
        for task in waiting:
            if task.phase is not Phase.WAITING:
                placed.add(id(task))
            elif self._must_wait(now, task):
                continue
            elif misses < MAX_MISSES and self._start_somewhere(now, task):
                placed.add(id(task))
            else:
                misses += 1
                unplaced.append(task)
        for task in self._lend_out(now, service, unplaced):
            placed.add(id(task))
        if placed:
            waiting.remove(placed)

    def _must_wait(self, now: float, task: Task) -> bool:
        return now < task.not_before or self.stops.is_stopping(task.id)

    def _start_somewhere(self, now: float, task: Task) -> bool:
        owner = task.owner
        service = owner.job.service
        step = task.step
        workers = self.workers_by_service.get(service, ())
        self._limit_ejections(now, workers)
        count_by_worker: dict[str, int] | None = None
        racks: set[str] = set()
        if step.max_per_worker or step.same_rack:
            count_by_worker = {}
            for other in owner.tasks_of(task.id.step):
                if other.phase in (Phase.ORDERED, Phase.RUNNING):
                    count_by_worker[other.place] = count_by_worker.get(other.place, 0) + 1
                    racks.add(self.worker_by_id[other.place].record.rack)
            if not step.max_per_worker:
                count_by_worker = None
        worker = choose(
            workers,
            step,
            now=now,
            budget_s=owner.due - now,
            # A job that has not begun starts only where it can be in time; one that has goes on.
            limit_s=(owner.gives_up_at if owner.orders else owner.due) - now,
            avoid=task.avoid,
            racks=racks,
            count_by_worker=count_by_worker,
            far_factor=self._far_factor,
        )
        if worker is None or task.id in worker.run_by_task:
            return False
        self._start(now, task, worker)
        return True

    def _limit_ejections(self, now: float, workers: Iterable[Worker]) -> None:
        """Use ejected workers after all if they are more than half of the service."""
        ejected = [w for w in workers if now < w.ejected_until or w.on_trial]
        if len(ejected) * 2 > len(list(workers)):
            for worker in ejected:
                worker.ejected_until = 0.0
                worker.on_trial = False

    def _start(self, now: float, task: Task, worker: Worker) -> None:
        owner = task.owner
        if task.phase is Phase.WAITING:
            owner.waiting = max(0, owner.waiting - 1)
        task.phase = Phase.ORDERED
        task.run += 1
        task.place = worker.record.id
        task.ordered_at = now
        task.percent = 0
        owner.orders += 1
        worker.hold(task.step, task.id, task.run)
        self._live[(worker.record.id, task.id, task.run)] = task
        usual = self._usual_cpu.get(owner.job.service, float(task.step.cpu))
        self._usual_cpu[owner.job.service] = max(1.0, usual + 0.02 * (task.step.cpu - usual))
        self.actions.append(
            StartRun(
                worker_id=worker.record.id,
                task=task.id,
                run=task.run,
                payload=owner.job.payload,
                deadline_s=worker.clock.lease_until(now),
                fence=self.epoch,
            )
        )
        self.note(
            "run_ordered",
            task=str(task.id),
            run=task.run,
            worker=worker.record.id,
            slowness=round_s(worker.speed.slowness()),
            left_s=round_s(owner.due - now),
        )
        self.looks.expect(now, worker)

    def _lend_out(self, now: float, service: str, tasks: list[Task]) -> list[Task]:
        """Ask other pools with room to run tasks that find none here."""
        lent: list[Task] = []
        if not tasks:
            return lent
        groups: dict[tuple[str, str, int], list[Task]] = {}
        for domain, neighbour in sorted(
            self.neighbour_by_domain.items(),
            key=lambda item: -item[1].free_by_service.get(service, 0),
        ):
            free = neighbour.free_by_service.get(service, 0)
            for task in tasks:
                if free <= 0:
                    break
                if task.phase is not Phase.WAITING or domain in task.avoid or task.owner.is_lent:
                    continue
                free -= 1
                task.phase = Phase.LENT
                task.run += 1
                task.place = domain
                task.ordered_at = now
                task.owner.waiting = max(0, task.owner.waiting - 1)
                task.owner.orders += 1
                lent.append(task)
                groups.setdefault((domain, task.id.job, task.id.step), []).append(task)
            neighbour.free_by_service[service] = max(0, free)
        for (domain, job_id, step), members in groups.items():
            owner = members[0].owner
            self.note("tasks_lent", job=job_id, step=step, count=len(members), to=domain)
            self.actions.append(
                Ask(
                    domain=domain,
                    message=Lend(
                        job=owner.job,
                        step=step,
                        tasks=tuple((task.id.index, task.run) for task in members),
                        waited_s=now - owner.arrived_at,
                        caller_waits_s=owner.gives_up_at - now,
                    ),
                )
            )
        return lent

    def _note_handover(self, now: float, owner: PoolJob, progress: Progress | None) -> None:
        """Note what an earlier leader did for a job, or that it may have done anything."""
        done = set(progress.done) if progress is not None else set()
        unsettled = set(progress.unsettled) if progress is not None else None
        for task in owner.task_by_id.values():
            place = (task.id.step, task.id.index)
            if place in done:
                task.phase = Phase.ENDED
                owner.left_by_step[task.id.step] -= 1
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
            if owner.orders or done:
                progress = Progress(done=tuple(done), unsettled=tuple(unsettled))
            message = JobReturned(job_id=owner.job.id, progress=progress)
            returned.append((owner.requester, message))
        return returned

    def _adopt(self, now: float, task: Task) -> bool:
        """Take over a run, or an end, that workers listed for an earlier leader."""
        end = self._found_end.pop(task.id, None)
        if end is TaskEnd.DONE:
            task.phase = Phase.ORDERED
            self.run_over(now, task, end, "had ended under an earlier leader")
            return True
        for worker in self.worker_by_id.values():
            run = worker.unclaimed.pop(task.id, None)
            if run is None:
                continue
            task.phase = Phase.RUNNING
            task.run = run
            task.place = worker.record.id
            task.ordered_at = task.started_at = now
            task.owner.orders += 1
            worker.hold(task.step, task.id, run)
            self._live[(worker.record.id, task.id, run)] = task
            self.note("run_adopted", task=str(task.id), run=run, worker=worker.record.id)
            self.looks.expect(now, worker)
            return True
        return False

    # --- results of orders ---

    def start_answered(
        self, now: float, worker_id: str, task_id: TaskId, run: int, result: OrderResult
    ) -> None:
        """Note a worker's answer to a start, or that there was none."""
        task = self._live.get((worker_id, task_id, run))
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        if isinstance(result, Answered) and result.clock_s is not None:
            worker.clock.read(reading_s=result.clock_s, now=now)
        if task is None or task.phase is not Phase.ORDERED:
            return
        match result:
            case Answered(refusal=None):
                task.phase = Phase.RUNNING
                task.started_at = now
                self.looks.expect(now, worker)
            case Answered(refusal=refusal):
                self._start_refused(now, worker, task, refusal)
            case failure:
                # The order may be carried out until its lease ends, unless a stop comes first.
                self.stop_run(now, task, f"start unanswered: {failure}")
                task.avoid.add(worker_id)
                self.looks.doubt(now, worker)
                self.run_again(now, task)
        self._place(now, task.owner.job.service)

    def _start_refused(
        self, now: float, worker: Worker, task: Task, refusal: Refusal | None
    ) -> None:
        self._count(f"starts_refused_{refusal}")
        task.owner.orders -= 1
        match refusal:
            case Refusal.FENCED:
                self._fence_out(worker)
                return
            case Refusal.OLD_RUN:
                self._forget_run(task)
                task.run += RUN_JUMP
            case Refusal.NO_ROOM:
                worker.full_until = now + FULL_PAUSE_S
            case Refusal.BUSY:
                worker.full_until = now + BUSY_PAUSE_S
                task.avoid.add(worker.record.id)
            case Refusal.OTHER_LIFE:
                self.looks.process_gone(now, worker, "another life answered")
                return
            case Refusal.INVALID:
                self._forget_run(task)
                self.note("start_invalid", task=str(task.id), worker=worker.record.id)
                if task.owner.is_lent:
                    self._lent_over(task, TaskEnd.FAILED)
                else:
                    self._finish(now, task.owner, Outcome.FAILED, "a worker rejected a task")
                return
        self.run_over(now, task, TaskEnd.LOST, f"start refused: {refusal}")

    def stop_answered(
        self, now: float, worker_id: str, task_id: TaskId, run: int, result: OrderResult
    ) -> None:
        """Note a worker's answer to a stop."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            return
        match result:
            case Answered(refusal=Refusal.FENCED):
                self._fence_out(worker)
            case Answered(refusal=Refusal.OTHER_LIFE):
                self.looks.process_gone(now, worker, "another life answered")
            case Answered(refusal=None, clock_s=clock_s):
                if clock_s is not None:
                    worker.clock.read(reading_s=clock_s, now=now)
                self.stops.accepted(now, worker_id, task_id, run)
            case _:
                self.stops.unanswered(now, worker_id, task_id, run)

    def look_answered(self, now: float, worker_id: str, result: LookResult) -> None:
        """Note a worker's list of runs, or that none came."""
        worker = self.worker_by_id.get(worker_id)
        if worker is not None:
            self.looks.answered(now, worker, result)
            self._place_all(now)

    def _fence_out(self, worker: Worker) -> None:
        if not self.fenced_out:
            self.note("fenced_out", worker=worker.record.id, epoch=self.epoch)
        self.fenced_out = True

    # --- ends of runs ---

    def found_end(self, task_id: TaskId, end: TaskEnd) -> None:
        """Keep an end that belongs to a run of an earlier leader until its job is submitted."""
        self._found_end[task_id] = end

    def stop_run(self, now: float, task: Task, reason: str) -> None:
        """Stop a run in progress; its room is freed when the worker says that it is over."""
        worker = self.worker_by_id.get(task.place)
        if worker is None or task.phase not in (Phase.ORDERED, Phase.RUNNING):
            return
        self._live.pop((task.place, task.id, task.run), None)
        self.note("run_stopped", task=str(task.id), run=task.run, worker=task.place, reason=reason)
        self.stops.order(now, worker, task.id, task.run, task.step)

    def _forget_run(self, task: Task) -> None:
        self._live.pop((task.place, task.id, task.run), None)
        worker = self.worker_by_id.get(task.place)
        if worker is not None and worker.run_by_task.get(task.id) == task.run:
            worker.release(task.step, task.id)

    def stop_unknown(self, now: float, worker: Worker, task_id: TaskId, run: int) -> None:
        """Stop a run that no host of the system asks for any more."""
        self.note("run_unclaimed", task=str(task_id), run=run, worker=worker.record.id)
        self.stops.order(now, worker, task_id, run, NO_ROOM_HELD)

    def run_over(self, now: float, task: Task, end: TaskEnd, reason: str) -> None:
        """Note the end of the current run of a task, and go on with its job."""
        worker = self.worker_by_id.get(task.place)
        self._forget_run(task)
        owner = task.owner
        self.note(
            "run_ended",
            task=str(task.id),
            run=task.run,
            worker=task.place,
            end=end.value,
            reason=reason,
            took_s=round_s(now - task.ordered_at),
        )
        if worker is not None:
            self._judge(now, worker, task, end)
        if owner.is_lent:
            self._lent_over(task, end)
            return
        if self.job_by_id.get(owner.job.id) is not owner:
            return
        if end is TaskEnd.DONE:
            task.phase = Phase.ENDED
            owner.left_by_step[task.id.step] -= 1
            self._unblock(now, owner)
            if owner.is_complete():
                self._finish(now, owner, Outcome.COMPLETE, "all tasks have ended")
            return
        if end is TaskEnd.FAILED:
            task.attempts += 1
            task.avoid.add(task.place)
            if task.attempts >= owner.job.max_attempts:
                self._finish(now, owner, Outcome.FAILED, f"{task.id} failed {task.attempts} times")
                return
        self.run_again(now, task)

    def run_again(self, now: float, task: Task) -> None:
        """Queue a task whose latest run is over, or is being stopped."""
        if task.owner.is_lent:
            if self.stops.is_stopping(task.id):
                self._closing.append(task)
            else:
                self._lent_over(task, TaskEnd.LOST)
            return
        workers = self.workers_by_service.get(task.owner.job.service, ())
        if len(task.avoid) >= len(workers):
            task.avoid.clear()
        self._queue(now, task)

    def _judge(self, now: float, worker: Worker, task: Task, end: TaskEnd) -> None:
        owner = task.owner
        if end is TaskEnd.DONE:
            if task.started_at > task.ordered_at:
                took_s = now - task.ordered_at
                worker.speed.add(
                    owner.job.kind, max(0.02, took_s / max(0.001, task.step.estimate_s))
                )
            worker.praise()
        elif end is TaskEnd.FAILED:
            self.blame(now, worker, owner)

    def blame(self, now: float, worker: Worker, owner: PoolJob) -> None:
        """Count a failure against a worker, unless the job fails on several."""
        owner.failed_on.add(worker.record.id)
        if len(owner.failed_on) > 1:
            for other in owner.failed_on:
                known = self.worker_by_id.get(other)
                if known is not None:
                    known.blamed_jobs.discard(owner.job.id)
            return
        if worker.blame(owner.job.id, now):
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
                owner.left_by_step[i] for i in task.step.after
            ):
                self._queue(now, task)

    # --- ends of jobs ---

    def _lent_over(self, task: Task, end: TaskEnd) -> None:
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
                    run=task.asked_run,
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
                lent_to.add(task.place)
            task.phase = Phase.ENDED
        for domain in lent_to:
            self.actions.append(Ask(domain=domain, message=Cancel(job_id=owner.job.id)))

    # --- time ---

    def advance(self, now: float) -> None:
        """Refuse and give up jobs whose time has passed, repeat stops, look at workers."""
        for requester, lost_at in list(self._orphaned_at.items()):
            if now >= lost_at + ORPHAN_S:
                del self._orphaned_at[requester]
                self._stop_orphans(now, requester)
        for owner in list(self.job_by_id.values()):
            if owner.orders:
                if now >= owner.gives_up_at:
                    self._finish(now, owner, Outcome.ABANDONED, "no answer in time")
            elif owner.waiting and now >= self._start_by(owner):
                self._finish(now, owner, Outcome.NOT_RUN, "no room in time")
        for owner in list(self.lent_by_id.values()):
            if now >= owner.gives_up_at:
                self._drop(now, owner)
        self.stops.advance(now)
        closing, self._closing = self._closing, []
        for task in closing:
            self.run_again(now, task)
        self.looks.advance(now)
        self._forget_departed(now)
        self._place_all(now)

    def give_up(self, now: float, owner: PoolJob, reason: str) -> None:
        """End a job that cannot end in its caller's time."""
        if owner.is_lent:
            for task in list(owner.task_by_id.values()):
                self.stop_run(now, task, reason)
                self.run_again(now, task)
        elif self.job_by_id.get(owner.job.id) is owner:
            self._finish(now, owner, Outcome.ABANDONED, reason)

    def fastest(self, service: str) -> float:
        """Slowness of the fastest worker of a service."""
        workers = self.workers_by_service.get(service, ())
        return min((w.speed.slowness() for w in workers), default=1.0)

    def is_idle(self) -> bool:
        """Tell whether nothing is in progress."""
        return not self.job_by_id and not self.lent_by_id and not self._live and not self.stops

    def stop_lent(self, now: float) -> None:
        """Stop what runs for other pools, and tell them, before this host gives up its pool."""
        for owner in list(self.lent_by_id.values()):
            for task in list(owner.task_by_id.values()):
                self.stop_run(now, task, "this host resigns")
                self.run_again(now, task)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def note(self, event: str, **fields: object) -> None:
        """Leave a log line about a decision."""
        self.actions.append(Note(event=event, fields=fields))


def round_s(seconds: float) -> float:
    """Seconds for a log line, in milliseconds' precision."""
    return round(seconds, 3)
