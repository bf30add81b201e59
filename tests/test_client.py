"""The reference client: requests ids first and retries with the same id."""

import anyio
import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.cli import Client, CommandError, ExitCode, State, SubmissionAnswer
from eelgrassyard.cli._client_commands import read_submissions, worst_exit_code
from tool_fakes import FakeClock, FakeSite, outcome, refusal

BODY = {"kind": "rule", "tasks": [{"payload": {"n": 1}}]}
HOSTS = ["http://10.0.0.1:1", "http://10.0.0.2:1", "http://10.0.0.3:1"]


def running() -> httpx.Response:
    return httpx.Response(202, json={"state": "running"})


def complete() -> httpx.Response:
    return outcome("complete", 200, results=[{"page": 1}])


def run(site: FakeSite, **arguments) -> SubmissionAnswer:
    async def submit():
        client = Client(
            hosts=HOSTS,
            key="secret",
            transport=site.transport(),
            clock=site.clock,
            sleep=site.clock.sleep,
        )
        try:
            return await client.run(BODY, **arguments)
        finally:
            await client.close()

    return anyio.run(submit)


def make_site(*script) -> FakeSite:
    return FakeSite(clock=FakeClock(), script=list(script))


def test_the_outcome_and_results_are_returned():
    """Guards against results that are lost or reordered on the way."""
    site = make_site(complete())
    answer = run(site)
    assert (answer.state, answer.results, answer.calls) == (State.COMPLETE, ({"page": 1},), 1)


def test_the_issuing_host_is_called_first():
    """Guards against needless forwarding to the owner."""
    issuers = []
    site = make_site(complete())
    issue = site._issue

    def record(request: httpx.Request) -> httpx.Response:
        issuers.append(request.url.host)
        return issue(request)

    site._issue = record
    run(site)
    assert site.calls[0][1] == issuers[0]


LOST = [
    httpx.ReadTimeout("t"),
    httpx.RemoteProtocolError("closed"),
    httpx.ConnectError("refused"),
    httpx.Response(502, text="bad gateway"),
    refusal("not_ready", 503),
    refusal("owner_unreachable", 504),
    httpx.Response(200, text="<html>"),
    httpx.Response(200, json={"state": "complete"}),
    outcome("unknown", 504, reason="owner_lost"),
]


@pytest.mark.parametrize("lost", LOST, ids=repr)
def test_a_lost_or_unknown_answer_is_repeated_with_the_same_id_elsewhere(lost):
    """Guards against a new id, a changed body or no retry after a lost answer."""
    site = make_site(lost, complete())
    answer = run(site)
    assert answer.state is State.COMPLETE
    (_, first_host, first_id), (method, second_host, second_id) = site.calls
    assert (method, second_id, site.issued) == ("PUT", first_id, 1)
    assert second_host != first_host
    assert site.bodies[0] == site.bodies[1]


def test_a_running_submission_is_asked_for_until_it_ends():
    """Guards against sending the body again while the host already has it."""
    site = make_site(running(), running(), complete())
    assert run(site).state is State.COMPLETE
    assert [method for method, _, _ in site.calls] == ["PUT", "GET", "GET"]


def test_a_lost_query_falls_back_to_submitting_again():
    """Guards against polling forever for a submission that was lost with its owner."""
    site = make_site(running(), httpx.ReadError("lost"), outcome("failed", 502, reason="x"))
    answer = run(site)
    assert (answer.state, answer.reason) == (State.FAILED, "x")
    assert [method for method, _, _ in site.calls] == ["PUT", "GET", "PUT"]


def test_not_run_takes_a_new_id_only_when_asked_to():
    """Guards against reusing an id that was refused, and against unasked resubmission."""
    site = make_site(outcome("not_run", 503, retry_after_s=2), complete())
    assert run(site).state is State.NOT_RUN
    site = make_site(outcome("not_run", 503, retry_after_s=2), complete())
    answer = run(site, run_again=True)
    assert (answer.state, answer.calls, answer.submission_id) == (State.COMPLETE, 2, "id1")
    assert site.clock.now >= 2
    site = make_site(outcome("not_run", 422, reason="impossible"))
    assert run(site, run_again=True).state is State.NOT_RUN


def test_the_hint_of_one_host_does_not_delay_the_call_to_the_next():
    """Guards against a pause of seconds because one host restarts."""
    site = make_site(refusal("not_ready", 503, 50), complete())
    assert run(site).state is State.COMPLETE
    assert site.clock.now < 1
    site = make_site(*[refusal("not_ready", 503, 50)] * 3, complete())
    assert run(site).state is State.COMPLETE
    assert site.clock.now >= 50


def test_work_of_a_lost_host_moves_on_at_once():
    """Guards against a pause of seconds when another host can take the work."""
    lost = outcome("not_run", 503, reason="owner_lost", retry_after_s=50)
    site = make_site(lost, complete())
    assert run(site, run_again=True).state is State.COMPLETE
    assert site.clock.now < 1
    site = make_site(*[lost] * 20)
    assert run(site, run_again=True, give_up_s=100).state is State.NOT_RUN
    assert len(site.calls) < 8


def test_the_last_outcome_is_kept_when_no_new_id_is_issued():
    """Guards against an error that hides the outcome already known."""
    site = make_site(outcome("not_run", 503, reason="deadline", retry_after_s=1))
    issue = site._issue

    def issue_once(request: httpx.Request) -> httpx.Response:
        return httpx.Response(503) if site.issued else issue(request)

    site._issue = issue_once
    answer = run(site, run_again=True, give_up_s=5)
    assert (answer.state, answer.reason) == (State.NOT_RUN, "deadline")


@pytest.mark.parametrize(("code", "status"), [("flow_limit", 429), ("impossible", 422)])
def test_a_submission_that_no_host_took_is_not_run(code, status):
    """Guards against retries under overload, and against "unknown" for work never accepted."""
    site = make_site(refusal(code, status, retry_after_s=3))
    answer = run(site)
    assert (answer.state, answer.reason, answer.calls) == (State.NOT_RUN, code, 1)
    assert answer.retry_after_s == 3


def test_a_refusal_after_a_lost_answer_does_not_end_the_submission():
    """Guards against "not run" for work that an earlier call may have started."""
    site = make_site(httpx.ReadTimeout("t"), refusal("flow_limit", 429), complete())
    assert run(site).state is State.COMPLETE
    site = make_site(httpx.ReadTimeout("t"), *[refusal("flow_limit", 429)] * 100)
    assert run(site, give_up_s=10).state is State.UNKNOWN


def test_an_id_of_a_draining_owner_is_replaced():
    """Guards against waiting for a host that accepts no more work."""
    site = make_site(refusal("draining", 503), complete())
    answer = run(site)
    assert (answer.state, answer.submission_id) == (State.COMPLETE, "id1")
    site = make_site(refusal("draining", 503))
    assert run(site, submission_id="mine", give_up_s=0).state is State.UNKNOWN
    site = make_site(httpx.ReadTimeout("t"), refusal("draining", 503), complete())
    assert run(site).submission_id == "id0"


def test_an_expired_id_is_replaced_only_if_it_was_never_used():
    """Guards against a second run under a new id after the first id expired."""
    site = make_site(refusal("id_expired", 504), complete())
    answer = run(site)
    assert (answer.state, answer.submission_id) == (State.COMPLETE, "id1")
    site = make_site(httpx.ReadTimeout("t"), refusal("id_expired", 504))
    assert (run(site).state, site.issued) == (State.UNKNOWN, 1)


def test_a_query_of_an_expired_id_is_unknown():
    """Guards against "not run" or an error for work whose id expired after it ran."""
    site = make_site(outcome("unknown", 504, reason="id_expired"))

    async def query():
        client = Client(hosts=HOSTS, key="secret", transport=site.transport(), clock=site.clock)
        try:
            return await client.query("id0")
        finally:
            await client.close()

    assert anyio.run(query).state is State.UNKNOWN


@pytest.mark.parametrize("code", ["draining", "id_expired", "flow_limit", "impossible"])
def test_an_id_that_was_given_may_have_been_used_before(code):
    """Guards against "not run" and a new id for a resubmission whose first call has run."""
    site = make_site(*[refusal(code, 503)] * 50)
    answer = run(site, submission_id="mine", give_up_s=5, run_again=True)
    assert (answer.state, site.issued) == (State.UNKNOWN, 0)
    assert {submission_id for _, _, submission_id in site.calls} == {"mine"}


def test_the_kind_comes_first_in_the_body():
    """Guards against bodies that a host must read completely before it can refuse them."""
    site = make_site(complete())

    async def submit():
        client = Client(hosts=HOSTS, key="secret", transport=site.transport(), clock=site.clock)
        await client.submit_once("id0", {"tasks": [], "kind": "rule"}, wait_s=0)
        await client.close()

    anyio.run(submit)
    assert site.bodies[0].startswith(b'{"kind":"rule"')


@pytest.mark.parametrize("status", [400, 401, 403, 409, 413, 431])
def test_a_refused_call_is_not_repeated(status):
    """Guards against retrying calls that will be refused again."""
    error = {"error": {"code": "body_conflict", "message": "m"}}
    site = make_site(httpx.Response(status, json=error))
    answer = run(site)
    assert (answer.state, answer.reason, answer.message) == (State.REFUSED, "body_conflict", "m")


def test_a_refusal_after_a_lost_answer_is_unknown():
    """Guards against "bad input" for work that ran before the caller's key was revoked."""
    site = make_site(httpx.ReadTimeout("t"), refusal("unauthorized", 401))
    assert run(site).state is State.UNKNOWN
    site = make_site(httpx.ConnectError("x"), refusal("unauthorized", 401))
    assert run(site).state is State.REFUSED


def test_answers_without_waiting_are_not_asked_for_in_a_tight_loop():
    """Guards against polling without a pause while the work runs."""
    site = make_site(*[running()] * 500)
    assert run(site, wait_s=0, give_up_s=10).state is State.RUNNING
    assert len(site.calls) < 110


def test_giving_up_distinguishes_unknown_from_unreached():
    """Guards against "nothing ran" after a call that may have arrived."""
    site = make_site(*[httpx.ConnectError("refused")] * 100)
    assert run(site, give_up_s=10).state is State.UNREACHED
    site = make_site(httpx.ReadTimeout("t"), *[httpx.ConnectError("refused")] * 100)
    assert run(site, give_up_s=10).state is State.UNKNOWN
    assert len(site.calls) < 15
    site = make_site(*[running()] * 2000)
    assert run(site, give_up_s=10).state is State.RUNNING


def test_ids_are_asked_for_again_until_time_is_over():
    """Guards against a submission that fails because one host is unavailable."""
    site = make_site(complete())
    site.id_faults = [httpx.ConnectError("x"), httpx.Response(503), httpx.Response(201, text="?")]
    assert run(site).state is State.COMPLETE
    site = make_site()
    site.id_faults = [httpx.Response(503)] * 1000
    with pytest.raises(CommandError) as raised:
        run(site, give_up_s=5)
    assert raised.value.code == ExitCode.UNREACHABLE
    site.id_faults = [httpx.Response(401, json={"error": {"message": "no such key"}})]
    with pytest.raises(CommandError, match="no such key"):
        run(site)


ANSWERS = st.sampled_from(["lost", "refused connect", "unknown", "running", "not submitted"])


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(before=st.lists(ANSWERS, max_size=8), last=st.sampled_from(["complete", "failed"]))
def test_one_submission_keeps_one_id(before, last):
    """Guards against a second id, by which the work could run twice, in any order of answers."""
    make = {
        "lost": lambda: httpx.ReadTimeout("t"),
        "refused connect": lambda: httpx.ConnectError("c"),
        "unknown": lambda: outcome("unknown", 504),
        "running": running,
        "not submitted": lambda: outcome("not_submitted", 404),
        "complete": complete,
        "failed": lambda: outcome("failed", 502),
    }
    site = make_site(*[make[name]() for name in [*before, last]])
    answer = run(site, give_up_s=1000)
    assert answer.state.value == last
    assert {submission_id for _, _, submission_id in site.calls} == {"id0"}
    assert answer.calls == len(before) + 1


def test_files_of_submissions():
    """Guards against sending an invalid line, or refusing it without its number."""
    assert read_submissions(b'{"kind": "a",\n "tasks": [{}]}', "f") == [
        {"kind": "a", "tasks": [{}]}
    ]
    lines = b'{"kind": "a", "tasks": [{}]}\n\n{"kind": "b", "tasks": [{}]}\n'
    assert [item["kind"] for item in read_submissions(lines, "f")] == ["a", "b"]
    for wrong in (b"", b"[]", b'{"kind": "a", "tasks": []}', b'{"tasks": [{}]}', b"\xff"):
        with pytest.raises(CommandError):
            read_submissions(wrong, "f")
    with pytest.raises(CommandError) as raised:
        read_submissions(lines + b"{", "f")
    assert raised.value.peer == "f:4"


def test_the_most_severe_exit_code_is_reported():
    """Guards against a success code while one of many submissions is unknown."""
    assert worst_exit_code([]) == ExitCode.DONE
    assert worst_exit_code([ExitCode.DONE, ExitCode.UNKNOWN, ExitCode.BROKEN]) == ExitCode.UNKNOWN
    assert worst_exit_code([ExitCode.NOT_RUN, ExitCode.DONE]) == ExitCode.NOT_RUN
