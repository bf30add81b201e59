"""Tracking of owners of grants that are not alive."""

from __future__ import annotations

from collections.abc import Iterable

from ._system import MembershipView

OwnerKey = tuple[str, int]
"""Name and incarnation of an owner."""


class AbsentOwners:
    """Records since when owners have been seen as not alive."""

    def __init__(self, *, membership: MembershipView) -> None:
        self._membership = membership
        self._since_by_owner: dict[OwnerKey, float] = {}

    def refresh(self, now: float, owners: Iterable[OwnerKey]) -> None:
        """Check all owners again; an owner that is alive now starts its next absence at zero."""
        gone = [owner for owner in owners if not self._membership.is_alive(*owner)]
        self._since_by_owner = {owner: self._since_by_owner.get(owner, now) for owner in gone}

    def absent_for(self, now: float, seconds: float) -> set[OwnerKey]:
        """Owners that have not been alive for at least ``seconds``."""
        return {owner for owner, since in self._since_by_owner.items() if now - since >= seconds}
