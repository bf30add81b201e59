"""Whether tasks can ever fit on the workers of a pool, and the reason in words."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ._workercapacity import TOLERANCE, Resources, SizeKey


def holds(shape: SizeKey, size: SizeKey) -> bool:
    """Tell whether an empty worker of a shape holds one task of a size."""
    return all(have + TOLERANCE >= wanted for have, wanted in zip(shape, size, strict=True))


def describe(size: SizeKey) -> str:
    """A size in words."""
    words = f"{size[0]:g} cores and {size[1]} MB"
    return f"{words} and {size[2]} accelerators" if size[2] else words


def task_too_large(shapes: Counter[SizeKey], sizes: Counter[SizeKey]) -> str | None:
    """Reason why one of the tasks is larger than every worker, or None."""
    if not shapes:
        return "the pool has no workers"
    for size in sizes:
        if not any(holds(shape, size) for shape in shapes):
            return f"a task needs {describe(size)}; no worker has that much"
    return None


def gang_too_large(shapes: Counter[SizeKey], needs: Counter[Resources]) -> str | None:
    """Reason why a gang needs more than all workers have together, or None."""
    wanted = [sum(getattr(n, f) * c for n, c in needs.items()) for f in Resources.__slots__]
    have = [sum(shape[i] * count for shape, count in shapes.items()) for i in range(3)]
    for what, need, total in zip(("cores", "MB", "accelerators"), wanted, have, strict=True):
        if need > total + TOLERANCE:
            return f"the gang needs {need:g} {what} at once; all workers have {total:g}"
    return None


def growing_counts(limit: int) -> Iterator[int]:
    """Counts from 1 to ``limit`` in steps that grow by a quarter."""
    count = 1
    while count < limit:
        yield count
        count += max(1, count // 4)
    if limit:
        yield limit
