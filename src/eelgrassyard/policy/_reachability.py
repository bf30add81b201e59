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
class DomainContact:
    """Contact with one failure domain.

    :param failed_probes: probes without a reply since the last reply.
    :param cut_at: time at which the failure domain counts as cut off without a reply until then.
    :param hinted: other hosts were told that the probes fail.
    """

    last_reply: float = -math.inf
    failed_probes: int = 0
    cut_at: float = math.inf
    retry_at: float = math.inf
    cut_off: bool = False
    hinted: bool = False


class DomainReachability:
    """Contact with the other failure domains, by name.

    Only a reply to an own probe is contact: a message that merely arrives does not show that this
    host's messages arrive there.
    """

    def __init__(self) -> None:
        self._by_domain: dict[str, DomainContact] = {}
        self.version = 0

    def is_unreachable(self, domain: str) -> bool:
        """Tell whether the failure domain is cut off."""
        contact = self._by_domain.get(domain)
        return contact is not None and contact.cut_off

    def take_hint(self, domain: str, *, failures: int) -> bool:
        """Tell, once for each loss of contact, whether that many probes have failed."""
        contact = self._by_domain.get(domain)
        if contact is None or contact.hinted or contact.failed_probes < failures:
            return False
        contact.hinted = True
        return True

    def unreachable(self) -> tuple[str, ...]:
        """Names of the failure domains that are cut off."""
        return tuple(name for name, contact in self._by_domain.items() if contact.cut_off)

    def note_reply(self, now: float, domain: str) -> bool:
        """Take a reply; returns True if the failure domain was cut off until now."""
        contact = self._by_domain.setdefault(domain, DomainContact())
        was_cut_off = contact.cut_off
        self._by_domain[domain] = DomainContact(last_reply=now)
        if was_cut_off:
            self.version += 1
        return was_cut_off

    def note_failure(self, now: float, domain: str, *, sent_at: float, bound_s: float) -> None:
        """Take a probe without a reply.

        :param bound_s: seconds without a reply after which the failure domain is cut off.
        """
        contact = self._by_domain.setdefault(domain, DomainContact())
        if sent_at < contact.last_reply or contact.cut_off:
            return
        if not contact.failed_probes:
            contact.cut_at = sent_at + bound_s
            contact.retry_at = now
        contact.failed_probes += 1

    def take_cut_off(self, now: float) -> list[str]:
        """Failure domains that count as cut off from now on."""
        due = [
            name
            for name, contact in self._by_domain.items()
            if contact.cut_at <= now and contact.failed_probes >= MIN_FAILED_PROBES
        ]
        for name in due:
            contact = self._by_domain[name]
            contact.cut_off = True
            contact.cut_at = contact.retry_at = math.inf
            self.version += 1
        return due

    def take_retries(self, now: float) -> list[str]:
        """Failure domains for which a round of probes is due now."""
        due = [name for name, contact in self._by_domain.items() if contact.retry_at <= now]
        for name in due:
            self._by_domain[name].retry_at = now + RETRY_INTERVAL_S
        return due

    def next_timer(self, now: float) -> float:
        """Time of the next round of probes or of the next possible cut."""
        times = [contact.retry_at for contact in self._by_domain.values()]
        times += [c.cut_at for c in self._by_domain.values() if c.cut_at > now]
        return min(times, default=math.inf)

    def forget_failures(self) -> None:
        """Drop failures that a pause of this host may have caused."""
        for contact in self._by_domain.values():
            if not contact.cut_off:
                contact.failed_probes = 0
                contact.hinted = False
                contact.cut_at = contact.retry_at = math.inf

    def keep_only(self, domains: Iterable[str]) -> None:
        """Forget failure domains without hosts."""
        for name in set(self._by_domain) - set(domains):
            if self._by_domain.pop(name).cut_off:
                self.version += 1
