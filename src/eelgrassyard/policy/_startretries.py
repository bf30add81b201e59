"""Which starts may be repeated; how many is up to the budget of the admission."""

from __future__ import annotations

from ._ownedstate import Submission

MAX_TRIES = 3
"""Possible starts of one idempotent request."""


def may_retry(now: float, submission: Submission, index: int) -> bool:
    """Tell whether a task whose start failed or was lost may be started again."""
    body, kind = submission.body, submission.kind
    assert body is not None and kind is not None
    idempotent = body.idempotent and kind.idempotent and bool(kind.service)
    tries = submission.tasks[index].tries
    return idempotent and tries < MAX_TRIES and now < submission.deadline_at
