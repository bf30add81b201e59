"""Polls the hosts to see whether a revision of the configuration is in force."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import anyio
import httpx

REQUEST_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStatus:
    """Progress of the rollout of a revision.

    :param in_force: hosts on which it is in force.
    :param reason_by_host: for each other host, why it is not.
    """

    in_force: list[str] = field(default_factory=list)
    reason_by_host: dict[str, str] = field(default_factory=dict)


async def wait_for_revision(
    url_by_host: Mapping[str, str],
    *,
    revision: int,
    key: str,
    rounds: int,
    transport: httpx.AsyncBaseTransport | None = None,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> RolloutStatus:
    """Poll the hosts until the revision, or a later one, is in force on all of them.

    :param key: key of an operator.
    :param rounds: maximum number of times that each host is polled.
    :param on_progress: called with the number of hosts on which it is in force and of all hosts.
    """
    missing = dict(url_by_host)
    reasons: dict[str, str] = {}
    async with httpx.AsyncClient(
        timeout=REQUEST_TIMEOUT_S, transport=transport, trust_env=False
    ) as client:
        for number in range(rounds):
            if number:
                await sleep(POLL_INTERVAL_S)
            reasons = await _check_hosts(client, missing, revision, key)
            missing = {host: missing[host] for host in reasons}
            on_progress(len(url_by_host) - len(missing), len(url_by_host))
            if not missing:
                break
    done = [host for host in url_by_host if host not in missing]
    return RolloutStatus(in_force=done, reason_by_host=reasons)


async def _check_hosts(
    client: httpx.AsyncClient, url_by_host: Mapping[str, str], revision: int, key: str
) -> dict[str, str]:
    reasons: dict[str, str] = {}

    async def ask(host: str, url: str) -> None:
        reason = await _check_host(client, url, revision, key)
        if reason:
            reasons[host] = reason

    async with anyio.create_task_group() as group:
        for host, url in url_by_host.items():
            group.start_soon(ask, host, url)
    return {host: reasons[host] for host in url_by_host if host in reasons}


async def _check_host(client: httpx.AsyncClient, url: str, revision: int, key: str) -> str:
    """Return why the revision is not in force on a host, or an empty string if it is."""
    try:
        response = await client.get(
            f"{url}/v1/state/config", headers={"Authorization": f"Bearer {key}"}
        )
    except httpx.HTTPError as error:
        return f"no answer: {type(error).__name__}"
    if response.status_code in (401, 403):
        return f"status {response.status_code}: the key is not that of an operator there"
    if response.status_code != 200:
        return f"status {response.status_code}"
    found = find_revision(response)
    if found is None:
        return "its state dump names no revision"
    return "" if found >= revision else f"revision {found} is in force"


def find_revision(response: httpx.Response) -> int | None:
    """Return the revision in a state dump of the configuration table, or None if there is none."""
    try:
        content = response.json()
        revision = content.get("config", content).get("revision")
    except (ValueError, AttributeError):
        return None
    return revision if isinstance(revision, int) else None
