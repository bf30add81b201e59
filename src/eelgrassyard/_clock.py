"""Seconds of the Unix epoch that never jump."""

from __future__ import annotations

import time


def _steady() -> float:
    # CLOCK_MONOTONIC stands still while a machine is suspended, and the core must see that gap:
    # an owner that slept beyond its leases may start nothing on old grants.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock:
    """The system clock read once, advanced by a monotonic clock."""

    def __init__(self) -> None:
        self._offset = time.time() - _steady()

    def now(self) -> float:
        """Seconds of the Unix epoch."""
        return self._offset + _steady()
