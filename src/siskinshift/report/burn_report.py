"""Builds the burn-rate report, with rows for each service and group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.objectives.burn import Urgency
from siskinshift.objectives.burn import evaluate_burn
from siskinshift.objectives.recorder import ObjectiveKind
from siskinshift.objectives.recorder import SeriesKey
from siskinshift.objectives.windows import FIVE_MINUTES
from siskinshift.objectives.windows import HOUR
from siskinshift.objectives.windows import WINDOWS
from siskinshift.objectives.windows import EventCounts


if TYPE_CHECKING:
    from siskinshift.report.scrape import NodeSeries
    from siskinshift.report.scrape import Scrape
    from siskinshift.settings.generated import ObjectivesSettings


@frozen
class WindowFigures:
    """Event counts and burn rate of an objective over one window.

    Attributes:
        window: Name of the window.
        good: Number of events that met the objective.
        bad: Number of events that missed it.
        burn_rate: Rate at which the error budget is used. At 1 the budget is used as
            fast as it is earned.
    """

    window: str
    good: float
    bad: float
    burn_rate: float


@frozen
class BurnRow:
    """Burn of one objective of a service or group.

    Attributes:
        objective: Name of the objective.
        service_id: Name of the service.
        group_id: Name of the group; empty if the objective has no group.
        target: Fraction of events that should be good.
        budget_left: Fraction of the longest window's error budget that is left.
        urgency: Urgency of the alert that the burn rates cause.
        windows: Counts and rates for each window, shortest first.
    """

    objective: str
    service_id: str
    group_id: str
    target: float
    budget_left: float
    urgency: Urgency
    windows: tuple[WindowFigures, ...]


@frozen
class ImbalanceRow:
    """Ratio of the busiest upstream slot's work to the mean, for one service.

    Attributes:
        service_id: Name of the service.
        limit: Highest ratio that counts as balanced.
        ratios_by_window: Ratios by window name; 1 is balanced, 0 means no work.
        urgency: A ticket if the ratios of the one-hour and the five-minute window are
            both above the limit.
    """

    service_id: str
    limit: float
    ratios_by_window: dict[str, float]
    urgency: Urgency


@frozen
class BurnReport:
    """Burn-rate report over all processes.

    Attributes:
        rows: Rows of the objectives with an error budget.
        imbalance: Imbalance of each service.
        silent: Metrics endpoints that did not respond. Their events are missing from
            the report.
    """

    rows: tuple[BurnRow, ...]
    imbalance: tuple[ImbalanceRow, ...]
    silent: tuple[str, ...]

    def most_urgent(self) -> Urgency:
        """Returns the highest urgency of all rows.

        Returns:
            The highest urgency.
        """
        urgencies = {row.urgency for row in self.rows}
        urgencies |= {row.urgency for row in self.imbalance}
        urgencies_descending = (Urgency.PAGE, Urgency.TICKET)
        return next(
            (urgency for urgency in urgencies_descending if urgency in urgencies),
            Urgency.NONE,
        )


def build_report(scrape: Scrape, settings: ObjectivesSettings) -> BurnReport:
    """Builds the report from scraped series.

    Args:
        scrape: Series of all processes.
        settings: Targets of the objectives.

    Returns:
        The report.
    """
    targets_by_kind = {
        ObjectiveKind.UNBROKEN_FLOWS: settings.unbroken_flows,
        ObjectiveKind.ANSWERED_IN_TIME: settings.answered_in_time,
    }
    counts_by_key = _sum_over_nodes(scrape.series)
    rows = [
        _burn_row(key, counts, targets_by_kind[key.kind])
        for key, counts in sorted(counts_by_key.items(), key=_row_sort_key)
        if key.kind in targets_by_kind
    ]
    imbalance = _imbalance_rows(scrape.series, settings.imbalance_limit)
    return BurnReport(tuple(rows), imbalance, scrape.unreachable_endpoints)


def _row_sort_key(item: tuple[SeriesKey, object]) -> tuple[str, str, str]:
    key = item[0]
    return (key.service_id, key.kind.value, key.group_id)


def _sum_over_nodes(
    series: tuple[NodeSeries, ...],
) -> dict[SeriesKey, dict[str, EventCounts]]:
    sums: dict[SeriesKey, dict[str, EventCounts]] = {}
    for node_series in series:
        counts_by_window = sums.setdefault(node_series.key, {})
        for window, counts in node_series.counts_by_window.items():
            total = counts_by_window.get(window, EventCounts(0.0, 0.0))
            counts_by_window[window] = total.plus(counts)
    return sums


def _burn_row(
    key: SeriesKey, counts_by_window: dict[str, EventCounts], target: float
) -> BurnRow:
    result = evaluate_burn(counts_by_window, target=target)
    windows = [
        WindowFigures(
            window=window.name,
            good=counts_by_window[window.name].good,
            bad=counts_by_window[window.name].bad,
            burn_rate=result.rates_by_window[window.name],
        )
        for window in WINDOWS
        if window.name in counts_by_window
    ]
    return BurnRow(
        objective=key.kind.value,
        service_id=key.service_id,
        group_id=key.group_id,
        target=target,
        budget_left=result.budget_left,
        urgency=result.urgency,
        windows=tuple(windows),
    )


def _imbalance_rows(
    series: tuple[NodeSeries, ...], limit: float
) -> tuple[ImbalanceRow, ...]:
    series_by_service: dict[str, list[NodeSeries]] = {}
    for node_series in series:
        if node_series.key.kind is ObjectiveKind.SLOT_SECONDS:
            series_by_service.setdefault(node_series.key.service_id, []).append(
                node_series
            )
    return tuple(
        _imbalance_row(service_id, nodes, limit)
        for service_id, nodes in sorted(series_by_service.items())
    )


def _imbalance_row(
    service_id: str, nodes: list[NodeSeries], limit: float
) -> ImbalanceRow:
    ratios = {window.name: _ratio(nodes, window.name) for window in WINDOWS}
    exceeds_limit = min(ratios[HOUR.name], ratios[FIVE_MINUTES.name]) > limit
    return ImbalanceRow(
        service_id=service_id,
        limit=limit,
        ratios_by_window=ratios,
        urgency=Urgency.TICKET if exceeds_limit else Urgency.NONE,
    )


def _ratio(nodes: list[NodeSeries], window: str) -> float:
    slot_seconds = [
        node.counts_by_window.get(window, EventCounts(0.0, 0.0)).good for node in nodes
    ]
    mean = sum(slot_seconds) / len(slot_seconds)
    return max(slot_seconds) / mean if mean > 0 else 0.0
