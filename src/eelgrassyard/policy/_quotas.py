"""Quotas of teams over all schedulers."""

from __future__ import annotations

import math
from typing import ClassVar

from ._actions import Action
from ._events import Event
from ._identity import HostIdentity
from ._system import ConfigView, MembershipView


class Quotas:
    """Allows everything for now; the interface is final."""

    HANDLES: ClassVar[tuple[type, ...]] = ()

    def __init__(
        self, *, identity: HostIdentity, config: ConfigView, membership: MembershipView
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership

    def allowed(self, now: float, team: str, tasks: int) -> int:
        """How many of ``tasks`` task starts the team may make now."""
        return tasks

    def charge(self, now: float, team: str, tasks: int) -> None:
        """Count task starts that were granted."""

    def note_demand(self, now: float, team: str, tasks: int) -> None:
        """Count task starts that were asked for."""

    def next_allowed(self, now: float, team: str) -> float:
        """Time at which the team may start a task again."""
        return now

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return math.inf

    def dump(self) -> dict[str, object]:
        """Shares and usage by team."""
        return {}
