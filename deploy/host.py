"""Start a host from a checkout: the package is in src/, its dependencies are in target/deps."""

import os
import signal
import sys
import time

EXIT_IMPORT_FAILED = 5
"""Exit code if the package or a dependency does not import, such as one of another machine."""


def _end(number: int, frame: object) -> None:
    # Nothing is served yet. Raising instead would end the import of a compiled module half-way.
    os._exit(0)


# The default actions would end the process with a failure until the host receives signals itself.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end)
signal.signal(signal.SIGINT, _end)

# Else a socket gets the descriptor of a closed standard stream, and the log is written to it.
for descriptor in range(3):
    try:
        os.fstat(descriptor)
    except OSError:
        os.open(os.devnull, os.O_RDWR)
sys.stdout = sys.stdout or open(1, "w", closefd=False)  # noqa: SIM115
sys.stderr = sys.stderr or open(2, "w", closefd=False)  # noqa: SIM115

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "src"))

try:
    from eelgrassyard.platform.__main__ import main
except Exception as error:
    import json

    fields = {
        "at": round(time.time(), 4),
        "host": "",
        "event": "start_failed",
        "step": "import",
        "peer": f"{os.uname().machine}, Python {sys.version.split()[0]}",
        "reason": f"{type(error).__name__}: {error}",
    }
    print(json.dumps(fields), flush=True)
    sys.exit(EXIT_IMPORT_FAILED)

sys.exit(main())
