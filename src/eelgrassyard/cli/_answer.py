"""Answers of a host to a submit, query or cancel call, and how they are interpreted."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httpx

RETRY_AFTER_HEADER = "Retry-After"


class State(enum.StrEnum):
    """State of a submission as known to the client after a call."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"
    NOT_SUBMITTED = "not_submitted"
    REFUSED = "refused"
    """The call is invalid; retrying it would be refused again."""
    NOT_TAKEN = "not_taken"
    """The host did not accept the submission; an earlier call may have been accepted."""
    LOST = "lost"
    """No answer, or one without the state of the submission; the call may be retried."""
    UNREACHED = "unreached"
    """The call provably reached no host."""


FINAL_STATES = frozenset({State.COMPLETE, State.FAILED, State.NOT_RUN})
"""States that no later call changes."""

_OUTCOMES = {state.value: state for state in (*FINAL_STATES, State.UNKNOWN, State.NOT_SUBMITTED)}
ID_EXPIRED = "id_expired"
TERMINAL_REFUSALS = frozenset(
    {"flow_limit", "quota", "deadline", "impossible", "no_upstream", "draining", ID_EXPIRED}
)
"""Refusal codes for which retrying the same id at another host gives the same result."""

_RETRYABLE_STATUSES = frozenset({408, 422, 429, 503})
_INVALID_CALL_STATUSES = frozenset({400, 401, 403, 405, 409, 411, 413, 414, 415, 431})


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionAnswer:
    """Result of one or more calls for a submission.

    :param status: HTTP status; 0 if there is none.
    :param results: JSON values, one for each task; empty unless the submission is complete.
    :param retry_after_s: value of ``Retry-After``; None if the host sent none.
    :param calls: HTTP calls made for the submission.
    :param unsent: *not run* because no host accepted a call for the id, not as the outcome reported
        by a host.
    """

    submission_id: str
    state: State
    status: int = 0
    results: tuple[Any, ...] = ()
    reason: str = ""
    message: str = ""
    retry_after_s: float | None = None
    host: str = ""
    calls: int = 1
    unsent: bool = False

    def to_json(self) -> dict[str, Any]:
        """Return the answer as a JSON object."""
        values: dict[str, Any] = {"id": self.submission_id, "state": self.state.value}
        if self.state is State.COMPLETE:
            values["results"] = list(self.results)
        for name in ("reason", "message", "retry_after_s", "host"):
            value = getattr(self, name)
            if value not in ("", None):
                values[name] = value
        return values | {"calls": self.calls}


def read_answer(submission_id: str, response: httpx.Response, host: str) -> SubmissionAnswer:
    """Interpret a response; one without a recognizable state counts as lost.

    A load balancer between client and host may itself answer 502 to 504, so a status alone is never
    taken as an outcome. Only *running* (202) and invalid calls are recognized by status. Outcomes
    are named by ``state``, refusals only by the error code.
    """
    content = _content(response)
    error = content.get("error")
    details: Mapping[str, Any] = error if isinstance(error, dict) else {}
    state = _state(response.status_code, content, details)
    results = content.get("results")
    return SubmissionAnswer(
        submission_id=submission_id,
        state=state,
        status=response.status_code,
        results=tuple(results) if state is State.COMPLETE and isinstance(results, list) else (),
        reason=str(details.get("code") or ""),
        message=str(details.get("message") or ""),
        retry_after_s=read_retry_after(response),
        host=host,
    )


def read_retry_after(response: httpx.Response) -> float | None:
    """Return the ``Retry-After`` header in seconds, or None if absent or not within a day."""
    try:
        seconds = float(response.headers.get(RETRY_AFTER_HEADER, ""))
    except ValueError:
        return None
    return seconds if 0 <= seconds < 86_400 else None


def _content(response: httpx.Response) -> dict[str, Any]:
    try:
        content = response.json()
    except (ValueError, RecursionError):
        return {}
    return content if isinstance(content, dict) else {}


def _state(status: int, content: Mapping[str, Any], details: Mapping[str, Any]) -> State:
    if status == 202:
        return State.RUNNING
    if status in _INVALID_CALL_STATUSES:
        return State.REFUSED
    code = details.get("code")
    state = _OUTCOMES.get(str(content.get("state") or code))
    if state is State.COMPLETE and not isinstance(content.get("results"), list):
        return State.LOST
    if code == ID_EXPIRED and state in (None, State.UNKNOWN):
        return State.NOT_TAKEN
    if state is None and code and status in _RETRYABLE_STATUSES:
        return State.NOT_TAKEN
    return state or State.LOST
