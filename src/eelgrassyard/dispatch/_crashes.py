"""Tasks during which worker processes have crashed, and which may be the cause."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ._jobs import TaskId
from ._messages import CrashReport, CrashState

MAX_CRASHES = 2
"""Crashes of workers under a task after which it is given up. The users' page on tasks allows that
after two; one may have been caused by another task on the same worker."""

MEMORY_S = 60.0
"""Time for which crashes are remembered. Callers submit a job again within seconds, and a worker
that has crashed answers again, or is replaced, within seconds too."""

REPORT_S = 2.0
"""Time for which each change is reported to the leaders of other domains, so that it arrives though
some reports are lost."""


@dataclass(slots=True, kw_only=True)
class Crash:
    """A crash of a worker while a task may have been running on it.

    :param is_own: whether the worker is of the own domain, and the crash known at first hand.
    """

    worker_id: str
    state: CrashState
    changed_at: float
    is_own: bool


class CrashHistory:
    """Remembers the crashes under each task, also when its job is submitted again."""

    def __init__(self) -> None:
        self._crashes_by_task: dict[TaskId, list[Crash]] = {}

    def record(self, now: float, task_id: TaskId, worker_id: str, *, confirmed: bool) -> None:
        """Record a crash of a worker of the own domain under a task."""
        crash = Crash(
            worker_id=worker_id,
            state=CrashState.CONFIRMED if confirmed else CrashState.SUSPECTED,
            changed_at=now,
            is_own=True,
        )
        self._crashes_by_task.setdefault(task_id, []).append(crash)

    def confirm(self, now: float, worker_id: str) -> None:
        """Record that another process of a worker has answered."""
        self._set_suspected(now, worker_id, CrashState.CONFIRMED)

    def withdraw(self, now: float, worker_id: str) -> None:
        """Record that the same process of a worker has answered again."""
        self._set_suspected(now, worker_id, CrashState.WITHDRAWN)

    def _set_suspected(self, now: float, worker_id: str, state: CrashState) -> None:
        for crashes in self._crashes_by_task.values():
            for crash in crashes:
                if crash.worker_id == worker_id and crash.state is CrashState.SUSPECTED:
                    crash.state = state
                    crash.changed_at = now

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

    def reports_of(self, job_id: str) -> tuple[CrashReport, ...]:
        """Crashes under the tasks of a job."""
        return tuple(
            _report(task_id, crash)
            for task_id, crashes in self._crashes_by_task.items()
            if task_id.job == job_id
            for crash in crashes
        )

    def recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Recent changes about workers of the own domain, for the leaders of the others."""
        return tuple(
            _report(task_id, crash)
            for task_id, crashes in self._crashes_by_task.items()
            for crash in crashes
            if crash.is_own and now - crash.changed_at <= REPORT_S
        )

    def merge(self, now: float, reports: Iterable[CrashReport]) -> None:
        """Take over the reports of another leader, some of which may be known."""
        for report in reports:
            task_id = TaskId(report.job_id, report.step, report.index)
            crashes = self._crashes_by_task.setdefault(task_id, [])
            known = [crash for crash in crashes if crash.worker_id == report.worker_id]
            if not known:
                crashes.append(
                    Crash(
                        worker_id=report.worker_id,
                        state=report.state,
                        changed_at=now,
                        is_own=False,
                    )
                )
            for crash in known:
                if not crash.is_own and crash.state is CrashState.SUSPECTED:
                    crash.state = report.state

    def advance(self, now: float) -> None:
        """Forget old crashes."""
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
