"""Hosts that the platform's host list and the configuration declare."""

from __future__ import annotations

from dataclasses import dataclass

from ._config import SiteConfig
from ._events import HostListRead
from ._member_table import MemberTable
from ._messages import MemberState, MemberUpdate


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedState:
    """State of a host in the last host list.

    :param live_incarnation: incarnation known when the list last showed the host as live; 0 if
        there was none.
    """

    leaving: bool
    live_incarnation: int


class DeclaredHosts:
    """Adds the hosts of the host list and of the configuration to the member table.

    Both sources lag behind, so they only supply hosts to probe and announce planned stops.
    Whether a host is alive is decided by its answers to probes, whatever these sources say.
    """

    def __init__(self, *, table: MemberTable) -> None:
        self._table = table
        self._listed_by_name: dict[str, ListedState] = {}
        self._configured: frozenset[str] = frozenset()

    def set_configured(self, config: SiteConfig) -> None:
        """Declare the hosts of a configuration, in place of those of the one before."""
        for entry in config.hosts_by_name.values():
            self._table.add_declared(entry)
        self._configured = frozenset(config.hosts_by_name)
        self._mark_declared()

    def apply_host_list(self, event: HostListRead) -> list[MemberUpdate]:
        """Declare the hosts of a host list, in place of those of the one before.

        :returns: updates to merge, for hosts that changed from live to leaving in the list.
        """
        updates: list[MemberUpdate] = []
        listed_by_name: dict[str, ListedState] = {}
        for listed in event.hosts:
            name = listed.host.name
            incarnation = self._table.add_declared(listed.host).incarnation
            before = self._listed_by_name.get(name)
            if not listed.leaving:
                listed_by_name[name] = ListedState(leaving=False, live_incarnation=incarnation)
                continue
            live_incarnation = before.live_incarnation if before else 0
            listed_by_name[name] = ListedState(leaving=True, live_incarnation=live_incarnation)
            if before and not before.leaving and incarnation == live_incarnation > 0:
                updates.append(self._leaving_update(name))
        self._listed_by_name = listed_by_name
        self._mark_declared()
        return updates

    def is_leaving(self, name: str) -> bool:
        """Tell whether the list shows the host as leaving after it showed it as live."""
        state = self._listed_by_name.get(name)
        return state is not None and state.leaving and state.live_incarnation > 0

    def _leaving_update(self, name: str) -> MemberUpdate:
        return self._table.by_name[name].to_update(MemberState.LEAVING)

    def _mark_declared(self) -> None:
        self._table.mark_declared(self._configured | set(self._listed_by_name))
