"""Actions that the flow router of an agent returns."""

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
    """Action: deliver a packet to a flow that this agent owns.

    Attributes:
        flow_hash: Hash of the flow.
        service_id: Service of the flow.
        packet: The caller's datagram.
        is_new: Whether this packet creates the flow.
    """

    flow_hash: int
    service_id: str
    packet: Packet
    is_new: bool


@frozen
class ForwardToAgent:
    """Action: forward an envelope to a peer.

    Attributes:
        agent: The peer.
        envelope: The envelope to send.
    """

    agent: Member
    envelope: Envelope


@frozen
class DropEnvelope:
    """Action: drop an envelope and count it.

    Attributes:
        error: Reason for the drop.
    """

    error: ErrorKind


@frozen
class SendNotes:
    """Action: send notes to a peer; the HTTP response only acknowledges receipt.

    Attributes:
        agent: The peer.
        notes: The message.
    """

    agent: Member
    notes: FlowNotes


FlowAction: TypeAlias = DeliverToFlow | ForwardToAgent | DropEnvelope | SendNotes
