"""The state dump: a page with the first rows of each table, or one table whole."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

ROWS_ON_A_PAGE = 12


def shorten(value: object, rows: int = ROWS_ON_A_PAGE) -> object:
    """Keep the first rows of every collection and say how many were left out."""
    if isinstance(value, Mapping):
        short = {
            str(key): shorten(item, rows) for key, item in itertools.islice(value.items(), rows)
        }
        if len(value) > rows:
            short["..."] = f"{len(value) - rows} more"
        return short
    if isinstance(value, list | tuple):
        items = [shorten(item, rows) for item in value[:rows]]
        if len(value) > rows:
            items.append(f"... {len(value) - rows} more")
        return items
    return value
