"""Protocol compatibility of the tool with the daemon and with the stand-in key-value service."""

import anyio
import httpx
import pytest

from eelgrassyard.cli import State
from eelgrassyard.cli._answer import read_answer
from eelgrassyard.cli._apply import Applied, Applier, ApplyConflict
from eelgrassyard.cli._store import StoreClient
from eelgrassyard.config import CONFIG_KEY
from eelgrassyard.daemon import _answers as answers
from eelgrassyard.policy import Outcome, OutcomeKind, Reason
from eelgrassyard.standins import KeyValueStandIn
from test_apply import document


def to_response(answer: answers.HttpAnswer) -> httpx.Response:
    return httpx.Response(answer.status, content=answer.body, headers=list(answer.headers))


def read_outcome(kind: OutcomeKind, **fields):
    response = to_response(answers.outcome_answer("id", Outcome(kind=kind, **fields)))
    return read_answer("id", response, "host")


@pytest.mark.parametrize("kind", list(OutcomeKind))
def test_every_outcome_of_the_daemon_is_recognized(kind):
    """Guards against an outcome that the client retries or reports as another one."""
    results = (b'{"page":1}', b"2") if kind is OutcomeKind.COMPLETE else ()
    answer = read_outcome(kind, results=results, reason=Reason.NONE)
    assert answer.state.value == kind.value
    assert answer.results == (({"page": 1}, 2) if results else ())


@pytest.mark.parametrize("reason", list(Reason))
def test_every_reason_not_to_run_is_recognized(reason):
    """Guards against a reason whose status hides the outcome."""
    answer = read_outcome(OutcomeKind.NOT_RUN, reason=reason, retry_after_s=2.5)
    assert answer.state is State.NOT_RUN
    assert answer.retry_after_s == (None if reason is Reason.IMPOSSIBLE else 3)


SAFE_AFTER_REFUSAL = {State.NOT_TAKEN, State.REFUSED, State.LOST, State.NOT_SUBMITTED}


@pytest.mark.parametrize("reason", list(Reason))
def test_no_refusal_is_read_as_an_outcome(reason):
    """Guards against a refused call that ends a submission which an earlier call started."""
    response = to_response(answers.refusal_answer(reason, "m", None))
    assert read_answer("id", response, "host").state in SAFE_AFTER_REFUSAL


def test_running_is_recognized():
    """Guards against a running submission that is submitted again."""
    response = to_response(answers.running_answer("id"))
    assert read_answer("id", response, "host").state is State.RUNNING


def test_apply_against_the_stand_in_of_the_store():
    """Guards against a client and a service that differ in the protocol."""
    store = KeyValueStandIn()
    # The stand-in raises when an answer is to be lost; the server then ends with status 500.
    transport = httpx.ASGITransport(app=store, raise_app_exceptions=False)

    async def no_sleep(seconds: float) -> None:
        pass

    async def apply(data: bytes, expect: int | None = None):
        client = StoreClient(url="http://store", transport=transport)
        applier = Applier(
            store=client, key=CONFIG_KEY, document=data, sleep=no_sleep, expect=expect
        )
        return (await applier.apply()).unwrap()

    async def run():
        first = await apply(document(4.0, "anna"))
        store.faults.lost_answers = 1
        second = await apply(document(5.0, "ben"))
        conflict = await apply(document(6.0, "carla"), expect=first.revision)
        return first, second, conflict

    first, second, conflict = anyio.run(run)
    assert isinstance(first, Applied)
    assert isinstance(second, Applied)
    assert second.revision == first.revision + 1
    assert isinstance(conflict, ApplyConflict)
    assert conflict.author == "ben"
