"""The host process on the platform: its parts, signals, settings, graceful shutdown and status."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import msgspec
from anyio.abc import TaskGroup

from .._clock import Clock
from .._journal import Journal
from .._supervision import Supervisor
from .._unhandled import UnhandledErrors
from ..dispatch._host import DispatchHost
from ..dispatch._messages import HostRecord
from ..net import Exchange, HttpServer, ServerLimits, TrafficByPurpose
from ..net._driver import Driver
from ._caller_api import CallerApi
from ._caller_limits import (
    available_descriptors,
    max_caller_bytes,
    max_caller_connections,
)
from ._explain import explain
from ._listening import listen_when_free
from ._metrics import HostMetrics
from ._process_metrics import ProcessMetrics
from ._registration import Registration
from ._settings import HostSettings, read_settings
from ._store import StoreClient
from ._store_follower import ADVANCE_INTERVAL_S, StoreFollower
from ._worker_calls import PlatformWorkerCalls

SETTINGS_POLL_INTERVAL_S = 1.0
"""Interval at which the settings file is read, since it may change without a SIGHUP."""

RELOADED_FIELDS = frozenset({"grace_s"})
"""Settings whose changes take full effect at once; others, such as addresses, need a new start."""

EXIT_MARGIN_S = 0.5
"""Part of the grace period that is reserved for the exit of the process. Jobs must have ended
before it."""

ROTATION_DELAY_S = 2.2
"""Time after SIGTERM during which new connections are still expected: the load balancer polls
readiness once a second and removes a host from rotation after two failed polls."""

STATE_POLL_INTERVAL_S = 0.05
"""Interval at which the shutdown checks its conditions."""

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that the host handles: two that stop it, and one that reloads its settings."""

EXIT_LISTEN_FAILED = 3
"""Exit code if an address in the settings stays in use or does not belong to this machine."""

METRICS_HEADERS = "Content-Type: text/plain; version=0.0.4\r\n"


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
                connections=max_caller_connections(
                    available_descriptors(settings.descriptor_limit)
                ),
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
                core_errors=self._core.unforeseen_errors,
                supervisor=self._supervisor,
                now=self._clock.now,
                read_at_by_prefix=lambda: {
                    mirror.prefix: mirror.read_at for mirror in self._follower.mirrors
                },
                limits={
                    "memory_limit_bytes": settings.memory_limit_bytes,
                    "descriptor_limit": settings.descriptor_limit,
                },
            ),
        )
        self._caller_api.on_answer = self._metrics.count_answer
        self._registration = Registration(own=self._own, store=self._store, journal=self._journal)
        self._follower = StoreFollower(
            store=self._store,
            core=self._core,
            driver=self._driver,
            worker_calls=self._worker_calls,
            caller_api=self._caller_api,
            caller_server=self._caller_server,
            journal=self._journal,
            clock=self._clock,
            on_hosts=self._registration.set_listed,
            link_bytes_per_s=settings.link_bytes_per_s,
        )
        self._settings_problem = ""
        self._takes_part = False
        self._exit_code = 0

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
        self._core.set_seeds(self._clock.now(), self._settings.seeds)
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
        settings = self._settings
        # Other hosts connect last, when callers can already be served.
        steps: list[tuple[str, Callable[[], Awaitable[None]]]] = [
            (settings.ready_address, lambda: self._ready_server.listen(settings.ready_address)),
            (settings.front_address, lambda: self._caller_server.listen(settings.front_address)),
            (settings.peer_bind_address, self._driver.start),
        ]
        if not await listen_when_free(steps, journal=self._journal, grace_s=settings.grace_s):
            self._exit_code = EXIT_LISTEN_FAILED
            group.cancel_scope.cancel()
            return
        await self._listen_for_metrics()
        self._takes_part = True
        run = self._supervisor.run
        for mirror in self._follower.mirrors:
            group.start_soon(run, f"mirror {mirror.prefix}", mirror.run)
        group.start_soon(run, "registration", self._registration.maintain)
        group.start_soon(run, "settings", self._poll_settings)
        group.start_soon(run, "housekeeping", self._run_housekeeping)

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
        ends; refuse each job that may not end before that, and give up those that have not."""
        started_at = self._clock.now()
        end_at = started_at + self._settings.grace_s - EXIT_MARGIN_S
        self._journal.write("drain", {"busy": self._caller_server.pending_requests()})
        self._caller_api.drain(jobs_end_by=end_at)
        self._core.drain(started_at)
        self._driver.schedule_actions()
        while self._clock.now() < end_at:
            await anyio.sleep(STATE_POLL_INTERVAL_S)
            if self._clock.now() < started_at + ROTATION_DELAY_S:
                continue
            if not self._caller_server.closing:
                self._journal.write(
                    "close_idle_connections", {"busy": self._caller_server.pending_requests()}
                )
                self._caller_server.close_idle()
            pool = self._core.pool
            if self._caller_server.connections or not (pool is None or pool.is_idle()):
                continue
            if not self._caller_server.is_listening():
                break
            # Requests on connections accepted before this are still answered.
            self._caller_server.stop_listening()
        self._caller_server.close_idle()
        self._driver.give_up_jobs()
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

    async def _run_housekeeping(self) -> None:
        while True:
            due_at = self._clock.now() + ADVANCE_INTERVAL_S
            await anyio.sleep(ADVANCE_INTERVAL_S)
            # On this clock the time of a suspension counts.
            self._metrics.observe_lateness(self._clock.now() - due_at)
            self._follower.advance()

    # --- readiness, metrics and state ---

    def _request_rejected(self, status: int, reason: str) -> None:
        self._journal.write("request_rejected", {"status": status, "reason": reason})

    def _serve_status(self, exchange: Exchange) -> None:
        match exchange.request.path:
            case "/metrics":
                self._serve_text("metrics", self._metrics.render, METRICS_HEADERS, exchange)
            case "/state":
                self._serve_text("state", self._render_state, "", exchange)
            case "/explain":
                self._serve_explanation(exchange)
            case _:
                exchange.respond(200 if self._core.is_ready() else 503)

    def _serve_text(
        self, part: str, render: Callable[[], bytes], headers: str, exchange: Exchange
    ) -> None:
        with self._errors.contained(part):
            exchange.respond(200, render(), headers=headers)
        exchange.respond(500)

    def _serve_explanation(self, exchange: Exchange) -> None:
        with self._errors.contained("explain"):
            status, answer = explain(
                exchange.request,
                core=self._core,
                caller_api=self._caller_api,
                now=self._clock.now(),
            )
            exchange.respond(status, msgspec.json.encode(answer))
        exchange.respond(500)

    def _render_state(self) -> bytes:
        state = {**self._core.dump(), "bytes": self._traffic.dump()}
        return msgspec.json.encode(state, enc_hook=str)
