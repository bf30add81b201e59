"""Control traffic and processor time by number of hosts, with real cores on virtual time.

Bytes are those of the real frames without TCP/IP headers. Processor time is that of the core and
the codec, without sockets and event loop, which the section ``hosts`` measures on real processes.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from eelgrassyard.policy import Core, Scope, TeamEntry

from .bench_membership import Meter, MeteredCore, MeteredSite
from .capacity_series import Series, series

DOMAINS = 11
HOSTS = (22, 44, 88, 132)
TEAMS = 68
STARTUP_S = 25.0
"""Time after which the gossip about the start of all hosts has ended."""

SETTLE_S = 11.0
WINDOW_S = 10.0
"""A multiple of the interval between quota digests that are sent to all hosts."""

QUIET_WINDOW_S = 6.0


class TeamSite(MeteredSite):
    """Simulated site of the large size without work; each host has its own meter."""

    def __init__(self, *, hosts: int) -> None:
        super().__init__(hosts=hosts, domains=DOMAINS)
        teams = {
            f"team-{n:02}": TeamEntry(name=f"team-{n:02}", starts_per_s=1e4) for n in range(TEAMS)
        }
        self.loaded_config = replace(
            self.loaded_config, teams_by_name=teams, scope=Scope.FAILURE_DOMAIN
        )
        self.meter_by_host: dict[str, Meter] = {}

    def start(self, name: str, *, with_config: bool = False) -> Core:
        """Start a host with a metered core."""
        core = super().start(name, with_config=with_config)
        meter = self.meter_by_host.setdefault(name, Meter(enabled=True))
        self.host_by_name[name].core = MeteredCore(core=core, meter=meter)  # type: ignore
        self.core_by_host[name] = core
        return core

    def start_all(self, *, with_config: bool = False) -> None:
        """Start every host."""
        self.core_by_host: dict[str, Core] = {}
        super().start_all(with_config=with_config)

    def measure(self, seconds: float) -> dict[str, tuple[float, float]]:
        """Advance virtual time; returns bytes sent and processor time in ms per second, by host."""
        before = {n: (m.bytes_sent, m.cpu_s) for n, m in self.meter_by_host.items()}
        self.run_for(seconds)
        return {
            name: (
                (meter.bytes_sent - before[name][0]) / seconds,
                (meter.cpu_s - before[name][1]) * 1e3 / seconds,
            )
            for name, meter in self.meter_by_host.items()
        }

    def run_schedulers(self, seconds: float) -> dict[str, tuple[float, float]]:
        """Measure with demand of all teams at the first host of each failure domain."""
        stop_at = self.now + seconds

        def record_demand() -> None:
            for name in self.schedulers():
                for team in self.loaded_config.teams_by_name:
                    self.core_by_host[name].quotas.record_demand(self.now, team, 116)
                self.deliver(name)
            if self.now + 0.25 < stop_at:
                self.after(0.25, record_demand)

        record_demand()
        return self.measure(seconds)

    def schedulers(self) -> list[str]:
        """Name of the first host of each failure domain."""
        return [f"d{domain}-0" for domain in range(DOMAINS)]


def measure_spread() -> list[Series]:
    """Measure all sizes of site."""
    points: dict[str, list[tuple[float, float]]] = {}
    for hosts in HOSTS:
        for name, value in _measure(hosts).items():
            points.setdefault(name, []).append((hosts, value))
    units = {"bytes": "B/s", "cpu": "ms/s", "change_bytes": "B", "restart_bytes": "B"}
    return [
        series("spread", f"spread.{name}", _unit(name, units), values, "hosts")
        for name, values in points.items()
    ]


def _unit(name: str, units: dict[str, str]) -> str:
    ending = name.rpartition(".")[2]
    return units.get(ending, "s")


def _measure(hosts: int) -> dict[str, float]:
    site = TeamSite(hosts=hosts)
    site.start_all()
    site.run_for(STARTUP_S)
    quiet = site.measure(QUIET_WINDOW_S)
    bytes_sent, cpu = _mean(list(quiet.values()))
    change_bytes, revision_s = _measure_change(site, bytes_sent)
    restart_bytes, death_s = _measure_restart(site, bytes_sent)
    site.run_schedulers(SETTLE_S)
    busy = site.run_schedulers(WINDOW_S)
    scheduling = [busy[name] for name in site.schedulers()]
    others = [value for name, value in busy.items() if name not in site.schedulers()]
    return {
        "quiet.bytes": bytes_sent,
        "quiet.cpu": cpu,
        "change_bytes": change_bytes,
        "revision": revision_s,
        "restart_bytes": restart_bytes,
        "death": death_s,
        "scheduler.bytes": _mean(scheduling)[0],
        "scheduler.cpu": _mean(scheduling)[1],
        "other.bytes": _mean(others)[0],
        "other.cpu": _mean(others)[1],
    }


def _mean(rates: Sequence[tuple[float, float]]) -> tuple[float, float]:
    sent, cpu = zip(*rates, strict=True)
    return sum(sent) / len(rates), sum(cpu) / len(rates)


def _measure_change(site: TeamSite, quiet_bytes: float) -> tuple[float, float]:
    """Mean bytes that a host sends for one revision, and time until all hosts have it."""
    before = _all_bytes(site)
    revision = site.write_config()
    began = site.now
    seconds = site.time_until(lambda core: core.configsync.revision >= revision)
    site.run_for(max(0.0, 4.0 - seconds))
    elapsed = site.now - began
    sent = (_all_bytes(site) - before) / len(site.meter_by_host)
    return max(0.0, sent - quiet_bytes * elapsed), seconds


def _measure_restart(site: TeamSite, quiet_bytes: float) -> tuple[float, float]:
    """Mean bytes that a host sends for a death and restart, and time until the death is known."""
    name = sorted(site.host_by_name)[-1]
    before = _all_bytes(site)
    began = site.now
    site.kill(name)
    death_s = site.time_until(lambda core: not core.membership.is_alive(name))
    site.start(name)
    site.run_for(5.0)
    sent = (_all_bytes(site) - before) / len(site.meter_by_host)
    return max(0.0, sent - quiet_bytes * (site.now - began)), death_s


def _all_bytes(site: TeamSite) -> int:
    return sum(meter.bytes_sent for meter in site.meter_by_host.values())
