"""Reachability of other failure domains from this host."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

MIN_FAILED_PROBES = 4
"""Probes that must fail before a failure domain is declared unreachable.

If one message in five is lost, one probe in three fails, and four in a row fail one time in
eighty. More of them fail before the time bound of
:meth:`DomainReachability.record_failure` passes.
"""

RETRY_INTERVAL_S = 0.4
"""Time between rounds of probes to an unresponsive failure domain."""

RETRY_HOSTS = 2
"""Hosts probed in each round of probes to an unresponsive failure domain."""


@dataclass(slots=True, kw_only=True)
class DomainState:
    """Probe results of one failure domain.

    :param last_reply_at: time of the last reply.
    :param failed_probes: probes that have failed since the last reply.
    :param unreachable_at: time at which the failure domain is declared unreachable if no reply
        arrives before.
    :param retry_at: time of the next round of probes.
    :param suspicion_sent: other hosts were told that the probes fail.
    """

    last_reply_at: float = -math.inf
    failed_probes: int = 0
    unreachable_at: float = math.inf
    retry_at: float = math.inf
    unreachable: bool = False
    suspicion_sent: bool = False


class DomainReachability:
    """Tracks which other failure domains answer the probes of this host.

    Only a reply to a probe shows that a failure domain is reachable: any other message from there
    does not show that this host's messages arrive.

    :ivar version: changes whenever a failure domain becomes reachable or unreachable.
    """

    def __init__(self) -> None:
        self._by_domain: dict[str, DomainState] = {}
        self.version = 0

    def is_unreachable(self, domain: str) -> bool:
        """Tell whether the failure domain has been declared unreachable."""
        state = self._by_domain.get(domain)
        return state is not None and state.unreachable

    def take_suspicion(self, domain: str, *, failures: int) -> bool:
        """Return True, once per loss of contact, when that many probes have failed."""
        state = self._by_domain.get(domain)
        if state is None or state.suspicion_sent or state.failed_probes < failures:
            return False
        state.suspicion_sent = True
        return True

    def unreachable(self) -> tuple[str, ...]:
        """Names of the unreachable failure domains."""
        return tuple(name for name, state in self._by_domain.items() if state.unreachable)

    def record_reply(self, now: float, domain: str) -> bool:
        """Process a reply; returns True if the failure domain was unreachable until now."""
        state = self._by_domain.setdefault(domain, DomainState())
        was_unreachable = state.unreachable
        self._by_domain[domain] = DomainState(last_reply_at=now)
        if was_unreachable:
            self.version += 1
        return was_unreachable

    def record_failure(self, now: float, domain: str, *, sent_at: float, bound_s: float) -> None:
        """Process a failed probe.

        It is ignored if it was sent before the last reply or the failure domain is unreachable.

        :param bound_s: seconds from sending the first failed probe until the failure domain is
            declared unreachable.
        """
        state = self._by_domain.setdefault(domain, DomainState())
        if sent_at < state.last_reply_at or state.unreachable:
            return
        if not state.failed_probes:
            state.unreachable_at = sent_at + bound_s
            state.retry_at = now
        state.failed_probes += 1

    def take_newly_unreachable(self, now: float) -> list[str]:
        """Declare overdue failure domains unreachable and return their names."""
        due = [
            name
            for name, state in self._by_domain.items()
            if state.unreachable_at <= now and state.failed_probes >= MIN_FAILED_PROBES
        ]
        for name in due:
            state = self._by_domain[name]
            state.unreachable = True
            state.unreachable_at = state.retry_at = math.inf
            self.version += 1
        return due

    def take_due_retries(self, now: float) -> list[str]:
        """Failure domains whose next round of probes is due; schedules the following round."""
        due = [name for name, state in self._by_domain.items() if state.retry_at <= now]
        for name in due:
            self._by_domain[name].retry_at = now + RETRY_INTERVAL_S
        return due

    def next_timer(self, now: float) -> float:
        """Time of the next round of probes or of the next failure domain to become unreachable."""
        times = [state.retry_at for state in self._by_domain.values()]
        times += [c.unreachable_at for c in self._by_domain.values() if c.unreachable_at > now]
        return min(times, default=math.inf)

    def reset_failures(self) -> None:
        """Discard failures that a pause of this host may have caused.

        Failure domains already declared unreachable stay so until they reply.
        """
        for state in self._by_domain.values():
            if not state.unreachable:
                state.failed_probes = 0
                state.suspicion_sent = False
                state.unreachable_at = state.retry_at = math.inf

    def keep_only(self, domains: Iterable[str]) -> None:
        """Discard the state of all other failure domains, which have no hosts left."""
        for name in set(self._by_domain) - set(domains):
            if self._by_domain.pop(name).unreachable:
                self.version += 1
