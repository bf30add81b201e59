"""Leader selection for the pool of a failure domain. There is no vote: fencing epochs keep two
leaders from driving the same workers."""

from __future__ import annotations

import enum
import math
import zlib
from dataclasses import dataclass

from ._host_directory import UNKNOWN_DOMAIN, HostDirectory, rank
from ._links import Links
from ._messages import HostRecord, Pong

MIN_SEARCH_S = 0.1
"""Time in which the hosts of a domain can answer before one of them claims leadership."""

STARTUP_SEARCH_S = 0.5
"""The same after the start of the process: all hosts start within 0.3 s and must discover each
other."""

CLAIM_DELAY_S = 1.2
"""Time for which a host waits for one of higher rank to claim leadership before it does so
itself."""

ISOLATED_CLAIM_DELAY_S = 12.0
"""Time after which a host that reaches no other host claims leadership. Single hosts are cut off
for up to 12 s on the users' sites."""

FENCED_EPOCH_STEP = 4000
"""Added to the highest known epoch after a worker refused it as outdated. Epochs are derived from
clocks in milliseconds, and the clocks of hosts may differ by seconds."""

EPOCH_SLOTS = 256
"""Modulus of epochs. All epochs of a host have the same remainder, which most other hosts do not
have: two that lose their leader at once and do not reach each other know the same epochs, and would
use the same next one. An epoch may be that many milliseconds ahead of the clock, which is less than
``STARTUP_SEARCH_S``: a host that has just started claims an epoch above those from before."""

FENCED_BACKOFF_S = 0.3
"""Pause before a host that was fenced out may claim leadership again."""

SETTLED_S = 1.0
"""Time for which a host must have followed a leader to succeed it. By then that leader has itself
settled the runs of the one before it."""

SUCCESSION_S = 1.0
"""Time after the loss of its leader within which a host can succeed it. Without a renewal no run of
that leader is left later."""

MAX_CANDIDATES = 8
MAX_REMOTE_HOSTS = 3
"""Hosts of the own domain, and of other domains, that are contacted at a time during a search."""


class Role(enum.Enum):
    """Role of a host for its domain's pool."""

    SEARCHING = enum.auto()
    FOLLOWING = enum.auto()
    LEADING = enum.auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Survey:
    """Other hosts of a domain during a search.

    :param present: those that count.
    :param answered: those that have answered, also if they do not count.
    :param silent: present ones that have neither answered nor refused a connection.
    """

    present: list[HostRecord]
    answered: list[HostRecord]
    silent: list[HostRecord]


class Leadership:
    """Finds the leader of this host's failure domain, or makes this host the leader.

    :param own: this host.
    :param directory: the other hosts.
    :param now: start of the process.

    :ivar hosts_known: whether the store or another host has listed the hosts of the system. Until
        then this host does not claim leadership, since it might be cut off from the leader.
    :ivar waits_for: why this host does not take the lead though it follows nobody, or empty.
    :ivar is_successor: whether this host, as leader, has succeeded one that it followed until that
        was lost. Any other host that leads cannot know who owned the runs on the workers, or since
        when nobody has.
    """

    def __init__(self, *, own: HostRecord, directory: HostDirectory, now: float) -> None:
        self.own = own
        self._directory = directory
        self._epoch_slot = zlib.crc32(f"{own.name} {own.incarnation}".encode()) % EPOCH_SLOTS
        self.role = Role.SEARCHING
        self.leader: HostRecord | None = None
        self.epoch = 0
        self.draining = False
        self.hosts_known = False
        self.highest_epoch = 0
        self._search_started_at = now
        self._min_search_s = STARTUP_SEARCH_S
        self._claim_backoff_until = 0.0
        self._paused_until = 0.0
        self.waits_for = ""
        self.is_successor = False
        self._rival_seen_at = -math.inf
        self._followed_since = math.inf
        self._settled_leader_lost_at = -math.inf

    def candidates(self, now: float) -> list[HostRecord]:
        """Other hosts of this host's domain that are asked for a leader now."""
        return self._directory.candidates(now, {self.own.domain})[:MAX_CANDIDATES]

    def wanted_links(self, now: float) -> dict[str, tuple[HostRecord, bool]]:
        """Outbound sessions that the current role needs: host and whether it is in another domain,
        by name."""
        wanted: dict[str, tuple[HostRecord, bool]] = {}
        if self.role is Role.FOLLOWING and self.leader is not None:
            wanted[self.leader.name] = (self.leader, False)
        elif self.role is Role.SEARCHING:
            for host in self.candidates(now):
                wanted[host.name] = (host, False)
            for host in self._remote_hosts(now):
                wanted[host.name] = (host, True)
        return wanted

    def _remote_hosts(self, now: float) -> list[HostRecord]:
        domains = {UNKNOWN_DOMAIN, *self._directory.other_domains()}
        return self._directory.candidates(now, domains)[:MAX_REMOTE_HOSTS]

    # --- events ---

    def follow(self, now: float, host: HostRecord, epoch: int) -> None:
        """Follow a leader that another host has reported."""
        self.highest_epoch = max(self.highest_epoch, epoch)
        if self.leader is None or (self.leader.name, self.epoch) != (host.name, epoch):
            self._followed_since = now
        self._rival_seen_at = -math.inf
        self.role = Role.FOLLOWING
        self.leader = host
        self.epoch = epoch

    def lead(self, now: float) -> None:
        """Become leader with an epoch above all known ones that has this host's remainder."""
        lowest = max(self.highest_epoch + 1, int(now * 1000))
        self.highest_epoch = lowest + (self._epoch_slot - lowest) % EPOCH_SLOTS
        self._leave_leader(now)
        self.is_successor = now - self._settled_leader_lost_at <= SUCCESSION_S
        self.role = Role.LEADING
        self.leader = self.own
        self.epoch = self.highest_epoch

    def search(self, now: float, *, min_s: float = MIN_SEARCH_S) -> None:
        """Restart the search for the leader.

        :param min_s: time in which other hosts can answer before this one claims leadership.
        """
        self._leave_leader(now)
        self.role = Role.SEARCHING
        self.leader = None
        self.epoch = 0
        self._search_started_at = now
        self._min_search_s = min_s

    def _leave_leader(self, now: float) -> None:
        if self.role is Role.SEARCHING:
            return
        is_settled = self.role is Role.FOLLOWING and now - self._followed_since >= SETTLED_S
        self._settled_leader_lost_at = now if is_settled else -math.inf

    def suspended(self, now: float) -> None:
        """Search again after a pause in which others may have led unseen."""
        self.search(now)
        self._settled_leader_lost_at = -math.inf

    def fenced_out(self, now: float, *, was_obeyed: bool) -> None:
        """Handle the refusal of this leader's epoch by a worker: back off and search again.

        :param was_obeyed: whether a worker has accepted the epoch before, so that another host must
            have taken the lead since. Otherwise an earlier leader's clock may have been ahead.
        """
        if was_obeyed:
            self._rival_seen_at = now
        self.highest_epoch += FENCED_EPOCH_STEP
        self._claim_backoff_until = now + FENCED_BACKOFF_S
        self.search(now)

    def has_rival(self, now: float) -> bool:
        """Tell whether another host has fenced this one out and this one follows none since."""
        return now - self._rival_seen_at < ISOLATED_CLAIM_DELAY_S

    def pause(self, now: float, seconds: float) -> None:
        """Search again, and claim leadership only after a pause."""
        self._paused_until = self._claim_backoff_until = now + seconds
        self.suspended(now)

    def is_paused(self, now: float) -> bool:
        """Tell whether other hosts need not wait for this one to claim leadership."""
        return now < self._paused_until

    def host_lost(self, now: float, name: str) -> None:
        """Handle a broken or silent session to a host."""
        if self.role is Role.FOLLOWING and self.leader is not None and self.leader.name == name:
            self.search(now)

    def pong_received(self, now: float, name: str, pong: Pong) -> None:
        """Handle a host's report on the leader of its domain."""
        host = self._directory.get(name)
        if host is None or host.domain != self.own.domain or pong.leader is None:
            if (
                self.role is Role.FOLLOWING
                and self.leader is not None
                and self.leader.name == name
                and now - self._search_started_at > CLAIM_DELAY_S
            ):
                self.search(now)
            return
        leader = pong.leader
        if leader.name == self.own.name:
            # The epoch is from an earlier process of this host or from before it was fenced out.
            self.highest_epoch = max(self.highest_epoch, pong.epoch)
            return
        if self.role is Role.LEADING:
            return
        was_lost = now - self._directory.lost_at(leader.name) < CLAIM_DELAY_S
        stale = was_lost and leader.name != name
        if stale or pong.epoch < self.epoch or (leader.name == name and pong.draining):
            return
        if self.leader is None or self.leader.name != leader.name or pong.epoch > self.epoch:
            self._search_started_at = now
            self.follow(now, leader, pong.epoch)

    def leader_announced(self, now: float, host: HostRecord, epoch: int) -> bool:
        """Follow a host of this domain that has just taken the lead; True if it is followed now.

        :param epoch: epoch of that host, or 0 if it does not lead.
        """
        if self.role is not Role.SEARCHING or epoch <= self.highest_epoch:
            return False
        self._search_started_at = now
        self.follow(now, host, epoch)
        return True

    def advance(self, now: float, links: Links) -> bool:
        """Become leader if no host of higher rank does; True if this host has just become it."""
        self.waits_for = ""
        if self.role is not Role.SEARCHING or self.draining or now < self._claim_backoff_until:
            return False
        if not self.hosts_known:
            self._search_started_at = now
            return False
        survey = self._survey(now, links)
        if not self._has_searched(now, links, survey):
            return False
        self.waits_for = self._leader_elsewhere(now, links, survey)
        if self.waits_for:
            return False
        self.lead(now)
        return True

    def _survey(self, now: float, links: Links) -> _Survey:
        present = self._directory.present(now, self.own.domain)
        return _Survey(
            present=present,
            answered=[h for h in self.candidates(now) if _is_alive(links, h.name)],
            silent=[
                host
                for host in present
                if not (_is_alive(links, host.name) or self._was_refused(links, host.name))
            ],
        )

    def _has_searched(self, now: float, links: Links, survey: _Survey) -> bool:
        """Tell whether the other hosts had the time to name a leader, or to become it by rank."""
        waited_s = now - self._search_started_at
        all_known = bool(survey.present) and not survey.silent
        if waited_s < self._min_search_s and not all_known:
            return False
        if waited_s >= CLAIM_DELAY_S:
            return True
        unasked = any(not self._was_asked(links, host.name) for host in survey.present)
        higher_ranked = any(
            rank(host) < rank(self.own) and not _is_draining(links, host.name)
            for host in survey.answered
        )
        return not (higher_ranked or (unasked and not survey.answered))

    def _leader_elsewhere(self, now: float, links: Links, survey: _Survey) -> str:
        """What this host waits for, if another one probably leads that it does not reach."""
        answered = survey.answered
        if any(self._names_leader(links, host.name) for host in answered):
            return "the leader that another host reaches"
        missed = [host for host in survey.silent if self._directory.is_listed(host.name)]
        has_rival = self.has_rival(now) or any(_has_rival(links, host.name) for host in answered)
        if has_rival and self._is_smaller_part(answered, missed):
            return "the larger part of the domain"
        is_isolated = not answered and not any(
            _is_alive(links, host.name) for host in self._remote_hosts(now)
        )
        waited_s = now - self._search_started_at
        if is_isolated and missed and waited_s < ISOLATED_CLAIM_DELAY_S:
            return "any other host"
        return ""

    def _names_leader(self, links: Links, name: str) -> bool:
        """Tell whether a host that answers reaches a leader. This host must not fence that one out,
        though it cannot reach it."""
        link = links.link_by_name.get(name)
        pong = link.pong if link is not None else None
        return (
            pong is not None
            and pong.leader is not None
            and pong.leader.name not in (name, self.own.name)
        )

    def _is_smaller_part(self, answered: list[HostRecord], missed: list[HostRecord]) -> bool:
        """Tell whether the domain is divided and this host is in the part that has fewer hosts, or
        as many but not the one of highest rank."""
        reached = [self.own, *answered]
        if not missed or len(reached) != len(missed):
            return len(reached) < len(missed)
        return min(map(rank, missed)) < min(map(rank, reached))

    def _was_asked(self, links: Links, name: str) -> bool:
        """Tell whether a session to a host has been tried in this search."""
        return (
            name in links.link_by_name or self._directory.lost_at(name) >= self._search_started_at
        )

    def _was_refused(self, links: Links, name: str) -> bool:
        link = links.link_by_name.get(name)
        return (link is not None and link.refused) or self._directory.was_refused(
            name, since=self._search_started_at
        )


def _is_alive(links: Links, name: str) -> bool:
    link = links.link_by_name.get(name)
    return link is not None and link.is_alive()


def _has_rival(links: Links, name: str) -> bool:
    link = links.link_by_name.get(name)
    return link is not None and link.pong is not None and link.pong.rival_leads


def _is_draining(links: Links, name: str) -> bool:
    link = links.link_by_name.get(name)
    return link is not None and link.pong is not None and link.pong.draining
