"""Identifies retransmissions of packets that still wait for the link."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.peer_codec import FORWARD_HEADER_SIZE
from siskinshift.platform.packets import HEADER_SIZE
from siskinshift.platform.packets import sequence_bytes


if TYPE_CHECKING:
    from siskinshift.connections.actions import ToPeer


# Address, kind and purpose of the message, flow, sequence number, length.
PacketIdentity: TypeAlias = tuple[tuple[str, int], bytes, bytes, bytes, int]
# Kind and purpose: a packet for the owner does not replace one of a lookup.
_PURPOSE_SIZE = 2


def packet_identity(action: ToPeer) -> PacketIdentity | None:
    """Returns what a retransmission of a forwarded packet has in common with it.

    Packets without data differ in what they acknowledge, so that only opening packets
    and packets with data have copies.

    Args:
        action: The message to an agent.

    Returns:
        The identity; None if the message does not forward such a packet.
    """
    message = action.datagram
    length = len(message) - FORWARD_HEADER_SIZE - HEADER_SIZE
    if not action.flow or length < 0:
        return None
    if not length and action.traffic_class is not TrafficClass.OPENING:
        return None
    sequence = sequence_bytes(message, offset=FORWARD_HEADER_SIZE)
    return action.address, message[:_PURPOSE_SIZE], action.flow, sequence, length
