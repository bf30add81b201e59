"""Generation of configurations: priorities, shares, weights, origins, diffs, demo sites."""

import dataclasses
import json
import re

import pytest
from hypothesis import given, settings

from eelgrassyard.config import (
    MAX_DOCUMENT_BYTES,
    SITES,
    Questionnaire,
    compress_document,
    config_values,
    demo_questionnaire,
    diff_configs,
    find_warnings,
    generate,
    load_questionnaire,
    parse_document,
    parse_questionnaire,
    render_document,
    verify_key,
)
from eelgrassyard.config._answers import Answers
from eelgrassyard.config._positions import find_positions
from eelgrassyard.policy import Scope, Urgency
from questionnaires import parsed, small, valid_questionnaires


def config_of(**answers):
    return generate(parsed(small(**answers))).config


@settings(derandomize=True, deadline=None, max_examples=20, database=None)
@given(values=valid_questionnaires())
def test_shares_and_weights_stay_within_their_limits(values):
    """Guards against guarantees that exceed a pool, and callers with weight 0."""
    config = generate(parsed(values)).config
    for service in {kind.service for kind in config.kinds_by_name.values()}:
        kinds = [kind for kind in config.kinds_by_name.values() if kind.service == service]
        urgent = [kind.share for kind in kinds if kind.urgency is not Urgency.BACKGROUND]
        assert sum(kind.share for kind in kinds) <= 1 + 1e-9
        assert sum(urgent) + config.limits.background_share <= 1 + 1e-9
    assert all(caller.weight > 0 for caller in config.callers_by_name.values())


@pytest.mark.parametrize("site", ["bagmati", "savannah"])
def test_what_matters_most_changes_the_configuration(site):
    """Guards against an answer to ``matters_most`` that has no effect."""
    text = (SITES / f"{site}.jsonc").read_text()
    text = text.replace('"least_urgent_keeps_percent": 10,', "")
    quick, fair = (
        generate(parse_questionnaire(_answer_matters(text, answer), file=site).unwrap()).config
        for answer in ("response_time", "other_work_in_flood")
    )
    shares = [
        (quick.kinds_by_name[name].share, kind.share) for name, kind in fair.kinds_by_name.items()
    ]
    assert sum(new for _, new in shares) > sum(old for old, _ in shares)
    assert fair.limits.background_share > quick.limits.background_share
    assert fair.limits.queued_tasks_per_flow < quick.limits.queued_tasks_per_flow
    assert fair.limits.retry_budget_ratio < quick.limits.retry_budget_ratio
    assert quick.limits.lease_s < fair.limits.lease_s
    assert quick.limits.ask_timeout_s < fair.limits.ask_timeout_s


def _answer_matters(text: str, answer: str) -> bytes:
    changed, count = re.subn('"matters_most": "[a-z_]+"', f'"matters_most": "{answer}"', text)
    assert count == 1
    return changed.encode()


def guaranteed_and_needed(questionnaire):
    """Ratios of the pool that each caller is guaranteed and needs, for kinds that cannot wait."""
    config = generate(questionnaire).config
    slots = sum(upstream.slots for upstream in config.upstreams_by_name.values())
    cores = sum(upstream.cores for upstream in config.upstreams_by_name.values())
    for kind in questionnaire.answers.kinds:
        if kind.late_answer == "can_wait":
            continue
        senders = [c for c in questionnaire.answers.callers if kind.name in c.sends]
        weights = {c.name: config.callers_by_name[c.name].weight for c in senders}
        for caller in senders:
            busy = caller.sends[kind.name].per_s * kind.tasks_usual * kind.typical_s
            needed = busy / slots if kind.runs_as == "request" else busy * kind.cores / cores
            part = weights[caller.name] / sum(weights.values())
            yield config.kinds_by_name[kind.name].share * part, needed


@pytest.mark.parametrize("site", ["bagmati", "savannah"])
def test_each_caller_is_guaranteed_its_expected_work(site):
    """Guards against a flood of a kind that leaves a caller of it less than its expected work.

    The least urgent kinds share background_share instead of being guaranteed their expected load.
    """
    questionnaire = load_questionnaire(SITES / f"{site}.jsonc").unwrap()
    for guaranteed, needed in guaranteed_and_needed(questionnaire):
        assert guaranteed >= needed


def test_insufficient_guarantee_is_warned_about():
    """Guards against a guarantee below the expected work of a caller without a warning."""
    values = small()
    values["kinds"][0]["keeps_percent"] = 5
    warnings = [text for text in find_warnings(parsed(values)) if "a flood of this kind" in text]
    assert len(warnings) == 2
    assert "$.callers[0].sends.rule" in warnings[0]


def test_answers_determine_values():
    """Guards against an answer that sets the wrong value."""
    values = small(least_urgent_keeps_percent=12)
    values["kinds"][0]["keeps_percent"] = 40
    values["hosts"][0]["size"] = "large"
    values["services"][0]["runners"][0]["slots"] = 4
    config = generate(parsed(values)).config
    assert config.kinds_by_name["rule"].share == 0.4
    assert config.kinds_by_name["rule"].idempotent is True
    assert config.kinds_by_name["bind"].idempotent is False
    assert config.kinds_by_name["rule"].urgency is Urgency.URGENT
    assert config.kinds_by_name["bind"].urgency is Urgency.BACKGROUND
    assert config.kinds_by_name["rule"].deadline_s == 10 - 2 * 0.003
    assert config.limits.background_share == 0.12
    assert config.hosts_by_name["patan-1"].weight == 2.0
    assert config.upstreams_by_name["r1"].slots == 4
    assert config.upstreams_by_name["w1"].memory_mb == 65536
    assert config.teams_by_name["land"].starts_per_s == 50
    assert config.teams_by_name["shop"].starts_per_s == 0
    assert config.callers_by_name["till"].kinds == {"rule", "bind"}
    assert config.callers_by_name["ops"].operator is True
    assert config.callers_by_name["clerk"].weight > config.callers_by_name["till"].weight


# Path of an answer and another valid value for it.
OTHER_ANSWERS = [
    (("site",), "other"),
    (("least_urgent_keeps_percent",), 33),
    (("failure_domains", 0, "region"), "other"),
    (("latency_ms", "between_failure_domains"), 200),
    (("latency_ms", "to_clients"), 40),
    (("hosts", 0, "address"), "127.0.0.2"),
    (("hosts", 0, "peer_port"), 9001),
    (("hosts", 0, "callers_port"), 9002),
    (("hosts", 0, "size"), "large"),
    (("services", 0, "slots"), 9),
    (("services", 0, "connections"), 99),
    (("services", 0, "runners", 0, "rack"), "r"),
    (("services", 0, "runners", 0, "slots"), 9),
    (("services", 0, "runners", 0, "connections"), 99),
    (("services", 0, "runners", 0, "port"), 9003),
    (("racks", 0, "name"), "other"),
    (("racks", 0, "cores"), 32),
    (("racks", 0, "memory_gb"), 32),
    (("racks", 0, "accelerators"), 1),
    (("racks", 0, "connections"), 99),
    (("racks", 0, "workers", 0, "port"), 9004),
    (("kinds", 0, "typical_s"), 0.3),
    (("kinds", 0, "longest_s"), 4),
    (("kinds", 0, "answer_within_s"), 20),
    (("kinds", 0, "late_answer"), "work_slows"),
    (("kinds", 0, "doubled_run"), "harm"),
    (("kinds", 0, "keeps_percent"), 40),
    (("kinds", 1, "late_answer"), "work_slows"),
    (("kinds", 1, "tasks_most"), 500),
    (("teams", 0, "most_starts_per_s"), 60),
    (("callers", 0, "team"), "shop"),
    (("callers", 0, "sends", "rule", "per_s"), 9),
    (("callers", 0, "key"), {"salt": "00", "hash": "ab" * 32}),
    (("operators", 0, "key"), {"salt": "00", "hash": "ab" * 32}),
    (("operators", 0, "name"), "other"),
]


@pytest.mark.parametrize(("path", "value"), OTHER_ANSWERS, ids=repr)
def test_every_answer_has_an_effect(path, value):
    """Guards against questions whose answers change nothing."""
    values = small()
    parent = values
    for part in path[:-1]:
        parent = parent[part]
    assert parent.get(path[-1]) != value
    parent[path[-1]] = value
    changes = diff_configs(config_of(), generate(parsed(values)).config)
    assert changes


@pytest.mark.parametrize(
    ("name", "value"), [("tasks_usual", 20), ("cores", 4), ("memory_mb", 20_000)]
)
def test_sizes_of_a_job_have_an_effect(name, value):
    """Guards against sizes that do not affect the shares of the workers."""
    values = small()
    values["kinds"][1]["late_answer"] = "work_slows"
    before = generate(parsed(values)).config
    values["kinds"][1][name] = value
    assert diff_configs(before, generate(parsed(values)).config)


def test_high_latency_increases_timeouts():
    """Guards against pings and requests that time out within a few round trips."""
    near = config_of().limits
    far = config_of(latency_ms={"between_failure_domains": 50, "to_clients": 3}).limits
    assert far.ping_interval_s > near.ping_interval_s
    assert far.ask_timeout_s == pytest.approx(2.0)


def test_origin_names_the_answer_and_its_line():
    """Guards against origins that refer to another answer."""
    values = small()
    questionnaire = parsed(values)
    origins = generate(questionnaire).origins_by_key
    lines = questionnaire.positions.line_by_path
    origin = origins["kinds.bind.deadline_s"]
    assert origin.answer == "$.kinds[1].answer_within_s"
    assert origin.line == lines["kinds", 1, "answer_within_s"]
    assert origins["upstreams.r1.slots"].answer == "$.services[0].slots"
    assert origins["upstreams.w1.cores"].line == lines["racks", 0, "cores"]
    assert "not answered" in origins["upstreams.r1.rack"].rule
    assert origins["limits.lease_s"].answer == "$.matters_most"


@settings(derandomize=True, deadline=None, max_examples=12, database=None)
@given(before=valid_questionnaires(), after=valid_questionnaires())
def test_diff_covers_every_changed_value(before, after):
    """Guards against a change that the diff does not show to the operator."""
    old, new = generate(parsed(before)).config, generate(parsed(after)).config
    changes = diff_configs(old, new)
    assert diff_configs(old, old) == []
    old_values, new_values = config_values(old), config_values(new)
    changed = {key for key, value in new_values.items() if old_values.get(key, value) != value}
    named = {change.key for change in changes}
    assert changed <= named
    for key in old_values.keys() ^ new_values.keys():
        assert key.rpartition(".")[0] in named
    for change in changes:
        assert change.effect
        assert not any(sign in change.effect for sign in "{}")


def test_effects_describe_the_consequences():
    """Guards against effects that only repeat the key."""
    old = config_of()
    kind = dataclasses.replace(old.kinds_by_name["rule"], share=0.5, idempotent=False)
    new = dataclasses.replace(old, kinds_by_name=dict(old.kinds_by_name) | {"rule": kind})
    effects = {change.key: change.effect for change in diff_configs(old, new)}
    assert "rule keeps 50% of its pool in a flood" in effects["kinds.rule.share"]
    assert effects["kinds.rule.idempotent"] == (
        "a lost request of rule is never sent again and fails"
    )


@pytest.mark.parametrize("site", ["bagmati", "savannah"])
@pytest.mark.parametrize(("hosts", "upstreams"), [(1, 1), (3, 4), (9, 24)])
def test_demo_questionnaires(site, hosts, upstreams):
    """Guards against demo sizes for which the scaled answers contradict each other."""
    keys = {"tills": "till-key", "accountants": "counter-key"}
    questionnaire = demo_questionnaire(
        site,
        hosts=[(1000 + number, 2000 + number) for number in range(hosts)],
        runners=range(3000, 3000 + upstreams),
        workers=range(4000, 4000 + upstreams),
        keys=keys,
    )
    config = generate(questionnaire).config
    assert len(config.hosts_by_name) == hosts
    assert len(config.upstreams_by_name) == 2 * upstreams
    for name in keys.keys() & config.callers_by_name.keys():
        caller = config.callers_by_name[name]
        assert verify_key(keys[name], caller.key_salt, caller.key_hash)


def test_demo_without_workers_has_no_jobs():
    """Guards against kinds that no upstream can run."""
    questionnaire = demo_questionnaire("savannah", hosts=[(1, 2)], runners=[3], workers=[])
    kinds = generate(questionnaire).config.kinds_by_name
    assert kinds
    assert all(kind.service for kind in kinds.values())


def test_document_of_the_largest_site_fits_the_store_and_the_control_budget():
    """Guards against documents above 1 MB, or above 5 KB/s at 1,700 changes a day."""
    values = small(
        failure_domains=[{"name": f"zone{n}", "region": "r"} for n in range(11)],
    )
    template = values["hosts"][0]
    values["hosts"] = [
        template
        | {"name": f"zone{n % 11}-host-{n}", "failure_domain": f"zone{n % 11}"}
        | {"peer_port": 1000 + n, "callers_port": 2000 + n}
        for n in range(99)
    ]
    rack = values["racks"][0]
    values["racks"] = [
        rack
        | {"name": f"zone{n % 11}-rack-{n}", "failure_domain": f"zone{n % 11}"}
        | {
            "workers": [
                {"name": f"zone{n % 11}-rack-{n}-worker-{w}", "address": f"10.{n}.0.{w}", "port": 1}
                for w in range(8)
            ]
        }
        for n in range(175)
    ]
    values["services"][0]["runners"][0]["failure_domain"] = "zone0"
    values["teams"] = [{"name": f"team{n}", "most_starts_per_s": 2000} for n in range(68)]
    values["callers"] = [
        {"name": f"caller{n}", "team": f"team{n}", "sends": {"rule": {"per_s": 0.1}}}
        for n in range(68)
    ]
    generated = generate(_questionnaire_of(values))
    document = render_document(
        generated.config, author="test", origins_by_key=generated.origins_by_key
    )
    assert generated.config.scope is Scope.FAILURE_DOMAIN
    assert len(generated.config.upstreams_by_name) == 1401
    compressed = compress_document(document)
    assert len(document) < MAX_DOCUMENT_BYTES
    assert len(compressed) * 1700 / 86400 < 5000
    assert parse_document(compressed).unwrap() == generated.config


def _questionnaire_of(values):
    """Build a questionnaire without json5, which takes seconds for a text of this size."""
    text = json.dumps(values, indent=1)
    return Questionnaire(
        file="site.jsonc",
        answers=Answers.model_validate_json(text),
        positions=find_positions(text),
    )
