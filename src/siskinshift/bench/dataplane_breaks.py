"""Counts broken flows when one agent leaves, with and without a handover."""

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
CONVERGE_SECONDS = 30.0


@frozen
class BreakRow:
    """Cost of one agent that leaves.

    Attributes:
        way: Strategy that routes packets to the owner of a flow.
        event: "planned" or "death".
        agents: Number of agents before the event.
        flows: Number of open flows before the event.
        owned: Flows of the agent that left.
        broken: Flows that broke although their owner was live.
        lost: Flows that broke because their owner failed.
        messages: Handover messages sent.
        kilobytes: Size of their JSON, in thousands of bytes.
        most_kilobytes: Largest size sent by a single agent.
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
    settings: FlowsSettings, *, agents: int, flows_per_agent: int
) -> list[BreakRow]:
    """Measures a planned leave and a failure of one agent with three strategies.

    Args:
        settings: Settings of the agents.
        agents: Agents of the service.
        flows_per_agent: Mean number of flows for each agent.

    Returns:
        The rows.
    """
    rows = []
    for event in ("planned", "death"):
        rows.append(_with_handover(settings, event, agents, flows_per_agent))
        for strategy in ("modulo hashing", "rendezvous without notes"):
            rows.append(_without_handover(strategy, event, agents, flows_per_agent))
    return rows


def _make_network(settings: FlowsSettings, agents: int, flows: int) -> FlowNetwork:
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


def _with_handover(
    settings: FlowsSettings, event: str, agents: int, flows_per_agent: int
) -> BreakRow:
    network = _make_network(settings, agents, agents * flows_per_agent)
    leaving = network.agents()[agents // 2]
    owned = len(network.owned_flows(leaving))
    messages_before, bytes_before = network.notes_sent, network.notes_bytes
    bytes_by_sender_before = dict(network.notes_bytes_by_sender)
    if event == "planned":
        for weight in (500, 125):
            network.change_weight(leaving, weight)
            _send_during_view_changes(network)
        network.drain(leaving)
    else:
        network.crash(leaving)
    _send_during_view_changes(network)
    network.converge(CONVERGE_SECONDS)
    _send_on_all_flows(network)
    broken = len(network.planned_breaks)
    max_bytes = max(
        sent - bytes_by_sender_before.get(sender, 0)
        for sender, sent in network.notes_bytes_by_sender.items()
    )
    return BreakRow(
        way="hand-over notes",
        event=event,
        agents=agents,
        flows=agents * flows_per_agent,
        owned=owned,
        broken=broken,
        lost=network.unplanned_breaks,
        messages=network.notes_sent - messages_before,
        kilobytes=(network.notes_bytes - bytes_before) / 1e3,
        most_kilobytes=max_bytes / 1e3,
    )


def _send_during_view_changes(network: FlowNetwork) -> None:
    """Interleaves packets of random flows with view updates and messages."""
    rng = network.random
    for _ in range(400):
        network.deliver_update(rng.randrange(1 << 16))
        network.send(rng.choice(network.flows))
        for _ in range(3):
            network.deliver(rng.randrange(1 << 16))
    network.advance(0.75)


def _send_on_all_flows(network: FlowNetwork) -> None:
    for flow in network.flows:
        network.send(flow)
        network.deliver_all()


def _without_handover(
    strategy: str, event: str, agents: int, flows_per_agent: int
) -> BreakRow:
    """Counts a flow as broken if its packets reach another agent than before."""
    digests = _flow_digests(agents * flows_per_agent)
    members = _make_members(agents)
    leaving = members[agents // 2]
    remaining = [m for m in members if m is not leaving]
    owners_before = _owners(strategy, digests, members)
    owners_after = _owners(strategy, digests, remaining)
    moved = [d for d in digests if owners_before[d] != owners_after[d]]
    owned = [d for d in digests if owners_before[d] == leaving.member_id]
    lost = len(owned) if event == "death" else 0
    return BreakRow(
        way=strategy,
        event=event,
        agents=agents,
        flows=len(digests),
        owned=len(owned),
        broken=len(moved) - lost,
        lost=lost,
        messages=0,
        kilobytes=0.0,
        most_kilobytes=0.0,
    )


def _make_members(agents: int) -> list[Member]:
    names = sorted(f"{SERVICE}-{number + 1}" for number in range(agents))
    return [make_agent(n, upstream_class=SERVICE, incarnation=1) for n in names]


def _flow_digests(count: int) -> list[int]:
    service = make_service(SERVICE, 0)
    callers = [Endpoint("127.0.2.1", 1024 + number) for number in range(count)]
    return [Flow(caller, service).digest for caller in callers]


def _owners(strategy: str, digests: list[int], members: list[Member]) -> dict[int, str]:
    if strategy == "modulo hashing":
        return {d: members[d % len(members)].member_id for d in digests}
    table = build_bucket_table(members)
    primaries = {d: table.primary_of(bucket_of(d)) for d in digests}
    return {d: primary.member_id for d, primary in primaries.items() if primary}
