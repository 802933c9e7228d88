"""Tests of event counts over sliding windows."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from siskinshift.objectives.windows import HOUR_SECONDS
from siskinshift.objectives.windows import MINUTE_SECONDS
from siskinshift.objectives.windows import SIX_HOURS
from siskinshift.objectives.windows import WINDOWS
from siskinshift.objectives.windows import EventCounts
from siskinshift.objectives.windows import WindowedCounts


events = st.lists(
    st.tuples(st.floats(min_value=0, max_value=40_000), st.booleans()), max_size=60
)


@given(gaps_and_results=events)
def test_totals_agree_with_a_list_of_all_events(
    gaps_and_results: list[tuple[float, bool]],
) -> None:
    counts = WindowedCounts()
    history: list[tuple[float, bool]] = []
    now = 0.0
    for gap, is_good in gaps_and_results:
        now += gap
        counts.add(good=is_good, bad=not is_good, now=now)
        history.append((now, is_good))

    for window in WINDOWS:
        is_fine = window.seconds <= SIX_HOURS.seconds
        span = MINUTE_SECONDS if is_fine else HOUR_SECONDS
        first = now // span - round(window.seconds / span) + 1
        inside = [is_good for at, is_good in history if at // span >= first]
        expected = EventCounts(sum(inside), len(inside) - sum(inside))
        assert counts.totals(window, now=now) == expected
