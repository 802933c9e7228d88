"""Outcomes for callers in load scenarios; model time, fixed seeds, real gates."""

from __future__ import annotations

from functools import cache

import pytest

from siskinshift.bench.load_figures import PINNED
from siskinshift.bench.load_figures import PRODUCT
from siskinshift.bench.load_figures import ScenarioRun
from siskinshift.bench.load_figures import percentile
from siskinshift.bench.load_figures import simulate
from siskinshift.bench.load_scenarios import SCENARIOS_BY_NAME
from siskinshift.bench.load_scenarios import SERVICES
from siskinshift.messages.core import OutcomeKind
from tests.load.builders import default_settings


EDITOR = SERVICES[0]


@cache
def run_scenario(name: str, strategy: str = PRODUCT) -> ScenarioRun:
    scenario = SCENARIOS_BY_NAME[name]()
    return simulate(scenario, EDITOR, strategy, settings=default_settings(), seed=3)


@pytest.mark.parametrize("name", SCENARIOS_BY_NAME)
def test_every_caller_gets_one_correct_outcome(name: str) -> None:
    run = run_scenario(name)

    assert run.figures.not_run_that_ran == 0
    assert run.figures.doubles == 0
    assert run.figures.wrong_answers == 0


@pytest.mark.parametrize("name", ["burst", "flood", "saturation", "heavy caller"])
def test_a_refused_caller_gets_an_early_response_with_a_retry_hint(name: str) -> None:
    refused = [
        r for r in run_scenario(name).requests if r.outcome is OutcomeKind.NOT_RUN
    ]

    assert refused
    assert min(r.retry_after for r in refused) > 0
    # Refused at admission, not after the queue time limit.
    assert percentile([r.latency for r in refused], 0.5) < 0.01
    assert max(r.latency for r in refused) <= EDITOR.queue_time_limit + 0.1


def test_after_a_burst_of_ten_times_the_load_latency_recovers() -> None:
    run = run_scenario("burst")
    later = [r for r in run.requests if r.arrived_at > 14.0]

    assert all(r.is_good for r in later)
    assert percentile([r.latency for r in later], 0.99) < 0.5


def test_one_caller_with_most_of_the_load_does_not_degrade_the_others() -> None:
    requests = [r for r in run_scenario("heavy caller").requests if r.arrived_at > 2.0]
    others = [r for r in requests if not r.caller.endswith(".0")]

    answered = sum(r.is_good for r in others) / len(others)
    assert answered > 0.97


def test_a_group_within_its_share_keeps_its_latency_while_another_floods() -> None:
    flooded = run_scenario("flood").figures.groups["north"]
    alone = run_scenario("flood: alone").figures.groups["north"]

    assert flooded.answered == flooded.requests
    assert flooded.p99 <= 1.3 * alone.p99


def test_a_slow_upstream_does_not_slow_its_callers_for_long() -> None:
    requests = run_scenario("slow upstream").requests
    # Detection takes two seconds; then its flows' requests run at its peers.
    pinned = [r for r in requests if r.owner == 0 and 12.0 < r.arrived_at < 25.0]

    assert sum(r.is_good for r in pinned) / len(pinned) > 0.98
    assert percentile([r.latency for r in pinned], 0.9) < 0.3


def test_a_wrong_load_report_loses_no_response() -> None:
    run = run_scenario("lying report")

    assert sum(not r.is_good for r in run.requests) / len(run.requests) < 0.01


def test_short_requests_are_served_among_long_ones() -> None:
    requests = run_scenario("long among short").requests
    short = [r for r in requests if r.service_time < 0.2]

    assert sum(r.is_good for r in short) / len(short) > 0.98
    assert percentile([r.latency for r in short], 0.5) < 0.1


def test_at_saturation_slots_are_busy_and_shares_hold() -> None:
    figures = run_scenario("saturation").figures

    assert figures.goodput >= 0.95
    for group in figures.groups.values():
        assert abs(group.share_ratio - 1) <= 0.03


def test_a_restarted_upstream_ramps_up_without_failures() -> None:
    run = run_scenario("cold start")
    cold = [r for r in run.requests if 10.0 < r.arrived_at < 20.0]

    assert sum(not r.is_good for r in cold) / len(cold) < 0.01
    assert run.figures.imbalance < 1.10


def test_unevenly_pinned_flows_use_slots_evenly() -> None:
    assert run_scenario("pinned unevenly").figures.imbalance < 1.10
    assert run_scenario("pinned unevenly", PINNED).figures.imbalance > 1.5
