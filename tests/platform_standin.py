"""Stand-in of a worker that uses the platform's protocol on loopback, and a configuration."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from eelgrassyard.net import Exchange, HttpServer


class StandinWorker:
    """Accepts each start, and ends the run after ``work_s``.

    :ivar refuse: status and body with which all calls are refused, or None.
    :ivar leases_ms: how long each lease was to last that a start or a poll asked for, by the clock
        of the process that received it.
    """

    def __init__(self, *, worker_id: str, work_s: float = 0.02) -> None:
        self.worker_id = worker_id
        self.work_s = work_s
        self.fence = 0
        self.refuse: tuple[int, dict[str, Any]] | None = None
        self.starts: list[dict[str, Any]] = []
        self.stops: list[dict[str, Any]] = []
        self.polls: list[dict[str, Any]] = []
        self.running: dict[str, dict[str, Any]] = {}
        self.finished: list[list[Any]] = []
        self.last_number = 0
        self.leases_ms: list[float] = []
        self.born = 1700000000000
        self._clock_zero_ms = 0.0
        self._waiting: list[Exchange] = []
        self.server = HttpServer(handler=self.handle)

    def entry(self, address: str, domain: str, service: str) -> bytes:
        """Return the worker's entry in the store."""
        return json.dumps(
            {
                "service": service,
                "address": address,
                "zone": domain,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
                "labels": ["a", "r1-3"],
                "clock_ms": 482113,
                "seq": 4,
            }
        ).encode()

    def crash(self) -> None:
        """Break all connections and accept no more, as a process that is killed."""
        self.server.close()
        for connection in list(self.server.connections):
            connection.abort()

    async def restart(self, address: str) -> None:
        """Crash, and start another process under the same id, whose clock and counts start anew."""
        self.crash()
        self.fence = self.last_number = 0
        self.running.clear()
        self.finished.clear()
        self._waiting.clear()
        self.born += 5000
        self._clock_zero_ms = asyncio.get_running_loop().time() * 1000.0
        self.server = HttpServer(handler=self.handle)
        await self.server.listen(address)

    def clock_ms(self) -> float:
        """Return the worker's monotonic clock."""
        return asyncio.get_running_loop().time() * 1000.0 - self._clock_zero_ms

    def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        request = exchange.request
        if request.headers.get("x-expect-instance", self.worker_id) != self.worker_id:
            _respond(exchange, 421, {})
            return
        if self.refuse is not None:
            _respond(exchange, self.refuse[0], {"clock_ms": self.clock_ms(), **self.refuse[1]})
            return
        body = json.loads(request.body)
        if body["fence"] < self.fence:
            _respond(exchange, 409, {"clock_ms": self.clock_ms(), "reason": "fence"})
            return
        self.fence = body["fence"]
        if body.get("deadline_ms") is not None:
            self.leases_ms.append(body["deadline_ms"] - self.clock_ms())
        match request.path:
            case "/api/run-start":
                self.starts.append(body)
                self.running[body["task"]] = body
                asyncio.get_running_loop().call_later(self.work_s, self._end, body, "done")
                _respond(exchange, 200, {"clock_ms": self.clock_ms()})
            case "/api/run-stop":
                self.stops.append(body)
                if body["task"] in self.running:
                    self._end(body, "stopped")
                _respond(exchange, 200, {"clock_ms": self.clock_ms()})
            case "/api/hold":
                self.polls.append(body)
                acknowledged = body["acked_up_to"]
                self.finished = [row for row in self.finished if row[0] > acknowledged]
                if self.finished or not body.get("wait_ms"):
                    self._report(exchange)
                else:
                    self._waiting.append(exchange)
                    wait_s = body["wait_ms"] / 1000.0
                    asyncio.get_running_loop().call_later(wait_s, self._report, exchange)

    def _end(self, body: dict[str, Any], how: str) -> None:
        if self.running.get(body["task"], {}).get("run") != body["run"]:
            return
        del self.running[body["task"]]
        self.last_number += 1
        self.finished.append([self.last_number, body["task"], body["run"], how, ""])
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            self._report(exchange)

    def _report(self, exchange: Exchange) -> None:
        _respond(
            exchange,
            200,
            {
                "clock_ms": self.clock_ms(),
                "born": self.born,
                "running": [[task, row["run"], "", 50] for task, row in self.running.items()],
                "finished": self.finished,
            },
        )


def config(*, version: int = 7, service: str = "svc") -> bytes:
    """Return a configuration with two routes."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "host": "nony24.example",
                    "prefix": "/lohu930/",
                    "kind": "unsafe",
                    "timeout_ms": 1500,
                    "target_duration_ms": 60,
                    "priority": 0,
                    "service": service,
                    "max_attempts": 3,
                    "stretch": 1.6,
                },
                {
                    "name": "r-2",
                    "host": "nony24.example",
                    "prefix": "/lohu930/deep/",
                    "service": service,
                },
            ],
            "services": [{"name": service, "enforces_capacity": True}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
    ).encode()


def _respond(exchange: Exchange, status: int, body: dict[str, Any]) -> None:
    exchange.respond(status, json.dumps(body).encode())
