"""Bytes that a host sends and receives, by purpose."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Traffic:
    """Bytes handed to the transport and received from it, without the overhead of TCP and IP."""

    sent: int = 0
    received: int = 0


class TrafficByPurpose:
    """Traffic of a process, by purpose.

    :ivar by_purpose: traffic counted so far.
    """

    def __init__(self) -> None:
        self.by_purpose: dict[str, Traffic] = {}

    def of(self, purpose: str) -> Traffic:
        """The counter of one purpose."""
        return self.by_purpose.setdefault(purpose, Traffic())

    def dump(self) -> dict[str, dict[str, int]]:
        """Bytes sent and received, by purpose, for operators."""
        return {
            purpose: {"sent": traffic.sent, "received": traffic.received}
            for purpose, traffic in sorted(self.by_purpose.items())
        }
