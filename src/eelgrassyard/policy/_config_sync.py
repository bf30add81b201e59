"""The configuration in force and its distribution between hosts."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import ClassVar

from . import _rendezvous
from ._actions import Action, Count, ReadinessChanged, Send, StateChanged, WatchStore
from ._config import SiteConfig
from ._config_pull import ConfigPuller, pack
from ._events import ConfigLoaded, Event, PeerReceived
from ._identity import HostIdentity
from ._messages import ConfigDocument, ConfigPull, Ping, PingReply
from ._system import MembershipView

WATCHERS_PER_DOMAIN = 2
"""Hosts of each failure domain that watch the store, so that one may hang."""

WATCH_OVERLAP_S = 5.0
"""Time for which a host continues its watch after others have taken over."""

MIN_STARTUP_WAIT_S = 1.0
"""Shortest time a starting host waits for revisions of its peers if the store does not answer."""

MAX_STARTUP_WAIT_S = 5.0
"""Time after which a starting host stops waiting for peers; silent ones have failed by then."""

MAX_SENT_BYTES_PER_S = 4 << 20
"""Bytes of documents sent to peers per second, and in one burst.

Further pulls are not answered; the requester times out and pulls from another peer.
"""


class ConfigSync:
    """Keeps the valid configuration of the highest revision and distributes it.

    Pings and replies carry the revision that each host has in force; a host with a lower one pulls
    the document. Some hosts of each failure domain watch the store for new revisions, and so
    does any host without a configuration.
    """

    HANDLES: ClassVar[tuple[type, ...]] = (
        ConfigLoaded,
        Ping,
        PingReply,
        ConfigPull,
        ConfigDocument,
    )

    def __init__(self, *, identity: HostIdentity, membership: MembershipView) -> None:
        self._identity = identity
        self._membership = membership
        self._current: SiteConfig | None = None
        self._revision = 0
        self._document = b""
        self._packed: bytes | None = None
        self._puller = ConfigPuller(rng=random.Random(f"{identity.name}/{identity.incarnation}"))
        self._send_budget_used_until = -math.inf
        self._watching = False
        self._ranked_members: Sequence[str] = ()
        self._ranked_as_watcher = False
        self._unwatch_at = math.inf
        self._ready = False
        self._from_store = False
        self._started_at: float | None = None
        self._revision_by_peer: dict[str, int] = {}

    @property
    def current(self) -> SiteConfig | None:
        return self._current

    @property
    def revision(self) -> int:
        return self._revision

    def handle(self, now: float, event: Event, out: list[Action]) -> None:
        """Process one event."""
        match event:
            case ConfigLoaded():
                self._apply_loaded(event, out)
            case PeerReceived(sender=peer) if peer == self._identity.name:
                return
            case PeerReceived(sender=peer, message=Ping(revision=revision)):
                self._record_revision(peer, revision)
            case PeerReceived(sender=peer, message=PingReply(revision=revision)):
                self._record_revision(peer, revision)
            case PeerReceived(sender=peer, message=ConfigPull(after_revision=revision)):
                self._send_document(now, peer, revision, out)
            case PeerReceived(sender=peer, message=ConfigDocument() as document):
                if document.revision > self._revision:
                    self._puller.handle_document(now, peer, document, out)

    def advance(self, now: float, out: list[Action]) -> None:
        """Run timers."""
        if self._started_at is None:
            self._started_at = now
        self._puller.advance(now, self._revision, out)
        self._update_watch(now, out)
        self._update_readiness(now, out)

    def next_wake(self, now: float) -> float:
        """Time of the next timer."""
        startup_wait_ends_at = math.inf
        if not self._ready and self._started_at is not None and self._current is not None:
            ends = (self._started_at + MIN_STARTUP_WAIT_S, self._started_at + MAX_STARTUP_WAIT_S)
            startup_wait_ends_at = min((end for end in ends if end > now), default=math.inf)
        return min(self._puller.next_timer(), self._unwatch_at, startup_wait_ends_at)

    def dump(self) -> dict[str, object]:
        """Revision in force, watch and readiness as JSON values."""
        return {
            "revision": self._revision,
            "document_bytes": len(self._document),
            "watching_store": self._watching,
            "ready": self._ready,
        }

    # Documents

    def _apply_loaded(self, event: ConfigLoaded, out: list[Action]) -> None:
        peer = self._puller.record_loaded(event.revision, event.document)
        if event.revision <= self._revision:
            # The store confirms a revision that a peer sent earlier.
            self._from_store |= event.revision == self._revision and peer is None
            return
        self._from_store |= peer is None
        self._revision = event.revision
        self._current = event.config
        self._document = event.document
        self._packed = None
        out.append(Count(metric="config.loaded"))
        out.append(
            StateChanged(
                step="config",
                peer=peer or "store",
                message=f"configuration revision {event.revision} is in force",
            )
        )

    def _record_revision(self, peer: str, revision: int) -> None:
        self._puller.record_revision(peer, revision, self._revision)
        if not self._ready:
            self._revision_by_peer[peer] = revision

    def _send_document(self, now: float, peer: str, after_revision: int, out: list[Action]) -> None:
        if self._revision <= after_revision:
            return
        start = max(now - 1.0, self._send_budget_used_until)
        if start > now:
            out.append(Count(metric="config.pulls_refused"))
            return
        if self._packed is None:
            self._packed = pack(self._document)
        self._send_budget_used_until = start + len(self._packed) / MAX_SENT_BYTES_PER_S
        message = ConfigDocument(revision=self._revision, document=self._packed)
        out.append(Send(to=peer, message=message))

    # Store and readiness

    def _update_watch(self, now: float, out: list[Action]) -> None:
        if self._current is None or self._is_watcher():
            self._unwatch_at = math.inf
            wanted = True
        elif self._watching and self._unwatch_at == math.inf:
            self._unwatch_at = now + WATCH_OVERLAP_S
            wanted = True
        else:
            wanted = self._watching and now < self._unwatch_at
        if wanted != self._watching:
            self._watching = wanted
            self._unwatch_at = math.inf
            out.append(WatchStore(on=wanted))

    def _is_watcher(self) -> bool:
        members = self._membership.alive_hosts(self._identity.failure_domain)
        if members is not self._ranked_members:
            # The membership returns the same object until its hosts change.
            self._ranked_members = members
            staying = [name for name in members if not self._membership.is_leaving(name)]
            ranked = _rendezvous.rank("config-watch", dict.fromkeys(staying or members, 1.0))
            self._ranked_as_watcher = self._identity.name in ranked[:WATCHERS_PER_DOMAIN]
        return self._ranked_as_watcher

    def _update_readiness(self, now: float, out: list[Action]) -> None:
        if self._ready or self._current is None or not self._is_startup_wait_over(now):
            return
        if self._membership.is_dead(self._identity.name, self._identity.incarnation):
            # A newer incarnation of this host serves the callers.
            return
        self._ready = True
        self._revision_by_peer.clear()
        reason = f"configuration revision {self._revision} is in force"
        out.append(ReadinessChanged(ready=True, reason=reason))

    def _is_startup_wait_over(self, now: float) -> bool:
        """Tell whether a starting host can assume that no peer has a newer configuration."""
        assert self._started_at is not None
        age_s = now - self._started_at
        if self._from_store or age_s >= MAX_STARTUP_WAIT_S:
            return True
        return (
            age_s >= MIN_STARTUP_WAIT_S
            and not self._puller.has_sources
            and self._all_peers_reported()
        )

    def _all_peers_reported(self) -> bool:
        reported = self._revision_by_peer.keys() | {self._identity.name}
        own_domain = self._membership.alive_hosts(self._identity.failure_domain)
        return reported.issuperset(own_domain)
