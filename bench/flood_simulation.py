"""Discrete-event simulation of floods against the real fair queue and admission.

Jobs arrive at hosts, which send slot requests to one scheduler with a fixed number of slots.
Clients follow retry hints. Messages between a host and the scheduler take 1.5 ms one way. As
baselines, a FIFO queue and a strict priority queue can replace the fair queue; they refuse only
when full.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from eelgrassyard.policy import (
    CallerEntry,
    KindEntry,
    Limits,
    QueueRefusal,
    Reason,
    SiteConfig,
    SlotAsk,
    SubmissionBody,
    TaskSize,
    TaskSpec,
    Urgency,
)
from eelgrassyard.policy._admission import Admission
from eelgrassyard.policy._fair_queue import FairQueue, FlowKey, QueuedRequest

LATENCY_S = 0.0015
DEADLINE_S = 10.0
HOSTS = 8
MAX_CLIENT_RETRIES = 2
MAX_QUEUED_TOTAL = 20_000
MAX_QUEUED_PER_FLOW = 1_000


@dataclass(frozen=True, kw_only=True)
class KindLoad:
    """Load of one kind.

    :param share: share of the capacity in the configuration.
    :param load: rate of quiet arrivals as a fraction of the capacity.
    """

    name: str
    urgency: Urgency
    share: float
    mean_s: float
    load: float


KINDS = (
    KindLoad(name="check", urgency=Urgency.URGENT, share=0.35, mean_s=0.15, load=0.25),
    KindLoad(name="rule", urgency=Urgency.NORMAL, share=0.35, mean_s=0.3, load=0.25),
    KindLoad(name="stamp", urgency=Urgency.BACKGROUND, share=0.15, mean_s=0.3, load=0.10),
    KindLoad(name="campaign", urgency=Urgency.NORMAL, share=0.10, mean_s=0.2, load=0.0),
)
CALLERS_PER_KIND = 8
FLOOD_CALLERS = 200


@dataclass(slots=True, kw_only=True)
class Job:
    """A job of one task, and its result.

    :param at: virtual time of the first submission.
    :param host: index of the host that it is submitted to.
    :param flood: whether it belongs to the flood instead of the quiet load.
    :param refused: number of refusals so far.
    """

    number: int
    at: float
    caller: str
    kind: str
    urgency: Urgency
    work_s: float
    host: int
    flood: bool
    done_at: float = 0.0
    tries: int = 0
    refused: int = 0


class FixedConfig:
    """Configuration view with a constant revision."""

    revision = 1

    def __init__(self, current: SiteConfig) -> None:
        self.current = current


def flood_config() -> SiteConfig:
    """Configuration with the kinds and their shares; all callers have equal weight."""
    callers = [f"{kind.name}-{i}" for kind in KINDS for i in range(CALLERS_PER_KIND)]
    return SiteConfig(
        site="bench",
        failure_domains=("a",),
        kinds_by_name={
            k.name: KindEntry(
                name=k.name,
                service="s",
                share=k.share,
                typical_s=k.mean_s,
                urgency=k.urgency,
                deadline_s=DEADLINE_S,
            )
            for k in KINDS
        },
        callers_by_name={name: CallerEntry(name=name, team="t") for name in callers},
        limits=Limits(
            queued_tasks_per_flow=MAX_QUEUED_PER_FLOW, queued_tasks_total=MAX_QUEUED_TOTAL
        ),
    )


def quiet_jobs(*, seed: int, slots: int, seconds: float) -> list[Job]:
    """Generate the quiet load as a Poisson arrival process."""
    jobs: list[Job] = []
    for kind in KINDS:
        if kind.load == 0.0:
            continue
        source = random.Random(f"{seed} {kind.name}")
        callers = [f"{kind.name}-{i}" for i in range(CALLERS_PER_KIND)]
        # Callers send at different rates, the first one most.
        weights = [1.0 / (i + 1) ** 0.5 for i in range(CALLERS_PER_KIND)]
        rate = kind.load * slots / kind.mean_s
        jobs.extend(_arrivals(source, rate, seconds, kind, callers, weights, flood=False))
    return sorted(jobs, key=lambda job: job.at)


def flood_jobs(
    *, seed: int, slots: int, seconds: float, urgency: Urgency, by: str, factor: float = 10.0
) -> list[Job]:
    """Generate a flood as a Poisson arrival process.

    :param by: ``caller`` for a flood from a single caller, ``kind`` for one kind from many callers.
    :param factor: arriving work as a multiple of the capacity.
    """
    kind = next(k for k in KINDS if k.name == ("rule" if by == "caller" else "campaign"))
    callers = ["flooder"] if by == "caller" else [f"mob-{i}" for i in range(FLOOD_CALLERS)]
    source = random.Random(f"{seed} flood")
    rate = factor * slots / kind.mean_s
    jobs = _arrivals(source, rate, seconds, kind, callers, [1.0] * len(callers), flood=True)
    for job in jobs:
        job.urgency = urgency
    return jobs


def _arrivals(
    source: random.Random,
    rate: float,
    seconds: float,
    kind: KindLoad,
    callers: Sequence[str],
    weights: Sequence[float],
    *,
    flood: bool,
) -> list[Job]:
    jobs = []
    now = 0.0
    cumulative = list(itertools.accumulate(weights))
    while (now := now + source.expovariate(rate)) < seconds:
        jobs.append(
            Job(
                number=len(jobs),
                at=now,
                caller=source.choices(callers, cum_weights=cumulative)[0],
                kind=kind.name,
                urgency=kind.urgency,
                work_s=min(5.0, kind.mean_s * source.lognormvariate(-0.125, 0.5)),
                host=source.randrange(HOSTS),
                flood=flood,
            )
        )
    return jobs


_EXPIRED_REQUEST = QueuedRequest(
    owner="",
    request=SlotAsk(
        submission_id="",
        pool="",
        caller="",
        team="",
        kind="",
        urgency=Urgency.NORMAL,
        deadline_s=0.0,
        tasks=(),
    ),
    requested_at=0.0,
    deadline_at=0.0,
)


class PlainQueue:
    """Baseline queue with the interface of the fair queue; refuses only when full.

    :param by_urgency: strict priority by urgency instead of FIFO.
    """

    def __init__(self, *, by_urgency: bool) -> None:
        self._by_urgency = by_urgency
        self._queues: list[deque[QueuedRequest]] = [deque() for _ in Urgency]
        self._length = 0
        self.expired = 0

    def add(self, now: float, entry: QueuedRequest) -> QueueRefusal | None:
        if self._length >= MAX_QUEUED_TOTAL:
            return QueueRefusal(
                reason=Reason.FLOW_LIMIT, message="queue is full", retry_after_s=1.0
            )
        self._queues[entry.request.urgency if self._by_urgency else 0].append(entry)
        self._length += 1
        return None

    def select(self, now: float, *, skip: Collection[FlowKey] = ()) -> QueuedRequest | None:
        for queue in self._queues:
            while queue and queue[0].deadline_at <= now:
                queue.popleft()
                self._length -= 1
                self.expired += 1
            if queue:
                return queue[0]
        return None

    def take(self, now: float, entry: QueuedRequest, count: int, cost_s: float) -> list[TaskSize]:
        self._queues[entry.request.urgency if self._by_urgency else 0].popleft()
        self._length -= 1
        return [entry.remaining.popleft()]

    def correct_cost(self, flow: FlowKey, estimated_s: float, actual_s: float) -> None:
        pass

    def expire(self, now: float) -> list[QueuedRequest]:
        self.expired, expired = 0, self.expired
        return [_EXPIRED_REQUEST] * expired

    def expected_wait(self, now: float, flow: FlowKey, urgency: Urgency | None = None) -> float:
        return 0.0


@dataclass(kw_only=True)
class Outcome:
    """Counters and response times of one run.

    :param offered: quiet jobs that arrived after the warm-up, by kind.
    :param done: those of them that completed, at most 5 s after their deadline, by kind.
    :param retries: resubmissions after a refusal with a retry hint.
    :param retries_granted: jobs that got a slot after at least one refusal.
    :param expired: jobs whose deadline passed in the queue.
    """

    response_by_kind: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    offered: Counter = field(default_factory=Counter)
    done: Counter = field(default_factory=Counter)
    slot_requests: int = 0
    refused_at_host: int = 0
    refused_at_scheduler: int = 0
    retries: int = 0
    retries_granted: int = 0
    flood_done: int = 0
    expired: int = 0


class FloodSimulation:
    """Runs a list of arrivals against one queue.

    :param policy: ``fair``, ``fifo`` or ``strict``.
    :param warm_up_s: quiet jobs that arrive before this time are not counted.
    :param client_retries: maximum number of retries per job.
    """

    def __init__(
        self,
        *,
        policy: str,
        slots: int,
        seconds: float,
        warm_up_s: float,
        client_retries: int = MAX_CLIENT_RETRIES,
    ) -> None:
        self.config = FixedConfig(flood_config())
        self.queue: FairQueue | PlainQueue
        if policy == "fair":
            self.queue = FairQueue(config=self.config)
            self.queue.set_capacity(float(slots))
        else:
            self.queue = PlainQueue(by_urgency=policy == "strict")
        self.admissions = [Admission(config=self.config) for _ in range(HOSTS)]
        self.outcome = Outcome()
        self._client_retries = client_retries
        self._free = slots
        self._seconds = seconds
        self._warm_up_s = warm_up_s
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()
        self._cost_by_kind = {k.name: k.mean_s for k in KINDS}
        self._bodies: dict[tuple[str, Urgency], SubmissionBody] = {}
        self.now = 0.0

    def run(self, jobs: Sequence[Job]) -> Outcome:
        """Run to the end of the measured time; unfinished jobs count as not done."""
        index = 0
        while True:
            next_job = jobs[index].at if index < len(jobs) else float("inf")
            next_event = self._heap[0][0] if self._heap else float("inf")
            self.now = min(next_job, next_event)
            if self.now >= self._seconds:
                return self.outcome
            if next_job <= next_event:
                job = jobs[index]
                index += 1
                if not job.flood and job.at >= self._warm_up_s:
                    self.outcome.offered[job.kind] += 1
                self._submit(job)
            else:
                heapq.heappop(self._heap)[2]()

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + delay, next(self._number), action))

    def _submit(self, job: Job) -> None:
        job.tries += 1
        body = self._body(job)
        refusal = self.admissions[job.host].check(self.now, job.caller, body)
        if refusal is not None:
            self.outcome.refused_at_host += 1
            self._handle_refusal(job, refusal.retry_after_s)
            return
        self.outcome.slot_requests += 1
        self._after(LATENCY_S, lambda: self._request_slot(job))

    def _body(self, job: Job) -> SubmissionBody:
        key = (job.kind, job.urgency)
        if key not in self._bodies:
            self._bodies[key] = SubmissionBody(
                kind=job.kind,
                tasks=(TaskSpec(payload=b"0"),),
                urgency=job.urgency,
                deadline_s=DEADLINE_S,
            )
        return self._bodies[key]

    def _request_slot(self, job: Job) -> None:
        size = TaskSize(index=0)
        ask = SlotAsk(
            submission_id=f"{job.flood:d}/{job.kind}/{job.number}",
            pool="p",
            caller=job.caller,
            team="t",
            kind=job.kind,
            urgency=job.urgency,
            deadline_s=DEADLINE_S,
            tasks=(size,),
        )
        entry = _JobRequest(
            owner=str(job.host),
            request=ask,
            requested_at=self.now,
            deadline_at=self.now + DEADLINE_S,
            remaining=deque((size,)),
        )
        entry.job = job
        refusal = self.queue.add(self.now, entry)
        if refusal is not None:
            self._refuse(job, refusal)
        else:
            self._dispatch()

    def _refuse(self, job: Job, refusal: QueueRefusal) -> None:
        self.outcome.refused_at_scheduler += 1
        wait_s = self.queue.expected_wait(self.now, (job.caller, job.kind), job.urgency)

        def arrive() -> None:
            flow = (job.caller, job.kind)
            admission = self.admissions[job.host]
            admission.record_wait(self.now, flow, wait_s, job.urgency)
            admission.record_refusal(self.now, flow, refusal.reason, refusal.retry_after_s)
            self._handle_refusal(job, refusal.retry_after_s)

        self._after(LATENCY_S, arrive)

    def _handle_refusal(self, job: Job, retry_after_s: float | None) -> None:
        job.refused += 1
        if job.refused <= self._client_retries and retry_after_s is not None:
            self.outcome.retries += 1
            self._after(retry_after_s, lambda: self._submit(job))

    def _dispatch(self) -> None:
        self.outcome.expired += len(self.queue.expire(self.now))
        while self._free:
            entry = self.queue.select(self.now)
            if entry is None:
                return
            assert isinstance(entry, _JobRequest)
            job = entry.job
            cost_s = self._cost_by_kind[job.kind]
            self.queue.take(self.now, entry, 1, cost_s)
            self._free -= 1
            if job.refused:
                self.outcome.retries_granted += 1
            wait_s = self.queue.expected_wait(self.now, entry.flow, job.urgency)
            flow = entry.flow
            self.admissions[job.host].record_wait(self.now + LATENCY_S, flow, wait_s, job.urgency)
            self._after(2 * LATENCY_S + job.work_s, self._end_of(job, cost_s))

    def _end_of(self, job: Job, cost_s: float) -> Callable[[], None]:
        def finish() -> None:
            self._free += 1
            self.queue.correct_cost((job.caller, job.kind), cost_s, job.work_s)
            self.outcome.flood_done += job.flood
            response_s = self.now + LATENCY_S - job.at
            if not job.flood and job.at >= self._warm_up_s and response_s <= DEADLINE_S + 5.0:
                self.outcome.done[job.kind] += 1
                self.outcome.response_by_kind[job.kind].append(response_s)
            self._dispatch()

        return finish


@dataclass(slots=True, kw_only=True)
class _JobRequest(QueuedRequest):
    job: Job = field(init=False)
