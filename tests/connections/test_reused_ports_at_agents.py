"""Tests of an agent whose callers open flows from used ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.owned_flow import RestoredFlow
from siskinshift.connections.owned_flows import LINGER_SECONDS
from siskinshift.connections.peer_codec import decode_peer_message
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import SYN
from tests.connections.builders import BALANCER
from tests.connections.builders import agent_flows
from tests.connections.builders import heartbeat
from tests.connections.builders import opening
from tests.connections.builders import ready_upstream
from tests.connections.builders import segment


if TYPE_CHECKING:
    from siskinshift.connections.agent_flows import AgentFlows
    from siskinshift.connections.segment import Segment


FIRST, SECOND = 0xFFFFFFFF, 0
FIRST_REPLY, SECOND_REPLY = 5_000_000, 900_000_000
EDITOR_TAG = service_tag("editor")


def _forward(
    flows: AgentFlows, packet: Segment, *, now: float, is_opening: bool = False
) -> list[object]:
    purpose = Purpose.OPEN if is_opening else Purpose.OWNED
    forward = Forward(purpose, EDITOR_TAG, packet.datagram)
    return list(flows.on_forward(forward, packet, BALANCER, now=now))


def _open(flows: AgentFlows, seq: int, *, reply: int, now: float) -> None:
    _forward(flows, opening(1, seq=seq), now=now, is_opening=True)
    syn_ack = segment(1, SYN | ACK, seq=reply, ack=seq + 1)
    flows.on_upstream_segment(syn_ack, now=now)


def _use(flows: AgentFlows, *, reply: int, now: float) -> None:
    _forward(flows, segment(1, ack=reply + 1), now=now)
    flows.on_upstream_segment(segment(1, seq=reply + 1, length=10), now=now)


def _close(flows: AgentFlows, *, reply: int, now: float) -> None:
    _forward(flows, segment(1, ACK | FIN, ack=reply + 1), now=now)
    flows.on_upstream_segment(segment(1, ACK | FIN, seq=reply + 1), now=now)


def _verdicts(actions: list[object]) -> list[Verdict]:
    messages = [
        decode_peer_message(action.datagram)
        for action in actions
        if isinstance(action, ToPeer)
    ]
    return [m.verdict for m in messages if isinstance(m, FlowVerdict)]


def _is_delivered(flows: AgentFlows, *, reply: int, now: float) -> bool:
    packet = segment(1, ack=reply + 1, seq=2, length=5)
    return ToUpstream(packet.datagram) in _forward(flows, packet, now=now)


def test_a_port_of_an_idle_flow_opens_no_flow_at_a_leaving_upstream() -> None:
    """Guards against an opening packet that passes as the repeat of an open flow's."""
    upstream = ready_upstream()
    flows = agent_flows(upstream)
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _use(flows, reply=FIRST_REPLY, now=0.1)
    upstream.on_heartbeat(heartbeat(sequence=2, is_leaving=True), now=1.0)

    actions = _forward(flows, opening(1, seq=SECOND), now=2.0, is_opening=True)

    assert _verdicts(actions) == [Verdict.UNAVAILABLE]
    assert len(actions) == 1


def test_a_port_of_an_idle_flow_opens_no_flow_after_an_evacuation() -> None:
    """Guards against an evacuated upstream that gets the opening packet of a port."""
    flows = agent_flows()
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _use(flows, reply=FIRST_REPLY, now=0.1)
    flows.is_evacuated = True

    actions = _forward(flows, opening(1, seq=SECOND), now=2.0, is_opening=True)

    assert _verdicts(actions) == [Verdict.UNAVAILABLE]
    assert len(actions) == 1


def test_a_port_of_a_restored_flow_opens_no_flow_at_a_leaving_upstream() -> None:
    """Guards against a flow of the previous process, whose number is unknown."""
    upstream = ready_upstream()
    flows = agent_flows(upstream)
    flows.restore([RestoredFlow(segment(1, ack=FIRST_REPLY + 1))], now=0.0)
    upstream.on_heartbeat(heartbeat(sequence=2, is_leaving=True), now=1.0)

    actions = _forward(flows, opening(1, seq=SECOND), now=2.0, is_opening=True)

    assert _verdicts(actions) == [Verdict.UNAVAILABLE]


def test_a_port_of_an_open_flow_is_asked_for_admission() -> None:
    """Guards against flows that bypass the limit of connections by a used port."""
    flows = agent_flows()
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _use(flows, reply=FIRST_REPLY, now=0.1)
    flows.policy = ServicePolicy(max_connections=1)

    actions = _forward(flows, opening(1, seq=SECOND), now=2.0, is_opening=True)

    assert _verdicts(actions) == [Verdict.FULL]


def test_a_flow_outlives_the_ended_flow_of_its_port() -> None:
    """Guards against a sweep that removes the new flow with the earlier one."""
    flows = agent_flows()
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _close(flows, reply=FIRST_REPLY, now=0.5)
    _open(flows, SECOND, reply=SECOND_REPLY, now=1.0)
    _use(flows, reply=SECOND_REPLY, now=1.1)

    flows.tick(now=1.0 + LINGER_SECONDS + 2.1)

    assert len(flows) == 1
    assert _is_delivered(flows, reply=SECOND_REPLY, now=6.2)


@pytest.mark.parametrize("is_closed", [True, False])
def test_a_late_copy_of_an_earlier_opening_packet_displaces_nothing(
    is_closed: bool,
) -> None:
    """Guards against a delayed packet that takes the place of the open flow."""
    flows = agent_flows()
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _use(flows, reply=FIRST_REPLY, now=0.1)
    if is_closed:
        _close(flows, reply=FIRST_REPLY, now=0.5)
    _open(flows, SECOND, reply=SECOND_REPLY, now=1.0)
    _use(flows, reply=SECOND_REPLY, now=1.1)

    late = opening(1, seq=FIRST, retransmissions=2)

    assert _forward(flows, late, now=1.5, is_opening=True) == []
    assert _is_delivered(flows, reply=SECOND_REPLY, now=1.6)


def test_the_earlier_flow_continues_if_the_upstream_still_holds_it() -> None:
    """Guards against a foreign opening packet that ends an open flow at its agent."""
    flows = agent_flows()
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _use(flows, reply=FIRST_REPLY, now=0.1)
    _forward(flows, opening(1, seq=SECOND), now=2.0, is_opening=True)
    repeated = segment(1, SYN | ACK, seq=FIRST_REPLY, ack=SECOND + 1)

    assert _is_delivered(flows, reply=FIRST_REPLY, now=2.1)
    flows.on_upstream_segment(repeated, now=2.2)
    assert _is_delivered(flows, reply=FIRST_REPLY, now=2.3)


def test_the_earlier_flow_continues_if_the_upstream_refuses_the_later_one() -> None:
    """Guards against a refusal of an opening packet that ends an open flow."""
    flows = agent_flows()
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _use(flows, reply=FIRST_REPLY, now=0.1)
    _forward(flows, opening(1, seq=SECOND), now=2.0, is_opening=True)

    refused = flows.on_upstream_segment(segment(1, SYN | BOUNCED, seq=SECOND), now=2.1)

    assert _verdicts(list(refused)) == [Verdict.FULL]
    assert _is_delivered(flows, reply=FIRST_REPLY, now=2.2)


def test_a_later_flow_that_the_upstream_accepts_replaces_the_earlier_one() -> None:
    """Guards against packets of the new flow that are judged by the earlier one's."""
    flows = agent_flows()
    _open(flows, FIRST, reply=FIRST_REPLY, now=0.0)
    _use(flows, reply=FIRST_REPLY, now=0.1)

    _open(flows, SECOND, reply=SECOND_REPLY, now=2.0)

    assert _is_delivered(flows, reply=SECOND_REPLY, now=2.1)
    assert not _is_delivered(flows, reply=FIRST_REPLY, now=2.2)
    assert len(flows) == 1
