"""Questionnaires for tests: a small fixed one, and a hypothesis strategy for valid ones."""

from __future__ import annotations

import copy
import json
from typing import Any

from hypothesis import strategies as st
from result import Err, Ok

from eelgrassyard.config import Questionnaire, parse_questionnaire

SMALL: dict[str, Any] = {
    "site": "bagmati",
    "matters_most": "response_time",
    "failure_domains": [{"name": "patan", "region": "valley"}],
    "latency_ms": {"between_failure_domains": 1.5, "to_clients": 3},
    "hosts": [
        {
            "name": "patan-1",
            "failure_domain": "patan",
            "address": "127.0.0.1",
            "peer_port": 7001,
            "callers_port": 7002,
        }
    ],
    "services": [
        {
            "name": "ledger",
            "slots": 8,
            "runners": [
                {"name": "r1", "failure_domain": "patan", "address": "127.0.0.1", "port": 8001}
            ],
        }
    ],
    "racks": [
        {
            "name": "rack-a",
            "failure_domain": "patan",
            "cores": 16,
            "memory_gb": 64,
            "workers": [{"name": "w1", "address": "127.0.0.1", "port": 8002}],
        }
    ],
    "kinds": [
        {
            "name": "rule",
            "runs_as": "request",
            "service": "ledger",
            "typical_s": 0.25,
            "longest_s": 3,
            "answer_within_s": 10,
            "late_answer": "someone_waits",
            "doubled_run": "harmless",
        },
        {
            "name": "bind",
            "runs_as": "job",
            "typical_s": 0.4,
            "longest_s": 8,
            "answer_within_s": 60,
            "late_answer": "can_wait",
            "doubled_run": "harm",
            "tasks_usual": 4,
            "tasks_most": 620,
        },
    ],
    "teams": [{"name": "land", "most_starts_per_s": 50}, {"name": "shop"}],
    "callers": [
        {"name": "clerk", "team": "land", "sends": {"rule": {"per_s": 8}}},
        {"name": "till", "team": "shop", "sends": {"rule": {"per_s": 4}, "bind": {"per_s": 1}}},
    ],
    "operators": [{"name": "ops"}],
}


def small(**answers: Any) -> dict[str, Any]:
    """Return a copy of the small questionnaire with top-level answers replaced."""
    return copy.deepcopy(SMALL) | answers


def to_text(values: Any) -> str:
    """Render one key or item per line, with comments that contain JSON punctuation."""
    lines = json.dumps(values, indent=1).splitlines()
    # json5 takes about 15 µs a character, so only some lines have a comment.
    lines[::8] = [f'{line} // ": [' for line in lines[::8]]
    return "\n".join(lines) + "\n/* } */"


def parse(values: Any, file: str = "site.jsonc"):
    """Validate values as the text of a questionnaire."""
    return parse_questionnaire(to_text(values).encode(), file=file)


def parsed(values: Any) -> Questionnaire:
    """Return the questionnaire of values that must be valid."""
    match parse(values):
        case Ok(questionnaire):
            return questionnaire
        case Err(errors):
            raise AssertionError("\n".join(map(str, errors)))


@st.composite
def valid_questionnaires(draw: st.DrawFn) -> dict[str, Any]:
    """Strategy for questionnaires of 1 to 3 failure domains with expected loads of at most 0.9."""
    domains = [f"zone{number}" for number in range(draw(st.integers(1, 3)))]
    values = small(
        matters_most=draw(st.sampled_from(["response_time", "other_work_in_flood"])),
        failure_domains=[{"name": name, "region": "valley"} for name in domains],
        latency_ms={"between_failure_domains": draw(st.floats(0, 100)), "to_clients": 1},
    )
    if draw(st.booleans()):
        values["least_urgent_keeps_percent"] = draw(st.integers(0, 20))
    values["hosts"] = [
        {
            "name": f"host{number}",
            "failure_domain": domains[number % len(domains)],
            "address": "127.0.0.1",
            "peer_port": 1000 + number,
            "callers_port": 2000 + number,
            "size": draw(st.sampled_from(["small", "usual", "large"])),
        }
        for number in range(len(domains) + draw(st.integers(0, 2)))
    ]
    slots = draw(st.integers(1, 16))
    runners = draw(st.integers(1, 3))
    template = SMALL["services"][0]["runners"][0]
    values["services"][0] |= {
        "slots": slots,
        "runners": [
            template | {"name": f"r{number}", "port": 3000 + number, "failure_domain": domains[0]}
            for number in range(runners)
        ],
    }
    cores = draw(st.integers(2, 64))
    values["racks"][0] |= {"failure_domain": domains[-1], "cores": cores, "memory_gb": cores}
    values["kinds"] = [
        draw(_kinds(number, slots * runners, cores, values.get("least_urgent_keeps_percent", 0)))
        for number in range(draw(st.integers(1, 3)))
    ]
    rates = {kind["name"]: kind.pop("per_s") for kind in values["kinds"]}
    values["teams"] = [{"name": "land"}, {"name": "shop", "most_starts_per_s": 9_000_000}]
    values["callers"] = [
        {
            "name": f"caller{number}",
            "team": draw(st.sampled_from(["land", "shop"])),
            "sends": {name: {"per_s": rate / 2} for name, rate in rates.items()},
        }
        for number in range(2)
    ]
    return values


@st.composite
def _kinds(draw: st.DrawFn, number: int, slots: int, cores: int, reserved: float) -> dict[str, Any]:
    typical_s = draw(st.floats(0.05, 2))
    kind: dict[str, Any] = {
        "name": f"kind{number}",
        "typical_s": typical_s,
        "longest_s": typical_s * draw(st.floats(1, 10)),
        "answer_within_s": typical_s + draw(st.floats(0.01, 600)),
        "late_answer": draw(st.sampled_from(["someone_waits", "work_slows", "can_wait"])),
        "doubled_run": draw(st.sampled_from(["harm", "harmless"])),
    }
    if draw(st.booleans()):
        kind["keeps_percent"] = draw(st.floats(0.1, (100 - reserved) / 3))
    # At most three kinds share a pool, so each may use 0.3 of it.
    load = draw(st.floats(0.01, 0.3))
    if draw(st.booleans()):
        return kind | {
            "runs_as": "request",
            "service": "ledger",
            "per_s": load * slots / typical_s,
        }
    tasks = draw(st.integers(1, 620))
    part = max(1 / cores, 256 / (cores * 1024))
    return kind | {
        "runs_as": "job",
        "tasks_usual": tasks,
        "tasks_most": draw(st.integers(tasks, 620)),
        "per_s": load / (part * typical_s * tasks),
    }
