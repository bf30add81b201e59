"""What a leader knows of the other hosts of its domain, any of which may succeed it unseen.

A successor that the leader cannot reach may extend the leases on a worker that the leader cannot
reach either, and adopts the runs of the jobs that are submitted to it. A ping that a follower sends
proves that it followed when the pong was sent that the ping names; the time at which the ping
arrives proves nothing, since a path or a pause of this process may have held it up.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from ._leases import HANDOVER_S, MIN_START_LEASE_S, SUCCESSOR_EXTENSION_S

FOLLOWER_LEASE_S = HANDOVER_S - 0.02
"""Time after the latest proof that a host follows by which all leases of its jobs' runs have ended.
It may submit the jobs to a successor right after that, which starts their tasks ``HANDOVER_S``
later; the difference is for the clocks of two hosts."""

PROOF_TIMEOUT_S = FOLLOWER_LEASE_S - MIN_START_LEASE_S
"""Time without a proof after which a host counts as lost, though messages of it that were held up
still arrive, or its session is awaited again. Its tasks could not get a lease any more."""


class Followers:
    """Tells since when all present hosts of the domain follow this leader, and until when the host
    of each session certainly did."""

    def __init__(self) -> None:
        self._followed_until = math.inf
        self._unfollowed_at = -math.inf
        self._followed_at_by_session: dict[str, float] = {}

    def prove(self, session: str, at: float) -> None:
        """Record that the host of a session certainly followed at a time; an earlier one than the
        latest changes nothing."""
        self._followed_at_by_session[session] = max(at, self.followed_at(session, default=at))

    def remove(self, session: str) -> None:
        """Remove a session that has no jobs left."""
        self._followed_at_by_session.pop(session, None)

    def followed_at(self, session: str, *, default: float = math.inf) -> float:
        """Latest time in seconds at which the host of a session certainly followed.

        :param default: result for a session without a proof, such as that of this host's own jobs.
        """
        return self._followed_at_by_session.get(session, default)

    def may_have_left(self, now: float, session: str) -> bool:
        """Tell whether the host of a session counts as lost for want of a proof."""
        return now - self.followed_at(session) > PROOF_TIMEOUT_S

    def lease_limit(self, session: str) -> float:
        """Time by which all leases of the runs of a session's jobs must have ended; infinite for
        this host's own jobs."""
        return self.followed_at(session) + FOLLOWER_LEASE_S

    def lost_sessions(self, now: float) -> list[str]:
        """Sessions whose hosts count as lost for want of a proof."""
        return [name for name in self._followed_at_by_session if self.may_have_left(now, name)]

    def lowest_lease_limit(self) -> float:
        """The earliest of these times, which limits all leases: a worker that has just got a longer
        one would be closed to the jobs of a host on a slower path."""
        proofs = self._followed_at_by_session.values()
        return min(proofs, default=math.inf) + FOLLOWER_LEASE_S

    def update(
        self,
        now: float,
        *,
        present: Iterable[str],
        session_times: Mapping[str, tuple[float, float]],
    ) -> None:
        """Record who follows now.

        :param present: names of the hosts that count.
        :param session_times: for each host with a session as a follower, when it certainly followed
            and when the session was opened.
        """
        self._followed_until = math.inf
        for name in present:
            followed_at, opened_at = session_times.get(name, (-math.inf, now))
            self._followed_until = min(self._followed_until, followed_at)
            self._unfollowed_at = max(self._unfollowed_at, opened_at)

    def runs_end_at(self, leases_expire_at: float) -> float:
        """Time by which the runs on a worker have ended, if a successor may have extended them.

        :param leases_expire_at: end of the leases that this leader counts on without a successor.
        """
        is_followed = self._followed_until >= leases_expire_at
        unfollowed_at = self._unfollowed_at if is_followed else math.inf
        extended_at = min(leases_expire_at, unfollowed_at)
        return max(leases_expire_at, extended_at + SUCCESSOR_EXTENSION_S)
