"""Finds the agent that owns a flow which is not in this balancer's cache.

The cache is empty after a restart, and routers move flows between balancers.
`owner_lookup` selects the agents to query; this module schedules the active lookups,
limits their bandwidth and evaluates the agents' verdicts.
"""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.held_packets import HeldPackets
from siskinshift.connections.owner_lookup import OwnerLookup
from siskinshift.connections.peer_codec import encode_owner_query
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.segment import format_flow
from siskinshift.flows.pacing import ByteBudget
from siskinshift.platform.packets import decode_from_caller


if TYPE_CHECKING:
    from siskinshift.connections.actions import Action
    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.flow_records import FlowRecord
    from siskinshift.connections.flow_records import FlowRecords
    from siskinshift.connections.forwarding import Forwarding
    from siskinshift.connections.peer_messages import FlowVerdict
    from siskinshift.connections.segment import Segment
    from siskinshift.observability.event_log import EventLog


# Lookups take at most this fraction of the link, and this rate on the fastest. Without
# a limit the queries for a few hundred flows saturate a link of 7 Mbit/s; lost queries
# are repeated, and the link stays saturated after the cause is gone.
LOOKUP_LINK_FRACTION = 0.15
MAX_LOOKUP_BYTES_PER_SECOND = 500_000.0
LOOKUP_BURST_SECONDS = 1.0
# Delay of a lookup for which the link budget is exhausted; the caller retransmits after
# 200 ms or more.
LOOKUP_RETRY_SECONDS = 0.1
# Longest duration of a lookup: by then the caller has retransmitted or given up, and an
# agent that has not replied is unresponsive. The pause doubles, which allows five
# rounds among all agents.
MAX_LOOKUP_SECONDS = 2.0
# Longest pause between two queries to agents that have not replied.
MAX_REQUERY_PAUSE_SECONDS = 0.4
# IP and UDP headers, which the length of a message does not include.
DATAGRAM_HEADER_BYTES = 28


class OwnerFinder:
    """Active owner lookups of one balancer."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        records: FlowRecords,
        forwarding: Forwarding,
        failure_domain: str,
        link_bytes_per_second: float,
        log: EventLog,
    ) -> None:
        """Initializes the finder without lookups.

        Args:
            fleet: The agents.
            records: The balancer's cache of flows.
            forwarding: Encodes the messages.
            failure_domain: Failure domain of the balancer.
            link_bytes_per_second: Capacity of its link.
            log: Records each decision.
        """
        self._fleet = fleet
        self._records = records
        self._forwarding = forwarding
        self._failure_domain = failure_domain
        self._log = log
        self._lookups: list[tuple[float, int, FlowRecord, OwnerLookup]] = []
        self._lookup_numbers = count()
        self._budget = ByteBudget(
            bytes_per_second=min(
                LOOKUP_LINK_FRACTION * link_bytes_per_second,
                MAX_LOOKUP_BYTES_PER_SECOND,
            ),
            burst_seconds=LOOKUP_BURST_SECONDS,
        )

    @property
    def next_due(self) -> float:
        """When `tick` is due next: clock reading, seconds."""
        return self._lookups[0][0] if self._lookups else float("inf")

    def tick(self, *, now: float) -> list[Action]:
        """Continues lookups whose agents have not replied.

        Args:
            now: Clock reading, seconds.

        Returns:
            Actions to perform.
        """
        actions: list[Action] = []
        while self._lookups and self._lookups[0][0] <= now:
            _, _, record, lookup = heapq.heappop(self._lookups)
            if record.lookup is lookup and lookup.next_batch_at <= now:
                actions += self._query_next_batch(record, lookup, now=now)
        return actions

    def find(
        self,
        record: FlowRecord,
        segment: Segment,
        *,
        now: float,
    ) -> list[Action]:
        """Handles a packet of a flow whose owner is unknown.

        Args:
            record: The flow.
            segment: The packet.
            now: Clock reading, seconds.

        Returns:
            Actions to perform.
        """
        lookup = record.lookup
        if lookup is None or lookup.is_finished(self._fleet, now=now):
            return self._start(record, segment.datagram, segment, now=now)
        if lookup.held is not None:
            lookup.held.add(segment)
            return self._send_data_to_candidates(record, lookup, now=now)
        lookup.add(segment.datagram)
        if self._budget.delay_before_send(now=now):
            return []
        peers_by_id = self._fleet.peers_by_id
        peers = [peers_by_id[i] for i in sorted(lookup.pending & peers_by_id.keys())]
        return self._query(record, lookup, [segment.datagram], peers, now=now)

    def _send_data_to_candidates(
        self, record: FlowRecord, lookup: OwnerLookup, *, now: float
    ) -> list[Action]:
        """Sends a packet with data to the candidates that got a bare ACK only.

        An upstream does not reply to a bare ACK, so that an agent that is unsure would
        learn nothing before it is queried again.
        """
        candidates = lookup.candidates_without_data(self._fleet)
        if not candidates or self._budget.delay_before_send(now=now):
            return []
        packets = lookup.packets_to_candidates(candidates)
        return self._query(record, lookup, packets, candidates, now=now)

    def on_verdict(
        self, agent: Peer, verdict: FlowVerdict, record: FlowRecord, *, now: float
    ) -> list[Action]:
        """Handles an agent's verdict about the ownership of a flow.

        Args:
            agent: The agent.
            verdict: MINE, NOT_MINE or UNSURE.
            record: The flow.
            now: Clock reading, seconds.

        Returns:
            Actions to perform.
        """
        if verdict.verdict is Verdict.MINE:
            return self.on_owner(agent, record)
        if verdict.verdict is Verdict.UNSURE and record.owner is agent:
            return self._on_refuted(record, verdict.packet, now=now)
        if verdict.verdict is Verdict.UNSURE:
            return self._on_unsure(agent, record, now=now)
        return self._on_not_mine(agent, record, verdict.packet, now=now)

    def on_owner(self, agent: Peer, record: FlowRecord) -> list[Action]:
        """Completes a lookup when the owner or another node has announced the owner.

        Args:
            agent: The owner.
            record: The flow.

        Returns:
            Messages with the buffered packets, unless they were sent to the owner.
        """
        lookup = record.lookup
        record.owner = agent
        record.lookup = None
        member_id = agent.member.member_id
        self._log.decision(
            "owner found", flow=format_flow(record.flow), agent=member_id
        )
        if lookup is None:
            return []
        packets = lookup.packets_to_owner(member_id)
        return list(
            self._forwarding.all_to_agent(agent, Purpose.OWNED, packets, record)
        )

    def _start(
        self,
        record: FlowRecord,
        packet: bytes,
        segment: Segment | None,
        *,
        now: float,
        denied_by: str = "",
    ) -> list[Action]:
        held = None
        if record.request_parameters.kind is RequestKind.UPLOAD:
            if segment is None:
                # The caller's next packet starts the lookup.
                return []
            # An ended lookup of the flow keeps its packets for the next one.
            previous = record.lookup.held if record.lookup is not None else None
            held = previous or HeldPackets()
            held.add(segment)
        record.lookup = OwnerLookup(
            flow=record.flow,
            service_ids=record.service_ids,
            packets=[] if held is not None else [packet],
            preferred_ids=tuple(a.agent.member.member_id for a in record.attempts),
            queried={denied_by} if denied_by else set(),
            denied={denied_by} if denied_by else set(),
            started_at=now,
            held=held,
        )
        return self._query_next_batch(record, record.lookup, now=now)

    def _query_next_batch(
        self, record: FlowRecord, lookup: OwnerLookup, *, now: float
    ) -> list[Action]:
        if self._budget.delay_before_send(now=now):
            return self._postpone(record, lookup, now=now)
        agents = lookup.next_batch(
            self._fleet, failure_domain=self._failure_domain, now=now
        )
        if agents:
            self._schedule(record, lookup)
            packets = lookup.packets_to_candidates(agents)
            return self._query(record, lookup, packets, agents, now=now)
        awaited = lookup.awaited_agents(self._fleet, now=now)
        if awaited:
            return self._requery(record, lookup, awaited, now=now)
        if not self._fleet.is_complete(now=now) or not lookup.is_conclusive:
            # The owner may be an agent that was not discovered yet, or whose replies
            # do not reach this balancer.
            return self._restart_later(record, lookup, now=now)
        record.lookup = None
        self._records.drop(record.flow)
        self._log.decision(
            "reset",
            flow=format_flow(record.flow),
            reason="no upstream holds the flow",
            asked=len(lookup.queried),
        )
        return [ResetCaller(record.flow, record.acknowledged)]

    def _postpone(
        self, record: FlowRecord, lookup: OwnerLookup, *, now: float
    ) -> list[Action]:
        """Delays a lookup that exceeds the link budget and keeps its progress.

        A lookup that has not queried any agent by its deadline is abandoned.
        """
        if not lookup.queried and now - lookup.started_at > MAX_LOOKUP_SECONDS:
            return self._abandon(record, reason="link budget")
        lookup.next_batch_at = now + LOOKUP_RETRY_SECONDS
        self._schedule(record, lookup)
        return []

    def _requery(
        self,
        record: FlowRecord,
        lookup: OwnerLookup,
        agents: list[Peer],
        *,
        now: float,
    ) -> list[Action]:
        """Queries agents again that have not replied.

        Guards against a lost query or reply: the caller would wait for its own next
        retransmission, up to 1.6 s.
        """
        pause = max(LOOKUP_RETRY_SECONDS, now - lookup.started_at)
        due = now + min(pause, MAX_REQUERY_PAUSE_SECONDS)
        if now < lookup.reply_window_ends_at:
            due = lookup.reply_window_ends_at
        if not self._reschedule(record, lookup, due=due, now=now):
            return []
        lookup.mark_requeried(agents)
        return self._query(record, lookup, lookup.packets, agents, now=now)

    def _restart_later(
        self, record: FlowRecord, lookup: OwnerLookup, *, now: float
    ) -> list[Action]:
        """Schedules a restart of a lookup with the packets that it has.

        Guards against a caller that waits up to 1.6 s for its own next retransmission
        although the owner has been discovered meanwhile.
        """
        due = now + max(LOOKUP_RETRY_SECONDS, now - lookup.started_at)
        if self._reschedule(record, lookup, due=due, now=now):
            lookup.restart()
        return []

    def _reschedule(
        self, record: FlowRecord, lookup: OwnerLookup, *, due: float, now: float
    ) -> bool:
        """Schedules the next step of a lookup, or abandons it at its deadline.

        Returns:
            Whether the lookup continues.
        """
        is_expired = now - lookup.started_at > MAX_LOOKUP_SECONDS
        if is_expired and now >= lookup.reply_window_ends_at:
            self._abandon(record, reason="agents silent")
            return False
        lookup.next_batch_at = due
        self._schedule(record, lookup)
        return True

    def _abandon(self, record: FlowRecord, *, reason: str) -> list[Action]:
        # The caller's next packet starts another lookup.
        lookup = record.lookup
        record.lookup = None
        held = lookup.held if lookup is not None else None
        self._log.decision(
            "not searched",
            flow=format_flow(record.flow),
            reason=reason,
            held_packets=len(held) if held is not None else 0,
        )
        return []

    def _schedule(self, record: FlowRecord, lookup: OwnerLookup) -> None:
        number = next(self._lookup_numbers)
        heapq.heappush(self._lookups, (lookup.next_batch_at, number, record, lookup))

    def _query(
        self,
        record: FlowRecord,
        lookup: OwnerLookup,
        packets: list[bytes],
        agents: list[Peer],
        *,
        now: float,
    ) -> list[Action]:
        query = encode_owner_query(OwnerQuery(record.flow, record.acknowledged))
        actions: list[ToPeer] = []
        for agent in agents:
            self._fleet.record_query(agent, now=now)
            if agent.member.member_id in lookup.queried_without_packets:
                actions.append(ToPeer(agent.address, query))
            else:
                actions += self._forwarding.all_to_agent(
                    agent, Purpose.LOOKUP, packets, record
                )
        size = sum(len(a.datagram) + DATAGRAM_HEADER_BYTES for a in actions)
        self._budget.consume(size, now=now)
        return list(actions)

    def _on_unsure(
        self, agent: Peer, record: FlowRecord, *, now: float
    ) -> list[Action]:
        """Sends an agent the shortest packet of the flow, so that it can decide.

        Guards against a saturated link after a power failure: nearly all agents are
        unsure then, and sending all packets of a request to each takes 0.3 MB. Agents
        for which the budget is exhausted are queried again in the next round.
        """
        lookup = record.lookup
        member_id = agent.member.member_id
        if (
            lookup is None
            or member_id not in lookup.queried_without_packets & lookup.pending
        ):
            return []
        if self._budget.delay_before_send(now=now):
            return []
        packet = lookup.packet_to_unsure
        action = self._forwarding.to_agent(agent, Purpose.LOOKUP, packet, record)
        self._budget.consume(len(action.datagram) + DATAGRAM_HEADER_BYTES, now=now)
        return [action]

    def _on_refuted(
        self, record: FlowRecord, packet: bytes, *, now: float, denied_by: str = ""
    ) -> list[Action]:
        """Starts a lookup for a flow that its presumed owner does not confirm."""
        record.owner = None
        record.was_owner_refuted = True
        if not packet:
            return []
        segment = decode_from_caller(packet)
        return self._start(record, packet, segment, now=now, denied_by=denied_by)

    def _on_not_mine(
        self, agent: Peer, record: FlowRecord, packet: bytes, *, now: float
    ) -> list[Action]:
        member_id = agent.member.member_id
        if record.owner is agent:
            return self._on_refuted(record, packet, now=now, denied_by=member_id)
        lookup = record.lookup
        if lookup is None or member_id not in lookup.pending:
            return []
        lookup.mark_denied(member_id)
        if lookup.awaited_agents(self._fleet, now=now):
            return []
        return self._query_next_batch(record, lookup, now=now)
