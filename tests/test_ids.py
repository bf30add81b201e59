"""Ids of submissions."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from eelgrassyard.policy import Reason
from eelgrassyard.policy._ids import SubmissionId, issue_id, parse_id, verify_id

KEY = b"k" * 32
FIELDS = SubmissionId(
    owner="patan-1",
    incarnation=1_800_000_000_000_000,
    sequence=7,
    expires_at=1_800_000_600,
    witness="patan-2",
    witness_incarnation=1_799_999_000_000_000,
)


def test_an_id_is_verified_for_the_caller_that_it_was_issued_to():
    """Guards against a field that is lost or swapped in the text of the id."""
    text = issue_id(FIELDS, caller="till", key=KEY)
    assert verify_id(text, caller="till", key=KEY) == Ok(FIELDS)
    assert parse_id(text) == FIELDS


def test_an_id_without_a_witness_has_none_after_parsing():
    """Guards against reading the placeholder for "no witness" as a host name."""
    fields = SubmissionId(
        owner="a", incarnation=1, sequence=2, expires_at=3, witness=None, witness_incarnation=0
    )
    text = issue_id(fields, caller="till", key=KEY)
    assert text.startswith("a.1.2.3.-.0.")
    assert verify_id(text, caller="till", key=KEY) == Ok(fields)


@pytest.mark.parametrize(("caller", "key"), [("curator", KEY), ("till", b"x" * 32), ("", KEY)])
def test_an_id_is_refused_for_another_caller_or_site(caller, key):
    """Guards against a query or cancel of another caller's submission."""
    text = issue_id(FIELDS, caller="till", key=KEY)
    assert verify_id(text, caller=caller, key=key) == Err(Reason.FOREIGN_ID)


def test_caller_and_fields_are_separated_in_the_mac():
    """Guards against a MAC over a plain concatenation, where two inputs give the same message."""
    text = issue_id(FIELDS, caller="till", key=KEY)
    body, _, mac = text.rpartition(".")
    assert verify_id(f"{body}t.{mac}", caller="ill", key=KEY).is_err()


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.data())
def test_an_id_with_any_character_changed_is_refused(data):
    """Guards against a field that the MAC does not cover, such as the expiry or the witness."""
    text = issue_id(FIELDS, caller="till", key=KEY)
    position = data.draw(st.integers(0, len(text) - 1))
    character = data.draw(st.sampled_from("0123456789abcdef.-+ \u0660"))
    changed = text[:position] + character + text[position + 1 :]
    if changed != text:
        assert verify_id(changed, caller="till", key=KEY).is_err()


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.text(max_size=300))
def test_any_text_is_refused_without_an_exception(text):
    """Guards against a crash on a malformed id from the network."""
    assert verify_id(text, caller="till", key=KEY).is_err()


def test_a_host_name_with_the_separator_is_refused_at_issue():
    """Guards against an id whose fields cannot be separated again."""
    with pytest.raises(ValueError, match="dot"):
        issue_id(
            SubmissionId(
                owner="patan.1",
                incarnation=1,
                sequence=1,
                expires_at=1,
                witness=None,
                witness_incarnation=0,
            ),
            caller="till",
            key=KEY,
        )


def test_an_id_expires_at_its_expiry():
    """Guards against a start or a verdict when the records may already be gone."""
    assert not FIELDS.is_expired(FIELDS.expires_at - 0.001)
    assert FIELDS.is_expired(FIELDS.expires_at)
