"""Whether other failure domains can be reached from this host."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

MIN_FAILED_PROBES = 4
"""Probes that must fail before a failure domain counts as cut off.

At a loss of one message in five a probe fails one time in three, and four in a row fail one time
in eighty; the time bound below asks for more of them.
"""

RETRY_INTERVAL_S = 0.4
"""Time between rounds of probes to a failure domain that does not answer."""

RETRY_HOSTS = 2
"""Hosts probed in each such round."""


@dataclass(slots=True, kw_only=True)
class Contact:
    """Contact with one failure domain.

    :param failing_since: time of the first probe without a reply since the last reply.
    """

    last_reply: float = -math.inf
    failing_since: float | None = None
    failed_probes: int = 0
    retry_at: float = math.inf
    cut_off: bool = False


class DomainReach:
    """Contact with the other failure domains, by name.

    Only a reply to an own probe is contact: a message that merely arrives does not show that this
    host's messages arrive there.
    """

    def __init__(self) -> None:
        self._by_domain: dict[str, Contact] = {}
        self.version = 0

    def is_cut_off(self, domain: str) -> bool:
        """Tell whether the failure domain is cut off."""
        contact = self._by_domain.get(domain)
        return contact is not None and contact.cut_off

    def is_failing(self, domain: str) -> bool:
        """Tell whether the last probe to the failure domain went unanswered."""
        contact = self._by_domain.get(domain)
        return contact is not None and contact.failing_since is not None

    def cut_off(self) -> tuple[str, ...]:
        """Names of the failure domains that are cut off."""
        return tuple(name for name, contact in self._by_domain.items() if contact.cut_off)

    def last_reply(self, domain: str) -> float:
        """Time of the last reply from the failure domain."""
        contact = self._by_domain.get(domain)
        return -math.inf if contact is None else contact.last_reply

    def note_reply(self, now: float, domain: str) -> bool:
        """Take a reply; returns True if the failure domain was cut off until now."""
        contact = self._by_domain.setdefault(domain, Contact())
        was_cut_off = contact.cut_off
        self._by_domain[domain] = Contact(last_reply=now)
        if was_cut_off:
            self.version += 1
        return was_cut_off

    def note_failure(self, now: float, domain: str, *, sent_at: float, bound_s: float) -> bool:
        """Take a probe without a reply; returns True if the failure domain is cut off by it.

        :param bound_s: seconds without a reply after which the failure domain is cut off.
        """
        contact = self._by_domain.setdefault(domain, Contact())
        if sent_at < contact.last_reply or contact.cut_off:
            return False
        if contact.failing_since is None:
            contact.failing_since = sent_at
            contact.retry_at = now
        contact.failed_probes += 1
        failing_s = now - contact.failing_since
        if failing_s < bound_s or contact.failed_probes < MIN_FAILED_PROBES:
            return False
        contact.cut_off = True
        contact.retry_at = math.inf
        self.version += 1
        return True

    def take_retries(self, now: float) -> list[str]:
        """Failure domains for which a round of probes is due now."""
        due = [name for name, contact in self._by_domain.items() if contact.retry_at <= now]
        for name in due:
            self._by_domain[name].retry_at = now + RETRY_INTERVAL_S
        return due

    def next_retry(self) -> float:
        """Time of the next round of probes."""
        return min((c.retry_at for c in self._by_domain.values()), default=math.inf)

    def forget_failures(self) -> None:
        """Drop failures that a pause of this host may have caused."""
        for contact in self._by_domain.values():
            if not contact.cut_off:
                contact.failing_since = None
                contact.failed_probes = 0
                contact.retry_at = math.inf

    def keep_only(self, domains: Iterable[str]) -> None:
        """Forget failure domains without hosts."""
        for name in set(self._by_domain) - set(domains):
            if self._by_domain.pop(name).cut_off:
                self.version += 1
