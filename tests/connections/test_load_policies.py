"""Tests of which load policies a deployment gets, and of how agents learn of them."""

from __future__ import annotations

from types import MappingProxyType

import attrs
import pytest

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.agent_flows import AgentFlows
from siskinshift.connections.load_policies import NO_POLICIES
from siskinshift.connections.load_policies import LoadPolicies
from siskinshift.connections.load_policies import resolve_policies
from siskinshift.connections.load_policies import routes_with_kinds
from siskinshift.connections.node_settings import PolicySettings
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_codec import encode_forward
from siskinshift.connections.peer_codec import encode_peer_heartbeat
from siskinshift.connections.peer_codec import encode_service_policy
from siskinshift.connections.peer_codec import encode_verdict
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.policy_dissemination import PolicyDissemination
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import ConnectionRoute
from siskinshift.connections.routes import RouteTable
from siskinshift.connections.routes import Target
from siskinshift.connections.upstream_state import UpstreamState
from tests.connections.builders import SERVICE_ADDRESS
from tests.connections.builders import agents
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import opening
from tests.connections.builders import quiet_log


REPORT = LoadReport(0.0131, 0.0012, 0.25, 1.0, 3, 0.0, 200)


def _routes(kind: RequestKind = RequestKind.IDEMPOTENT) -> RouteTable:
    route = ConnectionRoute(
        name="r",
        address=SERVICE_ADDRESS,
        targets=(Target("editor", 1),),
        request_parameters=RequestParameters(0.1, 0.5, 2),
        is_single_request=False,
        kind=kind,
    )
    return RouteTable(
        version=1,
        routes_by_address=MappingProxyType({route.address: route}),
        max_connections_by_service=MappingProxyType({"editor": 2000}),
    )


def test_a_deployment_without_uploads_or_pressure_has_no_policy() -> None:
    """Guards against new behaviour in a deployment that does not call for it."""
    routes = _routes()
    policies = resolve_policies(PolicySettings(), routes)

    assert policies == NO_POLICIES
    assert routes_with_kinds(routes, policies) is routes
    dissemination = PolicyDissemination()
    dissemination.configure(policies, routes)
    assert dissemination.to_all(fleet_of(*agents(3)).agents()) == []


def test_uploads_and_overload_control_call_for_policies() -> None:
    uploads = resolve_policies(PolicySettings(), _routes(RequestKind.UPLOAD))
    overload = resolve_policies(PolicySettings(overload_control=True), _routes())

    assert uploads == LoadPolicies(True, False, True, False)
    assert overload == LoadPolicies(False, True, True, True)


def test_each_incarnation_of_an_agent_is_sent_the_policies() -> None:
    """Guards against an agent that restarts and applies no policy from then on."""
    fleet = fleet_of(*agents(1))
    dissemination = PolicyDissemination()
    policies = LoadPolicies(admission=True, outlier_detection=True)
    dissemination.configure(policies, _routes())

    (sent,) = dissemination.to_uninformed(fleet.agents())
    assert decode_peer_message(sent.datagram) == ServicePolicy(
        max_connections=2000, uses_admission=True, wants_reports=True
    )
    assert dissemination.to_uninformed(fleet.agents()) == []
    assert len(dissemination.to_all(fleet.agents())) == 1
    (agent,) = fleet.agents()
    agent.member = attrs.evolve(agent.member, incarnation=2)
    assert len(dissemination.to_uninformed(fleet.agents())) == 1


def test_agents_are_told_when_the_policies_end() -> None:
    """Guards against agents that keep a policy that the configuration has dropped."""
    fleet = fleet_of(*agents(2))
    dissemination = PolicyDissemination()
    dissemination.configure(LoadPolicies(admission=True), _routes())
    dissemination.to_uninformed(fleet.agents())
    dissemination.configure(NO_POLICIES, _routes())

    ended = dissemination.to_uninformed(fleet.agents())

    assert len(ended) == 2
    message = decode_peer_message(ended[0].datagram)
    assert isinstance(message, ServicePolicy)
    assert not message.uses_admission


@pytest.mark.parametrize("kind", RequestKind)
def test_kinds_of_requests_round_trip(kind: RequestKind) -> None:
    parameters = RequestParameters(0.1, 0.5, 2, kind)
    encoded = encode_forward(Purpose.OPEN, 7, b"packet", parameters)

    assert decode_peer_message(encoded) == Forward(
        Purpose.OPEN, 7, b"packet", parameters
    )


def test_reports_and_policies_round_trip() -> None:
    load = Load(5, 2, is_certain=True, report=REPORT)
    verdict = FlowVerdict(Verdict.FULL, flow_of(9), load, b"returned")
    heartbeat = PeerHeartbeat(1 << 41, 7, load, 12, 3.9)
    policy = ServicePolicy(2000, uses_admission=True, receives_without_slot=True)

    assert decode_peer_message(encode_verdict(verdict)) == verdict
    assert decode_peer_message(encode_peer_heartbeat(heartbeat)) == heartbeat
    assert decode_peer_message(encode_service_policy(policy)) == policy


def test_only_balancers_that_request_reports_receive_them() -> None:
    """Guards against messages that a balancer of the previous version cannot read."""
    requesting, other = ("10.0.0.1", 7000), ("10.0.0.2", 7000)
    upstream = UpstreamState(service_id="editor", heartbeat_interval=0.77)
    flows = AgentFlows(upstream=upstream, log=quiet_log())
    flows.report_recipients.add(requesting)
    forward = Forward(Purpose.OPEN, 1, b"")

    loads = []
    for sender in (requesting, other):
        (action,) = flows.on_forward(forward, opening(1), sender, now=0.0)
        assert isinstance(action, ToPeer)
        message = decode_peer_message(action.datagram)
        assert isinstance(message, FlowVerdict)
        loads.append(message.load.report)

    assert loads == [LoadReport(), None]
