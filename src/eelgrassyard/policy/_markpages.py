"""One byte for each id, in pages indexed by owner, incarnation and sequence."""

from __future__ import annotations

import enum

from ._ids import SubmissionId
from ._timers import TimerQueue

IDS_PER_PAGE = 1024
"""An owner's sequences are spread over its possible witnesses, so larger pages would be sparse."""

SKEW_S = 60.0
"""Allowance for differing clocks: a page is kept this long after its last id has expired."""

PageKey = tuple[str, int, int]


class Mark(enum.IntEnum):
    """What is known of one id."""

    NONE = 0
    RECORDED = 1
    REFUSED = 2


class _Page:
    __slots__ = ("keep_until", "marks", "used")

    def __init__(self) -> None:
        self.marks = bytearray(IDS_PER_PAGE)
        self.used = 0
        self.keep_until = 0.0


class MarkPages:
    """Marks of ids; a mark is set once and never changes until its page is dropped."""

    def __init__(self) -> None:
        self._page_by_key: dict[PageKey, _Page] = {}
        self._expiry: TimerQueue[PageKey] = TimerQueue()
        self.used = 0

    def __len__(self) -> int:
        """Number of pages."""
        return len(self._page_by_key)

    def get(self, fields: SubmissionId) -> Mark:
        """The mark of an id."""
        key, offset = _locate(fields)
        page = self._page_by_key.get(key)
        return Mark.NONE if page is None else Mark(page.marks[offset])

    def set(self, fields: SubmissionId, mark: Mark) -> None:
        """Mark an id that has no mark yet."""
        key, offset = _locate(fields)
        page = self._page_by_key.get(key)
        keep_until = fields.expires_at + SKEW_S
        if page is None:
            page = self._page_by_key[key] = _Page()
            self._expiry.add(keep_until, key)
        if page.marks[offset] != Mark.NONE:
            return
        page.marks[offset] = mark
        page.used += 1
        page.keep_until = max(page.keep_until, keep_until)
        self.used += 1

    def expire(self, now: float) -> None:
        """Drop the pages whose ids have all expired."""
        for key in self._expiry.pop_due(now):
            page = self._page_by_key[key]
            if page.keep_until > now:
                self._expiry.add(page.keep_until, key)
                continue
            self.used -= page.used
            del self._page_by_key[key]

    def next_expiry(self) -> float:
        """Time at which ``expire`` has work."""
        return self._expiry.next_due()


def _locate(fields: SubmissionId) -> tuple[PageKey, int]:
    page, offset = divmod(fields.sequence, IDS_PER_PAGE)
    return (fields.owner, fields.incarnation, page), offset
