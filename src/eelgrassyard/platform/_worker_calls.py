"""Orders to workers and polls of them in the platform's protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from .._decoding import decode
from ..dispatch._actions import (
    Answered,
    CallFailure,
    EndedEntry,
    OrderResult,
    PollReport,
    PollResult,
    PollWorker,
    Refusal,
    RunningEntry,
    StartRun,
    StopRun,
)
from ..dispatch._jobs import TaskEnd, TaskId
from ..dispatch._workers import WorkerRecord
from ..net import CallError, HttpClient, PeerBinding, Response, TrafficByPurpose
from ..net._errors import report_contained
from ._worker_bodies import (
    MAX_NUMBER,
    Ended,
    OrderAnswer,
    PollBody,
    StartBody,
    StopBody,
    encoder,
    order_decoder,
    parse_task_name,
    poll_decoder,
    process_of,
    task_name,
)

MAX_CONNECTIONS = 4
"""Connections to one worker: one for a long poll and three for orders. They are kept alive, since
each new connection is charged."""

CARRIED_CONNECTIONS = 1
"""Connections to one worker for starts that are carried for the leader. Each host of a domain may
open them, and a worker accepts 64 in all."""

MAX_ANSWER_BYTES = 4_000_000
"""Largest answer that is read from a worker: at most 500 ends, and the runs in progress."""

POLL_TARGET = "/api/hold"

MAX_REASON_CHARS = 200
"""Length at which the reason why an answer is invalid is cut off."""

T = TypeVar("T")

_REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD_RUN,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.INVALID,
}

_TASK_END_BY_NAME = {"done": TaskEnd.DONE, "failed": TaskEnd.FAILED}

_RESULT_BY_ERROR: dict[CallError, Answered | CallFailure] = {
    CallError.REFUSED: CallFailure.REFUSED,
    CallError.BROKEN: CallFailure.BROKEN,
    CallError.SILENT: CallFailure.SILENT,
    CallError.OTHER_PEER: Answered(refusal=Refusal.OTHER_LIFE),
}


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER


def _percent(value: object) -> int:
    """Progress as reported; 0 if it is not a number."""
    return int(min(100, max(0, value))) if isinstance(value, int | float) else 0


def _bind(order: StartRun | PollWorker, *, replaces_call: bool = False) -> PeerBinding | None:
    """Bind an order to the process that it is meant for. The introduction is a poll that grants and
    acknowledges nothing."""
    if order.life is None:
        return None
    introduction = encoder.encode(PollBody(fence=order.fence, acked_up_to=0))
    return PeerBinding(
        peer=order.life, target=POLL_TARGET, body=introduction, replaces_call=replaces_call
    )


class PlatformWorkerCalls:
    """Sends orders and polls to workers over a few keep-alive connections to each.

    Starts, and what a poll grants or acknowledges, are bound to one process of the worker: they are
    sent only on a connection on which that process has answered.

    :param on_invalid_answer: called with the id of a worker and the reason why its answer, or a
        part of it, is invalid.
    :param is_in_use: tells whether a worker without an entry may still be sent orders.
    :param traffic: counts the bytes of starts, stops and polls.
    """

    def __init__(
        self,
        *,
        on_invalid_answer: Callable[[str, str], None],
        is_in_use: Callable[[str], bool],
        traffic: TrafficByPurpose | None = None,
    ) -> None:
        self._traffic = traffic if traffic is not None else TrafficByPurpose()
        self._report_invalid_answer = on_invalid_answer
        self._is_in_use = is_in_use
        self._client_by_key: dict[tuple[str, int], HttpClient] = {}
        self._record_by_id: dict[str, WorkerRecord] = {}

    def set_workers(self, records: dict[str, WorkerRecord]) -> None:
        """Replace the registered workers.

        Connections to workers that have left or have a new address are closed.
        """
        for worker_id in list(self._record_by_id):
            if worker_id not in records and not self._is_in_use(worker_id):
                del self._record_by_id[worker_id]
        self._record_by_id.update(records)
        for key, client in list(self._client_by_key.items()):
            record = self._record_by_id.get(key[0])
            if record is None or record.address != client.address:
                del self._client_by_key[key]
                client.close()

    def _on_invalid_answer(self, worker_id: str, reason: str) -> None:
        self._report_invalid_answer(worker_id, reason[:MAX_REASON_CHARS])

    def _decode(
        self, worker_id: str, response: Response, decode: Callable[[str, Response], T]
    ) -> T | CallFailure:
        """Decode an answer; one that the decoder does not foresee fails its call, so that each call
        has a result."""
        try:
            return decode(worker_id, response)
        except Exception as error:
            self._on_invalid_answer(worker_id, f"{type(error).__name__}: {error}")
            return CallFailure.BROKEN

    def _call(
        self,
        worker_id: str,
        path: str,
        encode_body: Callable[[], bytes],
        timeout_s: float,
        on_result: Callable[[Response | CallError], None],
        *,
        purpose: str,
        max_connections: int = MAX_CONNECTIONS,
        binding: PeerBinding | None = None,
    ) -> None:
        try:
            body = encode_body()
        except (OverflowError, ValueError) as error:
            report_contained(f"call of {path} at worker {worker_id!r} could not be encoded", error)
            # Nothing was sent.
            on_result(CallError.REFUSED)
            return
        key = (worker_id, max_connections)
        client = self._client_by_key.get(key)
        if client is None:
            record = self._record_by_id.get(worker_id)
            if record is None:
                on_result(CallError.BROKEN)
                return
            if not worker_id.isprintable():
                # A line break would add headers, or a request, of another writer's choice.
                self._on_invalid_answer(worker_id, "the id cannot be sent in a header")
                on_result(CallError.BROKEN)
                return
            client = HttpClient(
                address=record.address,
                max_connections=max_connections,
                max_response_bytes=MAX_ANSWER_BYTES,
                on_error=lambda reason: self._on_invalid_answer(worker_id, reason),
                identify=process_of,
            )
            self._client_by_key[key] = client
        client.call(
            "POST",
            path,
            timeout_s=timeout_s,
            on_result=on_result,
            body=body,
            headers=f"X-Expect-Instance: {worker_id}\r\n",
            traffic=self._traffic.of(purpose),
            binding=binding,
        )

    def start(self, order: StartRun, on_result: Callable[[OrderResult], None]) -> None:
        """Send an order to start a run.

        The result is a refusal with ``OTHER_LIFE`` if another process answers than the one whose
        clock the deadline is on; nothing was started then.
        """

        def encode_body() -> bytes:
            body = StartBody(
                task=task_name(order.task),
                run=order.run,
                spec=order.payload,
                deadline_ms=int(order.deadline_s * 1000),
                fence=order.fence,
            )
            return encoder.encode(body)

        self._send_order(order, "/api/run-start", encode_body, on_result)

    def stop(self, order: StopRun, on_result: Callable[[OrderResult], None]) -> None:
        """Send an order to stop a run."""

        def encode_body() -> bytes:
            body = StopBody(task=task_name(order.task), run=order.run, fence=order.fence)
            return encoder.encode(body)

        self._send_order(order, "/api/run-stop", encode_body, on_result)

    def _send_order(
        self,
        order: StartRun | StopRun,
        path: str,
        encode_body: Callable[[], bytes],
        on_result: Callable[[OrderResult], None],
    ) -> None:
        def on_response(response: Response | CallError) -> None:
            if isinstance(response, CallError):
                on_result(_RESULT_BY_ERROR[response])
                return
            on_result(self._decode(order.worker_id, response, self._decode_order_answer))

        carried = isinstance(order, StartRun) and bool(order.carried_for)
        self._call(
            order.worker_id,
            path,
            encode_body,
            order.timeout_s,
            on_response,
            purpose="starts" if isinstance(order, StartRun) else "stops",
            max_connections=CARRIED_CONNECTIONS if carried else MAX_CONNECTIONS,
            binding=_bind(order) if isinstance(order, StartRun) else None,
        )

    def _decode_order_answer(self, worker_id: str, response: Response) -> OrderResult:
        answer = OrderAnswer()
        if response.body:
            result = decode(order_decoder, response.body)
            if result.is_err():
                self._on_invalid_answer(worker_id, result.unwrap_err())
            else:
                answer = result.unwrap()
        refusal: Refusal | None = None
        match response.status:
            case 200:
                pass
            case 409:
                refusal = _REFUSAL_BY_REASON.get(answer.reason)
                if refusal is None:
                    self._on_invalid_answer(worker_id, f"refusal with reason {answer.reason!r}")
                    return CallFailure.BROKEN
            case 421:
                return Answered(refusal=Refusal.OTHER_LIFE)
            case 429 | 503:
                refusal = Refusal.BUSY
            case 400:
                refusal = Refusal.INVALID
            case status:
                self._on_invalid_answer(worker_id, f"status {status}")
                return CallFailure.BROKEN
        clock_s = None if answer.clock_ms is None else answer.clock_ms / 1000.0
        life = response.peer if answer.born is None else answer.born
        return Answered(clock_s=clock_s, refusal=refusal, life=life)

    def poll(self, order: PollWorker, on_result: Callable[[PollResult], None]) -> None:
        """Poll a worker: read its runs and renew their leases.

        Without a connection to the process that the order is meant for, the worker is only read:
        nothing is renewed or acknowledged.
        """
        worker_id = order.worker_id

        def encode_body() -> bytes:
            body = PollBody(
                fence=order.fence,
                acked_up_to=order.ends_seen,
                deadline_ms=None if order.deadline_s is None else int(order.deadline_s * 1000),
                wait_ms=int(order.wait_s * 1000),
            )
            return encoder.encode(body)

        def on_response(response: Response | CallError) -> None:
            if isinstance(response, CallError):
                on_result(_RESULT_BY_ERROR[response])
            elif response.status == 200:
                on_result(self._decode(worker_id, response, self._decode_poll_answer))
            else:
                on_result(self._decode(worker_id, response, self._decode_order_answer))

        timeout_s = order.wait_s + order.margin_s
        binding = _bind(order, replaces_call=True)
        self._call(
            worker_id,
            POLL_TARGET,
            encode_body,
            timeout_s,
            on_response,
            purpose="polls",
            binding=binding,
        )

    def _decode_poll_answer(self, worker_id: str, response: Response) -> PollResult:
        result = decode(poll_decoder, response.body)
        if result.is_err():
            self._on_invalid_answer(worker_id, result.unwrap_err())
            return CallFailure.BROKEN
        answer = result.unwrap()
        if response.peer not in (None, answer.born):
            self._on_invalid_answer(worker_id, "a connection leads to another process than before")
        running = []
        for row in answer.running:
            if not isinstance(row.task, str) or type(row.run) is not int:
                # The run may be one of this host's, and must not be taken for one that has ended.
                self._on_invalid_answer(worker_id, f"running: {row.task!r}, {row.run!r}")
                return CallFailure.BROKEN
            task = parse_task_name(row.task)
            if task is None:
                continue
            if not _is_number(row.run):
                self._on_invalid_answer(worker_id, f"running: {row.task!r} with an invalid run")
                continue
            running.append(RunningEntry(task=task, run=row.run, percent=_percent(row.percent)))
        return PollReport(
            clock_s=answer.clock_ms / 1000.0,
            life=answer.born,
            running=tuple(running),
            ended=tuple(self._ended_entry(worker_id, row) for row in answer.finished),
        )

    def _ended_entry(self, worker_id: str, row: Ended) -> EndedEntry:
        """Turn a row into an entry; that of an unknown run only has the number, to acknowledge."""
        task = parse_task_name(row.task) if isinstance(row.task, str) else None
        if task is None or not isinstance(row.run, int) or not _is_number(row.run):
            self._on_invalid_answer(
                worker_id, f"finished: number {row.number} of the invalid run {row.task!r}"
            )
            return EndedEntry(number=row.number, task=TaskId("", 0, 0), run=0, end=TaskEnd.LOST)
        how = _TASK_END_BY_NAME.get(row.how, TaskEnd.LOST) if isinstance(row.how, str) else None
        return EndedEntry(number=row.number, task=task, run=row.run, end=how or TaskEnd.LOST)
