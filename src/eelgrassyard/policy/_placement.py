"""Free cores, memory and accelerators of guarded workers."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from ._config import UpstreamEntry
from ._events import UsageReported
from ._messages import TaskSize


class WorkerPlacement:
    """First worker with room for now; the interface is final."""

    def __init__(self) -> None:
        self._worker_by_name: dict[str, UpstreamEntry] = {}

    def set_workers(self, workers: Iterable[UpstreamEntry]) -> None:
        """Replace the table of workers, keeping what is in use."""
        self._worker_by_name = {worker.name: worker for worker in workers}

    def never_fits(self, kind: str, sizes: Sequence[TaskSize], *, gang: bool) -> str | None:
        """Reason why the tasks can never run on these workers, or None."""
        return None

    def place(
        self,
        kind: str,
        sizes: Sequence[TaskSize],
        *,
        usable: Collection[str],
        avoid: Collection[str] = (),
        spread_racks: bool = False,
    ) -> list[str] | None:
        """Reserve room for all of the tasks; returns the worker of each, or None if any fails.

        :param usable: names of workers that may get new work.
        """
        names = [name for name in self._worker_by_name if name in usable and name not in avoid]
        return [names[0]] * len(sizes) if names else None

    def hold(self, worker: str, kind: str, size: TaskSize) -> None:
        """Note a task that already runs on a worker."""

    def release(self, worker: str, kind: str, size: TaskSize) -> None:
        """Give the room of a task back."""

    def note_usage(self, now: float, report: UsageReported) -> None:
        """Learn from a usage report, which lags."""
