"""Buffers callers' packets until a balancer has its first configuration.

Without the buffer callers would wait 0.2 to 1.6 s for their next retransmission
although the balancer is ready. Older packets are dropped: their callers have given up
or will retransmit.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.connections.segment import Segment


# Longest time that a packet is buffered. The first configuration arrives within 0.1 s
# on a good link, and within a second if it is long or the store has just recovered.
MAX_EARLY_SECONDS = 1.0
# 0.7 MB of the largest packets; the busiest balancer receives half of that in a second.
MAX_EARLY_PACKETS = 512


class EarlyPackets:
    """A bounded buffer of packets that drops the oldest when it is full."""

    def __init__(self) -> None:
        """Initializes an empty buffer."""
        self._packets: deque[tuple[float, Segment]] = deque(maxlen=MAX_EARLY_PACKETS)

    def add(self, segment: Segment, *, now: float) -> None:
        """Adds a packet.

        Args:
            segment: The packet.
            now: Clock reading, seconds.
        """
        self._packets.append((now, segment))

    def pop_recent(self, *, now: float) -> list[Segment]:
        """Removes all packets and returns the recent ones.

        Args:
            now: Clock reading, seconds.

        Returns:
            Packets that arrived within the last `MAX_EARLY_SECONDS`.
        """
        recent = [
            segment
            for added_at, segment in self._packets
            if now - added_at <= MAX_EARLY_SECONDS
        ]
        self._packets.clear()
        return recent
