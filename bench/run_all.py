"""Run every ``bench/bench_*.py``; the exit code is the number of failed benchmarks.

Most benchmarks run in parallel. Those in ``RUN_ALONE`` measure processor time and run one at a time
afterwards, because load on the machine would distort their results.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

MAX_PARALLEL = 4
RUN_ALONE = frozenset({"bench_decision_cost"})


def run_one(name: str) -> tuple[str, int, str, float]:
    """Run one benchmark; returns its name, exit code, output and duration in seconds."""
    started = time.monotonic()
    command = [sys.executable, "-m", f"bench.{name}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return name, done.returncode, done.stdout + done.stderr, time.monotonic() - started


def main() -> int:
    """Run all benchmarks and print their output; returns the number that failed."""
    names = sorted(path.stem for path in pathlib.Path(__file__).parent.glob("bench_*.py"))
    failed = 0
    for parallel, group in (
        (MAX_PARALLEL, [name for name in names if name not in RUN_ALONE]),
        (1, [name for name in names if name in RUN_ALONE]),
    ):
        with ThreadPoolExecutor(max_workers=parallel) as pool:
            for name, code, output, seconds in pool.map(run_one, group):
                print(f"== {name}: exit code {code}, {seconds:.0f} s\n{output}", flush=True)
                failed += code != 0
    return failed


if __name__ == "__main__":
    sys.exit(main())
