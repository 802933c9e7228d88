"""Selects the agents that are queried for the owner of a flow, and their order.

After a restart of a balancer, or when routers move hundreds of flows to it at once,
sending each flow's packet to all agents of a service takes 45 packets a flow in a fleet
of 56 agents, while the weakest links carry 5 Mbit/s. A flow is placed on one of a few
agents selected by its hash, so those receive the packet first: four packets find nearly
all owners. The remaining agents are queried only if these deny the flow or do not
reply. They receive a query of 17 bytes, and a packet only if they may hold the flow.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash
from attrs import Factory
from attrs import define

from siskinshift.connections.held_packets import HeldPackets


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer


# Agents of a failure domain that a flow's hash selects. Two are compared for a new
# flow, which leaves two more if those refuse or fail.
HOME_AGENTS_PER_FLOW = 4
# Odd multiplier for multiplicative hashing: one multiplication ranks an agent for a
# flow, whereas a hash of each name would cost more than the rest of an opening.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
# Time until the next batch is queried; a verdict takes one to three milliseconds.
QUERY_BATCH_INTERVAL_SECONDS = 0.03
# A live agent replies within this time even if it was unresponsive before.
REPLY_WINDOW_SECONDS = 0.1
# Largest fraction of the queried agents that may be unresponsive when a lookup
# concludes that no agent holds the flow. Instances that fail together belong to one
# failure domain, a third to a fifth of all; beyond that the cause is more likely this
# balancer's own link or processor, which is overloaded.
MAX_UNRESPONSIVE_FRACTION = 0.25
# Packets kept for a lookup; a caller has at most sixteen in flight.
MAX_LOOKUP_PACKETS = 16


def home_agents(agents: Sequence[Peer], flow: bytes) -> list[Peer]:
    """Selects the preferred agents of a flow by rendezvous hashing.

    Args:
        agents: Agents to choose from.
        flow: The flow.

    Returns:
        A few of them, the same on every balancer that has the same list of agents.
    """
    if len(agents) <= HOME_AGENTS_PER_FLOW:
        return list(agents)

    seed = xxhash.xxh3_64_intdigest(flow)

    def rank(agent: Peer) -> int:
        return (agent.key ^ seed) * _HASH_MULTIPLIER & _MASK

    return heapq.nsmallest(HOME_AGENTS_PER_FLOW, agents, key=rank)


@define(eq=False)
class OwnerLookup:
    """A lookup of the owner of one flow.

    Attributes:
        flow: The flow.
        service_ids: Services that may hold it according to the configuration.
        packets: Packets of the flow so far, unless they are held; the owner needs all.
        preferred_ids: Member ids to query first, since the flow was offered to them.
        pending: Member ids that were queried and have not denied the flow.
        queried: Member ids that were queried.
        queried_without_packets: Member ids that were sent a query without packets.
        denied: Member ids that have denied the flow.
        returning: Member ids that do not reply, but may return with the flow.
        batch: Index of the next batch.
        next_batch_at: When the next batch is due at the latest, seconds.
        queried_at: When an agent was last queried for the first time, seconds.
        started_at: When the first packet arrived, seconds.
        held: Packets of an upload, of which candidates get one only and the owner the
            others: sixteen packets to each of two agents take 65 ms of a link of
            5 Mbit/s. None for other flows.
        probes_by_member_id: Packets that each candidate was sent while others are held.
        without_data: Member ids of the candidates that were sent a bare ACK only.
    """

    flow: bytes
    service_ids: tuple[str, ...]
    packets: list[bytes]
    preferred_ids: tuple[str, ...] = ()
    pending: set[str] = Factory(set)
    queried: set[str] = Factory(set)
    queried_without_packets: set[str] = Factory(set)
    denied: set[str] = Factory(set)
    returning: set[str] = Factory(set)
    batch: int = 0
    next_batch_at: float = 0.0
    queried_at: float = 0.0
    started_at: float = 0.0
    held: HeldPackets | None = None
    probes_by_member_id: dict[str, list[bytes]] = Factory(dict)
    without_data: set[str] = Factory(set)

    def next_batch(
        self, fleet: Fleet, *, failure_domain: str, now: float
    ) -> list[Peer]:
        """Selects the next agents that were not queried yet.

        Args:
            fleet: The agents.
            failure_domain: Failure domain of the balancer.
            now: Clock reading, seconds.

        Returns:
            Agents to query; empty when all were queried.
        """
        while True:
            agents = _BATCHES[self.batch](self, fleet, failure_domain)
            new = [a for a in agents if a.member.member_id not in self.queried]
            sends_packets = self.batch < _PACKET_BATCH_COUNT
            is_last = self.batch == len(_BATCHES) - 1
            # The last batch contains all agents and is evaluated again: a balancer that
            # has just started discovers further agents after it, and one of them may
            # hold the flow, which would otherwise be reset.
            if not is_last:
                self.batch += 1
            if new:
                new_ids = {agent.member.member_id for agent in new}
                self.queried |= new_ids
                if not sends_packets:
                    self.queried_without_packets |= new_ids
                self.pending |= new_ids
                self.queried_at = now
                self.next_batch_at = now + QUERY_BATCH_INTERVAL_SECONDS
                return new
            if is_last:
                return []

    def restart(self) -> None:
        """Starts over with the first batch and keeps the packets."""
        self.batch = 0
        for member_ids in (
            self.pending,
            self.queried,
            self.queried_without_packets,
            self.denied,
            self.returning,
        ):
            member_ids.clear()

    def add(self, packet: bytes) -> None:
        """Adds a packet of the flow.

        Args:
            packet: The packet; a retransmission of a stored one is ignored.
        """
        if packet not in self.packets and len(self.packets) < MAX_LOOKUP_PACKETS:
            self.packets.append(packet)

    def packets_to_candidates(self, agents: Sequence[Peer]) -> list[bytes]:
        """Returns the packets that agents are sent before the owner is known.

        Args:
            agents: The agents.
        """
        if self.held is None:
            return self.packets
        probe = self.held.probe
        for agent in agents:
            member_id = agent.member.member_id
            if member_id not in self.queried_without_packets:
                self.probes_by_member_id.setdefault(member_id, []).append(probe)
                self.without_data.add(member_id)
        if self.held.shortest_data:
            self.without_data -= {agent.member.member_id for agent in agents}
        return [probe]

    def candidates_without_data(self, fleet: Fleet) -> list[Peer]:
        """Lists the candidates that were sent a bare ACK before data arrived.

        Args:
            fleet: The agents.

        Returns:
            Agents that have not denied the flow; empty if no data is held.
        """
        if self.held is None or not self.held.shortest_data:
            return []
        candidates = self.without_data & self.pending - self.queried_without_packets
        return [
            fleet.peers_by_id[member_id]
            for member_id in sorted(candidates)
            if member_id in fleet.peers_by_id
        ]

    def packets_to_owner(self, member_id: str) -> list[bytes]:
        """Returns the packets that the owner has not been sent yet.

        Args:
            member_id: The owner.
        """
        packets = self.packets if self.held is None else self.held.all
        if not self.was_sent_packets(member_id):
            return packets
        if self.held is None:
            return []
        probes = self.probes_by_member_id.get(member_id, [])
        return [packet for packet in packets if packet not in probes]

    @property
    def packet_to_unsure(self) -> bytes:
        """The packet from whose reply an agent learns whether it holds the flow."""
        if self.held is not None:
            return self.held.probe
        return min(self.packets, key=len)

    def was_sent_packets(self, member_id: str) -> bool:
        """Returns whether an agent was sent the packets, not only a query.

        Args:
            member_id: The agent.
        """
        return member_id in self.queried - self.queried_without_packets

    def mark_denied(self, member_id: str) -> None:
        """Records that an agent does not hold the flow.

        Args:
            member_id: The agent.
        """
        self.pending.discard(member_id)
        self.denied.add(member_id)

    @property
    def is_conclusive(self) -> bool:
        """Whether enough agents have denied the flow to conclude that none holds it.

        Guards against a balancer that receives no replies: a reset would cut an open
        flow. Silence of an agent that restarts as planned is no denial either.
        """
        if self.returning:
            return False
        unresponsive = len(self.queried - self.denied)
        return unresponsive <= max(1, MAX_UNRESPONSIVE_FRACTION * len(self.queried))

    def is_finished(self, fleet: Fleet, *, now: float) -> bool:
        """Returns whether no reply is awaited and no batch is scheduled.

        Args:
            fleet: The agents.
            now: Clock reading, seconds.

        Returns:
            Whether the caller's next packet has to start a new lookup.
        """
        return now >= self.next_batch_at and not self.awaited_agents(fleet, now=now)

    @property
    def reply_window_ends_at(self) -> float:
        """Until when unresponsive agents are awaited: clock reading, seconds."""
        return self.queried_at + REPLY_WINDOW_SECONDS

    def awaited_agents(self, fleet: Fleet, *, now: float) -> list[Peer]:
        """Lists the agents that may still claim the flow.

        Guards against a reset of an open flow whose owner was partitioned from this
        balancer until now: it has sent nothing since, but it replies to a query.

        Args:
            fleet: The agents.
            now: Clock reading, seconds.

        Returns:
            Agents that were queried, have not denied the flow and are responsive;
            unresponsive ones are included during the reply window after the query.
        """
        is_window_over = now >= self.reply_window_ends_at
        awaited = []
        for member_id in sorted(self.pending):
            peer = fleet.peers_by_id.get(member_id)
            if peer is None or (is_window_over and peer.is_unresponsive(now=now)):
                self.pending.discard(member_id)
                if peer is not None and peer.was_idle:
                    self.denied.add(member_id)
                elif peer is not None and peer.may_return_with_flows:
                    self.returning.add(member_id)
            else:
                awaited.append(peer)
        return awaited

    def mark_requeried(self, peers: Sequence[Peer]) -> None:
        """Records that agents are queried again, without packets.

        Args:
            peers: Agents that have not replied.
        """
        self.queried_without_packets |= {peer.member.member_id for peer in peers}


def _attempted_agents(lookup: OwnerLookup, fleet: Fleet, _: str) -> list[Peer]:
    peers = [fleet.peers_by_id.get(member_id) for member_id in lookup.preferred_ids]
    return [peer for peer in peers if peer is not None]


def _agents_of_services(lookup: OwnerLookup, fleet: Fleet) -> list[Peer]:
    return [
        agent
        for service_id in lookup.service_ids
        for agent in fleet.agents_of(service_id)
    ]


def _local_home_agents(lookup: OwnerLookup, fleet: Fleet, domain: str) -> list[Peer]:
    chosen: list[Peer] = []
    for service_id in lookup.service_ids:
        local = [
            a for a in fleet.agents_of(service_id) if a.member.failure_domain == domain
        ]
        chosen += home_agents(local, lookup.flow)
    return chosen


def _local_agents_and_remote_home(
    lookup: OwnerLookup, fleet: Fleet, domain: str
) -> list[Peer]:
    local = [
        a
        for a in _agents_of_services(lookup, fleet)
        if a.member.failure_domain == domain
    ]
    chosen: list[Peer] = local
    for service_id in lookup.service_ids:
        remote = [
            a for a in fleet.agents_of(service_id) if a.member.failure_domain != domain
        ]
        chosen += home_agents(remote, lookup.flow)
    return chosen


def _service_agents(lookup: OwnerLookup, fleet: Fleet, _: str) -> list[Peer]:
    return _agents_of_services(lookup, fleet)


def _all_agents(_lookup: OwnerLookup, fleet: Fleet, _: str) -> list[Peer]:
    # A newer configuration may have moved the route to another service.
    return fleet.agents()


_BATCHES = (
    _attempted_agents,
    _local_home_agents,
    _local_agents_and_remote_home,
    _service_agents,
    _all_agents,
)
# The first batches, which nearly always include the owner, receive the packets at once.
_PACKET_BATCH_COUNT = 2
