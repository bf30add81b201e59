"""Since when the owners of grants have not been alive."""

from __future__ import annotations

from collections.abc import Iterable

from ._system import MembershipView

OwnerKey = tuple[str, int]
"""Name and incarnation of an owner."""


class AbsentOwners:
    """Owners that are not alive now, with the time since which that has been seen."""

    def __init__(self, *, membership: MembershipView) -> None:
        self._membership = membership
        self._since_by_owner: dict[OwnerKey, float] = {}

    def refresh(self, now: float, owners: Iterable[OwnerKey]) -> None:
        """Look at the owners again; one that is alive starts from zero when it is lost again."""
        gone = [owner for owner in owners if not self._membership.is_alive(*owner)]
        self._since_by_owner = {owner: self._since_by_owner.get(owner, now) for owner in gone}

    def longer_than(self, now: float, seconds: float) -> set[OwnerKey]:
        """Owners that have not been alive for at least that long."""
        return {owner for owner, since in self._since_by_owner.items() if now - since >= seconds}
