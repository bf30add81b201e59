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
ENDS = ("killed", "scheduler killed", "drained")
WAYS = ("none", "one, of its own", "one, the scheduler")
SEEDS = (31, 32)
SETTLE_S = 5.0
LOAD_S = 12.0
REQUESTS_PER_S = 300.0
JOBS_PER_S = 5.0
TASKS_PER_JOB = 20
MEAN_RUN_S = 0.3
RESERVED_IDS = 50
DEATH_AT_S = 6.0
REPEAT_AFTER_S = 3.0
RECORD_MESSAGES = ("WitnessRecord", "WitnessAck")
FORWARD_MESSAGES = ("ForwardCall", "ForwardReply")
TASK_MESSAGES = ("SlotAsk", "SlotGrant", "SlotRelease", "SlotRefusal", "SlotWithdraw", "SlotHeld")
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
class Sent:
    """One submission of a client.

    :param owner: host that issued the id.
    """

    text: str
    owner: str
    body: SubmissionBody
    at: float
    outcomes: list[OutcomeKind] = field(default_factory=list)


class Load:
    """Clients of one site, each with ids reserved at the host it uses.

    :param way: one of ``WAYS``.
    :param at_random: submit at a random host instead of the owner.
    """

    def __init__(self, way: str, *, seed: int, at_random: bool = False) -> None:
        self.way = way
        self.at_random = at_random
        self.random = random.Random(seed)
        self.run_times = random.Random(seed + 1)
        self.site = VirtualSite(config=make_config(), seed=seed, run_time=self._run_time)
        self.ids: dict[tuple[str, str], list[str]] = {(h, k): [] for h in HOSTS for k in KINDS}
        self.sent: list[Sent] = []
        self.gone: set[str] = set()
        self.site.start_all()
        self.site.run_until(EPOCH + SETTLE_S)
        if way == "none":
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
                self.site.at(at, partial(self._next, kind, self.random.choice(HOSTS)))

    def _next(self, kind: str, host: str) -> None:
        reserved = self.ids[host, kind]
        if not reserved and host not in self.gone:
            named = kind if self.way == "one, the scheduler" else ""
            self.site.call(
                host,
                lambda n: IdsCalled(call=n, caller="till", count=RESERVED_IDS, kind=named),
                lambda reply: self._keep(reserved, reply),
            )
            self.site.after(0.0, lambda: self._send_next(kind, host))
        else:
            self._send_next(kind, host)

    def _keep(self, reserved: list[str], reply: Reply) -> None:
        if isinstance(reply, ReplyIds):
            reserved.extend(reply.ids)

    def _send_next(self, kind: str, host: str) -> None:
        if not self.ids[host, kind]:
            return
        count = TASKS_PER_JOB if kind == "rule" else 1
        body = SubmissionBody(
            kind=kind, tasks=tuple(TaskSpec(payload=b"{}") for _ in range(count)), deadline_s=20.0
        )
        sent = Sent(self.ids[host, kind].pop(), host, body, self.site.now)
        self.sent.append(sent)
        self.put(sent, self.random.choice(HOSTS) if self.at_random else host)

    def put(self, sent: Sent, host: str) -> None:
        """Submit, at another host if this one is gone."""
        while host in self.gone:
            host = self.random.choice(HOSTS)

        def note(reply: Reply) -> None:
            if isinstance(reply, ReplyState) and reply.outcome is not None:
                sent.outcomes.append(reply.outcome.kind)

        self.site.call(
            host,
            lambda n: SubmitCalled(
                call=n, caller="till", submission_id=sent.text, body=sent.body, wait_s=30.0
            ),
            note,
        )

    def end_host(self, host: str, *, planned: bool) -> None:
        """Kill a host, or drain it; from now on its clients use other hosts."""
        self.gone.add(host)
        if planned:
            self.site.deliver(host, DrainCalled())
        else:
            self.site.kill(host)

    def repeat_unanswered(self, host: str) -> list[Sent]:
        """Repeat at other hosts what the owner ``host`` has not answered; returns it."""
        unanswered = [s for s in self.sent if s.owner == host and not s.outcomes]
        for sent in unanswered:
            self.put(sent, self.random.choice(HOSTS))
        return unanswered


KINDS = ("stamp", "rule")


def measure_messages(way: str, *, at_random: bool = False) -> dict[str, float]:
    """Messages between hosts per submission and per task."""
    load = Load(way, seed=SEEDS[0], at_random=at_random)
    load.start()
    load.site.run_until(EPOCH + SETTLE_S + LOAD_S + 10.0)
    assert all(s.outcomes == [OutcomeKind.COMPLETE] for s in load.sent)
    counts = load.site.messages_by_type
    submissions = len(load.sent)
    tasks = sum(len(s.body.tasks) for s in load.sent)
    record = sum(counts[name] for name in RECORD_MESSAGES)
    forward = sum(counts[name] for name in FORWARD_MESSAGES)
    slots = sum(counts[name] for name in TASK_MESSAGES)
    return {
        "submissions": submissions,
        "tasks": tasks,
        "record_per_submission": record / submissions,
        "record_per_task": record / tasks,
        "forward_per_submission": forward / submissions,
        "slots_per_task": slots / tasks,
    }


def measure_answers(way: str, end: str) -> dict[str, float]:
    """Shares of definite answers when a host ends, over all seeds.

    :param end: one of ``ENDS``.
    """
    own_before: list[Sent] = []
    own_after: list[Sent] = []
    others: list[Sent] = []
    for seed in SEEDS:
        load = Load(way, seed=seed)
        load.start()
        site = load.site
        ended_at = EPOCH + SETTLE_S + DEATH_AT_S
        site.run_until(ended_at)
        host = pick_host(load, end)
        answered = {s.text for s in load.sent if s.outcomes}
        load.end_host(host, planned=end == "drained")
        site.run_until(ended_at + REPEAT_AFTER_S)
        if end == "drained":
            assert [n for _, n, a in site.other_actions if isinstance(a, Drained)] == [host]
            site.kill(host)
        load.repeat_unanswered(host)
        site.run_until(EPOCH + SETTLE_S + LOAD_S + 30.0)
        own = [s for s in load.sent if s.owner == host and s.text not in answered]
        own_before += [s for s in own if s.at < ended_at]
        own_after += [s for s in own if s.at >= ended_at]
        others += [s for s in load.sent if s.owner != host]
    return {
        "in_progress": len(own_before),
        "in_progress_definite": share_of(own_before, DEFINITE),
        "sent_after": len(own_after),
        "sent_after_definite": share_of(own_after, DEFINITE),
        "others": len(others),
        "others_complete": share_of(others, (OutcomeKind.COMPLETE,)),
        "others_not_run": share_of(others, (OutcomeKind.NOT_RUN,)),
    }


def pick_host(load: Load, end: str) -> str:
    """The scheduler of the requests, or a host that schedules nothing."""
    core = load.site.host_by_name[HOSTS[0]].core
    assert core is not None
    pools = ("service:stamper", "workers")
    schedulers = [core.membership.scheduler_for(pool) for pool in pools]
    if end == "scheduler killed":
        return schedulers[0]
    return next(host for host in HOSTS if host not in schedulers)


def share_of(group: list[Sent], kinds: tuple[OutcomeKind, ...]) -> float:
    """Share of submissions that were told one of the outcomes."""
    return sum(any(kind in kinds for kind in s.outcomes) for s in group) / len(group)


def main(argv: list[str]) -> None:
    """Run all ways; prints two tables and a JSON line."""
    messages = {way: measure_messages(way) for way in WAYS}
    messages["home"] = measure_messages(WAYS[-1], at_random=True)
    answers = {f"{way}; {end}": measure_answers(way, end) for way in WAYS for end in ENDS}
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
    for way, row in messages.items():
        print(
            f"{way:<22}{row['record_per_submission']:>12.3f}{row['record_per_task']:>12.3f}"
            f"{row['forward_per_submission']:>13.3f}{row['slots_per_task']:>12.3f}"
        )
    print()
    print(
        f"{'witness; end of the owner':<38}{'in progress':>12}{'definite':>10}"
        f"{'sent after':>12}{'definite':>10}{'others ok':>11}{'not_run':>9}"
    )
    for way, row in answers.items():
        print(
            f"{way:<38}{row['in_progress']:>12.0f}{row['in_progress_definite']:>10.1%}"
            f"{row['sent_after']:>12.0f}{row['sent_after_definite']:>10.1%}"
            f"{row['others_complete']:>11.1%}{row['others_not_run']:>9.1%}"
        )


if __name__ == "__main__":
    app.run(main)
