"""Learned speeds of a pool's upstreams, and the choice of an upstream by speed."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

from .._speeds import KindWork, speed_class
from ._config import KindEntry
from ._messages import SpeedEntry
from ._speed_classes import LAST_RESORT, SpeedClassIndex
from ._upstream import Upstream

RUN_WINDOW_STARTS = 30.0
"""Starts over which the time that a slot is in use is averaged."""

NORMALIZE_TOLERANCE = 0.02
"""Drift of the mean log speed that is tolerated, since a correction reindexes every upstream."""

DIGEST_ENTRIES = 256
"""Largest number of upstreams in a speed digest; those that differ most from speed 1.0 are sent."""

DEFAULT_LONGEST_S = 5.0
"""Longest run time assumed for a kind that is not in the configuration."""


class SpeedIndex:
    """Learns speeds and indexes the upstreams with a free slot by speed class, for each kind.

    :param by_name: the table of upstreams, maintained by the caller.
    :ivar work: run times of the kinds at speed 1.0.
    :ivar names_with_free_slot: upstreams that may get ordinary work now.
    """

    def __init__(self, by_name: Mapping[str, Upstream]) -> None:
        self.work = KindWork()
        self.names_with_free_slot: set[str] = set()
        self._by_name = by_name
        self._longest_s_by_kind: dict[str, float] = {}
        self._index_by_kind: dict[str, SpeedClassIndex] = {}
        self._prior_by_name: dict[str, float] = {}

    def declare(self, kinds: Iterable[KindEntry]) -> None:
        """Set the declared run times of kinds."""
        for kind in kinds:
            self.work.declare(kind.name, kind.typical_s)
            self._longest_s_by_kind[kind.name] = kind.longest_s

    def choose(self, kind: str, ahead: int, avoid: Collection[str]) -> str | None:
        """Upstream for the next task of a kind, ``WAIT`` or None; see :class:`SpeedClassIndex`."""
        index = self._index_by_kind.get(kind) or self._build(kind)
        return index.choose(self.work.mean_s(kind), ahead, avoid)

    def expected_s(self, upstream: Upstream, kind: str) -> float:
        """Expected run time in seconds of a kind on an upstream."""
        return self.work.mean_s(kind) / upstream.speed.speed(kind)

    def longest_s(self, kind: str) -> float:
        """Declared longest run time of a kind in seconds."""
        return self._longest_s_by_kind.get(kind, DEFAULT_LONGEST_S)

    def learn(self, upstream: Upstream, kind: str, run_s: float) -> None:
        """Update speed, work and slot time from one successful run."""
        run_s = max(run_s, 1e-4)
        work_s = self.work.mean_s(kind)
        speed = upstream.speed.speed(kind)
        upstream.speed.add(kind, run_s / work_s)
        self.work.add(kind, run_s * speed)
        previous = upstream.mean_run_s
        upstream.mean_run_s = (
            run_s if not previous else previous + (run_s - previous) / RUN_WINDOW_STARTS
        )

    def update(self, upstream: Upstream, kind: str | None = None) -> None:
        """Update the speed class of an upstream, for one kind or for all."""
        self._record_free_slot(upstream)
        for name, index in self._index_by_kind.items():
            if kind is None or name == kind:
                self._put(upstream, name, index)

    def update_free_slot(self, upstream: Upstream) -> None:
        """Update whether an upstream has a free slot."""
        free = upstream.has_free_slot
        if free == upstream.indexed_as_free:
            return
        self._record_free_slot(upstream)
        for index in self._index_by_kind.values():
            index.set_free(upstream.name, free)

    def normalize(self) -> None:
        """Rescale speeds and work so that the mean speed is 1.0.

        Without it, the two could drift together because each is learned from the other.
        """
        logs = [math.log(u.speed.slowness()) for u in self._by_name.values() if u.usable]
        shift = sum(logs) / len(logs) if logs else 0.0
        if abs(shift) < NORMALIZE_TOLERANCE:
            return
        for upstream in self._by_name.values():
            upstream.speed.scale(math.exp(-shift))
        self.work.scale(math.exp(shift))
        for upstream in self._by_name.values():
            self.update(upstream)

    def digest(self) -> tuple[SpeedEntry, ...]:
        """Learned speeds to send to other hosts, bounded in number."""
        known = [u for u in self._by_name.values() if u.speed.overall.weight > 0]
        known.sort(key=lambda u: (-abs(math.log(u.speed.slowness())), u.name))
        return tuple(
            SpeedEntry(
                upstream=u.name,
                speed=1.0 / u.speed.slowness(),
                samples=int(u.speed.overall.weight),
            )
            for u in known[:DIGEST_ENTRIES]
        )

    def read_digest(self, entries: Iterable[SpeedEntry]) -> None:
        """Use speeds learned by another scheduler for upstreams that have no runs here."""
        for entry in entries:
            if not (entry.speed > 0.0 and math.isfinite(entry.speed)):
                continue
            upstream = self._by_name.get(entry.upstream)
            if upstream is None:
                if len(self._prior_by_name) < 2 * DIGEST_ENTRIES:
                    self._prior_by_name[entry.upstream] = entry.speed
            elif upstream.speed.overall.weight == 0.0:
                upstream.speed.prior = entry.speed
                self.update(upstream)

    def prior_of(self, name: str) -> float:
        """Remove and return the speed that a digest gave for a new upstream; 1.0 if none did."""
        return self._prior_by_name.pop(name, 1.0)

    def _build(self, kind: str) -> SpeedClassIndex:
        index = self._index_by_kind[kind] = SpeedClassIndex()
        for upstream in self._by_name.values():
            self._put(upstream, kind, index)
        return index

    def _put(self, upstream: Upstream, kind: str, index: SpeedClassIndex) -> None:
        if not upstream.usable:
            index.remove(upstream.name)
            return
        speed = upstream.speed.speed(kind)
        held_s = upstream.mean_run_s or self.work.mean_s(kind) / speed
        number, rate = speed_class(speed), upstream.limit / max(held_s, 1e-3)
        if upstream.last_resort:
            number, rate = LAST_RESORT, 0.0
        index.put(upstream.name, number, rate, free=upstream.has_free_slot)

    def _record_free_slot(self, upstream: Upstream) -> None:
        upstream.indexed_as_free = upstream.has_free_slot
        if upstream.indexed_as_free:
            self.names_with_free_slot.add(upstream.name)
        else:
            self.names_with_free_slot.discard(upstream.name)
