"""Applies what the platform's store holds to a host: configuration, workers and other hosts."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Callable, Collection

from .._clock import Clock
from .._journal import Journal
from ..dispatch._host import DispatchHost
from ..dispatch._workers import WorkerRecord
from ..net import HttpServer
from ..net._driver import Driver
from ._caller_api import CallerApi
from ._documents import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    HOST_PREFIX,
    OPERATOR_PREFIX,
    WORKER_PREFIX,
    decode_config,
    decode_host,
    decode_worker,
)
from ._items import MAX_CONFIG_CHARACTERS, Item
from ._store import Mirror, MirrorMode, Reread, StoreClient, Watch
from ._worker_calls import PlatformWorkerCalls

WORKER_REMOVAL_DELAY_S = 2.5
"""Time after which a worker whose entry is missing is removed. Entries whose leases expired while
the store was unavailable are written again within about 2 s of its return."""

REGISTRY_PAUSE_S = 0.8
"""Longest pause between two watches of the worker entries by a leader, which must start no task on
a worker later than 2 s after the worker announced that it is draining."""

REGISTRY_MIN_PAUSE_S = 0.2
"""Shortest such pause; calls to the store are charged."""

REGISTRY_BURST_S = 0.02
"""Time for which the changes of one watch may fill the host's link, since answers of workers wait
behind them."""

WORKER_CHANGE_BYTES = 400
"""Size of a changed worker entry in the answer to a watch."""

WORKER_CHANGE_INTERVAL_S = 1.5
"""Interval at which a worker updates its entry."""

FOLLOWER_REGISTRY_MODE = Reread(interval_s=10.0)
"""A follower needs the worker entries only when it takes the lead, and reads them again then.
Workers update their entries each 1.5 s; all of these changes would fill a slow link for longer than
hosts wait for an answer to a ping."""

HOSTS_MODE = Watch(wait_s=8.0)
"""The host entries are used only for discovery."""

ADVANCE_INTERVAL_S = 0.05
"""Interval at which missing entries, the role of the host and received configurations are looked
at."""

MAX_CONFIG_BYTES = 4_000_000
"""Largest configuration that is accepted from another host; the store holds at most a megabyte."""


def registry_pause_s(*, workers: int, link_bytes_per_s: float) -> float:
    """Pause of a leader between two watches of the worker entries.

    :param workers: number of entries.
    :param link_bytes_per_s: capacity of the host's link; infinite if it is not known.
    :returns: seconds; shorter on a thin link, where the changes then come in smaller parts.
    """
    bytes_per_s = max(1, workers) * WORKER_CHANGE_BYTES / WORKER_CHANGE_INTERVAL_S
    fitting_s = REGISTRY_BURST_S * link_bytes_per_s / bytes_per_s
    return min(REGISTRY_PAUSE_S, max(REGISTRY_MIN_PAUSE_S, fitting_s))


class StoreFollower:
    """Follows three prefixes of the store, each with a mirror.

    :param on_hosts: called with the names of the hosts that the store lists.
    :param link_bytes_per_s: capacity of the host's link; infinite if it is not known.

    :ivar mirrors: the copies of the operator's keys, the workers' entries and the hosts' entries.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        core: DispatchHost,
        driver: Driver,
        worker_calls: PlatformWorkerCalls,
        caller_api: CallerApi,
        caller_server: HttpServer,
        journal: Journal,
        clock: Clock,
        on_hosts: Callable[[Collection[str]], None],
        link_bytes_per_s: float,
    ) -> None:
        self._store = store
        self._core = core
        self._driver = driver
        self._worker_calls = worker_calls
        self._caller_api = caller_api
        self._caller_server = caller_server
        self._journal = journal
        self._clock = clock
        self._on_hosts = on_hosts
        self._link_bytes_per_s = link_bytes_per_s
        self._led = False
        self._store_available: bool | None = None
        self._store_bytes = 0
        self._record_by_id: dict[str, WorkerRecord] = {}
        self._removal_at_by_id: dict[str, float] = {}
        self._value_by_id: dict[str, str] = {}
        self._refused_host_values: dict[str, str] = {}
        self._worker_mirror = Mirror(
            store=store,
            prefix=WORKER_PREFIX,
            now=clock.now,
            on_change=self._workers_changed,
            on_availability=self._store_availability_changed,
            on_odd_item=self._ignore_item,
            mode=self._registry_mode,
        )
        self._host_mirror = Mirror(
            store=store,
            prefix=HOST_PREFIX,
            now=clock.now,
            on_change=self._hosts_changed,
            on_availability=self._store_availability_changed,
            on_odd_item=self._ignore_item,
            mode=lambda: HOSTS_MODE,
        )
        self.mirrors = (
            Mirror(
                store=store,
                prefix=OPERATOR_PREFIX,
                now=clock.now,
                on_change=self._operator_keys_changed,
                on_availability=self._store_availability_changed,
                on_odd_item=self._ignore_item,
                max_characters=MAX_CONFIG_CHARACTERS,
            ),
            self._worker_mirror,
            self._host_mirror,
        )

    def advance(self) -> None:
        """Remove workers whose entries have been missing for too long, apply configurations
        received from other hosts, and read the registry when this host has taken the lead. Must be
        called every :data:`ADVANCE_INTERVAL_S`."""
        self._report_store_traffic()
        leads = self._core.pool is not None
        if leads and not self._led:
            self._worker_mirror.wake()
        self._led = leads
        self._remove_missing_workers()
        self._core.confirm_hosts(self._clock.now(), read_at=self._host_mirror.read_at)
        new_config = self._core.new_config
        if new_config is not None:
            self._core.new_config = None
            self._apply_received_config(new_config.document)

    def _remove_missing_workers(self) -> None:
        now = self._clock.now()
        removed = [worker for worker, at in self._removal_at_by_id.items() if now >= at]
        for worker_id in removed:
            del self._removal_at_by_id[worker_id]
            self._value_by_id.pop(worker_id, None)
            self._record_by_id.pop(worker_id, None)
        if removed:
            self._set_workers()

    def _store_availability_changed(self, up: bool, reason: str) -> None:
        if self._store_available != up:
            self._store_available = up
            event = "store_answers" if up else "store_lost"
            self._journal.write(event, {"reason": reason, "calls": self._store.calls})

    def _ignore_item(self, key: str, reason: str) -> None:
        self._journal.write("store_item_ignored", {"key": key, "reason": reason})

    def _report_store_traffic(self) -> None:
        """Tell the core that the store is answering, if bytes have arrived since the last report.
        The bytes of a failed call, such as a refusal, are no sign of that."""
        received = self._store.bytes_received()
        if received > self._store_bytes and self._store_available:
            self._core.store_answering(self._clock.now())
        self._store_bytes = received

    def _operator_keys_changed(self, items: dict[str, Item], revision: int) -> None:
        domains = {
            key.removeprefix(EVACUATION_PREFIX)
            for key in items
            if key.startswith(EVACUATION_PREFIX)
        }
        known = self._core.evacuations
        if not known.revision or domains != set(known.domains):
            self._journal.write("evacuated_domains", {"domains": sorted(domains)})
            self._core.set_evacuations(self._clock.now(), revision=revision, domains=domains)
            self._driver.schedule_actions()
        item = items.get(CONFIG_KEY)
        if item is not None:
            self._apply_config(item.content(), "store")

    def _apply_received_config(self, compressed: bytes) -> None:
        try:
            document = zlib.decompressobj().decompress(compressed, MAX_CONFIG_BYTES)
        except zlib.error as error:
            self._journal.write("config_unusable", {"source": "host", "reason": str(error)})
            return
        self._apply_config(document, "host")

    def _apply_config(self, document: bytes, source: str) -> None:
        result = decode_config(document)
        if result.is_err():
            self._journal.write(
                "config_unusable", {"source": source, "reason": result.unwrap_err()}
            )
            return
        routes = result.unwrap()
        if routes.version <= self._caller_api.routes.version:
            return
        self._journal.write(
            "config_in_force",
            {
                "version": routes.version,
                "before": self._caller_api.routes.version,
                "source": source,
            },
        )
        self._caller_api.routes = routes
        limits = self._caller_server.limits
        limits.header_bytes, limits.body_bytes = routes.header_bytes, routes.body_bytes
        limits.header_s, limits.idle_s = routes.header_s, routes.idle_s
        self._core.set_config(routes.version, document)
        self._set_workers()

    def _workers_changed(self, items: dict[str, Item], _: int) -> None:
        now = self._clock.now()
        for key, item in items.items():
            worker_id = key.removeprefix(WORKER_PREFIX)
            self._removal_at_by_id.pop(worker_id, None)
            if self._value_by_id.get(worker_id) == item.value:
                continue
            self._value_by_id[worker_id] = item.value
            result = decode_worker(worker_id, item.content())
            if result.is_err():
                self._journal.write(
                    "worker_entry_ignored", {"worker": worker_id, "reason": result.unwrap_err()}
                )
                self._record_by_id.pop(worker_id, None)
            else:
                self._record_by_id[worker_id] = result.unwrap()
        for worker_id in list(self._value_by_id):
            if WORKER_PREFIX + worker_id not in items:
                self._removal_at_by_id.setdefault(worker_id, now + WORKER_REMOVAL_DELAY_S)
        self._set_workers()

    def _set_workers(self) -> None:
        capacity_checked = self._caller_api.routes.capacity_checked_services
        records = {
            worker_id: dataclasses.replace(
                record, checks_capacity=record.service in capacity_checked
            )
            for worker_id, record in self._record_by_id.items()
        }
        self._worker_calls.set_workers(records)
        self._core.set_workers(self._clock.now(), records, read_at=self._worker_mirror.read_at)
        self._driver.schedule_actions()

    def _registry_mode(self) -> MirrorMode:
        if self._core.pool is None:
            return FOLLOWER_REGISTRY_MODE
        pause_s = registry_pause_s(
            workers=len(self._record_by_id), link_bytes_per_s=self._link_bytes_per_s
        )
        return Watch(pause_s=pause_s)

    def _hosts_changed(self, items: dict[str, Item], _: int) -> None:
        hosts = []
        refused: dict[str, str] = {}
        for key, item in items.items():
            result = decode_host(key.removeprefix(HOST_PREFIX), item.content())
            if result.is_err():
                # Each change of any entry brings all of them.
                if self._refused_host_values.get(key) != item.value:
                    self._journal.write(
                        "host_entry_ignored", {"key": key, "reason": result.unwrap_err()}
                    )
                refused[key] = item.value
            else:
                hosts.append(result.unwrap())
        self._refused_host_values = refused
        self._core.set_hosts(self._clock.now(), hosts, read_at=self._host_mirror.read_at)
        self._on_hosts({host.name for host in hosts})
