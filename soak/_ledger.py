"""What callers sent and were told, what workers ran, and the promises that tie the two."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

CONTACT_S = 3.0
"""Promises with a time bound hold after so long without an unplanned fault (users' bounds)."""

DRAIN_S = 2.0
"""A draining worker gets no work later than this after the store took note (users' bounds)."""

CONFIG_S = 2.0
"""A configuration is in force everywhere after this (users' bounds)."""

LOSS_SLACK_S = 0.2
GRACE_S = 6.0
"""Time between SIGTERM and SIGKILL (users' bounds)."""

LATE_IN_GRACE_S = 3.0
"""A request sent up to this long after SIGTERM may be cut in the last sixth of the grace if its
task is still at work (users' page of rules)."""

DEFAULT_WORK_S = 0.1


@dataclass(slots=True, kw_only=True)
class JobEntry:
    """One job of a caller.

    :param work_s: run time of each task on a worker of speed 1, by step.
    :param attempts: what each attempt was told; "open" while it waits.
    :param fails: task that fails whenever it runs, or empty.
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
    """How long the site has been without an unplanned fault.

    :param timed: whether promises with a time bound are checked at all. Without, the verdict does
        not depend on how fast the machine is.
    """

    def __init__(self, *, timed: bool) -> None:
        self.active = 0
        self._timed = timed
        self.ended_at = time.monotonic()

    def began(self) -> None:
        """An unplanned fault begins."""
        self.active += 1

    def ended(self) -> None:
        """An unplanned fault is undone."""
        self.active -= 1
        self.ended_at = time.monotonic()

    def is_fault_free_since(self, moment: float) -> bool:
        """Tell whether the site is calm, and was at an earlier moment."""
        return self._timed and not self.active and moment - self.ended_at >= CONTACT_S


class Ledger:
    """Checks each promise as things happen; :attr:`broken` lists what did not hold."""

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
        """Note a promise that did not hold."""
        self.violations.append(f"{promise} at {time.time():.3f}: {text}")

    def count(self, name: str) -> None:
        """Count one event."""
        self.counts[name] = self.counts.get(name, 0) + 1

    # --- workers ---

    def work_of(self, task: str) -> tuple[float, int, bool]:
        """Run time at speed 1, processor need, and whether the task fails by its own fault."""
        job_id, _, step, _ = _split(task)
        job = self.job_by_id.get(job_id)
        if job is None or step >= len(job.work_s):
            return DEFAULT_WORK_S, 0, False
        return job.work_s[step], job.cpu, task == job.fails

    def run_began(self, worker: str, task: str, run: int, spec: str, *, draining: bool) -> None:
        """A worker has begun a run."""
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
        """A run is over."""
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
        """The request of a job is on its way into the process of a host."""
        self.reached_at[job_id] = time.monotonic()

    def attempt_ended(self, job: JobEntry, attempt: int, outcome: str) -> None:
        """An attempt has ended."""
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
        """A host that ran when a request was sent has ended the connection without an answer.

        :param starts_before: runs of the job's tasks when the request was sent.
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
            # The host closed an idle connection before the request got there.
            return
        if now - reached_at <= LOSS_SLACK_S and job.starts == starts_before:
            return
        if sent_at - term_at <= LATE_IN_GRACE_S and now - term_at >= GRACE_S * 5 / 6:
            return
        self.record_violation(
            "LOST", f"{job.id} sent {sent_at - term_at:.2f} s after SIGTERM of {host}"
        )

    def check_refusals(self) -> None:
        """After the run: a job whose attempts were all refused has not run."""
        for job in self.job_by_id.values():
            if job.starts and job.attempts and set(job.attempts) <= {"refused"}:
                self.record_violation("REFUSED", f"{job.id} was refused and has run")


def _split(task: str) -> tuple[str, int, int, int]:
    job, occurrence, step, index = task.rsplit(".", 3)
    return job, int(occurrence), int(step), int(index)
