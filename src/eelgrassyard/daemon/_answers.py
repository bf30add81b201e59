"""HTTP answers to callers: status codes, headers and bodies of outcomes, refusals and errors."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field

from ..policy import Outcome, OutcomeKind, Reason

DEFAULT_RETRY_S = 1.0
"""``Retry-After`` where the core names no finite time."""

STATUS_BY_OUTCOME = {
    OutcomeKind.COMPLETE: 200,
    OutcomeKind.FAILED: 502,
    OutcomeKind.NOT_RUN: 503,
    OutcomeKind.UNKNOWN: 504,
}

STATUS_BY_NOT_RUN_REASON = {
    Reason.FLOW_LIMIT: 429,
    Reason.QUOTA: 429,
    Reason.IMPOSSIBLE: 422,
}

STATUS_BY_REFUSAL = {
    Reason.ID_INVALID: 400,
    Reason.UNKNOWN_KIND: 400,
    Reason.FOREIGN_ID: 403,
    Reason.KIND_FORBIDDEN: 403,
    Reason.NOT_SUBMITTED: 404,
    Reason.BODY_CONFLICT: 409,
    Reason.IMPOSSIBLE: 422,
    Reason.FLOW_LIMIT: 429,
    Reason.QUOTA: 429,
    Reason.ID_EXPIRED: 504,
    Reason.OWNER_LOST: 504,
    Reason.OWNER_UNREACHABLE: 504,
    Reason.WITNESS_LOST: 504,
}
"""Refusals with any other reason are answered with 503."""

RETRIED_STATUSES = frozenset({429, 503, 504})
"""Statuses that carry a ``Retry-After`` header."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """An HTTP answer whose body is JSON text."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorInfo:
    """The fields of an error body.

    :param step: the step that failed, such as ``authenticate``.
    :param peer: the host or upstream at which it failed, if any.
    """

    code: str
    message: str
    step: str = "http"
    peer: str = ""

    def to_json(self) -> dict[str, str]:
        """Return the error as a JSON object."""
        return {
            "code": self.code,
            "message": self.message,
            "step": self.step,
            "peer": self.peer,
        }


@dataclass(slots=True, kw_only=True)
class HttpError(Exception):
    """Raised to end a call with an error answer.

    :param close: close the connection, because the rest of the request is not read.
    """

    status: int
    error: ErrorInfo
    retry_after_s: float | None = None
    close: bool = False
    headers: tuple[tuple[bytes, bytes], ...] = field(default=())

    def to_answer(self) -> HttpAnswer:
        """Build the answer for the caller."""
        headers = list(self.headers)
        if self.retry_after_s is not None:
            headers.append(_retry_after(self.retry_after_s))
        if self.close:
            headers.append((b"connection", b"close"))
        return json_answer(self.status, {"error": self.error.to_json()}, tuple(headers))


def json_answer(
    status: int, content: object, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> HttpAnswer:
    """Build an answer from a JSON value."""
    body = json.dumps(content, ensure_ascii=False, separators=(",", ":")).encode()
    return HttpAnswer(status=status, body=body, headers=headers)


def running_answer(submission_id: str) -> HttpAnswer:
    """Build the answer for a submission without an outcome."""
    return json_answer(202, {"id": submission_id, "state": "running"})


def outcome_answer(submission_id: str, outcome: Outcome) -> HttpAnswer:
    """Build the answer for an outcome; results are passed on as the upstreams wrote them."""
    status = STATUS_BY_OUTCOME[outcome.kind]
    if outcome.kind is OutcomeKind.NOT_RUN:
        status = STATUS_BY_NOT_RUN_REASON.get(outcome.reason, status)
    if outcome.kind is OutcomeKind.COMPLETE:
        head = json.dumps({"id": submission_id, "state": outcome.kind.value})
        results = b",".join(outcome.results)
        return HttpAnswer(
            status=status, body=head[:-1].encode() + b',"results":[' + results + b"]}"
        )
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if status in RETRIED_STATUSES:
        headers = (_retry_after(outcome.retry_after_s),)
    error = ErrorInfo(
        code=outcome.reason.value or outcome.kind.value, message=outcome.message, step="submission"
    )
    content = {"id": submission_id, "state": outcome.kind.value, "error": error.to_json()}
    return json_answer(status, content, headers)


def refusal_answer(reason: Reason, message: str, retry_after_s: float | None) -> HttpAnswer:
    """Build the answer for a call that the core refused; it claims no outcome of the submission."""
    status = STATUS_BY_REFUSAL.get(reason, 503)
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if status in RETRIED_STATUSES:
        headers = (_retry_after(retry_after_s),)
    error = ErrorInfo(code=reason.value or "refused", message=message, step="core")
    return json_answer(status, {"error": error.to_json()}, headers)


def _retry_after(seconds: float | None) -> tuple[bytes, bytes]:
    if seconds is None or not math.isfinite(seconds):
        seconds = DEFAULT_RETRY_S
    # The header holds whole seconds; rounding down would make clients retry too early.
    return b"retry-after", str(max(1, math.ceil(seconds))).encode()
