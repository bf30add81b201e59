"""A site under a light load, with callers that repeat and a ledger that checks every promise."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bench.spread import SpreadSite, make_config
from bench.virtual import VirtualUpstream
from eelgrassyard.policy import (
    CallerEntry,
    IdsCalled,
    KindEntry,
    Outcome,
    OutcomeKind,
    ReplyIds,
    ReplyRefusal,
    ReplyState,
    SiteConfig,
    StartFinished,
    StartResult,
    SubmissionBody,
    SubmitCalled,
    TaskSpec,
    TeamEntry,
    UpstreamEntry,
    UpstreamRole,
)

DOMAINS = 3
RUNNERS = 24
WORKERS = 24
RACK = 8
MEAN_RUN_S = 0.25
WAIT_S = 10.0
"""Time for which a call is held open."""

CALL_TIMEOUT_S = 12.0
"""Time after which a caller takes a call without a reply for lost."""

REPEATS = 5
"""Calls with the same id before a caller gives up."""

REPEAT_PAUSE_S = 2.0

ROAMING = 0.25
"""Part of the callers whose connection to the issuer of the id is not kept."""


def recovery_config(hosts: int, ping_interval_s: float) -> SiteConfig:
    """A site of the size of Bagmati."""
    base = make_config(hosts, DOMAINS)
    upstreams = [_runner(number) for number in range(RUNNERS)]
    upstreams += [_worker(number) for number in range(WORKERS)]
    kinds = (
        KindEntry(name="check", service="ledger", typical_s=MEAN_RUN_S, idempotent=True),
        KindEntry(name="stamp", service="ledger", typical_s=MEAN_RUN_S),
        KindEntry(name="rule", typical_s=MEAN_RUN_S),
    )
    return replace(
        base,
        upstreams_by_name={entry.name: entry for entry in upstreams},
        kinds_by_name={kind.name: kind for kind in kinds},
        callers_by_name={"clerk": CallerEntry(name="clerk", team="registry")},
        teams_by_name={"registry": TeamEntry(name="registry")},
        limits=replace(
            base.limits,
            ping_interval_s=ping_interval_s,
            remote_ping_interval_s=2 * ping_interval_s,
        ),
    )


def _runner(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        name=f"runner-{number}",
        role=UpstreamRole.RUNNER,
        url=f"http://10.1.0.{number}:8000",
        failure_domain=f"d{number % DOMAINS}",
        service="ledger",
        slots=8,
    )


def _worker(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        name=f"worker-{number}",
        role=UpstreamRole.WORKER,
        url=f"http://10.2.0.{number}:8000",
        failure_domain=f"d{number // RACK}",
        rack=f"rack-{number // RACK}",
        cores=64.0,
        memory_mb=131_072,
    )


@dataclass(kw_only=True)
class Record:
    """One submission as its caller sees it.

    :param roams: the caller submits at another host than the one that issued the id.
    :param outcome: the last outcome that was told; None if there was none.
    :param told: kinds of all outcomes that were told.
    :param reasons: reasons of the outcomes and refusals that were told.
    """

    kind: str
    tasks: int
    submitted_at: float
    roams: bool = False
    submission_id: str = ""
    owner: str = ""
    answered_at: float = 0.0
    outcome: Outcome | None = None
    told: list[OutcomeKind] = field(default_factory=list)
    calls: int = 0
    refused: bool = False
    reasons: list[str] = field(default_factory=list)


class RecoverySite(SpreadSite):
    """A site with callers.

    :param rate: submissions per second over all hosts.
    """

    def __init__(self, *, hosts: int, seed: int, rate: float, ping_interval_s: float) -> None:
        super().__init__(config=recovery_config(hosts, ping_interval_s), seed=seed)
        self.rate = rate
        self.records: list[Record] = []
        self.broken: Counter[str] = Counter()
        self._load_random = random.Random(seed + 1)
        self.run_time = self._run_time
        self._loading = False
        self._revision_by_incarnation: dict[tuple[str, int], int] = {}

    # Load

    def start_load(self) -> None:
        """Begin to submit."""
        self._loading = True
        self._submit_next()

    def stop_load(self) -> None:
        """Submit no more."""
        self._loading = False

    def ready_hosts(self) -> list[str]:
        """Hosts that a load balancer would choose: running, not paused and ready."""
        return [name for name in self.running() if self.ready_by_host.get(name)]

    def _run_time(self, start: object, upstream: object) -> tuple[float, StartResult]:
        return min(2.0, self._load_random.expovariate(1 / MEAN_RUN_S) + 0.02), StartResult.OK

    def _submit_next(self) -> None:
        if not self._loading:
            return
        kind = self._load_random.choice(("check", "check", "stamp", "rule"))
        tasks = 4 if kind == "rule" else 1
        roams = self._load_random.random() < ROAMING
        record = Record(kind=kind, tasks=tasks, submitted_at=self.now, roams=roams)
        self.records.append(record)
        self._take_id(record)
        self.after(self._load_random.expovariate(self.rate), self._submit_next)

    def _take_id(self, record: Record) -> None:
        self._call(
            record,
            lambda n: IdsCalled(call=n, caller="clerk", count=1, kind=record.kind),
            lambda: self._take_id(record),
        )

    def _put(self, record: Record) -> None:
        body = SubmissionBody(
            kind=record.kind,
            tasks=tuple(TaskSpec(payload=b"{}") for _ in range(record.tasks)),
            idempotent=record.kind == "check",
        )
        self._call(
            record,
            lambda n: SubmitCalled(
                call=n,
                caller="clerk",
                submission_id=record.submission_id,
                body=body,
                wait_s=WAIT_S,
            ),
            lambda: self._put(record),
        )

    def _call(
        self, record: Record, make_event: Callable[[int], object], repeat: Callable[[], None]
    ) -> None:
        hosts = self.ready_hosts()
        if record.owner in hosts and record.calls < 2 and not record.roams:
            hosts = [record.owner]
        record.calls += 1
        answered = False

        def on_reply(reply: ReplyIds | ReplyState | ReplyRefusal) -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._take_reply(record, reply, repeat)

        def give_up() -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._repeat(record, repeat)

        self.after(CALL_TIMEOUT_S if hosts else REPEAT_PAUSE_S, give_up)
        if hosts:
            name = self._load_random.choice(hosts)
            self.call(name, make_event, on_reply)  # type: ignore[arg-type]

    def _take_reply(
        self,
        record: Record,
        reply: ReplyIds | ReplyState | ReplyRefusal,
        repeat: Callable[[], None],
    ) -> None:
        match reply:
            case ReplyIds(ids=ids):
                record.submission_id = ids[0]
                record.owner = ids[0].split(".")[0]
                self._put(record)
            case ReplyState(outcome=None):
                self._repeat(record, repeat)
            case ReplyState(outcome=outcome):
                record.outcome = outcome
                record.answered_at = self.now
                record.told.append(outcome.kind)
                record.reasons.append(str(outcome.reason))
                if outcome.kind == OutcomeKind.UNKNOWN:
                    self._repeat(record, repeat)
            case ReplyRefusal():
                record.refused = True
                record.reasons.append(str(reply.reason))
                self._repeat(record, repeat)

    def _repeat(self, record: Record, repeat: Callable[[], None]) -> None:
        if record.calls < REPEATS:
            self.after(REPEAT_PAUSE_S, repeat)

    # Faults

    def lose_upstreams(self, names: list[str]) -> None:
        """Take upstreams down with all that they run."""
        for name in names:
            upstream = self.upstream_by_name[name]
            upstream.up = False
            self._lose_starts(upstream)

    def restore_upstreams(self, names: list[str]) -> None:
        """Bring upstreams back."""
        for name in names:
            self.upstream_by_name[name].up = True

    def _lose_starts(self, upstream: VirtualUpstream) -> None:
        for host, generation, start in list(upstream.running_by_start):
            lost = upstream.running_by_start.pop((host, generation, start), None) is not None
            if lost and self.host_by_name[host].generation == generation:
                event = StartFinished(
                    start=start, upstream=upstream.entry.name, result=StartResult.LOST, run_s=0.0
                )
                self.deliver(host, event)
        upstream.used = 0.0

    # Checks

    def is_settled(self) -> bool:
        """Tell whether all hosts agree on the hosts, the configuration and the schedulers."""
        cores = list(self.running().values())
        pools = ("service:ledger", "workers")
        expected = tuple(sorted(self.running()))
        return (
            all(self.ready_by_host.get(name) for name in expected)
            and all(tuple(core.membership.alive_hosts()) == expected for core in cores)
            and all(core.configsync.revision == self.stored_revision for core in cores)
            and all(len({c.membership.scheduler_for(pool) for c in cores}) == 1 for pool in pools)
        )

    def check_revisions(self) -> None:
        """Count hosts whose configuration went back."""
        for name, core in self.running().items():
            key = (name, core.identity.incarnation)
            revision = core.configsync.revision
            if revision < self._revision_by_incarnation.get(key, 0):
                self.broken["configuration went back"] += 1
            self._revision_by_incarnation[key] = revision

    def check_promises(self) -> None:
        """Count broken promises over all submissions; call it after the load has ended."""
        for record in self.records:
            starts = [
                self.starts_by_task[record.submission_id, index] for index in range(record.tasks)
            ]
            if record.kind != "check" and max(starts) > 1:
                self.broken["started twice"] += 1
            if OutcomeKind.NOT_RUN in record.told and max(starts) > 0:
                self.broken["not run, but ran"] += 1
            if OutcomeKind.COMPLETE in record.told and not self._is_whole(record, starts):
                self.broken["partial or foreign answer"] += 1
            if len(set(record.told) - {OutcomeKind.UNKNOWN}) > 1:
                self.broken["two outcomes"] += 1

    def _is_whole(self, record: Record, starts: list[int]) -> bool:
        expected = tuple(
            b'"%s/%d"' % (record.submission_id.encode(), index) for index in range(record.tasks)
        )
        outcome = record.outcome
        return outcome is not None and outcome.results == expected and min(starts) > 0
