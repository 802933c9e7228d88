"""Tests of the choice of an agent under load."""

from __future__ import annotations

from collections import Counter

import pytest

from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.placement import DOUBTED_AFTER
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

    Who looks at reports alone sends all of them to the one that reported least.
    """
    fleet = fleet_of(*agents(10))
    placement = _placement()
    counts: Counter[str] = Counter()
    for port in range(100):
        agent = placement.choose(fleet.agents(), flow_of(port), tried=(), now=0.0)
        assert agent is not None
        agent.flows_since_load += 1
        counts[agent.member.member_id] += 1

    assert max(counts.values()) <= 13
    assert len(counts) == 10


@pytest.mark.parametrize("seed", range(5))
def test_a_loaded_agent_gets_little(seed: int) -> None:
    fleet = fleet_of(*agents(4))
    fleet.peers_by_id["editor-1"].load = Load(flows=200)
    placement = _placement(seed)
    for _ in range(50):
        agent = placement.choose(fleet.agents(), FLOW, tried=(), now=0.0)
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

    by_id = {peer.member.member_id: cost(peer) for peer in fleet.agents()}

    assert by_id["wide"] < by_id["warm"] < by_id["cold"]


def test_the_own_domain_comes_first_until_it_is_worse_by_a_margin() -> None:
    fleet = fleet_of(
        member("near", host="10.0.1.1", domain="a"),
        member("far", host="10.0.1.2", domain="b"),
    )
    placement = _placement()
    near = fleet.peers_by_id["near"]

    near.load = Load(flows=2)
    assert placement.choose(fleet.agents(), FLOW, tried=(), now=0.0) is near
    near.load = Load(flows=6)
    chosen = placement.choose(fleet.agents(), FLOW, tried=(), now=0.0)
    assert chosen is fleet.peers_by_id["far"]


def test_silent_leaving_and_tried_agents_are_passed_over() -> None:
    fleet = fleet_of(
        member("leaving", host="10.0.1.1", state=MemberState.DRAINING),
        member("tried", host="10.0.1.2"),
        member("good", host="10.0.1.3"),
    )
    placement = _placement()

    chosen = placement.choose(fleet.agents(), FLOW, tried={"tried"}, now=0.0)
    assert chosen is fleet.peers_by_id["good"]
    later = UNRESPONSIVE_AFTER_SECONDS + 0.1
    fleet.record_message(fleet.peers_by_id["tried"], now=later)
    chosen = placement.choose(fleet.agents(), FLOW, tried=(), now=later)
    assert chosen is fleet.peers_by_id["tried"]
    assert placement.choose(fleet.agents(), FLOW, tried={"tried"}, now=later) is None


def test_an_agent_that_does_not_answer_comes_last_but_not_never() -> None:
    """An agent dies and its last report looked idle.

    After two opening packets without an answer others come first; if nobody else is
    left it is asked all the same.
    """
    fleet = fleet_of(*agents(2))
    fleet.peers_by_id["editor-1"].unanswered_openings = DOUBTED_AFTER
    fleet.peers_by_id["editor-2"].load = Load(flows=50)
    placement = _placement()

    chosen = placement.choose(fleet.agents(), FLOW, tried=(), now=0.0)
    assert chosen is fleet.peers_by_id["editor-2"]
    left = placement.choose(fleet.agents(), FLOW, tried={"editor-2"}, now=0.0)
    assert left is fleet.peers_by_id["editor-1"]


def test_agents_are_tried_all_the_same_when_none_is_heard() -> None:
    """A balancer's link is full of callers' packets, so no heartbeat gets through.

    All agents look silent at once, which is hardly their fault. Refusing each caller
    would lose requests beside free upstreams; an attempt costs a packet.
    """
    fleet = fleet_of(*agents(3))
    later = UNRESPONSIVE_AFTER_SECONDS + 0.1

    assert _placement().choose(fleet.agents(), FLOW, tried=(), now=later) is not None


def test_agents_of_evacuated_domains_get_no_new_flow() -> None:
    """Guards against flows to a domain whose idle agents look the least loaded."""
    evacuations = EvacuationRegister()
    fleet = fleet_of(
        member("near", host="10.0.1.1", domain="a"),
        member("far", host="10.0.1.2", domain="b"),
    )
    fleet.peers_by_id["far"].load = Load(flows=500)
    placement = agent_placement(evacuations=evacuations)

    def chosen() -> str:
        agent = placement.choose(fleet.agents(), FLOW, tried=(), now=0.0)
        return agent.member.member_id if agent else ""

    assert chosen() == "near"
    evacuations.update(Evacuations(1, frozenset({"a"})))
    assert chosen() == "far"
    evacuations.update(Evacuations(2, frozenset({"a", "b"})))
    assert chosen() == ""
    evacuations.update(Evacuations(3, frozenset({"b"})))
    assert chosen() == "near"
