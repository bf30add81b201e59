"""Queues and slots of the pools that this host schedules."""

from __future__ import annotations

import math
from typing import ClassVar

from ._actions import Action
from ._events import Event
from ._identity import HostIdentity
from ._quotas import Quotas
from ._system import ConfigView, MembershipView, WitnessView


class Scheduler:
    """Placeholder with the interface of the system."""

    HANDLES: ClassVar[tuple[type, ...]] = ()

    def __init__(
        self,
        *,
        identity: HostIdentity,
        config: ConfigView,
        membership: MembershipView,
        quotas: Quotas,
        witness: WitnessView,
        seed: int,
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._quotas = quotas
        self._witness = witness
        self._seed = seed

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return math.inf

    def dump(self) -> dict[str, object]:
        """The pools scheduled here."""
        return {}
