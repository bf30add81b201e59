"""Scheduler of the pools that this host is responsible for."""

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
from ._pool_names import parse_pool_name
from ._pool_scheduler import PoolScheduler
from ._quotas import Quotas
from ._slot_allocator import PoolContext
from ._system import ConfigView, MembershipView, WitnessView

DIGEST_INTERVAL_S = 5.0
"""Interval between speed digests. It can be long because speeds change slowly."""

DIGEST_RECEIVERS = 2
"""Hosts that receive each digest, chosen round-robin, so that the cost does not grow with the
number of hosts."""

RETRY_NOT_READY_S = 1.0
"""Retry hint for a request to a pool that this host does not know."""


class Scheduler:
    """Grants slots on the upstreams of its pools to the tasks of all owners.

    A host schedules every pool for which it receives slot requests. Normally that is the host that
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
            grant_numbers=itertools.count(first_grant_number(identity)),
        )
        self.pools_by_name: dict[str, PoolScheduler] = {}
        self._host_list: HostListRead | None = None
        self._revision = 0
        self._digest_at = -math.inf
        self._digest_round = 0

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Process one event."""
        match event:
            case PeerReceived():
                self._handle_message(now, event, out)
            case HostListRead():
                self._host_list = event
                for pool in self.pools_by_name.values():
                    self._configure(now, pool)
            case UsageReported():
                for pool in self.pools_by_name.values():
                    if pool.placement is not None and event.upstream in pool.table.by_name:
                        pool.placement.record_usage(now, event)
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
                    pool.receive_request(event.sender, event.incarnation, message)
            case SlotRelease():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    for release in message.releases:
                        pool.receive_release(now, event.sender, release)
            case SlotWithdraw():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    pool.receive_withdrawal(event.sender, message.submission_id)
            case SlotHeld():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    pool.receive_held(now, event.sender, event.incarnation, message)
            case SpeedDigest():
                pool = self._pool(now, message.pool)
                if pool is not None:
                    pool.table.speeds.read_digest(message.speeds)
            case _:
                pass

    def advance(self, now: float, out: list[Action]) -> None:
        """Grant and refuse queued requests, run the timers and send speed digests."""
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
        """Earliest time at which a pool needs another :meth:`advance`."""
        return min((pool.next_wake(now) for pool in self.pools_by_name.values()), default=math.inf)

    def dump(self) -> dict[str, object]:
        """State of the pools scheduled here, by name, as JSON values."""
        return {name: pool.dump() for name, pool in self.pools_by_name.items()}

    def _pool(self, now: float, name: str) -> PoolScheduler | None:
        """Pool with this name, created on first use; None if no upstream belongs to it."""
        pool = self.pools_by_name.get(name)
        if pool is not None:
            return pool
        scope = parse_pool_name(name)
        if not any(scope.contains(entry) for entry in self._upstream_entries()):
            return None
        pool = PoolScheduler(name=name, scope=scope, context=self._context)
        self.pools_by_name[name] = pool
        self._configure(now, pool)
        return pool

    def _upstream_entries(self) -> list[UpstreamEntry]:
        """Upstreams of the configuration and the host list; the host list's entry wins."""
        current = self._config.current
        by_name = dict(current.upstreams_by_name) if current is not None else {}
        for item in self._host_list.upstreams if self._host_list is not None else ():
            by_name[item.upstream.name] = item.upstream
        return list(by_name.values())

    def _configure(self, now: float, pool: PoolScheduler) -> None:
        current = self._config.current
        kinds = current.kinds_by_name.values() if current is not None else ()
        own = [kind for kind in kinds if kind.service == pool.scope.service]
        ratio = current.limits.max_ejected_ratio if current is not None else 0.5
        entries = [entry for entry in self._upstream_entries() if pool.scope.contains(entry)]
        pool.table.configure(entries, own, ratio)
        if pool.placement is not None:
            pool.placement.set_workers(entries)
        if self._host_list is not None:
            pool.table.update_from_host_list(now, self._host_list.upstreams)
        pool.mark_dirty()

    def _refuse_unknown(self, owner: str, request: SlotAsk) -> Send:
        ready = self._config.current is not None
        return Send(
            to=owner,
            message=SlotRefusal(
                submission_id=request.submission_id,
                pool=request.pool,
                attempt=request.attempt,
                reason=Reason.NO_UPSTREAM if ready else Reason.NOT_READY,
                message=(
                    "no upstream belongs to this pool"
                    if ready
                    else "the host has no configuration yet"
                ),
                retry_after_s=RETRY_NOT_READY_S,
            ),
        )

    def _send_digests(self, out: list[Action]) -> None:
        """Send learned speeds to a few hosts, round-robin, as any host may have to take over."""
        for pool in self.pools_by_name.values():
            if not pool.has_new_speeds:
                continue
            pool.has_new_speeds = False
            hosts = self._membership.alive_hosts(pool.scope.failure_domain)
            others = [host for host in hosts if host != self._identity.name]
            digest = SpeedDigest(pool=pool.name, speeds=pool.table.speeds.digest())
            for offset in range(min(DIGEST_RECEIVERS, len(others))):
                index = self._digest_round * DIGEST_RECEIVERS + offset
                out.append(Send(to=others[index % len(others)], message=digest))
        self._digest_round += 1


def first_grant_number(identity: HostIdentity) -> int:
    """First grant number of a host incarnation.

    The upper half is a hash of name and incarnation, so that the numbers of two schedulers do not
    overlap.
    """
    text = f"{identity.name}/{identity.incarnation}".encode()
    return (xxhash.xxh64_intdigest(text) >> 33) << 32 | 1
