"""HTTP API for callers: turns requests into jobs, and outcomes of jobs into responses."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from .._decoding import decode
from ..dispatch._entry import AnswerCaller
from ..dispatch._jobs import Job, Outcome, Step
from ..dispatch._routes import Kind, RouteTable
from ..net import Exchange, HttpRequest
from ..net._driver import Driver
from ..net._errors import report_contained
from ._documents import MAX_DURATION_MS

RETRY_AFTER_S = 1
"""Default of the Retry-After header of a refused request."""

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")

MAX_SPEC_BYTES = 4_000

MAX_TASKS = 10_000
"""Tasks of one job; a job with more is rejected as a caller's mistake."""

MAX_SIZE = 10**9
"""Largest size of a task in one dimension, beyond any worker. Messages between hosts hold integers
of 64 bits, and so must the sum over all tasks of a job."""

MAX_ESTIMATE_MS = 1e10
"""Longest declared run time, about four months; sums over all steps stay finite."""

MAX_RETRY_AFTER_S = 60.0

OUTLASTS_HOST = "it may not end before the host does"
"""Reason for which a host that is being stopped refuses a job."""

MAX_CALLER_WAIT_S = MAX_DURATION_MS / 1000.0
"""Longest wait that a deadline header can ask for, as for the timeout of a route. Messages between
hosts hold at most 1e6 s, and a leader ignores a job beyond that."""


class _Phase(msgspec.Struct):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 100.0
    after: list[int] = []
    requirements: str = ""
    affinity: str = ""
    same_rack: bool = False
    max_per_server: int = 0
    gang: bool = False
    long_running: bool = False
    fills: bool = False


class _JobBody(msgspec.Struct):
    spec: str
    phases: list[_Phase]
    best_effort: bool = False
    repeat_count: int = 0


_job_decoder = msgspec.json.Decoder(_JobBody)

_BODY_BY_OUTCOME = {
    Outcome.COMPLETE: b'{"state":"completed"}',
    Outcome.FAILED: b'{"state":"failed"}',
}


class CallerApi:
    """Answers the HTTP requests of callers.

    :param log: writes a log line with an event and its fields; the last argument tells whether the
        line is routine.
    :ivar draining: whether responses close their connection, since the host is shutting down.
    :ivar jobs_end_by: time by which new jobs must be able to end.
    :ivar on_answer: called with the kind, HTTP status and duration of each answered job.
    """

    def __init__(
        self, *, driver: Driver, log: Callable[[str, dict[str, object], bool], None]
    ) -> None:
        self.routes = RouteTable()
        self.draining = False
        self.jobs_end_by = math.inf
        self.on_answer: Callable[[str, int, float], None] | None = None
        self._driver = driver
        self._log = log

    def drain(self, *, jobs_end_by: float) -> None:
        """Close each connection after its response, and refuse the jobs that may end later than
        this time."""
        self.draining = True
        self.jobs_end_by = jobs_end_by

    def handle(self, exchange: Exchange) -> None:
        """Answer a request, at once or when its job has ended.

        An unforeseen error is answered with 502, since the job may have been submitted.
        """
        try:
            self._handle(exchange)
        except Exception as error:
            self._fail(exchange, error)

    def _fail(self, exchange: Exchange, error: Exception) -> None:
        report_contained(f"request {exchange.request.path!r:.200} failed", error)
        exchange.client_left()
        self._respond(exchange, 502)

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if not self.routes.version:
            self._refuse(exchange, "", "no configuration yet")
            return
        kind = self.routes.find(request.headers.get("host", ""), request.path)
        if kind is None:
            self._respond(exchange, 404)
            return
        rest = request.path[len(kind.prefix) :]
        match request.method:
            case "GET" if not rest:
                # Jobs are not stored before they end, so none is ever pending in the store.
                self._respond(exchange, 200, b'{"pending":0}')
            case "POST":
                self._submit(exchange, kind, rest)
            case "DELETE" if _JOB_ID.match(rest) and self._driver.cancel_job(rest, kind=kind.name):
                self._respond(exchange, 200)
            case "GET" | "DELETE" if _JOB_ID.match(rest):
                self._respond(exchange, 410)
            case "GET" | "DELETE" | "HEAD":
                self._respond(exchange, 410)
            case _:
                self._respond(exchange, 405, headers="Allow: GET, POST, DELETE\r\n")

    def _respond(
        self, exchange: Exchange, status: int, body: bytes = b"", *, headers: str = ""
    ) -> None:
        exchange.respond(status, body, headers=headers, close=self.draining)

    def _refuse(
        self, exchange: Exchange, job_id: str, reason: str, retry_after_s: float = RETRY_AFTER_S
    ) -> None:
        self._log("request_refused", {"job": job_id, "reason": reason}, False)
        if not math.isfinite(retry_after_s):
            retry_after_s = RETRY_AFTER_S
        seconds = math.ceil(min(MAX_RETRY_AFTER_S, max(1.0, retry_after_s)))
        exchange.respond(
            503,
            headers=f"Retry-After: {seconds}\r\n",
            close=self.draining or not self._driver.core.is_ready(),
        )

    def _submit(self, exchange: Exchange, kind: Kind, job_id: str) -> None:
        request = exchange.request
        result = _read_body(request.body, job_id)
        if result.is_err():
            reason = result.unwrap_err()
            self._log("request_malformed", {"job": job_id, "reason": reason}, False)
            self._respond(exchange, 400)
            return
        body = result.unwrap()
        unsupported = _unsupported_feature(body, kind)
        if unsupported:
            self._refuse(exchange, job_id, unsupported)
            return
        job = _make_job(body, kind, job_id)
        caller_waits_s = _caller_wait_s(
            request.headers.get("x-request-deadline", ""), kind.timeout_s
        )
        started_at = self._driver.now()
        # A request for a job in progress can't be refused as not run.
        if started_at + job.latest_end_s() > self.jobs_end_by and not self._driver.has_job(job_id):
            self._refuse(exchange, job_id, OUTLASTS_HOST)
            return

        def on_answer(answer: AnswerCaller) -> None:
            try:
                self._answer(exchange, job, answer, self._driver.now() - started_at)
            except Exception as error:
                self._fail(exchange, error)

        ticket = self._driver.submit(job, caller_waits_s=caller_waits_s, on_answer=on_answer)
        exchange.on_close = lambda: self._driver.caller_left(ticket)

    def _answer(self, exchange: Exchange, job: Job, answer: AnswerCaller, took_s: float) -> None:
        if self.on_answer is not None:
            self.on_answer(job.kind, _STATUS_BY_OUTCOME[answer.outcome], took_s)
        self._log(
            "request_answered",
            {
                "job": job.id,
                "kind": job.kind,
                "outcome": answer.outcome.value,
                "reason": answer.reason,
                "took_s": round(took_s, 3),
                "objective_s": round(job.objective_s(), 3),
                "config": self.routes.version,
            },
            answer.outcome is Outcome.COMPLETE,
        )
        match answer.outcome:
            case Outcome.NOT_RUN:
                self._refuse(exchange, job.id, answer.reason, answer.retry_after_s)
            case Outcome.ABANDONED:
                self._respond(exchange, 502)
            case outcome:
                self._respond(exchange, 200, _BODY_BY_OUTCOME[outcome])


_STATUS_BY_OUTCOME = {
    Outcome.COMPLETE: 200,
    Outcome.FAILED: 200,
    Outcome.NOT_RUN: 503,
    Outcome.ABANDONED: 502,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Answer to a job that is not submitted."""

    status: int
    reason: str


def _read_body(raw: bytes, job_id: str) -> Result[_JobBody, str]:
    """Decode and check the body of a job."""
    result = decode(_job_decoder, raw)
    if result.is_err():
        return Err(result.unwrap_err())
    reason = _validation_error(result.unwrap(), job_id)
    return Err(reason) if reason else result


def read_job(request: HttpRequest, kind: Kind, job_id: str) -> Result[tuple[Job, float], Rejection]:
    """The job of a request and the seconds that its caller waits, or the answer that it gets
    without a submission."""
    result = _read_body(request.body, job_id)
    if result.is_err():
        return Err(Rejection(status=400, reason=result.unwrap_err()))
    body = result.unwrap()
    unsupported = _unsupported_feature(body, kind)
    if unsupported:
        return Err(Rejection(status=503, reason=unsupported))
    header = request.headers.get("x-request-deadline", "")
    return Ok((_make_job(body, kind, job_id), _caller_wait_s(header, kind.timeout_s)))


def _validation_error(body: _JobBody, job_id: str) -> str:
    if not _JOB_ID.match(job_id):
        return "the path does not end in a job id of 16 hexadecimal digits"
    if not body.phases or sum(max(0, phase.count) for phase in body.phases) > MAX_TASKS:
        return "the job has no tasks, or too many"
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        return "the spec is too long"
    for number, phase in enumerate(body.phases):
        sizes = (phase.cpu, phase.mem_mb, phase.gpu, phase.max_per_server)
        if phase.count < 1 or min(*sizes, phase.estimate_ms) < 0:
            return f"phase {number}: count must be positive, and sizes must not be negative"
        if max(sizes) > MAX_SIZE or phase.estimate_ms > MAX_ESTIMATE_MS:
            return f"phase {number}: a size is out of range"
        if any(not 0 <= earlier < number for earlier in phase.after):
            return f"phase {number}: after may only list earlier phases"
    return ""


def _unsupported_feature(body: _JobBody, kind: Kind) -> str:
    """Reason to refuse a job with a feature that hosts do not support; empty if there is none."""
    if not body.best_effort:
        return "unsupported: jobs without best_effort, which must be stored"
    if body.repeat_count:
        return "unsupported: repeated jobs"
    if kind.advised:
        return "unsupported: routes with advice"
    for phase in body.phases:
        if phase.gang or phase.long_running or phase.fills:
            return "unsupported: phases with gang, long_running or fills"
    return ""


def _make_job(body: _JobBody, kind: Kind, job_id: str) -> Job:
    return Job(
        id=job_id,
        kind=kind.name,
        service=kind.service,
        payload=body.spec,
        steps=tuple(
            Step(
                count=phase.count,
                cpu=phase.cpu,
                memory_mb=phase.mem_mb,
                gpu=phase.gpu,
                estimate_s=max(0.001, phase.estimate_ms / 1000.0),
                after=tuple(phase.after),
                label=phase.requirements,
                rack=phase.affinity,
                same_rack=phase.same_rack,
                max_per_worker=phase.max_per_server,
            )
            for phase in body.phases
        ),
        priority=kind.priority,
        max_attempts=kind.max_attempts,
        stretch=kind.stretch,
        target_s=kind.target_s,
    )


def _caller_wait_s(header: str, timeout_s: float) -> float:
    """Time that the caller waits: as long as its deadline header says, or the route's timeout if
    there is no usable header.

    :param header: milliseconds; an empty or invalid value stands for the timeout.
    """
    try:
        wait_s = float(header) / 1000.0 if header else timeout_s
    except ValueError:
        return timeout_s
    return min(MAX_CALLER_WAIT_S, max(0.0, wait_s)) if math.isfinite(wait_s) else timeout_s
