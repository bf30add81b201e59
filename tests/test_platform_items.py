"""Tests of the items that the store's answers hold, and of a mirror that reads odd ones."""

from __future__ import annotations

import json
from collections.abc import Callable

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassyard.net import Exchange, HttpServer
from eelgrassyard.net._http_client import MAX_RESPONSE_BYTES
from eelgrassyard.platform._items import MAX_ENTRY_CHARACTERS, Page, decode_page
from eelgrassyard.platform._store import Mirror, StoreClient, StoreError
from eelgrassyard.standins import reserve_ports
from odd_values import ODD_ITEMS

PREFIX = "servers/"
GOOD = {"key": "servers/good", "value": "eA==", "revision": 3, "lease": 0}


def page_of(*items: object, revision: object = 9, name: str = "items", **fields: object) -> bytes:
    """Return an answer to a read, or to a watch if the name is "events"."""
    return json.dumps({name: items, "current_rev": revision, **fields}).encode()


def read(body: bytes) -> Page:
    """Decode an answer that is valid as a whole."""
    return decode_page(body, prefix=PREFIX, max_characters=MAX_ENTRY_CHARACTERS).unwrap()


@pytest.mark.parametrize("name", ["items", "events"])
@pytest.mark.parametrize("fields", ODD_ITEMS)
def test_an_item_that_cannot_be_read_hides_no_other(fields: dict[str, object], name: str) -> None:
    """Guards against a page that is refused as a whole for one item."""
    page = read(page_of({"key": "servers/odd", **fields}, GOOD, name=name))
    assert [(item.key, item.content()) for item in page.items] == [
        ("servers/odd", b""),
        ("servers/good", b"x"),
    ]
    assert list(page.reason_by_key) == ["servers/odd"]
    assert page.revision == 9


@pytest.mark.parametrize("item", [7, None, [], {"key": 5}, {"value": "eA=="}])
def test_an_item_without_a_key_is_counted(item: object) -> None:
    """Guards against a page that is refused as a whole for an item whose key can't be read."""
    page = read(page_of(item, GOOD))
    assert [item.key for item in page.items] == ["servers/good"]
    assert page.nameless == 1


def test_an_item_of_another_prefix_is_ignored() -> None:
    """Guards against an entry under a key that a host can't tell from a worker's."""
    page = read(page_of({**GOOD, "key": "other/good"}, GOOD))
    assert [item.key for item in page.items] == ["servers/good"]
    assert list(page.reason_by_key) == ["other/good"]


@pytest.mark.parametrize("revision", [-1, 2**63, 10**400, "9", None])
def test_an_odd_revision_of_an_answer_is_an_error(revision: object) -> None:
    """Guards against a revision that can't be sent in the next call."""
    body = page_of(GOOD, revision=revision)
    assert decode_page(body, prefix=PREFIX, max_characters=10).is_err()


@given(data=st.binary(max_size=80) | st.binary(max_size=80).map(lambda data: page_of(repr(data))))
def test_any_answer_is_read_or_refused(data: bytes) -> None:
    """Guards against an answer that ends the task that reads it."""
    decode_page(data, prefix=PREFIX, max_characters=10)


def call_store(answer: Callable[[Exchange], None], act: Callable[[StoreClient], object]) -> None:
    """Run an action with a client of a store that answers with a function."""

    async def main() -> None:
        address = f"127.0.0.1:{reserve_ports(1)[0]}"
        server = HttpServer(handler=answer)
        await server.listen(address)
        try:
            await act(StoreClient(address=address))  # type: ignore[misc]
        finally:
            server.close()

    anyio.run(main)


def test_pages_that_never_end_are_an_error() -> None:
    """Guards against a read that asks for the same page for good."""

    async def act(store: StoreClient) -> None:
        with pytest.raises(StoreError, match="no key to go on from"):
            await store.read_prefix(PREFIX, max_characters=10)

    call_store(lambda exchange: exchange.respond(200, page_of(GOOD, truncated=True)), act)


def follow(answers: list[bytes]) -> tuple[list[bytes], list[str], list[str]]:
    """Run a mirror on answers in turn, until the entry "good" has changed.

    :returns: contents of that entry, last parts of the paths called, and keys of odd items.
    """
    contents: list[bytes] = []
    paths: list[str] = []
    odd: list[str] = []

    def answer(exchange: Exchange) -> None:
        paths.append(exchange.request.path.rpartition("-")[2])
        if answers:
            exchange.respond(200, answers.pop(0))

    async def act(store: StoreClient) -> None:
        changed = anyio.Event()

        def on_change(items: object, revision: int) -> None:
            assert isinstance(items, dict)
            contents.append(items["servers/good"].content())
            if len(contents) == 2:
                changed.set()

        mirror = Mirror(
            store=store,
            prefix=PREFIX,
            now=anyio.current_time,
            on_change=on_change,
            on_availability=lambda up, reason: None,
            on_odd_item=lambda key, reason: odd.append(key),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(mirror.run)
            with anyio.fail_after(10.0):
                await changed.wait()
            group.cancel_scope.cancel()

    call_store(answer, act)
    return contents, paths, odd


def test_a_change_without_a_key_is_followed_by_a_read_of_all_items() -> None:
    """Guards against a copy that misses a change since its key can't be read."""
    contents, paths, odd = follow(
        [
            page_of(GOOD, revision=3),
            page_of({"key": 7, "revision": 4}, revision=4, name="events"),
            page_of({**GOOD, "value": "eQ=="}, revision=4),
        ]
    )
    assert contents == [b"x", b"y"]
    assert paths[:3] == ["range", "watch", "range"]
    assert odd == [""]


def test_changes_that_do_not_fit_into_an_answer_are_followed_by_a_read_of_all_items() -> None:
    """Guards against a host that follows a prefix no more: the changes of other writers since its
    revision were larger than the largest response that is read, and were asked for again."""
    long = {"key": "servers/odd", "value": "A" * MAX_RESPONSE_BYTES, "revision": 4}
    contents, paths, _ = follow(
        [
            page_of(GOOD, revision=3),
            page_of(long, revision=4, name="events"),
            page_of({**GOOD, "value": "eQ=="}, revision=4),
        ]
    )
    assert contents == [b"x", b"y"]
    assert paths[:3] == ["range", "watch", "range"]


@pytest.mark.parametrize(("path", "status"), [("watch", 200), ("watch", 410), ("range", 410)])
def test_answers_that_do_not_move_on_are_not_asked_for_without_a_pause(
    path: str, status: int
) -> None:
    """Guards against a host that spends its processor time and the store's rate limit on a store
    that has no history, or that repeats a change."""
    calls = 0

    def answer(exchange: Exchange) -> None:
        nonlocal calls
        calls += 1
        if not exchange.request.path.endswith(path):
            exchange.respond(200, page_of(GOOD, revision=3))
        elif status == 200:
            exchange.respond(200, page_of(GOOD, revision=3, name="events"))
        else:
            exchange.respond(status)

    async def act(store: StoreClient) -> None:
        mirror = Mirror(
            store=store,
            prefix=PREFIX,
            now=anyio.current_time,
            on_change=lambda items, revision: None,
            on_availability=lambda up, reason: None,
            on_odd_item=lambda key, reason: None,
        )
        with anyio.move_on_after(1.0):
            await mirror.run()

    call_store(answer, act)
    assert 0 < calls < 50


def test_long_values_are_not_kept() -> None:
    """Guards against memory that other writers fill: 250 values of a megabyte took 1,037 MB."""
    value = "A" * (MAX_ENTRY_CHARACTERS + 4)
    page = read(page_of({**GOOD, "key": "servers/odd", "value": value}, GOOD))
    assert [len(item.value) for item in page.items] == [0, 4]
    assert list(page.reason_by_key) == ["servers/odd"]
