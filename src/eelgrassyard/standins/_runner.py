"""Stand-in for a runner of a service."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import anyio

from ._asgi import JsonApplication, StandInRequest, StandInResponse
from ._work import parse_work

NOT_STARTED = {"Eelgrassyard-Not-Started": "1"}
"""Header of a refusal that assures the caller that the task was not started."""

LEAVING = {"Eelgrassyard-Leaving": "1"}
"""Header of an upstream in a planned stop."""


@dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Faults that a runner or worker injects.

    :param fail: fail every task at once.
    :param stall: make no progress on tasks.
    :param slow_factor: multiplies run times.
    :param leaving: refuse new tasks, and tell the caller that the upstream is leaving.
    """

    fail: bool = False
    stall: bool = False
    slow_factor: float = 1.0
    leaving: bool = False


class RunnerStandIn(JsonApplication):
    """Runs tasks in a fixed number of slots and counts the starts of each task.

    :param speed: 1.0 runs a task in its nominal time, 2.0 in half of it.
    """

    def __init__(self, *, name: str, slots: int = 8, speed: float = 1.0) -> None:
        super().__init__()
        self.name = name
        self.faults = UpstreamFaults()
        self.starts_by_task: Counter[str] = Counter()
        self._slots = slots
        self._speed = speed
        self._in_use = 0
        self.route("POST", r"/run/(?P<kind>[^/]+)", self._run)
        self.route("GET", r"/counts", self._get_counts)
        self.route("POST", r"/faults", self._set_faults)

    async def _run(self, request: StandInRequest) -> StandInResponse:
        leaving = LEAVING if self.faults.leaving else {}
        if self.faults.leaving or self._in_use >= self._slots:
            return StandInResponse(
                status=503, content={"error": "no free slot"}, headers={**NOT_STARTED, **leaving}
            )
        task = request.headers["eelgrassyard-task"]
        self.starts_by_task[task] += 1
        self._in_use += 1
        try:
            return await self._run_accepted(request, task)
        finally:
            self._in_use -= 1

    async def _run_accepted(self, request: StandInRequest, task: str) -> StandInResponse:
        work = parse_work(request.json())
        if self.faults.fail or work.fail:
            return StandInResponse(status=500, content={"error": "the task failed"})
        if self.faults.stall:
            await anyio.sleep_forever()
        await anyio.sleep(work.nominal_s * self.faults.slow_factor / self._speed)
        headers = LEAVING if self.faults.leaving else {}
        result = {"task": task, "runner": self.name, "answer": work.answer}
        return StandInResponse(content=result, headers=headers)

    async def _get_counts(self, request: StandInRequest) -> StandInResponse:
        return StandInResponse(content=dict(self.starts_by_task))

    async def _set_faults(self, request: StandInRequest) -> StandInResponse:
        self.faults = UpstreamFaults(**request.json())
        return StandInResponse(content={})
