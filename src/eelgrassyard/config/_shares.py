"""Guaranteed shares of kinds and weights of callers."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping

from ._answers import Answers, KindAnswer
from ._priorities import Priority
from ._rates import Rates, pool_of

MIN_SHARE = 0.01
"""Smallest desired share, so that a kind without expected work is served too."""

SHARE_DIGITS = 4
WEIGHT_DIGITS = 3
WEIGHT_ITERATIONS = 60
"""Iterations of the weight computation. For the shipped sites, the ratios no longer change in the
third digit after 30."""


def background_share(answers: Answers, priority: Priority) -> float:
    """Ratio of a pool's capacity that is guaranteed to the least urgent work."""
    if answers.least_urgent_keeps_percent is not None:
        return answers.least_urgent_keeps_percent / 100
    fixed: defaultdict[str, float] = defaultdict(float)
    for kind in answers.kinds:
        if kind.late_answer != "can_wait":
            fixed[pool_of(kind)] += (kind.keeps_percent or 0.0) / 100
    free = 1 - max(fixed.values(), default=0.0)
    return round(min(priority.background_share, max(0.0, free)), SHARE_DIGITS)


def compute_shares(answers: Answers, rates: Rates, priority: Priority) -> dict[str, float]:
    """Guaranteed share of each kind of its pool; the shares of a pool add up to at most 1."""
    kinds_by_pool: defaultdict[str, list[KindAnswer]] = defaultdict(list)
    for kind in answers.kinds:
        kinds_by_pool[pool_of(kind)].append(kind)
    reserved = background_share(answers, priority)
    desired_by_kind = _desired_shares(answers, rates, priority)
    shares: dict[str, float] = {}
    for kinds in kinds_by_pool.values():
        shares |= _shares_in_pool(kinds, desired_by_kind, priority, reserved)
    return shares


def _desired_shares(answers: Answers, rates: Rates, priority: Priority) -> dict[str, float]:
    """Shares that would guarantee every caller of a kind its expected work with headroom."""
    shortfalls = worst_shortfall_by_kind(rates, compute_weights(answers, rates, priority))
    return {
        name: max(load * shortfalls.get(name, 1.0) * priority.share_headroom, MIN_SHARE)
        for name, load in rates.load_by_kind.items()
    }


def _shares_in_pool(
    kinds: list[KindAnswer],
    desired_by_kind: Mapping[str, float],
    priority: Priority,
    reserved: float,
) -> dict[str, float]:
    shares = {
        kind.name: kind.keeps_percent / 100 for kind in kinds if kind.keeps_percent is not None
    }
    background = [kind for kind in kinds if kind.late_answer == "can_wait"]
    urgent = [kind for kind in kinds if kind.late_answer != "can_wait"]
    fixed_background = sum(shares.get(kind.name, 0.0) for kind in background)
    free_urgent = 1 - max(reserved, fixed_background) - sum(shares.get(k.name, 0.0) for k in urgent)
    shares |= _divide_remainder(urgent, shares, desired_by_kind, priority, free_urgent)
    free_background = 1 - sum(shares.values())
    if not priority.guarantees_whole_pool:
        free_background = min(free_background, max(reserved - fixed_background, 0.0))
    shares |= _divide_remainder(background, shares, desired_by_kind, priority, free_background)
    return shares


def _divide_remainder(
    kinds: list[KindAnswer],
    fixed: dict[str, float],
    desired_by_kind: Mapping[str, float],
    priority: Priority,
    free: float,
) -> dict[str, float]:
    unset_kinds = [kind.name for kind in kinds if kind.name not in fixed]
    desired = {name: desired_by_kind[name] for name in unset_kinds}
    total = sum(desired.values())
    if not total:
        return {}
    free = max(0.0, free)
    scale = free / total if priority.guarantees_whole_pool else min(1.0, free / total)
    digits = 10**SHARE_DIGITS
    return {name: int(share * scale * digits) / digits for name, share in desired.items()}


def compute_weights(answers: Answers, rates: Rates, priority: Priority) -> dict[str, float]:
    """Weight of each caller, within bounds and with mean 1.

    A caller has one weight for all its kinds, but needs a ratio of each kind equal to its ratio of
    the expected work. The iteration raises weights where the needed ratio exceeds the guaranteed
    one, until the worst shortfall over all kinds no longer decreases.
    """
    needed_ratios = _needed_ratios(rates)
    weights = {caller.name: 1.0 for caller in answers.callers}
    for _ in range(WEIGHT_ITERATIONS):
        shortfalls = {name: _worst_shortfall(name, weights, needed_ratios) for name in weights}
        weights = {name: weight * math.sqrt(shortfalls[name]) for name, weight in weights.items()}
        mean = sum(weights.values()) / len(weights)
        weights = {
            name: min(max(weight / mean, priority.min_weight), priority.max_weight)
            for name, weight in weights.items()
        }
    return {name: round(weight, WEIGHT_DIGITS) for name, weight in weights.items()}


def worst_shortfall_by_kind(rates: Rates, weights: Mapping[str, float]) -> dict[str, float]:
    """For each kind, the highest quotient of the needed and the guaranteed ratio of a caller."""
    return {
        kind: max(
            ratio / _guaranteed_ratio(name, weights, ratio_by_caller)
            for name, ratio in ratio_by_caller.items()
        )
        for kind, ratio_by_caller in _needed_ratios(rates).items()
    }


def _needed_ratios(rates: Rates) -> dict[str, dict[str, float]]:
    """Ratio of the expected work of each kind by caller."""
    return {
        kind: {name: rate / sum(by_caller.values()) for name, rate in by_caller.items()}
        for kind, by_caller in rates.tasks_per_s_by_kind_and_caller.items()
    }


def _worst_shortfall(
    name: str, weights: Mapping[str, float], needed_ratios: Mapping[str, Mapping[str, float]]
) -> float:
    shortfalls = [
        ratio_by_caller[name] / _guaranteed_ratio(name, weights, ratio_by_caller)
        for ratio_by_caller in needed_ratios.values()
        if name in ratio_by_caller
    ]
    return max(shortfalls, default=1.0)


def _guaranteed_ratio(
    name: str, weights: Mapping[str, float], ratio_by_caller: Mapping[str, float]
) -> float:
    """Ratio of a kind that a caller gets while all callers of the kind compete."""
    return weights[name] / sum(weights[other] for other in ratio_by_caller)
