"""Semantic validation of answers: contradictions, and loads that the upstreams cannot carry."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ._answers import Answers, KindAnswer
from ._positions import Path
from ._rates import MB_PER_GB, WORKER_POOL, compute_rates, deadline_of, pool_of

MAX_LOAD = 0.95
"""Highest utilization of a pool; above it, queues grow most of the time even without a flood."""

OPERATORS_TEAM = "operators"


class Contradiction(NamedTuple):
    """A contradictory answer.

    :param path: path of the answer.
    :param allowed: what is wrong and what is allowed.
    """

    path: Path
    allowed: str


def find_contradictions(answers: Answers) -> Iterator[Contradiction]:
    """Yield every contradictory or impossible answer."""
    yield from _check_names(answers)
    yield from _check_failure_domains(answers)
    yield from _check_addresses(answers)
    for index, kind in enumerate(answers.kinds):
        yield from _check_kind(answers, ("kinds", index), kind)
    yield from _check_callers(answers)
    yield from _check_shares(answers)
    yield from _check_loads(answers)


def _check_names(answers: Answers) -> Iterator[Contradiction]:
    runners = [
        (("services", s, "runners", r, "name"), runner.name)
        for s, service in enumerate(answers.services)
        for r, runner in enumerate(service.runners)
    ]
    workers = [
        (("racks", k, "workers", w, "name"), worker.name)
        for k, rack in enumerate(answers.racks)
        for w, worker in enumerate(rack.workers)
    ]
    yield from _check_unique(_names_in("failure_domains", answers.failure_domains))
    yield from _check_unique(_names_in("hosts", answers.hosts))
    yield from _check_unique([*runners, *workers])
    yield from _check_unique(_names_in("services", answers.services))
    yield from _check_unique(_names_in("racks", answers.racks))
    yield from _check_unique(_names_in("kinds", answers.kinds))
    yield from _check_unique(_names_in("teams", answers.teams))
    callers = _names_in("callers", answers.callers)
    yield from _check_unique([*callers, *_names_in("operators", answers.operators)])
    for index, team in enumerate(answers.teams):
        if team.name == OPERATORS_TEAM:
            yield Contradiction(
                ("teams", index, "name"), "the name is reserved for the team of the operators"
            )


def _names_in(table: str, items: Iterable[object]) -> list[tuple[Path, str]]:
    return [((table, i, "name"), str(getattr(item, "name", ""))) for i, item in enumerate(items)]


def _check_unique(named: Iterable[tuple[Path, str]]) -> Iterator[Contradiction]:
    seen: set[str] = set()
    for path, name in named:
        if name in seen:
            yield Contradiction(path, "the name is already used; each name is allowed once")
        seen.add(name)


def _check_failure_domains(answers: Answers) -> Iterator[Contradiction]:
    known = {domain.name for domain in answers.failure_domains}
    allowed = "allowed: one of the failure domains " + ", ".join(sorted(known))
    used: list[tuple[Path, str]] = [
        (("hosts", i, "failure_domain"), host.failure_domain)
        for i, host in enumerate(answers.hosts)
    ]
    used += [
        (("services", s, "runners", r, "failure_domain"), runner.failure_domain)
        for s, service in enumerate(answers.services)
        for r, runner in enumerate(service.runners)
    ]
    used += [
        (("racks", i, "failure_domain"), rack.failure_domain)
        for i, rack in enumerate(answers.racks)
    ]
    for path, name in used:
        if name not in known:
            yield Contradiction(path, allowed)
    hosted = {host.failure_domain for host in answers.hosts}
    for index, domain in enumerate(answers.failure_domains):
        if domain.name not in hosted:
            yield Contradiction(
                ("failure_domains", index, "name"),
                "no host is in this failure domain; each needs at least one",
            )


def _check_addresses(answers: Answers) -> Iterator[Contradiction]:
    used: list[tuple[Path, tuple[str, int]]] = []
    for h, host in enumerate(answers.hosts):
        used.append((("hosts", h, "peer_port"), (host.address, host.peer_port)))
        used.append((("hosts", h, "callers_port"), (host.address, host.callers_port)))
    for s, service in enumerate(answers.services):
        for r, runner in enumerate(service.runners):
            used.append((("services", s, "runners", r, "port"), (runner.address, runner.port)))
    for k, rack in enumerate(answers.racks):
        for w, worker in enumerate(rack.workers):
            used.append((("racks", k, "workers", w, "port"), (worker.address, worker.port)))
    seen: set[tuple[str, int]] = set()
    for path, (address, port) in used:
        if (address, port) in seen:
            yield Contradiction(path, f"{address}:{port} is already used; allowed once")
        seen.add((address, port))


def _check_kind(answers: Answers, path: Path, kind: KindAnswer) -> Iterator[Contradiction]:
    if kind.longest_s < kind.typical_s:
        yield Contradiction((*path, "longest_s"), f"allowed: at least typical_s, {kind.typical_s}")
    if deadline_of(kind, answers) < kind.typical_s:
        yield Contradiction(
            (*path, "answer_within_s"),
            "an answer takes at least typical_s and the round trip to the client; allowed: "
            f"at least {kind.typical_s + 2 * answers.latency_ms.to_clients / 1000:g}",
        )
    if kind.tasks_most is not None and kind.tasks_most < kind.tasks_usual:
        yield Contradiction(
            (*path, "tasks_most"), f"allowed: at least tasks_usual, {kind.tasks_usual}"
        )
    if kind.runs_as == "request":
        yield from _check_request(answers, path, kind)
    else:
        yield from _check_job(answers, path, kind)


def _check_request(answers: Answers, path: Path, kind: KindAnswer) -> Iterator[Contradiction]:
    services = [service.name for service in answers.services]
    if kind.service not in services:
        listed = ", ".join(services) or "none is declared"
        yield Contradiction((*path, "service"), f"allowed for a request: a service ({listed})")
    if kind.tasks_usual != 1 or (kind.tasks_most or 1) != 1:
        field = "tasks_usual" if kind.tasks_usual != 1 else "tasks_most"
        yield Contradiction((*path, field), "a request has one task; allowed: 1, or a job")
    if kind.all_at_once:
        yield Contradiction((*path, "all_at_once"), "only a job has several tasks; allowed: false")


def _check_job(answers: Answers, path: Path, kind: KindAnswer) -> Iterator[Contradiction]:
    if kind.service is not None:
        yield Contradiction((*path, "service"), "a job runs on guarded workers; leave this out")
    if not answers.racks:
        yield Contradiction((*path, "runs_as"), "a job needs a rack of workers; allowed: request")
        return
    fitting = [
        rack
        for rack in answers.racks
        if kind.cores <= rack.cores
        and kind.memory_mb <= rack.memory_gb * MB_PER_GB
        and kind.accelerators <= rack.accelerators
    ]
    if not fitting:
        largest = max(answers.racks, key=lambda rack: rack.cores)
        yield Contradiction(
            (*path, "cores"),
            "a task must fit on one worker together with its memory and accelerators; the largest "
            f"has {largest.cores:g} cores, {largest.memory_gb:g} GB and "
            f"{largest.accelerators} accelerators",
        )
    elif kind.all_at_once:
        room = sum(
            len(rack.workers)
            * int(min(rack.cores // kind.cores, rack.memory_gb * MB_PER_GB // kind.memory_mb))
            for rack in fitting
        )
        if (kind.tasks_most or kind.tasks_usual) > room:
            field = "tasks_most" if kind.tasks_most else "tasks_usual"
            yield Contradiction((*path, field), f"all workers run {room} such tasks at once")


def _check_callers(answers: Answers) -> Iterator[Contradiction]:
    teams = {team.name for team in answers.teams}
    kinds = {kind.name for kind in answers.kinds}
    for index, caller in enumerate(answers.callers):
        if caller.team not in teams:
            yield Contradiction(
                ("callers", index, "team"), "allowed: one of the teams " + ", ".join(sorted(teams))
            )
        for name in caller.sends:
            if name not in kinds:
                yield Contradiction(
                    ("callers", index, "sends", name),
                    "allowed: one of the kinds " + ", ".join(sorted(kinds)),
                )
    rates = compute_rates(answers)
    for index, team in enumerate(answers.teams):
        expected = rates.tasks_per_s_by_team.get(team.name, 0.0)
        if team.most_starts_per_s is not None and team.most_starts_per_s < expected:
            yield Contradiction(
                ("teams", index, "most_starts_per_s"),
                f"its callers send {expected:g} tasks a second; allowed: at least that",
            )


def _check_shares(answers: Answers) -> Iterator[Contradiction]:
    reserved = answers.least_urgent_keeps_percent or 0.0
    total_by_pool: defaultdict[str, float] = defaultdict(float)
    for index, kind in enumerate(answers.kinds):
        if kind.keeps_percent is None:
            continue
        pool = pool_of(kind)
        total_by_pool[pool] += kind.keeps_percent
        free = 100 - (reserved if kind.late_answer != "can_wait" else 0)
        if total_by_pool[pool] > free:
            left = max(0.0, free - total_by_pool[pool] + kind.keeps_percent)
            yield Contradiction(
                ("kinds", index, "keeps_percent"),
                f"the kinds before it and least_urgent_keeps_percent leave {left:g} percent",
            )


def _check_loads(answers: Answers) -> Iterator[Contradiction]:
    rates = compute_rates(answers)
    load_by_pool: defaultdict[str, float] = defaultdict(float)
    last_by_pool: dict[str, int] = {}
    for index, kind in enumerate(answers.kinds):
        pool = pool_of(kind)
        load = rates.load_by_kind[kind.name]
        load_by_pool[pool] += load
        if load > 0:
            last_by_pool[pool] = index
    for pool, load in load_by_pool.items():
        if load > MAX_LOAD and pool in last_by_pool:
            name = f"the runners of {pool}" if pool != WORKER_POOL else "the workers"
            yield Contradiction(
                ("kinds", last_by_pool[pool], "typical_s"),
                f"the expected work takes {load:.0%} of {name}; allowed: up to {MAX_LOAD:.0%} "
                "(lower the rates or the run times, or add upstreams)",
            )
