"""State of a pool: workers, jobs, runs, and the free capacity of other pools."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from ._actions import (
    Action,
    Note,
)
from ._crashes import CrashHistory
from ._followers import Followers
from ._jobs import TaskEnd, TaskId
from ._kind_shares import KindShares
from ._leases import UNOWNED_LEASE_S
from ._lenders import Lenders
from ._order_carriers import OrderCarriers
from ._order_timing import OrderTiming
from ._peer_pools import PeerPools
from ._polling import WorkerPoller
from ._presumed_ends import PresumedEnds
from ._retry_hints import ReturnSchedule
from ._run_forecast import KindRunTimes, forecast_left_s
from ._shortage import LastOffer, QueueForecast, RecentLending
from ._stops import STOP_MARGIN_S, PendingStops
from ._tasks import Phase, PoolJob, Task
from ._waiting import WaitingTasks
from ._workers import Worker, WorkerRecord, WorkerState


def round_s(seconds: float) -> float:
    """Round seconds to milliseconds, for log lines and dumps."""
    return round(seconds, 3)


class PoolState:
    """State that the mixins of a pool share.

    :param epoch: fencing epoch of all orders; higher than that of any earlier leader.
    :param now: time at which the host began to lead.
    :param stop_s: longest time that a worker takes to stop a run.
    :param far_factor: factor on the run time of a task placed outside its rack.
    :param link_bytes_per_s: capacity of this host's link.
    :param is_successor: whether the host followed the leader before it until that was lost. Then it
        may extend its runs for ``UNOWNED_LEASE_S``, in which their hosts can claim them.
    :param crashes: what the host knows of crashes of workers; empty by default.

    :ivar lending_enabled: whether tasks are lent to other pools, and accepted from them.
    :ivar evacuated: whether operators evacuate the domain, so that nothing may start there.
    :ivar starts_after: time until which nothing starts unless the registry is read before.
    :ivar followers: the hosts of the domain that follow this leader.
    :ivar fenced_out: whether a worker has refused this leader's epoch as outdated.
    """

    poller: WorkerPoller

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
        self.domain = domain
        self.epoch = epoch
        self.actions: list[Action] = []
        self.fenced_out = False
        self.lending_enabled = True
        self.followers = Followers()
        self.evacuated = False
        self.starts_after = 0.0
        self.worker_by_id: dict[str, Worker] = {}
        self.unclaimed_worker_by_id: dict[str, Worker] = {}
        """Workers that may have runs of an earlier leader that no host has claimed."""
        self.workers_by_service: dict[str, list[Worker]] = {}
        self.job_by_id: dict[str, PoolJob] = {}
        self.lent_job_by_owner: dict[tuple[str, str], PoolJob] = {}
        """Tasks that other pools have lent, by session and job id."""
        self.lenders = Lenders()
        self.peers = PeerPools()
        self.recent_lending = RecentLending()
        self.counts: dict[str, int] = {}
        self.timing = OrderTiming()
        self.run_times = KindRunTimes()
        self.crashes = CrashHistory() if crashes is None else crashes
        self.presumed_ends = PresumedEnds()
        self.carriers = OrderCarriers(link_bytes_per_s=link_bytes_per_s)
        self._led_since = now
        self._is_successor = is_successor
        self._far_factor = far_factor
        self._record_by_id: Mapping[str, WorkerRecord] = {}
        self._waiting_by_service: dict[str, WaitingTasks] = {}
        self._task_by_run: dict[tuple[str, TaskId, int], Task] = {}
        self._run_count_by_task: Counter[TaskId] = Counter()
        self._requester_lost_at: dict[str, float] = {}
        self._typical_cpu_by_service: dict[str, float] = {}
        self._orphan_end_by_task: dict[TaskId, TaskEnd] = {}
        self._stopping_lent_tasks: list[Task] = []
        self._fastest_slowness_by_service: dict[str, float] = {}
        self.shares = KindShares(began_at=now)
        self._returns_by_service: dict[str, ReturnSchedule] = {}
        self._forecast_by_service: dict[str, QueueForecast] = {}
        self._last_offer_by_job: dict[str, LastOffer] = {}
        self._next_plan_at = -math.inf
        self._unordered_services: set[str] = set()
        self.stops = PendingStops(
            epoch=epoch, stop_s=stop_s + STOP_MARGIN_S, actions=self.actions, timing=self.timing
        )

    def runs_end_at(self, worker: Worker) -> float:
        """Time by which the runs on a worker that cannot be reached have ended, whoever has granted
        its leases."""
        return self.followers.runs_end_at(worker.clock.leases_expire_at)

    def is_run_over(self, now: float, worker: Worker, task_id: TaskId) -> bool:
        """Tell whether a run on a worker that cannot be reached has ended, and no successor has
        adopted it: its job may have been submitted to one since its host last certainly followed.
        """
        ends_at = self.runs_end_at(worker)
        pool_job = self.job_by_id.get(task_id.job)
        return now >= ends_at and (
            pool_job is None or self.followers.followed_at(pool_job.requester) >= ends_at
        )

    def active_tasks(self, worker: Worker) -> list[Task]:
        """Tasks that are ordered or running on a worker."""
        task_by_key = self._task_by_run
        worker_id = worker.record.id
        return [
            task
            for task_id, run in worker.run_by_task.items()
            if (task := task_by_key.get((worker_id, task_id, run))) is not None
        ]

    def _add_run(self, task: Task) -> None:
        """Record the latest run of a task as in progress."""
        self._task_by_run[(task.location, task.id, task.run)] = task
        self._run_count_by_task[task.id] += 1

    def _discard_run(self, task: Task) -> None:
        """Record that the latest run of a task has ended or is being stopped."""
        if self._task_by_run.pop((task.location, task.id, task.run), None) is not None:
            self._run_count_by_task[task.id] -= 1
            if not self._run_count_by_task[task.id]:
                del self._run_count_by_task[task.id]

    def may_be_running(self, task_id: TaskId) -> bool:
        """Tell whether a run of a task may be in progress here, whoever owns it."""
        return task_id in self._run_count_by_task or self.stops.is_stopping(task_id)

    def lease_limits(self) -> dict[str, float]:
        """Time by which the leases on a worker must have ended, by worker id; only workers with a
        limit. A lease holds for all runs on its worker, so the run that must end first decides."""
        limits = self.stops.lease_limits()
        for worker_id, worker in self.unclaimed_worker_by_id.items():
            if worker.orphan_run_by_task:
                limit = worker.unowned_lease_limit
                limits[worker_id] = min(limit, limits.get(worker_id, limit))
        for pool_job in self.lent_job_by_owner.values():
            limit = self._lease_limit_of(pool_job)
            for task in pool_job.task_by_id.values():
                if task.phase in (Phase.ORDERED, Phase.RUNNING):
                    limits[task.location] = min(limit, limits.get(task.location, limit))
        return limits

    def lease_limit_on(self, worker: Worker) -> float:
        """Time by which the leases on one worker must have ended, also by the proofs of followers.
        These are left out of :meth:`lease_limits`: a host is lost before they keep a worker from
        being used."""
        limit = self.lease_limits().get(worker.record.id, math.inf)
        return min(limit, self.followers.lowest_lease_limit())

    def _forget_claimed_workers(self) -> None:
        """Forget the workers whose unclaimed runs have been claimed or stopped."""
        for worker_id, worker in list(self.unclaimed_worker_by_id.items()):
            if not worker.orphan_run_by_task:
                del self.unclaimed_worker_by_id[worker_id]

    def unowned_lease_limit(self, now: float) -> float:
        """Time by which leases on a worker that is read for the first time must have ended while it
        has runs that this leader does not own."""
        return now + UNOWNED_LEASE_S if self._is_successor else now

    def _lease_limit_of(self, pool_job: PoolJob) -> float:
        """Time by which the leases of a job's runs must have ended; infinite if it is of a caller
        of this host."""
        owners = self.lenders if pool_job.is_lent else self.followers
        return owners.lease_limit(pool_job.requester)

    def task_of_run(self, worker_id: str, task_id: TaskId, run: int) -> Task | None:
        """The task that a run belongs to, or None if the run is not in progress."""
        return self._task_by_run.get((worker_id, task_id, run))

    def ready_workers(self) -> int:
        """Number of workers that answer and whose runs this leader has read."""
        return sum(w.state is WorkerState.READY for w in self.worker_by_id.values())

    def _index_workers(self) -> None:
        self.workers_by_service = {}
        self._fastest_slowness_by_service.clear()
        for worker in self.worker_by_id.values():
            if worker.is_registered:
                self.workers_by_service.setdefault(worker.record.service, []).append(worker)

    def fastest_slowness(self, service: str) -> float:
        """Slowness of the fastest worker of a service, cached until the next tick."""
        fastest_slowness = self._fastest_slowness_by_service.get(service)
        if fastest_slowness is None:
            workers = self.workers_by_service.get(service, ())
            fastest_slowness = min((w.slowness for w in workers), default=1.0)
            self._fastest_slowness_by_service[service] = fastest_slowness
        return fastest_slowness

    def run_left_s(self, now: float, task: Task, worker: Worker) -> float:
        """Forecast of the remaining seconds of a task's run. Of an adopted run only the rest since
        the adoption is timed."""
        start_percent = task.start_percent()
        rest = (100 - start_percent) / 100
        return forecast_left_s(
            estimate_s=task.step.estimate_s * rest,
            slowness=worker.slowness,
            ratio=self.run_times.ratio_of(task.pool_job.job.kind),
            elapsed_s=now - task.ordered_at,
            percent=max(0, int((task.percent - start_percent) / rest)),
        )

    def dump(self) -> dict[str, object]:
        """State of workers and jobs, for operators."""
        return {
            "epoch": self.epoch,
            "evacuated": self.evacuated,
            "order_s": round_s(self.timing.usual_s),
            "counts": self.counts,
            "run_times": self.run_times.dump(),
            "workers": {
                worker.record.id: {
                    "state": worker.state.value,
                    "draining": worker.record.draining,
                    "registered": worker.is_registered,
                    "slowness": round_s(worker.slowness),
                    "ejected_until": round_s(worker.ejected_until),
                    "held_cpu": worker.reserved_cpu,
                    "lapses_at": round_s(worker.clock.leases_expire_at),
                    "runs": {str(task): run for task, run in worker.run_by_task.items()},
                }
                for worker in self.worker_by_id.values()
            },
            "jobs": {
                job_id: {
                    "requester": pool_job.requester,
                    "due": round_s(pool_job.due_at),
                    "gives_up_at": round_s(pool_job.caller_deadline),
                    "tasks": {
                        str(t.id): t.phase.name.lower() for t in pool_job.task_by_id.values()
                    },
                }
                for job_id, pool_job in self.job_by_id.items()
            },
            "lent": {
                f"{session}/{job_id}": {
                    str(t.id): t.phase.name.lower() for t in pool_job.task_by_id.values()
                }
                for (session, job_id), pool_job in self.lent_job_by_owner.items()
            },
            "neighbours": self.peers.room_by_service,
        }

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def note(self, event: str, *, routine: bool = False, **fields: object) -> None:
        """Log a decision."""
        self.actions.append(Note(event=event, fields=fields, routine=routine))
