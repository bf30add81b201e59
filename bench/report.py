"""Shared command line and output of the benchmarks."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


def run_program(
    description: str | None, measure: Callable[[], Result], show: Callable[[Result], None]
) -> int:
    """Run a benchmark and print its result as one line of JSON.

    :param description: text for ``--help``, usually the docstring of the module.
    :param show: prints tables and writes plots; not called with ``--json``.
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
