"""Limits on what callers may take of the resources of a process."""

from __future__ import annotations

import contextlib
import resource

RESERVED_FDS = 200
"""Descriptors that are not available to sockets (users' page on deployment)."""

CALLER_FDS_SHARE = 0.5
"""Share of the others that callers' connections may take. Without the rest, workers could not be
polled and other hosts not reached."""

MIN_CALLER_CONNECTIONS = 64

CALLER_MEMORY_SHARE = 0.25
"""Share of the memory limit that the requests of callers may take. Their jobs and the messages
about them hold most of a request's bytes again."""

DEFAULT_MEMORY_LIMIT_BYTES = 300_000_000
"""Memory limit that is assumed if the settings name none."""


def max_caller_connections(max_fds: int) -> int:
    """Number of callers' connections that a process with this many descriptors accepts."""
    return max(MIN_CALLER_CONNECTIONS, int((max_fds - RESERVED_FDS) * CALLER_FDS_SHARE))


def max_caller_bytes(memory_limit_bytes: int) -> float:
    """Memory that a process with this limit, or 0 if it is unknown, has for callers' requests."""
    return (memory_limit_bytes or DEFAULT_MEMORY_LIMIT_BYTES) * CALLER_MEMORY_SHARE


def available_descriptors(max_fds: int) -> int:
    """Descriptors that this process may have open: as many as its settings or the system allow,
    whichever are fewer."""
    # Without an answer of the system the settings hold.
    with contextlib.suppress(OSError, ValueError):
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY:
            return min(max_fds, soft)
    return max_fds
