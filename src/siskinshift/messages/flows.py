"""Messages of schema/messages/flows.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen


@frozen
class FlowNote:
    """Says that an agent owns a flow whose bucket's primary is a peer.

    Attributes:
        flow_hash: 64-bit flow hash.
        owner_id: Member id of the agent that owns the flow.
        owner_incarnation: Incarnation of the owner.
    """

    flow_hash: int
    owner_id: str
    owner_incarnation: int


@frozen
class FlowNotes:
    """A batch of notes from one agent to the primary of the buckets.

    Attributes:
        service_id: Service the flows belong to.
        sender_id: Member id of the sender.
        notes: The notes.
        confirmed_buckets: Buckets whose notes are complete with this batch: the sender knows the receiver as primary and makes no flow there.
    """

    service_id: str
    sender_id: str
    notes: tuple[FlowNote, ...]
    confirmed_buckets: tuple[int, ...] = ()
