"""Which news of hosts travels on which message."""

from __future__ import annotations

import heapq
import math

from ._member_table import Member, MemberTable
from ._messages import MemberState, MemberUpdate
from ._reachability import DomainReachability

NEWS_PER_MESSAGE = 4
"""Changes carried by one message; a host then sends under 2 KB/s while all others have changed."""

SWEEP_PER_MESSAGE = 2
"""Unchanged entries carried by one message; a host that missed news gets all 128 in about 15 s."""

TRANSMISSION_FACTOR = 2
"""A change is sent this many times the logarithm of the number of hosts."""


class Dissemination:
    """Chooses the entries for each message: recent changes, and a sweep over the whole table.

    The sweep repairs what lost messages and healed cuts leave behind, at a cost that does not
    depend on the number of hosts.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        reachability: DomainReachability,
        own_name: str,
        own_domain: str,
    ) -> None:
        self._table = table
        self._reachability = reachability
        self._own_name = own_name
        self._own_domain = own_domain
        self._left_by_name: dict[str, int] = {}
        self._sweep: list[str] = []

    def announce(self, name: str) -> None:
        """Spread the entry of a host that has just changed."""
        hosts = len(self._table.by_name) + 1
        self._left_by_name[name] = TRANSMISSION_FACTOR * math.ceil(math.log2(hosts + 1))

    @property
    def pending(self) -> bool:
        """Tell whether some change still has to be spread."""
        return bool(self._left_by_name)

    def updates_for(self, receiver: Member | None) -> tuple[MemberUpdate, ...]:
        """Entries for one message, the own one first."""
        chosen = self._start_with_claims(receiver)
        left = self._left_by_name
        for name in heapq.nlargest(NEWS_PER_MESSAGE, left, key=left.__getitem__):
            if self._add(name, receiver, chosen):
                self._spend(name)
        for _ in range(min(SWEEP_PER_MESSAGE, len(self._table.by_name))):
            name = self._next_of_sweep()
            if not self._is_cut_off(name):
                self._add(name, receiver, chosen)
        return tuple(chosen.values())

    def whole_table(self, receiver: Member | None) -> tuple[MemberUpdate, ...]:
        """All entries, for a host that has just started or come back into reach."""
        chosen = self._start_with_claims(receiver)
        for name in self._table.by_name:
            self._add(name, receiver, chosen)
        return tuple(chosen.values())

    def _start_with_claims(self, receiver: Member | None) -> dict[str, MemberUpdate]:
        chosen: dict[str, MemberUpdate] = {}
        self._add(self._own_name, receiver, chosen)
        if receiver is not None:
            self._add_claim_about(receiver, chosen)
        return chosen

    def _is_cut_off(self, name: str) -> bool:
        # Entries of hosts out of reach tell the receiver that they can be reached again.
        member = self._table.by_name.get(name)
        return member is not None and self._reachability.is_unreachable(member.failure_domain)

    def _add_claim_about(self, receiver: Member, chosen: dict[str, MemberUpdate]) -> None:
        # A host that others wrongly hold for suspect, failed or leaving refutes what it reads.
        if receiver.state != MemberState.ALIVE and receiver.incarnation and not receiver.has_ended:
            chosen[receiver.name] = receiver.to_update()

    def _add(self, name: str, receiver: Member | None, chosen: dict[str, MemberUpdate]) -> bool:
        member = self._table.by_name.get(name)
        if member is None or member.incarnation == 0:
            self._left_by_name.pop(name, None)
            return False
        if name in chosen or member is receiver:
            return False
        if member.state == MemberState.SUSPECT and not self._shares_detail(receiver):
            # Suspicions concern the failure domain of the suspect only.
            return False
        chosen[name] = member.to_update()
        return True

    def _shares_detail(self, receiver: Member | None) -> bool:
        return receiver is not None and receiver.failure_domain == self._own_domain

    def _spend(self, name: str) -> None:
        if name not in self._left_by_name:
            return
        self._left_by_name[name] -= 1
        if self._left_by_name[name] <= 0:
            del self._left_by_name[name]

    def _next_of_sweep(self) -> str:
        if not self._sweep:
            self._sweep = sorted(self._table.by_name, reverse=True)
        return self._sweep.pop()
