"""Distributed rate limiting: quotas of teams over all schedulers, without a central counter.

Each scheduler enforces its share of a team's quota with a token bucket. Schedulers exchange their
demand in digests every second, and each computes the same shares from the same digests. A lower
share applies at once, a higher one only after the other schedulers have had time to lower theirs.
A scheduler that does not receive digests from every failure domain limits itself to the fixed share
of its own failure domain.
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
from ._system import ConfigView, MembershipView
from ._team_quota import (
    PARTITION_RAISE_DELAY_S,
    RAISE_DELAY_S,
    PeerDemand,
    TeamBucket,
    fixed_ratio_by_domain,
    max_min_shares,
)

DIGEST_INTERVAL_S = 1.0
"""Interval at which a scheduler sends its demand to the others."""

PEER_TIMEOUT_S = 3.0
"""Time without a digest from a failure domain or scheduler after which the fixed share applies."""

BROADCAST_EVERY_DIGESTS = 10
"""One in so many digests goes to all hosts, to reach those that became schedulers meanwhile."""

SCHEDULER_IDLE_S = 30.0
"""Time after its last use of a quota for which a host counts as a scheduler."""

RECOMPUTE_INTERVAL_S = 0.05
"""Delay that batches the digests of many schedulers into one computation of shares, which bounds
its cost."""

PRESENCE_SEQUENCE = 0
"""Sequence number of a digest from a host that does not schedule. It shows only that the host's
failure domain can be reached."""


class Quotas:
    """Enforces this scheduler's share of each team's quota and exchanges digests with others."""

    HANDLES: ClassVar[tuple[type, ...]] = (QuotaDigest,)

    def __init__(
        self, *, identity: HostIdentity, config: ConfigView, membership: MembershipView
    ) -> None:
        self._identity = identity
        self._config = config
        self._membership = membership
        self._site: SiteConfig | None = None
        self._fixed_ratio_by_domain: dict[str, float] = {}
        self._bucket_by_team: dict[str, TeamBucket] = {}
        self._peer_by_host: dict[str, PeerDemand] = {}
        self._heard_at_by_domain: dict[str, float] = {}
        self._last_used_at = -math.inf
        self._digest_at = math.inf
        self._period_start = 0.0
        self._sequence = PRESENCE_SEQUENCE
        self._recompute_at = math.inf
        self._is_connected = False
        self._is_announced = False

    def allowed(self, now: float, team: str, tasks: int, *, gang: bool = False) -> int:
        """Return how many of ``tasks`` task starts the team may make now.

        :param gang: the tasks start together or not at all. A gang larger than the bucket is
            allowed when the bucket is full; it leaves a debt that the refill pays off.
        """
        bucket = self._touch_bucket(now, team)
        if bucket is None:
            return tasks
        return bucket.allowed(now, tasks, gang=gang)

    def charge(self, now: float, team: str, tasks: int) -> None:
        """Take tokens for granted task starts."""
        bucket = self._touch_bucket(now, team)
        if bucket is not None:
            bucket.charge(now, tasks)

    def record_demand(self, now: float, team: str, tasks: int) -> None:
        """Count requested task starts."""
        bucket = self._touch_bucket(now, team)
        if bucket is not None:
            bucket.record_demand(tasks)

    def next_allowed(self, now: float, team: str) -> float:
        """Earliest time at which the team may start another task."""
        bucket = self._touch_bucket(now, team)
        return now if bucket is None else bucket.next_allowed(now)

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Process an event; all but digests of other hosts are ignored."""
        if not isinstance(event, PeerReceived) or not isinstance(event.message, QuotaDigest):
            return
        if event.sender == self._identity.name:
            return
        digest = event.message
        self._heard_at_by_domain[digest.failure_domain] = now
        if digest.sequence == PRESENCE_SEQUENCE:
            self._schedule_recompute(now)
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
        self._schedule_recompute(now)
        if known is None:
            # A new scheduler stays on its fixed share until it has heard every failure domain.
            self._send_digest_to(now, event.sender, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run the timers that are due."""
        self._update_config(now)
        if now >= self._digest_at:
            self._send_digests(now, out)
            self._schedule_recompute(now)
        if now >= self._recompute_at:
            self._recompute_at = math.inf
            self._recompute_shares(now)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        return min(self._digest_at, self._recompute_at)

    def dump(self) -> dict[str, object]:
        """Quota state as JSON values, for the state dump."""
        return {
            "connected": self._is_connected,
            "schedulers": sorted(self._peer_by_host),
            "teams": {name: bucket.dump() for name, bucket in self._bucket_by_team.items()},
        }

    # Digests

    def _is_scheduling(self, now: float) -> bool:
        return now - self._last_used_at < SCHEDULER_IDLE_S

    def _represents_domain(self) -> bool:
        """Whether this is the host that shows others that its failure domain can be reached."""
        alive = self._membership.alive_hosts(self._identity.failure_domain)
        return bool(alive) and alive[0] == self._identity.name

    def _send_digest_to(self, now: float, peer: str, out: list[Action]) -> None:
        if self._is_scheduling(now) or self._represents_domain():
            out.append(Send(to=peer, message=self._digest(now)))
            self._digest_at = min(self._digest_at, now + DIGEST_INTERVAL_S)

    def _send_digests(self, now: float, out: list[Action]) -> None:
        self._drop_expired_peers(now)
        scheduling = self._is_scheduling(now)
        if scheduling:
            self._close_period(now)
            digest = self._digest(now)
            out.extend(Send(to=host, message=digest) for host in self._digest_recipients())
        elif self._is_announced:
            out.extend(Send(to=host, message=self._final_digest()) for host in self._other_hosts())
        elif self._represents_domain():
            digest = self._digest(now)
            out.extend(Send(to=host, message=digest) for host in self._peer_by_host)
        self._is_announced = scheduling
        stays_active = scheduling or self._peer_by_host
        self._digest_at = now + DIGEST_INTERVAL_S if stays_active else math.inf

    def _close_period(self, now: float) -> None:
        elapsed_s = max(now - self._period_start, 1e-3)
        for bucket in self._bucket_by_team.values():
            bucket.close_period(elapsed_s)
        self._period_start = now
        self._sequence += 1

    def _other_hosts(self) -> list[str]:
        own = self._identity.name
        return [host for host in self._membership.alive_hosts() if host != own]

    def _digest_recipients(self) -> Collection[str]:
        """The other schedulers, and one host of each failure domain so that it answers."""
        if self._sequence % BROADCAST_EVERY_DIGESTS == 1:
            return self._other_hosts()
        hosts = dict.fromkeys(self._peer_by_host)
        for domain in self._fixed_ratio_by_domain:
            hosts.update(dict.fromkeys(self._membership.alive_hosts(domain)[:1]))
        hosts.pop(self._identity.name, None)
        return hosts

    def _final_digest(self) -> QuotaDigest:
        """Return a digest without demand, sent when this host stops scheduling."""
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
                    asked_per_s=round(self._reported_demand(bucket), 3),
                    started_per_s=round(bucket.started_per_s, 3),
                )
                for name, bucket in self._bucket_by_team.items()
                if bucket.demand_per_s > 0.0 or not self._is_connected
            ),
        )

    def _reported_demand(self, bucket: TeamBucket) -> float:
        """Demand to report; a scheduler limited to its fixed share reports exactly that share."""
        return bucket.demand_per_s if self._is_connected else bucket.target_share

    def _drop_expired_peers(self, now: float) -> None:
        for host, peer in list(self._peer_by_host.items()):
            age_s = now - peer.heard_at
            has_ended = not peer.demand_by_team or not self._membership.is_alive(host)
            if age_s > SCHEDULER_IDLE_S or (age_s > PEER_TIMEOUT_S and has_ended):
                del self._peer_by_host[host]

    # Shares

    def _touch_bucket(self, now: float, team: str) -> TeamBucket | None:
        """Count this host as a scheduler and return the team's bucket, or None without a quota."""
        self._update_config(now)
        if not self._is_scheduling(now):
            self._period_start = now
            self._digest_at = now
            self._recompute_shares(now)
        self._last_used_at = now
        return self._bucket_by_team.get(team)

    def _update_config(self, now: float) -> None:
        site = self._config.current
        if site is self._site or site is None:
            return
        self._site = site
        self._fixed_ratio_by_domain = fixed_ratio_by_domain(site)
        quota_by_team = {
            t.name: t.starts_per_s for t in site.teams_by_name.values() if t.starts_per_s > 0.0
        }
        kept = {n: b for n, b in self._bucket_by_team.items() if n in quota_by_team}
        self._bucket_by_team = {
            name: kept.get(name) or TeamBucket(quota, now) for name, quota in quota_by_team.items()
        }
        for name, quota in quota_by_team.items():
            self._bucket_by_team[name].quota = quota
        self._recompute_shares(now)

    def _schedule_recompute(self, now: float) -> None:
        self._recompute_at = min(self._recompute_at, now + RECOMPUTE_INTERVAL_S)

    def _peer_timeout_at(self) -> float:
        """Earliest time at which a failure domain or scheduler times out without a new digest."""
        own = self._identity.failure_domain
        heard_at_times = [
            self._heard_at_by_domain.get(domain, -math.inf)
            for domain in self._fixed_ratio_by_domain
            if domain != own
        ]
        heard_at_times.extend(peer.heard_at for peer in self._peer_by_host.values())
        return min(heard_at_times, default=math.inf) + PEER_TIMEOUT_S

    def _recompute_shares(self, now: float) -> None:
        self._drop_expired_peers(now)
        timeout_at = self._peer_timeout_at()
        self._is_connected = now <= timeout_at
        if self._is_connected:
            self._recompute_at = min(self._recompute_at, timeout_at + RECOMPUTE_INTERVAL_S)
        own = self._identity.failure_domain
        peers = [
            peer for peer in self._peer_by_host.values() if self._is_connected or peer.domain == own
        ]
        weights = self._weights(peers)
        ratio = 1.0 if self._is_connected else self._fixed_ratio_by_domain.get(own, 0.0)
        delay_s = RAISE_DELAY_S if self._is_connected else PARTITION_RAISE_DELAY_S
        for name, bucket in self._bucket_by_team.items():
            demands = [bucket.demand_per_s]
            demands.extend(peer.demand_by_team.get(name, 0.0) for peer in peers)
            bucket.set_share(
                now, max_min_shares(bucket.quota * ratio, demands, weights)[0], delay_s
            )

    def _weights(self, peers: list[PeerDemand]) -> list[float]:
        """Weights of this host and the peers; schedulers of a failure domain divide its ratio."""
        domains = [self._identity.failure_domain, *(peer.domain for peer in peers)]
        hosts_by_domain = Counter(domains)
        return [
            max(self._fixed_ratio_by_domain.get(domain, 0.0), 1e-6) / hosts_by_domain[domain]
            for domain in domains
        ]
