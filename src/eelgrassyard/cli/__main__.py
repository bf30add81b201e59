"""Runs the tool as ``python -m eelgrassyard.cli``."""

import sys

from ._main import main

sys.exit(main())
