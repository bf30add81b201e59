"""The budget for sending idempotent requests again."""

from __future__ import annotations

from ._records import Submission

MAX_TOKENS = 10.0
"""Retries that an idle host may make at once; the ratio bounds them over time."""

MAX_TRIES = 3
"""Possible starts of one idempotent request."""


class RetryBudget:
    """Retries as a share of first starts, so that they add bounded load."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def note_start(self, ratio: float) -> None:
        """Count a first start, which earns ``ratio`` of a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + ratio)

    def take(self) -> bool:
        """Use one retry; False if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(now: float, submission: Submission, index: int) -> bool:
    """Tell whether a task whose start failed or was lost may be started again."""
    body, kind = submission.body, submission.kind
    assert body is not None and kind is not None
    idempotent = body.idempotent and kind.idempotent and bool(kind.service)
    tries = submission.tasks[index].tries
    return idempotent and tries < MAX_TRIES and now < submission.deadline_at
