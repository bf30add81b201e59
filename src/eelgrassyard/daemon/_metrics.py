"""Counters, kept for the state dump and sent to statsd once a second."""

from __future__ import annotations

from collections import Counter

import anyio
import statsd

from ._settings import StatsdSettings

FLUSH_INTERVAL_S = 1.0


class Metrics:
    """Counters and gauges by name.

    Counts are aggregated and sent in few packets, because a packet for every count would cost more
    than the operations that are counted.
    """

    def __init__(self, *, settings: StatsdSettings | None = None) -> None:
        self.total_by_name: Counter[str] = Counter()
        self.gauge_by_name: dict[str, float] = {}
        self._unsent_by_name: Counter[str] = Counter()
        self._client: statsd.StatsClient | None = None
        if settings is not None:
            self._client = statsd.StatsClient(
                settings.address,
                settings.port,
                prefix=settings.prefix,
                maxudpsize=1400,
                ipv6=":" in settings.address,
            )

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.total_by_name[name] += value
        self._unsent_by_name[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauge_by_name[name] = value

    def flush(self) -> None:
        """Send the counts since the last flush and all gauges to statsd, if it is configured."""
        unsent, self._unsent_by_name = self._unsent_by_name, Counter()
        if self._client is None:
            return
        try:
            with self._client.pipeline() as pipeline:
                for name, value in unsent.items():
                    pipeline.incr(name, value)
                for name, gauge in self.gauge_by_name.items():
                    pipeline.gauge(name, gauge)
        except OSError:
            self.total_by_name["metrics.send_failed"] += 1

    async def run(self) -> None:
        """Flush every :data:`FLUSH_INTERVAL_S` until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()
