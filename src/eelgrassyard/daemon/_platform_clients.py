"""Clients of the platform services: the key-value store and the host list."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from urllib.parse import quote

import anyio
import xxhash

from ..policy import HostListRead
from ._connections import (
    HttpConnections,
    HttpReply,
    NotSentError,
    ReplyLostError,
    ReplyTooLargeError,
)
from ._host_list import parse_host_list
from ._json import read_json
from ._logs import log_change
from ._metrics import Metrics
from ._settings import HostListSettings, StoreSettings

CALL_TIMEOUT_S = 5.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0
MAX_REVISION = 2**63 - 1
"""Largest revision: messages between hosts hold it in 64 bits."""

REDELIVERY_INTERVAL_S = 10.0
"""An unchanged host list is delivered to the core again after this time."""


class Backoff:
    """Exponential backoff; jitter keeps hosts from all calling a recovering service at once."""

    def __init__(self, *, rng: random.Random, max_s: float = MAX_BACKOFF_S) -> None:
        self._rng = rng
        self._max_s = max_s
        self.failures = 0

    def reset(self) -> None:
        """Reset the wait after a success."""
        self.failures = 0

    def next_s(self) -> float:
        """Record a failure and return the seconds to wait."""
        self.failures += 1
        full_s = min(MIN_BACKOFF_S * 2.0 ** min(self.failures - 1, 20), self._max_s)
        return full_s * self._rng.uniform(0.5, 1.0)


class _PlatformClient:
    """HTTP client of one service; counts calls and logs the start and the end of outages."""

    def __init__(
        self, *, name: str, connections: HttpConnections, metrics: Metrics, backoff: Backoff
    ) -> None:
        self._name = name
        self._connections = connections
        self._metrics = metrics
        self._backoff = backoff

    async def get(self, path: str, timeout_s: float, *, etag: str = "") -> HttpReply | None:
        """Send a GET; None on a failure or a status other than 200, 204, 304 and 404.

        :param etag: entity tag of the last reply; the service replies 304 if it is unchanged.
        """
        self._metrics.count(f"{self._name}.calls")
        problem = "no answer in time"
        with anyio.move_on_after(timeout_s):
            try:
                headers = {"if-none-match": etag} if etag else None
                reply = await self._connections.request("GET", path, headers=headers)
                if reply.status in (200, 204, 304, 404):
                    self._record_success()
                    return reply
                problem = f"status {reply.status}"
            except (NotSentError, ReplyLostError, ReplyTooLargeError) as error:
                problem = str(error)
        self._record_failure(problem)
        return None

    async def wait_after_failure(self) -> None:
        """Record a failure and sleep for the backoff time."""
        await anyio.sleep(self._backoff.next_s())

    def _record_success(self) -> None:
        if self._backoff.failures:
            log_change(self._name, "answers again")
        self._backoff.reset()

    def _record_failure(self, problem: str) -> None:
        self._metrics.count(f"{self._name}.failed")
        if self._backoff.failures == 0:
            log_change(self._name, f"does not answer: {problem}")


class StoreWatcher:
    """Watches the configuration key with long polls while the core has the watch enabled.

    :param on_document: receives the revision and the document.
    :param revision: returns the revision in force.
    """

    def __init__(
        self,
        *,
        settings: StoreSettings,
        connections: HttpConnections,
        metrics: Metrics,
        rng: random.Random,
        on_document: Callable[[int, bytes], None],
        revision: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._on_document = on_document
        self._revision = revision
        self._client = _PlatformClient(
            name="store", connections=connections, metrics=metrics, backoff=Backoff(rng=rng)
        )
        self._seen_revision = 0
        self._is_watching = False
        self._changed = anyio.Event()
        self._scope: anyio.CancelScope | None = None

    @property
    def is_watching(self) -> bool:
        """Whether the watch is enabled."""
        return self._is_watching

    def set_watching(self, watching: bool) -> None:
        """Enable or disable the watch; disabling cancels the request in progress."""
        if watching == self._is_watching:
            return
        self._is_watching = watching
        self._changed.set()
        if not watching and self._scope is not None:
            self._scope.cancel()

    async def run(self) -> None:
        """Run until cancelled, also while the watch is disabled."""
        while True:
            while not self._is_watching:
                self._changed = anyio.Event()
                await self._changed.wait()
            with anyio.CancelScope() as self._scope:
                await self._watch_once()
            self._scope = None

    async def _watch_once(self) -> None:
        after = max(self._seen_revision, self._revision())
        watch_s = self._settings.watch_s
        path = f"/watch/{quote(self._settings.key)}?after={after}&timeout_s={watch_s:g}"
        reply = await self._client.get(path, watch_s + CALL_TIMEOUT_S)
        if reply is None:
            await self._client.wait_after_failure()
        elif reply.status == 200 and not self._apply_value(reply.body):
            self._metrics.count("store.bad_answer")
            await self._client.wait_after_failure()
        elif reply.status == 404:
            await self._client.wait_after_failure()

    def _apply_value(self, body: bytes) -> bool:
        content = read_json(body).unwrap_or(None)
        if not isinstance(content, dict) or "value" not in content:
            return False
        revision, value = content.get("revision"), content["value"]
        if not isinstance(revision, int) or not 0 <= revision <= MAX_REVISION:
            return False
        try:
            text = value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)
            document = text.encode()
        except UnicodeEncodeError:
            # JSON escapes may name half of a surrogate pair, which has no UTF-8 form.
            return False
        self._seen_revision = revision
        self._on_document(revision, document)
        return True


class HostListPoller:
    """Polls the host list; the last list stays in force while the service is unavailable.

    If the service sends entity tags (RFC 9110), requests carry ``If-None-Match``, because the whole
    list once a second is more than all other control traffic of a host.

    :param on_host_list: receives a changed list at once, and an unchanged one again every
        :data:`REDELIVERY_INTERVAL_S`.
    """

    def __init__(
        self,
        *,
        settings: HostListSettings,
        connections: HttpConnections,
        metrics: Metrics,
        rng: random.Random,
        on_host_list: Callable[[HostListRead], None],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._on_host_list = on_host_list
        self._client = _PlatformClient(
            name="host_list", connections=connections, metrics=metrics, backoff=Backoff(rng=rng)
        )
        self._rng = rng
        self._digest = 0
        self._etag = ""
        self._known: HostListRead | None = None
        self._delivered_at = -REDELIVERY_INTERVAL_S

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            reply = await self._client.get("/hosts", CALL_TIMEOUT_S, etag=self._etag)
            if reply is None:
                await self._client.wait_after_failure()
                continue
            self._process_reply(reply)
            await anyio.sleep(self._settings.poll_s * self._rng.uniform(0.9, 1.1))

    def _process_reply(self, reply: HttpReply) -> None:
        if reply.status == 304:
            self._deliver(changed=False)
        elif reply.status == 200:
            self._process_list(reply)

    def _process_list(self, reply: HttpReply) -> None:
        digest = xxhash.xxh64_intdigest(reply.body)
        changed = digest != self._digest
        if changed:
            listed = parse_host_list(reply.body, self._metrics)
            if listed is None:
                return
            self._digest = digest
            self._known = listed
        self._etag = reply.headers.get("etag", "")
        self._deliver(changed=changed)

    def _deliver(self, *, changed: bool) -> None:
        now = anyio.current_time()
        due = changed or now - self._delivered_at >= REDELIVERY_INTERVAL_S
        if self._known is not None and due:
            self._delivered_at = now
            self._on_host_list(self._known)
