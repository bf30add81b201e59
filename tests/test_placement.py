"""Placement on workers: capacity, gangs, racks, learned sizes, preemption."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.policy import TaskSize, UpstreamEntry, UpstreamRole, UsageEntry, UsageReported
from eelgrassyard.policy._placement import WorkerPlacement
from eelgrassyard.policy._preemption import CHECKPOINT_S, BackgroundTask, Preemption

FIXED = settings(derandomize=True, deadline=None, max_examples=80)


def make_worker(number: int, **sizes) -> UpstreamEntry:
    sizes = {"cores": 8.0, "memory_mb": 8192, **sizes}
    return UpstreamEntry(
        name=f"w{number}",
        role=UpstreamRole.WORKER,
        url="",
        failure_domain="a",
        rack=f"r{number % 3}",
        **sizes,
    )


def make_placement(count: int = 6, **sizes) -> tuple[WorkerPlacement, set[str]]:
    placement = WorkerPlacement()
    workers = [make_worker(i, **sizes) for i in range(count)]
    placement.set_workers(workers)
    return placement, {worker.name for worker in workers}


def make_sizes(count: int, **sizes) -> list[TaskSize]:
    return [TaskSize(index=i, **sizes) for i in range(count)]


task_sizes = st.builds(
    TaskSize,
    index=st.just(0),
    cores=st.sampled_from((0.1, 0.5, 1.0, 3.0, 7.5, 8.0)),
    memory_mb=st.sampled_from((0, 100, 256, 3000, 8192)),
    accelerators=st.sampled_from((0, 0, 0, 1, 2)),
)

steps = st.lists(
    st.tuples(
        st.sampled_from(("place", "place", "place", "some", "release", "release_all")),
        st.lists(task_sizes, min_size=1, max_size=8),
        st.booleans(),
        st.integers(0, 1000),
    ),
    max_size=25,
)


class Ledger:
    """Expected usage of each worker after the calls made so far."""

    def __init__(self, workers: list[UpstreamEntry]) -> None:
        self.worker_by_name = {worker.name: worker for worker in workers}
        self.held: list[tuple[str, TaskSize]] = []

    def check(self, placement: WorkerPlacement) -> None:
        for name, worker in self.worker_by_name.items():
            sizes = [size for held, size in self.held if held == name]
            cores = sum(size.cores for size in sizes)
            memory_mb = sum(size.memory_mb for size in sizes)
            accelerators = sum(size.accelerators for size in sizes)
            assert cores <= worker.cores + 1e-6
            assert memory_mb <= worker.memory_mb + 1e-6
            assert accelerators <= worker.accelerators
            free = placement.free(name)
            assert free.cores == pytest.approx(worker.cores - cores, abs=1e-6)
            assert free.memory_mb == pytest.approx(worker.memory_mb - memory_mb, abs=1e-6)
            assert free.accelerators == worker.accelerators - accelerators


@FIXED
@given(steps=steps)
def test_nothing_is_placed_beyond_capacity_and_nothing_is_lost(steps):
    """Guards against overcommitted workers, leaked capacity and partly placed gangs."""
    workers = [make_worker(i, accelerators=2 * (i % 2)) for i in range(5)]
    placement = WorkerPlacement()
    placement.set_workers(workers)
    ledger = Ledger(workers)
    usable = {worker.name for worker in workers[:4]}
    for what, sizes, spread, number in steps:
        if what in ("place", "some"):
            call = placement.place if what == "place" else placement.place_some
            names = call("k", sizes, usable=usable, spread_racks=spread)
            if names is not None:
                assert what == "some" or len(names) == len(sizes)
                assert usable.issuperset(names)
                ledger.held.extend(zip(names, sizes, strict=False))
        elif ledger.held:
            count = len(ledger.held) if what == "release_all" else 1
            for _ in range(count):
                name, size = ledger.held.pop(number % len(ledger.held))
                placement.release(name, "k", size)
        ledger.check(placement)


@FIXED
@given(size=task_sizes, busy=st.lists(task_sizes, max_size=20))
def test_a_task_is_placed_whenever_it_fits_on_a_worker(size, busy):
    """Guards against an index that misses a worker with enough free capacity."""
    workers = [make_worker(i, accelerators=2 * (i % 2)) for i in range(5)]
    placement = WorkerPlacement()
    placement.set_workers(workers)
    usable = {worker.name for worker in workers}
    for other in busy:
        placement.place("k", [other], usable=usable)
    capacities = [placement.free(name) for name in usable]
    fits = any(
        capacity.cores + 1e-6 >= size.cores
        and capacity.memory_mb + 1e-6 >= size.memory_mb
        and capacity.accelerators >= size.accelerators
        for capacity in capacities
    )
    assert (placement.place("k", [size], usable=usable) is not None) == fits


def test_gang_that_does_not_fit_holds_nothing():
    """Guards against a deadlock of two gangs that each hold what the other one needs."""
    placement, usable = make_placement(6)
    before = placement.dump()
    assert placement.place("k", make_sizes(49), usable=usable) is None
    assert placement.dump() == before
    assert placement.place("k", make_sizes(48), usable=usable) is not None


def test_spread_tasks_are_even_over_racks_and_packed_ones_are_not():
    """Guards against jobs that lose all their tasks with one rack despite ``spread_racks``."""
    placement, usable = make_placement(6)
    spread = placement.place("k", make_sizes(6), usable=usable, spread_racks=True)
    assert Counter(int(name[1:]) % 3 for name in spread) == {0: 2, 1: 2, 2: 2}
    placement, usable = make_placement(6)
    packed = placement.place("k", make_sizes(16), usable=usable)
    assert len({int(name[1:]) % 3 for name in packed}) == 1


def test_unusable_and_avoided_workers_get_nothing_and_come_back():
    """Guards against work for an ejected worker, and against a worker that is never used again."""
    placement, usable = make_placement(2)
    assert placement.place("k", make_sizes(8), usable={"w1"}) == ["w1"] * 8
    assert placement.place("k", make_sizes(1), usable={"w1"}) is None
    assert placement.place("k", make_sizes(1), usable=usable, avoid=("w0",)) is None
    assert placement.place("k", make_sizes(1), usable=usable) == ["w0"]


@pytest.mark.parametrize(
    ("sizes", "gang", "words"),
    [
        (make_sizes(1, cores=9.0), False, "9 cores"),
        (make_sizes(1, memory_mb=9000), False, "9000 MB"),
        (make_sizes(1, accelerators=1), False, "1 accelerators"),
        (make_sizes(49), True, "49 cores at once"),
        (make_sizes(7, cores=5.0), True, "do not fit"),
        (make_sizes(6, cores=5.0), True, None),
        (make_sizes(49), False, None),
    ],
)
def test_work_that_can_never_run_is_refused_with_a_reason(sizes, gang, words):
    """Guards against infeasible work that waits until its deadline, and against wrong refusals."""
    placement, _ = make_placement(6)
    reason = placement.infeasible_reason("k", sizes, gang=gang)
    assert (reason is None) == (words is None)
    assert words is None or words in reason


def test_reserved_size_follows_the_measured_use():
    """Guards against workers overcommitted by a kind that declares too little."""
    placement, usable = make_placement(1)
    size = TaskSize(index=0, cores=1.0, memory_mb=100)
    for _ in range(4):
        placement.add_running("w0", "k", size)
    for i in range(20):
        entries = tuple(
            UsageEntry(task=f"s/{n}", kind="k", cores=2.0, memory_mb=300) for n in range(4)
        )
        placement.record_usage(float(i), UsageReported(upstream="w0", tasks=entries))
    free = placement.free("w0")
    assert free.cores == pytest.approx(0.0, abs=0.3)
    assert free.memory_mb == pytest.approx(8192 - 1200, abs=60)
    assert placement.place("k", [size], usable=usable) is None
    for _ in range(4):
        placement.release("w0", "k", size)
    assert placement.free("w0").cores == pytest.approx(8.0)


def test_declared_size_is_never_lowered():
    """Guards against a reservation below what the caller declared."""
    placement, usable = make_placement(1)
    size = TaskSize(index=0, cores=4.0)
    names = placement.place("k", [size, size], usable=usable)
    entries = (UsageEntry(task="s/0", kind="k", cores=0.1, memory_mb=1),)
    placement.record_usage(0.0, UsageReported(upstream=names[0], tasks=entries))
    assert placement.place("k", [size], usable=usable) is None


def test_a_task_with_a_learned_size_above_every_worker_still_runs():
    """Guards against a kind that cannot run at all after one extreme usage report."""
    placement, usable = make_placement(1)
    size = TaskSize(index=0, cores=4.0)
    placement.add_running("w0", "k", size)
    for i in range(10):
        entries = (UsageEntry(task="s/0", kind="k", cores=100.0, memory_mb=256),)
        placement.record_usage(float(i), UsageReported(upstream="w0", tasks=entries))
    placement.release("w0", "k", size)
    assert placement.place("k", [size], usable=usable) == ["w0"]


def test_usage_is_kept_when_the_set_of_workers_is_replaced():
    """Guards against workers overcommitted after a change of configuration."""
    placement, usable = make_placement(1)
    placement.place("k", make_sizes(6), usable=usable)
    placement.set_workers([make_worker(0), make_worker(1)])
    assert placement.free("w0").cores == pytest.approx(2.0)
    assert placement.place("k", make_sizes(11), usable={"w0", "w1"}) is None


def test_a_reservation_keeps_small_tasks_off_until_the_gang_fits():
    """Guards against a gang that starves because smaller tasks take all freed capacity."""
    placement, usable = make_placement(3)
    running = placement.place("small", make_sizes(24), usable=usable)
    gang = make_sizes(16)
    placement.reserve("gang", gang, usable=usable)
    for name in running:
        placement.release(name, "small", TaskSize(index=0))
        placement.place("small", make_sizes(1), usable=usable)
        if placement.place("gang", gang, usable=usable, reservation=True) is not None:
            break
    else:
        pytest.fail("the gang was not placed although every running task had ended")
    assert placement.dump()["reserved"] == []
    assert sum(placement.free(name).cores for name in usable) >= 0.0


def fill_with_background(size: TaskSize) -> tuple[WorkerPlacement, Preemption, set[str]]:
    placement, usable = make_placement(2)
    preemption = Preemption(placement=placement)
    number = 0
    while (names := placement.place("back", [size], usable=usable)) is not None:
        task = TaskSize(index=number, cores=size.cores, memory_mb=size.memory_mb)
        preemption.add(
            BackgroundTask(owner="h", submission_id="s", worker=names[0], kind="back", size=task)
        )
        number += 1
    return placement, preemption, usable


def test_urgent_task_throttles_background_first():
    """Guards against checkpointing where throttling frees enough."""
    placement, preemption, usable = fill_with_background(TaskSize(index=0, memory_mb=100))
    urgent = TaskSize(index=0, cores=2.0, memory_mb=1000)
    assert placement.place("urgent", [urgent], usable=usable) is None
    steps = preemption.preempt(10.0, "urgent", urgent, usable=usable)
    assert {step.control for step in steps} == {"throttle"}
    assert placement.place("urgent", [urgent], usable=usable) is not None


def test_urgent_task_checkpoints_background_that_holds_the_memory():
    """Guards against throttling where memory is short, which only checkpointing frees."""
    placement, preemption, usable = fill_with_background(TaskSize(index=0, memory_mb=1024))
    urgent = TaskSize(index=0, cores=1.0, memory_mb=2000)
    steps = preemption.preempt(10.0, "urgent", urgent, usable=usable)
    assert [step.control for step in steps] == ["checkpoint"] * 2
    assert placement.place("urgent", [urgent], usable=usable) is None
    assert preemption.preempt(10.1, "urgent", urgent, usable=usable) == ()
    assert preemption.advance(10.0 + CHECKPOINT_S)
    assert placement.place("urgent", [urgent], usable=usable) is not None


def test_paused_tasks_are_resumed_when_capacity_is_free_and_nothing_leaks():
    """Guards against paused tasks that are never resumed and capacity that is freed twice."""
    placement, preemption, usable = fill_with_background(TaskSize(index=0, memory_mb=1024))
    urgent = TaskSize(index=0, cores=1.0, memory_mb=2000)
    preemption.preempt(10.0, "urgent", urgent, usable=usable)
    preemption.advance(11.0)
    (name,) = placement.place("urgent", [urgent], usable=usable)
    assert preemption.resume(20.0, usable=usable) == ()
    placement.release(name, "urgent", urgent)
    resumed = preemption.resume(20.0, usable=usable)
    assert [step.control for step in resumed] == ["resume"] * 2
    assert preemption.paused == 0
    for index in range(16):
        assert preemption.remove("s", index)
    assert all(placement.free(n).cores == pytest.approx(8.0) for n in usable)
    assert all(placement.free(n).memory_mb == pytest.approx(8192) for n in usable)
