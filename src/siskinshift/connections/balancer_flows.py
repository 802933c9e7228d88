"""Decides at a balancer what becomes of each packet of a caller.

A balancer's memory of flows is a cache: the agents own them, and what a balancer does
not know it asks them. Pattern: callers open flows while agents die, restart and fill
up. Without retries of its own a packet to a dead agent costs the caller the 200 ms to
its next copy; with the agents' verdicts it costs milliseconds if refused, and the
`RETRY_AFTER_SECONDS` if nothing comes back.
"""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.flow_records import Attempt
from siskinshift.connections.flow_records import FlowRecord
from siskinshift.connections.flow_records import FlowRecords
from siskinshift.connections.owner_search import OwnerSearch
from siskinshift.connections.peer_messages import NO_TERMS
from siskinshift.connections.peer_messages import Owned
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Question
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.peer_messages import encode_forward
from siskinshift.connections.peer_messages import encode_owned
from siskinshift.connections.peer_messages import encode_question
from siskinshift.connections.recent_packets import RecentPackets
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import flow_name
from siskinshift.connections.segment import service_address
from siskinshift.flows.pacing import ByteBudget
from siskinshift.load.retry_budget import RetryBudget


if TYPE_CHECKING:
    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer
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
# Opening packets held at most; chosen to bound memory, not measured.
HELD_MAXIMUM = 2000


# Second attempts after silence that one accepted flow pays for. A failure domain's
# agents, a third of all, may die at once: each two flows accepted pay for the one that
# met them. While nobody answers, attempts do not multiply.
RETRY_PART = 0.5
# Searches take at most this part of the link, and this much on the strongest. Without a
# bound the questions for some hundred flows filled a link of 7 Mbit/s; what was lost
# was asked again, and the link stayed full after the cause was gone.
SEARCH_LINK_PART = 0.15
SEARCH_BYTES_PER_SECOND_MAXIMUM = 500_000.0
SEARCH_BURST_SECONDS = 1.0
# A search that finds no room goes on after this; the next of the caller's copies comes
# after 200 ms and more.
POSTPONED_SECONDS = 0.1
# Headers of the datagrams below what we count.
DATAGRAM_HEADER_BYTES = 28
# Flows named in one datagram: 1,200 bytes, as much as a caller's packet.
OWNED_FLOWS_MAXIMUM = 90


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
        self._failure_domain = failure_domain
        self._log = log
        self._routes: RouteTable | None = None
        self._dropped_addresses: set[bytes] = set()
        self._tags: dict[str, int] = {}
        self._records = FlowRecords()
        self._retries: deque[tuple[float, FlowRecord, Attempt]] = deque()
        self._held: deque[FlowRecord] = deque()
        self._searches: list[tuple[float, int, FlowRecord, OwnerSearch]] = []
        self._search_numbers = count()
        self._retry_budget = RetryBudget(part=RETRY_PART)
        self._search_budget = ByteBudget(
            bytes_per_second=min(
                SEARCH_LINK_PART * link_bytes_per_second,
                SEARCH_BYTES_PER_SECOND_MAXIMUM,
            ),
            burst_seconds=SEARCH_BURST_SECONDS,
        )
        self._recent = RecentPackets()

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
        if self._routes is None or flags & BOUNCED or flags & (SYN | ACK) == SYN | ACK:
            # Callers send neither; an upstream would take it for forged.
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
            record.owned_header = b""
        if record.owner is not None:
            return [self._forward_owned(record, record.owner, segment, now=now)]
        return self._find_owner(record, segment, now=now)

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
        self._fleet.answered(agent, now=now)
        self._fleet.took_load(agent, verdict.load)
        record = self._records.find(verdict.flow)
        if record is None:
            return []
        if verdict.verdict is Verdict.MINE:
            return self._on_mine(agent, record)
        if verdict.verdict is Verdict.UNSURE:
            return self._on_unsure(agent, record)
        if verdict.verdict is Verdict.NOT_MINE:
            return self._on_not_mine(agent, record, verdict.packet, now=now)
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
        missed = self._recent.take(agent.member.member_id, since=silent_since, now=now)
        if missed:
            self._log.decision(
                "sent again",
                agent=agent.member.member_id,
                packets=len(missed),
                silent=round(now - silent_since, 3),
            )
        return [self._forward(agent, Purpose.OWNED, packet) for packet in missed]

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
            encode_owned(Owned(member_id, tuple(flows[i : i + OWNED_FLOWS_MAXIMUM])))
            for member_id, flows in flows_by_agent.items()
            for i in range(0, len(flows), OWNED_FLOWS_MAXIMUM)
        ]

    def on_owned(self, owned: Owned) -> None:
        """Takes over what a balancer that leaves knows of an agent's flows.

        An agent that no longer owns one returns its packet, as ever.

        Args:
            owned: The agent and its flows.
        """
        agent = self._fleet.peers_by_id.get(owned.member_id)
        if agent is None:
            return
        for flow in owned.flows:
            if self._records.find(flow) is None:
                self._records.add(FlowRecord(flow, owner=agent))

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
                attempt.agent.unanswered += 1
                actions += self._try_again(record, now=now)
        while self._searches and self._searches[0][0] <= now:
            _, _, record, search = heapq.heappop(self._searches)
            if record.search is search and search.next_wave_at <= now:
                actions += self._next_wave(record, search, now=now)
        while self._held and now - self._held[0].opened_at > HOLD_SECONDS:
            actions += self._give_up(self._held.popleft())
        self._records.forget_silent(now=now)
        return actions

    def next_due(self) -> float:
        """Says when `tick` is needed next.

        Returns:
            Clock reading, seconds.
        """
        due = self._records.due
        if self._retries:
            due = min(due, self._retries[0][0])
        if self._searches:
            due = min(due, self._searches[0][0])
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
            record.opening = segment.datagram
            record.opened_at = now
            return self._try_next(record, now=now)
        taken = [a for a in record.attempts if a.verdict is Verdict.ACCEPTED]
        if taken:
            # Its answer to the caller was lost; the upstream answers a copy again.
            return [
                self._forward(a.agent, Purpose.OPEN, segment.datagram, record)
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
        agent.placed += 1
        self._retries.append((now + RETRY_AFTER_SECONDS, record, attempt))
        self._log.decision(
            "open",
            flow=flow_name(record.flow),
            agent=agent.member.member_id,
            attempt=len(record.attempts),
            load=agent.load.flows,
            running=agent.load.running,
            load_age=round(now - agent.heard_at, 3),
        )
        return [self._forward(agent, Purpose.OPEN, record.opening, record)]

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
        if len(self._held) >= HELD_MAXIMUM or now - record.opened_at > HOLD_SECONDS:
            return self._give_up(record)
        # All agents were asked and refused; each may be asked once more.
        record.attempts.clear()
        self._held.append(record)
        return []

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

    def _find_owner(
        self,
        record: FlowRecord,
        segment: Segment,
        *,
        now: float,
    ) -> list[Action]:
        candidates = [a for a in record.attempts if a.verdict is Verdict.ACCEPTED]
        if len(candidates) == 1 and len(record.attempts) == 1:
            record.owner = candidates[0].agent
            record.opening = b""
            return [self._forward_owned(record, record.owner, segment, now=now)]
        search = record.search
        if search is None or search.is_over(self._fleet, now=now):
            return self._begin_search(record, segment.datagram, now=now)
        search.add(segment.datagram)
        if self._search_budget.wait(now=now):
            return []
        known = self._fleet.peers_by_id
        peers = [known[i] for i in sorted(search.pending & known.keys())]
        return self._ask(record, search, [segment.datagram], peers, now=now)

    def _begin_search(
        self, record: FlowRecord, packet: bytes, *, now: float, denied_by: str = ""
    ) -> list[Action]:
        record.search = None
        if self._search_budget.wait(now=now):
            # The caller's next copy asks again; a full link would lose this one.
            self._log.decision(
                "not searched", flow=flow_name(record.flow), reason="link budget"
            )
            return []
        route = None
        if self._routes is not None:
            route = self._routes.routes_by_address.get(service_address(record.flow))
        record.search = OwnerSearch(
            flow=record.flow,
            service_ids=tuple(t.service_id for t in route.targets) if route else (),
            packets=[packet],
            first=tuple(a.agent.member.member_id for a in record.attempts),
            asked={denied_by} if denied_by else set(),
            denied={denied_by} if denied_by else set(),
        )
        return self._next_wave(record, record.search, now=now)

    def _next_wave(
        self, record: FlowRecord, search: OwnerSearch, *, now: float
    ) -> list[Action]:
        if self._search_budget.wait(now=now):
            search.next_wave_at = now + POSTPONED_SECONDS
            self._schedule(record, search)
            return []
        agents = search.next_wave(
            self._fleet, failure_domain=self._failure_domain, now=now
        )
        if agents:
            self._schedule(record, search)
            return self._ask(record, search, search.packets, agents, now=now)
        if search.is_waiting(self._fleet, now=now):
            return []
        record.search = None
        if not self._fleet.is_complete(now=now) or not search.is_conclusive:
            # The owner may be an agent that has not made itself known yet, or that
            # this balancer can't hear: the caller's next packet asks again.
            return []
        self._records.drop(record.flow)
        self._log.decision(
            "reset",
            flow=flow_name(record.flow),
            reason="no upstream holds the flow",
            asked=len(search.asked),
        )
        return [ResetCaller(record.flow, record.acknowledged)]

    def _schedule(self, record: FlowRecord, search: OwnerSearch) -> None:
        number = next(self._search_numbers)
        heapq.heappush(self._searches, (search.next_wave_at, number, record, search))

    def _ask(
        self,
        record: FlowRecord,
        search: OwnerSearch,
        packets: list[bytes],
        agents: list[Peer],
        *,
        now: float,
    ) -> list[Action]:
        question = encode_question(Question(record.flow, record.acknowledged))
        actions: list[ToPeer] = []
        for agent in agents:
            if agent.member.member_id in search.questioned:
                actions.append(ToPeer(agent.address, question))
            else:
                actions += self._forward_all(agent, Purpose.SEARCH, packets, record)
        size = sum(len(a.datagram) + DATAGRAM_HEADER_BYTES for a in actions)
        self._search_budget.take(size, now=now)
        return list(actions)

    def _on_unsure(self, agent: Peer, record: FlowRecord) -> list[Action]:
        search = record.search
        member_id = agent.member.member_id
        if search is None or member_id not in search.questioned & search.pending:
            return []
        search.questioned.discard(member_id)
        return list(self._forward_all(agent, Purpose.SEARCH, search.packets, record))

    def _on_mine(self, agent: Peer, record: FlowRecord) -> list[Action]:
        search = record.search
        record.owner = agent
        record.search = None
        self._log.decision(
            "owner found", flow=flow_name(record.flow), agent=agent.member.member_id
        )
        if search is None or agent.member.member_id not in search.questioned:
            return []
        return list(self._forward_all(agent, Purpose.OWNED, search.packets, record))

    def _forward_all(
        self, agent: Peer, purpose: Purpose, packets: list[bytes], record: FlowRecord
    ) -> list[ToPeer]:
        return [self._forward(agent, purpose, packet, record) for packet in packets]

    def _on_not_mine(
        self, agent: Peer, record: FlowRecord, packet: bytes, *, now: float
    ) -> list[Action]:
        member_id = agent.member.member_id
        if record.owner is agent:
            record.owner = None
            if not packet:
                return []
            return self._begin_search(record, packet, now=now, denied_by=member_id)
        search = record.search
        if search is None or member_id not in search.pending:
            return []
        search.said_no(member_id)
        if search.is_waiting(self._fleet, now=now):
            return []
        return self._next_wave(record, search, now=now)

    def _forward_owned(
        self, record: FlowRecord, owner: Peer, segment: Segment, *, now: float
    ) -> ToPeer:
        if segment.length:
            self._recent.add(owner.member.member_id, segment.datagram, now=now)
        if not record.owned_header:
            tag = self._tag_of(record.service_id)
            record.owned_header = encode_forward(Purpose.OWNED, tag, b"", record.terms)
        return ToPeer(owner.address, record.owned_header + segment.datagram)

    def _forward(
        self,
        agent: Peer,
        purpose: Purpose,
        datagram: bytes,
        record: FlowRecord | None = None,
    ) -> ToPeer:
        tag = self._tag_of(record.service_id) if record is not None else 0
        terms = record.terms if record is not None else NO_TERMS
        return ToPeer(agent.address, encode_forward(purpose, tag, datagram, terms))

    def _tag_of(self, service_id: str) -> int:
        tag = self._tags.get(service_id)
        if tag is None:
            tag = self._tags[service_id] = service_tag(service_id)
        return tag
