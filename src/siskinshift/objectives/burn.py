"""Computes burn rates of error budgets and evaluates multi-window alerts.

Both a short outage and a low but steady error rate consume a budget. A long window
alone detects an outage late and keeps alerting long after its end; a short window
alone alerts on every brief spike. An alert therefore requires that a long and a short
window both reach its burn rate. The rates are the customary ones: 14.4 consumes 2 % of
a 30-day budget in an hour, 6 consumes 5 % in six hours, 1 consumes the budget exactly
over its period.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from attrs import frozen

from siskinshift.objectives.windows import FIVE_MINUTES
from siskinshift.objectives.windows import HALF_HOUR
from siskinshift.objectives.windows import HOUR
from siskinshift.objectives.windows import SIX_HOURS
from siskinshift.objectives.windows import THREE_DAYS
from siskinshift.objectives.windows import EventCounts
from siskinshift.objectives.windows import Window


class Urgency(StrEnum):
    """Response that a burn rate requires from an operator."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@frozen
class BurnRule:
    """An alert on the burn rates of two windows.

    Attributes:
        long_window: Ensures that a significant part of the budget is consumed.
        short_window: Ensures that the errors are still occurring.
        rate: Burn rate that both windows must reach.
        urgency: Urgency of the alert.
    """

    long_window: Window
    short_window: Window
    rate: float
    urgency: Urgency


BURN_RULES = (
    BurnRule(HOUR, FIVE_MINUTES, 14.4, Urgency.PAGE),
    BurnRule(SIX_HOURS, HALF_HOUR, 6.0, Urgency.PAGE),
    BurnRule(THREE_DAYS, SIX_HOURS, 1.0, Urgency.TICKET),
)


@frozen
class BurnResult:
    """Burn rates of one series of an objective.

    Attributes:
        target: Fraction of events that should be good.
        counts_by_window: Counts by window name.
        rates_by_window: Burn rates by window name; 1 consumes the budget exactly over
            its period, 0 consumes none.
        budget_left: Fraction of the budget of the longest window that remains;
            negative when the budget is exceeded.
        urgency: Urgency of the first rule that matches.
    """

    target: float
    counts_by_window: Mapping[str, EventCounts]
    rates_by_window: Mapping[str, float]
    budget_left: float
    urgency: Urgency


def burn_rate(counts: EventCounts, *, target: float) -> float:
    """Computes how fast a budget is consumed; 1 consumes it exactly over its period.

    Args:
        counts: Events of a window.
        target: Fraction of events that should be good, below 1.

    Returns:
        The burn rate; 0 when there were no events.
    """
    events = counts.good + counts.bad
    if events == 0:
        return 0.0
    return (counts.bad / events) / (1.0 - target)


def evaluate_burn(
    counts_by_window: Mapping[str, EventCounts], *, target: float
) -> BurnResult:
    """Evaluates the alert rules.

    Args:
        counts_by_window: Counts by window name; a missing window has no events.
        target: Fraction of events that should be good, below 1.

    Returns:
        The result.
    """
    rates = {
        name: burn_rate(counts, target=target)
        for name, counts in counts_by_window.items()
    }
    return BurnResult(
        target=target,
        counts_by_window=counts_by_window,
        rates_by_window=rates,
        budget_left=1.0 - rates.get(THREE_DAYS.name, 0.0),
        urgency=_urgency(rates),
    )


def _urgency(rates_by_window: Mapping[str, float]) -> Urgency:
    for rule in BURN_RULES:
        long_rate = rates_by_window.get(rule.long_window.name, 0.0)
        short_rate = rates_by_window.get(rule.short_window.name, 0.0)
        if min(long_rate, short_rate) >= rule.rate:
            return rule.urgency
    return Urgency.NONE
