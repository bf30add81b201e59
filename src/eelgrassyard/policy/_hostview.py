"""Questions that other systems ask about the hosts of the site."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from . import _rendezvous
from ._identity import HostIdentity
from ._memberlist import Member, MemberTable
from ._messages import MemberState
from ._reach import DomainReach

WITNESS_BLOCK = 256
"""Consecutive sequence numbers with the same witness, so that its pages of records are dense."""


class HostView:
    """Read-only answers from the table of hosts; the costly ones are kept until it changes."""

    def __init__(self, *, identity: HostIdentity, table: MemberTable, reach: DomainReach) -> None:
        self._identity = identity
        self._table = table
        self._reach = reach
        self._valid_for = (-1, -1)
        self._alive_by_domain: dict[str | None, tuple[str, ...]] = {}
        self._scheduler_by_pool: dict[tuple[str, str | None], str] = {}
        self._witnesses: tuple[str, ...] | None = None

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        """Tell whether the host is usable, in that incarnation if one is given.

        Suspect and leaving hosts count as alive, hosts in a failure domain that is cut off do not.
        """
        member = self._table.by_name.get(host)
        if member is None or not self._is_reachable(member):
            return False
        return incarnation is None or member.incarnation == incarnation

    def is_responsive(self, host: str) -> bool:
        """Tell whether the host is alive and the last probe of it was answered."""
        member = self._table.by_name.get(host)
        return member is not None and self._is_reachable(member) and _is_prompt(member)

    def is_dead(self, host: str, incarnation: int) -> bool:
        """Tell whether that incarnation said goodbye or was followed by a newer one.

        This never changes back. A host that merely stopped answering is not alive, but may return.
        """
        return self._table.is_ended(host, incarnation)

    def is_leaving(self, host: str) -> bool:
        """Tell whether the host is in a planned stop."""
        member = self._table.by_name.get(host)
        return member is not None and member.state == MemberState.LEAVING

    def incarnation_of(self, host: str) -> int | None:
        """Newest incarnation seen, or None for a host that was never heard of."""
        member = self._table.by_name.get(host)
        return member.incarnation or None if member is not None else None

    def endpoint_of(self, host: str) -> tuple[str, int] | None:
        """Address and port of a host."""
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
        """Host that schedules a pool; leaving or silent hosts are chosen only if there is no other.

        If the failure domain has no usable host, a host of another one schedules the pool. A host
        whose last probe went unanswered is passed over before it is known to have failed: asks
        that wait for a dead scheduler would wait for the whole suspicion, and a scheduler that
        was replaced without need only costs asks sent twice.
        """
        self._refresh()
        key = (pool, failure_domain)
        name = self._scheduler_by_pool.get(key)
        if name is None:
            name = self._choose_scheduler(pool, failure_domain)
            self._scheduler_by_pool[key] = name
        return name

    def witness_for(self, sequence: int) -> str | None:
        """Host to name as witness of a new id, of the own failure domain if there is one."""
        self._refresh()
        if self._witnesses is None:
            self._witnesses = self._find_witnesses()
        if not self._witnesses:
            return None
        return self._witnesses[sequence // WITNESS_BLOCK % len(self._witnesses)]

    def is_cut_off(self, failure_domain: str) -> bool:
        """Tell whether no host of another failure domain has been reachable for a while."""
        return self._reach.is_cut_off(failure_domain)

    def cut_off_domains(self) -> Collection[str]:
        """All failure domains that are cut off."""
        return self._reach.cut_off()

    def _refresh(self) -> None:
        valid_for = (self._table.version, self._reach.version)
        if valid_for != self._valid_for:
            self._valid_for = valid_for
            self._alive_by_domain.clear()
            self._scheduler_by_pool.clear()
            self._witnesses = None

    def _is_reachable(self, member: Member) -> bool:
        return member.is_usable and not self._reach.is_cut_off(member.failure_domain)

    def _choose_scheduler(self, pool: str, failure_domain: str | None) -> str:
        names = self.alive_hosts(failure_domain) or self.alive_hosts()
        members = [self._table.by_name[name] for name in names]
        staying = [member for member in members if member.state != MemberState.LEAVING]
        prompt = [member for member in staying if _is_prompt(member)]
        weights = ((member.name, member.weight) for member in prompt or staying or members)
        return _rendezvous.choose(pool, weights) or self._identity.name

    def _find_witnesses(self) -> tuple[str, ...]:
        for failure_domain in (self._identity.failure_domain, None):
            candidates = [
                self._table.by_name[name]
                for name in self.alive_hosts(failure_domain)
                if name != self._identity.name
            ]
            staying = [m for m in candidates if m.state != MemberState.LEAVING]
            prompt = [member for member in staying if _is_prompt(member)]
            if staying:
                return tuple(member.name for member in prompt or staying)
        return ()


def _is_prompt(member: Member) -> bool:
    return member.state == MemberState.ALIVE and member.answers
