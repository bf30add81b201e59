"""The sizes of site for which the capacity tables are computed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from eelgrassyard.config import SITES, load_questionnaire

DAY_S = 86_400.0
MEAN_RUN_S = 0.5
"""Assumed mean run time; section 1.1 gives 50 ms to 1 s for most tasks."""

JOB_TASKS = 100
"""Assumed tasks of a typical job at the size of section 1.6, which gives 620 as the largest job."""

TARGET_UTILISATION = 0.7
"""Utilisation of a core at the peak; the rest is headroom for the loss of a failure domain."""

ID_LIFETIME_S = 600.0
RECORD_LIFETIME_S = 660.0
"""Lifetime of a witness record: lifetime of the id plus allowance for clock skew."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SiteSize:
    """Size and load of a site at its peak.

    :param hosts: entry hosts; 0 if they are computed from the measured processor time per task.
    :param tasks_per_job: tasks of a typical submission.
    :param changes_per_day: revisions of the configuration.
    :param restarts_per_day: hosts that fail, restart or are replaced.
    :param scope_domains: failure domains with pools of their own; 1 if pools serve the whole site.
    :param scheduler_jobs_per_s: submissions a second for the busiest pool.
    """

    name: str
    hosts: int
    domains: int
    upstreams: int
    workers: int
    starts_per_s: float
    tasks_per_job: float
    teams: int
    changes_per_day: float
    restarts_per_day: float
    scope_domains: int
    scheduler_jobs_per_s: float
    scheduler_tasks_per_job: float

    @property
    def jobs_per_s(self) -> float:
        """Submissions per second."""
        return self.starts_per_s / self.tasks_per_job

    @property
    def running(self) -> float:
        """Mean number of tasks in progress."""
        return self.starts_per_s * MEAN_RUN_S


def shipped_site_size(site: str) -> SiteSize:
    """Size of a shipped site at its busiest hour, from its questionnaire."""
    answers = load_questionnaire(SITES / f"{site}.jsonc").unwrap().answers
    tasks_by_kind = {kind.name: kind.tasks_usual for kind in answers.kinds}
    sends = [item for caller in answers.callers for item in caller.sends.items()]
    jobs_per_s = sum(sent.per_s for _, sent in sends)
    starts_per_s = sum(sent.per_s * tasks_by_kind[kind] for kind, sent in sends)
    pool_by_kind = {kind.name: kind.service or "" for kind in answers.kinds}
    jobs_by_pool: Counter[str] = Counter()
    tasks_by_pool: Counter[str] = Counter()
    for kind, sent in sends:
        jobs_by_pool[pool_by_kind[kind]] += sent.per_s
        tasks_by_pool[pool_by_kind[kind]] += sent.per_s * tasks_by_kind[kind]
    busiest = max(jobs_by_pool, key=lambda pool: jobs_by_pool[pool])
    workers = sum(len(rack.workers) for rack in answers.racks)
    return SiteSize(
        name=site,
        hosts=len(answers.hosts),
        domains=len(answers.failure_domains),
        upstreams=workers + sum(len(service.runners) for service in answers.services),
        workers=workers,
        starts_per_s=starts_per_s,
        tasks_per_job=starts_per_s / jobs_per_s,
        teams=len(answers.teams),
        changes_per_day=10,
        restarts_per_day=len(answers.hosts),
        scope_domains=1,
        scheduler_jobs_per_s=jobs_by_pool[busiest],
        scheduler_tasks_per_job=tasks_by_pool[busiest] / jobs_by_pool[busiest],
    )


LARGE = SiteSize(
    name="section 1.6",
    hosts=0,
    domains=11,
    upstreams=1_400,
    workers=1_400,
    starts_per_s=87_000,
    tasks_per_job=JOB_TASKS,
    teams=68,
    changes_per_day=1_700,
    restarts_per_day=19 + 320,
    scope_domains=11,
    scheduler_jobs_per_s=87_000 / JOB_TASKS / 11,
    scheduler_tasks_per_job=JOB_TASKS,
)
