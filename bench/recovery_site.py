"""Simulated site under light load: callers that retry, and checks of the guarantees to them."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bench.store_site import StoreSite, make_config
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
RACK_SIZE = 8
MEAN_RUN_S = 0.25
WAIT_S = 10.0
"""Time for which a host may hold a call open until the outcome is known."""

CALL_TIMEOUT_S = 12.0
"""Time after which a caller considers a call without reply as lost."""

MAX_CALLS = 5
"""Calls for one submission, the request for its id included, before its caller gives up."""

RETRY_DELAY_S = 2.0

NO_AFFINITY_RATIO = 0.25
"""Fraction of submissions whose caller keeps no connection to the host that issued the id."""


def recovery_config(hosts: int, ping_interval_s: float) -> SiteConfig:
    """Configuration of a site of the size of Bagmati."""
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
        failure_domain=f"d{number // RACK_SIZE}",
        rack=f"rack-{number // RACK_SIZE}",
        cores=64.0,
        memory_mb=131_072,
    )


@dataclass(kw_only=True)
class TrackedSubmission:
    """A submission as seen by its caller.

    :param no_affinity: the caller picks any ready host instead of the one that issued the id.
    :param owner: host that issued the id.
    :param outcome: the last outcome received; None if there was none.
    :param outcome_kinds: kinds of all outcomes received.
    :param calls: number of calls made for it.
    :param reasons: reasons of the outcomes and refusals received.
    """

    kind: str
    tasks: int
    submitted_at: float
    no_affinity: bool = False
    submission_id: str = ""
    owner: str = ""
    answered_at: float = 0.0
    outcome: Outcome | None = None
    outcome_kinds: list[OutcomeKind] = field(default_factory=list)
    calls: int = 0
    refused: bool = False
    reasons: list[str] = field(default_factory=list)


class RecoverySite(StoreSite):
    """Simulates a site with callers and checks the guarantees of the system.

    :param rate: submissions per second over all hosts.
    """

    def __init__(self, *, hosts: int, seed: int, rate: float, ping_interval_s: float) -> None:
        super().__init__(config=recovery_config(hosts, ping_interval_s), seed=seed)
        self.rate = rate
        self.submissions: list[TrackedSubmission] = []
        self.violations: Counter[str] = Counter()
        self._load_random = random.Random(seed + 1)
        self.run_time = self._run_time
        self._load_on = False
        self._revision_by_incarnation: dict[tuple[str, int], int] = {}

    # Load

    def start_load(self) -> None:
        """Start the arrival process of submissions."""
        self._load_on = True
        self._submit_next()

    def stop_load(self) -> None:
        """Stop the arrival process."""
        self._load_on = False

    def ready_hosts(self) -> list[str]:
        """Hosts that a load balancer would choose: running and ready."""
        return [name for name in self.running() if self.ready_by_host.get(name)]

    def _run_time(self, start: object, upstream: object) -> tuple[float, StartResult]:
        return min(2.0, self._load_random.expovariate(1 / MEAN_RUN_S) + 0.02), StartResult.OK

    def _submit_next(self) -> None:
        if not self._load_on:
            return
        kind = self._load_random.choice(("check", "check", "stamp", "rule"))
        tasks = 4 if kind == "rule" else 1
        no_affinity = self._load_random.random() < NO_AFFINITY_RATIO
        tracked = TrackedSubmission(
            kind=kind, tasks=tasks, submitted_at=self.now, no_affinity=no_affinity
        )
        self.submissions.append(tracked)
        self._request_id(tracked)
        self.after(self._load_random.expovariate(self.rate), self._submit_next)

    def _request_id(self, tracked: TrackedSubmission) -> None:
        self._call(
            tracked,
            lambda n: IdsCalled(call=n, caller="clerk", count=1, kind=tracked.kind),
            lambda: self._request_id(tracked),
        )

    def _submit(self, tracked: TrackedSubmission) -> None:
        body = SubmissionBody(
            kind=tracked.kind,
            tasks=tuple(TaskSpec(payload=b"{}") for _ in range(tracked.tasks)),
            idempotent=tracked.kind == "check",
        )
        self._call(
            tracked,
            lambda n: SubmitCalled(
                call=n,
                caller="clerk",
                submission_id=tracked.submission_id,
                body=body,
                wait_s=WAIT_S,
            ),
            lambda: self._submit(tracked),
        )

    def _call(
        self,
        tracked: TrackedSubmission,
        make_event: Callable[[int], object],
        retry: Callable[[], None],
    ) -> None:
        hosts = self.ready_hosts()
        if tracked.owner in hosts and tracked.calls < 2 and not tracked.no_affinity:
            hosts = [tracked.owner]
        tracked.calls += 1
        answered = False

        def on_reply(reply: ReplyIds | ReplyState | ReplyRefusal) -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._handle_reply(tracked, reply, retry)

        def give_up() -> None:
            nonlocal answered
            if not answered:
                answered = True
                self._retry(tracked, retry)

        self.after(CALL_TIMEOUT_S if hosts else RETRY_DELAY_S, give_up)
        if hosts:
            name = self._load_random.choice(hosts)
            self.call(name, make_event, on_reply)  # type: ignore[arg-type]

    def _handle_reply(
        self,
        tracked: TrackedSubmission,
        reply: ReplyIds | ReplyState | ReplyRefusal,
        retry: Callable[[], None],
    ) -> None:
        match reply:
            case ReplyIds(ids=ids):
                tracked.submission_id = ids[0]
                tracked.owner = ids[0].split(".")[0]
                self._submit(tracked)
            case ReplyState(outcome=None):
                self._retry(tracked, retry)
            case ReplyState(outcome=outcome):
                tracked.outcome = outcome
                tracked.answered_at = self.now
                tracked.outcome_kinds.append(outcome.kind)
                tracked.reasons.append(str(outcome.reason))
                if outcome.kind == OutcomeKind.UNKNOWN:
                    self._retry(tracked, retry)
            case ReplyRefusal():
                tracked.refused = True
                tracked.reasons.append(str(reply.reason))
                self._retry(tracked, retry)

    def _retry(self, tracked: TrackedSubmission, retry: Callable[[], None]) -> None:
        if tracked.calls < MAX_CALLS:
            self.after(RETRY_DELAY_S, retry)

    # Faults

    def crash_upstreams(self, names: list[str]) -> None:
        """Crash upstreams; the tasks that run on them are lost."""
        for name in names:
            upstream = self.upstream_by_name[name]
            upstream.up = False
            self._fail_starts(upstream)

    def restore_upstreams(self, names: list[str]) -> None:
        """Bring crashed upstreams back."""
        for name in names:
            self.upstream_by_name[name].up = True

    def _fail_starts(self, upstream: VirtualUpstream) -> None:
        for host, generation, start in list(upstream.running_by_start):
            lost = upstream.running_by_start.pop((host, generation, start), None) is not None
            if lost and self.host_by_name[host].generation == generation:
                event = StartFinished(
                    start=start, upstream=upstream.entry.name, result=StartResult.LOST, run_s=0.0
                )
                self.deliver(host, event)
        upstream.used = 0.0

    # Checks

    def has_converged(self) -> bool:
        """Whether all running hosts are ready and agree on hosts, configuration and schedulers."""
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
        """Record a violation for each host whose configuration revision has decreased."""
        for name, core in self.running().items():
            key = (name, core.identity.incarnation)
            revision = core.configsync.revision
            if revision < self._revision_by_incarnation.get(key, 0):
                self.violations["configuration revision decreased"] += 1
            self._revision_by_incarnation[key] = revision

    def check_guarantees(self) -> None:
        """Record violated guarantees of all submissions; to be called after the load has ended."""
        for tracked in self.submissions:
            starts = [
                self.starts_by_task[tracked.submission_id, index] for index in range(tracked.tasks)
            ]
            if tracked.kind != "check" and max(starts) > 1:
                self.violations["started twice"] += 1
            if OutcomeKind.NOT_RUN in tracked.outcome_kinds and max(starts) > 0:
                self.violations["ran although reported as not run"] += 1
            if OutcomeKind.COMPLETE in tracked.outcome_kinds and not self._has_all_results(
                tracked, starts
            ):
                self.violations["incomplete or wrong results"] += 1
            if len(set(tracked.outcome_kinds) - {OutcomeKind.UNKNOWN}) > 1:
                self.violations["two outcomes"] += 1

    def _has_all_results(self, tracked: TrackedSubmission, starts: list[int]) -> bool:
        expected = tuple(
            b'"%s/%d"' % (tracked.submission_id.encode(), index) for index in range(tracked.tasks)
        )
        outcome = tracked.outcome
        return outcome is not None and outcome.results == expected and min(starts) > 0
