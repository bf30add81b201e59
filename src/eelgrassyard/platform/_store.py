"""Client of the platform's key-value store, and a mirror that watches a prefix."""

from __future__ import annotations

import asyncio
import base64
import math
import random
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import anyio
import msgspec

from .._decoding import decode
from ..net import CallError, HttpClient, Response, TrafficByPurpose
from ._items import MAX_ENTRY_CHARACTERS, MAX_ID, Item, Page, decode_page

TRAFFIC_PURPOSE = "store_"
"""Start of the names of the purposes for which bytes are counted."""

CALL_TIMEOUT_S = 1.0
"""Timeout of a call without a long poll until its answer begins, and then from part to part. The
store answers in 4 ms, or in a quarter of a second on days on which it is slow; a configuration of
1,400 routes takes 2 s on a link of 2 Mbit/s."""

WATCH_WAIT_S = 1.5
"""Long-poll time of one watch. An open connection may stop delivering data for good, and a
configuration must be in force 2 s after the store acknowledged it."""

MODE_CHECK_INTERVAL_S = 0.1
"""Interval at which a pausing mirror checks whether its mode has changed."""

STALE_AFTER_S = 1.5
"""Age from which a paused watch reads all items instead of the changes: entries that are updated
each 1.5 s have all changed by then, and each change is as large as an item."""

RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.6
"""Limits of the exponential backoff while the store is unavailable. Entries must be read within 2 s
of its return."""

MAX_CHANGES_BYTES = 4_000_000
"""Bytes of a failed answer to a watch from which all items are read instead: they come in pages of
a megabyte, while the changes since a revision come in one answer, which would fail again."""

MAX_CONNECTIONS = 6
"""Connections to the store. Each mirror may hold one with a long poll."""

HOSTS_PURPOSE = "hosts"
"""Prefix whose traffic counts the calls for this host's own entry."""


class _Lease(msgspec.Struct):
    lease: Annotated[int, msgspec.Meta(ge=1, le=MAX_ID)]


_lease_decoder = msgspec.json.Decoder(_Lease)


@dataclass(kw_only=True, eq=False)
class StoreError(Exception):
    """A call to the store failed or its response was invalid.

    :param step: what the call was to do.
    :param peer: address of the store.
    :param status: HTTP status of the response if it was an error, else 0.
    :param oversized: whether the call was a watch with more changes than could be received.
    """

    step: str
    peer: str
    reason: str
    status: int = 0
    oversized: bool = False

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.reason}"


class StoreClient:
    """Client of the store.

    :param traffic: counts the bytes of all calls, by the kind of key.

    :ivar calls: calls made since the start.
    """

    def __init__(self, *, address: str, traffic: TrafficByPurpose | None = None) -> None:
        self.calls = 0
        self._traffic = traffic if traffic is not None else TrafficByPurpose()
        self._address = address
        self._client = HttpClient(address=address, max_connections=MAX_CONNECTIONS)

    def bytes_received(self) -> int:
        """Bytes of all answers so far, also of those that are still arriving."""
        return sum(
            traffic.received
            for purpose, traffic in self._traffic.by_purpose.items()
            if purpose.startswith(TRAFFIC_PURPOSE)
        )

    async def _call(
        self,
        step: str,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        prefix: str = HOSTS_PURPOSE,
    ) -> Response:
        self.calls += 1
        future: asyncio.Future[Response | CallError] = asyncio.get_running_loop().create_future()

        def on_result(result: Response | CallError) -> None:
            if not future.done():
                future.set_result(result)

        self._client.call(
            method,
            target,
            timeout_s=timeout_s,
            on_result=on_result,
            body=body,
            progress_s=CALL_TIMEOUT_S,
            traffic=self._traffic.of(_purpose(prefix)),
        )
        result = await future
        if isinstance(result, CallError):
            raise StoreError(step=step, peer=self._address, reason=str(result))
        if result.status != 200:
            raise StoreError(
                step=step,
                peer=self._address,
                reason=f"status {result.status}",
                status=result.status,
            )
        return result

    async def read_prefix(self, prefix: str, *, max_characters: int) -> Page:
        """Read all items under a prefix.

        :param max_characters: longest value that is kept, in base64.
        :returns: the items, with the revision from which to watch.
        """
        found: Page | None = None
        after = ""
        while True:
            query = f"prefix={_quote(prefix)}" + (f"&after={_quote(after)}" if after else "")
            response = await self._call("read", "GET", f"/api/kv-range?{query}", prefix=prefix)
            page = self._page(response, "read", prefix, max_characters)
            if found is None:
                # Pages are not a snapshot. A watch from the revision of the first page also
                # delivers the changes made during the read.
                found = page
            else:
                found.items += page.items
                found.reason_by_key |= page.reason_by_key
                found.nameless += page.nameless
            if not page.truncated:
                return found
            if not page.items or page.items[-1].key == after:
                raise StoreError(
                    step="read", peer=self._address, reason="a page has no key to go on from"
                )
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float, *, max_characters: int) -> Page:
        """Wait for changes under a prefix after a revision.

        :param max_characters: longest value that is kept, in base64.
        :returns: the changes, none if there were none within the wait, with the revision from which
            to continue.
        """
        target = f"/api/kv-watch?prefix={_quote(prefix)}&after={after}&wait_ms={int(wait_s * 1000)}"
        traffic = self._traffic.of(_purpose(prefix))
        received_before = traffic.received
        try:
            response = await self._call(
                "watch", "GET", target, timeout_s=wait_s + CALL_TIMEOUT_S / 2, prefix=prefix
            )
        except StoreError as error:
            error.oversized = traffic.received - received_before > MAX_CHANGES_BYTES
            raise
        return self._page(response, "watch", prefix, max_characters)

    def _page(self, response: Response, step: str, prefix: str, max_characters: int) -> Page:
        result = decode_page(response.body, prefix=prefix, max_characters=max_characters)
        if result.is_err():
            raise self._invalid(step, result.unwrap_err())
        return result.unwrap()

    def _invalid(self, step: str, reason: str) -> StoreError:
        return StoreError(step=step, peer=self._address, reason=f"invalid response: {reason}")

    async def create_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        response = await self._call("lease", "POST", "/api/kv-lease", body)
        result = decode(_lease_decoder, response.body)
        if result.is_err():
            raise self._invalid("lease", result.unwrap_err())
        return result.unwrap().lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; a :class:`StoreError` with status 404 means that it has expired."""
        await self._call("renewal", "POST", f"/api/kv-keep/{lease}")

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key unconditionally; the write is idempotent."""
        text = base64.b64encode(value).decode("ascii")
        body = msgspec.json.encode(
            {"expect": [], "puts": [{"key": key, "value": text, "lease": lease}], "deletes": []}
        )
        await self._call("write", "POST", "/api/kv-txn", body)


def _purpose(prefix: str) -> str:
    return TRAFFIC_PURPOSE + prefix.strip("/")


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


@dataclass(frozen=True, slots=True, kw_only=True)
class Watch:
    """Read the changes as they come, or in batches.

    :param wait_s: long-poll time of one watch.
    :param pause_s: pause between two watches, for items that change continuously.
    """

    wait_s: float = WATCH_WAIT_S
    pause_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Reread:
    """Read all items at an interval, which is varied by a quarter so that hosts that started
    together do not read together. Of items that change continuously this takes fewer bytes than
    all changes."""

    interval_s: float


MirrorMode = Watch | Reread


class Mirror:
    """Keeps a copy of the items under one prefix up to date.

    :param now: the host's clock, in seconds, which also counts the time of a suspension.
    :param on_change: called after each change with all items by key and the store's revision.
    :param on_availability: called after each call with whether the store answered, and the error.
    :param on_odd_item: called with the key of each item that can't be read, and the reason; the key
        is empty if it can't be read either.
    :param max_characters: longest value that is kept, in base64.
    :param mode: returns how the copy is kept up to date; it is called again every
        :data:`MODE_CHECK_INTERVAL_S`.

    :ivar prefix: the prefix.
    :ivar read_at: when the last call that succeeded was sent; the copy has all changes until then.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        prefix: str,
        now: Callable[[], float],
        on_change: Callable[[dict[str, Item], int], None],
        on_availability: Callable[[bool, str], None],
        on_odd_item: Callable[[str, str], None],
        max_characters: int = MAX_ENTRY_CHARACTERS,
        mode: Callable[[], MirrorMode] = Watch,
    ) -> None:
        self._store = store
        self.prefix = prefix
        self._now = now
        self._on_change = on_change
        self._on_availability = on_availability
        self._on_odd_item = on_odd_item
        self._max_characters = max_characters
        self._reason_by_key: dict[str, str] = {}
        self._items: dict[str, Item] = {}
        self._revision: int | None = None
        self._history_lost = False
        self.read_at = -math.inf
        # A watch may wait before it is answered; the copy has not missed a change meanwhile.
        self._answered_at = -math.inf
        self._mode = mode
        self._woken = anyio.Event()

    def wake(self) -> None:
        """End the pause between two reads or watches now."""
        self._woken.set()

    async def run(self) -> None:
        """Read the items, then keep them up to date until cancelled; retry with exponential
        backoff. After an error of ``on_change`` it may be run again, and reads all items anew."""
        self._revision = None
        pause_s = RETRY_MIN_S
        while True:
            try:
                moved_on = await self._read_or_watch()
                self._on_availability(True, "")
                if moved_on:
                    pause_s = RETRY_MIN_S
                    await self._pause()
                    continue
            except StoreError as error:
                if error.status == 410 and self._revision is not None:
                    # The store no longer has the history since the last revision, so all items are
                    # read again.
                    self._revision = None
                    self._history_lost = True
                    continue
                if error.oversized:
                    self._revision = None
                self._on_availability(False, str(error))
            await anyio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2.0)

    async def _read_or_watch(self) -> bool:
        """Bring the copy up to date.

        :returns: whether the copy has moved on; the next call must wait if not, since a store that
            loses its history at once or repeats an answer would be called without a pause.
        """
        begun_at = self._now()
        mode = self._mode()
        match mode:
            case Watch(pause_s=pause_s):
                read_all = pause_s > 0.0 and begun_at - self._answered_at > STALE_AFTER_S
            case Reread():
                read_all = True
        if self._revision is None or read_all:
            page = await self._store.read_prefix(self.prefix, max_characters=self._max_characters)
            self._items = {item.key: item for item in page.items}
            self._revision = page.revision
            self._report_odd_items(page)
            self._reason_by_key = page.reason_by_key
            self._report_change(begun_at)
            return not self._history_lost or isinstance(mode, Reread)
        assert isinstance(mode, Watch)
        page = await self._store.watch(
            self.prefix, self._revision, mode.wait_s, max_characters=self._max_characters
        )
        moved_on = page.revision > self._revision or self._now() - begun_at >= RETRY_MIN_S
        self._history_lost = False
        if page.nameless:
            # One of the items that are held may have changed.
            self._report_odd_items(page)
            self._revision = None
            return moved_on
        for item in page.items:
            if item.deleted:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
            if item.key not in page.reason_by_key:
                self._reason_by_key.pop(item.key, None)
        self._report_odd_items(page)
        self._reason_by_key |= page.reason_by_key
        self._revision = max(self._revision, page.revision)
        if page.items:
            self._report_change(begun_at)
        else:
            self.read_at, self._answered_at = begun_at, self._now()
        return moved_on

    def _report_change(self, begun_at: float) -> None:
        assert self._revision is not None
        read_before_at = self.read_at
        self.read_at, self._answered_at = begun_at, self._now()
        try:
            self._on_change(self._items, self._revision)
        except BaseException:
            # The changes may not be in force, so the copy is no newer than before.
            self.read_at = read_before_at
            raise

    def _report_odd_items(self, page: Page) -> None:
        """Report items that can't be read, unless they were reported by an earlier read."""
        for key, reason in page.reason_by_key.items():
            if self._reason_by_key.get(key) != reason:
                self._on_odd_item(key, reason)
        if page.nameless:
            self._on_odd_item("", f"{page.nameless} items without a key that can be read")

    async def _pause(self) -> None:
        paused_s = 0.0
        variation = random.uniform(0.75, 1.25)
        self._woken = anyio.Event()
        while not self._woken.is_set():
            match self._mode():
                case Watch(pause_s=pause_s):
                    left_s = pause_s - paused_s
                case Reread(interval_s=interval_s):
                    left_s = interval_s * variation - paused_s
            if left_s <= 0.0:
                return
            with anyio.move_on_after(MODE_CHECK_INTERVAL_S):
                await self._woken.wait()
            paused_s += MODE_CHECK_INTERVAL_S
