"""The HTTP interface: status codes, limits, authentication."""

from __future__ import annotations

import json

import anyio
import pytest

from daemonkit import (
    ScriptedCore,
    body_of,
    client_of,
    connect,
    make_config,
    put_request,
    running_host,
)
from eelgrassyard.daemon._answers import Answer
from eelgrassyard.daemon._gate import Gate
from eelgrassyard.policy import (
    CallAbandoned,
    CancelCalled,
    Outcome,
    OutcomeKind,
    QueryCalled,
    Reason,
    ReplyRefusal,
    ReplyState,
    SubmitCalled,
    Urgency,
)
from eelgrassyard.policy._fair_queue import QueueRefusal

CALLS = (SubmitCalled, QueryCalled, CancelCalled)


def replying(outcome: Outcome | None):
    """A core that gives every submission the same outcome."""

    def script(event):
        if isinstance(event, CALLS):
            return [ReplyState(call=event.call, submission_id=event.submission_id, outcome=outcome)]
        return []

    return ScriptedCore(script=script)


def refusing(reason: Reason, retry_after_s: float | None = None):
    def script(event):
        if isinstance(event, CALLS):
            return [
                ReplyRefusal(
                    call=event.call, reason=reason, message="why", retry_after_s=retry_after_s
                )
            ]
        return []

    return ScriptedCore(script=script)


OUTCOMES = [
    (None, 202, "running", False),
    (Outcome(kind=OutcomeKind.COMPLETE, results=(b'{"a":1}',)), 200, "complete", False),
    (Outcome(kind=OutcomeKind.FAILED, reason=Reason.TASK_FAILED), 502, "failed", False),
    (Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.DEADLINE), 503, "not_run", True),
    (Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.FLOW_LIMIT), 429, "not_run", True),
    (Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.QUOTA), 429, "not_run", True),
    (Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.IMPOSSIBLE), 422, "not_run", False),
    (Outcome(kind=OutcomeKind.UNKNOWN, reason=Reason.OWNER_LOST), 504, "unknown", True),
]


@pytest.mark.parametrize("outcome, status, state, has_retry", OUTCOMES)
def test_each_outcome_has_its_status(outcome, status, state, has_retry):
    """Guards against an outcome that reads as another one; 503 must mean that nothing ran."""

    async def run():
        async with running_host(replying(outcome)) as host, client_of(host) as client:
            for method in ("PUT", "GET", "DELETE"):
                content = body_of() if method == "PUT" else None
                answer = await client.request(method, "/v1/submissions/id-1", content=content)
                assert answer.status_code == status
                assert answer.json()["state"] == state
                assert answer.json()["id"] == "id-1"
                assert ("retry-after" in answer.headers) == has_retry
                if state == "complete":
                    assert answer.json()["results"] == [{"a": 1}]
                elif state != "running":
                    assert set(answer.json()["error"]) == {"code", "message", "step", "peer"}

    anyio.run(run)


REFUSALS = [
    (Reason.ID_INVALID, 400, False),
    (Reason.UNKNOWN_KIND, 400, False),
    (Reason.FOREIGN_ID, 403, False),
    (Reason.KIND_FORBIDDEN, 403, False),
    (Reason.NOT_SUBMITTED, 404, False),
    (Reason.BODY_CONFLICT, 409, False),
    (Reason.FLOW_LIMIT, 429, True),
    (Reason.QUOTA, 429, True),
    (Reason.DRAINING, 503, True),
    (Reason.NOT_READY, 503, True),
    (Reason.OWNER_UNREACHABLE, 504, True),
]


@pytest.mark.parametrize("reason, status, has_retry", REFUSALS)
def test_each_refusal_has_its_status_and_claims_no_outcome(reason, status, has_retry):
    """Guards against a refusal that a client reads as "did not run"."""

    async def run():
        async with running_host(refusing(reason, 2.2)) as host, client_of(host) as client:
            answer = await client.put("/v1/submissions/id-1", content=body_of())
            assert answer.status_code == status
            assert "state" not in answer.json()
            assert answer.json()["error"]["code"] == reason.value
            assert answer.headers.get("retry-after") == ("3" if has_retry else None)

    anyio.run(run)


BAD_BODIES = [
    b"",
    b"[]",
    b"{",
    b'{"kind": "rule"}',
    b'{"kind": "rule", "tasks": []}',
    b'{"kind": "rule", "tasks": [1]}',
    b'{"kind": "rule", "tasks": [{"payload": NaN}]}',
    b'{"kind": "rule", "tasks": [{"payload": 1}], "gang": "yes"}',
    b'{"kind": "rule", "tasks": [{"payload": 1}], "surprise": 1}',
    b'{"kind": "rule", "kind": "bind", "tasks": [{"payload": 1}]}',
    b'{"kind": "rule", "tasks": [{"payload": 1, "payload": 2}]}',
    b'{"kind": "rule", "tasks": [{"payload": 1, "cores": -1}]}',
    b'{"kind": "rule", "tasks": [{"payload": 1, "cores": 1e999}]}',
    b'{"kind": "rule", "tasks": [{"payload": 1}], "deadline_s": 0}',
    b'{"kind": "rule", "tasks": [{"payload": 1}], "urgency": "now"}',
    b'{"kind": "rule", "tasks": [{"payload": 1}]} x',
    b'{"kind": "rule", "tasks": [{"payload": 1}, {"payload": 2}]}',
    b'{"kind": "bind", "tasks": [{"payload": 1}], "idempotent": true}',
    b'{"kind": "nothing", "tasks": [{"payload": 1}]}',
    b'{"kind": "rule", "tasks": [{"payload": ' + b"[" * 100_000 + b"]" * 100_000 + b"}]}",
    b'{"kind": "rule", "tasks": [{"payload": "\xff"}]}',
]


def test_bad_bodies_are_refused_before_the_core_sees_them():
    """Guards against input that reaches the core unchecked, and against a body that ends the
    process."""

    async def run():
        core = replying(None)
        async with running_host(core) as host, client_of(host) as client:
            for body in BAD_BODIES:
                answer = await client.put("/v1/submissions/id-1", content=body)
                assert answer.status_code == 400, body[:80]
                assert answer.json()["error"]["message"]
            too_many = body_of("bind", 621)
            assert (await client.put("/v1/submissions/id-1", content=too_many)).status_code == 400
            assert not core.of_type(SubmitCalled)

    anyio.run(run)


def test_payloads_reach_the_core_as_written():
    """Guards against numbers that are changed by decoding and encoding a payload."""

    async def run():
        core = replying(None)
        payload = b'{"sum": 12345678901234567.89, "x":  [1.10, 1e2, "\\u00e9"]}'
        body = b'{"tasks": [ {"cores": 2, "payload":' + payload + b'} ], "kind": "bind"}'
        async with running_host(core) as host, client_of(host) as client:
            assert (await client.put("/v1/submissions/id-1", content=body)).status_code == 202
        submitted = core.of_type(SubmitCalled)[0].body
        assert submitted.tasks[0].payload == payload
        assert submitted.tasks[0].cores == 2.0

    anyio.run(run)


def test_values_of_the_body_override_those_of_the_kind():
    """Guards against the kind's values replacing what the caller asked for."""

    async def run():
        core = replying(None)
        body = body_of("rule", urgency="urgent", deadline_s=7, idempotent=False)
        async with running_host(core) as host, client_of(host) as client:
            await client.put("/v1/submissions/id-1", content=body)
            await client.put("/v1/submissions/id-2", content=body_of("rule"))
        first, second = (event.body for event in core.of_type(SubmitCalled))
        assert (first.urgency, first.deadline_s, first.idempotent) == (Urgency.URGENT, 7.0, False)
        assert (second.urgency, second.deadline_s, second.idempotent) == (
            Urgency.NORMAL,
            30.0,
            True,
        )

    anyio.run(run)


def test_keys_decide_who_calls():
    """Guards against calls without a key, with a wrong key, or under another caller's name."""

    async def run():
        core = replying(None)
        async with running_host(core) as host, client_of(host, None) as client:
            for value in ("", "Bearer", "Bearer wrong", "Basic key-of-clerk", "Bearer key-of"):
                headers = {"authorization": value} if value else {}
                answer = await client.get("/v1/submissions/id-1", headers=headers)
                assert answer.status_code == 401
                assert answer.headers["www-authenticate"] == "Bearer"
            for caller in ("clerk", "till"):
                headers = {"authorization": f"Bearer key-of-{caller}"}
                for _ in range(2):
                    await client.get("/v1/submissions/id-1", headers=headers)
        assert [event.caller for event in core.of_type(QueryCalled)] == [
            "clerk",
            "clerk",
            "till",
            "till",
        ]

    anyio.run(run)


def test_a_key_that_was_taken_away_stops_working():
    """Guards against remembered keys that outlive the configuration they came from."""

    async def run():
        core = replying(None)
        async with running_host(core) as host, client_of(host) as client:
            assert (await client.get("/v1/submissions/id-1")).status_code == 202
            core.configsync.current = make_config(callers_by_name={})
            assert (await client.get("/v1/submissions/id-1")).status_code == 401

    anyio.run(run)


def test_another_callers_submission_is_closed():
    """Guards against reading or cancelling what another caller submitted."""

    async def run():
        def script(event):
            if not isinstance(event, CALLS):
                return []
            if event.caller == "clerk":
                state = ReplyState(call=event.call, submission_id="id-1", outcome=None)
                return [state]
            return [ReplyRefusal(call=event.call, reason=Reason.FOREIGN_ID, message="not yours")]

        async with (
            running_host(ScriptedCore(script=script)) as host,
            client_of(host, "clerk") as clerk,
            client_of(host, "till") as till,
        ):
            await clerk.put("/v1/submissions/id-1", content=body_of())
            for method in ("GET", "DELETE"):
                answer = await till.request(method, "/v1/submissions/id-1")
                assert answer.status_code == 403
                assert "state" not in answer.json()

    anyio.run(run)


def test_kinds_and_operator_calls_are_restricted():
    """Guards against callers that use kinds or operator calls that they were not given."""

    async def run():
        core = replying(None)
        async with running_host(core) as host, client_of(host, "till") as till:
            answer = await till.put("/v1/submissions/id-1", content=body_of("bind"))
            assert answer.status_code == 403
            assert (await till.get("/v1/state")).status_code == 403
            assert (await till.post("/v1/drain")).status_code == 403
            assert not host.is_draining
            async with client_of(host, "operator") as operator:
                page = (await operator.get("/v1/state")).json()
                assert page["host"]["name"] == "patan-1"
                assert len(page["submissions"]) < 20
                table = (await operator.get("/v1/state/submissions")).json()
                assert len(table["submissions"]) == 100
                assert (await operator.get("/v1/state/nothing")).status_code == 404

    anyio.run(run)


def test_ids_paths_methods_and_queries_are_checked():
    """Guards against unchecked ids, and against a query that is silently ignored."""

    async def run():
        core = replying(None)
        async with running_host(core) as host, client_of(host) as client:
            answer = await client.post("/v1/ids", json={"count": 3, "kind": "rule"})
            assert answer.status_code == 201
            assert answer.json() == {"ids": ["id-0", "id-1", "id-2"], "expires_s": 600.0}
            assert len((await client.post("/v1/ids")).json()["ids"]) == 1
            for content in (b'{"count": 0}', b'{"count": 1001}', b"[", b'{"n": 1}'):
                assert (await client.post("/v1/ids", content=content)).status_code == 400
            for path, status in (
                ("/v1/submissions/" + "x" * 257, 400),
                ("/v1/submissions/a%20b", 400),
                ("/v1/submissions/a/b", 400),
                ("/v1/submissions/id-1?wait=61", 400),
                ("/v1/submissions/id-1?wait=nan", 400),
                ("/v1/submissions/id-1?wiat=1", 400),
                ("/v1/nothing", 404),
            ):
                assert (await client.get(path)).status_code == status, path
            for method, path in (("GET", "/v1/ids"), ("POST", "/v1/submissions/id-1")):
                answer = await client.request(method, path)
                assert answer.status_code == 405
                assert answer.headers["allow"]
            assert (await client.get("/v1/submissions/id-1?wait=0")).status_code == 202
        assert [event.wait_s for event in core.of_type(QueryCalled)] == [0.0]

    anyio.run(run)


def test_sizes_are_limited():
    """Guards against bodies and headers that fill the memory of the host."""

    async def run():
        core = replying(None)
        async with running_host(core) as host, client_of(host) as client:
            large = body_of("bind") + b" " * 2_000_000
            assert (await client.put("/v1/submissions/id-1", content=large)).status_code == 413

            async def chunks():
                for _ in range(50):
                    yield b" " * 50_000

            assert (await client.put("/v1/submissions/id-1", content=chunks())).status_code == 413
            headers = {"x-padding": "x" * 20_000}
            answer = await client.get("/v1/submissions/id-1", headers=headers)
            assert answer.status_code == 431
            assert (await client.get("/v1/submissions/id-1")).status_code == 202

    anyio.run(run)


def test_host_without_configuration_is_live_but_not_ready():
    """Guards against a starting host that answers 401 to good keys."""

    async def run():
        core = ScriptedCore(config=None)
        async with running_host(core) as host, client_of(host) as client:
            assert (await client.get("/healthz")).status_code == 200
            assert (await client.get("/readyz")).status_code == 503
            answer = await client.post("/v1/ids")
            assert answer.status_code == 503
            assert answer.headers["retry-after"] == "1"

    anyio.run(run)


def test_a_caller_that_hangs_up_is_reported_to_the_core():
    """Guards against replies kept for callers that are gone."""

    async def run():
        core = ScriptedCore()
        async with running_host(core) as host:
            async with client_of(host) as client, anyio.create_task_group() as group:
                group.start_soon(client.get, "/v1/submissions/id-1")
                await core.wait_for(QueryCalled)
                group.cancel_scope.cancel()
            await core.wait_for(CallAbandoned)
            assert len(host.calls) == 0

    anyio.run(run)


FULL = QueueRefusal(reason=Reason.FLOW_LIMIT, message="full", retry_after_s=4.0)


def test_early_refusal_comes_before_the_body():
    """Guards against reading the whole body of a flow that is refused anyway."""

    async def run():
        core = replying(None)
        core.admission.refusal = FULL
        async with running_host(core) as host, await connect(host) as stream:
            request = put_request(b'{"kind": "rule", "tasks": [', length=1_000_000)
            await stream.send(request)
            assert (await stream.receive()).startswith(b"HTTP/1.1 429")
            assert not core.of_type(SubmitCalled)

    anyio.run(run)


def test_refusals_are_the_same_with_and_without_the_http_library():
    """Guards against a refused client that gets two sorts of answer, or loses its connection."""

    async def run():
        core = replying(None)
        core.admission.refusal = FULL
        async with running_host(core) as host, await connect(host) as stream:
            answers = []
            for _ in range(3):
                await stream.send(put_request(body_of()))
                head, _, body = (await stream.receive()).partition(b"\r\n\r\n")
                lines = {line for line in head.split(b"\r\n")[1:] if not line.startswith(b"date")}
                answers.append((head.split()[1], lines, body))
            assert answers[0] == answers[1] == answers[2]
            assert answers[0][0] == b"429"
            assert b"retry-after: 4" in answers[0][1]
            assert host.metrics.total_by_name["http.refused_early"] == 3
            assert host.metrics.total_by_name["http.status.429"] == 3
            core.admission.refusal = None
            await stream.send(put_request(body_of()))
            assert (await stream.receive()).startswith(b"HTTP/1.1 202")
            core.admission.refusal = FULL
            core.submissions.known.add("id-1")
            await stream.send(put_request(body_of()))
            assert (await stream.receive()).startswith(b"HTTP/1.1 202")

    anyio.run(run)


def test_early_refusals_respect_key_and_deadline():
    """Guards against a refusal for strangers, and for a deadline that the body makes longer."""

    async def run():
        core = replying(None)
        core.admission.wait_s = 60.0
        async with running_host(core) as host, await connect(host) as stream:

            async def status_of(body: bytes, key: bytes = b"key-of-clerk") -> bytes:
                await stream.send(put_request(body).replace(b"key-of-clerk", key))
                return (await stream.receive()).split()[1]

            for _ in range(2):
                assert await status_of(body_of()) == b"503"
                assert await status_of(body_of(deadline_s=70)) == b"202"
                assert await status_of(body_of(), b"wrong-key-xx") == b"401"
                assert await status_of(b'{"tasks": [], "kind": "rule"}') == b"503"
                assert await status_of(b'{"tasks": [], "kind": "none"}') == b"400"
                assert await status_of(b'{"tasks": [], "kind": 1}') == b"400"
                assert await status_of(b'["kind"]') == b"400"

    anyio.run(run)


ODD_HEADS = [
    b"PUT /v1/submissions/id-1 HTTP/1.0\r\nhost: x\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\n",
    b"PUT /v1/submissions/a%20b HTTP/1.1\r\nhost: x\r\n",
    b"PUT /v1/submissions/id-1?wait=x HTTP/1.1\r\nhost: x\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\nhost: y\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\nfolded: a\r\n b\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\nno colon\r\n",
    b"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost : x\r\n",
    b"POST /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\n",
]


def test_only_plain_whole_requests_are_judged_without_the_http_library():
    """Guards against a second reading of HTTP that differs from the library's."""
    clerk = make_config().callers_by_name["clerk"]
    refused = Answer(status=429, body=b"{}")
    gate = Gate(
        max_head_bytes=16_384, caller_of=lambda value: clerk, refuse=lambda *arguments: refused
    )
    plain = put_request(body_of())
    assert gate.judge(plain).startswith(b"HTTP/1.1 429 Too Many Requests\r\n")
    for cut in range(len(plain)):
        assert gate.judge(plain[:cut]) is None
    assert gate.judge(plain + b"P") is None
    body = body_of()
    for head in ODD_HEADS:
        end = b"authorization: Bearer key-of-clerk\r\ncontent-length: %d\r\n\r\n" % len(body)
        assert gate.judge(head + end + body) is None, head


def test_large_results_arrive_whole():
    """Guards against answers cut by buffering of the parts of an answer."""

    async def run():
        results = tuple(json.dumps({"n": n, "x": "y" * 3000}).encode() for n in range(620))
        core = replying(Outcome(kind=OutcomeKind.COMPLETE, results=results))
        async with running_host(core) as host, client_of(host) as client:
            answer = await client.get("/v1/submissions/id-1")
            assert [item["n"] for item in answer.json()["results"]] == list(range(620))

    anyio.run(run)


def test_fault_in_a_call_is_logged_and_answered(caplog):
    """Guards against a fault that shows as an empty 500 and nowhere else."""

    async def run():
        core = replying(None)
        core.admission.check_flow = lambda *arguments: 1 / 0
        async with running_host(core) as host, client_of(host) as client:
            answer = await client.put("/v1/submissions/id-1", content=body_of())
            assert answer.status_code == 500
            assert answer.json()["error"]["code"] == "internal_error"
            assert host.metrics.total_by_name["http.internal_error"] == 1
            assert (await client.get("/healthz")).status_code == 200

    anyio.run(run)
    assert "ZeroDivisionError" in caplog.text
