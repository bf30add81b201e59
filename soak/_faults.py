"""Injection of random faults of processes, connections, the store, workers and callers."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from ._clients import CALLERS_BURST
from ._hosts import HostProcess
from ._ledger import DRAIN_S
from ._proxy import Connection
from ._site import CALLERS, STORE, Site
from ._store import StoreFault
from ._worker import StandinWorker, WorkerFault

LONGEST_S = 5.0
"""Default of the longest duration of a fault."""

SHORTEST_S = 0.3
"""Shortest duration of a fault."""

LEADER_WAIT_S = 1.5
"""Longest time to wait for a domain to have a leader."""

LEADER_POLL_S = 0.01

MAX_FAULTY_SHARE = 0.5
"""Limit on the share of workers with a fault at the same time; with more, too few could serve."""


class Faults:
    """Injects faults into a site; each fault is undone after its duration.

    :ivar log: injected faults with their times, in seconds from the start of the faults.
    """

    def __init__(self, *, site: Site, seed: int) -> None:
        self.log: list[str] = []
        self._site = site
        self._random_seed = seed
        self._random = random.Random(seed)
        self._began = time.monotonic()
        self._reserved_hosts: set[str] = set()
        self._removed = contextlib.ExitStack()
        self._removed_hosts: list[str] = []

    @property
    def unplanned(self) -> list[Callable[[], Awaitable[None]]]:
        """Unplanned faults; those listed twice are twice as frequent."""
        return [
            self.kill_host,
            self.kill_host,
            self.lose_power,
            self.freeze_host,
            self.freeze_host,
            self.freeze_leader,
            self.kill_many,
            self.cut_host,
            self.cut_host_from_store,
            self.cut_domain,
            self.cut_host_from_workers,
            self.delay_hosts,
            self.reset_connections,
            self.silence_connections,
            self.break_store,
            self.break_store_for_one,
            self.forget_history,
            self.lapse_entries,
            self.crash_worker,
            self.inject_worker_fault,
            self.inject_worker_fault,
            self.burst,
            self.callers_leave,
        ]

    @property
    def planned(self) -> list[Callable[[], Awaitable[None]]]:
        """Planned operations of site and platform; those listed twice are twice as frequent."""
        return [
            self.stop_host,
            self.stop_host,
            self.reload_host,
            self.change_routes,
            self.change_routes,
            self.drain_worker,
        ]

    async def run(
        self,
        seconds: float,
        *,
        gap_s: float,
        planned_only: bool,
        replacements: int = 0,
        restarts: int = 0,
        lead_changes: int = 0,
    ) -> None:
        """Inject overlapping and repeated faults for a time; return when all are undone.

        :param replacements: how often hosts are removed for good meanwhile, which is not undone.
        :param restarts: how often a worker starts again under its id and is then cut off.
        :param lead_changes: how often a leader is lost and workers of its domain are then cut off.
        """
        self._began = time.monotonic()
        kinds = self.planned if planned_only else [*self.unplanned, *self.planned]
        async with asyncio.TaskGroup() as group:
            if replacements:
                group.create_task(self._inject(functools.partial(self.replace_hosts, replacements)))
            if restarts:
                group.create_task(self._inject(functools.partial(self.restart_workers, restarts)))
            if lead_changes:
                group.create_task(self._inject(functools.partial(self.change_leads, lead_changes)))
            while time.monotonic() - self._began < seconds:
                kind = self._random.choice(kinds)
                for _ in range(self._random.choice((1, 1, 1, 2, 3))):
                    group.create_task(self._inject(kind))
                    await asyncio.sleep(self._random.expovariate(1.0 / gap_s))

    async def _inject(self, kind: Callable[[], Awaitable[None]]) -> None:
        fault_tracker = self._site.ledger.fault_tracker
        is_planned = kind in self.planned
        if not is_planned:
            fault_tracker.began()
        try:
            await kind()
        finally:
            if not is_planned:
                fault_tracker.ended()

    def _log_fault(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self._began:.2f} {time.time():.3f} {text}")

    def _duration(self, longest: float = LONGEST_S) -> float:
        return self._random.uniform(SHORTEST_S, longest)

    @contextlib.contextmanager
    def _reserve_host(self) -> Iterator[HostProcess | None]:
        """Reserve a running host that no other fault of a process uses; None if there is none."""
        free = [
            host
            for host in self._site.hosts
            if host.name not in self._reserved_hosts and host.is_up
        ]
        host = self._random.choice(free) if free else None
        if host is None:
            yield None
            return
        self._reserved_hosts.add(host.name)
        try:
            yield host
        finally:
            self._reserved_hosts.discard(host.name)

    # --- processes ---

    async def kill_host(self) -> None:
        """Kill a host, and start a new process later."""
        with self._reserve_host() as host:
            if host is not None:
                await self._kill(host, self._duration(2.5))

    async def _kill(self, host: HostProcess, down_s: float) -> None:
        self._log_fault(f"kill {host.name} for {down_s:.2f} s")
        await host.kill()
        await asyncio.sleep(down_s)
        await host.start()

    async def lose_power(self) -> None:
        """Cut the power of a host: its connections go silent, and a new process starts later."""
        with self._reserve_host() as host:
            if host is None:
                return
            dark_s = self._duration()
            self._log_fault(f"power {host.name} for {dark_s:.2f} s")
            with self._site.network.cut(self._around(host.name)):
                await host.kill()
                await asyncio.sleep(dark_s)
                for connection in self._site.network.open_connections({host.name}):
                    connection.reset()
            await host.start()

    async def kill_many(self) -> None:
        """Kill all processes of a domain or of the site at the same time."""
        domains = self._site.domains
        affected = set(self._random.choice((domains, self._random.sample(domains, 1))))
        hosts = [
            host
            for host in self._site.hosts
            if host.domain in affected and host.name not in self._reserved_hosts and host.is_up
        ]
        self._reserved_hosts.update(host.name for host in hosts)
        try:
            await asyncio.gather(*(self._kill(host, self._duration(2.0)) for host in hosts))
        finally:
            self._reserved_hosts.difference_update(host.name for host in hosts)

    async def freeze_host(self) -> None:
        """Suspend a host with SIGSTOP, and resume it with SIGCONT."""
        with self._reserve_host() as host:
            if host is not None:
                await self._freeze(host, self._duration(4.0))

    async def _freeze(self, host: HostProcess, still_s: float) -> None:
        self._log_fault(f"freeze {host.name} for {still_s:.2f} s")
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(still_s)
        host.signal(signal.SIGCONT)

    async def freeze_leader(self) -> None:
        """Suspend the host of a domain that is likely to lead it."""
        domain = self._random.choice(self._site.domains)
        members = [
            host
            for host in self._site.hosts
            if host.domain == domain and host.is_up and host.name not in self._reserved_hosts
        ]
        if members:
            host = min(members, key=lambda host: (-host.weight, host.name))
            self._reserved_hosts.add(host.name)
            try:
                await self._freeze(host, self._duration(4.0))
            finally:
                self._reserved_hosts.discard(host.name)

    async def replace_hosts(self, times: int) -> None:
        """Remove hosts for good, one or two at a time and half of the time the likely leader, and
        start others with new names and addresses in their place."""
        # A generator of its own leaves the other faults of a seed as they are.
        rng = random.Random(self._random_seed + 1)
        for _ in range(times):
            await self._replace(rng, count=rng.choice((1, 1, 2)), leader=rng.random() < 0.5)
            await asyncio.sleep(rng.uniform(0.2, 1.0))

    async def _replace(self, rng: random.Random, *, count: int, leader: bool) -> None:
        domain = rng.choice(self._site.domains)
        members = [
            host
            for host in self._site.hosts
            if host.domain == domain and host.is_up and host.name not in self._reserved_hosts
        ]
        rng.shuffle(members)
        if leader:
            members.sort(key=lambda host: (-host.weight, host.name))
        gone = members[:count]
        self._log_fault(f"remove {[host.name for host in gone]} for good")
        for host in gone:
            self._reserved_hosts.add(host.name)
            self._removed_hosts.append(host.name)
            self._removed.enter_context(self._site.network.cut(self._around(host.name)))
        await asyncio.gather(*(host.kill() for host in gone))
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        for host in gone:
            new = await self._site.replace_host(host)
            self._removed.enter_context(self._site.network.cut(self._around_removed(new.name)))
            self._log_fault(f"{new.name} comes in place of {host.name}")

    def close_removed(self) -> None:
        """Close the connections to the hosts that were removed for good, at the end of a run."""
        for connection in self._site.network.open_connections(set(self._removed_hosts)):
            connection.reset()
        self._removed.close()

    def _around_removed(self, name: str) -> list[tuple[str, str]]:
        pairs = [(name, gone) for gone in self._removed_hosts]
        return pairs + [(gone, name) for name, gone in pairs]

    async def stop_host(self) -> None:
        """Stop a host with SIGTERM, or SIGKILL after the grace period, and start a new process."""
        with self._reserve_host() as host:
            if host is not None:
                await self._stop(host)

    async def _stop(self, host: HostProcess, down_s: float | None = None) -> None:
        self._log_fault(f"SIGTERM {host.name}")
        ledger = self._site.ledger
        ledger.term_at[host.name] = time.monotonic()
        problem = await host.stop()
        if problem:
            ledger.record_violation("STOP", problem)
        # Connections lost after this belong to the next process (soak seed 49).
        del ledger.term_at[host.name]
        await asyncio.sleep(self._duration(1.5) if down_s is None else down_s)
        await host.start()

    async def change_leads(self, times: int) -> None:
        """Kill, stop or suspend the leaders of domains, and cut one or two workers of the domain
        off while the lead changes or right after, some of them overlapping."""
        # A generator of its own leaves the other faults of a seed as they are.
        rng = random.Random(self._random_seed + 3)
        async with asyncio.TaskGroup() as group:
            for _ in range(times):
                group.create_task(self._change_lead(random.Random(rng.getrandbits(32))))
                await asyncio.sleep(rng.uniform(0.8, 2.0))

    async def _change_lead(self, rng: random.Random) -> None:
        domain = rng.choice(self._site.domains)
        lose = rng.choice((self._kill, self._kill, self._stop, self._freeze))
        lost_s, cut_after_s = rng.uniform(0.3, 2.0), rng.uniform(0.0, 0.2)
        await_successor = rng.random() < 0.7
        leader = await self._await_leader(domain)
        if leader is None:
            self._log_fault(f"no leader of {domain} to lose")
            return
        callers = self._site.callers
        self._reserved_hosts.add(leader.name)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(lose(leader, lost_s))
                # The successor starts tasks of new jobs beside the runs that it finds.
                callers.rate *= CALLERS_BURST
                if await_successor:
                    await self._await_leader(domain)
                await asyncio.sleep(cut_after_s)
                callers.rate /= CALLERS_BURST
                await self._cut_busy_workers(rng, domain)
        finally:
            self._reserved_hosts.discard(leader.name)

    async def _await_leader(self, domain: str) -> HostProcess | None:
        """Wait for a leader of a domain that no other fault of a process uses; None if there is
        none in time."""

        def is_free(host: HostProcess) -> bool:
            return host.is_up and host.name not in self._reserved_hosts

        ends = time.monotonic() + LEADER_WAIT_S
        while time.monotonic() < ends:
            for host in list(self._site.hosts):
                # Another fault may reserve the host while it answers.
                if host.domain == domain and is_free(host) and await host.leads() and is_free(host):
                    return host
            await asyncio.sleep(LEADER_POLL_S)
        return None

    async def _cut_busy_workers(self, rng: random.Random, domain: str) -> None:
        """Cut workers off that have started a run last beside others."""
        members = [worker for worker in self._site.workers if worker.domain == domain]
        rng.shuffle(members)
        members.sort(key=StandinWorker.latest_start, reverse=True)
        workers, cut_s = members[: rng.choice((1, 2))], rng.uniform(0.5, 2.5)
        self._log_fault(f"cut {[worker.id for worker in workers]} for {cut_s:.2f} s")
        ends = [(host.name, worker.name) for host in self._site.hosts for worker in workers]
        with self._site.network.cut([*ends, *((b, a) for a, b in ends)]):
            await asyncio.sleep(cut_s)

    async def reload_host(self) -> None:
        """Change the settings file of a host, with or without a SIGHUP."""
        with self._reserve_host() as host:
            if host is None:
                return
            host.weight = self._random.choice((0.4, 0.6, 1.0))
            host.write_settings()
            quietly = self._random.random() < 0.5
            self._log_fault(f"settings of {host.name} {'without' if quietly else 'with'} SIGHUP")
            if not quietly:
                host.signal(signal.SIGHUP)

    # --- connections ---

    def _around(self, name: str) -> list[tuple[str, str]]:
        others = [host.name for host in self._site.hosts if host.name != name]
        others += [worker.name for worker in self._site.workers]
        others += [STORE, CALLERS]
        return [(name, other) for other in others] + [(other, name) for other in others]

    def _directions(self, ends: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Choose both directions of the pairs, or only one."""
        back = [(target, source) for source, target in ends]
        return self._random.choice((ends + back, ends + back, ends, back))

    async def _cut(self, text: str, ends: list[tuple[str, str]]) -> None:
        cut_s = self._duration()
        chosen = self._directions(ends)
        self._log_fault(f"cut {text} for {cut_s:.2f} s, {len(chosen)} paths of {len(ends)} pairs")
        with self._site.network.cut(chosen):
            await asyncio.sleep(cut_s)

    async def cut_host(self) -> None:
        """Partition a host from the other hosts, sometimes from all parties except its callers."""
        host = self._random.choice(self._site.hosts)
        ends = [(host.name, other.name) for other in self._site.hosts if other is not host]
        if self._random.random() < 0.4:
            ends += [(host.name, worker.name) for worker in self._site.workers]
            ends.append((host.name, STORE))
        await self._cut(host.name, ends)

    async def cut_host_from_store(self) -> None:
        """Partition a host from the store."""
        host = self._random.choice(self._site.hosts)
        await self._cut(f"{host.name} from the store", [(host.name, STORE)])

    async def cut_domain(self) -> None:
        """Partition a domain from the others, sometimes from the store as well."""
        domain = self._random.choice(self._site.domains)
        inside = [host.name for host in self._site.hosts if host.domain == domain]
        outside = [host.name for host in self._site.hosts if host.domain != domain]
        remote_workers = [worker.name for worker in self._site.workers if worker.domain != domain]
        ends = [(name, other) for name in inside for other in [*outside, *remote_workers]]
        if self._random.random() < 0.6:
            ends += [(name, STORE) for name in inside]
        await self._cut(domain, ends)

    async def cut_host_from_workers(self) -> None:
        """Partition some hosts from some workers."""
        hosts = self._random.sample(self._site.hosts, self._random.randint(1, 3))
        workers = self._sample_workers()
        ends = [(host.name, worker.name) for host in hosts for worker in workers]
        await self._cut(f"{len(hosts)} hosts from {len(workers)} workers", ends)

    async def delay_hosts(self) -> None:
        """Delay all traffic of a host."""
        host = self._random.choice(self._site.hosts)
        delay_s, for_s = self._random.uniform(0.005, 0.3), self._duration()
        self._log_fault(f"delay {host.name} by {delay_s:.3f} s for {for_s:.2f} s")
        with self._site.network.delayed(self._around(host.name), delay_s):
            await asyncio.sleep(for_s)

    async def reset_connections(self) -> None:
        """Reset connections of some hosts."""
        self._affect_connections("reset", Connection.reset)

    async def silence_connections(self) -> None:
        """Silence open connections of some hosts; new connections work."""
        self._affect_connections("silence", Connection.silence)

    def _affect_connections(self, what: str, apply_fault: Callable[[Connection], None]) -> None:
        names = {host.name for host in self._random.sample(self._site.hosts, 2)}
        share = self._random.choice((0.3, 1.0))
        affected = 0
        for connection in self._site.network.open_connections(names):
            if self._random.random() < share and connection.source != CALLERS:
                apply_fault(connection)
                affected += 1
        self._log_fault(f"{what} {affected} connections of {sorted(names)}")

    # --- the store ---

    async def break_store(self) -> None:
        """Let the store refuse, delay or lose the calls of all hosts."""
        await self._break_store("")

    async def break_store_for_one(self) -> None:
        """Let the store refuse, delay or lose the calls of one host."""
        await self._break_store(self._random.choice(self._site.hosts).name)

    async def _break_store(self, client: str) -> None:
        faults = self._site.store.fault_by_client
        if client in faults:
            return
        fault, for_s = self._random.choice(list(StoreFault)), self._duration(8.0)
        self._log_fault(f"store {fault.name} for {client or 'all'} for {for_s:.2f} s")
        faults[client] = fault
        if self._random.random() < 0.3:
            self._site.store.end_leases()
        await asyncio.sleep(for_s)
        faults.pop(client, None)

    async def forget_history(self) -> None:
        """Let the store drop its history and end all watches."""
        self._log_fault("history forgotten")
        self._site.store.forget_history()

    async def lapse_entries(self) -> None:
        """Let worker entries expire, as if workers could not reach the store; they serve on."""
        if self._site.registry_lapses:
            return
        for_s = self._random.uniform(4.0, 8.0)
        self._log_fault(f"entries of workers lapse for {for_s:.2f} s")
        self._site.registry_lapses = True
        await asyncio.sleep(for_s)
        self._site.registry_lapses = False
        for worker in self._site.workers:
            if worker.up:
                self._site.register(worker)

    # --- workers ---

    def _sample_workers(self) -> list[StandinWorker]:
        workers = self._site.workers
        most = max(1, int(len(workers) * MAX_FAULTY_SHARE / 2))
        return self._random.sample(workers, self._random.randint(1, most))

    async def crash_worker(self) -> None:
        """Crash a worker, which loses its state, and restart it under the same or a new id."""
        up = [worker for worker in self._site.workers if worker.up]
        worker = self._random.choice(up)
        new_id = self._random.random() < 0.5
        down_s = self._duration(2.0)
        self._log_fault(f"crash {worker.id} for {down_s:.2f} s, new id {new_id}")
        worker.crash()
        await asyncio.sleep(down_s)
        if new_id:
            self._site.remove(worker)
        worker.begin(new_id=new_id)
        self._site.register(worker)

    async def restart_workers(self, times: int) -> None:
        """Restart workers under their ids, once or twice in a row, and cut each off within a second
        of that, all overlapping."""
        # A generator of its own leaves the other faults of a seed as they are.
        rng = random.Random(self._random_seed + 2)
        async with asyncio.TaskGroup() as group:
            for _ in range(times):
                group.create_task(self._restart_and_cut(rng))
                await asyncio.sleep(rng.uniform(0.1, 1.0))

    async def _restart_and_cut(self, rng: random.Random) -> None:
        free = [w for w in self._site.workers if w.up and not w.draining]
        if not free:
            return
        worker = rng.choice(free)
        lives, down_s, cut_after_s = rng.choice((1, 1, 2)), rng.uniform(0.02, 0.5), rng.random()
        self._log_fault(f"restart {worker.id} {lives} times, cut {cut_after_s:.2f} s later")
        for _ in range(lives):
            worker.crash()
            await asyncio.sleep(down_s)
            worker.begin(new_id=False)
            self._site.register(worker)
        await asyncio.sleep(cut_after_s)
        ends = [(host.name, worker.name) for host in self._site.hosts]
        with self._site.network.cut([*ends, *((b, a) for a, b in ends)]):
            await asyncio.sleep(rng.uniform(1.0, 3.0))

    async def inject_worker_fault(self) -> None:
        """Inject a random worker fault into some workers."""
        fault = self._random.choice(list(WorkerFault))
        share = self._random.choice((0.1, 0.5, 1.0))
        workers = [worker for worker in self._sample_workers() if worker.fault is None]
        for_s = self._duration()
        names = [worker.name for worker in workers]
        self._log_fault(f"{names} {fault.name} with {share} for {for_s:.2f} s")
        for worker in workers:
            worker.fault, worker.fault_share = fault, share
        await asyncio.sleep(for_s)
        for worker in workers:
            worker.fault = None

    async def drain_worker(self) -> None:
        """Drain a worker, which still serves during its notice, then exits and gets a new id."""
        ledger = self._site.ledger
        free = [w for w in self._site.workers if w.up and not w.draining]
        worker = self._random.choice(free)
        self._log_fault(f"drain {worker.id}")
        worker.draining = True
        self._site.register(worker)
        ledger.draining_since[worker.name] = time.monotonic()
        await asyncio.sleep(DRAIN_S + self._duration(2.0))
        if not worker.up:
            return
        ledger.draining_since.pop(worker.name, None)
        worker.crash()
        self._site.remove(worker)
        await asyncio.sleep(self._duration(2.0))
        worker.begin(new_id=True)
        self._site.register(worker)

    # --- callers and operators ---

    async def burst(self) -> None:
        """Raise the rate of jobs for some time."""
        for_s = self._duration()
        self._log_fault(f"burst for {for_s:.2f} s")
        self._site.callers.rate *= CALLERS_BURST
        await asyncio.sleep(for_s)
        self._site.callers.rate /= CALLERS_BURST

    async def callers_leave(self) -> None:
        """Let some callers disconnect before their response for some time."""
        for_s = self._duration()
        self._log_fault(f"callers leave for {for_s:.2f} s")
        self._site.callers.leave_share = 0.3
        await asyncio.sleep(for_s)
        self._site.callers.leave_share = 0.0

    async def change_routes(self) -> None:
        """Let the operator add a route, and remove an earlier one."""
        self._log_fault("configuration changes")
        self._site.change_routes(time.monotonic())
