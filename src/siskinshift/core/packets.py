"""Datagrams of callers and the envelopes that carry them between processes."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint


@frozen
class Packet:
    """A datagram from a caller to a service address, or back.

    Attributes:
        caller: The caller's endpoint.
        service_address: The service address.
        payload: Payload of the datagram, unchanged.
    """

    caller: Endpoint
    service_address: Endpoint
    payload: bytes


@frozen
class Envelope:
    """A packet forwarded between processes of the system.

    Attributes:
        packet: The caller's datagram.
        hop_count: Number of hops between agents; 0 when sent by a balancer.
        view_version: Version of the sender's view. In a permission, the version that
            the query carried; the querier rejects the permission if its claim of the
            bucket is newer. In a disclaimer, the version of the replying agent's view
            up to which the disclaimer is valid: a note that names this agent as owner
            is kept if the agent sent its own query for the flow at a later version.
        querier_id: Agent that looks up the flow's owner; empty outside of a lookup.
            In a reply to the querier, the agent that replies.
        may_create: In a reply: no agent owns the flow and the querier may create it.
        disclaimed: In a reply: the queried agent doesn't own the flow and has no
            record of its owner.
    """

    packet: Packet
    hop_count: int = 0
    view_version: int = 0
    querier_id: str = ""
    may_create: bool = False
    disclaimed: bool = False
