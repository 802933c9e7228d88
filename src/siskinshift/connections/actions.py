"""Actions that the flow logic returns to the event loop of its process."""

from __future__ import annotations

from typing import TypeAlias

from attrs import frozen


@frozen
class ToPeer:
    """Send a message to another node.

    Attributes:
        address: Host and port of the node.
        datagram: The message.
    """

    address: tuple[str, int]
    datagram: bytes


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
