"""Tests that the platform's wire names are used only in its adapter."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

SOURCES = Path(__file__).parents[1] / "src" / "eelgrassyard"

NAMES = (
    "run-start",
    "run-stop",
    "api/hold",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-lease",
    "kv-keep",
    "op/config",
    "acked_up_to",
    "target_duration_ms",
    "deadline_ms",
    "clock_ms",
    "best_effort",
    "enforces_capacity",
    "max_per_server",
    "X-Expect-Instance",
)


@pytest.mark.parametrize("name", NAMES)
def test_a_wire_name_is_known_to_the_adapter_only(name: str) -> None:
    """Guards against code outside the adapter that depends on the platform's protocol."""
    pattern = re.compile(rf"(?<![\w-]){re.escape(name)}(?![\w-])")
    found = [
        str(path.relative_to(SOURCES))
        for path in sorted(SOURCES.rglob("*.py"))
        if path.parent.name != "platform" and pattern.search(path.read_text(encoding="utf-8"))
    ]
    assert found == []
