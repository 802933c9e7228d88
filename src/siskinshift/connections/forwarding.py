"""Writes the messages by which a balancer passes callers' packets to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.peer_codec import encode_forward
from siskinshift.connections.peer_messages import NO_TERMS
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.recent_packets import RecentPackets
from siskinshift.connections.routes import service_tag


if TYPE_CHECKING:
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.flow_records import FlowRecord
    from siskinshift.connections.segment import Segment


class Forwarding:
    """Packets on their way to agents, and the last ones for agents that restart."""

    def __init__(self) -> None:
        """Starts without any packet."""
        self._tags_by_service: dict[str, int] = {}
        self._recent = RecentPackets()

    def to_owner(
        self, record: FlowRecord, owner: Peer, segment: Segment, *, now: float
    ) -> ToPeer:
        """Passes a packet to the agent that owns its flow.

        Args:
            record: The flow.
            owner: The agent.
            segment: The packet.
            now: Clock reading, seconds.

        Returns:
            The message.
        """
        if segment.length:
            self._recent.add(owner.member.member_id, segment.datagram, now=now)
        if not record.owner_header:
            tag = self._tag_of(record.service_id)
            record.owner_header = encode_forward(
                Purpose.OWNED, tag, b"", record.request_parameters
            )
        return ToPeer(owner.address, record.owner_header + segment.datagram)

    def to_agent(
        self,
        agent: Peer,
        purpose: Purpose,
        datagram: bytes,
        record: FlowRecord | None = None,
    ) -> ToPeer:
        """Passes a packet to an agent.

        Args:
            agent: The agent.
            purpose: What is asked of it.
            datagram: The packet.
            record: The flow, if it is known.

        Returns:
            The message.
        """
        tag = self._tag_of(record.service_id) if record is not None else 0
        terms = record.request_parameters if record is not None else NO_TERMS
        return ToPeer(agent.address, encode_forward(purpose, tag, datagram, terms))

    def all_to_agent(
        self, agent: Peer, purpose: Purpose, packets: list[bytes], record: FlowRecord
    ) -> list[ToPeer]:
        """Passes several packets of a flow; see `to_agent`."""
        return [self.to_agent(agent, purpose, packet, record) for packet in packets]

    def again(self, agent: Peer, *, since: float, now: float) -> list[ToPeer]:
        """Passes on again what an agent missed while it was away.

        Args:
            agent: The agent.
            since: When the process before was last heard, seconds.
            now: Clock reading, seconds.

        Returns:
            The messages.
        """
        missed = self._recent.take(agent.member.member_id, since=since, now=now)
        return [self.to_agent(agent, Purpose.OWNED, packet) for packet in missed]

    def _tag_of(self, service_id: str) -> int:
        tag = self._tags_by_service.get(service_id)
        if tag is None:
            tag = self._tags_by_service[service_id] = service_tag(service_id)
        return tag
