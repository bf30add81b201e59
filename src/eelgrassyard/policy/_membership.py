"""Which hosts are alive."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from typing import ClassVar

from ._actions import Action
from ._events import Event
from ._identity import HostIdentity
from ._system import ConfigView


class Membership:
    """A view with the own host only; probing is not there yet."""

    HANDLES: ClassVar[tuple[type, ...]] = ()

    def __init__(self, *, identity: HostIdentity, seed: int) -> None:
        self._identity = identity
        self._seed = seed
        self._config: ConfigView | None = None

    def use_config(self, config: ConfigView) -> None:
        """Set the view of the configuration, which itself needs the membership."""
        self._config = config

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return math.inf

    def dump(self) -> dict[str, object]:
        """The table of hosts."""
        return {}

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        return host == self._identity.name

    def is_dead(self, host: str, incarnation: int) -> bool:
        return False

    def is_leaving(self, host: str) -> bool:
        return False

    def incarnation_of(self, host: str) -> int | None:
        return self._identity.incarnation if host == self._identity.name else None

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        return (self._identity.name,)

    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        return self._identity.name

    def witness_for(self, sequence: int) -> str | None:
        return None

    def is_cut_off(self, failure_domain: str) -> bool:
        return False

    def cut_off_domains(self) -> Collection[str]:
        return ()
