"""Tests of the packets that are resent to a restarted agent."""

from __future__ import annotations

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.recent_packets import MAX_PACKET_AGE_SECONDS
from siskinshift.connections.recent_packets import MAX_RECENT_PACKETS
from siskinshift.connections.recent_packets import RecentPackets
from tests.connections.builders import agents
from tests.connections.builders import balancer_flows
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import opening
from tests.connections.builders import segment


def test_a_request_to_a_restarting_agent_is_resent_when_it_is_back() -> None:
    """An agent is killed, and a caller sends a request before it is back.

    The caller retransmits 0.2 s later, then 0.4 s after that. The balancer resends the
    request as soon as the agent's new process sends a message.
    """
    fleet = fleet_of(*agents(1))
    flows = balancer_flows(fleet)
    flows.on_segment(opening(1), now=0.0)
    agent = fleet.peers_by_id["editor-1"]
    accepted = FlowVerdict(Verdict.ACCEPTED, flow_of(1), Load())
    flows.on_verdict(agent, accepted, now=0.0)
    flows.on_segment(segment(1, ack=9, length=50), now=0.1)
    lost = segment(1, ack=10, length=60)
    flows.on_segment(lost, now=0.6)

    actions = flows.on_agent_restarted(agent, last_seen_at=0.5, now=0.9)

    assert len(actions) == 1
    assert isinstance(actions[0], ToPeer)
    assert actions[0].datagram.endswith(lost.datagram)
    assert flows.on_agent_restarted(agent, last_seen_at=0.5, now=1.0) == []


def test_old_packets_and_those_of_other_agents_are_not_resent() -> None:
    recent = RecentPackets()
    recent.add("a", b"old", now=0.0)
    recent.add("a", b"new", now=MAX_PACKET_AGE_SECONDS)
    recent.add("b", b"other", now=MAX_PACKET_AGE_SECONDS)

    assert recent.pop_missed("a", since=0.0, now=MAX_PACKET_AGE_SECONDS + 0.1) == [
        b"new"
    ]
    assert recent.pop_missed("b", since=0.0, now=MAX_PACKET_AGE_SECONDS + 0.1) == [
        b"other"
    ]


def test_the_list_is_bounded() -> None:
    recent = RecentPackets()
    for number in range(2 * MAX_RECENT_PACKETS):
        recent.add("a", bytes((number % 256,)), now=1.0)

    assert len(recent.pop_missed("a", since=0.0, now=1.0)) == MAX_RECENT_PACKETS
