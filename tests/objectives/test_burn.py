"""Tests of burn rates."""

from __future__ import annotations

import pytest

from siskinshift.objectives.burn import Urgency
from siskinshift.objectives.burn import burn_rate
from siskinshift.objectives.burn import evaluate_burn
from siskinshift.objectives.windows import EventCounts


TARGET = 0.999
ALL_BAD = EventCounts(0, 100)
ALL_GOOD = EventCounts(100, 0)


def test_the_burn_rate_without_events_is_zero() -> None:
    assert burn_rate(EventCounts(0, 0), target=TARGET) == 0


def test_the_allowed_fraction_of_bad_events_burns_at_rate_one() -> None:
    assert burn_rate(EventCounts(999, 1), target=TARGET) == pytest.approx(1.0)


def test_an_ongoing_outage_triggers_a_page() -> None:
    result = evaluate_burn({"5m": ALL_BAD, "1h": ALL_BAD}, target=TARGET)

    assert result.urgency is Urgency.PAGE


def test_an_ended_outage_does_not_trigger_a_page() -> None:
    result = evaluate_burn({"5m": ALL_GOOD, "1h": ALL_BAD}, target=TARGET)

    assert result.urgency is Urgency.NONE


def test_a_low_steady_error_rate_triggers_a_ticket() -> None:
    low_error_rate = EventCounts(998, 2)
    windows = {
        "5m": ALL_GOOD,
        "1h": ALL_GOOD,
        "6h": low_error_rate,
        "3d": low_error_rate,
    }

    result = evaluate_burn(windows, target=TARGET)

    assert result.urgency is Urgency.TICKET
    assert result.budget_left == pytest.approx(-1.0)
