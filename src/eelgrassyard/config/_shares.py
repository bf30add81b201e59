"""Guaranteed shares of kinds and weights of callers."""

from __future__ import annotations

from collections import defaultdict

from ._answers import Answers, KindAnswer
from ._priorities import Priority
from ._rates import Rates, pool_of

LEAST_SHARE = 0.01
"""A kind that nobody is expected to send still gets through."""

SHARE_DIGITS = 4
WEIGHT_DIGITS = 2


def background_share(answers: Answers, priority: Priority) -> float:
    """Part of a pool that the least urgent work keeps."""
    if answers.least_urgent_keeps_percent is not None:
        return answers.least_urgent_keeps_percent / 100
    fixed: defaultdict[str, float] = defaultdict(float)
    for kind in answers.kinds:
        if kind.late_answer != "can_wait":
            fixed[pool_of(kind)] += (kind.keeps_percent or 0.0) / 100
    free = 1 - max(fixed.values(), default=0.0)
    return round(min(priority.background_share, max(0.0, free)), SHARE_DIGITS)


def find_shares(answers: Answers, rates: Rates, priority: Priority) -> dict[str, float]:
    """Guaranteed share of each kind of its pool; the shares of a pool add up to at most 1."""
    kinds_by_pool: defaultdict[str, list[KindAnswer]] = defaultdict(list)
    for kind in answers.kinds:
        kinds_by_pool[pool_of(kind)].append(kind)
    reserved = background_share(answers, priority)
    shares: dict[str, float] = {}
    for kinds in kinds_by_pool.values():
        shares |= _shares_in_pool(kinds, rates, priority, reserved)
    return shares


def _shares_in_pool(
    kinds: list[KindAnswer], rates: Rates, priority: Priority, reserved: float
) -> dict[str, float]:
    shares = {
        kind.name: kind.keeps_percent / 100 for kind in kinds if kind.keeps_percent is not None
    }
    waiting = [kind for kind in kinds if kind.late_answer == "can_wait"]
    urgent = [kind for kind in kinds if kind.late_answer != "can_wait"]
    fixed_waiting = sum(shares.get(kind.name, 0.0) for kind in waiting)
    free_urgent = 1 - max(reserved, fixed_waiting) - sum(shares.get(k.name, 0.0) for k in urgent)
    shares |= _divide(urgent, shares, rates, priority, free_urgent)
    free_waiting = 1 - sum(shares.values())
    if not priority.guarantees_all:
        free_waiting = min(free_waiting, max(reserved - fixed_waiting, 0.0))
    shares |= _divide(waiting, shares, rates, priority, free_waiting)
    return shares


def _divide(
    kinds: list[KindAnswer],
    fixed: dict[str, float],
    rates: Rates,
    priority: Priority,
    free: float,
) -> dict[str, float]:
    open_kinds = [kind.name for kind in kinds if kind.name not in fixed]
    wanted = {
        name: max(rates.load_by_kind[name] * priority.share_headroom, LEAST_SHARE)
        for name in open_kinds
    }
    total = sum(wanted.values())
    if not total:
        return {}
    free = max(0.0, free)
    scale = free / total if priority.guarantees_all else min(1.0, free / total)
    digits = 10**SHARE_DIGITS
    return {name: int(share * scale * digits) / digits for name, share in wanted.items()}


def find_weights(answers: Answers, rates: Rates, priority: Priority) -> dict[str, float]:
    """Weight of each caller: its expected work relative to the mean, within bounds."""
    busy = [rates.busy_by_caller.get(caller.name, 0.0) for caller in answers.callers]
    mean = sum(busy) / len(busy) if busy else 0.0
    if mean <= 0:
        return {caller.name: 1.0 for caller in answers.callers}
    return {
        caller.name: round(
            min(max(work / mean, priority.lightest_weight), priority.heaviest_weight),
            WEIGHT_DIGITS,
        )
        for caller, work in zip(answers.callers, busy, strict=True)
    }
