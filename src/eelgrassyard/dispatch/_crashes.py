"""Tasks during which worker processes have crashed, and which may be the cause."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ._jobs import TaskId
from ._messages import CrashReport, CrashState

MAX_CRASHES = 2
"""Crashes of workers under a task after which it is given up. A single one may have been caused by
another task on the same worker."""

MEMORY_S = 60.0
"""Time for which crashes are remembered. Callers submit a job again within seconds, and a worker
that has crashed answers again, or is replaced, within seconds too."""

FORGET_INTERVAL_S = 1.0
"""Interval at which old crashes are looked for."""


@dataclass(slots=True, kw_only=True)
class Crash:
    """A crash of a worker while a task may have been running on it.

    :param change: number of the latest change of the history that concerned it.
    """

    worker_id: str
    state: CrashState
    changed_at: float
    change: int


class CrashHistory:
    """Remembers the crashes under each task, also when its job is submitted again.

    Each host has one, which outlasts its leadership; leaders report changes to the others.

    :ivar last_change: number of the latest change.
    """

    def __init__(self) -> None:
        self._crashes_by_task: dict[TaskId, list[Crash]] = {}
        self.last_change = 0
        self._forget_at = 0.0

    def record(self, now: float, task_id: TaskId, worker_id: str, *, confirmed: bool) -> None:
        """Record a crash under a task."""
        self._add(
            now,
            task_id,
            worker_id,
            CrashState.CONFIRMED if confirmed else CrashState.SUSPECTED,
        )

    def _add(self, now: float, task_id: TaskId, worker_id: str, state: CrashState) -> None:
        self.last_change += 1
        crash = Crash(worker_id=worker_id, state=state, changed_at=now, change=self.last_change)
        self._crashes_by_task.setdefault(task_id, []).append(crash)

    def _settle(self, now: float, crash: Crash, state: CrashState) -> None:
        """Confirm or withdraw a suspected crash; one that is settled stays as it is."""
        if crash.state is CrashState.SUSPECTED and state is not crash.state:
            self.last_change += 1
            crash.state, crash.changed_at, crash.change = state, now, self.last_change

    def confirm(self, now: float, worker_id: str) -> None:
        """Record that another process of a worker has answered."""
        self._settle_all(now, worker_id, CrashState.CONFIRMED)

    def withdraw(self, now: float, worker_id: str) -> None:
        """Record that the same process of a worker has answered again."""
        self._settle_all(now, worker_id, CrashState.WITHDRAWN)

    def _settle_all(self, now: float, worker_id: str, state: CrashState) -> None:
        for crashes in self._crashes_by_task.values():
            for crash in crashes:
                if crash.worker_id == worker_id:
                    self._settle(now, crash, state)

    def count(self, task_id: TaskId) -> int:
        """Number of crashes under a task."""
        crashes = self._crashes_by_task.get(task_id, ())
        return sum(crash.state is not CrashState.WITHDRAWN for crash in crashes)

    def is_exhausted(self, task_id: TaskId) -> bool:
        """Tell whether a task may not be started again."""
        return self.count(task_id) >= MAX_CRASHES

    def is_proved(self, task_id: TaskId) -> bool:
        """Tell whether enough of the crashes under a task are confirmed to call it failed."""
        crashes = self._crashes_by_task.get(task_id, ())
        return sum(crash.state is CrashState.CONFIRMED for crash in crashes) >= MAX_CRASHES

    def reports_of_task(self, task_id: TaskId) -> tuple[CrashReport, ...]:
        """Crashes under a task."""
        crashes = self._crashes_by_task.get(task_id, ())
        return tuple(_report(task_id, crash) for crash in crashes)

    def reports_of_job(self, job_id: str) -> tuple[CrashReport, ...]:
        """Crashes under the tasks of a job."""
        return tuple(
            _report(task_id, crash)
            for task_id, crashes in self._crashes_by_task.items()
            if task_id.job == job_id
            for crash in crashes
        )

    def reports_after(self, change: int) -> tuple[CrashReport, ...]:
        """Crashes that are new or have changed since a change of this history."""
        if change >= self.last_change:
            return ()
        return tuple(
            _report(task_id, crash)
            for task_id, crashes in self._crashes_by_task.items()
            for crash in crashes
            if crash.change > change
        )

    def merge(self, now: float, reports: Iterable[CrashReport]) -> None:
        """Take over the reports of another host, some of which may be known."""
        for report in reports:
            task_id = TaskId(report.job_id, report.step, report.index)
            crashes = self._crashes_by_task.get(task_id, ())
            known = [crash for crash in crashes if crash.worker_id == report.worker_id]
            for crash in known:
                self._settle(now, crash, report.state)
            if not known:
                self._add(now, task_id, report.worker_id, report.state)

    def advance(self, now: float) -> None:
        """Forget old crashes."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_INTERVAL_S
        for task_id, crashes in list(self._crashes_by_task.items()):
            if crashes[-1].changed_at < now - MEMORY_S:
                del self._crashes_by_task[task_id]


def _report(task_id: TaskId, crash: Crash) -> CrashReport:
    return CrashReport(
        job_id=task_id.job,
        step=task_id.step,
        index=task_id.index,
        worker_id=crash.worker_id,
        state=crash.state,
    )
