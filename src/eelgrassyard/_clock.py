"""Unix time that is not affected by adjustments of the system clock."""

from __future__ import annotations

import time


def _boottime_s() -> float:
    # CLOCK_MONOTONIC does not advance while a machine is suspended, and the core must see that
    # time: an owner whose leases expired during a suspension must start nothing on old grants.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """Reads the system clock once and advances that time by a monotonic clock."""

    def __init__(self) -> None:
        self._offset = time.time() - _boottime_s()

    def now(self) -> float:
        """Seconds since the Unix epoch."""
        return self._offset + _boottime_s()
