"""What a system of the core looks like, and the read-only views that systems share."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import ClassVar, Protocol

from ._actions import Action
from ._config import SiteConfig
from ._events import Event


class System(Protocol):
    """One job of the core, with the tables that it owns.

    ``HANDLES`` lists the event classes and the peer message classes that the system receives.
    """

    HANDLES: ClassVar[tuple[type, ...]]

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event; append actions to ``out``."""

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers and batch work at the end of a tick."""

    def next_wake(self, now: float) -> float:
        """Time at which ``advance`` must run again; ``math.inf`` if there is none."""

    def dump(self) -> dict[str, object]:
        """The tables as JSON values."""


class ConfigView(Protocol):
    """The configuration in force."""

    @property
    def current(self) -> SiteConfig | None:
        """The configuration, or None before the first one."""

    @property
    def revision(self) -> int:
        """The store's revision of it; 0 before the first one."""


class WitnessView(Protocol):
    """The records that this host keeps as a witness."""

    def is_recorded(self, submission_id: str) -> bool:
        """Tell whether the id has a record "may have started" here, in this incarnation."""


class MembershipView(Protocol):
    """What the own host knows of the hosts of its site."""

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        """Tell whether the host is usable, in that incarnation if one is given.

        Suspect hosts count as alive. The own host is always alive.
        """

    def is_dead(self, host: str, incarnation: int) -> bool:
        """Tell whether that incarnation is known to have ended."""

    def is_leaving(self, host: str) -> bool:
        """Tell whether the host is in a planned stop."""

    def incarnation_of(self, host: str) -> int | None:
        """Newest incarnation seen, or None for an unknown host."""

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        """Names of usable hosts in a stable order, the own host included."""

    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        """Host that schedules a pool, by weighted rendezvous hashing over the live hosts.

        :param failure_domain: restricts the choice, for pools scoped to one failure domain.
        """

    def witness_for(self, sequence: int) -> str | None:
        """Host to name as witness of a new id: of the own failure domain if there is one."""

    def is_domain_unreachable(self, failure_domain: str) -> bool:
        """Tell whether no host of another failure domain has been reachable for a while."""

    def is_responsive(self, host: str) -> bool:
        """Tell whether the host is alive and the last probe of it was answered."""

    def request_probe(self, host: str) -> None:
        """Have a host probed soon, because an answer that it owes is late."""

    def unreachable_domains(self) -> Collection[str]:
        """All failure domains that are cut off."""
