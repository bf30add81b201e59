"""Reference client: requests ids first, then retries each with the same id until it has an outcome.

The id is the idempotency key of a submission. A new one is requested only after the outcome *not
run*, because every other outcome may mean that the work has run.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

import anyio
import httpx

from ._answer import (
    FINAL_STATES,
    ID_EXPIRED,
    TERMINAL_REFUSALS,
    State,
    SubmissionAnswer,
    read_answer,
    read_retry_after,
)
from ._errors import CommandError, ExitCode
from ._transport import DirectTransport

DEFAULT_WAIT_S = 30.0
DEFAULT_GIVE_UP_S = 120.0
CALL_MARGIN_S = 5.0
"""Added to the requested wait to give the HTTP timeout of a call."""
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_IDS_PER_CALL = 1000

LOST_HOST_REASONS = frozenset({"draining", "owner_lost", "witness_lost"})
"""Reasons for *not run* that concern only the hosts responsible for the id, not the whole site."""

REPLACEABLE_ID_REASONS = frozenset({"draining", "id_expired"})
"""Refusals of an unused id after which a submission with a new id can succeed at once."""

Sleep = Callable[[float], Awaitable[None]]
Progress = Callable[[SubmissionAnswer], None]


def ignore_progress(answer: SubmissionAnswer) -> None:
    """Progress callback that does nothing."""


class Client:
    """Submits work to a site; keeps track of the host that issued each id.

    :param hosts: base URLs of the entry hosts or of the load balancer.
    :param key: the caller's key.
    :param transport: HTTP transport to use instead of the network, for tests.
    :param clock: monotonic clock, in seconds.
    :param seed: seed for the choice of the first host and for the jitter of the backoff.
    :param max_connections: limit on concurrent calls, over all hosts.
    """

    def __init__(
        self,
        *,
        hosts: Sequence[str],
        key: str,
        transport: httpx.AsyncBaseTransport | None = None,
        clock: Callable[[], float] = anyio.current_time,
        sleep: Sleep = anyio.sleep,
        seed: int = 0,
        max_connections: int = 512,
    ) -> None:
        self._hosts = list(hosts)
        self._clock = clock
        self._sleep = sleep
        self._random = random.Random(seed)
        self._issuer_by_id: dict[str, str] = {}
        self._next_host = self._random.randrange(len(self._hosts))
        self._client = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {key}"},
            transport=transport or DirectTransport(max_connections=max_connections),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def take_ids(
        self,
        count: int,
        *,
        kind: str = "",
        give_up_s: float = DEFAULT_GIVE_UP_S,
        batch: int = MAX_IDS_PER_CALL,
    ) -> list[str]:
        """Request new ids; this runs nothing, so a call whose answer is lost is simply retried.

        The host that issues an id owns its submission, so that host is called first with it.

        :param kind: kind of work that the ids are for, if all are of one kind.
        :param batch: maximum number of ids requested from one host in a row.
        :raises CommandError: if no host issues ids within ``give_up_s``.
        """
        ids: list[str] = []
        while len(ids) < count:
            body: dict[str, Any] = {"count": min(count - len(ids), batch, MAX_IDS_PER_CALL)}
            if kind:
                body["kind"] = kind
            ids += await self._request_ids(body, give_up_s)
        return ids

    async def run(
        self,
        body: Mapping[str, Any],
        *,
        submission_id: str | None = None,
        wait_s: float = DEFAULT_WAIT_S,
        give_up_s: float = DEFAULT_GIVE_UP_S,
        run_again: bool = False,
        on_progress: Progress = ignore_progress,
    ) -> SubmissionAnswer:
        """Submit and wait for the outcome.

        An id that this client has requested and not used yet is replaced by a new one if its owner
        drains or the id expires before any call is accepted. Any other id may have been submitted
        before, and is kept.

        :param submission_id: id to use; None to request one.
        :param give_up_s: seconds after which no further call is made; the state is then the last
            one known, or ``unknown`` if the work may have run.
        :param run_again: after *not run* with ``Retry-After``, request a new id and submit again.
        """
        deadline = self._clock() + give_up_s
        calls, hosts_replaced = 0, 0
        last: SubmissionAnswer | None = None
        while True:
            if submission_id is None:
                left_s = max(0.0, deadline - self._clock())
                try:
                    kind = str(body.get("kind", ""))
                    submission_id = (await self.take_ids(1, kind=kind, give_up_s=left_s))[0]
                except CommandError:
                    if last is None:
                        raise
                    return last
            answer = await self._run_with_id(body, submission_id, wait_s, deadline, on_progress)
            calls += answer.calls
            last = replace(answer, calls=calls)
            pause_s = answer.retry_after_s or INITIAL_BACKOFF_S
            if answer.reason in LOST_HOST_REASONS and hosts_replaced < len(self._hosts):
                # Another host can accept the work at once; Retry-After is meant for a full site.
                hosts_replaced += 1
                pause_s = INITIAL_BACKOFF_S
            if not _may_resubmit(answer, run_again) or self._clock() + pause_s >= deadline:
                return last
            on_progress(last)
            await self._sleep(pause_s)
            submission_id = None

    async def query(self, submission_id: str, *, wait_s: float = 0.0) -> SubmissionAnswer:
        """Query the state, trying each host once until one answers."""
        return await self._call_any_host("GET", submission_id, wait_s)

    async def cancel(self, submission_id: str) -> SubmissionAnswer:
        """Cancel a submission."""
        return await self._call_any_host("DELETE", submission_id, 0.0)

    async def submit_once(
        self, submission_id: str, body: Mapping[str, Any], *, wait_s: float, host: str = ""
    ) -> SubmissionAnswer:
        """Submit with a single call, without retries."""
        return await self._call("PUT", host or self._pick_host(), submission_id, wait_s, body)

    async def get_state(self, host: str, table: str = "") -> httpx.Response:
        """Fetch the state dump of one host, or one table of it."""
        path = f"{host}/v1/state/{table}" if table else f"{host}/v1/state"
        return await self._client.get(path, timeout=CALL_MARGIN_S)

    async def get_health(self, host: str) -> httpx.Response:
        """Call the liveness endpoint of one host."""
        return await self._client.get(f"{host}/healthz", timeout=CALL_MARGIN_S)

    async def drain(self, host: str) -> httpx.Response:
        """Ask one host to drain and stop."""
        return await self._client.post(f"{host}/v1/drain", timeout=CALL_MARGIN_S)

    async def _run_with_id(
        self,
        body: Mapping[str, Any],
        submission_id: str,
        wait_s: float,
        deadline: float,
        on_progress: Progress,
    ) -> SubmissionAnswer:
        """Call until the outcome of one id is final, a call is refused or time is up."""
        issuing_host = self._issuer_by_id.pop(submission_id, "")
        host = issuing_host or self._pick_host()
        calls, repeats = 0, 0
        may_have_arrived, accepted = not issuing_host, False
        while True:
            began = self._clock()
            left_s = max(0.0, min(wait_s, deadline - began))
            method = "GET" if accepted else "PUT"
            answer = await self._call(method, host, submission_id, left_s, body)
            calls += 1
            ended = _final_answer(answer, may_have_arrived, is_first=calls == 1)
            if ended is not None:
                return replace(ended, calls=calls)
            may_have_arrived |= answer.state not in (State.UNREACHED, State.NOT_TAKEN)
            if self._clock() >= deadline:
                return replace(_answer_at_deadline(answer, may_have_arrived), calls=calls)
            on_progress(replace(answer, calls=calls))
            was_accepted, accepted = accepted, answer.state is State.RUNNING
            if accepted:
                repeats = 0
                # A host may answer before the wait is over, or the wait may be 0.
                await self._sleep(max(0.0, began + INITIAL_BACKOFF_S - self._clock()))
            elif not (was_accepted and answer.state is State.NOT_SUBMITTED):
                repeats += 1
                host = self._pick_host()
                # Until all hosts have been tried, Retry-After of one does not apply to the next.
                ignores_hint = answer.state is not State.UNKNOWN and repeats < len(self._hosts)
                hint_s = None if ignores_hint else answer.retry_after_s
                await self._back_off(repeats, hint_s, deadline)

    async def _request_ids(self, body: Mapping[str, Any], give_up_s: float) -> list[str]:
        deadline = self._clock() + give_up_s
        repeats = 0
        while True:
            host = self._pick_host()
            retry_after_s, problem = None, ""
            try:
                response = await self._client.post(
                    f"{host}/v1/ids", json=body, timeout=CALL_MARGIN_S
                )
                if response.status_code == 201:
                    ids = [str(item) for item in response.json()["ids"]]
                    self._issuer_by_id |= dict.fromkeys(ids, host)
                    return ids
                answer = read_answer("", response, host)
                problem = f"status {response.status_code}: {answer.message}"
                if answer.state is State.REFUSED:
                    raise CommandError(ExitCode.USAGE, problem, step="ids", peer=host)
                retry_after_s = read_retry_after(response)
            except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
                problem = repr(error)
            if self._clock() >= deadline:
                raise CommandError(ExitCode.UNREACHABLE, problem, step="ids", peer=host)
            repeats += 1
            hint_s = None if repeats < len(self._hosts) else retry_after_s
            await self._back_off(repeats, hint_s, deadline)

    async def _call_any_host(
        self, method: str, submission_id: str, wait_s: float
    ) -> SubmissionAnswer:
        answer = SubmissionAnswer(submission_id=submission_id, state=State.UNREACHED)
        for _ in self._hosts:
            answer = await self._call(method, self._pick_host(), submission_id, wait_s)
            if answer.reason == ID_EXPIRED:
                return replace(answer, state=State.UNKNOWN)
            if answer.state not in (State.LOST, State.UNREACHED, State.NOT_TAKEN):
                break
        return answer

    async def _call(
        self,
        method: str,
        host: str,
        submission_id: str,
        wait_s: float,
        body: Mapping[str, Any] | None = None,
    ) -> SubmissionAnswer:
        try:
            response = await self._client.request(
                method,
                f"{host}/v1/submissions/{submission_id}",
                params={"wait": f"{wait_s:.3f}"},
                json=_kind_first(body) if body is not None and method == "PUT" else None,
                timeout=wait_s + CALL_MARGIN_S,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            state = State.UNREACHED
            return SubmissionAnswer(
                submission_id=submission_id, state=state, message=repr(error), host=host
            )
        except httpx.HTTPError as error:
            state = State.LOST
            return SubmissionAnswer(
                submission_id=submission_id, state=state, message=repr(error), host=host
            )
        return read_answer(submission_id, response, host)

    def _pick_host(self) -> str:
        host = self._hosts[self._next_host % len(self._hosts)]
        self._next_host += 1
        return host

    async def _back_off(self, repeats: int, hint_s: float | None, deadline: float) -> None:
        rounds = repeats // len(self._hosts)
        longest = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 4 ** min(rounds, 10))
        pause = hint_s if hint_s is not None else longest * self._random.uniform(0.5, 1.0)
        await self._sleep(max(0.0, min(pause, deadline - self._clock())))


def _kind_first(body: Mapping[str, Any]) -> dict[str, Any]:
    """Put the kind first in the body, so that a host can refuse it before reading the rest."""
    return {"kind": body["kind"], **body} if "kind" in body else dict(body)


def _may_resubmit(answer: SubmissionAnswer, run_again: bool) -> bool:
    """Return whether resubmission under a new id is safe and can succeed."""
    if answer.state is not State.NOT_RUN:
        return False
    if answer.unsent and answer.reason in REPLACEABLE_ID_REASONS:
        return True
    return run_again and answer.retry_after_s is not None


def _final_answer(
    answer: SubmissionAnswer, may_have_arrived: bool, *, is_first: bool
) -> SubmissionAnswer | None:
    """Return the answer that ends a submission, or None if a further call may give more.

    :param may_have_arrived: an earlier call may have been accepted by a host.
    """
    if answer.state in FINAL_STATES:
        return answer
    if answer.state is State.REFUSED:
        # If the key was revoked after the first call, that call may still have started the work.
        return answer if is_first or not may_have_arrived else replace(answer, state=State.UNKNOWN)
    if answer.state is not State.NOT_TAKEN or answer.reason not in TERMINAL_REFUSALS:
        return None
    if not may_have_arrived:
        # Nothing has run, and nothing will, because the client does not use the id again.
        return replace(answer, state=State.NOT_RUN, unsent=True)
    return replace(answer, state=State.UNKNOWN) if answer.reason == ID_EXPIRED else None


def _answer_at_deadline(answer: SubmissionAnswer, may_have_arrived: bool) -> SubmissionAnswer:
    """Return the answer to report if the deadline passes before the outcome is known."""
    if answer.state is State.RUNNING:
        return answer
    if may_have_arrived:
        return replace(answer, state=State.UNKNOWN, reason=answer.reason or "no_answer")
    if answer.state is State.NOT_TAKEN:
        return replace(answer, state=State.NOT_RUN)
    return replace(answer, state=State.UNREACHED)
