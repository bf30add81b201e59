"""Parameters of the generation that depend on the answer ``matters_most``."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ._answers import MattersMost


@dataclass(frozen=True, slots=True, kw_only=True)
class Priority:
    """Parameters that follow from one value of ``matters_most``.

    :param share_headroom: guaranteed share of a kind as a multiple of its expected load.
    :param guarantees_whole_pool: whether all capacity of a pool is guaranteed to its kinds, so that
        none is left to be assigned by urgency.
    :param background_share: ratio of a pool's capacity that is guaranteed to the least urgent work.
    :param queue_wait_ratio: ratio of the answer time that may be spent in a queue.
    :param max_queued_per_flow: limit on the queued tasks of one caller and kind whatever the pool's
        throughput, because queued tasks are held in memory.
    :param min_weight: lowest weight of a caller, as a multiple of the mean.
    :param max_weight: highest weight of a caller, as a multiple of the mean.
    :param retry_budget_ratio: retries allowed, as a ratio of the starts.
    :param lease_s: duration of a lease.
    :param ask_timeout_s: timeout of a request to a scheduler.
    """

    share_headroom: float
    guarantees_whole_pool: bool
    background_share: float
    queue_wait_ratio: float
    max_queued_per_flow: int
    min_weight: float
    max_weight: float
    retry_budget_ratio: float
    lease_s: float
    ask_timeout_s: float


PRIORITY_BY_ANSWER: Mapping[MattersMost, Priority] = {
    # Little is guaranteed beyond the expected work, so that most of the pool is assigned by
    # urgency. Short leases and timeouts detect lost work sooner at the cost of more messages.
    "response_time": Priority(
        share_headroom=1.25,
        guarantees_whole_pool=False,
        background_share=0.05,
        queue_wait_ratio=0.5,
        max_queued_per_flow=20_000,
        min_weight=0.1,
        max_weight=10.0,
        retry_budget_ratio=0.1,
        lease_s=5.0,
        ask_timeout_s=0.5,
    ),
    # All of a pool is guaranteed to some kind, queues are short, and no caller outweighs another
    # by more than 8 to 1, so that a flood can take little capacity from other work.
    "other_work_in_flood": Priority(
        share_headroom=1.5,
        guarantees_whole_pool=True,
        background_share=0.15,
        queue_wait_ratio=0.25,
        max_queued_per_flow=10_000,
        min_weight=0.5,
        max_weight=4.0,
        retry_budget_ratio=0.05,
        lease_s=10.0,
        ask_timeout_s=1.0,
    ),
}
