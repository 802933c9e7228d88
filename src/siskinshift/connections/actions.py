"""Actions that the flow logic returns to the event loop of its process."""

from __future__ import annotations

from typing import TypeAlias

from attrs import define
from attrs import frozen

from siskinshift.connections.egress.departure import Departure
from siskinshift.connections.egress.traffic_class import TrafficClass


# Not frozen: that doubles the time to create one, and each forwarded packet needs one.
@define
class ToPeer:
    """Send a message to another node.

    Attributes:
        address: Host and port of the node.
        datagram: The message.
        traffic_class: Its class on the balancer's own link.
        flow: Flow of a forwarded packet; empty for other messages.
        started_at: When the flow began, seconds; 0 if its opening was not received.
        departure: Records when it leaves the link; None if nobody needs to know.
    """

    address: tuple[str, int]
    datagram: bytes
    traffic_class: TrafficClass = TrafficClass.CONTROL
    flow: bytes = b""
    started_at: float = 0.0
    departure: Departure | None = None


@frozen
class ToUpstream:
    """Deliver a caller's packet to the upstream.

    Attributes:
        datagram: The packet.
    """

    datagram: bytes


@frozen
class ToCaller:
    """Send an upstream's packet to its caller.

    Attributes:
        flow: The flow.
        datagram: The packet.
    """

    flow: bytes
    datagram: bytes


@frozen
class ResetCaller:
    """Reset a flow at its caller, which would otherwise wait for its timeout.

    Attributes:
        flow: The flow.
        acknowledged: Number that the caller acknowledged last.
    """

    flow: bytes
    acknowledged: int


Action: TypeAlias = ToPeer | ToUpstream | ToCaller | ResetCaller
