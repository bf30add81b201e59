"""Decoding of input that other programs write."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

MAX_REASON_CHARACTERS = 200

T = TypeVar("T")


def decode(
    decoder: msgspec.json.Decoder[T] | msgspec.msgpack.Decoder[T], data: bytes
) -> Result[T, str]:
    """Decode input that another program wrote.

    Any failure is an error of the input: a decoder does not promise which exceptions it raises.
    Deep nesting, for example, raises :class:`RecursionError`, not :class:`msgspec.MsgspecError`.

    :returns: the decoded value, or the reason why there is none, as by :func:`shorten`.
    """
    try:
        return Ok(decoder.decode(data))
    except Exception as error:
        return Err(shorten(str(error) or type(error).__name__))


def shorten(text: str) -> str:
    """Return a text that may quote odd input as one printable line of bounded length for the log.

    Characters that are not printable are escaped as in a string literal.
    """
    if len(text) > MAX_REASON_CHARACTERS:
        text = text[: MAX_REASON_CHARACTERS - 3] + "..."
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else ascii(character)[1:-1] for character in text
    )
