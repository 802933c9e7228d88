"""The platform's packet format.

A packet is one UDP datagram: 32 bytes of header, big-endian, then the data. The sum
is keyed with a key that only the two ends know, so the system passes packets on
unchanged and can write just one of its own: a reset, whose sum is zero.
"""

from __future__ import annotations

import struct

import attrs

from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment


# flags, pad, len, sport, dst, src, dport, sum, seq, ack, echo
_HEADER = struct.Struct("!BBHH4s4sHIIII")
_NUMBERS = struct.Struct("!IIII")  # sum, seq, ack, echo
_NUMBERS_OFFSET = 16
_LENGTH = struct.Struct("!H")
_LENGTH_OFFSET = 2
HEADER_SIZE = _HEADER.size
DATA_SIZE_MAXIMUM = 1200

_WIRE_SYN = 4
_WIRE_ACK = 64
_WIRE_FIN = 1
_WIRE_RESET = 32
_WIRE_BOUNCED = 16
_FLAG_BY_WIRE_BIT = {
    _WIRE_SYN: SYN,
    _WIRE_ACK: ACK,
    _WIRE_FIN: FIN,
    _WIRE_RESET: RESET,
    _WIRE_BOUNCED: BOUNCED,
}
_FLAGS_BY_WIRE_FLAGS = tuple(
    sum(flag for bit, flag in _FLAG_BY_WIRE_BIT.items() if wire & bit)
    for wire in range(256)
)


def decode_from_caller(datagram: bytes) -> Segment | None:
    """Takes a packet on its way to an upstream apart; also one that bounced.

    Args:
        datagram: The packet.

    Returns:
        The segment, or None for a datagram that is no packet.
    """
    if not _is_whole(datagram):
        return None
    _, seq, ack, _ = _NUMBERS.unpack_from(datagram, _NUMBERS_OFFSET)
    return Segment(
        # Both ports and both addresses lie side by side in the header.
        flow=datagram[4:16],
        flags=_FLAGS_BY_WIRE_FLAGS[datagram[0]],
        seq=seq,
        ack=ack,
        length=len(datagram) - HEADER_SIZE,
        datagram=datagram,
    )


def decode_from_upstream(datagram: bytes) -> Segment | None:
    """Takes a packet of an upstream apart; a bounced one has the caller's direction.

    Args:
        datagram: The packet.

    Returns:
        The segment with the flow as the caller's packets name it, or None. That of a
        bounced packet holds it as the caller wrote it, for another upstream.
    """
    if not _is_whole(datagram):
        return None
    if datagram[0] & _WIRE_BOUNCED:
        bounced = decode_from_caller(datagram)
        restored = bytes((datagram[0] & ~_WIRE_BOUNCED,)) + datagram[1:]
        return attrs.evolve(bounced, datagram=restored) if bounced else None
    _, seq, ack, _ = _NUMBERS.unpack_from(datagram, _NUMBERS_OFFSET)
    return Segment(
        flow=datagram[14:16] + datagram[10:14] + datagram[6:10] + datagram[4:6],
        flags=_FLAGS_BY_WIRE_FLAGS[datagram[0]],
        seq=seq,
        ack=ack,
        length=len(datagram) - HEADER_SIZE,
        datagram=datagram,
    )


def encode_reset(flow: bytes, *, seq: int) -> bytes:
    """Writes a reset of the system's own towards the caller.

    Args:
        flow: The flow.
        seq: What the caller acknowledged last; any value while the flow is not open.

    Returns:
        The packet.
    """
    caller_port, service_host = flow[0:2], flow[2:6]
    caller_host, service_port = flow[6:10], flow[10:12]
    return _HEADER.pack(
        _WIRE_RESET,
        0,
        0,
        int.from_bytes(service_port, "big"),
        caller_host,
        service_host,
        int.from_bytes(caller_port, "big"),
        0,
        seq,
        0,
        0,
    )


def _is_whole(datagram: bytes) -> bool:
    size = len(datagram)
    if not HEADER_SIZE <= size <= HEADER_SIZE + DATA_SIZE_MAXIMUM:
        return False
    length: int = _LENGTH.unpack_from(datagram, _LENGTH_OFFSET)[0]
    return length == size - HEADER_SIZE
