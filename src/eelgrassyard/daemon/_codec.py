"""Codec of peer messages in packed Cap'n Proto.

Encoders and decoders are derived from the annotations of the data classes at import. The schema
``peer.capnp`` is loaded at run time; its field names are those of the data classes in camel case.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import pathlib
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import capnp
import result

from ..policy import PeerMessage

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4_000_000
"""Size limit of a packed envelope."""

MAX_UNPACKED_WORDS = 4_000_000
"""Limit of 8-byte words in an unpacked envelope and read from it. Packing shrinks runs of zeros by
up to 1,000 times, so a small frame could otherwise expand to gigabytes."""

MAX_NESTING = 16
"""Limit of the depth of nested structs and lists in an envelope."""

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

Encoder = Callable[[Any, Any], None]
Decoder = Callable[[Any], Any]


@dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """A batch of messages from one host to another.

    :param incarnation: incarnation of the sender.
    """

    sender: str
    incarnation: int
    messages: tuple[PeerMessage, ...]


class FrameFault(enum.StrEnum):
    """Why a frame was refused; the value is part of a metric name."""

    MALFORMED = "malformed"
    VERSION = "version"
    OVERSIZED = "oversized"
    TRUNCATED = "truncated"


@dataclass(frozen=True, slots=True, kw_only=True)
class FrameError:
    """An invalid frame; its connection is closed."""

    fault: FrameFault
    message: str


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope.

    :raises ValueError: if a field is out of range for the schema.
    """
    return encode_messages(envelope.sender, envelope.incarnation, envelope.messages)


def encode_messages(sender: str, incarnation: int, messages: typing.Sequence[PeerMessage]) -> bytes:
    """Encode messages as an envelope, like :func:`encode_envelope` without the data class."""
    builder = _SCHEMA.Envelope.new_message()
    builder.version = PROTOCOL_VERSION
    builder.sender = sender
    builder.incarnation = incarnation
    items = builder.init("messages", len(messages))
    try:
        for position, message in enumerate(messages):
            name, encode = _ENCODER_BY_TYPE[type(message)]
            encode(items[position].init(name), message)
    except capnp.KjException as error:
        raise ValueError(f"cannot encode {type(message).__name__}: {error}") from error
    return bytes(builder.to_bytes_packed())


def decode_envelope(frame: bytes) -> result.Result[Envelope, FrameError]:
    """Decode an envelope; invalid input gives an error result, not an exception."""
    if len(frame) > MAX_FRAME_BYTES:
        return _frame_error(
            FrameFault.OVERSIZED,
            f"{len(frame)} bytes exceed the limit of {MAX_FRAME_BYTES}",
        )
    try:
        reader = _SCHEMA.Envelope.from_bytes_packed(
            frame, traversal_limit_in_words=MAX_UNPACKED_WORDS, nesting_limit=MAX_NESTING
        )
        version = reader.version
        if version != PROTOCOL_VERSION:
            return _frame_error(
                FrameFault.VERSION,
                f"protocol version {version}, expected {PROTOCOL_VERSION}",
            )
        envelope = Envelope(
            sender=reader.sender,
            incarnation=reader.incarnation,
            messages=tuple(_decode_message(item) for item in reader.messages),
        )
    except (capnp.KjException, ValueError, KeyError) as error:
        return _frame_error(FrameFault.MALFORMED, str(error).splitlines()[0] if str(error) else "?")
    if not envelope.sender:
        return _frame_error(FrameFault.MALFORMED, "envelope has no sender")
    return result.Ok(envelope)


def _frame_error(fault: FrameFault, message: str) -> result.Err[FrameError]:
    return result.Err(FrameError(fault=fault, message=message))


def _decode_message(item: Any) -> PeerMessage:
    name = item.which()
    name = name if isinstance(name, str) else str(name)
    message: PeerMessage = _DECODER_BY_NAME[name](getattr(item, name))
    return message


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _identity(value: Any) -> Any:
    return value


def _required_number(value: float) -> float:
    if math.isnan(value):
        raise ValueError("required number is missing")
    return value


def _optional_number(value: float) -> float | None:
    return None if math.isnan(value) else value


def _list_encoder(field: str, item: Any) -> Encoder:
    if dataclasses.is_dataclass(item):
        encode = _struct_encoder(typing.cast(type, item))

        def encode_structs(builder: Any, values: Any) -> None:
            if values:
                items = builder.init(field, len(values))
                for position, value in enumerate(values):
                    encode(items[position], value)

        return encode_structs

    def encode_plain(builder: Any, values: Any) -> None:
        if values:
            setattr(builder, field, list(values))

    return encode_plain


def _field_encoder(field: str, hint: Any) -> Encoder:
    if typing.get_origin(hint) is tuple:
        return _list_encoder(field, typing.get_args(hint)[0])
    if isinstance(hint, types.UnionType):
        inner = _field_encoder(field, typing.get_args(hint)[0])

        def encode_optional(builder: Any, value: Any) -> None:
            if value is not None:
                inner(builder, value)

        return encode_optional
    if dataclasses.is_dataclass(hint):
        encode = _struct_encoder(typing.cast(type, hint))
        return lambda builder, value: encode(builder.init(field), value)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        position_by_value = {member: position for position, member in enumerate(hint)}
        return lambda builder, value: setattr(builder, field, position_by_value[value])
    return lambda builder, value: setattr(builder, field, value)


def _field_decoder(field: str, hint: Any) -> Decoder:
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        decode = (
            _struct_decoder(typing.cast(type, item))
            if dataclasses.is_dataclass(item)
            else _identity
        )
        return lambda reader: tuple([decode(value) for value in getattr(reader, field)])
    if isinstance(hint, types.UnionType):
        inner = typing.get_args(hint)[0]
        if inner is float:
            return lambda reader: _optional_number(getattr(reader, field))
        present = _field_decoder(field, inner)
        return lambda reader: present(reader) if reader._has(field) else None
    if dataclasses.is_dataclass(hint):
        decode_struct = _struct_decoder(typing.cast(type, hint))
        return lambda reader: decode_struct(getattr(reader, field))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        members = tuple(hint)

        def decode_enum(reader: Any) -> Any:
            raw = getattr(reader, field).raw
            if raw >= len(members):
                raise ValueError(f"{field} has the unknown enumerant {raw}")
            return members[raw]

        return decode_enum
    if hint is float:
        return lambda reader: _required_number(getattr(reader, field))
    return lambda reader: getattr(reader, field)


def _struct_encoder(cls: type) -> Encoder:
    hints = typing.get_type_hints(cls)
    fields = [
        (field.name, _field_encoder(_camel_case(field.name), hints[field.name]))
        for field in dataclasses.fields(cls)
    ]

    def encode(builder: Any, value: Any) -> None:
        for name, encode_field in fields:
            encode_field(builder, getattr(value, name))

    return encode


def _struct_decoder(cls: type) -> Decoder:
    hints = typing.get_type_hints(cls)
    fields = [
        (field.name, _field_decoder(_camel_case(field.name), hints[field.name]))
        for field in dataclasses.fields(cls)
    ]

    def decode(reader: Any) -> Any:
        return cls(**{name: decode_field(reader) for name, decode_field in fields})

    return decode


MESSAGE_TYPES: tuple[type, ...] = typing.get_args(PeerMessage)


def _union_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


_ENCODER_BY_TYPE = {cls: (_union_name(cls), _struct_encoder(cls)) for cls in MESSAGE_TYPES}
_DECODER_BY_NAME = {_union_name(cls): _struct_decoder(cls) for cls in MESSAGE_TYPES}
