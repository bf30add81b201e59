"""The loop that passes events to the decision core and executes its actions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from .._clock import Clock
from ..policy import Action, Event
from ._logs import logger
from ._metrics import Metrics

MAX_TICK_INTERVAL_S = 1.0
"""Longest time between two ticks. The core detects pauses of its own host by the time since the
last tick, so it must tick at least this often."""


class DecisionCore(Protocol):
    """The part of :class:`eelgrassyard.policy.Core` that the loop uses."""

    def tick(self, now: float, inbox: Sequence[Event]) -> list[Action]:
        """Process events and return the resulting actions."""

    def next_wake(self, now: float) -> float:
        """Time at which the next tick is due."""


class CoreLoop:
    """Ticks the core when events arrive and when one of its timers is due.

    All events that arrive before the loop task is scheduled go into one tick.

    :param execute: executes the actions of a tick, given the time of the tick; must not block.
    """

    def __init__(
        self,
        *,
        core: DecisionCore,
        clock: Clock,
        metrics: Metrics,
        execute: Callable[[float, Sequence[Action]], None],
    ) -> None:
        self._core = core
        self._clock = clock
        self._metrics = metrics
        self._execute = execute
        self._inbox: list[Event] = []
        self._arrived = anyio.Event()

    def put(self, event: Event) -> None:
        """Queue an event for the next tick."""
        self._inbox.append(event)
        self._arrived.set()

    def tick(self) -> None:
        """Run one tick with the queued events."""
        inbox, self._inbox = self._inbox, []
        self._arrived = anyio.Event()
        now = self._clock.now()
        try:
            actions = self._core.tick(now, inbox)
        except Exception:
            # Logged here, because a supervisor may kill the process before it prints the traceback.
            logger.exception(
                "the decision core failed; the process ends", extra={"step": "core", "peer": ""}
            )
            raise
        self._metrics.count("loop.ticks")
        if inbox:
            self._metrics.count("loop.events", len(inbox))
        if actions:
            self._execute(now, actions)

    async def run(self) -> None:
        """Tick until cancelled.

        An exception of the core ends the process: a partly updated table could start a task twice,
        while a restart with a new incarnation only makes ids unknown.
        """
        while True:
            self.tick()
            now = self._clock.now()
            wait_s = min(self._core.next_wake(now) - now, MAX_TICK_INTERVAL_S)
            if not self._inbox and wait_s > 0:
                with anyio.move_on_after(wait_s):
                    await self._arrived.wait()
            # Yields to the tasks of callers and peers even if a timer is always due.
            await anyio.lowlevel.checkpoint()
