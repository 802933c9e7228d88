"""Decides to which peers a balancer sends the evacuations that it holds.

A failure domain may have a thousand agents and hundreds of balancers. A few balancers,
chosen by consistent hashing, send a change to each agent immediately. Every other
balancer replies with it to the agent's next message, once for each incarnation and
revision.
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


# Balancers that send a change to an agent immediately; two of their messages may be
# lost.
SENDERS_PER_AGENT = 3


class EvacuationDissemination:
    """Sends evacuations to the agents concerned and to balancers."""

    def __init__(self, register: EvacuationRegister, *, member_id: str) -> None:
        """Initializes the state without sent messages.

        Args:
            register: The newest evacuations.
            member_id: Id of the balancer.
        """
        self._register = register
        self._key = xxhash.xxh3_64_intdigest(member_id.encode())
        # Incarnation of each agent and the evacuations that it was last sent.
        self._sent_by_member_id: dict[str, tuple[int, Evacuations]] = {}

    def on_change(
        self, agents: Sequence[Peer], balancers: Sequence[Peer], *, now: float
    ) -> list[ToPeer]:
        """Sends a change to the agents for which this balancer is responsible.

        Args:
            agents: All agents.
            balancers: All balancers except this one.
            now: Clock reading, seconds.

        Returns:
            The messages.
        """
        # Records of the previous revision are obsolete.
        self._sent_by_member_id.clear()
        concerned = [agent for agent in agents if self._concerns(agent)]
        peer_keys = [
            peer.key for peer in balancers if not peer.is_unresponsive(now=now)
        ]
        ring = sorted([*peer_keys, self._key])
        return [
            self._send(agent)
            for agent in concerned
            if self._key in _successors(ring, agent.key)
        ]

    def on_agent_message(self, agent: Peer) -> list[ToPeer]:
        """Sends the evacuations to an agent that may lack them.

        Args:
            agent: An agent of which a message was just received.

        Returns:
            A message if this balancer has not sent it this state yet.
        """
        if not self._concerns(agent):
            return []
        sent = self._sent_by_member_id.get(agent.member.member_id)
        if sent == (agent.member.incarnation, self._register.current):
            return []
        return [self._send(agent)]

    def to_balancers(self, balancers: Sequence[Peer]) -> list[ToPeer]:
        """Sends the evacuations to balancers, some of which cannot read the store.

        Args:
            balancers: Balancers that are sent a heartbeat now.

        Returns:
            The messages; none if no evacuation has changed since the process started.
        """
        if not self._register.changed_domains:
            return []
        message = encode_evacuations_message(self._register.current)
        return [ToPeer(peer.address, message) for peer in balancers]

    def reply_to(
        self, evacuations: Evacuations, address: tuple[str, int]
    ) -> list[ToPeer]:
        """Replies to a peer whose evacuations are older.

        Args:
            evacuations: Evacuations that the peer sent.
            address: Address of the peer.

        Returns:
            A message with the newer evacuations, if there are any.
        """
        if not self._register.supersedes(evacuations):
            return []
        return [ToPeer(address, encode_evacuations_message(self._register.current))]

    def _concerns(self, agent: Peer) -> bool:
        return agent.member.failure_domain in self._register.changed_domains

    def _send(self, agent: Peer) -> ToPeer:
        current = self._register.current
        member = agent.member
        self._sent_by_member_id[member.member_id] = (member.incarnation, current)
        message = encode_evacuations_message(current)
        return ToPeer(agent.address, message)


def _successors(ring: list[int], key: int) -> list[int]:
    """Returns the keys that follow a key on a hash ring."""
    start = bisect_left(ring, key)
    return (ring[start:] + ring)[:SENDERS_PER_AGENT]
