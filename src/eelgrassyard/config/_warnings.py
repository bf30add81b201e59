"""Warnings about valid answers whose consequences may be unintended."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from ._generate import generate
from ._positions import Path, json_path
from ._questionnaire import Questionnaire
from ._rates import WORKER_POOL, compute_rates, pool_of

HIGH_LOAD = 0.8
"""Utilization of a pool above which small changes of the load raise response times steeply."""


def find_warnings(questionnaire: Questionnaire) -> list[str]:
    """Return the warnings about a questionnaire, one line each."""
    return [
        f"{questionnaire.file}:{questionnaire.positions.line_of(path)}: {json_path(path)}: {text}"
        for path, text in _find_by_path(questionnaire)
    ]


def _find_underserved_callers(questionnaire: Questionnaire) -> Iterator[tuple[Path, str]]:
    """Yield callers whose expected work exceeds their guarantee in a flood of their kind."""
    answers = questionnaire.answers
    rates = compute_rates(answers)
    config = generate(questionnaire).config
    kind_by_name = {kind.name: kind for kind in answers.kinds}
    for index, caller in enumerate(answers.callers):
        for name in caller.sends:
            if kind_by_name[name].late_answer == "can_wait":
                continue
            by_caller = rates.tasks_per_s_by_kind_and_caller[name]
            weights = {other: config.callers_by_name[other].weight for other in by_caller}
            ratio = weights[caller.name] / sum(weights.values())
            guaranteed = config.kinds_by_name[name].share * ratio
            needed = rates.load_by_kind[name] * by_caller[caller.name] / sum(by_caller.values())
            if guaranteed < needed:
                yield (
                    ("callers", index, "sends", name),
                    f"a flood of this kind may leave it {guaranteed / needed:.0%} "
                    "of its expected work",
                )


def _find_by_path(questionnaire: Questionnaire) -> Iterator[tuple[Path, str]]:
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
                "has one host; if the domain is cut off while it restarts, nobody is served",
            )
    sent = {name for caller in answers.callers for name in caller.sends}
    for index, kind in enumerate(answers.kinds):
        if kind.name not in sent:
            yield ("kinds", index), "no caller sends this kind"
    yield from _find_underserved_callers(questionnaire)
    load_by_pool: defaultdict[str, float] = defaultdict(float)
    for kind in answers.kinds:
        load_by_pool[pool_of(kind)] += compute_rates(answers).load_by_kind[kind.name]
    for pool, load in load_by_pool.items():
        if load > HIGH_LOAD:
            name = "the workers" if pool == WORKER_POOL else f"the runners of {pool}"
            yield ("kinds",), f"the expected work takes {load:.0%} of {name}"
