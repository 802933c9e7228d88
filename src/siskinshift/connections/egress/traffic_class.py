"""Classes of the traffic that a balancer sends, in the order of their priority."""

from __future__ import annotations

from enum import IntEnum


class TrafficClass(IntEnum):
    """Class of a datagram; a lower value has priority.

    CONTROL: messages between nodes, except forwarded packets; never dropped here.
    OPENING: forwarded opening packets. INTERACTIVE: other forwarded packets.
    BULK: forwarded packets of uploads, except their opening packets.
    """

    CONTROL = 0
    OPENING = 1
    INTERACTIVE = 2
    BULK = 3
