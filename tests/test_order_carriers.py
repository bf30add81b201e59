"""Starts that the host of a job's caller sends for a leader whose link is thin."""

from __future__ import annotations

import dataclasses
import math

import msgspec
import pytest

from dispatch_world import World
from eelgrassyard.dispatch._actions import (
    Answered,
    CallFailure,
    Refusal,
    Reply,
    StartRun,
    StopRun,
)
from eelgrassyard.dispatch._host import DispatchHost
from eelgrassyard.dispatch._jobs import Outcome, TaskId
from eelgrassyard.dispatch._links import SendLink
from eelgrassyard.dispatch._messages import CarryStart, Ping, StartCarried
from eelgrassyard.dispatch._order_carriers import (
    BURST_S,
    CARRIER_PAUSE_S,
    DIRECT_SHARE,
    START_BYTES,
)
from eelgrassyard.dispatch._worker_pool import WorkerPool
from eelgrassyard.dispatch._workers import WorkerState
from test_dispatch_pool import JOB_ID, PoolDriver, job, record

THIN_BYTES_PER_S = 1.0
"""Link over which the leader sends no start itself if another host can."""


def thin_pool(*workers: str) -> PoolDriver:
    """A pool on a thin link whose requester ``r`` can carry starts."""
    driver = PoolDriver(*(record(name) for name in workers))
    driver.pool = WorkerPool(
        domain="d0",
        epoch=5,
        now=0.0,
        stop_s=0.05,
        far_factor=1.5,
        link_bytes_per_s=THIN_BYTES_PER_S,
    )
    driver.pool.set_workers(0.0, driver.records, read_at=0.0)
    for name in workers:
        driver.report(0.0, name)
    driver.pool.actions.clear()
    driver.pool.carriers.add("r")
    return driver


def carried(driver: PoolDriver) -> list[CarryStart]:
    """Starts that the requester was asked to carry since the last call."""
    return [r.message for r in driver.take(Reply) if isinstance(r.message, CarryStart)]


def answer(driver: PoolDriver, now: float, order: CarryStart, result: object) -> None:
    """Report the result of a carried start to the pool."""
    task = TaskId(order.job_id, order.step, order.index)
    driver.pool.start_answered(now, order.worker_id, task, order.run, result)


def test_the_leader_sends_starts_itself_up_to_a_share_of_its_link() -> None:
    """Guards against starts that queue on the leader's link, until pongs and answers come too late
    and live workers and leaders count as silent (bagmati-ruling-grown, links of 2 Mbit/s)."""
    link = 140_000.0
    world = World(seed=3, domains=1, hosts=3, workers=6, link_bytes_per_s=link)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    others = sorted(set(world.host_by_name) - {leader})
    seconds = 3.0
    for number in range(int(40 * seconds)):
        at = number / 40
        world.at(at, lambda n=number: world.submit(others[n % 2], tasks=4, work_s=0.05))
    world.run(seconds + 2.0)
    assert [caller.answers for caller in world.callers] == [[Outcome.COMPLETE]] * 120
    budget = DIRECT_SHARE * link * (seconds + BURST_S) / START_BYTES
    assert 0 < world.starts_by_host[leader] <= budget
    assert min(world.starts_by_host[name] for name in others) > 0


@pytest.mark.parametrize("link_bytes_per_s", [math.inf, 7_750_000.0])
def test_on_a_wide_link_the_leader_sends_all_starts(link_bytes_per_s: float) -> None:
    """Guards against connections from all hosts to all workers where the leader's link does not
    bind; each new connection is charged."""
    world = World(seed=3, domains=1, hosts=3, link_bytes_per_s=link_bytes_per_s)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    for number in range(40):
        world.at(number / 40, lambda n=number: world.submit(f"d0-h{n % 3}", tasks=4, work_s=0.05))
    world.run(2.0)
    assert set(world.starts_by_host) == {leader}


def test_a_carrier_that_reaches_no_worker_delays_its_jobs_once() -> None:
    """Guards against live workers that count as silent, and jobs that fail, because the host that
    carries the starts is cut off from the workers while the leader is not."""
    world = World(seed=4, domains=1, hosts=2, link_bytes_per_s=THIN_BYTES_PER_S)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    (entry,) = set(world.host_by_name) - {leader}
    world.cut_paths |= {frozenset((entry, worker)) for worker in world.worker_by_id}
    for number in range(8):
        world.at(number * 0.2, lambda: world.submit(entry, tasks=1, work_s=0.5))
    world.run(4.0)
    assert [caller.answers for caller in world.callers] == [[Outcome.COMPLETE]] * 8
    core = world.host_by_name[leader].core
    assert core is not None and core.pool is not None
    assert "workers_silent" not in core.pool.counts
    assert core.pool.counts["starts_carried"] <= 3
    assert world.violations == []


def test_a_carried_start_without_a_report_is_stopped_before_its_task_starts_again() -> None:
    """Guards against a task that waits forever, or runs twice, when the request to carry its start
    is lost with a session."""
    driver = thin_pool("w0", "w1")
    driver.submit(0.0, job(estimate_s=0.4))
    (order,) = carried(driver)
    assert driver.take(StartRun) == []
    driver.pool.advance(0.1)
    assert driver.take(StopRun) == []
    driver.pool.advance(0.25)
    (stop,) = driver.take(StopRun)
    assert (stop.worker_id, stop.run) == (order.worker_id, order.run)
    assert driver.take(StartRun) == [] and carried(driver) == []
    driver.pool.stop_answered(0.25, stop.worker_id, stop.task, stop.run, Answered(clock_s=100.25))
    driver.pool.advance(0.34)
    (again,) = driver.take(StartRun)
    assert again.worker_id != order.worker_id and again.run > order.run
    answer(driver, 0.35, order, Answered())
    assert driver.pool.task_of_run(order.worker_id, again.task, order.run) is None


@pytest.mark.parametrize("failure", list(CallFailure))
def test_a_failed_carried_start_says_nothing_about_the_worker(failure: CallFailure) -> None:
    """Guards against a worker that counts as silent because one host cannot reach it."""
    driver = thin_pool("w0")
    for number in range(4):
        driver.submit(0.0, msgspec.structs.replace(job(), id=f"{JOB_ID[:-1]}{number}"))
    orders = carried(driver)
    assert orders
    for order in orders:
        answer(driver, 0.05, order, failure)
    assert driver.pool.worker_by_id["w0"].state is WorkerState.READY
    assert len(driver.take(StopRun)) == len(orders)


def test_a_start_that_was_not_sent_counts_as_no_run() -> None:
    """Guards against 502 for a job of which nothing ran, and against asking the same host again at
    once."""
    driver = thin_pool("w0")
    driver.submit(0.0, job())
    (order,) = carried(driver)
    answer(driver, 0.01, order, Answered(refusal=Refusal.NOT_SENT))
    (direct,) = driver.take(StartRun)
    assert direct.run > order.run
    driver.answer(0.02, direct, Refusal.NO_ROOM)
    driver.pool.advance(1.4)
    assert driver.outcomes() == [Outcome.NOT_RUN]
    driver.submit(CARRIER_PAUSE_S + 0.5, msgspec.structs.replace(job(), id=JOB_ID[::-1]))
    assert len(carried(driver)) == 1


def test_a_requester_that_cannot_carry_gets_no_request_to() -> None:
    """Guards against messages that a host of an earlier release cannot decode: it would close its
    session at each one."""
    driver = thin_pool("w0")
    driver.pool.carriers.remove("r")
    driver.submit(0.0, job())
    assert carried(driver) == []
    assert len(driver.take(StartRun)) == 1
    earlier = msgspec.msgpack.encode(["Ping", 7, 3, 0, True, 0])
    assert msgspec.msgpack.decode(earlier, type=Ping).carries_starts is False


def entry_with_a_job() -> tuple[World, DispatchHost, CarryStart]:
    """A host with a caller's job at its leader, and a request to carry the start of its task."""
    world = World(seed=5, domains=1, hosts=2)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    (entry,) = set(world.host_by_name) - {leader}
    core = world.host_by_name[entry].core
    assert core is not None
    caller = world.submit(entry, tasks=1, work_s=1.0)
    request = CarryStart(
        job_id=caller.job.id,
        step=0,
        index=0,
        run=1,
        worker_id="d0-w0",
        deadline_s=1000.0,
        fence=core.leadership.epoch,
        timeout_s=0.1,
    )
    return world, core, request


def requested(world: World, core: DispatchHost, request: CarryStart) -> list[object]:
    """Starts sent and reports made by a host that gets a request to carry a start."""
    leader = core.leadership.leader
    assert leader is not None
    core.take_actions(world.now)
    core.link_received(world.now, leader.name, request)
    return [
        action.message if isinstance(action, SendLink) else action
        for action in core.take_actions(world.now)
        if isinstance(action, StartRun)
        or (isinstance(action, SendLink) and isinstance(action.message, StartCarried))
    ]


def test_a_carrier_adds_the_payload_and_reports_the_answer() -> None:
    """Guards against starts without their payload, or under another fence or deadline than the
    leader's."""
    world, core, request = entry_with_a_job()
    (start,) = requested(world, core, request)
    assert isinstance(start, StartRun)
    assert (start.payload, start.fence, start.deadline_s) == ("p", request.fence, 1000.0)
    core.start_answered(world.now, start, Answered(refusal=Refusal.OLD_RUN))
    (report,) = [a.message for a in core.take_actions(world.now) if isinstance(a, SendLink)]
    assert report == StartCarried(
        job_id=request.job_id,
        step=0,
        index=0,
        run=1,
        worker_id="d0-w0",
        fence=request.fence,
        refusal="old_run",
    )


@pytest.mark.parametrize("case", ["left", "evacuated", "outdated", "unknown worker"])
def test_a_carrier_sends_nothing_that_it_knows_must_not_start(case: str) -> None:
    """Guards against a start for a caller that has left, in a domain that is being evacuated, on
    behalf of a leader that has been replaced, or on a worker that this host cannot address."""
    world, core, request = entry_with_a_job()
    match case:
        case "left":
            world.disconnect(world.callers[0])
        case "evacuated":
            core.set_evacuations(world.now, revision=9, domains={"d0"})
        case "outdated":
            request = msgspec.structs.replace(request, fence=request.fence - 1)
        case "unknown worker":
            request = msgspec.structs.replace(request, worker_id="d0-w9")
    (report,) = requested(world, core, request)
    assert isinstance(report, StartCarried)
    assert report.refusal == Refusal.NOT_SENT


def test_a_report_of_a_later_release_is_taken_for_a_missing_answer() -> None:
    """Guards against an unexpected message that ends the process, and against a task that starts
    again although the report may mean that it runs."""
    world = World(seed=6, domains=1, hosts=2, link_bytes_per_s=THIN_BYTES_PER_S)
    world.run(2.0)
    (leader,) = world.leaders("d0")
    (entry,) = set(world.host_by_name) - {leader}
    core = world.host_by_name[leader].core
    assert core is not None and core.pool is not None
    world.submit(entry, tasks=1, work_s=0.5)
    while not any(event == "run_ordered" for _, _, event, _ in world.notes):
        world.run(0.0005)
    ((worker_id, task, run),) = [key for key in core.pool._task_by_run if key[1].step == 0]
    report = StartCarried(
        job_id=task.job,
        step=task.step,
        index=task.index,
        run=run,
        worker_id=worker_id,
        fence=core.pool.epoch,
        refusal="a reason of next year",
    )
    core.session_received(world.now, next(iter(core._session_by_id)), report)
    assert core.pool.stops.is_requested(worker_id, task, run)
    world.run(2.0)
    assert world.violations == []


def test_the_order_of_a_start_is_the_same_whoever_sends_it() -> None:
    """Guards against fields that a carried start would lack."""
    sent = {field.name for field in dataclasses.fields(StartRun)} - {"carried_for", "payload"}
    asked = set(CarryStart.__struct_fields__)
    assert sent - {"task"} | {"job_id", "step", "index"} == asked
