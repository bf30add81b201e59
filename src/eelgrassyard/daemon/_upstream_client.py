"""HTTP client that starts and controls tasks on upstreams."""

from __future__ import annotations

import json
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, NoReturn
from urllib.parse import quote

import anyio
import anyio.abc
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .._clock import Clock
from ..policy import (
    Control,
    ControlTask,
    Event,
    RenewLeases,
    StartFinished,
    StartResult,
    StartTask,
    UpstreamRole,
    UsageEntry,
    UsageReported,
)
from ._connections import (
    HttpConnections,
    HttpReply,
    NotSentError,
    ReplyLostError,
    ReplyTooLargeError,
    client_tls,
)
from ._json import read_json
from ._logs import log_change
from ._metrics import Metrics
from ._settings import LimitSettings

NOT_STARTED_HEADER = "eelgrassyard-not-started"
LEAVING_HEADER = "eelgrassyard-leaving"
TASK_HEADER = "eelgrassyard-task"
CONTROL_TIMEOUT_S = 5.0
MAX_ERROR_BODY_BYTES = 500
"""Largest part of an error response that is kept in the result."""


@dataclass(slots=True, kw_only=True)
class RunningStart:
    """A start whose result is not known yet.

    :param scope: cancels the request.
    """

    action: StartTask
    role: UpstreamRole
    scope: anyio.CancelScope
    stop_requested: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamAddress:
    """Base URL and role of an upstream."""

    url: str
    role: UpstreamRole


class UpstreamClient:
    """Executes the actions of the core that concern upstreams.

    :param address_of: address of an upstream by name, or None if it is not known.
    :param lease_s: the configured lease time.
    :param put: queues an event for the core.
    """

    def __init__(
        self,
        *,
        group: anyio.abc.TaskGroup,
        address_of: Callable[[str], UpstreamAddress | None],
        lease_s: Callable[[], float],
        put: Callable[[Event], None],
        clock: Clock,
        limits: LimitSettings,
        metrics: Metrics,
    ) -> None:
        self._group = group
        self._address_of = address_of
        self._lease_s = lease_s
        self._put = put
        self._clock = clock
        self._limits = limits
        self._metrics = metrics
        self._tls_by_scheme: dict[str, ssl.SSLContext] = {}
        self._connections_by_url: dict[str, HttpConnections] = {}
        self._start_by_number: dict[int, RunningStart] = {}

    @property
    def running(self) -> int:
        """Number of starts whose result is not known yet."""
        return len(self._start_by_number)

    def start(self, decided_at: float, action: StartTask) -> None:
        """Start a task; its result is reported as StartFinished.

        :param decided_at: time of the tick that decided the start.
        """
        address = self._address_of(action.upstream)
        if address is None:
            self._metrics.count("upstream.unknown")
            self._put(
                _start_finished(action, StartResult.NOT_STARTED, b"unknown upstream", refused=True)
            )
            return
        running = RunningStart(action=action, role=address.role, scope=anyio.CancelScope())
        self._start_by_number[action.start] = running
        self._group.start_soon(self._run_start, decided_at, running, address)

    def control(self, action: ControlTask) -> None:
        """Stop, checkpoint, throttle or resume a task.

        Runners have no control calls: a stop cancels the request, the rest is ignored.
        """
        running = self._start_by_number.get(action.start)
        if action.control is Control.STOP and running is not None:
            running.stop_requested = True
            if running.role is UpstreamRole.RUNNER:
                running.scope.cancel()
                return
        address = self._address_of(action.upstream)
        if address is None or address.role is UpstreamRole.RUNNER:
            return
        task = quote(f"{action.submission_id}/{action.index}", safe="/")
        self._group.start_soon(
            self._send_control, address.url, f"/tasks/{task}/{action.control.value}", b"{}"
        )

    def renew(self, action: RenewLeases) -> None:
        """Renew the leases of tasks on a worker."""
        address = self._address_of(action.upstream)
        if address is not None:
            content = json.dumps({"tasks": action.tasks, "lease_s": action.lease_s}).encode()
            self._group.start_soon(self._send_control, address.url, "/leases", content)

    async def read_usage(self, upstream: str) -> None:
        """Read the usage report of a worker and pass it to the core."""
        address = self._address_of(upstream)
        if address is None:
            return
        reply = await self._send_control(address.url, "/usage", b"", method="GET")
        if reply is None or reply.status != 200:
            return
        tasks = _parse_usage(reply.body)
        if tasks is None:
            self._metrics.count("upstream.bad_usage")
            log_change("upstream", "usage report not understood", peer=upstream)
            return
        self._put(UsageReported(upstream=upstream, tasks=tasks))

    async def close_idle(self) -> None:
        """Close connections that have been idle for ``limits.idle_s``."""
        for url, connections in list(self._connections_by_url.items()):
            await connections.close_expired()
            if not connections.idle and not connections.in_use:
                self._connections_by_url.pop(url, None)

    async def close(self) -> None:
        """Close all idle connections."""
        for connections in self._connections_by_url.values():
            await connections.close()

    def dump(self) -> dict[str, object]:
        """Numbers of idle and used connections by upstream URL."""
        return {
            url: {"idle": connections.idle, "in_use": connections.in_use}
            for url, connections in sorted(self._connections_by_url.items())
        }

    def _connections(self, url: str) -> HttpConnections:
        connections = self._connections_by_url.get(url)
        if connections is None:
            scheme = url.partition(":")[0]
            if scheme not in self._tls_by_scheme:
                self._tls_by_scheme[scheme] = client_tls(url)
            connections = self._connections_by_url[url] = HttpConnections(
                url=url,
                tls=self._tls_by_scheme[scheme],
                connect_s=self._limits.connect_s,
                idle_s=self._limits.idle_s,
                max_idle=self._limits.idle_connections,
                max_answer_bytes=self._limits.answer_bytes,
            )
        return connections

    async def _run_start(
        self, decided_at: float, running: RunningStart, address: UpstreamAddress
    ) -> None:
        action = running.action
        began = time.monotonic()
        event: StartFinished | None = None
        with running.scope as scope, anyio.move_on_after(action.timeout_s):
            event = await self._send_start(decided_at, running, address)
        if event is None and scope.cancelled_caught and running.stop_requested:
            event = _start_finished(action, StartResult.STOPPED, b"stopped")
        elif event is None:
            event = _start_finished(action, StartResult.LOST, b"no answer in time")
        del self._start_by_number[action.start]
        self._metrics.count(f"upstream.{event.result.name.lower()}")
        self._put(
            StartFinished(
                start=event.start,
                upstream=event.upstream,
                result=event.result,
                run_s=time.monotonic() - began,
                payload=event.payload,
                leaving=event.leaving,
                refused_by_connect=event.refused_by_connect,
            )
        )

    async def _send_start(
        self, decided_at: float, running: RunningStart, address: UpstreamAddress
    ) -> StartFinished:
        action = running.action
        # If the process was paused after the decision, the witness may have reported the submission
        # as not run. The configured lease time is used, because starts on runners carry no lease.
        if self._clock.now() - decided_at > self._lease_s():
            return _start_finished(action, StartResult.NOT_STARTED, b"decided too long ago")
        path, headers, content = _build_request(action, address.role)
        try:
            reply = await self._connections(address.url).request(
                "POST", path, headers=headers, content=content
            )
        except NotSentError as error:
            return _start_finished(
                action, StartResult.NOT_STARTED, str(error).encode(), refused=True
            )
        except ReplyLostError as error:
            return _start_finished(action, StartResult.LOST, str(error).encode())
        except ReplyTooLargeError as error:
            return _start_finished(action, StartResult.FAILED, str(error).encode())
        return _parse_reply(action, reply, stop_requested=running.stop_requested)

    async def _send_control(
        self, url: str, path: str, content: bytes, method: str = "POST"
    ) -> HttpReply | None:
        """Send a request that may be lost, because it is repeated or a lease bounds the effect.

        :returns: None if there was no complete reply.
        """
        with anyio.move_on_after(CONTROL_TIMEOUT_S):
            try:
                return await self._connections(url).request(method, path, content=content)
            except (NotSentError, ReplyLostError, ReplyTooLargeError):
                pass
        self._metrics.count("upstream.control_failed")
        return None


def _build_request(action: StartTask, role: UpstreamRole) -> tuple[str, dict[str, str], bytes]:
    task = f"{action.submission_id}/{action.index}"
    if role is UpstreamRole.RUNNER:
        return f"/run/{quote(action.kind, safe='')}", {TASK_HEADER: task}, action.payload
    fields = {
        "task": task,
        "fence": {
            "owner": action.fence.owner,
            "incarnation": action.fence.incarnation,
            "sequence": action.fence.sequence,
        },
        "lease_s": action.lease_s,
        "cores": action.cores,
        "memory_mb": action.memory_mb,
        "accelerators": action.accelerators,
        "kind": action.kind,
    }
    head = json.dumps(fields)
    return "/tasks", {}, head[:-1].encode() + b',"payload":' + action.payload + b"}"


def _parse_reply(action: StartTask, reply: HttpReply, *, stop_requested: bool) -> StartFinished:
    leaving = reply.headers.get(LEAVING_HEADER) == "1"
    if reply.status == 200:
        if _is_json(reply.body):
            return _start_finished(action, StartResult.OK, reply.body, leaving=leaving)
        return _start_finished(
            action, StartResult.FAILED, b"the answer is not JSON", leaving=leaving
        )
    if reply.status == 503 and reply.headers.get(NOT_STARTED_HEADER) == "1":
        return _start_finished(action, StartResult.NOT_STARTED, b"refused", leaving=leaving)
    result = StartResult.STOPPED if stop_requested else StartResult.FAILED
    message = f"status {reply.status}: ".encode() + reply.body[:MAX_ERROR_BODY_BYTES]
    return _start_finished(action, result, message, leaving=leaving)


def _start_finished(
    action: StartTask,
    result: StartResult,
    payload: bytes,
    *,
    leaving: bool = False,
    refused: bool = False,
) -> StartFinished:
    return StartFinished(
        start=action.start,
        upstream=action.upstream,
        result=result,
        run_s=0.0,
        payload=payload,
        leaving=leaving,
        refused_by_connect=refused,
    )


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(name)


def _is_json(body: bytes) -> bool:
    """Whether the body is strict JSON and can be copied unchanged into the answer to a caller."""
    try:
        json.loads(body.decode(), parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return False
    return True


class _UsageModel(BaseModel):
    """One task in the usage report of a worker."""

    model_config = ConfigDict(coerce_numbers_to_str=True, allow_inf_nan=False)

    task: str
    kind: str
    cores: Annotated[float, Field(ge=0, le=1_000_000)]
    memory_mb: Annotated[int, Field(ge=0, le=10**12)]


class _UsageReportModel(BaseModel):
    tasks: list[_UsageModel]


def _parse_usage(body: bytes) -> tuple[UsageEntry, ...] | None:
    try:
        report = _UsageReportModel.model_validate(read_json(body).unwrap_or(None))
    except ValidationError:
        return None
    return tuple(
        UsageEntry(task=task.task, kind=task.kind, cores=task.cores, memory_mb=task.memory_mb)
        for task in report.tasks
    )
