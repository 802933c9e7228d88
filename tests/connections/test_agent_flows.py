"""Tests of how an agent handles the packets of its upstream's flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.owned_flow import RestoredFlow
from siskinshift.connections.owned_flows import IDLE_TIMEOUT_SECONDS
from siskinshift.connections.owned_flows import LONG_LIVED_AFTER_SECONDS
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from tests.connections.builders import BALANCER
from tests.connections.builders import OTHER_BALANCER
from tests.connections.builders import agent_flows
from tests.connections.builders import flow_of
from tests.connections.builders import heartbeat
from tests.connections.builders import opening
from tests.connections.builders import ready_upstream
from tests.connections.builders import segment


if TYPE_CHECKING:
    from siskinshift.connections.agent_flows import AgentFlows


UPSTREAM_SEQ = 5_000_000
EDITOR_TAG = service_tag("editor")


def _forward(
    flows: AgentFlows,
    packet: Segment,
    purpose: Purpose,
    *,
    now: float = 0.0,
    sender: tuple[str, int] = BALANCER,
    tag: int = EDITOR_TAG,
) -> list[object]:
    return list(
        flows.on_forward(
            Forward(purpose, tag, packet.datagram), packet, sender, now=now
        )
    )


def _verdicts(actions: list[object]) -> list[tuple[Verdict, tuple[str, int]]]:
    verdicts = []
    for action in actions:
        if isinstance(action, ToPeer):
            message = decode_peer_message(action.datagram)
            assert isinstance(message, FlowVerdict)
            verdicts.append((message.verdict, action.address))
    return verdicts


def _opened(flows: AgentFlows, port: int, *, now: float = 0.0) -> None:
    _forward(flows, opening(port), Purpose.OPEN, now=now)
    reply = segment(port, SYN | ACK, seq=UPSTREAM_SEQ, ack=2)
    flows.on_upstream_segment(reply, now=now)


def test_an_opening_packet_reaches_the_upstream_and_its_reply_the_caller() -> None:
    flows = agent_flows()

    assert _forward(flows, opening(1), Purpose.OPEN) == [
        ToUpstream(opening(1).datagram)
    ]
    reply = segment(1, SYN | ACK, seq=UPSTREAM_SEQ, ack=2)
    actions = flows.on_upstream_segment(reply, now=0.0)

    assert ToCaller(flow_of(1), reply.datagram) in actions
    assert _verdicts(list(actions)) == [(Verdict.ACCEPTED, BALANCER)]
    assert flows.load == Load(flows=1, running=0)


def test_a_packet_for_another_service_is_refused() -> None:
    """An address moves to another service; a balancer has the old configuration.

    Its opening packet for the old service must not get responses of the new one.
    """
    flows = agent_flows()

    actions = _forward(flows, opening(1), Purpose.OPEN, tag=service_tag("dossiers"))

    assert _verdicts(actions) == [(Verdict.WRONG_SERVICE, BALANCER)]
    assert len(actions) == 1


def test_a_leaving_upstream_gets_no_new_flow_but_keeps_its_own() -> None:
    upstream = ready_upstream()
    flows = agent_flows(upstream)
    _opened(flows, 1)
    upstream.on_heartbeat(heartbeat(sequence=2, is_leaving=True), now=0.1)

    refused = _forward(flows, opening(2), Purpose.OPEN, now=0.1)
    kept = _forward(flows, segment(1, ack=UPSTREAM_SEQ + 1), Purpose.OWNED, now=0.1)

    assert _verdicts(refused) == [(Verdict.UNAVAILABLE, BALANCER)]
    assert any(isinstance(action, ToUpstream) for action in kept)


def test_a_port_that_opened_before_opens_no_flow_at_a_leaving_upstream() -> None:
    """Guards against a reused port of a flow that never opened here.

    The agent keeps such a flow, the loser of a hedged opening, for up to 90 s.
    """
    upstream = ready_upstream()
    flows = agent_flows(upstream)
    _forward(flows, opening(1), Purpose.OPEN)
    upstream.on_heartbeat(heartbeat(sequence=2, is_leaving=True), now=1.0)

    actions = _forward(flows, opening(1), Purpose.OPEN, now=10.0)

    assert _verdicts(actions) == [(Verdict.UNAVAILABLE, BALANCER)]
    assert len(actions) == 1


def test_a_port_of_an_ended_flow_opens_no_flow_at_a_leaving_upstream() -> None:
    """Guards against a port that is reused before the agent forgets its flow."""
    upstream = ready_upstream()
    flows = agent_flows(upstream)
    _opened(flows, 1)
    _forward(flows, segment(1, RESET, ack=UPSTREAM_SEQ + 1), Purpose.OWNED, now=0.5)
    upstream.on_heartbeat(heartbeat(sequence=2, is_leaving=True), now=0.6)

    actions = _forward(flows, opening(1), Purpose.OPEN, now=0.7)

    assert _verdicts(actions) == [(Verdict.UNAVAILABLE, BALANCER)]
    assert len(actions) == 1


def test_a_retransmitted_opening_packet_reaches_an_upstream_that_began_to_leave() -> (
    None
):
    """Guards against a refused opening that the upstream may have accepted already."""
    upstream = ready_upstream()
    flows = agent_flows(upstream)
    _forward(flows, opening(1), Purpose.OPEN)
    upstream.on_heartbeat(heartbeat(sequence=2, is_leaving=True), now=0.1)

    packet = opening(1, retransmissions=1)
    actions = _forward(flows, packet, Purpose.OPEN, now=0.2)

    assert actions == [ToUpstream(packet.datagram)]


def test_a_full_upstream_returns_the_opening_packet_and_the_balancer_is_notified() -> (
    None
):
    flows = agent_flows()
    _forward(flows, opening(1), Purpose.OPEN)

    actions = flows.on_upstream_segment(segment(1, SYN | BOUNCED), now=0.0)

    assert _verdicts(list(actions)) == [(Verdict.FULL, BALANCER)]
    assert len(flows) == 0


def test_a_flow_that_another_upstream_won_is_not_delivered() -> None:
    """Two agents received the same opening packet, and both upstreams responded.

    The caller acknowledged the other response. Its packets must not reach this
    upstream: three of them at a wrong one count as a broken flow.
    """
    flows = agent_flows()
    _opened(flows, 1)
    foreign = segment(1, ack=UPSTREAM_SEQ + (1 << 30))

    actions = _forward(flows, foreign, Purpose.LOOKUP)

    assert _verdicts(actions) == [(Verdict.NOT_MINE, BALANCER)]
    assert not any(isinstance(action, ToUpstream) for action in actions)


def test_a_foreign_sequence_number_close_to_the_own_range_is_rejected() -> None:
    """Two upstreams drew initial sequence numbers that are close to each other.

    The agent delivered a packet of the other flow, its upstream returned it, and the
    agent reset a flow that the other upstream served.
    """
    flows = agent_flows()
    _opened(flows, 1)
    foreign = segment(1, ack=UPSTREAM_SEQ + 4000)

    actions = _forward(flows, foreign, Purpose.LOOKUP)

    assert _verdicts(actions) == [(Verdict.NOT_MINE, BALANCER)]
    assert not any(isinstance(action, ToUpstream) for action in actions)


def test_a_returned_packet_of_a_flow_that_never_opened_here_resets_nothing() -> None:
    """The upstream returns the first packet after the handshake.

    It never held the flow, so the packet proves nothing about other upstreams.
    """
    flows = agent_flows()
    _opened(flows, 1)
    first = segment(1, ack=UPSTREAM_SEQ + 1)
    _forward(flows, first, Purpose.LOOKUP)

    returned = segment(1, ACK | BOUNCED, ack=UPSTREAM_SEQ + 1)
    assert flows.on_upstream_segment(returned, now=0.1) == []
    again = _forward(flows, first, Purpose.LOOKUP, now=0.2)
    assert _verdicts(again) == [(Verdict.NOT_MINE, BALANCER)]


def test_a_restarted_agent_recovers_its_flows_from_the_upstream() -> None:
    """An agent is killed while its upstream and the flows continue.

    The restarted agent probes with the first packet. A response of the upstream proves
    ownership, and the balancer is notified.
    """
    flows = agent_flows()
    request = segment(1, ack=UPSTREAM_SEQ + 1, length=100)

    probed = _forward(flows, request, Purpose.LOOKUP)
    reply = segment(1, ACK, seq=UPSTREAM_SEQ + 1, length=500)
    actions = flows.on_upstream_segment(reply, now=0.01)

    assert probed == [ToUpstream(request.datagram)]
    assert _verdicts(list(actions)) == [(Verdict.MINE, BALANCER)]
    again = _forward(flows, request, Purpose.OWNED, sender=OTHER_BALANCER)
    assert again == [ToUpstream(request.datagram)]


def test_a_flow_recovered_from_an_old_response_accepts_newer_packets() -> None:
    """An old request is retransmitted to a restarted agent, and the upstream responds.

    The caller has acknowledged newer data by then. Its next packet must match the flow;
    the agent once rejected it, and the flow was reset.
    """
    flows = agent_flows()
    _forward(flows, segment(1, ack=UPSTREAM_SEQ + 1, length=9), Purpose.OWNED)
    old_reply = segment(1, ACK, seq=UPSTREAM_SEQ + 1, length=500)
    flows.on_upstream_segment(old_reply, now=0.0)

    newer = segment(1, seq=700, ack=UPSTREAM_SEQ + 90_000, length=9)
    actions = _forward(flows, newer, Purpose.OWNED, now=0.1)

    assert actions == [ToUpstream(newer.datagram)]


def test_an_upstream_that_does_not_respond_for_a_flow_is_suspected() -> None:
    """An agent restarts whose upstream responded to a caller but was not chosen.

    The balancer has only the acceptance and sends all packets here. The upstream keeps
    the flow half open and neither responds nor returns them, and the upstream that
    holds the flow would get none.
    """
    flows = agent_flows()
    packet = segment(1, ack=9, length=100)

    first = _forward(flows, packet, Purpose.OWNED, now=0.0)
    retransmitted = [
        _forward(flows, packet, Purpose.OWNED, now=at) for at in (0.2, 0.6, 1.4)
    ]

    assert _verdicts(first) == _verdicts(retransmitted[0]) == []
    assert (
        _verdicts(retransmitted[1])
        == _verdicts(retransmitted[2])
        == [(Verdict.UNSURE, BALANCER)]
    )
    assert all(ToUpstream(packet.datagram) in actions for actions in retransmitted)


def test_an_upstream_that_responds_is_not_suspected() -> None:
    """An agent restarts beside the upstream that holds the flow and owns it."""
    flows = agent_flows()
    packet = segment(1, ack=9, length=100)
    _forward(flows, packet, Purpose.OWNED, now=0.0)
    flows.on_upstream_segment(segment(1, ACK, seq=9, ack=101), now=0.3)

    actions = _forward(flows, packet, Purpose.OWNED, now=0.6)

    assert _verdicts(actions) == []


def test_a_foreign_packet_is_probed_once() -> None:
    """A restarted agent repeatedly gets packets of a flow of another agent.

    The upstream returns the first one. Without a cache of that, each further packet of
    the flow would reach a wrong upstream.
    """
    flows = agent_flows()
    packet = segment(1, ack=77, length=10)
    _forward(flows, packet, Purpose.LOOKUP)
    returned = segment(1, ACK | BOUNCED, ack=77, length=10)

    first = flows.on_upstream_segment(returned, now=0.01)
    second = _forward(flows, packet, Purpose.LOOKUP, now=0.2)

    assert _verdicts(list(first)) == [(Verdict.NOT_MINE, BALANCER)]
    assert _verdicts(second) == [(Verdict.NOT_MINE, BALANCER)]
    assert not any(isinstance(action, ToUpstream) for action in second)


def test_a_flow_that_its_own_upstream_lost_is_reset() -> None:
    """An upstream drops a flow that it held while the caller continues to send.

    The caller acknowledged this upstream's numbers, so no other one holds the flow. A
    reset saves the caller the wait until its deadline.
    """
    flows = agent_flows()
    _opened(flows, 1)
    reply = segment(1, ACK, seq=UPSTREAM_SEQ + 1, length=8)
    flows.on_upstream_segment(reply, now=0.5)
    _forward(flows, segment(1, ack=UPSTREAM_SEQ + 9), Purpose.OWNED)

    actions = flows.on_upstream_segment(
        segment(1, ACK | BOUNCED, ack=UPSTREAM_SEQ + 9), now=1.0
    )

    assert actions == [ResetCaller(flow_of(1), UPSTREAM_SEQ + 9)]
    assert len(flows) == 0


def test_flows_of_an_ended_upstream_are_reset_and_its_probes_denied() -> None:
    """An upstream's process ends; a port without a listener proves it.

    Callers of its flows must not wait for their deadlines, and a balancer with an owner
    lookup for another flow must not wait for this agent's reply.
    """
    flows = agent_flows()
    _opened(flows, 1)
    _forward(flows, segment(1, ack=UPSTREAM_SEQ + 1), Purpose.OWNED)
    _forward(flows, segment(2, ack=7, length=1), Purpose.LOOKUP)

    actions = flows.on_upstream_gone(now=1.0)
    later = _forward(flows, segment(3, ack=8, length=1), Purpose.LOOKUP, now=1.1)

    assert ResetCaller(flow_of(1), UPSTREAM_SEQ + 1) in actions
    assert _verdicts(list(actions)) == [(Verdict.NOT_MINE, BALANCER)]
    assert _verdicts(later) == [(Verdict.NOT_MINE, BALANCER)]
    assert flows.load == Load(flows=0, running=0, is_certain=True)


def test_running_counts_waiting_callers() -> None:
    flows = agent_flows()
    _opened(flows, 1)
    _opened(flows, 2)

    _forward(flows, segment(1, ack=UPSTREAM_SEQ + 1, length=90), Purpose.OWNED)
    assert flows.load == Load(flows=2, running=1)
    reply = segment(1, ACK, seq=UPSTREAM_SEQ + 1, length=700)
    flows.on_upstream_segment(reply, now=0.1)
    assert flows.load == Load(flows=2, running=0)


def test_a_flow_ends_when_both_ends_have_closed_it_or_one_reset_it() -> None:
    flows = agent_flows()
    for port in (1, 2):
        _opened(flows, port)

    flows.on_upstream_segment(segment(1, FIN | ACK, seq=UPSTREAM_SEQ + 1), now=0.0)
    assert len(flows) == 2
    _forward(flows, segment(1, FIN | ACK, ack=UPSTREAM_SEQ + 2), Purpose.OWNED)
    _forward(flows, segment(2, RESET, ack=UPSTREAM_SEQ + 1), Purpose.OWNED)

    assert flows.load == Load(flows=0, running=0)


def test_idle_flows_are_dropped_and_the_count_stays_correct() -> None:
    flows = agent_flows()
    _opened(flows, 1)
    _opened(flows, 2, now=IDLE_TIMEOUT_SECONDS)

    flows.tick(now=IDLE_TIMEOUT_SECONDS + 1.0)

    assert flows.load == Load(flows=1, running=0)


def test_restored_flows_are_verified_with_a_new_incarnation() -> None:
    """An instance loses power; upstream and agent restart, unnoticed by idle callers.

    The snapshot of the previous agent holds a packet of each long-lived flow. The new
    upstream returns them, and the callers are reset before their next request is lost.
    """
    before = agent_flows()
    _opened(before, 1)
    bare = segment(1, ack=UPSTREAM_SEQ + 1)
    _forward(before, bare, Purpose.OWNED)
    assert before.long_lived_flows(now=LONG_LIVED_AFTER_SECONDS / 2) == []
    listed = before.long_lived_flows(now=LONG_LIVED_AFTER_SECONDS + 0.1)
    assert [flow.packet for flow in listed] == [bare.datagram]

    after = agent_flows(ready_upstream(upstream_id="u-2"))
    after.restore([RestoredFlow(bare)], now=0.0)
    assert after.verify_all() == [ToUpstream(bare.datagram)]
    returned = segment(1, ACK | BOUNCED, ack=UPSTREAM_SEQ + 1)
    assert after.on_upstream_segment(returned, now=0.1) == [
        ResetCaller(flow_of(1), UPSTREAM_SEQ + 1)
    ]


def test_forged_packets_reach_no_upstream() -> None:
    flows = agent_flows()
    _opened(flows, 1)

    assert _forward(flows, segment(1, SYN | ACK), Purpose.OPEN) == []
    assert _forward(flows, segment(1, SYN | ACK), Purpose.OWNED) == []
    assert _forward(flows, segment(1, ACK | BOUNCED), Purpose.LOOKUP) == []


def test_a_reply_with_foreign_sequence_numbers_does_not_prove_ownership() -> None:
    """A caller closes its flow, and its last packets reach a new balancer.

    A restarted agent probes its upstream, which holds an ended opening of that caller
    and acknowledges with its own numbers. If it counted as the owner, it would get all
    retransmissions, and the real owner none for seconds.
    """
    flows = agent_flows()
    end = segment(1, FIN | ACK, seq=40, ack=UPSTREAM_SEQ + 900)
    _forward(flows, end, Purpose.LOOKUP)

    foreign = segment(1, ACK, seq=UPSTREAM_SEQ + 7_000_000, ack=2)
    actions: list[object] = list(flows.on_upstream_segment(foreign, now=0.01))
    retransmitted = _forward(flows, end, Purpose.LOOKUP, now=0.2)

    assert _verdicts(actions) == [(Verdict.NOT_MINE, BALANCER)]
    assert _verdicts(retransmitted) == [(Verdict.NOT_MINE, BALANCER)]
    assert not any(isinstance(action, ToUpstream) for action in retransmitted)
    assert flows.load == Load(flows=0, running=0)


def test_a_foreign_upstreams_reset_does_not_reach_the_caller() -> None:
    """An upstream holds an ended opening of a flow that another upstream won.

    It responds to data of that flow with a reset, which would break the caller's flow
    with the upstream that serves it.
    """
    flows = agent_flows()
    request = segment(1, seq=40, ack=UPSTREAM_SEQ + 900, length=10)
    _forward(flows, request, Purpose.LOOKUP)

    reset = segment(1, RESET, seq=UPSTREAM_SEQ + 7_000_000, ack=50)
    actions: list[object] = list(flows.on_upstream_segment(reset, now=0.01))

    assert _verdicts(actions) == [(Verdict.NOT_MINE, BALANCER)]
    assert not any(isinstance(action, ToCaller | ResetCaller) for action in actions)


def test_a_reset_with_the_acknowledged_number_does_not_prove_ownership() -> None:
    """Guards against the reset of an upstream at which the port's last flow ended.

    Each packet of a request gets such an answer.
    """
    flows = agent_flows()
    acknowledged = UPSTREAM_SEQ + 900
    for seq in (40, 50):
        request = segment(1, seq=seq, ack=acknowledged, length=10)
        _forward(flows, request, Purpose.LOOKUP)
    reset = segment(1, RESET, seq=acknowledged)

    actions = [
        action for _ in range(2) for action in flows.on_upstream_segment(reset, now=0.1)
    ]

    assert _verdicts(list(actions)) == [(Verdict.NOT_MINE, BALANCER)]
    assert not any(isinstance(action, ToCaller | ResetCaller) for action in actions)


def test_a_response_that_crosses_the_probe_proves_ownership() -> None:
    """An agent restarts while packets of its upstream are in transit.

    The upstream's next packet may be a retransmission from before the acknowledgement
    in the probe. It still proves ownership.
    """
    flows = agent_flows()
    probe = segment(1, seq=40, ack=UPSTREAM_SEQ + 2400, length=10)
    _forward(flows, probe, Purpose.LOOKUP)

    retransmitted = segment(1, seq=UPSTREAM_SEQ + 1200, ack=40, length=1200)
    actions: list[object] = list(flows.on_upstream_segment(retransmitted, now=0.01))

    assert (Verdict.MINE, BALANCER) in _verdicts(actions)


def test_flows_of_an_ended_process_are_reset_once_restored() -> None:
    """An instance loses power, and its agent restarts before the upstream.

    The upstream's port refuses connections, so its flows are certainly lost. They are
    reset when the snapshot has been read, without a wait for the new upstream.
    """
    flows = agent_flows()
    flows.on_upstream_gone(now=0.0)

    actions = flows.restore(
        [RestoredFlow(segment(1, seq=40, ack=UPSTREAM_SEQ))], now=0.1
    )

    assert actions == [ResetCaller(flow_of(1), UPSTREAM_SEQ)]
    assert flows.load == Load(flows=0, running=0, is_certain=True)


def test_an_owner_query_gets_a_reply_from_the_agents_state() -> None:
    """A restarted balancer queries the owner of a flow without a packet of it.

    An agent that tracks all flows of its upstream denies any other flow. A restarted
    one is unsure until its upstream has received a packet.
    """
    flows = agent_flows()
    _opened(flows, 1)

    def reply(port: int, acknowledged: int) -> list[tuple[Verdict, tuple[str, int]]]:
        query = OwnerQuery(flow_of(port), acknowledged)
        return _verdicts(list(flows.on_owner_query(query, BALANCER, now=0.1)))

    assert reply(1, UPSTREAM_SEQ + 1) == [(Verdict.MINE, BALANCER)]
    assert reply(1, UPSTREAM_SEQ + 5_000_000) == [(Verdict.NOT_MINE, BALANCER)]
    assert reply(2, 7) == [(Verdict.UNSURE, BALANCER)]
    flows.on_upstream_gone(now=0.2)
    assert reply(2, 7) == [(Verdict.NOT_MINE, BALANCER)]


def test_a_packet_is_not_returned_to_a_balancer_with_an_owner_lookup() -> None:
    """Hundreds of flows move to a balancer on a link of 7 Mbit/s, which looks up each.

    Each refusal returned the packet, up to 1.2 KB from each of 48 agents. The link
    filled up, and verdicts and heartbeats were lost.
    """
    flows = agent_flows()
    flows.on_upstream_gone(now=0.0)
    request = segment(1, seq=40, ack=9, length=900)

    lookup = _forward(flows, request, Purpose.LOOKUP)
    owned = _forward(flows, request, Purpose.OWNED)

    returned = [
        action.datagram.endswith(request.datagram)
        for action in lookup + owned
        if isinstance(action, ToPeer)
    ]
    assert returned == [False, True]


def test_late_requests_of_ended_flows_occupy_no_slot() -> None:
    """A balancer stalls for four seconds and then sends what it had received.

    Its callers have ended their flows through other balancers. The upstream did not
    respond to their requests, which occupied its slot while all others waited until
    their deadlines.
    """
    flows = agent_flows()
    for port in range(1, 5):
        _opened(flows, port)
        end = segment(port, RESET, seq=2, ack=UPSTREAM_SEQ + 1)
        _forward(flows, end, Purpose.OWNED, now=0.1)
    late = [segment(p, seq=2, ack=UPSTREAM_SEQ + 1, length=50) for p in range(1, 5)]
    for packet in late:
        _forward(flows, packet, Purpose.OWNED, now=0.2)
    assert flows.load.running == 0

    _opened(flows, 9, now=0.3)
    request = segment(9, seq=2, ack=UPSTREAM_SEQ + 1, length=50)
    sent = _forward(flows, request, Purpose.OWNED, now=0.4)

    assert ToUpstream(request.datagram) in sent


def test_a_request_that_its_upstream_returns_frees_its_slot() -> None:
    """An upstream closes a flow while a request of it is in transit.

    The upstream returns the request or resets the flow; either frees the slot.
    """
    for flags in (RESET, ACK | BOUNCED):
        flows = agent_flows()
        _opened(flows, 1)
        request = segment(1, seq=2, ack=UPSTREAM_SEQ + 1, length=50)
        _forward(flows, request, Purpose.OWNED, now=0.1)
        end = segment(1, FIN | ACK, seq=52, ack=UPSTREAM_SEQ + 1)
        _forward(flows, end, Purpose.OWNED, now=0.1)
        flows.on_upstream_segment(
            segment(1, FIN | ACK, seq=UPSTREAM_SEQ + 1, ack=52), now=0.1
        )
        again = segment(1, seq=52, ack=UPSTREAM_SEQ + 2, length=50)
        _forward(flows, again, Purpose.OWNED, now=0.2)

        flows.on_upstream_segment(segment(1, flags, seq=UPSTREAM_SEQ + 2), now=0.2)

        assert flows.load.running == 0


def test_a_balancer_is_sent_the_flows_whose_packets_it_forwarded() -> None:
    """Balancers restart, and routers send each the flows that it had before.

    Each flow cost an owner lookup, hundreds within a second on links of a few Mbit/s.
    Agents send each balancer its own flows, including those from a snapshot.
    """
    other = ("10.0.0.8", 7000)
    flows = agent_flows()
    for port, sender in ((1, BALANCER), (2, other), (3, BALANCER), (4, BALANCER)):
        _opened(flows, port)
        acknowledged = segment(port, ack=UPSTREAM_SEQ + 1)
        _forward(flows, acknowledged, Purpose.OWNED, sender=sender)
        reply = segment(port, ACK, seq=UPSTREAM_SEQ + 1, length=5)
        flows.on_upstream_segment(reply, now=0.1)
    ended = segment(4, RESET, ack=UPSTREAM_SEQ + 6)
    _forward(flows, ended, Purpose.OWNED, now=0.2)

    assert flows.flows_via(BALANCER) == [flow_of(1), flow_of(3)]
    assert flows.flows_via(other) == [flow_of(2)]

    listed = flows.long_lived_flows(now=LONG_LIVED_AFTER_SECONDS + 0.1)
    after = agent_flows()
    bare = segment(2, ack=UPSTREAM_SEQ + 1)
    assert [flow.last_balancer for flow in listed] == [BALANCER, other, BALANCER]
    after.restore([RestoredFlow(bare, listed[1].last_balancer)], now=0.0)
    assert after.flows_via(other) == [flow_of(2)]


def test_an_evacuated_upstream_gets_no_opening_packet() -> None:
    """A balancer that has not received the evacuation yet sends an opening packet."""
    flows = agent_flows()
    flows.is_evacuated = True

    actions = _forward(flows, opening(1), Purpose.OPEN)

    assert _verdicts(actions) == [(Verdict.UNAVAILABLE, BALANCER)]
    assert len(actions) == 1


def test_a_retransmitted_opening_packet_is_refused_after_an_evacuation() -> None:
    """A flow must not open by retransmissions of its packet after the evacuation."""
    flows = agent_flows()
    _opened(flows, 1)
    flows.is_evacuated = True

    actions = _forward(flows, opening(1, retransmissions=1), Purpose.OPEN, now=0.2)

    assert _verdicts(actions) == [(Verdict.UNAVAILABLE, BALANCER)]


def test_a_port_of_an_ended_flow_opens_no_flow_after_an_evacuation() -> None:
    """Guards against a port that is reused before the agent forgets its flow."""
    flows = agent_flows()
    _opened(flows, 1)
    flows.on_upstream_segment(segment(1, seq=UPSTREAM_SEQ + 1, ack=2), now=0.1)
    _forward(flows, segment(1, RESET, ack=UPSTREAM_SEQ + 1), Purpose.OWNED, now=0.2)
    flows.is_evacuated = True

    actions = _forward(flows, opening(1), Purpose.OPEN, now=0.3)

    assert _verdicts(actions) == [(Verdict.UNAVAILABLE, BALANCER)]


def test_open_flows_of_an_evacuated_upstream_continue() -> None:
    """An evacuation applies to new flows only and must not reset open ones."""
    flows = agent_flows()
    _opened(flows, 1)
    flows.is_evacuated = True
    packet = segment(1, ack=UPSTREAM_SEQ + 1, seq=2, length=100)

    assert ToUpstream(packet.datagram) in _forward(flows, packet, Purpose.OWNED)
    assert flows.load == Load(flows=1, running=1)


def test_the_rate_of_a_cold_upstream_limits_all_balancers_together() -> None:
    """Several balancers find the same cold upstream idle."""
    upstream = ready_upstream()
    upstream.on_heartbeat(heartbeat(sequence=2, cold_seconds=2.0), now=0.0)
    flows = agent_flows(upstream)
    flows.warm_up.rate = 6.0
    admitted = 0
    for number in range(40):
        sender = (BALANCER, OTHER_BALANCER)[number % 2]
        packet = opening(number + 1)
        now = 0.02 * number
        actions = _forward(flows, packet, Purpose.OPEN, now=now, sender=sender)
        if ToUpstream(packet.datagram) in actions:
            admitted += 1
        else:
            assert _verdicts(actions) == [(Verdict.FULL, sender)]

    assert admitted == 6


def test_an_upstream_is_presumed_cold_after_an_evacuation() -> None:
    """An upstream may become cold after its last heartbeat before an evacuation."""
    upstream = ready_upstream()
    upstream.on_heartbeat(heartbeat(sequence=2), now=0.0)
    upstream.presume_cold(now=0.1)

    assert upstream.may_be_cold(now=0.2)
    upstream.on_heartbeat(heartbeat(sequence=3), now=0.3)
    assert not upstream.may_be_cold(now=0.3)


def test_an_agent_that_tracks_all_flows_denies_others_without_a_packet() -> None:
    """Lookups of flows lost in a power failure must not send a packet to each agent."""
    flows = agent_flows()
    flows.mark_all_known()

    actions = flows.on_owner_query(OwnerQuery(flow_of(9), 77), BALANCER, now=0.0)

    assert _verdicts(list(actions)) == [(Verdict.NOT_MINE, BALANCER)]
    assert flows.load.is_certain
