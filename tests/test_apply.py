"""Writing the configuration: lost answers, conflicts between operators, and the rollout."""

import dataclasses

import anyio
import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from eelgrassyard.cli._apply import Applied, Applier, ApplyConflict
from eelgrassyard.cli._apply_command import host_urls, report_conflict, report_rollout
from eelgrassyard.cli._errors import ExitCode
from eelgrassyard.cli._rollout import wait_for_revision
from eelgrassyard.cli._store import StoreClient
from eelgrassyard.config import CONFIG_KEY, read_document, render_document, render_successor
from eelgrassyard.policy import Limits
from test_config_document import make_config
from tool_fakes import FakeClock, FakeStore


def document(lease_s: float, author: str) -> bytes:
    config = dataclasses.replace(make_config(), limits=Limits(lease_s=lease_s))
    return render_document(config, author=author)


def apply(store: FakeStore, data: bytes, *, expect: int | None = None, max_attempts: int = 4):
    async def run():
        client = StoreClient(url="http://store", transport=store.transport())
        applier = Applier(
            store=client,
            key=CONFIG_KEY,
            document=data,
            sleep=FakeClock().sleep,
            expect=expect,
            max_attempts=max_attempts,
        )
        try:
            return await applier.apply()
        finally:
            await client.close()

    return anyio.run(run)


def stored(store: FakeStore):
    assert store.value is not None
    return read_document(store.value.encode()).unwrap()


def test_first_and_second_document():
    """Guards against a first write that expects a value, and a diff against the wrong base."""
    store = FakeStore()
    assert apply(store, document(4.0, "anna")).unwrap().revision == 1
    applied = apply(store, document(5.0, "anna")).unwrap()
    assert isinstance(applied, Applied)
    assert applied.revision == 2
    assert [change.key for change in applied.changes] == ["limits.lease_s"]


def test_the_same_configuration_is_not_written_again():
    """Guards against writing a new revision without any change."""
    store = FakeStore(value=document(4.0, "anna").decode(), revision=3)
    applied = apply(store, document(4.0, "ben")).unwrap()
    assert isinstance(applied, Applied)
    assert (applied.was_in_force, applied.revision, store.writes) == (True, 3, 0)


@pytest.mark.parametrize("faults", [["lost"], ["dropped", "lost"], ["refused", "error", "lost"]])
def test_a_lost_answer_is_resolved_by_reading_back(faults):
    """Guards against a second write, or an error, after a write whose answer was lost."""
    store = FakeStore(value=document(4.0, "anna").decode(), revision=3, faults=faults)
    data = document(5.0, "ben")
    applied = apply(store, data).unwrap()
    assert isinstance(applied, Applied)
    assert (applied.revision, store.revision) == (4, 4)
    assert stored(store).change_id == read_document(data).unwrap().change_id


def test_a_conflict_names_the_winner_and_both_differences():
    """Guards against overwriting a concurrent change of another operator."""
    store = FakeStore(value=document(4.0, "anna").decode(), revision=3)
    store.before_write = lambda fake, number: fake.put(document(6.0, "ben").decode())
    race = apply(store, document(5.0, "carla")).unwrap()
    assert isinstance(race, ApplyConflict)
    assert (race.author, race.revision, store.revision) == ("ben", 4, 4)
    assert [(c.before, c.after) for c in race.concurrent_changes] == [("4.0", "6.0")]
    assert [(c.before, c.after) for c in race.changes] == [("6.0", "5.0")]
    assert report_conflict(race) == ExitCode.CONFLICT


def test_a_lost_write_that_was_replaced_still_counts_as_written():
    """Guards against reporting "nothing was written" when a later document is based on ours."""
    store = FakeStore(value=document(4.0, "anna").decode(), revision=3, faults=["lost"])

    def replace(fake: FakeStore, number: int) -> None:
        fake.put(
            render_successor(read_document(document(6.0, "ben")).unwrap(), stored(fake)).decode()
        )

    store.after_write = replace
    applied = apply(store, document(5.0, "carla")).unwrap()
    assert isinstance(applied, Applied)
    assert (applied.replaced_by, applied.revision) == ("ben", 5)


def test_an_expected_revision_that_is_gone_is_a_conflict():
    """Guards against applying a change that was decided on an older revision."""
    store = FakeStore(value=document(4.0, "anna").decode(), revision=3)
    race = apply(store, document(5.0, "ben"), expect=2).unwrap()
    assert isinstance(race, ApplyConflict)
    assert (race.author, store.writes) == ("anna", 0)


def test_a_store_that_is_out_fails_clearly():
    """Guards against a silent or endless apply during an outage."""
    store = FakeStore(faults=["refused"] * 10)
    error = apply(store, document(4.0, "anna")).unwrap_err()
    assert (error.step, error.may_have_written, store.writes) == ("store PUT", False, 4)
    store = FakeStore(faults=["lost"], read_faults=[False] + [True] * 10)
    assert "may have taken effect" in str(apply(store, document(4.0, "anna")).unwrap_err())


def test_an_invalid_document_is_never_written():
    """Guards against a document in the store that no host can read."""
    store = FakeStore()
    assert isinstance(apply(store, b"{}"), Err)
    assert store.calls == 0


def test_store_calls_are_bounded():
    """Guards against a tool that uses up the service's rate limit."""
    store = FakeStore(faults=["dropped"] * 100)
    error = apply(store, document(4.0, "anna"), max_attempts=100).unwrap_err()
    assert "limit of 30 calls" in str(error)
    assert store.calls == 30


FAULT = st.sampled_from(["ok", "lost", "dropped", "refused", "error"])


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(faults=st.lists(FAULT, max_size=5), rival_at=st.integers(-1, 4), based_on=st.booleans())
def test_the_result_agrees_with_the_store(faults, rival_at, based_on):
    """Guards against a wrong report after any order of faults and a concurrent write.

    If reported as written, the document is or was in the store; if as a conflict, it never was.
    """
    store = FakeStore(value=document(4.0, "anna").decode(), revision=3, faults=list(faults))
    rival = read_document(document(6.0, "rival")).unwrap()
    seen: list[str] = []

    def record(fake: FakeStore, number: int) -> None:
        seen.append(stored(fake).change_id)

    def race(fake: FakeStore, number: int) -> None:
        if number == rival_at:
            fake.put(render_successor(rival, stored(fake)).decode())
            seen.append(rival.change_id)

    store.before_write, store.after_write = race, record
    data = document(5.0, "carla")
    ours = read_document(data).unwrap().change_id
    match apply(store, data, max_attempts=6):
        case Ok(Applied()):
            assert ours in seen
        case Ok(ApplyConflict() as lost):
            assert ours not in seen
            assert lost.author == "rival"
        case Err(error):
            assert error.may_have_written or ours not in seen


def ask_hosts(status_by_host: dict[str, list[httpx.Response]], rounds: int):
    def respond(request: httpx.Request) -> httpx.Response:
        responses = status_by_host[request.url.host]
        response = responses.pop(0) if len(responses) > 1 else responses[0]
        if response.status_code == 599:
            raise httpx.ConnectError("refused")
        return response

    async def run():
        return await wait_for_revision(
            {host: f"http://{host}" for host in status_by_host},
            revision=7,
            key="k",
            rounds=rounds,
            transport=httpx.MockTransport(respond),
            sleep=FakeClock().sleep,
        )

    return anyio.run(run)


def dump(revision: int) -> httpx.Response:
    return httpx.Response(200, json={"config": {"revision": revision}})


def test_waiting_names_the_hosts_where_the_revision_is_not_in_force():
    """Guards against reporting success while a host still has an older revision."""
    rollout = ask_hosts(
        {
            "10.0.0.1": [dump(6), dump(7)],
            "10.0.0.2": [dump(8)],
            "10.0.0.3": [dump(6)],
            "10.0.0.4": [httpx.Response(599)],
            "10.0.0.5": [httpx.Response(403)],
            "10.0.0.6": [httpx.Response(200, text="?")],
        },
        rounds=3,
    )
    assert rollout.in_force == ["10.0.0.1", "10.0.0.2"]
    assert list(rollout.reason_by_host) == ["10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"]
    assert "revision 6" in rollout.reason_by_host["10.0.0.3"]
    assert report_rollout(rollout, 7) == ExitCode.UNREACHABLE
    assert report_rollout(ask_hosts({"10.0.0.2": [dump(7)]}, rounds=1), 7) == ExitCode.DONE


def test_hosts_to_ask_come_from_the_document_unless_given():
    """Guards against asking hosts at the port for peers."""
    config = make_config()
    host = dataclasses.replace(config.hosts_by_name["patan-1"], callers_port=9001)
    config = dataclasses.replace(config, hosts_by_name={"patan-1": host})
    assert host_urls(config, []) == {"patan-1": "http://127.0.0.1:9001"}
    assert list(host_urls(config, ["http://10.0.0.1:1/"])) == ["http://10.0.0.1:1"]
