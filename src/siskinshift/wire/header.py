"""Encodes and parses PROXY protocol v2 headers for DGRAM over INET and INET6.

Source: the PROXY protocol specification, version 2, section 2.2. Only the layouts on
the hot path are handled here; the library parses all others.
"""

from __future__ import annotations

import ipaddress
import struct
from functools import lru_cache

from attrs import frozen

from siskinshift.messages.core import Endpoint


SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
FIXED_HEADER_SIZE = 16
LENGTH_OFFSET = 14
VERSION_2_PROXY = 0x21
INET_DGRAM = 0x12
INET6_DGRAM = 0x22
HOST_CACHE_SIZE = 4096
TLV_HEADER = struct.Struct("!BH")

_LENGTH = struct.Struct("!H")
_INET_PREFIX = SIGNATURE + bytes((VERSION_2_PROXY, INET_DGRAM))
_INET6_PREFIX = SIGNATURE + bytes((VERSION_2_PROXY, INET6_DGRAM))
_ADDRESS_FORMATS_BY_PREFIX = {
    _INET_PREFIX: struct.Struct("!4s4sHH"),
    _INET6_PREFIX: struct.Struct("!16s16sHH"),
}
_INET_ADDRESS_SIZE = 4


@frozen
class ParsedHeader:
    """A parsed header.

    Attributes:
        caller: Source of the datagram.
        service_address: Destination of the datagram.
        address_block: Encoded source and destination.
        tlv_bytes: Encoded TLVs.
    """

    caller: Endpoint
    service_address: Endpoint
    address_block: bytes
    tlv_bytes: bytes


@lru_cache(maxsize=HOST_CACHE_SIZE)
def _pack_host(host: str) -> bytes:
    return ipaddress.ip_address(host).packed


@lru_cache(maxsize=HOST_CACHE_SIZE)
def _unpack_host(packed: bytes) -> str:
    return str(ipaddress.ip_address(packed))


def pack_addresses(caller: Endpoint, service_address: Endpoint) -> bytes:
    """Encodes a header without TLVs.

    Args:
        caller: Source of the datagram.
        service_address: Destination of the datagram, of the same address family.

    Returns:
        Signature, version, address family, length and addresses.
    """
    source = _pack_host(caller.host)
    destination = _pack_host(service_address.host)
    prefix = _INET_PREFIX if len(source) == _INET_ADDRESS_SIZE else _INET6_PREFIX
    block = _ADDRESS_FORMATS_BY_PREFIX[prefix].pack(
        source, destination, caller.port, service_address.port
    )
    return prefix + _LENGTH.pack(len(block)) + block


def append_tlvs(header: bytes, tlv_bytes: bytes) -> bytes:
    """Appends TLVs to a header made by `pack_addresses`.

    Args:
        header: Header without TLVs.
        tlv_bytes: Encoded TLVs.

    Returns:
        The complete header.
    """
    size = len(header) - FIXED_HEADER_SIZE + len(tlv_bytes)
    return b"".join(
        (
            header[:LENGTH_OFFSET],
            _LENGTH.pack(size),
            header[FIXED_HEADER_SIZE:],
            tlv_bytes,
        )
    )


def header_size(datagram: bytes) -> int:
    """Returns the size that the header declares.

    Args:
        datagram: At least FIXED_HEADER_SIZE bytes.

    Returns:
        Size in bytes; it may exceed the size of the datagram.
    """
    size: int = _LENGTH.unpack_from(datagram, LENGTH_OFFSET)[0]
    return FIXED_HEADER_SIZE + size


def parse_header(datagram: bytes, end: int) -> ParsedHeader | None:
    """Parses a header in a layout of the hot path.

    Args:
        datagram: Header and payload.
        end: Offset of the header's end within the datagram.

    Returns:
        The parsed header, or None for any other layout.
    """
    address_format = _ADDRESS_FORMATS_BY_PREFIX.get(datagram[:LENGTH_OFFSET])
    if address_format is None or FIXED_HEADER_SIZE + address_format.size > end:
        return None
    source, destination, source_port, destination_port = address_format.unpack_from(
        datagram, FIXED_HEADER_SIZE
    )
    tlvs_start = FIXED_HEADER_SIZE + address_format.size
    return ParsedHeader(
        caller=Endpoint(_unpack_host(source), source_port),
        service_address=Endpoint(_unpack_host(destination), destination_port),
        address_block=datagram[FIXED_HEADER_SIZE:tlvs_start],
        tlv_bytes=datagram[tlvs_start:end],
    )
