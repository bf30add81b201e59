"""Quotas of teams over all schedulers, without a central counter.

Each scheduler holds a share of a team's quota as a token bucket. Schedulers tell each other their
demand every second, and each computes the same shares from the same digests. A share is lowered at
once and raised only after the others have had time to lower theirs. A scheduler that does not hear
from every failure domain keeps to the fixed share of its own one.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection
from typing import ClassVar

from ._actions import Action, Send
from ._config import SiteConfig
from ._events import Event, PeerReceived
from ._identity import HostIdentity
from ._messages import QuotaDigest, TeamDemand
from ._quotashares import (
    CUT_RAISE_DELAY_S,
    RAISE_DELAY_S,
    PeerDemand,
    TeamBucket,
    fill_shares,
    fixed_parts,
)
from ._system import ConfigView, MembershipView

DIGEST_INTERVAL_S = 1.0

SILENCE_S = 3.0
"""Time without news from a failure domain after which the fixed share applies."""

BROADCAST_EVERY = 10
"""Digests between two that go to all hosts, for hosts that began to schedule unnoticed."""

SCHEDULING_S = 30.0
"""Time after the last use for which a host counts as one that schedules."""

RECOMPUTE_INTERVAL_S = 0.05
"""Shortest time between two computations of shares; bounds the cost with many schedulers."""

PRESENCE_SEQUENCE = 0
"""Sequence of a digest by which a host that does not schedule speaks for its failure domain."""


class Quotas:
    """Token buckets by team, filled at the own share of each team's quota."""

    HANDLES: ClassVar[tuple[type, ...]] = (QuotaDigest,)

    def __init__(
        self, *, identity: HostIdentity, config: ConfigView, membership: MembershipView
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._site: SiteConfig | None = None
        self._part_by_domain: dict[str, float] = {}
        self._bucket_by_team: dict[str, TeamBucket] = {}
        self._peer_by_host: dict[str, PeerDemand] = {}
        self._heard_by_domain: dict[str, float] = {}
        self._used_at = -math.inf
        self._digest_at = math.inf
        self._period_start = 0.0
        self._sequence = PRESENCE_SEQUENCE
        self._compute_at = math.inf
        self._is_connected = False
        self._is_announced = False

    def allowed(self, now: float, team: str, tasks: int, *, gang: bool = False) -> int:
        """How many of ``tasks`` task starts the team may make now.

        :param gang: the tasks start together or not at all. A gang larger than the bucket is
            allowed when the bucket is full, and the team pays for it afterwards.
        """
        bucket = self._use(now, team)
        if bucket is None:
            return tasks
        return bucket.allowed(now, tasks, gang=gang)

    def charge(self, now: float, team: str, tasks: int) -> None:
        """Count task starts that were granted."""
        bucket = self._use(now, team)
        if bucket is not None:
            bucket.charge(now, tasks)

    def note_demand(self, now: float, team: str, tasks: int) -> None:
        """Count task starts that were asked for."""
        bucket = self._use(now, team)
        if bucket is not None:
            bucket.note_demand(tasks)

    def next_allowed(self, now: float, team: str) -> float:
        """Time at which the team may start a task again."""
        bucket = self._use(now, team)
        return now if bucket is None else bucket.next_allowed(now)

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Take one event."""
        if not isinstance(event, PeerReceived) or not isinstance(event.message, QuotaDigest):
            return
        if event.sender == self._identity.name:
            return
        digest = event.message
        self._heard_by_domain[digest.failure_domain] = now
        if digest.sequence == PRESENCE_SEQUENCE:
            self._compute_soon(now)
            return
        known = self._peer_by_host.get(event.sender)
        order = (event.incarnation, digest.sequence)
        if known is not None and order <= known.order:
            return
        self._peer_by_host[event.sender] = PeerDemand(
            domain=digest.failure_domain,
            order=order,
            heard_at=now,
            demand_by_team={d.team: d.asked_per_s for d in digest.demands},
        )
        self._compute_soon(now)
        if known is None:
            # A new scheduler keeps to its fixed share until it has heard from everyone.
            self._answer(now, event.sender, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""
        self._read_config(now)
        if now >= self._digest_at:
            self._send_digests(now, out)
            self._compute_soon(now)
        if now >= self._compute_at:
            self._compute_at = math.inf
            self._compute(now)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return min(self._digest_at, self._compute_at)

    def dump(self) -> dict[str, object]:
        """Shares and usage by team."""
        return {
            "connected": self._is_connected,
            "schedulers": sorted(self._peer_by_host),
            "teams": {name: bucket.dump() for name, bucket in self._bucket_by_team.items()},
        }

    # Peers

    def _is_scheduling(self, now: float) -> bool:
        return now - self._used_at < SCHEDULING_S

    def _speaks_for_domain(self) -> bool:
        alive = self._membership.alive_hosts(self._identity.failure_domain)
        return bool(alive) and alive[0] == self._identity.name

    def _answer(self, now: float, peer: str, out: list[Action]) -> None:
        if self._is_scheduling(now) or self._speaks_for_domain():
            out.append(Send(to=peer, message=self._digest(now)))
            self._digest_at = min(self._digest_at, now + DIGEST_INTERVAL_S)

    def _send_digests(self, now: float, out: list[Action]) -> None:
        self._drop_silent(now)
        scheduling = self._is_scheduling(now)
        if scheduling:
            self._close_period(now)
            digest = self._digest(now)
            out.extend(Send(to=host, message=digest) for host in self._receivers())
        elif self._is_announced:
            out.extend(Send(to=host, message=self._last_digest()) for host in self._others())
        elif self._speaks_for_domain():
            digest = self._digest(now)
            out.extend(Send(to=host, message=digest) for host in self._peer_by_host)
        self._is_announced = scheduling
        goes_on = scheduling or self._peer_by_host
        self._digest_at = now + DIGEST_INTERVAL_S if goes_on else math.inf

    def _close_period(self, now: float) -> None:
        elapsed_s = max(now - self._period_start, 1e-3)
        for bucket in self._bucket_by_team.values():
            bucket.close_period(elapsed_s)
        self._period_start = now
        self._sequence += 1

    def _others(self) -> list[str]:
        own = self._identity.name
        return [host for host in self._membership.alive_hosts() if host != own]

    def _receivers(self) -> Collection[str]:
        """Other schedulers, and a host of each failure domain to hear from."""
        if self._sequence % BROADCAST_EVERY == 1:
            return self._others()
        hosts = dict.fromkeys(self._peer_by_host)
        for domain in self._part_by_domain:
            hosts.update(dict.fromkeys(self._membership.alive_hosts(domain)[:1]))
        hosts.pop(self._identity.name, None)
        return hosts

    def _last_digest(self) -> QuotaDigest:
        self._sequence += 1
        return QuotaDigest(
            failure_domain=self._identity.failure_domain, sequence=self._sequence, demands=()
        )

    def _digest(self, now: float) -> QuotaDigest:
        if not self._is_scheduling(now):
            return QuotaDigest(
                failure_domain=self._identity.failure_domain,
                sequence=PRESENCE_SEQUENCE,
                demands=(),
            )
        return QuotaDigest(
            failure_domain=self._identity.failure_domain,
            sequence=max(self._sequence, PRESENCE_SEQUENCE + 1),
            demands=tuple(
                TeamDemand(
                    team=name,
                    asked_per_s=round(self._reported(bucket), 3),
                    started_per_s=round(bucket.started_per_s, 3),
                )
                for name, bucket in self._bucket_by_team.items()
                if bucket.demand_per_s > 0.0 or not self._is_connected
            ),
        )

    def _reported(self, bucket: TeamBucket) -> float:
        """Demand to report: on its fixed share a scheduler takes exactly that."""
        return bucket.demand_per_s if self._is_connected else bucket.computed

    def _drop_silent(self, now: float) -> None:
        for host, peer in list(self._peer_by_host.items()):
            silent_s = now - peer.heard_at
            has_ended = not peer.demand_by_team or not self._membership.is_alive(host)
            if silent_s > SCHEDULING_S or (silent_s > SILENCE_S and has_ended):
                del self._peer_by_host[host]

    # Shares

    def _use(self, now: float, team: str) -> TeamBucket | None:
        self._read_config(now)
        if not self._is_scheduling(now):
            self._period_start = now
            self._digest_at = now
            self._compute(now)
        self._used_at = now
        return self._bucket_by_team.get(team)

    def _read_config(self, now: float) -> None:
        site = self._config.current
        if site is self._site or site is None:
            return
        self._site = site
        self._part_by_domain = fixed_parts(site)
        quota_by_team = {
            t.name: t.starts_per_s for t in site.teams_by_name.values() if t.starts_per_s > 0.0
        }
        kept = {n: b for n, b in self._bucket_by_team.items() if n in quota_by_team}
        self._bucket_by_team = {
            name: kept.get(name) or TeamBucket(quota, now) for name, quota in quota_by_team.items()
        }
        for name, quota in quota_by_team.items():
            self._bucket_by_team[name].quota = quota
        self._compute(now)

    def _compute_soon(self, now: float) -> None:
        self._compute_at = min(self._compute_at, now + RECOMPUTE_INTERVAL_S)

    def _silent_at(self) -> float:
        """Time at which a failure domain or scheduler falls silent if nothing more is heard."""
        own = self._identity.failure_domain
        heard = [
            self._heard_by_domain.get(domain, -math.inf)
            for domain in self._part_by_domain
            if domain != own
        ]
        heard.extend(peer.heard_at for peer in self._peer_by_host.values())
        return min(heard, default=math.inf) + SILENCE_S

    def _compute(self, now: float) -> None:
        self._drop_silent(now)
        silent_at = self._silent_at()
        self._is_connected = now <= silent_at
        if self._is_connected:
            self._compute_at = min(self._compute_at, silent_at + RECOMPUTE_INTERVAL_S)
        own = self._identity.failure_domain
        peers = [
            peer for peer in self._peer_by_host.values() if self._is_connected or peer.domain == own
        ]
        weights = self._weights(peers)
        part = 1.0 if self._is_connected else self._part_by_domain.get(own, 0.0)
        delay_s = RAISE_DELAY_S if self._is_connected else CUT_RAISE_DELAY_S
        for name, bucket in self._bucket_by_team.items():
            demands = [bucket.demand_per_s]
            demands.extend(peer.demand_by_team.get(name, 0.0) for peer in peers)
            bucket.set_share(now, fill_shares(bucket.quota * part, demands, weights)[0], delay_s)

    def _weights(self, peers: list[PeerDemand]) -> list[float]:
        """Fixed parts of the own host and of the peers; hosts of a domain divide its part."""
        domains = [self._identity.failure_domain, *(peer.domain for peer in peers)]
        hosts_by_domain = Counter(domains)
        return [
            max(self._part_by_domain.get(domain, 0.0), 1e-6) / hosts_by_domain[domain]
            for domain in domains
        ]
