"""Sessions of the pools that lend tasks to this one, and how long each still owns its runs.

A lent run belongs to the session on which it was lent, and to no other one. The lender owns it
while it holds that session. If the path between them is cut, it cannot tell the borrower that it
holds the session no more, so the borrower relies on proofs: a message that names a pong which the
lender has received was sent after that pong. All leases of a lent run end within ``LENT_LEASE_S``
of the latest proof. The lender counts from the last pong that it received, which is not earlier
than any proof, so it knows when the run is over without an answer from the borrower.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

LENT_LEASE_S = 1.05
"""Time after the latest proof of a lender's session by which all leases of its runs have ended. A
caller may submit again 1.3 s after an answer that its job was given up."""

LENDER_SILENCE_S = 0.7
"""Time without a proof after which the runs of a session are stopped. It leaves time to confirm the
stops and to renew the leases of the other runs on the same workers."""

LENT_RUN_EXPIRY_S = 1.07
"""Time after the last pong of a borrower by which no run that was lent to it is left: its leases,
and an allowance for the difference between the clocks of two hosts."""


@dataclass(slots=True, kw_only=True)
class Lenders:
    """Latest proof of each session that lends tasks to this pool.

    :param proved_at_by_session: time on this host's clock at which the lender certainly still held
        the session.
    """

    proved_at_by_session: dict[str, float] = field(default_factory=dict)

    def prove(self, session: str, at: float) -> None:
        """Record a proof; an earlier one than the latest changes nothing."""
        self.proved_at_by_session[session] = max(at, self.proved_at_by_session.get(session, at))

    def remove(self, session: str) -> None:
        """Remove a session that has closed."""
        self.proved_at_by_session.pop(session, None)

    def lease_limit(self, session: str) -> float:
        """Time by which all leases of a session's runs must have ended."""
        return self.proved_at_by_session.get(session, -math.inf) + LENT_LEASE_S

    def is_silent(self, now: float, session: str) -> bool:
        """Tell whether the lender may no longer hold a session."""
        return now >= self.proved_at_by_session.get(session, -math.inf) + LENDER_SILENCE_S
