"""Record of callers' attempts and workers' runs, and the invariants checked on them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

CONTACT_S = 3.0
"""Time without an unplanned fault after which time-bound invariants apply (users' bounds)."""

DRAIN_S = 2.0
"""Time after the store recorded a worker's drain from which no run may start there (users'
bounds)."""

CONFIG_S = 2.0
"""Time after which a configuration is in force on all hosts (users' bounds)."""

LOSS_SLACK_S = 0.2
"""A connection lost within this time after its request was forwarded is not a violation if no
further run of the job has started."""

GRACE_S = 6.0
"""Grace period between SIGTERM and SIGKILL (users' bounds)."""

LATE_IN_GRACE_S = 3.0
"""A request sent within this time after SIGTERM may be cut off in the last sixth of the grace
period if its task is still running (users' page of rules)."""

DEFAULT_WORK_S = 0.1
"""Run time of a task that belongs to no known job."""


@dataclass(slots=True, kw_only=True)
class JobEntry:
    """One job of a caller.

    :param counts: number of tasks of each step.
    :param work_s: run time of each task on a worker of speed 1, by step.
    :param attempts: outcome of each attempt; "open" while it has no response.
    :param fails: task that fails whenever it runs, or empty.
    :param starts: number of runs started.
    :param done: tasks that have completed.
    :param failed: number of failed runs by task.
    """

    id: str
    spec: str
    counts: tuple[int, ...]
    work_s: tuple[float, ...]
    cpu: int
    max_attempts: int
    fails: str = ""
    attempts: list[str] = field(default_factory=list)
    starts: int = 0
    done: set[str] = field(default_factory=set)
    failed: dict[str, int] = field(default_factory=dict)

    def tasks(self, step: int) -> set[str]:
        """Names of the tasks of a step."""
        return {f"{self.id}.0.{step}.{index}" for index in range(self.counts[step])}


class FaultTracker:
    """Tracks the unplanned faults that are active, and when the last one ended.

    :param timed: whether invariants with a time bound are checked. Without them the result does not
        depend on the speed of the machine.
    """

    def __init__(self, *, timed: bool) -> None:
        self.active = 0
        self._timed = timed
        self.ended_at = time.monotonic()

    def began(self) -> None:
        """Record the start of an unplanned fault."""
        self.active += 1

    def ended(self) -> None:
        """Record the end of an unplanned fault."""
        self.active -= 1
        self.ended_at = time.monotonic()

    def is_fault_free_since(self, moment: float) -> bool:
        """Tell whether time bounds apply: no fault is active, and the last one had ended at least
        :data:`CONTACT_S` before an earlier time.

        :param moment: that time, on the monotonic clock.
        """
        return self._timed and not self.active and moment - self.ended_at >= CONTACT_S


class Ledger:
    """Checks the invariants on each event.

    :ivar violations: violations found, each with the name of its invariant.
    :ivar counts: number of run starts and of attempts by outcome.
    """

    def __init__(self, *, timed: bool = True) -> None:
        self.fault_tracker = FaultTracker(timed=timed)
        self.violations: list[str] = []
        self.job_by_id: dict[str, JobEntry] = {}
        self.counts: dict[str, int] = {}
        self.draining_since: dict[str, float] = {}
        self.term_at: dict[str, float] = {}
        self.reached_at: dict[str, float] = {}
        self._alive: dict[str, set[tuple[str, int]]] = {}

    def record_violation(self, promise: str, text: str) -> None:
        """Record a violation of an invariant."""
        self.violations.append(f"{promise} at {time.time():.3f}: {text}")

    def count(self, name: str) -> None:
        """Count an event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    # --- workers ---

    def work_of(self, task: str) -> tuple[float, int, bool]:
        """Return the run time at speed 1, the CPU request, and whether the task always fails."""
        job_id, _, step, _ = _split(task)
        job = self.job_by_id.get(job_id)
        if job is None or step >= len(job.work_s):
            return DEFAULT_WORK_S, 0, False
        return job.work_s[step], job.cpu, task == job.fails

    def run_began(self, worker: str, task: str, run: int, spec: str, *, draining: bool) -> None:
        """Record the start of a run on a worker."""
        job_id, _, step, _ = _split(task)
        job = self.job_by_id.get(job_id)
        if job is None or job.spec != spec or step >= len(job.counts):
            self.record_violation("UNASKED", f"{task} run {run} on {worker}")
            return
        if task not in job.tasks(step):
            self.record_violation("UNASKED", f"{task} is not a task of its job")
        job.starts += 1
        self.count("starts")
        others = self._alive.setdefault(task, set())
        if others:
            self.record_violation("TWICE", f"{task} run {run} on {worker} beside {sorted(others)}")
        others.add((worker, run))
        if step and not job.tasks(step - 1) <= job.done:
            self.record_violation("ORDER", f"{task} began before step {step - 1} had ended")
        since = self.draining_since.get(worker)
        now = time.monotonic()
        if (
            draining
            and since is not None
            and now - since > DRAIN_S
            and self.fault_tracker.is_fault_free_since(since)
        ):
            self.record_violation(
                "DRAIN", f"{task} on {worker} {now - since:.1f} s after its notice"
            )

    def run_over(self, worker: str, task: str, run: int, how: str) -> None:
        """Record the end of a run."""
        self._alive.get(task, set()).discard((worker, run))
        job = self.job_by_id.get(_split(task)[0])
        if job is None:
            return
        if how == "done":
            job.done.add(task)
        elif how == "failed":
            job.failed[task] = job.failed.get(task, 0) + 1

    # --- callers ---

    def request_forwarded(self, job_id: str) -> None:
        """Record that the proxy has forwarded the request of a job to a host."""
        self.reached_at[job_id] = time.monotonic()

    def attempt_ended(self, job: JobEntry, attempt: int, outcome: str) -> None:
        """Record the outcome of an attempt."""
        job.attempts[attempt] = outcome
        self.count(outcome)
        match outcome:
            case "completed":
                missing = set().union(*map(job.tasks, range(len(job.counts)))) - job.done
                if missing:
                    self.record_violation(
                        "PARTIAL", f"{job.id} is completed without {sorted(missing)}"
                    )
            case "failed":
                if max(job.failed.values(), default=0) < job.max_attempts:
                    self.record_violation("FALSE FAILURE", f"{job.id} failed after {job.failed}")
            case _:
                pass

    def connection_lost(
        self, host: str, sent_at: float, job: JobEntry, *, starts_before: int
    ) -> None:
        """Check a connection that a host closed without a response, though it was running when the
        request was sent.

        :param starts_before: runs of the job's tasks started before the request was sent.
        """
        now = time.monotonic()
        term_at = self.term_at.get(host)
        if (
            term_at is None
            or now - term_at > GRACE_S + 1.0
            or not self.fault_tracker.is_fault_free_since(sent_at)
        ):
            return
        reached_at = self.reached_at.get(job.id, 0.0)
        if reached_at < sent_at:
            # The host closed an idle connection before the request reached it.
            return
        if now - reached_at <= LOSS_SLACK_S and job.starts == starts_before:
            return
        if sent_at - term_at <= LATE_IN_GRACE_S and now - term_at >= GRACE_S * 5 / 6:
            return
        self.record_violation(
            "LOST", f"{job.id} sent {sent_at - term_at:.2f} s after SIGTERM of {host}"
        )

    def check_refusals(self) -> None:
        """Check after the run that no job whose attempts were all refused has run."""
        for job in self.job_by_id.values():
            if job.starts and job.attempts and set(job.attempts) <= {"refused"}:
                self.record_violation("REFUSED", f"{job.id} was refused and has run")


def _split(task: str) -> tuple[str, int, int, int]:
    job, occurrence, step, index = task.rsplit(".", 3)
    return job, int(occurrence), int(step), int(index)
