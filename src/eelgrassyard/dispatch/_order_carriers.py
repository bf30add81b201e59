"""Choice of the host that sends a start to the worker.

The load that this answers is more starts than the leader's link carries: each start holds the whole
payload of its job. The host that received the job holds the payload as well, so beyond a share of
the link the leader only tells that host which run to start where. It sends the start under the
leader's fence and lease, and reports the answer. Decisions, polls and stops stay with the leader.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ._jobs import TaskId

DIRECT_SHARE = 0.2
"""Share of the leader's link that its own starts may take; polls, submissions and the store need
the rest."""

BURST_S = 0.25
"""Time for which unused capacity of that share adds up."""

START_BYTES = 350
"""Size of a start on the wire without its payload."""

CARRIER_PAUSE_S = 1.0
"""Time in which a host that has not carried a start to its worker is not asked again."""

CARRY_TIMEOUT_FACTOR = 2.0
"""Time after which a carried start counts as unanswered, as a multiple of the timeout of an order:
the carrier's report also crosses the link of the leader."""

MIN_CARRY_TIMEOUT_S = 0.2
"""Shortest such time. The request crosses a link that is loaded enough for starts to be carried."""

_RunKey = tuple[str, TaskId, int]


@dataclass(slots=True, kw_only=True)
class _CarriedStart:
    carrier: str
    expires_at: float


class OrderCarriers:
    """Tracks which sessions may carry starts, and the carried starts without a report.

    :param link_bytes_per_s: capacity of the host's link; infinite if it is not known.
    """

    def __init__(self, *, link_bytes_per_s: float = math.inf) -> None:
        self._bytes_per_s = DIRECT_SHARE * link_bytes_per_s
        self._free_bytes = BURST_S * self._bytes_per_s
        self._updated_at = 0.0
        self._paused_until_by_carrier: dict[str, float] = {}
        self._start_by_run: dict[_RunKey, _CarriedStart] = {}

    def add(self, carrier: str) -> None:
        """Add a session whose host can carry the starts of its own jobs."""
        self._paused_until_by_carrier.setdefault(carrier, 0.0)

    def remove(self, carrier: str) -> None:
        """Remove a session that has closed; its starts without a report still expire."""
        self._paused_until_by_carrier.pop(carrier, None)

    def pause(self, now: float, carrier: str) -> None:
        """Ask a host no more for ``CARRIER_PAUSE_S``."""
        if carrier in self._paused_until_by_carrier:
            self._paused_until_by_carrier[carrier] = now + CARRIER_PAUSE_S

    def should_carry(self, now: float, requester: str, payload: str) -> bool:
        """Tell whether the requester should send a start of its job; otherwise the leader sends it,
        and the size counts against the share of its link."""
        if math.isinf(self._bytes_per_s):
            return False
        elapsed_s = now - self._updated_at
        self._updated_at = now
        self._free_bytes = min(
            BURST_S * self._bytes_per_s, self._free_bytes + elapsed_s * self._bytes_per_s
        )
        size = START_BYTES + len(payload)
        if size <= self._free_bytes or now < self._paused_until_by_carrier.get(requester, math.inf):
            self._free_bytes = max(0.0, self._free_bytes - size)
            return False
        return True

    def carried(self, now: float, carrier: str, key: _RunKey, *, timeout_s: float) -> None:
        """Record a start that a session was asked to carry.

        :param key: worker id, task and run.
        """
        self._start_by_run[key] = _CarriedStart(
            carrier=carrier,
            expires_at=now + max(MIN_CARRY_TIMEOUT_S, CARRY_TIMEOUT_FACTOR * timeout_s),
        )

    def take_carrier(self, key: _RunKey) -> str | None:
        """Forget a carried start that was reported or given up; returns the session that carried
        it, or None if the leader sent it or it has been forgotten."""
        start = self._start_by_run.pop(key, None)
        return None if start is None else start.carrier

    def overdue(self, now: float) -> list[_RunKey]:
        """Carried starts without a report in time."""
        return [key for key, start in self._start_by_run.items() if now >= start.expires_at]
