"""The entry host's decisions, one at a time."""

from __future__ import annotations

from eelgrassyard.dispatch._entry import AnswerCaller, Entry, SendLeader
from eelgrassyard.dispatch._jobs import Job, Outcome, Step
from eelgrassyard.dispatch._messages import Cancel, JobEnded, JobReturned, Progress, Submit

JOB = Job(
    id="5c0e7a21d94b36f8",
    kind="k",
    service="s",
    payload="p",
    steps=(Step(count=1, cpu=1000, estimate_s=0.1),),
    stretch=1.6,
    target_s=0.06,
)


def take(entry: Entry, kind: type) -> list:
    """Actions of one type so far; all are taken out."""
    found = [action for action in entry.actions if isinstance(action, kind)]
    entry.actions.clear()
    return found


def submits(entry: Entry) -> list[Submit]:
    """Jobs that were handed to the leader."""
    messages = [action.message for action in take(entry, SendLeader)]
    return [message for message in messages if isinstance(message, Submit)]


def test_a_job_without_a_leader_is_refused_early_as_not_run() -> None:
    """Guards against holding a job for which nobody can do anything."""
    entry = Entry()
    entry.submit(1.0, 1, JOB, caller_waits_s=1.5)
    entry.advance(1.04)
    assert take(entry, AnswerCaller) == []
    entry.advance(1.06)
    (answer,) = take(entry, AnswerCaller)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.retry_after_s > 0.0


def test_a_job_that_a_leader_had_is_never_said_not_to_have_run() -> None:
    """Guards against a false refusal after the death of a leader."""
    entry = Entry()
    entry.set_leader(1.0, 5)
    entry.submit(1.0, 1, JOB, caller_waits_s=1.5)
    assert len(submits(entry)) == 1
    entry.set_leader(1.1, 0)
    entry.advance(2.2)
    (answer,) = take(entry, AnswerCaller)
    assert answer.outcome is Outcome.ABANDONED


def test_a_job_is_handed_to_the_next_leader_with_its_round() -> None:
    """Guards against a successor that takes a job for a new one."""
    entry = Entry()
    entry.set_leader(1.0, 5)
    entry.submit(1.0, 1, JOB, caller_waits_s=1.5)
    assert [message.round for message in submits(entry)] == [0]
    entry.set_leader(1.2, 0)
    entry.set_leader(1.3, 9)
    (again,) = submits(entry)
    assert (again.round, round(again.waited_s, 3)) == (1, 0.3)


def test_what_a_resigning_leader_says_travels_with_the_job() -> None:
    """Guards against tasks that run again although they had ended."""
    entry = Entry()
    entry.set_leader(1.0, 5)
    entry.submit(1.0, 1, JOB, caller_waits_s=1.5)
    take(entry, SendLeader)
    progress = Progress(done=((0, 0),))
    entry.job_returned(1.1, JobReturned(job_id=JOB.id, progress=progress))
    entry.set_leader(1.1, 9)
    (again,) = submits(entry)
    assert again.progress == progress


def test_a_host_that_had_not_taken_a_job_up_does_not_count_as_a_round() -> None:
    """Guards against a wait for runs that cannot exist."""
    entry = Entry()
    entry.set_leader(1.0, 5)
    entry.submit(1.0, 1, JOB, caller_waits_s=1.5)
    take(entry, SendLeader)
    entry.job_returned(1.01, JobReturned(job_id=JOB.id))
    entry.set_leader(1.02, 9)
    assert [message.round for message in submits(entry)] == [0]


def test_a_job_is_cancelled_when_its_last_caller_leaves() -> None:
    """Guards against work for a client that is gone."""
    entry = Entry()
    entry.set_leader(1.0, 5)
    entry.submit(1.0, 1, JOB, caller_waits_s=1.5)
    entry.submit(1.1, 2, JOB, caller_waits_s=1.5)
    take(entry, SendLeader)
    entry.caller_left(1.2, 1)
    assert take(entry, SendLeader) == []
    entry.caller_left(1.3, 2)
    (cancel,) = take(entry, SendLeader)
    assert cancel.message == Cancel(job_id=JOB.id)


def test_all_requests_for_a_job_get_its_answer() -> None:
    """Guards against a request that waits for ever beside its twin."""
    entry = Entry()
    entry.set_leader(1.0, 5)
    entry.submit(1.0, 1, JOB, caller_waits_s=1.5)
    entry.submit(1.1, 2, JOB, caller_waits_s=1.5)
    entry.job_ended(1.2, JobEnded(job_id=JOB.id, outcome=Outcome.COMPLETE))
    assert [answer.ticket for answer in take(entry, AnswerCaller)] == [1, 2]
