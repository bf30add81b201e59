"""Serve a list of stand-ins, each on its own port.

The specification is a JSON list such as
``[{"role": "runner", "port": 7001, "name": "runner-01", "slots": 8, "speed": 1.0}]``; the
members other than ``role`` and ``port`` are passed to the constructor of the stand-in.
"""

from __future__ import annotations

import json
import signal
import sys
from typing import Any

import anyio
from absl import app, flags
from hypercorn.asyncio import serve
from hypercorn.config import Config

from . import HostListStandIn, KeyValueStandIn, RunnerStandIn, WorkerStandIn

FLAGS = flags.FLAGS
flags.DEFINE_string("spec", None, "File with the list of stand-ins, in JSON.", required=True)
flags.DEFINE_string("address", "127.0.0.1", "IP address to listen on.")

CLASS_BY_ROLE = {
    "keyvalue": KeyValueStandIn,
    "hostlist": HostListStandIn,
    "runner": RunnerStandIn,
    "worker": WorkerStandIn,
}


async def serve_all(specs: list[dict[str, Any]], address: str) -> None:
    """Serve each stand-in on its own port until SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        for spec in specs:
            arguments = dict(spec)
            application = CLASS_BY_ROLE[arguments.pop("role")]
            port = arguments.pop("port")
            config = Config()
            config.bind = [f"{address}:{port}"]
            config.graceful_timeout = 0.5
            config.keep_alive_timeout = 60.0
            config.errorlog = None
            group.start_soon(_serve_one, application(**arguments), config, stop)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                stop.set()
                break


async def _serve_one(application: Any, config: Config, stop: anyio.Event) -> None:
    await serve(application, config, shutdown_trigger=stop.wait)


def main(arguments: list[str]) -> int:
    """Serve the stand-ins of the specification file."""
    with open(FLAGS.spec, encoding="utf-8") as file:
        specs = json.load(file)
    anyio.run(serve_all, specs, FLAGS.address)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
