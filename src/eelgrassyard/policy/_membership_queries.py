"""Read-only queries on the member table for other systems."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from . import _rendezvous
from ._identity import HostIdentity
from ._member_table import Member, MemberTable
from ._messages import MemberState
from ._reachability import DomainReachability

WITNESS_BLOCK = 256
"""Consecutive sequence numbers that get the same witness, so that its record pages are dense."""


class MembershipQueries:
    """Read-only queries on the member table; costly results are cached until the table changes."""

    def __init__(
        self, *, identity: HostIdentity, table: MemberTable, reachability: DomainReachability
    ) -> None:
        self._identity = identity
        self._table = table
        self._reachability = reachability
        self._valid_for = (-1, -1)
        self._alive_by_domain: dict[str | None, tuple[str, ...]] = {}
        self._scheduler_by_pool: dict[tuple[str, str | None], str] = {}
        self._witnesses: tuple[str, ...] | None = None

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        """Tell whether the host is usable, in that incarnation if one is given.

        Suspect and leaving hosts count as alive, hosts of an unreachable failure domain do not.
        """
        member = self._table.by_name.get(host)
        if member is None or not self._is_reachable(member):
            return False
        return incarnation is None or member.incarnation == incarnation

    def is_responsive(self, host: str) -> bool:
        """Tell whether the host is reachable, in state ALIVE and answered its last probe."""
        member = self._table.by_name.get(host)
        return member is not None and self._is_reachable(member) and _is_responsive(member)

    def is_dead(self, host: str, incarnation: int) -> bool:
        """Tell whether that incarnation has ended or was followed by a newer one.

        Once true, this stays true. A host that only stopped answering is neither alive nor dead
        and may become alive again.
        """
        return self._table.is_ended(host, incarnation)

    def is_leaving(self, host: str) -> bool:
        """Tell whether the host is in a planned stop."""
        member = self._table.by_name.get(host)
        return member is not None and member.state == MemberState.LEAVING

    def incarnation_of(self, host: str) -> int | None:
        """Newest incarnation seen, or None for a host without one or not in the table."""
        member = self._table.by_name.get(host)
        return member.incarnation or None if member is not None else None

    def endpoint_of(self, host: str) -> tuple[str, int] | None:
        """Address and port of a host, or None if it is not in the table."""
        member = self._table.by_name.get(host)
        return None if member is None else (member.address, member.port)

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        """Names of usable hosts in order of name, the own host included."""
        self._refresh()
        names = self._alive_by_domain.get(failure_domain)
        if names is None:
            names = tuple(
                sorted(
                    member.name
                    for member in self._table
                    if self._is_reachable(member)
                    and failure_domain in (None, member.failure_domain)
                )
            )
            self._alive_by_domain[failure_domain] = names
        return names

    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        """Host that schedules a pool, by weighted rendezvous hashing.

        Leaving or unresponsive hosts are chosen only if there is no other. If the failure domain
        has no usable host, a host of another one schedules the pool. A host that left its last
        probe unanswered is skipped even before it is declared failed: slot requests to a failed
        scheduler would otherwise wait for the whole suspicion timeout, while replacing a live
        scheduler only costs slot requests that are sent twice.
        """
        self._refresh()
        key = (pool, failure_domain)
        name = self._scheduler_by_pool.get(key)
        if name is None:
            name = self._choose_scheduler(pool, failure_domain)
            self._scheduler_by_pool[key] = name
        return name

    def witness_for(self, sequence: int) -> str | None:
        """Host to use as witness of a new id, preferably of the own failure domain.

        :returns: None if every other host is leaving or unusable.
        """
        self._refresh()
        if self._witnesses is None:
            self._witnesses = self._find_witnesses()
        if not self._witnesses:
            return None
        return self._witnesses[sequence // WITNESS_BLOCK % len(self._witnesses)]

    def is_domain_unreachable(self, failure_domain: str) -> bool:
        """Tell whether the failure domain has not answered probes of this host for too long."""
        return self._reachability.is_unreachable(failure_domain)

    def unreachable_domains(self) -> Collection[str]:
        """All failure domains that this host cannot reach."""
        return self._reachability.unreachable()

    def _refresh(self) -> None:
        valid_for = (self._table.version, self._reachability.version)
        if valid_for != self._valid_for:
            self._valid_for = valid_for
            self._alive_by_domain.clear()
            self._scheduler_by_pool.clear()
            self._witnesses = None

    def _is_reachable(self, member: Member) -> bool:
        return member.is_usable and not self._reachability.is_unreachable(member.failure_domain)

    def _choose_scheduler(self, pool: str, failure_domain: str | None) -> str:
        names = self.alive_hosts(failure_domain) or self.alive_hosts()
        members = [self._table.by_name[name] for name in names]
        staying = [member for member in members if member.state != MemberState.LEAVING]
        responsive = [member for member in staying if _is_responsive(member)]
        weights = ((member.name, member.weight) for member in responsive or staying or members)
        return _rendezvous.choose(pool, weights) or self._identity.name

    def _find_witnesses(self) -> tuple[str, ...]:
        for failure_domain in (self._identity.failure_domain, None):
            candidates = [
                self._table.by_name[name]
                for name in self.alive_hosts(failure_domain)
                if name != self._identity.name
            ]
            staying = [m for m in candidates if m.state != MemberState.LEAVING]
            responsive = [member for member in staying if _is_responsive(member)]
            if staying:
                return tuple(member.name for member in responsive or staying)
        return ()


def _is_responsive(member: Member) -> bool:
    return member.state == MemberState.ALIVE and member.responsive
