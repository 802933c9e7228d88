"""Compares the headers of the hot path with the library as reference."""

from __future__ import annotations

import ipaddress
import socket

from hypothesis import given
from hypothesis import strategies as st
from proxyprotocol.result import ProxyResultIPv4
from proxyprotocol.result import ProxyResultIPv6
from proxyprotocol.tlv import ProxyProtocolTLV
from proxyprotocol.v2 import ProxyProtocolV2

from siskinshift.core.keyring import KeyRing
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.messages.core import Endpoint
from siskinshift.settings.generated import KeysSettings
from siskinshift.settings.options import Secret
from siskinshift.wire.codec import AUTHENTICATOR_TLV
from siskinshift.wire.codec import ENVELOPE_TLV
from siskinshift.wire.codec import EnvelopeCodec
from siskinshift.wire.codec import PacketCodec
from siskinshift.wire.exceptions import WireError
from siskinshift.wire.header import header_size
from siskinshift.wire.reference import parse_addresses


KEYS = KeysSettings(current=Secret("a-key-of-sixteen"), previous=Secret(""))
LIBRARY = ProxyProtocolV2()
PORTS = st.integers(min_value=0, max_value=65535)
TLVS = st.dictionaries(
    st.integers(min_value=0xE0, max_value=0xEF), st.binary(max_size=20), max_size=3
)


def _packets_of(hosts: st.SearchStrategy[str]) -> st.SearchStrategy[Packet]:
    endpoints = st.builds(Endpoint, hosts, PORTS)
    return st.builds(Packet, endpoints, endpoints, st.binary(max_size=64))


PACKETS = _packets_of(st.ip_addresses(v=4).map(str)) | _packets_of(
    st.ip_addresses(v=6).map(str)
)


def _packed_by_library(packet: Packet, tlvs_by_type: dict[int, bytes]) -> bytes:
    source = ipaddress.ip_address(packet.caller.host)
    target = ipaddress.ip_address(packet.service_address.host)
    result_type = ProxyResultIPv4 if source.version == 4 else ProxyResultIPv6
    result = result_type(
        (source, packet.caller.port),
        (target, packet.service_address.port),
        protocol=socket.SOCK_DGRAM,
        tlv=ProxyProtocolTLV(init=tlvs_by_type),
    )
    return bytes(LIBRARY.pack(result)) + packet.payload


@given(packet=PACKETS)
def test_packets_are_packed_as_the_library_does(packet: Packet) -> None:
    assert PacketCodec().pack(packet) == _packed_by_library(packet, {})


@given(packet=PACKETS, tlvs_by_type=TLVS)
def test_what_the_library_packs_is_read(
    packet: Packet, tlvs_by_type: dict[int, bytes]
) -> None:
    datagram = _packed_by_library(packet, tlvs_by_type)

    assert PacketCodec().unpack(datagram) == packet


@given(packet=PACKETS, hop_count=st.integers(min_value=0, max_value=255))
def test_envelopes_are_headers_that_the_library_reads(
    packet: Packet, hop_count: int
) -> None:
    datagram = EnvelopeCodec(KeyRing(KEYS)).pack_envelope(Envelope(packet, hop_count))

    header = datagram[: header_size(datagram)]
    result = LIBRARY.unpack(header)
    tlvs_by_type = dict(result.tlv)
    assert parse_addresses(header) == (packet.caller, packet.service_address)
    assert set(tlvs_by_type) == {ENVELOPE_TLV, AUTHENTICATOR_TLV}
    assert datagram == _packed_by_library(packet, tlvs_by_type)


@given(head=st.binary(max_size=4), packet=PACKETS, position=st.integers(min_value=0))
def test_damaged_headers_are_refused_or_read_as_the_library_reads_them(
    head: bytes, packet: Packet, position: int
) -> None:
    """Guards against two readings of one header.

    A damaged header that the hot path takes and the library would refuse, or reads
    otherwise, could lead a packet to another service.
    """
    datagram = bytearray(_packed_by_library(packet, {}))
    start = position % len(datagram)
    datagram[start : start + len(head)] = head
    damaged = bytes(datagram)

    try:
        unpacked = PacketCodec().unpack(damaged)
    except WireError:
        return
    end = header_size(damaged)
    assert parse_addresses(damaged[:end]) == (
        unpacked.caller,
        unpacked.service_address,
    )
    assert unpacked.payload == damaged[end:]
