"""Pulls newer configurations from peers, one transfer at a time."""

from __future__ import annotations

import math
import random
import zlib
from dataclasses import dataclass

from ._actions import Action, Count, LoadConfig, Send
from ._messages import ConfigDocument, ConfigPull

PULL_TIMEOUT_S = 2.0
"""Time for a pull; 1 MB takes 0.1 s at 100 Mbit/s, the rest allows for the peer's queue."""

LOAD_TIMEOUT_S = 3.0
"""Time to validate a document of 1 MB on a busy host; longer counts as an invalid document."""

UNANSWERED_BACKOFF_S = 1.0
"""Time for which a peer that did not answer a pull is not asked again."""

INVALID_BACKOFF_S = 30.0
"""Time for which a peer that sent an invalid document is not asked again."""

MAX_DOCUMENT_BYTES = 1 << 20
"""Largest document that a pull accepts; the store's limit for a value is 1 MB."""

COMPRESSION_LEVEL = 3
"""Reduces a list of upstreams to a twelfth; level 6 takes twice the time to save a tenth more."""

MAX_SOURCES = 512
"""Peers with a newer configuration that are kept as sources."""


def pack(document: bytes) -> bytes:
    """Compress a document for a peer."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes | None:
    """Decompress a document from a peer; None if malformed or over ``MAX_DOCUMENT_BYTES``."""
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return document if decompressor.eof else None


@dataclass(slots=True, kw_only=True)
class Source:
    """A peer that has a newer revision in force.

    :param not_before: time before which it is not asked again.
    """

    revision: int
    not_before: float = -math.inf


@dataclass(slots=True, kw_only=True)
class Transfer:
    """The document that is being pulled from a peer or validated.

    :param revision: revision of the document, once it has arrived.
    :param document: content, once it has arrived and is being validated.
    """

    peer: str
    deadline: float
    revision: int = 0
    document: bytes | None = None


class ConfigPuller:
    """Pulls the newest configuration that any peer has in force.

    A peer that does not answer or sends an invalid document is not asked for a while and others
    are asked instead, so one faulty peer delays the distribution by one timeout at most.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._random = rng
        self._sources_by_peer: dict[str, Source] = {}
        self._transfer: Transfer | None = None

    @property
    def has_sources(self) -> bool:
        """Tell whether some peer has a newer revision in force."""
        return bool(self._sources_by_peer)

    def record_revision(self, peer: str, revision: int, own_revision: int) -> None:
        """Record the revision that a peer has in force."""
        source = self._sources_by_peer.get(peer)
        if revision <= own_revision:
            if source is not None:
                del self._sources_by_peer[peer]
        elif source is not None:
            source.revision = revision
        elif len(self._sources_by_peer) < MAX_SOURCES:
            self._sources_by_peer[peer] = Source(revision=revision)

    def handle_document(
        self, now: float, peer: str, message: ConfigDocument, out: list[Action]
    ) -> None:
        """Have a document that is newer than the one in force validated."""
        transfer = self._transfer
        if transfer is not None and transfer.document is not None:
            return
        document = unpack(message.document)
        if document is None:
            out.append(Count(metric="config.documents_invalid"))
            self._back_off(now, peer, INVALID_BACKOFF_S)
            return
        self._transfer = Transfer(
            peer=peer,
            deadline=now + LOAD_TIMEOUT_S,
            revision=message.revision,
            document=document,
        )
        out.append(LoadConfig(revision=message.revision, document=document))

    def record_loaded(self, revision: int, document: bytes) -> str | None:
        """Update sources and transfer for a validated configuration.

        :returns: the peer whose transfer delivered this document, or None if there is none.
        """
        transfer = self._transfer
        for peer, source in list(self._sources_by_peer.items()):
            if source.revision <= revision:
                del self._sources_by_peer[peer]
        if transfer is None:
            return None
        if transfer.document is None:
            if transfer.peer not in self._sources_by_peer:
                self._transfer = None
            return None
        if transfer.revision <= revision:
            self._transfer = None
        is_from_peer = (transfer.revision, transfer.document) == (revision, document)
        return transfer.peer if is_from_peer else None

    def advance(self, now: float, own_revision: int, out: list[Action]) -> None:
        """Time out the current transfer, and start the next one if there is none."""
        transfer = self._transfer
        if transfer is not None and transfer.deadline <= now:
            self._transfer = None
            self._handle_timeout(now, transfer, out)
        if self._transfer is None:
            self._pull(now, own_revision, out)

    def next_timer(self) -> float:
        """Time of the next timeout or pull."""
        if self._transfer is not None:
            return self._transfer.deadline
        times = (source.not_before for source in self._sources_by_peer.values())
        return min(times, default=math.inf)

    def _handle_timeout(self, now: float, transfer: Transfer, out: list[Action]) -> None:
        if transfer.document is None:
            out.append(Count(metric="config.pulls_lost"))
            self._back_off(now, transfer.peer, UNANSWERED_BACKOFF_S)
        else:
            out.append(Count(metric="config.documents_invalid"))
            self._back_off(now, transfer.peer, INVALID_BACKOFF_S)

    def _back_off(self, now: float, peer: str, backoff_s: float) -> None:
        if self._transfer is not None and self._transfer.peer == peer:
            self._transfer = None
        source = self._sources_by_peer.get(peer)
        if source is not None:
            source.not_before = now + backoff_s

    def _pull(self, now: float, own_revision: int, out: list[Action]) -> None:
        ready = [
            (source.revision, self._random.random(), peer)
            for peer, source in self._sources_by_peer.items()
            if source.not_before <= now
        ]
        if not ready:
            return
        peer = max(ready)[2]
        self._transfer = Transfer(peer=peer, deadline=now + PULL_TIMEOUT_S)
        out.append(Send(to=peer, message=ConfigPull(after_revision=own_revision)))
