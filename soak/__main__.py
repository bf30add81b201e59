"""Makes soak runs: ``python -m soak --seeds=1-50 --jobs=3``; ``--keep=DIR`` keeps the output."""

from __future__ import annotations

import asyncio
import json
import logging
import pathlib
import shutil
import signal
import sys
import tempfile

from absl import app, flags

from ._run import run_soak
from ._seeds import REGRESSIONS, parse_seeds

FLAGS = flags.FLAGS
flags.DEFINE_string("seeds", "1", "Seeds to run: numbers and ranges, or 'regressions'.")
flags.DEFINE_integer("jobs", 1, "Number of concurrent runs.", lower_bound=1, upper_bound=6)
flags.DEFINE_float("fault_s", 14.0, "Time in seconds during which faults are injected.")
flags.DEFINE_integer("domains", 2, "Failure domains.", lower_bound=1)
flags.DEFINE_integer("hosts", 3, "Host processes per failure domain.", lower_bound=1)
flags.DEFINE_integer("workers", 8, "Workers per failure domain.", lower_bound=1)
flags.DEFINE_float("rate", 25.0, "Jobs per second.")
flags.DEFINE_integer("replacements", 0, "How often hosts are removed for good.", lower_bound=0)
flags.DEFINE_integer("restarts", 0, "How often workers start again under their ids.", lower_bound=0)
flags.DEFINE_integer("lead_changes", 0, "How often leaders are lost.", lower_bound=0)
flags.DEFINE_string("keep", "", "Directory for the output of runs with violations.")


async def run_all(seeds: list[int], keep: pathlib.Path | None) -> int:
    """Run the seeds, at most ``--jobs`` at a time; return the number of runs with violations."""
    task = asyncio.current_task()
    assert task is not None
    # The cancellation terminates the processes of the runs.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    if len(seeds) == 1:
        return int(not await run_one(seeds[0], keep))
    slots = asyncio.Semaphore(FLAGS.jobs)
    return sum(await asyncio.gather(*(run_in_subprocess(seed, slots) for seed in seeds)))


async def run_one(seed: int, keep: pathlib.Path | None) -> bool:
    """Run one seed in this process; return whether no invariant was violated."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = await run_soak(
        seed=seed,
        folder=folder,
        fault_s=FLAGS.fault_s,
        domains=FLAGS.domains,
        hosts_per_domain=FLAGS.hosts,
        workers_per_domain=FLAGS.workers,
        rate=FLAGS.rate,
        replacements=FLAGS.replacements,
        restarts=FLAGS.restarts,
        lead_changes=FLAGS.lead_changes,
    )
    print(json.dumps(result.summary()), flush=True)
    if result.violations:
        (folder / "faults.txt").write_text("\n".join([*result.faults, *result.violations]) + "\n")
        if keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(folder)
    return not result.violations


async def run_in_subprocess(seed: int, slots: asyncio.Semaphore) -> int:
    """Run one seed in a subprocess; return 1 if it failed."""
    passed_on = [flag.serialize() for flag in FLAGS.get_key_flags_for_module(sys.argv[0])]
    arguments = [text for text in passed_on if text and not text.startswith(("--seeds", "--jobs"))]
    async with slots:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "soak", f"--seeds={seed}", *arguments
        )
        try:
            return int(await process.wait() != 0)
        finally:
            if process.returncode is None:
                process.terminate()
                await process.wait()


def main(arguments: list[str]) -> int:
    """Run the seeds; return 1 if an invariant was violated in any of them."""
    del arguments
    logging.getLogger("httpx").setLevel(logging.WARNING)
    seeds = list(REGRESSIONS) if FLAGS.seeds == "regressions" else parse_seeds(FLAGS.seeds)
    keep = pathlib.Path(FLAGS.keep) if FLAGS.keep else None
    failed = asyncio.run(run_all(seeds, keep))
    if len(seeds) > 1:
        print(f"{len(seeds)} seeds, {failed} with violations", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)
