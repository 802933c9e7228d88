"""Tracks packets of unknown flows that probe whether the upstream owns the flow."""

from __future__ import annotations

from attrs import frozen

from siskinshift.connections.owned_flow import MAX_IN_FLIGHT_BYTES
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import is_between


# An upstream that holds a flow responds to some of its packets within this time, unless
# it keeps all of its callers waiting. It is probed further in either case.
OVERDUE_AFTER_SECONDS = 0.5
# Probes expire after this; a flow with further packets becomes suspect again.
PROBE_TTL_SECONDS = 4.0


@frozen
class OwnershipProbe:
    """A packet of an unknown flow that probes whether the upstream owns the flow.

    Attributes:
        balancer: Balancer that sent the packet.
        acknowledged: Number that the caller acknowledges in the packet.
        is_lookup: Whether the balancer runs an owner lookup and so keeps the packet.
        started_at: Time at which the upstream got the flow's first packet, seconds.
    """

    balancer: tuple[str, int]
    acknowledged: int
    is_lookup: bool
    started_at: float

    def is_confirmed_by(self, segment: Segment) -> bool:
        """Returns whether a packet of the upstream proves that it holds the flow.

        An upstream that received the opening packet, but whose response the caller
        did not choose, still responds with its own sequence numbers. Without this
        check its agent counted as the owner, and retransmissions of a caller's last
        packet were sent only there.

        A reset proves nothing: an upstream at which an earlier flow of these addresses
        has ended answers data with a reset that has the acknowledged number.

        Args:
            segment: The packet.

        Returns:
            Whether its sequence numbers match what the caller acknowledges.
        """
        if segment.flags & RESET:
            return False
        lowest = (self.acknowledged - MAX_IN_FLIGHT_BYTES) % SEQUENCE_SPACE
        highest = (self.acknowledged + MAX_IN_FLIGHT_BYTES) % SEQUENCE_SPACE
        return is_between(segment.next_sequence, lowest, highest)

    def is_overdue(self, *, now: float) -> bool:
        """Returns whether the upstream failed to respond or to return a packet in time.

        A balancer may treat this agent as the owner because its upstream responded to
        the opening packet, although the caller chose another upstream's response and
        the agent has restarted since. An upstream may keep such a flow half open and
        send nothing. The balancer would send all packets here, and none to the
        upstream that holds the flow.

        Args:
            now: Clock reading, seconds.
        """
        return not self.is_lookup and now - self.started_at >= OVERDUE_AFTER_SECONDS


class OwnershipProbes:
    """Probes of one agent that its upstream has not responded to."""

    def __init__(self) -> None:
        """Initializes an empty collection."""
        self._probes_by_flow: dict[bytes, OwnershipProbe] = {}

    def __len__(self) -> int:
        return len(self._probes_by_flow)

    def add(
        self,
        flow: bytes,
        balancer: tuple[str, int],
        acknowledged: int,
        *,
        is_lookup: bool,
        now: float,
    ) -> OwnershipProbe:
        """Adds a packet that is sent to the upstream.

        Args:
            flow: The flow.
            balancer: Balancer that sent the packet.
            acknowledged: Number that the caller acknowledges in the packet.
            is_lookup: Whether the balancer runs an owner lookup.
            now: Clock reading, seconds.

        Returns:
            The probe; its start is that of the flow's first packet.
        """
        previous = self._probes_by_flow.get(flow)
        started_at = previous.started_at if previous is not None else now
        probe = OwnershipProbe(balancer, acknowledged, is_lookup, started_at)
        self._probes_by_flow[flow] = probe
        return probe

    def pop(self, flow: bytes) -> OwnershipProbe | None:
        """Removes the probe of a flow, if there is one.

        Args:
            flow: The flow.

        Returns:
            The probe.
        """
        return self._probes_by_flow.pop(flow, None)

    def pop_all(self) -> list[tuple[bytes, OwnershipProbe]]:
        """Removes all probes.

        Returns:
            Each flow with its probe.
        """
        removed = list(self._probes_by_flow.items())
        self._probes_by_flow.clear()
        return removed

    def sweep(self, *, now: float) -> None:
        """Removes expired probes.

        Args:
            now: Clock reading, seconds.
        """
        self._probes_by_flow = {
            flow: probe
            for flow, probe in self._probes_by_flow.items()
            if now - probe.started_at <= PROBE_TTL_SECONDS
        }
