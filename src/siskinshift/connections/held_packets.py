"""Keeps the packets of an upload while the owner of its flow is looked up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define


if TYPE_CHECKING:
    from siskinshift.connections.segment import Segment


# Packets kept besides the newest bare ACK: a caller has at most sixteen with data in
# flight, and a FIN. It has sent another one only after the oldest was acknowledged.
MAX_HELD_PACKETS = 17


@define(eq=False)
class HeldPackets:
    """Packets of one flow in the order of arrival.

    Attributes:
        packets_by_range: Packets by sequence number and bytes of data. A retransmission
            with a newer acknowledgement has the same range and is not kept.
        newest_ack: The newest bare ACK, which replaces the older ones; empty before.
        shortest_data: Shortest packet with data; empty before. An upstream replies to
            data, but not to a bare ACK.
    """

    packets_by_range: dict[tuple[int, int], bytes] = Factory(dict)
    newest_ack: bytes = b""
    shortest_data: bytes = b""

    def __len__(self) -> int:
        return len(self.packets_by_range) + bool(self.newest_ack)

    def add(self, segment: Segment) -> None:
        """Adds a packet of the flow.

        Args:
            segment: The packet; a retransmission of a kept one is ignored.
        """
        if segment.is_bare_ack:
            self.newest_ack = segment.datagram
            return
        datagram = self.packets_by_range.setdefault(
            (segment.seq, segment.length), segment.datagram
        )
        if len(self.packets_by_range) > MAX_HELD_PACKETS:
            del self.packets_by_range[next(iter(self.packets_by_range))]
        if not segment.length:
            return
        if not self.shortest_data or len(datagram) < len(self.shortest_data):
            self.shortest_data = datagram

    @property
    def all(self) -> list[bytes]:
        """The kept packets, the bare ACK first."""
        packets = list(self.packets_by_range.values())
        return [self.newest_ack, *packets] if self.newest_ack else packets

    @property
    def probe(self) -> bytes:
        """The packet from whose reply an agent learns whether it holds the flow."""
        return self.shortest_data or min(self.all, key=len)
