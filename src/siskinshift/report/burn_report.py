"""The report on service-level burn: rows for each service and group."""

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
    """An objective over one window.

    Attributes:
        window: Name of the window.
        good: Events that meet the objective.
        bad: Events that miss it.
        burn_rate: 1 uses the budget as it is earned.
    """

    window: str
    good: float
    bad: float
    burn_rate: float


@frozen
class BurnRow:
    """One objective of one service, and group where it has one.

    Attributes:
        objective: Name of the objective.
        service_id: The service.
        group_id: The group, or empty.
        target: Part of events that should be good.
        budget_left: Part of the longest window's budget that is left.
        urgency: What the burn rates ask for.
        windows: Figures for each window, shortest first.
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
    """Work of the busiest upstream slot over the mean, for one service.

    Attributes:
        service_id: The service.
        limit: Ratio that still counts as balanced.
        ratios_by_window: Ratio by window name; 1 is even, 0 means no work.
        urgency: A ticket when both the hour and the last minutes are over the limit.
    """

    service_id: str
    limit: float
    ratios_by_window: dict[str, float]
    urgency: Urgency


@frozen
class BurnReport:
    """All rows.

    Attributes:
        rows: Objectives with a budget.
        imbalance: Imbalance of each service.
        silent: Metrics endpoints that did not answer; their events are missing.
    """

    rows: tuple[BurnRow, ...]
    imbalance: tuple[ImbalanceRow, ...]
    silent: tuple[str, ...]

    def worst(self) -> Urgency:
        """Finds the most urgent row.

        Returns:
            Its urgency.
        """
        urgencies = {row.urgency for row in self.rows}
        urgencies |= {row.urgency for row in self.imbalance}
        order = (Urgency.PAGE, Urgency.TICKET)
        return next((one for one in order if one in urgencies), Urgency.NONE)


def build_report(scrape: Scrape, settings: ObjectivesSettings) -> BurnReport:
    """Evaluates what the processes served.

    Args:
        scrape: Their series.
        settings: The objectives.

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
        for key, counts in sorted(counts_by_key.items(), key=_row_order)
        if key.kind in targets_by_kind
    ]
    imbalance = _imbalance_rows(scrape.series, settings.imbalance_limit)
    return BurnReport(tuple(rows), imbalance, scrape.silent)


def _row_order(item: tuple[SeriesKey, object]) -> tuple[str, str, str]:
    key = item[0]
    return (key.service_id, key.kind.value, key.group_id)


def _sum_over_nodes(
    series: tuple[NodeSeries, ...],
) -> dict[SeriesKey, dict[str, EventCounts]]:
    sums: dict[SeriesKey, dict[str, EventCounts]] = {}
    for one in series:
        by_window = sums.setdefault(one.key, {})
        for window, counts in one.counts_by_window.items():
            known = by_window.get(window, EventCounts(0.0, 0.0))
            by_window[window] = known.plus(counts)
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
    for one in series:
        if one.key.kind is ObjectiveKind.SLOT_SECONDS:
            series_by_service.setdefault(one.key.service_id, []).append(one)
    return tuple(
        _imbalance_row(service_id, nodes, limit)
        for service_id, nodes in sorted(series_by_service.items())
    )


def _imbalance_row(
    service_id: str, nodes: list[NodeSeries], limit: float
) -> ImbalanceRow:
    ratios = {window.name: _ratio(nodes, window.name) for window in WINDOWS}
    still_over = min(ratios[HOUR.name], ratios[FIVE_MINUTES.name]) > limit
    return ImbalanceRow(
        service_id=service_id,
        limit=limit,
        ratios_by_window=ratios,
        urgency=Urgency.TICKET if still_over else Urgency.NONE,
    )


def _ratio(nodes: list[NodeSeries], window: str) -> float:
    work = [
        node.counts_by_window.get(window, EventCounts(0.0, 0.0)).good for node in nodes
    ]
    mean = sum(work) / len(work)
    return max(work) / mean if mean > 0 else 0.0
