"""The packet format of the users' pages, for both ends of a flow."""

from __future__ import annotations

import hashlib
import socket
import struct
from typing import NamedTuple


SYN, ACK, FIN, RST, BOUNCED = 4, 64, 1, 32, 16
HEADER = struct.Struct("!BBHH4s4sHIIII")
MAX_DATA = 1200
MASK = 0xFFFFFFFF
# Known to both ends only; the system can't compute a valid sum.
SUM_KEY = b"review"


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int


class Packet(NamedTuple):
    """A decoded packet."""

    source: Address
    target: Address
    flags: int
    seq: int
    ack: int
    data: bytes
    is_intact: bool

    @property
    def length(self) -> int:
        """Sequence numbers that the packet takes."""
        return len(self.data) + bool(self.flags & SYN) + bool(self.flags & FIN)


def encode(
    source: Address, target: Address, flags: int, seq: int, ack: int, data: bytes = b""
) -> bytes:
    """Encodes a packet with its keyed sum."""
    fields = (
        flags,
        0,
        len(data),
        source.port,
        socket.inet_aton(target.host),
        socket.inet_aton(source.host),
        target.port,
    )
    total = _sum(HEADER.pack(*fields, 0, seq & MASK, ack & MASK, 0), data)
    return HEADER.pack(*fields, total, seq & MASK, ack & MASK, 0) + data


def decode(datagram: bytes) -> Packet | None:
    """Decodes a packet; None if it is none."""
    if len(datagram) < HEADER.size:
        return None
    flags, _, length, sport, dst, src, dport, total, seq, ack, _ = HEADER.unpack_from(
        datagram
    )
    data = datagram[HEADER.size :]
    if len(data) != length:
        return None
    head = bytearray(datagram[: HEADER.size])
    head[0] &= ~BOUNCED
    head[1] = 0
    head[16:20] = bytes(4)
    head[28:32] = bytes(4)
    return Packet(
        Address(socket.inet_ntoa(src), sport),
        Address(socket.inet_ntoa(dst), dport),
        flags,
        seq,
        ack,
        data,
        total == _sum(bytes(head), data),
    )


def _sum(head: bytes, data: bytes) -> int:
    digest = hashlib.blake2b(head + data, key=SUM_KEY, digest_size=4).digest()
    return int.from_bytes(digest, "big")
