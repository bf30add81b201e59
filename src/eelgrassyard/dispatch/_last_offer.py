"""Last offer of a job to another domain, before it is refused for lack of room."""

from __future__ import annotations

from ._jobs import LATE_FACTOR, Job, Outcome
from ._lending import LEND_TRANSIT_S
from ._peer_pools import REFUSAL_WAIT_S
from ._room_reports import RoomReports
from ._run_lifecycle import MIN_RETRY_AFTER_S
from ._shortage import LastOffer, choose_domain
from ._tasks import ROUND_TRIP_S, Phase, PoolJob, Task
from ._workers import OPTIMISTIC_FACTOR


class LastOffers(RoomReports):
    """Offers a job that would be refused for lack of room once to another pool.

    The offer is an ordinary loan. Its tasks count as started from the offer on, so the job is
    refused as not run only after the other pool has reported that it started none of them.
    """

    def _offer_before_refusal(self, now: float, pool_job: PoolJob) -> bool:
        """Offer a job that would be refused to the most promising domain, once.

        :returns: True while the job must not be refused: the other pool has not answered yet, or a
            task of the job may have started.
        """
        if pool_job.started_runs:
            return True
        job = pool_job.job
        tasks = [task for task in pool_job.task_by_id.values() if task.phase is Phase.WAITING]
        if job.id in self._last_offer_by_job or not tasks or not self._may_be_offered(now, tasks):
            return False
        # The latest start at home is planned with a part of the objective. A job that would be
        # refused otherwise may use all of it.
        due_at = min(pool_job.arrived_at + job.objective_s(), pool_job.caller_deadline)
        late_at = min(
            pool_job.arrived_at + LATE_FACTOR * job.objective_s(), pool_job.caller_deadline
        )
        if now + 2 * LEND_TRANSIT_S >= due_at:
            return False
        task_cpu = [task.step.cpu for task in tasks]
        excluded = set().union(*(task.avoid | task.refusing_domains(now) for task in tasks))
        chosen = choose_domain(
            self.peers,
            now=now,
            service=job.service,
            task_cpu=task_cpu,
            max_slowness=self._slowness_until(now, due_at, job),
            late_slowness=self._slowness_until(now, late_at, job),
            usual_slowness=min(1.0, self.fastest_slowness(job.service)),
            transit_s=LEND_TRANSIT_S,
            excluded=excluded,
        )
        if chosen is None:
            return False
        domain, max_slowness = chosen
        self.peers.reserve_all(now, domain, job.service, task_cpu, max_slowness)
        self._last_offer_by_job[job.id] = LastOffer(domain=domain, offered_at=now)
        tasks_by_step: dict[int, list[Task]] = {}
        for task in tasks:
            self._mark_lent(now, task, domain)
            tasks_by_step.setdefault(task.id.step, []).append(task)
        self._waiting_by_service[job.service].remove({id(task) for task in tasks})
        for members in tasks_by_step.values():
            # A result that is a little late is of more use to the caller than a refusal.
            self._request_loan(now, domain, members, begun=True)
        return True

    def _slowness_until(self, now: float, limit: float, job: Job) -> float:
        """Greatest run time, as a multiple of the declared one, with which a job that is offered
        now can be answered by a limit."""
        left_s = limit - ROUND_TRIP_S - now - LEND_TRANSIT_S - self.timing.delay_s()
        return left_s / max(0.001, job.critical_path_s() * OPTIMISTIC_FACTOR)

    def _may_be_offered(self, now: float, tasks: list[Task]) -> bool:
        return self.lending_enabled and not any(
            self._must_wait(now, task) or self.crashes.count(task.id) for task in tasks
        )

    def _advance_last_offers(self, now: float) -> None:
        """Settle the offers that were refused, or not refused in time."""
        for job_id, offer in self._last_offer_by_job.items():
            if offer.is_settled:
                continue
            pool_job = self.job_by_id[job_id]
            if not pool_job.started_runs:
                self._settle(job_id, offer, "refused")
            elif now >= offer.offered_at + REFUSAL_WAIT_S:
                # A task whose offer was not answered may be running.
                self._settle(job_id, offer, "lent")

    def _settle(self, job_id: str, offer: LastOffer, result: str) -> None:
        offer.is_settled = True
        self.note("offered_before_refusal", job=job_id, to=offer.domain, result=result)

    def _finish(
        self,
        now: float,
        pool_job: PoolJob,
        outcome: Outcome,
        reason: str,
        *,
        not_run_retry_s: float = MIN_RETRY_AFTER_S,
    ) -> None:
        offer = self._last_offer_by_job.get(pool_job.job.id)
        if offer is not None and not offer.is_settled:
            refused = outcome is Outcome.NOT_RUN
            self._settle(pool_job.job.id, offer, "refused" if refused else "lent")
        if offer is not None and outcome is Outcome.COMPLETE:
            self._count("jobs_saved_by_lending")
        super()._finish(now, pool_job, outcome, reason, not_run_retry_s=not_run_retry_s)

    def _remove_job(self, now: float, pool_job: PoolJob) -> None:
        if self.job_by_id.get(pool_job.job.id) is pool_job:
            self._last_offer_by_job.pop(pool_job.job.id, None)
        super()._remove_job(now, pool_job)
