"""Start a host from a checkout: the package is in src/, its dependencies are in target/deps."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from eelgrassyard.platform.__main__ import main  # noqa: E402

sys.exit(main())
