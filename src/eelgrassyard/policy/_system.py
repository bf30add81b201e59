"""Interface of the systems of the core, and the read-only views that they share."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import ClassVar, Protocol

from ._actions import Action
from ._config import SiteConfig
from ._events import Event


class System(Protocol):
    """One part of the core, with the state that it owns.

    ``HANDLES`` lists the event classes and the peer message classes that the system receives.
    """

    HANDLES: ClassVar[tuple[type, ...]]

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Handle one event; append actions to ``out``."""

    def advance(self, now: float, out: list[Action]) -> None:
        """Run due timers and batched work after the events of a tick."""

    def next_wake(self, now: float) -> float:
        """Time at which ``advance`` must run again; ``math.inf`` if there is none."""

    def dump(self) -> dict[str, object]:
        """Return the state as JSON values."""


class ConfigView(Protocol):
    """The configuration in force."""

    @property
    def current(self) -> SiteConfig | None:
        """The configuration, or None before the first one."""

    @property
    def revision(self) -> int:
        """The revision of the configuration in the store; 0 before the first one."""


class WitnessView(Protocol):
    """The records that this host keeps as a witness."""

    def is_recorded(self, submission_id: str) -> bool:
        """Return whether this incarnation holds the record that the id may have started."""


class MembershipView(Protocol):
    """The hosts of the site, as known to this host."""

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        """Return whether the host is usable, in that incarnation if one is given.

        Suspect hosts count as alive. This host is always alive.
        """

    def is_dead(self, host: str, incarnation: int) -> bool:
        """Return whether that incarnation is known to have ended."""

    def is_leaving(self, host: str) -> bool:
        """Return whether the host is in a planned stop."""

    def incarnation_of(self, host: str) -> int | None:
        """Return the newest incarnation seen, or None for an unknown host."""

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        """Return the names of the usable hosts, this one included, in a stable order."""

    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        """Return the host that schedules a pool, by weighted rendezvous hashing over live hosts.

        :param failure_domain: limits the choice to its hosts, for pools of one failure domain.
        """

    def witness_for(self, sequence: int) -> str | None:
        """Return the host to name as witness of a new id, from this failure domain if possible."""

    def is_domain_unreachable(self, failure_domain: str) -> bool:
        """Return whether no host of that other failure domain has been reachable for a while."""

    def is_responsive(self, host: str) -> bool:
        """Return whether the host is alive and answered the last probe."""

    def probe_soon(self, host: str) -> None:
        """Have a host probed soon, because a reply from it is overdue."""

    def unreachable_domains(self) -> Collection[str]:
        """Return all failure domains that this host cannot reach."""
