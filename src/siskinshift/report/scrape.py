"""Collects the objectives' counts that processes serve with their metrics."""

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


TIMEOUT_SECONDS = 3.0
PARALLEL_SCRAPES = 16
METRIC_NAME = "siskinshift_objective_events"
NO_EVENTS = EventCounts(0.0, 0.0)

_WINDOW_NAMES = frozenset(window.name for window in WINDOWS)
_KINDS = frozenset(kind.value for kind in ObjectiveKind)


@frozen
class NodeSeries:
    """Counts of one series at one process.

    Attributes:
        node_id: The process.
        key: The series.
        counts_by_window: Counts by window name.
    """

    node_id: str
    key: SeriesKey
    counts_by_window: dict[str, EventCounts]


@frozen
class Scrape:
    """What the processes served.

    Attributes:
        series: All series of all processes that answered.
        silent: Endpoints that did not answer.
    """

    series: tuple[NodeSeries, ...]
    silent: tuple[str, ...]


def scrape_all(endpoints: Sequence[Endpoint]) -> Scrape:
    """Asks all processes at once.

    Args:
        endpoints: Their metrics endpoints.

    Returns:
        What they served, and who kept silent.
    """
    with ThreadPoolExecutor(PARALLEL_SCRAPES, "scrape") as executor:
        texts = list(executor.map(_fetch, endpoints))
    silent = [
        format_endpoint(endpoint)
        for endpoint, text in zip(endpoints, texts, strict=True)
        if text is None
    ]
    series = [one for text in texts if text for one in parse_series(text)]
    return Scrape(tuple(series), tuple(silent))


def parse_series(text: str) -> list[NodeSeries]:
    """Reads the objectives' counts out of a process's metrics.

    Args:
        text: Metrics in the Prometheus text format.

    Returns:
        One series for each node, objective, service and group. Lines of other
        metrics, unknown objectives and windows are passed over, so that versions
        can mix; text in another format gives none.
    """
    counts: dict[tuple[str, SeriesKey], dict[str, EventCounts]] = {}
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
            _add_sample(counts, sample.labels, sample.value)
    return [NodeSeries(node, key, by_name) for (node, key), by_name in counts.items()]


def _add_sample(
    counts: dict[tuple[str, SeriesKey], dict[str, EventCounts]],
    labels: dict[str, str],
    value: float,
) -> None:
    kind = labels.get("objective", "")
    window = labels.get("window", "")
    if kind not in _KINDS or window not in _WINDOW_NAMES:
        return
    key = SeriesKey(
        ObjectiveKind(kind), labels.get("service", ""), labels.get("group", "")
    )
    by_window = counts.setdefault((labels.get("node", ""), key), {})
    is_good = labels.get("result") == "good"
    added = EventCounts(value, 0.0) if is_good else EventCounts(0.0, value)
    by_window[window] = by_window.get(window, NO_EVENTS).plus(added)


def _fetch(endpoint: Endpoint) -> str | None:
    connection = http.client.HTTPConnection(
        endpoint.host, endpoint.port, timeout=TIMEOUT_SECONDS
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
