"""Writes a configuration to the store; handles lost answers and concurrent operators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from ..config import Change, ConfigError, Document, diff_configs, read_document, render_successor
from ._store import Conflict, StoreCallError, StoreClient, StoredValue

MAX_ATTEMPTS = 8
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The document is, or was, in the store.

    :param changes: changes that it made.
    :param was_in_force: the store already held the same configuration; nothing was written.
    :param replaced_by: author of a later document based on this one, if one was written before a
        lost answer was resolved; ``revision`` is then that of the later document.
    """

    revision: int
    change_id: str
    changes: list[Change]
    was_in_force: bool = False
    replaced_by: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyConflict:
    """Another operator's document is in the store; ours was not written.

    :param concurrent_changes: changes of the stored document relative to the one that ours was
        based on; empty if that one is not known.
    :param changes: changes that applying our document to the stored one would make.
    """

    revision: int
    author: str
    change_id: str
    changes: list[Change]
    concurrent_changes: list[Change]


ApplyResult = Result[Applied | ApplyConflict, StoreCallError | ConfigError]


class Applier:
    """Writes one document by compare-and-swap.

    :param expect: revision that the change is based on; None for the one now in the store.
    :param sleep: called with the backoff between attempts, in seconds.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        key: str,
        document: bytes,
        sleep: Sleep,
        expect: int | None = None,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self._store = store
        self._key = key
        self._document = document
        self._sleep = sleep
        self._expect = expect
        self._max_attempts = max_attempts

    async def apply(self) -> ApplyResult:
        """Write the document; after a lost answer, read the value back to see if it was written."""
        match read_document(self._document):
            case Err(invalid):
                return Err(invalid)
            case Ok(ours):
                pass
        match await self._read():
            case Err(unreachable):
                return Err(unreachable)
            case Ok(base):
                pass
        base_document = _read_stored(base)
        expect = base.revision if base else 0
        if self._expect is not None and self._expect != expect:
            return self._conflict(ours, base, None)
        if base and base_document and base_document.config == ours.config:
            applied = Applied(
                revision=base.revision,
                change_id=base_document.change_id,
                changes=[],
                was_in_force=True,
            )
            return Ok(applied)
        return await self._write(ours, base_document, expect)

    async def _write(self, ours: Document, base: Document | None, expect: int) -> ApplyResult:
        data = render_successor(ours, base)
        error = StoreCallError(
            step="store PUT", peer=self._store.url, message="no attempt was made"
        )
        may_have_written = False
        for attempt in range(self._max_attempts):
            if attempt:
                await self._sleep(_backoff_s(attempt))
            match await self._store.write(self._key, data, expect=expect):
                case Ok(Conflict()):
                    # After a lost answer, the conflict may be with our own earlier attempt.
                    return await self._resolve(ours, base)
                case Ok(int() as revision):
                    return Ok(self._applied(ours, base, revision))
                case Err(failed):
                    error = failed
            may_have_written |= error.may_have_written
            if not may_have_written:
                continue
            match await self._read():
                case Err(unread):
                    return Err(_unresolved(unread))
                case Ok(found):
                    pass
            if (found.revision if found else 0) != expect:
                return self._classify(ours, base, found)
        return Err(_unresolved(error) if may_have_written else error)

    async def _resolve(self, ours: Document, base: Document | None) -> ApplyResult:
        match await self._read():
            case Err(error):
                return Err(_unresolved(error))
            case Ok(found):
                return self._classify(ours, base, found)

    def _classify(
        self, ours: Document, base: Document | None, found: StoredValue | None
    ) -> ApplyResult:
        """Decide from the document in the store whether ours was written."""
        read = _read_stored(found)
        if found is None or read is None:
            return self._conflict(ours, found, base)
        if read.change_id == ours.change_id:
            return Ok(self._applied(ours, base, found.revision))
        if ours.change_id in read.history:
            applied = self._applied(ours, base, found.revision)
            return Ok(replace(applied, replaced_by=read.author))
        return self._conflict(ours, found, base)

    async def _read(self) -> Result[StoredValue | None, StoreCallError]:
        result = await self._store.read(self._key)
        for attempt in range(1, self._max_attempts):
            if result.is_ok():
                break
            await self._sleep(_backoff_s(attempt))
            result = await self._store.read(self._key)
        return result

    def _applied(self, ours: Document, base: Document | None, revision: int) -> Applied:
        changes = (
            diff_configs(base.config, ours.config, origins_by_key=ours.origins_by_key)
            if base
            else []
        )
        return Applied(revision=revision, change_id=ours.change_id, changes=changes)

    def _conflict(
        self, ours: Document, found: StoredValue | None, base: Document | None
    ) -> ApplyResult:
        winner = _read_stored(found)
        return Ok(
            ApplyConflict(
                revision=found.revision if found else 0,
                author=winner.author if winner else "(unreadable document)" if found else "(none)",
                change_id=winner.change_id if winner else "",
                changes=diff_configs(winner.config, ours.config) if winner else [],
                concurrent_changes=(
                    diff_configs(base.config, winner.config) if base and winner else []
                ),
            )
        )


def _read_stored(stored: StoredValue | None) -> Document | None:
    return read_document(stored.value).ok() if stored else None


def _backoff_s(attempt: int) -> float:
    return float(min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempt - 1)))


def _unresolved(error: StoreCallError) -> StoreCallError:
    return StoreCallError(
        step=error.step,
        peer=error.peer,
        message=f"{error.message}; the write may have taken effect, repeat the command",
        may_have_written=True,
    )
