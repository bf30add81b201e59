"""Outcomes without an answer."""

from __future__ import annotations

from ._outcomes import Outcome, OutcomeKind, Reason

RETRY_AFTER_S = 1.0
"""Advice when nothing better is known: about the time in which peers notice a dead host."""

RETRY_SOON_S = 0.1
"""Advice when a new id avoids the trouble, because the host at fault is already passed over."""


def not_run(reason: Reason, message: str, retry_after_s: float | None = RETRY_AFTER_S) -> Outcome:
    """Nothing ran, and nothing will run under this id."""
    return Outcome(
        kind=OutcomeKind.NOT_RUN, reason=reason, message=message, retry_after_s=retry_after_s
    )


def unknown(reason: Reason, message: str, retry_after_s: float | None = RETRY_AFTER_S) -> Outcome:
    """It cannot be told whether anything ran; the same id may be repeated."""
    return Outcome(
        kind=OutcomeKind.UNKNOWN, reason=reason, message=message, retry_after_s=retry_after_s
    )


def expired() -> Outcome:
    """The records of the id are gone, so nothing can be said any more."""
    return unknown(Reason.ID_EXPIRED, "the id has expired", None)


def failed(reason: Reason, message: str) -> Outcome:
    """Some of the tasks may have run."""
    return Outcome(kind=OutcomeKind.FAILED, reason=reason, message=message)
