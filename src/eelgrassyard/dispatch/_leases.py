"""Leases of the runs on a worker, counted on the worker's own clock."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 0.8
"""Lease that each order carries. A caller whose connection broke may submit again after 1.3 s; a
run whose host died must have lapsed by then, with the clock error and the detection below
included."""

CLOCK_DRIFT = 0.02
"""A worker's clock may be slow by this share (users' page on running tasks)."""

MAX_READING_AGE_S = 4.0
"""Oldest reading of a worker's clock that a start may rely on; the drift adds 80 ms until then."""


@dataclass(slots=True, kw_only=True)
class WorkerClock:
    """Reading of a worker's clock, and the end of the leases that were given out.

    :param reading_s: worker's clock at the last answer, in its seconds.
    :param read_at: when that answer arrived, on the host's clock.
    :param lapses_at: time on the host's clock after which no run can still be alive, as far as the
        orders of this host go.
    """

    reading_s: float = 0.0
    read_at: float = -1e9
    lapses_at: float = 0.0

    def read(self, *, reading_s: float, now: float) -> None:
        """Note the clock in an answer that has just arrived."""
        self.reading_s = reading_s
        self.read_at = now

    def is_fresh(self, now: float) -> bool:
        """Tell whether a start may rely on the reading."""
        return now - self.read_at <= MAX_READING_AGE_S

    def grant_lease(self, now: float) -> float:
        """Deadline of a lease given now, on the worker's clock; notes when it lapses here."""
        deadline_s = self.reading_s + (now - self.read_at) + LEASE_S
        # The worker's clock may have run slow since the reading, and may run slow until the
        # deadline.
        lapses_at = self.read_at + (deadline_s - self.reading_s) / (1.0 - CLOCK_DRIFT)
        self.lapses_at = max(self.lapses_at, lapses_at)
        return deadline_s
