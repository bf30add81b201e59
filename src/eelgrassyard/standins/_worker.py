"""Stand-in for a guarded worker, which enforces leases, fences and its capacity itself."""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from ._asgi import JsonApplication, StandInRequest, StandInResponse
from ._runner import LEAVING, NOT_STARTED, UpstreamFaults
from ._work import Work, parse_work

LEASE_CHECK_S = 0.1
"""Longest time between checks of a task's lease."""

USAGE_SAMPLES = 600
"""Usage reports that are kept, for the lag."""


@dataclass(slots=True, kw_only=True)
class RunningTask:
    """A task that has started.

    :param lease_until: time at which the lease lapses.
    :param remaining_s: remaining work, as run time in seconds at speed 1.0.
    :param rate: speed of the task relative to the worker's; lower while it is throttled.
    :param ended: why the task was ended early, or None.
    :param changed: set when a control call changes the task.
    """

    kind: str
    cores: float
    memory_mb: int
    accelerators: int
    lease_until: float
    work: Work
    remaining_s: float
    rate: float = 1.0
    paused: bool = False
    ended: str | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wake the task up after a change of ``rate``, ``paused`` or ``ended``."""
        self.changed.set()
        self.changed = anyio.Event()


class WorkerStandIn(JsonApplication):
    """Runs tasks under leases, refuses repeated tasks and fenced owners, and counts starts.

    :param speed: 1.0 runs a task in its nominal time, 2.0 in half of it.
    :param usage_lag_s: seconds by which the usage report lags behind.
    :param usage_factor: memory that tasks use, as a multiple of what they declared.
    :param clock: seconds, for leases, run times and the usage lag.
    """

    def __init__(
        self,
        *,
        name: str,
        cores: float = 64.0,
        memory_mb: int = 131_072,
        accelerators: int = 0,
        speed: float = 1.0,
        usage_lag_s: float = 2.0,
        usage_factor: float = 1.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.name = name
        self.faults = UpstreamFaults()
        self.starts_by_task: Counter[str] = Counter()
        self.running_by_task: dict[str, RunningTask] = {}
        self._cores = cores
        self._memory_mb = memory_mb
        self._accelerators = accelerators
        self._speed = speed
        self._usage_lag_s = usage_lag_s
        self._usage_factor = usage_factor
        self._clock = clock
        self._newest_incarnation_by_owner: dict[str, int] = {}
        self._usage: deque[tuple[float, list[dict[str, Any]]]] = deque(maxlen=USAGE_SAMPLES)
        self.route("POST", r"/tasks", self._start)
        self.route("POST", r"/leases", self._renew)
        self.route(
            "POST",
            r"/tasks/(?P<task>.+)/(?P<control>stop|checkpoint|throttle|resume)",
            self._control,
        )
        self.route("GET", r"/usage", self._get_usage)
        self.route("GET", r"/counts", self._get_counts)
        self.route("POST", r"/faults", self._set_faults)

    async def _start(self, request: StandInRequest) -> StandInResponse:
        content = request.json()
        refusal = self._refuse_start(content)
        if refusal is not None:
            return refusal
        task_id = content["task"]
        work = parse_work(content["payload"])
        running = RunningTask(
            kind=content["kind"],
            cores=float(content["cores"]),
            memory_mb=int(content["memory_mb"]),
            accelerators=int(content["accelerators"]),
            lease_until=self._clock() + float(content["lease_s"]),
            work=work,
            remaining_s=work.nominal_s,
        )
        self.starts_by_task[task_id] += 1
        self.running_by_task[task_id] = running
        self._record_usage()
        try:
            return await self._run(task_id, running)
        finally:
            del self.running_by_task[task_id]
            self._record_usage()

    def _refuse_start(self, content: Any) -> StandInResponse | None:
        fence = content["fence"]
        newest = self._newest_incarnation_by_owner.get(fence["owner"], 0)
        if fence["incarnation"] < newest:
            return StandInResponse(status=409, content={"error": "fenced"})
        self._newest_incarnation_by_owner[fence["owner"]] = fence["incarnation"]
        if content["task"] in self.starts_by_task:
            return StandInResponse(status=409, content={"error": "task already seen"})
        leaving = LEAVING if self.faults.leaving else {}
        if self.faults.leaving or not self._has_capacity(content):
            return StandInResponse(
                status=503, content={"error": "no room"}, headers={**NOT_STARTED, **leaving}
            )
        return None

    def _has_capacity(self, content: Any) -> bool:
        running = self.running_by_task.values()
        return (
            sum(task.cores for task in running if not task.paused) + float(content["cores"])
            <= self._cores
            and sum(task.memory_mb for task in running) + int(content["memory_mb"])
            <= self._memory_mb
            and sum(task.accelerators for task in running) + int(content["accelerators"])
            <= self._accelerators
        )

    async def _run(self, task_id: str, running: RunningTask) -> StandInResponse:
        if self.faults.fail or running.work.fail:
            return StandInResponse(status=500, content={"error": "the task failed"})
        while running.remaining_s > 0 and running.ended is None:
            await self._run_step(running)
        if running.ended is not None:
            return StandInResponse(status=500, content={"error": running.ended})
        headers = LEAVING if self.faults.leaving else {}
        result = {"task": task_id, "worker": self.name, "answer": running.work.answer}
        return StandInResponse(content=result, headers=headers)

    async def _run_step(self, running: RunningTask) -> None:
        """Work until the task is done, a control call changes it, or its lease must be checked."""
        stopped = running.paused or self.faults.stall
        rate = 0.0 if stopped else self._speed * running.rate / self.faults.slow_factor
        step_s = min(running.remaining_s / rate, LEASE_CHECK_S) if rate else LEASE_CHECK_S
        started = self._clock()
        with anyio.move_on_after(step_s):
            await running.changed.wait()
        running.remaining_s -= (self._clock() - started) * rate
        if self._clock() > running.lease_until:
            running.ended = "lease lapsed"

    async def _renew(self, request: StandInRequest) -> StandInResponse:
        content = request.json()
        unknown = []
        for task_id in content["tasks"]:
            running = self.running_by_task.get(task_id)
            if running is None:
                unknown.append(task_id)
            else:
                running.lease_until = self._clock() + float(content["lease_s"])
        return StandInResponse(content={"unknown": unknown})

    async def _control(self, request: StandInRequest) -> StandInResponse:
        running = self.running_by_task.get(request.groups["task"])
        if running is None:
            return StandInResponse(status=404, content={"error": "no such task"})
        match request.groups["control"]:
            case "stop":
                running.ended = "stopped"
            case "checkpoint":
                running.paused = True
            case "throttle":
                running.rate = 0.25
            case "resume":
                running.paused = False
                running.rate = 1.0
        running.wake()
        return StandInResponse(content={})

    def _record_usage(self) -> None:
        tasks = [
            {
                "task": task_id,
                "kind": task.kind,
                "cores": task.cores,
                "memory_mb": int(task.memory_mb * self._usage_factor),
            }
            for task_id, task in self.running_by_task.items()
        ]
        self._usage.append((self._clock(), tasks))

    async def _get_usage(self, request: StandInRequest) -> StandInResponse:
        visible_at = self._clock() - self._usage_lag_s
        tasks: list[dict[str, Any]] = []
        for noted_at, sample in self._usage:
            if noted_at > visible_at:
                break
            tasks = sample
        return StandInResponse(content={"tasks": tasks})

    async def _get_counts(self, request: StandInRequest) -> StandInResponse:
        return StandInResponse(content=dict(self.starts_by_task))

    async def _set_faults(self, request: StandInRequest) -> StandInResponse:
        self.faults = UpstreamFaults(**request.json())
        return StandInResponse(content={})
