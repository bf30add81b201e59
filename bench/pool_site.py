"""Discrete-event simulation of one pool: the real scheduler with simulated owners and runners.

Owners request slots, start tasks and release slots as the messages of the scheduler say; they make
no decisions. One-way delays are 0.25 ms within a failure domain and 1.5 ms between two.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from eelgrassyard.policy import (
    Action,
    Event,
    HostIdentity,
    KindEntry,
    PeerReceived,
    Placement,
    Release,
    Send,
    SiteConfig,
    SlotAsk,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    StartResult,
    StateChanged,
    TaskSize,
    UpstreamEntry,
    UpstreamRole,
    Urgency,
)
from eelgrassyard.policy._quotas import Quotas
from eelgrassyard.policy._scheduler import Scheduler

EPOCH = 1_800_000_000.0
SERVICE = "ledger"
POOL = f"service:{SERVICE}"
LATENCY_SAME_DOMAIN_S = 0.00025
LATENCY_CROSS_DOMAIN_S = 0.0015
DOMAINS = ("patan", "thamel", "bhaktapur")


@dataclass(frozen=True, kw_only=True)
class KindLoad:
    """Share and run times of one kind in the generated load.

    :param share: share of all arrivals.
    :param sigma: standard deviation of the logarithm of the run time.
    """

    name: str
    mean_s: float
    share: float
    sigma: float = 0.5


KINDS = (
    KindLoad(name="stamp-page", mean_s=0.15, share=0.40),
    KindLoad(name="check-grid", mean_s=0.30, share=0.35),
    KindLoad(name="rule-layout", mean_s=0.60, share=0.20),
    KindLoad(name="bind-volume", mean_s=2.00, share=0.05),
)

MIN_TASK_S = 0.05
MAX_TASK_S = 8.0


@dataclass(slots=True, kw_only=True)
class Task:
    """A request of one task, and its result.

    :param at: virtual time of arrival.
    :param host: index of the host at which it arrives.
    :param work_s: run time at speed 1.0.
    :param answered_at: virtual time of the result; negative before.
    :param failed_on: upstreams on which a start of it did not succeed.
    """

    number: int
    at: float
    host: int
    kind: str
    work_s: float
    idempotent: bool = True
    answered_at: float = -1.0
    result: StartResult | None = None
    attempt: int = 0
    starts: int = 0
    failed_on: tuple[str, ...] = ()


def make_tasks(
    *, seed: int, rate_per_s: float, seconds: float, hosts: int, idempotent_share: float = 1.0
) -> list[Task]:
    """Generate a Poisson arrival process with log-normal run times around the mean of each kind.

    :param hosts: number of hosts among which arrivals are distributed at random.
    :param idempotent_share: probability that a task is idempotent.
    """
    source = random.Random(seed)
    tasks: list[Task] = []
    now = 0.0
    weights = [kind.share for kind in KINDS]
    for number in itertools.count():
        now += source.expovariate(rate_per_s)
        if now >= seconds:
            return tasks
        kind = source.choices(KINDS, weights)[0]
        work_s = kind.mean_s * source.lognormvariate(-kind.sigma**2 / 2, kind.sigma)
        tasks.append(
            Task(
                number=number,
                at=EPOCH + now,
                host=source.randrange(hosts),
                kind=kind.name,
                work_s=min(MAX_TASK_S, max(MIN_TASK_S, work_s)),
                idempotent=source.random() < idempotent_share,
            )
        )
    return tasks


def mean_work_s(seed: int = 7, count: int = 20_000) -> float:
    """Mean run time of generated tasks at speed 1.0, after clamping to the bounds on run times."""
    tasks = make_tasks(seed=seed, rate_per_s=1.0, seconds=float(count), hosts=1)
    return sum(task.work_s for task in tasks) / len(tasks)


def make_runners(
    count: int, slots: int = 8, domains: Sequence[str] = DOMAINS
) -> tuple[list[UpstreamEntry], dict[str, float]]:
    """Runners with geometrically spaced speeds, and their speeds by name.

    The highest speed is 4 times the lowest (0.5 to 2.0 before scaling to a mean of 1.0).
    Runners of adjacent speeds are in different failure domains; a rack has eight runners.
    """
    speeds = [0.5 * 4.0 ** (i / max(1, count - 1)) for i in range(count)]
    scale = count / sum(speeds)
    entries = [
        UpstreamEntry(
            name=f"runner-{i}",
            role=UpstreamRole.RUNNER,
            url=f"http://127.0.0.1:{20000 + i}",
            failure_domain=domains[i % len(domains)],
            rack=f"rack-{i // 8}",
            service=SERVICE,
            slots=slots,
        )
        for i in range(count)
    ]
    return entries, {e.name: s * scale for e, s in zip(entries, speeds, strict=True)}


def make_config(entries: Sequence[UpstreamEntry]) -> SiteConfig:
    """Configuration of a site with one service and the kinds of the generated load."""
    return SiteConfig(
        site="bench",
        failure_domains=DOMAINS,
        upstreams_by_name={e.name: e for e in entries},
        kinds_by_name={
            k.name: KindEntry(
                name=k.name,
                service=SERVICE,
                typical_s=k.mean_s,
                longest_s=MAX_TASK_S,
                share=k.share,
            )
            for k in KINDS
        },
    )


@dataclass(kw_only=True)
class FixedConfig:
    """Configuration view with a constant revision."""

    current: SiteConfig | None
    revision: int = 1


class FixedMembership:
    """Membership view in which all hosts are alive unless a test or fault changes it.

    The first host is the scheduler of every pool.

    :param hosts: names of all hosts.
    """

    def __init__(self, hosts: Sequence[str]) -> None:
        self.hosts = tuple(hosts)
        self.dead: set[str] = set()
        self.cut_off: set[str] = set()
        self.scheduler = self.hosts[0]

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        return host in self.hosts and host not in self.dead

    def is_dead(self, host: str, incarnation: int) -> bool:
        return host in self.dead

    def is_leaving(self, host: str) -> bool:
        return False

    def incarnation_of(self, host: str) -> int | None:
        return 1 if host in self.hosts else None

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        return tuple(host for host in self.hosts if host not in self.dead)

    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        return self.scheduler

    def witness_for(self, sequence: int) -> str | None:
        return None

    def is_domain_unreachable(self, failure_domain: str) -> bool:
        return failure_domain in self.cut_off

    def unreachable_domains(self) -> Collection[str]:
        return tuple(sorted(self.cut_off))


class AllRecordedWitness:
    """Witness view in which every id has a record."""

    def is_recorded(self, submission_id: str) -> bool:
        return True


def make_scheduler(
    config: SiteConfig, membership: FixedMembership, *, name: str, incarnation: int = 1
) -> Scheduler:
    """Build a scheduler with constant configuration, membership and witness views."""
    identity = HostIdentity(
        name=name,
        address="127.0.0.1",
        port=1,
        failure_domain=DOMAINS[0],
        incarnation=incarnation,
        id_key=b"k" * 32,
    )
    view = FixedConfig(current=config)
    return Scheduler(
        identity=identity,
        config=view,
        membership=membership,
        quotas=Quotas(identity=identity, config=view, membership=membership),
        witness=AllRecordedWitness(),
        seed=1,
    )


@dataclass(kw_only=True)
class Runner:
    """A simulated runner that enforces its limit of slots.

    :param down: whether it refuses every start.
    :param starts: for each start its time, whether it was a probe, and whether it failed.
    :param inject_fault: returns run time in seconds and result of a start; None for a normal run,
        whose time follows from the speed.
    """

    entry: UpstreamEntry
    speed: float
    used: int = 0
    leaving: bool = False
    down: bool = False
    starts: list[tuple[float, bool, bool]] = field(default_factory=list)
    inject_fault: Callable[[float, Task], tuple[float, StartResult] | None] = lambda now, task: None


class PoolSite:
    """Runs tasks through one scheduler on virtual time.

    :param speed_by_name: speed of each runner; run times are divided by it.
    :param hosts: number of hosts.
    :param task_timeout_s: time after which an owner reports a start as lost.
    """

    def __init__(
        self,
        *,
        entries: Sequence[UpstreamEntry],
        speed_by_name: dict[str, float],
        hosts: int = 9,
        task_timeout_s: float = 30.0,
    ) -> None:
        self.now = EPOCH
        self.hosts = [f"host-{i}" for i in range(hosts)]
        self.domain_by_host = {h: DOMAINS[i % len(DOMAINS)] for i, h in enumerate(self.hosts)}
        self.membership = FixedMembership(self.hosts)
        self.config = make_config(entries)
        self.scheduler = make_scheduler(self.config, self.membership, name=self.hosts[0])
        self.runner_by_name = {
            e.name: Runner(entry=e, speed=speed_by_name[e.name]) for e in entries
        }
        self.task_timeout_s = task_timeout_s
        self.message_counts: Counter[str] = Counter()
        self.wasted_counts: Counter[str] = Counter()
        self.changes: list[tuple[float, str, str]] = []
        self.on_tick: Callable[[], None] = lambda: None
        self.task_by_id: dict[str, Task] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._wake_at = float("inf")

    def run(self, tasks: Sequence[Task], *, drain_s: float = 30.0) -> None:
        """Run the simulation until no event is left, at most ``drain_s`` after the last arrival."""
        for task in tasks:
            self.at(task.at, lambda task=task: self._request_slot(task))
        end = (tasks[-1].at if tasks else self.now) + drain_s
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._heap, (time, next(self._sequence), action))

    def delay(self, first: str, second: str) -> float:
        """One-way delay in seconds between two failure domains."""
        return LATENCY_SAME_DOMAIN_S if first == second else LATENCY_CROSS_DOMAIN_S

    def send_to_scheduler(self, host: str, event: Event) -> None:
        """Deliver an event to the scheduler, after the network delay if it is on another host."""
        if host == self.scheduler._identity.name:
            self._tick([event])
            return
        if isinstance(event, PeerReceived):
            self.message_counts[type(event.message).__name__] += 1
        delay = self.delay(self.domain_by_host[host], self.domain_by_host[self.hosts[0]])
        self.at(self.now + delay, lambda: self._tick([event]))

    def _request_slot(self, task: Task) -> None:
        host = self.hosts[task.host]
        submission_id = f"{host}.{task.number}"
        self.task_by_id[submission_id] = task
        slot_request = SlotAsk(
            submission_id=submission_id,
            pool=POOL,
            caller=f"caller-{task.number % 3}",
            team="team",
            kind=task.kind,
            urgency=Urgency.NORMAL,
            deadline_s=60.0,
            tasks=(TaskSize(index=0),),
            attempt=task.attempt,
            idempotent=task.idempotent,
            avoid=task.failed_on,
        )
        if task.attempt > 0:
            self.wasted_counts["repeated SlotAsk"] += 1
        self.send_to_scheduler(host, PeerReceived(sender=host, incarnation=1, message=slot_request))

    def _tick(self, events: Sequence[Event]) -> None:
        out: list[Action] = []
        for event in events:
            self.scheduler.handle(self.now, event, out)
        self.scheduler.advance(self.now, out)
        for action in out:
            match action:
                case Send():
                    self._send(action)
                case StateChanged():
                    self.changes.append((self.now, action.peer, action.message))
                case _:
                    pass
        self.on_tick()
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        wake = max(self.scheduler.next_wake(self.now), self.now + 1e-6)
        if wake == float("inf") or self.now < self._wake_at <= wake:
            return
        self._wake_at = wake

        def fire() -> None:
            if self._wake_at == wake:
                self._wake_at = float("inf")
                self._tick([])

        self.at(wake, fire)

    def _send(self, action: Send) -> None:
        host = action.to
        scheduler_host = self.hosts[0]
        delay = 0.0
        if host != scheduler_host:
            self.message_counts[type(action.message).__name__] += 1
            delay = self.delay(self.domain_by_host[scheduler_host], self.domain_by_host[host])
        match action.message:
            case SlotGrant():
                grant = action.message
                self.at(self.now + delay, lambda: self._start(host, grant))
            case SlotRefusal():
                self.wasted_counts["SlotRefusal"] += 1
                refusal = action.message
                self.at(self.now + delay, lambda: self._handle_refusal(refusal))
            case _:
                self.wasted_counts[type(action.message).__name__] += 1

    def _handle_refusal(self, refusal: SlotRefusal) -> None:
        task = self.task_by_id[refusal.submission_id]
        task.result = StartResult.UNUSED

    def _start(self, host: str, grant: SlotGrant) -> None:
        task = self.task_by_id[grant.submission_id]
        for placement in grant.placements:
            runner = self.runner_by_name[placement.upstream]
            delay = self.delay(self.domain_by_host[host], runner.entry.failure_domain)
            self.at(
                self.now + delay,
                lambda placement=placement, runner=runner, delay=delay: self._arrive(
                    host, task, placement, runner, delay
                ),
            )

    def _arrive(
        self, host: str, task: Task, placement: Placement, runner: Runner, delay: float
    ) -> None:
        if runner.leaving or runner.down or runner.used >= runner.entry.slots:
            self.wasted_counts["SlotGrant not started"] += 1
            result = (0.0, StartResult.NOT_STARTED)
            self._report_end(host, task, placement, runner, result, delay)
            return
        task.starts += 1
        runner.used += 1
        seconds, result = runner.inject_fault(self.now, task) or (
            task.work_s / runner.speed,
            StartResult.OK,
        )
        if seconds > self.task_timeout_s:
            seconds, result = self.task_timeout_s, StartResult.LOST
        grant = self.scheduler.pools_by_name[POOL].granting.grants.by_number.get(placement.grant)
        probe = grant is not None and grant.probe
        runner.starts.append((self.now, probe, result is not StartResult.OK))

        def end() -> None:
            runner.used -= 1
            self._report_end(host, task, placement, runner, (seconds, result), delay)

        self.at(self.now + seconds, end)

    def _report_end(
        self,
        host: str,
        task: Task,
        placement: Placement,
        runner: Runner,
        ended: tuple[float, StartResult],
        delay: float,
    ) -> None:
        seconds, result = ended

        def arrive() -> None:
            release = Release(
                grant=placement.grant,
                upstream=placement.upstream,
                kind=task.kind,
                result=result,
                run_s=seconds,
                leaving=runner.leaving,
            )
            message = SlotRelease(pool=POOL, releases=(release,))
            self.send_to_scheduler(host, PeerReceived(sender=host, incarnation=1, message=message))
            again = result is StartResult.NOT_STARTED or (
                task.idempotent and result is not StartResult.OK and task.starts < 4
            )
            if again:
                task.attempt += 1
                if result is not StartResult.NOT_STARTED:
                    task.failed_on = (*task.failed_on, placement.upstream)
                self._request_slot(task)
            else:
                task.answered_at = self.now
                task.result = result

        self.at(self.now + delay, arrive)
