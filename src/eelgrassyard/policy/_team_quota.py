"""Division of a team's quota into shares, and the token bucket that enforces a share."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ._config import SiteConfig

BURST_S = 1.0
"""Burst size of a bucket: seconds of its refill rate."""

RAISE_DELAY_S = 0.3
"""Delay before a higher share applies. It covers the delivery of a digest to all schedulers, so
that those whose share falls lower it first."""

PARTITION_RAISE_DELAY_S = 1.5
"""Delay on the fixed share: schedulers detect a partition up to one digest interval apart."""

DEMAND_SMOOTHING = 0.3
"""Weight of the latest second in the moving average of demand, which smooths the noise of small
demands."""

DEMAND_STD_DEVIATIONS = 2.0
"""Standard deviations from the average beyond which a demand replaces it instead of being smoothed.
Smaller differences count as noise."""

BACKLOG_DECAY = 0.8
"""Ratio of the unmet demand that is kept each second, because withdrawn requests are not subtracted
from it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerDemand:
    """Demand in the latest digest of another scheduler.

    :param domain: failure domain of the scheduler.
    :param order: incarnation and sequence of the digest; a lower one is outdated.
    :param demand_by_team: task starts per second.
    """

    domain: str
    order: tuple[int, int]
    heard_at: float
    demand_by_team: Mapping[str, float]


def fixed_ratio_by_domain(site: SiteConfig) -> dict[str, float]:
    """Fixed share of each failure domain as a ratio of any quota, by the weight of its hosts."""
    weight_by_domain: defaultdict[str, float] = defaultdict(float)
    for host in site.hosts_by_name.values():
        weight_by_domain[host.failure_domain] += host.weight
    total = sum(weight_by_domain.values())
    return {domain: weight / total for domain, weight in weight_by_domain.items() if total}


def max_min_shares(quota: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Weighted max-min fair shares of a quota; unrequested capacity is divided by weight.

    A demand of up to ``quota * weight / sum(weights)`` is always met in full.
    """
    if sum(demands) <= quota:
        spare = (quota - sum(demands)) / sum(weights)
        return [d + spare * w for d, w in zip(demands, weights, strict=True)]
    shares = [0.0] * len(demands)
    left = quota
    weight_left = sum(weights)
    for i in sorted(range(len(demands)), key=lambda i: demands[i] / weights[i]):
        shares[i] = min(demands[i], left * weights[i] / weight_left)
        left -= shares[i]
        weight_left -= weights[i]
    return shares


class TeamBucket:
    """Token bucket of one team at one scheduler, and an estimate of the team's demand there.

    :ivar quota: quota of the team over all schedulers, in starts per second.
    :ivar target_share: latest computed share, in starts per second.
    :ivar share: refill rate in force: the lowest share computed within the raise delay.
    :ivar demand_per_s: moving average of the requested and unmet starts.
    :ivar started_per_s: starts in the latest period.
    """

    def __init__(self, quota: float, now: float) -> None:
        self.quota = quota
        self.target_share = 0.0
        self.share = 0.0
        self.demand_per_s = 0.0
        self.started_per_s = 0.0
        self._tokens = 0.0
        self._refilled_at = now
        self._requested = 0
        self._started = 0
        self._unmet = 0.0
        self._was_limited = False
        self._recent_targets: deque[tuple[float, float]] = deque()

    def allowed(self, now: float, tasks: int, *, gang: bool = False) -> int:
        """Return how many of ``tasks`` may start now; see :meth:`Quotas.allowed`."""
        self._refill(now)
        if gang and self._tokens >= min(tasks, self._capacity()) - 1e-9:
            return tasks
        count = max(0, min(tasks, int(self._tokens + 1e-9)))
        if count < tasks:
            self._was_limited = True
        return count

    def charge(self, now: float, tasks: int) -> None:
        """Take tokens; a gang may leave a negative balance."""
        self._refill(now)
        self._tokens -= tasks
        self._started += tasks
        self._unmet = max(0.0, self._unmet - tasks)

    def record_demand(self, tasks: int) -> None:
        """Count requested task starts."""
        self._requested += tasks
        self._unmet += tasks

    def next_allowed(self, now: float) -> float:
        """Time at which a token is available, if the share does not change."""
        self._refill(now)
        missing = 1.0 - self._tokens
        if missing <= 1e-9:
            return now
        return now + min(missing / self.share, PARTITION_RAISE_DELAY_S) if self.share else now + 1.0

    def close_period(self, elapsed_s: float) -> None:
        """Update the demand and the starts per second from the period that ends."""
        requested_per_s = self._requested / elapsed_s
        if not self._was_limited:
            self._unmet = 0.0
        wanted = min(self.quota, requested_per_s + self._unmet)
        change = wanted - self.demand_per_s
        if abs(change) > DEMAND_STD_DEVIATIONS * math.sqrt(self.demand_per_s + 1.0):
            self.demand_per_s = wanted
        else:
            self.demand_per_s += DEMAND_SMOOTHING * change
        if self.demand_per_s < 0.01:
            self.demand_per_s = 0.0
        self.started_per_s = self._started / elapsed_s
        self._unmet *= BACKLOG_DECAY
        self._requested = self._started = 0
        self._was_limited = False

    def set_share(self, now: float, share: float, raise_delay_s: float) -> None:
        """Set the computed share; a lower one applies at once, a higher one after the delay."""
        self._refill(now)
        self.target_share = share
        first = not self._recent_targets
        self._recent_targets.append((now, share))
        while len(self._recent_targets) > 1 and self._recent_targets[1][0] <= now - raise_delay_s:
            self._recent_targets.popleft()
        self.share = min(value for _, value in self._recent_targets)
        if first:
            self._tokens = self._capacity()
        self._tokens = min(self._tokens, self._capacity())

    def dump(self) -> dict[str, object]:
        """State of the bucket as JSON values, for the state dump."""
        return {
            "quota": self.quota,
            "share": self.share,
            "demand_per_s": self.demand_per_s,
            "started_per_s": self.started_per_s,
            "tokens": self._tokens,
        }

    def _capacity(self) -> float:
        return max(1.0, self.share * BURST_S)

    def _refill(self, now: float) -> None:
        elapsed = now - self._refilled_at
        if elapsed > 0.0:
            self._tokens = min(self._capacity(), self._tokens + elapsed * self.share)
            self._refilled_at = now
