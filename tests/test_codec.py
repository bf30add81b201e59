"""Tests of the codec for peer messages."""

from __future__ import annotations

import dataclasses
import enum
import random
import struct
import types
import typing

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eelgrassyard.daemon import _codec
from eelgrassyard.daemon._codec import Envelope, FrameFault, decode_envelope, encode_envelope
from eelgrassyard.policy import ConfigDocument, Ping, Reason, SlotWithdraw

BOUNDED = settings(derandomize=True, deadline=None, max_examples=20, database=None)

WIDTH_BY_FIELD = {
    "port": 16,
    "counter": 32,
    "memory_mb": 32,
    "accelerators": 32,
    "index": 32,
    "attempt": 32,
}


def values_of(hint: typing.Any, name: str = "") -> st.SearchStrategy[typing.Any]:
    """Strategy for the values of a message field, derived from its annotation."""
    if typing.get_origin(hint) is tuple:
        return st.lists(values_of(typing.get_args(hint)[0]), max_size=3).map(tuple)
    if isinstance(hint, types.UnionType):
        return st.none() | values_of(typing.get_args(hint)[0])
    if dataclasses.is_dataclass(hint):
        return messages_of(typing.cast(type, hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return st.sampled_from(list(hint))
    if hint is bool:
        return st.booleans()
    if hint is int:
        return st.integers(0, 2 ** WIDTH_BY_FIELD.get(name, 64) - 1)
    if hint is float:
        return st.floats(allow_nan=False)
    if hint is bytes:
        return st.binary(max_size=40)
    assert hint is str
    return st.text(max_size=20)


def messages_of(cls: type) -> st.SearchStrategy[typing.Any]:
    hints = typing.get_type_hints(cls)
    return st.builds(
        cls,
        **{
            field.name: values_of(hints[field.name], field.name)
            for field in dataclasses.fields(cls)
        },
    )


def envelope_with(*messages: typing.Any) -> Envelope:
    return Envelope(sender="patan-1", incarnation=7, messages=messages)


@pytest.mark.parametrize("cls", _codec.MESSAGE_TYPES, ids=lambda cls: cls.__name__)
def test_every_message_round_trips(cls):
    """Guards against a field that the schema lacks or that is converted incorrectly."""

    @BOUNDED
    @given(messages_of(cls))
    def check(message):
        envelope = envelope_with(message)
        assert decode_envelope(encode_envelope(envelope)).ok() == envelope

    check()


def test_order_within_a_batch_is_kept():
    """Guards against a reordered batch; a SlotHeld must reach a scheduler before a SlotAsk."""
    messages = [SlotWithdraw(submission_id=str(number), pool="p") for number in range(50)]
    envelope = envelope_with(*messages, Ping(sequence=1, revision=2))
    assert decode_envelope(encode_envelope(envelope)).ok() == envelope


@pytest.mark.parametrize(
    "name", ["MemberState", "Operation", "Urgency", "StartResult", "OutcomeKind", "Reason"]
)
def test_schema_and_enum_have_the_same_members(name):
    """Guards against an enumerant added only to the schema or the enum, which shifts the others."""
    from eelgrassyard import policy

    cls = getattr(policy, name)
    enumerants = getattr(_codec._SCHEMA, name).schema.enumerants
    in_schema = sorted(enumerants, key=enumerants.get)
    assert in_schema == [_codec._camel_case(member.name.lower()) for member in cls]


@BOUNDED
@given(st.binary(max_size=200))
def test_random_bytes_are_refused_without_an_exception(frame):
    """Guards against a crash of the daemon on arbitrary bytes from the network."""
    decoded = decode_envelope(frame)
    assert decoded.is_ok() or decoded.err().fault in set(FrameFault)


def test_truncated_and_flipped_frames_never_raise():
    """Guards against exceptions from damaged frames, which must give an error result."""
    document = ConfigDocument(revision=3, document=bytes(range(256)))
    frame = encode_envelope(envelope_with(Ping(sequence=1, revision=2), document))
    rng = random.Random(5)
    for cut in range(len(frame)):
        decode_envelope(frame[:cut])
    for _ in range(2_000):
        damaged = bytearray(frame)
        damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
        decode_envelope(bytes(damaged))


def test_unknown_version_is_refused():
    """Guards against decoding a later protocol version as the current one."""
    builder = _codec._SCHEMA.Envelope.new_message(version=99, sender="x", incarnation=1)
    assert decode_envelope(builder.to_bytes_packed()).err().fault is FrameFault.VERSION


def test_unknown_enumerant_is_refused():
    """Guards against a silent default for an unknown enumerant, here of Reason."""
    builder = _codec._SCHEMA.Envelope.new_message(version=1, sender="x", incarnation=1)
    refusal = builder.init("messages", 1)[0].init("slotRefusal")
    refusal.reason = len(Reason) + 5
    assert decode_envelope(builder.to_bytes_packed()).err().fault is FrameFault.MALFORMED


def test_small_frame_cannot_expand_to_gigabytes():
    """Guards against memory exhaustion by runs of zeros, which are packed 1,000 to 1."""
    words = 100_000_000
    segment_table = struct.pack("<II", 0, words)
    packed_table = bytes([0xFF]) + segment_table + bytes([0])
    frame = packed_table + bytes([0x00, 0xFF]) * (words // 256)
    assert decode_envelope(frame).err().fault is FrameFault.MALFORMED


def test_oversized_frame_is_refused():
    """Guards against decoding frames above the size limit."""
    assert decode_envelope(bytes(_codec.MAX_FRAME_BYTES + 1)).err().fault is FrameFault.OVERSIZED
