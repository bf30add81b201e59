"""Queues and slots of the pools that this host schedules."""

from __future__ import annotations

import itertools
import math
from typing import ClassVar

import xxhash

from ._actions import Action, Send
from ._config import UpstreamEntry
from ._events import Event, HostListRead, PeerReceived, UsageReported
from ._identity import HostIdentity
from ._messages import (
    SlotAsk,
    SlotHeld,
    SlotRefusal,
    SlotRelease,
    SlotWithdraw,
    SpeedDigest,
)
from ._outcomes import Reason
from ._poolnames import parse_pool_name
from ._poolscheduler import PoolScheduler
from ._quotas import Quotas
from ._slotallocator import PoolContext
from ._system import ConfigView, MembershipView, WitnessView

DIGEST_INTERVAL_S = 5.0
"""Interval of speed digests; speeds change slowly."""

DIGEST_RECEIVERS = 2
"""Hosts that get each digest, in turn, so the cost does not grow with the number of hosts."""

RETRY_NOT_READY_S = 1.0


class Scheduler:
    """Grants places on the upstreams of its pools to the tasks of all owners.

    A host schedules every pool that owners send asks for; normally it is the one that
    ``MembershipView.scheduler_for`` names.
    """

    HANDLES: ClassVar[tuple[type, ...]] = (
        SlotAsk,
        SlotRelease,
        SlotWithdraw,
        SlotHeld,
        SpeedDigest,
        HostListRead,
        UsageReported,
    )

    def __init__(
        self,
        *,
        identity: HostIdentity,
        config: ConfigView,
        membership: MembershipView,
        quotas: Quotas,
        witness: WitnessView,
        seed: int,
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._quotas = quotas
        self._seed = seed
        self._context = PoolContext(
            config=config,
            membership=membership,
            quotas=quotas,
            witness=witness,
            host=identity.name,
            numbers=itertools.count(first_grant_number(identity)),
        )
        self.pools_by_name: dict[str, PoolScheduler] = {}
        self._list: HostListRead | None = None
        self._revision = 0
        self._digest_at = -math.inf
        self._digest_round = 0

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""
        match event:
            case PeerReceived():
                self._handle_message(now, event, out)
            case HostListRead():
                self._list = event
                for pool in self.pools_by_name.values():
                    self._configure(now, pool)
            case UsageReported():
                for pool in self.pools_by_name.values():
                    if pool.placement is not None and event.upstream in pool.table.by_name:
                        pool.placement.note_usage(now, event)
            case _:
                pass

    def _handle_message(self, now: float, event: PeerReceived, out: list[Action]) -> None:
        message = event.message
        match message:
            case SlotAsk():
                pool = self._pool(now, message.pool)
                if pool is None:
                    out.append(self._refuse_unknown(event.sender, message))
                else:
                    pool.take_ask(event.sender, event.incarnation, message)
            case SlotRelease():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    for release in message.releases:
                        pool.take_release(now, event.sender, release)
            case SlotWithdraw():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    pool.take_withdraw(event.sender, message.submission_id)
            case SlotHeld():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    pool.take_held(now, event.sender, event.incarnation, message)
            case SpeedDigest():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    pool.table.speeds.read_digest(message.speeds)
            case _:
                pass

    def advance(self, now: float, out: list[Action]) -> None:
        """Grant, refuse and run timers."""
        if self._config.revision != self._revision:
            self._revision = self._config.revision
            for pool in self.pools_by_name.values():
                self._configure(now, pool)
        for pool in self.pools_by_name.values():
            pool.advance(now, out)
        if now >= self._digest_at:
            self._digest_at = now + DIGEST_INTERVAL_S
            self._send_digests(out)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return min((pool.next_wake(now) for pool in self.pools_by_name.values()), default=math.inf)

    def dump(self) -> dict[str, object]:
        """The pools scheduled here."""
        return {name: pool.dump() for name, pool in self.pools_by_name.items()}

    def _pool(self, now: float, name: str) -> PoolScheduler | None:
        """The pool of a name, created if it has upstreams."""
        pool = self.pools_by_name.get(name)
        if pool is not None:
            return pool
        scope = parse_pool_name(name)
        if not any(scope.contains(entry) for entry in self._entries()):
            return None
        pool = PoolScheduler(name=name, scope=scope, context=self._context)
        self.pools_by_name[name] = pool
        self._configure(now, pool)
        return pool

    def _entries(self) -> list[UpstreamEntry]:
        """Upstreams of the configuration, with the addresses of the host list, and its others."""
        current = self._config.current
        by_name = dict(current.upstreams_by_name) if current is not None else {}
        for item in self._list.upstreams if self._list is not None else ():
            by_name[item.upstream.name] = item.upstream
        return list(by_name.values())

    def _configure(self, now: float, pool: PoolScheduler) -> None:
        current = self._config.current
        kinds = current.kinds_by_name.values() if current is not None else ()
        own = [kind for kind in kinds if kind.service == pool.scope.service]
        ratio = current.limits.max_ejected_ratio if current is not None else 0.5
        entries = [entry for entry in self._entries() if pool.scope.contains(entry)]
        pool.table.configure(entries, own, ratio)
        if pool.placement is not None:
            pool.placement.set_workers(entries)
        if self._list is not None:
            pool.table.update_from_host_list(now, self._list.upstreams)
        pool.touch()

    def _refuse_unknown(self, owner: str, ask: SlotAsk) -> Send:
        ready = self._config.current is not None
        return Send(
            to=owner,
            message=SlotRefusal(
                submission_id=ask.submission_id,
                pool=ask.pool,
                attempt=ask.attempt,
                reason=Reason.NO_UPSTREAM if ready else Reason.NOT_READY,
                message="no such pool" if ready else "no configuration yet",
                retry_after_s=RETRY_NOT_READY_S,
            ),
        )

    def _send_digests(self, out: list[Action]) -> None:
        """Send learned speeds to a few hosts in turn, any of which may have to take over."""
        for pool in self.pools_by_name.values():
            if not pool.has_news:
                continue
            pool.has_news = False
            hosts = self._membership.alive_hosts(pool.scope.failure_domain)
            others = [host for host in hosts if host != self._identity.name]
            digest = SpeedDigest(pool=pool.name, speeds=pool.table.speeds.digest())
            for offset in range(min(DIGEST_RECEIVERS, len(others))):
                index = self._digest_round * DIGEST_RECEIVERS + offset
                out.append(Send(to=others[index % len(others)], message=digest))
        self._digest_round += 1


def first_grant_number(identity: HostIdentity) -> int:
    """First grant number of an incarnation; the numbers of two schedulers do not overlap."""
    text = f"{identity.name}/{identity.incarnation}".encode()
    return (xxhash.xxh64_intdigest(text) >> 33) << 32 | 1
