"""Tests of the limits of ejection, with arbitrary reports of the agents."""

from __future__ import annotations

from typing import Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from siskinshift.connections.health.agent_record import BASE_EJECTION_SECONDS
from siskinshift.connections.health.agent_record import GOOD_SERVICE_SECONDS
from siskinshift.connections.health.agent_record import MAX_EJECTION_SECONDS
from siskinshift.connections.health.agent_record import SLOW_START_SECONDS
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.peer_messages import Status
from siskinshift.messages.core import MemberState
from tests.connections.builders import agents
from tests.connections.builders import fleet_of
from tests.connections.health.service_model import new_detector


GOOD = LoadReport(run_seconds=0.02, fast_run_seconds=0.01, samples=64)
BAD_REPORTS = (
    LoadReport(run_seconds=0.3, fast_run_seconds=0.1, samples=64),
    LoadReport(run_seconds=0.001, fast_run_seconds=0.001, samples=64),
    LoadReport(run_seconds=0.02, fast_run_seconds=0.01, samples=64, stalled=9),
    LoadReport(run_seconds=0.02, fast_run_seconds=0.01, failure_fraction=0.5),
)
COUNT = 10
INTERVAL_SECONDS = 0.2


class _Service:
    """A balancer's fleet of ten agents that report at each step."""

    def __init__(self) -> None:
        self.fleet = fleet_of(*agents(COUNT))
        self.detector = new_detector()
        self.now = 0.0
        self.report_by_id = dict.fromkeys(self.fleet.peers_by_id, GOOD)

    def step(self, seconds: float = INTERVAL_SECONDS) -> list[str]:
        """Reports and evaluates until a time has passed; returns the eligible ones."""
        eligible = []
        for _ in range(max(1, round(seconds / INTERVAL_SECONDS))):
            self.now += INTERVAL_SECONDS
            for member_id, report in self.report_by_id.items():
                peer = self.fleet.peers_by_id[member_id]
                # A new object, as from another datagram.
                self.fleet.update_load(peer, Load(report=attrs.evolve(report)))
                self.fleet.record_message(peer, now=self.now)
            everyone = self.fleet.agents_of("editor")
            eligible = self.detector.eligible("editor", everyone, now=self.now)
        return [peer.member.member_id for peer in eligible]


class _Ejections(RuleBasedStateMachine):
    """Agents become bad, good, silent, restarted or removed in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.service = _Service()
        self.eligible: list[str] = sorted(self.service.report_by_id)

    @rule(
        number=strategies.integers(1, COUNT),
        report=strategies.sampled_from((GOOD, LoadReport(), *BAD_REPORTS)),
    )
    def change(self, number: int, report: LoadReport) -> None:
        if f"editor-{number}" in self.service.report_by_id:
            self.service.report_by_id[f"editor-{number}"] = report

    @rule(seconds=strategies.sampled_from((INTERVAL_SECONDS, 1.0, 6.0)))
    def advance(self, seconds: float) -> None:
        self.eligible = self.service.step(seconds)

    @rule(number=strategies.integers(1, COUNT))
    def silence(self, number: int) -> None:
        self.service.report_by_id.pop(f"editor-{number}", None)

    @rule(number=strategies.integers(1, COUNT))
    def restart(self, number: int) -> None:
        name = f"editor-{number}"
        known = self.service.fleet.peers_by_id[name].member
        new = attrs.evolve(known, incarnation=known.incarnation + 1)
        self.service.fleet.handle_status(Status(new, Load()), now=self.service.now)
        self.service.report_by_id[name] = GOOD

    @invariant()
    def an_agent_is_eligible(self) -> None:
        assert self.eligible

    @invariant()
    def at_most_the_allowed_fraction_is_ejected(self) -> None:
        health = self.service.detector._services_by_id.get("editor")
        assert health is None or len(health.ejected) <= int(0.3 * COUNT)

    def teardown(self) -> None:
        """Everything that was ejected comes back once all agents serve well."""
        for name in self.service.fleet.peers_by_id:
            self.service.report_by_id[name] = GOOD
        self.service.step(MAX_EJECTION_SECONDS + SLOW_START_SECONDS + 1.0)
        self.eligible = self.service.step()
        assert len(self.eligible) == COUNT


TestEjections = _Ejections.TestCase
TestEjections.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None
)


def _eject_first(report: LoadReport = BAD_REPORTS[0]) -> _Service:
    service = _Service()
    service.step(1.0)
    service.report_by_id["editor-1"] = report
    assert "editor-1" not in service.step(1.0)
    return service


def test_the_worst_are_ejected_first() -> None:
    """Guards against ejecting mild outliers while the limit keeps the worst in use."""
    service = _Service()
    service.step(1.0)
    for number in range(1, 6):
        report = attrs.evolve(GOOD, failure_fraction=0.1 * number)
        service.report_by_id[f"editor-{number}"] = report
    eligible = set(service.step())
    assert not eligible & {"editor-3", "editor-4", "editor-5"}
    assert {"editor-1", "editor-2"} <= eligible


def test_a_report_of_a_silent_agent_ejects_nobody() -> None:
    """Guards against judging by a report that is older than the agent's silence."""
    service = _Service()
    service.step(1.0)
    service.report_by_id["editor-1"] = attrs.evolve(BAD_REPORTS[2], samples=0)
    # One report: hanging needs two.
    service.step()
    del service.report_by_id["editor-1"]
    assert "editor-1" in service.step(5.0)


def test_few_samples_judge_nobody() -> None:
    """Guards against a comparison of two or three requests."""
    service = _Service()
    service.step(1.0)
    for report in BAD_REPORTS[:2]:
        service.report_by_id["editor-1"] = attrs.evolve(report, samples=7)
        assert "editor-1" in service.step(3.0)


def test_another_incarnation_starts_with_a_clean_record() -> None:
    """Guards against ejecting a restarted agent for its previous process."""
    service = _eject_first()
    known = service.fleet.peers_by_id["editor-1"].member
    new = attrs.evolve(known, incarnation=known.incarnation + 1)
    service.fleet.handle_status(Status(new, Load()), now=service.now)
    service.report_by_id["editor-1"] = GOOD
    assert "editor-1" in service.step()


def test_consecutive_ejections_last_longer_and_good_service_makes_up_for_them() -> None:
    """Guards against returns of an upstream that stays bad, and lasting distrust."""
    service = _eject_first()
    health = service.detector._services_by_id["editor"]
    record = health._records_by_id["editor-1"]
    service.step(6.0)
    assert record.consecutive == 2
    first_seconds = record.ejection_seconds
    service.step(11.0)
    assert record.consecutive == 3
    assert record.ejection_seconds == 2 * first_seconds
    service.report_by_id["editor-1"] = GOOD
    service.step(20.0)
    assert not record.is_ejected
    service.step(100.0)
    assert record.consecutive == 0


def test_an_old_round_trip_neither_prolongs_nor_repeats_an_ejection() -> None:
    """Guards against an agent that stays ejected because no opening reaches it."""
    service = _Service()
    for _ in range(10):
        for peer in service.fleet.agents():
            slow = peer.member.member_id == "editor-1"
            peer.record_round_trip(0.3 if slow else 0.002, now=service.now)
        eligible = service.step()
    assert "editor-1" not in eligible
    assert "editor-1" in service.step(2 * BASE_EJECTION_SECONDS)
    peer = service.fleet.peers_by_id["editor-1"]
    peer.record_round_trip(0.002, now=service.now)
    assert peer.round_trip == 0.002


def test_one_unresponsive_agent_among_agents_without_reports_is_ejected() -> None:
    """Guards against a panic where only openings judge: agents of an older version."""
    fleet, detector = fleet_of(*agents(COUNT)), new_detector()
    silent, *others = everyone = fleet.agents_of("editor")
    silent.unanswered_openings = 9
    for peer in others:
        peer.record_round_trip(0.002, now=0.0)
    assert detector.eligible("editor", everyone, now=0.1) == others


def test_returning_agents_get_all_flows_if_only_they_respond() -> None:
    """Guards against slow start that sends flows to agents which have gone silent."""
    service = _Service()
    service.step(1.0)
    for number in range(1, 4):
        service.report_by_id[f"editor-{number}"] = BAD_REPORTS[3]
    service.step(1.0)
    alive = {f"editor-{number}" for number in range(1, 4)}
    service.report_by_id = dict.fromkeys(alive, GOOD)
    service.step(3.0)
    for _ in range(20):
        # The placement itself prefers responsive agents among those it gets.
        assert alive <= set(service.step())


def test_a_long_fault_of_most_agents_ejects_no_healthy_one() -> None:
    """Guards against a usual run time that adapts to the fault of most upstreams."""
    service = _Service()
    service.step(1.0)
    for number in range(1, 7):
        service.report_by_id[f"editor-{number}"] = BAD_REPORTS[1]
    assert len(service.step(300.0)) == COUNT


def test_evaluations_of_all_services_share_one_budget() -> None:
    """Guards against processor time that grows with the fleet or its services."""
    fleet, detector = fleet_of(*agents(50), *agents(100, service="map")), new_detector()
    evaluations: set[tuple[str, float]] = set()
    for step in range(1000):
        for service_id in ("editor", "map"):
            everyone = fleet.agents_of(service_id)
            detector.eligible(service_id, everyone, now=step / 100)
            health = detector._services_by_id[service_id]
            evaluations.add((service_id, health.evaluated_at))
    judged = sum(50 if service_id == "editor" else 100 for service_id, _ in evaluations)
    # Each agent takes 8 to 14 us; ten seconds at half a percent are 50 ms.
    assert judged * 14e-6 < 0.05
    assert {service_id for service_id, _ in evaluations} == {"editor", "map"}


def test_good_service_counts_only_in_use_and_with_responses() -> None:
    """Guards against an ejection that makes up for itself, or an idle agent's time."""
    service = _eject_first()
    record = service.detector._services_by_id["editor"]._records_by_id["editor-1"]
    record.consecutive = 5
    record.eject(now=service.now)
    service.report_by_id["editor-1"] = GOOD
    service.step(59.0)
    assert record.consecutive == 6
    service.report_by_id["editor-1"] = LoadReport()
    service.step(40.0)
    assert not record.is_ejected
    assert record.consecutive == 6
    service.report_by_id["editor-1"] = GOOD
    service.step(GOOD_SERVICE_SECONDS + 1.0)
    assert record.consecutive == 5


def _change_member(service: _Service, **changes: Any) -> None:
    known = service.fleet.peers_by_id["editor-1"].member
    new = attrs.evolve(known, version=known.version + 1, **changes)
    service.fleet.handle_status(Status(new, Load()), now=service.now)


@pytest.mark.parametrize("is_announced", [True, False])
def test_a_replaced_upstream_returns_with_slow_start(*, is_announced: bool) -> None:
    """Guards against the ejection of an upstream for its predecessor's faults."""
    service = _eject_first(BAD_REPORTS[3])
    if is_announced:
        _change_member(service, state=MemberState.DRAINING)
        service.step()
        _change_member(service, state=MemberState.READY)
    else:
        _change_member(service, weight=800)
    service.report_by_id["editor-1"] = GOOD
    service.step()
    health = service.detector._services_by_id["editor"]
    ((record, _),) = health.slow_starting
    assert record.agent.member.member_id == "editor-1"
    assert record.consecutive == 0


def test_a_report_of_the_previous_incarnation_judges_nobody() -> None:
    """Guards against ejecting a restarted agent that only the store has announced."""
    service = _eject_first(BAD_REPORTS[3])
    known = service.fleet.peers_by_id["editor-1"].member
    del service.report_by_id["editor-1"]
    new = attrs.evolve(known, incarnation=known.incarnation + 1)
    # The agent's last report is still fresh.
    service.fleet.apply_registrations([new], now=service.now + 0.1)
    assert "editor-1" in service.step()


def test_an_expired_mild_ejection_gives_way_to_a_severe_fault() -> None:
    """Guards against mild outliers that occupy the limit by being ejected again."""
    service = _Service()
    service.step(1.0)
    for number in range(1, 4):
        report = attrs.evolve(GOOD, failure_fraction=0.2)
        service.report_by_id[f"editor-{number}"] = report
    service.step(1.0)
    for number in range(4, 6):
        report = attrs.evolve(GOOD, failure_fraction=0.9)
        service.report_by_id[f"editor-{number}"] = report
    eligible = service.step(BASE_EJECTION_SECONDS)
    assert not {"editor-4", "editor-5"} & set(eligible)


def test_services_and_gauges_end_with_the_policy() -> None:
    """Guards against gauges of ejections that are no longer in force."""
    service = _eject_first()
    detector = service.detector
    assert "siskinshift_ejected_agents 1" in detector._log.metrics.render()
    detector.retain({"editor"})
    assert detector._services_by_id
    detector.retain(())
    assert not detector._services_by_id
    assert "siskinshift_ejected_agents 0" in detector._log.metrics.render()
