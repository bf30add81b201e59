"""Submissions that this host owns."""

from __future__ import annotations

import math
from typing import ClassVar

from ._actions import Action
from ._events import Event
from ._identity import HostIdentity
from ._system import ConfigView, MembershipView


class Submissions:
    """Placeholder with the interface of the system."""

    HANDLES: ClassVar[tuple[type, ...]] = ()

    def __init__(
        self, *, identity: HostIdentity, config: ConfigView, membership: MembershipView
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return math.inf

    def dump(self) -> dict[str, object]:
        """The table of submissions."""
        return {}
