"""Probes that wait for a reply, and the order in which hosts are probed."""

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
"""Fifty round trips between failure domains; shorter stalls of a busy host ask no helper."""

INDIRECT_TIMEOUT_S = 0.15
"""Time for a helper's ping and its reply after the direct ping went unanswered."""

HELPERS = 2
"""Hosts that are asked to ping a host which does not answer."""

GOLDEN_RATIO = 0.6180339887
"""Multiples of it, modulo one, spread evenly however many there are."""

MAX_RELAYS = 256
"""Pings on behalf of other hosts that are remembered; the oldest are dropped first."""


class Purpose(enum.Enum):
    """Why a host is probed."""

    MEMBER = enum.auto()
    DOMAIN = enum.auto()
    DOMAIN_CHECK = enum.auto()
    ABSENT = enum.auto()


@dataclass(slots=True, kw_only=True)
class Probe:
    """A ping without a reply yet.

    :param deadline: time at which the next step is due.
    :param indirect: helpers have been asked.
    """

    sequence: int
    target: str
    purpose: Purpose
    sent_at: float
    deadline: float
    indirect: bool = False


class ProbeTable:
    """Probes by sequence and by target, at most one for each target."""

    def __init__(self, *, rng: random.Random) -> None:
        # A reply to an earlier incarnation of this host must not match.
        self._sequence = itertools.count(rng.randrange(1, 1 << 30))
        self._by_sequence: dict[int, Probe] = {}
        self._by_target: dict[str, Probe] = {}
        self._relays: dict[int, tuple[str, int]] = {}

    def start(self, now: float, target: str, purpose: Purpose, timeout: float) -> Probe | None:
        """Open a probe; None if one to the target is open already."""
        if target in self._by_target:
            return None
        probe = Probe(
            sequence=self.next_sequence(),
            target=target,
            purpose=purpose,
            sent_at=now,
            deadline=now + timeout,
        )
        self._by_sequence[probe.sequence] = probe
        self._by_target[target] = probe
        return probe

    def next_sequence(self) -> int:
        """A number for a ping."""
        return next(self._sequence)

    def find(self, target: str) -> Probe | None:
        """The open probe of a host."""
        return self._by_target.get(target)

    def close(self, probe: Probe) -> None:
        """Forget a probe that was answered or has failed."""
        self._by_sequence.pop(probe.sequence, None)
        self._by_target.pop(probe.target, None)

    def answered(self, sequence: int) -> Probe | None:
        """Close and return the probe that a reply answers."""
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
        """Forget all probes."""
        self._by_sequence.clear()
        self._by_target.clear()

    def add_relay(self, requester: str, requested: int) -> int:
        """Sequence for a ping on behalf of ``requester``."""
        sequence = self.next_sequence()
        self._relays[sequence] = (requester, requested)
        if len(self._relays) > MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        return sequence

    def take_relay(self, sequence: int) -> tuple[str, int] | None:
        """Requester and its sequence for a relayed ping that was answered."""
        return self._relays.pop(sequence, None)


class Ring:
    """Turns of hosts, or of failure domains, at probing each other.

    The order is shuffled alike on every host and the rounds are counted by the clock, so each one
    is probed by exactly one other in each round: a death is noticed within two rounds, where
    independent orders would leave one in seven unprobed for that long. Clocks that differ cost
    some of this regularity, not correctness.

    :param shift: distance by which the own turn is ahead of others at the same position.
    """

    def __init__(self, *, own: str, others: Iterable[str], shift: int = 0) -> None:
        self._order = rank("probe-order", dict.fromkeys([own, *others], 1.0))
        self._shift = shift
        self.position = self._order.index(own)

    def target(self, now: float, interval: float) -> str | None:
        """The one to probe in the current round; None if there is no other."""
        others = len(self._order) - 1
        if not others:
            return None
        distance = 1 + (math.floor(now / interval) + self._shift) % others
        return self._order[(self.position + distance) % len(self._order)]

    def next_turn(self, now: float, interval: float) -> float:
        """Time of the own turn in the next round; the turns of a round are spread over it."""
        phase = (self.position / len(self._order) + self._shift * GOLDEN_RATIO) % 1.0
        return (math.floor(now / interval) + 1 + phase) * interval


class RoundRobin:
    """A shuffled order that visits every name once a round."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[str] = []

    def pick(self, names: Iterable[str]) -> str | None:
        """The next of ``names``; a name that has gone is passed over."""
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
    """Up to ``count`` different items."""
    return rng.sample(items, min(count, len(items)))
