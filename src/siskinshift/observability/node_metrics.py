"""Counters and histograms of a small node, as text for a scrape.

Names and units follow OpenTelemetry's conventions in their Prometheus form. The SDK
brings far more modules than the rest of such a node, whose restart time and memory
count, so this is the nearest kin: a few dictionaries.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

from attrs import Factory
from attrs import define


# Seconds. The objectives of the routes lie between 0.1 and 1 s, so the bounds are
# dense there; hand-over within a node takes a millisecond.
BOUNDS_SECONDS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0)


@define(eq=False)
class Histogram:
    """Counts of values by bound.

    Attributes:
        counts: Values up to each bound, and those beyond the last.
        total: Sum of all values, seconds.
    """

    counts: list[int] = Factory(lambda: [0] * (len(BOUNDS_SECONDS) + 1))
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Counts a value.

        Args:
            value: Seconds.
        """
        self.counts[bisect_left(BOUNDS_SECONDS, value)] += 1
        self.total += value


class NodeMetrics:
    """All counters and histograms of a node."""

    def __init__(self) -> None:
        """Starts with nothing counted."""
        self._decisions: Counter[tuple[str, str]] = Counter()
        self._histograms_by_name: dict[str, Histogram] = {}
        self._gauges_by_name: dict[str, float] = {}

    def count_decision(self, event: str, reason: str) -> None:
        """Counts a decision.

        Args:
            event: What was decided.
            reason: Why; empty if there is one way only.
        """
        self._decisions[event, reason] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Counts a duration.

        Args:
            name: Name of the histogram, without unit.
            seconds: The duration.
        """
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = self._histograms_by_name[name] = Histogram()
        histogram.observe(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a value that goes up and down.

        Args:
            name: Its name.
            value: The value.
        """
        self._gauges_by_name[name] = value

    def render(self) -> str:
        """Writes all in the text format of a scrape.

        Returns:
            The text.
        """
        lines = ["# TYPE siskinshift_decisions_total counter"]
        for (event, reason), count in sorted(self._decisions.items()):
            labels = f'event="{event}",reason="{reason}"'
            lines.append(f"siskinshift_decisions_total{{{labels}}} {count}")
        for name, value in sorted(self._gauges_by_name.items()):
            lines.append(f"# TYPE siskinshift_{name} gauge")
            lines.append(f"siskinshift_{name} {value:g}")
        for name, histogram in sorted(self._histograms_by_name.items()):
            lines += _render_histogram(f"siskinshift_{name}_seconds", histogram)
        return "\n".join(lines) + "\n"


def _render_histogram(name: str, histogram: Histogram) -> list[str]:
    lines = [f"# TYPE {name} histogram"]
    running = 0
    bounds = [*(f"{bound:g}" for bound in BOUNDS_SECONDS), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        running += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {running}')
    lines.append(f"{name}_sum {histogram.total:g}")
    lines.append(f"{name}_count {running}")
    return lines
