"""Frame of a script: runs a scenario against a site and turns its verdict into an exit code."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from .record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_S = 110.0

Scenario = Callable[[Record, bool], Awaitable[list[str]]]
"""Takes the record and whether to disrupt; returns how the rule was broken, if it was."""


class CouldNotRunError(Exception):
    """The events that the case is about did not come about."""


async def _run(scenario: Scenario, record: Record, trouble: bool) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    # A scenario ends the processes that it has started when it is cancelled.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(scenario(record, trouble), LONGEST_S)


def run_case(folder: pathlib.Path, scenario: Scenario) -> None:
    """Run a scenario once, and exit."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=folder / "record.txt")
    record.write(f"begins {'with' if trouble else 'without'} the disruption")
    code = COULD_NOT_RUN
    try:
        broken = asyncio.run(_run(scenario, record, trouble))
        for line in broken:
            record.write(f"BROKEN: {line}")
            print(f"broken: {line}")
        code = BROKEN if broken else HELD
        if not broken:
            print("held")
    except CouldNotRunError as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
    except (Exception, asyncio.CancelledError):
        record.write(f"could not run:\n{traceback.format_exc()}")
        traceback.print_exc()
    record.write(f"exit code {code}")
    record.close()
    sys.exit(code)
