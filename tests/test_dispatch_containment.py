"""Containment of unforeseen errors in the dispatch core, with several simulated hosts."""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Callable
from typing import Any

import pytest

from dispatch_world import World
from eelgrassyard.dispatch._crashes import CrashHistory
from eelgrassyard.dispatch._entry import Entry
from eelgrassyard.dispatch._host_directory import HostDirectory
from eelgrassyard.dispatch._host_events import HostEvents
from eelgrassyard.dispatch._jobs import Outcome
from eelgrassyard.dispatch._leadership import Leadership
from eelgrassyard.dispatch._leases import WorkerClock
from eelgrassyard.dispatch._links import Links
from eelgrassyard.dispatch._order_timing import MAX_POLL_MARGIN_S, OrderTiming
from eelgrassyard.dispatch._peer_pools import PeerPools
from eelgrassyard.dispatch._polling import WorkerPoller
from eelgrassyard.dispatch._stops import PendingStops
from eelgrassyard.dispatch._waiting import WaitingTasks
from eelgrassyard.dispatch._worker_pool import WorkerPool
from eelgrassyard.dispatch._workers import Worker

PLACES: list[tuple[type, str]] = [
    *((WorkerPool, name) for name in ("submit", "lend", "lent_ended", "cancel", "advance")),
    *((WorkerPool, name) for name in ("start_answered", "stop_answered", "poll_answered")),
    *((WorkerPool, name) for name in ("requester_lost", "peer_pool_updated", "peer_pool_lost")),
    *((WorkerPool, name) for name in ("_place", "_start", "_try_start", "_enqueue", "_lend_tasks")),
    *((WorkerPool, name) for name in ("run_ended", "requeue", "stop_run", "_release_run")),
    *((WorkerPool, name) for name in ("_finish", "_remove_job", "_unblock", "_adopt", "_reply")),
    *((WorkerPool, name) for name in ("_start_refused", "room_by_service", "_lent_run_ended")),
    *((WorkerPool, name) for name in ("lender_proved", "_release_lent_tasks", "lease_limits")),
    *((WorkerPoller, name) for name in ("advance", "_poll", "poll_answered", "_apply_report")),
    *((WorkerPoller, name) for name in ("_apply_running_entry", "_check_progress", "poll_now")),
    *((PendingStops, name) for name in ("request_stop", "confirmed", "advance", "run_ended")),
    *((Worker, name) for name in ("reserve", "release", "learn_speed", "is_usable")),
    *((WaitingTasks, name) for name in ("add", "remove")),
    *((WorkerClock, name) for name in ("update", "grant_lease")),
    (OrderTiming, "add"),
    (PeerPools, "take_room"),
    *((CrashHistory, name) for name in ("merge", "advance")),
    *((Entry, name) for name in ("submit", "_send", "job_ended", "job_returned", "advance_job")),
    *((Entry, name) for name in ("set_leader", "caller_left", "_answer", "_remove")),
    *((Links, name) for name in ("advance", "set_wanted", "connected", "pong_received", "closed")),
    *((Leadership, name) for name in ("advance", "pong_received", "host_lost", "follow", "search")),
    *((HostEvents, name) for name in ("_ping", "_pong", "_open_pool", "_link_lost", "_introduce")),
    *((HostEvents, name) for name in ("_deliver_pool_actions", "_deliver_entry_actions")),
    *((HostEvents, name) for name in ("_close_earlier_sessions", "_peer_leader_reported")),
    *((HostEvents, name) for name in ("_update_links", "_resign_when_due", "_send_session")),
    *((HostDirectory, name) for name in ("add", "heard", "lost", "present", "candidates")),
]
"""Functions of the core into which errors are injected."""


class InjectedError(Exception):
    """An error that no code of the core knows."""


class Injector:
    """Raises errors in functions of the core, before or after they have run: in the first call of
    each while :attr:`share` is set, and in that share of the others."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, seed: int) -> None:
        self._monkeypatch = monkeypatch
        self.random = random.Random(seed)
        self.share = 0.0
        self.raised = 0

    def patch(self, owner: type, name: str) -> None:
        """Have a function raise in a share of its calls."""
        function: Callable[..., Any] = getattr(owner, name)
        raised_before = False

        @functools.wraps(function)
        def call(*args: Any, **kwargs: Any) -> Any:
            nonlocal raised_before
            raises = self.share > 0.0 and (not raised_before or self.random.random() < self.share)
            before = raises and self.random.random() < 0.5
            result = None if before else function(*args, **kwargs)
            if raises:
                raised_before = True
                self.raised += 1
                raise InjectedError(name)
            return result

        self._monkeypatch.setattr(owner, name, call)


def run_site(
    world: World, injector: Injector, *, share: float, jobs_per_s: float = 15.0
) -> tuple[int, int]:
    """Serve jobs for 2 s before, 3 s during and 7 s after the injection of errors.

    :returns: jobs sent from 4 s after the injection on, and those of them that completed.
    """
    rng = world.random
    hosts = sorted(world.host_by_name)
    world.run(2.0)
    elapsed = 0.0
    while elapsed < 12.0:
        elapsed += rng.expovariate(jobs_per_s)
        tasks, work_s = rng.randint(1, 4), rng.uniform(0.05, 0.4)
        world.at(
            elapsed,
            lambda t=tasks, w=work_s: world.submit(rng.choice(hosts), tasks=t, work_s=w),
        )
    world.at(2.0, lambda: setattr(injector, "share", share))
    world.at(5.0, lambda: setattr(injector, "share", 0.0))
    world.run(9.0)
    before = len(world.callers)
    world.run(6.0)
    late = world.callers[before:]
    return len(late), sum(caller.answers == [Outcome.COMPLETE] for caller in late)


@pytest.mark.parametrize(("owner", "name"), PLACES, ids=lambda v: getattr(v, "__name__", v))
def test_a_site_goes_on_serving_after_errors_in_one_function(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error that stalls a host for good, leaves its pool half changed, or lets
    two runs of a task overlap, whichever function raises, before or after it has done its work."""
    seed = PLACES.index((owner, name))
    injector = Injector(monkeypatch, seed=seed)
    injector.patch(owner, name)
    world = World(seed=seed, domains=2, hosts=3, workers=4)
    sent, completed = run_site(world, injector, share=0.02)
    assert world.violations == []
    assert sent > 0
    assert completed >= 0.9 * sent
    errors = [fields for _, _, event, fields in world.notes if event == "unhandled_error"]
    assert bool(errors) == bool(injector.raised)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("link_bytes_per_s", [math.inf, 1.0])
def test_a_site_goes_on_serving_after_errors_in_several_functions(
    seed: int, link_bytes_per_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the same where the handling of one error raises as well."""
    injector = Injector(monkeypatch, seed=seed)
    for owner, name in injector.random.sample(PLACES, 12):
        injector.patch(owner, name)
    world = World(seed=seed, domains=2, hosts=3, workers=4, link_bytes_per_s=link_bytes_per_s)
    sent, completed = run_site(world, injector, share=0.01)
    assert world.violations == []
    assert completed >= 0.9 * sent
    assert injector.raised


def test_an_error_that_returns_at_each_tick_of_a_leader_moves_the_lead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that listens but handles nothing any more, and against one that
    starts over at each tick: another host leads meanwhile."""
    world = World(seed=3, domains=1, hosts=3)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    broken = world.host_by_name[leader].core
    advance = WorkerPool.advance

    def fail_on_one_host(pool: WorkerPool, now: float) -> None:
        if broken is not None and pool is broken.pool:
            raise InjectedError("advance")
        advance(pool, now)

    monkeypatch.setattr(WorkerPool, "advance", fail_on_one_host)
    world.run(3.0)
    (other,) = world.leaders("d0")
    assert other != leader
    callers = [world.submit(name, tasks=2, work_s=0.2) for name in sorted(world.host_by_name)]
    world.run(1.0)
    assert [caller.answers for caller in callers] == [[Outcome.COMPLETE]] * 3
    assert world.violations == []
    assert sum(event == "starts_over" for _, _, event, _ in world.notes) <= 5


def test_the_error_of_one_worker_leaves_the_others_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a worker whose answers cannot be handled and that costs its domain the
    leader, or is polled at each tick."""
    world = World(seed=4, domains=1, hosts=3)
    world.run(2.0)
    leaders = world.leaders("d0")
    apply_report = WorkerPoller._apply_report

    def fail_for_one_worker(poller: WorkerPoller, now: float, worker: Worker, report: Any) -> None:
        if worker.record.id == "d0-w0":
            raise InjectedError("report")
        apply_report(poller, now, worker, report)

    monkeypatch.setattr(WorkerPoller, "_apply_report", fail_for_one_worker)
    world.run(5.0)
    callers = [world.submit(name, tasks=2, work_s=0.2) for name in sorted(world.host_by_name)]
    world.run(2.0)
    assert world.leaders("d0") == leaders
    assert [caller.answers for caller in callers] == [[Outcome.COMPLETE]] * 3
    assert world.violations == []
    errors = [fields for _, _, event, fields in world.notes if event == "unhandled_error"]
    assert {fields["worker"] for fields in errors} == {"d0-w0"}
    assert {(fields["part"], fields["message"]) for fields in errors} == {
        ("poll_answered", "report")
    }
    assert len(errors) <= 16


def test_a_job_that_the_pool_cannot_accept_is_answered_and_affects_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a job whose caller waits in vain, and whose host loses its session and with it
    its other jobs, because the pool raises when the job is submitted."""
    world = World(seed=6, domains=1, hosts=3)
    world.run(2.0)
    leaders = world.leaders("d0")
    submit = WorkerPool.submit
    odd: set[str] = set()

    def fail_for_odd_jobs(
        pool: WorkerPool, now: float, requester: str, job: Any, **kw: Any
    ) -> None:
        submit(pool, now, requester, job, **kw)
        if job.id in odd:
            raise InjectedError("submit")

    monkeypatch.setattr(WorkerPool, "submit", fail_for_odd_jobs)
    hosts = sorted(world.host_by_name)
    callers = [world.submit(name, tasks=2, work_s=0.3) for name in hosts]
    world.run(0.05)
    odd |= {f"{number:016x}" for number in range(len(callers), len(callers) + len(hosts))}
    odd_callers = [world.submit(name, tasks=2, work_s=0.3) for name in hosts]
    world.run(0.1)
    assert [caller.attempts for caller in odd_callers] == [1] * 3
    assert [host.callers for host in world.host_by_name.values() if len(host.callers) > 1] == []
    odd.clear()
    world.run(2.5)
    assert [caller.answers for caller in callers] == [[Outcome.COMPLETE]] * 3
    assert [caller.answers for caller in odd_callers] == [[Outcome.COMPLETE]] * 3
    assert [caller.attempts for caller in odd_callers] == [2] * 3
    assert world.leaders("d0") == leaders
    assert world.violations == []


def test_an_error_after_the_next_poll_was_sent_leaves_one_poll_in_flight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two polls of a worker at the same time: the older report could miss a run that
    has begun since, whose task would be started a second time."""
    world = World(seed=8, domains=1, hosts=1, workers=1)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    poll_answered = WorkerPool.poll_answered
    raised: list[float] = []

    def fail_once(pool: WorkerPool, now: float, worker_id: str, result: Any) -> None:
        poll_answered(pool, now, worker_id, result)
        if pool.worker_by_id[worker_id].run_by_task and not raised:
            raised.append(now)
            world.cut_paths.add(frozenset((leader, worker_id)))
            raise InjectedError("poll_answered")

    monkeypatch.setattr(WorkerPool, "poll_answered", fail_once)
    monkeypatch.setattr(OrderTiming, "poll_margin_s", lambda _: MAX_POLL_MARGIN_S)
    world.submit(leader, tasks=1, work_s=0.8)
    world.run(1.5)
    assert raised
    assert world.violations == []


def test_an_evacuation_that_the_pool_could_not_apply_is_applied_when_it_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that goes on starting tasks in an evacuated domain: the copy of the
    store reads all keys again after an error, but the evacuation counted as known."""
    world = World(seed=9, domains=1, hosts=1, workers=1)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    core = world.host_by_name[leader].core
    assert core is not None and core.pool is not None
    set_evacuated = WorkerPool.set_evacuated
    raised: list[float] = []

    def fail_once(pool: WorkerPool, now: float, evacuated: bool) -> None:
        if not raised:
            raised.append(now)
            raise InjectedError("set_evacuated")
        set_evacuated(pool, now, evacuated)

    monkeypatch.setattr(WorkerPool, "set_evacuated", fail_once)
    with pytest.raises(InjectedError):
        core.set_evacuations(world.now, revision=5, domains=["d0"])
    core.set_evacuations(world.now, revision=5, domains=["d0"])
    assert core.pool.evacuated
    assert core.evacuations.domains == ("d0",)
