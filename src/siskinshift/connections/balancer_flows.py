"""Decides at a balancer what becomes of each packet of a caller.

A balancer's memory of flows is a cache: the agents own them, and what a balancer does
not know it asks them. Pattern: callers open flows while agents die, restart and fill
up. Without retries of its own a packet to a dead agent costs the caller the 200 ms to
its next copy; with the agents' verdicts it costs milliseconds if refused, and the
`RETRY_AFTER_SECONDS` if nothing comes back.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.early_packets import EarlyPackets
from siskinshift.connections.flow_records import Attempt
from siskinshift.connections.flow_records import FlowRecord
from siskinshift.connections.flow_records import FlowRecords
from siskinshift.connections.forwarding import Forwarding
from siskinshift.connections.owner_finder import OwnerFinder
from siskinshift.connections.peer_codec import encode_all_owned
from siskinshift.connections.peer_codec import encode_warm_up_rate
from siskinshift.connections.peer_messages import Owned
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import flow_name
from siskinshift.connections.segment import service_address
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.load.retry_budget import RetryBudget


if TYPE_CHECKING:
    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.owner_search import OwnerSearch
    from siskinshift.connections.peer_messages import FlowVerdict
    from siskinshift.connections.placement import AgentPlacement
    from siskinshift.connections.routes import ConnectionRoute
    from siskinshift.connections.routes import RouteTable
    from siskinshift.connections.segment import Segment
    from siskinshift.observability.event_log import EventLog


# A verdict takes one to three milliseconds; a busy instance answers within this. An
# objective of 100 ms is still met by the second agent.
RETRY_AFTER_SECONDS = 0.04
# Agents asked for one flow at most: three that are dead at once are an outage.
ATTEMPTS_MAXIMUM = 4
# How long a caller's opening packet is kept while no agent can take it. Callers send
# a copy after 200 ms; what waits longer is found again with that copy.
HOLD_SECONDS = 0.25
# Opening packets held at most, so that memory stays bounded.
HELD_MAXIMUM = 2000
# Second attempts after silence that one accepted flow pays for. A failure domain's
# agents, a third of all, may die at once: each two flows accepted pay for the one that
# met them. While nobody answers, attempts do not multiply.
RETRY_PART = 0.5


class BalancerFlows:
    """Flows as one balancer sees them."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        placement: AgentPlacement,
        failure_domain: str,
        link_bytes_per_second: float,
        log: EventLog,
    ) -> None:
        """Starts without a configuration.

        Args:
            fleet: The agents.
            placement: Chooses among them.
            failure_domain: Failure domain of this balancer.
            link_bytes_per_second: What its link carries.
            log: Takes a line for each decision.
        """
        self._fleet = fleet
        self._placement = placement
        self._log = log
        self._routes: RouteTable | None = None
        self._dropped_addresses: set[bytes] = set()
        self._early = EarlyPackets()
        self._records = FlowRecords()
        self._retries: deque[tuple[float, FlowRecord, Attempt]] = deque()
        self._held: deque[FlowRecord] = deque()
        self._retry_budget = RetryBudget(part=RETRY_PART)
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
        """Takes a configuration; an older one than before is ignored.

        Args:
            routes: The configuration.

        Returns:
            Whether it is in force now.
        """
        if self._routes is not None:
            if routes.version <= self._routes.version:
                return False
            self._dropped_addresses |= set(self._routes.routes_by_address)
        self._dropped_addresses -= set(routes.routes_by_address)
        self._routes = routes
        return True

    def on_segment(self, segment: Segment, *, now: float) -> list[Action]:
        """Takes a caller's packet.

        Args:
            segment: The packet.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        flags = segment.flags
        if flags & BOUNCED or flags & (SYN | ACK) == SYN | ACK:
            # Callers send neither; an upstream would take it for forged.
            return []
        if self._routes is None:
            self._early.add(segment, now=now)
            return []
        route = self._routes.routes_by_address.get(service_address(segment.flow))
        if route is None:
            return self._without_route(segment)
        if flags & SYN:
            return self._on_opening(route, segment, now=now)
        record = self._records.find(segment.flow)
        if record is None:
            record = self._records.add(FlowRecord(segment.flow))
        record.acknowledged = segment.ack
        if record.terms is not route.terms:
            record.terms = route.terms
            record.service_ids = route.service_ids
            record.owned_header = b""
        if record.owner is not None:
            return [self._forwarding.to_owner(record, record.owner, segment, now=now)]
        accepted = record.only_acceptance
        if accepted is not None:
            record.owner = accepted
            record.opening = b""
            return [self._forwarding.to_owner(record, accepted, segment, now=now)]
        return self._finder.find(record, segment, now=now)

    def take_early(self, *, now: float) -> list[Action]:
        """Takes the packets that came before the first configuration.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        early = self._early.take(now=now)
        return [x for segment in early for x in self.on_segment(segment, now=now)]

    def on_verdict(
        self, agent: Peer, verdict: FlowVerdict, *, now: float
    ) -> list[Action]:
        """Takes an agent's word about a flow.

        Args:
            agent: The agent.
            verdict: Its word.
            now: Clock reading, seconds.

        Returns:
            What to do.
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
        self, agent: Peer, *, silent_since: float, now: float
    ) -> list[Action]:
        """Sends an agent again what it missed while it was away.

        Args:
            agent: The agent.
            silent_since: When the process before was last heard, seconds.
            now: Clock reading, seconds.

        Returns:
            The packets.
        """
        actions = self._forwarding.again(agent, since=silent_since, now=now)
        if actions:
            self._log.decision(
                "sent again",
                agent=agent.member.member_id,
                packets=len(actions),
                silent=round(now - silent_since, 3),
            )
        return list(actions)

    def encode_owned(self) -> list[bytes]:
        """Names the owners of all flows, for balancers that take over.

        Returns:
            Messages for each of them.
        """
        flows_by_agent: dict[str, list[bytes]] = {}
        for record in self._records:
            if record.owner is not None:
                member_id = record.owner.member.member_id
                flows_by_agent.setdefault(member_id, []).append(record.flow)
        return [
            message
            for member_id, flows in flows_by_agent.items()
            for message in encode_all_owned(member_id, flows)
        ]

    def on_owned(self, owned: Owned, *, now: float) -> list[Action]:
        """Learns from another node which flows an agent owns.

        An agent that no longer owns one returns its packet, as ever.

        Args:
            owned: The agent and its flows.
            now: Clock reading, seconds.

        Returns:
            Packets of flows that were searched for, now on their way to the owner.
        """
        agent = self._fleet.peers_by_id.get(owned.member_id)
        if agent is None:
            return []
        actions: list[Action] = []
        for flow in owned.flows:
            record = self._records.find(flow)
            if record is None:
                self._records.add(FlowRecord(flow, owner=agent))
            elif record.owner is None and not record.attempts:
                actions += self._finder.on_owner(agent, record)
        return actions

    def search_of(self, flow: bytes) -> OwnerSearch | None:
        """Gives the search for a flow's owner that is under way.

        Args:
            flow: The flow.

        Returns:
            The search; None if there is none.
        """
        record = self._records.find(flow)
        return record.search if record is not None else None

    def retry_held(self, *, now: float) -> list[Action]:
        """Places opening packets that found no agent; call it when one has come.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        actions: list[Action] = []
        for _ in range(len(self._held)):
            record = self._held.popleft()
            if record.owner is None and record.opening:
                actions += self._try_next(record, now=now)
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Lets time pass.

        Args:
            now: Clock reading, seconds.

        Returns:
            What has become due.
        """
        actions: list[Action] = []
        while self._retries and self._retries[0][0] <= now:
            _, record, attempt = self._retries.popleft()
            if attempt.verdict is None and self._records.find(record.flow) is record:
                attempt.agent.unanswered_openings += 1
                actions += self._try_again(record, now=now)
        actions += self._finder.tick(now=now)
        while self._held and now - self._held[0].opened_at > HOLD_SECONDS:
            actions += self._give_up(self._held.popleft())
        self._records.forget_silent(now=now)
        return actions

    def next_due(self) -> float:
        """Says when `tick` is needed next.

        Returns:
            Clock reading, seconds.
        """
        due = min(self._records.due, self._finder.next_due)
        if self._retries:
            due = min(due, self._retries[0][0])
        if self._held:
            due = min(due, self._held[0].opened_at + HOLD_SECONDS)
        return due

    def _without_route(self, segment: Segment) -> list[Action]:
        if segment.flags & RESET:
            return []
        is_first_copy = segment.flags & SYN and segment.ack == 0
        was_dropped = service_address(segment.flow) in self._dropped_addresses
        if is_first_copy and not was_dropped:
            # The route may have been added a moment ago: the caller's next copy,
            # 200 ms later, finds it in force or is refused.
            return []
        self._records.drop(segment.flow)
        self._log.decision(
            "reset",
            flow=flow_name(segment.flow),
            reason="no route",
            configuration=self._routes.version if self._routes else 0,
        )
        return [ResetCaller(segment.flow, segment.ack)]

    def _on_opening(
        self, route: ConnectionRoute, segment: Segment, *, now: float
    ) -> list[Action]:
        record = self._records.find(segment.flow)
        if record is None or not record.attempts:
            record = self._records.add(FlowRecord(segment.flow))
            record.service_id = route.service_for(segment.flow)
            record.terms = route.terms
            record.service_ids = route.service_ids
            record.opening = segment.datagram
            record.opened_at = now
            return self._try_next(record, now=now)
        taken = [
            attempt
            for attempt in record.attempts
            if attempt.verdict is Verdict.ACCEPTED
            and not self._placement.is_evacuated(attempt.agent)
        ]
        if taken:
            # Its answer to the caller was lost; the upstream answers a copy again.
            return [
                self._forwarding.to_agent(
                    a.agent, Purpose.OPEN, segment.datagram, record
                )
                for a in taken
            ]
        record.opened_at = now
        return self._try_next(record, now=now)

    def _try_next(self, record: FlowRecord, *, now: float) -> list[Action]:
        tried = {attempt.agent.member.member_id for attempt in record.attempts}
        agents = self._fleet.agents_of(record.service_id)
        agent = self._placement.choose(agents, record.flow, tried=tried, now=now)
        if agent is None:
            return self._hold(record, now=now)
        attempt = Attempt(agent)
        record.attempts.append(attempt)
        agent.flows_since_load += 1
        self._retries.append((now + RETRY_AFTER_SECONDS, record, attempt))
        self._log.decision(
            "open",
            flow=flow_name(record.flow),
            agent=agent.member.member_id,
            attempt=len(record.attempts),
            load=agent.load.flows,
            running=agent.load.running,
            load_age=round(now - agent.last_seen_at, 3),
        )
        return [
            *self._warm_up(agent, record.service_id),
            self._forwarding.to_agent(agent, Purpose.OPEN, record.opening, record),
        ]

    def _warm_up(self, agent: Peer, service_id: str) -> list[Action]:
        """Tells a cold agent what its upstream bears; agents read no configuration."""
        if agent.member.weight >= FULL_WEIGHT or self._routes is None:
            return []
        rate = self._routes.warm_up_rates_by_service.get(service_id)
        if rate is None:
            return []
        return [ToPeer(agent.address, encode_warm_up_rate(WarmUpRate(rate)))]

    def _try_again(self, record: FlowRecord, *, now: float) -> list[Action]:
        """Tries another agent after silence, as far as accepted flows pay for it."""
        if len(record.attempts) >= ATTEMPTS_MAXIMUM:
            return []
        if not self._retry_budget.take():
            self._log.decision(
                "not tried again", flow=flow_name(record.flow), reason="retry budget"
            )
            return []
        return self._try_next(record, now=now)

    def _hold(self, record: FlowRecord, *, now: float) -> list[Action]:
        if any(attempt.verdict is None for attempt in record.attempts):
            return []
        if self._is_evacuated(record.service_id, now=now):
            return self._give_up(record)
        if len(self._held) >= HELD_MAXIMUM or now - record.opened_at > HOLD_SECONDS:
            return self._give_up(record)
        # All agents were asked and refused; each may be asked once more.
        record.attempts.clear()
        self._held.append(record)
        return []

    def _is_evacuated(self, service_id: str, *, now: float) -> bool:
        """Says whether a service may get no new flow, so that no wait would help."""
        agents = self._fleet.agents_of(service_id)
        is_known = bool(agents) and self._fleet.is_complete(now=now)
        return is_known and all(self._placement.is_evacuated(a) for a in agents)

    def _give_up(self, record: FlowRecord) -> list[Action]:
        if self._records.find(record.flow) is not record or record.owner is not None:
            return []
        self._records.drop(record.flow)
        self._log.decision(
            "reset",
            flow=flow_name(record.flow),
            reason="no agent takes it",
            agents=len(self._fleet.agents_of(record.service_id)),
        )
        return [ResetCaller(record.flow, 0)]

    def _on_opening_verdict(
        self, agent: Peer, record: FlowRecord, verdict: Verdict, *, now: float
    ) -> list[Action]:
        attempt = record.attempt_with(agent)
        if attempt is None:
            return []
        attempt.verdict = verdict
        self._log.decision(
            "opening answered",
            flow=flow_name(record.flow),
            agent=agent.member.member_id,
            verdict=verdict.name.lower(),
        )
        if verdict is Verdict.ACCEPTED:
            self._retry_budget.succeeded()
            self._log.metrics.observe("flow_opening", now - record.opened_at)
            return []
        if any(a.verdict in (None, Verdict.ACCEPTED) for a in record.attempts):
            return []
        return self._try_next(record, now=now)
