"""Tests of the counters, gauges and histograms of a node."""

from __future__ import annotations

from siskinshift.observability.node_metrics import NodeMetrics


def test_decisions_gauges_and_durations_are_rendered() -> None:
    metrics = NodeMetrics()
    metrics.count_decision("reset", "no route")
    metrics.count_decision("reset", "no route")
    metrics.set_gauge("flows", 7)
    for seconds in (0.001, 0.03, 9.0):
        metrics.observe("request_run", seconds)

    text = metrics.render()

    assert 'siskinshift_decisions_total{event="reset",reason="no route"} 2' in text
    assert "siskinshift_flows 7" in text
    assert 'siskinshift_request_run_seconds_bucket{le="0.001"} 1' in text
    assert 'siskinshift_request_run_seconds_bucket{le="0.05"} 2' in text
    assert 'siskinshift_request_run_seconds_bucket{le="+Inf"} 3' in text
    assert "siskinshift_request_run_seconds_count 3" in text
