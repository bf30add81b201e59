"""Checks whether tasks can ever fit on the workers of a pool, with a reason for people to read."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ._worker_capacity import TOLERANCE, Resources, SizeKey


def can_hold(shape: SizeKey, size: SizeKey) -> bool:
    """Whether an idle worker of a shape can run one task of a size."""
    return all(have + TOLERANCE >= wanted for have, wanted in zip(shape, size, strict=True))


def describe_size(size: SizeKey) -> str:
    """Text for a size, to be read by people."""
    words = f"{size[0]:g} cores and {size[1]} MB"
    return f"{words} and {size[2]} accelerators" if size[2] else words


def task_too_large(shapes: Counter[SizeKey], sizes: Counter[SizeKey]) -> str | None:
    """Reason why the tasks can never run, if one of them is larger than every worker, or None."""
    if not shapes:
        return "the pool has no workers"
    for size in sizes:
        if not any(can_hold(shape, size) for shape in shapes):
            return f"a task needs {describe_size(size)}; no worker has that much"
    return None


def gang_too_large(shapes: Counter[SizeKey], needs: Counter[Resources]) -> str | None:
    """Reason why a gang can never run, if it needs more than all workers have together, or None."""
    wanted = [sum(getattr(n, f) * c for n, c in needs.items()) for f in Resources.__slots__]
    have = [sum(shape[i] * count for shape, count in shapes.items()) for i in range(3)]
    for what, need, total in zip(("cores", "MB", "accelerators"), wanted, have, strict=True):
        if need > total + TOLERANCE:
            return f"the gang needs {need:g} {what} at once; all workers have {total:g}"
    return None


def growing_counts(limit: int) -> Iterator[int]:
    """Counts from 1 up to and including ``limit``, each about a quarter larger than the last."""
    count = 1
    while count < limit:
        yield count
        count += max(1, count // 4)
    if limit:
        yield limit
