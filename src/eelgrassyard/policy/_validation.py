"""Checks of a new submission against the configuration."""

from __future__ import annotations

from ._config import SiteConfig
from ._ids import SubmissionId
from ._outcomes import Reason, SubmissionBody
from ._owned_state import OwnedTask, Submission, body_digest
from ._pool_names import pool_for


def make_submission(
    now: float,
    submission_id: str,
    fields: SubmissionId,
    caller: str,
    body: SubmissionBody,
    *,
    config: SiteConfig | None,
    failure_domain: str,
) -> Submission | Reason:
    """Build the owner's state of a new submission, before any slot request.

    :param failure_domain: failure domain of the owner, whose pools run the tasks.
    :returns: the submission, or the reason for which the call is refused.
    """
    if config is None:
        return Reason.NOT_READY
    kind = config.kinds_by_name.get(body.kind)
    if kind is None:
        return Reason.UNKNOWN_KIND
    entry = config.callers_by_name.get(caller)
    if entry is not None and entry.kinds and body.kind not in entry.kinds:
        return Reason.KIND_FORBIDDEN
    return Submission(
        submission_id=submission_id,
        fields=fields,
        caller=caller,
        digest=body_digest(body),
        body=body,
        kind=kind,
        team=entry.team if entry is not None else "",
        pool=pool_for(config, kind.name, failure_domain),
        deadline_at=now + body.deadline_s,
        recorded=fields.witness is None,
        tasks_waiting=len(body.tasks),
        tasks=[OwnedTask() for _ in body.tasks],
    )


def task_count_error(submission: Submission, config: SiteConfig) -> str | None:
    """Return why a submission can never run because of its number of tasks, or None if it can."""
    body, kind = submission.body, submission.kind
    assert body is not None and kind is not None
    max_tasks = 1 if kind.service else config.limits.tasks_per_job
    if 1 <= len(body.tasks) <= max_tasks:
        return None
    return f"between 1 and {max_tasks} tasks are allowed"
