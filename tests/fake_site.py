"""A virtual site whose membership and schedulers are small fakes.

The membership knows the truth at once, except for what a test makes it believe; the scheduler
serves first come, first served. Both are as lenient as the design allows them to be.
"""

from __future__ import annotations

import itertools
import math
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import ClassVar

import pytest
from bench.virtual import VirtualSite

from eelgrassyard.policy import (
    Goodbye,
    HostIdentity,
    Limits,
    PeerReceived,
    Placement,
    Send,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRelease,
    SlotWithdraw,
    TaskSize,
)

HostKey = tuple[str, int]


class FakeMembership:
    """The truth of a virtual site, less the hosts that a test has this host suspect."""

    HANDLES: ClassVar[tuple[type, ...]] = (Goodbye,)
    site: ClassVar[VirtualSite]
    suspected: ClassVar[set[tuple[str, str]]]

    def __init__(self, *, identity: HostIdentity, seed: int) -> None:
        self._identity = identity
        self._gone: set[HostKey] = set()

    def use_config(self, config: object) -> None:
        pass

    def handle(self, now, event, out) -> None:
        if isinstance(event, PeerReceived):
            self._gone.add((event.sender, event.message.incarnation))

    def advance(self, now, out) -> None:
        pass

    def next_wake(self, now: float) -> float:
        return math.inf

    def dump(self) -> dict[str, object]:
        return {}

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        if host == self._identity.name:
            return incarnation in (None, self._identity.incarnation)
        present = self.incarnation_of(host)
        if present is None or (self._identity.name, host) in self.suspected:
            return False
        entry = self.site.host_by_name[host].entry
        if self.site.is_cut(self._identity.failure_domain, entry.failure_domain):
            return False
        return (host, present) not in self._gone and incarnation in (None, present)

    def is_dead(self, host: str, incarnation: int) -> bool:
        return not self.is_alive(host, incarnation)

    def is_leaving(self, host: str) -> bool:
        return False

    def incarnation_of(self, host: str) -> int | None:
        core = self.site.host_by_name[host].core if host in self.site.host_by_name else None
        return None if core is None else core.identity.incarnation

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        names = sorted(name for name in self.site.host_by_name if self.is_alive(name))
        if failure_domain is None:
            return names
        entries = self.site.config.hosts_by_name
        return [name for name in names if entries[name].failure_domain == failure_domain]

    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        return max(self.alive_hosts(), key=lambda name: zlib.crc32(f"{name}/{pool}".encode()))

    def witness_for(self, sequence: int) -> str | None:
        own = self._identity.name
        near = [h for h in self.alive_hosts(self._identity.failure_domain) if h != own]
        names = near or [h for h in self.alive_hosts() if h != own]
        return names[sequence % len(names)] if names else None

    def is_cut_off(self, failure_domain: str) -> bool:
        return False

    def is_prompt(self, host: str) -> bool:
        return self.is_alive(host)

    def doubt(self, host: str) -> None:
        pass

    def cut_off_domains(self) -> Sequence[str]:
        return ()


@dataclass
class FakePool:
    """Asks in order of arrival, and the places in use."""

    remaining_by_ask: dict[tuple[str, str], list[TaskSize]] = field(default_factory=dict)
    ask_by_key: dict[tuple[str, str], SlotAsk] = field(default_factory=dict)
    used: dict[tuple[str, int], tuple[str, str, int]] = field(default_factory=dict)


class FakeScheduler:
    """First come, first served, one upstream after the other."""

    HANDLES: ClassVar[tuple[type, ...]] = (SlotAsk, SlotRelease, SlotWithdraw, SlotHeld)

    def __init__(self, *, identity, config, membership, quotas, witness, seed) -> None:
        self._config = config
        self._witness = witness
        self._pool_by_name: dict[str, FakePool] = {}
        self._grants = itertools.count(identity.incarnation)

    def handle(self, now, event, out) -> None:
        owner, message = event.sender, event.message
        pool = self._pool_by_name.setdefault(message.pool, FakePool())
        match message:
            case SlotAsk():
                self._take_ask(pool, owner, message)
            case SlotRelease():
                for release in message.releases:
                    pool.used.pop((owner, release.grant), None)
            case SlotWithdraw():
                pool.remaining_by_ask.pop((owner, message.submission_id), None)
            case SlotHeld():
                for place in message.places:
                    used = (place.upstream, place.submission_id, place.size.index)
                    pool.used[owner, place.grant] = used

    def advance(self, now, out) -> None:
        for name, pool in self._pool_by_name.items():
            for (owner, text), sizes in list(pool.remaining_by_ask.items()):
                while sizes:
                    upstream = self._free_upstream(name, pool, pool.ask_by_key[owner, text].avoid)
                    if upstream is None:
                        break
                    self._grant(pool, owner, text, sizes.pop(0), upstream, out)

    def next_wake(self, now: float) -> float:
        return math.inf

    def dump(self) -> dict[str, object]:
        return {}

    def _take_ask(self, pool: FakePool, owner: str, ask: SlotAsk) -> None:
        key = (owner, ask.submission_id)
        known = pool.ask_by_key.get(key)
        if known is not None and known.attempt >= ask.attempt:
            return
        pool.ask_by_key[key] = ask
        pool.remaining_by_ask[key] = list(ask.tasks)
        indexes = {size.index for size in ask.tasks}
        for grant, (_, text, index) in list(pool.used.items()):
            if grant[0] == owner and text == ask.submission_id and index in indexes:
                del pool.used[grant]

    def _free_upstream(self, name: str, pool: FakePool, avoid: Sequence[str]) -> str | None:
        entries = self._config.current.upstreams_by_name.values()
        in_pool = [e for e in entries if (e.service or "workers") == name]
        in_pool.sort(key=lambda entry: entry.name in avoid)
        used = [upstream for upstream, _, _ in pool.used.values()]
        for entry in in_pool:
            if used.count(entry.name) < (entry.slots or entry.cores):
                return entry.name
        return None

    def _grant(self, pool, owner, text, size, upstream, out) -> None:
        ask = pool.ask_by_key[owner, text]
        grant = next(self._grants)
        pool.used[owner, grant] = (upstream, text, size.index)
        message = SlotGrant(
            submission_id=text,
            pool=ask.pool,
            attempt=ask.attempt,
            placements=(Placement(grant=grant, index=size.index, upstream=upstream),),
            recorded=self._witness.is_recorded(text),
        )
        out.append(Send(to=owner, message=message))


def install_fakes(patch: pytest.MonkeyPatch) -> None:
    """Have new cores use the fakes of this module."""
    patch.setattr("eelgrassyard.policy._core.Membership", FakeMembership)
    patch.setattr("eelgrassyard.policy._core.Scheduler", FakeScheduler)


def bind(site: VirtualSite) -> None:
    """Make a site the one whose truth the fake membership tells."""
    FakeMembership.site = site
    FakeMembership.suspected = set()


SMALL_LIMITS = Limits(lease_s=4.0)
MakeSite = Callable[[], VirtualSite]
