"""Broken flows when one agent leaves, beside two ways without hand-over."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.bench.flow_network import Flow
from siskinshift.bench.flow_network import FlowNetwork
from siskinshift.bench.flow_network import make_agent
from siskinshift.bench.flow_network import make_service
from siskinshift.messages.core import Endpoint
from siskinshift.routing.buckets import bucket_of
from siskinshift.routing.buckets import build_bucket_table


if TYPE_CHECKING:
    from siskinshift.messages.core import Member
    from siskinshift.settings.generated import FlowsSettings


SEED = 20
BALANCERS = 4
SERVICE = "editor"
SETTLE_SECONDS = 30.0


@frozen
class BreakRow:
    """What one leaving agent costs.

    Attributes:
        way: How flows are kept.
        event: Planned or death.
        agents: Agents before.
        flows: Flows open before.
        owned: Flows of the agent that left.
        broken: Flows broken though their owner lives.
        lost: Flows broken because their owner died.
        messages: Hand-over messages sent.
        kilobytes: Their JSON, thousands of bytes.
        most_kilobytes: Of the agent that sent most.
    """

    way: str
    event: str
    agents: int
    flows: int
    owned: int
    broken: int
    lost: int
    messages: int
    kilobytes: float
    most_kilobytes: float


def break_rows(
    settings: FlowsSettings, *, agents: int, flows_each: int
) -> list[BreakRow]:
    """Lets one agent leave, planned and by death, in three ways.

    Args:
        settings: Settings of the agents.
        agents: Agents of the service.
        flows_each: Flows for each agent on average.

    Returns:
        The rows.
    """
    rows = []
    for event in ("planned", "death"):
        rows.append(_with_hand_over(settings, event, agents, flows_each))
        for way in ("modulo hashing", "rendezvous without notes"):
            rows.append(_without_hand_over(way, event, agents, flows_each))
    return rows


def _network(settings: FlowsSettings, agents: int, flows: int) -> FlowNetwork:
    network = FlowNetwork(
        settings=attrs.evolve(settings, held_limit=100_000),
        agents_by_class={SERVICE: agents},
        balancers=BALANCERS,
        random=random.Random(SEED),
        count_bytes=True,
        with_full_views=True,
    )
    for _ in range(flows):
        network.open_flow(SERVICE)
        network.deliver_all()
    return network


def _with_hand_over(
    settings: FlowsSettings, event: str, agents: int, flows_each: int
) -> BreakRow:
    network = _network(settings, agents, agents * flows_each)
    leaving = network.agents()[agents // 2]
    owned = len(network.owned_flows(leaving))
    messages, size = network.notes_sent, network.notes_bytes
    before = dict(network.notes_bytes_by_sender)
    if event == "planned":
        for weight in (500, 125):
            network.change_weight(leaving, weight)
            _traffic_while_views_spread(network)
        network.drain(leaving)
    else:
        network.crash(leaving)
    _traffic_while_views_spread(network)
    network.converge(SETTLE_SECONDS)
    _send_to_all(network)
    broken = len(network.planned_breaks)
    most = max(
        sent - before.get(sender, 0)
        for sender, sent in network.notes_bytes_by_sender.items()
    )
    return BreakRow(
        way="hand-over notes",
        event=event,
        agents=agents,
        flows=agents * flows_each,
        owned=owned,
        broken=broken,
        lost=network.unplanned_breaks,
        messages=network.notes_sent - messages,
        kilobytes=(network.notes_bytes - size) / 1e3,
        most_kilobytes=most / 1e3,
    )


def _traffic_while_views_spread(network: FlowNetwork) -> None:
    """Sends of random flows between single news and messages, in random order."""
    draw = network.random
    for _ in range(400):
        network.deliver_update(draw.randrange(1 << 16))
        network.send(draw.choice(network.flows))
        for _ in range(3):
            network.deliver(draw.randrange(1 << 16))
    network.advance(0.75)


def _send_to_all(network: FlowNetwork) -> None:
    for flow in network.flows:
        network.send(flow)
        network.deliver_all()


def _without_hand_over(way: str, event: str, agents: int, flows_each: int) -> BreakRow:
    """Each agent takes what arrives; a flow breaks where another agent gets it."""
    network_flows = _flows(agents * flows_each)
    members = _members(agents)
    leaving = members[agents // 2]
    remaining = [m for m in members if m is not leaving]
    before = _owners(way, network_flows, members)
    after = _owners(way, network_flows, remaining)
    moved = [d for d in network_flows if before[d] != after[d]]
    owned = [d for d in network_flows if before[d] == leaving.member_id]
    lost = len(owned) if event == "death" else 0
    return BreakRow(
        way=way,
        event=event,
        agents=agents,
        flows=len(network_flows),
        owned=len(owned),
        broken=len(moved) - lost,
        lost=lost,
        messages=0,
        kilobytes=0.0,
        most_kilobytes=0.0,
    )


def _members(agents: int) -> list[Member]:
    names = sorted(f"{SERVICE}-{number + 1}" for number in range(agents))
    return [make_agent(n, upstream_class=SERVICE, incarnation=1) for n in names]


def _flows(count: int) -> list[int]:
    service = make_service(SERVICE, 0)
    callers = [Endpoint("127.0.2.1", 1024 + number) for number in range(count)]
    return [Flow(caller, service).digest for caller in callers]


def _owners(way: str, flows: list[int], members: list[Member]) -> dict[int, str]:
    if way == "modulo hashing":
        return {d: members[d % len(members)].member_id for d in flows}
    table = build_bucket_table(members)
    primaries = {d: table.primary_of(bucket_of(d)) for d in flows}
    return {d: primary.member_id for d, primary in primaries.items() if primary}
