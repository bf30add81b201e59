"""Measured points, the straight lines through them, and the file that keeps them."""

from __future__ import annotations

import itertools
import json
import pathlib
import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

POINTS_PATH = pathlib.Path("docs/capacity.json")
"""Measured points of the last run with ``--write``; the tables are functions of this file."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """One measured quantity.

    :param x: what was varied; empty for a single figure.
    :param section: part of the program that measures it.
    """

    name: str
    section: str
    unit: str
    x: str = ""
    points: tuple[tuple[float, float], ...]

    @property
    def lowest(self) -> float:
        """Lower end of the measured range."""
        return min(x for x, _ in self.points)

    @property
    def highest(self) -> float:
        """Upper end of the measured range."""
        return max(x for x, _ in self.points)

    @property
    def slope(self) -> float:
        """Least-squares growth for each unit of ``x``; 0 for a single figure."""
        xs = [x for x, _ in self.points]
        if len(set(xs)) < 2:
            return 0.0
        return statistics.linear_regression(xs, [y for _, y in self.points]).slope

    def at(self, x: float) -> float:
        """Value at ``x``.

        Inside the measured range it lies on the straight line between the neighbouring points,
        above it on a line with the least-squares slope through the last one. Below it, the first
        one holds, because a line through few points may go below zero there.
        """
        points = sorted(self.points)
        if x <= points[0][0]:
            return points[0][1]
        if x >= points[-1][0]:
            return points[-1][1] + self.slope * (x - points[-1][0])
        (x0, y0), (x1, y1) = next(
            pair for pair in itertools.pairwise(points) if pair[0][0] <= x <= pair[1][0]
        )
        return y0 + (y1 - y0) * (x - x0) / (x1 - x0)

    def is_measured(self, x: float) -> bool:
        """Tell whether ``x`` lies in the measured range."""
        return self.lowest <= x <= self.highest

    @property
    def command(self) -> str:
        """Command that measures it again."""
        return f"python -m bench.capacity --only={self.section}"


Figures = Mapping[str, Series]


def series(
    section: str, name: str, unit: str, points: Iterable[Sequence[float]], x: str = ""
) -> Series:
    """Make a series, rounded to what a measurement can tell."""
    rounded = tuple((float(a), float(f"{b:.6g}")) for a, b in points)
    return Series(name=name, section=section, unit=unit, x=x, points=rounded)


def load(path: pathlib.Path = POINTS_PATH) -> dict[str, Series]:
    """Read the points of an earlier run; empty if there are none."""
    if not path.exists():
        return {}
    items = json.loads(path.read_text())
    return {
        name: Series(**{**item, "name": name, "points": tuple(map(tuple, item["points"]))})
        for name, item in items.items()
    }


def save(figures: Figures, path: pathlib.Path = POINTS_PATH) -> None:
    """Keep the points."""
    items = {}
    for name in sorted(figures):
        item = asdict(figures[name])
        del item["name"]
        items[name] = item
    lines = ",\n".join(f" {json.dumps(name)}: {json.dumps(item)}" for name, item in items.items())
    path.write_text("{\n" + lines + "\n}\n")
