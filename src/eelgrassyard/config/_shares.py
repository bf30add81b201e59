"""Guaranteed shares of kinds and weights of callers."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping

from ._answers import Answers, KindAnswer
from ._priorities import Priority
from ._rates import Rates, pool_of

LEAST_SHARE = 0.01
"""A kind that nobody is expected to send still gets through."""

SHARE_DIGITS = 4
WEIGHT_DIGITS = 3
WEIGHT_ROUNDS = 60
"""The ratios of the shipped sites no longer change in the third digit after 30 rounds."""


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
    wanted_by_kind = _wanted_shares(answers, rates, priority)
    shares: dict[str, float] = {}
    for kinds in kinds_by_pool.values():
        shares |= _shares_in_pool(kinds, wanted_by_kind, priority, reserved)
    return shares


def _wanted_shares(answers: Answers, rates: Rates, priority: Priority) -> dict[str, float]:
    """Share at which every caller of a kind is guaranteed its expected work with headroom."""
    lacks = worst_lack_by_kind(rates, find_weights(answers, rates, priority))
    return {
        name: max(load * lacks.get(name, 1.0) * priority.share_headroom, LEAST_SHARE)
        for name, load in rates.load_by_kind.items()
    }


def _shares_in_pool(
    kinds: list[KindAnswer],
    wanted_by_kind: Mapping[str, float],
    priority: Priority,
    reserved: float,
) -> dict[str, float]:
    shares = {
        kind.name: kind.keeps_percent / 100 for kind in kinds if kind.keeps_percent is not None
    }
    waiting = [kind for kind in kinds if kind.late_answer == "can_wait"]
    urgent = [kind for kind in kinds if kind.late_answer != "can_wait"]
    fixed_waiting = sum(shares.get(kind.name, 0.0) for kind in waiting)
    free_urgent = 1 - max(reserved, fixed_waiting) - sum(shares.get(k.name, 0.0) for k in urgent)
    shares |= _divide(urgent, shares, wanted_by_kind, priority, free_urgent)
    free_waiting = 1 - sum(shares.values())
    if not priority.guarantees_all:
        free_waiting = min(free_waiting, max(reserved - fixed_waiting, 0.0))
    shares |= _divide(waiting, shares, wanted_by_kind, priority, free_waiting)
    return shares


def _divide(
    kinds: list[KindAnswer],
    fixed: dict[str, float],
    wanted_by_kind: Mapping[str, float],
    priority: Priority,
    free: float,
) -> dict[str, float]:
    open_kinds = [kind.name for kind in kinds if kind.name not in fixed]
    wanted = {name: wanted_by_kind[name] for name in open_kinds}
    total = sum(wanted.values())
    if not total:
        return {}
    free = max(0.0, free)
    scale = free / total if priority.guarantees_all else min(1.0, free / total)
    digits = 10**SHARE_DIGITS
    return {name: int(share * scale * digits) / digits for name, share in wanted.items()}


def find_weights(answers: Answers, rates: Rates, priority: Priority) -> dict[str, float]:
    """Weight of each caller, within bounds and with mean 1.

    A caller has one weight for all its kinds, while it needs a part of each kind as large as its
    part of the expected work. Weights are raised where the need exceeds the part, until the worst
    ratio of need to part over all kinds no longer falls.
    """
    needs = _needed_parts(rates)
    weights = {caller.name: 1.0 for caller in answers.callers}
    for _ in range(WEIGHT_ROUNDS):
        lacks = {name: _worst_lack(name, weights, needs) for name in weights}
        weights = {name: weight * math.sqrt(lacks[name]) for name, weight in weights.items()}
        mean = sum(weights.values()) / len(weights)
        weights = {
            name: min(max(weight / mean, priority.lightest_weight), priority.heaviest_weight)
            for name, weight in weights.items()
        }
    return {name: round(weight, WEIGHT_DIGITS) for name, weight in weights.items()}


def worst_lack_by_kind(rates: Rates, weights: Mapping[str, float]) -> dict[str, float]:
    """For each kind, the highest ratio of the part that a caller needs to the part it has."""
    return {
        kind: max(part / _part(name, weights, parts) for name, part in parts.items())
        for kind, parts in _needed_parts(rates).items()
    }


def _needed_parts(rates: Rates) -> dict[str, dict[str, float]]:
    """Part of the expected work of each kind, by caller."""
    return {
        kind: {name: rate / sum(by_caller.values()) for name, rate in by_caller.items()}
        for kind, by_caller in rates.tasks_per_s_by_kind_and_caller.items()
    }


def _worst_lack(
    name: str, weights: Mapping[str, float], needs: Mapping[str, Mapping[str, float]]
) -> float:
    lacks = [parts[name] / _part(name, weights, parts) for parts in needs.values() if name in parts]
    return max(lacks, default=1.0)


def _part(name: str, weights: Mapping[str, float], parts: Mapping[str, float]) -> float:
    """Part of a kind that a caller has when all of its callers compete."""
    return weights[name] / sum(weights[other] for other in parts)
