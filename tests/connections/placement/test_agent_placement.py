"""Tests of the choice of an agent for a new flow."""

from __future__ import annotations

from collections import Counter

import pytest

from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.placement import SUSPECTED_AFTER_UNANSWERED
from siskinshift.connections.placement import AgentPlacement
from siskinshift.connections.placement import cost
from siskinshift.messages.core import MemberState
from tests.connections.builders import UNRESPONSIVE_AFTER_SECONDS
from tests.connections.builders import agent_placement
from tests.connections.builders import agents
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import member


FLOW = flow_of(1)


def _placement(seed: int = 1) -> AgentPlacement:
    return agent_placement(seed=seed)


def test_many_flows_between_two_reports_do_not_herd() -> None:
    """A hundred flows arrive before any agent reports its load again.

    Guards against herding: by reports alone all of them go to the least loaded agent.
    """
    fleet = fleet_of(*agents(10))
    placement = _placement()
    counts: Counter[str] = Counter()
    for port in range(100):
        agent = placement.choose(fleet.agents(), flow_of(port), attempted=(), now=0.0)
        assert agent is not None
        agent.flows_since_load += 1
        counts[agent.member.member_id] += 1

    assert max(counts.values()) <= 13
    assert len(counts) == 10


@pytest.mark.parametrize("seed", range(5))
def test_a_loaded_agent_is_not_chosen(seed: int) -> None:
    fleet = fleet_of(*agents(4))
    fleet.peers_by_id["editor-1"].load = Load(flows=200)
    placement = _placement(seed)
    for _ in range(50):
        agent = placement.choose(fleet.agents(), FLOW, attempted=(), now=0.0)
        assert agent is not None
        assert agent.member.member_id != "editor-1"


def test_a_cold_or_small_upstream_counts_as_more_loaded() -> None:
    fleet = fleet_of(
        member("warm", host="10.0.1.1"),
        member("cold", host="10.0.1.2", weight=625),
        member("wide", host="10.0.1.3", slots=3),
    )
    for peer in fleet.agents():
        peer.load = Load(flows=9)

    costs_by_id = {peer.member.member_id: cost(peer) for peer in fleet.agents()}

    assert costs_by_id["wide"] < costs_by_id["warm"] < costs_by_id["cold"]


def test_the_own_domain_is_preferred_until_it_is_worse_by_a_margin() -> None:
    fleet = fleet_of(
        member("near", host="10.0.1.1", domain="a"),
        member("far", host="10.0.1.2", domain="b"),
    )
    placement = _placement()
    near = fleet.peers_by_id["near"]

    near.load = Load(flows=2)
    assert placement.choose(fleet.agents(), FLOW, attempted=(), now=0.0) is near
    near.load = Load(flows=6)
    chosen = placement.choose(fleet.agents(), FLOW, attempted=(), now=0.0)
    assert chosen is fleet.peers_by_id["far"]


def test_unresponsive_leaving_and_attempted_agents_are_not_chosen() -> None:
    fleet = fleet_of(
        member("leaving", host="10.0.1.1", state=MemberState.DRAINING),
        member("attempted", host="10.0.1.2"),
        member("good", host="10.0.1.3"),
    )
    placement = _placement()

    chosen = placement.choose(fleet.agents(), FLOW, attempted={"attempted"}, now=0.0)
    assert chosen is fleet.peers_by_id["good"]
    later = UNRESPONSIVE_AFTER_SECONDS + 0.1
    fleet.record_message(fleet.peers_by_id["attempted"], now=later)
    chosen = placement.choose(fleet.agents(), FLOW, attempted=(), now=later)
    assert chosen is fleet.peers_by_id["attempted"]
    assert (
        placement.choose(fleet.agents(), FLOW, attempted={"attempted"}, now=later)
        is None
    )


def test_an_agent_that_does_not_reply_is_chosen_last() -> None:
    """An agent fails and its last report looked idle.

    After two unanswered opening packets other agents are preferred; without others it
    is still chosen.
    """
    fleet = fleet_of(*agents(2))
    fleet.peers_by_id["editor-1"].unanswered_openings = SUSPECTED_AFTER_UNANSWERED
    fleet.peers_by_id["editor-2"].load = Load(flows=50)
    placement = _placement()

    chosen = placement.choose(fleet.agents(), FLOW, attempted=(), now=0.0)
    assert chosen is fleet.peers_by_id["editor-2"]
    last = placement.choose(fleet.agents(), FLOW, attempted={"editor-2"}, now=0.0)
    assert last is fleet.peers_by_id["editor-1"]


def test_unresponsive_agents_are_chosen_when_none_is_responsive() -> None:
    """A balancer's link is saturated, so that all heartbeats are lost.

    All agents look unresponsive although they are healthy. Refusing each caller would
    lose requests while upstreams are idle; an attempt costs one packet.
    """
    fleet = fleet_of(*agents(3))
    later = UNRESPONSIVE_AFTER_SECONDS + 0.1

    assert (
        _placement().choose(fleet.agents(), FLOW, attempted=(), now=later) is not None
    )


def test_agents_of_evacuated_domains_get_no_new_flow() -> None:
    """Guards against flows to an evacuated domain, whose idle agents look unloaded."""
    evacuations = EvacuationRegister()
    fleet = fleet_of(
        member("near", host="10.0.1.1", domain="a"),
        member("far", host="10.0.1.2", domain="b"),
    )
    fleet.peers_by_id["far"].load = Load(flows=500)
    placement = agent_placement(evacuations=evacuations)

    def chosen() -> str:
        agent = placement.choose(fleet.agents(), FLOW, attempted=(), now=0.0)
        return agent.member.member_id if agent else ""

    assert chosen() == "near"
    evacuations.update(Evacuations(1, frozenset({"a"})))
    assert chosen() == "far"
    evacuations.update(Evacuations(2, frozenset({"a", "b"})))
    assert chosen() == ""
    evacuations.update(Evacuations(3, frozenset({"b"})))
    assert chosen() == "near"
