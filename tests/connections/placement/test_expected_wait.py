"""Tests of the estimated time until a new request is finished at an agent."""

from __future__ import annotations

import attrs
import pytest

from siskinshift.connections.fleet import Peer
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.placement.expected_wait import MAX_REPORT_AGE_SECONDS
from siskinshift.connections.placement.expected_wait import MAX_ROUND_TRIP_FACTOR
from siskinshift.connections.placement.expected_wait import expected_wait
from siskinshift.connections.placement.expected_wait import has_fresh_report
from siskinshift.connections.placement.expected_wait import mean_queue_wait
from siskinshift.connections.placement.expected_wait import path_cost
from siskinshift.connections.placement.expected_wait import run_seconds
from siskinshift.connections.placement.room import DomainLoad
from siskinshift.connections.placement.room import ServiceLoad
from tests.connections.builders import member


REPORT = LoadReport(run_seconds=0.02, wait_seconds=0.1, busy_fraction=0.5, samples=20)
SERVICE = ServiceLoad(typical_run=0.02, slots_per_new_flow=0.05)


def _agent(*, slots: int = 1, weight: int = 1000, report: LoadReport = REPORT) -> Peer:
    known = member("agent", slots=slots, weight=weight)
    load = Load(flows=4, report=report)
    return Peer(known, ("10.0.0.9", 7000), last_seen_at=0.0, load=load)


def test_the_mean_wait_is_that_of_known_queues() -> None:
    """One slot: the wait is the run time x u / (1 - u); three slots queue far less."""
    assert mean_queue_wait(0.02, 1, 0.5) == pytest.approx(0.02)
    assert mean_queue_wait(0.02, 1, 0.9) == pytest.approx(0.18)
    assert mean_queue_wait(0.02, 3, 0.5) < 0.005
    assert mean_queue_wait(0.02, 1, 1.0) == pytest.approx(19 * 0.02)


def test_an_old_report_counts_as_the_mean_wait_of_its_utilization() -> None:
    """Guards against a queue of 100 ms that is over and still keeps flows away."""
    agent = _agent()
    fresh = expected_wait(agent, SERVICE, now=0.0)
    late = expected_wait(agent, SERVICE, now=MAX_REPORT_AGE_SECONDS)

    assert fresh == pytest.approx(0.9 * 0.1 + 0.1 * 0.02 + 0.02)
    assert 0.04 < late < 0.046
    assert has_fresh_report(agent, now=MAX_REPORT_AGE_SECONDS)
    assert not has_fresh_report(agent, now=MAX_REPORT_AGE_SECONDS + 0.1)
    agent.load = Load(flows=4)
    assert not has_fresh_report(agent, now=0.0)


def test_flows_placed_since_the_report_count_by_their_run_time() -> None:
    report = attrs.evolve(REPORT, wait_seconds=0.0)
    agent, wide = _agent(report=report), _agent(report=report, slots=3)
    before = expected_wait(agent, SERVICE, now=0.0)
    wide_before = expected_wait(wide, SERVICE, now=0.0)
    agent.flows_since_load = wide.flows_since_load = 3

    added = expected_wait(agent, SERVICE, now=0.0) - before
    assert 0.06 < added < 0.07
    assert expected_wait(wide, SERVICE, now=0.0) - wide_before < added / 2
    omitted = expected_wait(agent, SERVICE, now=0.0, counts_placed=False)
    assert omitted == pytest.approx(before)


def test_a_flow_counts_by_the_requests_it_brings() -> None:
    """Guards against an agent with many idle flows that looks loaded by their number.

    Its utilization decides, and flows that are too new for it to show add to it.
    """
    report = attrs.evolve(REPORT, wait_seconds=0.0)
    idle = _agent(report=attrs.evolve(report, busy_fraction=0.1))
    idle.load = attrs.evolve(idle.load, flows=200)
    busy = _agent(report=attrs.evolve(report, busy_fraction=0.8))
    seconds = expected_wait(idle, SERVICE, now=1.0)
    assert seconds < expected_wait(busy, SERVICE, now=1.0)

    service = attrs.evolve(SERVICE, mean_flows_by_id={"agent": 190.0})
    assert expected_wait(idle, service, now=1.0) > seconds


def test_a_cold_upstream_takes_longer() -> None:
    warm, cold = _agent(), _agent(weight=500)

    assert expected_wait(cold, SERVICE, now=1.0) > 1.5 * expected_wait(
        warm, SERVICE, now=1.0
    )


def test_the_run_time_is_the_typical_one_without_enough_responses() -> None:
    """Guards against upstreams that fail within 1 ms and would look the fastest."""
    few = attrs.evolve(REPORT, samples=2, run_seconds=0.5)
    failing = attrs.evolve(REPORT, run_seconds=0.001)
    slow = attrs.evolve(REPORT, run_seconds=0.06)

    assert run_seconds(_agent(report=few), 0.02) == 0.02
    assert run_seconds(_agent(report=failing), 0.02) == 0.01
    assert run_seconds(_agent(report=slow), 0.02) == 0.06


def test_the_path_counts_the_round_trip_within_bounds() -> None:
    """Guards against one long round trip that excludes an agent permanently."""
    agent = _agent()
    domains = {"a": DomainLoad(round_trip=0.002)}
    service = attrs.evolve(SERVICE, domains_by_name=domains)

    def seconds(own_domain: str) -> float:
        return path_cost(agent, service, own_domain=own_domain, remote_cost=0.01)

    assert seconds("a") == 0.002
    assert seconds("b") == pytest.approx(0.012)
    agent.record_round_trip(1.4, now=0.0)
    assert seconds("a") == pytest.approx(MAX_ROUND_TRIP_FACTOR * 0.002)
