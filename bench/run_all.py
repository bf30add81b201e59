"""Run every ``bench/bench_*.py`` and stop at the first that fails."""

from __future__ import annotations

import pathlib
import subprocess
import sys


def main() -> int:
    """Run the programs in order of name; returns the first non-zero exit code, or 0."""
    for program in sorted(pathlib.Path(__file__).parent.glob("bench_*.py")):
        print(f"== {program.name}", flush=True)
        code = subprocess.call([sys.executable, "-m", f"bench.{program.stem}"])
        if code != 0:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main())
