"""Stand-in of the platform's store with revisions, watches, leases and injected faults."""

from __future__ import annotations

import asyncio
import base64
import enum
import json
import random
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from eelgrassyard.net import Exchange, HttpServer, ServerLimits

EXPIRY_POLL_S = 0.1
LATE_WRITE_S = (1.0, 6.0)
"""Range of the delay of a write that gets no response, from the platform's page of faults."""

PAGE_BYTES = 1_000_000
"""Size of the values from which a page has no further item (users' page on the store)."""


class StoreFault(enum.Enum):
    """Fault that the store injects into the calls of some or all of its clients."""

    BUSY = enum.auto()
    THROTTLED = enum.auto()
    RESET = enum.auto()
    SILENT = enum.auto()
    SLOW = enum.auto()
    LOST = enum.auto()
    """Writes are carried out but get no response."""
    LATE = enum.auto()
    """Writes are carried out seconds later and get no response."""


@dataclass(slots=True, kw_only=True)
class _Lease:
    ttl_s: float
    ends_at: float


View = Callable[[str, str, bytes], bytes]


class StandinStore:
    """Keys with revisions, watches and leases.

    :param view: returns the value that a client reads, from the client, the key and the value.

    :ivar refuse: status with which all calls are refused, or 0.
    :ivar fault_by_client: fault of each client's calls; the empty name stands for all clients.
    """

    def __init__(self, *, view: View | None = None, seed: int = 0) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.first_event = 0
        self.leases: dict[int, _Lease] = {}
        self.refuse = 0
        self.calls: list[str] = []
        self.page = 500
        self.fault_by_client: dict[str, StoreFault] = {}
        self._view = view
        self._random = random.Random(seed)
        self._lease_numbers = 1000
        self._waiting: list[tuple[Exchange, str, str, int]] = []
        self.server = self.server_for("")

    def server_for(self, client: str) -> HttpServer:
        """Return a server for the calls of one client."""
        limits = ServerLimits(body_bytes=2_000_000, idle_s=600.0)
        return HttpServer(handler=partial(self.handle, client), limits=limits)

    # --- contents ---

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._record_event(item)

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "revision": self.revision, "deleted": True})

    def forget_history(self) -> None:
        """Drop all events, as a compaction does, and end the watches."""
        self.events.clear()
        self.first_event = self.revision + 1
        for exchange, _, _, _ in self._waiting:
            exchange.respond(410)
        self._waiting.clear()

    def end_leases(self) -> None:
        """Expire all leases at once, and delete their keys."""
        for lease in list(self.leases):
            self._end_lease(lease)

    async def expire_leases(self) -> None:
        """Expire the leases that are due, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_POLL_S)
            now = asyncio.get_running_loop().time()
            for number, lease in list(self.leases.items()):
                if now >= lease.ends_at:
                    self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key in [key for key, item in self.items.items() if item["lease"] == number]:
            self.delete(key)

    def _record_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if not self._answer_watch(*entry):
                self._waiting.append(entry)

    def _seen_by(self, client: str, item: dict[str, Any]) -> dict[str, Any]:
        if self._view is None or "value" not in item:
            return item
        value = self._view(client, item["key"], base64.b64decode(item["value"]))
        return {**item, "value": base64.b64encode(value).decode()}

    def _answer_watch(self, exchange: Exchange, client: str, prefix: str, after: int) -> bool:
        events = [
            self._seen_by(client, event)
            for event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        if events:
            _respond(exchange, 200, {"events": events, "current_rev": self.revision})
        return bool(events)

    # --- calls ---

    def handle(self, client: str, exchange: Exchange) -> None:
        """Handle a call, subject to the client's fault."""
        request = exchange.request
        self.calls.append(request.path)
        if self.refuse:
            _respond(exchange, self.refuse, {})
            return
        fault = self.fault_by_client.get(client) or self.fault_by_client.get("")
        loop = asyncio.get_running_loop()
        match fault:
            case StoreFault.BUSY:
                _respond(exchange, 503, {})
            case StoreFault.THROTTLED:
                _respond(exchange, 429, {})
            case StoreFault.SILENT:
                pass
            case StoreFault.RESET:
                exchange.abort()
            case StoreFault.SLOW:
                loop.call_later(self._random.uniform(0.1, 0.5), self._call, client, exchange)
            case StoreFault.LOST if request.method != "GET":
                self._write(_Unanswered(exchange))
            case StoreFault.LATE if request.method != "GET":
                delay_s = self._random.uniform(*LATE_WRITE_S)
                loop.call_later(delay_s, self._write, _Unanswered(exchange))
            case _:
                self._call(client, exchange)

    def _call(self, client: str, exchange: Exchange) -> None:
        request = exchange.request
        query = dict(urllib.parse.parse_qsl(request.query))
        match request.method, request.path:
            case "GET", "/api/kv-range":
                self._range(exchange, client, query)
            case "GET", "/api/kv-watch":
                after = int(query["after"])
                if after + 1 < self.first_event:
                    _respond(exchange, 410, {})
                elif not self._answer_watch(exchange, client, query["prefix"], after):
                    self._wait(exchange, client, query, after)
            case _:
                self._write(exchange)

    def _write(self, exchange: Exchange | _Unanswered) -> None:
        request = exchange.request
        body = json.loads(request.body) if request.body else {}
        match request.method, request.path:
            case "POST", "/api/kv-txn":
                self._transact(exchange, body)
            case "POST", "/api/kv-lease":
                self._lease_numbers += 1
                self.leases[self._lease_numbers] = self._lease(body["ttl_ms"] / 1000.0)
                answer = {"lease": self._lease_numbers, "ttl_ms": body["ttl_ms"]}
                _respond(exchange, 200, answer)
            case "POST", path if path.startswith("/api/kv-keep/"):
                number = int(path.rpartition("/")[2])
                known = self.leases.get(number)
                if known is None:
                    _respond(exchange, 404, {})
                else:
                    self.leases[number] = self._lease(known.ttl_s)
                    _respond(exchange, 200, {"ttl_ms": known.ttl_s * 1000})
            case _:
                _respond(exchange, 400, {})

    def _lease(self, ttl_s: float) -> _Lease:
        return _Lease(ttl_s=ttl_s, ends_at=asyncio.get_running_loop().time() + ttl_s)

    def _transact(self, exchange: Exchange | _Unanswered, body: dict[str, Any]) -> None:
        expected = body.get("expect", [])
        current = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, current, strict=True):
            if row["revision"] != (item["revision"] if item else 0):
                _respond(exchange, 412, {"items": [item for item in current if item]})
                return
        if any(row["lease"] and row["lease"] not in self.leases for row in body["puts"]):
            _respond(exchange, 404, {})
            return
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body.get("deletes", []):
            self.delete(key)
        _respond(exchange, 200, {"revision": self.revision})

    def _wait(self, exchange: Exchange, client: str, query: dict[str, str], after: int) -> None:
        entry = (exchange, client, query["prefix"], after)
        self._waiting.append(entry)

        def expire() -> None:
            if entry in self._waiting:
                self._waiting.remove(entry)
                _respond(exchange, 200, {"events": [], "current_rev": self.revision})

        asyncio.get_running_loop().call_later(int(query["wait_ms"]) / 1000.0, expire)

    def _range(self, exchange: Exchange, client: str, query: dict[str, str]) -> None:
        after = query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(query["prefix"]) and k > after]
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys[: self.page]:
            item = self._seen_by(client, self.items[key])
            size += len(item["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(item)
        truncated = len(keys) > len(page)
        _respond(
            exchange,
            200,
            {"items": page, "truncated": truncated, "current_rev": self.revision},
        )


class _Unanswered:
    """A call that is carried out but gets no response."""

    def __init__(self, exchange: Exchange) -> None:
        self.request = exchange.request

    def respond(self, status: int, body: bytes) -> None:
        """Discard the response."""


def _respond(exchange: Exchange | _Unanswered, status: int, body: dict[str, Any]) -> None:
    exchange.respond(status, json.dumps(body).encode())
