"""The layout of a PROXY protocol v2 header with addresses, DGRAM, INET or INET6.

Source: the PROXY protocol specification, version 2, section 2.2. Only the layouts
that each datagram has are packed and split here; the library parses all others.
"""

from __future__ import annotations

import ipaddress
import struct
from functools import lru_cache

from attrs import frozen

from siskinshift.messages.core import Endpoint


SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
FIXED_SIZE = 16
LENGTH_OFFSET = 14
VERSION_2_PROXY = 0x21
INET_DGRAM = 0x12
INET6_DGRAM = 0x22
HOST_CACHE_SIZE = 4096
TLV_HEAD = struct.Struct("!BH")

_LENGTH = struct.Struct("!H")
_INET_PREFIX = SIGNATURE + bytes((VERSION_2_PROXY, INET_DGRAM))
_INET6_PREFIX = SIGNATURE + bytes((VERSION_2_PROXY, INET6_DGRAM))
_ADDRESSES_BY_PREFIX = {
    _INET_PREFIX: struct.Struct("!4s4sHH"),
    _INET6_PREFIX: struct.Struct("!16s16sHH"),
}
_INET_SIZE = 4


@frozen
class SplitHeader:
    """A header taken apart.

    Attributes:
        caller: Source of the datagram.
        service_address: Its destination.
        address_block: The bytes of both, with the family before them.
        tlv_bytes: The TLVs, not parsed.
    """

    caller: Endpoint
    service_address: Endpoint
    address_block: bytes
    tlv_bytes: bytes


@lru_cache(maxsize=HOST_CACHE_SIZE)
def _packed_host(host: str) -> bytes:
    return ipaddress.ip_address(host).packed


@lru_cache(maxsize=HOST_CACHE_SIZE)
def _host_text(packed: bytes) -> str:
    return str(ipaddress.ip_address(packed))


def pack_addresses(caller: Endpoint, service_address: Endpoint) -> bytes:
    """Packs family and addresses.

    Args:
        caller: Source of the datagram.
        service_address: Its destination, of the same family.

    Returns:
        Signature, version, family, a length of zero, and the addresses.
    """
    source = _packed_host(caller.host)
    target = _packed_host(service_address.host)
    prefix = _INET_PREFIX if len(source) == _INET_SIZE else _INET6_PREFIX
    block = _ADDRESSES_BY_PREFIX[prefix].pack(
        source, target, caller.port, service_address.port
    )
    return prefix + _LENGTH.pack(len(block)) + block


def with_tlvs(header: bytes, tlv_bytes: bytes) -> bytes:
    """Adds TLVs to what `pack_addresses` made.

    Args:
        header: Header without TLVs.
        tlv_bytes: TLVs, packed.

    Returns:
        The whole header.
    """
    size = len(header) - FIXED_SIZE + len(tlv_bytes)
    return b"".join(
        (header[:LENGTH_OFFSET], _LENGTH.pack(size), header[FIXED_SIZE:], tlv_bytes)
    )


def header_size(datagram: bytes) -> int:
    """Reads how long the header claims to be.

    Args:
        datagram: At least FIXED_SIZE bytes.

    Returns:
        Size in bytes; it may be more than there is.
    """
    size: int = _LENGTH.unpack_from(datagram, LENGTH_OFFSET)[0]
    return FIXED_SIZE + size


def split_header(datagram: bytes, end: int) -> SplitHeader | None:
    """Takes a header apart.

    Args:
        datagram: Header and payload.
        end: Where the header ends, within the datagram.

    Returns:
        The parts, or None for a layout that is not of the hot path.
    """
    addresses = _ADDRESSES_BY_PREFIX.get(datagram[:LENGTH_OFFSET])
    if addresses is None or FIXED_SIZE + addresses.size > end:
        return None
    source, target, source_port, target_port = addresses.unpack_from(
        datagram, FIXED_SIZE
    )
    tlvs_start = FIXED_SIZE + addresses.size
    return SplitHeader(
        caller=Endpoint(_host_text(source), source_port),
        service_address=Endpoint(_host_text(target), target_port),
        address_block=datagram[FIXED_SIZE:tlvs_start],
        tlv_bytes=datagram[tlvs_start:end],
    )
