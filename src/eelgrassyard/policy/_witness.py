"""Records kept for submissions that other hosts own."""

from __future__ import annotations

import math
from typing import ClassVar

from ._actions import Action
from ._events import Event
from ._identity import HostIdentity
from ._system import ConfigView


class Witness:
    """Placeholder with the interface of the system."""

    HANDLES: ClassVar[tuple[type, ...]] = ()

    def __init__(self, *, identity: HostIdentity, config: ConfigView) -> None:
        self._identity = identity
        self._config = config

    def is_recorded(self, submission_id: str) -> bool:
        """Tell whether the id has a record here."""
        return False

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return math.inf

    def dump(self) -> dict[str, object]:
        """The table of records."""
        return {}
