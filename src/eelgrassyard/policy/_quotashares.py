"""Shares of a team's quota, and the token bucket that enforces one."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ._config import SiteConfig

BURST_S = 1.0
"""Seconds of the share that a bucket holds."""

RAISE_DELAY_S = 0.3
"""Time for which a higher share must have been computed before it applies.

It covers the delivery of a digest to all schedulers, so those who must lower their share do so
first.
"""

CUT_RAISE_DELAY_S = 1.5
"""The same on the fixed share; schedulers notice a cut up to a digest interval apart."""

DEMAND_SMOOTHING = 0.3
"""Weight of one second in the mean demand; small demands are noisy."""

SIGNIFICANT_DEVIATIONS = 2.0
"""Deviations by which demand must differ from its mean to count as changed rather than noise."""

BACKLOG_FALL = 0.8
"""Part of the unmet demand that remains after a second; withdrawn asks leave no trace here."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerDemand:
    """What another scheduler reported last.

    :param order: incarnation and sequence of the digest.
    """

    domain: str
    order: tuple[int, int]
    heard_at: float
    demand_by_team: Mapping[str, float]


def fixed_parts(site: SiteConfig) -> dict[str, float]:
    """Part of every quota that each failure domain has for itself, by the weight of its hosts."""
    weight_by_domain: defaultdict[str, float] = defaultdict(float)
    for host in site.hosts_by_name.values():
        weight_by_domain[host.failure_domain] += host.weight
    total = sum(weight_by_domain.values())
    return {domain: weight / total for domain, weight in weight_by_domain.items() if total}


def fill_shares(quota: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Weighted max-min shares of a quota; what no one asks for is divided by weight.

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
    """Token bucket of one team at one scheduler, with its demand.

    :ivar computed: share by the last computation, in starts per second.
    :ivar share: share in force.
    """

    def __init__(self, quota: float, now: float) -> None:
        self.quota = quota
        self.computed = 0.0
        self.share = 0.0
        self.demand_per_s = 0.0
        self.started_per_s = 0.0
        self._tokens = 0.0
        self._filled_at = now
        self._asked = 0
        self._started = 0
        self._unmet = 0.0
        self._is_short = False
        self._computed: deque[tuple[float, float]] = deque()

    def allowed(self, now: float, tasks: int, *, gang: bool = False) -> int:
        """How many of ``tasks`` may start now."""
        self._fill(now)
        if gang and self._tokens >= min(tasks, self._depth()) - 1e-9:
            return tasks
        count = max(0, min(tasks, int(self._tokens + 1e-9)))
        if count < tasks:
            self._is_short = True
        return count

    def charge(self, now: float, tasks: int) -> None:
        """Take tokens; a gang may leave a debt."""
        self._fill(now)
        self._tokens -= tasks
        self._started += tasks
        self._unmet = max(0.0, self._unmet - tasks)

    def note_demand(self, tasks: int) -> None:
        """Count task starts that were asked for."""
        self._asked += tasks
        self._unmet += tasks

    def next_allowed(self, now: float) -> float:
        """Time at which a token is there, if the share stays as it is."""
        self._fill(now)
        missing = 1.0 - self._tokens
        if missing <= 1e-9:
            return now
        return now + min(missing / self.share, CUT_RAISE_DELAY_S) if self.share else now + 1.0

    def close_period(self, elapsed_s: float) -> None:
        """Compute demand and starts per second of the period that ends."""
        asked_per_s = self._asked / elapsed_s
        if not self._is_short:
            self._unmet = 0.0
        wanted = min(self.quota, asked_per_s + self._unmet)
        change = wanted - self.demand_per_s
        if abs(change) > SIGNIFICANT_DEVIATIONS * math.sqrt(self.demand_per_s + 1.0):
            self.demand_per_s = wanted
        else:
            self.demand_per_s += DEMAND_SMOOTHING * change
        if self.demand_per_s < 0.01:
            self.demand_per_s = 0.0
        self.started_per_s = self._started / elapsed_s
        self._unmet *= BACKLOG_FALL
        self._asked = self._started = 0
        self._is_short = False

    def set_share(self, now: float, share: float, raise_delay_s: float) -> None:
        """Take a computed share; it applies at once if lower, else after the delay."""
        self._fill(now)
        self.computed = share
        first = not self._computed
        self._computed.append((now, share))
        while len(self._computed) > 1 and self._computed[1][0] <= now - raise_delay_s:
            self._computed.popleft()
        self.share = min(value for _, value in self._computed)
        if first:
            self._tokens = self._depth()
        self._tokens = min(self._tokens, self._depth())

    def dump(self) -> dict[str, object]:
        """Share and usage."""
        return {
            "quota": self.quota,
            "share": self.share,
            "demand_per_s": self.demand_per_s,
            "started_per_s": self.started_per_s,
            "tokens": self._tokens,
        }

    def _depth(self) -> float:
        return max(1.0, self.share * BURST_S)

    def _fill(self, now: float) -> None:
        elapsed = now - self._filled_at
        if elapsed > 0.0:
            self._tokens = min(self._depth(), self._tokens + elapsed * self.share)
            self._filled_at = now
