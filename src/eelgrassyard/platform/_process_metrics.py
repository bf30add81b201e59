"""Metrics that tell why a process ended, stands still or follows the store no more."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from prometheus_client import Metric, ProcessCollector
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from .._journal import Journal
from .._supervision import Supervisor
from .._unhandled import UnhandledErrors


class ProcessMetrics(Collector):
    """Reads the counts of lines and errors, the age of the copies of the store, and what the
    process uses, at each scrape.

    :param core_errors: number of errors that the dispatch core and its driver contained, by part.
    :param read_at_by_prefix: when each copy of a prefix of the store was last brought up to date,
        on the clock of ``now``.
    :param limits: ``memory_limit_bytes`` and ``descriptor_limit`` of the process; 0 if unknown.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        errors: UnhandledErrors,
        core_errors: Mapping[str, int],
        supervisor: Supervisor,
        now: Callable[[], float],
        read_at_by_prefix: Callable[[], Mapping[str, float]],
        limits: Mapping[str, int],
    ) -> None:
        self._journal = journal
        self._errors = errors
        self._core_errors = core_errors
        self._supervisor = supervisor
        self._now = now
        self._read_at_by_prefix = read_at_by_prefix
        self._limits = limits
        self._started_at = time.time()
        self._process = ProcessCollector(namespace="eelgrassyard", registry=None)

    def describe(self) -> Iterable[Metric]:
        """No metrics, so that registering reads none."""
        return []

    def collect(self) -> Iterable[Metric]:
        """The current values."""
        yield _counter(
            "log_events",
            "Lines that are not routine, by event, also those left out",
            "event",
            self._journal.count_by_event,
        )
        yield _counter(
            "unhandled_errors",
            "Errors that no code handled, by task, callback, protocol or event of the core",
            "part",
            self._errors.count_by_part + Counter(self._core_errors),
        )
        yield _counter(
            "task_restarts",
            "Restarts of background tasks after an error",
            "task",
            self._supervisor.restarts_by_task,
        )
        yield GaugeMetricFamily(
            "eelgrassyard_tasks_failing",
            "Background tasks that have failed within the last seconds",
            len(self._supervisor.failing),
        )
        now = self._now()
        ages = {prefix: now - at for prefix, at in self._read_at_by_prefix().items()}
        age = GaugeMetricFamily(
            "eelgrassyard_registry_age_seconds",
            "Time since the last successful read of a prefix of the store; infinite before it",
            labels=["prefix"],
        )
        for prefix, age_s in ages.items():
            age.add_metric([prefix], age_s if math.isfinite(age_s) else math.inf)
        yield age
        for name, value in self._limits.items():
            yield GaugeMetricFamily(
                f"eelgrassyard_process_{name}", "Limit of the settings file, 0 if unknown", value
            )
        yield GaugeMetricFamily(
            "eelgrassyard_start_time_seconds", "Unix time of the start", self._started_at
        )
        try:
            yield from list(self._process.collect())
        except (OSError, ValueError, ArithmeticError) as error:
            # Without /proc, or with a limit that is not a number, the other metrics stay.
            self._errors.report("metrics", error)


def _counter(name: str, text: str, label: str, count_by_name: Mapping[str, int]) -> Metric:
    family = CounterMetricFamily(f"eelgrassyard_{name}", text, labels=[label])
    for value, count in count_by_name.items():
        family.add_metric([value], count)
    return family
