"""The entry host's side: jobs of its callers, from the request to the answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._actions import Note
from ._jobs import LATE_FACTOR, Job, Outcome
from ._messages import Cancel, JobEnded, JobReturned, Progress, Submit

NO_LEADER_TIMEOUT_RATIO = 0.25
"""A job that no leader has seen is refused after this share of its objective: later refusals are
worth less to the caller, who could have come back sooner."""

FAILOVER_TIMEOUT_S = 0.9
"""Time that a job whose leader was lost waits for the next one. Another leader is found in about
half a second if the old one is silent."""

RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller:
    """Answer the request that a job came in with."""

    ticket: int
    outcome: Outcome
    retry_after_s: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeader:
    """Send a message to the leader of the own domain."""

    message: Submit | Cancel


EntryAction = AnswerCaller | SendLeader | Note


@dataclass(slots=True, kw_only=True)
class CallerJob:
    """One job that callers of this host wait for.

    :param tickets: requests that wait for the answer.
    :param sent_epoch: epoch of the leader that has it, or 0.
    :param round: number of leaders or sessions that it was handed to.
    :param progress: what the last leader said of it when it resigned.
    """

    job: Job
    arrived_at: float
    caller_deadline: float
    tickets: list[int] = field(default_factory=list)
    sent_epoch: int = 0
    round: int = 0
    progress: Progress | None = None
    no_leader_since: float = 0.0


class Entry:
    """Jobs of the callers that are connected to this host."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, CallerJob] = {}
        self.actions: list[EntryAction] = []
        self._job_by_ticket: dict[int, str] = {}
        self._epoch = 0

    def submit(self, now: float, ticket: int, job: Job, *, caller_waits_s: float) -> None:
        """Take up a job, or let the request wait for the same job that is in progress."""
        entry_job = self.job_by_id.get(job.id)
        if entry_job is None:
            entry_job = self.job_by_id[job.id] = CallerJob(
                job=job,
                arrived_at=now,
                caller_deadline=now + caller_waits_s,
                no_leader_since=now,
            )
        entry_job.tickets.append(ticket)
        entry_job.caller_deadline = max(entry_job.caller_deadline, now + caller_waits_s)
        self._job_by_ticket[ticket] = job.id
        if entry_job.sent_epoch == 0 and self._epoch:
            self._send(now, entry_job)

    def _send(self, now: float, entry_job: CallerJob) -> None:
        entry_job.sent_epoch = self._epoch
        submit = Submit(
            job=entry_job.job,
            waited_s=now - entry_job.arrived_at,
            caller_waits_s=entry_job.caller_deadline - now,
            round=entry_job.round,
            progress=entry_job.progress,
        )
        entry_job.round += 1
        entry_job.progress = None
        self.actions.append(SendLeader(message=submit))

    def caller_left(self, now: float, ticket: int) -> None:
        """A caller has closed its connection; without any caller the job is cancelled."""
        job_id = self._job_by_ticket.pop(ticket, None)
        entry_job = self.job_by_id.get(job_id) if job_id is not None else None
        if entry_job is None or ticket not in entry_job.tickets:
            return
        entry_job.tickets.remove(ticket)
        if not entry_job.tickets:
            self._drop(entry_job)
            self.actions.append(Note(event="caller_left", fields={"job": entry_job.job.id}))

    def _drop(self, entry_job: CallerJob) -> None:
        self.job_by_id.pop(entry_job.job.id, None)
        if entry_job.sent_epoch:
            self.actions.append(SendLeader(message=Cancel(job_id=entry_job.job.id)))

    def set_leader(self, now: float, epoch: int) -> None:
        """The leader with this epoch takes jobs from now on; 0 if there is none.

        Jobs that an earlier leader or session had are handed over again.
        """
        if epoch == self._epoch:
            return
        self._epoch = epoch
        for entry_job in list(self.job_by_id.values()):
            if entry_job.sent_epoch:
                entry_job.sent_epoch = 0
                entry_job.no_leader_since = now
            if epoch and now < entry_job.caller_deadline:
                self._send(now, entry_job)

    def job_ended(self, now: float, message: JobEnded) -> None:
        """The leader has reported the outcome of a job."""
        entry_job = self.job_by_id.pop(message.job_id, None)
        if entry_job is not None:
            self._answer(entry_job, message.outcome, message.reason, message.retry_after_s)

    def job_returned(self, now: float, message: JobReturned) -> None:
        """The host that had the job no longer leads."""
        entry_job = self.job_by_id.get(message.job_id)
        if entry_job is None or not entry_job.sent_epoch:
            return
        entry_job.sent_epoch = 0
        entry_job.no_leader_since = now
        if message.progress is None:
            # The host had not taken the job up, so this round does not count.
            entry_job.round -= 1
        else:
            entry_job.progress = message.progress

    def _answer(
        self, entry_job: CallerJob, outcome: Outcome, reason: str, retry_after_s: float = 0.0
    ) -> None:
        for ticket in entry_job.tickets:
            self._job_by_ticket.pop(ticket, None)
            self.actions.append(
                AnswerCaller(
                    ticket=ticket, outcome=outcome, retry_after_s=retry_after_s, reason=reason
                )
            )

    def advance(self, now: float) -> None:
        """Answer jobs that no leader has taken in time, or whose caller's time is over."""
        for entry_job in list(self.job_by_id.values()):
            objective_s = entry_job.job.objective_s()
            if now >= entry_job.caller_deadline:
                self._drop(entry_job)
                self._answer(entry_job, Outcome.ABANDONED, "the caller's time is over")
            elif entry_job.sent_epoch == 0 and self._epoch:
                self._send(now, entry_job)
            elif entry_job.sent_epoch == 0 and entry_job.round == 0:
                if now - entry_job.no_leader_since >= NO_LEADER_TIMEOUT_RATIO * objective_s:
                    self._drop(entry_job)
                    self._answer(entry_job, Outcome.NOT_RUN, "no leader", RETRY_AFTER_S)
            elif entry_job.sent_epoch == 0 and (
                now - entry_job.no_leader_since >= FAILOVER_TIMEOUT_S
                or now - entry_job.arrived_at >= LATE_FACTOR * objective_s
            ):
                self._drop(entry_job)
                self._answer(entry_job, Outcome.ABANDONED, "the leader was lost")
