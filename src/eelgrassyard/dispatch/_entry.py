"""The entry host's side: jobs of its callers, from the request to the answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._actions import Note
from ._jobs import LATE_FACTOR, Job, Outcome
from ._messages import Cancel, JobEnded, JobReturned, Progress, Submit

NO_LEADER_SHARE = 0.25
"""A job that no leader has seen is refused after this share of its objective: later refusals are
worth less to the caller, who could have come back sooner."""

FAILOVER_S = 0.9
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
    caller_until: float
    tickets: list[int] = field(default_factory=list)
    sent_epoch: int = 0
    round: int = 0
    progress: Progress | None = None
    leaderless_since: float = 0.0


class Entry:
    """Jobs of the callers that are connected to this host."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, CallerJob] = {}
        self.actions: list[EntryAction] = []
        self._job_by_ticket: dict[int, str] = {}
        self._epoch = 0

    def arrive(self, now: float, ticket: int, job: Job, *, caller_waits_s: float) -> None:
        """Take up a job, or let the request wait for the same job that is in progress."""
        known = self.job_by_id.get(job.id)
        if known is None:
            known = self.job_by_id[job.id] = CallerJob(
                job=job,
                arrived_at=now,
                caller_until=now + caller_waits_s,
                leaderless_since=now,
            )
        known.tickets.append(ticket)
        known.caller_until = max(known.caller_until, now + caller_waits_s)
        self._job_by_ticket[ticket] = job.id
        if known.sent_epoch == 0 and self._epoch:
            self._send(now, known)

    def _send(self, now: float, known: CallerJob) -> None:
        known.sent_epoch = self._epoch
        submit = Submit(
            job=known.job,
            waited_s=now - known.arrived_at,
            caller_waits_s=known.caller_until - now,
            round=known.round,
            progress=known.progress,
        )
        known.round += 1
        known.progress = None
        self.actions.append(SendLeader(message=submit))

    def caller_left(self, now: float, ticket: int) -> None:
        """A caller has closed its connection; without any caller the job is cancelled."""
        job_id = self._job_by_ticket.pop(ticket, None)
        known = self.job_by_id.get(job_id) if job_id is not None else None
        if known is None or ticket not in known.tickets:
            return
        known.tickets.remove(ticket)
        if not known.tickets:
            self._drop(known)
            self.actions.append(Note(event="caller_left", fields={"job": known.job.id}))

    def _drop(self, known: CallerJob) -> None:
        self.job_by_id.pop(known.job.id, None)
        if known.sent_epoch:
            self.actions.append(SendLeader(message=Cancel(job_id=known.job.id)))

    def set_leader(self, now: float, epoch: int) -> None:
        """The leader with this epoch takes jobs from now on; 0 if there is none.

        Jobs that an earlier leader or session had are handed over again.
        """
        if epoch == self._epoch:
            return
        self._epoch = epoch
        for known in list(self.job_by_id.values()):
            if known.sent_epoch:
                known.sent_epoch = 0
                known.leaderless_since = now
            if epoch and now < known.caller_until:
                self._send(now, known)

    def ended(self, now: float, message: JobEnded) -> None:
        """The leader has reported the outcome of a job."""
        known = self.job_by_id.pop(message.job_id, None)
        if known is not None:
            self._answer(known, message.outcome, message.reason, message.retry_after_s)

    def returned(self, now: float, message: JobReturned) -> None:
        """The host that had the job no longer leads."""
        known = self.job_by_id.get(message.job_id)
        if known is None or not known.sent_epoch:
            return
        known.sent_epoch = 0
        known.leaderless_since = now
        if message.progress is None:
            # The host had not taken the job up, so this round does not count.
            known.round -= 1
        else:
            known.progress = message.progress

    def _answer(
        self, known: CallerJob, outcome: Outcome, reason: str, retry_after_s: float = 0.0
    ) -> None:
        for ticket in known.tickets:
            self._job_by_ticket.pop(ticket, None)
            self.actions.append(
                AnswerCaller(
                    ticket=ticket, outcome=outcome, retry_after_s=retry_after_s, reason=reason
                )
            )

    def advance(self, now: float) -> None:
        """Answer jobs that no leader has taken in time, or whose caller's time is over."""
        for known in list(self.job_by_id.values()):
            objective_s = known.job.objective_s()
            if now >= known.caller_until:
                self._drop(known)
                self._answer(known, Outcome.ABANDONED, "the caller's time is over")
            elif known.sent_epoch == 0 and self._epoch:
                self._send(now, known)
            elif known.sent_epoch == 0 and known.round == 0:
                if now - known.leaderless_since >= NO_LEADER_SHARE * objective_s:
                    self._drop(known)
                    self._answer(known, Outcome.NOT_RUN, "no leader", RETRY_AFTER_S)
            elif known.sent_epoch == 0 and (
                now - known.leaderless_since >= FAILOVER_S
                or now - known.arrived_at >= LATE_FACTOR * objective_s
            ):
                self._drop(known)
                self._answer(known, Outcome.ABANDONED, "the leader was lost")
