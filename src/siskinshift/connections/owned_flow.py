"""Flows as an agent knows them: its own, and listed ones."""

from __future__ import annotations

from attrs import define
from attrs import frozen

from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import is_after
from siskinshift.connections.segment import is_between


# An end has 16 packets of 1,200 bytes in flight at most; this is several times that.
IN_FLIGHT_MAXIMUM = 1 << 17
# What an upstream may have sent unseen by this process: seconds at 100 Mbit/s.
UNSEEN_WINDOW = 1 << 26


@define(eq=False)
class OwnedFlow:
    """A flow of the agent's upstream.

    Attributes:
        opened_at: When it began, seconds.
        used_at: When a packet was last seen, seconds.
        lowest: Least number that a caller may acknowledge; None before the upstream's
            answer.
        highest: Number that follows the upstream's newest data.
        is_confirmed: Whether the upstream has held the flow open for certain.
        opener: Balancer that sent the opening packet; None once it was told.
        via: Balancer that sent the newest packet; None if it is not known.
        acknowledged: What the caller acknowledged last.
        bare_packet: A caller's packet without data: it can be sent to the upstream
            again at any time to see whether it still holds the flow.
        sent_up_to: Sequence number that follows the caller's newest data.
        ends_seen: FIN of the caller (1) and of the upstream (2).
        ended_at: When the flow ended; 0 while it is open.
    """

    opened_at: float
    used_at: float
    lowest: int | None = None
    highest: int = 0
    is_confirmed: bool = False
    opener: tuple[str, int] | None = None
    via: tuple[str, int] | None = None
    acknowledged: int = 0
    bare_packet: bytes = b""
    sent_up_to: int | None = None
    ends_seen: int = 0
    ended_at: float = 0.0

    def acknowledges_it(self, ack: int) -> bool:
        """Says whether a caller's packet is of this upstream's flow.

        Two upstreams may answer one opening packet. The numbers they draw may lie
        near each other, so only what this upstream has sent counts.

        Args:
            ack: What the caller acknowledges.

        Returns:
            Whether this upstream sent just that.
        """
        return self.lowest is not None and is_between(ack, self.lowest, self.highest)

    def note_upstream(self, segment: Segment) -> None:
        """Takes note of what the upstream has sent.

        Args:
            segment: Its packet.
        """
        follows = segment.next_sequence
        if not segment.flags & SYN:
            self.is_confirmed = True
        if self.lowest is None:
            if segment.flags & SYN:
                self.lowest = self.highest = follows
            else:
                self.begin_in_the_middle(follows)
        elif is_after(follows, self.highest):
            self.highest = follows

    def begin_in_the_middle(self, number: int) -> None:
        """Takes note of a flow that opened before this process knew of it.

        Its upstream holds it, so no other one can: the range may be wide. It has to
        be, since the first packet seen may be a copy of an old one.

        Args:
            number: A number that the upstream has reached.
        """
        self.lowest = (number - IN_FLIGHT_MAXIMUM) % SEQUENCE_SPACE
        self.highest = (number + UNSEEN_WINDOW) % SEQUENCE_SPACE


@frozen
class LongFlow:
    """A flow that its caller keeps, as it is listed for the agent's successor.

    Attributes:
        packet: A packet of the caller that can be sent to the upstream at any time.
        via: Balancer that sent the newest packet; None if it is not known.
    """

    packet: bytes
    via: tuple[str, int] | None


@frozen
class RestoredFlow:
    """A flow from the list of the process before this one.

    Attributes:
        segment: A packet of the caller.
        via: Balancer that sent the newest packet; None if it is not known.
    """

    segment: Segment
    via: tuple[str, int] | None = None
