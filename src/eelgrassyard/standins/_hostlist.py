"""Stand-in for the platform's list of hosts and upstreams, which lags behind."""

from __future__ import annotations

import copy
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ._asgi import JsonApplication, StandInRequest, StandInResponse
from ._work import digest


class HostListStandIn(JsonApplication):
    """Serves the list of hosts and upstreams as it was ``lag_s`` seconds ago.

    :param hosts: entries as JSON objects, each with at least ``name``, ``role`` and ``state``.
    :param lag_s: seconds until a change appears in the list.
    :param clock: seconds, for the lag.
    """

    def __init__(
        self,
        *,
        hosts: Sequence[Mapping[str, Any]],
        lag_s: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._lag_s = lag_s
        self._entry_by_name = {str(host["name"]): dict(host) for host in hosts}
        self._versions = [(-lag_s, copy.deepcopy(self._entry_by_name))]
        self.down = False
        self.lists_sent = 0
        self.route("GET", r"/hosts", self._list)
        self.route("PUT", r"/hosts/(?P<name>[^/]+)", self._put)
        self.route("DELETE", r"/hosts/(?P<name>[^/]+)", self._delete)
        self.route("POST", r"/faults", self._set_faults)

    async def _list(self, request: StandInRequest) -> StandInResponse:
        if self.down:
            return StandInResponse(status=503, content={"error": "down"})
        visible_at = self._clock() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= visible_at:
            self._versions.pop(0)
        content = {"hosts": list(self._versions[0][1].values())}
        etag = f'"{digest(content)}"'
        if request.headers.get("if-none-match") == etag:
            return StandInResponse(status=304, headers={"ETag": etag})
        self.lists_sent += 1
        return StandInResponse(content=content, headers={"ETag": etag})

    async def _put(self, request: StandInRequest) -> StandInResponse:
        name = request.groups["name"]
        self._entry_by_name.setdefault(name, {"name": name, "state": "live"})
        self._entry_by_name[name].update(request.json())
        self._save_version()
        return StandInResponse(content={})

    async def _delete(self, request: StandInRequest) -> StandInResponse:
        self._entry_by_name.pop(request.groups["name"], None)
        self._save_version()
        return StandInResponse(content={})

    async def _set_faults(self, request: StandInRequest) -> StandInResponse:
        self.down = bool(request.json()["down"])
        return StandInResponse(content={})

    def _save_version(self) -> None:
        self._versions.append((self._clock(), copy.deepcopy(self._entry_by_name)))
