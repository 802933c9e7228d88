"""Tests of the sums of load and spare capacity by failure domain."""

from __future__ import annotations

import pytest

from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.placement.room import REFRESH_INTERVAL_SECONDS
from siskinshift.connections.placement.room import ServiceLoad
from siskinshift.connections.placement.room import mean_of_better
from tests.connections.builders import fleet_of
from tests.connections.builders import member


def _load(busy: float, *, wait: float = 0.0, flows: int = 0) -> Load:
    report = LoadReport(
        run_seconds=0.02, wait_seconds=wait, busy_fraction=busy, samples=20
    )
    return Load(flows=flows, report=report)


def test_room_counts_slots_weight_and_use() -> None:
    fleet = fleet_of(
        member("wide", host="10.0.1.1", slots=3),
        member("cold", host="10.0.1.2", weight=500),
        member("other", host="10.0.1.3", domain="b"),
        member("unknown", host="10.0.1.4", domain="c"),
    )
    for name, busy in (("wide", 0.5), ("cold", 0.8), ("other", 0.25)):
        fleet.peers_by_id[name].load = _load(busy)
    service = ServiceLoad()

    assert service.refresh(fleet.agents(), now=0.0)

    domains = service.domains_by_name
    assert domains["a"].capacity == pytest.approx(3.5)
    assert domains["a"].room == pytest.approx(1.5)
    assert domains["b"].room == pytest.approx(0.75)
    assert service.known_domain("c") is None


def test_sums_are_refreshed_at_intervals() -> None:
    """Guards against work for all agents with each of thousands of new flows."""
    fleet = fleet_of(member("agent"))
    fleet.peers_by_id["agent"].load = _load(0.5)
    service = ServiceLoad()

    assert service.refresh(fleet.agents(), now=0.0)
    assert not service.refresh(fleet.agents(), now=REFRESH_INTERVAL_SECONDS / 2)
    assert service.refresh(fleet.agents(), now=REFRESH_INTERVAL_SECONDS)
    assert service.refresh([], now=2 * REFRESH_INTERVAL_SECONDS)
    assert service.domains_by_name == {}


def test_a_domain_counts_only_if_most_of_its_agents_report() -> None:
    """Guards against a domain whose room is judged by the one agent that reports."""
    fleet = fleet_of(*(member(f"m-{i}", host=f"10.0.1.{i}") for i in range(3)))
    service = ServiceLoad()
    fleet.peers_by_id["m-0"].load = _load(0.0)
    service.refresh(fleet.agents(), now=0.0)
    assert service.known_domain("a") is None

    fleet.peers_by_id["m-1"].load = _load(0.0)
    service.refresh(fleet.agents(), now=1.0)
    assert service.known_domain("a") is not None
    service.refresh(fleet.agents(), now=30.0)
    assert service.known_domain("a") is None


def test_new_long_lived_flows_count_before_the_utilization_shows_them() -> None:
    fleet = fleet_of(member("agent"))
    agent = fleet.peers_by_id["agent"]
    service = ServiceLoad()
    agent.load = _load(0.2, flows=10)
    service.refresh(fleet.agents(), now=0.0)
    before = service.domains_by_name["a"].busy
    agent.load = _load(0.2, flows=30)
    service.refresh(fleet.agents(), now=0.2)

    assert service.domains_by_name["a"].busy > before + 0.1


def test_one_hanging_upstream_does_not_make_its_domain_slow() -> None:
    assert mean_of_better([0.02] * 9 + [10.0]) == pytest.approx(0.12, abs=0.01)
    assert mean_of_better([1.0, 2.0]) == pytest.approx(1.25)
