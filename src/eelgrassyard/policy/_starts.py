"""Starts of tasks on upstreams; every start that this host makes goes through here."""

from __future__ import annotations

from dataclasses import dataclass

from ._actions import Action, Control, ControlTask, FencingToken, StartTask
from ._config import Limits
from ._identity import HostIdentity
from ._leases import Leases
from ._owned_state import GrantKey, Submission, TaskState

TIMEOUT_FACTOR = 3.0
"""A start's timeout is at least this multiple of the kind's declared longest run time.

Declared longest run times are often too low. The expiry of the id bounds the timeout.
"""

MIN_TIMEOUT_S = 1.0
"""Lower bound of a start's timeout, also shortly before its id expires."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """A start that has not ended.

    :param number: number of the start at this incarnation of the host, from 1.
    :param index: index of the task in the submission.
    """

    number: int
    submission: Submission
    index: int
    upstream: str
    grant: GrantKey


class Starts:
    """Makes starts, keeps those that have not ended, and renews their leases on workers."""

    def __init__(self, *, identity: HostIdentity) -> None:
        self._identity = identity
        self._start_by_number: dict[int, Start] = {}
        self._last_number = 0
        self._leases = Leases()

    def __len__(self) -> int:
        return len(self._start_by_number)

    def make(
        self, now: float, submission: Submission, index: int, limits: Limits, out: list[Action]
    ) -> None:
        """Start a task that has a granted slot; its submission must be recorded."""
        task = submission.tasks[index]
        body, kind = submission.body, submission.kind
        assert body is not None and kind is not None and task.grant is not None
        assert task.state is TaskState.GRANTED and submission.recorded
        self._last_number += 1
        task.state = TaskState.STARTED
        task.start_number = self._last_number
        task.starts_made += 1
        submission.possible_starts += 1
        start = Start(
            number=self._last_number,
            submission=submission,
            index=index,
            upstream=task.upstream,
            grant=task.grant,
        )
        self._start_by_number[start.number] = start
        on_worker = not kind.service
        if on_worker:
            name = f"{submission.submission_id}/{index}"
            self._leases.add(now, task.upstream, start.number, name, limits.lease_s)
        spec = body.tasks[index]
        wanted_s = max(kind.longest_s * TIMEOUT_FACTOR, submission.deadline_at - now)
        remaining_s = submission.fields.expires_at - now
        out.append(
            StartTask(
                start=start.number,
                upstream=task.upstream,
                submission_id=submission.submission_id,
                index=index,
                kind=kind.name,
                payload=spec.payload,
                cores=spec.cores,
                memory_mb=spec.memory_mb,
                accelerators=spec.accelerators,
                lease_s=limits.lease_s if on_worker else 0.0,
                timeout_s=max(MIN_TIMEOUT_S, min(wanted_s, remaining_s)),
                fence=FencingToken(
                    owner=self._identity.name,
                    incarnation=self._identity.incarnation,
                    sequence=submission.fields.sequence,
                ),
            )
        )

    def finish(self, number: int) -> Start | None:
        """Remove a start that ended and return it; None if it was removed before."""
        start = self._start_by_number.pop(number, None)
        if start is not None:
            self._leases.remove(start.upstream, number)
        return start

    def control(
        self, submission: Submission, index: int, control: Control, out: list[Action]
    ) -> None:
        """Stop, checkpoint, throttle or resume a task; no effect if the task is not running."""
        task = submission.tasks[index]
        start = self._start_by_number.get(task.start_number)
        if task.state is not TaskState.STARTED or start is None:
            return
        out.append(
            ControlTask(
                start=start.number,
                upstream=start.upstream,
                submission_id=submission.submission_id,
                index=index,
                control=control,
            )
        )

    def advance(self, now: float, limits: Limits, out: list[Action]) -> None:
        """Renew the leases that are due."""
        self._leases.advance(now, limits.lease_s, out)

    def next_wake(self) -> float:
        """Time of the next lease renewal."""
        return self._leases.next_wake()
