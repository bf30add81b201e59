"""Questionnaires: valid ones give a valid document, invalid ones errors with position and key."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from eelgrassyard.config import (
    SITES,
    config_values,
    explain,
    find_warnings,
    generate,
    load_questionnaire,
    parse_questionnaire,
    read_document,
    render_document,
)
from eelgrassyard.config._positions import find_positions
from questionnaires import parse, parsed, small, to_text, valid_questionnaires

WRONG = "@wrong@"


def line_with(values, text: str) -> int:
    lines = to_text(values).splitlines()
    return next(number for number, line in enumerate(lines, start=1) if text in line)


@settings(derandomize=True, deadline=None, max_examples=30, database=None)
@given(values=valid_questionnaires())
def test_valid_questionnaire_gives_a_valid_document(values):
    """Guards against answers that pass validation but give a configuration that hosts reject."""
    generated = generate(parsed(values))
    document = render_document(
        generated.config, author="test", origins_by_key=generated.origins_by_key
    )
    read = read_document(document).unwrap()
    assert read.config == generated.config
    assert read.origins_by_key == generated.origins_by_key
    assert set(generated.origins_by_key) == set(config_values(generated.config))


def paths_of(value, path=()):
    yield path
    if isinstance(value, dict | list):
        children = value.items() if isinstance(value, dict) else enumerate(value)
        for key, child in children:
            yield from paths_of(child, (*path, key))


def parent_of(values, path):
    for part in path[:-1]:
        values = values[part]
    return values


PATHS = [path for path in paths_of(small()) if path]
REPLACEMENTS = [None, WRONG, -1, 0, 1e300, True, [], {}, [None], "patan", 10**30]


def check_refusals(errors, text: str) -> None:
    assert errors
    for error in errors:
        assert error.file == "site.jsonc"
        assert 1 <= error.line <= text.count("\n") + 1
        assert error.key.startswith("$")
        assert error.allowed
        assert "\n" not in str(error)
        assert "Traceback" not in str(error)


@settings(derandomize=True, deadline=None, max_examples=70, database=None)
@given(path=st.sampled_from(PATHS), new=st.sampled_from(REPLACEMENTS), remove=st.booleans())
def test_changed_answer_is_rejected_or_gives_a_valid_document(path, new, remove):
    """Guards against a traceback, an error without a position, and an invalid configuration."""
    values = small()
    parent = parent_of(values, path)
    if remove:
        del parent[path[-1]]
    else:
        parent[path[-1]] = new
    match parse(values):
        case Ok(questionnaire):
            config = generate(questionnaire).config
            assert read_document(render_document(config, author="test")).is_ok()
        case Err(errors):
            check_refusals(errors, to_text(values))


@pytest.mark.parametrize("path", PATHS, ids=repr)
def test_wrong_answer_is_rejected_with_its_line_and_value(path):
    """Guards against an error that names another line."""
    values = small()
    parent_of(values, path)[path[-1]] = WRONG
    errors = parse(values).unwrap_err()
    line = line_with(values, WRONG)
    assert [error.line for error in errors if WRONG in error.value] == [line]


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(data=st.data())
def test_damaged_text_never_raises(data):
    """Guards against a traceback for truncated or damaged text."""
    text = to_text(small(racks=[], kinds=small()["kinds"][:1]))
    at = data.draw(st.integers(0, len(text) - 1))
    damage = data.draw(st.sampled_from(["", "}", "]", ",", ":", '"', "'", "/", "\\", "\0", "é"]))
    cut = data.draw(st.booleans())
    damaged = text[:at] + damage + ("" if cut else text[at + 1 :])
    result = parse_questionnaire(damaged.encode(), file="site.jsonc")
    if result.is_err():
        check_refusals(result.unwrap_err(), damaged)


def test_error_with_control_characters_is_one_line():
    """Guards against control characters, quoted by json5, that split an error over lines."""
    for text in ('{"a": "b\n', '{"a": \n\n"b\x07', "{'a\r\n': 1", '{"a\\nb": 1}'):
        for error in parse_questionnaire(text.encode(), file="f").unwrap_err():
            assert str(error).isprintable()


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"7", b"[" * 3000, b" " * 1_000_001])
def test_data_that_is_no_questionnaire_is_rejected(data):
    """Guards against a traceback for a file of another format."""
    error, *_ = parse_questionnaire(data, file="f").unwrap_err()
    assert str(error).startswith("f:1: $")


def test_unknown_and_duplicate_keys_are_rejected_with_their_lines():
    """Guards against a misspelt key that is silently ignored."""
    values = small()
    values["kinds"][0]["typicals"] = 1
    (error,) = parse(values).unwrap_err()
    assert error.line == line_with(values, '"typicals"')
    assert (error.key, error.value) == ("$.kinds[0].typicals", "1")
    assert "did you mean typical_s?" in error.allowed
    text = '{"site": "a",\n"site":\n"b"}'
    (error,) = parse_questionnaire(text.encode(), file="f").unwrap_err()
    assert (error.line, error.key) == (2, "$.site")


# Path, wrong value, key in the error, text in the error.
CONTRADICTIONS = [
    (("hosts", 0, "failure_domain"), "x", "$.hosts[0].failure_domain", "patan"),
    (("hosts", 0, "callers_port"), 7001, "$.hosts[0].callers_port", "already used"),
    (("hosts", 0, "address"), "localhost", "$.hosts[0].address", "IP"),
    (("racks", 0, "workers", 0, "name"), "r1", "$.racks[0].workers[0].name", "already used"),
    (("racks", 0, "workers", 0, "port"), 8001, "$.racks[0].workers[0].port", "8001"),
    (("racks",), [], "$.kinds[1].runs_as", "rack"),
    (("services",), [], "$.kinds[0].service", "service"),
    (("kinds", 0, "service"), "press", "$.kinds[0].service", "ledger"),
    (("kinds", 0, "longest_s"), 0.1, "$.kinds[0].longest_s", "0.25"),
    (("kinds", 0, "answer_within_s"), 0.255, "$.kinds[0].answer_within_s", "0.256"),
    (("kinds", 0, "tasks_usual"), 2, "$.kinds[0].tasks_usual", "1"),
    (("kinds", 0, "all_at_once"), True, "$.kinds[0].all_at_once", "false"),
    (("kinds", 0, "typical_s"), 2.9, "$.kinds[0].typical_s", "95%"),
    (("kinds", 1, "service"), "ledger", "$.kinds[1].service", "leave this out"),
    (("kinds", 1, "cores"), 17, "$.kinds[1].cores", "16 cores"),
    (("kinds", 1, "memory_mb"), 70_000, "$.kinds[1].cores", "64 GB"),
    (("kinds", 1, "accelerators"), 1, "$.kinds[1].cores", "0 accelerators"),
    (("kinds", 1, "all_at_once"), True, "$.kinds[1].tasks_most", "16"),
    (("kinds", 1, "tasks_most"), 3, "$.kinds[1].tasks_most", "4"),
    (("kinds", 1, "name"), "rule", "$.kinds[1].name", "already used"),
    (("kinds", 1, "late_answer"), "soon", "$.kinds[1].late_answer", "someone_waits"),
    (("teams", 0, "most_starts_per_s"), 7, "$.teams[0].most_starts_per_s", "8 tasks"),
    (("teams", 1, "name"), "operators", "$.teams[1].name", "reserved"),
    (("callers", 0, "team"), "ghosts", "$.callers[0].team", "land, shop"),
    (("callers", 0, "sends", "x"), {"per_s": 1}, "$.callers[0].sends.x", "bind, rule"),
    (("callers", 0, "sends", "rule", "per_s"), 0, "$.callers[0].sends.rule.per_s", "greater than"),
    (("callers", 0, "name"), "ops", "$.operators[0].name", "already used"),
    (("failure_domains", 0, "name"), "x", "$.failure_domains[0].name", "no host"),
    (("matters_most",), "all", "$.matters_most", "'response_time'"),
    (("site",), "Bagmati Works", "$.site", "lower-case"),
]


@pytest.mark.parametrize(("path", "value", "key", "allowed"), CONTRADICTIONS, ids=repr)
def test_contradictory_answer_is_rejected_with_what_is_allowed(path, value, key, allowed):
    """Guards against accepting contradictory answers, and errors that omit what is allowed."""
    values = small()
    parent_of(values, path)[path[-1]] = value
    errors = {error.key: error for error in parse(values).unwrap_err()}
    assert key in errors
    assert allowed in errors[key].allowed


def test_guarantees_above_the_whole_pool_are_rejected():
    """Guards against guarantees that cannot all be met."""
    values = small(least_urgent_keeps_percent=30)
    values["kinds"][0]["keeps_percent"] = 71
    (error,) = parse(values).unwrap_err()
    assert error.key == "$.kinds[0].keeps_percent"
    assert "70 percent" in error.allowed


@pytest.mark.parametrize("site", ["bagmati", "savannah"])
def test_shipped_questionnaires(site):
    """Guards against a shipped site that is invalid, too small, or has values without an origin."""
    questionnaire = load_questionnaire(SITES / f"{site}.jsonc").unwrap()
    generated = generate(questionnaire)
    config = generated.config
    roles = [upstream.role for upstream in config.upstreams_by_name.values()]
    assert len(config.hosts_by_name) == 9
    assert (roles.count("runner"), roles.count("worker")) == (24, 24)
    lines = questionnaire.positions.line_by_path.values()
    for row in explain(config, generated.origins_by_key):
        assert row.origin is not None
        assert row.origin.answer or row.origin.rule
        assert row.origin.line in lines or not row.origin.answer
    assert all("has no key yet" in warning for warning in find_warnings(questionnaire))


def test_missing_file_is_reported():
    """Guards against a traceback for a nonexistent file."""
    (error,) = load_questionnaire("/nowhere/site.jsonc").unwrap_err()
    assert "cannot be read" in str(error)


def test_positions_of_every_kind_of_token():
    """Guards against wrong line numbers after comments, multi-line strings and unusual keys."""
    text = "\n// {\n{/* [\n*/ 'a': [1,\n 'x//\\\n',\n], \"b\\u0063\": {c: -Infinity,\n}, d:\n0x1F}"
    lines = find_positions(text).line_by_path
    assert lines == {
        (): 3,
        ("a",): 4,
        ("a", 0): 4,
        ("a", 1): 5,
        ("bc",): 7,
        ("bc", "c"): 7,
        ("d",): 8,
    }
