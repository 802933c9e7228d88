"""Routes each packet of a caller at a balancer.

A balancer only caches flows: the agents own them, and the balancer queries the agents
for the owner of a flow that is not in its cache. Callers open flows while agents fail,
restart and fill up. Without retries by the balancer, an opening packet to a failed
agent delays the caller by the 200 ms to its next retransmission. With them the delay is
milliseconds if an agent refuses, and the delay of `retry_timers` if none replies.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.early_packets import EarlyPackets
from siskinshift.connections.egress.departure import Departure
from siskinshift.connections.flow_records import Attempt
from siskinshift.connections.flow_records import FlowRecord
from siskinshift.connections.flow_records import FlowRecords
from siskinshift.connections.forwarding import Forwarding
from siskinshift.connections.owner_finder import OwnerFinder
from siskinshift.connections.peer_codec import encode_ownership_announcements
from siskinshift.connections.peer_codec import encode_warm_up_rate
from siskinshift.connections.peer_messages import OwnershipAnnouncement
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.retry_timers import RetryTimers
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import MAX_OPENING_SECONDS
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import format_flow
from siskinshift.connections.segment import service_address
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.load.retry_budget import RetryBudget


if TYPE_CHECKING:
    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.health.outlier_detector import OutlierDetector
    from siskinshift.connections.owner_lookup import OwnerLookup
    from siskinshift.connections.peer_messages import FlowVerdict
    from siskinshift.connections.placement import AgentPlacement
    from siskinshift.connections.routes import ConnectionRoute
    from siskinshift.connections.routes import RouteTable
    from siskinshift.connections.segment import Segment
    from siskinshift.observability.event_log import EventLog


# Limit of agents to which one flow is offered: three simultaneous failures of agents
# are an outage.
MAX_ATTEMPTS = 4
# Limit of agents that refuse one opening with FULL while admission control is in force.
# The placement offers it to the least loaded ones first; more offers of each refused
# opening would take a large part of a 5 Mbit/s link during a burst.
MAX_FULL_REFUSALS = 8
# Longest time that an opening packet is held while no agent can accept it. Callers
# retransmit after 200 ms, which offers the flow again.
MAX_HOLD_SECONDS = 0.25
# Limit of opening packets held at a time, to bound the memory.
MAX_HELD_PACKETS = 2000
# Retries after a missing reply that one accepted flow allows. The agents of a failure
# domain, a third of all, may fail together: two accepted flows allow the retry of one
# that was offered to a failed agent. Attempts do not multiply while no agent replies.
RETRY_FRACTION = 0.5


class BalancerFlows:
    """The flows of one balancer: their cache, placement and retries.

    Attributes:
        outlier_detector: Selects the agents that may get new flows; None if the
            deployment does not call for it.
        is_link_scheduled: Whether packets may wait in this balancer, so that the times
            of openings count from when they have left it.
        refuses_when_full: Whether an opening that all attempted agents refused with
            FULL is reset at once, because their admission control is in force.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        placement: AgentPlacement,
        failure_domain: str,
        link_bytes_per_second: float,
        log: EventLog,
    ) -> None:
        """Initializes the flows without a configuration.

        Args:
            fleet: The agents.
            placement: Chooses the agent for a new flow.
            failure_domain: Failure domain of this balancer.
            link_bytes_per_second: Capacity of its link.
            log: Records each decision.
        """
        self.refuses_when_full = False
        self._fleet = fleet
        self._placement = placement
        self._log = log
        self._routes: RouteTable | None = None
        self._dropped_addresses: set[bytes] = set()
        self._early_packets = EarlyPackets()
        self._records = FlowRecords()
        self.is_link_scheduled = False
        self._retry_timers = RetryTimers()
        self._held_records: deque[FlowRecord] = deque()
        self.outlier_detector: OutlierDetector | None = None
        self._retry_budget = RetryBudget(fraction=RETRY_FRACTION)
        self._forwarding = Forwarding()
        self._finder = OwnerFinder(
            fleet=fleet,
            records=self._records,
            forwarding=self._forwarding,
            failure_domain=failure_domain,
            link_bytes_per_second=link_bytes_per_second,
            log=log,
        )

    def __len__(self) -> int:
        return len(self._records)

    @property
    def routes(self) -> RouteTable | None:
        """The configuration in force; None before the first."""
        return self._routes

    def configure(self, routes: RouteTable) -> bool:
        """Applies a configuration if it is newer than the current one.

        Args:
            routes: The configuration.

        Returns:
            Whether the configuration was applied.
        """
        if self._routes is not None:
            if routes.version <= self._routes.version:
                return False
            self._dropped_addresses |= set(self._routes.routes_by_address)
        self._dropped_addresses -= set(routes.routes_by_address)
        self._routes = routes
        return True

    def on_segment(self, segment: Segment, *, now: float) -> list[Action]:
        """Handles a caller's packet.

        Args:
            segment: The packet.
            now: Clock reading, seconds.

        Returns:
            Actions to perform.
        """
        flags = segment.flags
        if flags & BOUNCED or flags & (SYN | ACK) == SYN | ACK:
            # Callers send neither, and an upstream would treat the packet as forged.
            return []
        if self._routes is None:
            self._early_packets.add(segment, now=now)
            return []
        route = self._routes.routes_by_address.get(service_address(segment.flow))
        if route is None:
            return self._on_unrouted(segment)
        if flags & SYN:
            return self._on_opening(route, segment, now=now)
        record = self._records.find(segment.flow)
        if record is None:
            record = self._records.add(FlowRecord(segment.flow))
        record.acknowledged = segment.ack
        if record.request_parameters is not route.request_parameters:
            record.request_parameters = route.request_parameters
            record.service_ids = route.service_ids
            record.owner_header = b""
        if record.owner is not None:
            return [self._forwarding.to_owner(record, record.owner, segment, now=now)]
        accepted = record.sole_acceptor
        if accepted is not None:
            record.owner = accepted
            record.opening = b""
            return [self._forwarding.to_owner(record, accepted, segment, now=now)]
        return self._finder.find(record, segment, now=now)

    def process_early_packets(self, *, now: float) -> list[Action]:
        """Handles the packets that arrived before the first configuration.

        Args:
            now: Clock reading, seconds.

        Returns:
            Actions to perform.
        """
        early = self._early_packets.pop_recent(now=now)
        return [
            action for segment in early for action in self.on_segment(segment, now=now)
        ]

    def on_verdict(
        self, agent: Peer, verdict: FlowVerdict, *, now: float
    ) -> list[Action]:
        """Handles an agent's verdict about a flow.

        Args:
            agent: The agent.
            verdict: Its verdict.
            now: Clock reading, seconds.

        Returns:
            Actions to perform.
        """
        self._fleet.record_message(agent, now=now)
        self._fleet.update_load(agent, verdict.load)
        record = self._records.find(verdict.flow)
        if record is None:
            return []
        if verdict.verdict in (Verdict.MINE, Verdict.UNSURE, Verdict.NOT_MINE):
            return self._finder.on_verdict(agent, verdict, record, now=now)
        return self._on_opening_verdict(agent, record, verdict.verdict, now=now)

    def on_agent_restarted(
        self, agent: Peer, *, last_seen_at: float, now: float
    ) -> list[Action]:
        """Resends the packets that an agent missed during its restart.

        Args:
            agent: The agent.
            last_seen_at: When its previous process was last seen, seconds.
            now: Clock reading, seconds.

        Returns:
            Messages with the packets.
        """
        actions = self._forwarding.resend(agent, since=last_seen_at, now=now)
        if actions:
            self._log.decision(
                "sent again",
                agent=agent.member.member_id,
                packets=len(actions),
                silent=round(now - last_seen_at, 3),
            )
        return list(actions)

    def encode_owners(self) -> list[bytes]:
        """Encodes announcements of all owners for the successors of this balancer.

        Returns:
            Messages to send to each successor.
        """
        flows_by_agent: dict[str, list[bytes]] = {}
        for record in self._records:
            if record.owner is not None:
                member_id = record.owner.member.member_id
                flows_by_agent.setdefault(member_id, []).append(record.flow)
        return [
            message
            for member_id, flows in flows_by_agent.items()
            for message in encode_ownership_announcements(member_id, flows)
        ]

    def on_ownership_announcement(
        self, announcement: OwnershipAnnouncement, *, now: float
    ) -> list[Action]:
        """Caches the owner of flows that another node has announced.

        An agent that no longer owns such a flow returns its packets as usual.

        Args:
            announcement: The agent and its flows.
            now: Clock reading, seconds.

        Returns:
            Messages to the owner with packets of flows whose owner was looked up.
        """
        agent = self._fleet.peers_by_id.get(announcement.member_id)
        if agent is None:
            return []
        actions: list[Action] = []
        for flow in announcement.flows:
            record = self._records.find(flow)
            if record is None:
                self._records.add(FlowRecord(flow, owner=agent))
            elif record.owner is None and not record.attempts:
                actions += self._finder.on_owner(agent, record)
        return actions

    def owner_lookup(self, flow: bytes) -> OwnerLookup | None:
        """Returns the active lookup of a flow's owner.

        Args:
            flow: The flow.

        Returns:
            The lookup; None if there is none.
        """
        record = self._records.find(flow)
        return record.lookup if record is not None else None

    def retry_held(self, *, now: float) -> list[Action]:
        """Offers the held opening packets again, after an agent has become ready.

        Args:
            now: Clock reading, seconds.

        Returns:
            Actions to perform.
        """
        actions: list[Action] = []
        for _ in range(len(self._held_records)):
            record = self._held_records.popleft()
            is_current = self._records.find(record.flow) is record
            if is_current and record.owner is None and record.opening:
                actions += self._offer_to_next_agent(record, now=now)
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Handles expired timers.

        Args:
            now: Clock reading, seconds.

        Returns:
            Actions that are due.
        """
        actions: list[Action] = []
        for record, attempt in self._retry_timers.pop_due(now=now):
            if (
                self._records.find(record.flow) is not record
                or attempt not in record.attempts
            ):
                continue
            if attempt.was_dropped:
                actions += self._offer_again(record, now=now)
            else:
                attempt.agent.unanswered_openings += 1
                actions += self._retry(record, now=now)
        actions += self._finder.tick(now=now)
        while (
            self._held_records
            and now - self._held_records[0].opened_at > MAX_HOLD_SECONDS
        ):
            actions += self._refuse(self._held_records.popleft())
        self._records.drop_idle(now=now)
        return actions

    def next_due(self) -> float:
        """Returns when `tick` is due next.

        Returns:
            Clock reading, seconds.
        """
        due = min(self._records.next_due, self._finder.next_due)
        due = min(due, self._retry_timers.next_due)
        if self._held_records:
            due = min(due, self._held_records[0].opened_at + MAX_HOLD_SECONDS)
        return due

    def _on_unrouted(self, segment: Segment) -> list[Action]:
        if segment.flags & RESET:
            return []
        is_first = segment.flags & SYN and segment.ack == 0
        was_dropped = service_address(segment.flow) in self._dropped_addresses
        if is_first and not was_dropped:
            # The route may be new: the caller's retransmission, 200 ms later, is routed
            # or refused.
            return []
        self._records.drop(segment.flow)
        self._log.decision(
            "reset",
            flow=format_flow(segment.flow),
            reason="no route",
            configuration=self._routes.version if self._routes else 0,
        )
        return [ResetCaller(segment.flow, segment.ack)]

    def _on_opening(
        self, route: ConnectionRoute, segment: Segment, *, now: float
    ) -> list[Action]:
        record = self._records.find(segment.flow)
        if record is not None:
            if segment.seq == record.earlier_sequence:
                # Delayed on its way; the caller has opened another flow since.
                return []
            record.remove_dropped_attempts()
        if (
            record is None
            or not record.attempts
            or not record.is_repeated_by(segment, now=now)
        ):
            record = self._add_opening(route, segment, earlier=record, now=now)
            return self._offer_to_next_agent(record, now=now)
        accepted = [
            attempt
            for attempt in record.attempts
            if attempt.verdict is Verdict.ACCEPTED
            and not self._placement.is_evacuated(attempt.agent)
        ]
        if accepted:
            # The reply to the caller was lost; the upstream replies again.
            return [
                self._forwarding.to_agent(
                    a.agent, Purpose.OPEN, segment.datagram, record
                )
                for a in accepted
            ]
        if any(attempt.left_at is None for attempt in record.attempts):
            # The opening still waits for the link.
            return []
        record.opened_at = now
        return self._offer_to_next_agent(record, now=now)

    def _add_opening(
        self,
        route: ConnectionRoute,
        segment: Segment,
        *,
        earlier: FlowRecord | None,
        now: float,
    ) -> FlowRecord:
        """Adds the record of a new flow, in place of an earlier one of its addresses.

        Where both flows meet at one agent, it tells them apart by the numbers that the
        caller acknowledges.
        """
        record = FlowRecord(segment.flow)
        if earlier is not None:
            # Its verdict would reset the new flow.
            earlier.lookup = None
            is_same = earlier.initial_sequence == segment.seq
            record.earlier_sequence = (
                earlier.earlier_sequence if is_same else earlier.initial_sequence
            )
        record.initial_sequence = segment.seq
        record.service_id = route.service_for(segment.flow)
        record.request_parameters = route.request_parameters
        record.service_ids = route.service_ids
        record.opening = segment.datagram
        record.is_opening_retransmitted = segment.ack > 0
        record.opened_at = now
        return self._records.add(record)

    def _offer_to_next_agent(self, record: FlowRecord, *, now: float) -> list[Action]:
        attempted = {attempt.agent.member.member_id for attempt in record.attempts}
        was_refused = any(a.verdict is Verdict.FULL for a in record.attempts)
        agents = eligible = self._fleet.agents_of(record.service_id)
        if self.outlier_detector is not None:
            eligible = self.outlier_detector.eligible(
                record.service_id, agents, attempted=attempted, now=now
            )
        agent = self._placement.choose(
            eligible,
            record.flow,
            attempted=attempted,
            now=now,
            was_refused=was_refused,
        )
        if agent is None and eligible is not agents:
            # An ejected agent that accepts the flow is better than none.
            agent = self._placement.choose(
                agents,
                record.flow,
                attempted=attempted,
                now=now,
                was_refused=was_refused,
            )
        if agent is None:
            return self._hold_opening(record, now=now)
        departure = Departure() if self.is_link_scheduled else None
        attempt = Attempt(agent, offered_at=now, departure=departure)
        record.attempts.append(attempt)
        agent.flows_since_load += 1
        self._retry_timers.add(record, attempt, now=now)
        self._log.decision(
            "open",
            flow=format_flow(record.flow),
            agent=agent.member.member_id,
            attempt=len(record.attempts),
            load=agent.load.flows,
            running=agent.load.running,
            load_age=round(now - agent.last_seen_at, 3),
        )
        return [
            *self._warm_up(agent, record.service_id),
            self._forwarding.to_agent(
                agent, Purpose.OPEN, record.opening, record, departure
            ),
        ]

    def _warm_up(self, agent: Peer, service_id: str) -> list[Action]:
        """Sends a cold agent its warm-up rate; agents do not read the configuration."""
        if agent.member.weight >= FULL_WEIGHT or self._routes is None:
            return []
        rate = self._routes.warm_up_rates_by_service.get(service_id)
        if rate is None:
            return []
        return [ToPeer(agent.address, encode_warm_up_rate(WarmUpRate(rate)))]

    def _retry(self, record: FlowRecord, *, now: float) -> list[Action]:
        """Offers a flow to another agent after a missing reply, within the budget."""
        if len(record.attempts) >= MAX_ATTEMPTS:
            return []
        if not self._retry_budget.try_spend():
            self._log.decision(
                "not tried again", flow=format_flow(record.flow), reason="retry budget"
            )
            return []
        return self._offer_to_next_agent(record, now=now)

    def _offer_again(self, record: FlowRecord, *, now: float) -> list[Action]:
        """Offers a flow again whose opening packet this balancer has dropped.

        The agent has not received it, so that neither the agent nor the retry budget is
        charged.
        """
        record.remove_dropped_attempts()
        if now - record.opened_at > MAX_OPENING_SECONDS:
            return []
        return self._offer_to_next_agent(record, now=now)

    def _hold_opening(self, record: FlowRecord, *, now: float) -> list[Action]:
        if any(attempt.verdict is None for attempt in record.attempts):
            return []
        if self._is_evacuated(record.service_id, now=now):
            return self._refuse(record)
        if self._is_refused_as_full(record, now=now):
            return self._refuse(record, reason="all agents are full")
        if (
            len(self._held_records) >= MAX_HELD_PACKETS
            or now - record.opened_at > MAX_HOLD_SECONDS
        ):
            return self._refuse(record)
        # All agents have refused; the flow may be offered to each of them again.
        record.attempts.clear()
        self._held_records.append(record)
        return []

    def _is_refused_as_full(self, record: FlowRecord, *, now: float) -> bool:
        """Returns whether every attempted agent refused with FULL under admission.

        Their queueing delay exceeds the deadline, so holding the opening for
        `MAX_HOLD_SECONDS` only delays the caller's answer. A cold agent refuses because
        of its warm-up rate and accepts a moment later: after a power failure resets
        would use up the callers' retries within milliseconds. A retransmission is held
        too, since another agent may just have accepted the first packet, and so is any
        opening while other agents may exist that this balancer does not know.
        """
        return (
            self.refuses_when_full
            and not record.is_opening_retransmitted
            and bool(record.attempts)
            and self._fleet.is_complete(now=now)
            and all(
                a.verdict is Verdict.FULL and a.agent.member.weight >= FULL_WEIGHT
                for a in record.attempts
            )
        )

    def _is_evacuated(self, service_id: str, *, now: float) -> bool:
        """Returns whether all agents of a service are evacuated.

        Holding an opening packet is useless then.
        """
        agents = self._fleet.agents_of(service_id)
        has_all_agents = bool(agents) and self._fleet.is_complete(now=now)
        return has_all_agents and all(self._placement.is_evacuated(a) for a in agents)

    def _refuse(
        self, record: FlowRecord, *, reason: str = "no agent takes it"
    ) -> list[Action]:
        if self._records.find(record.flow) is not record or record.owner is not None:
            return []
        self._records.drop(record.flow)
        self._log.decision(
            "reset",
            flow=format_flow(record.flow),
            reason=reason,
            attempts=len(record.attempts),
            agents=len(self._fleet.agents_of(record.service_id)),
        )
        return [ResetCaller(record.flow, 0)]

    def _on_opening_verdict(
        self, agent: Peer, record: FlowRecord, verdict: Verdict, *, now: float
    ) -> list[Action]:
        attempt = record.find_attempt(agent)
        if attempt is None:
            return []
        attempt.verdict = verdict
        if attempt.left_at is not None:
            # The wait in this balancer is no property of the agent.
            agent.record_round_trip(max(0.0, now - attempt.left_at), now=now)
        self._log.decision(
            "opening answered",
            flow=format_flow(record.flow),
            agent=agent.member.member_id,
            verdict=verdict.name.lower(),
        )
        if verdict is Verdict.ACCEPTED:
            self._retry_budget.record_success()
            self._log.metrics.observe("flow_opening", now - record.opened_at)
            return []
        if any(a.verdict in (None, Verdict.ACCEPTED) for a in record.attempts):
            return []
        if len(record.attempts) >= MAX_FULL_REFUSALS and self._is_refused_as_full(
            record, now=now
        ):
            return self._refuse(record, reason="all agents are full")
        return self._offer_to_next_agent(record, now=now)
