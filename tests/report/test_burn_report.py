"""Tests of the burn-rate report, from scraping metrics over HTTP to rendering."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import OutcomeKind
from siskinshift.objectives.recorder import ObjectiveRecorder
from siskinshift.observability.metrics import Metrics
from siskinshift.report.burn_report import build_report
from siskinshift.report.exceptions import ReportArgumentError
from siskinshift.report.renderers import render_report
from siskinshift.report.scrape import METRIC_NAME
from siskinshift.report.scrape import Scrape
from siskinshift.report.scrape import parse_series
from siskinshift.report.scrape import scrape_all
from siskinshift.runtime.counters import Counters


if TYPE_CHECKING:
    from collections.abc import Iterator

    from syrupy.assertion import SnapshotAssertion

    from siskinshift.settings.generated import Settings


@pytest.fixture
def scrape(settings: Settings) -> Iterator[Scrape]:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        endpoint = Endpoint(*listener.getsockname())
    metrics_settings = attrs.evolve(
        settings.metrics, exporter="prometheus", prometheus_endpoint=endpoint
    )
    recorder = ObjectiveRecorder(settings.objectives)
    for number in range(100):
        outcome = OutcomeKind.UNKNOWN if number == 0 else OutcomeKind.ANSWERED
        recorder.record_request(
            "editor", "treasurers", outcome=outcome, seconds=0.1, now=10.0
        )
    recorder.record_flow("editor", broken=False, now=10.0)
    recorder.record_slot_time("editor", seconds=3.0, now=10.0)
    metrics = Metrics(
        attrs.evolve(settings, metrics=metrics_settings),
        counters=Counters(),
        objectives=recorder,
        clock=lambda: 10.0,
    )
    metrics.start()
    yield scrape_all([endpoint])
    metrics.stop()


def test_the_report_on_a_served_process(
    scrape: Scrape, settings: Settings, snapshot: SnapshotAssertion
) -> None:
    report = build_report(scrape, settings.objectives)

    assert render_report(report, "text") == snapshot
    assert render_report(report, "json") == snapshot
    assert render_report(report, "html") == snapshot


def test_an_unknown_output_is_rejected_with_the_allowed_ones(
    settings: Settings,
) -> None:
    report = build_report(Scrape((), ()), settings.objectives)

    with pytest.raises(ReportArgumentError, match="html, json, text"):
        render_report(report, "pdf")


def test_an_unreachable_process_is_reported() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        endpoint = Endpoint(*listener.getsockname())

        assert scrape_all([endpoint]).unreachable_endpoints == (
            f"127.0.0.1:{endpoint.port}",
        )


@given(text=st.text(max_size=300))
def test_any_text_in_place_of_metrics_gives_a_list(text: str) -> None:
    assert isinstance(parse_series(text), list)


@given(
    lines=st.lists(
        st.sampled_from(
            [
                "# TYPE siskinshift_objective_events gauge",
                'siskinshift_objective_events{objective="x"} 1',
                METRIC_NAME + '{objective="slot_seconds",window="5m"} NaN',
                "siskinshift_objective_events{",
                "siskinshift_objective_events 3",
            ]
        )
    )
)
def test_odd_metrics_give_a_list(lines: list[str]) -> None:
    assert isinstance(parse_series("\n".join(lines)), list)
