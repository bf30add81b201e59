"""The HTTP interface towards callers and operators, as an ASGI application."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import anyio

from ..policy import (
    CallerEntry,
    CancelCalled,
    Event,
    IdsCalled,
    QueryCalled,
    ReplyIds,
    ReplyRefusal,
    ReplyState,
    SiteConfig,
    SubmissionBody,
    SubmitCalled,
)
from ._answers import (
    ErrorInfo,
    HttpAnswer,
    HttpError,
    json_answer,
    outcome_answer,
    refusal_answer,
    running_answer,
)
from ._auth import Authenticator
from ._hints import Hints, read_hints
from ._logs import logger
from ._metrics import Metrics
from ._pending_calls import PendingHttpCalls, Reply
from ._request_bodies import parse_ids, parse_submission, to_submission
from ._requests import (
    CONNECTION_CLOSE,
    CallRequest,
    DisconnectedError,
    Receive,
    Scope,
    Send,
    http_error,
    method_not_allowed,
    send_answer,
    with_connection_close,
)
from ._settings import LimitSettings

MAX_ID_BYTES = 256
MAX_IDS_BODY_BYTES = 16_384
"""Longest body of a call to ``/v1/ids``."""

RETRY_AFTER_S = 1.0
"""``Retry-After`` of a host without a configuration and of callers with too many open calls."""

FAST_REFUSAL_PERIOD_S = 1.0
"""Time after an early refusal for which :class:`FastRefusals` checks requests before they are
parsed."""

SUBMISSION_PREFIX = "/v1/submissions/"
STATE_PREFIX = "/v1/state/"

_ID = re.compile(r"[A-Za-z0-9._~:@=+-]{1,256}")


class Gateway(Protocol):
    """The part of the daemon that the HTTP interface depends on."""

    @property
    def config(self) -> SiteConfig | None:
        """The current configuration; None until the host has one."""

    @property
    def readiness(self) -> tuple[bool, str]:
        """Whether the host is ready, and the reason if it is not."""

    @property
    def is_draining(self) -> bool:
        """Whether the host is draining for a planned stop."""

    def dump(self, table: str | None = None) -> dict[str, object]:
        """Return the state of the host, or one table of it.

        :raises KeyError: if there is no such table.
        """

    def drain(self) -> None:
        """Start draining for a planned stop."""

    def refuse_early(self, caller: str, submission_id: str, hints: Hints) -> ReplyRefusal | None:
        """Return the refusal if the core would refuse the submission because of its flow."""


class HttpInterface:
    """Routes calls, authenticates callers and turns the core's replies into HTTP answers.

    :param gateway: the rest of the daemon.
    :param calls: the calls that wait for a reply from the core.
    :ivar refusing_until_s: end of the period of fast refusals, on :func:`anyio.current_time`.
    """

    def __init__(
        self, *, gateway: Gateway, calls: PendingHttpCalls, limits: LimitSettings, metrics: Metrics
    ) -> None:
        self._gateway = gateway
        self._calls = calls
        self._limits = limits
        self._metrics = metrics
        self._authenticator = Authenticator()
        self.refusing_until_s = 0.0
        self._open_calls_by_caller: Counter[str] = Counter()
        self._max_open_calls_per_caller = max(1, int(limits.connections * limits.connection_share))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            if scope["type"] == "websocket":
                await send({"type": "websocket.close"})
            return
        request = CallRequest(
            method=scope["method"],
            path=scope["path"],
            headers=dict(scope["headers"]),
            query=scope["query_string"],
            receive=receive,
        )
        try:
            self._check_headers(scope["headers"])
            answer = await self._answer(request)
        except HttpError as error:
            answer = error.to_answer()
        except DisconnectedError:
            self._metrics.count("http.disconnected")
            return
        except Exception:
            # Otherwise the HTTP library would answer 500 without logging the cause.
            self._metrics.count("http.internal_error")
            logger.exception("unhandled exception in a call", extra={"step": "http", "peer": ""})
            answer = http_error(
                500, "internal_error", "the host failed; repeat the same id later", close=True
            ).to_answer()
        is_whole = CONNECTION_CLOSE in answer.headers or await request.discard_body()
        if self._gateway.is_draining or not is_whole:
            answer = with_connection_close(answer)
        self._metrics.count(f"http.status.{answer.status}")
        await send_answer(send, answer)

    def _check_headers(self, headers: list[tuple[bytes, bytes]]) -> None:
        if sum(len(name) + len(value) for name, value in headers) > self._limits.header_bytes:
            raise http_error(
                431, "headers_too_large", f"at most {self._limits.header_bytes} bytes", close=True
            )

    async def _answer(self, request: CallRequest) -> HttpAnswer:
        match request.path:
            case "/healthz":
                request.require_method("GET")
                return json_answer(200, {"live": True})
            case "/readyz":
                request.require_method("GET")
                return self._answer_readiness()
        caller = self._authenticate(request)
        if self._open_calls_by_caller[caller.name] >= self._max_open_calls_per_caller:
            raise http_error(
                429,
                "too_many_calls",
                f"at most {self._max_open_calls_per_caller} open calls of one caller at a host",
                retry_after_s=RETRY_AFTER_S,
            )
        self._open_calls_by_caller[caller.name] += 1
        try:
            return await self._answer_caller(request, caller)
        finally:
            self._open_calls_by_caller[caller.name] -= 1
            if not self._open_calls_by_caller[caller.name]:
                del self._open_calls_by_caller[caller.name]

    def _answer_readiness(self) -> HttpAnswer:
        ready, reason = self._gateway.readiness
        return json_answer(200 if ready else 503, {"ready": ready, "reason": reason})

    def _require_config(self) -> SiteConfig:
        config = self._gateway.config
        if config is None:
            raise http_error(
                503,
                "not_ready",
                "the host has no configuration yet",
                retry_after_s=RETRY_AFTER_S,
            )
        return config

    def _authenticate(self, request: CallRequest) -> CallerEntry:
        self._require_config()
        caller = self.caller_of(request.headers.get(b"authorization", b""))
        if caller is None:
            raise http_error(
                401,
                "unauthorized",
                "the header 'Authorization: Bearer <key>' with a known key is needed",
                step="authenticate",
                headers=((b"www-authenticate", b"Bearer"),),
            )
        return caller

    async def _answer_caller(self, request: CallRequest, caller: CallerEntry) -> HttpAnswer:
        path = request.path
        if path.startswith(SUBMISSION_PREFIX):
            return await self._answer_submission(request, caller, path[len(SUBMISSION_PREFIX) :])
        if path == "/v1/ids":
            request.require_method("POST")
            return await self._issue_ids(request, caller)
        if path == "/v1/state" or path.startswith(STATE_PREFIX):
            request.require_method("GET")
            _require_operator(caller)
            return self._answer_state(path[len(STATE_PREFIX) :] or None)
        if path == "/v1/drain":
            request.require_method("POST")
            _require_operator(caller)
            self._gateway.drain()
            return json_answer(202, {"draining": True})
        raise http_error(404, "not_found", f"there is no path {path[:MAX_ID_BYTES]!r}")

    def _answer_state(self, table: str | None) -> HttpAnswer:
        try:
            return json_answer(200, self._gateway.dump(table))
        except KeyError:
            raise http_error(404, "no_such_table", f"there is no table {table!r}") from None

    async def _issue_ids(self, request: CallRequest, caller: CallerEntry) -> HttpAnswer:
        content = await request.read_body(
            max_bytes=MAX_IDS_BODY_BYTES, time_s=self._limits.request_s
        )
        parsed = parse_ids(content)
        if parsed.is_err():
            raise http_error(400, "bad_body", parsed.unwrap_err(), step="parse")
        model = parsed.unwrap()
        reply = await self._call_core(
            request,
            0.0,
            lambda call: IdsCalled(
                call=call, caller=caller.name, count=model.count, kind=model.kind
            ),
        )
        if not isinstance(reply, ReplyIds):
            return _reply_answer(reply, "")
        lifetime_s = self._require_config().limits.id_lifetime_s
        return json_answer(201, {"ids": list(reply.ids), "expires_s": lifetime_s})

    async def _answer_submission(
        self, request: CallRequest, caller: CallerEntry, submission_id: str
    ) -> HttpAnswer:
        if not _ID.fullmatch(submission_id):
            raise http_error(
                400, "id_invalid", f"ids have 1 to {MAX_ID_BYTES} letters, digits and -._~:@=+"
            )
        wait_s = request.wait_s()
        name = caller.name
        match request.method:
            case "PUT":
                body = await self._read_submission(request, caller, submission_id)
                reply = await self._call_core(
                    request,
                    wait_s,
                    lambda call: SubmitCalled(
                        call=call,
                        caller=name,
                        submission_id=submission_id,
                        body=body,
                        wait_s=wait_s,
                    ),
                )
            case "GET":
                reply = await self._call_core(
                    request,
                    wait_s,
                    lambda call: QueryCalled(
                        call=call, caller=name, submission_id=submission_id, wait_s=wait_s
                    ),
                )
            case "DELETE":
                reply = await self._call_core(
                    request,
                    wait_s,
                    lambda call: CancelCalled(call=call, caller=name, submission_id=submission_id),
                )
            case _:
                raise method_not_allowed("DELETE, GET, PUT")
        return _reply_answer(reply, submission_id)

    async def _read_submission(
        self, request: CallRequest, caller: CallerEntry, submission_id: str
    ) -> SubmissionBody:
        config = self._require_config()

        def check_flow(start: bytes) -> None:
            # If the body starts with the kind, the call is refused before the rest is read.
            refusal = self._early_refusal(
                caller, submission_id, start, is_whole=len(start) == request.content_length()
            )
            if refusal is not None:
                raise refusal

        content = await request.read_body(
            max_bytes=config.limits.body_bytes,
            time_s=self._limits.request_s,
            check_start=check_flow,
        )
        parsed = parse_submission(content)
        if parsed.is_err():
            raise http_error(400, "bad_body", parsed.unwrap_err(), step="parse")
        model = parsed.unwrap()
        kind = config.kinds_by_name.get(model.kind)
        if kind is None:
            raise http_error(400, "unknown_kind", f"there is no kind {model.kind!r}")
        if caller.kinds and kind.name not in caller.kinds:
            raise http_error(403, "kind_forbidden", f"the caller may not submit kind {kind.name!r}")
        body = to_submission(model, kind, max_tasks=config.limits.tasks_per_job)
        if body.is_err():
            raise http_error(400, "bad_body", body.unwrap_err(), step="parse")
        return body.unwrap()

    def refuse_submission(
        self, caller: CallerEntry, submission_id: str, content: bytes
    ) -> HttpAnswer | None:
        """Return the answer to a submission whose flow is refused.

        None if the flow is not refused, or while the host is draining.

        :param content: the complete body.
        """
        if self._gateway.is_draining:
            return None
        refusal = self._early_refusal(caller, submission_id, content, is_whole=True)
        if refusal is None:
            return None
        self._metrics.count(f"http.status.{refusal.status}")
        return refusal.to_answer()

    def caller_of(self, authorization: bytes) -> CallerEntry | None:
        """Return the caller for an ``Authorization`` header.

        None if there is no configuration or the key is not known.
        """
        config = self._gateway.config
        if config is None:
            return None
        return self._authenticator.caller_of(config, authorization)

    def _early_refusal(
        self, caller: CallerEntry, submission_id: str, start: bytes, *, is_whole: bool
    ) -> HttpError | None:
        hints = read_hints(self._require_config(), start, is_whole=is_whole)
        if hints is None:
            return None
        refusal = self._gateway.refuse_early(caller.name, submission_id, hints)
        if refusal is None:
            return None
        self._metrics.count("http.refused_early")
        self.refusing_until_s = anyio.current_time() + FAST_REFUSAL_PERIOD_S
        answer = refusal_answer(refusal.reason, refusal.message, refusal.retry_after_s)
        return HttpError(
            status=answer.status,
            error=ErrorInfo(code=refusal.reason.value, message=refusal.message, step="admission"),
            headers=answer.headers,
        )

    async def _call_core(
        self, request: CallRequest, wait_s: float, make_event: Callable[[int], Event]
    ) -> Reply | None:
        """Pass a call to the core and wait until it replies or the client disconnects.

        :returns: the reply, or None if it is overdue.
        :raises HttpError: 413, if the call has a body that cannot be discarded.
        :raises DisconnectedError: if the client disconnected before the reply.
        """
        if not await request.discard_body():
            raise http_error(413, "body_too_large", "this call takes no body", close=True)
        call = self._calls.open(make_event)
        reply: Reply | None = None
        disconnected = False

        async def watch_connection() -> None:
            nonlocal disconnected
            await request.wait_for_disconnect()
            disconnected = True
            group.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch_connection)
                reply = await self._calls.wait(call, wait_s)
                group.cancel_scope.cancel()
        finally:
            self._calls.abandon(call)
        if disconnected and reply is None:
            raise DisconnectedError
        return reply


def _require_operator(caller: CallerEntry) -> None:
    if not caller.operator:
        raise http_error(403, "operators_only", "this call is for operators", step="authenticate")


def _reply_answer(reply: Reply | None, submission_id: str) -> HttpAnswer:
    match reply:
        case ReplyState(outcome=None):
            return running_answer(submission_id)
        case ReplyState(outcome=outcome) if outcome is not None:
            return outcome_answer(submission_id, outcome)
        case ReplyRefusal():
            return refusal_answer(reply.reason, reply.message, reply.retry_after_s)
        case _:
            error = http_error(
                504, "no_reply", "no reply in time; repeat the same id later", retry_after_s=1.0
            )
            return error.to_answer()
