"""Entry point of ``python -m eelgrassyard.daemon --settings=FILE``."""

import sys

from . import main

sys.exit(main())
