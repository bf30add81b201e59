"""Weighted rendezvous hashing: hosts with the same member list choose the same host for a key."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import xxhash

_HASH_RANGE = float(1 << 64)


def rank(key: str, weight_by_host: Mapping[str, float]) -> list[str]:
    """Order hosts by their score for ``key``, best first.

    :param weight_by_host: relative size of each host; a host of weight 2 comes first for twice as
        many keys as a host of weight 1. A weight below 1e-6 counts as 1e-6.
    """
    return sorted(weight_by_host, key=lambda host: (-_score(key, host, weight_by_host[host]), host))


def choose(key: str, weights: Iterable[tuple[str, float]]) -> str | None:
    """The host with the best score for ``key``, or None if there is no host."""
    best = min(((-_score(key, host, weight), host) for host, weight in weights), default=None)
    return None if best is None else best[1]


def _score(key: str, host: str, weight: float) -> float:
    # The length prefix gives ("a", "bc") and ("ab", "c") different digests.
    digest = xxhash.xxh3_64_intdigest(f"{len(key)}:{key}{host}".encode())
    return max(weight, 1e-6) / -math.log((digest + 0.5) / _HASH_RANGE)
