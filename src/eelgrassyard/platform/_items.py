"""Items of the platform's store, and the pages of them that its answers hold."""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from .._decoding import decode, shorten

MAX_ID = 2**63 - 1
"""Largest revision or id of a lease."""

MAX_ENTRY_CHARACTERS = 65_536
"""Longest value that is kept of an entry of a worker or host, in base64; they have some hundred
bytes. Another writer may leave hundreds of values of a megabyte."""

MAX_CONFIG_CHARACTERS = 6_000_000
"""Longest value that is kept of the operator's keys, in base64."""

_Id = Annotated[int, Meta(ge=0, le=MAX_ID)]


class Item(msgspec.Struct, kw_only=True):
    """A key of the store with its value, or the deletion of a key.

    :param revision: revision of the store at which the key was written or deleted.
    :param value: value in standard base64; empty if it can't be read or is too long.
    :param lease: lease that the key is bound to, or 0.
    """

    key: str
    revision: _Id = 0
    value: str = ""
    lease: _Id = 0
    deleted: bool = False

    def content(self) -> bytes:
        """The decoded value; empty if it is not valid base64."""
        try:
            return base64.b64decode(self.value, validate=True)
        except (binascii.Error, ValueError):
            return b""


class _Key(msgspec.Struct):
    key: str


class _Answer(msgspec.Struct):
    current_rev: _Id
    items: list[Item] = []
    events: list[Item] = []
    truncated: bool = False


class _RawAnswer(msgspec.Struct):
    current_rev: _Id
    items: list[msgspec.Raw] = []
    events: list[msgspec.Raw] = []
    truncated: bool = False


_answer_decoder = msgspec.json.Decoder(_Answer)
_raw_answer_decoder = msgspec.json.Decoder(_RawAnswer)
_item_decoder = msgspec.json.Decoder(Item)
_key_decoder = msgspec.json.Decoder(_Key)


@dataclass(slots=True, kw_only=True)
class Page:
    """Items or changes of one answer.

    :param items: items in the order of the answer. An item that can't be read has no value.
    :param revision: the store's revision.
    :param truncated: whether further items follow.
    :param reason_by_key: reasons why items can't be read.
    :param nameless: items of which not even the key can be read.
    """

    items: list[Item]
    revision: int
    truncated: bool = False
    reason_by_key: dict[str, str] = field(default_factory=dict)
    nameless: int = 0


def decode_page(body: bytes, *, prefix: str, max_characters: int) -> Result[Page, str]:
    """Decode the answer to a read or a watch; the error is the reason if it is invalid.

    :param prefix: prefix that all keys must have.
    :param max_characters: longest value that is kept.
    """
    result = decode(_answer_decoder, body)
    if result.is_ok():
        answer = result.unwrap()
        page = Page(items=[], revision=answer.current_rev, truncated=answer.truncated)
        for item in answer.items or answer.events:
            _add_item(page, item, prefix, max_characters)
        return Ok(page)
    # An item that can't be decoded must not hide the others.
    raw_result = decode(_raw_answer_decoder, body)
    if raw_result.is_err():
        return Err(raw_result.unwrap_err())
    raw_answer = raw_result.unwrap()
    page = Page(items=[], revision=raw_answer.current_rev, truncated=raw_answer.truncated)
    for raw in raw_answer.items or raw_answer.events:
        _add_raw_item(page, bytes(raw), prefix, max_characters)
    return Ok(page)


def _add_raw_item(page: Page, raw: bytes, prefix: str, max_characters: int) -> None:
    result = decode(_item_decoder, raw)
    if result.is_ok():
        _add_item(page, result.unwrap(), prefix, max_characters)
        return
    key = decode(_key_decoder, raw)
    if key.is_err():
        page.nameless += 1
        return
    item = Item(key=key.unwrap().key)
    page.reason_by_key[item.key] = result.unwrap_err()
    _add_item(page, item, prefix, max_characters)


def _add_item(page: Page, item: Item, prefix: str, max_characters: int) -> None:
    if not item.key.startswith(prefix):
        page.reason_by_key[item.key] = shorten(f"the key doesn't begin with {prefix}")
        return
    if len(item.value) > max_characters:
        page.reason_by_key[item.key] = f"the value has {len(item.value)} characters"
        item.value = ""
    page.items.append(item)
