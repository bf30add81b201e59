"""Writes pings and replies, and sends news ahead of the regular probes."""

from __future__ import annotations

import math
import random

from ._actions import Action, Send
from ._dissemination import Dissemination
from ._member_table import Member, MemberTable
from ._messages import MemberState, MemberUpdate, Ping, PingReply, PingRequest
from ._probing import sample
from ._reachability import DomainReachability

NO_REPLY = 0
"""Sequence of a ping that only carries news and asks for no reply."""

PUSH_INTERVAL_S = 0.05
"""Shortest time between two rounds of news sent ahead of the regular probes."""

PUSH_LOCAL = 2
PUSH_REMOTE = 1
"""Hosts inside and outside the own failure domain that get news at once."""

HINTS = 5
HINTS_LOCAL = 3
"""Hosts that are told of a failure domain which stopped answering, and how many of them are in the
own failure domain; each then probes it itself."""

CHUNK = 64
"""Entries in one message when the whole table is sent."""


class GossipSender:
    """Sends what this host knows of the hosts of its site.

    :param own: the record of the own host.
    """

    def __init__(
        self,
        *,
        own: Member,
        table: MemberTable,
        reachability: DomainReachability,
        rng: random.Random,
    ) -> None:
        self.revision = 0
        self.push_at = math.inf
        self._own = own
        self._table = table
        self._reachability = reachability
        self._random = rng
        self._last_push = -math.inf
        self._news = Dissemination(
            table=table, reachability=reachability, own_name=own.name, own_domain=own.failure_domain
        )

    def ping(self, target: Member, sequence: int, out: list[Action]) -> None:
        """Ping a host."""
        self._send_ping(target, sequence, self._news.updates_for(target), out)

    def reply(self, sender: str, sequence: int, out: list[Action]) -> None:
        """Answer a ping."""
        updates = self._news.updates_for(self._table.by_name.get(sender))
        message = PingReply(sequence=sequence, revision=self.revision, updates=updates)
        out.append(Send(to=sender, message=message))

    def pass_reply(self, requester: str, sequence: int, out: list[Action]) -> None:
        """Tell a host that the target of its PingRequest answered."""
        message = PingReply(sequence=sequence, revision=self.revision)
        out.append(Send(to=requester, message=message))

    def ask_helpers(self, target: Member, sequence: int, count: int, out: list[Action]) -> bool:
        """Ask other hosts to ping the target; returns False if there is none to ask."""
        neighbours = [m for m in self._usable(local=True) if m is not target]
        helpers = sample(self._random, neighbours, count)
        if len(helpers) < count:
            helpers += sample(self._random, self._usable(local=False), count - len(helpers))
        for helper in helpers:
            request = PingRequest(sequence=sequence, target=target.name)
            out.append(Send(to=helper.name, message=request))
        return bool(helpers)

    def send_table(self, target: Member, out: list[Action]) -> None:
        """Send everything known, to a host that has just started or come back into reach."""
        updates = self._news.whole_table(target)
        for start in range(0, len(updates), CHUNK):
            self._send_ping(target, NO_REPLY, updates[start : start + CHUNK], out)

    def hint(self, member: Member, out: list[Action]) -> None:
        """Tell some hosts that ``member``, of another failure domain, does not answer."""
        if not member.incarnation:
            return
        update = (member.to_update(MemberState.SUSPECT),)
        remote = [m for m in self._usable(local=False) if m.failure_domain != member.failure_domain]
        receivers = sample(self._random, self._usable(local=True), HINTS_LOCAL)
        receivers += sample(self._random, remote, HINTS - len(receivers))
        for receiver in receivers:
            self._send_ping(receiver, NO_REPLY, update, out)

    def spread(self, now: float, member: Member, *, soon: bool = True) -> None:
        """Send the entry of a changed host with the next messages, or ahead of them."""
        self._news.announce(member.name)
        if soon:
            self.push_soon(now)

    def push_soon(self, now: float) -> None:
        """Send news ahead of the regular probes."""
        self.push_at = min(self.push_at, max(now, self._last_push + PUSH_INTERVAL_S))

    def push(self, now: float, out: list[Action]) -> None:
        """Send a round of news if one is due."""
        if now < self.push_at:
            return
        self.push_at = math.inf
        self._last_push = now
        receivers = sample(self._random, self._usable(local=True), PUSH_LOCAL)
        receivers += sample(self._random, self._usable(local=False), PUSH_REMOTE)
        for receiver in receivers:
            self.ping(receiver, NO_REPLY, out)

    def _usable(self, *, local: bool) -> list[Member]:
        own = self._own
        return [
            member
            for member in self._table
            if member.is_usable
            and member is not own
            and (member.failure_domain == own.failure_domain) == local
            and not self._reachability.is_unreachable(member.failure_domain)
        ]

    def _send_ping(
        self,
        target: Member,
        sequence: int,
        updates: tuple[MemberUpdate, ...],
        out: list[Action],
    ) -> None:
        message = Ping(sequence=sequence, revision=self.revision, updates=updates)
        out.append(Send(to=target.name, message=message))
