"""Open probes, and the order in which hosts are probed."""

from __future__ import annotations

import enum
import itertools
import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ._rendezvous import rank

Item = TypeVar("Item")

DIRECT_TIMEOUT_S = 0.15
"""Time for the reply to a direct ping of a host of the own failure domain.

Fifty round trips between failure domains, so that shorter stalls of a busy host start no indirect
probe.
"""

INDIRECT_TIMEOUT_S = 0.15
"""Time for an indirect probe after the direct ping was not answered."""

INDIRECT_PROBE_HOSTS = 2
"""Hosts that are asked to ping a host that did not answer directly (the ``k`` of SWIM)."""

GOLDEN_RATIO = 0.6180339887
"""Its multiples, modulo one, are evenly distributed whatever their number."""

MAX_RELAYS = 256
"""Open pings on behalf of other hosts; beyond that, the oldest are dropped."""


class Purpose(enum.Enum):
    """Why a host is probed, which decides what a missing reply means.

    ``MEMBER`` probes a usable host of the own failure domain, ``ABSENT`` one that is not known to
    be alive. ``DOMAIN`` is the regular probe of another failure domain, ``DOMAIN_CHECK`` an
    additional one.
    """

    MEMBER = enum.auto()
    DOMAIN = enum.auto()
    DOMAIN_CHECK = enum.auto()
    ABSENT = enum.auto()


@dataclass(slots=True, kw_only=True)
class Probe:
    """A ping that waits for its reply.

    :param deadline: time at which the current step, direct or indirect, times out.
    :param indirect: other hosts have been asked to ping the target.
    """

    sequence: int
    target: str
    purpose: Purpose
    sent_at: float
    deadline: float
    indirect: bool = False


class ProbeTable:
    """Open probes by sequence number and by target, at most one for each target."""

    def __init__(self, *, rng: random.Random) -> None:
        # A reply to a ping of an earlier incarnation of this host must not match.
        self._sequence = itertools.count(rng.randrange(1, 1 << 30))
        self._by_sequence: dict[int, Probe] = {}
        self._by_target: dict[str, Probe] = {}
        self._relays: dict[int, tuple[str, int]] = {}

    def start(self, now: float, target: str, purpose: Purpose, timeout_s: float) -> Probe | None:
        """Open a probe; None if the target already has an open one."""
        if target in self._by_target:
            return None
        probe = Probe(
            sequence=self.next_sequence(),
            target=target,
            purpose=purpose,
            sent_at=now,
            deadline=now + timeout_s,
        )
        self._by_sequence[probe.sequence] = probe
        self._by_target[target] = probe
        return probe

    def next_sequence(self) -> int:
        """Sequence number for a new ping."""
        return next(self._sequence)

    def find(self, target: str) -> Probe | None:
        """The open probe of a host, or None."""
        return self._by_target.get(target)

    def close(self, probe: Probe) -> None:
        """Remove a probe that was answered or has failed."""
        self._by_sequence.pop(probe.sequence, None)
        self._by_target.pop(probe.target, None)

    def take_answered(self, sequence: int) -> Probe | None:
        """Close and return the probe that a reply answers; None if it is no longer open."""
        probe = self._by_sequence.get(sequence)
        if probe is not None:
            self.close(probe)
        return probe

    def due(self, now: float) -> list[Probe]:
        """Probes whose deadline has passed."""
        return [probe for probe in self._by_sequence.values() if probe.deadline <= now]

    def count(self, purpose: Purpose) -> int:
        """Number of open probes for a purpose."""
        return sum(probe.purpose == purpose for probe in self._by_sequence.values())

    def next_deadline(self) -> float:
        """The earliest deadline; infinity if no probe is open."""
        deadlines = (probe.deadline for probe in self._by_sequence.values())
        return min(deadlines, default=float("inf"))

    def clear(self) -> None:
        """Remove all probes."""
        self._by_sequence.clear()
        self._by_target.clear()

    def add_relay(self, requester: str, requested: int) -> int:
        """Sequence number for a ping on behalf of ``requester``.

        :param requested: sequence number of its PingRequest, for the forwarded reply.
        """
        sequence = self.next_sequence()
        self._relays[sequence] = (requester, requested)
        if len(self._relays) > MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        return sequence

    def take_relay(self, sequence: int) -> tuple[str, int] | None:
        """Close a ping on behalf of another host.

        :returns: that host and the sequence number of its PingRequest, or None.
        """
        return self._relays.pop(sequence, None)


class ProbeSchedule:
    """Schedule by which hosts, or failure domains, probe each other in rounds.

    Every host shuffles the order alike and counts rounds by the clock, so each one is probed by
    exactly one other in each round. A failure is therefore noticed within two rounds; with
    independent random orders, one in seven would go unprobed for that long. Clock differences make
    the rounds less regular but do not affect correctness.

    :param shift: offset of the target and of the time to probe, so that the hosts of one failure
        domain, which share its position, differ from each other.
    :ivar position: index of the own name in the order.
    """

    def __init__(self, *, own: str, others: Iterable[str], shift: int = 0) -> None:
        self._order = rank("probe-order", dict.fromkeys([own, *others], 1.0))
        self._shift = shift
        self.position = self._order.index(own)

    def target(self, now: float, interval_s: float) -> str | None:
        """Name to probe in the current round; None if there is no other."""
        others = len(self._order) - 1
        if not others:
            return None
        distance = 1 + (math.floor(now / interval_s) + self._shift) % others
        return self._order[(self.position + distance) % len(self._order)]

    def next_turn(self, now: float, interval_s: float) -> float:
        """Time to probe in the next round; the probes of a round are spread evenly over it."""
        phase = (self.position / len(self._order) + self._shift * GOLDEN_RATIO) % 1.0
        return (math.floor(now / interval_s) + 1 + phase) * interval_s


class RoundRobin:
    """Visits every name once a round, in an order that is shuffled anew each time."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[str] = []

    def pick(self, names: Iterable[str]) -> str | None:
        """The next of ``names``; names that are no longer among them are skipped."""
        wanted = set(names)
        if not wanted:
            return None
        while self._order:
            name = self._order.pop()
            if name in wanted:
                return name
        self._order = sorted(wanted)
        self._rng.shuffle(self._order)
        return self._order.pop()


def sample(rng: random.Random, items: Sequence[Item], count: int) -> list[Item]:
    """Up to ``count`` distinct items, chosen at random."""
    return rng.sample(items, min(count, len(items)))
