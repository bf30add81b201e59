"""The host process on the platform: store mirrors, registration, graceful shutdown and status."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import msgspec
from anyio.abc import TaskGroup

from .._clock import Clock
from .._journal import Journal
from .._supervision import Supervisor
from .._unhandled import UnhandledErrors, report_process_failure
from ..dispatch._host import DispatchHost
from ..dispatch._messages import HostRecord
from ..dispatch._workers import WorkerRecord
from ..net import Exchange, HttpServer, ServerLimits, TrafficByPurpose
from ..net._driver import Driver
from ._caller_api import CallerApi
from ._documents import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    HOST_PREFIX,
    OPERATOR_PREFIX,
    WORKER_PREFIX,
    decode_config,
    decode_host,
    decode_worker,
    encode_host,
)
from ._items import MAX_CONFIG_CHARACTERS, Item
from ._metrics import HostMetrics
from ._process_metrics import ProcessMetrics
from ._settings import HostSettings, await_settings, read_settings
from ._store import Mirror, MirrorMode, Reread, StoreClient, StoreError, Watch
from ._worker_calls import PlatformWorkerCalls

HOST_LEASE_S = 8.0
"""Time to live of the lease on this host's entry. Hosts use the entries only for discovery."""

HOST_RENEWAL_INTERVAL_S = 2.5
"""Interval at which the lease of this host's entry is renewed."""

WORKER_REMOVAL_DELAY_S = 2.5
"""Time after which a worker whose entry is missing is removed. Entries whose leases expired while
the store was unavailable are written again within about 2 s of its return."""

REGISTRY_PAUSE_S = 0.8
"""Longest pause between two watches of the worker entries by a leader, which must start no task on
a worker later than 2 s after the worker announced that it is draining."""

REGISTRY_MIN_PAUSE_S = 0.2
"""Shortest such pause; calls to the store are charged."""

REGISTRY_BURST_S = 0.02
"""Time for which the changes of one watch may fill the host's link, since answers of workers wait
behind them."""

WORKER_CHANGE_BYTES = 400
"""Size of a changed worker entry in the answer to a watch."""

WORKER_CHANGE_INTERVAL_S = 1.5
"""Interval at which a worker updates its entry."""

FOLLOWER_REGISTRY_MODE = Reread(interval_s=10.0)
"""A follower needs the worker entries only when it takes the lead, and reads them again then.
Workers update their entries each 1.5 s; all of these changes would fill a slow link for longer than
hosts wait for an answer to a ping."""

HOSTS_MODE = Watch(wait_s=8.0)
"""The host entries are used only for discovery."""

SETTINGS_POLL_INTERVAL_S = 1.0
"""Interval at which the settings file is read, since it may change without a SIGHUP."""

RELOADED_FIELDS = frozenset({"grace_s"})
"""Settings whose changes take full effect at once; others, such as addresses, need a new start."""

LONGEST_JOB_S = 1.6
"""Longest time that a job takes. After SIGTERM new requests are accepted only while a job of this
length and :data:`EXIT_MARGIN_S` still fit into the grace period."""

EXIT_MARGIN_S = 0.5
"""Part of the grace period that is reserved for the exit of the process."""

ROTATION_DELAY_S = 2.2
"""Time after SIGTERM during which new connections are still expected: the load balancer polls
readiness once a second and removes a host from rotation after two failed polls."""

STATE_POLL_INTERVAL_S = 0.05
"""Interval at which the shutdown and the housekeeping check their conditions."""

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that the host handles: two that stop it, and one that reloads its settings."""

EXIT_SETTINGS_UNUSABLE = 2
"""Exit code if the settings file stays unusable."""

EXIT_LISTEN_FAILED = 3
"""Exit code if an address in the settings stays in use or does not belong to this machine."""

LISTEN_MARGIN_S = 2.0
"""Time beyond the grace period for which the start waits for an address."""

LISTEN_RETRY_INTERVAL_S = 0.05
"""Interval of the attempts to listen at an address."""

EXIT_FAILED = 4
"""Exit code after an unforeseen error; a line ``process_failed`` names it."""

LAST_LINES_S = 0.25
"""Longest wait at the end of the process for a slow reader of its last lines; it is part of
:data:`EXIT_MARGIN_S`."""

MAX_CONFIG_BYTES = 4_000_000
"""Largest configuration that is accepted from another host; the store holds at most a megabyte."""

RESERVED_FDS = 200
"""Descriptors that are not available to sockets (users' page on deployment)."""

CALLER_FDS_SHARE = 0.5
"""Share of the others that callers' connections may take. Without the rest, workers could not be
polled and other hosts not reached."""

MIN_CALLER_CONNECTIONS = 64

CALLER_MEMORY_SHARE = 0.25
"""Share of the memory limit that the requests of callers may take. Their jobs and the messages
about them hold most of a request's bytes again."""

DEFAULT_MEMORY_LIMIT_BYTES = 300_000_000
"""Memory limit that is assumed if the settings name none."""

METRICS_HEADERS = "Content-Type: text/plain; version=0.0.4\r\n"


def registry_pause_s(*, workers: int, link_bytes_per_s: float) -> float:
    """Pause of a leader between two watches of the worker entries.

    :param workers: number of entries.
    :param link_bytes_per_s: capacity of the host's link; infinite if it is not known.
    :returns: seconds; shorter on a thin link, where the changes then come in smaller parts.
    """
    bytes_per_s = max(1, workers) * WORKER_CHANGE_BYTES / WORKER_CHANGE_INTERVAL_S
    fitting_s = REGISTRY_BURST_S * link_bytes_per_s / bytes_per_s
    return min(REGISTRY_PAUSE_S, max(REGISTRY_MIN_PAUSE_S, fitting_s))


def max_caller_connections(max_fds: int) -> int:
    """Number of callers' connections that a process with this many descriptors accepts."""
    return max(MIN_CALLER_CONNECTIONS, int((max_fds - RESERVED_FDS) * CALLER_FDS_SHARE))


def max_caller_bytes(memory_limit_bytes: int) -> float:
    """Memory that a process with this limit, or 0 if it is unknown, has for callers' requests."""
    return (memory_limit_bytes or DEFAULT_MEMORY_LIMIT_BYTES) * CALLER_MEMORY_SHARE


class PlatformHost:
    """Runs one host: its servers, its driver, and its copy of the store's entries.

    :param path: settings file, which is read again when it changes.
    :param journal: where lines are written; standard output if left out.
    :param metrics_port: further port for metrics and state, at the IP address of the ready address;
        empty if there is none.
    """

    def __init__(
        self,
        *,
        settings: HostSettings,
        path: str,
        journal: Journal | None = None,
        metrics_port: str = "",
    ) -> None:
        self._metrics_port = metrics_port
        self._settings = settings
        self._path = path
        self._clock = Clock()
        self._journal = Journal(host=settings.name) if journal is None else journal
        self._journal.capture_stdlib_logging()
        self._errors = UnhandledErrors(journal=self._journal)
        self._supervisor = Supervisor(errors=self._errors, now=self._clock.now)
        self._traffic = TrafficByPurpose()
        now = self._clock.now()
        self._own = HostRecord(
            name=settings.name,
            address=settings.peer_address,
            domain=settings.domain,
            incarnation=int(now * 1e6),
            weight=settings.weight,
        )
        self._core = DispatchHost(
            own=self._own,
            now=now,
            stop_s=settings.stop_s,
            far_factor=settings.far_factor,
            link_bytes_per_s=settings.link_bytes_per_s,
        )
        self._worker_calls = PlatformWorkerCalls(
            on_invalid_answer=lambda worker, reason: self._journal.write(
                "worker_answer_not_understood", {"worker": worker, "reason": reason}
            ),
            is_in_use=lambda worker: (
                self._core.pool is not None and worker in self._core.pool.worker_by_id
            ),
            traffic=self._traffic,
        )
        self._driver = Driver(
            core=self._core,
            calls=self._worker_calls,
            clock=self._clock,
            journal=self._journal,
            peer_address=settings.peer_bind_address,
            traffic=self._traffic.of("hosts"),
        )
        self._caller_api = CallerApi(
            driver=self._driver,
            log=lambda event, fields, routine: self._journal.write(event, fields, routine=routine),
        )
        self._caller_server = HttpServer(
            handler=self._caller_api.handle,
            limits=ServerLimits(
                connections=max_caller_connections(settings.descriptor_limit),
                held_bytes=max_caller_bytes(settings.memory_limit_bytes),
            ),
            on_error=self._request_rejected,
            traffic=self._traffic.of("callers"),
        )
        self._ready_server, self._metrics_server = (
            HttpServer(
                handler=self._serve_status,
                on_error=self._request_rejected,
                traffic=self._traffic.of(purpose),
            )
            for purpose in ("status", "metrics")
        )
        self._store = StoreClient(address=settings.store_address, traffic=self._traffic)
        self._metrics = HostMetrics(
            core=self._core,
            store=self._store,
            caller_server=self._caller_server,
            journal=self._journal,
            traffic=self._traffic,
            process=ProcessMetrics(
                journal=self._journal,
                errors=self._errors,
                supervisor=self._supervisor,
                now=self._clock.now,
                read_at_by_prefix=lambda: {
                    mirror.prefix: mirror.read_at for mirror in self._mirrors
                },
                limits={
                    "memory_limit_bytes": settings.memory_limit_bytes,
                    "descriptor_limit": settings.descriptor_limit,
                },
            ),
        )
        self._caller_api.on_answer = self._metrics.count_answer
        self._worker_mirror = Mirror(
            store=self._store,
            prefix=WORKER_PREFIX,
            now=self._clock.now,
            on_change=self._workers_changed,
            on_availability=self._store_availability_changed,
            on_odd_item=self._ignore_item,
            mode=self._registry_mode,
        )
        self._mirrors = self._make_mirrors()
        self._settings_problem = ""
        self._takes_part = False
        self._exit_code = 0
        self._store_available: bool | None = None
        self._store_bytes = 0
        self._record_by_id: dict[str, WorkerRecord] = {}
        self._removal_at_by_id: dict[str, float] = {}
        self._value_by_id: dict[str, str] = {}
        self._registered_hosts: set[str] = set()
        self._refused_host_values: dict[str, str] = {}
        self._registration_lost = anyio.Event()

    async def run(self) -> int:
        """Receive signals, and serve until the first that stops the host."""
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            return await self.serve(signals)

    async def serve(self, signals: AsyncIterator[signal.Signals]) -> int:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        :param signals: signals that the process receives.
        :returns: exit code of the process.
        """
        asyncio.get_running_loop().set_exception_handler(self._errors.handle_loop_error)
        self._journal.write("start", {"domain": self._own.domain, "weight": self._own.weight})
        self._core.set_seeds(self._settings.seeds)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._take_part, group)
                await self._serve_until_stopped(signals)
                group.cancel_scope.cancel()
        finally:
            self._driver.stop()
        self._caller_server.close()
        self._ready_server.close()
        self._metrics_server.close()
        self._journal.write("stop", {"bytes": self._traffic.dump()})
        self._journal.flush()
        return self._exit_code

    async def _take_part(self, group: TaskGroup) -> None:
        """Listen, then start the tasks of the host; end the group if an address stays taken."""
        if not await self._listen():
            self._exit_code = EXIT_LISTEN_FAILED
            group.cancel_scope.cancel()
            return
        await self._listen_for_metrics()
        self._takes_part = True
        run = self._supervisor.run
        for mirror in self._mirrors:
            group.start_soon(run, f"mirror {mirror.prefix}", mirror.run)
        group.start_soon(run, "registration", self._maintain_registration)
        group.start_soon(run, "settings", self._poll_settings)
        group.start_soon(run, "housekeeping", self._run_housekeeping)

    async def _listen(self) -> bool:
        """Listen at all addresses, retrying while one is taken; tell whether that succeeded."""
        settings = self._settings
        # Other hosts connect last, when callers can already be served.
        steps: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            (
                settings.ready_address,
                lambda: self._ready_server.listen(settings.ready_address),
            ),
            (
                settings.front_address,
                lambda: self._caller_server.listen(settings.front_address),
            ),
            (settings.peer_bind_address, self._driver.start),
        ]
        # A predecessor may hold the addresses until the end of its grace period.
        give_up_at = anyio.current_time() + settings.grace_s + LISTEN_MARGIN_S
        for address, listen in steps:
            waited = False
            while True:
                try:
                    await listen()
                    break
                except OSError as error:
                    fields = {"step": "listen", "peer": address, "reason": str(error)}
                if anyio.current_time() >= give_up_at:
                    self._journal.write("start_failed", fields, final=True)
                    return False
                if not waited:
                    self._journal.write("address_awaited", fields)
                    waited = True
                await anyio.sleep(LISTEN_RETRY_INTERVAL_S)
        self._journal.write("listening", {"addresses": [address for address, _ in steps]})
        return True

    async def _listen_for_metrics(self) -> None:
        if not self._metrics_port:
            return
        ip, _, _ = self._settings.ready_address.rpartition(":")
        address = f"{ip}:{self._metrics_port}"
        try:
            await self._metrics_server.listen(address)
        except (OSError, ValueError, OverflowError) as error:
            # Metrics stay available at the ready address.
            self._journal.write("metrics_not_served", {"address": address, "reason": str(error)})

    def _make_mirrors(self) -> list[Mirror]:
        store, on_availability = self._store, self._store_availability_changed
        return [
            Mirror(
                store=store,
                prefix=OPERATOR_PREFIX,
                now=self._clock.now,
                on_change=self._operator_keys_changed,
                on_availability=on_availability,
                on_odd_item=self._ignore_item,
                max_characters=MAX_CONFIG_CHARACTERS,
            ),
            self._worker_mirror,
            Mirror(
                store=store,
                prefix=HOST_PREFIX,
                now=self._clock.now,
                on_change=self._hosts_changed,
                on_availability=on_availability,
                on_odd_item=self._ignore_item,
                mode=lambda: HOSTS_MODE,
            ),
        ]

    # --- signals and settings ---

    async def _serve_until_stopped(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for number in signals:
            self._metrics.count_signal(number.name)
            if number != signal.SIGHUP:
                if self._takes_part:
                    await self._drain()
                return
            with self._errors.contained("settings"):
                self._reload_settings()

    async def _drain(self) -> None:
        """Serve until the host is out of the load balancer's rotation and idle, or the grace period
        ends; refuse new requests once they no longer fit into the grace period."""
        started_at = self._clock.now()
        self._journal.write("drain", {"busy": self._caller_server.pending_requests()})
        self._caller_api.draining = True
        self._core.drain(started_at)
        self._driver.schedule_actions()
        refuse_at = started_at + self._settings.grace_s - LONGEST_JOB_S - EXIT_MARGIN_S
        end_at = started_at + self._settings.grace_s - EXIT_MARGIN_S
        while self._clock.now() < end_at:
            await anyio.sleep(STATE_POLL_INTERVAL_S)
            if self._clock.now() >= refuse_at and not self._caller_api.refusing_jobs:
                self._journal.write(
                    "refuse_new_requests", {"busy": self._caller_server.pending_requests()}
                )
                self._caller_api.refusing_jobs = True
                self._caller_server.close_idle()
            pool = self._core.pool
            busy = self._caller_server.connections or not (pool is None or pool.is_idle())
            if busy or self._clock.now() < started_at + ROTATION_DELAY_S:
                continue
            if not self._caller_server.is_listening():
                break
            # Requests on connections accepted before this are still answered.
            self._caller_server.stop_listening()
        self._caller_server.close_idle()
        await anyio.sleep(STATE_POLL_INTERVAL_S)

    async def _poll_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        result = read_settings(self._path)
        problem = str(result.unwrap_err()) if result.is_err() else ""
        if problem and problem != self._settings_problem:
            self._journal.write("settings_unusable", {"reason": problem})
        self._settings_problem = problem
        if result.is_err() or result.unwrap() == self._settings:
            return
        settings = result.unwrap()
        changed = {
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        }
        self._journal.write(
            "settings_changed",
            {
                "fields": sorted(changed & RELOADED_FIELDS),
                "fields_of_next_start": sorted(changed - RELOADED_FIELDS),
            },
        )
        self._settings = settings

    # --- store ---

    def _store_availability_changed(self, up: bool, reason: str) -> None:
        if self._store_available != up:
            self._store_available = up
            event = "store_answers" if up else "store_lost"
            self._journal.write(event, {"reason": reason, "calls": self._store.calls})

    def _ignore_item(self, key: str, reason: str) -> None:
        self._journal.write("store_item_ignored", {"key": key, "reason": reason})

    def _report_store_traffic(self) -> None:
        """Tell the core that the store is answering, if bytes have arrived since the last report.
        The bytes of a failed call, such as a refusal, are no sign of that."""
        received = self._store.bytes_received()
        if received > self._store_bytes and self._store_available:
            self._core.store_answering(self._clock.now())
        self._store_bytes = received

    def _operator_keys_changed(self, items: dict[str, Item], revision: int) -> None:
        domains = {
            key.removeprefix(EVACUATION_PREFIX)
            for key in items
            if key.startswith(EVACUATION_PREFIX)
        }
        known = self._core.evacuations
        if not known.revision or domains != set(known.domains):
            self._journal.write("evacuated_domains", {"domains": sorted(domains)})
            self._core.set_evacuations(self._clock.now(), revision=revision, domains=domains)
            self._driver.schedule_actions()
        item = items.get(CONFIG_KEY)
        if item is not None:
            self._apply_config(item.content(), "store")

    def _apply_received_config(self, compressed: bytes) -> None:
        try:
            document = zlib.decompressobj().decompress(compressed, MAX_CONFIG_BYTES)
        except zlib.error as error:
            self._journal.write("config_unusable", {"source": "host", "reason": str(error)})
            return
        self._apply_config(document, "host")

    def _apply_config(self, document: bytes, source: str) -> None:
        result = decode_config(document)
        if result.is_err():
            self._journal.write(
                "config_unusable", {"source": source, "reason": result.unwrap_err()}
            )
            return
        routes = result.unwrap()
        if routes.version <= self._caller_api.routes.version:
            return
        self._journal.write(
            "config_in_force",
            {
                "version": routes.version,
                "before": self._caller_api.routes.version,
                "source": source,
            },
        )
        self._caller_api.routes = routes
        limits = self._caller_server.limits
        limits.header_bytes, limits.body_bytes = routes.header_bytes, routes.body_bytes
        limits.header_s, limits.idle_s = routes.header_s, routes.idle_s
        self._core.set_config(routes.version, document)
        self._set_workers()

    def _workers_changed(self, items: dict[str, Item], _: int) -> None:
        now = self._clock.now()
        for key, item in items.items():
            worker_id = key.removeprefix(WORKER_PREFIX)
            self._removal_at_by_id.pop(worker_id, None)
            if self._value_by_id.get(worker_id) == item.value:
                continue
            self._value_by_id[worker_id] = item.value
            result = decode_worker(worker_id, item.content())
            if result.is_err():
                self._journal.write(
                    "worker_entry_ignored", {"worker": worker_id, "reason": result.unwrap_err()}
                )
                self._record_by_id.pop(worker_id, None)
            else:
                self._record_by_id[worker_id] = result.unwrap()
        for worker_id in list(self._value_by_id):
            if WORKER_PREFIX + worker_id not in items:
                self._removal_at_by_id.setdefault(worker_id, now + WORKER_REMOVAL_DELAY_S)
        self._set_workers()

    def _set_workers(self) -> None:
        capacity_checked = self._caller_api.routes.capacity_checked_services
        records = {
            worker_id: dataclasses.replace(
                record, checks_capacity=record.service in capacity_checked
            )
            for worker_id, record in self._record_by_id.items()
        }
        self._worker_calls.set_workers(records)
        self._core.set_workers(self._clock.now(), records, read_at=self._worker_mirror.read_at)
        self._driver.schedule_actions()

    def _registry_mode(self) -> MirrorMode:
        if self._core.pool is None:
            return FOLLOWER_REGISTRY_MODE
        pause_s = registry_pause_s(
            workers=len(self._record_by_id), link_bytes_per_s=self._settings.link_bytes_per_s
        )
        return Watch(pause_s=pause_s)

    def _hosts_changed(self, items: dict[str, Item], _: int) -> None:
        hosts = []
        refused: dict[str, str] = {}
        for key, item in items.items():
            result = decode_host(key.removeprefix(HOST_PREFIX), item.content())
            if result.is_err():
                # Each change of any entry brings all of them.
                if self._refused_host_values.get(key) != item.value:
                    self._journal.write(
                        "host_entry_ignored", {"key": key, "reason": result.unwrap_err()}
                    )
                refused[key] = item.value
            else:
                hosts.append(result.unwrap())
        self._refused_host_values = refused
        self._registered_hosts = {host.name for host in hosts}
        self._core.set_hosts(self._clock.now(), hosts)
        if self._own.name not in self._registered_hosts:
            self._registration_lost.set()

    async def _run_housekeeping(self) -> None:
        """Remove workers whose entries have been missing for too long, apply configurations
        received from other hosts, and read the registry when this host has taken the lead."""
        led = False
        while True:
            due_at = self._clock.now() + STATE_POLL_INTERVAL_S
            await anyio.sleep(STATE_POLL_INTERVAL_S)
            now = self._clock.now()
            # On this clock the time of a suspension counts.
            self._metrics.observe_lateness(now - due_at)
            self._report_store_traffic()
            leads = self._core.pool is not None
            if leads and not led:
                self._worker_mirror.wake()
            led = leads
            removed = [worker for worker, at in self._removal_at_by_id.items() if now >= at]
            for worker_id in removed:
                del self._removal_at_by_id[worker_id]
                self._value_by_id.pop(worker_id, None)
                self._record_by_id.pop(worker_id, None)
            if removed:
                self._set_workers()
            new_config = self._core.new_config
            if new_config is not None:
                self._core.new_config = None
                self._apply_received_config(new_config.document)

    async def _maintain_registration(self) -> None:
        lease = 0
        while True:
            try:
                if not lease or self._own.name not in self._registered_hosts:
                    lease = await self._store.create_lease(HOST_LEASE_S)
                    key = HOST_PREFIX + self._own.name
                    await self._store.put(key, encode_host(self._own), lease)
                else:
                    await self._store.renew_lease(lease)
            except StoreError as error:
                self._journal.write("host_entry_not_renewed", {"reason": str(error)})
                if error.status == 404:
                    lease = 0
            self._registration_lost = anyio.Event()
            with anyio.move_on_after(HOST_RENEWAL_INTERVAL_S):
                await self._registration_lost.wait()
                await anyio.sleep(STATE_POLL_INTERVAL_S)

    # --- readiness, metrics and state ---

    def _request_rejected(self, status: int, reason: str) -> None:
        self._journal.write("request_rejected", {"status": status, "reason": reason})

    def _serve_status(self, exchange: Exchange) -> None:
        match exchange.request.path:
            case "/metrics":
                self._serve_text("metrics", self._metrics.render, METRICS_HEADERS, exchange)
            case "/state":
                self._serve_text("state", self._render_state, "", exchange)
            case _:
                exchange.respond(200 if self._core.is_ready() else 503)

    def _serve_text(
        self, part: str, render: Callable[[], bytes], headers: str, exchange: Exchange
    ) -> None:
        with self._errors.contained(part):
            exchange.respond(200, render(), headers=headers)
        exchange.respond(500)

    def _render_state(self) -> bytes:
        state = {**self._core.dump(), "bytes": self._traffic.dump()}
        return msgspec.json.encode(state, enc_hook=str)


def run_host(
    path: str, *, metrics_port: str = "", end: Callable[[int], object] = lambda code: None
) -> int:
    """Run a host until it is stopped; return the exit code of the process.

    :param path: settings file.
    :param metrics_port: see :class:`PlatformHost`.
    :param end: called with that code once nothing is left to do, while signals are still received.
    """
    journal = Journal(host="")
    try:
        return _run_host(path, journal, metrics_port, end)
    except Exception as error:
        report_process_failure(journal, error)
        return EXIT_FAILED
    finally:
        journal.close(LAST_LINES_S)


def _run_host(path: str, journal: Journal, metrics_port: str, end: Callable[[int], object]) -> int:
    result = await_settings(
        path, on_unusable=lambda error: journal.write("settings_awaited", error.dump())
    )
    if result.is_err():
        journal.write("start_failed", result.unwrap_err().dump(), final=True)
        return EXIT_SETTINGS_UNUSABLE
    settings = result.unwrap()
    journal.host = settings.name
    host = PlatformHost(settings=settings, path=path, journal=journal, metrics_port=metrics_port)

    async def serve() -> int:
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            code = await host.serve(signals)
            journal.close(LAST_LINES_S)
            # Past this block, signals have their default actions again, and the event loop and the
            # interpreter wait for threads.
            end(code)
            return code

    return anyio.run(serve)
