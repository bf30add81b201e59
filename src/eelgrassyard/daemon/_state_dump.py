"""Truncation of tables in the state dump."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

MAX_ROWS = 12


def truncate_rows(value: object, rows: int = MAX_ROWS) -> object:
    """Keep the first rows of every collection, also nested ones, and say how many were omitted."""
    if isinstance(value, Mapping):
        short = {
            str(key): truncate_rows(item, rows)
            for key, item in itertools.islice(value.items(), rows)
        }
        if len(value) > rows:
            short["..."] = f"{len(value) - rows} more"
        return short
    if isinstance(value, list | tuple):
        items = [truncate_rows(item, rows) for item in value[:rows]]
        if len(value) > rows:
            items.append(f"... {len(value) - rows} more")
        return items
    return value
