"""Start and end of a host process."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from .._journal import Journal
from .._unhandled import report_process_failure
from ._host import SIGNALS, PlatformHost
from ._settings import await_settings

EXIT_SETTINGS_UNUSABLE = 2
"""Exit code if the settings file stays unusable."""

EXIT_FAILED = 4
"""Exit code after an unforeseen error; a line ``process_failed`` names it."""

LAST_LINES_S = 0.25
"""Longest wait at the end of the process for a slow reader of its last lines; it is part of
the exit margin of the drain."""


def run_host(
    path: str, *, metrics_port: str = "", end: Callable[[int], object] = lambda code: None
) -> int:
    """Run a host until it is stopped; return the exit code of the process.

    :param path: settings file.
    :param metrics_port: see :class:`PlatformHost`.
    :param end: called with that code once nothing is left to do, while signals are still received.
    """
    journal = Journal(host="")
    try:
        return _run_host(path, journal, metrics_port, end)
    except Exception as error:
        report_process_failure(journal, error)
        return EXIT_FAILED
    finally:
        journal.close(LAST_LINES_S)


def _run_host(path: str, journal: Journal, metrics_port: str, end: Callable[[int], object]) -> int:
    result = await_settings(
        path, on_unusable=lambda error: journal.write("settings_awaited", error.dump())
    )
    if result.is_err():
        journal.write("start_failed", result.unwrap_err().dump(), final=True)
        return EXIT_SETTINGS_UNUSABLE
    settings = result.unwrap()
    journal.host = settings.name
    host = PlatformHost(settings=settings, path=path, journal=journal, metrics_port=metrics_port)

    async def serve() -> int:
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            code = await host.serve(signals)
            journal.close(LAST_LINES_S)
            # Past this block, signals have their default actions again, and the event loop and the
            # interpreter wait for threads.
            end(code)
            return code

    return anyio.run(serve)
