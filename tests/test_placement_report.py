"""The report on where a job would be placed, against what the pool then does with the job."""

from __future__ import annotations

import copy
import dataclasses
import json
from pathlib import Path

import anyio
import msgspec
import pytest

from eelgrassyard.dispatch._actions import Reply, SendPeerLeader, StartRun
from eelgrassyard.dispatch._jobs import Job, Outcome, Step
from eelgrassyard.dispatch._placement_report import Decision, PlacementReport
from eelgrassyard.dispatch._workers import Exclusion, WorkerState
from eelgrassyard.platform._tool import EXIT_DONE, EXIT_FAILED, EXIT_USAGE, main
from test_dispatch_pool import PoolDriver, job, record
from test_platform_host import JOB, Site, run_scenario

OTHER_ID = "00aa7a21d94b36f8"


def _report(driver: PoolDriver, now: float, what: Job) -> PlacementReport:
    return driver.pool.report_placement(now, what, caller_waits_s=1.5)


def _busy_pool(*, estimate_s: float) -> PoolDriver:
    """Two workers that run two tasks each, and a waiting task."""
    driver = PoolDriver(record("w0"), record("w1"))
    for number, tasks in enumerate((4, 1)):
        what = job(tasks=tasks, estimate_s=estimate_s)
        driver.submit(1.0, msgspec.structs.replace(what, id=f"{number:016x}", stretch=3.0))
        for order in driver.take(StartRun):
            driver.answer(1.0, order)
    return driver


def test_a_report_changes_nothing_in_the_pool() -> None:
    """Guards against a question that reserves room, restores an ejected worker, or logs."""
    driver = _busy_pool(estimate_s=0.2)
    for worker in driver.pool.worker_by_id.values():
        worker.ejected_until, worker.on_trial = 9.0, True
    driver.pool.peer_pool_updated(1.0, "d1", {"s": {0: (2000,)}})
    driver.pool.actions.clear()
    pool = driver.pool
    before = copy.deepcopy((pool.dump(), pool.worker_by_id, pool.peers, pool.counts))
    _report(driver, 1.05, job(tasks=3))
    assert (pool.dump(), pool.worker_by_id, pool.peers, pool.counts) == before
    assert pool.actions == []


def test_each_task_starts_where_the_report_says() -> None:
    """Guards against a report by other rules than those that place the job."""
    driver = PoolDriver(record("w0"), record("w1"), record("w2"), record("w3"))
    for number, slowness in enumerate((0.7, 1.0, 1.3, 9.0)):
        driver.pool.worker_by_id[f"w{number}"].slowness = slowness
    what = Job(
        id="5c0e7a21d94b36f8",
        kind="k",
        service="s",
        payload="",
        steps=(Step(count=5, cpu=900, estimate_s=0.2, max_per_worker=2),),
        stretch=2.0,
    )
    (step,) = _report(driver, 1.0, what).steps
    driver.submit(1.0, what)
    started = {order.task.index: order.worker_id for order in driver.take(StartRun)}
    assert len(started) == 5
    assert {task.index: task.worker for task in step.tasks if not task.starts_in_s} == started
    assert step.reason_by_worker == {"w3": Exclusion.TOO_SLOW}


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"state": WorkerState.SILENT}, Exclusion.NOT_READY),
        ({"ejected_until": 9.0}, Exclusion.EJECTED),
        ({"backoff_until": 9.0}, Exclusion.PAUSED),
        ({"reserved_cpu": 2000}, Exclusion.NO_ROOM),
        ({"record": record("w0", draining=True)}, Exclusion.DRAINING),
        ({"is_registered": False}, Exclusion.NOT_REGISTERED),
        ({"record": dataclasses.replace(record("w0"), life=2)}, Exclusion.OTHER_PROCESS),
    ],
)
def test_a_worker_that_gets_nothing_has_the_rule_named(
    change: dict[str, object], reason: Exclusion
) -> None:
    """Guards against a report that hides why a worker is passed over."""
    driver = PoolDriver(record("w0"), record("w1"))
    for name, value in change.items():
        setattr(driver.pool.worker_by_id["w0"], name, value)
    report = _report(driver, 1.0, job())
    assert report.decision is Decision.STARTS
    assert report.steps[0].reason_by_worker == {"w0": reason}


def test_a_job_that_waits_has_its_rank_and_the_start_after_the_runs_in_progress() -> None:
    """Guards against a predicted start that forgets the runs in progress or the queue."""
    driver = _busy_pool(estimate_s=0.2)
    what = msgspec.structs.replace(job(tasks=4, estimate_s=0.2), id=OTHER_ID, stretch=5.0)
    report = _report(driver, 1.1, what)
    assert (report.decision, report.rank, report.queue_length) == (Decision.WAITS, 2, 1)
    starts = [round(task.starts_in_s, 3) for task in report.steps[0].tasks]
    # The task ahead takes the first of the four places, and frees it a run later.
    assert starts == [0.1, 0.1, 0.1, 0.3]


def test_a_job_that_the_report_refuses_is_refused() -> None:
    """Guards against a refusal without its rule, or one that the pool does not make."""
    driver = _busy_pool(estimate_s=1.0)
    what = msgspec.structs.replace(job(estimate_s=0.1), id=OTHER_ID)
    report = _report(driver, 1.1, what)
    assert (report.decision, report.rule) == (Decision.REFUSED_LATER, "no free worker in time")
    driver.submit(1.1, what)
    driver.pool.advance(1.1 + report.start_by_s + 0.001)
    outcome_by_job = {reply.message.job_id: reply.message.outcome for reply in driver.take(Reply)}
    assert outcome_by_job[OTHER_ID] is Outcome.NOT_RUN
    too_large = _report(driver, 1.1, msgspec.structs.replace(job(cpu=9000), id=OTHER_ID))
    assert (too_large.decision, too_large.rule) == (Decision.REFUSED, "a task fits no worker")


def test_a_job_without_room_is_reported_as_offered_to_the_domain_that_gets_it() -> None:
    """Guards against alternatives in other domains that differ from what lending chooses."""
    driver = _busy_pool(estimate_s=0.2)
    driver.pool.actions.clear()
    room = {"d1": (1000,), "d2": (1000, 2000), "d3": (500,)}
    for domain, free in room.items():
        driver.pool.peers.update(1.0, domain, {"s": {0: free}}, {})
    what = msgspec.structs.replace(job(), id=OTHER_ID)
    report = _report(driver, 1.1, what)
    assert report.decision is Decision.LENT
    assert {o.domain: o.slots for o in report.other_domains} == {"d1": 1, "d2": 3, "d3": 0}
    offered = [o.domain for o in report.other_domains if o.is_offered]
    driver.submit(1.1, what)
    lent = [a.domain for a in driver.take(SendPeerLeader) if a.message.job.id == OTHER_ID]
    assert offered == lent == ["d2"]


def test_the_command_prints_the_decision_of_a_running_host(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards against a question that submits the job, or an exit code that hides a failure."""
    path = tmp_path / "job.json"
    path.write_text(json.dumps({**JOB, "best_effort": True}))
    codes: list[int] = []

    async def scenario(site: Site) -> None:
        address = site.settings.ready_address
        (kind,) = (k.name for k in site.host._caller_api.routes.kinds[:1])
        for options in ([f"--kind={kind}"], ["--kind=unknown"]):
            arguments = ["tool", "where", address, str(path), *options]
            codes.append(await anyio.to_thread.run_sync(main, arguments))
        assert site.worker.starts == []

    run_scenario(scenario)
    shown = capfd.readouterr()
    assert codes == [EXIT_DONE, EXIT_FAILED]
    assert "domain patan\nleader: front-1\ndecision: starts now\n" in shown.out
    assert "step 0 task 2: worker i-1, starts in 0.000 s" in shown.out
    assert "no such kind" in shown.err


def test_wrong_usage_of_the_command_is_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a traceback, or success, for arguments that make no sense."""
    assert main(["tool", "where", "127.0.0.1:1"]) == EXIT_USAGE
    assert main(["tool", "state", "127.0.0.1:1", "--kind=k"]) == EXIT_USAGE
    assert main(["tool", "where", "127.0.0.1:1", "/nonexistent"]) == EXIT_FAILED
    assert capsys.readouterr().err.count("\n") == 3
