"""Sends pings and replies with piggybacked updates, and pushes recent changes between probes."""

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
"""Sequence number of a ping that only carries updates and expects no reply."""

PUSH_INTERVAL_S = 0.05
"""Shortest time between two pushes of recent changes."""

LOCAL_PUSH_FANOUT = 2
REMOTE_PUSH_FANOUT = 1
"""Hosts inside and outside the own failure domain that receive each push."""

SUSPICION_FANOUT = 5
LOCAL_SUSPICION_FANOUT = 3
"""Hosts that are told of an unresponsive failure domain, and how many of them are local.

Each of them then probes that failure domain itself.
"""

UPDATES_PER_TABLE_MESSAGE = 64
"""Updates in each message when the whole table is sent."""


class GossipSender:
    """Sends the membership messages of this host, with gossip updates piggybacked on them.

    :param own: the record of the own host.
    :ivar revision: revision of the configuration in force, sent with each ping and reply.
    :ivar push_at: time of the next push; infinity if there is none.
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
        self._last_push_at = -math.inf
        self._dissemination = Dissemination(
            table=table, reachability=reachability, own_name=own.name, own_domain=own.failure_domain
        )

    def ping(self, target: Member, sequence: int, out: list[Action]) -> None:
        """Send a ping with the updates that are due."""
        self._send_ping(target, sequence, self._dissemination.updates_for(target), out)

    def reply(self, sender: str, sequence: int, out: list[Action]) -> None:
        """Reply to a ping, with the updates that are due."""
        updates = self._dissemination.updates_for(self._table.by_name.get(sender))
        message = PingReply(sequence=sequence, revision=self.revision, updates=updates)
        out.append(Send(to=sender, message=message))

    def forward_reply(self, requester: str, sequence: int, out: list[Action]) -> None:
        """Report to the sender of a PingRequest that the target replied."""
        message = PingReply(sequence=sequence, revision=self.revision)
        out.append(Send(to=requester, message=message))

    def request_indirect_pings(
        self, target: Member, sequence: int, count: int, out: list[Action]
    ) -> bool:
        """Ask up to ``count`` hosts, local ones first, to ping the target.

        :returns: False if there is no host to ask.
        """
        local = [m for m in self._usable(local=True) if m is not target]
        relays = sample(self._random, local, count)
        if len(relays) < count:
            relays += sample(self._random, self._usable(local=False), count - len(relays))
        for relay in relays:
            request = PingRequest(sequence=sequence, target=target.name)
            out.append(Send(to=relay.name, message=request))
        return bool(relays)

    def send_table(self, target: Member, out: list[Action]) -> None:
        """Send the whole table, to a host that has just started or become reachable again."""
        updates = self._dissemination.whole_table(target)
        for start in range(0, len(updates), UPDATES_PER_TABLE_MESSAGE):
            self._send_ping(
                target, NO_REPLY, updates[start : start + UPDATES_PER_TABLE_MESSAGE], out
            )

    def send_domain_suspicion(self, member: Member, out: list[Action]) -> None:
        """Send a SUSPECT update about a remote host, so that others probe its failure domain."""
        if not member.incarnation:
            return
        update = (member.to_update(MemberState.SUSPECT),)
        remote = [m for m in self._usable(local=False) if m.failure_domain != member.failure_domain]
        receivers = sample(self._random, self._usable(local=True), LOCAL_SUSPICION_FANOUT)
        receivers += sample(self._random, remote, SUSPICION_FANOUT - len(receivers))
        for receiver in receivers:
            self._send_ping(receiver, NO_REPLY, update, out)

    def disseminate(self, now: float, member: Member, *, soon: bool = True) -> None:
        """Piggyback the entry of a changed host on the next messages; ``soon`` also pushes it."""
        self._dissemination.enqueue(member.name)
        if soon:
            self.push_soon(now)

    def push_soon(self, now: float) -> None:
        """Schedule a push, at least ``PUSH_INTERVAL_S`` after the last one."""
        self.push_at = min(self.push_at, max(now, self._last_push_at + PUSH_INTERVAL_S))

    def push(self, now: float, out: list[Action]) -> None:
        """Push updates to a few hosts without waiting for the next probe, if a push is due."""
        if now < self.push_at:
            return
        self.push_at = math.inf
        self._last_push_at = now
        receivers = sample(self._random, self._usable(local=True), LOCAL_PUSH_FANOUT)
        receivers += sample(self._random, self._usable(local=False), REMOTE_PUSH_FANOUT)
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
