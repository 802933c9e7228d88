"""Finds out which agent owns a flow that this balancer does not know.

A balancer's memory of flows is a cache: it is empty after a restart, and routers move
flows between balancers. Whom to ask in which order is `owner_search`'s; here stand the
searches under way, their part of the link, and what the agents' words mean for them.
"""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.owner_search import OwnerSearch
from siskinshift.connections.peer_codec import encode_question
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Question
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.segment import flow_name
from siskinshift.flows.pacing import ByteBudget


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


# Searches take at most this part of the link, and this much on the strongest. Without a
# bound the questions for some hundred flows fill a link of 7 Mbit/s; what is lost is
# asked again, and the link stays full after the cause is gone.
SEARCH_LINK_PART = 0.15
SEARCH_BYTES_PER_SECOND_MAXIMUM = 500_000.0
SEARCH_BURST_SECONDS = 1.0
# A search that finds no room goes on after this; the next of the caller's copies comes
# after 200 ms and more.
POSTPONED_SECONDS = 0.1
# What a caller has sent is looked for this long: then its next copy has come or it has
# given up, and an agent that has not answered counts as silent. The pause doubles, so
# that it is five rounds among all agents.
SEARCH_SECONDS_MAXIMUM = 2.0
# Longest pause between two questions to agents that have not answered.
ASK_AGAIN_SECONDS_MAXIMUM = 0.4
# Headers of the datagrams below what we count.
DATAGRAM_HEADER_BYTES = 28


class OwnerFinder:
    """The searches of one balancer."""

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
        """Starts without any search.

        Args:
            fleet: The agents.
            records: What the balancer knows of flows.
            forwarding: Writes the messages.
            failure_domain: Failure domain of the balancer.
            link_bytes_per_second: What its link carries.
            log: Takes a line for each decision.
        """
        self._fleet = fleet
        self._records = records
        self._forwarding = forwarding
        self._failure_domain = failure_domain
        self._log = log
        self._searches: list[tuple[float, int, FlowRecord, OwnerSearch]] = []
        self._search_numbers = count()
        self._budget = ByteBudget(
            bytes_per_second=min(
                SEARCH_LINK_PART * link_bytes_per_second,
                SEARCH_BYTES_PER_SECOND_MAXIMUM,
            ),
            burst_seconds=SEARCH_BURST_SECONDS,
        )

    @property
    def next_due(self) -> float:
        """When `tick` is needed next: clock reading, seconds."""
        return self._searches[0][0] if self._searches else float("inf")

    def tick(self, *, now: float) -> list[Action]:
        """Goes on with searches whose agents have not answered.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        actions: list[Action] = []
        while self._searches and self._searches[0][0] <= now:
            _, _, record, search = heapq.heappop(self._searches)
            if record.search is search and search.next_wave_at <= now:
                actions += self._next_wave(record, search, now=now)
        return actions

    def find(
        self,
        record: FlowRecord,
        segment: Segment,
        *,
        now: float,
    ) -> list[Action]:
        """Takes a packet of a flow whose owner is not known.

        Args:
            record: The flow.
            segment: The packet.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        search = record.search
        if search is None or search.is_over(self._fleet, now=now):
            return self._begin(record, segment.datagram, now=now)
        search.add(segment.datagram)
        if self._budget.wait(now=now):
            return []
        known = self._fleet.peers_by_id
        peers = [known[i] for i in sorted(search.pending & known.keys())]
        return self._ask(record, search, [segment.datagram], peers, now=now)

    def on_verdict(
        self, agent: Peer, verdict: FlowVerdict, record: FlowRecord, *, now: float
    ) -> list[Action]:
        """Takes an agent's word about who owns a flow.

        Args:
            agent: The agent.
            verdict: MINE, NOT_MINE or UNSURE.
            record: The flow.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        if verdict.verdict is Verdict.MINE:
            return self.on_owner(agent, record)
        if verdict.verdict is Verdict.UNSURE and record.owner is agent:
            return self._on_refuted(record, verdict.packet, now=now)
        if verdict.verdict is Verdict.UNSURE:
            return self._on_unsure(agent, record, now=now)
        return self._on_not_mine(agent, record, verdict.packet, now=now)

    def on_owner(self, agent: Peer, record: FlowRecord) -> list[Action]:
        """Learns who owns a flow that is searched for, from its owner or another node.

        Args:
            agent: The owner.
            record: The flow.

        Returns:
            The packets that wait, unless the owner has them already.
        """
        search = record.search
        record.owner = agent
        record.search = None
        member_id = agent.member.member_id
        self._log.decision("owner found", flow=flow_name(record.flow), agent=member_id)
        if search is None or search.has_packets(member_id):
            return []
        packets = search.packets
        return list(
            self._forwarding.all_to_agent(agent, Purpose.OWNED, packets, record)
        )

    def _begin(
        self, record: FlowRecord, packet: bytes, *, now: float, denied_by: str = ""
    ) -> list[Action]:
        record.search = OwnerSearch(
            flow=record.flow,
            service_ids=record.service_ids,
            packets=[packet],
            first=tuple(a.agent.member.member_id for a in record.attempts),
            asked={denied_by} if denied_by else set(),
            denied={denied_by} if denied_by else set(),
            began_at=now,
        )
        return self._next_wave(record, record.search, now=now)

    def _next_wave(
        self, record: FlowRecord, search: OwnerSearch, *, now: float
    ) -> list[Action]:
        if self._budget.wait(now=now):
            return self._wait_for_room(record, search, now=now)
        agents = search.next_wave(
            self._fleet, failure_domain=self._failure_domain, now=now
        )
        if agents:
            self._schedule(record, search)
            return self._ask(record, search, search.packets, agents, now=now)
        waits_for = search.waits_for(self._fleet, now=now)
        if waits_for:
            return self._ask_again(record, search, waits_for, now=now)
        if not self._fleet.is_complete(now=now) or not search.is_conclusive:
            # The owner may be an agent that has not made itself known yet, or that
            # this balancer can't hear.
            return self._ask_all_again(record, search, now=now)
        record.search = None
        self._records.drop(record.flow)
        self._log.decision(
            "reset",
            flow=flow_name(record.flow),
            reason="no upstream holds the flow",
            asked=len(search.asked),
        )
        return [ResetCaller(record.flow, record.acknowledged)]

    def _wait_for_room(
        self, record: FlowRecord, search: OwnerSearch, *, now: float
    ) -> list[Action]:
        """Lets a search go on when the link has room; what it has asked is kept."""
        if not search.asked and now - search.began_at > SEARCH_SECONDS_MAXIMUM:
            return self._give_up(record, reason="link budget")
        search.next_wave_at = now + POSTPONED_SECONDS
        self._schedule(record, search)
        return []

    def _ask_again(
        self,
        record: FlowRecord,
        search: OwnerSearch,
        agents: list[Peer],
        *,
        now: float,
    ) -> list[Action]:
        """Asks those once more that have not answered.

        Guards against a caller that waits for its own next copy, up to 1.6 s away,
        because a question or its answer was lost.
        """
        pause = max(POSTPONED_SECONDS, now - search.began_at)
        due = now + min(pause, ASK_AGAIN_SECONDS_MAXIMUM)
        if now < search.moment_ends_at:
            due = search.moment_ends_at
        if not self._go_on(record, search, due=due, now=now):
            return []
        search.ask_again(agents)
        return self._ask(record, search, search.packets, agents, now=now)

    def _ask_all_again(
        self, record: FlowRecord, search: OwnerSearch, *, now: float
    ) -> list[Action]:
        """Begins a search anew, with the packets that it has.

        Guards against a caller that waits for its own next copy, up to 1.6 s away,
        while the owner has long made itself known.
        """
        due = now + max(POSTPONED_SECONDS, now - search.began_at)
        if self._go_on(record, search, due=due, now=now):
            search.begin_again()
        return []

    def _go_on(
        self, record: FlowRecord, search: OwnerSearch, *, due: float, now: float
    ) -> bool:
        """Lets a search go on later, or gives it up; says which."""
        is_over = now - search.began_at > SEARCH_SECONDS_MAXIMUM
        if is_over and now >= search.moment_ends_at:
            self._give_up(record, reason="agents silent")
            return False
        search.next_wave_at = due
        self._schedule(record, search)
        return True

    def _give_up(self, record: FlowRecord, *, reason: str) -> list[Action]:
        # The caller's next packet begins another search.
        record.search = None
        self._log.decision("not searched", flow=flow_name(record.flow), reason=reason)
        return []

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
            self._fleet.record_query(agent, now=now)
            if agent.member.member_id in search.questioned:
                actions.append(ToPeer(agent.address, question))
            else:
                actions += self._forwarding.all_to_agent(
                    agent, Purpose.SEARCH, packets, record
                )
        size = sum(len(a.datagram) + DATAGRAM_HEADER_BYTES for a in actions)
        self._budget.take(size, now=now)
        return list(actions)

    def _on_unsure(
        self, agent: Peer, record: FlowRecord, *, now: float
    ) -> list[Action]:
        """Lets an agent find out by a packet of the flow, the shortest there is.

        Guards against a full link after a loss of power: nearly all agents are unsure
        then, and all packets of a request for each of them are 0.3 MB. Those for which
        the link has no room are asked again with the search's next round.
        """
        search = record.search
        member_id = agent.member.member_id
        if search is None or member_id not in search.questioned & search.pending:
            return []
        if self._budget.wait(now=now):
            return []
        packet = min(search.packets, key=len)
        action = self._forwarding.to_agent(agent, Purpose.SEARCH, packet, record)
        self._budget.take(len(action.datagram) + DATAGRAM_HEADER_BYTES, now=now)
        return [action]

    def _on_refuted(
        self, record: FlowRecord, packet: bytes, *, now: float, denied_by: str = ""
    ) -> list[Action]:
        """Looks for the owner of a flow whose supposed one says that it is not."""
        record.owner = None
        record.is_refuted = True
        if not packet:
            return []
        return self._begin(record, packet, now=now, denied_by=denied_by)

    def _on_not_mine(
        self, agent: Peer, record: FlowRecord, packet: bytes, *, now: float
    ) -> list[Action]:
        member_id = agent.member.member_id
        if record.owner is agent:
            return self._on_refuted(record, packet, now=now, denied_by=member_id)
        search = record.search
        if search is None or member_id not in search.pending:
            return []
        search.said_no(member_id)
        if search.waits_for(self._fleet, now=now):
            return []
        return self._next_wave(record, search, now=now)
