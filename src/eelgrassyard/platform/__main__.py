"""Entry point of a host process, which the platform starts on each host machine."""

from __future__ import annotations

import faulthandler
import os
import sys

from .._journal import Journal
from ._start import EXIT_SETTINGS_UNUSABLE, run_host

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
        fields = {"step": "read", "peer": SETTINGS_VARIABLE, "reason": "not set to a path"}
        Journal(host="").write("start_failed", fields, final=True)
        return EXIT_SETTINGS_UNUSABLE
    metrics_port = os.environ.get(METRICS_PORT_VARIABLE, "")
    return run_host(path, metrics_port=metrics_port, end=os._exit)


if __name__ == "__main__":
    sys.exit(main())
