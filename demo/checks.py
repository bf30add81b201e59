"""Checks and summary of the demo: outcomes, starts, answers and response times."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from eelgrassyard.cli import State, SubmissionAnswer
from eelgrassyard.standins import digest


@dataclass(frozen=True, kw_only=True)
class SubmissionRecord:
    """One submission of the demo with its answer.

    :param ideal_s: run time of its longest task on the fastest upstream.
    """

    caller: str
    body: Mapping[str, Any]
    answer: SubmissionAnswer
    seconds: float
    ideal_s: float


@dataclass(kw_only=True)
class Report:
    """Collects the submissions and the broken promises.

    :param runs: submissions that have been answered.
    :param broken: names of the broken promises, with details.
    :param not_run_ids: ids that the client has reported as *not run*.
    """

    runs: list[SubmissionRecord] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    not_run_ids: set[str] = field(default_factory=set)

    def require(self, holds: bool, promise: str) -> None:
        """Record a promise as broken unless it holds."""
        if not holds:
            self.broken.append(promise)

    def note_progress(self, answer: SubmissionAnswer) -> None:
        """Record an id that was reported as *not run* before a resubmission under a new id."""
        if answer.state is State.NOT_RUN:
            self.not_run_ids.add(answer.submission_id)

    def check_answers(self) -> None:
        """Check that complete answers hold the results of their tasks, and failed ones none."""
        for run in self.runs:
            if run.answer.state is State.COMPLETE:
                self.require(
                    results_match_tasks(run), f"whole own answer: {run.answer.submission_id}"
                )
            elif run.answer.state is State.FAILED:
                self.require(not run.answer.results, f"partial: {run.answer.submission_id}")

    def check_starts(self, starts_by_task: Counter[str], idempotent: Mapping[str, bool]) -> None:
        """Check that only idempotent tasks start twice, and none reported as *not run* at all."""
        run_by_id = {run.answer.submission_id: run for run in self.runs}
        self.not_run_ids |= {
            text for text, run in run_by_id.items() if run.answer.state is State.NOT_RUN
        }
        for task, starts in starts_by_task.items():
            text = task.rpartition("/")[0]
            self.require(text not in self.not_run_ids, f"told not run, yet started: {task}")
            run = run_by_id.get(text)
            once = starts <= 1 or (run is not None and idempotent[run.body["kind"]])
            self.require(once, f"at most once: {task} started {starts} times")

    def check_outcomes(self, killed: str) -> None:
        """Check that only submissions owned by the killed host are unknown, and none failed."""
        for run in self.runs:
            owner = run.answer.submission_id.partition(".")[0]
            state = run.answer.state
            expected = state in (State.COMPLETE, State.NOT_RUN) or (
                state is State.UNKNOWN and owner == killed
            )
            text = f"{state} ({run.answer.reason} {run.answer.message}) {run.answer.submission_id}"
            self.require(expected, f"unexpected outcome: {text}")

    def table(self, starts_by_task: Counter[str]) -> str:
        """Format the summary table."""
        states = Counter(run.answer.state for run in self.runs)
        complete = [run for run in self.runs if run.answer.state is State.COMPLETE]
        rows = [
            ("answers complete", str(states[State.COMPLETE])),
            ("answers failed", str(states[State.FAILED])),
            ("unknown", str(states[State.UNKNOWN])),
            ("refused (not run)", str(states[State.NOT_RUN])),
            ("ids told not run", str(len(self.not_run_ids))),
            ("starts per task, most", str(max(starts_by_task.values(), default=0))),
            ("tasks started", str(len(starts_by_task))),
        ]
        for name, share in (("50th", 0.50), ("99th", 0.99)):
            seconds = percentile([run.seconds for run in complete], share)
            ratio = percentile([run.seconds / run.ideal_s for run in complete], share)
            rows.append((f"response time, {name} percentile", f"{seconds * 1000:.0f} ms"))
            rows.append((f"  against the ideal, {name} percentile", f"{ratio:.2f}"))
        width = max(len(name) for name, _ in rows)
        return "\n".join(f"{name:<{width}}  {value:>8}" for name, value in rows)


def results_match_tasks(run: SubmissionRecord) -> bool:
    """Return whether the results are those of the tasks of the submission, in order."""
    tasks = run.body["tasks"]
    if len(run.answer.results) != len(tasks):
        return False
    return all(
        result["answer"] == digest(task["payload"])
        and result["task"] == f"{run.answer.submission_id}/{index}"
        for index, (task, result) in enumerate(zip(tasks, run.answer.results, strict=True))
    )


def percentile(values: Sequence[float], share: float) -> float:
    """Smallest value that is at least as high as ``share`` of all values; NaN for none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
