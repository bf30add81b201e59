"""Shortage of room in a pool: forecast of its queue, choice of the domain for the last offer of a
job, and memory of recent lending.

The load that this handles is uneven demand, such as a burst in one domain or waves out of phase in
two of them. The other domains learn of a shortage while it builds up. The tasks that would start
too late at home are lent first, and a job that is about to be refused is offered once more. Two
domains that are both short of room do not send each other work.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass, field

from ._jobs import TaskId
from ._peer_pools import PeerPools, count_places

FORECAST_INTERVAL_S = 0.08
"""Time for which a forecast of a queue is used again: half of the interval of pings between
domains. A forecast of 300 waiting tasks and 400 runs takes 2.4 ms, and several leaders ask for
it."""

MAX_FORECAST_S = 60.0
"""Longest wait that is reported. Callers wait for less."""

LENDING_MEMORY_S = 0.05
"""Time after lending a task of a service in which a pool accepts no lent task of the service: the
room that it still shows may go to its own next tasks. It is short, since lent tasks are never lent
on, and half a second without borrowing cost 0.2 to 0.5% of the worth in a replay of uneven
demand."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedTask:
    """A waiting task, as the forecast needs it.

    :param run_s: expected run time in seconds.
    :param start_by: latest start at which its result is of use.
    """

    id: TaskId
    run_s: float
    start_by: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueForecast:
    """When the waiting tasks of a service will start in their own pool.

    :param made_at: time of the forecast.
    :param late_tasks: tasks whose predicted start is after their latest one.
    :param wait_s: seconds until a place is free beyond those that the waiting tasks take; infinite
        if there is none.
    """

    made_at: float
    late_tasks: frozenset[TaskId]
    wait_s: float


def forecast_queue(
    now: float, places_free_in_s: Iterable[float], tasks: Iterable[QueuedTask]
) -> QueueForecast:
    """Forecast the starts of waiting tasks, each on the place that is free first.

    :param places_free_in_s: seconds until each place of typical size is free.
    :param tasks: the waiting tasks, in the order of the queue.
    """
    places = list(places_free_in_s) or [math.inf]
    heapq.heapify(places)
    late_tasks = set()
    for task in tasks:
        if now + places[0] > task.start_by:
            late_tasks.add(task.id)
        heapq.heapreplace(places, places[0] + task.run_s)
    return QueueForecast(made_at=now, late_tasks=frozenset(late_tasks), wait_s=places[0])


@dataclass(slots=True, kw_only=True)
class RecentLending:
    """Services of which this pool has lent tasks, and when it did last."""

    lent_at_by_service: dict[str, float] = field(default_factory=dict)

    def record(self, now: float, service: str) -> None:
        """Record that tasks of a service are lent."""
        self.lent_at_by_service[service] = now

    def left_s(self, now: float, service: str) -> float:
        """Seconds for which the pool still accepts no lent task of a service."""
        lent_at = self.lent_at_by_service.get(service, -math.inf)
        return max(0.0, lent_at + LENDING_MEMORY_S - now)


@dataclass(slots=True, kw_only=True)
class LastOffer:
    """An offer that was made before a refusal.

    :param is_settled: whether its result is known: refused, or placed as far as can be told.
    """

    domain: str
    offered_at: float
    is_settled: bool = False


def choose_domain(
    peers: PeerPools,
    *,
    now: float,
    service: str,
    task_cpu: Sequence[int],
    max_slowness: float,
    late_slowness: float,
    usual_slowness: float,
    transit_s: float,
    excluded: Container[str],
) -> tuple[str, float] | None:
    """Choose the domain for the last offer of a job, by the latest reports.

    Only a domain that has just reported is chosen: a job that a silent one may have started could
    no longer be refused as not run. The domain must have room for all of the tasks, since a job
    that has begun in part cannot be refused either. In order of preference it has

    * room on workers that end the job in time; among such domains the one with the most,
    * no room that it has reported, but probably a place for a single task by now,
    * room on workers that end the job late.

    :param task_cpu: thousandths of a core that each task takes.
    :param max_slowness: greatest run time that ends the job in time, as a multiple of the declared
        one.
    :param late_slowness: the same for a late result that is still of use.
    :param usual_slowness: slowness that is assumed of workers that are not reported.
    :param transit_s: time that the offer takes to the other domain.
    :param excluded: domains that must not get the job.
    :returns: the domain and the greatest slowness of the workers that count; None without one.
    """
    cpu = max(1, *task_cpu)
    single = len(task_cpu) == 1
    best: tuple[str, float] | None = None
    best_key = (0, 0.0)
    for domain in peers.reporting_domains(now):
        if domain in excluded:
            continue
        room = peers.room(domain, service)
        in_time = count_places(room, cpu, max_slowness)
        late = count_places(room, cpu, late_slowness)
        wait_s = peers.wait_s(now, domain, service)
        if in_time >= len(task_cpu):
            key, slowness = (3, float(in_time)), max_slowness
        elif single and not late and wait_s <= transit_s and max_slowness >= usual_slowness:
            key, slowness = (2, -wait_s), max_slowness
        elif late >= len(task_cpu):
            key, slowness = (1, float(late)), late_slowness
        else:
            continue
        if best is None or key > best_key:
            best, best_key = (domain, slowness), key
    return best
