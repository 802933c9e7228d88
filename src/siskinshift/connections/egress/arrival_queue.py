"""Queue in the order of arrival."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from siskinshift.connections.egress.class_queue import queues
from siskinshift.connections.egress.traffic_class import TrafficClass


if TYPE_CHECKING:
    from siskinshift.connections.egress.waiting_packet import WaitingPacket


@queues(TrafficClass.CONTROL, TrafficClass.OPENING, TrafficClass.INTERACTIVE)
class ArrivalQueue:
    """Packets in the order of arrival; see `ClassQueue`."""

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._packets: deque[WaitingPacket] = deque()

    def __len__(self) -> int:
        return len(self._packets)

    @property
    def first(self) -> WaitingPacket:
        """The oldest packet."""
        return self._packets[0]

    def add(self, packet: WaitingPacket) -> None:
        """Adds a packet."""
        self._packets.append(packet)

    def pop_first(self) -> WaitingPacket:
        """Removes and returns the oldest packet."""
        return self._packets.popleft()

    def pop_last(self) -> WaitingPacket:
        """Removes and returns the newest packet."""
        return self._packets.pop()

    def pop_arrived_before(self, time: float) -> list[WaitingPacket]:
        """Removes and returns the packets that arrived before a time, seconds."""
        expired = []
        while self._packets and self._packets[0].arrived_at < time:
            expired.append(self._packets.popleft())
        return expired
