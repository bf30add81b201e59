"""Scheduling of guarded workers: lost owners, gangs, wait estimates, state and preemption."""

import dataclasses
import json

import pytest
from bench.pool_site import DOMAINS, POOL, FixedMembership
from bench.virtual import EPOCH, VirtualSite

from eelgrassyard.policy import (
    CallerEntry,
    ControlTask,
    HeldPlace,
    HostEntry,
    KindEntry,
    OutcomeKind,
    Reason,
    RenewLeases,
    SlotHeld,
    SlotRelease,
    StartResult,
    SubmissionBody,
    TaskControl,
    TaskSize,
    TaskSpec,
    TeamEntry,
    Urgency,
)
from eelgrassyard.policy._pool_scheduler import HANDOVER_GRACE_S, MAINTAIN_INTERVAL_S
from eelgrassyard.policy._preemption import MIN_PAUSE_S
from test_scheduler import HOSTS, KIND, REBUILD_GRACE_S, Site, make_ask, make_workers_config

WORKERS = "workers"


class LossyMembership(FixedMembership):
    """Hosts that may be unreachable without being declared dead."""

    def __init__(self, hosts) -> None:
        super().__init__(hosts)
        self.lost: set[str] = set()

    def is_alive(self, host, incarnation=None) -> bool:
        return host not in self.lost and super().is_alive(host, incarnation)


class LossySite(Site):
    """A site whose owners can become unreachable."""

    def __init__(self, **fields) -> None:
        super().__init__(**fields)
        lossy = LossyMembership(self.membership.hosts)
        self.membership = lossy
        self.scheduler._membership = lossy
        self.scheduler._context.membership = lossy

    @property
    def lease_s(self) -> float:
        return self.config.limits.lease_s


@pytest.mark.parametrize("pool", [POOL, WORKERS])
def test_slots_of_a_lost_owner_are_freed_after_a_lease(pool):
    """Guards against a failed owner keeping slots until the deadline of its submissions."""
    config = make_workers_config(workers=1) if pool == WORKERS else None
    site = LossySite(runners=1, slots=8, config=config)
    site.deliver(make_ask("a", 8, pool=pool, deadline_s=3600.0))
    site.wait(REBUILD_GRACE_S * 2)
    assert len(site.grants) == 8
    site.grants.clear()
    site.membership.lost.add("host-1")
    site.deliver(make_ask("b", pool=pool, deadline_s=3600.0), sender="host-2")
    site.wait(site.lease_s - 0.5)
    assert not site.grants
    site.wait(1.0)
    assert [g[0] for g in site.grants.values()] == ["host-2"]


def test_owner_that_returns_within_a_lease_keeps_its_slots():
    """Guards against short absences adding up to a lease, which would overcommit the worker."""
    site = LossySite(config=make_workers_config(workers=1))
    site.deliver(make_ask("a", 8, pool=WORKERS, deadline_s=3600.0))
    site.wait(REBUILD_GRACE_S * 2)
    for _ in range(5):
        site.membership.lost.add("host-1")
        site.wait(0.6 * site.lease_s)
        site.membership.lost.clear()
        site.wait(1.0)
    assert len(site.scheduler.pools_by_name[WORKERS].granting.grants) == 8


def test_owner_that_returns_after_a_lease_reports_its_slots_again():
    """Guards against slots that a returned owner uses but that count as free."""
    site = LossySite(config=make_workers_config(workers=1))
    site.deliver(make_ask("a", 1, pool=WORKERS, deadline_s=3600.0))
    site.wait(REBUILD_GRACE_S * 2)
    ((number, (_, _, index, upstream)),) = site.grants.items()
    site.membership.lost.add("host-1")
    site.wait(site.lease_s + 1.0)
    grants = site.scheduler.pools_by_name[WORKERS].granting.grants
    assert not len(grants)
    site.membership.lost.clear()
    place = HeldPlace(
        grant=number,
        submission_id="a",
        caller="caller",
        team="team",
        kind=make_ask("a").kind,
        size=TaskSize(index=index),
        upstream=upstream,
        running_s=site.lease_s,
    )
    site.deliver(SlotHeld(pool=WORKERS, places=(place,)))
    assert number in grants.by_number


@pytest.mark.parametrize(("pool", "places"), [(POOL, 4), (WORKERS, 16)])
def test_wait_is_estimated_from_the_first_task_on(pool, places):
    """Guards against work accepted in the first half second that cannot meet its deadline."""
    config = make_workers_config(workers=2) if pool == WORKERS else None
    site = LossySite(runners=2, slots=2, config=config)
    cost_s = site.config.kinds_by_name[KIND].typical_s
    site.deliver(make_ask("a", 100 + places, pool=pool, deadline_s=1000.0))
    site.wait(REBUILD_GRACE_S + 0.01)
    assert len(site.grants) == places
    queue = site.scheduler.pools_by_name[pool].granting.queue
    wait_s = queue.expected_wait(site.now, ("caller", KIND))
    assert wait_s == pytest.approx(101 * cost_s / places, rel=0.1)
    site.deliver(make_ask("b", pool=pool, deadline_s=0.5 * wait_s))
    assert [(r.submission_id, r.reason) for _, r in site.refusals] == [("b", Reason.DEADLINE)]


def test_wait_grows_when_an_upstream_goes_out_of_use():
    """Guards against estimates that count the slots of upstreams that get no work."""
    site = LossySite(runners=2, slots=2)
    site.open()
    site.deliver(make_ask("a", 100, deadline_s=1000.0))
    before = site.pool.granting.queue.expected_wait(site.now, ("caller", KIND))
    site.membership.cut_off.add(site.pool.table.by_name["runner-0"].entry.failure_domain)
    site.wait(0.2)
    after = site.pool.granting.queue.expected_wait(site.now, ("caller", KIND))
    assert 0.0 < before < after


SCREEN = 80 * 50
"""Characters on one terminal screen."""


def test_state_shows_the_queue_and_the_free_capacity_of_workers():
    """Guards against a state dump that hides why a job waits, or is longer than a screen."""
    site = LossySite(config=make_workers_config(workers=6))
    third = tuple(TaskSize(index=i, cores=1 / 3) for i in range(7))
    site.deliver(dataclasses.replace(make_ask("a", pool=WORKERS), tasks=third))
    site.wait(REBUILD_GRACE_S * 2)
    site.deliver(make_ask("b", 60, pool=WORKERS))
    state = site.scheduler.dump()[WORKERS]
    used = 48 - sum(worker["cores"] for worker in state["placement"]["workers"].values())
    assert used == pytest.approx(47.333, abs=0.01)
    waiting = state["queued"]
    assert waiting == 60 - 45
    assert state["queue"]["flows"] == {f"caller/{KIND}": waiting}
    assert state["queue"]["kinds"][KIND]["queued"] == waiting
    assert len(json.dumps(state)) < SCREEN


def test_state_of_runners_has_no_placement():
    """Guards against a state dump of a pool of runners that has a section on workers."""
    site = Site()
    site.open()
    state = site.scheduler.dump()[POOL]
    assert "placement" not in state
    assert state["queue"]["flows"] == {}


def fill_with_small_tasks(site: Site) -> None:
    site.deliver(make_ask("small", 8, pool=WORKERS, deadline_s=3600.0))
    site.wait(REBUILD_GRACE_S * 2)
    assert len(site.grants) == 8


def reserved(site: Site) -> list[str]:
    return site.scheduler.dump()[WORKERS]["placement"]["reserved"]


def test_workers_are_reserved_for_a_gang_after_the_reservation_delay():
    """Guards against workers left idle for a gang that has only just arrived."""
    site = LossySite(config=make_workers_config(workers=1))
    fill_with_small_tasks(site)
    site.deliver(make_ask("gang", 4, pool=WORKERS, gang=True, caller="other", deadline_s=3600.0))
    site.wait(4.5)
    assert reserved(site) == []
    site.wait(1.0)
    assert reserved(site) == ["worker-0"]


def test_reservation_ends_when_another_host_schedules():
    """Guards against a permanent reservation for a gang that another scheduler has placed."""
    site = LossySite(config=make_workers_config(workers=1))
    fill_with_small_tasks(site)
    site.deliver(make_ask("gang", 4, pool=WORKERS, gang=True, caller="other", deadline_s=3600.0))
    site.wait(6.0)
    assert reserved(site) == ["worker-0"]
    site.membership.scheduler = "host-1"
    site.wait(HANDOVER_GRACE_S + 1.0)
    assert reserved(site) == []


def make_quota_site(starts_per_s: float) -> LossySite:
    config = make_workers_config(workers=2)
    team = TeamEntry(name="team", starts_per_s=starts_per_s)
    return LossySite(config=dataclasses.replace(config, teams_by_name={"team": team}))


def test_gang_above_the_burst_of_its_team_starts_and_is_charged():
    """Guards against a gang larger than a second's quota that never starts."""
    share = 6.0  # The configuration lists no other hosts to divide the quota with.
    site = make_quota_site(share)
    site.deliver(make_ask("gang", 12, pool=WORKERS, gang=True, deadline_s=3600.0))
    site.wait(REBUILD_GRACE_S * 2)
    assert {g[2] for g in site.grants.values()} == set(range(12))
    site.grants.clear()
    site.deliver(make_ask("next", pool=WORKERS, deadline_s=3600.0))
    site.wait((12 - share) / share - 0.5)
    assert not site.grants
    site.wait(1.0)
    assert [g[1].submission_id for g in site.grants.values()] == ["next"]


def test_gang_that_waits_for_quota_does_not_keep_the_scheduler_busy():
    """Guards against a wake-up every millisecond until the token bucket of the team is full."""
    site = make_quota_site(6.0)
    site.deliver(make_ask("gang", 12, pool=WORKERS, gang=True, deadline_s=3600.0))
    site.wait(REBUILD_GRACE_S * 2)
    site.deliver(make_ask("second", 4, pool=WORKERS, gang=True, deadline_s=3600.0))
    ticks = 0
    tick = site.tick

    def counted(events=()):
        nonlocal ticks
        ticks += 1
        return tick(events)

    site.tick = counted
    site.wait(10.0)
    assert {g[1].submission_id for g in site.grants.values()} == {"gang", "second"}
    assert ticks <= 2 * 10.0 / MAINTAIN_INTERVAL_S


def throttle_for_urgent_task(site: Site) -> set[tuple[str, int]]:
    """Fill the worker with background tasks, submit an urgent one; returns the paused tasks."""
    back = make_ask("back", 8, pool=WORKERS, urgency=Urgency.BACKGROUND, deadline_s=3600.0)
    site.deliver(back, sender="host-2")
    site.wait(REBUILD_GRACE_S * 2)
    sent = site.deliver(make_ask("urgent", pool=WORKERS, urgency=Urgency.URGENT))
    return {(m.submission_id, m.index) for m in sent if isinstance(m, TaskControl)}


def release_urgent(site: Site) -> None:
    number = next(n for n, g in site.grants.items() if g[1].submission_id == "urgent")
    _, release = site.release(number)
    site.deliver(SlotRelease(pool=WORKERS, releases=release.releases))


def resumed(site: Site) -> set[tuple[str, int]]:
    controls = [s.message for s in site.sent if isinstance(s.message, TaskControl)]
    return {(m.submission_id, m.index) for m in controls if m.control == "resume"}


def test_paused_task_resumes_without_any_other_event():
    """Guards against tasks left paused after an urgent task shorter than ``MIN_PAUSE_S``."""
    site = LossySite(config=make_workers_config(workers=1))
    paused = throttle_for_urgent_task(site)
    assert paused
    site.wait(0.3)
    release_urgent(site)
    site.wait(2.0 * MIN_PAUSE_S)
    assert resumed(site) == paused


def test_large_task_that_waits_does_not_keep_tasks_paused():
    """Guards against a task that needs the whole worker deadlocking with paused tasks on it."""
    site = LossySite(config=make_workers_config(workers=1))
    paused = throttle_for_urgent_task(site)
    assert paused
    large = (TaskSize(index=0, cores=8.0),)
    site.deliver(dataclasses.replace(make_ask("large", pool=WORKERS), tasks=large))
    site.wait(2.0 * MIN_PAUSE_S)
    release_urgent(site)
    site.wait(1.0)
    assert resumed(site) == paused


class PausingSite(VirtualSite):
    """A virtual site whose workers free cores while a task is paused."""

    def __init__(self, **fields) -> None:
        super().__init__(**fields)
        self.controls: list[tuple[float, str]] = []
        self._given_up: dict[tuple[str, int], float] = {}

    def _stop_task(self, host, action: ControlTask) -> None:
        self.controls.append((self.now, action.control))
        upstream = self.upstream_by_name[action.upstream]
        key = (host.entry.name, action.start)
        upstream.used += self._given_up.pop(key, 0.0)
        if action.control != "resume":
            part = 0.9 if action.control == "throttle" else 1.0
            held = upstream.running_by_start[host.entry.name, host.generation, action.start]
            self._given_up[key] = part * held
            upstream.used -= part * held


@pytest.mark.parametrize(("memory_mb", "control"), [(256, "throttle"), (1024, "checkpoint")])
def test_cores_pause_background_tasks_under_their_lease(memory_mb, control):
    """Guards against a paused task that loses its lease, is reported lost or starts twice."""
    config = dataclasses.replace(
        make_workers_config(workers=1),
        failure_domains=DOMAINS[:1],
        hosts_by_name={
            name: HostEntry(name=name, address="127.0.0.1", port=port, failure_domain=DOMAINS[0])
            for port, name in enumerate(HOSTS, start=1)
        },
        kinds_by_name={
            "back": KindEntry(name="back", longest_s=100.0),
            "quick": KindEntry(name="quick"),
        },
        callers_by_name={"caller": CallerEntry(name="caller", team="team")},
    )
    run_s = {"back": 60.0, "quick": 30.0}
    site = PausingSite(
        config=config, seed=5, run_time=lambda action, _: (run_s[action.kind], StartResult.OK)
    )
    outcomes = {}

    def submit(host: str, kind: str, tasks: int, urgency: Urgency) -> None:
        spec = TaskSpec(payload=b"1", cores=8.0 / 4, memory_mb=memory_mb)
        body = SubmissionBody(kind=kind, tasks=(spec,) * tasks, urgency=urgency, deadline_s=200.0)

        def keep(_: str, reply) -> None:
            if getattr(reply, "outcome", None) is not None:
                outcomes[kind] = (site.now, reply.outcome.kind)

        site.submit(host, "caller", body, keep, wait_s=300.0)

    site.start_all()
    site.run_until(EPOCH + 3.0)
    submit(HOSTS[0], "back", 4, Urgency.BACKGROUND)
    site.run_until(EPOCH + 10.0)
    submit(HOSTS[1], "quick", 1, Urgency.URGENT)
    site.run_until(EPOCH + 120.0)
    assert {c for _, c in site.controls} == {control, "resume"}
    paused_at = min(t for t, _ in site.controls)
    resumed_at = max(t for t, _ in site.controls)
    assert resumed_at - paused_at > 2 * config.limits.lease_s
    assert outcomes["quick"][0] < EPOCH + 10.0 + run_s["quick"] + 2.0
    assert {kind: outcome for kind, (_, outcome) in outcomes.items()} == {
        "back": OutcomeKind.COMPLETE,
        "quick": OutcomeKind.COMPLETE,
    }
    assert set(site.starts_by_task.values()) == {1}
    renewals = [
        (when, action.tasks)
        for when, _, action in site.unhandled_actions
        if isinstance(action, RenewLeases) and paused_at < when < resumed_at
    ]
    whole = [when for when, tasks in renewals if len(tasks) == 4]
    assert len(whole) >= (resumed_at - paused_at) / config.limits.lease_s
