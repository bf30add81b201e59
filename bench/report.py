"""Command line and output that measurement programs share."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


def run_program(
    description: str | None, measure: Callable[[], Result], show: Callable[[Result], None]
) -> int:
    """Measure, show the figures unless ``--json`` is given, and print them as one JSON line.

    :param description: docstring of the program, for ``--help``.
    :param show: prints tables and writes plots.
    :returns: exit code 0.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--json", action="store_true", help="print only the JSON line")
    arguments = parser.parse_args()
    result = measure()
    if not arguments.json:
        show(result)
    print(json.dumps(result))
    return 0
