"""Stop requests, retried until the worker has confirmed them or the run's lease has expired."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ._actions import Action, StopRun
from ._jobs import Step, TaskId
from ._leases import STOP_LEASE_S
from ._order_timing import OrderTiming
from ._workers import Worker

STOP_MARGIN_S = 0.02
"""Allowance for the answer's transit time, beyond the time that a worker may take to stop a run."""

STOP_RETRY_S = 0.1
"""Delay before an unanswered stop is retried. It is short because a caller may submit again 1.3 s
after its connection broke."""

_Key = tuple[str, TaskId, int]
IsRunOver = Callable[[float, Worker, TaskId], bool]


@dataclass(slots=True, kw_only=True)
class _Stop:
    worker: Worker
    step: Step
    ends_at: float
    lease_limit: float
    leased_until: float = 0.0
    may_have_run: bool = True
    retry_at: float | None = None
    is_confirmed: bool = False

    def may_be_running(self) -> bool:
        """Tell whether the run may be in progress: its start may have been carried out, and no stop
        was confirmed."""
        return self.may_have_run and not self.is_confirmed

    def is_over(self, now: float, task_id: TaskId, is_run_over: IsRunOver) -> bool:
        """Tell whether the run has ended. One that may be running lasts as long as the leases of
        its worker, which polls may have renewed since the stop was sent."""
        if now < self.ends_at:
            return False
        return not self.may_be_running() or is_run_over(now, self.worker, task_id)


class PendingStops:
    """Tracks runs that were told to stop and may still be in progress.

    :param epoch: fencing epoch of the stop requests.
    :param stop_s: time after which an accepted stop has ended the run.
    """

    def __init__(
        self, *, epoch: int, stop_s: float, actions: list[Action], timing: OrderTiming
    ) -> None:
        self._epoch = epoch
        self._stop_s = stop_s
        self._actions = actions
        self._timing = timing
        self._stop_by_key: dict[_Key, _Stop] = {}
        self._count_by_task: Counter[TaskId] = Counter()

    def __len__(self) -> int:
        return len(self._stop_by_key)

    def is_stopping(self, task_id: TaskId) -> bool:
        """Tell whether an earlier run of a task may still be in progress."""
        return task_id in self._count_by_task

    def is_requested(self, worker_id: str, task_id: TaskId, run: int) -> bool:
        """Tell whether a run was told to stop."""
        return (worker_id, task_id, run) in self._stop_by_key

    def is_pending_on(self, worker_id: str) -> bool:
        """Tell whether stops are in progress on a worker."""
        return any(key[0] == worker_id for key in self._stop_by_key)

    def count_by_worker(self, job_id: str, step: int) -> Counter[str]:
        """Number of runs of a job's step that are being stopped on each worker."""
        return Counter(
            worker_id
            for worker_id, task_id, _ in self._stop_by_key
            if task_id.job == job_id and task_id.step == step
        )

    def lease_limits(self) -> dict[str, float]:
        """Time by which leases must have ended on workers with unconfirmed stops, by worker id."""
        limits: dict[str, float] = {}
        for (worker_id, _, _), stop in self._stop_by_key.items():
            if stop.may_be_running():
                limits[worker_id] = min(stop.lease_limit, limits.get(worker_id, math.inf))
        return limits

    def request_stop(
        self,
        now: float,
        worker: Worker,
        task_id: TaskId,
        run: int,
        step: Step,
        *,
        may_have_run: bool = True,
        leased_until: float = 0.0,
        lease_limit: float = math.inf,
    ) -> None:
        """Stop a run.

        :param step: size of the capacity that is freed once the run has ended.
        :param leased_until: time until which a lease of an earlier leader may keep the run alive.
        :param lease_limit: time by which leases on the worker must have ended until the stop is
            confirmed, if that is sooner than ``STOP_LEASE_S`` from now.
        :param may_have_run: False if the connection for its start was refused; a start on a broken
            path may still be carried out.
        """
        key = (worker.record.id, task_id, run)
        # Without any answer the run ends when its lease expires; renewals for other runs of the
        # worker extend that lease up to the limit.
        if key not in self._stop_by_key:
            self._count_by_task[task_id] += 1
        self._stop_by_key[key] = _Stop(
            worker=worker,
            step=step,
            ends_at=max(leased_until, worker.clock.leases_expire_at),
            lease_limit=min(lease_limit, now + STOP_LEASE_S),
            leased_until=leased_until,
            may_have_run=may_have_run,
        )
        self._send(key)

    def _send(self, key: _Key) -> None:
        worker_id, task_id, run = key
        self._actions.append(
            StopRun(
                worker_id=worker_id,
                task=task_id,
                run=run,
                fence=self._epoch,
                timeout_s=self._timing.timeout_s(),
            )
        )

    def confirmed(self, now: float, worker_id: str, task_id: TaskId, run: int) -> None:
        """Handle a confirmed stop: the run ends within ``stop_s`` and cannot start again."""
        stop = self._stop_by_key.get((worker_id, task_id, run))
        if stop is not None:
            stop.ends_at = now + self._stop_s
            stop.retry_at = None
            stop.is_confirmed = True

    def schedule_retry(self, now: float, worker_id: str, task_id: TaskId, run: int) -> None:
        """Schedule a retry of a stop that was not confirmed."""
        stop = self._stop_by_key.get((worker_id, task_id, run))
        if stop is not None:
            stop.ends_at = max(stop.leased_until, stop.worker.clock.leases_expire_at)
            stop.retry_at = now + STOP_RETRY_S

    def run_ended(self, worker_id: str, task_id: TaskId, run: int) -> bool:
        """Free the capacity of a stopped run that has ended; False if no stop was pending."""
        stop = self._remove((worker_id, task_id, run))
        if stop is None:
            return False
        if stop.worker.run_by_task.get(task_id) == run:
            stop.worker.release(stop.step, task_id)
        return True

    def discard_worker(self, worker_id: str) -> list[TaskId]:
        """Discard the pending stops on a worker whose process is gone.

        :returns: tasks whose runs may have been in progress.
        """
        keys = [key for key in self._stop_by_key if key[0] == worker_id]
        in_progress = [key[1] for key in keys if self._stop_by_key[key].may_be_running()]
        for key in keys:
            self._remove(key)
        return in_progress

    def _remove(self, key: _Key) -> _Stop | None:
        stop = self._stop_by_key.pop(key, None)
        if stop is not None:
            stop.worker.orphan_stops.discard((key[1], key[2]))
            self._count_by_task[key[1]] -= 1
            if not self._count_by_task[key[1]]:
                del self._count_by_task[key[1]]
        return stop

    def advance(self, now: float, *, is_run_over: IsRunOver) -> list[tuple[Worker, TaskId, int]]:
        """End the stopped runs whose time has passed, and retry unconfirmed stops that are due.

        :param is_run_over: tells at a time whether the run of a task on a worker that cannot be
            reached has ended.
        :returns: worker, task and number of the runs that may have been in progress until their
            leases expired.
        """
        in_progress = []
        for key, stop in list(self._stop_by_key.items()):
            if stop.is_over(now, key[1], is_run_over):
                self.run_ended(*key)
                if stop.may_be_running():
                    in_progress.append((stop.worker, key[1], key[2]))
            elif stop.retry_at is not None and now >= stop.retry_at:
                stop.retry_at = None
                self._send(key)
        return in_progress
