"""Regression tests for failures of the handover, found by fuzzing or by hand."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.bench.flow_network import Flow
from siskinshift.bench.flow_network import FlowNetwork
from siskinshift.bench.flow_network import Message
from siskinshift.bench.flow_network import make_agent
from siskinshift.bench.flow_network import make_service
from siskinshift.core.errors import ErrorKind
from siskinshift.core.packets import Envelope
from siskinshift.core.packets import Packet
from siskinshift.core.views import make_view
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.flows.router import FlowRouter
from siskinshift.messages.core import Endpoint
from tests.flows.buckets import few_buckets
from tests.flows.walk import flows_settings


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.settings.generated import FlowsSettings


FLOWS = 40


@pytest.fixture(autouse=True)
def _few_buckets() -> Iterator[None]:
    with few_buckets():
        yield


def _network(agents: int = 3, settings: FlowsSettings | None = None) -> FlowNetwork:
    return FlowNetwork(
        settings=settings or flows_settings(),
        agents_by_class={"editor": agents, "dossiers": 1},
        balancers=2,
        random=random.Random(1),
        with_full_views=True,
    )


def _open_flows(network: FlowNetwork, count: int = FLOWS) -> None:
    for _ in range(count):
        network.open_flow("editor")
        network.deliver_all()


def _deliver_views(network: FlowNetwork, *node_ids: str) -> None:
    """Delivers the pending view updates of the given nodes only."""
    for update in tuple(network.pending_updates):
        if update.receiver_id in node_ids:
            network.deliver_update(network.pending_updates.index(update))


def _send_all(network: FlowNetwork) -> int:
    """Sends on each flow and returns the number of delivered datagrams."""
    before = network.delivered
    for flow in network.flows:
        network.send(flow)
        network.deliver_all()
    return network.delivered - before


def _deliver_envelopes(network: FlowNetwork) -> None:
    """Delivers all datagrams but no handover messages."""
    while any(isinstance(m.content, Envelope) for m in network.messages):
        for index, message in enumerate(network.messages):
            if isinstance(message.content, Envelope):
                network.deliver(index)
                break


def _add_flow(network: FlowNetwork) -> Flow:
    caller = Endpoint("127.0.2.1", 1024 + len(network.flows))
    flow = Flow(caller, network.services_by_id["editor"])
    network.flows.append(flow)
    return flow


def test_flows_survive_a_planned_drain() -> None:
    """A drain reaches balancers and peers one after the other.

    Without notes flows break, because the new primary of a bucket has no record of
    the bucket's flows.
    """
    network = _network()
    _open_flows(network)
    leaving = network.agents("editor")[0]
    assert network.owned_flows(leaving)

    network.drain(leaving)
    for node_id in ("balancer-0", *network.agents(), "balancer-1"):
        assert _send_all(network) == FLOWS
        _deliver_views(network, node_id)
    network.converge()

    assert _send_all(network) == FLOWS
    assert network.planned_breaks == []
    _open_flows(network)
    assert network.late_flows == []


def test_flows_survive_the_failure_of_the_agent_with_their_notes() -> None:
    """A primary fails together with its notes about flows of a draining agent.

    Packets then reach the next primary, which has no record of these flows yet.
    """
    network = _network(agents=2)
    _open_flows(network)
    joined = network.join("editor")
    network.converge()
    network.drain(network.agents("editor")[0])
    network.converge()
    assert network.router_of(joined).note_count > 0

    network.crash(joined)
    network.advance(2.5)
    _deliver_views(network, "balancer-0", "balancer-1", *network.agents("editor"))
    # Datagrams arrive before the lists of the owners; no flow may break.
    for flow in network.flows:
        network.send(flow)
    _deliver_envelopes(network)
    network.converge()

    assert _send_all(network) == FLOWS
    assert network.planned_breaks == []


def test_only_flows_of_a_failed_owner_are_created_again() -> None:
    network = _network()
    _open_flows(network)
    dying = network.agents("editor")[0]
    lost = len(network.owned_flows(dying))

    network.crash(dying)
    network.converge()

    assert _send_all(network) == FLOWS
    assert network.unplanned_breaks == lost
    assert network.planned_breaks == []


def test_an_agent_that_was_partitioned_at_its_start_creates_no_flow() -> None:
    """A partitioned new agent created a flow a second time (seed 268).

    Balancers already send to the agent, and its first view lacks the peer that owns
    the flow. settle_delay must not count from the start of the process.
    """
    settings = flows_settings()
    router = FlowRouter(member_id="editor-1", incarnation=9, settings=settings)
    own = make_agent("editor-1", upstream_class="editor", incarnation=9)
    service = make_service("editor", 0)
    packet = Packet(Endpoint("127.0.2.1", 1), service.addresses[0], b"")
    router.update(make_view(version=1, services=(), members=(own,)), now=0.0)
    for tick in range(40):
        router.tick(now=tick / 4)

    router.update(make_view(version=2, services=(service,), members=(own,)), now=10.0)
    actions = router.on_envelope(Envelope(packet), now=10.0)
    actions += router.tick(now=10.5)

    assert not any(isinstance(action, DeliverToFlow) for action in actions)
    assert router.held_count == 1


def test_two_agents_that_join_at_once_do_not_create_the_same_flow() -> None:
    """A new flow was created twice (seeds 102 and 671).

    Two agents join at once and are unknown to each other. The old agent confirmed
    both claims, one after the other, so both agents could create flows.
    """
    network = _network(1, attrs.evolve(flows_settings(), settle_delay=0.5))
    old = network.agents("editor")[0]
    first, second = network.join("editor"), network.join("editor")
    for member_id in (first, second):
        update = next(n for n in network.pending_updates if n.receiver_id == member_id)
        network.deliver_update(network.pending_updates.index(update))
    for member_id, balancer_id in ((first, "balancer-0"), (second, "balancer-1")):
        for update in tuple(network.pending_updates):
            if (
                update.receiver_id in (old, balancer_id)
                and update.members[0] == (network.actual_members_by_id[member_id])
            ):
                network.deliver_update(network.pending_updates.index(update))
        for _ in range(4):
            network.advance(0.25)
            network.deliver_all()
        for _ in range(FLOWS):
            flow = _add_flow(network)
            network.send(flow, balancer_id)
        network.deliver_all()
        for flow in network.flows:
            network.send(flow, balancer_id)
        network.deliver_all()

    assert network.planned_breaks == []
    network.converge()
    assert _send_all(network) == 2 * FLOWS
    assert network.planned_breaks == []


def test_a_permission_that_crosses_a_packet_creates_one_flow() -> None:
    """One flow had two owners after a drain (seed 421).

    While the old primary's permission for a flow was in flight to the new one, a
    balancer with an old view sent a packet of the flow to the old primary. The new
    primary disclaimed the flow, so the old one created it as well.
    """
    network = _network(agents=2)
    old, new = network.agents("editor")
    network.drain(old)
    _deliver_views(network, new, "balancer-0")
    flows = [_add_flow(network) for _ in range(FLOWS)]
    for flow in flows:
        network.send(flow, "balancer-0")
    permissions = []
    while envelopes := [m for m in network.messages if isinstance(m.content, Envelope)]:
        for message in envelopes:
            if isinstance(message.content, Envelope) and message.content.may_create:
                network.messages.remove(message)
                permissions.append(message)
            else:
                network.deliver(network.messages.index(message))
    assert permissions
    for flow in flows:
        network.send(flow, "balancer-1")
    _deliver_envelopes(network)
    network.messages += permissions
    _deliver_envelopes(network)
    network.converge()

    assert _send_all(network) == FLOWS
    assert network.planned_breaks == []


def test_an_agent_does_not_deliver_flows_after_a_long_pause() -> None:
    """A flow moved back to a paused upstream (seeds 359, 3195).

    An agent pauses for 8 s, is declared gone, and a peer takes over its buckets. When
    it resumes with its old view, balancers with old views still send to it.
    """
    network = _network(agents=2)
    paused = network.agents("editor")[0]
    network.pause(paused)
    network.advance(2.5)
    _deliver_views(network, network.agents("editor")[1], "balancer-0")
    network.deliver_all()
    network.advance(4.0)
    for _ in range(FLOWS):
        network.send(network.open_flow("editor"), "balancer-0")
    network.deliver_all()
    network.nodes_by_id[paused].paused = False
    for flow in network.flows:
        packet = Packet(flow.caller, flow.service.addresses[0], b"")
        actions = network.router_of(paused).on_envelope(
            Envelope(packet), now=network.now
        )
        assert not any(isinstance(action, DeliverToFlow) for action in actions)


def test_flows_of_an_earlier_incarnation_are_not_sent_to_its_owner() -> None:
    """The owner of a flow restarts under the same id.

    Notes from its earlier incarnation must be removed; otherwise packets are forwarded
    to an agent without the flow and get no reply.
    """
    network = _network(agents=2)
    _open_flows(network)
    joined = network.join("editor")
    network.converge()
    restarting = network.agents("editor")[0]
    assert network.router_of(joined).note_count > 0

    network.restart(restarting)
    network.converge()

    assert _send_all(network) == FLOWS
    assert network.planned_breaks == []


def test_a_permission_for_a_new_incarnation_survives_the_restart_update() -> None:
    """A flow had two owners after a restart (seeds 50281, 50424).

    The new incarnation of an agent queried the previous primary before that one
    received the restart update. The update then dropped the note about the new
    incarnation's flow too, and the flow was created twice.
    """
    network = _network(agents=2)
    holder, restarting = network.agents("editor")
    network.change_weight(restarting, 100)
    network.converge()
    network.restart(restarting)  # At full weight.
    _deliver_views(network, restarting, "balancer-0")
    for _ in range(FLOWS):
        network.send(_add_flow(network), "balancer-0")
    _deliver_envelopes(network)
    assert network.router_of(holder).note_count > 0
    assert network.owned_flows(restarting)

    _deliver_views(network, holder)
    for flow in network.flows:
        packet = Packet(flow.caller, flow.service.addresses[0], b"")
        network.messages.append(Message(holder, Envelope(packet), network.now))
    _deliver_envelopes(network)
    network.converge()

    assert _send_all(network) == FLOWS
    assert network.planned_breaks == []


def test_notes_are_removed_when_flows_end() -> None:
    network = _network(agents=2)
    _open_flows(network)
    joined = network.join("editor")
    network.converge()
    assert network.router_of(joined).note_count > 0

    network.check_after_convergence()

    assert network.router_of(joined).note_count == 0


def test_a_note_is_removed_although_the_end_went_to_another_agent() -> None:
    """Notes accumulated in an agent that received every message (seed 20194).

    A flow ends while its owner's view briefly names a second primary. The first
    primary never receives that view, so it keeps the note.
    """
    network = _network(agents=2)
    _open_flows(network)
    owners = network.agents("editor")
    holder = network.join("editor")
    network.converge()
    held_before = network.router_of(holder).note_count
    brief = network.join("editor")
    network.pending_updates = [
        n for n in network.pending_updates if n.receiver_id != holder
    ]
    _deliver_views(network, *owners)
    for flow in network.flows:
        network.end_flow(flow)
    network.advance(5.0)
    network.pending_updates = [
        n for n in network.pending_updates if n.receiver_id != holder
    ]
    network.change_weight(brief, 0)
    network.converge(5.0)

    assert 0 < network.router_of(holder).note_count < held_before
    network.converge(400.0)
    assert network.router_of(holder).note_count == 0


def test_conflicting_views_forward_a_datagram_up_to_the_hop_limit() -> None:
    """A datagram looped between two agents with conflicting views.

    Each view names the other agent as primary: one agent drains and has given up its
    buckets, the other has not received that update.
    """
    network = _network(agents=2)
    first = network.agents("editor")[0]
    network.drain(first)
    network.advance(2.0)  # Past the grace period in which it still creates flows.
    _deliver_views(network, "balancer-0")
    for _ in range(FLOWS):
        network.send(_add_flow(network), "balancer-1")
    network.deliver_all()

    assert network.drops_by_kind[ErrorKind.HOP_LIMIT] > 0
    assert network.max_hop_count == network.settings.max_hops
    assert network.late_flows == []


def test_a_packet_of_another_service_is_never_delivered() -> None:
    """A forged or misrouted packet for editor reaches an agent of dossiers."""
    network = _network()
    agent = network.agents("dossiers")[0]
    flow = Flow(network.open_flow("editor").caller, network.services_by_id["editor"])
    packet = Packet(flow.caller, flow.service.addresses[0], b"")

    actions = network.router_of(agent).on_envelope(Envelope(packet), now=network.now)

    assert actions == [DropEnvelope(ErrorKind.WRONG_SERVICE)]


def test_the_flow_limit_refuses_new_flows_and_keeps_owned_ones() -> None:
    network = _network(1, attrs.evolve(flows_settings(), flow_limit=10))
    _open_flows(network)

    assert network.created == 10
    assert network.drops_by_kind[ErrorKind.FLOW_LIMIT] == FLOWS - 10
    assert _send_all(network) == 10


def test_held_packets_are_bounded_in_number_and_time() -> None:
    """An agent fails during a flood; the next primary holds packets within bounds."""
    settings = attrs.evolve(flows_settings(), held_limit=5, held_timeout=2.0)
    network = _network(2, settings)
    dying, other = network.agents("editor")
    joined = network.join("editor")
    network.converge()
    network.crash(dying)
    network.advance(2.5)
    _deliver_views(network, other, "balancer-0", "balancer-1")
    for _ in range(FLOWS):
        network.send(network.open_flow("editor"), "balancer-0")
    for _ in range(2 * FLOWS):
        network.deliver(0)

    assert network.router_of(other).held_count <= 5
    assert network.router_of(joined).held_count <= 5
    network.converge()
    assert network.router_of(other).held_count == 0
