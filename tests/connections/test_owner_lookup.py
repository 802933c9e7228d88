"""Tests of the order in which agents are queried for a flow's owner."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from siskinshift.connections.owner_lookup import HOME_AGENTS_PER_FLOW
from siskinshift.connections.owner_lookup import REPLY_WINDOW_SECONDS
from siskinshift.connections.owner_lookup import OwnerLookup
from siskinshift.connections.owner_lookup import home_agents
from tests.connections.builders import agent_placement
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import member


if TYPE_CHECKING:
    from siskinshift.connections.fleet import Fleet
    from siskinshift.connections.fleet import Peer


def _large_fleet(*, without: frozenset[str] = frozenset()) -> Fleet:
    """45 agents of the editor and 11 of dossiers in three failure domains."""
    members = [
        member(
            f"{service}-{number}",
            host=f"10.{index}.0.{number}",
            service=service,
            domain="abc"[number % 3],
        )
        for index, (service, count) in enumerate((("editor", 45), ("dossiers", 11)))
        for number in range(count)
    ]
    return fleet_of(*(m for m in members if m.member_id not in without))


def _batches(fleet: Fleet, flow: bytes, *, domain: str = "a") -> list[list[Peer]]:
    lookup = OwnerLookup(flow, ("editor",), [b"packet"])
    batches = []
    while agents := lookup.next_batch(fleet, failure_domain=domain, now=0.0):
        batches.append(agents)
    return batches


def test_all_agents_are_queried_once_and_the_likely_ones_first() -> None:
    batches = _batches(_large_fleet(), flow_of(1))

    queried = [agent.member.member_id for batch in batches for agent in batch]
    assert len(queried) == len(set(queried)) == 56
    assert len(batches[0]) == HOME_AGENTS_PER_FLOW
    assert all(agent.member.failure_domain == "a" for agent in batches[0])
    assert {agent.member.upstream_class for agent in batches[-1]} == {"dossiers"}


def test_few_packets_find_nearly_all_owners_after_a_restart() -> None:
    """A restarted balancer looks up the owners of 700 flows.

    The flows were placed while two agents were down, so some owners are not among the
    agents that the hash selects now.
    """
    before = _large_fleet(without=frozenset({"editor-3", "editor-30"}))
    after = _large_fleet()
    packets = 0
    for port in range(700):
        domain = "abc"[port % 3]
        placement = agent_placement(domain=domain, seed=port)
        flow = flow_of(port)
        owner = placement.choose(
            before.agents_of("editor"), flow, attempted=(), now=0.0
        )
        assert owner is not None
        owner.flows_since_load += 1
        for batch in _batches(after, flow, domain=domain):
            packets += len(batch)
            if owner.member.member_id in {agent.member.member_id for agent in batch}:
                break

    assert packets / 700 < 1.5 * HOME_AGENTS_PER_FLOW


def test_home_agents_are_spread_evenly_and_move_little() -> None:
    agents = _large_fleet().agents_of("editor")
    fewer = agents[1:]
    counts: Counter[str] = Counter()
    moved = 0
    for port in range(3000):
        flow = flow_of(port)
        home = {agent.member.member_id for agent in home_agents(agents, flow)}
        counts.update(home)
        home_without = {agent.member.member_id for agent in home_agents(fewer, flow)}
        gone = agents[0].member.member_id
        moved += len((home - {gone}) - home_without)

    assert max(counts.values()) < 1.3 * 3000 * HOME_AGENTS_PER_FLOW / 45
    assert moved == 0


def test_unresponsive_agents_are_not_awaited() -> None:
    fleet = fleet_of(member("editor-1"), now=0.0)
    lookup = OwnerLookup(flow_of(1), ("editor",), [b"packet"])
    lookup.next_batch(fleet, failure_domain="a", now=0.0)

    assert lookup.awaited_agents(fleet, now=REPLY_WINDOW_SECONDS)
    assert not lookup.awaited_agents(fleet, now=60.0)
