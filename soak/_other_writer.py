"""Entries of another writer among those of the workers, which hosts must pass over."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from ._store import StandinStore

MEAN_GAP_S = 2.0
SHOWN_S = (0.2, 6.0)
"""Range of the time after which an entry is deleted or replaced."""

KEYS = ("0-note", "note", "zz-note", "n\u00f6te", "note/1", "note\r\nX-Note: 1")
"""Ends of the keys: before, between and after the workers' own in the order of the store."""

DEPTHS = (300, 900, 1_100, 5_000, 20_000)
MANY = 100_000
"""Characters of a long text. The entries stay small enough for the store's stand-in and the
proxies, which serve all hosts in one process, to answer in time."""

NUMBERS = ("-1", "1e999", "1" + "0" * 400, str(2**63), str(2**64), "9" * 5_000, "0.5", "null")
ADDRESSES = (
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:\u00b2",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1\0:9",
    "999.1.1.1:9",
    "runner.example:9",
    "a" * 300 + ":9",
    ":9",
    "",
)


class OtherWriter:
    """Writes odd entries under a prefix of the store, one after the other.

    :param entry: returns an entry of a worker, which is then changed in one field.
    :ivar written: number of entries written.
    """

    def __init__(
        self, *, store: StandinStore, prefix: str, entry: Callable[[], bytes], seed: int
    ) -> None:
        self.written = 0
        self._store = store
        self._prefix = prefix
        self._entry = entry
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Write and delete entries until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._show(self._random.uniform(*SHOWN_S)))
                await asyncio.sleep(self._random.expovariate(1.0 / MEAN_GAP_S))

    async def _show(self, for_s: float) -> None:
        key = self._prefix + self._random.choice(KEYS)
        self._store.put(key, self.next_value())
        self.written += 1
        await asyncio.sleep(for_s)
        self._store.delete(key)

    def next_value(self) -> bytes:
        """Return the next odd entry."""
        text = self._entry().decode()
        kind = self._random.choice((self._nested, self._numbered, self._addressed, self._garbled))
        return kind(text)

    def _nested(self, text: str) -> bytes:
        """A field that nobody reads, nested deeply; sometimes it is not closed."""
        depth = self._random.choice(DEPTHS)
        opening, closing = self._random.choice((("[", "]"), ('{"a":', "}")))
        end = self._random.choice((closing * depth + "," + text[1:], ""))
        return ('{"note":' + opening * depth + ("0" if end else "") + end).encode()

    def _numbered(self, text: str) -> bytes:
        """A number out of range, in one of the fields that hold one."""
        entry = json.loads(text)
        fields = entry if self._random.random() < 0.4 else entry["capacity"]
        names = [name for name, value in fields.items() if isinstance(value, int)]
        fields[self._random.choice(names)] = "NUMBER"
        return json.dumps(entry).replace('"NUMBER"', self._random.choice(NUMBERS)).encode()

    def _addressed(self, text: str) -> bytes:
        """An address that names no port of a machine."""
        return json.dumps({**json.loads(text), "address": self._random.choice(ADDRESSES)}).encode()

    def _garbled(self, text: str) -> bytes:
        """Bytes that are cut off, of another encoding or of another form."""
        return self._random.choice(
            (
                b"",
                b"\xff\xfe" + text.encode("utf-16-le"),
                text.encode()[: self._random.randrange(len(text))],
                b"\0" * 100,
                json.dumps([text]).encode(),
                json.dumps({name: [] for name in json.loads(text)}).encode(),
                json.dumps({**json.loads(text), "labels": ["x" * MANY]}).encode(),
                json.dumps({**json.loads(text), "state": "resting"}).encode(),
            )
        )
