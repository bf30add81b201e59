"""``openapi.json`` matches the server: routes, methods, status codes, headers, body fields."""

from __future__ import annotations

import json
import pathlib

import anyio
import pytest

from daemonkit import ScriptedCore, body_of, client_of, connect, put_request, running_host
from eelgrassyard import daemon
from eelgrassyard.daemon import _pending_calls
from eelgrassyard.daemon._request_bodies import IdsModel, SubmissionModel, TaskModel
from eelgrassyard.policy import (
    CancelCalled,
    IdsCalled,
    Outcome,
    OutcomeKind,
    QueryCalled,
    ReadinessChanged,
    Reason,
    ReplyRefusal,
    ReplyState,
    SubmitCalled,
)

PATH = pathlib.Path(daemon.__file__).with_name("openapi.json")
DOCUMENT = json.loads(PATH.read_text())
SCHEMAS = DOCUMENT["components"]["schemas"]
SUBMISSION = "/v1/submissions/{id}"
URL_BY_TEMPLATE = {SUBMISSION: "/v1/submissions/id-1", "/v1/state/{table}": "/v1/state/submissions"}
TYPES = {
    "object": dict,
    "array": list,
    "string": str,
    "boolean": bool,
    "number": (int, float),
    "integer": int,
}


def schema_violations(schema, value, where: str = "body") -> list[str]:
    """Return violations of the schema; supports only the keywords that the document uses."""
    if "$ref" in schema:
        return schema_violations(SCHEMAS[schema["$ref"].rpartition("/")[2]], value, where)
    if "oneOf" in schema:
        fitting = [item for item in schema["oneOf"] if not schema_violations(item, value, where)]
        return [] if len(fitting) == 1 else [f"{where}: fits {len(fitting)} of oneOf"]
    found = []
    if "type" in schema and not isinstance(value, TYPES[schema["type"]]):
        return [f"{where}: {value!r} is not {schema['type']}"]
    if "enum" in schema and value not in schema["enum"]:
        found.append(f"{where}: {value!r} is not in {schema['enum']}")
    if isinstance(value, dict):
        properties = schema.get("properties", {})
        found += [
            f"{where}: {key} is missing" for key in schema.get("required", ()) if key not in value
        ]
        for key, item in value.items():
            if key in properties:
                found += schema_violations(properties[key], item, f"{where}.{key}")
            elif schema.get("additionalProperties") is False:
                found.append(f"{where}: {key} is not documented")
    if isinstance(value, list) and "items" in schema:
        for item in value:
            found += schema_violations(schema["items"], item, f"{where}[]")
    return found


def documented_responses() -> set[tuple[str, str, int]]:
    return {
        (method.upper(), template, int(status))
        for template, operations in DOCUMENT["paths"].items()
        for method, operation in operations.items()
        for status in operation["responses"]
    }


class Recorder:
    """Checks answers against the document and records which operations and statuses were seen."""

    def __init__(self) -> None:
        self.seen: set[tuple[str, str, int]] = set()

    def record(self, method: str, template: str, status: int, headers, content: bytes) -> None:
        operation = DOCUMENT["paths"][template][method.lower()]
        assert str(status) in operation["responses"], (method, template, status, content)
        response = operation["responses"][str(status)]
        schema = response["content"]["application/json"]["schema"]
        assert not schema_violations(schema, json.loads(content)), (
            method,
            template,
            status,
            content,
        )
        wants_retry = "Retry-After" in response.get("headers", {})
        assert ("retry-after" in headers) == wants_retry, (method, template, status)
        self.seen.add((method, template, status))

    async def call(self, client, method: str, template: str, **options) -> int:
        url = options.pop("url", URL_BY_TEMPLATE.get(template, template))
        answer = await client.request(method, url, **options)
        self.record(method, template, answer.status_code, answer.headers, answer.content)
        return answer.status_code


OUTCOMES = [
    None,
    Outcome(kind=OutcomeKind.COMPLETE, results=(b"1",)),
    Outcome(kind=OutcomeKind.FAILED, reason=Reason.TASK_FAILED),
    Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.DEADLINE),
    Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.QUOTA),
    Outcome(kind=OutcomeKind.NOT_RUN, reason=Reason.IMPOSSIBLE),
    Outcome(kind=OutcomeKind.UNKNOWN, reason=Reason.OWNER_LOST),
]
REFUSALS = [reason for reason in Reason if reason is not Reason.NONE]


class ReplyingCore(ScriptedCore):
    """Replies with ``next_reply``: an outcome, None (running), a refusal reason or "silence"."""

    next_reply: object = None

    def tick(self, now, inbox):
        kept = [
            event for event in inbox if not isinstance(event, IdsCalled) or self.next_reply is None
        ]
        actions = super().tick(now, kept)
        for event in inbox:
            if isinstance(event, SubmitCalled | QueryCalled | CancelCalled | IdsCalled):
                reply = self.next_reply
                if isinstance(reply, Reason):
                    actions.append(ReplyRefusal(call=event.call, reason=reply, message="why"))
                elif reply != "silence" and not isinstance(event, IdsCalled):
                    actions.append(ReplyState(call=event.call, submission_id="id-1", outcome=reply))
        return actions


async def call_submissions(recorder: Recorder, core: ReplyingCore, client) -> None:
    for reply in (*OUTCOMES, *REFUSALS):
        core.next_reply = reply
        for method in ("PUT", "GET", "DELETE"):
            if reply is Reason.BODY_CONFLICT and method != "PUT":
                continue
            if reply is Reason.NOT_SUBMITTED and method == "PUT":
                continue
            content = body_of() if method == "PUT" else None
            await recorder.call(client, method, SUBMISSION, content=content)
    for reason in (Reason.NOT_READY, Reason.DRAINING):
        core.next_reply = reason
        await recorder.call(client, "POST", "/v1/ids")
    core.next_reply = "silence"
    await recorder.call(client, "POST", "/v1/ids")
    core.next_reply = None
    assert await recorder.call(client, "POST", "/v1/ids") == 201


async def call_with_errors(recorder: Recorder, core: ReplyingCore, client, host) -> None:
    large = b" " * 3_000_000
    for method in ("PUT", "GET", "DELETE"):
        await recorder.call(client, method, SUBMISSION, url="/v1/submissions/a%20b")
        await recorder.call(client, method, SUBMISSION, content=large)
    await recorder.call(client, "POST", "/v1/ids", content=b"[")
    await recorder.call(client, "POST", "/v1/ids", content=large)
    for template, path in (("/v1/ids", b"POST /v1/ids"), (SUBMISSION, b"PUT /v1/submissions/id-1")):
        request = put_request(b"", length=10).replace(b"PUT /v1/submissions/id-1", path)
        async with await connect(host) as stream:
            await stream.send(request)
            head, _, body = (await stream.receive()).partition(b"\r\n\r\n")
            recorder.record(path.split()[0].decode(), template, int(head.split()[1]), (), body)


async def call_all_operations(recorder: Recorder, client, **options) -> None:
    for template, operations in DOCUMENT["paths"].items():
        for method in operations:
            if options and template in ("/healthz", "/readyz") and "headers" not in options:
                continue
            await recorder.call(client, method.upper(), template, **options)


def test_document_and_server_agree(monkeypatch):
    """Guards against a route, method, status code, header or field that only one of them has."""
    monkeypatch.setattr(_pending_calls, "REPLY_GRACE_S", 0.05)
    recorder = Recorder()

    async def run():
        def script(event):
            ready = ReadinessChanged(ready=True, reason="configured")
            return [ready] if isinstance(event, QueryCalled) else []

        core = ReplyingCore(script=script)
        limits = {"request_s": 0.1, "connections": 4, "connection_share": 0.01}
        async with running_host(core, limits=limits) as host, client_of(host) as client:
            assert await recorder.call(client, "GET", "/readyz") == 503
            await call_submissions(recorder, core, client)
            assert await recorder.call(client, "GET", "/readyz") == 200
            await recorder.call(client, "GET", "/healthz")
            await call_with_errors(recorder, core, client, host)
            padding = {"x-padding": "x" * 20_000}
            await call_all_operations(recorder, client, headers=padding)
            async with client_of(host, None) as stranger:
                await call_all_operations(recorder, stranger)
            async with client_of(host, "operator") as operator:
                await recorder.call(operator, "GET", "/v1/state")
                await recorder.call(operator, "GET", "/v1/state/{table}")
                await recorder.call(operator, "GET", "/v1/state/{table}", url="/v1/state/none")
                for template in ("/v1/state", "/v1/state/{table}"):
                    await recorder.call(client, "GET", template)
                await recorder.call(client, "POST", "/v1/drain")
                core.next_reply = "silence"
                async with anyio.create_task_group() as group:
                    # These limits allow one open call per caller.
                    group.start_soon(operator.get, "/v1/submissions/id-1?wait=60")
                    await core.wait_for(QueryCalled, len(core.of_type(QueryCalled)) + 1)
                    async with client_of(host, "operator") as second:
                        await call_all_operations(recorder, second)
                    group.cancel_scope.cancel()
        unready = ScriptedCore(config=None)
        async with running_host(unready) as host, client_of(host) as client:
            await call_all_operations(recorder, client)
        async with running_host(ScriptedCore()) as host, client_of(host, "operator") as client:
            assert await recorder.call(client, "POST", "/v1/drain") == 202

    anyio.run(run)
    assert recorder.seen == documented_responses()


@pytest.mark.parametrize(
    "name, model", [("Submission", SubmissionModel), ("Task", TaskModel), ("IdsRequest", IdsModel)]
)
def test_request_fields_and_bounds_are_those_of_the_models(name, model):
    """Guards against a request field or bound that the document and the server see differently."""
    schema = SCHEMAS[name]
    assert set(schema["properties"]) == set(model.model_fields)
    required = {key for key, field in model.model_fields.items() if field.is_required()}
    assert set(schema["required"]) == required
    own = model.model_json_schema()["properties"]
    for key, documented_field in schema["properties"].items():
        variants = [*own[key].get("anyOf", ()), own[key]]
        for bound in (
            "minimum",
            "exclusiveMinimum",
            "maximum",
            "minLength",
            "maxLength",
            "minItems",
        ):
            bounds = [item[bound] for item in variants if bound in item]
            assert documented_field.get(bound) == (bounds[0] if bounds else None), (key, bound)
        if documented_field.get("default") is not None:
            assert documented_field["default"] == model.model_fields[key].default
