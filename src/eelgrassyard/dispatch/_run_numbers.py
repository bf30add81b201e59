"""Numbers of runs, which tell for whom a run was started.

Runs of a pool's own tasks have odd numbers, runs of tasks that another pool lends have even ones. A
new leader that finds a run of its predecessor knows by this whether a host of its own domain may
claim it. The number is all that a worker keeps of the leader that started the run.
"""

from __future__ import annotations


def next_own_run(run: int) -> int:
    """Number of the next run of a task on this pool's workers.

    :param run: number of its latest run, or 0.
    """
    return run + 1 + run % 2


def next_lent_run(run: int) -> int:
    """Number of the next run of a task that is lent to another pool.

    :param run: number of its latest run, or 0.
    """
    return run + 2 - run % 2


def is_lent_run(run: int) -> bool:
    """Tell whether a run was started for another pool."""
    return run % 2 == 0
