"""Record of what clients sent and were answered, and of what runners ran."""

from __future__ import annotations

import pathlib
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """One step of a job, with the real run time of its tasks on a runner of speed 1."""

    count: int
    work_s: float
    estimate_ms: int
    cpu: int = 1000
    after: tuple[int, ...] = ()
    max_per_server: int = 0

    def body(self) -> dict[str, object]:
        """The step as a client sends it; fields that are 0 or empty are omitted."""
        fields = {
            "count": self.count,
            "cpu": self.cpu,
            "mem_mb": 64,
            "estimate_ms": self.estimate_ms,
            "after": list(self.after),
            "max_per_server": self.max_per_server,
        }
        return {name: value for name, value in fields.items() if value}


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A job of a client."""

    id: str
    phases: tuple[Phase, ...]

    @property
    def spec(self) -> str:
        """Text that runners must be told with each of its tasks."""
        return f"ledger {self.id}"

    def body(self) -> dict[str, object]:
        """The job as a client sends it."""
        return {
            "spec": self.spec,
            "phases": [phase.body() for phase in self.phases],
            "best_effort": True,
        }


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a task on a runner; times are seconds since the start of the record."""

    worker: str
    task: str
    number: int
    began: float
    ended: float | None = None
    how: str = ""

    @property
    def job_id(self) -> str:
        """Id of its job."""
        return self.task.split(".")[0]

    @property
    def step(self) -> str:
        """Job, occurrence and step of its task."""
        return self.task.rpartition(".")[0]

    def is_alive_at(self, moment: float) -> bool:
        """Tell whether the run was in progress at a moment."""
        return self.began <= moment and (self.ended is None or self.ended > moment)


class Record:
    """Writes ``record.txt``, and keeps the runs for the checks at the end.

    It has the methods that the runners of ``soak`` report to.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.runs: list[Run] = []
        self.job_by_id: dict[str, Job] = {}

    def now(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    # --- called by runners ---

    def work_of(self, task: str) -> tuple[float, int, bool]:
        """Run time of a task at speed 1, its cpu, and whether it fails."""
        job_id, _, step, _ = task.split(".")
        phase = self.job_by_id[job_id].phases[int(step)]
        return phase.work_s, phase.cpu, False

    def run_began(self, worker: str, task: str, run: int, spec: str, *, draining: bool) -> None:
        """Record the start of a run."""
        self.runs.append(Run(worker=worker, task=task, number=run, began=self.now()))
        others = [
            f"run {other.number} on {other.worker}"
            for other in self.runs[:-1]
            if other.task == task and other.ended is None
        ]
        beside = f", beside {', '.join(others)}" if others else ""
        self.write(f"runner {worker} starts {task} run {run}{beside}")
        if self.job_by_id[task.split(".")[0]].spec != spec:
            self.write(f"runner {worker} was told another spec for {task}: {spec!r}")

    def run_over(self, worker: str, task: str, run: int, how: str) -> None:
        """Record the end of a run."""
        for known in self.runs:
            same = (known.worker, known.task, known.number) == (worker, task, run)
            if same and known.ended is None:
                known.ended, known.how = self.now(), how
        self.write(f"runner {worker} ends {task} run {run}: {how}")

    def record_violation(self, promise: str, text: str) -> None:
        """Record what a runner finds wrong by itself."""
        self.write(f"runner notes {promise}: {text}")

    # --- checks ---

    def runs_at_the_same_time(self) -> list[tuple[Run, Run]]:
        """Pairs of runs of one task that were in progress at the same time."""
        pairs = []
        for number, run in enumerate(self.runs):
            for earlier in self.runs[:number]:
                if earlier.task == run.task and earlier.is_alive_at(run.began):
                    pairs.append((earlier, run))
        return pairs
