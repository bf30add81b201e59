"""Seeds of soak runs, and those kept as regression tests."""

from __future__ import annotations

REGRESSIONS: dict[int, str] = {
    1: "LOST: an idle host ended 0.05 s after SIGTERM although new connections still came in",
    4: "jobs given up: a leader that resigned stopped lent tasks and did not report it",
}
"""Cause of the violation that each seed found; all of them are run again before each landing."""


def parse_seeds(text: str) -> list[int]:
    """Parse numbers and ranges such as ``1-5,9``.

    :raises ValueError: if a part is neither a number nor a range.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds
