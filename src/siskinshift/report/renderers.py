"""Renders reports as text, JSON or HTML.

Each renderer registers itself under the name of its output format.
"""

from __future__ import annotations

import html
from collections.abc import Callable
from typing import TypeAlias

import orjson
from attrs import asdict

from siskinshift.objectives.burn import BURN_RULES
from siskinshift.objectives.windows import WINDOWS
from siskinshift.report.burn_report import BurnReport
from siskinshift.report.burn_report import BurnRow
from siskinshift.report.exceptions import ReportArgumentError


Renderer: TypeAlias = Callable[[BurnReport], str]

PLOT_WIDTH = 640
BAR_HEIGHT = 14
LABEL_WIDTH = 240
# Higher burn rates are cut off in the plot. The highest alert threshold is 14.4.
MAX_PLOTTED_RATE = 20.0
PAGING_RATE = max(rule.rate for rule in BURN_RULES)

_renderers_by_name: dict[str, Renderer] = {}


def register_renderer(name: str) -> Callable[[Renderer], Renderer]:
    """Registers the decorated function as a renderer.

    Args:
        name: Name of the output format.

    Returns:
        The decorator.
    """

    def register(renderer: Renderer) -> Renderer:
        _renderers_by_name[name] = renderer
        return renderer

    return register


def render_report(report: BurnReport, output: str) -> str:
    """Renders a report.

    Args:
        report: The report.
        output: Name of the output format.

    Returns:
        The rendered report.

    Raises:
        ReportArgumentError: No renderer has that name.
    """
    renderer = _renderers_by_name.get(output)
    if renderer is None:
        allowed = ", ".join(sorted(_renderers_by_name))
        raise ReportArgumentError(f"output {output!r}: allowed: {allowed}")
    return renderer(report)


@register_renderer("json")
def _render_json(report: BurnReport) -> str:
    return orjson.dumps(asdict(report), option=orjson.OPT_INDENT_2).decode()


@register_renderer("text")
def _render_text(report: BurnReport) -> str:
    window_names = [window.name for window in WINDOWS]
    header = f"{'service':14} {'group':12} {'objective':18} {'target':>8}"
    window_header = " ".join(f"{name:>7}" for name in window_names)
    lines = [f"{header} {window_header} {'budget':>8} urgency"]
    lines += [_text_row(row, window_names) for row in report.rows]
    lines += ["", f"{'service':14} {'imbalance limit':>15} {window_header} urgency"]
    for imbalance in report.imbalance:
        ratios = " ".join(f"{imbalance.ratios_by_window[n]:7.2f}" for n in window_names)
        prefix = f"{imbalance.service_id:14} {imbalance.limit:15.2f}"
        lines.append(f"{prefix} {ratios} {imbalance.urgency.value}")
    lines += [f"no answer from {endpoint}" for endpoint in report.silent]
    return "\n".join(lines)


def _text_row(row: BurnRow, window_names: list[str]) -> str:
    rates_by_name = {figures.window: figures.burn_rate for figures in row.windows}
    rates = " ".join(f"{rates_by_name.get(name, 0.0):7.2f}" for name in window_names)
    header = f"{row.service_id:14} {row.group_id or '-':12} {row.objective:18}"
    budget = f"{row.budget_left:8.1%}"
    return f"{header} {row.target:8.4%} {rates} {budget} {row.urgency.value}"


@register_renderer("html")
def _render_html(report: BurnReport) -> str:
    rows = "".join(_html_row(row) for row in report.rows)
    imbalance = "".join(
        f"<tr><td>{html.escape(row.service_id)}</td><td>{row.limit:.2f}</td>"
        + "".join(
            f"<td>{row.ratios_by_window[window.name]:.2f}</td>" for window in WINDOWS
        )
        + f'<td class="{row.urgency.value}">{row.urgency.value}</td></tr>'
        for row in report.imbalance
    )
    silent = "".join(f"<li>{html.escape(endpoint)}</li>" for endpoint in report.silent)
    window_headers = "".join(f"<th>{window.name}</th>" for window in WINDOWS)
    return (
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        "<title>Service-level burn</title><style>"
        "body{font:15px sans-serif;margin:2em;color:#222}"
        "table{border-collapse:collapse;margin-bottom:2em}"
        "td,th{border:1px solid #ccc;padding:4px 8px;text-align:right}"
        "td:first-child,th:first-child{text-align:left}"
        ".page{background:#f6b4b4}.ticket{background:#fbe3a6}"
        "</style></head><body><h1>Service-level burn</h1>"
        "<p>Burn rate 1 uses the error budget as fast as it is earned.</p>"
        f"{_plot(report.rows)}"
        "<table><tr><th>service</th><th>group</th><th>objective</th><th>target</th>"
        f"{window_headers}<th>budget left</th><th>urgency</th></tr>{rows}</table>"
        "<h2>Imbalance</h2><p>Work of the busiest upstream slot over the mean.</p>"
        f"<table><tr><th>service</th><th>limit</th>{window_headers}<th>urgency</th></tr>"
        f"{imbalance}</table>"
        f"<h2>Processes without an answer</h2><ul>{silent or '<li>none</li>'}</ul>"
        "</body></html>"
    )


def _html_row(row: BurnRow) -> str:
    rates_by_name = {figures.window: figures.burn_rate for figures in row.windows}
    cells = [html.escape(row.service_id), html.escape(row.group_id or "-")]
    cells += [row.objective, f"{row.target:.4%}"]
    cells += [f"{rates_by_name.get(window.name, 0.0):.2f}" for window in WINDOWS]
    cells.append(f"{row.budget_left:.1%}")
    row_cells = "".join(f"<td>{cell}</td>" for cell in cells)
    urgency = row.urgency.value
    return f'<tr>{row_cells}<td class="{urgency}">{urgency}</td></tr>'


def _plot(rows: tuple[BurnRow, ...]) -> str:
    elements: list[str] = []
    y = 20
    scale = (PLOT_WIDTH - LABEL_WIDTH) / MAX_PLOTTED_RATE
    for row in rows:
        label = html.escape(f"{row.service_id} {row.group_id} {row.objective}")
        elements.append(f'<text x="0" y="{y + 11}" font-size="12">{label}</text>')
        for figures in row.windows:
            width = min(figures.burn_rate, MAX_PLOTTED_RATE) * scale
            color = "#c0392b" if figures.burn_rate >= PAGING_RATE else "#2d7dd2"
            elements.append(
                f'<rect x="{LABEL_WIDTH}" y="{y}" width="{width:.1f}" '
                f'height="{BAR_HEIGHT - 3}" fill="{color}"/>'
                f'<text x="{LABEL_WIDTH + width + 4:.1f}" y="{y + 10}" '
                f'font-size="10">{figures.window}: {figures.burn_rate:.2f}</text>'
            )
            y += BAR_HEIGHT
        y += 6
    paging_x = LABEL_WIDTH + PAGING_RATE * scale
    paging_line = (
        f'<line x1="{paging_x}" y1="0" x2="{paging_x}" y2="{y}" stroke="#c0392b" '
        f'stroke-dasharray="4"/><text x="{paging_x + 4}" y="12" font-size="11">'
        f"{PAGING_RATE}</text>"
    )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT_WIDTH + 120}" '
        f'height="{y}">{paging_line}{"".join(elements)}</svg>'
    )
