"""How fast error budgets burn, over several windows at once.

Load pattern: a short outage and a slow leak both use up a budget. A long window
alone tells of an outage too late and goes on long after it has ended; a short
window alone cries at each blip. So an alert needs a long and a short window
over the same burn rate. The rates are the field's customary ones: 14.4 uses up
2 % of a 30-day budget in an hour, 6 uses up 5 % in six hours, 1 uses it up as it
is earned.
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
    """What a burn rate asks of an operator."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@frozen
class BurnRule:
    """An alert over two windows.

    Attributes:
        long_window: Shows that enough budget is used to matter.
        short_window: Shows that it still goes on.
        rate: Burn rate that both have to reach.
        urgency: What the alert asks for.
    """

    long_window: Window
    short_window: Window
    rate: float
    urgency: Urgency


RULES = (
    BurnRule(HOUR, FIVE_MINUTES, 14.4, Urgency.PAGE),
    BurnRule(SIX_HOURS, HALF_HOUR, 6.0, Urgency.PAGE),
    BurnRule(THREE_DAYS, SIX_HOURS, 1.0, Urgency.TICKET),
)


@frozen
class BurnResult:
    """Burn of one objective of one series.

    Attributes:
        target: Part of events that should be good.
        counts_by_window: Counts by the window's name.
        rates_by_window: Burn rates by the window's name; 1 uses the budget as it
            is earned, 0 uses none.
        budget_left: Part of the longest window's budget that is left; negative when
            it is overdrawn.
        urgency: What the rates ask for.
    """

    target: float
    counts_by_window: Mapping[str, EventCounts]
    rates_by_window: Mapping[str, float]
    budget_left: float
    urgency: Urgency


def burn_rate(counts: EventCounts, *, target: float) -> float:
    """Computes how many times faster than earned a budget is used.

    Args:
        counts: Events of a window.
        target: Part of events that should be good, below 1.

    Returns:
        The rate; 0 when there were no events.
    """
    events = counts.good + counts.bad
    if events == 0:
        return 0.0
    return (counts.bad / events) / (1.0 - target)


def evaluate_burn(
    counts_by_window: Mapping[str, EventCounts], *, target: float
) -> BurnResult:
    """Evaluates all rules.

    Args:
        counts_by_window: Counts by window name; a missing window has no events.
        target: Part of events that should be good, below 1.

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
    for rule in RULES:
        long_rate = rates_by_window.get(rule.long_window.name, 0.0)
        short_rate = rates_by_window.get(rule.short_window.name, 0.0)
        if min(long_rate, short_rate) >= rule.rate:
            return rule.urgency
    return Urgency.NONE
