"""The witness's marks of ids: one byte for each id, in pages of consecutive sequence numbers."""

from __future__ import annotations

import enum

from ._ids import SubmissionId
from ._timers import TimerQueue

IDS_PER_PAGE = 1024
"""Sequence numbers that one page covers.

Larger pages would be sparse, as an owner's ids are spread over several witnesses.
"""

SKEW_S = 60.0
"""A page is kept this long after its last id has expired, to allow for clock skew between hosts."""

PageKey = tuple[str, int, int]
"""Owner, its incarnation, and the number of the page at that incarnation."""


class Mark(enum.IntEnum):
    """What the witness has committed to for one id.

    RECORDED: the submission may have started. REFUSED: it was reported as not run, so that it will
    get no record. NONE: neither.
    """

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
    """Stores a mark for each id; once set, a mark does not change until its page is dropped.

    A page is dropped when all its ids have expired.
    """

    def __init__(self) -> None:
        self._page_by_key: dict[PageKey, _Page] = {}
        self._expiry: TimerQueue[PageKey] = TimerQueue()
        self.used = 0

    def __len__(self) -> int:
        """Return the number of pages."""
        return len(self._page_by_key)

    def get(self, fields: SubmissionId) -> Mark:
        """Return the mark of an id, ``Mark.NONE`` if it has none."""
        key, offset = _locate(fields)
        page = self._page_by_key.get(key)
        return Mark.NONE if page is None else Mark(page.marks[offset])

    def set(self, fields: SubmissionId, mark: Mark) -> None:
        """Mark an id; no effect if it has a mark."""
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
        """Time at which :meth:`expire` must be called again."""
        return self._expiry.next_due()


def _locate(fields: SubmissionId) -> tuple[PageKey, int]:
    page, offset = divmod(fields.sequence, IDS_PER_PAGE)
    return (fields.owner, fields.incarnation, page), offset
