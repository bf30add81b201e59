"""The entry of a host in the platform's store."""

from __future__ import annotations

from collections.abc import Collection

import anyio

from .._journal import Journal
from ..dispatch._messages import HostRecord
from ._documents import HOST_PREFIX, encode_host
from ._store import StoreClient, StoreError

HOST_LEASE_S = 8.0
"""Time to live of the lease on this host's entry. Hosts use the entries only for discovery."""

HOST_RENEWAL_INTERVAL_S = 2.5
"""Interval at which the lease of this host's entry is renewed."""

REWRITE_DELAY_S = 0.05
"""Pause before an entry that has gone is written again."""


class Registration:
    """Writes the entry of a host, and keeps its lease alive.

    :param own: what the entry says.
    """

    def __init__(self, *, own: HostRecord, store: StoreClient, journal: Journal) -> None:
        self._own = own
        self._store = store
        self._journal = journal
        self._is_listed = False
        self._lost = anyio.Event()

    def set_listed(self, names: Collection[str]) -> None:
        """Handle the names of the hosts that the store lists."""
        self._is_listed = self._own.name in names
        if not self._is_listed:
            self._lost.set()

    async def maintain(self) -> None:
        """Write and renew the entry until cancelled."""
        lease = 0
        while True:
            try:
                if not lease or not self._is_listed:
                    lease = await self._store.create_lease(HOST_LEASE_S)
                    key = HOST_PREFIX + self._own.name
                    await self._store.put(key, encode_host(self._own), lease)
                else:
                    await self._store.renew_lease(lease)
            except StoreError as error:
                self._journal.write("host_entry_not_renewed", {"reason": str(error)})
                if error.status == 404:
                    lease = 0
            self._lost = anyio.Event()
            with anyio.move_on_after(HOST_RENEWAL_INTERVAL_S):
                await self._lost.wait()
                await anyio.sleep(REWRITE_DELAY_S)
