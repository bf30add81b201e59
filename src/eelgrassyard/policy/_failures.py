"""Constructors of the outcomes without results."""

from __future__ import annotations

from ._outcomes import Outcome, OutcomeKind, Reason

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry advice when nothing better is known: about the time in which peers detect a dead host."""

SHORT_RETRY_AFTER_S = 0.1
"""Retry advice when a new id avoids the failure, because the failed host is already avoided."""


def not_run(
    reason: Reason, message: str, retry_after_s: float | None = DEFAULT_RETRY_AFTER_S
) -> Outcome:
    """Return the outcome "not run": nothing ran, and nothing will run under this id."""
    return Outcome(
        kind=OutcomeKind.NOT_RUN, reason=reason, message=message, retry_after_s=retry_after_s
    )


def unknown(
    reason: Reason, message: str, retry_after_s: float | None = DEFAULT_RETRY_AFTER_S
) -> Outcome:
    """Return the outcome "unknown": tasks may have run; the same id may be submitted again."""
    return Outcome(
        kind=OutcomeKind.UNKNOWN, reason=reason, message=message, retry_after_s=retry_after_s
    )


def expired() -> Outcome:
    """Return the outcome of an expired id, "unknown" because its records are gone."""
    return unknown(Reason.ID_EXPIRED, "the id has expired", None)


def failed(reason: Reason, message: str) -> Outcome:
    """Return the outcome "failed": some of the tasks may have run."""
    return Outcome(kind=OutcomeKind.FAILED, reason=reason, message=message)
