"""Encodes the flows of a snapshot as rows of equal size."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from siskinshift.connections.owned_flow import RestoredFlow
from siskinshift.platform.packets import decode_from_caller


if TYPE_CHECKING:
    from siskinshift.connections.owned_flow import LongLivedFlow


HOST_SIZE = 4
UNKNOWN_HOST = bytes(HOST_SIZE)


def encode_row(flow: LongLivedFlow) -> bytes:
    """Encodes a flow.

    Args:
        flow: The flow.

    Returns:
        Its verification packet and the host of its balancer.
    """
    host = (
        socket.inet_aton(flow.last_balancer[0]) if flow.last_balancer else UNKNOWN_HOST
    )
    return flow.packet + host


def decode_row(row: bytes, *, peer_port: int) -> RestoredFlow | None:
    """Decodes a row of `encode_row`.

    Args:
        row: The row.
        peer_port: Port for messages between nodes.

    Returns:
        The flow, or None for a row that is not valid.
    """
    segment = decode_from_caller(row[:-HOST_SIZE])
    if segment is None or not segment.is_bare_ack:
        return None
    host = socket.inet_ntoa(row[-HOST_SIZE:])
    return RestoredFlow(segment, (host, peer_port))
