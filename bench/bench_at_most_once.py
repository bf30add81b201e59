"""Messages for the witness's record, and what a resubmission learns after its owner died.

Each way of keeping the record runs on the real cores of nine hosts under the same load:

* ``none``: ids name no witness; the owner starts without a record.
* ``one, of its own``: ids name a witness that is not the scheduler; the record is two messages.
* ``one, the scheduler``: ids are taken for a kind of work; the ask is the record.

``home`` is the last way with each submission sent to a random host instead of the owner, which is
what ids that callers make and hosts hash to a home would cost in forwarded calls.

In the second part a host that schedules nothing is killed or drained in mid-load, or the scheduler
of the requests is killed. Its clients repeat what was not
answered at other hosts 3 s later, and go on using the ids that they had reserved.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from functools import partial

from absl import app, flags

from bench.virtual import EPOCH, Reply, VirtualSite, loopback_hosts
from eelgrassyard.policy import (
    DrainCalled,
    Drained,
    IdsCalled,
    KindEntry,
    OutcomeKind,
    ReplyIds,
    ReplyState,
    SiteConfig,
    StartResult,
    StartTask,
    SubmissionBody,
    SubmitCalled,
    TaskSpec,
    UpstreamEntry,
    UpstreamRole,
)

_JSON = flags.DEFINE_bool("json", False, "Print only the JSON line.")

DOMAINS = ("patan", "thamel", "bhaktapur")
HOSTS = tuple(f"{domain}-{number}" for domain in DOMAINS for number in (1, 2, 3))
HOST_ENDS = ("killed", "scheduler killed", "drained")
VARIANTS = ("none", "one, of its own", "one, the scheduler")
SEEDS = (31, 32)
SETTLE_S = 5.0
LOAD_S = 12.0
REQUESTS_PER_S = 300.0
JOBS_PER_S = 5.0
TASKS_PER_JOB = 20
MEAN_RUN_S = 0.3
RESERVED_IDS = 50
HOST_END_AT_S = 6.0
RESUBMIT_AFTER_S = 3.0
RECORD_MESSAGE_TYPES = ("WitnessRecord", "WitnessAck")
FORWARD_MESSAGE_TYPES = ("ForwardCall", "ForwardReply")
SLOT_MESSAGE_TYPES = (
    "SlotAsk",
    "SlotGrant",
    "SlotRelease",
    "SlotRefusal",
    "SlotWithdraw",
    "SlotHeld",
)
DEFINITE = (OutcomeKind.COMPLETE, OutcomeKind.FAILED, OutcomeKind.NOT_RUN)


def make_config() -> SiteConfig:
    """Nine hosts, 24 runners with 8 slots and 24 workers with 64 cores."""
    upstreams = [
        UpstreamEntry(
            name=f"{role.value}-{number}",
            role=role,
            url="",
            failure_domain=DOMAINS[number % len(DOMAINS)],
            rack=f"rack-{number % len(DOMAINS)}",
            service="stamper" if role is UpstreamRole.RUNNER else "",
            slots=8 if role is UpstreamRole.RUNNER else 0,
            cores=64.0 if role is UpstreamRole.WORKER else 0.0,
            memory_mb=128_000 if role is UpstreamRole.WORKER else 0,
        )
        for role in UpstreamRole
        for number in range(24)
    ]
    return SiteConfig(
        site="bagmati",
        failure_domains=DOMAINS,
        hosts_by_name=loopback_hosts(HOSTS),
        upstreams_by_name={entry.name: entry for entry in upstreams},
        kinds_by_name={
            "stamp": KindEntry(name="stamp", service="stamper", share=0.5),
            "rule": KindEntry(name="rule", share=0.5),
        },
    )


@dataclass(slots=True)
class Submission:
    """One submission of a client.

    :param owner: host that issued the id.
    """

    submission_id: str
    owner: str
    body: SubmissionBody
    sent_at: float
    outcomes: list[OutcomeKind] = field(default_factory=list)


class ClientLoad:
    """Clients of one site, each with ids reserved at the host it uses.

    :param way: one of ``VARIANTS``.
    :param at_random: submit at a random host instead of the owner.
    """

    def __init__(self, variant: str, *, seed: int, random_host: bool = False) -> None:
        self.variant = variant
        self.random_host = random_host
        self.random = random.Random(seed)
        self.run_times = random.Random(seed + 1)
        self.site = VirtualSite(config=make_config(), seed=seed, run_time=self._run_time)
        self.ids: dict[tuple[str, str], list[str]] = {(h, k): [] for h in HOSTS for k in KINDS}
        self.submissions: list[Submission] = []
        self.ended_hosts: set[str] = set()
        self.site.start_all()
        self.site.run_until(EPOCH + SETTLE_S)
        if variant == "none":
            for host in self.site.host_by_name.values():
                assert host.core is not None
                host.core.membership.witness_for = lambda sequence: None  # type: ignore[method-assign]
        self.site.messages_by_type.clear()

    def _run_time(self, action: StartTask, entry: UpstreamEntry) -> tuple[float, StartResult]:
        return self.run_times.expovariate(1.0 / MEAN_RUN_S), StartResult.OK

    def start(self) -> None:
        """Plan all submissions."""
        for kind, rate in (("stamp", REQUESTS_PER_S), ("rule", JOBS_PER_S)):
            at = self.site.now
            while at < EPOCH + SETTLE_S + LOAD_S:
                at += self.random.expovariate(rate)
                self.site.at(at, partial(self._on_arrival, kind, self.random.choice(HOSTS)))

    def _on_arrival(self, kind: str, host: str) -> None:
        reserved = self.ids[host, kind]
        if not reserved and host not in self.ended_hosts:
            id_kind = kind if self.variant == "one, the scheduler" else ""
            self.site.call(
                host,
                lambda n: IdsCalled(call=n, caller="till", count=RESERVED_IDS, kind=id_kind),
                lambda reply: self._store_ids(reserved, reply),
            )
            self.site.after(0.0, lambda: self._submit_next(kind, host))
        else:
            self._submit_next(kind, host)

    def _store_ids(self, reserved: list[str], reply: Reply) -> None:
        if isinstance(reply, ReplyIds):
            reserved.extend(reply.ids)

    def _submit_next(self, kind: str, host: str) -> None:
        if not self.ids[host, kind]:
            return
        count = TASKS_PER_JOB if kind == "rule" else 1
        body = SubmissionBody(
            kind=kind, tasks=tuple(TaskSpec(payload=b"{}") for _ in range(count)), deadline_s=20.0
        )
        submission = Submission(self.ids[host, kind].pop(), host, body, self.site.now)
        self.submissions.append(submission)
        self.submit(submission, self.random.choice(HOSTS) if self.random_host else host)

    def submit(self, submission: Submission, host: str) -> None:
        """Submit, at another host if this one is gone."""
        while host in self.ended_hosts:
            host = self.random.choice(HOSTS)

        def record_outcome(reply: Reply) -> None:
            if isinstance(reply, ReplyState) and reply.outcome is not None:
                submission.outcomes.append(reply.outcome.kind)

        self.site.call(
            host,
            lambda n: SubmitCalled(
                call=n,
                caller="till",
                submission_id=submission.submission_id,
                body=submission.body,
                wait_s=30.0,
            ),
            record_outcome,
        )

    def end_host(self, host: str, *, planned: bool) -> None:
        """Kill a host, or drain it; from now on its clients use other hosts."""
        self.ended_hosts.add(host)
        if planned:
            self.site.deliver(host, DrainCalled())
        else:
            self.site.kill(host)

    def resubmit_unanswered(self, host: str) -> list[Submission]:
        """Repeat at other hosts what the owner ``host`` has not answered; returns it."""
        unanswered = [s for s in self.submissions if s.owner == host and not s.outcomes]
        for submission in unanswered:
            self.submit(submission, self.random.choice(HOSTS))
        return unanswered


KINDS = ("stamp", "rule")


def measure_messages(variant: str, *, random_host: bool = False) -> dict[str, float]:
    """Messages between hosts per submission and per task."""
    clients = ClientLoad(variant, seed=SEEDS[0], random_host=random_host)
    clients.start()
    clients.site.run_until(EPOCH + SETTLE_S + LOAD_S + 10.0)
    assert all(s.outcomes == [OutcomeKind.COMPLETE] for s in clients.submissions)
    counts = clients.site.messages_by_type
    submissions = len(clients.submissions)
    tasks = sum(len(s.body.tasks) for s in clients.submissions)
    record = sum(counts[name] for name in RECORD_MESSAGE_TYPES)
    forward = sum(counts[name] for name in FORWARD_MESSAGE_TYPES)
    slots = sum(counts[name] for name in SLOT_MESSAGE_TYPES)
    return {
        "submissions": submissions,
        "tasks": tasks,
        "record_per_submission": record / submissions,
        "record_per_task": record / tasks,
        "forward_per_submission": forward / submissions,
        "slots_per_task": slots / tasks,
    }


def measure_answers(variant: str, end: str) -> dict[str, float]:
    """Shares of definite answers when a host ends, over all seeds.

    :param end: one of ``ENDS``.
    """
    own_before: list[Submission] = []
    own_after: list[Submission] = []
    others: list[Submission] = []
    for seed in SEEDS:
        clients = ClientLoad(variant, seed=seed)
        clients.start()
        site = clients.site
        ended_at = EPOCH + SETTLE_S + HOST_END_AT_S
        site.run_until(ended_at)
        host = pick_host(clients, end)
        answered = {s.submission_id for s in clients.submissions if s.outcomes}
        clients.end_host(host, planned=end == "drained")
        site.run_until(ended_at + RESUBMIT_AFTER_S)
        if end == "drained":
            assert [n for _, n, a in site.unhandled_actions if isinstance(a, Drained)] == [host]
            site.kill(host)
        clients.resubmit_unanswered(host)
        site.run_until(EPOCH + SETTLE_S + LOAD_S + 30.0)
        own = [
            s for s in clients.submissions if s.owner == host and s.submission_id not in answered
        ]
        own_before += [s for s in own if s.sent_at < ended_at]
        own_after += [s for s in own if s.sent_at >= ended_at]
        others += [s for s in clients.submissions if s.owner != host]
    return {
        "in_progress": len(own_before),
        "in_progress_definite": ratio_with_outcome(own_before, DEFINITE),
        "sent_after": len(own_after),
        "sent_after_definite": ratio_with_outcome(own_after, DEFINITE),
        "others": len(others),
        "others_complete": ratio_with_outcome(others, (OutcomeKind.COMPLETE,)),
        "others_not_run": ratio_with_outcome(others, (OutcomeKind.NOT_RUN,)),
    }


def pick_host(clients: ClientLoad, end: str) -> str:
    """The scheduler of the requests, or a host that schedules nothing."""
    core = clients.site.host_by_name[HOSTS[0]].core
    assert core is not None
    pools = ("service:stamper", "workers")
    schedulers = [core.membership.scheduler_for(pool) for pool in pools]
    if end == "scheduler killed":
        return schedulers[0]
    return next(host for host in HOSTS if host not in schedulers)


def ratio_with_outcome(group: list[Submission], kinds: tuple[OutcomeKind, ...]) -> float:
    """Share of submissions that were told one of the outcomes."""
    return sum(any(kind in kinds for kind in s.outcomes) for s in group) / len(group)


def main(argv: list[str]) -> None:
    """Run all ways; prints two tables and a JSON line."""
    messages = {variant: measure_messages(variant) for variant in VARIANTS}
    messages["home"] = measure_messages(VARIANTS[-1], random_host=True)
    answers = {
        f"{variant}; {end}": measure_answers(variant, end)
        for variant in VARIANTS
        for end in HOST_ENDS
    }
    if not _JSON.value:
        print_tables(messages, answers)
    print(json.dumps({"bench": "at_most_once", "messages": messages, "answers": answers}))


def print_tables(
    messages: dict[str, dict[str, float]], answers: dict[str, dict[str, float]]
) -> None:
    """Print what was measured."""
    print(
        f"{'witness':<22}{'record/sub.':>12}{'record/task':>12}{'forward/sub.':>13}{'slots/task':>12}"
    )
    for variant, row in messages.items():
        print(
            f"{variant:<22}{row['record_per_submission']:>12.3f}{row['record_per_task']:>12.3f}"
            f"{row['forward_per_submission']:>13.3f}{row['slots_per_task']:>12.3f}"
        )
    print()
    print(
        f"{'witness; end of the owner':<38}{'in progress':>12}{'definite':>10}"
        f"{'sent after':>12}{'definite':>10}{'others ok':>11}{'not_run':>9}"
    )
    for variant, row in answers.items():
        print(
            f"{variant:<38}{row['in_progress']:>12.0f}{row['in_progress_definite']:>10.1%}"
            f"{row['sent_after']:>12.0f}{row['sent_after_definite']:>10.1%}"
            f"{row['others_complete']:>11.1%}{row['others_not_run']:>9.1%}"
        )


if __name__ == "__main__":
    app.run(main)
