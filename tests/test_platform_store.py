"""The mirror of a prefix of the store: what it reads, and when."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

import anyio
import pytest

from eelgrassyard.platform._host import PlatformHost
from eelgrassyard.platform._items import Item, Page
from eelgrassyard.platform._store import STALE_AFTER_S, Mirror, MirrorMode, Reread, Watch
from eelgrassyard.platform._store_follower import REGISTRY_PAUSE_S, registry_pause_s
from eelgrassyard.standins import reserve_ports
from test_platform_host import Site, run_scenario


class CountingStore:
    """Answers reads and watches at once, and lists them in order."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    async def read_prefix(self, prefix: str, *, max_characters: int) -> Page:
        """Read all items under a prefix."""
        self.calls.append("read")
        return Page(items=[Item(key=f"{prefix}a", revision=1)], revision=1)

    async def watch(self, prefix: str, after: int, wait_s: float, *, max_characters: int) -> Page:
        """Read the changes under a prefix."""
        self.calls.append("watch")
        await anyio.sleep(0.01)
        return Page(items=[], revision=after)


def mirror_for(
    seconds: float,
    mode: Callable[[], MirrorMode],
    *,
    during: Callable[[Mirror], None] | None = None,
) -> list[str]:
    """Run a mirror for some seconds and return its calls; ``during`` is called half way."""
    store = CountingStore()

    async def main() -> None:
        mirror = Mirror(
            store=store,  # type: ignore[arg-type]
            prefix="servers/",
            now=anyio.current_time,
            on_change=lambda items, revision: None,
            on_availability=lambda up, reason: None,
            on_odd_item=lambda key, reason: None,
            mode=mode,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(mirror.run)
            await anyio.sleep(seconds / 2)
            if during is not None:
                during(mirror)
            await anyio.sleep(seconds / 2)
            group.cancel_scope.cancel()

    anyio.run(main)
    return store.calls


def test_a_mirror_that_rereads_asks_for_no_changes() -> None:
    """Guards against bytes that nobody needs: a follower read each change of each worker's entry,
    which filled its link of 2 Mbit/s for 0.37 s in every 4.3 s. No answer to a ping came through,
    and all hosts of the domain took their leader for lost."""
    calls = mirror_for(1.2, lambda: Reread(interval_s=0.4))
    assert set(calls) == {"read"}
    assert 3 <= len(calls) <= 6


def test_a_mirror_that_begins_to_watch_after_a_long_pause_reads_all_items_first() -> None:
    """Guards against a new leader that asks for all changes since its last read; they are several
    times as large as the items, and nothing starts until they have arrived."""
    modes: list[MirrorMode] = [Reread(interval_s=60.0)]

    def lead(mirror: Mirror) -> None:
        modes[0] = Watch(pause_s=0.2)
        mirror.wake()

    calls = mirror_for(2.2 * STALE_AFTER_S, lambda: modes[0], during=lead)
    # The watch follows the first read at once if that is recent, so the wait is longer than that.
    assert calls[:3] == ["read", "read", "watch"]


def test_a_mirror_that_watches_without_a_pause_reads_all_items_once() -> None:
    """Guards against reading everything again where a long poll waits for rare changes."""
    calls = mirror_for(1.0, lambda: Watch(wait_s=0.01))
    assert calls[0] == "read"
    assert set(calls[1:]) == {"watch"}


@pytest.mark.parametrize(
    ("workers", "link_bytes_per_s", "least_s", "most_s"),
    [
        (81, 250_000.0, 0.2, 0.25),
        (270, 250_000.0, 0.2, 0.2),
        (176, 7_750_000.0, REGISTRY_PAUSE_S, REGISTRY_PAUSE_S),
        (0, 250_000.0, REGISTRY_PAUSE_S, REGISTRY_PAUSE_S),
        (540, math.inf, REGISTRY_PAUSE_S, REGISTRY_PAUSE_S),
    ],
)
def test_a_leader_reads_the_worker_entries_in_parts_that_fit_its_link(
    workers: int, link_bytes_per_s: float, least_s: float, most_s: float
) -> None:
    """Guards against answers of workers that wait 0.09 s in each 0.9 s behind the changed entries
    on a link of 2 Mbit/s, and against calls to the store that a wide link does not need."""
    pause_s = registry_pause_s(workers=workers, link_bytes_per_s=link_bytes_per_s)
    assert least_s <= pause_s <= most_s


def test_a_follower_does_not_watch_the_worker_entries() -> None:
    """Guards against the same as the first test, on whole hosts of one domain."""
    watched: dict[str, list[str]] = {"front-1": [], "front-2": []}

    def record_watches(name: str, host: PlatformHost) -> None:
        watch = host._store.watch

        async def recorded(prefix: str, after: int, wait_s: float, *, max_characters: int) -> Page:
            watched[name].append(prefix)
            return await watch(prefix, after, wait_s, max_characters=max_characters)

        host._store.watch = recorded  # type: ignore[method-assign]

    async def scenario(site: Site) -> None:
        record_watches("front-1", site.host)
        first, second, third = (f"127.0.0.1:{port}" for port in reserve_ports(3))
        settings = dataclasses.replace(
            site.settings,
            name="front-2",
            weight=0.5,
            front_address=first,
            ready_address=second,
            peer_address=third,
            peer_bind_address=third,
        )
        follower = PlatformHost(settings=settings, path="/nonexistent")
        record_watches("front-2", follower)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(2.5)
            assert site.host._core.pool is not None
            assert follower._core.pool is None
            group.cancel_scope.cancel()

    run_scenario(scenario)
    assert "servers/" in watched["front-1"]
    assert "servers/" not in watched["front-2"]
    assert "op/" in watched["front-2"]
