"""One end of a flow: sequence numbers, retransmission and the two FINs."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from standins.packets import ACK
from standins.packets import FIN
from standins.packets import MASK
from standins.packets import MAX_DATA
from standins.packets import SYN
from standins.packets import Address
from standins.packets import Packet
from standins.packets import encode


if TYPE_CHECKING:
    from collections.abc import Callable


FIRST_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
MAX_RETRANSMISSIONS = 8
MAX_IN_FLIGHT = 16


class FlowEnd:
    """The state that both ends keep of an open flow.

    Attributes:
        is_fin_received: Whether the other end has closed.
        is_given_up: Whether a packet was retransmitted too often.
    """

    def __init__(
        self, own: Address, peer: Address, send: Callable[[bytes], object]
    ) -> None:
        """Initializes an end with a random sequence number."""
        self.own = own
        self.peer = peer
        self._send = send
        self.start = random.getrandbits(32)
        self.next_seq = (self.start + 1) & MASK
        self.expected = 0
        self.received = b""
        self.is_fin_received = False
        self.is_fin_sent = False
        self.is_given_up = False
        self._queue: list[tuple[int, int, bytes]] = []
        self._tries = 0
        self._due = 0.0
        self._unacknowledged = 0

    @property
    def is_all_acknowledged(self) -> bool:
        """Whether the other end has everything that was sent."""
        return not self._queue

    @property
    def is_closed(self) -> bool:
        """Whether both ends have sent a FIN that arrived."""
        return self.is_fin_received and self.is_fin_sent and self.is_all_acknowledged

    def send(self, data: bytes, now: float, *, closes: bool = False) -> None:
        """Queues data, and a FIN behind it if the flow closes."""
        for start in range(0, len(data), MAX_DATA):
            self._add(ACK, data[start : start + MAX_DATA])
        if closes and not self.is_fin_sent:
            self.is_fin_sent = True
            self._add(ACK | FIN, b"")
        self._due = now + FIRST_RETRANSMISSION_S
        self._tries = 0
        self._transmit()

    def acknowledge(self) -> None:
        """Sends a packet without data."""
        self._unacknowledged = 0
        self._send(encode(self.own, self.peer, ACK, self.next_sent, self.expected))

    @property
    def next_sent(self) -> int:
        """The sequence number behind everything sent so far."""
        window = self._queue[:MAX_IN_FLIGHT]
        if not window:
            return self.next_seq
        seq, flags, data = window[-1]
        return (seq + len(data) + bool(flags & FIN)) & MASK

    def on_packet(self, packet: Packet, now: float) -> None:
        """Handles a packet of the open flow."""
        before = len(self._queue)
        while self._queue:
            seq, flags, data = self._queue[0]
            end = seq + len(data) + bool(flags & FIN)
            if (packet.ack - end) & MASK >= 1 << 31:
                break
            self._queue.pop(0)
        if len(self._queue) < before:
            self._due, self._tries = now + FIRST_RETRANSMISSION_S, 0
            self._transmit(from_index=MAX_IN_FLIGHT - (before - len(self._queue)))
        if not packet.length or packet.flags & SYN:
            if packet.flags & SYN:
                self.acknowledge()
            return
        if packet.seq == self.expected:
            self.expected = (self.expected + packet.length) & MASK
            self.received += packet.data
            self.is_fin_received = self.is_fin_received or bool(packet.flags & FIN)
            self._unacknowledged += 1
            if self._unacknowledged < 2 and not packet.flags & FIN:
                return
        self.acknowledge()

    def tick(self, now: float) -> None:
        """Retransmits what is missing."""
        if self._unacknowledged:
            self.acknowledge()
        if not self._queue or now < self._due:
            return
        self._tries += 1
        if self._tries > MAX_RETRANSMISSIONS:
            self.is_given_up = True
            return
        pause = min(FIRST_RETRANSMISSION_S * 2.0**self._tries, MAX_RETRANSMISSION_S)
        self._due = now + pause
        self._transmit(count=1)

    def _add(self, flags: int, data: bytes) -> None:
        self._queue.append((self.next_seq, flags, data))
        self.next_seq = (self.next_seq + len(data) + bool(flags & FIN)) & MASK

    def _transmit(self, *, from_index: int = 0, count: int = MAX_IN_FLIGHT) -> None:
        for seq, flags, data in self._queue[max(0, from_index) : MAX_IN_FLIGHT][:count]:
            self._send(encode(self.own, self.peer, flags, seq, self.expected, data))
        if self._queue:
            self._unacknowledged = 0
