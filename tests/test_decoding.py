"""Tests of the decoding of input that other programs write."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from eelgrassyard._decoding import MAX_REASON_CHARACTERS, decode, shorten
from eelgrassyard.dispatch._messages import ToServer
from eelgrassyard.platform import _caller_api, _documents, _items, _store, _worker_bodies

DECODER_BY_NAME = {
    "job": _caller_api._job_decoder,
    "configuration": _documents._config_decoder,
    "worker entry": _documents._server_decoder,
    "host entry": _documents._host_decoder,
    "items": _items._answer_decoder,
    "raw items": _items._raw_answer_decoder,
    "item": _items._item_decoder,
    "key": _items._key_decoder,
    "lease": _store._lease_decoder,
    "order answer": _worker_bodies.order_decoder,
    "poll answer": _worker_bodies.poll_decoder,
    "frame": msgspec.msgpack.Decoder(list[ToServer]),
}

NESTED_BY_NAME = {
    "json": b'{"note":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "json, unclosed": b"[" * 1_000_000,
    "json, objects": b'{"a":' * 100_000,
    # Arrays of one element, and maps whose key is an array.
    "msgpack": b"\x91" * 100_000 + b"\x00",
    "msgpack, maps": b"\x81" * 100_000,
}


class Custom:
    """A type that only a hook can decode."""


@pytest.mark.parametrize("nested", NESTED_BY_NAME.values(), ids=NESTED_BY_NAME)
@pytest.mark.parametrize("decoder", DECODER_BY_NAME.values(), ids=DECODER_BY_NAME)
def test_nested_input_is_an_error(decoder: msgspec.json.Decoder[object], nested: bytes) -> None:
    """Guards against a RecursionError, or an overflow of the stack, on deeply nested input."""
    assert decode(decoder, nested).is_err()


@given(data=st.binary(max_size=80))
def test_any_bytes_are_decoded_or_an_error(data: bytes) -> None:
    """Guards against bytes that no decoder's caller expects."""
    for decoder in DECODER_BY_NAME.values():
        decode(decoder, data)


@pytest.mark.parametrize(
    "error", [MemoryError(), OverflowError("x"), SystemError("x"), UnicodeError("x")]
)
def test_any_failure_of_a_decoder_is_an_error(error: Exception) -> None:
    """Guards against an error that isn't among those that the caller of a decoder handles."""

    def fail(_: type, __: object) -> Custom:
        raise error

    assert decode(msgspec.json.Decoder(Custom, dec_hook=fail), b"1").unwrap_err()


@given(text=st.text(max_size=400))
def test_a_reason_is_one_printable_line_of_bounded_length(text: str) -> None:
    """Guards against odd input that breaks or fills the log by being quoted in a reason."""
    line = shorten(text)
    assert line.isprintable()
    line.encode()
    assert len(line) <= MAX_REASON_CHARACTERS * len(r"\U0010ffff")
    if text.isprintable() and len(text) <= MAX_REASON_CHARACTERS:
        assert line == text
