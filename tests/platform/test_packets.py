"""Tests of the platform's packet format."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import format_flow
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.packets import decode_from_upstream
from siskinshift.platform.packets import encode_reset


OPENING = bytes.fromhex(
    "04000000 9c41c612 00016440 000701bb a1b2c3d5 11223344 00000000 00000000"
)
RESET_PACKET = bytes.fromhex(
    "20000000 01bb6440 0007c612 00019c41 00000000 00000000 00000000 00000000"
)


def test_the_specified_opening_packet_is_decoded() -> None:
    segment = decode_from_caller(OPENING)

    assert segment is not None
    assert format_flow(segment.flow) == "100.64.0.7:40001>198.18.0.1:443"
    assert segment.flags == SYN
    assert segment.seq == 0x11223344
    assert segment.ack == 0
    assert segment.length == 0


def test_an_encoded_reset_is_the_specified_packet() -> None:
    segment = decode_from_caller(OPENING)
    assert segment is not None

    assert encode_reset(segment.flow, seq=0) == RESET_PACKET


def test_both_directions_have_one_flow() -> None:
    forward = decode_from_caller(OPENING)
    backward = decode_from_upstream(RESET_PACKET)

    assert forward is not None
    assert backward is not None
    assert forward.flow == backward.flow
    assert backward.flags == RESET


def test_a_bounced_packet_keeps_its_direction_and_is_restored() -> None:
    bounced = bytes((OPENING[0] | 16,)) + OPENING[1:]
    segment = decode_from_upstream(bounced)

    assert segment is not None
    assert segment.flags == SYN | BOUNCED
    assert segment.datagram == OPENING
    original = decode_from_caller(OPENING)
    assert original is not None
    assert segment.flow == original.flow


@given(strategies.binary(max_size=1300))
def test_any_bytes_give_a_packet_or_nothing(datagram: bytes) -> None:
    for decode in (decode_from_caller, decode_from_upstream):
        segment = decode(datagram)
        assert segment is None or isinstance(segment, Segment)


@given(strategies.binary(max_size=1200), strategies.integers(0, 255))
def test_a_wrong_length_field_is_refused(data: bytes, flags: int) -> None:
    header = bytes((flags, 0)) + len(data).to_bytes(2, "big") + OPENING[4:]

    whole = decode_from_caller(header + data)
    assert whole is not None
    assert whole.length == len(data)
    assert decode_from_caller(header + data + b"x") is None
