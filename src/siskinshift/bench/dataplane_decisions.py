"""Measures cost and memory of balancer and agent decisions, without sockets."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections import Counter
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.bench.flow_network import make_agent
from siskinshift.bench.flow_network import make_balancer
from siskinshift.bench.flow_network import make_service
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.core.views import make_view
from siskinshift.flows.router import FlowRouter
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Service
from siskinshift.routing.buckets import build_bucket_table
from siskinshift.routing.chooser import AgentChooser
from siskinshift.wire.codec import EnvelopeCodec


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.core.keyring import KeyRing
    from siskinshift.core.views import View
    from siskinshift.messages.core import Member
    from siskinshift.settings.generated import FlowsSettings


AGENTS_PER_SERVICE = 5
CALLERS_PER_HOST = 50_000
ROUNDS = 20_000
PAYLOAD = bytes(200)


@frozen
class CostRow:
    """Cost of one decision.

    Attributes:
        what: Name of the decision.
        size: Number of members or flows, or size of a payload in bytes.
        microseconds: Processor time of one decision.
    """

    what: str
    size: int
    microseconds: float


@frozen
class MemoryRow:
    """Memory of one data structure.

    Attributes:
        what: Name of the data structure.
        size: Number of members or flows in it.
        bytes_each: Bytes for each member or flow.
        total_kilobytes: Total size, in thousands of bytes.
    """

    what: str
    size: int
    bytes_each: float
    total_kilobytes: float


@frozen
class BalanceRow:
    """Balance of buckets among agents.

    Attributes:
        agents: Number of agents of the service.
        mean: Mean over services of (largest bucket count of an agent / mean count).
        worst: Largest such ratio of any service.
    """

    agents: int
    mean: float
    worst: float


def make_caller(number: int) -> Endpoint:
    """Returns the endpoint of a caller.

    Args:
        number: Number of the caller.

    Returns:
        An endpoint that is unique for each number.
    """
    host, port = divmod(number, CALLERS_PER_HOST)
    return Endpoint(f"127.0.{host // 250}.{host % 250 + 1}", 1024 + port)


def make_fleet(members: int) -> tuple[list[Service], list[Member]]:
    """Creates services with five agents each.

    Args:
        members: Number of agents.

    Returns:
        Services and agents.
    """
    services = []
    agents: list[Member] = []
    for number in range(max(1, members // AGENTS_PER_SERVICE)):
        service = make_service(f"service-{number:05}", 0)
        address = Endpoint(f"10.{number >> 8}.{number & 255}.1", 443)
        services.append(attrs.evolve(service, addresses=(address,)))
        for index in range(AGENTS_PER_SERVICE):
            agents.append(
                make_agent(
                    f"{service.service_id}-{index}",
                    upstream_class=service.service_id,
                    incarnation=1,
                )
            )
    return services, agents


def mean_microseconds(operation: Callable[[int], object], rounds: int) -> float:
    """Measures the mean processor time of an operation.

    Args:
        operation: Called with the number of each round.
        rounds: Number of calls.

    Returns:
        Processor time of this thread for each call, in microseconds.
    """
    started_at = time.thread_time()
    for number in range(rounds):
        operation(number)
    return (time.thread_time() - started_at) / rounds * 1e6


def balancer_rows(member_counts: tuple[int, ...]) -> list[CostRow]:
    """Measures a balancer's choice of an agent and the cost of a weight change.

    Args:
        member_counts: Numbers of members.

    Returns:
        The rows.
    """
    rows = []
    for members in member_counts:
        services, agents = make_fleet(members)
        view = make_view(version=1, services=services, members=agents)
        chooser = AgentChooser()
        chooser.update(view)
        packets = [
            Packet(make_caller(n), services[n % len(services)].addresses[0], b"")
            for n in range(ROUNDS)
        ]
        build = mean_microseconds(
            lambda n, s=services, c=chooser: c.bucket_table_of(s[n]),  # type: ignore[misc]
            len(services),
        )
        choose = mean_microseconds(
            lambda n, p=packets, c=chooser: c.choose(p[n]),  # type: ignore[misc]
            ROUNDS,
        )
        rows.append(CostRow("balancer: choose an agent", members, choose))
        rows.append(CostRow("table of a service, built whole", members, build))
        rows += _change_rows(chooser, services, agents)
    return rows


def _change_rows(
    chooser: AgentChooser, services: list[Service], agents: list[Member]
) -> list[CostRow]:
    views = []
    for version in range(2, 12):
        agents = list(agents)
        agents[0] = attrs.evolve(agents[0], weight=1000 - version, version=version)
        views.append(make_view(version=version, services=services, members=agents))

    def change(number: int) -> None:
        chooser.update(views[number])
        chooser.bucket_table_of(services[0])

    cost = mean_microseconds(change, len(views))
    return [CostRow("one agent's weight changes", len(agents), cost)]


def flow_rows(flow_counts: tuple[int, ...]) -> list[CostRow]:
    """Measures a balancer's choice of an agent by number of flows.

    Args:
        flow_counts: Numbers of flows.

    Returns:
        The rows.
    """
    services, agents = make_fleet(200)
    chooser = AgentChooser()
    chooser.update(make_view(version=1, services=services, members=agents))
    for service in services:
        chooser.bucket_table_of(service)
    rows = []
    for flows in flow_counts:
        packets = [
            Packet(make_caller(n), services[n % len(services)].addresses[0], b"")
            for n in range(flows)
        ]
        rounds = max(flows, ROUNDS)
        cost = mean_microseconds(
            lambda n, p=packets, c=chooser: c.choose(p[n % len(p)]),  # type: ignore[misc]
            rounds,
        )
        rows.append(CostRow("balancer: choose an agent, by flows", flows, cost))
    return rows


def make_ready_router(settings: FlowsSettings) -> tuple[FlowRouter, View]:
    """Creates the router of a single agent that may create flows.

    Args:
        settings: Settings of the agent.

    Returns:
        The router and its view.
    """
    agent = make_agent("editor-1", upstream_class="editor", incarnation=1)
    view = make_view(
        version=1,
        services=[make_service("editor", 0)],
        members=[agent, make_balancer("balancer-0")],
    )
    router = FlowRouter(member_id="editor-1", incarnation=1, settings=settings)
    router.update(view, now=0.0)
    now = 0.0
    while now <= settings.settle_delay + 1.0:
        router.tick(now=now)
        now += 0.25
    return router, view


def agent_rows(
    settings: FlowsSettings, flow_counts: tuple[int, ...]
) -> tuple[list[CostRow], list[MemoryRow]]:
    """Measures an agent's routing cost and memory by number of owned flows.

    Args:
        settings: Settings of the agent.
        flow_counts: Numbers of flows.

    Returns:
        Rows of cost and of memory.
    """
    costs, memories = [], []
    address = make_service("editor", 0).addresses[0]
    for flows in flow_counts:
        limited_settings = attrs.evolve(settings, flow_limit=flows)
        router, _ = make_ready_router(limited_settings)
        envelopes = [
            Envelope(Packet(make_caller(n), address, b"")) for n in range(flows)
        ]
        now = settings.settle_delay + 1.0
        gc.collect()
        tracemalloc.start()
        for envelope in envelopes:
            router.on_envelope(envelope, now=now)
        gc.collect()
        used_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        assert router.flow_count == flows
        cost = mean_microseconds(
            lambda n, r=router, e=envelopes, t=now: r.on_envelope(  # type: ignore[misc]
                e[n % len(e)], now=t
            ),
            max(flows, ROUNDS),
        )
        costs.append(CostRow("agent: route to an owned flow", flows, cost))
        memories.append(
            MemoryRow(
                "router, owned flows", flows, used_bytes / flows, used_bytes / 1e3
            )
        )
    return costs, memories


def table_memory(members: int) -> MemoryRow:
    """Measures the memory of all bucket tables of a balancer.

    Args:
        members: Number of members.

    Returns:
        The row.
    """
    services, agents = make_fleet(members)
    view = make_view(version=1, services=services, members=agents)
    gc.collect()
    tracemalloc.start()
    chooser = AgentChooser()
    chooser.update(view)
    for service in services:
        chooser.bucket_table_of(service)
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return MemoryRow(
        "bucket tables of a balancer", members, used_bytes / members, used_bytes / 1e3
    )


def balance_rows(agent_counts: tuple[int, ...], services: int) -> list[BalanceRow]:
    """Measures the balance of buckets among agents of equal weight.

    Args:
        agent_counts: Numbers of agents of a service.
        services: Number of services for each number of agents.

    Returns:
        The rows.
    """
    rows = []
    for count in agent_counts:
        ratios = []
        for number in range(services):
            agents = [
                make_agent(f"s{number}-{i:03}", upstream_class="s", incarnation=1)
                for i in range(count)
            ]
            table = build_bucket_table(sorted(agents, key=lambda a: a.member_id))
            largest = max(Counter(table.primaries).values())
            ratios.append(largest * count / len(table.primaries))
        rows.append(BalanceRow(count, sum(ratios) / len(ratios), max(ratios)))
    return rows


def codec_rows(key_ring: KeyRing) -> list[CostRow]:
    """Measures the codec separately from the decisions.

    Args:
        key_ring: Keys to sign with.

    Returns:
        The rows.
    """
    codec = EnvelopeCodec(key_ring)
    packet = Packet(make_caller(1), Endpoint("127.0.1.0", 443), PAYLOAD)
    envelope = Envelope(packet)
    plain, packed = codec.pack(packet), codec.pack_envelope(envelope)
    operations: tuple[tuple[str, Callable[[int], object]], ...] = (
        ("codec: unpack a datagram of the fabric", lambda _: codec.unpack(plain)),
        ("codec: pack an envelope", lambda _: codec.pack_envelope(envelope)),
        ("codec: unpack an envelope", lambda _: codec.unpack_envelope(packed)),
        ("codec: pack an answer", lambda _: codec.pack(packet)),
    )
    size = len(PAYLOAD)
    return [
        CostRow(what, size, mean_microseconds(operation, ROUNDS))
        for what, operation in operations
    ]
