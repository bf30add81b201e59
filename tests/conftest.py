"""Settings for all tests."""

from __future__ import annotations

import pathlib

import hypothesis
import pytest

hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.load_profile("fixed")

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Node ids in KNOWN-RED.txt: the lines that start with ``tests/``, up to the first blank."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_report_header() -> list[str]:
    """Print the tests that are passed over."""
    return [f"known red, not run: {node_id}" for node_id in sorted(known_red())]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leave out exactly the tests of KNOWN-RED.txt, unless one is named on the command line."""
    red = known_red()
    named = any("::" in argument for argument in config.args)
    if named or not red:
        return
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in red])
    items[:] = [item for item in items if item.nodeid not in red]
