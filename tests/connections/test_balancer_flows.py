"""Tests of how a balancer routes packets."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.balancer_flows import MAX_HOLD_SECONDS
from siskinshift.connections.early_packets import MAX_EARLY_SECONDS
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.fleet import REMOVE_AFTER_SECONDS
from siskinshift.connections.fleet import REPLY_TIMEOUT_SECONDS
from siskinshift.connections.held_packets import MAX_HELD_PACKETS
from siskinshift.connections.owner_finder import DATAGRAM_HEADER_BYTES
from siskinshift.connections.owner_finder import LOOKUP_BURST_SECONDS
from siskinshift.connections.owner_finder import LOOKUP_LINK_FRACTION
from siskinshift.connections.owner_finder import MAX_LOOKUP_SECONDS
from siskinshift.connections.owner_lookup import HOME_AGENTS_PER_FLOW
from siskinshift.connections.owner_lookup import REPLY_WINDOW_SECONDS
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import OwnerQuery
from siskinshift.connections.peer_messages import OwnershipAnnouncement
from siskinshift.connections.peer_messages import PeerHeartbeat
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Status
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.peer_messages import WarmUpRate
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.retry_timers import RETRY_AFTER_SECONDS
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import pack_service_address
from siskinshift.load.retry_budget import MAX_SAVED_RETRIES
from siskinshift.messages.core import MemberState
from siskinshift.observability.event_log import EventLog
from tests.connections.builders import SERVICE_ADDRESS
from tests.connections.builders import UNRESPONSIVE_AFTER_SECONDS
from tests.connections.builders import agents
from tests.connections.builders import balancer_flows
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import member
from tests.connections.builders import opening
from tests.connections.builders import routes
from tests.connections.builders import segment


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.balancer_flows import BalancerFlows
    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.routes import RouteTable


def _sent(actions: Iterable[Action]) -> list[tuple[str, Purpose | None]]:
    """Lists recipients and purposes of packets; None stands for an owner query."""
    sent: list[tuple[str, Purpose | None]] = []
    for action in actions:
        assert isinstance(action, ToPeer)
        message = decode_peer_message(action.datagram)
        assert isinstance(message, Forward | OwnerQuery)
        purpose = message.purpose if isinstance(message, Forward) else None
        sent.append((action.address[0], purpose))
    return sent


def _verdict(
    flows: BalancerFlows,
    fleet: Fleet,
    host: str,
    verdict: Verdict,
    *,
    port: int = 1,
    now: float = 0.0,
    packet: bytes = b"",
) -> list[Action]:
    agent = fleet.peers_by_address[(host, 7000)]
    message = FlowVerdict(verdict, flow_of(port), Load(), packet)
    return list(flows.on_verdict(agent, message, now=now))


def _reset_at(
    flows: BalancerFlows,
    fleet: Fleet,
    *,
    denied_by: Iterable[str] = (),
    port: int = 1,
    now: float,
    until: float,
) -> float:
    """Returns when a flow is reset; some agents deny it at each timer."""
    while now < until:
        now = max(now, flows.next_due())
        actions = flows.tick(now=now)
        for host in denied_by:
            verdict = Verdict.NOT_MINE
            actions += _verdict(flows, fleet, host, verdict, port=port, now=now)
        if ResetCaller(flow_of(port), 9) in actions:
            return now
    raise AssertionError(f"no reset until {until}")


def _upload_routes() -> RouteTable:
    table = routes()
    (address, route), *_ = table.routes_by_address.items()
    parameters = attrs.evolve(route.request_parameters, kind=RequestKind.UPLOAD)
    route = attrs.evolve(route, request_parameters=parameters)
    return attrs.evolve(table, routes_by_address={address: route})


def _classes(actions: Iterable[Action]) -> set[TrafficClass]:
    return {action.traffic_class for action in actions if type(action) is ToPeer}


def _packets(actions: Iterable[Action]) -> list[bytes]:
    """The callers' packets in messages to agents."""
    messages = [decode_peer_message(a.datagram) for a in actions if type(a) is ToPeer]
    return [m.datagram for m in messages if isinstance(m, Forward)]


def _open(flows: BalancerFlows, port: int = 1, *, now: float = 0.0) -> str:
    ((host, purpose),) = _sent(flows.on_segment(opening(port), now=now))
    assert purpose is Purpose.OPEN
    return host


def test_a_flow_goes_to_the_agent_that_accepted_it() -> None:
    fleet = fleet_of(*agents(3))
    flows = balancer_flows(fleet)

    host = _open(flows)
    _verdict(flows, fleet, host, Verdict.ACCEPTED)

    sent = _sent(flows.on_segment(segment(1, ack=9), now=0.01))
    assert sent == [(host, Purpose.OWNED)]


def test_a_refused_opening_packet_goes_to_the_next_agent_at_once() -> None:
    fleet = fleet_of(*agents(3))
    flows = balancer_flows(fleet)
    host = _open(flows)

    ((second, purpose),) = _sent(_verdict(flows, fleet, host, Verdict.FULL))

    assert purpose is Purpose.OPEN
    assert second != host


def test_a_failed_agent_is_retried_within_milliseconds() -> None:
    """Guards against a caller that waits 200 ms because an agent has failed unnoticed.

    Without a retry by the balancer the caller retransmits after 200 ms and misses its
    objective of 100 ms.
    """
    fleet = fleet_of(*agents(3))
    flows = balancer_flows(fleet)
    host = _open(flows)

    assert flows.tick(now=RETRY_AFTER_SECONDS / 2) == []
    ((second, _),) = _sent(flows.tick(now=RETRY_AFTER_SECONDS))

    assert second != host
    assert flows.next_due() > RETRY_AFTER_SECONDS


def test_a_flow_accepted_by_two_agents_is_resolved_by_their_verdicts() -> None:
    """A slow agent and the second attempt both accept one flow.

    Only the caller has chosen between them. Its packet goes to both agents, which
    compare sequence numbers; the owner's verdict decides.
    """
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet)
    first = _open(flows)
    ((second, _),) = _sent(flows.tick(now=RETRY_AFTER_SECONDS))
    for host in (first, second):
        _verdict(flows, fleet, host, Verdict.ACCEPTED, now=0.06)

    queried = _sent(flows.on_segment(segment(1, ack=9), now=0.07))
    _verdict(flows, fleet, first, Verdict.NOT_MINE, now=0.071)
    _verdict(flows, fleet, second, Verdict.MINE, now=0.071)

    assert sorted(queried) == sorted(
        [(first, Purpose.LOOKUP), (second, Purpose.LOOKUP)]
    )
    sent = _sent(flows.on_segment(segment(1, ack=10), now=0.08))
    assert sent == [(second, Purpose.OWNED)]


def test_a_restarted_balancer_finds_the_owner() -> None:
    """A balancer has no record of a flow after a restart or a change of routing.

    It queries the service's agents with the caller's packet and sends all further
    packets to the owner.
    """
    fleet = fleet_of(*agents(3), *agents(1, service="dossiers"))
    flows = balancer_flows(fleet)

    queried = _sent(flows.on_segment(segment(1, ack=9), now=0.0))
    _verdict(flows, fleet, "10.0.1.2", Verdict.MINE)

    assert {purpose for _, purpose in queried} == {Purpose.LOOKUP}
    assert len(queried) == 3
    sent = _sent(flows.on_segment(segment(1, ack=10), now=0.1))
    assert sent == [("10.0.1.2", Purpose.OWNED)]


def test_a_flow_is_reset_when_all_agents_have_denied_it() -> None:
    """After a power failure callers send packets of flows that no upstream holds.

    A reset lets them reconnect at once instead of at their deadline. It is correct only
    after each agent, also those of other services, has denied the flow.
    """
    fleet = fleet_of(*agents(2), member("dossiers-1", host="10.0.2.1", service="d"))
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)

    assert _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE) == []
    more = _verdict(flows, fleet, "10.0.1.2", Verdict.NOT_MINE, packet=b"packet")
    last = _verdict(flows, fleet, "10.0.2.1", Verdict.NOT_MINE)

    assert _sent(more) == [("10.0.2.1", None)]
    assert last == [ResetCaller(flow_of(1), 9)]


def test_the_owner_receives_all_packets_of_a_request() -> None:
    """Routers move a flow to another balancer in the middle of a large request.

    Its packets arrive while the first agents are queried. Guards against an owner that
    receives only the last packet, so that the caller retransmits the first one after
    200 ms. An agent that is unsure receives only the shortest packet.
    """
    far = [member(f"far-{i}", host=f"10.0.3.{i}", domain="b") for i in (1, 2)]
    fleet = fleet_of(*agents(2), *far)
    flows = balancer_flows(fleet)
    first = segment(1, seq=100, ack=9, length=1200)
    second = segment(1, seq=1300, ack=9, length=30)
    flows.on_segment(first, now=0.0)
    flows.on_segment(second, now=0.0)
    flows.on_segment(first, now=0.0)

    _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE)
    queried = _verdict(flows, fleet, "10.0.1.2", Verdict.NOT_MINE)
    unsure = _verdict(flows, fleet, "10.0.3.1", Verdict.UNSURE)
    owner = _verdict(flows, fleet, "10.0.3.2", Verdict.MINE)

    assert _sent(queried) == [("10.0.3.1", None), ("10.0.3.2", None)]
    assert _sent(unsure) == [("10.0.3.1", Purpose.LOOKUP)]
    assert _sent(owner) == [("10.0.3.2", Purpose.OWNED)] * 2
    assert _packets(unsure) == [min(first.datagram, second.datagram, key=len)]
    assert sorted(_packets(owner)) == sorted([first.datagram, second.datagram])


def test_an_unsure_agent_that_turns_out_to_be_the_owner_gets_all_packets() -> None:
    """The owner has just restarted when a request of two packets arrives.

    One packet shows that its upstream holds the flow. The other one must follow at
    once, or the request is incomplete until the caller retransmits it.
    """
    near, far = agents(1)[0], member("far-1", host="10.0.3.1", domain="b")
    fleet = fleet_of(near, far)
    flows = balancer_flows(fleet)
    first = segment(1, seq=100, ack=9, length=1200)
    second = segment(1, seq=1300, ack=9, length=30)
    for packet in (first, second):
        flows.on_segment(packet, now=0.0)
    _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE)

    unsure = _verdict(flows, fleet, "10.0.3.1", Verdict.UNSURE)
    owner = _verdict(flows, fleet, "10.0.3.1", Verdict.MINE)

    assert len(_packets(unsure)) == 1
    assert sorted(_packets(owner)) == sorted([first.datagram, second.datagram])


def test_packets_for_unsure_agents_count_in_the_link_budget() -> None:
    """After a power failure nearly all agents are unsure of each flow.

    Guards against packets for them that are not counted in the link budget: they
    saturated a link of 20 Mbit/s, which lost the replies. One lookup that has started
    may exceed the budget.
    """
    link, count = 2_500_000.0, 200
    fleet = fleet_of(*agents(count))
    flows = balancer_flows(fleet, link_bytes_per_second=link)
    sent = 0
    now = 0.0
    for port in range(1, 21):
        request = attrs.evolve(segment(port, ack=9, length=1200), datagram=bytes(1232))
        flows.on_segment(request, now=now)
    while now < 1.0:
        now = max(now + 0.01, flows.next_due())
        for action in flows.tick(now=now):
            assert isinstance(action, ToPeer)
            message = decode_peer_message(action.datagram)
            if isinstance(message, OwnerQuery):
                host, port = action.address[0], int.from_bytes(message.flow[:2], "big")
                verdict = Verdict.UNSURE
                unsure = _verdict(flows, fleet, host, verdict, port=port, now=now)
                sent += sum(len(packet) for packet in _packets(unsure))

    burst_and_rate = 2 * LOOKUP_LINK_FRACTION * link
    assert sent < burst_and_rate + count * 1232


def test_agents_without_flows_do_not_delay_resets() -> None:
    """After a power failure agents without flows rejoin for two seconds.

    Each has reported that it holds no flow and leaves without a message. Guards against
    lookups that wait 2.6 s for them, until the callers' deadline.
    """
    fleet = fleet_of(*agents(8))
    flows = balancer_flows(fleet)
    joining_agents = [agents(8)[number] for number in (0, 1, 2)]
    for fleet_member in joining_agents:
        joining = attrs.evolve(fleet_member, state=MemberState.JOINING, version=2)
        fleet.handle_status(Status(joining, Load(is_certain=True)), now=0.0)
    living = [f"10.0.1.{number}" for number in range(4, 9)]

    flows.on_segment(segment(1, ack=9), now=0.1)

    reset_at = _reset_at(flows, fleet, denied_by=living, now=0.1, until=5.0)
    assert reset_at - 0.1 <= 0.5


def test_a_restarted_agent_whose_upstream_runs_on_is_awaited() -> None:
    """An agent restarts while its upstream runs on, and its replies are late.

    The upstream holds flows that the agent has no record of: a reset would cut an open
    flow.
    """
    fleet = fleet_of(*agents(8))
    flows = balancer_flows(fleet)
    joining = attrs.evolve(agents(8)[0], state=MemberState.JOINING, version=2)
    fleet.handle_status(Status(joining, Load()), now=0.0)
    living = [f"10.0.1.{number}" for number in range(2, 9)]

    flows.on_segment(segment(1, ack=9), now=0.1)

    reset_at = _reset_at(flows, fleet, denied_by=living, now=0.1, until=5.0)
    assert reset_at - 0.1 >= REPLY_TIMEOUT_SECONDS


def test_a_lost_query_is_repeated_with_the_callers_retransmission() -> None:
    """A query to a remote agent is lost while the owner of a flow is looked up.

    The caller retransmits after 200 ms; the agent must receive another query then, or
    the caller waits for its deadline.
    """
    far = member("far-1", host="10.0.3.1", domain="b")
    fleet = fleet_of(*agents(1), far)
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9, length=100), now=0.0)
    queried = _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE)

    again = _sent(flows.on_segment(segment(1, ack=9, length=100), now=0.2))

    assert _sent(queried) == again == [("10.0.3.1", None)]


def test_an_agent_may_leave_during_a_query() -> None:
    """An agent deregisters before it replies to a balancer's query.

    The caller's next packet must reach the other agents that were queried.
    """
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)
    gone = attrs.evolve(agents(2)[0], state=MemberState.GONE, version=2)
    fleet.handle_status(Status(gone, Load()), now=0.01)

    queried = _sent(flows.on_segment(segment(1, ack=9, length=10), now=0.02))

    assert queried == [("10.0.1.2", Purpose.LOOKUP)]


def test_a_balancer_with_an_incomplete_fleet_resets_nothing() -> None:
    """A restarted balancer has discovered one agent, which does not hold the flow.

    The owner is alive but not discovered yet: a reset would cut an open flow.
    """
    fleet = fleet_of(*agents(1), is_complete=False)
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)
    assert _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE) == []

    fleet.apply_registrations(agents(2), now=0.1)
    fleet.handle_status(Status(agents(2)[1], Load()), now=0.1)
    again = _sent(flows.on_segment(segment(1, ack=9), now=0.2))
    assert ("10.0.1.2", Purpose.LOOKUP) in again
    _verdict(flows, fleet, "10.0.1.2", Verdict.MINE, now=0.2)
    _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE, now=0.2)
    sent = _sent(flows.on_segment(segment(1, ack=10), now=0.3))
    assert sent == [("10.0.1.2", Purpose.OWNED)]


def test_a_registered_dead_agent_does_not_delay_a_reset() -> None:
    """After a power failure the store still lists an agent that was removed.

    Guards against callers that wait until its lease expires. It counts as unresponsive
    if it has not replied to the hello, and has only the reply window for the query.
    """
    fleet = fleet_of(*agents(1), now=10.0)
    registered_at = 10.0 - REPLY_TIMEOUT_SECONDS - 0.1
    fleet.apply_registrations([member("dead", host="10.0.1.99")], now=registered_at)
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=10.0)

    _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE, now=10.0)

    reset_at = _reset_at(flows, fleet, now=10.0, until=11.0)
    assert reset_at == pytest.approx(10.0 + REPLY_WINDOW_SECONDS)


def test_an_opening_packet_waits_for_the_first_agent() -> None:
    """A caller opens a flow while all agents restart.

    A refusal would use up its retries within milliseconds. The packet is held for a
    short time and offered when an agent reports that it is ready.
    """
    fleet = fleet_of()
    flows = balancer_flows(fleet)
    assert flows.on_segment(opening(1), now=0.0) == []

    fleet.handle_status(Status(agents(1)[0], Load()), now=0.1)
    placed = _sent(flows.retry_held(now=0.1))

    assert placed == [("10.0.1.1", Purpose.OPEN)]


def test_an_opening_packet_that_no_agent_accepts_is_refused_in_time() -> None:
    flows = balancer_flows(fleet_of())
    flows.on_segment(opening(1), now=0.0)

    assert flows.tick(now=MAX_HOLD_SECONDS / 2) == []
    assert flows.tick(now=MAX_HOLD_SECONDS + 0.01) == [ResetCaller(flow_of(1), 0)]


def test_an_older_configuration_is_never_applied() -> None:
    """A stale read or a peer returns a version that was replaced long ago."""
    flows = balancer_flows(fleet_of(*agents(1)), table=routes(version=7))

    assert not flows.configure(routes(version=6, addresses={}))
    assert not flows.configure(routes(version=7, addresses={}))

    assert flows.on_segment(opening(1), now=0.0)


def test_a_dropped_route_ends_its_flows() -> None:
    flows = balancer_flows(fleet_of(*agents(1)))
    other = {pack_service_address("198.18.0.9", 80): "editor"}
    flows.configure(routes(version=2, addresses=other))

    assert flows.on_segment(segment(1, ack=5), now=0.0) == [ResetCaller(flow_of(1), 5)]
    assert flows.on_segment(opening(2), now=0.0) == [ResetCaller(flow_of(2), 0)]


def test_an_unknown_route_is_refused_at_the_first_retransmission() -> None:
    """A caller uses a new route before this balancer has received it.

    The first opening packet is dropped; the next one 200 ms later finds the route. An
    address that is still unknown then is refused.
    """
    flows = balancer_flows(fleet_of(*agents(1)), table=routes(addresses={}))
    assert flows.on_segment(opening(1), now=0.0) == []
    assert flows.on_segment(opening(2), now=0.0) == []

    flows.configure(routes(version=2, addresses={SERVICE_ADDRESS: "editor"}))
    assert _sent(flows.on_segment(opening(1, retransmissions=1), now=0.2))

    flows.configure(routes(version=3, addresses={}))
    assert flows.on_segment(opening(2, retransmissions=1), now=0.2) == [
        ResetCaller(flow_of(2), 1)
    ]


def test_forged_packets_are_dropped() -> None:
    flows = balancer_flows(fleet_of(*agents(1)))

    assert flows.on_segment(segment(1, SYN | ACK), now=0.0) == []
    assert flows.on_segment(segment(1, ACK | BOUNCED), now=0.0) == []


def test_an_owner_that_lost_the_flow_starts_a_lookup() -> None:
    """An upstream ends; its agent returns a packet of a flow that it does not hold.

    The balancer queries the other agents with that packet, so that the caller need not
    retransmit it.
    """
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet)
    host = _open(flows)
    _verdict(flows, fleet, host, Verdict.ACCEPTED)
    flows.on_segment(segment(1, ack=9), now=0.01)

    actions = _verdict(
        flows, fleet, host, Verdict.NOT_MINE, now=0.02, packet=b"returned"
    )

    ((other, purpose),) = _sent(actions)
    assert other != host
    assert purpose is Purpose.LOOKUP
    assert isinstance(actions[0], ToPeer)
    assert actions[0].datagram.endswith(b"returned")


def test_an_owner_that_is_doubted_starts_a_search() -> None:
    """Copies of an opening packet reach two upstreams through two balancers.

    The caller chose the other balancer's upstream, but routers send its packets here.
    The agent recorded here restarted and is unsure. Guards against all packets going to
    that agent, and none to the upstream that holds the flow.
    """
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet)
    accepting = _open(flows)
    (other,) = {"10.0.1.1", "10.0.1.2"} - {accepting}
    _verdict(flows, fleet, accepting, Verdict.ACCEPTED)
    packet = segment(1, ack=9, length=100)
    assert _sent(flows.on_segment(packet, now=0.1)) == [(accepting, Purpose.OWNED)]

    unsure = _verdict(
        flows, fleet, accepting, Verdict.UNSURE, now=0.6, packet=packet.datagram
    )
    queried = dict(_sent([*unsure, *flows.tick(now=0.7)]))
    assert queried == {accepting: Purpose.LOOKUP, other: Purpose.LOOKUP}
    _verdict(flows, fleet, other, Verdict.MINE, now=0.71)

    assert _sent(flows.on_segment(segment(1, ack=10), now=0.8)) == [
        (other, Purpose.OWNED)
    ]


def test_a_leaving_agent_gets_no_new_flow() -> None:
    leaving = member("editor-1", host="10.0.1.1", state=MemberState.DRAINING)
    fleet = fleet_of(leaving, member("editor-2", host="10.0.1.2"))
    flows = balancer_flows(fleet)

    assert {_open(flows, port) for port in range(1, 20)} == {"10.0.1.2"}


def test_a_balancer_that_receives_few_replies_resets_no_flow() -> None:
    """Routers move a failure domain's callers to one balancer and saturate its link.

    Heartbeats and verdicts of most agents are lost, so they look unresponsive; the few
    others do not hold the flow. A reset would cut a flow whose owner is alive. The
    caller's next packet starts another lookup.
    """
    fleet = fleet_of(*agents(8))
    flows = balancer_flows(fleet)
    queried = _sent(flows.on_segment(segment(1, ack=9), now=0.0))
    later = UNRESPONSIVE_AFTER_SECONDS + 0.1
    responsive = [host for host, _ in queried[:2]]
    for host in responsive:
        fleet.record_message(fleet.peers_by_address[(host, 7000)], now=later)

    actions: list[Action] = []
    for host in responsive:
        actions += _verdict(flows, fleet, host, Verdict.NOT_MINE, now=later)
    actions += flows.tick(now=later + 0.1)

    assert not any(isinstance(action, ResetCaller) for action in actions)
    for fleet_member in agents(8):
        fleet.handle_status(Status(fleet_member, Load()), now=4.0)
    assert (
        len(_sent(flows.on_segment(segment(1, ack=9), now=4.0))) >= HOME_AGENTS_PER_FLOW
    )


def _fleet_with_stopped_agent(*, is_from_store: bool) -> Fleet:
    """Returns four agents, the first of which has stopped with open flows."""
    stopped, *others = agents(4)
    stopped = attrs.evolve(stopped, state=MemberState.DRAINING, version=2)
    fleet = fleet_of(*others)
    if is_from_store:
        fleet.apply_registrations([stopped, *others], now=0.0)
    else:
        fleet.handle_status(Status(stopped, Load(flows=3)), now=0.0)
    return fleet


@pytest.mark.parametrize("is_from_store", [True, False])
def test_an_agent_that_restarts_as_planned_does_not_deny_flows(
    is_from_store: bool,
) -> None:
    """Guards against the reset of open flows whose agent is away for two seconds."""
    fleet = _fleet_with_stopped_agent(is_from_store=is_from_store)
    flows = balancer_flows(fleet)
    actions: list[Action] = []
    for tenth in range(50):
        now = tenth / 10
        if tenth % 8 == 0:
            actions += flows.on_segment(segment(1, ack=9), now=now)
        for agent in agents(4)[1:]:
            fleet.handle_status(Status(agent, Load()), now=now)
            host = agent.data.host
            actions += _verdict(flows, fleet, host, Verdict.NOT_MINE, now=now)
        actions += flows.tick(now=now)
    assert not any(isinstance(action, ResetCaller) for action in actions)

    back = attrs.evolve(agents(4)[0], incarnation=2)
    fleet.handle_status(Status(back, Load()), now=5.0)
    flows.on_segment(segment(1, ack=9), now=5.0)
    _verdict(flows, fleet, back.data.host, Verdict.MINE, now=5.1)
    sent = _sent(flows.on_segment(segment(1, ack=9), now=5.2))
    assert sent == [(back.data.host, Purpose.OWNED)]


def test_an_agent_that_does_not_return_delays_resets_until_it_is_removed() -> None:
    """Guards against callers that wait for an instance which was taken away."""
    fleet = _fleet_with_stopped_agent(is_from_store=True)
    flows = balancer_flows(fleet)
    fleet.apply_registrations(agents(4)[1:], now=7.0)
    assert fleet.remove_unresponsive(now=REMOVE_AFTER_SECONDS + 0.1)
    now = 7.0
    for agent in agents(4)[1:]:
        fleet.handle_status(Status(agent, Load()), now=now)
    flows.on_segment(segment(1, ack=9), now=now)

    hosts = [agent.data.host for agent in agents(4)[1:]]
    reset_at = _reset_at(flows, fleet, denied_by=hosts, now=now, until=9.0)

    assert reset_at < now + 1.0


def test_one_dead_agent_does_not_delay_resets() -> None:
    fleet = fleet_of(*agents(8))
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)
    later = UNRESPONSIVE_AFTER_SECONDS + 0.1
    actions: list[Action] = []
    for number in range(1, 8):
        fleet.handle_status(Status(agents(8)[number], Load()), now=later)
    for _ in range(3):
        actions += flows.tick(now=later)
        for number in range(2, 9):
            host = f"10.0.1.{number}"
            actions += _verdict(flows, fleet, host, Verdict.NOT_MINE, now=later)

    reset_at = _reset_at(flows, fleet, now=later, until=later + 1.0)
    assert reset_at == pytest.approx(later + REPLY_WINDOW_SECONDS)


def test_an_owner_that_was_partitioned_is_awaited_before_a_reset() -> None:
    """A partition between a balancer and some agents has just healed.

    A packet of an unknown flow arrives, and all other agents deny it within
    milliseconds. Guards against a reset of an open flow because its owner still counts
    as unresponsive and its reply is not awaited.
    """
    fleet = fleet_of(*agents(8))
    flows = balancer_flows(fleet)
    later = UNRESPONSIVE_AFTER_SECONDS + 0.1
    for number in range(1, 8):
        fleet.handle_status(Status(agents(8)[number], Load()), now=later)
    actions = flows.on_segment(segment(1, ack=9), now=later)
    for _ in range(3):
        actions += flows.tick(now=later)
        for number in range(2, 9):
            host = f"10.0.1.{number}"
            actions += _verdict(flows, fleet, host, Verdict.NOT_MINE, now=later)
    actions += _verdict(flows, fleet, "10.0.1.1", Verdict.MINE, now=later + 0.05)
    actions += flows.tick(now=later + 10.0)

    assert not any(isinstance(action, ResetCaller) for action in actions)


def test_a_dead_agent_with_rare_heartbeats_does_not_delay_resets() -> None:
    """An agent of another failure domain, with a heartbeat each four seconds, fails.

    Its heartbeat is not overdue for seconds. Guards against callers that wait for its
    reply until their deadline: once it has not replied to a query it counts as
    unresponsive for all later lookups.
    """
    fleet = fleet_of(*agents(8))
    flows = balancer_flows(fleet)
    dead = fleet.peers_by_address[("10.0.1.1", 7000)]
    fleet.handle_heartbeat(dead, PeerHeartbeat(1, 1, Load(), 0, 4.0), now=0.0)
    living = [f"10.0.1.{number}" for number in range(2, 9)]

    flows.on_segment(segment(1, ack=9), now=0.0)
    first = _reset_at(flows, fleet, denied_by=living, now=0.0, until=5.0)
    began = first + 0.1
    flows.on_segment(segment(2, ack=9), now=began)
    second = _reset_at(flows, fleet, denied_by=living, port=2, now=began, until=5.0)

    assert first <= MAX_LOOKUP_SECONDS
    assert second - began <= 3 * REPLY_WINDOW_SECONDS


def test_a_balancer_repeats_queries_without_a_retransmission() -> None:
    """An agent's verdict that it owns the flow is lost on a saturated link.

    The caller may retransmit only after 1.6 s; the balancer repeats the query earlier.
    """
    fleet = fleet_of(*agents(1))
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9, length=100), now=0.0)

    sent: list[tuple[str, Purpose | None]] = []
    while flows.next_due() <= 0.2:
        sent += _sent(flows.tick(now=flows.next_due()))

    assert ("10.0.1.1", None) in sent


def test_a_leaving_balancer_announces_the_owners_of_its_flows() -> None:
    """A rolling restart moves hundreds of flows to other balancers.

    Guards against an owner lookup among all agents for each moved flow: the leaving
    balancer announces the owners; an owner that has changed since is looked up.
    """
    fleet = fleet_of(*agents(3))
    leaving = balancer_flows(fleet)
    host = _open(leaving)
    _verdict(leaving, fleet, host, Verdict.ACCEPTED)
    leaving.on_segment(segment(1, ack=9), now=0.1)

    messages = [decode_peer_message(m) for m in leaving.encode_owners()]
    successor = balancer_flows(fleet)
    for message in messages:
        assert isinstance(message, OwnershipAnnouncement)
        successor.on_ownership_announcement(message, now=0.0)

    sent = _sent(successor.on_segment(segment(1, ack=10), now=0.2))
    assert sent == [(host, Purpose.OWNED)]
    stale = _verdict(successor, fleet, host, Verdict.NOT_MINE, packet=b"returned")
    assert len(_sent(stale)) == 2


def test_an_announced_owner_does_not_replace_a_known_one() -> None:
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)
    _verdict(flows, fleet, "10.0.1.1", Verdict.MINE)

    flows.on_ownership_announcement(
        OwnershipAnnouncement("editor-2", (flow_of(1),)), now=0.0
    )
    flows.on_ownership_announcement(
        OwnershipAnnouncement("not-known", (flow_of(2),)), now=0.0
    )

    sent = _sent(flows.on_segment(segment(1, ack=10), now=0.1))
    assert sent == [("10.0.1.1", Purpose.OWNED)]
    assert len(flows) == 1


def test_attempts_do_not_multiply_while_no_agent_replies() -> None:
    """A balancer's link is saturated by retransmissions, so agents' replies are lost.

    Guards against sending each opening packet to four agents in turn, which keeps the
    link saturated long after its cause is gone. The callers' retransmissions suffice
    while nothing succeeds.
    """
    flows = balancer_flows(fleet_of(*agents(8)))
    for port in range(1, 201):
        _open(flows, port)

    sent: list[Action] = []
    for step in range(1, 6):
        sent += flows.tick(now=step * RETRY_AFTER_SECONDS + 0.001)

    assert 1 <= len(sent) <= MAX_SAVED_RETRIES


def test_lookups_for_hundreds_of_flows_leave_the_link_to_the_callers() -> None:
    """Routers move a failure domain's flows to one balancer on a link of 7 Mbit/s.

    Guards against several megabytes of queries at once, for 400 flows at 48 agents
    each, which drop openings, replies and heartbeats. Lookups keep to their fraction of
    the link, and all owners are found within seconds.
    """
    near = [member(f"n-{i}", host=f"10.0.2.{i}") for i in range(12)]
    far = [member(f"f-{i}", host=f"10.0.3.{i}", domain="b") for i in range(36)]
    fleet = fleet_of(*near, *far)
    link = 7 * 125_000.0
    flows = balancer_flows(fleet, link_bytes_per_second=link)
    owner = fleet.peers_by_id["f-35"]
    unknown = set(range(1, 401))
    sizes: Counter[int] = Counter()

    def count(actions: list[Action], now: float) -> None:
        for action in actions:
            assert isinstance(action, ToPeer)
            sizes[int(now)] += len(action.datagram) + DATAGRAM_HEADER_BYTES

    for step in range(200):
        now = step * 0.05
        for fleet_member in fleet.peers_by_id.values():
            fleet.record_message(fleet_member, now=now)
        if step % 4 == 0:
            for port in sorted(unknown):
                packet = segment(port, ack=9, length=100)
                count(list(flows.on_segment(packet, now=now)), now)
        for number in range(3):
            count(list(flows.tick(now=now + number * 0.01)), now)
        for port in sorted(unknown):
            lookup = flows.owner_lookup(flow_of(port))
            if lookup is not None and "f-35" in lookup.queried:
                verdict = FlowVerdict(Verdict.MINE, flow_of(port), Load())
                flows.on_verdict(owner, verdict, now=now)
                unknown.discard(port)

    assert not unknown
    burst = LOOKUP_LINK_FRACTION * link * (1 + LOOKUP_BURST_SECONDS)
    assert max(sizes.values()) < 1.2 * burst


def test_a_lookup_completes_when_the_owner_announces_the_flow() -> None:
    """All processes restart while their upstreams run on.

    A packet arrives before its owner is discovered, and a lookup starts. The owner then
    announces its flows and receives the packet at once, unless it was sent already.
    """
    members = agents(12)
    fleet = fleet_of(*members)
    flows = balancer_flows(fleet)
    queried = {host for host, _ in _sent(flows.on_segment(segment(1, ack=9), now=0.0))}
    names_by_host = {one.data.host: one.member_id for one in members}
    owner = min(set(names_by_host) - queried)

    announced = flows.on_ownership_announcement(
        OwnershipAnnouncement(names_by_host[owner], (flow_of(1),)), now=0.01
    )
    assert _sent(announced) == [(owner, Purpose.OWNED)]
    later = flows.on_segment(segment(1, ack=10), now=0.02)
    assert _sent(later) == [(owner, Purpose.OWNED)]

    queried = {host for host, _ in _sent(flows.on_segment(segment(2, ack=9), now=0.0))}
    owner = min(queried)
    flows.on_segment(opening(3), now=0.0)
    assert (
        flows.on_ownership_announcement(
            OwnershipAnnouncement(names_by_host[owner], (flow_of(3),)), now=0.01
        )
        == []
    )
    assert (
        flows.on_ownership_announcement(
            OwnershipAnnouncement(names_by_host[owner], (flow_of(2),)), now=0.01
        )
        == []
    )


def test_a_lookup_continues_when_its_owner_is_discovered() -> None:
    """All processes restart; a packet arrives before its owner is discovered.

    The lookup has queried all known agents and must not end in a reset. It continues
    without the caller's retransmission, which may follow more than a second later.
    """
    known_agent, late = agents(2)
    fleet = fleet_of(known_agent, is_complete=False)
    flows = balancer_flows(fleet)
    assert _sent(flows.on_segment(segment(1, ack=9), now=0.0)) == [
        (known_agent.data.host, Purpose.LOOKUP)
    ]
    assert (
        _verdict(flows, fleet, known_agent.data.host, Verdict.NOT_MINE, now=0.01) == []
    )

    fleet.handle_status(Status(late, Load()), now=0.05)
    sent: list[tuple[str, Purpose | None]] = []
    while flows.next_due() <= 0.3:
        sent += _sent(flows.tick(now=flows.next_due()))

    assert (late.data.host, Purpose.LOOKUP) in sent


def test_agents_discovered_during_a_lookup_are_queried_before_a_reset() -> None:
    """Guards against the reset of an open flow 40 ms after its balancer restarted.

    A lookup queries all members that peers listed, then the store lists the remaining
    ones, the owner among them, and the fleet is complete. The reset followed the last
    denial of the first agents. Seen with peers listed after 4 ms, the configuration
    after 10 ms and the members read after 27 ms.
    """
    first, owner = agents(2)
    other = member("dossiers-1", host="10.0.2.1", service="dossiers")
    fleet = fleet_of(first, other, is_complete=False)
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)
    queried = _verdict(flows, fleet, first.data.host, Verdict.NOT_MINE, now=0.01)
    assert [host for host, _ in _sent(queried)] == [other.data.host]

    fleet.apply_registrations([first, owner, other], now=0.02)
    queried = _verdict(flows, fleet, other.data.host, Verdict.NOT_MINE, now=0.03)

    assert [host for host, _ in _sent(queried)] == [owner.data.host]
    found = _verdict(flows, fleet, owner.data.host, Verdict.MINE, now=0.04)
    assert not any(isinstance(action, ResetCaller) for action in found)


def test_a_lookup_without_replies_ends() -> None:
    """A lookup costs queries; a caller that has not given up retransmits."""
    known_agent, unresponsive = agents(2)
    fleet = fleet_of(known_agent, unresponsive, is_complete=False)
    flows = balancer_flows(fleet)
    flows.on_segment(segment(1, ack=9), now=0.0)
    rounds, now = 0, 0.0
    while flows.owner_lookup(flow_of(1)) is not None and now < 60.0:
        now = flows.next_due()
        fleet.record_message(
            fleet.peers_by_address[(known_agent.data.host, 7000)], now=now
        )
        rounds += bool(flows.tick(now=now))
        for host in (known_agent.data.host, unresponsive.data.host):
            _verdict(flows, fleet, host, Verdict.NOT_MINE, now=now)

    assert now < 3.0
    assert rounds < 10


def test_packets_wait_for_the_first_configuration() -> None:
    """A restarted balancer reads a long configuration over a slow link.

    Guards against dropped packets meanwhile, whose callers wait to retransmit.
    """
    fleet = fleet_of(*agents(1))
    flows = balancer_flows(fleet, configured=False)
    assert flows.on_segment(opening(1), now=0.0) == []
    assert flows.on_segment(opening(2), now=MAX_EARLY_SECONDS) == []

    flows.configure(routes())
    sent = _sent(flows.process_early_packets(now=MAX_EARLY_SECONDS + 0.1))

    assert sent == [("10.0.1.1", Purpose.OPEN)]
    assert flows.process_early_packets(now=MAX_EARLY_SECONDS + 0.1) == []


def test_a_retransmission_goes_to_another_domain_after_an_evacuation() -> None:
    """Guards against retransmitted opening packets to an evacuated domain."""
    evacuations = EvacuationRegister()
    fleet = fleet_of(
        member("near", host="10.0.1.1", domain="a"),
        member("far", host="10.0.1.2", domain="b"),
    )
    flows = balancer_flows(fleet, evacuations=evacuations)
    assert _open(flows) == "10.0.1.1"
    _verdict(flows, fleet, "10.0.1.1", Verdict.ACCEPTED)
    evacuations.update(Evacuations(1, frozenset({"a"})))

    sent = _sent(flows.on_segment(opening(1, retransmissions=1), now=0.2))

    assert sent == [("10.0.1.2", Purpose.OPEN)]


def test_flows_of_an_evacuated_domain_are_still_forwarded() -> None:
    evacuations = EvacuationRegister()
    fleet = fleet_of(*agents(1))
    flows = balancer_flows(fleet, evacuations=evacuations)
    host = _open(flows)
    _verdict(flows, fleet, host, Verdict.ACCEPTED)
    evacuations.update(Evacuations(1, frozenset({"a"})))

    sent = _sent(flows.on_segment(segment(1, ack=9), now=0.01))
    assert sent == [(host, Purpose.OWNED)]


def test_a_service_whose_domains_are_all_evacuated_refuses_at_once() -> None:
    """Guards against callers that wait for agents which may accept no flow."""
    evacuations = EvacuationRegister()
    flows = balancer_flows(fleet_of(*agents(3)), evacuations=evacuations)
    evacuations.update(Evacuations(1, frozenset({"a"})))

    assert flows.on_segment(opening(1), now=0.0) == [ResetCaller(flow_of(1), 0)]


def test_a_balancer_with_an_incomplete_fleet_holds_opening_packets() -> None:
    """Guards against refusals by a balancer that has found only evacuated agents."""
    evacuations = EvacuationRegister()
    evacuations.update(Evacuations(1, frozenset({"a"})))
    fleet = fleet_of(*agents(1), is_complete=False)
    flows = balancer_flows(fleet, evacuations=evacuations)

    assert flows.on_segment(opening(1), now=0.0) == []
    fleet.handle_status(
        Status(member("far", host="10.0.1.2", domain="b"), Load()), now=0.1
    )
    sent = _sent(flows.retry_held(now=0.1))
    assert sent == [("10.0.1.2", Purpose.OPEN)]


def test_a_cold_agent_receives_the_declared_rate_with_each_new_flow() -> None:
    """Guards against an agent without the rate that its cold upstream can accept."""
    rates = {"editor": 7.5}
    table = attrs.evolve(routes(), warm_up_rates_by_service=rates)
    cold = member("cold", host="10.0.1.1", weight=625)
    flows = balancer_flows(fleet_of(cold), table=table)

    first, second = flows.on_segment(opening(1), now=0.0)

    assert isinstance(first, ToPeer)
    assert isinstance(second, ToPeer)
    assert decode_peer_message(first.datagram) == WarmUpRate(7.5)
    assert isinstance(decode_peer_message(second.datagram), Forward)
    warm = balancer_flows(fleet_of(*agents(1)), table=table)
    assert len(warm.on_segment(opening(1), now=0.0)) == 1


def test_a_lookup_of_an_upload_sends_the_others_to_the_owner_alone() -> None:
    """Guards against a link that is filled with copies of an upload.

    Two agents were attempted: all 16 packets went to both, 65 ms of a link of 5 Mbit/s.
    Flows of other kinds are looked up with all packets. Also guards against a window of
    16 packets of which the owner gets 15 because the acknowledgement of the handshake
    or a changed copy took the place of one.
    """
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet, table=_upload_routes())
    first = _open(flows)
    flows.tick(now=RETRY_AFTER_SECONDS)
    for host in ("10.0.1.1", "10.0.1.2"):
        _verdict(flows, fleet, host, Verdict.ACCEPTED, now=0.05)
    packets = [segment(1, ack=9)]
    packets += [segment(1, seq=1200 * i, ack=9, length=1200) for i in range(16)]
    copy = segment(1, seq=1200 * 3, ack=10, length=1200)

    arrivals = [*packets[:5], copy, *packets[5:]]
    probes = [a for packet in arrivals for a in flows.on_segment(packet, now=0.06)]
    again = flows.on_segment(copy, now=0.07)
    denied = _verdict(flows, fleet, first, Verdict.NOT_MINE, now=0.07)
    (owner,) = {"10.0.1.1", "10.0.1.2"} - {first}
    held = _verdict(flows, fleet, owner, Verdict.MINE, now=0.07)
    after = flows.on_segment(packets[3], now=0.08)

    assert sorted(_sent(probes)) == [
        (host, Purpose.LOOKUP) for host in ("10.0.1.1", "10.0.1.2") for _ in range(2)
    ]
    assert _packets(probes) == [p.datagram for p in packets[:2] for _ in range(2)]
    assert again == denied == []
    assert _sent(held) == [(owner, Purpose.OWNED)] * 15
    assert _packets(held) == [packet.datagram for packet in packets[2:]]
    assert _sent(after) == [(owner, Purpose.OWNED)]
    # The probes do not wait behind other uploads; the lookup would query more agents.
    assert _classes(probes) == {TrafficClass.INTERACTIVE}
    assert _classes([*held, *after]) == {TrafficClass.BULK}


def test_an_unsure_agent_gets_a_packet_of_an_upload_that_has_data() -> None:
    """Guards against a lookup that never ends.

    An upstream does not reply to an acknowledgement without data, so that its agent
    cannot tell whether it holds the flow.
    """
    fleet = fleet_of(*agents(1), member("far-1", host="10.0.3.1", domain="b"))
    flows = balancer_flows(fleet, table=_upload_routes())
    data = segment(1, seq=1, ack=9, length=1200)
    for packet in (segment(1, ack=9), data):
        flows.on_segment(packet, now=0.0)
    _verdict(flows, fleet, "10.0.1.1", Verdict.NOT_MINE)
    unsure = _verdict(flows, fleet, "10.0.3.1", Verdict.UNSURE)
    assert _packets(unsure) == [data.datagram]


def test_first_candidates_get_data_of_an_upload_that_began_with_an_ack() -> None:
    """Guards against a restarted balancer and agent that wait for each other.

    The first agents got the acknowledgement of the handshake, which the upstream of an
    unsure agent does not answer. They get the first packet with data as well, once and
    only within the link budget.
    """
    fleet = fleet_of(*agents(2))
    flows = balancer_flows(fleet, table=_upload_routes())
    data = [segment(1, seq=1200 * i, ack=9, length=1200) for i in range(3)]
    probes = flows.on_segment(segment(1, ack=9), now=0.0)
    unsure = _verdict(flows, fleet, "10.0.1.1", Verdict.UNSURE)
    denied = _verdict(flows, fleet, "10.0.1.2", Verdict.NOT_MINE)
    sent = [flows.on_segment(packet, now=0.001) for packet in data]
    owner = _verdict(flows, fleet, "10.0.1.1", Verdict.MINE, now=0.002)

    assert len(probes) == 2
    assert unsure == denied == []
    assert _sent(sent[0]) == [("10.0.1.1", Purpose.LOOKUP)]
    assert _packets(sent[0]) == [data[0].datagram]
    assert sent[1:] == [[], []]
    assert _packets(owner) == [packet.datagram for packet in data[1:]]

    slow = balancer_flows(fleet, table=_upload_routes(), link_bytes_per_second=100.0)
    slow.on_segment(segment(2, ack=9), now=0.0)
    assert slow.on_segment(segment(2, seq=1, ack=9, length=1200), now=0.0) == []


def test_held_packets_outlast_their_lookup(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against packets that vanish without a line in the log.

    The next lookup takes over those of the one before; an abandoned lookup logs how
    many it had. Of more than a window the oldest ones were acknowledged.
    """
    fleet = fleet_of(*agents(1))
    flows = balancer_flows(fleet, table=_upload_routes())
    packets = [segment(1, seq=1200 * i, ack=9, length=1200) for i in range(20)]
    for packet in packets[:19]:
        flows.on_segment(packet, now=0.0)
    flows.on_segment(packets[19], now=10.0)
    owner = _verdict(flows, fleet, "10.0.1.1", Verdict.MINE, now=10.0)
    assert _packets(owner) == [p.datagram for p in packets[-MAX_HELD_PACKETS:]]

    logged: list[object] = []
    monkeypatch.setattr(
        EventLog,
        "decision",
        lambda _, event, **inputs: logged.append((event, inputs.get("held_packets"))),
    )
    slow = balancer_flows(
        fleet_of(*agents(1)), table=_upload_routes(), link_bytes_per_second=100.0
    )
    slow.on_segment(segment(2, ack=9), now=0.0)
    for packet in packets[:3]:
        slow.on_segment(packet, now=0.0)
    while slow.owner_lookup(flow_of(1)) is not None:
        slow.tick(now=slow.next_due())
    assert ("not searched", 3) in logged
