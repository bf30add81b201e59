"""Stand-in for the platform's key-value service."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from ._asgi import JsonApplication, StandInRequest, StandInResponse

MAX_VALUE_BYTES = 1_000_000
"""Largest body of a write; a larger one is refused with status 413."""

MAX_WATCH_S = 60.0
"""Longest time that a watch waits for a change."""


@dataclass(slots=True, kw_only=True)
class StoredValue:
    """A value with the revision of its last write."""

    value: Any
    revision: int


@dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that the service injects.

    :param down: answer every call with status 503.
    :param slow_s: delay of every call in seconds.
    :param lost_answers: number of writes still to come that take effect but get no answer.
    """

    down: bool = False
    slow_s: float = 0.0
    lost_answers: int = 0


class AnswerLostError(Exception):
    """The write took effect, but the connection ends without an answer."""


class KeyValueStandIn(JsonApplication):
    """Key-value store with compare-and-swap, leases and watches, rate limits and injected faults.

    :param reads_per_s: reads and watches allowed each second.
    :param writes_per_s: writes allowed each second.
    :param clock: seconds, for rate limits and leases.
    """

    def __init__(
        self,
        *,
        reads_per_s: int = 2000,
        writes_per_s: int = 400,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.faults = Faults()
        self.calls_by_method: Counter[str] = Counter()
        self._value_by_key: dict[str, StoredValue] = {}
        self._lease_expiry_by_id: dict[str, float] = {}
        self._revisions = itertools.count(1)
        self._lease_numbers = itertools.count(1)
        self._changed = anyio.Event()
        self._clock = clock
        self._limit_by_access = {"read": reads_per_s, "write": writes_per_s}
        self._used_by_access: Counter[str] = Counter()
        self._window = 0
        self.route("GET", r"/kv/(?P<key>.+)", self._get)
        self.route("PUT", r"/kv/(?P<key>.+)", self._put)
        self.route("GET", r"/watch/(?P<key>.+)", self._watch)
        self.route("POST", r"/leases", self._new_lease)
        self.route("PUT", r"/leases/(?P<id>.+)", self._renew_lease)
        self.route("DELETE", r"/leases/(?P<id>.+)", self._end_lease)
        self.route("POST", r"/faults", self._set_faults)
        self.route("GET", r"/counts", self._get_counts)

    async def respond(
        self, request_method: str, path: str, request: StandInRequest
    ) -> StandInResponse:
        """Serve a call, after faults and rate limits unless it is to ``/faults`` or ``/counts``."""
        if path in ("/faults", "/counts"):
            return await super().respond(request_method, path, request)
        access = "read" if request_method == "GET" else "write"
        self.calls_by_method[f"{request_method} {path.split('/')[1]}"] += 1
        if self.faults.slow_s:
            await anyio.sleep(self.faults.slow_s)
        if self.faults.down:
            return StandInResponse(status=503, content={"error": "down"})
        if not self._is_within_rate(access):
            return StandInResponse(status=429, content={"error": f"too many {access} calls"})
        response = await super().respond(request_method, path, request)
        if access == "write" and response.status == 200 and self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise AnswerLostError
        return response

    def _is_within_rate(self, access: str) -> bool:
        window = int(self._clock())
        if window != self._window:
            self._window = window
            self._used_by_access.clear()
        self._used_by_access[access] += 1
        return self._used_by_access[access] <= self._limit_by_access[access]

    async def _get(self, request: StandInRequest) -> StandInResponse:
        stored = self._value_by_key.get(request.groups["key"])
        return _stored_response(stored)

    async def _put(self, request: StandInRequest) -> StandInResponse:
        if len(request.body) > MAX_VALUE_BYTES:
            return StandInResponse(status=413, content={"error": "value over 1 MB"})
        key = request.groups["key"]
        content = request.json()
        stored = self._value_by_key.get(key)
        current = stored.revision if stored else 0
        if content["expect"] != current:
            return StandInResponse(status=409, content={"error": "conflict", "revision": current})
        revision = next(self._revisions)
        self._value_by_key[key] = StoredValue(value=content["value"], revision=revision)
        self._changed.set()
        self._changed = anyio.Event()
        return StandInResponse(content={"revision": revision})

    async def _watch(self, request: StandInRequest) -> StandInResponse:
        key = request.groups["key"]
        after = int(request.query.get("after", "0"))
        timeout_s = min(float(request.query.get("timeout_s", "30")), MAX_WATCH_S)
        with anyio.move_on_after(timeout_s):
            while True:
                stored = self._value_by_key.get(key)
                if stored is not None and stored.revision > after:
                    return _stored_response(stored)
                if self.faults.down:
                    return StandInResponse(status=503, content={"error": "down"})
                await self._changed.wait()
        return StandInResponse(status=204)

    async def _new_lease(self, request: StandInRequest) -> StandInResponse:
        lease_id = f"lease-{next(self._lease_numbers)}"
        self._lease_expiry_by_id[lease_id] = self._clock() + float(request.json()["ttl_s"])
        return StandInResponse(status=201, content={"id": lease_id})

    async def _renew_lease(self, request: StandInRequest) -> StandInResponse:
        lease_id = request.groups["id"]
        if self._lease_expiry_by_id.get(lease_id, 0.0) <= self._clock():
            self._lease_expiry_by_id.pop(lease_id, None)
            return StandInResponse(status=404, content={"error": "no such lease"})
        self._lease_expiry_by_id[lease_id] = self._clock() + float(request.json()["ttl_s"])
        return StandInResponse(content={"id": lease_id})

    async def _end_lease(self, request: StandInRequest) -> StandInResponse:
        self._lease_expiry_by_id.pop(request.groups["id"], None)
        return StandInResponse(status=204)

    async def _set_faults(self, request: StandInRequest) -> StandInResponse:
        self.faults = Faults(**request.json())
        self._changed.set()
        self._changed = anyio.Event()
        return StandInResponse(content={})

    async def _get_counts(self, request: StandInRequest) -> StandInResponse:
        return StandInResponse(content=dict(self.calls_by_method))


def _stored_response(stored: StoredValue | None) -> StandInResponse:
    if stored is None:
        return StandInResponse(status=404, content={"error": "no such key"})
    return StandInResponse(content={"value": stored.value, "revision": stored.revision})
