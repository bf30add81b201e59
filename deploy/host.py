"""Starts a host from a checkout: the package lies in src/, its libraries in target/deps."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from eelgrassyard.platform.__main__ import main  # noqa: E402

sys.exit(main())
