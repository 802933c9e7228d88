"""Tests of the encoding of envelopes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinshift.core.keyring import KeyRing
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.messages.core import Endpoint
from siskinshift.settings.generated import KeysSettings
from siskinshift.settings.options import Secret
from siskinshift.wire.codec import EnvelopeCodec
from siskinshift.wire.exceptions import BadAuthenticatorError
from siskinshift.wire.exceptions import WireError


if TYPE_CHECKING:
    from collections.abc import Callable


KEYS = KeysSettings(current=Secret("a-key-of-sixteen"), previous=Secret(""))
PACKET = Packet(Endpoint("127.0.0.1", 40000), Endpoint("127.0.0.1", 443), b"payload")
ENVELOPE = Envelope(
    PACKET, hop_count=2, view_version=9, querier_id="a", may_create=True
)


def test_an_encoded_envelope_is_decoded_unchanged() -> None:
    codec = EnvelopeCodec(KeyRing(KEYS))

    assert codec.unpack_envelope(codec.pack_envelope(ENVELOPE)) == ENVELOPE


def test_the_previous_key_is_accepted_during_a_rotation() -> None:
    rotated = KeysSettings(current=Secret("b-key-of-sixteen"), previous=KEYS.current)
    datagram = EnvelopeCodec(KeyRing(KEYS)).pack_envelope(ENVELOPE)

    assert EnvelopeCodec(KeyRing(rotated)).unpack_envelope(datagram) == ENVELOPE


def test_a_removed_key_is_refused() -> None:
    other = KeysSettings(current=Secret("b-key-of-sixteen"), previous=Secret(""))
    datagram = EnvelopeCodec(KeyRing(KEYS)).pack_envelope(ENVELOPE)

    with pytest.raises(BadAuthenticatorError):
        EnvelopeCodec(KeyRing(other)).unpack_envelope(datagram)


@given(cut=st.integers(min_value=0, max_value=200))
def test_a_truncated_datagram_is_an_error_or_lacks_its_authenticator(cut: int) -> None:
    codec = EnvelopeCodec(KeyRing(KEYS))
    datagram = codec.pack_envelope(ENVELOPE)

    with pytest.raises(WireError):
        codec.unpack_envelope(datagram[: min(cut, len(datagram) - 1)])


@given(data=st.binary(max_size=200))
def test_any_bytes_give_an_error_of_a_known_kind(data: bytes) -> None:
    _assert_wire_error(EnvelopeCodec(KeyRing(KEYS)).unpack_envelope, data)


@given(position=st.integers(min_value=0), bit=st.integers(min_value=0, max_value=7))
def test_a_flipped_bit_never_passes(position: int, bit: int) -> None:
    """Guards against a packet that reaches another service than it was sent to.

    A damaged or forged header would name another service address; the agent there
    would take the packet. The authenticator covers addresses, fields and payload.
    """
    codec = EnvelopeCodec(KeyRing(KEYS))
    datagram = bytearray(codec.pack_envelope(ENVELOPE))
    datagram[position % len(datagram)] ^= 1 << bit

    try:
        envelope = codec.unpack_envelope(bytes(datagram))
    except WireError:
        return
    assert attrs.asdict(envelope) == attrs.asdict(ENVELOPE)


def _assert_wire_error(unpack: Callable[[bytes], Envelope], data: bytes) -> None:
    with pytest.raises(WireError):
        unpack(data)
