"""Builders of segments, members, fleets and logs for the tests of connections."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from siskinshift.connections.agent_flows import AgentFlows
from siskinshift.connections.balancer_flows import BalancerFlows
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.fleet import DELAY_ALLOWANCE_SECONDS
from siskinshift.connections.fleet import MIN_HEARTBEAT_INTERVAL_SECONDS
from siskinshift.connections.fleet import UNRESPONSIVE_AFTER_INTERVALS
from siskinshift.connections.fleet import Fleet
from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.placement import AgentPlacement
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import ConnectionRoute
from siskinshift.connections.routes import RouteTable
from siskinshift.connections.routes import Target
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import pack_service_address
from siskinshift.connections.upstream_state import Heartbeat
from siskinshift.connections.upstream_state import UpstreamState
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.observability.event_log import EventLog


if TYPE_CHECKING:
    from collections.abc import Mapping


SERVICE_HOST = "198.18.0.1"
SERVICE_PORT = 443
SERVICE_ADDRESS = pack_service_address(SERVICE_HOST, SERVICE_PORT)
HEARTBEAT_SECONDS = 0.77
BALANCER = ("10.0.0.1", 7000)
OTHER_BALANCER = ("10.0.0.2", 7000)
# Timeout of a peer that sends heartbeats at the shortest interval.
UNRESPONSIVE_AFTER_SECONDS = (
    UNRESPONSIVE_AFTER_INTERVALS * MIN_HEARTBEAT_INTERVAL_SECONDS
    + DELAY_ALLOWANCE_SECONDS
)


def quiet_log() -> EventLog:
    """Returns a log whose lines are never written."""
    return EventLog(process="test", clock=lambda: 0.0)


def flow_of(port: int) -> bytes:
    """Returns the flow of a caller's port."""
    return (
        port.to_bytes(2, "big")
        + SERVICE_ADDRESS[:4]
        + bytes((100, 64, 0, 7))
        + SERVICE_ADDRESS[4:]
    )


def segment(
    port: int, flags: int = ACK, *, seq: int = 0, ack: int = 0, length: int = 0
) -> Segment:
    """Returns a packet whose bytes contain its fields."""
    text = f"{port}/{flags}/{seq}/{ack}/{length}"
    return Segment(flow_of(port), flags, seq, ack, length, text.encode())


def opening(port: int, *, seq: int = 1, retransmissions: int = 0) -> Segment:
    """Returns a caller's opening packet."""
    return segment(port, SYN, seq=seq, ack=retransmissions)


def member(
    member_id: str,
    *,
    role: Role = Role.AGENT,
    host: str = "10.0.0.9",
    service: str = "editor",
    state: MemberState = MemberState.READY,
    domain: str = "a",
    incarnation: int = 1,
    version: int = 1,
    slots: int = 1,
    weight: int = 1000,
) -> Member:
    """Returns a member's record."""
    endpoint = Endpoint(host, 7000)
    return Member(
        member_id=member_id,
        role=role,
        incarnation=incarnation,
        version=version,
        state=state,
        region="r",
        failure_domain=domain,
        control=endpoint,
        data=endpoint,
        upstream_class=service if role is Role.AGENT else "",
        weight=weight,
        slots=slots,
    )


def fleet_of(*members: Member, now: float = 0.0, is_complete: bool = True) -> Fleet:
    """Returns a balancer's fleet that has just received a status of each member."""
    fleet = Fleet(member("balancer-1", role=Role.BALANCER, host=BALANCER[0]), now=now)
    if is_complete:
        fleet.apply_registrations([], now=now)
    for known in members:
        fleet.handle_status(Status(known, Load()), now=now)
    return fleet


def agents(count: int, *, service: str = "editor") -> list[Member]:
    """Returns ready agents of one service."""
    return [
        member(f"{service}-{i}", host=f"10.0.1.{i}", service=service)
        for i in range(1, count + 1)
    ]


def routes(
    *, version: int = 1, addresses: Mapping[bytes, str] | None = None
) -> RouteTable:
    """Returns a configuration with one service for each address."""
    services = addresses if addresses is not None else {SERVICE_ADDRESS: "editor"}
    return RouteTable(
        version=version,
        routes_by_address={
            address: ConnectionRoute(
                name=f"route-{service}",
                address=address,
                targets=(Target(service, 1),),
                request_parameters=RequestParameters(
                    objective=0.1, deadline=0.5, urgency=1
                ),
                is_single_request=False,
            )
            for address, service in services.items()
        },
    )


def agent_placement(
    *,
    domain: str = "a",
    seed: int = 1,
    evacuations: EvacuationRegister | None = None,
) -> AgentPlacement:
    """Returns a balancer's choice of agents, by default without evacuated domains."""
    return AgentPlacement(
        failure_domain=domain,
        evacuations=evacuations or EvacuationRegister(),
        random=Random(seed),
    )


def balancer_flows(
    fleet: Fleet,
    *,
    table: RouteTable | None = None,
    link_bytes_per_second: float = 125e6,
    configured: bool = True,
    evacuations: EvacuationRegister | None = None,
) -> BalancerFlows:
    """Returns a balancer's flows, by default with a configuration in force."""
    placement = agent_placement(evacuations=evacuations)
    flows = BalancerFlows(
        fleet=fleet,
        placement=placement,
        failure_domain="a",
        link_bytes_per_second=link_bytes_per_second,
        log=quiet_log(),
    )
    if configured:
        flows.configure(table or routes())
    return flows


def ready_upstream(*, upstream_id: str = "u-1", now: float = 0.0) -> UpstreamState:
    """Returns an upstream that has sent its first heartbeat."""
    upstream = UpstreamState(service_id="editor", heartbeat_interval=HEARTBEAT_SECONDS)
    upstream.on_heartbeat(heartbeat(upstream_id), now=now)
    return upstream


def heartbeat(
    upstream_id: str = "u-1",
    *,
    sequence: int = 1,
    is_leaving: bool = False,
    cold_seconds: float = 0.0,
    started_ms: int | None = None,
    service: str = "editor",
) -> Heartbeat:
    """Returns a heartbeat of the editor's upstream."""
    incarnation = Incarnation(upstream_id, started_ms)
    return Heartbeat(incarnation, service, sequence, 1, is_leaving, cold_seconds)


def agent_flows(upstream: UpstreamState | None = None) -> AgentFlows:
    """Returns the flows of an agent with a ready upstream."""
    return AgentFlows(upstream=upstream or ready_upstream(), log=quiet_log())
