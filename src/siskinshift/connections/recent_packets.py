"""Keeps packets that a balancer sent recently, to resend them after an agent restart.

An agent that restarts while its upstream keeps running is unavailable for half a second
to a second. Packets sent to it are lost, and callers retransmit after 0.2, 0.4 and
0.8 s, so a request from the start of the gap would wait for the next retransmission
although the agent is available again. Resending the packets at once limits the delay to
the gap; an upstream that has received them already treats them as duplicates.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define

from siskinshift.connections.egress.traffic_class import TrafficClass


if TYPE_CHECKING:
    from siskinshift.connections.flow_records import FlowRecord


# An agent restarts within a second; callers have retransmitted older packets by then.
MAX_PACKET_AGE_SECONDS = 1.5
# 1.2 KB each, so 0.6 MB at most; a balancer of the largest fleet forwards about 500
# packets with data in that time.
MAX_RECENT_PACKETS = 512


# Not frozen: that doubles the time to create one, and each packet with data needs one.
@define(eq=False)
class SentPacket:
    """A packet that an agent was sent.

    Attributes:
        sent_at: When it was sent, seconds.
        member_id: The agent.
        datagram: The packet.
        flow: Its flow; the record of the flow may be dropped before a resend.
        traffic_class: Its class on the balancer's own link.
        started_at: When the flow began, seconds; 0 if its opening was not received.
    """

    sent_at: float
    member_id: str
    datagram: bytes
    flow: bytes
    traffic_class: TrafficClass
    started_at: float


class RecentPackets:
    """A bounded list of the most recent packets with data."""

    def __init__(self) -> None:
        self._packets: deque[SentPacket] = deque(maxlen=MAX_RECENT_PACKETS)

    def add(
        self, member_id: str, datagram: bytes, record: FlowRecord, *, now: float
    ) -> None:
        """Adds a packet.

        Args:
            member_id: The agent that it was sent to.
            datagram: The packet.
            record: Its flow.
            now: Clock reading, seconds.
        """
        self._packets.append(
            SentPacket(
                now,
                member_id,
                datagram,
                record.flow,
                record.traffic_class,
                record.opened_at,
            )
        )

    def pop_missed(
        self, member_id: str, *, since: float, now: float
    ) -> list[SentPacket]:
        """Removes an agent's packets and returns those that it may have missed.

        Args:
            member_id: The agent.
            since: When the agent was last seen, seconds.
            now: Clock reading, seconds.

        Returns:
            The packets, oldest first.
        """
        after = max(since, now - MAX_PACKET_AGE_SECONDS)
        missed = [
            packet
            for packet in self._packets
            if packet.member_id == member_id and packet.sent_at >= after
        ]
        self._packets = deque(
            (packet for packet in self._packets if packet.member_id != member_id),
            maxlen=MAX_RECENT_PACKETS,
        )
        return missed
