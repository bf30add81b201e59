"""The pool scheduler: grants, refusals, takeover, and messages in any order."""

import itertools
import random

import pytest
from bench.pool_site import (
    DOMAINS,
    KINDS,
    POOL,
    FixedMembership,
    make_config,
    make_runners,
    make_scheduler,
)
from hypothesis import example, given, settings
from hypothesis import strategies as st

from eelgrassyard.policy import (
    HeldPlace,
    HostListRead,
    ListedUpstream,
    PeerReceived,
    Reason,
    Release,
    Scope,
    Send,
    SiteConfig,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRefusal,
    SlotRelease,
    SlotWithdraw,
    SpeedDigest,
    StartResult,
    TaskControl,
    TaskSize,
    UpstreamEntry,
    UpstreamRole,
    Urgency,
)
from eelgrassyard.policy._pool_names import parse_pool_name, pool_for, pool_name
from eelgrassyard.policy._pool_scheduler import HANDOVER_GRACE_S, REBUILD_GRACE_S
from eelgrassyard.policy._slot_allocator import LIFETIME_FACTOR, LIFETIME_MARGIN_S

KIND = KINDS[0].name
HOSTS = ("host-0", "host-1", "host-2")


class Site:
    """A scheduler, and a record of the messages that it sends to owners."""

    def __init__(self, *, runners: int = 3, slots: int = 2, hosts=HOSTS, config=None) -> None:
        if config is None:
            config = make_config(make_runners(runners, slots=slots)[0])
        self.config = config
        self.membership = FixedMembership(hosts)
        self.scheduler = make_scheduler(config, self.membership, name=hosts[0])
        self.now = 1000.0
        self.grants: dict[int, tuple[str, SlotGrant, int, str]] = {}
        self.refusals: list[tuple[str, SlotRefusal]] = []
        self.sent: list[Send] = []

    def deliver(self, *messages, sender: str = "host-1", incarnation: int = 1) -> list:
        """Deliver messages in one tick; returns the messages that the scheduler sends."""
        return self.tick(
            PeerReceived(sender=sender, incarnation=incarnation, message=m) for m in messages
        )

    def tick(self, events=()) -> list:
        out = []
        for event in events:
            self.scheduler.handle(self.now, event, out)
        self.scheduler.advance(self.now, out)
        sends = [action for action in out if isinstance(action, Send)]
        for send in sends:
            if isinstance(send.message, SlotGrant):
                for place in send.message.placements:
                    self.grants[place.grant] = (
                        send.to,
                        send.message,
                        place.index,
                        place.upstream,
                    )
            elif isinstance(send.message, SlotRefusal):
                self.refusals.append((send.to, send.message))
        self.sent.extend(sends)
        return [send.message for send in sends]

    def wait(self, seconds: float) -> list:
        """Advance the clock, with a tick at each timer of the scheduler."""
        end = self.now + seconds
        sent = []
        while True:
            self.now = min(end, max(self.scheduler.next_wake(self.now), self.now + 1e-3))
            sent.extend(self.tick())
            if self.now >= end:
                return sent

    def open(self) -> None:
        """Create the pool and end its grace period by reports of held slots from all hosts."""
        self.deliver(SlotWithdraw(submission_id="none", pool=POOL))
        for host in HOSTS:
            self.deliver(SlotHeld(pool=POOL, places=()), sender=host)

    @property
    def pool(self):
        return self.scheduler.pools_by_name[POOL]

    def in_use(self) -> dict[str, int]:
        return {name: len(u.starts) for name, u in self.pool.table.by_name.items()}

    def release(self, number: int, result=StartResult.OK, run_s=0.1, leaving=False):
        owner, _, _, upstream = self.grants.pop(number)
        return owner, SlotRelease(
            pool=POOL,
            releases=(
                Release(
                    grant=number,
                    upstream=upstream,
                    kind=KIND,
                    result=result,
                    run_s=run_s,
                    leaving=leaving,
                ),
            ),
        )


def make_ask(submission: str, count: int = 1, **fields) -> SlotAsk:
    defaults = {
        "pool": POOL,
        "caller": "caller",
        "team": "team",
        "kind": KIND,
        "urgency": Urgency.NORMAL,
        "deadline_s": 30.0,
    }
    return SlotAsk(
        submission_id=submission,
        tasks=tuple(TaskSize(index=i) for i in range(count)),
        **(defaults | fields),
    )


def test_pool_names_follow_the_scope():
    """Guards against owners and schedulers naming a pool differently."""
    config = make_config([])
    assert pool_for(config, KIND, "patan") == POOL
    scoped = SiteConfig(
        site="s",
        failure_domains=DOMAINS,
        scope=Scope.FAILURE_DOMAIN,
        kinds_by_name=config.kinds_by_name,
    )
    assert pool_for(scoped, KIND, "patan") == POOL + "@patan"
    for service, domain in itertools.product(("", "ledger", "workers"), (None, "patan")):
        scope = parse_pool_name(pool_name(service, domain))
        assert (scope.service, scope.failure_domain) == (service, domain)


def test_request_is_granted_up_to_the_slots_and_the_rest_on_release():
    """Guards against more grants than slots, and against a queue that is not served."""
    site = Site(runners=3, slots=2)
    site.open()
    site.deliver(make_ask("s", 10))
    assert len(site.grants) == 6
    for number in list(site.grants):
        owner, release = site.release(number)
        site.deliver(release, sender=owner)
    assert len(site.grants) == 4
    assert {index for _, _, index, _ in site.grants.values()} == {6, 7, 8, 9}


def test_grant_carries_the_record_and_the_attempt():
    """Guards against an owner waiting for an acknowledgement that the witness has already sent."""
    site = Site()
    site.open()
    (grant,) = site.deliver(make_ask("s", attempt=3))
    assert grant.recorded and grant.attempt == 3


def test_duplicate_request_is_not_granted_twice():
    """Guards against a duplicated message using two slots."""
    site = Site()
    site.open()
    ask = make_ask("s")
    site.deliver(ask, ask)
    site.deliver(ask)
    assert len(site.grants) == 1


def test_retried_request_gets_the_same_grant_again():
    """Guards against a lost grant message holding a slot while the task takes another."""
    site = Site()
    site.open()
    (first,) = site.deliver(make_ask("s"))
    (second,) = site.deliver(make_ask("s", attempt=1))
    assert [p.grant for p in first.placements] == [p.grant for p in second.placements]
    assert sum(site.in_use().values()) == 1


def test_retry_after_a_refused_start_gets_a_new_grant_in_any_order():
    """Guards against an ended grant being sent again when the retry precedes the release."""
    site = Site()
    site.open()
    site.deliver(make_ask("s"))
    (number,) = site.grants
    _, release = site.release(number, StartResult.NOT_STARTED)
    (grant,) = site.deliver(make_ask("s", attempt=1), release)
    assert grant.placements[0].grant != number


def test_retry_that_avoids_its_upstream_moves():
    """Guards against a task sent again to the upstream that failed it."""
    site = Site()
    site.open()
    (first,) = site.deliver(make_ask("s"))
    upstream = first.placements[0].upstream
    (second,) = site.deliver(make_ask("s", attempt=1, avoid=(upstream,)))
    assert second.placements[0].upstream != upstream
    assert sum(site.in_use().values()) == 1


def test_retried_request_keeps_its_position_in_the_queue():
    """Guards against owners losing their turn by retrying a request that is still queued."""
    site = Site(runners=1, slots=1)
    site.open()
    for name in "abc":
        site.deliver(make_ask(name, attempt=1))
    site.deliver(make_ask("b", attempt=2))
    owner, release = site.release(next(iter(site.grants)))
    (grant,) = site.deliver(release, sender=owner)
    assert (grant.submission_id, grant.attempt) == ("b", 2)


def test_withdrawn_tasks_are_not_granted():
    """Guards against grants for cancelled submissions."""
    site = Site(runners=1, slots=1)
    site.open()
    site.deliver(make_ask("a"))
    site.deliver(make_ask("b", 3))
    site.deliver(SlotWithdraw(submission_id="b", pool=POOL))
    owner, release = site.release(next(iter(site.grants)))
    assert site.deliver(release, sender=owner) == []


def test_withdrawal_that_arrives_before_its_request_wins():
    """Guards against granting a request that arrives after its submission was cancelled."""
    site = Site()
    site.open()
    site.deliver(SlotWithdraw(submission_id="s", pool=POOL))
    assert site.deliver(make_ask("s")) == []


def test_unknown_pool_is_refused():
    """Guards against a request that waits for a pool that does not exist."""
    site = Site()
    (refusal,) = site.deliver(make_ask("s", pool="service:other"))
    assert refusal.reason is Reason.NO_UPSTREAM


def test_no_configuration_is_refused_as_not_ready():
    """Guards against a permanent refusal from a host that has just started."""
    site = Site()
    site.scheduler._config.current = None
    (refusal,) = site.deliver(make_ask("s"))
    assert refusal.reason is Reason.NOT_READY


def test_request_is_refused_when_its_deadline_passes():
    """Guards against a caller that waits for a refusal that never comes."""
    site = Site(runners=1, slots=1)
    site.open()
    site.deliver(make_ask("a"))
    site.deliver(make_ask("b", deadline_s=0.5))
    site.wait(1.0)
    assert [(r.submission_id, r.reason) for _, r in site.refusals] == [("b", Reason.DEADLINE)]


def test_all_upstreams_leaving_is_refused():
    """Guards against work queued for a pool without an upstream in use."""
    site = Site()
    entries = list(site.config.upstreams_by_name.values())
    leaving = HostListRead(
        hosts=(), upstreams=tuple(ListedUpstream(upstream=e, leaving=True) for e in entries)
    )
    site.open()
    site.tick([leaving])
    (refusal,) = site.deliver(make_ask("s"))
    assert refusal.reason is Reason.NO_UPSTREAM


@pytest.mark.parametrize("source", ["list", "release"])
def test_leaving_upstream_gets_no_grant(source):
    """Guards against work for an upstream reported as leaving by a release or the host list."""
    site = Site(runners=2, slots=2)
    site.open()
    site.deliver(make_ask("a", 4))
    if source == "list":
        entries = site.config.upstreams_by_name.values()
        items = tuple(ListedUpstream(upstream=e, leaving=e.name == "runner-0") for e in entries)
        site.tick([HostListRead(hosts=(), upstreams=items)])
    else:
        number = next(n for n, g in site.grants.items() if g[3] == "runner-0")
        owner, release = site.release(number, leaving=True)
        site.deliver(release, sender=owner)
    for number in list(site.grants):
        owner, release = site.release(number)
        site.deliver(release, sender=owner)
    site.deliver(make_ask("b", 8))
    assert {g[3] for g in site.grants.values()} == {"runner-1"}


def test_grants_of_a_dead_owner_are_freed():
    """Guards against slots that stay in use after their owner died."""
    site = Site(runners=1, slots=2)
    site.open()
    site.deliver(make_ask("a", 2))
    site.grants.clear()
    site.membership.dead.add("host-1")
    site.deliver(make_ask("b"), sender="host-2")
    site.wait(3.0)
    assert [g[0] for g in site.grants.values()] == ["host-2"]


def test_grant_that_is_never_released_is_freed():
    """Guards against a lost release message holding a slot for ever."""
    site = Site(runners=1, slots=1)
    site.open()
    site.deliver(make_ask("a"))
    site.grants.clear()
    longest = site.config.kinds_by_name[KIND].longest_s
    site.deliver(make_ask("b", deadline_s=1000.0))
    site.wait(max(LIFETIME_FACTOR * longest, 30.0) + LIFETIME_MARGIN_S + 1.0)
    assert len(site.grants) == 1
    assert sum(site.in_use().values()) == 1


def test_release_of_another_owner_is_ignored():
    """Guards against a wrong message freeing a slot in use."""
    site = Site()
    site.open()
    site.deliver(make_ask("a"))
    _, release = site.release(next(iter(site.grants)))
    site.deliver(release, sender="host-2")
    assert sum(site.in_use().values()) == 1


def test_new_scheduler_waits_for_held_slots_before_it_grants():
    """Guards against a new scheduler granting slots that are in use."""
    site = Site(runners=1, slots=2)
    held = SlotHeld(pool=POOL, places=(make_held(7), make_held(8, index=1)))
    site.deliver(make_ask("b"), sender="host-2")
    site.deliver(held, sender="host-1")
    site.wait(REBUILD_GRACE_S * 2)
    assert site.grants == {}
    release = Release(grant=7, upstream="runner-0", kind=KIND, result=StartResult.OK, run_s=0.1)
    site.deliver(SlotRelease(pool=POOL, releases=(release,)), sender="host-1")
    assert [g[0] for g in site.grants.values()] == ["host-2"]


def make_held(grant: int, index: int = 0, upstream: str = "runner-0") -> HeldPlace:
    return HeldPlace(
        submission_id="held",
        caller="caller",
        team="team",
        kind=KIND,
        upstream=upstream,
        size=TaskSize(index=index),
        running_s=0.05,
        grant=grant,
    )


def test_delayed_report_does_not_restore_a_released_slot():
    """Guards against a reordered report holding a free slot."""
    site = Site(runners=1, slots=1)
    release = Release(grant=7, upstream="runner-0", kind=KIND, result=StartResult.OK, run_s=0.1)
    site.deliver(SlotRelease(pool=POOL, releases=(release,)))
    site.deliver(SlotHeld(pool=POOL, places=(make_held(7),)))
    assert sum(site.in_use().values()) == 0


def test_full_report_frees_what_the_owner_does_not_hold():
    """Guards against a grant holding its slot after its message was lost."""
    site = Site(runners=1, slots=1)
    site.open()
    site.deliver(make_ask("a"))
    site.grants.clear()
    site.now += 5.0
    site.deliver(SlotHeld(pool=POOL, places=()))
    assert sum(site.in_use().values()) == 0


def test_grant_numbers_of_two_schedulers_differ():
    """Guards against a release of an old scheduler's grant freeing a grant of the new one."""
    numbers = []
    for name, incarnation in (("host-0", 1), ("host-1", 1), ("host-0", 2)):
        site = Site(hosts=(name, "host-2"))
        site.scheduler = make_scheduler(
            site.config, site.membership, name=name, incarnation=incarnation
        )
        site.deliver(make_ask("a", 6))
        site.wait(REBUILD_GRACE_S * 2)
        numbers.append(set(site.grants))
    assert all(len(n) == 6 for n in numbers)
    assert len(set.union(*numbers)) == 18


def test_old_scheduler_drops_its_backlog():
    """Guards against two schedulers that both grant slots to the same requests."""
    site = Site(runners=1, slots=1)
    site.open()
    site.deliver(make_ask("a"))
    site.deliver(make_ask("b", 5))
    site.membership.scheduler = "host-1"
    site.wait(HANDOVER_GRACE_S + 0.5)
    owner, release = site.release(next(iter(site.grants)))
    assert site.deliver(release, sender=owner) == []


def test_speed_digest_goes_to_other_hosts_and_is_read():
    """Guards against a new scheduler that has to learn all speeds again."""
    site = Site()
    site.open()
    for round_ in range(30):
        site.deliver(make_ask(f"s{round_}"))
        for number in list(site.grants):
            owner, release = site.release(number)
            site.now += 0.5
            site.deliver(release, sender=owner)
    digests = [s for s in site.sent if isinstance(s.message, SpeedDigest)]
    assert digests and {d.to for d in digests} == {"host-1", "host-2"}
    other = Site()
    other.deliver(digests[-1].message)
    assert other.pool.table.by_name.keys() == site.pool.table.by_name.keys()


def make_workers_config(workers: int = 2) -> SiteConfig:
    entries = [
        UpstreamEntry(
            name=f"worker-{i}",
            role=UpstreamRole.WORKER,
            url="http://127.0.0.1:1",
            failure_domain=DOMAINS[0],
            rack="rack",
            cores=8.0,
            memory_mb=4096,
        )
        for i in range(workers)
    ]
    return SiteConfig(
        site="s",
        failure_domains=DOMAINS,
        upstreams_by_name={e.name: e for e in entries},
        kinds_by_name=make_config([]).kinds_by_name,
    )


@pytest.mark.parametrize("gang", [False, True])
def test_job_is_placed_on_workers(gang):
    """Guards against jobs that are never placed on workers."""
    site = Site(config=make_workers_config())
    site.deliver(make_ask("job", 4, pool="workers", gang=gang))
    site.wait(REBUILD_GRACE_S * 2)
    assert {index for _, _, index, _ in site.grants.values()} == {0, 1, 2, 3}
    assert len([s for s in site.sent if isinstance(s.message, SlotGrant)]) == 1


def test_urgent_task_throttles_background_work_and_lets_it_resume():
    """Guards against urgent work waiting for background tasks, and against tasks left paused."""
    site = Site(config=make_workers_config(workers=1))
    site.deliver(make_ask("back", 8, pool="workers", urgency=Urgency.BACKGROUND), sender="host-2")
    site.wait(REBUILD_GRACE_S * 2)
    assert len(site.grants) == 8
    sent = site.deliver(make_ask("urgent", 1, pool="workers", urgency=Urgency.URGENT))
    throttled = [m for m in sent if isinstance(m, TaskControl)]
    assert throttled and {m.control for m in throttled} == {"throttle"}
    paused = {(m.submission_id, m.index) for m in throttled}
    number = next(n for n, g in site.grants.items() if g[1].submission_id == "urgent")
    for other, (owner, grant, index, _) in list(site.grants.items()):
        if other != number and (grant.submission_id, index) not in paused:
            _, release = site.release(other)
            release = SlotRelease(pool="workers", releases=release.releases)
            sent.extend(site.deliver(release, sender=owner))
    site.wait(20.0)
    assert site.scheduler.pools_by_name["workers"].table.by_name["worker-0"].usable
    _, release = site.release(number)
    release = SlotRelease(pool="workers", releases=release.releases)
    site.deliver(release)
    site.wait(0.2)
    controls = [s.message for s in site.sent if isinstance(s.message, TaskControl)]
    resumed = [m for m in controls if m.control == "resume"]
    assert {(m.submission_id, m.index) for m in resumed} == paused
    assert len(controls) == 2 * len(paused)


def test_waiting_gang_is_not_overtaken_for_ever():
    """Guards against a gang that starves while smaller tasks take all freed capacity."""
    site = Site(config=make_workers_config(workers=1))
    site.deliver(make_ask("small-0", 8, pool="workers"))
    site.wait(REBUILD_GRACE_S * 2)
    site.deliver(make_ask("gang", 8, pool="workers", gang=True, caller="other"))
    granted = set()
    for round_ in range(1, 30):
        site.wait(0.5)
        site.deliver(make_ask(f"small-{round_}", 1, pool="workers"))
        granted = {g[1].submission_id for g in site.grants.values()}
        if "gang" in granted:
            break
        number = min(site.grants)
        _, release = site.release(number)
        site.deliver(SlotRelease(pool="workers", releases=release.releases))
    assert "gang" in granted


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["ask", "release", "fail", "withdraw", "wait", "duplicate", "held", "repeat", "list"]
        ),
        st.integers(0, 2**16),
    ),
    max_size=60,
)


class RandomOwners:
    """Owners behind a network that delays, duplicates and reorders messages."""

    def __init__(self) -> None:
        self.site = Site(runners=3, slots=2)
        self.site.open()
        self.waiting: dict[str, set[int]] = {}
        self.asks: dict[str, SlotAsk] = {}
        self.running: dict[int, tuple[str, int, str]] = {}
        self.ended: set[int] = set()
        self.log: list = []
        self.leaving: set[str] = set()
        self.reported_at = 0.0

    def deliver(self, message) -> None:
        self.log.append(message)
        self.read(self.site.deliver(message))

    def read(self, messages) -> None:
        pending = list(messages)
        while pending:
            message = pending.pop(0)
            if isinstance(message, SlotGrant):
                for place in message.placements:
                    assert place.upstream not in self.leaving
                    pending.extend(self.take(message.submission_id, place))
            elif isinstance(message, SlotRefusal):
                self.waiting.pop(message.submission_id, None)
            self.check()

    def take(self, submission: str, place) -> list:
        if place.grant in self.running or place.grant in self.ended:
            return []
        waiting = self.waiting.get(submission, set())
        if place.index in waiting:
            waiting.discard(place.index)
            self.running[place.grant] = (submission, place.index, place.upstream)
            return []
        return self.end(place.grant, place.upstream, StartResult.UNUSED)

    def end(self, number: int, upstream: str, result: StartResult, leaving=False) -> list:
        self.running.pop(number, None)
        self.ended.add(number)
        release = Release(
            grant=number, upstream=upstream, kind=KIND, result=result, run_s=0.1, leaving=leaving
        )
        message = SlotRelease(pool=POOL, releases=(release,))
        self.log.append(message)
        return self.site.deliver(message)

    def check(self) -> None:
        pool = self.site.pool
        for upstream in pool.table.by_name.values():
            assert len(upstream.starts) <= upstream.slots
        assert len(pool.granting.grants) == sum(self.site.in_use().values())
        assert pool.table.ejected_count() <= pool.table.max_ejected()

    def act(self, action: str, value: int) -> None:
        match action:
            case "ask":
                name = f"s{len(self.asks)}"
                self.asks[name] = make_ask(name, 1 + value % 4, idempotent=value % 2 == 0)
                self.waiting[name] = set(range(1 + value % 4))
                self.deliver(self.asks[name])
            case "release" | "fail" if self.running:
                number = sorted(self.running)[value % len(self.running)]
                result = StartResult.OK
                if action == "fail":
                    failures = (StartResult.FAILED, StartResult.LOST, StartResult.STOPPED)
                    result = failures[value % 3]
                self.read(self.end(number, self.running[number][2], result))
            case "withdraw" if self.waiting:
                name = sorted(self.waiting)[value % len(self.waiting)]
                del self.waiting[name]
                self.deliver(SlotWithdraw(submission_id=name, pool=POOL))
            case "wait":
                self.read(self.site.wait((value % 30) / 10))
            case "duplicate" if self.log:
                message = self.log[value % len(self.log)]
                self.read(self.site.deliver(message))
            case "held":
                self.deliver(self.held())
            case "repeat":
                self.retry_requests()
            case "list":
                self.read_list(value)

    def held(self) -> SlotHeld:
        return SlotHeld(
            pool=POOL,
            places=tuple(
                HeldPlace(
                    submission_id=submission,
                    caller="caller",
                    team="team",
                    kind=KIND,
                    upstream=upstream,
                    size=TaskSize(index=index),
                    running_s=0.1,
                    grant=number,
                )
                for number, (submission, index, upstream) in self.running.items()
            ),
        )

    def retry_requests(self) -> None:
        for name, indexes in list(self.waiting.items()):
            if indexes and name in self.waiting:
                ask = self.asks[name]
                self.asks[name] = make_ask(name, attempt=ask.attempt + 1, idempotent=ask.idempotent)
                tasks = tuple(TaskSize(index=i) for i in sorted(indexes))
                fields = {f: getattr(self.asks[name], f) for f in SlotAsk.__slots__}
                self.asks[name] = SlotAsk(**(fields | {"tasks": tasks}))
                self.deliver(self.asks[name])

    def read_list(self, value: int) -> None:
        entries = list(self.site.config.upstreams_by_name.values())
        self.leaving = {entries[value % 3].name} if value % 5 else set()
        items = tuple(ListedUpstream(upstream=e, leaving=e.name in self.leaving) for e in entries)
        self.read(self.site.tick([HostListRead(hosts=(), upstreams=items)]))

    def finish(self) -> None:
        """End all tasks without further faults, with retries of requests as owners send them."""
        for _ in range(200):
            if not self.running and not any(self.waiting.values()):
                return
            for number in sorted(self.running):
                if number in self.running:
                    upstream = self.running[number][2]
                    self.read(self.end(number, upstream, StartResult.OK))
            self.retry_requests()
            self.read(self.site.wait(1.0))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(ACTIONS)
@example(
    [
        *[("ask", 0)] * 4,
        ("wait", 9),
        ("list", 164),
        ("ask", 0),
        ("fail", 0),
        ("list", 1),
        ("wait", 10),
    ]
)
def test_slots_floor_and_progress_hold_for_any_order_of_messages(actions):
    """Guards against leaked or doubled slots when messages repeat, delay and reorder."""
    owners = RandomOwners()
    for action, value in actions:
        owners.act(action, value)
    owners.finish()
    assert not owners.running
    assert not any(owners.waiting.values())
    site = owners.site
    longest = site.config.kinds_by_name[KIND].longest_s
    site.wait(max(LIFETIME_FACTOR * longest, 30.0) + LIFETIME_MARGIN_S + 1.0)
    assert sum(site.in_use().values()) == 0
    assert not site.pool.granting.is_busy


@pytest.mark.parametrize("seed", range(5))
def test_rebuild_after_the_scheduler_died(seed):
    """Guards against lost or duplicated tasks when another host becomes the scheduler."""
    source = random.Random(seed)
    owners = RandomOwners()
    for _ in range(60):
        owners.act(source.choice(["ask", "ask", "release", "wait"]), source.randrange(1000))
    replaced = owners.site
    site = Site(runners=3, slots=2)
    site.scheduler = make_scheduler(site.config, site.membership, name="host-2", incarnation=2)
    site.membership.scheduler = "host-2"
    site.now = replaced.now
    owners.site = site
    before = len(owners.running)
    owners.deliver(owners.held())
    assert sum(site.in_use().values()) == before
    owners.retry_requests()
    owners.finish()
    assert not owners.running and not any(owners.waiting.values())
    assert sum(site.in_use().values()) == 0
