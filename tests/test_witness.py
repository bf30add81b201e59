"""Records, refusals, verdicts and handed-over outcomes at the witness."""

import pytest

from at_most_once import (
    OWNER,
    START_TIME,
    WITNESS,
    FakeConfig,
    SystemHarness,
    config_with,
    id_text,
    identity_of,
    of_type,
)
from eelgrassyard.policy import (
    Outcome,
    OutcomeKind,
    SlotAsk,
    TaskSize,
    Urgency,
    WitnessAck,
    WitnessHandoff,
    WitnessQuery,
    WitnessRecord,
    WitnessVerdict,
)
from eelgrassyard.policy._mark_pages import IDS_PER_PAGE, SKEW_S
from eelgrassyard.policy._witness import Witness

QUERIER = ("thamel-1", 33)


def make_witness(**limits: float) -> SystemHarness:
    config = FakeConfig(config_with(**limits))
    return SystemHarness(Witness(identity=identity_of(WITNESS), config=config))


def record(harness: SystemHarness, text: str, sender=OWNER) -> bool:
    message = WitnessRecord(submission_id=text, caller="till", lifetime_s=600.0)
    (ack,) = of_type(harness.receive(sender, message), WitnessAck)
    return ack.accepted


def slot_request(text: str) -> SlotAsk:
    return SlotAsk(
        submission_id=text,
        pool="service:checker",
        caller="till",
        team="shop",
        kind="check",
        urgency=Urgency.NORMAL,
        deadline_s=30.0,
        tasks=(TaskSize(index=0),),
    )


def query(harness: SystemHarness, text: str) -> Outcome:
    message = WitnessQuery(submission_id=text, caller="till", lifetime_s=600.0)
    (verdict,) = of_type(harness.receive(QUERIER, message), WitnessVerdict)
    return verdict.outcome


def hand_over(harness: SystemHarness, text: str, outcome: Outcome) -> bool:
    message = WitnessHandoff(submission_id=text, caller="till", lifetime_s=600.0, outcome=outcome)
    (ack,) = of_type(harness.receive(OWNER, message), WitnessAck)
    return ack.accepted


def test_a_recorded_submission_is_never_reported_as_not_run():
    """Guards against "not run" for work that its owner may have started."""
    harness = make_witness()
    assert record(harness, id_text(1))
    assert query(harness, id_text(1)).kind is OutcomeKind.UNKNOWN
    assert record(harness, id_text(1))
    assert harness.system.is_recorded(id_text(1))


def test_a_submission_reported_as_not_run_is_never_recorded():
    """Guards against a paused owner that later starts a submission reported as not run."""
    harness = make_witness()
    assert query(harness, id_text(1)).kind is OutcomeKind.NOT_RUN
    assert not record(harness, id_text(1))
    assert query(harness, id_text(1)).kind is OutcomeKind.NOT_RUN
    assert not harness.system.is_recorded(id_text(1))


def test_a_slot_request_to_a_scheduler_that_is_the_witness_is_recorded():
    """Guards against a start without a record when the slot request should have made it."""
    harness = make_witness()
    assert not of_type(harness.receive(OWNER, slot_request(id_text(1))), WitnessAck)
    assert harness.system.is_recorded(id_text(1))
    assert query(harness, id_text(1)).kind is OutcomeKind.UNKNOWN


def test_a_slot_request_after_a_refusal_is_answered_with_a_refused_record():
    """Guards against an owner that stays queued for a slot although it cannot get the record."""
    harness = make_witness()
    query(harness, id_text(1))
    (ack,) = of_type(harness.receive(OWNER, slot_request(id_text(1))), WitnessAck)
    assert not ack.accepted
    assert not harness.system.is_recorded(id_text(1))


def test_a_slot_request_whose_id_names_another_witness_is_not_recorded():
    """Guards against a grant that claims a record at the wrong host."""
    harness = make_witness()
    text = id_text(1, witness=("thamel-1", 33))
    assert not of_type(harness.receive(OWNER, slot_request(text)), WitnessAck)
    assert not harness.system.is_recorded(text)


def test_adjacent_ids_do_not_share_a_mark():
    """Guards against a wrong offset at the edge of a page or between owners and incarnations."""
    harness = make_witness()
    recorded = [id_text(n) for n in (0, IDS_PER_PAGE - 1, IDS_PER_PAGE + 1)]
    for text in recorded:
        assert record(harness, text)
    others = [id_text(n) for n in (1, IDS_PER_PAGE - 2, IDS_PER_PAGE, 2 * IDS_PER_PAGE + 1)]
    others.append(id_text(0, owner=("patan-1", 12)))
    others.append(id_text(0, owner=("patan-3", 11)))
    for text in others:
        assert query(harness, text).kind is OutcomeKind.NOT_RUN
    for text in recorded:
        assert query(harness, text).kind is OutcomeKind.UNKNOWN


def test_a_restarted_witness_has_no_records_of_earlier_ids():
    """Guards against "not run" from a witness that has lost its records."""
    harness = make_witness()
    text = id_text(1, witness=("patan-2", 21))
    assert not record(harness, text)
    assert query(harness, text).kind is OutcomeKind.UNKNOWN


@pytest.mark.parametrize("sender", [("patan-1", 10), ("patan-3", 11)])
def test_only_the_owner_gets_a_record(sender):
    """Guards against a start by another host or incarnation than the id names."""
    assert not record(make_witness(), id_text(1), sender=sender)


def test_another_callers_id_gets_no_verdict():
    """Guards against disclosing a caller's submission to another caller."""
    harness = make_witness()
    assert record(harness, id_text(1))
    text = id_text(1, caller="curator")
    assert query(harness, text).kind is OutcomeKind.UNKNOWN
    assert not record(harness, text)


def test_a_full_witness_refuses_records_and_refusals():
    """Guards against unbounded memory, and against "not run" without a stored refusal."""
    harness = make_witness(witness_records=2)
    assert record(harness, id_text(1))
    assert query(harness, id_text(2)).kind is OutcomeKind.NOT_RUN
    assert not record(harness, id_text(3))
    assert query(harness, id_text(3)).kind is OutcomeKind.UNKNOWN
    assert record(harness, id_text(1))


def test_marks_are_dropped_only_when_all_ids_of_a_page_have_expired():
    """Guards against a leak, and against a late record after its refusal was dropped."""
    harness = make_witness()
    query(harness, id_text(1, lifetime_s=10))
    record(harness, id_text(2, lifetime_s=100))
    harness.run(99.0)
    assert harness.system.dump()["records"] == 2
    assert not record(harness, id_text(1, lifetime_s=10))
    harness.run(1.0 + SKEW_S)
    assert harness.system.dump() == {"records": 0, "pages": 0, "outcomes": 0, "outcome_bytes": 0}
    assert not record(harness, id_text(1, lifetime_s=10))
    assert query(harness, id_text(1, lifetime_s=10)).kind is OutcomeKind.UNKNOWN


def test_a_handed_over_outcome_is_answered_with_its_results():
    """Guards against losing the outcomes of a drained host."""
    harness = make_witness()
    complete = Outcome(kind=OutcomeKind.COMPLETE, results=(b"1", b"2"))
    assert record(harness, id_text(1))
    assert hand_over(harness, id_text(1), complete)
    assert hand_over(harness, id_text(1), complete)
    assert query(harness, id_text(1)) == complete
    harness.now = START_TIME + 600.0
    harness.tick()
    assert harness.system.dump()["outcome_bytes"] == 0
    assert query(harness, id_text(1)).kind is OutcomeKind.UNKNOWN


def test_a_handed_over_not_run_outcome_prevents_a_later_record():
    """Guards against a duplicated record request that arrives after the handoff."""
    harness = make_witness()
    assert hand_over(harness, id_text(1), Outcome(kind=OutcomeKind.NOT_RUN))
    assert not record(harness, id_text(1))
    assert query(harness, id_text(1)).kind is OutcomeKind.NOT_RUN
