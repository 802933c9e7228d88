"""Queue in which the flow that began first goes first.

Several uploads share a link. Sent in turns, all of them finish late; sent one after the
other, the first ones finish early and the last one no later than in turns.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from itertools import count
from typing import TYPE_CHECKING

from siskinshift.connections.egress.class_queue import queues
from siskinshift.connections.egress.traffic_class import TrafficClass


if TYPE_CHECKING:
    from siskinshift.connections.egress.waiting_packet import WaitingPacket


@queues(TrafficClass.BULK)
class FlowQueue:
    """Packets by flow, flows in the order of their start; see `ClassQueue`.

    A flow whose start is unknown here came from another balancer or outlived a restart,
    and counts as older than the others.
    """

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._packets_by_flow: dict[bytes, deque[WaitingPacket]] = {}
        # Start and number of arrival, which orders flows of unknown start.
        self._order: list[tuple[float, int, bytes]] = []
        self._numbers = count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def first(self) -> WaitingPacket:
        """The first packet of the flow that began first."""
        return self._packets_by_flow[self._order[0][2]][0]

    def add(self, packet: WaitingPacket) -> None:
        """Adds a packet behind those of its flow."""
        flow = packet.action.flow
        packets = self._packets_by_flow.get(flow)
        if packets is None:
            packets = self._packets_by_flow[flow] = deque()
            insort(self._order, (packet.action.started_at, next(self._numbers), flow))
        packets.append(packet)
        self._length += 1

    def pop_first(self) -> WaitingPacket:
        """Removes and returns the first packet of the flow that began first."""
        return self._pop(0, is_first=True)

    def pop_last(self) -> WaitingPacket:
        """Removes and returns the last packet of the flow that began last."""
        return self._pop(-1, is_first=False)

    def pop_arrived_before(self, time: float) -> list[WaitingPacket]:
        """Removes and returns the packets that arrived before a time, seconds."""
        expired = []
        for index in range(len(self._order) - 1, -1, -1):
            packets = self._packets_by_flow[self._order[index][2]]
            old = sum(1 for packet in packets if packet.arrived_at < time)
            expired += [self._pop(index, is_first=True) for _ in range(old)]
        return expired

    def _pop(self, index: int, *, is_first: bool) -> WaitingPacket:
        flow = self._order[index][2]
        packets = self._packets_by_flow[flow]
        packet = packets.popleft() if is_first else packets.pop()
        if not packets:
            del self._order[index]
            del self._packets_by_flow[flow]
        self._length -= 1
        return packet
