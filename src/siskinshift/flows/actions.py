"""Actions that the agent's flow decisions return."""

from __future__ import annotations

from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.messages.core import Member
from siskinshift.messages.flows import FlowNotes


@frozen
class DeliverToFlow:
    """Action: hand a packet to a flow that this agent owns.

    Attributes:
        flow_hash: The flow.
        service_id: Service of the flow.
        packet: The caller's datagram.
        is_new: Whether the flow begins with this packet.
    """

    flow_hash: int
    service_id: str
    packet: Packet
    is_new: bool


@frozen
class ForwardToAgent:
    """Action: pass an envelope on to a peer.

    Attributes:
        agent: The peer.
        envelope: What to send it.
    """

    agent: Member
    envelope: Envelope


@frozen
class DropEnvelope:
    """Action: drop an envelope and count it.

    Attributes:
        error: Why.
    """

    error: ErrorKind


@frozen
class SendNotes:
    """Action: send notes to a peer; the reply is FlowNotes with nothing in it.

    Attributes:
        agent: The peer.
        notes: The batch.
    """

    agent: Member
    notes: FlowNotes


FlowAction: TypeAlias = DeliverToFlow | ForwardToAgent | DropEnvelope | SendNotes
