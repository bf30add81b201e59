"""Selects the gossip updates that are piggybacked on each message."""

from __future__ import annotations

import heapq
import math

from ._member_table import Member, MemberTable
from ._messages import MemberState, MemberUpdate
from ._reachability import DomainReachability

RECENT_UPDATES_PER_MESSAGE = 4
"""Recent changes in one message; a host sends under 2 KB/s even if all others have changed."""

SWEEP_UPDATES_PER_MESSAGE = 2
"""Entries of the sweep in one message; a host that missed updates gets all 128 in about 15 s."""

TRANSMISSION_FACTOR = 2
"""A change is sent this many times the binary logarithm of the number of hosts."""


class Dissemination:
    """Selects the updates for each message: recent changes, and a sweep over the whole table.

    The sweep is the anti-entropy that repairs differences left by lost messages and healed
    partitions, at a cost per message that does not depend on the number of hosts.
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
        self._transmissions_left_by_name: dict[str, int] = {}
        self._sweep: list[str] = []

    def enqueue(self, name: str) -> None:
        """Queue the entry of a host that has just changed."""
        hosts = len(self._table.by_name) + 1
        self._transmissions_left_by_name[name] = TRANSMISSION_FACTOR * math.ceil(
            math.log2(hosts + 1)
        )

    @property
    def pending(self) -> bool:
        """Tell whether some change still has to be sent."""
        return bool(self._transmissions_left_by_name)

    def updates_for(self, receiver: Member | None) -> tuple[MemberUpdate, ...]:
        """Updates for one message, the one about the own host first."""
        chosen = self._base_updates(receiver)
        left = self._transmissions_left_by_name
        for name in heapq.nlargest(RECENT_UPDATES_PER_MESSAGE, left, key=left.__getitem__):
            if self._add(name, receiver, chosen):
                self._count_transmission(name)
        for _ in range(min(SWEEP_UPDATES_PER_MESSAGE, len(self._table.by_name))):
            name = self._next_in_sweep()
            if not self._is_unreachable(name):
                self._add(name, receiver, chosen)
        return tuple(chosen.values())

    def whole_table(self, receiver: Member | None) -> tuple[MemberUpdate, ...]:
        """All updates, for a host that has just started or become reachable again."""
        chosen = self._base_updates(receiver)
        for name in self._table.by_name:
            self._add(name, receiver, chosen)
        return tuple(chosen.values())

    def _base_updates(self, receiver: Member | None) -> dict[str, MemberUpdate]:
        chosen: dict[str, MemberUpdate] = {}
        self._add(self._own_name, receiver, chosen)
        if receiver is not None:
            self._add_receiver_state(receiver, chosen)
        return chosen

    def _is_unreachable(self, name: str) -> bool:
        # A host that receives an update about a failure domain it cannot reach probes that domain
        # again, so the sweep leaves out the hosts that this one cannot reach either.
        member = self._table.by_name.get(name)
        return member is not None and self._reachability.is_unreachable(member.failure_domain)

    def _add_receiver_state(self, receiver: Member, chosen: dict[str, MemberUpdate]) -> None:
        # A host that is wrongly recorded as suspect, failed or leaving can then refute that.
        if receiver.state != MemberState.ALIVE and receiver.incarnation and not receiver.has_ended:
            chosen[receiver.name] = receiver.to_update()

    def _add(self, name: str, receiver: Member | None, chosen: dict[str, MemberUpdate]) -> bool:
        member = self._table.by_name.get(name)
        if member is None or member.incarnation == 0:
            self._transmissions_left_by_name.pop(name, None)
            return False
        if name in chosen or member is receiver:
            return False
        if member.state == MemberState.SUSPECT and not self._is_local(receiver):
            # Suspicions of single hosts stay within the failure domain of the suspect.
            return False
        chosen[name] = member.to_update()
        return True

    def _is_local(self, receiver: Member | None) -> bool:
        return receiver is not None and receiver.failure_domain == self._own_domain

    def _count_transmission(self, name: str) -> None:
        if name not in self._transmissions_left_by_name:
            return
        self._transmissions_left_by_name[name] -= 1
        if self._transmissions_left_by_name[name] <= 0:
            del self._transmissions_left_by_name[name]

    def _next_in_sweep(self) -> str:
        if not self._sweep:
            self._sweep = sorted(self._table.by_name, reverse=True)
        return self._sweep.pop()
