"""Stand-in of a worker with one lease and one fence for all runs, its own clock and faults."""

from __future__ import annotations

import asyncio
import enum
import json
import random
import time
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from eelgrassyard.net import Exchange, HttpServer, ServerLimits

from ._ledger import Ledger

HOLD_MAX_MS = 1000.0
STOP_S = 0.05
LISTED_ENDS = 500
LATE_ORDER_S = (2.0, 6.0)
"""Range of the delay of an order that gets no response, from the platform's description."""


class WorkerFault(enum.Enum):
    """Fault that a worker injects into orders and runs."""

    FAIL = enum.auto()
    """Runs fail at once."""
    HANG = enum.auto()
    """Runs make no progress."""
    BUSY = enum.auto()
    """Orders are refused with 503."""
    MUTE = enum.auto()
    """Orders are carried out but get no response."""
    LATE = enum.auto()
    """Orders get no response and are carried out seconds later."""
    SLOW = enum.auto()
    """Runs take five times as long."""


SLOW_FACTOR = 5.0


@dataclass(slots=True, kw_only=True)
class _Run:
    task: str
    number: int
    spec: str
    began: float
    work_s: float
    cpu: int
    end: str
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class StandinWorker:
    """A worker that follows the platform's description of the protocol.

    :param clock_rate: rate of its monotonic clock; 0.98 is 2% slow.
    :param slowness: run time as a multiple of the work.
    :param fault_share: share of the orders and runs that the fault affects.
    :param life: number of its current id; restarts under the same id keep it.
    """

    name: str
    domain: str
    service: str
    rack: str
    cpu: int
    memory_mb: int
    ledger: Ledger
    random: random.Random
    clock_rate: float = 1.0
    slowness: float = 1.0
    fault: WorkerFault | None = None
    fault_share: float = 1.0
    up: bool = True
    draining: bool = False
    life: int = 0
    born_ms: int = 0
    clock_zero: float = 0.0
    clock_offset_ms: float = 0.0
    fence: int = 0
    deadline_ms: float = 0.0
    numbers: int = 0
    room: int = 0
    seq: int = 0
    lapse_timer: asyncio.TimerHandle | None = None
    running: dict[str, _Run] = field(default_factory=dict)
    highest_run: dict[str, int] = field(default_factory=dict)
    finished: list[list[Any]] = field(default_factory=list)
    waiting: list[Exchange] = field(default_factory=list)
    http: HttpServer | None = None

    @property
    def id(self) -> str:
        """Id of the worker: its name and the number of its life."""
        return f"{self.name}-{self.life}"

    def begin(self, *, new_id: bool) -> None:
        """Start without the state of the previous process."""
        if new_id:
            self.life += 1
        self.up, self.draining = True, False
        self.born_ms = int(time.time() * 1000)
        self.clock_zero = _now()
        self.clock_offset_ms = self.random.uniform(1e3, 1e7)
        self.fence = self.numbers = self.seq = 0
        self.deadline_ms = 0.0
        self.room = self.cpu
        self.finished.clear()
        self.highest_run.clear()

    def crash(self) -> None:
        """Stop at once: lose all runs and connections, and answer no calls."""
        self.up = False
        if self.http is not None:
            for connection in list(self.http.connections):
                connection.abort()
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
            self.ledger.run_over(self.name, run.task, run.number, "crashed")
        self.running.clear()
        self.waiting.clear()
        if self.lapse_timer is not None:
            self.lapse_timer.cancel()

    def entry(self, address: str) -> bytes:
        """Return its entry in the store."""
        self.seq += 1
        return json.dumps(
            {
                "service": self.service,
                "address": address,
                "zone": self.domain,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.memory_mb, "gpu": 0},
                "labels": ["a", self.rack],
                "born": self.born_ms,
                "clock_ms": int(self.clock_ms()),
                "seq": self.seq,
            }
        ).encode()

    def clock_ms(self) -> float:
        """Return its monotonic clock."""
        return self.clock_offset_ms + (_now() - self.clock_zero) * 1000.0 * self.clock_rate

    def latest_start(self) -> float:
        """Return when the latest of its runs began, or 0 if it has not several."""
        begun = [run.began for run in self.running.values()]
        return max(begun) if len(begun) > 1 else 0.0

    def server(self) -> HttpServer:
        """Return a server for its calls, which all of its processes use one after the other."""
        self.http = HttpServer(handler=self.handle, limits=ServerLimits(idle_s=600.0))
        return self.http

    # --- calls ---

    def handle(self, exchange: Exchange) -> None:
        """Handle a call, subject to the fault."""
        if not self.up:
            exchange.abort()
            return
        request = exchange.request
        body = json.loads(request.body)
        expected = request.headers.get("x-expect-instance", self.id)
        affected = self.fault is not None and self.random.random() < self.fault_share
        is_order = request.path != "/api/hold"
        carry_out = partial(self._call, request.path, expected, body, self.born_ms)
        match self.fault:
            case WorkerFault.BUSY if affected and is_order:
                self._respond(exchange, 503, {})
            case WorkerFault.MUTE if affected and is_order:
                carry_out(None)
            case WorkerFault.LATE if affected and is_order:
                delay_s = self.random.uniform(*LATE_ORDER_S)
                asyncio.get_running_loop().call_later(delay_s, carry_out, None)
            case _:
                carry_out(exchange)

    def _call(
        self, path: str, expected: str, body: dict[str, Any], born: int, exchange: Exchange | None
    ) -> None:
        if not self.up or born != self.born_ms:
            return
        if expected != self.id:
            self._respond(exchange, 421, {})
            return
        if body.get("fence", 0) < self.fence:
            self._respond(exchange, 409, {"reason": "fence"})
            return
        self.fence = body.get("fence", 0)
        match path:
            case "/api/run-start":
                self._start(exchange, body)
            case "/api/run-stop":
                self._stop(exchange, body)
            case "/api/hold":
                self._hold(exchange, body)
            case _:
                self._respond(exchange, 400, {})

    def _renew(self, deadline_ms: float) -> None:
        longest = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))
        if self.lapse_timer is not None:
            self.lapse_timer.cancel()
        left_s = (self.deadline_ms - self.clock_ms()) / 1000.0 / self.clock_rate
        loop = asyncio.get_running_loop()
        self.lapse_timer = loop.call_later(max(0.0, left_s), self._lapse)

    def _lapse(self) -> None:
        for run in list(self.running.values()):
            self._end(run, "lapsed")

    def _start(self, exchange: Exchange | None, body: dict[str, Any]) -> None:
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            self._renew(body["deadline_ms"])
            self._respond(exchange, 200, {})
            return
        if body["deadline_ms"] <= self.clock_ms():
            self._respond(exchange, 409, {"reason": "late"})
            return
        self._renew(body["deadline_ms"])
        if number <= self.highest_run.get(task, 0) or (known and number < known.number):
            self._respond(exchange, 409, {"reason": "old"})
            return
        work_s, cpu, fails = self.ledger.work_of(task)
        if known is not None:
            self.ledger.record_violation(
                "TWICE", f"{task} run {number} beside {known.number} on {self.name}"
            )
        if cpu > self.room or known is not None:
            self._respond(exchange, 409, {"reason": "room"})
            return
        self._begin_run(body, work_s, cpu, fails)
        self._respond(exchange, 200, {})

    def _begin_run(self, body: dict[str, Any], work_s: float, cpu: int, fails: bool) -> None:
        run = _Run(
            task=body["task"],
            number=body["run"],
            spec=body["spec"],
            began=_now(),
            work_s=work_s * self.slowness,
            cpu=cpu,
            end="failed" if fails else "done",
        )
        self.running[run.task] = run
        self.room -= cpu
        self.ledger.run_began(self.name, run.task, run.number, run.spec, draining=self.draining)
        affected = self.random.random() < self.fault_share
        match self.fault:
            case WorkerFault.FAIL if affected:
                run.end, run.work_s = "failed", 0.001
            case WorkerFault.HANG if affected:
                return
            case WorkerFault.SLOW if affected:
                run.work_s *= SLOW_FACTOR
            case _:
                pass
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_s, lambda: self._end(run, run.end))

    def _stop(self, exchange: Exchange | None, body: dict[str, Any]) -> None:
        task, number = body["task"], body["run"]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            run.stopping = True
            delay_s = self.random.uniform(0.0, STOP_S)
            asyncio.get_running_loop().call_later(delay_s, lambda: self._end(run, "stopped"))
        self.highest_run[task] = max(number, self.highest_run.get(task, 0))
        self._respond(exchange, 200, {})

    def _end(self, run: _Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.room += run.cpu
        self.highest_run[run.task] = max(run.number, self.highest_run.get(run.task, 0))
        self.numbers += 1
        self.finished.append([self.numbers, run.task, run.number, how, ""])
        self.ledger.run_over(self.name, run.task, run.number, how)
        waiting, self.waiting = self.waiting, []
        for exchange in waiting:
            self._report(exchange)

    def _hold(self, exchange: Exchange | None, body: dict[str, Any]) -> None:
        acknowledged = body["acked_up_to"]
        self.finished = [row for row in self.finished if row[0] > acknowledged]
        if body.get("deadline_ms") is not None:
            self._renew(body["deadline_ms"])
        if self.finished or not body.get("wait_ms") or exchange is None:
            self._report(exchange)
            return
        self.waiting.append(exchange)

        def expire() -> None:
            if exchange in self.waiting:
                self.waiting.remove(exchange)
                self._report(exchange)

        asyncio.get_running_loop().call_later(body["wait_ms"] / 1000.0, expire)

    def _report(self, exchange: Exchange | None) -> None:
        running = []
        for run in self.running.values():
            done = 0.0 if run.timer is None else (_now() - run.began) / run.work_s
            running.append([run.task, run.number, "", int(100 * min(1.0, done)), run.cpu])
        report = {"running": running, "finished": self.finished[:LISTED_ENDS]}
        self._respond(exchange, 200, report)

    def _respond(self, exchange: Exchange | None, status: int, body: dict[str, Any]) -> None:
        if exchange is not None and self.up:
            body = {"clock_ms": int(self.clock_ms()), "born": self.born_ms, **body}
            exchange.respond(status, json.dumps(body).encode())


def _now() -> float:
    return asyncio.get_running_loop().time()
