"""Fakes for tests of the command-line tool: a key-value store, hosts, and a clock."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import httpx


@dataclass(kw_only=True)
class FakeStore:
    """Key-value service with compare-and-swap.

    :param faults: for each write to come, ``ok``, ``lost`` (takes effect, no answer), ``dropped``
        (no effect, no answer), ``refused`` (cannot connect) or ``error`` (503, no effect); after
        the last one every write is answered.
    :param read_faults: for each read to come, whether it fails.
    :param before_write: called before each write takes effect, for racing writers.
    """

    value: str | None = None
    revision: int = 0
    faults: list[str] = field(default_factory=list)
    read_faults: list[bool] = field(default_factory=list)
    before_write: Callable[[FakeStore, int], None] = lambda store, number: None
    after_write: Callable[[FakeStore, int], None] = lambda store, number: None
    writes: int = 0
    calls: int = 0

    def put(self, value: str) -> None:
        """Write as another operator would."""
        self.value = value
        self.revision += 1

    def transport(self) -> httpx.MockTransport:
        return httpx.MockTransport(self._respond)

    def _respond(self, request: httpx.Request) -> httpx.Response:
        self.calls += 1
        assert request.url.path == "/kv/eelgrassyard/config"
        if request.method == "GET":
            return self._get()
        return self._put(request)

    def _get(self) -> httpx.Response:
        if self.read_faults and self.read_faults.pop(0):
            raise httpx.ReadTimeout("no answer")
        if self.value is None:
            return httpx.Response(404, json={"error": "no such key"})
        return httpx.Response(200, json={"value": self.value, "revision": self.revision})

    def _put(self, request: httpx.Request) -> httpx.Response:
        fault = self.faults.pop(0) if self.faults else "ok"
        number = self.writes
        self.writes += 1
        self.before_write(self, number)
        match fault:
            case "refused":
                raise httpx.ConnectError("refused")
            case "dropped":
                raise httpx.ReadTimeout("no answer")
            case "error":
                return httpx.Response(503, json={"error": "down"})
        content = json.loads(request.content)
        if content["expect"] != self.revision:
            response = httpx.Response(409, json={"error": "conflict"})
        else:
            self.put(content["value"])
            response = httpx.Response(200, json={"revision": self.revision})
        self.after_write(self, number)
        if fault == "lost":
            raise httpx.ReadError("answer lost")
        return response


@dataclass(kw_only=True)
class FakeClock:
    """Virtual clock in seconds; sleeping advances it."""

    now: float = 0.0

    def __call__(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


@dataclass(kw_only=True)
class FakeSite:
    """Hosts that issue ids and answer submissions from a script.

    :param script: for each submission call to come, a response or an exception.
    """

    clock: FakeClock
    script: list[httpx.Response | Exception] = field(default_factory=list)
    calls: list[tuple[str, str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    issued: int = 0
    id_calls: int = 0
    id_faults: list[httpx.Response | Exception] = field(default_factory=list)

    def transport(self) -> httpx.MockTransport:
        return httpx.MockTransport(self._respond)

    def _respond(self, request: httpx.Request) -> httpx.Response:
        assert request.headers["Authorization"] == "Bearer secret"
        if request.url.path == "/v1/ids":
            return self._issue(request)
        submission_id = request.url.path.removeprefix("/v1/submissions/")
        self.calls.append((request.method, request.url.host, submission_id))
        if request.method == "PUT":
            self.bodies.append(request.content)
        self.clock.now += 0.01
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def _issue(self, request: httpx.Request) -> httpx.Response:
        if self.id_faults:
            fault = self.id_faults.pop(0)
            if isinstance(fault, Exception):
                raise fault
            return fault
        self.id_calls += 1
        count = json.loads(request.content)["count"]
        ids = [f"id{self.issued + index}" for index in range(count)]
        self.issued += count
        return httpx.Response(201, json={"ids": ids, "expires_s": 600})


def outcome(
    kind: str, status: int, *, reason: str = "", retry_after_s: int | None = None, **fields: object
) -> httpx.Response:
    """Answer with an outcome, as the daemon writes it."""
    headers = {} if retry_after_s is None else {"Retry-After": str(retry_after_s)}
    body: dict[str, object] = {"id": "x", "state": kind, **fields}
    if kind != "complete":
        body["error"] = {"code": reason or kind, "message": "", "step": "submission", "peer": ""}
    return httpx.Response(status, json=body, headers=headers)


def refusal(code: str, status: int, retry_after_s: int | None = None) -> httpx.Response:
    """Refusal of a call; it does not report an outcome."""
    headers = {} if retry_after_s is None else {"Retry-After": str(retry_after_s)}
    error = {"code": code, "message": "m", "step": "core", "peer": ""}
    return httpx.Response(status, json={"error": error}, headers=headers)
