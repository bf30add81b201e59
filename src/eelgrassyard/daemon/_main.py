"""The command ``eelgrassyardd``."""

from __future__ import annotations

import logging
import secrets
import signal
import sys
from collections.abc import Sequence

import anyio
from absl import flags

from . import _logs
from ._host import Host
from ._settings import Settings, read_settings

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

USAGE = "eelgrassyardd --settings=FILE"


async def _run(host: Host) -> bool:
    async with anyio.create_task_group() as group:
        group.start_soon(_drain_on_signal, host)
        finished = await host.run()
        group.cancel_scope.cancel()
    return finished


async def _drain_on_signal(host: Host) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            host.drain()


def _fail(message: str) -> int:
    print(f"eelgrassyardd: {' '.join(message.split())}", file=sys.stderr)
    return EXIT_USAGE


def _serve(settings: Settings) -> int:
    _logs.configure_logging(host=settings.name, level=settings.log_level)
    logging.getLogger("anyio").setLevel(logging.CRITICAL)

    async def run() -> bool:
        return await _run(Host(settings=settings, seed=secrets.randbits(64)))

    return EXIT_DONE if anyio.run(run) else EXIT_FAILED


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon; returns its exit code.

    0 after a finished drain, 1 if the drain exceeded its time limit, 2 for wrong usage, invalid
    settings or a failed start.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string("settings", None, "Path of the settings file.", flag_values=values)
    argv = list(arguments if arguments is not None else sys.argv)
    try:
        rest = values(argv)
    except flags.Error as error:
        return _fail(f"{error}; usage: {USAGE}")
    if len(rest) > 1 or not values["settings"].value:
        return _fail(f"usage: {USAGE}")
    read = read_settings(values["settings"].value)
    if read.is_err():
        return _fail(str(read.unwrap_err()))
    try:
        return _serve(read.unwrap())
    except OSError as error:
        return _fail(f"{values['settings'].value}: cannot start: {error}")
