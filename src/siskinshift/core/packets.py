"""Datagrams of callers and their envelope inside the system."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint


@frozen
class Packet:
    """A datagram from a caller to a service address, or back.

    Attributes:
        caller: The caller's endpoint.
        service_address: The service address.
        payload: The datagram, unchanged.
    """

    caller: Endpoint
    service_address: Endpoint
    payload: bytes


@frozen
class Envelope:
    """A packet on its way between processes of the system.

    Attributes:
        packet: The caller's datagram.
        hop_count: Times it was passed on between agents; 0 from a balancer.
        view_version: The sender's view, for diagnosis.
        querier_id: Agent that is looking for the flow's owner; empty if none is. In an
            answer to the asker, the agent that answers.
        may_create: Answer: nobody owns the flow, and the asker may create it.
        disclaimed: Answer: the agent that was asked does not own the flow and can't
            say who does.
    """

    packet: Packet
    hop_count: int = 0
    view_version: int = 0
    querier_id: str = ""
    may_create: bool = False
    disclaimed: bool = False
