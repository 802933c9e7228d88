"""Caches a balancer's records of flows, bounded in size and dropped by age."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from siskinshift.connections.egress.departure import Departure
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.fleet import Peer
from siskinshift.connections.owner_lookup import OwnerLookup
from siskinshift.connections.peer_messages import NO_REQUEST_PARAMETERS
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.segment import MAX_OPENING_SECONDS


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.connections.segment import Segment


# A record is dropped when its flow was idle for one to two of these.
GENERATION_SECONDS = 60.0
# Number of records at which the older half is dropped early, so that memory stays
# bounded.
MAX_RECORDS = 50_000


@define(eq=False)
class Attempt:
    """An attempt to open a flow at an agent.

    Attributes:
        agent: The agent.
        offered_at: When it was sent the opening packet, seconds.
        verdict: Its reply; None before it arrives.
        departure: When the opening packet left the balancer's link; None if the link is
            not scheduled, so that it left at once.
    """

    agent: Peer
    offered_at: float = 0.0
    verdict: Verdict | None = None
    departure: Departure | None = None

    @property
    def left_at(self) -> float | None:
        """When the opening packet left, seconds; None while it waits."""
        if self.departure is None:
            return self.offered_at
        return self.departure.left_at

    @property
    def was_dropped(self) -> bool:
        """Whether this balancer dropped the opening packet before it left."""
        return self.departure is not None and self.departure.was_dropped


@define(eq=False)
class FlowRecord:
    """A balancer's record of a flow.

    Attributes:
        flow: The flow.
        service_id: Service that was selected for the flow; empty if its opening packet
            was not received.
        service_ids: Services that may hold the flow by the configuration.
        owner: Agent whose upstream holds the flow, once known.
        was_owner_refuted: Whether the presumed owner did not confirm its ownership.
        opening: The opening packet, until the flow is open.
        opened_at: Time of arrival of the opening packet, seconds.
        attempts: Attempts to open the flow, one per agent.
        request_parameters: Request parameters of the flow's route.
        lookup: The owner lookup in progress, if any.
        acknowledged: Number that the caller acknowledged last.
        owner_header: Cached header of packets for the owner, since most packets of a
            balancer belong to open flows.
        traffic_class: Class of these packets, cached with the header.
        is_opening_retransmitted: Whether the opening packet is a retransmission. The
            earlier one may have passed another balancer.
        initial_sequence: Sequence number of the opening packet; None if it was not
            received.
        earlier_sequence: The same of the flow that had these addresses before.
    """

    flow: bytes
    service_id: str = ""
    owner: Peer | None = None
    was_owner_refuted: bool = False
    opening: bytes = b""
    opened_at: float = 0.0
    attempts: list[Attempt] = Factory(list)
    request_parameters: RequestParameters = NO_REQUEST_PARAMETERS
    lookup: OwnerLookup | None = None
    acknowledged: int = 0
    owner_header: bytes = b""
    traffic_class: TrafficClass = TrafficClass.INTERACTIVE
    service_ids: tuple[str, ...] = ()
    is_opening_retransmitted: bool = False
    initial_sequence: int | None = None
    earlier_sequence: int | None = None

    @property
    def sole_acceptor(self) -> Peer | None:
        """The agent that accepted the flow, if it was the only attempt.

        Another balancer may have offered the flow to other agents as well. The presumed
        owner then denies the flow and is no longer returned.
        """
        if self.was_owner_refuted:
            return None
        if len(self.attempts) == 1 and self.attempts[0].verdict is Verdict.ACCEPTED:
            return self.attempts[0].agent
        return None

    def is_repeated_by(self, opening: Segment, *, now: float) -> bool:
        """Returns whether an opening packet is a retransmission of this flow's.

        A caller may use its port again while the record is kept, so the addresses
        alone prove nothing.

        Args:
            opening: The opening packet.
            now: Clock reading, seconds.
        """
        is_waiting = now - self.opened_at <= MAX_OPENING_SECONDS
        return is_waiting and opening.seq == self.initial_sequence

    def remove_dropped_attempts(self) -> None:
        """Removes attempts of which the agent has not been sent the opening packet."""
        for attempt in [a for a in self.attempts if a.was_dropped]:
            self.attempts.remove(attempt)
            agent = attempt.agent
            agent.flows_since_load = max(0, agent.flows_since_load - 1)

    def find_attempt(self, agent: Peer) -> Attempt | None:
        """Returns the attempt with an agent, if any."""
        for attempt in self.attempts:
            if attempt.agent is agent:
                return attempt
        return None


class FlowRecords:
    """Records by flow in two generations.

    The old generation is dropped when the young one replaces it. A record that is
    looked up moves to the young generation.
    """

    def __init__(self) -> None:
        """Initializes an empty cache."""
        self._young: dict[bytes, FlowRecord] = {}
        self._old: dict[bytes, FlowRecord] = {}
        self._generation_at = 0.0

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def __iter__(self) -> Iterator[FlowRecord]:
        yield from self._young.values()
        yield from self._old.values()

    @property
    def next_due(self) -> float:
        """Clock reading at which `drop_idle` is due next, seconds."""
        return self._generation_at + GENERATION_SECONDS

    def find(self, flow: bytes) -> FlowRecord | None:
        """Returns the record of a flow and marks it as used.

        Args:
            flow: The flow.

        Returns:
            The record; None if the flow is unknown.
        """
        record = self._young.get(flow)
        if record is not None:
            return record
        record = self._old.pop(flow, None)
        if record is not None:
            self._young[flow] = record
        return record

    def add(self, record: FlowRecord) -> FlowRecord:
        """Adds a record and replaces any other of its flow.

        Args:
            record: The record.

        Returns:
            The same record.
        """
        if len(self._young) >= MAX_RECORDS // 2:
            self._old = self._young
            self._young = {}
        self._old.pop(record.flow, None)
        self._young[record.flow] = record
        return record

    def drop(self, flow: bytes) -> None:
        """Removes the record of a flow.

        Args:
            flow: The flow.
        """
        self._young.pop(flow, None)
        self._old.pop(flow, None)

    def drop_idle(self, *, now: float) -> None:
        """Drops the old generation when it is due.

        Args:
            now: Clock reading, seconds.
        """
        if now - self._generation_at <= GENERATION_SECONDS:
            return
        self._generation_at = now
        self._old = self._young
        self._young = {}
