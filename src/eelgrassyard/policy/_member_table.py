"""The member table and the precedence rules for gossip updates."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ._config import HostEntry
from ._identity import HostIdentity
from ._messages import MemberState, MemberUpdate

ENDED_COUNTER = 2**31 - 1
"""Counter of an incarnation that has ended; no refutation can exceed it."""

MAX_ENDED = 4_096
"""Hosts whose ended incarnations are kept; 320 restarts a day reach the limit in 12 days."""


@dataclass(slots=True, kw_only=True)
class Member:
    """State of one host in the member table of this host.

    :param incarnation: 0 while the host is known only from the host list or the configuration.
    :param suspect_until: time at which a suspected host is declared failed.
    :param changed_at: time of the last update that was applied.
    :param started_at: time at which this host first learned of the incarnation.
    :param full_table_sent: this host has sent the whole table to the incarnation.
    :param declared: the host list or the configuration contains the host.
    :param responsive: False if the host left the last probe from this host unanswered.
    """

    name: str
    address: str
    port: int
    failure_domain: str
    weight: float = 1.0
    incarnation: int = 0
    counter: int = 0
    state: MemberState = MemberState.DEAD
    suspect_until: float = 0.0
    changed_at: float = 0.0
    started_at: float = 0.0
    full_table_sent: bool = False
    declared: bool = False
    responsive: bool = True

    @property
    def is_usable(self) -> bool:
        """Alive, leaving or suspect; independent of the failure domain's reachability."""
        return self.state != MemberState.DEAD

    @property
    def has_ended(self) -> bool:
        """The incarnation is known to have stopped for good, and no update can make it alive."""
        return self.state == MemberState.DEAD and self.counter >= ENDED_COUNTER

    def to_update(self, state: MemberState | None = None) -> MemberUpdate:
        """The record as a gossip update, with another state if one is given."""
        return MemberUpdate(
            name=self.name,
            address=self.address,
            port=self.port,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            counter=self.counter,
            state=self.state if state is None else state,
            weight=self.weight,
        )


class MemberTable:
    """Member records by host name.

    An update with a newer incarnation overrides an older one; within an incarnation the higher
    counter wins, and at equal counters the higher state. Apart from :data:`ENDED_COUNTER`, only
    the host itself raises its counter, so a host that others declared failed becomes alive again
    only if it still runs and refutes that.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}
        self.version = 0
        self._domains_of_version: tuple[int, dict[str, list[Member]]] = (-1, {})
        self._ended_by_name: dict[str, int] = {}
        self._name_by_endpoint: dict[tuple[str, int], str] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_name.values())

    def by_domain(self) -> dict[str, list[Member]]:
        """Hosts whose current incarnation has not ended, by failure domain."""
        version, by_domain = self._domains_of_version
        if version != self.version:
            by_domain = {}
            for member in self.by_name.values():
                if not member.has_ended:
                    by_domain.setdefault(member.failure_domain, []).append(member)
            self._domains_of_version = (self.version, by_domain)
        return by_domain

    def add_own(self, identity: HostIdentity) -> Member:
        """Add the own host in state ALIVE."""
        own = Member(
            name=identity.name,
            address=identity.address,
            port=identity.port,
            failure_domain=identity.failure_domain,
            weight=identity.weight,
            incarnation=identity.incarnation,
            state=MemberState.ALIVE,
        )
        self.by_name[own.name] = own
        return own

    def add_declared(self, entry: HostEntry) -> Member:
        """Add a host from the host list or the configuration.

        The entry changes nothing in a record that already has an incarnation.
        """
        member = self.by_name.get(entry.name)
        if member is None:
            member = Member(
                name=entry.name,
                address=entry.address,
                port=entry.port,
                failure_domain=entry.failure_domain,
                weight=entry.weight,
            )
            self.by_name[entry.name] = member
            self.version += 1
        elif member.incarnation == 0:
            member.address, member.port = entry.address, entry.port
            member.failure_domain, member.weight = entry.failure_domain, entry.weight
            self.version += 1
        return member

    def merge(self, now: float, update: MemberUpdate) -> bool:
        """Apply a gossip update if it overrides the record.

        :returns: True if the record changed.
        """
        if update.incarnation <= self._ended_by_name.get(update.name, 0):
            return False
        member = self.by_name.get(update.name)
        if member is not None and not _overrides(update, member):
            return False
        if member is not None and 0 < member.incarnation < update.incarnation:
            self.record_ended(update.name, member.incarnation)
            member.responsive = True
        if member is None:
            member = Member(
                name=update.name,
                address=update.address,
                port=update.port,
                failure_domain=update.failure_domain,
            )
            self.by_name[update.name] = member
        _apply(now, update, member)
        if member.has_ended:
            self.record_ended(member.name, member.incarnation)
        self.version += 1
        return True

    def set_responsive(self, member: Member, responsive: bool) -> None:
        """Record whether the last probe of a host was answered."""
        if member.responsive != responsive:
            member.responsive = responsive
            self.version += 1

    def displaced_by(self, member: Member) -> Member | None:
        """The older of two hosts at the endpoint of ``member``, if its process must have ended."""
        if not member.address or not member.port or not member.is_usable:
            return None
        endpoint = (member.address, member.port)
        other = self.by_name.get(self._name_by_endpoint.get(endpoint, ""))
        if other is None or other is member or (other.address, other.port) != endpoint:
            self._name_by_endpoint[endpoint] = member.name
            return None
        if other.incarnation == member.incarnation:
            return None
        older, newer = sorted((other, member), key=lambda m: m.incarnation)
        self._name_by_endpoint[endpoint] = newer.name
        return None if older.has_ended else older

    def is_ended(self, name: str, incarnation: int) -> bool:
        """Tell whether that incarnation has ended or was followed by a newer one."""
        if incarnation <= self._ended_by_name.get(name, 0):
            return True
        member = self.by_name.get(name)
        return member is not None and member.incarnation > incarnation

    def record_ended(self, name: str, incarnation: int) -> None:
        """Record that the incarnation, and every earlier one of that name, has ended."""
        ended = max(incarnation, self._ended_by_name.pop(name, 0))
        self._ended_by_name[name] = ended
        if len(self._ended_by_name) > MAX_ENDED:
            del self._ended_by_name[next(iter(self._ended_by_name))]

    def remove(self, name: str) -> None:
        """Remove a host; its ended incarnations stay recorded."""
        member = self.by_name.pop(name)
        self._name_by_endpoint.pop((member.address, member.port), None)
        self.version += 1

    def mark_declared(self, names: Iterable[str]) -> None:
        """Set ``declared`` on exactly these hosts; remove others that have no incarnation."""
        wanted = set(names)
        for member in list(self.by_name.values()):
            member.declared = member.name in wanted
            if not member.declared and member.incarnation == 0:
                self.remove(member.name)


def _overrides(update: MemberUpdate, member: Member) -> bool:
    known = (member.incarnation, member.counter, member.state)
    return (update.incarnation, update.counter, update.state) > known


def _apply(now: float, update: MemberUpdate, member: Member) -> None:
    if update.incarnation > member.incarnation:
        member.address, member.port = update.address, update.port
        member.failure_domain = update.failure_domain
        member.weight = update.weight
        member.started_at = now
        member.full_table_sent = False
    member.incarnation = update.incarnation
    member.counter = update.counter
    member.state = update.state
    member.changed_at = now
