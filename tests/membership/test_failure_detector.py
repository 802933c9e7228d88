"""Tests of when unresponsive members are suspected and expelled."""

from __future__ import annotations

from siskinshift.membership.failure_detector import FailureDetector
from tests.membership.fleet import SETTINGS


def detector_of(*members: str, domain: str = "north/fd-1") -> FailureDetector:
    detector = FailureDetector(SETTINGS)
    for member_id in members:
        detector.watch(member_id, domain=domain, now=0.0)
        detector.mark_seen(member_id, at=0.0)
    return detector


def check_until(
    detector: FailureDetector, until: float
) -> list[tuple[float, str, str]]:
    verdicts = []
    for step in range(round(until * 10) + 1):
        now = step / 10
        found = detector.check(now)
        verdicts += [(now, "suspect", member_id) for member_id in found.suspect]
        verdicts += [(now, "expel", member_id) for member_id in found.expel]
    return verdicts


def test_an_unresponsive_member_is_suspected_and_then_expelled() -> None:
    verdicts = check_until(detector_of("a-1"), 3.0)

    assert [kind for _, kind, _ in verdicts] == ["suspect", "expel"]
    assert verdicts[-1][0] <= SETTINGS.gone_after + 0.1


def test_no_member_is_suspected_before_a_probe_could_be_answered() -> None:
    # At 10 % loss a hundred members a second became suspect and their updates used up
    # the budget: a delayed check found them past the timeout before any probe.
    detector = detector_of("a-1")
    detector.check(0.7)
    detector.check(1.25)

    found = detector.check(1.9)

    assert found.probe == ("a-1",)
    assert found.suspect == ()
    detector.mark_seen("a-1", at=1.91)
    assert detector.check(2.0).suspect == ()


def test_most_of_a_domain_failing_at_once_is_not_expelled_early() -> None:
    verdicts = check_until(detector_of("a-1", "a-2", "a-3", "a-4"), 6.4)

    assert [kind for _, kind, _ in verdicts if kind == "expel"] == []


def test_a_partitioned_domain_is_expelled_after_the_longer_timeout() -> None:
    limit = SETTINGS.gone_after * SETTINGS.doubt_factor

    verdicts = check_until(detector_of("a-1", "a-2", "a-3"), limit + 0.3)

    assert sum(kind == "expel" for _, kind, _ in verdicts) == 3
