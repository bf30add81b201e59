"""What the answer to "what matters most" means in numbers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ._answers import MattersMost


@dataclass(frozen=True, slots=True, kw_only=True)
class Priority:
    """Numbers that follow from what matters most.

    :param share_headroom: guaranteed share of a kind as a multiple of its expected load.
    :param guarantees_all: the whole pool is divided into guarantees, nothing is left to urgency.
    :param background_share: part of a pool that the least urgent work keeps.
    :param queue_wait_ratio: part of the time for an answer that may be spent in a queue.
    :param most_queued_per_flow: tasks of one caller and kind that wait at most, whatever the pool
        can do; a queued task is held in memory.
    :param lightest_weight: lowest weight of a caller, as a multiple of the mean.
    :param heaviest_weight: highest weight of a caller, as a multiple of the mean.
    :param retry_budget_ratio: retries allowed as a part of the starts.
    """

    share_headroom: float
    guarantees_all: bool
    background_share: float
    queue_wait_ratio: float
    most_queued_per_flow: int
    lightest_weight: float
    heaviest_weight: float
    retry_budget_ratio: float
    lease_s: float
    ask_timeout_s: float


PRIORITY_BY_ANSWER: Mapping[MattersMost, Priority] = {
    # Little is guaranteed beyond the expected work, so that urgency decides over most of the
    # pool. Short leases and asks find lost work soon, at the price of more messages.
    "response_time": Priority(
        share_headroom=1.25,
        guarantees_all=False,
        background_share=0.05,
        queue_wait_ratio=0.5,
        most_queued_per_flow=20_000,
        lightest_weight=0.1,
        heaviest_weight=10.0,
        retry_budget_ratio=0.1,
        lease_s=5.0,
        ask_timeout_s=0.5,
    ),
    # All of a pool is guaranteed to some kind, queues are short, and no caller outweighs another
    # by more than 8 to 1, so that a flood finds little that it can take.
    "other_work_in_flood": Priority(
        share_headroom=1.5,
        guarantees_all=True,
        background_share=0.15,
        queue_wait_ratio=0.25,
        most_queued_per_flow=10_000,
        lightest_weight=0.5,
        heaviest_weight=4.0,
        retry_budget_ratio=0.05,
        lease_s=10.0,
        ask_timeout_s=1.0,
    ),
}
