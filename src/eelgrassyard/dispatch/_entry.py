"""Jobs of the callers of an entry host, from the request to the answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._actions import Note
from ._jobs import LATE_FACTOR, Job, Outcome
from ._messages import Cancel, JobEnded, JobReturned, Progress, Submit

NO_LEADER_TIMEOUT_RATIO = 0.25
"""Share of its objective after which a job that no leader has received is refused, once the host
has been without a leader for ``LEADER_WAIT_S``. A later refusal is worth less to the caller, who
could have retried sooner."""

FAILOVER_TIMEOUT_S = 0.9
"""Shortest time for which a job whose leader was lost waits for the next one. Failover takes about
half a second if the old leader is silent. A job with a long objective waits for
``NO_LEADER_TIMEOUT_RATIO`` of it, since a failover of a few seconds leaves time to run it again."""

UNFORESEEN_REASON = "unforeseen error"
"""Reason in the answer to a job that is given up because of an error in a host."""

RETRY_AFTER_S = 1.0
"""Retry delay given to the caller of a job that is refused for lack of a leader."""

LEADER_WAIT_S = RETRY_AFTER_S
"""Time without a leader in which one is expected soon, and jobs wait for it. A refused caller comes
back no sooner than this, so that the wait costs it nothing. After a power loss of all hosts, or the
death of a leader, there is a new leader within about half a second."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCaller:
    """Answer one request for a job.

    :param ticket: request to answer.
    """

    ticket: int
    outcome: Outcome
    retry_after_s: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeader:
    """Send a message to the leader of this host's domain."""

    message: Submit | Cancel


EntryAction = AnswerCaller | SendLeader | Note


@dataclass(slots=True, kw_only=True)
class CallerJob:
    """A job that callers of this host wait for.

    :param arrived_at: when the first request for it arrived.
    :param caller_deadline: when the last of its callers stops waiting.
    :param tickets: requests that wait for the answer.
    :param sent_epoch: epoch of the leader that has it, or 0.
    :param round: number of times that it was submitted, except to hosts that returned it untouched.
    :param progress: progress that the last leader reported when it resigned; None once a leader
        that got it since was lost without a report.
    :param no_leader_since: time since which no leader has it.
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
    """Submits the jobs of this host's callers to the leader, again after each failover, and answers
    the callers."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, CallerJob] = {}
        self.actions: list[EntryAction] = []
        self._job_by_ticket: dict[int, str] = {}
        self._epoch = 0
        self._without_leader_since: float | None = None

    def submit(self, now: float, ticket: int, job: Job, *, caller_waits_s: float) -> None:
        """Accept a job, or attach the request to the same job if it is in progress."""
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
        self.actions.append(SendLeader(message=submit))

    def caller_left(self, now: float, ticket: int) -> None:
        """Handle a caller's disconnect; a job without callers is cancelled."""
        job_id = self._job_by_ticket.pop(ticket, None)
        entry_job = self.job_by_id.get(job_id) if job_id is not None else None
        if entry_job is None or ticket not in entry_job.tickets:
            return
        entry_job.tickets.remove(ticket)
        if not entry_job.tickets:
            self._remove(entry_job)
            self.actions.append(Note(event="caller_left", fields={"job": entry_job.job.id}))

    def _remove(self, entry_job: CallerJob) -> None:
        self.job_by_id.pop(entry_job.job.id, None)
        if entry_job.sent_epoch:
            self.actions.append(SendLeader(message=Cancel(job_id=entry_job.job.id)))

    def set_leader(self, now: float, epoch: int) -> None:
        """Set the epoch of the leader that accepts jobs; 0 if there is none.

        Jobs that were submitted to an earlier leader or session are submitted again.
        """
        if epoch == self._epoch:
            return
        self._without_leader_since = None if epoch else now
        self._epoch = epoch
        # An error after the answer left them here; a job without callers must not be sent again.
        for job_id in [i for i, entry_job in self.job_by_id.items() if not entry_job.tickets]:
            del self.job_by_id[job_id]
        for entry_job in list(self.job_by_id.values()):
            if entry_job.sent_epoch:
                entry_job.sent_epoch = 0
                entry_job.no_leader_since = now
                # That leader may have started any task since.
                entry_job.progress = None
            if epoch and now < entry_job.caller_deadline:
                self._send(now, entry_job)

    def job_at_leader(self, job_id: str, epoch: int) -> Job | None:
        """The job of a caller, if the leader of this epoch has it."""
        entry_job = self.job_by_id.get(job_id)
        if entry_job is None or entry_job.sent_epoch != epoch:
            return None
        return entry_job.job

    def job_ended(self, now: float, message: JobEnded) -> None:
        """Handle the outcome of a job, as reported by the leader."""
        entry_job = self.job_by_id.get(message.job_id)
        if entry_job is not None:
            self._answer(entry_job, message.outcome, message.reason, message.retry_after_s)
            del self.job_by_id[message.job_id]
            if entry_job.round > 1 and entry_job.sent_epoch:
                # The outcome may be of an earlier submission, and the leader has a later one.
                self.actions.append(SendLeader(message=Cancel(job_id=message.job_id)))

    def job_returned(self, now: float, message: JobReturned) -> None:
        """Handle a job that was returned by a host that does not lead, or no longer does."""
        entry_job = self.job_by_id.get(message.job_id)
        if entry_job is None or not entry_job.sent_epoch:
            return
        entry_job.sent_epoch = 0
        entry_job.no_leader_since = now
        if message.progress is None:
            # None of its tasks can have run, so this round does not count.
            entry_job.round -= 1
        else:
            entry_job.progress = message.progress

    def _answer(
        self, entry_job: CallerJob, outcome: Outcome, reason: str, retry_after_s: float = 0.0
    ) -> None:
        tickets, entry_job.tickets = entry_job.tickets, []
        for ticket in tickets:
            self._job_by_ticket.pop(ticket, None)
            self.actions.append(
                AnswerCaller(
                    ticket=ticket, outcome=outcome, retry_after_s=retry_after_s, reason=reason
                )
            )

    def fail(self, job_id: str) -> None:
        """Give up a job after an unforeseen error; it may have run."""
        entry_job = self.job_by_id.get(job_id)
        if entry_job is not None:
            self._remove(entry_job)
            self._answer(entry_job, Outcome.ABANDONED, UNFORESEEN_REASON)

    def give_up(self, job_id: str, reason: str) -> None:
        """Give up a job; it has certainly not run if no leader has ever received it."""
        entry_job = self.job_by_id.get(job_id)
        if entry_job is None:
            return
        self._remove(entry_job)
        if entry_job.round:
            self._answer(entry_job, Outcome.ABANDONED, reason)
        else:
            self._answer(entry_job, Outcome.NOT_RUN, reason, RETRY_AFTER_S)

    def fail_request(self, ticket: int) -> None:
        """Answer one request after an unforeseen error; its job may have run."""
        self.actions.append(
            AnswerCaller(ticket=ticket, outcome=Outcome.ABANDONED, reason=UNFORESEEN_REASON)
        )
        self.caller_left(0.0, ticket)

    def _refuse_at(self, entry_job: CallerJob) -> float:
        """Time at which a job that no leader has received is refused: while a leader is expected
        soon, when an answer would no longer be of use to its caller, else after a part of its
        objective."""
        objective_s = entry_job.job.objective_s()
        since = self._without_leader_since
        expected_by = (entry_job.arrived_at if since is None else since) + LEADER_WAIT_S
        useful_until = entry_job.arrived_at + LATE_FACTOR * objective_s
        run_s = entry_job.job.critical_path_s()
        soon = entry_job.no_leader_since + NO_LEADER_TIMEOUT_RATIO * objective_s
        return max(soon, min(expected_by, useful_until - run_s))

    def advance(self, now: float) -> None:
        """Advance all jobs."""
        if self._without_leader_since is None and not self._epoch:
            self._without_leader_since = now
        for job_id in list(self.job_by_id):
            self.advance_job(now, job_id)

    def advance_job(self, now: float, job_id: str) -> None:
        """Submit a job that no leader has, or answer it if it got no leader in time or its callers'
        wait has ended."""
        entry_job = self.job_by_id[job_id]
        objective_s = entry_job.job.objective_s()
        if now >= entry_job.caller_deadline:
            self.give_up(job_id, "not completed while the caller waited")
        elif entry_job.sent_epoch == 0 and self._epoch:
            self._send(now, entry_job)
        elif entry_job.sent_epoch == 0 and entry_job.round == 0:
            if now >= self._refuse_at(entry_job):
                self._remove(entry_job)
                self._answer(entry_job, Outcome.NOT_RUN, "no leader available", RETRY_AFTER_S)
        elif entry_job.sent_epoch == 0 and (
            now - entry_job.no_leader_since
            >= max(FAILOVER_TIMEOUT_S, NO_LEADER_TIMEOUT_RATIO * objective_s)
            or now - entry_job.arrived_at >= LATE_FACTOR * objective_s
        ):
            self._remove(entry_job)
            self._answer(
                entry_job,
                Outcome.ABANDONED,
                "the leader was lost and no other took over in time",
            )
