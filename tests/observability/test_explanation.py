"""Tests of the explanation of a flow's outcome."""

from __future__ import annotations

import orjson
import pytest

from siskinshift.observability.explanation import explain
from siskinshift.observability.explanation import parse_lines
from siskinshift.observability.explanation import render


FLOW = "100.64.0.7:40001>198.18.0.1:443"


def _line(at: float, process: str, event: str, **fields: object) -> str:
    stamp = {"t": at, "at": at, "process": process, "event": event}
    return orjson.dumps(stamp | fields).decode()


@pytest.mark.parametrize(
    ("event", "reason", "expected_text"),
    [
        ("reset", "no route", "has no route"),
        ("reset", "no upstream holds the flow", "its upstream is gone"),
        ("not tried again", "retry budget", "too loaded to ask another"),
        ("not searched", "link budget", "searches had used up their link"),
        ("reset", "no agent takes it", "refused under load"),
        ("reset", "all agents are full", "could answer before the deadline"),
        ("refused", "overloaded", "waited too long"),
        ("refused", "connection limit", "max-conns"),
        ("refused", "unavailable", "its agent ends"),
    ],
)
def test_the_last_decision_gives_the_cause(
    event: str, reason: str, expected_text: str
) -> None:
    lines = parse_lines(
        [
            _line(1.0, "balancer-1", "open", flow=FLOW, agent="agent-1"),
            _line(1.1, "agent-1", event, flow=FLOW, reason=reason),
        ]
    )

    assert expected_text in explain(lines, "100.64.0.7:40001").cause


def test_lines_of_all_processes_are_ordered_with_their_context() -> None:
    """A caller waits for a restarted agent, whose own lines show the restart."""
    texts = [
        _line(2.0, "agent-1", "started", role="agent"),
        "garbage",
        "  12.3 agent-1 " + _line(0.9, "agent-1", "leaving"),
        _line(1.5, "balancer-1", "open", flow=FLOW, agent="agent-1", attempt=1),
        _line(1.54, "balancer-1", "open", flow=FLOW, agent="agent-2", attempt=2),
        _line(1.2, "agent-9", "started"),
        _line(90.0, "agent-1", "stopped"),
    ]

    explanation = explain(parse_lines(texts), FLOW)

    shown = [(line.process, line.event) for line in explanation.lines]
    assert shown == [
        ("agent-1", "leaving"),
        ("balancer-1", "open"),
        ("balancer-1", "open"),
        ("agent-1", "started"),
    ]
    assert "agent-1" in explanation.cause
    assert "likely cause" in render(explanation)


def test_dropped_lines_are_reported() -> None:
    lines = parse_lines([_line(1.0, "agent-1", "started", dropped_lines=7)])

    explanation = explain(lines, FLOW)

    assert "no line" in explanation.cause
    assert "7 lines" in explanation.missing


def test_a_successful_flow_has_no_refusal_as_cause() -> None:
    lines = parse_lines(
        [
            _line(1.0, "b", "open", flow=FLOW, agent="a"),
            _line(1.1, "b", "opening answered", flow=FLOW, verdict="accepted"),
        ]
    )

    assert "refused nothing" in explain(lines, FLOW).cause


def test_a_request_that_waited_is_distinguished_from_a_refused_one() -> None:
    lines = parse_lines(
        [
            _line(1.0, "b", "open", flow=FLOW, agent="a"),
            _line(9.0, "a", "request started", flow=FLOW, waited=0.175),
            _line(9.1, "a", "peer found", peer="b-2"),
        ]
    )

    explanation = explain(lines, FLOW)

    assert "waited 0.175 s" in explanation.cause
    assert len(explanation.lines) == 2


def test_a_stale_configuration_is_reported_with_the_failure_behind_it() -> None:
    """A flow handled by an outdated configuration has no suspicious lines of its own.

    The cause shows only in that another balancer had a newer version in force, and that
    this one had lost the store and could not fetch the update.
    """
    texts = [
        _line(10.0, "balancer-1", "configuration in force", version=16),
        _line(10.1, "balancer-2", "configuration in force", version=16),
        _line(60.0, "balancer-1", "configuration lost", error="timed out"),
        _line(66.0, "balancer-2", "configuration in force", version=20),
        _line(72.0, "balancer-1", "configuration fetch failed", error="timed out"),
        _line(73.9, "balancer-1", "open", flow=FLOW, agent="agent-1"),
        _line(73.95, "balancer-1", "opening answered", flow=FLOW, verdict="accepted"),
    ]

    cause = explain(parse_lines(texts), FLOW).cause

    assert "handled by version 16" in cause
    assert "20 was in force elsewhere 7.9 s before" in cause
    assert "configuration fetch failed: timed out" in cause
    assert "balancer-1" in cause


def test_a_current_configuration_is_not_reported_as_cause() -> None:
    texts = [
        _line(66.0, "balancer-2", "configuration in force", version=20),
        _line(66.9, "balancer-1", "configuration in force", version=20),
        _line(73.9, "balancer-1", "open", flow=FLOW, agent="agent-1"),
        _line(73.95, "balancer-1", "opening answered", flow=FLOW, verdict="accepted"),
        _line(75.0, "balancer-2", "configuration in force", version=22),
    ]

    assert "version" not in explain(parse_lines(texts), FLOW).cause
