"""What the platform's host list and the configuration say about the hosts of the site."""

from __future__ import annotations

from dataclasses import dataclass

from ._config import SiteConfig
from ._events import HostListRead
from ._member_table import MemberTable
from ._messages import MemberState, MemberUpdate


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedState:
    """State of a host in the last list, and the incarnation known when it was last live there."""

    leaving: bool
    live_incarnation: int


class DeclaredHosts:
    """Hosts that the list or the configuration names.

    Both lag behind, so they only supply names to probe and the start of a planned stop. A host is
    alive because it answers and dead because it does not, whatever they say.
    """

    def __init__(self, *, table: MemberTable) -> None:
        self._table = table
        self._listed_by_name: dict[str, ListedState] = {}
        self._configured: frozenset[str] = frozenset()

    def take_config(self, config: SiteConfig) -> None:
        """Take the hosts of a configuration."""
        for entry in config.hosts_by_name.values():
            self._table.add_named(entry)
        self._configured = frozenset(config.hosts_by_name)
        self._mark_named()

    def take_list(self, event: HostListRead) -> list[MemberUpdate]:
        """Take a host list.

        :returns: hosts that have changed from live to leaving in the list, as news to merge.
        """
        news: list[MemberUpdate] = []
        listed_by_name: dict[str, ListedState] = {}
        for listed in event.hosts:
            name = listed.host.name
            incarnation = self._table.add_named(listed.host).incarnation
            before = self._listed_by_name.get(name)
            if not listed.leaving:
                listed_by_name[name] = ListedState(leaving=False, live_incarnation=incarnation)
                continue
            live_incarnation = before.live_incarnation if before else 0
            listed_by_name[name] = ListedState(leaving=True, live_incarnation=live_incarnation)
            if before and not before.leaving and incarnation == live_incarnation > 0:
                news.append(self._leaving_update(name))
        self._listed_by_name = listed_by_name
        self._mark_named()
        return news

    def is_leaving(self, name: str) -> bool:
        """Tell whether the list shows the host as leaving after it has shown it as live."""
        state = self._listed_by_name.get(name)
        return state is not None and state.leaving and state.live_incarnation > 0

    def _leaving_update(self, name: str) -> MemberUpdate:
        return self._table.by_name[name].to_update(MemberState.LEAVING)

    def _mark_named(self) -> None:
        self._table.named_only(self._configured | set(self._listed_by_name))
