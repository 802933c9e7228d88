"""Collects counters, gauges and histograms and renders them in Prometheus text format.

Names and units follow the OpenTelemetry conventions in their Prometheus form. The
OpenTelemetry SDK is not used here: it loads far more modules than the rest of a node,
whose restart time and memory use matter.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

from attrs import Factory
from attrs import define


# The latency objectives of the routes lie between 0.1 and 1 s, so the buckets are
# narrow there. A handover within a node takes a millisecond.
BUCKET_BOUNDS_SECONDS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0)


@define(eq=False)
class Histogram:
    """Histogram of durations.

    Attributes:
        counts: Number of values in each bucket; the last one has no upper bound.
        total: Sum of all values, in seconds.
    """

    counts: list[int] = Factory(lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1))
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Adds a value.

        Args:
            value: Duration in seconds.
        """
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, value)] += 1
        self.total += value


class NodeMetrics:
    """Counters, gauges and histograms of a node."""

    def __init__(self) -> None:
        """Initializes the metrics without any values."""
        self._decisions: Counter[tuple[str, str]] = Counter()
        self._histograms_by_name: dict[str, Histogram] = {}
        self._gauges_by_name: dict[str, float] = {}

    def count_decision(self, event: str, reason: str) -> None:
        """Counts a decision.

        Args:
            event: The decision.
            reason: Reason of the decision; empty if the event has only one.
        """
        self._decisions[event, reason] += 1

    def observe(self, name: str, seconds: float) -> None:
        """Adds a duration to a histogram.

        Args:
            name: Name of the histogram, without unit.
            seconds: Duration in seconds.
        """
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = self._histograms_by_name[name] = Histogram()
        histogram.observe(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge.

        Args:
            name: Name of the gauge.
            value: Current value.
        """
        self._gauges_by_name[name] = value

    def render(self) -> str:
        """Renders all metrics in the Prometheus text format.

        Returns:
            Body of the response to a scrape.
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
    cumulative_count = 0
    bounds = [*(f"{bound:g}" for bound in BUCKET_BOUNDS_SECONDS), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative_count += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative_count}')
    lines.append(f"{name}_sum {histogram.total:g}")
    lines.append(f"{name}_count {cumulative_count}")
    return lines
