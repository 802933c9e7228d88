"""Tests of whom a balancer asks for a flow's owner, and in which order."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from siskinshift.connections.owner_search import HOME_AGENTS
from siskinshift.connections.owner_search import MOMENT_SECONDS
from siskinshift.connections.owner_search import OwnerSearch
from siskinshift.connections.owner_search import home_agents
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


def _waves(fleet: Fleet, flow: bytes, *, domain: str = "a") -> list[list[Peer]]:
    search = OwnerSearch(flow, ("editor",), [b"packet"])
    waves = []
    while agents := search.next_wave(fleet, failure_domain=domain, now=0.0):
        waves.append(agents)
    return waves


def test_everybody_is_asked_once_and_the_likely_ones_first() -> None:
    waves = _waves(_large_fleet(), flow_of(1))

    asked = [agent.member.member_id for wave in waves for agent in wave]
    assert len(asked) == len(set(asked)) == 56
    assert len(waves[0]) == HOME_AGENTS
    assert all(agent.member.failure_domain == "a" for agent in waves[0])
    assert {agent.member.upstream_class for agent in waves[-1]} == {"dossiers"}


def test_the_load_of_a_restart_four_packets_find_nearly_all_owners() -> None:
    """The load that this module answers: a balancer that knows none of 700 flows.

    They were placed while two agents were away that are back now, so some owners are
    not among the agents that the hash names today.
    """
    before = _large_fleet(without=frozenset({"editor-3", "editor-30"}))
    after = _large_fleet()
    packets = 0
    for port in range(700):
        domain = "abc"[port % 3]
        placement = agent_placement(domain=domain, seed=port)
        flow = flow_of(port)
        owner = placement.choose(before.agents_of("editor"), flow, tried=(), now=0.0)
        assert owner is not None
        owner.flows_since_load += 1
        for wave in _waves(after, flow, domain=domain):
            packets += len(wave)
            if owner.member.member_id in {agent.member.member_id for agent in wave}:
                break

    assert packets / 700 < 1.5 * HOME_AGENTS


def test_home_agents_are_spread_evenly_and_move_little() -> None:
    everybody = _large_fleet().agents_of("editor")
    fewer = everybody[1:]
    counts: Counter[str] = Counter()
    moved = 0
    for port in range(3000):
        flow = flow_of(port)
        home = {agent.member.member_id for agent in home_agents(everybody, flow)}
        counts.update(home)
        now = {agent.member.member_id for agent in home_agents(fewer, flow)}
        gone = everybody[0].member.member_id
        moved += len((home - {gone}) - now)

    assert max(counts.values()) < 1.3 * 3000 * HOME_AGENTS / 45
    assert moved == 0


def test_agents_that_fell_silent_are_not_waited_for() -> None:
    fleet = fleet_of(member("editor-1"), now=0.0)
    search = OwnerSearch(flow_of(1), ("editor",), [b"packet"])
    search.next_wave(fleet, failure_domain="a", now=0.0)

    assert search.waits_for(fleet, now=MOMENT_SECONDS)
    assert not search.waits_for(fleet, now=60.0)
