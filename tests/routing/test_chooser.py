"""Tests of the agent selection for packets."""

from __future__ import annotations

import attrs
import pytest

from siskinshift.bench.flow_network import make_agent
from siskinshift.bench.flow_network import make_service
from siskinshift.core.errors import ErrorKind
from siskinshift.core.packets import Packet
from siskinshift.core.views import View
from siskinshift.core.views import make_view
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import ServiceMode
from siskinshift.routing.chooser import AgentChooser
from siskinshift.routing.chooser import DropPacket
from siskinshift.routing.chooser import SendTo


EDITOR = make_service("editor", 1)
DOSSIERS = make_service("dossiers", 2)


def _view(version: int, *agents: Member) -> View:
    return make_view(version=version, services=(EDITOR, DOSSIERS), members=agents)


def _agents(name: str, count: int) -> list[Member]:
    return [
        make_agent(f"{name}-{number}", upstream_class=name, incarnation=1)
        for number in range(count)
    ]


def _packet(port: int, address: Endpoint = EDITOR.addresses[0]) -> Packet:
    return Packet(Endpoint("127.0.2.1", port), address, b"")


def test_balancers_with_the_same_view_agree_regardless_of_earlier_views() -> None:
    agents = _agents("editor", 4)
    late, early = AgentChooser(), AgentChooser()
    early.update(_view(1, *agents[:2]))
    early.choose(_packet(1))
    for chooser in (late, early):
        chooser.update(_view(2, *agents))

    for port in range(200):
        assert late.choose(_packet(port)) == early.choose(_packet(port))


def test_agents_of_another_class_are_never_chosen() -> None:
    chooser = AgentChooser()
    chooser.update(_view(1, *_agents("editor", 3), *_agents("dossiers", 3)))

    for port in range(200):
        choice = chooser.choose(_packet(port, DOSSIERS.addresses[0]))
        assert isinstance(choice, SendTo)
        assert choice.agent.upstream_class == "dossiers"


def test_a_draining_agent_gets_no_bucket() -> None:
    first, second = _agents("editor", 2)
    chooser = AgentChooser()
    chooser.update(_view(1, first, second))
    chooser.choose(_packet(1))
    draining = attrs.evolve(first, state=MemberState.DRAINING, version=2)
    chooser.update(_view(2, draining, second))

    for port in range(50):
        assert chooser.choose(_packet(port)) == SendTo(second)


def test_unknown_addresses_and_empty_services_are_distinguished() -> None:
    chooser = AgentChooser()
    before_any_view = chooser.choose(_packet(1))
    chooser.update(_view(1))

    assert before_any_view == DropPacket(ErrorKind.NO_MEMBER)
    assert chooser.choose(_packet(1)) == DropPacket(ErrorKind.NO_MEMBER)
    unknown = chooser.choose(_packet(1, Endpoint("127.0.9.9", 1)))
    assert unknown == DropPacket(ErrorKind.UNKNOWN_ADDRESS)


@pytest.mark.parametrize(
    ("mode", "is_routed"), [(ServiceMode.REQUEST, True), (ServiceMode.DATAGRAM, False)]
)
def test_callers_of_an_evacuated_service_reach_an_agent_that_can_refuse_them(
    mode: ServiceMode, is_routed: bool
) -> None:
    """Guards against 30 s without a response when every domain is evacuated.

    Balancers dropped the caller's first packet, and only an agent can respond to it. A
    datagram service has no refusal, so its upstream must not get the packet.
    """
    agents = _agents("editor", 2)
    service = attrs.evolve(EDITOR, mode=mode, evacuated=("fd-1",))
    chooser = AgentChooser()
    chooser.update(make_view(version=1, services=(service,), members=agents))

    choices = [chooser.choose(_packet(port)) for port in range(50)]

    assert all(isinstance(choice, SendTo) for choice in choices) is is_routed


def test_an_evacuated_agent_is_not_chosen_beside_an_eligible_one() -> None:
    evacuated, remaining = _agents("editor", 2)
    remaining = attrs.evolve(remaining, failure_domain="fd-2")
    service = attrs.evolve(EDITOR, mode=ServiceMode.REQUEST, evacuated=("fd-1",))
    chooser = AgentChooser()
    chooser.update(
        make_view(version=1, services=(service,), members=(evacuated, remaining))
    )

    for port in range(50):
        assert chooser.choose(_packet(port)) == SendTo(remaining)
