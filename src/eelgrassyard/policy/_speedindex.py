"""Which upstreams of a pool have room, by speed class and kind of work."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

from .._speeds import KindWork, speed_class
from ._config import KindEntry
from ._messages import SpeedEntry
from ._speedclasses import LAST_RESORT, SpeedClassIndex
from ._upstream import Upstream

RUN_WINDOW = 30.0
"""Starts over which the time that a slot stays in use is averaged."""

NORMALIZE_TOLERANCE = 0.02
"""Drift of the average speed that is not worth moving every upstream for."""

DIGEST_ENTRIES = 256
"""Upstreams in a speed digest; those whose speed differs most from the average are sent."""

DEFAULT_LONGEST_S = 5.0


class SpeedIndex:
    """Learned speeds, and the upstreams with room in order of speed.

    :param by_name: the table of upstreams, which the caller keeps.
    """

    def __init__(self, by_name: Mapping[str, Upstream]) -> None:
        self.work = KindWork()
        self.names_with_room: set[str] = set()
        self._by_name = by_name
        self._longest_s_by_kind: dict[str, float] = {}
        self._index_by_kind: dict[str, SpeedClassIndex] = {}
        self._prior_by_name: dict[str, float] = {}

    def declare(self, kinds: Iterable[KindEntry]) -> None:
        """Take the declared run times of the kinds."""
        for kind in kinds:
            self.work.declare(kind.name, kind.typical_s)
            self._longest_s_by_kind[kind.name] = kind.longest_s

    def choose(self, kind: str, ahead: int, avoid: Collection[str]) -> str | None:
        """Upstream for the next task of a kind, ``WAIT`` or None; see :class:`SpeedClassIndex`."""
        index = self._index_by_kind.get(kind) or self._build(kind)
        return index.choose(self.work.mean_s(kind), ahead, avoid)

    def expected_s(self, upstream: Upstream, kind: str) -> float:
        """Expected run time of a kind on an upstream."""
        return self.work.mean_s(kind) / upstream.speed.speed(kind)

    def longest_s(self, kind: str) -> float:
        """Declared longest run time of a kind."""
        return self._longest_s_by_kind.get(kind, DEFAULT_LONGEST_S)

    def learn(self, upstream: Upstream, kind: str, run_s: float) -> None:
        """Learn from one successful run."""
        run_s = max(run_s, 1e-4)
        work_s = self.work.mean_s(kind)
        speed = upstream.speed.speed(kind)
        upstream.speed.add(kind, run_s / work_s)
        self.work.add(kind, run_s * speed)
        previous = upstream.mean_run_s
        upstream.mean_run_s = run_s if not previous else previous + (run_s - previous) / RUN_WINDOW

    def update(self, upstream: Upstream, kind: str | None = None) -> None:
        """Put an upstream into its class, for one kind or for all."""
        self._note_room(upstream)
        for name, index in self._index_by_kind.items():
            if kind is None or name == kind:
                self._put(upstream, name, index)

    def update_room(self, upstream: Upstream) -> None:
        """Note that an upstream has got room or has none left."""
        free = upstream.has_room
        if free == upstream.indexed_as_free:
            return
        self._note_room(upstream)
        for index in self._index_by_kind.values():
            index.set_free(upstream.name, free)

    def normalize(self) -> None:
        """Keep the average speed at 1.0; speeds and work are learned from each other."""
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
        """Start from the speeds that another scheduler learned, where nothing is known here."""
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
        """Speed that a digest gave for an upstream that was not known then."""
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
        index.put(upstream.name, number, rate, free=upstream.has_room)

    def _note_room(self, upstream: Upstream) -> None:
        upstream.indexed_as_free = upstream.has_room
        if upstream.indexed_as_free:
            self.names_with_room.add(upstream.name)
        else:
            self.names_with_room.discard(upstream.name)
