"""Command that the platform starts on each machine."""

from __future__ import annotations

import os
import sys

from ._host import run_host

SETTINGS_VARIABLE = "EELGRASSYARD_SETTINGS"


def main() -> int:
    """Run a host with the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"eelgrassyard: {SETTINGS_VARIABLE} does not name a settings file", file=sys.stderr)
        return 2
    return run_host(path)


if __name__ == "__main__":
    sys.exit(main())
