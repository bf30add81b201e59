"""Keeps the background tasks of a process running in spite of unforeseen errors."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio

from ._error_description import leaf_errors
from ._unhandled import UnhandledErrors

RESTART_MIN_S = 0.1
RESTART_MAX_S = 5.0
"""Limits of the exponential delay before a failed task is started again."""

STABLE_AFTER_S = 10.0
"""Time after which a restarted task counts as working, and the delay is short again."""


class Supervisor:
    """Runs background tasks, and starts one again that fails or returns.

    :param errors: reports each error, with the task's name as the part.
    :param now: clock in seconds.
    :param sleep: sleeps on that clock.
    :param variation: returns the factor, up to 1, that the delay is multiplied by, so that hosts
        that read the same input do not start their tasks at the same time.

    :ivar restarts_by_task: restarts since the start, for each task that was run.
    :ivar failing: tasks that have failed and have not worked for :data:`STABLE_AFTER_S` since.
    """

    def __init__(
        self,
        *,
        errors: UnhandledErrors,
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        variation: Callable[[], float] = lambda: random.uniform(0.5, 1.0),
    ) -> None:
        self._errors = errors
        self._now = now
        self._sleep = sleep
        self._variation = variation
        self.restarts_by_task: Counter[str] = Counter()
        self._failed_at_by_task: dict[str, float] = {}

    @property
    def failing(self) -> list[str]:
        """Tasks that are waiting for a restart, or were started again a short time ago."""
        now = self._now()
        return [task for task, at in self._failed_at_by_task.items() if now - at < STABLE_AFTER_S]

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until cancelled."""
        delay_s = RESTART_MIN_S
        self.restarts_by_task[name] = 0
        while True:
            started_at = self._now()
            try:
                await task()
            except asyncio.CancelledError as error:
                if _is_cancelled():
                    raise
                # Raised on, it would cancel the task group, and end the process without an error.
                self._errors.report(name, error, event="task_failed", restart_s=delay_s)
            except Exception as error:
                for leaf in leaf_errors(error):
                    self._errors.report(name, leaf, event="task_failed", restart_s=delay_s)
            else:
                self._errors.report(
                    name, RuntimeError("the task returned"), event="task_failed", restart_s=delay_s
                )
            now = self._now()
            if now - started_at >= STABLE_AFTER_S:
                delay_s = RESTART_MIN_S
            self._failed_at_by_task[name] = now + delay_s
            await self._sleep(delay_s * self._variation())
            delay_s = min(RESTART_MAX_S, delay_s * 2.0)
            self.restarts_by_task[name] += 1


def _is_cancelled() -> bool:
    """Tell whether the current task was asked to end, and has not only awaited something that was
    cancelled."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0
