"""Encodes the messages with which a balancer forwards callers' packets to agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.peer_codec import encode_forward
from siskinshift.connections.peer_messages import NO_REQUEST_PARAMETERS
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.recent_packets import RecentPackets
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.routes import service_tag


if TYPE_CHECKING:
    from siskinshift.connections.egress.departure import Departure
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.flow_records import FlowRecord
    from siskinshift.connections.segment import Segment


# Classes that do not depend on the flow. A lookup of an upload sends a single packet to
# each candidate, and the others wait for the reply: behind other uploads, the lookup
# would query further agents before the first ones have received the packet.
_CLASSES_BY_PURPOSE = {
    Purpose.OPEN: TrafficClass.OPENING,
    Purpose.LOOKUP: TrafficClass.INTERACTIVE,
}


class Forwarding:
    """Encodes packets for agents and keeps recent ones for agents that restart."""

    def __init__(self) -> None:
        """Initializes the forwarding without recent packets."""
        self._tags_by_service_id: dict[str, int] = {}
        self._recent_packets = RecentPackets()

    def to_owner(
        self, record: FlowRecord, owner: Peer, segment: Segment, *, now: float
    ) -> ToPeer:
        """Forwards a packet to the agent that owns its flow.

        Args:
            record: The flow.
            owner: The agent.
            segment: The packet.
            now: Clock reading, seconds.

        Returns:
            The message.
        """
        if not record.owner_header:
            tag = self._service_tag(record.service_id)
            record.traffic_class = _class_of(record)
            record.owner_header = encode_forward(
                Purpose.OWNED, tag, b"", record.request_parameters
            )
        if segment.length:
            self._recent_packets.add(
                owner.member.member_id, segment.datagram, record, now=now
            )
        return ToPeer(
            owner.address,
            record.owner_header + segment.datagram,
            record.traffic_class,
            record.flow,
            record.opened_at,
        )

    def to_agent(
        self,
        agent: Peer,
        purpose: Purpose,
        datagram: bytes,
        record: FlowRecord | None = None,
        departure: Departure | None = None,
    ) -> ToPeer:
        """Forwards a packet to an agent.

        Args:
            agent: The agent.
            purpose: What the agent is requested to do with the packet.
            datagram: The packet.
            record: The flow, or None if the balancer has no record of it.
            departure: Records when the packet leaves the link.

        Returns:
            The message.
        """
        if record is None:
            message = encode_forward(purpose, 0, datagram, NO_REQUEST_PARAMETERS)
            return ToPeer(agent.address, message, TrafficClass.INTERACTIVE)
        tag = self._service_tag(record.service_id)
        return ToPeer(
            agent.address,
            encode_forward(purpose, tag, datagram, record.request_parameters),
            _CLASSES_BY_PURPOSE.get(purpose) or _class_of(record),
            record.flow,
            record.opened_at,
            departure,
        )

    def all_to_agent(
        self, agent: Peer, purpose: Purpose, packets: list[bytes], record: FlowRecord
    ) -> list[ToPeer]:
        """Forwards several packets of a flow; see `to_agent`."""
        return [self.to_agent(agent, purpose, packet, record) for packet in packets]

    def resend(self, agent: Peer, *, since: float, now: float) -> list[ToPeer]:
        """Forwards again the packets that an agent missed during its restart.

        Args:
            agent: The agent.
            since: When its previous process was last seen, seconds.
            now: Clock reading, seconds.

        Returns:
            The messages.
        """
        missed = self._recent_packets.pop_missed(
            agent.member.member_id, since=since, now=now
        )
        messages = []
        for packet in missed:
            message = self.to_agent(agent, Purpose.OWNED, packet.datagram)
            message.traffic_class = packet.traffic_class
            message.flow = packet.flow
            message.started_at = packet.started_at
            messages.append(message)
        return messages

    def _service_tag(self, service_id: str) -> int:
        tag = self._tags_by_service_id.get(service_id)
        if tag is None:
            tag = self._tags_by_service_id[service_id] = service_tag(service_id)
        return tag


def _class_of(record: FlowRecord) -> TrafficClass:
    if record.request_parameters.kind is RequestKind.UPLOAD:
        return TrafficClass.BULK
    return TrafficClass.INTERACTIVE
