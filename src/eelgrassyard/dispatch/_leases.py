"""Leases of the runs on a worker, counted on the worker's own clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

LEASE_S = 0.8
"""Lease that each start or renewal grants. A caller whose connection broke may submit again after
1.3 s; by then the run of a failed host must have expired, including the clock error and the failure
detection."""

CLOCK_DRIFT = 0.02
"""Fraction by which a worker's clock may be slow (users' page on running tasks)."""

MAX_READING_AGE_S = 4.0
"""Greatest age of a clock reading that a start may rely on; drift adds up to 80 ms by then."""

HANDOVER_S = 1.1
"""Time after a failover for which leases of an earlier leader may keep runs alive: the lease and
the clock error, or the leases of a run that was lent to another domain."""

STOP_LEASE_S = 0.8
"""Time after the first request to stop a run by which its leases have ended, also if no stop was
confirmed and the worker has other runs. A caller may submit again 1.3 s after an answer that its
job was given up."""

UNOWNED_LEASE_S = 0.45
"""Time after a successor's first reading of a worker by which leases there have ended while the
worker has runs that no host has claimed. A run that the earlier leader could not stop any more ends
within 0.82 s without a renewal, so both together are under 1.3 s."""

SUCCESSOR_EXTENSION_S = UNOWNED_LEASE_S / (1.0 - CLOCK_DRIFT)
"""Time by which a successor that this leader does not know of may have extended the leases on a
worker: it reads the worker before they end, and the worker's clock may be slow."""

MAX_LEASE_S = (LEASE_S + CLOCK_DRIFT * MAX_READING_AGE_S) / (1.0 - CLOCK_DRIFT)
"""Longest time for which a lease that is granted now may hold, by the host's clock."""

MIN_START_LEASE_S = 0.3
"""Shortest lease with which a run is started; its first renewal may be that late."""


@dataclass(slots=True, kw_only=True)
class WorkerClock:
    """Last reading of a worker's clock, and the expiry of the leases granted to the worker.

    :param reading_s: worker's clock in its last answer, in seconds.
    :param read_at: when that answer arrived, on the host's clock.
    :param leases_expire_at: time on the host's clock at which all leases granted by this host, or
        by a leader before it, have expired.
    """

    reading_s: float = 0.0
    read_at: float = -1e9
    leases_expire_at: float = 0.0

    def update(self, *, reading_s: float, now: float) -> None:
        """Record the worker's clock from an answer that has just arrived."""
        self.reading_s = reading_s
        self.read_at = now

    def count_earlier_leases(self, now: float) -> None:
        """Count on the leases of earlier leaders, at the first reading of the worker's lists. The
        worker has refused their orders since, and leases never end sooner by shorter ones."""
        self.leases_expire_at = max(self.leases_expire_at, now + HANDOVER_S)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the reading is recent enough for a start."""
        return now - self.read_at <= MAX_READING_AGE_S

    def grant_lease(self, now: float, *, limit: float = math.inf) -> float:
        """Grant a lease: returns its deadline on the worker's clock, and updates
        ``leases_expire_at``.

        :param limit: time on the host's clock by which it must have ended.
        """
        age_s = now - self.read_at
        deadline_s = self.reading_s + min(
            age_s + LEASE_S, (limit - self.read_at) * (1.0 - CLOCK_DRIFT)
        )
        # The worker's clock may have run slow since the reading, and may run slow until the
        # deadline.
        leases_expire_at = self.read_at + (deadline_s - self.reading_s) / (1.0 - CLOCK_DRIFT)
        self.leases_expire_at = max(self.leases_expire_at, leases_expire_at)
        return deadline_s
