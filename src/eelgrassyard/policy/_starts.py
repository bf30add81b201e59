"""Starts on upstreams: every start that this host makes goes through here."""

from __future__ import annotations

from dataclasses import dataclass

from ._actions import Action, Control, ControlTask, FencingToken, StartTask
from ._config import Limits
from ._identity import HostIdentity
from ._leases import Leases
from ._ownedstate import GrantKey, Submission, TaskState

TIMEOUT_FACTOR = 3.0
"""Declared longest run times are often too low; a start is given up after this multiple."""

MIN_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """One start that has not ended."""

    number: int
    submission: Submission
    index: int
    upstream: str
    grant: GrantKey


class Starts:
    """The table of starts that have not ended."""

    def __init__(self, *, identity: HostIdentity) -> None:
        self._identity = identity
        self._start_by_number: dict[int, Start] = {}
        self._made = 0
        self._leases = Leases()

    def __len__(self) -> int:
        return len(self._start_by_number)

    def make(
        self, now: float, submission: Submission, index: int, limits: Limits, out: list[Action]
    ) -> None:
        """Start a task that has a place, after its submission was recorded."""
        task = submission.tasks[index]
        body, kind = submission.body, submission.kind
        assert body is not None and kind is not None and task.grant is not None
        assert task.state is TaskState.GRANTED and submission.recorded
        self._made += 1
        task.state = TaskState.STARTED
        task.start = self._made
        task.tries += 1
        submission.possible_starts += 1
        start = Start(
            number=self._made,
            submission=submission,
            index=index,
            upstream=task.upstream,
            grant=task.grant,
        )
        self._start_by_number[start.number] = start
        on_worker = not kind.service
        if on_worker:
            name = f"{submission.text}/{index}"
            self._leases.add(now, task.upstream, start.number, name, limits.lease_s)
        spec = body.tasks[index]
        wanted = max(kind.longest_s * TIMEOUT_FACTOR, submission.deadline_at - now)
        left = submission.fields.expires_at - now
        out.append(
            StartTask(
                start=start.number,
                upstream=task.upstream,
                submission_id=submission.text,
                index=index,
                kind=kind.name,
                payload=spec.payload,
                cores=spec.cores,
                memory_mb=spec.memory_mb,
                accelerators=spec.accelerators,
                lease_s=limits.lease_s if on_worker else 0.0,
                timeout_s=max(MIN_TIMEOUT_S, min(wanted, left)),
                fence=FencingToken(
                    owner=self._identity.name,
                    incarnation=self._identity.incarnation,
                    sequence=submission.fields.sequence,
                ),
            )
        )

    def finish(self, number: int) -> Start | None:
        """Remove a start that ended; None if it ended before."""
        start = self._start_by_number.pop(number, None)
        if start is not None:
            self._leases.remove(start.upstream, number)
        return start

    def control(
        self, submission: Submission, index: int, control: Control, out: list[Action]
    ) -> None:
        """Act on one task if it is running."""
        task = submission.tasks[index]
        start = self._start_by_number.get(task.start)
        if task.state is not TaskState.STARTED or start is None:
            return
        out.append(
            ControlTask(
                start=start.number,
                upstream=start.upstream,
                submission_id=submission.text,
                index=index,
                control=control,
            )
        )

    def advance(self, now: float, limits: Limits, out: list[Action]) -> None:
        """Renew leases."""
        self._leases.advance(now, limits.lease_s, out)

    def next_wake(self) -> float:
        """Time of the next renewal of leases."""
        return self._leases.next_wake()
