"""Hypothesis profile, leaked tasks, and deselection of the tests listed in KNOWN-RED.txt."""

from __future__ import annotations

import gc
import logging
import pathlib
from collections.abc import Iterator

import hypothesis
import pytest

hypothesis.settings.register_profile("fixed", derandomize=True, deadline=None)
hypothesis.settings.load_profile("fixed")

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


class AsyncioErrors(logging.Handler):
    """Collects what asyncio reports about tasks, futures and transports that were left behind."""

    def __init__(self) -> None:
        super().__init__(level=logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the message of a record; its traceback is in the log that pytest captures."""
        self.messages.append(record.getMessage())


@pytest.fixture(autouse=True)
def no_leaked_tasks() -> Iterator[None]:
    """Fail a test that leaves a task with an unretrieved exception or an open transport.

    They are reported when they are collected, so without the collection here a later test reports
    them. CPython 3.11 then fails with ``AST constructor recursion depth mismatch`` if that test is
    parsing a module: logging a traceback parses source code as well.
    """
    errors = AsyncioErrors()
    logger = logging.getLogger("asyncio")
    logger.addHandler(errors)
    try:
        yield
        gc.collect()
    finally:
        logger.removeHandler(errors)
    if errors.messages:
        pytest.fail("left behind: " + "; ".join(errors.messages), pytrace=False)


def known_red() -> set[str]:
    """Node ids in KNOWN-RED.txt: the first word of each line that starts with ``tests/``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_report_header() -> list[str]:
    """Print the tests that are deselected as known failures."""
    return [f"known red, not run: {node_id}" for node_id in sorted(known_red())]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the tests in KNOWN-RED.txt, unless a test is named on the command line."""
    red = known_red()
    named = any("::" in argument for argument in config.args)
    if named or not red:
        return
    config.hook.pytest_deselected(items=[item for item in items if item.nodeid in red])
    items[:] = [item for item in items if item.nodeid not in red]
