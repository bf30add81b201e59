"""The page for operators of hosts on the platform against what a host shows."""

from __future__ import annotations

import re
from pathlib import Path

from eelgrassyard.platform import _host, _start
from test_platform_host import Site, run_scenario

ROOT = Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
SOURCES = sorted((ROOT / "src" / "eelgrassyard" / "platform").glob("*.py"))
EVENT = re.compile(r'(?:\.write\(|\blog\(|event(?:: str)? ?= ?)\s*"([a-z_]+)"')
IN_CODE_FONT = re.compile(r"`([a-z_]+)(?:\{[^`]*\})?`")


def is_on_page(name: str) -> bool:
    """Tell whether the page has the name, or its end after another name of the same row."""
    return any(
        name == word or (word.startswith("_") and name.endswith(word))
        for word in IN_CODE_FONT.findall(PAGE)
    )


def test_every_metric_of_a_host_is_explained() -> None:
    """Guards against a metric that operators see and cannot look up."""
    names: set[str] = set()

    async def scenario(site: Site) -> None:
        answer = await site.call(site.settings.ready_address, "GET", "/metrics")
        for name, kind in re.findall(r"^# TYPE (\w+) (\w+)$", answer.body.decode(), re.MULTILINE):
            if not name.endswith("_created"):
                names.add(name.removesuffix("_total") + "_total" if kind == "counter" else name)

    run_scenario(scenario)
    assert not {name for name in names if not is_on_page(name)}


def test_every_event_of_the_adapter_is_explained() -> None:
    """Guards against a line that operators see and cannot look up."""
    code = "".join(path.read_text(encoding="utf-8") for path in SOURCES)
    events = set(EVENT.findall(code)) | {"process_failed", "unhandled_error", "task_failed"}
    assert "worker_entry_ignored" in events
    assert not {event for event in events if not is_on_page(event)}


def test_every_exit_code_is_explained() -> None:
    """Guards against a process that ends with a code that the page does not have."""
    codes = {
        value
        for module in (_host, _start)
        for name, value in vars(module).items()
        if name.startswith("EXIT_") and type(value) is int
    }
    assert codes >= {_start.EXIT_FAILED, _host.EXIT_LISTEN_FAILED}
    assert not {code for code in codes if f"\n| {code} | " not in PAGE}
