"""Collects the event counts of objectives from the metrics endpoints of processes."""

from __future__ import annotations

import http.client
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import TYPE_CHECKING

from attrs import frozen
from prometheus_client.parser import text_string_to_metric_families

from siskinshift.core.endpoints import format_endpoint
from siskinshift.objectives.recorder import ObjectiveKind
from siskinshift.objectives.recorder import SeriesKey
from siskinshift.objectives.windows import WINDOWS
from siskinshift.objectives.windows import EventCounts


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.messages.core import Endpoint


REQUEST_TIMEOUT_SECONDS = 3.0
MAX_PARALLEL_SCRAPES = 16
METRIC_NAME = "siskinshift_objective_events"
NO_EVENTS = EventCounts(0.0, 0.0)

_WINDOW_NAMES = frozenset(window.name for window in WINDOWS)
_OBJECTIVE_NAMES = frozenset(kind.value for kind in ObjectiveKind)


@frozen
class NodeSeries:
    """Event counts of one series of one process.

    Attributes:
        node_id: Node id of the process.
        key: Key of the series.
        counts_by_window: Counts by window name.
    """

    node_id: str
    key: SeriesKey
    counts_by_window: dict[str, EventCounts]


@frozen
class Scrape:
    """Result of scraping all processes.

    Attributes:
        series: All series of the processes that responded.
        unreachable_endpoints: Endpoints that did not respond.
    """

    series: tuple[NodeSeries, ...]
    unreachable_endpoints: tuple[str, ...]


def scrape_all(endpoints: Sequence[Endpoint]) -> Scrape:
    """Scrapes all processes in parallel.

    Args:
        endpoints: Metrics endpoints of the processes.

    Returns:
        Their series, and the endpoints that did not respond.
    """
    with ThreadPoolExecutor(MAX_PARALLEL_SCRAPES, "scrape") as executor:
        texts = list(executor.map(_fetch, endpoints))
    unreachable_endpoints = [
        format_endpoint(endpoint)
        for endpoint, text in zip(endpoints, texts, strict=True)
        if text is None
    ]
    series = [node for text in texts if text for node in parse_series(text)]
    return Scrape(tuple(series), tuple(unreachable_endpoints))


def parse_series(text: str) -> list[NodeSeries]:
    """Parses the event counts of objectives from a process's metrics.

    Args:
        text: Metrics in the Prometheus text format.

    Returns:
        One series for each node, objective, service and group. Other metrics, unknown
        objectives and unknown windows are ignored, so that processes of different
        versions can be scraped together. Text in another format gives an empty list.
    """
    counts_by_key: dict[tuple[str, SeriesKey], dict[str, EventCounts]] = {}
    try:
        families = [
            family
            for family in text_string_to_metric_families(text)
            if family.name == METRIC_NAME
        ]
    except (ValueError, IndexError, KeyError):
        return []
    for family in families:
        for sample in family.samples:
            _add_sample(counts_by_key, sample.labels, sample.value)
    return [
        NodeSeries(node, key, counts_by_window)
        for (node, key), counts_by_window in counts_by_key.items()
    ]


def _add_sample(
    counts_by_key: dict[tuple[str, SeriesKey], dict[str, EventCounts]],
    labels: dict[str, str],
    value: float,
) -> None:
    kind = labels.get("objective", "")
    window = labels.get("window", "")
    if kind not in _OBJECTIVE_NAMES or window not in _WINDOW_NAMES:
        return
    key = SeriesKey(
        ObjectiveKind(kind), labels.get("service", ""), labels.get("group", "")
    )
    counts_by_window = counts_by_key.setdefault((labels.get("node", ""), key), {})
    is_good = labels.get("result") == "good"
    added = EventCounts(value, 0.0) if is_good else EventCounts(0.0, value)
    counts_by_window[window] = counts_by_window.get(window, NO_EVENTS).plus(added)


def _fetch(endpoint: Endpoint) -> str | None:
    connection = http.client.HTTPConnection(
        endpoint.host, endpoint.port, timeout=REQUEST_TIMEOUT_SECONDS
    )
    try:
        connection.request("GET", "/metrics")
        response = connection.getresponse()
        if response.status != HTTPStatus.OK:
            return None
        return response.read().decode(errors="replace")
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
