"""Tests of the peers to which evacuations are sent, and how often."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.connections.evacuation_dissemination import SENDERS_PER_AGENT
from siskinshift.connections.evacuation_dissemination import EvacuationDissemination
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.fleet import Fleet
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.messages.core import Role
from tests.connections.builders import member


if TYPE_CHECKING:
    from siskinshift.messages.core import Member


A_EVACUATED = Evacuations(10, frozenset({"a"}))
EVACUATION_ENDED = Evacuations(20, frozenset())
AGENTS = [
    member(f"agent-{n}", host=f"10.0.1.{n}", domain="ab"[n % 2]) for n in range(1, 41)
]


class _Balancer:
    """A balancer that has discovered all other members of its fleet."""

    def __init__(self, name: str, peers: list[Member]) -> None:
        self.register = EvacuationRegister()
        self.fleet = Fleet(member(name, role=Role.BALANCER), now=0.0)
        for peer in peers:
            if peer.member_id != name:
                self.fleet.handle_status(Status(peer, Load()), now=0.0)
        self.dissemination = EvacuationDissemination(self.register, member_id=name)

    def change(self, evacuations: Evacuations) -> list[str]:
        """Applies a change; returns the hosts to which it is sent."""
        self.register.update(evacuations)
        messages = self.dissemination.on_change(
            self.fleet.agents(), self.fleet.balancers(), now=0.0
        )
        assert all(decode_peer_message(m.datagram) == evacuations for m in messages)
        return [message.address[0] for message in messages]


def _balancers(count: int) -> list[_Balancer]:
    members = [
        member(f"balancer-{n}", role=Role.BALANCER, host=f"10.0.0.{n}")
        for n in range(1, count + 1)
    ]
    return [_Balancer(m.member_id, [*members, *AGENTS]) for m in members]


@pytest.mark.parametrize("count", [1, 2, 3, 20])
def test_each_agent_of_the_domain_is_sent_a_change_by_a_few_balancers(
    count: int,
) -> None:
    """Guards against a message of each balancer to each agent of a large fleet."""
    sent = Counter(host for b in _balancers(count) for host in b.change(A_EVACUATED))

    concerned = {m.data.host for m in AGENTS if m.failure_domain == "a"}
    assert set(sent) == concerned
    assert set(sent.values()) == {min(count, SENDERS_PER_AGENT)}


def test_agents_are_sent_the_end_of_an_evacuation() -> None:
    balancer = _balancers(1)[0]
    evacuated = balancer.change(A_EVACUATED)

    assert balancer.change(EVACUATION_ENDED) == evacuated


def test_an_agent_is_sent_each_revision_once() -> None:
    """Guards against an agent that missed all messages of the change."""
    balancer = _balancers(20)[0]
    sent = balancer.change(A_EVACUATED)
    agents = [a for a in balancer.fleet.agents() if a.member.failure_domain == "a"]
    missed = [agent for agent in agents if agent.address[0] not in sent]

    assert all(balancer.dissemination.on_agent_message(agent) for agent in missed)
    assert not any(balancer.dissemination.on_agent_message(agent) for agent in agents)


def test_a_restarted_agent_is_sent_the_evacuations_again() -> None:
    balancer = _balancers(1)[0]
    balancer.change(A_EVACUATED)
    (agent,) = [a for a in balancer.fleet.agents() if a.member.member_id == "agent-2"]
    agent.member = attrs.evolve(agent.member, incarnation=2)

    assert balancer.dissemination.on_agent_message(agent)


def test_nothing_is_sent_before_the_first_evacuation() -> None:
    """Guards against traffic in a fleet without evacuations."""
    balancer = _balancers(3)[0]
    balancer.change(Evacuations(5, frozenset()))
    peers = balancer.fleet.balancers()

    assert not balancer.dissemination.to_balancers(peers)
    assert not any(
        balancer.dissemination.on_agent_message(agent)
        for agent in balancer.fleet.agents()
    )


def test_balancers_are_sent_evacuations_with_each_heartbeat() -> None:
    """Guards against a balancer that cannot read the store and places flows there."""
    balancer = _balancers(3)[0]
    balancer.change(A_EVACUATED)
    balancer.change(EVACUATION_ENDED)
    messages = balancer.dissemination.to_balancers(balancer.fleet.balancers())

    decoded = [decode_peer_message(message.datagram) for message in messages]
    assert decoded == [EVACUATION_ENDED, EVACUATION_ENDED]


def test_an_outdated_peer_is_sent_a_reply() -> None:
    balancer = _balancers(1)[0]
    balancer.change(A_EVACUATED)
    address = ("10.0.1.7", 7000)

    (reply,) = balancer.dissemination.reply_to(Evacuations(), address)
    assert reply.address == address
    assert decode_peer_message(reply.datagram) == A_EVACUATED
    assert not balancer.dissemination.reply_to(EVACUATION_ENDED, address)
