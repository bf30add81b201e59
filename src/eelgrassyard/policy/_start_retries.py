"""Which starts may be retried; the admission's retry budget limits how many are."""

from __future__ import annotations

from ._owned_state import Submission

MAX_STARTS = 3
"""Starts of an idempotent request after which a failed or lost start is not retried."""


def may_retry(now: float, submission: Submission, index: int) -> bool:
    """Return whether a task whose start failed or was lost may be started again.

    Only an idempotent request of an idempotent kind that runs on runners may, before its deadline.
    """
    body, kind = submission.body, submission.kind
    assert body is not None and kind is not None
    idempotent = body.idempotent and kind.idempotent and bool(kind.service)
    starts_made = submission.tasks[index].starts_made
    return idempotent and starts_made < MAX_STARTS and now < submission.deadline_at
