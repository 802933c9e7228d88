"""Tests of the packets that are resent to a restarted agent."""

from __future__ import annotations

import attrs

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.flow_records import FlowRecord
from siskinshift.connections.forwarding import Forwarding
from siskinshift.connections.peer_messages import NO_REQUEST_PARAMETERS
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.recent_packets import MAX_PACKET_AGE_SECONDS
from siskinshift.connections.recent_packets import MAX_RECENT_PACKETS
from siskinshift.connections.recent_packets import RecentPackets
from siskinshift.connections.request_kind import RequestKind
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
    assert actions[0].flow == flow_of(1)
    assert actions[0].traffic_class is TrafficClass.INTERACTIVE
    assert flows.on_agent_restarted(agent, last_seen_at=0.5, now=1.0) == []


def test_resent_packets_keep_their_flow_and_class() -> None:
    """Guards against an upload that is resent ahead of page requests.

    Without its flow a copy of a waiting packet is not recognized either.
    """
    (agent,) = fleet_of(*agents(1)).agents()
    parameters = attrs.evolve(NO_REQUEST_PARAMETERS, kind=RequestKind.UPLOAD)
    record = FlowRecord(flow_of(1), request_parameters=parameters, opened_at=3.0)
    forwarding = Forwarding()
    packet = segment(1, seq=1, length=1200)
    sent = forwarding.to_owner(record, agent, packet, now=4.0)

    (resent,) = forwarding.resend(agent, since=3.9, now=4.1)

    assert resent.datagram.endswith(packet.datagram)
    assert (resent.traffic_class, resent.flow, resent.started_at) == (
        TrafficClass.BULK,
        sent.flow,
        3.0,
    )


def test_old_packets_and_those_of_other_agents_are_not_resent() -> None:
    recent = RecentPackets()
    record = FlowRecord(flow_of(1))
    recent.add("a", b"old", record, now=0.0)
    recent.add("a", b"new", record, now=MAX_PACKET_AGE_SECONDS)
    recent.add("b", b"other", record, now=MAX_PACKET_AGE_SECONDS)

    now = MAX_PACKET_AGE_SECONDS + 0.1
    for member_id, expected in (("a", b"new"), ("b", b"other")):
        missed = recent.pop_missed(member_id, since=0.0, now=now)
        assert [packet.datagram for packet in missed] == [expected]


def test_the_list_is_bounded() -> None:
    recent = RecentPackets()
    record = FlowRecord(flow_of(1))
    for number in range(2 * MAX_RECENT_PACKETS):
        recent.add("a", bytes((number % 256,)), record, now=1.0)

    assert len(recent.pop_missed("a", since=0.0, now=1.0)) == MAX_RECENT_PACKETS
