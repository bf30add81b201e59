"""Client of the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
import binascii
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import anyio
import msgspec

from ..net import CallError, HttpClient, Response

CALL_TIMEOUT_S = 1.0
"""Time for a call that waits for nothing. The store answers in 4 ms, or in a quarter of a second on
days on which it is slow."""

WATCH_WAIT_S = 1.5
"""Wait of one watch call. An open connection may go silent for good, and a configuration must be in
force 2 s after its acknowledgement."""

PAUSE_CHECK_INTERVAL_S = 0.1

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.6
"""Pauses between calls while the store is away; entries have to be found within 2 s of its
return."""

MAX_CONNECTIONS = 6

T = TypeVar("T")


class Item(msgspec.Struct, kw_only=True):
    """A key as it was written, or its deletion.

    :param value: standard base64 text.
    """

    key: str
    revision: int = 0
    value: str = ""
    lease: int = 0
    deleted: bool = False

    def content(self) -> bytes:
        """The bytes of the value; empty if they cannot be decoded."""
        try:
            return base64.b64decode(self.value, validate=True)
        except (binascii.Error, ValueError):
            return b""


class _Range(msgspec.Struct):
    items: list[Item]
    current_rev: int
    truncated: bool = False


class _Events(msgspec.Struct):
    events: list[Item]
    current_rev: int


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: int


_range_decoder = msgspec.json.Decoder(_Range)
_events_decoder = msgspec.json.Decoder(_Events)
_lease_decoder = msgspec.json.Decoder(_Lease)


@dataclass(kw_only=True, eq=False)
class StoreError(Exception):
    """A call to the store without a usable answer.

    :param step: the call.
    :param peer: address of the store.
    :param status: status of the answer, or 0 if there was none.
    """

    operation: str
    address: str
    reason: str
    status: int = 0

    def __str__(self) -> str:
        return f"{self.operation} at {self.address}: {self.reason}"


class StoreClient:
    """Calls to the store; each is counted in :attr:`calls`."""

    def __init__(self, *, address: str) -> None:
        self.calls = 0
        self._address = address
        self._client = HttpClient(address=address, max_connections=MAX_CONNECTIONS)

    async def _call(
        self,
        operation: str,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Response:
        self.calls += 1
        future: asyncio.Future[Response | CallError] = asyncio.get_running_loop().create_future()

        def on_result(result: Response | CallError) -> None:
            if not future.done():
                future.set_result(result)

        self._client.call(method, target, timeout_s=timeout_s, on_result=on_result, body=body)
        result = await future
        if isinstance(result, CallError):
            raise StoreError(operation=operation, address=self._address, reason=str(result))
        if result.status != 200:
            raise StoreError(
                operation=operation,
                address=self._address,
                reason=f"status {result.status}",
                status=result.status,
            )
        return result

    async def read_prefix(self, prefix: str) -> tuple[dict[str, Item], int]:
        """All items under a prefix by key, and a revision from which to watch."""
        items: dict[str, Item] = {}
        first_revision: int | None = None
        after = ""
        while True:
            query = f"prefix={_quote(prefix)}" + (f"&after={_quote(after)}" if after else "")
            response = await self._call("read", "GET", f"/api/kv-range?{query}")
            page = _decode(_range_decoder, response.body, "read", self._address)
            # Pages are not a snapshot: a change during the read comes again with the watch.
            first_revision = page.current_rev if first_revision is None else first_revision
            for item in page.items:
                items[item.key] = item
            if not page.truncated or not page.items:
                return items, first_revision
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[Item], int]:
        """Changes under a prefix since a revision, and the revision to go on from."""
        target = f"/api/kv-watch?prefix={_quote(prefix)}&after={after}&wait_ms={int(wait_s * 1000)}"
        response = await self._call("watch", "GET", target, timeout_s=wait_s + CALL_TIMEOUT_S / 2)
        page = _decode(_events_decoder, response.body, "watch", self._address)
        return page.events, page.current_rev

    async def create_lease(self, ttl_s: float) -> int:
        """Open a lease."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        response = await self._call("lease", "POST", "/api/kv-lease", body)
        return _decode(_lease_decoder, response.body, "lease", self._address).lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; an error of status 404 means that it has ended."""
        await self._call("renewal", "POST", f"/api/kv-keep/{lease}")

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key without a condition; writing it twice does no harm."""
        text = base64.b64encode(value).decode("ascii")
        body = msgspec.json.encode(
            {"expect": [], "puts": [{"key": key, "value": text, "lease": lease}], "deletes": []}
        )
        await self._call("write", "POST", "/api/kv-txn", body)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _decode(decoder: msgspec.json.Decoder[T], body: bytes, operation: str, address: str) -> T:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError) as error:
        raise StoreError(
            operation=operation, address=address, reason=f"answer not understood: {error}"
        ) from error


class Mirror:
    """Keeps a copy of the items under one prefix.

    :param on_change: gets all items by key after each change.
    :param on_state: gets whether the store answers, and why not.
    :param wait_s: how long one watch waits for a change.
    :param pause_s: seconds between two watches, for items that change all the time; asked anew
    every ``PAUSE_STEP_S``."""

    def __init__(
        self,
        *,
        store: StoreClient,
        prefix: str,
        on_change: Callable[[dict[str, Item]], None],
        on_availability: Callable[[bool, str], None],
        wait_s: float = WATCH_WAIT_S,
        pause_s: Callable[[], float] | None = None,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._on_availability = on_availability
        self._items: dict[str, Item] = {}
        self._revision: int | None = None
        self._wait_s = wait_s
        self._pause_s = pause_s

    async def run(self) -> None:
        """Read, then watch, until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._read_or_watch()
                self._on_availability(True, "")
                pause_s = RETRY_MIN_S
            except StoreError as error:
                if error.status == 410:
                    # The history since the last revision is gone; everything is read anew.
                    self._revision = None
                    continue
                self._on_availability(False, str(error))
                await anyio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2.0)

    async def _read_or_watch(self) -> None:
        if self._revision is None:
            self._items, self._revision = await self._store.read_prefix(self._prefix)
            self._on_change(self._items)
            return
        events, revision = await self._store.watch(self._prefix, self._revision, self._wait_s)
        for item in events:
            if item.deleted:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
        self._revision = max(self._revision, revision)
        if events:
            self._on_change(self._items)
        if self._pause_s is not None:
            paused_s = 0.0
            while paused_s < self._pause_s():
                await anyio.sleep(PAUSE_CHECK_INTERVAL_S)
                paused_s += PAUSE_CHECK_INTERVAL_S
