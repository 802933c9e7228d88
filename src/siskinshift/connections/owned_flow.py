"""The state of one flow at an agent, and the records of flow snapshots."""

from __future__ import annotations

from attrs import define
from attrs import frozen

from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.segment import MAX_OPENING_SECONDS
from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import is_at_or_after
from siskinshift.connections.segment import is_between


# A sender has at most 16 packets of 1,200 bytes in flight; this is several times that.
MAX_IN_FLIGHT_BYTES = 1 << 17
# Data that an upstream may have sent unseen by this process: seconds at 100 Mbit/s.
MAX_UNSEEN_BYTES = 1 << 26


@frozen
class PendingOpening:
    """An opening packet of a later flow that the upstream has not answered yet.

    Attributes:
        segment: The packet.
        parameters: Request parameters of its route.
    """

    segment: Segment
    parameters: RequestParameters


@define(eq=False)
class OwnedFlow:
    """State of a flow of the agent's upstream.

    Attributes:
        opened_at: Time at which the flow began, seconds.
        used_at: Time of the last packet, seconds.
        min_ack: Lowest number that the caller may acknowledge; None before the
            upstream's response.
        max_ack: Number that follows the upstream's newest data.
        is_confirmed: Whether the upstream has certainly held the flow open.
        opening_balancer: Balancer that sent the opening packet; None once it has been
            notified.
        last_balancer: Balancer that sent the newest packet; None if unknown.
        acknowledged: Number that the caller acknowledged last.
        verification_packet: Packet of the caller without data. It can be sent to the
            upstream again at any time to verify that it still holds the flow.
        next_caller_sequence: Sequence number that follows the caller's newest data.
        fins_seen: FIN of the caller (1) and of the upstream (2).
        ended_at: Time at which the flow ended; 0 while it is open.
        is_retry: Whether the flow is probably a retry of another one.
        dropped_until: Time at which the caller of a dropped request gives up, seconds;
            0 if none was dropped. Retransmissions are discarded until newer data.
        initial_sequence: Sequence number of the opening packet; None if this process
            did not receive it.
        earlier_sequence: The same of the flow that had these addresses before.
        pending_opening: Opening packet of a later flow with these addresses. The
            upstream decides which of the two flows it holds.
    """

    opened_at: float
    used_at: float
    min_ack: int | None = None
    max_ack: int = 0
    is_confirmed: bool = False
    opening_balancer: tuple[str, int] | None = None
    last_balancer: tuple[str, int] | None = None
    acknowledged: int = 0
    verification_packet: bytes = b""
    next_caller_sequence: int | None = None
    fins_seen: int = 0
    ended_at: float = 0.0
    is_retry: bool = False
    dropped_until: float = 0.0
    initial_sequence: int | None = None
    earlier_sequence: int | None = None
    pending_opening: PendingOpening | None = None

    @property
    def is_open(self) -> bool:
        """Whether the upstream has held the flow open and it has not ended."""
        return self.is_confirmed and not self.ended_at

    @property
    def is_in_use(self) -> bool:
        """Whether the upstream or the caller has sent more than its opening."""
        return (
            self.is_confirmed
            or bool(self.verification_packet)
            or self.next_caller_sequence is not None
        )

    def is_repeated_by(self, opening: Segment, *, now: float) -> bool:
        """Returns whether an opening packet is a retransmission of this flow's.

        Args:
            opening: The opening packet.
            now: Clock reading, seconds.
        """
        if opening.seq != self.initial_sequence:
            return False
        return self.is_open or self.is_opening(now=now)

    def expects_opening(self, opening: Segment) -> bool:
        """Returns whether the flow, or the pending one, has an opening packet's number.

        Args:
            opening: The opening packet.
        """
        pending = self.pending_opening
        return opening.seq == self.initial_sequence or (
            pending is not None and opening.seq == pending.segment.seq
        )

    def is_opening(self, *, now: float) -> bool:
        """Returns whether its caller may still retransmit the opening packet.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether the flow has not ended and was opened recently. An older one that
            was never confirmed does not belong to an opening packet of the same port.
        """
        return not self.ended_at and now - self.opened_at <= MAX_OPENING_SECONDS

    def matches_acknowledgement(self, ack: int) -> bool:
        """Returns whether a caller's packet belongs to this upstream's flow.

        Two upstreams may respond to one opening packet, and their initial sequence
        numbers may be close to each other, so only numbers that this upstream has
        sent are accepted.

        Args:
            ack: Number that the caller acknowledges.

        Returns:
            Whether this upstream has sent that number.
        """
        return self.min_ack is not None and is_between(ack, self.min_ack, self.max_ack)

    def record_upstream_packet(self, segment: Segment) -> None:
        """Updates the range of valid acknowledgements by a packet of the upstream.

        Args:
            segment: The packet.
        """
        follows = segment.next_sequence
        if not segment.flags & SYN:
            self.is_confirmed = True
        if self.min_ack is None:
            if segment.flags & SYN:
                self.min_ack = self.max_ack = follows
            else:
                self.adopt_at(follows)
        elif is_at_or_after(follows, self.max_ack):
            self.max_ack = follows

    def adopt_at(self, number: int) -> None:
        """Adopts a flow that opened before this process tracked it.

        The upstream holds the flow, so no other one can, and the range may be wide. It
        has to be, since the first packet may be a retransmission of an old one.

        Args:
            number: A sequence number that the upstream has reached.
        """
        self.min_ack = (number - MAX_IN_FLIGHT_BYTES) % SEQUENCE_SPACE
        self.max_ack = (number + MAX_UNSEEN_BYTES) % SEQUENCE_SPACE


@frozen
class LongLivedFlow:
    """A flow that its caller keeps open, for the snapshot that a restarted agent reads.

    Attributes:
        packet: Packet of the caller that can be sent to the upstream at any time.
        last_balancer: Balancer that sent the newest packet; None if unknown.
    """

    packet: bytes
    last_balancer: tuple[str, int] | None


@frozen
class RestoredFlow:
    """A flow from the snapshot of the previous process.

    Attributes:
        segment: Packet of the caller.
        last_balancer: Balancer that sent the newest packet; None if unknown.
    """

    segment: Segment
    last_balancer: tuple[str, int] | None = None
