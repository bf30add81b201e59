"""Measures how resource use grows with the size of a site, and updates docs/CAPACITY.md.

Measured points are stored in docs/capacity.json; the tables of the page are computed from them.
Without ``--write`` the program prints the points and changes no file. ``--only`` measures a single
section. ``--tables`` measures nothing and computes the tables from the stored points.

Usage: ``PYTHONPATH=src:. python -m bench.capacity [--write] [--only=SECTION] [--tables]``
"""

from __future__ import annotations

import json
import logging
import pathlib
import re
import sys
import time
from collections.abc import Callable, Mapping, Sequence

from absl import app, flags

from . import capacity_roles as roles
from .capacity_config import measure_config
from .capacity_processes import measure_hosts, measure_kept, measure_memory, measure_served
from .capacity_series import POINTS_PATH, Figures, Series, load, save
from .capacity_spread import measure_spread
from .capacity_state import measure_decisions, measure_tables
from .capacity_tables import (
    budget_table,
    measured_table,
    peak_table,
    role_table,
    size_table,
)
from .capacity_wire import measure_wire

PAGE = pathlib.Path("docs/CAPACITY.md")

SECTIONS: Mapping[str, Callable[[], list[Series]]] = {
    "memory": measure_memory,
    "wire": measure_wire,
    "kept": measure_kept,
    "hosts": measure_hosts,
    "spread": measure_spread,
    "tables": measure_tables,
    "decisions": measure_decisions,
    "config": measure_config,
    "served": measure_served,
}

TABLES: Mapping[str, Callable[[Figures], str]] = {
    "sizes": size_table,
    "peak": peak_table,
    "callers": lambda f: role_table(f, roles.CALLERS),
    "upstreams": lambda f: role_table(f, roles.UPSTREAMS),
    "peers": lambda f: role_table(f, roles.PEERS),
    "watcher": lambda f: role_table(f, roles.WATCHER),
    "tool": lambda f: role_table(f, roles.TOOL),
    "platform": lambda f: role_table(f, roles.PLATFORM),
    "budgets": lambda f: budget_table(f, roles.BUDGETS),
    "measured": measured_table,
}

_WRITE = flags.DEFINE_bool("write", False, "Store the points and rewrite the tables of the page.")
_TABLES = flags.DEFINE_bool("tables", False, "Measure nothing; rewrite the tables of the page.")
_ONLY = flags.DEFINE_enum("only", None, list(SECTIONS), "Measure one section.")

_TABLE_MARKERS = re.compile(r"(<!-- table: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)


def fill_page(text: str, figures: Figures) -> str:
    """Return the page with each table between marker comments computed from the figures.

    :raises KeyError: if a marker names an unknown table, or a table needs a figure that was not
        measured.
    """
    return _TABLE_MARKERS.sub(lambda m: f"{m[1]}{TABLES[m[2]](figures)}\n{m[3]}", text)


def main(arguments: Sequence[str]) -> None:
    """Measure and print; write the points and the page if a flag says so."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    figures = load(POINTS_PATH)
    if not _TABLES.value:
        for section in [_ONLY.value] if _ONLY.value else SECTIONS:
            # Drops figures that an earlier version of the program measured and this one does not.
            figures = {n: item for n, item in figures.items() if item.section != section}
            figures.update(_measure(section))
            if _WRITE.value:
                save(figures, POINTS_PATH)
    if _WRITE.value or _TABLES.value:
        PAGE.write_text(fill_page(PAGE.read_text(), figures))
    print(json.dumps({name: item.points for name, item in figures.items()}))


def _measure(section: str) -> dict[str, Series]:
    began = time.monotonic()
    items = SECTIONS[section]()
    print(f"{section}: {time.monotonic() - began:.0f} s", file=sys.stderr)
    for item in items:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in item.points)
        print(f"  {item.name:26} {item.unit:12} slope {item.slope:<10.4g} {points}")
    return {item.name: item for item in items}


if __name__ == "__main__":
    app.run(main)
