"""Metrics of a host in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from .._journal import Journal
from ..dispatch._host import DispatchHost
from ..net import HttpServer, TrafficByPurpose
from ._process_metrics import ProcessMetrics
from ._store import StoreClient

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.3, 1.6)
"""Upper bounds of the histogram buckets; latency objectives lie between 0.1 and 1.5 s."""

LATENESS_BUCKETS_S = (0.01, 0.05, 0.2, 0.5, 1.0, 3.0)
"""Upper bounds of the buckets of late timers. Other hosts take one for silent after about a
second."""


class HostMetrics:
    """Counts answered jobs as they are answered; all other values are read at each scrape."""

    def __init__(
        self,
        *,
        core: DispatchHost,
        store: StoreClient,
        caller_server: HttpServer,
        journal: Journal,
        traffic: TrafficByPurpose,
        process: ProcessMetrics,
    ) -> None:
        self._traffic = traffic
        self._core = core
        self._store = store
        self._caller_server = caller_server
        self._journal = journal
        self._registry = CollectorRegistry()
        self._registry.register(process)
        self._answers = Counter(
            "eelgrassyard_answers",
            "Answers to jobs by status",
            ["status"],
            registry=self._registry,
        )
        self._seconds = Histogram(
            "eelgrassyard_answer_seconds",
            "Time from a request to its answer",
            ["status"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges = {
            name: Gauge(f"eelgrassyard_{name}", text, registry=self._registry)
            for name, text in (
                ("ready", "1 if the host takes new connections"),
                ("leads", "1 if the host leads its domain's pool"),
                ("epoch", "Epoch of the leader that the host uses"),
                ("config_version", "Version of the configuration in force"),
                ("connections", "Open client connections"),
                ("refused_connections", "Client connections closed at once since the start"),
                ("request_bytes", "Memory of the requests that arrive or have no response yet"),
                ("overload_rejections", "Requests rejected for lack of memory since the start"),
                ("jobs", "Jobs of this host's callers in progress"),
                ("pool_jobs", "Jobs in the pool that this host leads"),
                ("pool_workers_ready", "Workers of the pool that answer"),
                ("store_calls", "Calls to the store since the start"),
                ("log_lines_omitted", "Log lines left out by the bound on volume"),
            )
        }
        self._pool_counts = Gauge(
            "eelgrassyard_pool_events",
            "Events of the pool since this host leads it",
            ["event"],
            registry=self._registry,
        )

        self._bytes = Gauge(
            "eelgrassyard_bytes",
            "Bytes sent and received since the start, without TCP and IP",
            ["purpose", "direction"],
            registry=self._registry,
        )

        self._late = Histogram(
            "eelgrassyard_timer_late_seconds",
            "How late a timer of the event loop fires, 20 times a second",
            buckets=LATENESS_BUCKETS_S,
            registry=self._registry,
        )
        self._signals = Counter(
            "eelgrassyard_signals", "Signals received", ["signal"], registry=self._registry
        )

    def count_signal(self, name: str) -> None:
        """Count a signal."""
        self._signals.labels(name).inc()

    def observe_lateness(self, late_s: float) -> None:
        """Count a timer that fired ``late_s`` after its time."""
        self._late.observe(max(0.0, late_s))

    def count_answer(self, kind: str, status: int, took_s: float) -> None:
        """Count an answered job and its latency."""
        self._answers.labels(str(status)).inc()
        self._seconds.labels(str(status)).observe(took_s)

    def render(self) -> bytes:
        """Collect the current values and return all metrics as text."""
        core = self._core
        pool = core.pool
        values = {
            "ready": int(core.is_ready()),
            "leads": int(pool is not None),
            "epoch": core.leadership.epoch,
            "config_version": core.config_version,
            "connections": len(self._caller_server.connections),
            "refused_connections": self._caller_server.refused_connections,
            "request_bytes": self._caller_server.held_bytes,
            "overload_rejections": self._caller_server.overload_rejections,
            "jobs": len(core.entry.job_by_id),
            "pool_jobs": len(pool.job_by_id) if pool is not None else 0,
            "pool_workers_ready": pool.ready_workers() if pool is not None else 0,
            "store_calls": self._store.calls,
            "log_lines_omitted": self._journal.omitted,
        }
        for name, value in values.items():
            self._gauges[name].set(value)
        for event, count in (pool.counts if pool is not None else {}).items():
            self._pool_counts.labels(event).set(count)
        for purpose, by_direction in self._traffic.dump().items():
            for direction, size in by_direction.items():
                self._bytes.labels(purpose, direction).set(size)
        return generate_latest(self._registry)
