"""Time until all hosts know of deaths, restarts and revisions, and the cost of this per host.

Complete cores run on virtual time without work. Bytes are those of the real frames, processor time
is that of the core and the codec. ``--json`` prints the JSON line only.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from bench.store_site import StoreSite, make_config
from eelgrassyard.daemon._codec import decode_envelope, encode_messages
from eelgrassyard.policy import Action, Core, Event, HostIdentity, Send

SEED = 20_231
HOSTS = (4, 8, 16, 32, 64, 128)
DOMAINS = (3, 11)
DOCUMENT_BYTES = 200_000
"""Size of a compact configuration document with 1,400 workers and 2,400 accelerators."""

SETTLE_S = 20.0
WINDOW_S = 8.0
REVISION_WINDOW_S = 4.0
DEATHS = 3
REVISIONS = 2
STEP_S = 0.02
"""Resolution of the reported times."""

MAX_WAIT_S = 60.0
MAX_PROCESSES = 3
"""Number of sizes of site that run in parallel; times and bytes don't depend on it."""

FRAME_HEADER_BYTES = 4
CHANGES_PER_S = 1_700 / 86_400

TARGET_REVISION_S = 19.0
TARGET_BYTES_PER_S = 5_000.0
TARGET_CPU_MS_PER_S = 32.0


@dataclass(kw_only=True)
class Meter:
    """Accumulates bytes sent and processor time of one or more cores while it is enabled."""

    enabled: bool = False
    bytes_sent: int = 0
    cpu_s: float = 0.0


class MeteredCore:
    """Wraps a core and meters its ticks, including encoding and decoding of its messages."""

    def __init__(self, *, core: Core, meter: Meter) -> None:
        self._core = core
        self._meter = meter
        self.identity: HostIdentity = core.identity
        self.membership = core.membership
        self.configsync = core.configsync
        self.next_wake = core.next_wake

    def tick(self, now: float, inbox: Sequence[Event]) -> list[Action]:
        """Run one tick; each frame is encoded here and decoded on behalf of its receiver."""
        if not self._meter.enabled:
            return self._core.tick(now, inbox)
        started = time.process_time()
        actions = self._core.tick(now, inbox)
        batches: dict[str, list[Send]] = {}
        for action in actions:
            if isinstance(action, Send):
                batches.setdefault(action.to, []).append(action)
        for batch in batches.values():
            messages = [action.message for action in batch]
            frame = encode_messages(self.identity.name, self.identity.incarnation, messages)
            decode_envelope(frame)
            self._meter.bytes_sent += len(frame) + FRAME_HEADER_BYTES
        self._meter.cpu_s += time.process_time() - started
        return actions


class MeteredSite(StoreSite):
    """Simulated site whose cores share one meter."""

    def __init__(self, *, hosts: int, domains: int, loss: float = 0.0) -> None:
        config = make_config(hosts, domains)
        super().__init__(config=config, seed=SEED, document_bytes=DOCUMENT_BYTES, loss=loss)
        self.meter = Meter()

    def start(self, name: str, *, with_config: bool = False) -> Core:
        """Start a host with a metered core."""
        core = super().start(name, with_config=with_config)
        self.host_by_name[name].core = MeteredCore(core=core, meter=self.meter)  # type: ignore
        return core

    def time_until(self, condition: Callable[[Core], bool]) -> float:
        """Seconds until the condition has held once at each host; infinity after a minute."""
        started = self.now
        not_yet = list(self.running().values())
        while self.now - started < MAX_WAIT_S:
            not_yet = [core for core in not_yet if not condition(core)]
            if not not_yet:
                return self.now - started
            self.run_for(STEP_S)
        return float("inf")


@dataclass(frozen=True, kw_only=True)
class Row:
    """Results for one size of site; times in seconds, rates per host."""

    hosts: int
    domains: int
    loss: float
    death_median_s: float
    death_worst_s: float
    restart_worst_s: float
    revision_worst_s: float
    bytes_per_s: float
    bytes_per_change: float
    cpu_ms_per_s: float

    @property
    def control_bytes_per_s(self) -> float:
        """Bytes sent and received per second, with 1,700 configuration changes a day."""
        return 2 * (self.bytes_per_s + self.bytes_per_change * CHANGES_PER_S)


def measure(hosts: int, domains: int, loss: float) -> Row:
    """Simulate one size of site."""
    site = MeteredSite(hosts=hosts, domains=domains, loss=loss)
    site.start_all()
    site.run_for(SETTLE_S)
    site.meter.enabled = True
    steady_rates = _rates(site, hosts)
    before = site.meter.bytes_sent
    revisions = [_revision_time(site) for _ in range(REVISIONS)]
    changes = (site.meter.bytes_sent - before) / hosts / REVISIONS
    site.meter.enabled = False
    deaths, restarts = zip(*(_death_and_restart(site, n) for n in range(DEATHS)), strict=True)
    return Row(
        hosts=hosts,
        domains=domains,
        loss=loss,
        death_median_s=statistics.median(deaths),
        death_worst_s=max(deaths),
        restart_worst_s=max(restarts),
        revision_worst_s=max(revisions),
        bytes_per_s=steady_rates[0],
        bytes_per_change=changes - steady_rates[0] * REVISION_WINDOW_S,
        cpu_ms_per_s=steady_rates[1],
    )


def _rates(site: MeteredSite, hosts: int) -> tuple[float, float]:
    site.meter.bytes_sent, site.meter.cpu_s = 0, 0.0
    site.run_for(WINDOW_S)
    meter = site.meter
    return meter.bytes_sent / hosts / WINDOW_S, meter.cpu_s * 1_000 / hosts / WINDOW_S


def _revision_time(site: MeteredSite) -> float:
    revision = site.write_config()
    seconds = site.time_until(lambda core: core.configsync.revision >= revision)
    site.run_for(max(0.0, REVISION_WINDOW_S - seconds))
    return seconds


def _death_and_restart(site: MeteredSite, number: int) -> tuple[float, float]:
    name = sorted(site.host_by_name)[number * 7 % len(site.host_by_name)]
    incarnation = site.running()[name].identity.incarnation
    site.run_for(0.137 * (number + 1))
    site.kill(name)
    death = site.time_until(lambda core: not core.membership.is_alive(name))
    site.run_for(1.0)
    site.start(name)
    restart = site.time_until(
        lambda core: core.membership.is_alive(name) and core.membership.is_dead(name, incarnation)
    )
    site.run_for(2.0)
    return death, restart


def slope(rows: Sequence[Row], value: Callable[[Row], float]) -> float:
    """Least-squares slope of a value over the number of hosts."""
    line = statistics.linear_regression([row.hosts for row in rows], [value(row) for row in rows])
    return line.slope


def main(arguments: Sequence[str]) -> int:
    """Print the table and the JSON line; returns 1 if a time or byte target is missed."""
    sizes = [(hosts, domains, 0.0) for domains in DOMAINS for hosts in HOSTS]
    sizes += [(8, 3, 0.05), (32, 11, 0.05)]
    with ProcessPoolExecutor(max_workers=MAX_PROCESSES) as pool:
        rows = list(pool.map(measure, *zip(*sizes, strict=True)))
    summary = _summarize(rows)
    if "--json" not in arguments:
        _print_table(rows, summary)
    print(json.dumps(summary))
    met = summary["revision_worst_s"] <= TARGET_REVISION_S
    return 0 if met and summary["control_bytes_per_s"] <= TARGET_BYTES_PER_S else 1


def _summarize(rows: Sequence[Row]) -> dict[str, float]:
    summary = {
        "death_median_s": statistics.median(row.death_median_s for row in rows),
        "death_worst_s": max(row.death_worst_s for row in rows),
        "restart_worst_s": max(row.restart_worst_s for row in rows),
        "revision_worst_s": max(row.revision_worst_s for row in rows),
        "control_bytes_per_s": max(row.control_bytes_per_s for row in rows),
        "cpu_ms_per_s": max(row.cpu_ms_per_s for row in rows),
    }
    for domains in DOMAINS:
        group = [row for row in rows if row.domains == domains and not row.loss]
        summary[f"bytes_per_s_per_host_{domains}_domains"] = slope(
            group, lambda row: row.bytes_per_s
        )
        summary[f"cpu_ms_per_s_per_host_{domains}_domains"] = slope(
            group, lambda row: row.cpu_ms_per_s
        )
    return {key: round(value, 4) for key, value in summary.items()}


def _print_table(rows: Sequence[Row], summary: dict[str, float]) -> None:
    print(f"seed {SEED}; times in s; rates for each host; document {DOCUMENT_BYTES} bytes")
    print(
        f"{'hosts':>5} {'dom.':>4} {'loss':>5} {'death':>6} {'worst':>6} {'restart':>7} "
        f"{'revision':>8} {'sent B/s':>8} {'B/change':>8} {'control B/s':>11} {'cpu ms/s':>8}"
    )
    for row in rows:
        print(
            f"{row.hosts:5} {row.domains:4} {row.loss:5.2f} {row.death_median_s:6.2f} "
            f"{row.death_worst_s:6.2f} {row.restart_worst_s:7.2f} {row.revision_worst_s:8.2f} "
            f"{row.bytes_per_s:8.0f} {row.bytes_per_change:8.0f} "
            f"{row.control_bytes_per_s:11.0f} {row.cpu_ms_per_s:8.2f}"
        )
    for domains in DOMAINS:
        print(
            f"{domains} failure domains: each further host adds "
            f"{summary[f'bytes_per_s_per_host_{domains}_domains']:.2f} B/s and "
            f"{summary[f'cpu_ms_per_s_per_host_{domains}_domains']:.4f} ms/s to each host"
        )
    print(
        f"targets: revision {TARGET_REVISION_S:.0f} s, death about 2 s, control "
        f"{TARGET_BYTES_PER_S:.0f} B/s sent and received, {TARGET_CPU_MS_PER_S:.0f} ms/s"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
