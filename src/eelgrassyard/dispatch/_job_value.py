"""Value of a job to its caller per unit of work.

The load that this answers is more work than the workers can do: then the jobs that are delayed or
refused are those whose loss costs callers least. The value is relative to the work, so that within
a kind small and large jobs compete on equal terms.
"""

from __future__ import annotations

import enum

from ._jobs import Job

PRIORITY_RATIO = 0.5
"""Weight of a priority as a multiple of that of the next more urgent one. It lies within the range
of :data:`~._kind_shares.MAX_SCARCITY`, so that a priority that is served far below its usual rate
gets capacity from a more urgent one; a level of less than a quarter could be shut out."""

LATE_WORTH = 0.2
"""Worth of a late answer as a multiple of one on time (users' page on credit)."""

MAX_LEVELS = 16
"""Number of levels that are told apart; the priority comes from the configuration."""

MIN_SHARE_LEFT = 0.05
"""Lower limit of the share of a job's work that counts as left."""


class Prospect(enum.Enum):
    """When a job can be answered."""

    ON_TIME = enum.auto()
    LATE = enum.auto()
    """After its objective, but within ``LATE_FACTOR`` times that."""
    TOO_LATE = enum.auto()


def job_work(job: Job) -> float:
    """Declared work of all tasks of a job, in core-seconds on a worker of speed 1."""
    return sum(step.count * step.cpu * step.estimate_s for step in job.steps) / 1000.0


def job_value(*, priority: int, prospect: Prospect, share_left: float = 1.0) -> float:
    """Value of a job per unit of the work that it still needs.

    :param priority: 0 is the most urgent.
    :param share_left: part of its work that has not been done yet.
    """
    match prospect:
        case Prospect.ON_TIME:
            worth = 1.0
        case Prospect.LATE:
            worth = LATE_WORTH
        case Prospect.TOO_LATE:
            worth = 0.0
    weight: float = PRIORITY_RATIO ** max(0, min(MAX_LEVELS, priority))
    return weight * worth / max(MIN_SHARE_LEFT, share_left)
