"""Tasks during which worker processes have crashed, and which may be the cause."""

from __future__ import annotations

from dataclasses import dataclass

from ._jobs import TaskId

MAX_CRASHES = 2
"""Crashes of workers under a task after which it is given up. The users' page on tasks allows that
after two; one may have been caused by another task on the same worker."""

MEMORY_S = 60.0
"""Time for which crashes are remembered. Callers submit a job again within seconds, and a worker
that has crashed answers again, or is replaced, within seconds too."""


@dataclass(slots=True, kw_only=True)
class Crash:
    """A crash of a worker while a task may have been running on it.

    :param worker_id: worker that crashed, or the failure domain that reported the crash.
    :param confirmed: whether another process of the worker has answered since. A worker that
        cannot be connected to may also be cut off.
    """

    worker_id: str
    at: float
    confirmed: bool


class CrashHistory:
    """Remembers the crashes under each task, also when its job is submitted again."""

    def __init__(self) -> None:
        self._crashes_by_task: dict[TaskId, list[Crash]] = {}

    def record(self, now: float, task_id: TaskId, worker_id: str, *, confirmed: bool) -> None:
        """Record a crash under a task."""
        crash = Crash(worker_id=worker_id, at=now, confirmed=confirmed)
        self._crashes_by_task.setdefault(task_id, []).append(crash)

    def confirm(self, worker_id: str) -> None:
        """Record that another process of a worker has answered."""
        for crashes in self._crashes_by_task.values():
            for crash in crashes:
                crash.confirmed |= crash.worker_id == worker_id

    def withdraw(self, worker_id: str) -> None:
        """Forget the unconfirmed crashes of a worker whose same process has answered again."""
        for task_id, crashes in list(self._crashes_by_task.items()):
            kept = [crash for crash in crashes if crash.confirmed or crash.worker_id != worker_id]
            if not kept:
                del self._crashes_by_task[task_id]
            elif len(kept) < len(crashes):
                self._crashes_by_task[task_id] = kept

    def count(self, task_id: TaskId) -> int:
        """Number of crashes under a task."""
        return len(self._crashes_by_task.get(task_id, ()))

    def is_exhausted(self, task_id: TaskId) -> bool:
        """Tell whether a task may not be started again."""
        return self.count(task_id) >= MAX_CRASHES

    def is_proved(self, task_id: TaskId) -> bool:
        """Tell whether enough of the crashes under a task are confirmed to call it failed."""
        crashes = self._crashes_by_task.get(task_id, ())
        return sum(crash.confirmed for crash in crashes) >= MAX_CRASHES

    def counts_of(self, job_id: str) -> tuple[tuple[int, int, int], ...]:
        """Step, index and number of crashes of each task of a job that has any."""
        return tuple(
            (task_id.step, task_id.index, len(crashes))
            for task_id, crashes in self._crashes_by_task.items()
            if task_id.job == job_id
        )

    def advance(self, now: float) -> None:
        """Forget old crashes."""
        for task_id, crashes in list(self._crashes_by_task.items()):
            if crashes[-1].at < now - MEMORY_S:
                del self._crashes_by_task[task_id]
