"""A datagram that waits for the link."""

from __future__ import annotations

from attrs import define

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.egress.identity import PacketIdentity


@define(eq=False)
class WaitingPacket:
    """A datagram that waits for the link.

    Attributes:
        action: The datagram with its address, class and flow.
        size: Bytes on the link, with IP and UDP headers.
        arrived_at: When it was offered to the scheduler, seconds.
        identity: What a retransmission of it has in common with it; None if a repeated
            datagram is not a copy.
    """

    action: ToPeer
    size: int
    arrived_at: float
    identity: PacketIdentity | None = None
