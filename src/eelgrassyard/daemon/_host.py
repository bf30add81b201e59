"""One host: the decision core with its listeners, peer links and clients."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Sequence

import anyio
import anyio.abc

from .._clock import Clock
from ..config import parse_document
from ..policy import (
    Action,
    ConfigLoaded,
    ControlTask,
    Core,
    Count,
    DrainCalled,
    Drained,
    HostIdentity,
    HostListRead,
    Limits,
    LoadConfig,
    PeerFailed,
    PeerMessage,
    PeerReceived,
    ReadinessChanged,
    RenewLeases,
    ReplyIds,
    ReplyRefusal,
    ReplyState,
    Send,
    SiteConfig,
    StartTask,
    StateChanged,
    UpstreamEntry,
    WatchStore,
)
from ._addresses import AddressBook
from ._connections import HttpConnections, client_tls
from ._hints import Hints
from ._http import HttpInterface
from ._logs import log_change
from ._loop import CoreLoop
from ._metrics import Metrics
from ._peer_server import PeerServer, make_tls_contexts
from ._peers import PeerLink, PeerLinks
from ._pending_calls import PendingHttpCalls
from ._platform_clients import HostListPoller, StoreWatcher
from ._server import CallerServer, bind
from ._settings import Settings
from ._state_dump import truncate_rows
from ._upstream_client import UpstreamAddress, UpstreamClient
from ._usage import poll_usage, workers_to_poll

STOP_FLUSH_TIMEOUT_S = 2.0
"""Longest time to send queued messages to peers after a drain, and the same again to send the
remaining answers to callers."""

MAX_PLATFORM_REPLY_BYTES = 20_000_000
MAINTENANCE_INTERVAL_S = 1.0
"""Interval at which idle upstream connections are closed and gauges are set."""

MakeCore = Callable[[HostIdentity, int], Core]


def _make_core(identity: HostIdentity, seed: int) -> Core:
    return Core(identity=identity, seed=seed)


class Host:
    """One host, which runs until it has drained or is cancelled.

    :param make_core: builds the decision core from an identity and a seed.
    :param seed: seed of the core and of all jitter.
    """

    def __init__(self, *, settings: Settings, seed: int, make_core: MakeCore = _make_core) -> None:
        self._settings = settings
        self._clock = Clock()
        self._rng = random.Random(seed)
        self.metrics = Metrics(settings=settings.statsd)
        self.started = anyio.Event()
        self._drain_requested = anyio.Event()
        self._drained = anyio.Event()
        self._readiness = (False, "starting")
        self._addresses = AddressBook()
        self._upstream_by_name: dict[str, UpstreamEntry] = {}
        self._http_socket = bind(settings.http.address, settings.http.port)
        self._peer_socket = bind(settings.peer.address, settings.peer.port)
        self.http_port = int(self._http_socket.getsockname()[1])
        self.peer_port = int(self._peer_socket.getsockname()[1])
        self._identity = HostIdentity(
            name=settings.name,
            address=settings.peer.address,
            port=self.peer_port,
            failure_domain=settings.failure_domain,
            region=settings.region,
            weight=settings.weight,
            incarnation=int(self._clock.now() * 1_000_000),
            id_key=bytes.fromhex(settings.id_key),
        )
        self.core = make_core(self._identity, seed)
        self._loop = CoreLoop(
            core=self.core, clock=self._clock, metrics=self.metrics, execute=self._execute_actions
        )
        self.calls = PendingHttpCalls(put=self._loop.put)
        self._server = CallerServer(
            application=HttpInterface(
                gateway=self, calls=self.calls, limits=settings.limits, metrics=self.metrics
            ),
            settings=settings.http,
            limits=settings.limits,
            metrics=self.metrics,
        )
        self._server_tls, self._client_tls = make_tls_contexts(settings.peer.tls)
        self._peer_server = PeerServer(
            name=settings.name,
            tls=self._server_tls,
            max_connections=settings.limits.peer_connections,
            metrics=self.metrics,
            on_message=self._receive,
        )
        self._store = StoreWatcher(
            settings=settings.store,
            connections=self._platform_connections(settings.store.url),
            metrics=self.metrics,
            rng=self._rng,
            on_document=self._load_config,
            revision=lambda: self.core.configsync.revision,
        )
        self._host_list = HostListPoller(
            settings=settings.host_list,
            connections=self._platform_connections(settings.host_list.url),
            metrics=self.metrics,
            rng=self._rng,
            on_host_list=self._apply_host_list,
        )
        self._links: PeerLinks | None = None
        self._upstreams: UpstreamClient | None = None

    # Interface for HttpInterface.

    @property
    def config(self) -> SiteConfig | None:
        """The configuration in force, or None before the first one is loaded."""
        return self.core.configsync.current

    @property
    def readiness(self) -> tuple[bool, str]:
        """Whether the host is ready, and the reason given with the last change."""
        return self._readiness

    @property
    def is_draining(self) -> bool:
        """Whether a drain has been requested."""
        return self._drain_requested.is_set()

    def dump(self, table: str | None = None) -> dict[str, object]:
        """The state with the first rows of each table, or one complete table.

        :raises KeyError: if there is no such table.
        """
        tables = self._host_tables()
        if table is not None:
            return {table: tables[table]} if table in tables else self.core.dump(table)
        page = {**self.core.dump(), **tables}
        return {name: truncate_rows(value) for name, value in page.items()}

    def drain(self) -> None:
        """Start a planned stop; further calls have no effect."""
        if not self._drain_requested.is_set():
            self._drain_requested.set()
            log_change("drain", "planned stop begins")
            self._loop.put(DrainCalled())

    def refuse_early(self, caller: str, submission_id: str, hints: Hints) -> ReplyRefusal | None:
        """Refusal of a submission that flow admission would refuse now, or None.

        A submission that this host owns already is never refused here.
        """
        if self.core.submissions.owns(submission_id):
            return None
        flow = (caller, hints.kind)
        refusal = self.core.admission.check_flow(
            self._clock.now(), flow, 1, hints.deadline_s, hints.urgency
        )
        if refusal is None:
            return None
        return ReplyRefusal(
            call=0,
            reason=refusal.reason,
            message=refusal.message,
            retry_after_s=refusal.retry_after_s,
        )

    # Lifecycle.

    async def run(self) -> bool:
        """Serve until drained; returns False if the drain exceeded ``limits.drain_s``."""
        async with anyio.create_task_group() as group:
            self._links = PeerLinks(make_link=self._make_link, group=group)
            self._upstreams = UpstreamClient(
                group=group,
                address_of=self._upstream_address,
                lease_s=self._lease_s,
                put=self._loop.put,
                clock=self._clock,
                limits=self._settings.limits,
                metrics=self.metrics,
            )
            await self._server.start(self._http_socket)
            group.start_soon(self._peer_server.serve, self._peer_socket)
            group.start_soon(self._loop.run)
            group.start_soon(self._host_list.run)
            group.start_soon(self._store.run)
            group.start_soon(self.metrics.run)
            group.start_soon(self._maintain_connections)
            group.start_soon(self._poll_usage)
            log_change("start", f"serving on {self._settings.http.address}:{self.http_port}")
            self.started.set()
            finished = await self._wait_until_drained()
            await self._stop()
            group.cancel_scope.cancel()
        self.metrics.flush()
        log_change("stop", "stopped")
        return finished

    async def _wait_until_drained(self) -> bool:
        await self._drain_requested.wait()
        with anyio.move_on_after(self._settings.limits.drain_s):
            await self._drained.wait()
        if not self._drained.is_set():
            log_change(
                "drain", f"drain not finished after {self._settings.limits.drain_s:g} s; stopping"
            )
        return self._drained.is_set()

    async def _stop(self) -> None:
        with anyio.move_on_after(STOP_FLUSH_TIMEOUT_S):
            await self._require_links().wait_until_flushed()
        await self._server.stop(STOP_FLUSH_TIMEOUT_S)
        await self._require_upstreams().close()

    async def _maintain_connections(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            await self._require_upstreams().close_idle()
            self.metrics.gauge("http.connections", self._server.open_connections)
            self.metrics.gauge("http.calls", len(self.calls))
            self.metrics.gauge("upstream.running", self._require_upstreams().running)
            self.metrics.gauge("peer.connections", self._peer_server.open_connections)

    async def _poll_usage(self) -> None:
        def workers() -> list[str]:
            config = self.config
            if config is None:
                return []
            return workers_to_poll(config, self.core.membership, self._settings.name)

        await poll_usage(
            workers=workers,
            read=self._require_upstreams().read_usage,
            interval_s=self._settings.usage_poll_s,
            rng=self._rng,
        )

    # Events for the core.

    def _receive(self, event: PeerReceived) -> None:
        self._addresses.update_from_message(event.message)
        self._loop.put(event)

    def _apply_host_list(self, listed: HostListRead) -> None:
        self._addresses.update_from_host_list(listed)
        for item in listed.upstreams:
            self._upstream_by_name[item.upstream.name] = item.upstream
        self._loop.put(listed)

    def _load_config(self, revision: int, document: bytes) -> None:
        if revision <= self.core.configsync.revision:
            return
        parsed = parse_document(document)
        if parsed.is_err():
            self.metrics.count("config.refused")
            log_change("config", f"revision {revision} refused: {parsed.unwrap_err()}")
            return
        config = parsed.unwrap()
        self._addresses.update_from_config(config)
        for entry in config.upstreams_by_name.values():
            self._upstream_by_name.setdefault(entry.name, entry)
        self._loop.put(ConfigLoaded(revision=revision, document=document, config=config))

    # Actions from the core.

    def _execute_actions(self, now: float, actions: Sequence[Action]) -> None:
        messages_by_host: defaultdict[str, list[PeerMessage]] = defaultdict(list)
        for action in actions:
            if isinstance(action, Send):
                messages_by_host[action.to].append(action.message)
            else:
                self._execute_action(now, action)
        for host, messages in messages_by_host.items():
            self._require_links().send(host, messages)

    def _execute_action(self, now: float, action: Action) -> None:
        match action:
            case ReplyIds() | ReplyState() | ReplyRefusal():
                self.calls.resolve(action)
            case StartTask():
                self._require_upstreams().start(now, action)
            case ControlTask():
                self._require_upstreams().control(action)
            case RenewLeases():
                self._require_upstreams().renew(action)
            case LoadConfig(revision=revision, document=document):
                self._load_config(revision, document)
            case WatchStore(on=on):
                self._store.set_watching(on)
            case ReadinessChanged(ready=ready, reason=reason):
                self._readiness = (ready, reason)
                log_change("readiness", f"{'ready' if ready else 'not ready'}: {reason}")
            case Drained():
                self._drained.set()
            case Count(metric=metric, value=value):
                self.metrics.count(metric, value)
            case StateChanged(step=step, peer=peer, message=message):
                log_change(step, message, peer=peer)

    # Helpers.

    def _host_tables(self) -> dict[str, object]:
        links = self._links.dump() if self._links else {}
        upstreams = self._upstreams.dump() if self._upstreams else {}
        return {
            "host": {
                "name": self._settings.name,
                "failure_domain": self._settings.failure_domain,
                "incarnation": self._identity.incarnation,
                "ready": self._readiness[0],
                "reason": self._readiness[1],
                "draining": self.is_draining,
                "connections": self._server.open_connections,
                "waiting_calls": len(self.calls),
                "watching_store": self._store.is_watching,
            },
            "peers": links,
            "connections": upstreams,
            "counters": dict(sorted(self.metrics.total_by_name.items())),
        }

    def _lease_s(self) -> float:
        config = self.config
        return config.limits.lease_s if config is not None else Limits().lease_s

    def _upstream_address(self, name: str) -> UpstreamAddress | None:
        entry = self._upstream_by_name.get(name)
        url = self._addresses.upstream_url(name)
        if entry is None or url is None:
            return None
        return UpstreamAddress(url=url, role=entry.role)

    def _make_link(self, name: str) -> PeerLink:
        return PeerLink(
            name=name,
            sender=self._settings.name,
            incarnation=self._identity.incarnation,
            address_of=self._addresses.host,
            tls=self._client_tls,
            max_messages=self._settings.limits.peer_queue_messages,
            metrics=self.metrics,
            on_failure=lambda peer: self._loop.put(PeerFailed(peer=peer)),
            rng=self._rng,
        )

    def _platform_connections(self, url: str) -> HttpConnections:
        limits = self._settings.limits
        return HttpConnections(
            url=url,
            tls=client_tls(url),
            connect_s=limits.connect_s,
            idle_s=limits.idle_s,
            max_idle=1,
            max_answer_bytes=MAX_PLATFORM_REPLY_BYTES,
        )

    def _require_links(self) -> PeerLinks:
        if self._links is None:
            raise RuntimeError("the host is not running")
        return self._links

    def _require_upstreams(self) -> UpstreamClient:
        if self._upstreams is None:
            raise RuntimeError("the host is not running")
        return self._upstreams
