"""Simulated site with a configuration store and a host list that may be wrong.

The store is simulated at the interface of the core: revisions, watches, response time and outages.
A configuration document is its revision in decimal and a constant body; any other text is invalid.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from bench.virtual import EPOCH, VirtualHost, VirtualSite
from eelgrassyard.policy import (
    Action,
    ConfigLoaded,
    Core,
    HostEntry,
    HostListRead,
    ListedHost,
    LoadConfig,
    PeerFailed,
    ReadinessChanged,
    SiteConfig,
    StartResult,
    WatchStore,
)

STORE_RETRY_S = 1.0
"""Interval at which a host retries to reach the store during an outage."""


def make_config(hosts: int, domains: int) -> SiteConfig:
    """Configuration with hosts distributed evenly over failure domains and no upstreams."""
    entries = [
        HostEntry(
            name=f"d{number % domains}-{number // domains}",
            address=f"10.0.{number % domains}.{number // domains + 1}",
            port=7000,
            failure_domain=f"d{number % domains}",
        )
        for number in range(hosts)
    ]
    return SiteConfig(
        site="spread",
        failure_domains=tuple(f"d{number}" for number in range(domains)),
        hosts_by_name={entry.name: entry for entry in entries},
    )


class StoreSite(VirtualSite):
    """Simulates hosts that read their configuration from a store, by default without work.

    :param hosts_named: whether the configuration lists the hosts; the host list always does.
    :param document_bytes: size of a configuration document.
    """

    def __init__(
        self,
        *,
        config: SiteConfig,
        seed: int,
        hosts_named: bool = True,
        document_bytes: int = 100,
        latency: Callable[[str, str], float] = lambda a, b: 0.00025 if a == b else 0.0015,
        loss: float = 0.0,
        duplicates: float = 0.0,
        jitter_s: float = 0.0,
    ) -> None:
        super().__init__(
            config=config,
            seed=seed,
            run_time=lambda start, upstream: (0.1, StartResult.OK),
            latency=latency,
            loss=loss,
            duplicates=duplicates,
            jitter_s=jitter_s,
        )
        self._body = _entries(document_bytes)
        self.loaded_config = config if hosts_named else replace(config, hosts_by_name={})
        self.stored_revision = 1
        self.store_up = True
        self.store_latency_s = 0.003
        self.store_reads = 0
        self.listed: Callable[[], Iterable[ListedHost]] | None = None
        self.ready_by_host: dict[str, bool] = {}
        self.on_ready: Callable[[str], None] | None = None
        self._watching: dict[str, int] = {}

    # Hosts

    def start(self, name: str, *, with_config: bool = False) -> Core:
        """Start a host; without ``with_config`` it has to read the configuration from the store."""
        self.ready_by_host[name] = False
        self._watching.pop(name, None)
        return super().start(name, with_config=with_config)

    def start_all(self, *, with_config: bool = False) -> None:
        """Start every host."""
        super().start_all(with_config=with_config)

    def kill(self, name: str) -> None:
        """Crash a host."""
        self._watching.pop(name, None)
        self.ready_by_host[name] = False
        super().kill(name)

    def add_host(self, entry: HostEntry) -> None:
        """Add a host that is not in the configuration."""
        self.host_by_name[entry.name] = VirtualHost(entry=entry)

    def running(self) -> dict[str, Core]:
        """Cores of the running hosts, by name."""
        return {n: h.core for n, h in self.host_by_name.items() if h.core is not None}

    def host_list(self) -> HostListRead:
        """The host list of the platform, or the one that ``listed`` returns if it is set."""
        if self.listed is None:
            return super().host_list()
        return HostListRead(hosts=tuple(self.listed()), upstreams=())

    def run_for(self, seconds: float) -> None:
        """Advance virtual time by a number of seconds."""
        self.run_until(self.now + seconds)

    def fail_connection(self, name: str, peer: str) -> None:
        """Deliver to a host the event that its connection to a peer failed."""
        self.deliver(name, PeerFailed(peer=peer))

    # Store

    def write_config(self) -> int:
        """Write a new revision to the store and notify watchers; returns the revision."""
        self.stored_revision += 1
        for name in list(self._watching):
            self._answer_watch(name)
        return self.stored_revision

    def document(self, revision: int) -> bytes:
        """The document of a revision."""
        return b"%d\n" % revision + self._body

    def config_event(self) -> ConfigLoaded:
        """Event that delivers the configuration currently in the store."""
        return self._loaded(self.stored_revision, self.document(self.stored_revision))

    def _loaded(self, revision: int, document: bytes) -> ConfigLoaded:
        return ConfigLoaded(revision=revision, document=document, config=self.loaded_config)

    def _answer_watch(self, name: str) -> None:
        generation = self._watching.get(name)
        host = self.host_by_name[name]
        if generation is None or generation != host.generation:
            return
        if not self.store_up:
            self.after(STORE_RETRY_S, lambda: self._answer_watch(name))
            return
        self.store_reads += 1
        event = self.config_event()

        def arrive() -> None:
            if host.generation == generation:
                self.deliver(name, event)

        self.after(self.store_latency_s, arrive)

    # Actions

    def _carry_out(self, host: VirtualHost, action: Action) -> None:
        name = host.entry.name
        match action:
            case WatchStore(on=True):
                self._watching[name] = host.generation
                self._answer_watch(name)
            case WatchStore(on=False):
                self._watching.pop(name, None)
            case LoadConfig(revision=revision, document=document):
                if document == self.document(revision):
                    event = self._loaded(revision, document)
                    self.after(0.001, lambda: self.deliver(name, event))
            case ReadinessChanged(ready=ready):
                self.ready_by_host[name] = ready
                if ready and self.on_ready is not None:
                    self.on_ready(name)
            case _:
                super()._carry_out(host, action)


def _entries(size: int) -> bytes:
    """Text that resembles the upstream entries of a configuration, also in how it compresses."""
    rng = random.Random(size)
    lines: list[str] = []
    length = 0
    while length < size:
        number = len(lines)
        lines.append(
            f'{{"name": "worker-{number:04}", "role": "worker", "url": "http://10.{number % 11}.'
            f'{number // 250}.{number % 250}:8000", "failure_domain": "d{number % 11}", "rack": '
            f'"d{number % 11}-r{rng.randrange(16)}", "cores": {rng.choice((16, 32, 64))}, '
            f'"memory_mb": {rng.choice((65536, 131072))}, "accelerators": {rng.randrange(4)}}}'
        )
        length += len(lines[-1]) + 1
    return "\n".join(lines)[:size].encode()


__all__ = ["EPOCH", "StoreSite", "make_config"]
