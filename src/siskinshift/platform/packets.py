"""The platform's packet format.

A packet is one UDP datagram: a header of 32 bytes in big-endian order, then the data.
The checksum uses a key that only the two endpoints have. The system therefore forwards
packets unchanged and can generate only a reset, whose checksum is zero.
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
_SUM_SEQ_ACK_ECHO = struct.Struct("!IIII")  # sum, seq, ack, echo
_SUM_OFFSET = 16
_SEQUENCE_OFFSET = 20
_SEQUENCE_SIZE = 4
_LENGTH = struct.Struct("!H")
_LENGTH_OFFSET = 2
HEADER_SIZE = _HEADER.size
MAX_DATA_SIZE = 1200

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
    sum(flag for bit, flag in _FLAG_BY_WIRE_BIT.items() if wire_flags & bit)
    for wire_flags in range(256)
)


def decode_from_caller(datagram: bytes) -> Segment | None:
    """Decodes a packet on its way to an upstream, including a bounced packet.

    Args:
        datagram: The packet.

    Returns:
        The segment, or None for a datagram that is not a valid packet.
    """
    if not _has_valid_length(datagram):
        return None
    _, seq, ack, _ = _SUM_SEQ_ACK_ECHO.unpack_from(datagram, _SUM_OFFSET)
    return Segment(
        # The ports and addresses are contiguous in the header.
        flow=datagram[4:16],
        flags=_FLAGS_BY_WIRE_FLAGS[datagram[0]],
        seq=seq,
        ack=ack,
        length=len(datagram) - HEADER_SIZE,
        datagram=datagram,
    )


def sequence_bytes(message: bytes, *, offset: int) -> bytes:
    """Returns the encoded sequence number of a packet without decoding the packet.

    Args:
        message: Message that contains the packet.
        offset: Where the packet begins.

    Returns:
        Four bytes.
    """
    start = offset + _SEQUENCE_OFFSET
    return message[start : start + _SEQUENCE_SIZE]


def decode_from_upstream(datagram: bytes) -> Segment | None:
    """Decodes a packet of an upstream; a bounced one has the caller's direction.

    Args:
        datagram: The packet.

    Returns:
        The segment, whose flow is in the caller's direction, or None. The datagram of a
        bounced packet is restored to the caller's, to be sent to another upstream.
    """
    if not _has_valid_length(datagram):
        return None
    if datagram[0] & _WIRE_BOUNCED:
        bounced = decode_from_caller(datagram)
        restored = bytes((datagram[0] & ~_WIRE_BOUNCED,)) + datagram[1:]
        return attrs.evolve(bounced, datagram=restored) if bounced else None
    _, seq, ack, _ = _SUM_SEQ_ACK_ECHO.unpack_from(datagram, _SUM_OFFSET)
    return Segment(
        flow=datagram[14:16] + datagram[10:14] + datagram[6:10] + datagram[4:6],
        flags=_FLAGS_BY_WIRE_FLAGS[datagram[0]],
        seq=seq,
        ack=ack,
        length=len(datagram) - HEADER_SIZE,
        datagram=datagram,
    )


def encode_reset(flow: bytes, *, seq: int) -> bytes:
    """Encodes a reset that the system sends to the caller.

    Args:
        flow: The flow.
        seq: The caller's last acknowledgment number; any value before the flow is open.

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


def _has_valid_length(datagram: bytes) -> bool:
    size = len(datagram)
    if not HEADER_SIZE <= size <= HEADER_SIZE + MAX_DATA_SIZE:
        return False
    length: int = _LENGTH.unpack_from(datagram, _LENGTH_OFFSET)[0]
    return length == size - HEADER_SIZE
