"""Commands that call hosts and the store, against fakes of both."""

import functools
import json

import httpx
import pytest

from eelgrassyard.cli import Client, ExitCode, _apply_command, _client_commands, main
from eelgrassyard.cli import _input as cli_input
from eelgrassyard.cli import _operator_commands as operator_commands
from eelgrassyard.cli._store import StoreClient
from test_apply import document
from tool_fakes import FakeClock, FakeSite, FakeStore, outcome, refusal

HOSTS = "http://10.0.0.1:1,http://10.0.0.2:1"


@pytest.fixture
def site(monkeypatch):
    """A site that answers from its script; waits use a virtual clock."""
    fake = FakeSite(clock=FakeClock())
    make = functools.partial(
        Client, transport=fake.transport(), clock=fake.clock, sleep=fake.clock.sleep
    )
    monkeypatch.setattr(_client_commands, "Client", make)
    monkeypatch.setenv("EELGRASSYARD_HOSTS", HOSTS)
    monkeypatch.setenv("EELGRASSYARD_KEY", "secret")
    return fake


def write_submissions(tmp_path, kinds: str) -> str:
    path = tmp_path / "work.jsonl"
    bodies = [{"kind": kind, "tasks": [{"payload": n}]} for n, kind in enumerate(kinds)]
    path.write_text("\n".join(json.dumps(body) for body in bodies))
    return str(path)


def complete() -> httpx.Response:
    return outcome("complete", 200, results=[1])


def test_submit_prints_a_line_for_each_submission(site, tmp_path, capsys):
    """Guards against submissions that are missing from the output."""
    site.script = [complete() for _ in range(3)]
    assert main(["submit", write_submissions(tmp_path, "aab")]) == ExitCode.DONE
    answers = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert {answer["id"] for answer in answers} == {"id0", "id1", "id2"}
    assert all(answer["results"] == [1] for answer in answers)


OUTCOMES = [
    (outcome("failed", 502, reason="task_failed"), ExitCode.BROKEN),
    (outcome("not_run", 503, reason="deadline", retry_after_s=1), ExitCode.NOT_RUN),
    (outcome("unknown", 504, reason="owner_lost"), ExitCode.UNKNOWN),
    (refusal("unknown_kind", 400), ExitCode.USAGE),
    (refusal("flow_limit", 429, 1), ExitCode.NOT_RUN),
    (httpx.ConnectError("refused"), ExitCode.UNREACHABLE),
]


@pytest.mark.parametrize(("answer", "code"), OUTCOMES, ids=lambda value: repr(value))
def test_the_exit_code_of_submit_matches_the_outcome(site, tmp_path, capsys, answer, code):
    """Guards against a script that takes one outcome for another."""
    site.script = [answer]
    assert main(["submit", "--give_up_s=0", write_submissions(tmp_path, "a")]) == code
    assert len(capsys.readouterr().out.splitlines()) == 1


def test_ids_of_a_long_file_are_requested_in_batches(site, tmp_path, capsys):
    """Guards against ids that expire before they are used."""
    site.script = [complete() for _ in range(20)]
    assert main(["submit", "--at_once=1", write_submissions(tmp_path, "a" * 20)]) == ExitCode.DONE
    first_ids = [submission_id for _, _, submission_id in site.calls]
    assert len(set(first_ids)) == 20
    assert site.id_calls == 3
    capsys.readouterr()


def test_resubmission_of_one_id(site, tmp_path, capsys):
    """Guards against a new id for work that may have run."""
    site.script = [httpx.ReadTimeout("t"), complete()]
    arguments = ["submit", "--id=mine", write_submissions(tmp_path, "a")]
    assert main(arguments) == ExitCode.DONE
    assert {submission_id for _, _, submission_id in site.calls} == {"mine"}
    assert site.issued == 0
    arguments = ["submit", "--id=mine", write_submissions(tmp_path, "ab")]
    assert main(arguments) == ExitCode.USAGE
    capsys.readouterr()


STATES = [
    (httpx.Response(202, json={"state": "running"}), ExitCode.DONE, ExitCode.DONE),
    (complete(), ExitCode.DONE, ExitCode.DONE),
    (refusal("not_submitted", 404), ExitCode.DONE, ExitCode.DONE),
    (outcome("failed", 502, reason="cancelled"), ExitCode.BROKEN, ExitCode.DONE),
    (outcome("not_run", 503, reason="cancelled"), ExitCode.NOT_RUN, ExitCode.DONE),
    (outcome("unknown", 504, reason="owner_lost"), ExitCode.UNKNOWN, ExitCode.UNKNOWN),
    (refusal("foreign_id", 403), ExitCode.USAGE, ExitCode.USAGE),
]


@pytest.mark.parametrize(("answer", "status_code", "cancel_code"), STATES, ids=repr)
def test_status_and_cancel(site, capsys, answer, status_code, cancel_code):
    """Guards against exit codes that differ from the state."""
    site.script = [answer, answer]
    assert main(["status", "id7"]) == status_code
    assert main(["cancel", "id7"]) == cancel_code
    assert [method for method, _, _ in site.calls] == ["GET", "DELETE"]
    assert capsys.readouterr().out.count('"id": "id7"') == 2


def test_status_asks_the_next_host_after_a_lost_answer(site, capsys):
    """Guards against "unreachable" while another host answers."""
    site.script = [httpx.ConnectError("x"), complete()]
    assert main(["status", "id7"]) == ExitCode.DONE
    assert len({host for _, host, _ in site.calls}) == 2
    capsys.readouterr()


@pytest.fixture
def operators(monkeypatch):
    """Hosts that answer operators; returns the responses by path and the calls made."""
    responses: dict[str, list[httpx.Response]] = {}
    calls: list[str] = []

    def respond(request: httpx.Request) -> httpx.Response:
        path = request.url.path
        calls.append(f"{request.method} {path}")
        if not responses.get(path):
            raise httpx.ConnectError("refused")
        return responses[path].pop(0)

    make = functools.partial(Client, transport=httpx.MockTransport(respond))
    monkeypatch.setattr(operator_commands, "Client", make)
    monkeypatch.setattr(operator_commands, "DRAIN_POLL_INTERVAL_S", 0.0)
    monkeypatch.setenv("EELGRASSYARD_HOSTS", "http://10.0.0.1:1")
    monkeypatch.setenv("EELGRASSYARD_KEY", "secret")
    return responses, calls


def test_state_prints_tables_and_names_refusals(operators, capsys):
    """Guards against leaving out a host without an error message."""
    responses, _ = operators
    responses["/v1/state/config"] = [httpx.Response(200, json={"config": {"revision": 3}})]
    assert main(["state", "--compact", "config"]) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out)["state"] == {"config": {"revision": 3}}
    responses["/v1/state"] = [refusal("operators_only", 403)]
    assert main(["state"]) == ExitCode.USAGE
    assert capsys.readouterr().err == "state: http://10.0.0.1:1: status 403: m\n"


def test_drain_waits_until_the_host_is_gone(operators, capsys):
    """Guards against starting a replacement while the drained host still runs."""
    responses, calls = operators
    responses["/v1/drain"] = [httpx.Response(202, json={"draining": True})]
    responses["/healthz"] = [httpx.Response(200), httpx.Response(200)]
    assert main(["drain"]) == ExitCode.DONE
    assert calls == ["POST /v1/drain", *["GET /healthz"] * 3]
    assert "ended" in capsys.readouterr().out


def test_apply_and_compare_with_the_store(monkeypatch, tmp_path, capsys):
    """Guards against commands that read or write another document than the one named."""
    store = FakeStore(value=document(4.0, "anna").decode(), revision=3)
    make = functools.partial(StoreClient, transport=store.transport())
    monkeypatch.setattr(_apply_command, "StoreClient", make)
    monkeypatch.setattr(cli_input, "StoreClient", make)
    monkeypatch.setenv("EELGRASSYARD_STORE", "http://store")
    path = tmp_path / "site.json"
    path.write_bytes(document(5.0, "ben"))
    assert main(["diff", "@store", str(path)]) == ExitCode.DONE
    assert "~ limits.lease_s: 4.0 -> 5.0" in capsys.readouterr().out
    assert main(["apply", "--wait_s=0", "--expect=2", str(path)]) == ExitCode.CONFLICT
    assert "revision 3 by anna" in capsys.readouterr().err
    assert main(["apply", "--wait_s=0", str(path)]) == ExitCode.DONE
    assert "written as revision 4" in capsys.readouterr().out
    assert main(["explain", "@store", "limits.lease_s"]) == ExitCode.DONE
    assert "limits.lease_s = 5.0" in capsys.readouterr().out
    store.faults = ["refused"] * 20
    path.write_bytes(document(6.0, "ben"))
    monkeypatch.setattr(_apply_command.anyio, "sleep", FakeClock().sleep)
    assert main(["apply", "--wait_s=0", str(path)]) == ExitCode.UNREACHABLE
    assert "cannot connect" in capsys.readouterr().err
