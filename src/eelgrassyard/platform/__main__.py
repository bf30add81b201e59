"""Entry point of a host process, which the platform starts on each host machine."""

from __future__ import annotations

import faulthandler
import os
import sys

from ._host import run_host

SETTINGS_VARIABLE = "EELGRASSYARD_SETTINGS"

METRICS_PORT_VARIABLE = "EELGRASSYARD_METRICS_PORT"
"""Port of ``metrics`` in the deploy file, which names one port for all days, while those in the
settings file are new each day."""


def main() -> int:
    """Run a host with the settings file named by the environment variable."""
    # The stack of a fatal signal, such as a stack overflow in an extension module.
    if sys.stderr is not None:
        faulthandler.enable()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(
            f"eelgrassyard: {SETTINGS_VARIABLE} is not set to the path of a settings file",
            file=sys.stderr,
        )
        return 2
    metrics_port = os.environ.get(METRICS_PORT_VARIABLE, "")
    return run_host(path, metrics_port=metrics_port, end=os._exit)


if __name__ == "__main__":
    sys.exit(main())
