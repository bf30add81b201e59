"""Links: outbound sessions to other hosts, with failure detection by ping."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ._messages import HostRecord, Ping, Pong, ToServer

PING_INTERVAL_S = 0.08
"""Interval of pings within a failure domain."""

REMOTE_PING_INTERVAL_S = 0.16
"""Interval of pings between failure domains, where each byte transferred is charged."""

LINK_TIMEOUT_S = 0.34
"""Time without an answer to a ping after which a host counts as lost. A CPU quota may pause a host
for 0.1 s, and a lost packet is retransmitted after about 0.2 s."""

REMOTE_LINK_TIMEOUT_S = 0.5
"""The same for hosts of other failure domains."""

RECONNECT_DELAY_S = 0.3
"""Delay before a lost link is reopened."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenLink:
    """Open a session to a host."""

    host: HostRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class CloseLink:
    """Close the session to a host."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLink:
    """Send a message on the session to a host."""

    name: str
    message: ToServer


LinkAction = OpenLink | CloseLink | SendLink


@dataclass(slots=True, kw_only=True)
class Link:
    """An outbound session that this host keeps open.

    :param is_remote: whether the host is in another failure domain.
    :param opened_at: time from which the delay before reopening it counts.
    :param is_open: whether it is open or being opened.
    :param connected: whether the transport has opened it.
    :param number: number of the last ping.
    :param pong: latest answer to a ping on this session, or None before the first one.
    :param answered_at: time of the latest answer, also on an earlier session.
    :param lost_at: when the host was last found lost, or None if it has answered since.
    :param refused: whether no process listened at the address at the last attempt.
    """

    host: HostRecord
    is_remote: bool
    opened_at: float
    is_open: bool = True
    connected: bool = False
    last_heard: float = 0.0
    next_ping: float = 0.0
    number: int = 0
    pong: Pong | None = None
    answered_at: float = -math.inf
    lost_at: float | None = None
    refused: bool = False

    def is_alive(self) -> bool:
        """Tell whether the host has answered and has not been lost since."""
        return self.is_open and self.pong is not None


@dataclass(slots=True, kw_only=True)
class Links:
    """Keeps the wanted outbound sessions open, and detects lost hosts by ping.

    :param lost: names of hosts lost since the last call of :meth:`take_lost`.
    """

    link_by_name: dict[str, Link] = field(default_factory=dict)
    actions: list[LinkAction] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)

    def set_wanted(self, now: float, hosts: dict[str, tuple[HostRecord, bool]]) -> None:
        """Set the wanted sessions: host and whether it is in another domain, by name."""
        for name in list(self.link_by_name):
            wanted = hosts.get(name)
            known = self.link_by_name[name].host
            # A new incarnation at an unchanged address answers on the same session.
            if wanted is None or wanted[0].address != known.address:
                self._close(self.link_by_name.pop(name))
        for name, (host, is_remote) in hosts.items():
            if name not in self.link_by_name:
                link = Link(host=host, is_remote=is_remote, opened_at=now, last_heard=now)
                self.link_by_name[name] = link
                self.actions.append(OpenLink(host=host))

    def _close(self, link: Link) -> None:
        if link.is_open:
            self.actions.append(CloseLink(name=link.host.name))
            link.is_open = link.connected = False

    def reopen(self, now: float, name: str) -> None:
        """Replace an attempt to open a session that is still unanswered: it may have begun while
        the host was down, and then hangs."""
        link = self.link_by_name.get(name)
        if link is not None and not link.connected:
            self._close(link)
            link.is_open = True
            link.opened_at = link.last_heard = now
            self.actions.append(OpenLink(host=link.host))

    def connected(self, now: float, name: str) -> None:
        """Handle a session that the transport has opened."""
        link = self.link_by_name.get(name)
        if link is not None and link.is_open:
            link.connected = True
            link.next_ping = now

    def pong_received(self, now: float, name: str, pong: Pong) -> None:
        """Handle a host's answer to a ping."""
        link = self.link_by_name.get(name)
        if link is not None and link.is_open:
            link.last_heard = link.answered_at = now
            link.pong = pong
            link.lost_at = None
            link.refused = False

    def heard(self, name: str) -> int:
        """Number of the last pong received on the session to a host, or 0."""
        link = self.link_by_name.get(name)
        return link.pong.number if link is not None and link.pong is not None else 0

    def answered_at(self, name: str) -> float:
        """Time of the last pong of a host, or negative infinity."""
        link = self.link_by_name.get(name)
        return link.answered_at if link is not None else -math.inf

    def closed(self, now: float, name: str, *, refused: bool) -> None:
        """Handle a session that the transport has lost or could not open."""
        link = self.link_by_name.get(name)
        if link is not None and link.is_open:
            self._mark_lost(now, link, refused=refused)

    def drop(self, now: float, name: str) -> None:
        """Close a session after an unforeseen error, and reopen it after the usual delay."""
        link = self.link_by_name.get(name)
        if link is not None and link.is_open:
            self.actions.append(CloseLink(name=name))
            self._mark_lost(now, link, refused=False)
            link.opened_at = now

    def _mark_lost(self, now: float, link: Link, *, refused: bool) -> None:
        had_answered = link.pong is not None
        link.is_open = link.connected = False
        link.pong = None
        link.lost_at = now
        link.refused = refused
        # A broken connection is reopened at once: only a new attempt tells a terminated process
        # from a silent one.
        link.opened_at = now if not had_answered or refused else now - RECONNECT_DELAY_S
        self.lost.append(link.host.name)

    def take_lost(self) -> list[str]:
        """Names of the hosts lost since the last call."""
        lost, self.lost = self.lost, []
        return lost

    def advance(
        self,
        now: float,
        *,
        config_version: int,
        evacuation_revision: int,
        leads_epoch: int,
        ready: bool,
    ) -> None:
        """Send the pings that are due, detect silent hosts, and reopen lost links."""
        for link in self.link_by_name.values():
            if not link.is_open:
                if now - link.opened_at >= RECONNECT_DELAY_S:
                    link.is_open = True
                    link.opened_at = link.last_heard = now
                    self.actions.append(OpenLink(host=link.host))
                continue
            if now - link.last_heard >= (
                REMOTE_LINK_TIMEOUT_S if link.is_remote else LINK_TIMEOUT_S
            ):
                self.actions.append(CloseLink(name=link.host.name))
                self._mark_lost(now, link, refused=False)
                link.opened_at = now
            elif link.connected and now >= link.next_ping:
                self._ping(
                    now,
                    link,
                    Ping(
                        number=link.number + 1,
                        config_version=config_version,
                        leads_epoch=leads_epoch,
                        ready=ready,
                        evacuation_revision=evacuation_revision,
                        carries_starts=True,
                        heard=self.heard(link.host.name),
                    ),
                )

    def _ping(self, now: float, link: Link, ping: Ping) -> None:
        link.number = ping.number
        link.next_ping = now + (REMOTE_PING_INTERVAL_S if link.is_remote else PING_INTERVAL_S)
        self.actions.append(SendLink(name=link.host.name, message=ping))

    def announce_leadership(
        self, now: float, *, config_version: int, evacuation_revision: int, epoch: int
    ) -> None:
        """Ping all hosts of the own domain at once, so that those that still search for a leader
        follow this host instead of claiming leadership as well."""
        for link in self.link_by_name.values():
            if link.connected and not link.is_remote:
                self._ping(
                    now,
                    link,
                    Ping(
                        number=link.number + 1,
                        config_version=config_version,
                        leads_epoch=epoch,
                        evacuation_revision=evacuation_revision,
                        carries_starts=True,
                        heard=self.heard(link.host.name),
                    ),
                )
