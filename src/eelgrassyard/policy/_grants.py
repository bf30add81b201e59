"""Grants of one pool: which owner holds which slot for which task."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from ._config import Urgency
from ._messages import TaskSize

MAX_RELEASED_NUMBERS = 4096
"""Numbers of released grants that are kept, so that a delayed report of held slots does not restore
them."""

GrantedTaskKey = tuple[str, str, int]
"""Owner, submission id, index of the task."""


@dataclass(slots=True, kw_only=True)
class Grant:
    """A slot granted to a task.

    :param expires_at: time at which the grant is revoked if it has not been released.
    :param paused_at: time since which the task is throttled or checkpointed.
    :param probe: the start tests an upstream that was out of use or idle.
    """

    number: int
    owner: str
    incarnation: int
    submission_id: str
    caller: str
    kind: str
    size: TaskSize
    upstream: str
    granted_at: float
    expected_s: float
    expires_at: float
    attempt: int = 0
    urgency: Urgency = Urgency.NORMAL
    probe: bool = False
    paused_at: float | None = None

    @property
    def task(self) -> GrantedTaskKey:
        return (self.owner, self.submission_id, self.size.index)


class GrantTable:
    """Grants by number, by task and by owner."""

    def __init__(self) -> None:
        self.by_number: dict[int, Grant] = {}
        self._number_by_task: dict[GrantedTaskKey, int] = {}
        self._numbers_by_owner: dict[str, set[int]] = {}
        self._released: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self.by_number)

    def __iter__(self) -> Iterator[Grant]:
        return iter(self.by_number.values())

    def add(self, grant: Grant) -> None:
        """Add a new grant."""
        self.by_number[grant.number] = grant
        self._number_by_task[grant.task] = grant.number
        self._numbers_by_owner.setdefault(grant.owner, set()).add(grant.number)

    def remove(self, number: int, *, remember: bool = True) -> Grant | None:
        """Remove and return a grant; None if the number is unknown.

        :param remember: also keep the number, known or not, for :meth:`was_released`.
        """
        if remember:
            self._released[number] = None
        if len(self._released) > MAX_RELEASED_NUMBERS:
            self._released.popitem(last=False)
        grant = self.by_number.pop(number, None)
        if grant is None:
            return None
        if self._number_by_task.get(grant.task) == number:
            del self._number_by_task[grant.task]
        numbers = self._numbers_by_owner[grant.owner]
        numbers.discard(number)
        if not numbers:
            del self._numbers_by_owner[grant.owner]
        return grant

    def was_released(self, number: int) -> bool:
        """Whether the grant is among the last ones released."""
        return number in self._released

    def of_task(self, task: GrantedTaskKey) -> Grant | None:
        """Grant of a task, or None."""
        number = self._number_by_task.get(task)
        return None if number is None else self.by_number[number]

    def owners(self) -> list[str]:
        """Names of the owners that hold grants."""
        return list(self._numbers_by_owner)

    def of_owner(self, owner: str) -> list[Grant]:
        """Grants of one owner, by number."""
        return [self.by_number[n] for n in sorted(self._numbers_by_owner.get(owner, ()))]
