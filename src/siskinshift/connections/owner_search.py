"""Whom a balancer asks for the owner of a flow, and in which order.

Pattern: a balancer is restarted, or routers move hundreds of flows to it at once. To
ask all agents of a service with each flow's packet takes 45 packets a flow in a fleet
of 56 agents, and the weakest links carry 5 Mbit/s. A flow is placed on one of a few
agents that its own hash names, so those are sent the packet first: four packets find
nearly all owners. The rest, asked only when those have said no or nothing, get a
question of 17 bytes, and the packets only if they may hold the flow.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash
from attrs import Factory
from attrs import define


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer


# Agents of a failure domain that a flow's hash names. Two are compared for a new flow,
# and as many are left when those refuse or die.
HOME_AGENTS = 4
# An odd number whose bits look random, as in multiplicative hashing: one multiplication
# ranks an agent for a flow, where a hash of each name would cost more than the rest of
# an opening.
_MIXER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
# Agents that have not answered by now are not waited for; a verdict takes one to three
# milliseconds.
WAVE_SECONDS = 0.03
# An agent that has been silent answers within this if it lives.
MOMENT_SECONDS = 0.1
# Part of the agents asked that may have fallen silent while the others' word that they
# do not hold the flow still counts as everybody's. Instances that die together are a
# failure domain's, a third to a fifth; beyond that the silence is likely the balancer's
# own, whose link or processor is overloaded.
SILENT_PART_MAXIMUM = 0.25
# Packets kept for a search; callers have sixteen on the way at most.
PACKETS_MAXIMUM = 16


def home_agents(agents: Sequence[Peer], flow: bytes) -> list[Peer]:
    """Names the agents that a flow belongs to first, by rendezvous hashing.

    Args:
        agents: Agents to choose from.
        flow: The flow.

    Returns:
        A few of them, the same on every balancer that knows the same agents.
    """
    if len(agents) <= HOME_AGENTS:
        return list(agents)

    seed = xxhash.xxh3_64_intdigest(flow)

    def rank(agent: Peer) -> int:
        return (agent.key ^ seed) * _MIXER & _MASK

    return heapq.nsmallest(HOME_AGENTS, agents, key=rank)


@define(eq=False)
class OwnerSearch:
    """A search for the owner of one flow.

    Attributes:
        flow: The flow.
        service_ids: Services that may hold it by the configuration.
        packets: Packets of the flow so far; each agent that is asked gets all, since
            the one that holds the flow needs them.
        first: Member ids to ask first, since they were asked to open the flow.
        pending: Member ids that were asked and have not said no.
        asked: Member ids that were asked.
        questioned: Member ids that were asked without a packet.
        denied: Member ids that have said no.
        wave: Number of the next wave.
        next_wave_at: When to ask further ones at the latest, seconds.
        asked_at: When agents were last asked that had not been asked yet, seconds.
        began_at: When its first packet came, seconds.
    """

    flow: bytes
    service_ids: tuple[str, ...]
    packets: list[bytes]
    first: tuple[str, ...] = ()
    pending: set[str] = Factory(set)
    asked: set[str] = Factory(set)
    questioned: set[str] = Factory(set)
    denied: set[str] = Factory(set)
    wave: int = 0
    next_wave_at: float = 0.0
    asked_at: float = 0.0
    began_at: float = 0.0

    def next_wave(self, fleet: Fleet, *, failure_domain: str, now: float) -> list[Peer]:
        """Goes on to the next agents that were not asked yet.

        Args:
            fleet: The agents.
            failure_domain: Failure domain of the balancer.
            now: Clock reading, seconds.

        Returns:
            Agents to ask; none when all were asked.
        """
        while True:
            agents = _WAVES[self.wave](self, fleet, failure_domain)
            new = [a for a in agents if a.member.member_id not in self.asked]
            is_likely = self.wave < _LIKELY_WAVES
            is_last = self.wave == len(_WAVES) - 1
            # The last wave is everybody and is looked at again. Guards against agents
            # that become known after it, while a balancer that has just started reads
            # who is there: unasked, one of them may hold the flow that would be reset.
            if not is_last:
                self.wave += 1
            if new:
                names = {agent.member.member_id for agent in new}
                self.asked |= names
                if not is_likely:
                    self.questioned |= names
                self.pending |= names
                self.asked_at = now
                self.next_wave_at = now + WAVE_SECONDS
                return new
            if is_last:
                return []

    def begin_again(self) -> None:
        """Asks everybody once more, with the packets that it has."""
        self.wave = 0
        for names in (self.pending, self.asked, self.questioned, self.denied):
            names.clear()

    def add(self, packet: bytes) -> None:
        """Keeps a further packet of the flow.

        Args:
            packet: The packet; a copy of one that is kept changes nothing.
        """
        if packet not in self.packets and len(self.packets) < PACKETS_MAXIMUM:
            self.packets.append(packet)

    def has_packets(self, member_id: str) -> bool:
        """Says whether an agent was sent the packets, and not only asked.

        Args:
            member_id: The agent.
        """
        return member_id in self.asked - self.questioned

    def said_no(self, member_id: str) -> None:
        """Takes note that an agent does not hold the flow.

        Args:
            member_id: The agent.
        """
        self.pending.discard(member_id)
        self.denied.add(member_id)

    @property
    def is_conclusive(self) -> bool:
        """Whether enough have said no, so that nobody holds the flow.

        Guards against a balancer that can't hear: a reset would cut a living flow.
        """
        silent = len(self.asked - self.denied)
        return silent <= max(1, SILENT_PART_MAXIMUM * len(self.asked))

    def is_over(self, fleet: Fleet, *, now: float) -> bool:
        """Says whether nobody is left to answer or to be asked soon.

        Args:
            fleet: The agents.
            now: Clock reading, seconds.

        Returns:
            Whether a new search has to begin.
        """
        return now >= self.next_wave_at and not self.waits_for(fleet, now=now)

    @property
    def moment_ends_at(self) -> float:
        """Until when silent agents are waited for: clock reading, seconds."""
        return self.asked_at + MOMENT_SECONDS

    def waits_for(self, fleet: Fleet, *, now: float) -> list[Peer]:
        """Lists the agents that may still say yes.

        Guards against a reset of a living flow whose owner was cut off from this
        balancer and is not any more: it has not spoken since, but it answers.

        Args:
            fleet: The agents.
            now: Clock reading, seconds.

        Returns:
            Those that were asked, have not said no and are not silent; silent ones
            too for a moment after the question.
        """
        has_had_a_moment = now >= self.moment_ends_at
        waited_for = []
        for member_id in sorted(self.pending):
            peer = fleet.peers_by_id.get(member_id)
            if peer is None or (has_had_a_moment and peer.is_unresponsive(now=now)):
                self.pending.discard(member_id)
                if peer is not None and peer.was_idle:
                    self.denied.add(member_id)
            else:
                waited_for.append(peer)
        return waited_for

    def ask_again(self, peers: Sequence[Peer]) -> None:
        """Takes note that agents are asked once more, without a packet.

        Args:
            peers: Agents that have not answered.
        """
        self.questioned |= {peer.member.member_id for peer in peers}


def _opened(search: OwnerSearch, fleet: Fleet, _: str) -> list[Peer]:
    peers = [fleet.peers_by_id.get(member_id) for member_id in search.first]
    return [peer for peer in peers if peer is not None]


def _agents(search: OwnerSearch, fleet: Fleet) -> list[Peer]:
    return [agent for name in search.service_ids for agent in fleet.agents_of(name)]


def _near_home(search: OwnerSearch, fleet: Fleet, domain: str) -> list[Peer]:
    named: list[Peer] = []
    for name in search.service_ids:
        near = [a for a in fleet.agents_of(name) if a.member.failure_domain == domain]
        named += home_agents(near, search.flow)
    return named


def _far_home(search: OwnerSearch, fleet: Fleet, domain: str) -> list[Peer]:
    near = [a for a in _agents(search, fleet) if a.member.failure_domain == domain]
    named: list[Peer] = near
    for name in search.service_ids:
        far = [a for a in fleet.agents_of(name) if a.member.failure_domain != domain]
        named += home_agents(far, search.flow)
    return named


def _service(search: OwnerSearch, fleet: Fleet, _: str) -> list[Peer]:
    return _agents(search, fleet)


def _everybody(_search: OwnerSearch, fleet: Fleet, _: str) -> list[Peer]:
    # A configuration may have given the route to another service since.
    return fleet.agents()


_WAVES = (_opened, _near_home, _far_home, _service, _everybody)
# The first of them, which nearly always meet the owner, get the packets at once.
_LIKELY_WAVES = 2
