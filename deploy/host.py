"""Start a host from a checkout: the package is in src/, its dependencies are in target/deps."""

import os
import signal
import sys


def _end(number: int, frame: object) -> None:
    # Nothing is served yet. Raising instead would end the import of a compiled module half-way.
    os._exit(0)


# The default actions would end the process with a failure until the host receives signals itself.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end)
signal.signal(signal.SIGINT, _end)

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "src"))

from eelgrassyard.platform.__main__ import main  # noqa: E402

sys.exit(main())
