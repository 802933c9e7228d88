"""Tests of new flows at an agent and a balancer while load policies are in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.balancer_flows import MAX_FULL_REFUSALS
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from tests.connections.builders import BALANCER
from tests.connections.builders import agent_flows
from tests.connections.builders import balancer_flows
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import heartbeat
from tests.connections.builders import member
from tests.connections.builders import opening
from tests.connections.builders import ready_upstream
from tests.connections.builders import segment
from tests.connections.scheduling.load import PURCHASE
from tests.connections.scheduling.load import STATUS


if TYPE_CHECKING:
    from siskinshift.connections.agent_flows import AgentFlows


UPLOAD = RequestParameters(0.945, 9.5, 2, RequestKind.UPLOAD)
UPSTREAM_SEQ = 5_000_000


def _forward(
    flows: AgentFlows,
    packet: Segment,
    parameters: RequestParameters,
    purpose: Purpose = Purpose.OWNED,
    *,
    now: float = 0.0,
) -> list[object]:
    forward = Forward(purpose, service_tag("editor"), packet.datagram, parameters)
    return list(flows.on_forward(forward, packet, BALANCER, now=now))


def _open(
    flows: AgentFlows, port: int, parameters: RequestParameters, *, now: float = 0.0
) -> list[object]:
    actions = _forward(flows, opening(port), parameters, Purpose.OPEN, now=now)
    if actions == [ToUpstream(opening(port).datagram)]:
        reply = segment(port, SYN | ACK, seq=UPSTREAM_SEQ, ack=2)
        flows.on_upstream_segment(reply, now=now)
    return actions


def _data(port: int, seq: int = 2, length: int = 900) -> Segment:
    return segment(port, ACK, seq=seq, ack=UPSTREAM_SEQ + 1, length=length)


def _verdict(actions: list[object]) -> Verdict:
    (action,) = actions
    assert isinstance(action, ToPeer)
    message = decode_peer_message(action.datagram)
    assert isinstance(message, FlowVerdict)
    return message.verdict


def test_max_connections_is_enforced_without_admission() -> None:
    """Guards against an upstream that has to return openings."""
    flows = agent_flows()
    flows.policy = ServicePolicy(max_connections=2)
    _open(flows, 1, STATUS)
    _open(flows, 2, STATUS)

    assert _verdict(_open(flows, 3, STATUS)) is Verdict.FULL
    assert _open(flows, 2, STATUS) == [ToUpstream(opening(2).datagram)]
    _forward(flows, segment(1, RESET, ack=UPSTREAM_SEQ + 1), STATUS)
    assert _open(flows, 3, STATUS) == [ToUpstream(opening(3).datagram)]


def test_openings_that_no_caller_confirmed_do_not_count_for_long() -> None:
    """Guards against refusals because of hedged openings that another agent won.

    A confirmed flow counts, also while its request waits for a slot.
    """
    flows = agent_flows()
    flows.policy = ServicePolicy(max_connections=2)
    _open(flows, 1, STATUS)
    _open(flows, 2, STATUS)
    _forward(flows, _data(2), STATUS)

    assert _verdict(_open(flows, 3, STATUS, now=1.3)) is Verdict.FULL
    assert _open(flows, 3, STATUS, now=1.5) == [ToUpstream(opening(3).datagram)]
    assert _verdict(_open(flows, 4, STATUS, now=1.5)) is Verdict.FULL


def test_an_opening_refused_for_load_uses_no_warm_up_rate() -> None:
    """Guards against a cold upstream that idles because refused openings counted.

    An opening beyond the warm-up rate must not count as an expected request, either.
    """
    upstream = ready_upstream()
    upstream.on_heartbeat(heartbeat(sequence=2, cold_seconds=2.0), now=0.0)
    flows = agent_flows(upstream)
    flows.policy = ServicePolicy(uses_admission=True, max_connections=1)
    flows.warm_up.rate = 2.0
    _open(flows, 1, STATUS)
    for port in (2, 3):
        assert _verdict(_open(flows, port, STATUS)) is Verdict.FULL
    _forward(flows, segment(1, RESET, ack=UPSTREAM_SEQ + 1), STATUS)

    assert _open(flows, 4, STATUS) == [ToUpstream(opening(4).datagram)]
    _forward(flows, segment(4, RESET, ack=UPSTREAM_SEQ + 1), STATUS)
    assert _verdict(_open(flows, 5, PURCHASE)) is Verdict.FULL
    assert not flows._requests._admission._expected_by_flow


def test_a_refused_purchase_has_not_reached_the_upstream() -> None:
    """Guards against a request that is reported as not run and has run."""
    flows = agent_flows()
    flows.policy = ServicePolicy(uses_admission=True)
    _open(flows, 1, STATUS)
    _forward(flows, _data(1), STATUS)
    flows.on_upstream_segment(
        segment(1, ACK, seq=UPSTREAM_SEQ + 1, length=100), now=0.5
    )

    actions = [_open(flows, port, PURCHASE, now=0.5) for port in range(2, 12)]

    refused = [a for a in actions if isinstance(a[0], ToPeer)]
    assert refused
    assert {_verdict(a) for a in refused} == {Verdict.FULL}
    assert not any(isinstance(a, ToUpstream) for each in refused for a in each)


@pytest.mark.parametrize("ending", [FIN, RESET])
def test_a_transfer_that_its_caller_ends_leaves_nothing(ending: int) -> None:
    """Guards against a held last packet that runs after its caller has gone."""
    flows = agent_flows()
    flows.policy = ServicePolicy(uses_admission=True, receives_without_slot=True)
    _open(flows, 1, UPLOAD)
    _forward(flows, _data(1, 1202, 300), UPLOAD)
    _forward(flows, segment(1, ending, ack=UPSTREAM_SEQ + 1), UPLOAD)
    flows.on_upstream_segment(segment(1, FIN | ACK, seq=UPSTREAM_SEQ + 1), now=0.1)

    assert flows.load.running == 0
    assert flows.tick(now=0.2) == []


def test_a_transfer_of_an_earlier_process_passes_as_before() -> None:
    """Guards against holding packets of a transfer whose start was not observed."""
    flows = agent_flows()
    flows.policy = ServicePolicy(receives_without_slot=True)
    flows.on_upstream_segment(segment(1, ACK, seq=UPSTREAM_SEQ, ack=1202), now=0.0)

    actions = _forward(flows, _data(1, 1202, 300), UPLOAD)

    assert actions == [ToUpstream(_data(1, 1202, 300).datagram)]


def test_requests_of_an_upstream_that_has_ended_are_not_sent_to_the_next() -> None:
    """Guards against requests that run at an upstream that holds no flow of them."""
    flows = agent_flows()
    flows.policy = ServicePolicy(uses_admission=True, receives_without_slot=True)
    for port in range(1, 6):
        _open(flows, port, STATUS)
        _forward(flows, _data(port), STATUS)
    _open(flows, 6, UPLOAD)
    _forward(flows, _data(6, length=300), UPLOAD)

    resets = flows.on_upstream_gone(now=0.1)

    assert len([a for a in resets if isinstance(a, ResetCaller)]) == 6
    assert flows.load.running == 0
    assert flows.tick(now=0.2) == []


@pytest.mark.parametrize(
    ("refuses_when_full", "weight", "is_reset"),
    [(False, 1000, False), (True, 1000, True), (True, 300, False)],
)
def test_an_opening_that_all_agents_refuse_is_reset_at_once(
    refuses_when_full: bool, weight: int, is_reset: bool
) -> None:
    """Guards against holding a caller for 250 ms that nobody can serve in time.

    Cold agents accept it a moment later, so resets would only use up its retries.
    """
    members = [
        member(f"editor-{i}", host=f"10.0.1.{i}", weight=weight) for i in range(1, 21)
    ]
    fleet = fleet_of(*members)
    flows = balancer_flows(fleet)
    flows.refuses_when_full = refuses_when_full
    actions = flows.on_segment(opening(1), now=0.0)
    offers = 0
    while actions and isinstance(actions[-1], ToPeer):
        address = actions[-1].address
        agent = next(a for a in fleet.agents_of("editor") if a.address == address)
        verdict = FlowVerdict(Verdict.FULL, flow_of(1), Load())
        actions = flows.on_verdict(agent, verdict, now=0.004)
        offers += 1

    assert actions == ([ResetCaller(flow_of(1), 0)] if is_reset else [])
    assert offers == (MAX_FULL_REFUSALS if is_reset else len(members))


@pytest.mark.parametrize("retransmissions", [0, 1])
def test_a_retransmitted_opening_that_all_agents_refuse_is_held(
    retransmissions: int,
) -> None:
    """Guards against a reset of a flow that another balancer's agent has accepted.

    The earlier packet may have passed another balancer.
    """
    fleet = fleet_of(member("editor-1", host="10.0.1.1"))
    flows = balancer_flows(fleet)
    flows.refuses_when_full = True
    packet = opening(1, retransmissions=retransmissions)
    flows.on_segment(packet, now=0.0)
    (agent,) = fleet.agents_of("editor")

    verdict = FlowVerdict(Verdict.FULL, flow_of(1), Load())
    actions = flows.on_verdict(agent, verdict, now=0.004)

    assert actions == ([] if retransmissions else [ResetCaller(flow_of(1), 0)])


@pytest.mark.parametrize("is_complete", [False, True])
def test_an_opening_is_reset_only_if_all_agents_are_known(is_complete: bool) -> None:
    """Guards against resets by a balancer that knows one of several agents."""
    fleet = fleet_of(member("editor-1", host="10.0.1.1"), is_complete=is_complete)
    flows = balancer_flows(fleet)
    flows.refuses_when_full = True
    flows.on_segment(opening(1), now=0.0)
    (agent,) = fleet.agents_of("editor")

    verdict = FlowVerdict(Verdict.FULL, flow_of(1), Load())
    actions = flows.on_verdict(agent, verdict, now=0.004)

    assert actions == ([ResetCaller(flow_of(1), 0)] if is_complete else [])
