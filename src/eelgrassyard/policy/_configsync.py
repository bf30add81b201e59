"""The configuration in force and its spread between hosts."""

from __future__ import annotations

import math
from typing import ClassVar

from ._actions import Action
from ._config import SiteConfig
from ._events import ConfigLoaded, Event
from ._identity import HostIdentity
from ._system import MembershipView


class ConfigSync:
    """Keeps the configuration of the highest revision; spreading is not there yet."""

    HANDLES: ClassVar[tuple[type, ...]] = (ConfigLoaded,)

    def __init__(self, *, identity: HostIdentity, membership: MembershipView) -> None:
        self._identity = identity
        self._membership = membership
        self._current: SiteConfig | None = None
        self._revision = 0

    @property
    def current(self) -> SiteConfig | None:
        return self._current

    @property
    def revision(self) -> int:
        return self._revision

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""
        if isinstance(event, ConfigLoaded) and event.revision > self._revision:
            self._revision = event.revision
            self._current = event.config

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return math.inf

    def dump(self) -> dict[str, object]:
        """The revision in force."""
        return {"revision": self._revision}
