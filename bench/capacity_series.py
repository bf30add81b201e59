"""Measured points, linear interpolation between them, and the file that stores them."""

from __future__ import annotations

import itertools
import json
import pathlib
import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass

POINTS_PATH = pathlib.Path("docs/capacity.json")
"""Measured points of the last run with ``--write``; the tables are computed from this file."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """Measured points of one quantity.

    :param section: section of ``bench.capacity`` that measures it.
    :param unit: unit of the values.
    :param x: name of the independent variable; empty for a single figure.
    :param points: pairs of ``x`` and value.
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
        """Least-squares slope; 0 for a single figure."""
        xs = [x for x, _ in self.points]
        if len(set(xs)) < 2:
            return 0.0
        return statistics.linear_regression(xs, [y for _, y in self.points]).slope

    def at(self, x: float) -> float:
        """Value at ``x``.

        Inside the measured range it is interpolated linearly between adjacent points; above the
        range it is extrapolated from the last point with the least-squares slope. Below the range
        it is the value of the first point, because a line through few points may become negative.
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
        """Whether ``x`` lies in the measured range."""
        return self.lowest <= x <= self.highest

    @property
    def command(self) -> str:
        """Command that repeats the measurement."""
        return f"python -m bench.capacity --only={self.section}"


Figures = Mapping[str, Series]


def series(
    section: str, name: str, unit: str, points: Iterable[Sequence[float]], x: str = ""
) -> Series:
    """Build a series with values rounded to six significant digits."""
    rounded = tuple((float(a), float(f"{b:.6g}")) for a, b in points)
    return Series(name=name, section=section, unit=unit, x=x, points=rounded)


def load(path: pathlib.Path = POINTS_PATH) -> dict[str, Series]:
    """Read stored points; empty if the file does not exist."""
    if not path.exists():
        return {}
    items = json.loads(path.read_text())
    return {
        name: Series(**{**item, "name": name, "points": tuple(map(tuple, item["points"]))})
        for name, item in items.items()
    }


def save(figures: Figures, path: pathlib.Path = POINTS_PATH) -> None:
    """Write points to a file, sorted by name."""
    items = {}
    for name in sorted(figures):
        item = asdict(figures[name])
        del item["name"]
        items[name] = item
    lines = ",\n".join(f" {json.dumps(name)}: {json.dumps(item)}" for name, item in items.items())
    path.write_text("{\n" + lines + "\n}\n")
