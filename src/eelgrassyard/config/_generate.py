"""Generation of the site configuration from the answers of a questionnaire."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..policy import (
    CallerEntry,
    HostEntry,
    KindEntry,
    SiteConfig,
    TeamEntry,
    UpstreamEntry,
    UpstreamRole,
    Urgency,
)
from ._answers import Answers, KeyAnswer
from ._contradictions import OPERATORS_TEAM
from ._limits import derive_limits, derive_scope
from ._origins import Origin
from ._positions import Path, Positions, json_path
from ._priorities import PRIORITY_BY_ANSWER, Priority
from ._questionnaire import Questionnaire
from ._rates import MB_PER_GB, Rates, compute_rates, deadline_of
from ._shares import compute_shares, compute_weights

WEIGHT_BY_SIZE = {"small": 0.5, "usual": 1.0, "large": 2.0}
URGENCY_BY_ANSWER = {
    "someone_waits": Urgency.URGENT,
    "work_slows": Urgency.NORMAL,
    "can_wait": Urgency.BACKGROUND,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class GeneratedConfig:
    """A generated configuration with the origin of each of its values."""

    config: SiteConfig
    origins_by_key: dict[str, Origin] = field(repr=False)
    questionnaire: str = ""


def generate(questionnaire: Questionnaire) -> GeneratedConfig:
    """Generate the configuration deterministically from the answers."""
    answers = questionnaire.answers
    rates = compute_rates(answers)
    priority = PRIORITY_BY_ANSWER[answers.matters_most]
    recorder = _OriginRecorder(positions=questionnaire.positions)
    scope, reason = derive_scope(answers, rates)
    recorder.record("site", ("site",), answers.site)
    recorder.record("failure_domains", ("failure_domains",), None, "the names")
    recorder.record("scope", ("hosts",), scope, reason)
    config = SiteConfig(
        site=answers.site,
        failure_domains=tuple(domain.name for domain in answers.failure_domains),
        scope=scope,
        hosts_by_name=_hosts(answers, recorder),
        upstreams_by_name=_runners(answers, recorder) | _workers(answers, recorder),
        kinds_by_name=_kinds(answers, rates, priority, recorder),
        callers_by_name=_callers(answers, rates, priority, recorder),
        teams_by_name=_teams(answers, recorder),
        limits=derive_limits(answers, rates, priority, recorder.record),
    )
    return GeneratedConfig(
        config=config,
        origins_by_key=recorder.origins_by_key,
        questionnaire=questionnaire.file,
    )


class _OriginRecorder:
    """Records the origin of each generated value."""

    def __init__(self, *, positions: Positions) -> None:
        self._positions = positions
        self.origins_by_key: dict[str, Origin] = {}

    def record(self, key: str, path: Path, value: object, rule: str = "") -> None:
        """Record the origin of a value; for an answer left out, that is the enclosing one.

        :param key: key of the value in the configuration.
        :param path: path of the answer; empty if the value follows from no answer.
        :param value: not recorded.
        :param rule: rule by which the answer became the value; empty if it was copied.
        """
        if not path:
            self.origins_by_key[key] = Origin(answer="", line=0, rule=rule)
            return
        present = path
        while present and present not in self._positions.line_by_path:
            present = present[:-1]
        if present != path:
            left_out = f"{path[-1]} is not answered"
            rule = f"{left_out}; {rule}" if rule else f"{left_out}; default"
        self.origins_by_key[key] = Origin(
            answer=json_path(present), line=self._positions.line_of(present), rule=rule
        )

    def record_all(self, entity: str, path: Path, fields: dict[str, tuple[str, str]]) -> None:
        """Record the origins of an entity.

        :param fields: for each field, the key of its answer below ``path`` and the rule.
        """
        for name, (answer, rule) in fields.items():
            self.record(f"{entity}.{name}", (*path, answer) if answer else path, None, rule)


def _hosts(answers: Answers, recorder: _OriginRecorder) -> dict[str, HostEntry]:
    region_by_domain = {item.name: item.region for item in answers.failure_domains}
    index_by_domain = {item.name: i for i, item in enumerate(answers.failure_domains)}
    entries = {}
    for index, host in enumerate(answers.hosts):
        entity = f"hosts.{host.name}"
        recorder.record_all(
            entity,
            ("hosts", index),
            {
                "address": ("address", ""),
                "port": ("peer_port", ""),
                "failure_domain": ("failure_domain", ""),
                "weight": ("size", "small 0.5, usual 1, large 2"),
                "callers_port": ("callers_port", ""),
            },
        )
        domain: Path = ("failure_domains", index_by_domain[host.failure_domain], "region")
        recorder.record(f"{entity}.region", domain, None, "region of the failure domain")
        entries[host.name] = HostEntry(
            name=host.name,
            address=host.address,
            port=host.peer_port,
            failure_domain=host.failure_domain,
            region=region_by_domain[host.failure_domain],
            weight=WEIGHT_BY_SIZE[host.size],
            callers_port=host.callers_port,
        )
    return entries


def _runners(answers: Answers, recorder: _OriginRecorder) -> dict[str, UpstreamEntry]:
    entries = {}
    for s, service in enumerate(answers.services):
        for r, runner in enumerate(service.runners):
            entity = f"upstreams.{runner.name}"
            path: Path = ("services", s, "runners", r)
            recorder.record_all(
                entity,
                path,
                {
                    "role": ("", "a runner of a service"),
                    "url": ("address", "http, address and port"),
                    "failure_domain": ("failure_domain", ""),
                    "rack": ("rack", ""),
                    "cores": ("", "a runner has slots"),
                    "memory_mb": ("", "a runner has slots"),
                    "accelerators": ("", "a runner has slots"),
                },
            )
            recorder.record(f"{entity}.service", ("services", s, "name"), None)
            for name in ("slots", "connections"):
                own = getattr(runner, name) is not None
                recorder.record(f"{entity}.{name}", (*(path if own else path[:2]), name), None)
            entries[runner.name] = UpstreamEntry(
                name=runner.name,
                role=UpstreamRole.RUNNER,
                url=_url(runner.address, runner.port),
                failure_domain=runner.failure_domain,
                rack=runner.rack,
                service=service.name,
                slots=runner.slots or service.slots,
                connections=runner.connections or service.connections,
            )
    return entries


def _workers(answers: Answers, recorder: _OriginRecorder) -> dict[str, UpstreamEntry]:
    entries = {}
    for k, rack in enumerate(answers.racks):
        for w, worker in enumerate(rack.workers):
            entity = f"upstreams.{worker.name}"
            recorder.record_all(
                entity,
                ("racks", k),
                {
                    "role": ("workers", "a guarded worker of a rack"),
                    "failure_domain": ("failure_domain", ""),
                    "rack": ("name", ""),
                    "service": ("workers", "a worker runs jobs, not a service"),
                    "slots": ("workers", "a worker has cores and memory"),
                    "connections": ("connections", ""),
                    "cores": ("cores", ""),
                    "memory_mb": ("memory_gb", "1 GB is 1024 MB"),
                    "accelerators": ("accelerators", ""),
                },
            )
            address: Path = ("racks", k, "workers", w, "address")
            recorder.record(f"{entity}.url", address, None, "http, address and port")
            entries[worker.name] = UpstreamEntry(
                name=worker.name,
                role=UpstreamRole.WORKER,
                url=_url(worker.address, worker.port),
                failure_domain=rack.failure_domain,
                rack=rack.name,
                connections=rack.connections,
                cores=rack.cores,
                memory_mb=int(rack.memory_gb * MB_PER_GB),
                accelerators=rack.accelerators,
            )
    return entries


def _kinds(
    answers: Answers, rates: Rates, priority: Priority, recorder: _OriginRecorder
) -> dict[str, KindEntry]:
    shares = compute_shares(answers, rates, priority)
    entries = {}
    for index, kind in enumerate(answers.kinds):
        entity, path = f"kinds.{kind.name}", ("kinds", index)
        recorder.record_all(
            entity,
            path,
            {
                "service": (
                    ("runs_as", "a job runs on guarded workers")
                    if kind.runs_as == "job"
                    else ("service", "")
                ),
                "typical_s": ("typical_s", ""),
                "longest_s": ("longest_s", ""),
                "idempotent": ("doubled_run", "a run may be repeated if that is harmless"),
                "urgency": (
                    "late_answer",
                    "someone_waits urgent, work_slows normal, else background",
                ),
                "deadline_s": ("answer_within_s", "less the way to the client and back"),
            },
        )
        if kind.keeps_percent is not None:
            recorder.record(
                f"{entity}.share", (*path, "keeps_percent"), None, "percent as a part of 1"
            )
        else:
            rule = (
                f"the pool divided by expected load, {rates.load_by_kind[kind.name]:.1%} here"
                if priority.guarantees_whole_pool
                else f"{priority.share_headroom:g} times what guarantees each caller its expected "
                f"work, {rates.load_by_kind[kind.name]:.1%} of the pool in all"
            )
            recorder.record(f"{entity}.share", ("matters_most",), None, rule)
        entries[kind.name] = KindEntry(
            name=kind.name,
            service=kind.service or "",
            typical_s=kind.typical_s,
            longest_s=kind.longest_s,
            idempotent=kind.doubled_run == "harmless",
            urgency=URGENCY_BY_ANSWER[kind.late_answer],
            share=shares[kind.name],
            deadline_s=deadline_of(kind, answers),
        )
    return entries


def _callers(
    answers: Answers, rates: Rates, priority: Priority, recorder: _OriginRecorder
) -> dict[str, CallerEntry]:
    weights = compute_weights(answers, rates, priority)
    entries = {}
    for index, caller in enumerate(answers.callers):
        entity, path = f"callers.{caller.name}", ("callers", index)
        recorder.record_all(
            entity,
            path,
            {
                "team": ("team", ""),
                "weight": (
                    "sends",
                    "covers its part of the expected work of each kind, from "
                    f"{priority.min_weight:g} to {priority.max_weight:g} times the mean",
                ),
                "operator": ("", "callers are not operators"),
                "kinds": ("sends", "the kinds that it sends"),
            },
        )
        salt, key_hash = _record_key(entity, path, caller.key, recorder)
        entries[caller.name] = CallerEntry(
            name=caller.name,
            team=caller.team,
            key_salt=salt,
            key_hash=key_hash,
            weight=weights[caller.name],
            kinds=frozenset(caller.sends),
        )
    for index, operator in enumerate(answers.operators):
        entity, path = f"callers.{operator.name}", ("operators", index)
        recorder.record_all(
            entity,
            path,
            {
                "team": ("", "all operators are one team"),
                "weight": ("", "operators weigh as much as the mean caller"),
                "operator": ("", "it is an operator"),
                "kinds": ("", "operators may send every kind"),
            },
        )
        salt, key_hash = _record_key(entity, path, operator.key, recorder)
        entries[operator.name] = CallerEntry(
            name=operator.name,
            team=OPERATORS_TEAM,
            key_salt=salt,
            key_hash=key_hash,
            operator=True,
        )
    return entries


def _record_key(
    entity: str, path: Path, key: KeyAnswer | None, recorder: _OriginRecorder
) -> tuple[str, str]:
    for name, answer in (("key_salt", "salt"), ("key_hash", "hash")):
        at: Path = (*path, "key", answer) if key else (*path, "key")
        recorder.record(f"{entity}.{name}", at, None, "" if key else "it cannot call yet")
    return (key.salt, key.hash) if key else ("", "")


def _teams(answers: Answers, recorder: _OriginRecorder) -> dict[str, TeamEntry]:
    entries = {}
    for index, team in enumerate(answers.teams):
        path: Path = ("teams", index, "most_starts_per_s")
        recorder.record(f"teams.{team.name}.starts_per_s", path, None, "")
        entries[team.name] = TeamEntry(name=team.name, starts_per_s=team.most_starts_per_s or 0.0)
    if answers.operators:
        key = f"teams.{OPERATORS_TEAM}.starts_per_s"
        recorder.record(key, ("operators",), None, "operators have no quota")
        entries[OPERATORS_TEAM] = TeamEntry(name=OPERATORS_TEAM)
    return entries


def _url(address: str, port: int) -> str:
    host = f"[{address}]" if ":" in address else address
    return f"http://{host}:{port}"
