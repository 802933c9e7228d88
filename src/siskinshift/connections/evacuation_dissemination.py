"""To which peers a balancer sends the evacuations that it holds.

Pattern: an order for a failure domain of a thousand agents, held by hundreds of
balancers. Each agent gets it at once from a few balancers, which a ring of hashes
names; every other balancer sends it when it next hears of the agent, once for each
incarnation and revision.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

import xxhash

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.peer_codec import encode_evacuations_message


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.evacuations import EvacuationRegister
    from siskinshift.connections.evacuations import Evacuations
    from siskinshift.connections.fleet import Peer


# Balancers that send a change to an agent at once: two messages may be lost.
SENDERS_PER_AGENT = 3


class EvacuationDissemination:
    """Sends evacuations to the agents that they concern, and to balancers behind."""

    def __init__(self, register: EvacuationRegister, *, member_id: str) -> None:
        """Has sent nothing yet.

        Args:
            register: The newest evacuations.
            member_id: The balancer.
        """
        self._register = register
        self._key = xxhash.xxh3_64_intdigest(member_id.encode())
        # Incarnation of the agent and revision that it was sent last.
        self._sent_by_member_id: dict[str, tuple[int, int]] = {}

    def on_change(
        self, agents: Sequence[Peer], balancers: Sequence[Peer], *, now: float
    ) -> list[ToPeer]:
        """Sends a change to the agents for which this balancer is responsible.

        Args:
            agents: All agents.
            balancers: All other balancers.
            now: Clock reading, seconds.

        Returns:
            The messages.
        """
        # Those of the revision before are of no more use.
        self._sent_by_member_id.clear()
        concerned = [agent for agent in agents if self._concerns(agent)]
        others = [peer.key for peer in balancers if not peer.is_unresponsive(now=now)]
        ring = sorted([*others, self._key])
        return [
            self._send(agent)
            for agent in concerned
            if self._key in _successors(ring, agent.key)
        ]

    def on_agent_message(self, agent: Peer) -> list[ToPeer]:
        """Sends an agent what it may lack.

        Args:
            agent: An agent that has just spoken.

        Returns:
            A message if this balancer did not send it this revision yet.
        """
        if not self._concerns(agent):
            return []
        sent = self._sent_by_member_id.get(agent.member.member_id)
        if sent == (agent.member.incarnation, self._register.current.revision):
            return []
        return [self._send(agent)]

    def to_balancers(self, balancers: Sequence[Peer]) -> list[ToPeer]:
        """Sends balancers the evacuations, for those that can't read the store.

        Args:
            balancers: Balancers that are sent a heartbeat now.

        Returns:
            The messages; none if no domain was evacuated in the process's life.
        """
        if not self._register.changed_domains:
            return []
        message = encode_evacuations_message(self._register.current)
        return [ToPeer(peer.address, message) for peer in balancers]

    def reply_to(
        self, evacuations: Evacuations, address: tuple[str, int]
    ) -> list[ToPeer]:
        """Answers a peer whose evacuations are older.

        Args:
            evacuations: What the peer sent.
            address: The peer.

        Returns:
            The newer ones, if there are any.
        """
        if not self._register.supersedes(evacuations):
            return []
        return [ToPeer(address, encode_evacuations_message(self._register.current))]

    def _concerns(self, agent: Peer) -> bool:
        return agent.member.failure_domain in self._register.changed_domains

    def _send(self, agent: Peer) -> ToPeer:
        revision = self._register.current.revision
        member = agent.member
        self._sent_by_member_id[member.member_id] = (member.incarnation, revision)
        message = encode_evacuations_message(self._register.current)
        return ToPeer(agent.address, message)


def _successors(ring: list[int], key: int) -> list[int]:
    """Names the keys that follow a key on a ring."""
    start = bisect_left(ring, key)
    return (ring[start:] + ring)[:SENDERS_PER_AGENT]
