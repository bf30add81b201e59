"""Addresses of hosts and upstreams by name."""

from __future__ import annotations

from ..policy import HostListRead, MemberUpdate, PeerMessage, Ping, PingReply, SiteConfig

Address = tuple[str, int]


class AddressBook:
    """Addresses of hosts and base URLs of upstreams.

    The address that a host announces in its newest incarnation takes precedence over the host list,
    which lags, and the host list over the configuration. A changed entry in the host list means
    that the host was replaced; the announced address is then discarded.
    """

    def __init__(self) -> None:
        self._announced_by_host: dict[str, tuple[int, Address]] = {}
        self._listed_by_host: dict[str, Address] = {}
        self._configured_by_host: dict[str, Address] = {}
        self._listed_url_by_upstream: dict[str, str] = {}
        self._configured_url_by_upstream: dict[str, str] = {}

    def host(self, name: str) -> Address | None:
        """Address and port of a host, or None if it is not known."""
        if name in self._announced_by_host:
            return self._announced_by_host[name][1]
        return self._listed_by_host.get(name) or self._configured_by_host.get(name)

    def upstream_url(self, name: str) -> str | None:
        """Base URL of an upstream, or None if it is not known."""
        return self._listed_url_by_upstream.get(name) or self._configured_url_by_upstream.get(name)

    def update_from_config(self, config: SiteConfig) -> None:
        """Replace the configured addresses."""
        self._configured_by_host = {
            entry.name: (entry.address, entry.port) for entry in config.hosts_by_name.values()
        }
        self._configured_url_by_upstream = {
            entry.name: entry.url for entry in config.upstreams_by_name.values()
        }

    def update_from_host_list(self, listed: HostListRead) -> None:
        """Update the listed addresses and replace the listed URLs of upstreams."""
        for item in listed.hosts:
            address = (item.host.address, item.host.port)
            if self._listed_by_host.get(item.host.name, address) != address:
                self._announced_by_host.pop(item.host.name, None)
            self._listed_by_host[item.host.name] = address
        self._listed_url_by_upstream = {
            item.upstream.name: item.upstream.url for item in listed.upstreams
        }

    def update_from_message(self, message: PeerMessage) -> None:
        """Apply the addresses in the membership updates of a ping or a ping reply."""
        if isinstance(message, Ping | PingReply):
            for update in message.updates:
                self._apply_update(update)

    def _apply_update(self, update: MemberUpdate) -> None:
        known = self._announced_by_host.get(update.name)
        if update.port and (known is None or update.incarnation >= known[0]):
            address = (update.address, update.port)
            self._announced_by_host[update.name] = (update.incarnation, address)
