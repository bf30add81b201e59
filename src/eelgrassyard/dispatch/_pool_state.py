"""Tables of a pool: workers, jobs, runs, and what other pools say of themselves."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ._actions import (
    Action,
    Note,
)
from ._jobs import TaskEnd, TaskId
from ._polling import WorkerPoller
from ._stops import STOP_MARGIN_S, Stops
from ._tasks import PoolJob, Task
from ._waiting import WaitingTasks
from ._workers import Worker, WorkerRecord, WorkerState


@dataclass(slots=True, kw_only=True)
class Neighbour:
    """Pool of another failure domain, as it last described itself."""

    free_by_service: dict[str, int] = field(default_factory=dict)


def round_s(seconds: float) -> float:
    """Seconds for a log line, in milliseconds' precision."""
    return round(seconds, 3)


class PoolState:
    """Tables that the parts of a pool share.

    :param epoch: fence of all orders; higher than that of any earlier leader.
    :param now: time at which the host began to lead.
    :param stop_s: longest time that a worker takes to stop a run.
    :param far_factor: how many times longer a task takes away from its rack.

    :ivar lends: whether tasks are lent to other pools, and taken from them.
    """

    poller: WorkerPoller

    def __init__(
        self, *, domain: str, epoch: int, now: float, stop_s: float, far_factor: float
    ) -> None:
        self.domain = domain
        self.epoch = epoch
        self.actions: list[Action] = []
        self.fenced_out = False
        self.lends = True
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
        self._fastest_by_service: dict[str, float] = {}
        self.stops = Stops(epoch=epoch, stop_s=stop_s + STOP_MARGIN_S, actions=self.actions)

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

    def ready_workers(self) -> int:
        """Number of workers that answer and are fenced."""
        return sum(w.state is WorkerState.READY for w in self.worker_by_id.values())

    def _index_workers(self) -> None:
        self.workers_by_service = {}
        self._fastest_by_service.clear()
        for worker in self.worker_by_id.values():
            if worker.is_registered:
                self.workers_by_service.setdefault(worker.record.service, []).append(worker)

    def _owners(self) -> Iterable[PoolJob]:
        yield from self.job_by_id.values()
        yield from self.lent_by_id.values()

    def fastest(self, service: str) -> float:
        """Slowness of the fastest worker of a service, at most one tick old."""
        fastest = self._fastest_by_service.get(service)
        if fastest is None:
            workers = self.workers_by_service.get(service, ())
            fastest = min((w.speed.slowness() for w in workers), default=1.0)
            self._fastest_by_service[service] = fastest
        return fastest

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

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def note(self, event: str, *, routine: bool = False, **fields: object) -> None:
        """Leave a log line about a decision."""
        self.actions.append(Note(event=event, fields=fields, routine=routine))
