"""A membership that reports live hosts as dead on request, for tests with several cores."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

import pytest

from eelgrassyard.policy._membership import Membership


class FalseSuspicionMembership(Membership):
    """The membership, except that selected pairs of hosts are subject to false suspicion.

    :cvar suspected: pairs of a host and another that the first reports as dead.
    """

    suspected: ClassVar[set[tuple[str, str]]] = set()

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        return not self._suspects(host) and super().is_alive(host, incarnation)

    def is_dead(self, host: str, incarnation: int) -> bool:
        return self._suspects(host) or super().is_dead(host, incarnation)

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        names = super().alive_hosts(failure_domain)
        return [name for name in names if not self._suspects(name)]

    def _suspects(self, host: str) -> bool:
        return (self._own.name, host) in self.suspected


def install_false_suspicion(patch: pytest.MonkeyPatch) -> None:
    """Make new cores use :class:`FalseSuspicionMembership`, with no pairs suspected at first."""
    FalseSuspicionMembership.suspected.clear()
    patch.setattr("eelgrassyard.policy._core.Membership", FalseSuspicionMembership)
