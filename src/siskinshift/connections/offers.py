"""Packets of unknown flows that an upstream was given, to see what it says of them."""

from __future__ import annotations

from attrs import frozen

from siskinshift.connections.owned_flow import IN_FLIGHT_MAXIMUM
from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import is_between


# An upstream that holds a flow answers some of its packets within this, unless all of
# its callers wait; it is asked further all the same.
UNANSWERED_SECONDS = 0.5
# Offers are forgotten after this; a flow that is offered on is doubted once more.
OFFERED_SECONDS = 4.0


@frozen
class Offer:
    """A packet of an unknown flow that the upstream was given, to see what it says.

    Attributes:
        asker: Balancer that sent the packet.
        acknowledged: What the caller acknowledges in it.
        is_search: Whether that balancer searches, so that it has the packet.
        since: When the first of the flow's packets was given to it, seconds.
    """

    asker: tuple[str, int]
    acknowledged: int
    is_search: bool
    since: float

    def is_answered_by(self, segment: Segment) -> bool:
        """Says whether a packet of the upstream shows that it holds the flow.

        Guards against an upstream that was asked to open the flow, lost, and still
        answers for it: its numbers are its own. Without the guard its agent was taken
        for the owner, and the copies of a caller's last packet went there alone.

        Args:
            segment: The packet.

        Returns:
            Whether its numbers are those that the caller knows.
        """
        lowest = (self.acknowledged - IN_FLIGHT_MAXIMUM) % SEQUENCE_SPACE
        highest = (self.acknowledged + IN_FLIGHT_MAXIMUM) % SEQUENCE_SPACE
        return is_between(segment.next_sequence, lowest, highest)

    def is_doubtful(self, *, now: float) -> bool:
        """Says whether the upstream should have answered for the flow or returned it.

        Guards against a balancer that takes this agent for the owner because its
        upstream answered the opening packet, while the caller chose another one's
        answer, and the agent has restarted since: an upstream may keep the flow half
        open and say nothing. The balancer would send all packets here, and none to the
        upstream that holds the flow.

        Args:
            now: Clock reading, seconds.
        """
        return not self.is_search and now - self.since >= UNANSWERED_SECONDS


class Offers:
    """The offers of one agent that its upstream has not answered."""

    def __init__(self) -> None:
        """Begins without any."""
        self._offers_by_flow: dict[bytes, Offer] = {}

    def __len__(self) -> int:
        return len(self._offers_by_flow)

    def add(
        self,
        flow: bytes,
        asker: tuple[str, int],
        acknowledged: int,
        *,
        is_search: bool,
        now: float,
    ) -> Offer:
        """Takes note that the upstream is given a packet.

        Args:
            flow: The flow.
            asker: Balancer that sent the packet.
            acknowledged: What the caller acknowledges in it.
            is_search: Whether that balancer searches.
            now: Clock reading, seconds.

        Returns:
            The offer; it began with the first such packet.
        """
        before = self._offers_by_flow.get(flow)
        since = before.since if before is not None else now
        offer = Offer(asker, acknowledged, is_search, since)
        self._offers_by_flow[flow] = offer
        return offer

    def take(self, flow: bytes) -> Offer | None:
        """Ends the offer of a flow, if there is one.

        Args:
            flow: The flow.

        Returns:
            The offer.
        """
        return self._offers_by_flow.pop(flow, None)

    def take_all(self) -> list[tuple[bytes, Offer]]:
        """Ends all offers.

        Returns:
            Each flow with its offer.
        """
        taken = list(self._offers_by_flow.items())
        self._offers_by_flow.clear()
        return taken

    def sweep(self, *, now: float) -> None:
        """Forgets offers that began a while ago.

        Args:
            now: Clock reading, seconds.
        """
        self._offers_by_flow = {
            flow: offer
            for flow, offer in self._offers_by_flow.items()
            if now - offer.since <= OFFERED_SECONDS
        }
