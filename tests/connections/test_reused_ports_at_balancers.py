"""Tests of a balancer whose callers open flows from used ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.segment import MAX_OPENING_SECONDS
from siskinshift.messages.core import MemberState
from tests.connections.builders import SERVICE_ADDRESS
from tests.connections.builders import agents
from tests.connections.builders import balancer_flows
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import member
from tests.connections.builders import opening
from tests.connections.builders import routes
from tests.connections.builders import segment


if TYPE_CHECKING:
    from siskinshift.connections.actions import Action
    from siskinshift.connections.balancer_flows import BalancerFlows
    from siskinshift.connections.fleet import Fleet


FIRST, SECOND = 0xFFFFFFFF, 0


def _fleet() -> Fleet:
    dossiers = [
        member(f"dossiers-{n}", host=f"10.0.2.{n}", service="dossiers") for n in (1, 2)
    ]
    return fleet_of(*agents(2), *dossiers)


def _agent_of(actions: list[Action], fleet: Fleet) -> str:
    (action,) = actions
    assert isinstance(action, ToPeer)
    return fleet.peers_by_address[action.address].member.member_id


def _open_through(flows: BalancerFlows, fleet: Fleet, seq: int, *, now: float) -> str:
    """Opens a flow at the agent that the balancer chooses; returns its id."""
    agent = _agent_of(flows.on_segment(opening(1, seq=seq), now=now), fleet)
    accepted = FlowVerdict(Verdict.ACCEPTED, flow_of(1), Load())
    flows.on_verdict(fleet.peers_by_id[agent], accepted, now=now)
    flows.on_segment(segment(1, ack=9), now=now)
    return agent


@pytest.mark.parametrize("seconds", [2.0, 61.0, 110.0])
def test_a_used_port_is_routed_by_the_newest_configuration(seconds: float) -> None:
    """Guards against a flow that goes to the service of the port's earlier flow."""
    fleet = _fleet()
    flows = balancer_flows(fleet)
    _open_through(flows, fleet, FIRST, now=0.0)
    flows.configure(routes(version=2, addresses={SERVICE_ADDRESS: "dossiers"}))
    flows.tick(now=seconds)

    agent = _agent_of(flows.on_segment(opening(1, seq=SECOND), now=seconds), fleet)

    assert agent.startswith("dossiers")


def test_a_used_port_opens_no_flow_at_a_leaving_agent() -> None:
    """Guards against an opening packet that follows the port's earlier flow."""
    fleet = _fleet()
    flows = balancer_flows(fleet)
    earlier = _open_through(flows, fleet, FIRST, now=0.0)
    record = attrs.evolve(
        fleet.peers_by_id[earlier].member, state=MemberState.DRAINING, version=2
    )
    fleet.handle_status(Status(record, Load()), now=20.0)

    agent = _agent_of(flows.on_segment(opening(1, seq=SECOND), now=20.0), fleet)

    assert agent != earlier


def test_a_retransmission_goes_to_the_agent_that_accepted_the_flow() -> None:
    """Guards against a second upstream that opens a flow for each retransmission."""
    fleet = _fleet()
    flows = balancer_flows(fleet)
    accepted = _open_through(flows, fleet, FIRST, now=0.0)

    repeat = opening(1, seq=FIRST, retransmissions=1)

    assert _agent_of(flows.on_segment(repeat, now=0.2), fleet) == accepted


def test_a_number_that_a_caller_uses_again_later_is_no_retransmission() -> None:
    """Guards against callers with constant initial numbers."""
    fleet = _fleet()
    flows = balancer_flows(fleet)
    _open_through(flows, fleet, FIRST, now=0.0)
    flows.configure(routes(version=2, addresses={SERVICE_ADDRESS: "dossiers"}))
    now = MAX_OPENING_SECONDS + 60.0

    agent = _agent_of(flows.on_segment(opening(1, seq=FIRST), now=now), fleet)

    assert agent.startswith("dossiers")


def test_a_late_copy_does_not_displace_the_later_flow_at_a_balancer() -> None:
    """Guards against a delayed opening packet that opens a flow elsewhere."""
    fleet = _fleet()
    flows = balancer_flows(fleet)
    _open_through(flows, fleet, FIRST, now=0.0)
    owner = _open_through(flows, fleet, SECOND, now=2.0)

    late = opening(1, seq=FIRST, retransmissions=2)

    assert flows.on_segment(late, now=2.2) == []
    assert _agent_of(flows.on_segment(segment(1, ack=9), now=2.3), fleet) == owner


def test_a_lookup_of_the_earlier_flow_does_not_reset_the_later_one() -> None:
    """Guards against a verdict about the port's earlier flow."""
    fleet = _fleet()
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)
    _open_through(flows, fleet, SECOND, now=0.1)

    actions: list[Action] = []
    for agent in fleet.agents():
        verdict = FlowVerdict(Verdict.NOT_MINE, flow_of(1), Load())
        actions += flows.on_verdict(agent, verdict, now=0.2)
    for tenth in range(2, 40):
        actions += flows.tick(now=tenth / 10)

    assert not any(isinstance(action, ResetCaller) for action in actions)


def test_a_held_opening_packet_is_offered_once() -> None:
    """Guards against a held record that the port's next opening packet replaced."""
    fleet = fleet_of()
    flows = balancer_flows(fleet)
    assert flows.on_segment(opening(1, seq=FIRST), now=0.0) == []
    assert flows.on_segment(opening(1, seq=SECOND), now=0.05) == []
    fleet.handle_status(Status(agents(1)[0], Load()), now=0.1)

    (action,) = flows.retry_held(now=0.1)

    assert isinstance(action, ToPeer)
    assert opening(1, seq=SECOND).datagram in action.datagram
