"""Hints from unparsed bodies: never stricter than the values of the parsed body."""

from __future__ import annotations

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from daemonkit import make_config
from eelgrassyard.daemon._hints import read_hints
from eelgrassyard.daemon._request_bodies import parse_submission, to_submission
from eelgrassyard.policy import Urgency

CONFIG = make_config()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(
        st.sampled_from(["kind", "urgency", "deadline_s", "x"]), children, max_size=3
    ),
    max_leaves=6,
)
BODIES = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["rule", "bind"]),
        "tasks": st.lists(st.fixed_dictionaries({"payload": JSON}), min_size=1, max_size=1),
    },
    optional={
        "urgency": st.sampled_from(["urgent", "normal", "background"]),
        "deadline_s": st.floats(0.001, 86_400) | st.integers(1, 86_400),
        "gang": st.booleans(),
    },
)


@settings(derandomize=True, deadline=None, max_examples=150, database=None)
@given(BODIES, st.randoms(use_true_random=False), st.booleans())
def test_hints_are_never_stricter_than_the_body(body, rng, spaced):
    """Guards against refusing a submission that the core would have accepted."""
    items = list(body.items())
    rng.shuffle(items)
    separators = (" , ", " : ") if spaced else None
    content = json.dumps(dict(items), separators=separators).encode()
    checked = to_submission(
        parse_submission(content).unwrap(), CONFIG.kinds_by_name[body["kind"]], max_tasks=620
    ).unwrap()
    hints = read_hints(CONFIG, content, is_whole=True)
    assert hints is not None
    assert hints.kind == checked.kind
    assert hints.deadline_s >= checked.deadline_s
    assert hints.urgency <= checked.urgency


@pytest.mark.parametrize(
    "start", [b"", b"[", b'{"kind": 1}', b'{"kind": "none"}', b'"kind"', b'{"kin', b"\xff\xfe"]
)
def test_bodies_without_a_known_kind_give_no_hints(start):
    """Guards against an exception on bytes that have not been validated."""
    assert read_hints(CONFIG, start, is_whole=True) is None
    assert read_hints(CONFIG, start, is_whole=False) is None


def test_start_of_a_body_gives_the_most_lenient_hints():
    """Guards against a refusal for a deadline or urgency that the rest of the body changes."""
    hints = read_hints(CONFIG, b'{"kind": "rule", "urgency": "background", ', is_whole=False)
    assert (hints.deadline_s, hints.urgency) == (math.inf, Urgency.URGENT)
