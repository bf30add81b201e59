"""Answers that are allowed but deserve a second look."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from ._generate import generate
from ._positions import Path, json_path
from ._questionnaire import Questionnaire
from ._rates import WORKER_POOL, find_rates, pool_of

BUSY_LOAD = 0.8
"""Above this load, response times rise steeply with small changes of the load."""


def find_notes(questionnaire: Questionnaire) -> list[str]:
    """Return one line for each answer that an operator should know the effect of."""
    return [
        f"{questionnaire.file}:{questionnaire.positions.line_of(path)}: {json_path(path)}: {note}"
        for path, note in _find(questionnaire)
    ]


def _find_uncovered(questionnaire: Questionnaire) -> Iterator[tuple[Path, str]]:
    """Callers that a flood of their own kind could push below their expected work."""
    answers = questionnaire.answers
    rates = find_rates(answers)
    config = generate(questionnaire).config
    kind_by_name = {kind.name: kind for kind in answers.kinds}
    for index, caller in enumerate(answers.callers):
        for name in caller.sends:
            if kind_by_name[name].late_answer == "can_wait":
                continue
            by_caller = rates.tasks_per_s_by_kind_and_caller[name]
            weights = {other: config.callers_by_name[other].weight for other in by_caller}
            part = weights[caller.name] / sum(weights.values())
            has = config.kinds_by_name[name].share * part
            needs = rates.load_by_kind[name] * by_caller[caller.name] / sum(by_caller.values())
            if has < needs:
                yield (
                    ("callers", index, "sends", name),
                    f"a flood of this kind may leave it {has / needs:.0%} of its expected work",
                )


def _find(questionnaire: Questionnaire) -> Iterator[tuple[Path, str]]:
    answers = questionnaire.answers
    for index, caller in enumerate(answers.callers):
        if caller.key is None:
            yield ("callers", index), "has no key yet and cannot call (eelgrassyard key new)"
    for index, operator in enumerate(answers.operators):
        if operator.key is None:
            yield ("operators", index), "has no key yet and cannot call (eelgrassyard key new)"
    if not answers.operators:
        yield (), "no operators: nobody can read the state or stop a host over HTTP"
    hosts = Counter(host.failure_domain for host in answers.hosts)
    for index, domain in enumerate(answers.failure_domains):
        if hosts[domain.name] < 2:
            yield (
                ("failure_domains", index),
                "has one host; while it restarts, a cut-off domain serves nobody",
            )
    sent = {name for caller in answers.callers for name in caller.sends}
    for index, kind in enumerate(answers.kinds):
        if kind.name not in sent:
            yield ("kinds", index), "no caller sends this kind"
    yield from _find_uncovered(questionnaire)
    load_by_pool: defaultdict[str, float] = defaultdict(float)
    for kind in answers.kinds:
        load_by_pool[pool_of(kind)] += find_rates(answers).load_by_kind[kind.name]
    for pool, load in load_by_pool.items():
        if load > BUSY_LOAD:
            name = "the workers" if pool == WORKER_POOL else f"the runners of {pool}"
            yield ("kinds",), f"the expected work takes {load:.0%} of {name}"
