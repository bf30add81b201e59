"""Tests of submissions at their owner, and of calls forwarded by other hosts."""

import pytest

from at_most_once import (
    OWNER,
    SCHEDULER,
    WITNESS,
    FakeConfig,
    FakeMembership,
    SystemHarness,
    body_of,
    config_with,
    id_text,
    identity_of,
    of_type,
)
from eelgrassyard.policy import (
    CallAbandoned,
    CancelCalled,
    Control,
    ControlTask,
    DrainCalled,
    Drained,
    ForwardCall,
    ForwardReply,
    Goodbye,
    IdsCalled,
    Operation,
    Outcome,
    OutcomeKind,
    Placement,
    QueryCalled,
    ReadinessChanged,
    Reason,
    RenewLeases,
    ReplyIds,
    ReplyRefusal,
    ReplyState,
    Send,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRefusal,
    SlotRelease,
    SlotWithdraw,
    StartFinished,
    StartResult,
    StartTask,
    SubmitCalled,
    TaskControl,
    WitnessAck,
    WitnessHandoff,
    WitnessQuery,
    WitnessRecord,
    WitnessVerdict,
)
from eelgrassyard.policy._admission import Admission
from eelgrassyard.policy._fair_queue import QueueRefusal
from eelgrassyard.policy._ids import parse_id
from eelgrassyard.policy._submissions import Submissions

OTHER_HOST = ("thamel-2", 44)
ACCEPTED = WitnessAck(submission_id=id_text(1), accepted=True)
REFUSED = WitnessAck(submission_id=id_text(1), accepted=False)
POOLS = {"check": "service:checker", "stamp": "service:stamper", "rule": "workers"}


class SubmissionsHarness(SystemHarness):
    """A Submissions system with fake configuration and membership, and helpers for its events."""

    def __init__(self, own=OWNER, admission=None, **limits: float) -> None:
        self.membership = FakeMembership(own)
        self.config = FakeConfig(config_with(**limits))
        self.admission = admission or Admission(config=self.config)
        super().__init__(
            Submissions(
                identity=identity_of(own),
                config=self.config,
                membership=self.membership,
                admission=self.admission,
            )
        )

    def submit(self, text=None, *, call=1, body=None, wait_s=60.0, caller="till"):
        return self.tick(
            SubmitCalled(
                call=call,
                caller=caller,
                submission_id=text or id_text(1),
                body=body or body_of(),
                wait_s=wait_s,
            )
        )

    def query(self, text=None, *, call=9, wait_s=0.0, caller="till"):
        text = text or id_text(1)
        return self.tick(QueryCalled(call=call, caller=caller, submission_id=text, wait_s=wait_s))

    def cancel(self, text=None, *, call=8):
        return self.tick(CancelCalled(call=call, caller="till", submission_id=text or id_text(1)))

    def grant(self, *indexes, first=1, kind="check", sender=SCHEDULER, attempt=0, recorded=False):
        placements = tuple(
            Placement(grant=first + n, index=index, upstream=f"up-{first + n}")
            for n, index in enumerate(indexes or (0,))
        )
        message = SlotGrant(
            submission_id=id_text(1),
            pool=POOLS[kind],
            attempt=attempt,
            placements=placements,
            recorded=recorded,
        )
        return self.receive(sender, message)

    def finish(self, start, result=StartResult.OK, payload=b"1"):
        return self.tick(
            StartFinished(start=start, upstream="", result=result, run_s=0.1, payload=payload)
        )


def outcome_in(actions):
    """Return the outcome in the only reply; it is None if the submission still runs."""
    (reply,) = of_type(actions, ReplyState)
    return reply.outcome


def releases_in(actions):
    return [r.result for message in of_type(actions, SlotRelease) for r in message.releases]


def harness_with_running_job(tasks=3, started=(0, 1)):
    harness = SubmissionsHarness()
    harness.submit(body=body_of("rule", tasks))
    harness.receive(WITNESS, ACCEPTED)
    harness.grant(*started, kind="rule")
    return harness


# Ids


def test_ids_name_the_scheduler_of_the_kind_as_witness():
    """Guards against a record message for work whose scheduler could hold the record."""
    harness = SubmissionsHarness()
    (reply,) = of_type(
        harness.tick(IdsCalled(call=1, caller="till", count=2, kind="check")), ReplyIds
    )
    fields = [parse_id(text) for text in reply.ids]
    assert {(f.witness, f.witness_incarnation) for f in fields} == {SCHEDULER}
    assert fields[0].sequence != fields[1].sequence


@pytest.mark.parametrize("kind", ["", "check"])
def test_ids_name_a_witness_other_than_the_owner(kind):
    """Guards against an owner that is its own witness, whose crash loses the record too."""
    harness = SubmissionsHarness()
    harness.membership.scheduler = OWNER[0]
    (reply,) = of_type(harness.tick(IdsCalled(call=1, caller="till", count=1, kind=kind)), ReplyIds)
    assert parse_id(reply.ids[0]).witness == WITNESS[0]


def test_ids_without_another_host_name_no_witness():
    """Guards against a single host that cannot issue ids."""
    harness = SubmissionsHarness()
    harness.membership.witness = None
    (reply,) = of_type(harness.tick(IdsCalled(call=1, caller="till", count=1)), ReplyIds)
    fields = parse_id(reply.ids[0])
    assert (fields.witness, fields.witness_incarnation) == (None, 0)


def test_a_host_without_configuration_refuses_calls():
    """Guards against serving by default limits before the site's are known."""
    harness = SubmissionsHarness()
    harness.config.current = None
    (refusal,) = of_type(harness.tick(IdsCalled(call=1, caller="till", count=1)), ReplyRefusal)
    assert refusal.reason is Reason.NOT_READY
    (refusal,) = of_type(harness.submit(), ReplyRefusal)
    assert refusal.reason is Reason.NOT_READY


# The record before the first start


def test_nothing_starts_before_the_witness_acknowledges():
    """Guards against a start that no other host has a record of."""
    harness = SubmissionsHarness()
    assert of_type(harness.submit(), WitnessRecord)
    assert not of_type(harness.grant(), StartTask)
    (start,) = of_type(harness.receive(WITNESS, ACCEPTED), StartTask)
    assert (start.submission_id, start.index, start.upstream) == (id_text(1), 0, "up-1")


def test_a_grant_after_the_record_starts_at_once():
    """Guards against waiting for a second acknowledgement."""
    harness = SubmissionsHarness()
    harness.submit()
    assert not of_type(harness.receive(WITNESS, ACCEPTED), StartTask)
    assert of_type(harness.grant(), StartTask)


@pytest.mark.parametrize("sender", [(WITNESS[0], 23), SCHEDULER])
def test_only_the_witness_named_in_the_id_acknowledges(sender):
    """Guards against a start after an acknowledgement by a restarted witness without the record."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.grant()
    assert not of_type(harness.receive(sender, ACCEPTED), StartTask)


def test_a_refused_record_ends_the_submission_as_not_run():
    """Guards against a start of a submission that the witness reported as not run."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.grant()
    actions = harness.receive(WITNESS, REFUSED)
    assert outcome_in(actions).reason is Reason.WITNESS_REFUSED
    assert releases_in(actions) == [StartResult.UNUSED]
    assert not of_type(harness.receive(WITNESS, ACCEPTED), StartTask)
    assert outcome_in(harness.submit()).kind is OutcomeKind.NOT_RUN


def test_an_unanswered_record_request_is_repeated_and_then_given_up():
    """Guards against a submission that hangs on a lost message or a dead witness."""
    harness = SubmissionsHarness()
    harness.submit()
    assert of_type(harness.run(0.5), WitnessRecord)
    assert outcome_in(harness.run(1.5)).reason is Reason.WITNESS_LOST


def test_a_witness_known_to_be_dead_ends_the_submission_at_once():
    """Guards against a wait for a witness that cannot answer."""
    harness = SubmissionsHarness()
    del harness.membership.incarnation_by_name[WITNESS[0]]
    assert outcome_in(harness.submit()).kind is OutcomeKind.NOT_RUN


def test_the_grant_of_a_scheduler_that_is_the_witness_is_the_acknowledgement():
    """Guards against a needless record message, and against a start without the recorded flag."""
    text = id_text(1, witness=SCHEDULER)
    for recorded, starts in ((True, 1), (False, 0)):
        harness = SubmissionsHarness()
        assert not of_type(harness.submit(text), WitnessRecord)
        message = SlotGrant(
            submission_id=text,
            pool="service:checker",
            attempt=0,
            placements=(Placement(grant=1, index=0, upstream="up-1"),),
            recorded=recorded,
        )
        actions = harness.receive(SCHEDULER, message)
        assert len(of_type(actions, StartTask)) == starts
        assert len(of_type(actions, WitnessRecord)) == 1 - starts


def test_a_recorded_flag_of_another_host_is_ignored():
    """Guards against a start when the scheduler changed and is not the witness of the id."""
    harness = SubmissionsHarness()
    harness.submit()
    assert not of_type(harness.grant(recorded=True), StartTask)


def test_an_id_without_witness_starts_without_acknowledgement():
    """Guards against a single host that waits for a record that no other host can hold."""
    harness = SubmissionsHarness()
    text = id_text(1, witness=None)
    assert not of_type(harness.submit(text), WitnessRecord)
    message = SlotGrant(
        submission_id=text,
        pool="service:checker",
        attempt=0,
        placements=(Placement(grant=1, index=0, upstream="up-1"),),
    )
    assert of_type(harness.receive(SCHEDULER, message), StartTask)


# Answers, resubmission and waits


def test_a_job_is_complete_with_all_results_in_order():
    """Guards against partial results, or results in their order of arrival."""
    harness = harness_with_running_job(tasks=3, started=(0, 1, 2))
    assert not of_type(harness.finish(3, payload=b"c"), ReplyState)
    assert not of_type(harness.finish(1, payload=b"a"), ReplyState)
    assert not of_type(harness.finish(1, payload=b"x"), ReplyState)
    assert outcome_in(harness.finish(2, payload=b"b")).results == (b"a", b"b", b"c")


def test_a_resubmission_attaches_and_starts_nothing():
    """Guards against a second start by a client that lost its answer."""
    harness = SubmissionsHarness()
    harness.submit()
    assert not of_type(harness.submit(call=2), SlotAsk)
    harness.receive(WITNESS, ACCEPTED)
    harness.grant()
    replies = of_type(harness.finish(1), ReplyState)
    assert [reply.call for reply in replies] == [1, 2]
    actions = harness.submit(call=3)
    assert outcome_in(actions).kind is OutcomeKind.COMPLETE
    assert not of_type(actions, Send)


@pytest.mark.parametrize("ended", [False, True])
def test_the_same_id_with_another_body_is_a_conflict(ended):
    """Guards against answering with the outcome of a different request."""
    harness = SubmissionsHarness()
    harness.submit()
    if ended:
        harness.cancel()
    (refusal,) = of_type(harness.submit(call=2, body=body_of("stamp")), ReplyRefusal)
    assert refusal.reason is Reason.BODY_CONFLICT


def test_another_callers_id_is_refused():
    """Guards against an answer to the wrong caller."""
    harness = SubmissionsHarness()
    harness.submit()
    for actions in (harness.submit(call=2, caller="curator"), harness.query(caller="curator")):
        (refusal,) = of_type(actions, ReplyRefusal)
        assert refusal.reason is Reason.FOREIGN_ID


def test_a_wait_ends_with_running_and_the_submission_continues():
    """Guards against a call that is held for ever, or whose end cancels the submission."""
    harness = SubmissionsHarness()
    harness.submit(wait_s=0.5)
    assert outcome_in(harness.run(0.6)) is None
    harness.receive(WITNESS, ACCEPTED)
    assert of_type(harness.grant(), StartTask)
    assert not of_type(harness.finish(1), ReplyState)
    assert outcome_in(harness.query()).kind is OutcomeKind.COMPLETE


def test_an_abandoned_call_gets_no_answer_and_the_submission_continues():
    """Guards against work that is lost when a caller's connection breaks."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.tick(CallAbandoned(call=1))
    harness.receive(WITNESS, ACCEPTED)
    harness.grant()
    assert not of_type(harness.finish(1), ReplyState)
    assert outcome_in(harness.query()).kind is OutcomeKind.COMPLETE


def test_a_query_for_an_id_that_was_not_submitted_returns_no_outcome():
    """Guards against "not run" for a submission that is still in transit."""
    harness = SubmissionsHarness()
    (refusal,) = of_type(harness.query(), ReplyRefusal)
    assert refusal.reason is Reason.NOT_SUBMITTED
    assert of_type(harness.submit(), SlotAsk)


def test_kept_outcomes_are_dropped_when_their_id_expires():
    """Guards against a leak, and against "not run" for an id whose record is gone."""
    harness = SubmissionsHarness()
    text = id_text(1, lifetime_s=20)
    harness.submit(text)
    harness.cancel(text)
    assert harness.system.dump()["kept"] == 1
    harness.run(20.0)
    assert harness.system.dump()["kept"] == 0
    assert outcome_in(harness.submit(text)).reason is Reason.ID_EXPIRED
    assert outcome_in(harness.query(text)).kind is OutcomeKind.UNKNOWN


def test_a_submission_that_waits_when_its_id_expires_does_not_start():
    """Guards against a start after the witness may have dropped the record."""
    harness = SubmissionsHarness()
    text = id_text(1, lifetime_s=5)
    harness.submit(text)
    harness.receive(WITNESS, WitnessAck(submission_id=text, accepted=True))
    assert outcome_in(harness.run(5.0)).kind is OutcomeKind.UNKNOWN
    message = SlotGrant(
        submission_id=text,
        pool="service:checker",
        attempt=0,
        placements=(Placement(grant=1, index=0, upstream="up-1"),),
    )
    actions = harness.receive(SCHEDULER, message)
    assert not of_type(actions, StartTask)
    assert releases_in(actions) == [StartResult.UNUSED]


def test_a_record_that_arrives_when_the_id_has_expired_starts_nothing():
    """Guards against a start at the expiry, from which on the witness gives no verdict."""
    harness = SubmissionsHarness()
    text = id_text(1, lifetime_s=5)
    harness.submit(text)
    message = SlotGrant(
        submission_id=text,
        pool=POOLS["check"],
        attempt=0,
        placements=(Placement(grant=1, index=0, upstream="up-1"),),
    )
    harness.receive(SCHEDULER, message)
    harness.now += 5.0
    actions = harness.receive(WITNESS, WitnessAck(submission_id=text, accepted=True))
    assert not of_type(actions, StartTask)
    assert outcome_in(actions).kind is OutcomeKind.UNKNOWN


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (body_of("print"), Reason.UNKNOWN_KIND),
        (body_of("check", 2), Reason.IMPOSSIBLE),
        (body_of("rule", 621), Reason.IMPOSSIBLE),
        (body_of("rule", 0), Reason.IMPOSSIBLE),
    ],
)
def test_a_submission_that_can_never_run_is_refused_at_once(body, reason):
    """Guards against a submission that waits for slots it cannot get."""
    actions = SubmissionsHarness().submit(body=body)
    replies = of_type(actions, ReplyRefusal) or [outcome_in(actions)]
    assert replies[0].reason is reason
    assert replies[0].retry_after_s is None
    assert not of_type(actions, SlotAsk)


def test_admission_refuses_new_submissions_only():
    """Guards against refusing a call whose outcome is already known."""

    class Closed(Admission):
        def check(self, now, caller, body):
            return QueueRefusal(reason=Reason.FLOW_LIMIT, message="full", retry_after_s=2.0)

    harness = SubmissionsHarness(admission=Closed(config=FakeConfig()))
    (refusal,) = of_type(harness.submit(), ReplyRefusal)
    assert (refusal.reason, refusal.retry_after_s) == (Reason.FLOW_LIMIT, 2.0)
    harness.cancel()
    assert outcome_in(harness.submit()).kind is OutcomeKind.NOT_RUN


def test_waiting_tasks_of_a_flow_are_bounded_at_the_host():
    """Guards against a count that is never increased, or not decreased when submissions end."""
    harness = SubmissionsHarness(queued_tasks_per_flow=5)
    job = body_of("rule", 3)
    assert of_type(harness.submit(body=job), SlotAsk)
    (refusal,) = of_type(harness.submit(id_text(2), call=2, body=job), ReplyRefusal)
    assert refusal.reason is Reason.FLOW_LIMIT
    harness.receive(WITNESS, ACCEPTED)
    harness.grant(0, 1, kind="rule")
    assert of_type(harness.submit(id_text(2), call=3, body=job), SlotAsk)
    harness.finish(1, StartResult.FAILED)
    harness.cancel(id_text(2), call=4)
    assert harness.admission.dump()["waiting"] == {}


# Cancel, failure and retries


def test_cancel_before_a_start_is_not_run():
    """Guards against a task that starts after it was reported as not run."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.grant()
    actions = harness.cancel()
    assert [reply.outcome.kind for reply in of_type(actions, ReplyState)] == ["not_run"] * 2
    assert releases_in(actions) == [StartResult.UNUSED]
    assert not of_type(harness.receive(WITNESS, ACCEPTED), StartTask)


def test_cancel_of_an_id_not_yet_submitted_prevents_its_submission():
    """Guards against running a submission that arrives after its cancel."""
    harness = SubmissionsHarness()
    assert outcome_in(harness.cancel()).kind is OutcomeKind.NOT_RUN
    actions = harness.submit()
    assert outcome_in(actions).kind is OutcomeKind.NOT_RUN
    assert not of_type(actions, SlotAsk)


def test_cancel_after_a_start_stops_the_tasks_and_is_failed():
    """Guards against "not run" for work that ran, and against cancelled tasks that keep running."""
    harness = harness_with_running_job()
    actions = harness.cancel()
    stops = of_type(actions, ControlTask)
    assert [(stop.index, stop.control) for stop in stops] == [(0, Control.STOP), (1, Control.STOP)]
    assert of_type(actions, SlotWithdraw)
    assert {reply.outcome.kind for reply in of_type(actions, ReplyState)} == {"failed"}
    assert releases_in(harness.finish(1, StartResult.STOPPED)) == [StartResult.STOPPED]


def test_one_failed_task_fails_the_job():
    """Guards against partial results, and against starts for a job that has failed."""
    harness = harness_with_running_job()
    actions = harness.finish(1, StartResult.FAILED)
    assert outcome_in(actions).reason is Reason.TASK_FAILED
    assert [stop.index for stop in of_type(actions, ControlTask)] == [1]
    assert of_type(actions, SlotWithdraw)
    actions = harness.grant(2, first=3, kind="rule")
    assert not of_type(actions, StartTask)
    assert releases_in(actions) == [StartResult.UNUSED]


@pytest.mark.parametrize(
    ("kind", "idempotent"), [("check", False), ("stamp", True), ("rule", True)]
)
@pytest.mark.parametrize("result", [StartResult.FAILED, StartResult.LOST])
def test_a_possible_start_is_not_repeated(kind, idempotent, result):
    """Guards against a second run of a job task or of a non-idempotent request."""
    harness = SubmissionsHarness()
    harness.submit(body=body_of(kind, idempotent=idempotent))
    harness.receive(WITNESS, ACCEPTED)
    harness.grant(kind=kind)
    actions = harness.finish(1, result)
    assert outcome_in(actions).kind is OutcomeKind.FAILED
    assert not of_type(actions, SlotAsk)


@pytest.mark.parametrize("kind", ["check", "stamp", "rule"])
def test_a_start_that_was_provably_not_made_is_retried(kind):
    """Guards against a needless failure, and against a retry on the same upstream."""
    harness = SubmissionsHarness()
    harness.submit(body=body_of(kind))
    harness.receive(WITNESS, ACCEPTED)
    harness.grant(kind=kind)
    actions = harness.finish(1, StartResult.NOT_STARTED)
    (request,) = of_type(actions, SlotAsk)
    assert (request.attempt, request.avoid) == (1, ("up-1",))
    assert of_type(harness.grant(first=2, kind=kind, attempt=1), StartTask)


def test_a_task_that_never_started_can_be_cancelled_as_not_run():
    """Guards against "failed" for work that provably did not run."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.receive(WITNESS, ACCEPTED)
    harness.grant()
    harness.finish(1, StartResult.NOT_STARTED)
    replies = of_type(harness.cancel(), ReplyState)
    assert {reply.outcome.kind for reply in replies} == {OutcomeKind.NOT_RUN}


def test_many_starts_not_made_cause_one_slot_request():
    """Guards against a slot request for each refused task of a job."""
    harness = harness_with_running_job(tasks=50, started=tuple(range(50)))
    actions = harness.tick(
        *(
            StartFinished(start=n, upstream="", result=StartResult.NOT_STARTED, run_s=0.0)
            for n in range(1, 51)
        )
    )
    (request,) = of_type(actions, SlotAsk)
    assert len(request.tasks) == 50


def test_an_idempotent_request_is_retried_a_bounded_number_of_times():
    """Guards against endless retries of a request that always fails."""
    harness = SubmissionsHarness()
    harness.admission.record_start("check", 100)
    harness.submit(body=body_of(idempotent=True))
    harness.receive(WITNESS, ACCEPTED)
    starts = 0
    for attempt in range(10):
        starts += len(of_type(harness.grant(first=attempt + 1, attempt=attempt), StartTask))
        replies = of_type(harness.finish(starts, StartResult.FAILED), ReplyState)
        if replies:
            break
        harness.run(0.1)
    assert starts == 3
    assert replies[0].outcome.kind is OutcomeKind.FAILED


def test_retries_are_a_tenth_of_the_starts():
    """Guards against a retry storm when every upstream fails."""
    harness = SubmissionsHarness()
    starts = retries = 0
    for sequence in range(400):
        text = id_text(sequence, witness=None)
        harness.submit(text, body=body_of(idempotent=True), call=sequence)
        for attempt in range(3):
            message = SlotGrant(
                submission_id=text,
                pool="service:checker",
                attempt=attempt,
                placements=(Placement(grant=starts + retries, index=0, upstream="up-1"),),
            )
            if not of_type(harness.receive(SCHEDULER, message), StartTask):
                break
            starts, retries = (starts + 1, retries) if attempt == 0 else (starts, retries + 1)
            if of_type(harness.finish(starts + retries, StartResult.FAILED), ReplyState):
                break
            harness.run(0.1)
    assert starts == 400
    assert 0.09 * starts <= retries <= 0.1 * starts


# Slot requests and grants


def test_an_unanswered_slot_request_is_repeated():
    """Guards against a submission that hangs on a lost slot request."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.receive(WITNESS, ACCEPTED)
    (request,) = of_type(harness.run(1.1), SlotAsk)
    assert request.attempt == 1


def test_a_new_scheduler_gets_the_held_slots_before_any_slot_request():
    """Guards against slots that a new scheduler grants twice, and against lost slot requests."""
    harness = harness_with_running_job()
    harness.membership.scheduler = OTHER_HOST[0]
    harness.membership.incarnation_by_name[OTHER_HOST[0]] = OTHER_HOST[1]
    sent = [
        action.message
        for action in harness.run(0.3)
        if isinstance(action, Send) and action.to == OTHER_HOST[0]
    ]
    assert [type(message) for message in sent] == [SlotHeld, SlotAsk]
    assert [place.size.index for place in sent[0].places] == [0, 1]
    assert [size.index for size in sent[1].tasks] == [2]
    (release,) = [a for a in harness.finish(1) if isinstance(a, Send)]
    assert release.to == OTHER_HOST[0]


def test_a_restarted_scheduler_is_a_new_scheduler():
    """Guards against waiting in a queue that was lost at the restart."""
    harness = harness_with_running_job()
    harness.membership.incarnation_by_name[SCHEDULER[0]] = SCHEDULER[1] + 1
    assert of_type(harness.run(0.3), SlotHeld)
    assert releases_in(harness.grant(2, first=9, kind="rule")) == [StartResult.UNUSED]
    grant = harness.grant(2, first=10, kind="rule", attempt=1, sender=(SCHEDULER[0], 34))
    assert of_type(grant, StartTask)


def test_a_duplicated_grant_is_neither_started_nor_released():
    """Guards against a second start, and against a slot counted as free while in use."""
    harness = harness_with_running_job()
    actions = harness.grant(0, 1, kind="rule")
    assert not of_type(actions, StartTask)
    assert not releases_in(actions)


def test_a_late_duplicate_of_a_released_grant_is_not_used():
    """Guards against a start in a slot that the scheduler has granted to another submission."""
    harness = harness_with_running_job(tasks=1, started=(0,))
    harness.finish(1, StartResult.NOT_STARTED)
    assert not of_type(harness.grant(0, kind="rule"), StartTask)
    assert of_type(harness.grant(0, first=2, kind="rule", attempt=1), StartTask)


def test_a_second_slot_for_a_started_task_is_released():
    """Guards against two slots for one task after a repeated slot request."""
    harness = harness_with_running_job()
    actions = harness.grant(0, first=7, kind="rule")
    assert not of_type(actions, StartTask)
    assert releases_in(actions) == [StartResult.UNUSED]


def test_a_refusal_by_the_scheduler_is_not_run_with_its_retry_advice():
    """Guards against a reason or retry advice that is lost on the way to the caller."""
    harness = SubmissionsHarness()
    harness.submit()
    refusal = SlotRefusal(
        submission_id=id_text(1),
        pool="service:checker",
        attempt=0,
        reason=Reason.QUOTA,
        retry_after_s=4.0,
    )
    outcome = outcome_in(harness.receive(SCHEDULER, refusal))
    assert (outcome.kind, outcome.reason, outcome.retry_after_s) == ("not_run", Reason.QUOTA, 4.0)


def test_a_started_job_survives_a_transient_refusal():
    """Guards against lost work when a flow is over its limit for a moment."""
    harness = harness_with_running_job()
    refusal = SlotRefusal(
        submission_id=id_text(1),
        pool="workers",
        attempt=0,
        reason=Reason.FLOW_LIMIT,
        retry_after_s=0.5,
    )
    assert not of_type(harness.receive(SCHEDULER, refusal), ReplyState)
    assert of_type(harness.run(0.6), SlotAsk)


def test_a_submission_without_a_slot_ends_at_its_deadline():
    """Guards against a submission that waits for ever for a scheduler that does not answer."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.receive(WITNESS, ACCEPTED)
    actions = harness.run(31.5)
    assert outcome_in(actions).reason is Reason.DEADLINE
    assert of_type(actions, SlotWithdraw)


def test_the_scheduler_can_throttle_a_running_task():
    """Guards against urgent work that gets no resources."""
    harness = harness_with_running_job()
    message = TaskControl(submission_id=id_text(1), index=1, control="throttle")
    (control,) = of_type(harness.receive(SCHEDULER, message), ControlTask)
    assert (control.start, control.control) == (2, Control.THROTTLE)


# Leases and pauses of the process


def test_leases_of_job_tasks_are_renewed_three_times_per_lease():
    """Guards against tasks that their worker stops while their owner is alive."""
    harness = harness_with_running_job()
    first, second = of_type(harness.run(3.4), RenewLeases)
    assert {*first.tasks, *second.tasks} == {f"{id_text(1)}/0", f"{id_text(1)}/1"}
    harness.finish(1)
    (renewal,) = of_type(harness.run(3.4), RenewLeases)
    assert renewal.tasks == (f"{id_text(1)}/1",)


def test_requests_have_no_lease():
    """Guards against lease renewals to a runner, which does not support them."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.receive(WITNESS, ACCEPTED)
    (start,) = of_type(harness.grant(), StartTask)
    assert start.lease_s == 0.0
    assert not of_type(harness.run(5.0), RenewLeases)


def test_a_paused_owner_starts_nothing_with_earlier_grants_or_records():
    """Guards against a start with a slot or record that was given to others during the pause."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.grant()
    harness.now += 10.5
    actions = harness.receive(WITNESS, ACCEPTED)
    assert not of_type(actions, StartTask)
    assert releases_in(actions) == [StartResult.UNUSED]
    assert of_type(actions, WitnessRecord)
    (request,) = of_type(actions, SlotAsk)
    assert releases_in(harness.grant(first=5, attempt=0)) == [StartResult.UNUSED]
    harness.now += 0.001
    assert not of_type(harness.grant(first=6, attempt=request.attempt), StartTask)
    assert of_type(harness.receive(WITNESS, ACCEPTED), StartTask)


def test_a_short_pause_changes_nothing():
    """Guards against needless requests after a pause shorter than the lease."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.grant()
    harness.now += 9.5
    assert of_type(harness.receive(WITNESS, ACCEPTED), StartTask)


def test_the_driver_is_woken_often_enough_to_notice_a_pause():
    """Guards against idle time that is taken for a pause of the process."""
    harness = harness_with_running_job(tasks=1, started=(0,))
    assert harness.system.next_wake(harness.now) <= harness.now + 1.0
    assert not of_type(harness.run(25.0), SlotAsk)


# Calls on submissions of other hosts


def forwarding_harness():
    return SubmissionsHarness(own=OTHER_HOST)


def test_a_call_is_forwarded_to_the_owner_and_its_reply_to_the_caller():
    """Guards against a reply that does not reach the caller."""
    harness = forwarding_harness()
    (forwarded,) = of_type(harness.submit(), ForwardCall)
    assert (forwarded.operation, forwarded.body) == (Operation.SUBMIT, body_of())
    complete = Outcome(kind=OutcomeKind.COMPLETE, results=(b"1",))
    reply = ForwardReply(call=1, submission_id=id_text(1), outcome=complete)
    assert outcome_in(harness.receive(OWNER, reply)) == complete
    assert not of_type(harness.receive(OWNER, reply), ReplyState)


@pytest.mark.parametrize(
    ("sender", "text"), [(OWNER, id_text(2)), (SCHEDULER, id_text(1)), ((OWNER[0], 10), id_text(1))]
)
def test_a_stray_reply_answers_no_call(sender, text):
    """Guards against an answer to the wrong call when a call number is reused."""
    harness = forwarding_harness()
    harness.submit()
    complete = Outcome(kind=OutcomeKind.COMPLETE, results=(b"1",))
    reply = ForwardReply(call=1, submission_id=text, outcome=complete)
    assert not of_type(harness.receive(sender, reply), ReplyState)


def test_a_lost_forward_is_repeated_without_the_body_first():
    """Guards against a call that hangs on a lost message, and against repeated large bodies."""
    harness = forwarding_harness()
    harness.submit()
    (repeat,) = of_type(harness.run(1.1), ForwardCall)
    assert (repeat.operation, repeat.body) == (Operation.QUERY, None)
    reply = ForwardReply(call=1, submission_id=id_text(1), refusal=Reason.NOT_SUBMITTED)
    (again,) = of_type(harness.receive(OWNER, reply), ForwardCall)
    assert (again.operation, again.body) == (Operation.SUBMIT, body_of())


def test_a_repeated_forward_is_answered_once():
    """Guards against two answers to one call."""
    harness = SubmissionsHarness()
    call = ForwardCall(
        call=5,
        caller="till",
        operation=Operation.SUBMIT,
        submission_id=id_text(1),
        wait_s=30.0,
        body=body_of(),
    )
    harness.receive(OTHER_HOST, call, call)
    assert len(of_type(harness.cancel(), ForwardReply)) == 1


def test_the_witness_is_queried_when_the_owner_is_dead():
    """Guards against a call that waits for a dead host."""
    harness = forwarding_harness()
    harness.submit()
    harness.membership.incarnation_by_name[OWNER[0]] = OWNER[1] + 1
    assert of_type(harness.run(1.1), WitnessQuery)
    outcome = Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.OWNER_LOST)
    verdict = WitnessVerdict(submission_id=id_text(1), outcome=outcome)
    assert not of_type(harness.receive((WITNESS[0], 23), verdict), ReplyState)
    assert outcome_in(harness.receive(WITNESS, verdict)) == outcome


def test_a_restarted_owner_reports_its_earlier_incarnation_as_lost():
    """Guards against "not submitted" from a host that lost its submissions at a restart."""
    harness = SubmissionsHarness(own=(OWNER[0], OWNER[1] + 1))
    call = ForwardCall(
        call=5, caller="till", operation=Operation.QUERY, submission_id=id_text(1), wait_s=0.0
    )
    (reply,) = of_type(harness.receive(OTHER_HOST, call), ForwardReply)
    assert reply.refusal is Reason.OWNER_LOST
    assert of_type(harness.query(), WitnessQuery)


def test_the_witness_is_queried_when_the_owner_reports_a_restart():
    """Guards against waiting until the membership detects the restart."""
    harness = forwarding_harness()
    harness.submit()
    reply = ForwardReply(call=1, submission_id=id_text(1), refusal=Reason.OWNER_LOST)
    assert of_type(harness.receive((OWNER[0], OWNER[1] + 1), reply), WitnessQuery)


@pytest.mark.parametrize("witness", [WITNESS, None])
def test_without_owner_and_witness_the_outcome_is_unknown(witness):
    """Guards against "not run" although no host can confirm it."""
    harness = forwarding_harness()
    del harness.membership.incarnation_by_name[OWNER[0]]
    del harness.membership.incarnation_by_name[WITNESS[0]]
    outcome = outcome_in(harness.submit(id_text(1, witness=witness)))
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert outcome.retry_after_s is not None


def test_a_witness_that_does_not_answer_is_given_up():
    """Guards against a call that hangs on a lost verdict."""
    harness = forwarding_harness()
    del harness.membership.incarnation_by_name[OWNER[0]]
    assert of_type(harness.submit(), WitnessQuery)
    assert outcome_in(harness.run(2.0)).kind is OutcomeKind.UNKNOWN


def test_an_owner_that_does_not_answer_is_unreachable_after_the_wait():
    """Guards against "running" for a submission that may never have arrived."""
    harness = forwarding_harness()
    harness.submit(wait_s=2.0)
    assert outcome_in(harness.run(6.0)).reason is Reason.OWNER_UNREACHABLE


# Drain


def test_a_drain_finishes_work_hands_outcomes_over_and_sends_goodbye():
    """Guards against work that is aborted and outcomes that are lost in a drain."""
    harness = harness_with_running_job(tasks=1, started=(0,))
    actions = harness.tick(DrainCalled())
    assert of_type(actions, ReadinessChanged)
    assert not of_type(actions, Drained)
    (refusal,) = of_type(harness.tick(IdsCalled(call=5, caller="till", count=1)), ReplyRefusal)
    assert refusal.reason is Reason.DRAINING
    refused = outcome_in(harness.submit(id_text(2), call=6))
    assert (refused.kind, refused.reason) == (OutcomeKind.NOT_RUN, Reason.DRAINING)
    actions = harness.finish(1, payload=b"1")
    assert outcome_in(actions).kind is OutcomeKind.COMPLETE
    handoffs = of_type(actions, WitnessHandoff)
    assert {handoff.submission_id for handoff in handoffs} == {id_text(1), id_text(2)}
    assert not of_type(actions, Goodbye)
    actions = harness.receive(
        WITNESS, ACCEPTED, WitnessAck(submission_id=id_text(2), accepted=True)
    )
    goodbyes = [a.to for a in actions if isinstance(a, Send) and isinstance(a.message, Goodbye)]
    assert goodbyes == sorted([WITNESS[0], SCHEDULER[0]])
    assert of_type(actions, Drained)


def test_uncollected_outcomes_are_handed_over_first():
    """Guards against handing over outcomes that callers have instead of those they lack."""
    harness = SubmissionsHarness()
    for sequence in (1, 2, 3):
        harness.submit(id_text(sequence), call=sequence)
        if sequence == 2:
            harness.tick(CallAbandoned(call=2))
        harness.receive(WITNESS, WitnessAck(submission_id=id_text(sequence), accepted=True))
        message = SlotGrant(
            submission_id=id_text(sequence),
            pool="service:checker",
            attempt=0,
            placements=(Placement(grant=sequence, index=0, upstream="up-1"),),
        )
        harness.receive(SCHEDULER, message)
        harness.finish(sequence)
    handoffs = of_type(harness.tick(DrainCalled()), WitnessHandoff)
    assert handoffs[0].submission_id == id_text(2)


def test_an_unacknowledged_handoff_is_repeated_and_then_given_up():
    """Guards against an outcome lost with one message, and against a drain that never ends."""
    harness = SubmissionsHarness()
    harness.submit()
    harness.cancel()
    assert of_type(harness.tick(DrainCalled()), WitnessHandoff)
    assert of_type(harness.run(0.6), WitnessHandoff)
    assert of_type(harness.run(3.0), Drained)


def test_calls_on_other_hosts_are_answered_before_the_process_ends():
    """Guards against a caller's connection that is closed without an answer."""
    harness = SubmissionsHarness()
    text = id_text(7, owner=OTHER_HOST)
    harness.membership.incarnation_by_name[OTHER_HOST[0]] = OTHER_HOST[1]
    harness.query(text, call=4, wait_s=30.0)
    actions = harness.tick(DrainCalled())
    assert outcome_in(actions).kind is OutcomeKind.UNKNOWN
    assert of_type(actions, Drained)
    (refusal,) = of_type(harness.submit(text, call=5), ReplyRefusal)
    assert refusal.reason is Reason.DRAINING


# Cost


def test_cancels_do_not_scan_other_submissions():
    """Guards against a scan of all submissions for each cancel or tick."""
    harness = SubmissionsHarness()
    for sequence in range(2000):
        harness.submit(id_text(sequence), call=sequence)
    visited = 0
    kept = harness.system._owner.by_id

    class Watched(dict):
        def __iter__(self):
            nonlocal visited
            visited += len(self)
            return super().__iter__()

        def values(self):
            nonlocal visited
            visited += len(self)
            return super().values()

        items = values

    harness.system._owner.by_id = Watched(kept)
    harness.system._owner.live_by_id = Watched(harness.system._owner.live_by_id)
    for sequence in range(2000):
        harness.cancel(id_text(sequence), call=2000 + sequence)
    assert harness.system.dump()["unfinished"] == 0
    assert visited == 0
