"""A parsed packet of a connection, and helpers for flow keys and sequence numbers."""

from __future__ import annotations

import socket

from attrs import frozen


SYN = 1
ACK = 2
FIN = 4
RESET = 8
# Set in a packet that the upstream returns: it is full or does not hold the flow.
BOUNCED = 16

FLOW_SIZE = 12
SEQUENCE_SPACE = 1 << 32
# A caller's attempt to open a flow ends after this time.
MAX_OPENING_SECONDS = 1.4


@frozen
class Segment:
    """A packet of a connection.

    Attributes:
        flow: Identity of the flow, the same for both directions: the caller's port,
            the service's address, the caller's address, the service's port.
        flags: A combination of SYN, ACK, FIN, RESET and BOUNCED.
        seq: Sequence number of the sender.
        ack: Acknowledged sequence number; in a SYN, the number of retransmissions.
        length: Bytes of data.
        datagram: The packet, unchanged.
    """

    flow: bytes
    flags: int
    seq: int
    ack: int
    length: int
    datagram: bytes

    @property
    def is_bare_ack(self) -> bool:
        """Whether it is a pure acknowledgement, which may be repeated at any time."""
        return self.flags == ACK and not self.length

    @property
    def next_sequence(self) -> int:
        """Sequence number of the sender's next byte; SYN and FIN count as one."""
        control = 1 if self.flags & (SYN | FIN) else 0
        return (self.seq + self.length + control) % SEQUENCE_SPACE


def caller_host(flow: bytes) -> str:
    """Returns the caller's address.

    Args:
        flow: The flow.

    Returns:
        The IP address as text.
    """
    return socket.inet_ntoa(flow[6:10])


def service_address(flow: bytes) -> bytes:
    """Returns the service's address and port, packed.

    Args:
        flow: The flow.

    Returns:
        Six bytes.
    """
    return flow[2:6] + flow[10:12]


def pack_service_address(host: str, port: int) -> bytes:
    """Packs an address in the format of `service_address`.

    Args:
        host: IP address as text.
        port: Port.

    Returns:
        Six bytes.
    """
    return socket.inet_aton(host) + port.to_bytes(2, "big")


def format_flow(flow: bytes) -> str:
    """Formats a flow for logs.

    Args:
        flow: The flow.

    Returns:
        The caller's and the service's endpoints.
    """
    caller_port = int.from_bytes(flow[0:2], "big")
    service_port = int.from_bytes(flow[10:12], "big")
    service_host = socket.inet_ntoa(flow[2:6])
    return f"{caller_host(flow)}:{caller_port}>{service_host}:{service_port}"


def is_between(number: int, lowest: int, highest: int) -> bool:
    """Returns whether a number lies in a range that may wrap around.

    Args:
        number: A sequence number.
        lowest: First number of the range.
        highest: Last number of the range.

    Returns:
        Whether the number is in the range, bounds included.
    """
    return (number - lowest) % SEQUENCE_SPACE <= (highest - lowest) % SEQUENCE_SPACE


def is_at_or_after(number: int, reference: int) -> bool:
    """Returns whether a sequence number follows another one, or equals it.

    Args:
        number: A sequence number.
        reference: Another sequence number of the same sender.

    Returns:
        Whether it lies in the half of the sequence space that starts at the reference.
    """
    return (number - reference) % SEQUENCE_SPACE < SEQUENCE_SPACE // 2
