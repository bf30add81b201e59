"""Failure domains whose hosts are replaced for good, on virtual time, with the entries of the hosts
in a store whose leases end."""

from __future__ import annotations

import itertools

from dispatch_world import SimCaller, SimHost, World
from eelgrassyard.dispatch._host import DispatchHost
from eelgrassyard.dispatch._jobs import Outcome
from eelgrassyard.dispatch._messages import HostRecord

STORE = "store"
ENTRY_LEASE_S = 8.0
STORE_READ_INTERVAL_S = 0.5
JOB_INTERVAL_S = 0.08
KINDS = ((8, 0.06, 0.06), (2, 0.2, 0.2), (4, 0.9, 0.9), (4, 3.5, 0.9))
"""Tasks, run time and declared run time; the last kind takes far longer than declared."""
KIND_WEIGHTS = (17.2, 50.0, 3.1, 8.0)
LONGEST_SHORT_WORK_S = 0.2


class ReplacingWorld(World):
    """Domains whose hosts register in a store; jobs arrive at the first one at a steady rate.

    :param new_names: where the names of new hosts sort among the others: ``first`` or ``last``.
    """

    def __init__(
        self, *, seed: int, domains: int = 1, hosts: int = 3, new_names: str = "last"
    ) -> None:
        self.store_up = True
        self.entry_ends_at: dict[str, float] = {}
        self._read_by_life: dict[tuple[str, int], list[str]] = {}
        self._new_names = new_names
        self._numbers = itertools.count(1)
        self.sent: list[tuple[float, SimCaller, float]] = []
        super().__init__(seed=seed, domains=domains, hosts=hosts, workers=8, cpu=64_000)
        self._use_store()

    # --- store ---

    def listed_hosts(self) -> list[HostRecord]:
        return [
            self.host_by_name[name].record
            for name, ends_at in self.entry_ends_at.items()
            if ends_at > self.now
        ]

    def boot(self, name: str) -> None:
        if self._reaches_store(name):
            self.entry_ends_at[name] = self.now + ENTRY_LEASE_S
        super().boot(name)
        self._read_store()

    def _reaches_store(self, name: str) -> bool:
        return self.store_up and self.reachable(name, STORE)

    def _use_store(self) -> None:
        self.at(STORE_READ_INTERVAL_S, self._use_store)
        for name in self._connected():
            self.entry_ends_at[name] = self.now + ENTRY_LEASE_S
        self._read_store()

    def _connected(self) -> list[str]:
        return [
            name
            for name, host in self.host_by_name.items()
            if host.core is not None and self.now >= host.frozen_until and self._reaches_store(name)
        ]

    def _read_store(self) -> None:
        """Deliver the entries to all hosts that reach the store, as their watches do."""
        listed = self.listed_hosts()
        names = sorted(host.name for host in listed)
        for name in self._connected():
            host = self.host_by_name[name]
            assert host.core is not None
            if self._read_by_life.get((name, host.life)) == names:
                host.core.confirm_hosts(self.now, read_at=self.now)
            else:
                host.core.set_hosts(self.now, listed, read_at=self.now)
            self._read_by_life[name, host.life] = names

    # --- machines ---

    def alive(self, domain: str = "d0") -> list[str]:
        """Names of the hosts of a domain whose processes run."""
        return [
            name
            for name, host in self.host_by_name.items()
            if host.core is not None and host.record.domain == domain
        ]

    def core(self, name: str) -> DispatchHost:
        """The core of a host whose process runs."""
        core = self.host_by_name[name].core
        assert core is not None
        return core

    def remove(self, name: str) -> None:
        """Remove a machine for good: its process ends, and its address answers nothing."""
        self.kill(name, silent=True)
        self.removed.add(name)

    def add(self, domain: str = "d0") -> str:
        """Add a machine with a new name and address."""
        number = next(self._numbers)
        name = f"a{999 - number}" if self._new_names == "first" else f"z{number:03}"
        name = f"{domain}-{name}"
        record = HostRecord(name=name, address=name, domain=domain, incarnation=1)
        self.host_by_name[name] = SimHost(record=record)
        self.boot(name)
        return name

    def replace(self, names: list[str], *, back_after_s: float = 1.0, gap_s: float = 0.6) -> None:
        """Remove some machines at once, and add as many later."""
        for name in names:
            self.remove(name)
        self.run(back_after_s)
        for name in names:
            self.add(self.host_by_name[name].record.domain)
        self.run(gap_s)

    # --- jobs ---

    def send_jobs(self) -> None:
        """Send jobs of all kinds to hosts chosen at random, until the end."""
        tasks, work_s, declared_s = self.random.choices(KINDS, KIND_WEIGHTS)[0]
        name = self.random.choice(sorted(self.alive()))
        caller = self.submit(name, tasks=tasks, work_s=work_s, cpu=4000, estimate_s=declared_s)
        self.sent.append((self.now, caller, work_s))
        self.at(JOB_INTERVAL_S, self.send_jobs)

    def share_served(self, since: float, until: float) -> float:
        """Share of the short jobs sent in a span of time that were completed."""
        answers = [
            caller.answers
            for at, caller, work_s in self.sent
            if since <= at < until and work_s <= LONGEST_SHORT_WORK_S
        ]
        return sum(answer == [Outcome.COMPLETE] for answer in answers) / max(1, len(answers))

    def lead_changes(self, since: float) -> int:
        """Number of times that a host has taken the lead since a time."""
        return sum(event == "leads" and at >= since for at, _, event, _ in self.notes)
