"""Draws the figures of the load benchmark as one self-contained SVG."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from siskinshift.bench.load_figures import STRATEGIES


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from siskinshift.bench.load_figures import Figures


COLOURS = ("#1b6ca8", "#b8b8b8", "#8a8a8a", "#d98e04")
PANEL_WIDTH = 560
ROW_HEIGHT = 52
BAR_HEIGHT = 10
LABEL_WIDTH = 150
MARGIN = 30
TITLE_HEIGHT = 40


def draw(figures: Sequence[Figures]) -> str:
    """Draws goodput, worst p99 and imbalance of every scenario side by side.

    Args:
        figures: Figures of one service for all scenarios and strategies.

    Returns:
        The SVG document.
    """
    panels: list[tuple[str, Callable[[Figures], float]]] = [
        ("goodput, part of capacity", lambda f: f.goodput),
        ("worst group's p99, seconds", _worst_p99),
        ("imbalance, busiest upstream over mean", lambda f: f.imbalance),
    ]
    scenarios = list(dict.fromkeys(f.scenario for f in figures))
    width = len(panels) * PANEL_WIDTH + 2 * MARGIN
    height = len(scenarios) * ROW_HEIGHT + 2 * TITLE_HEIGHT + MARGIN
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{width}" height="{height}" fill="white"/>',
        _legend(),
    ]
    for number, (title, value_of) in enumerate(panels):
        left = MARGIN + number * PANEL_WIDTH
        parts += _panel(left, title, scenarios, figures, value_of)
    return "\n".join([*parts, "</svg>"]) + "\n"


def _worst_p99(figures: Figures) -> float:
    return max((group.p99 for group in figures.groups.values()), default=0.0)


def _legend() -> str:
    texts = []
    for number, strategy in enumerate(STRATEGIES):
        left = MARGIN + number * 160
        colour = COLOURS[number]
        texts.append(
            f'<rect x="{left}" y="12" width="12" height="12" fill="{colour}"/>'
            f'<text x="{left + 18}" y="22">{escape(strategy)}</text>'
        )
    return "\n".join(texts)


def _panel(
    left: int,
    title: str,
    scenarios: list[str],
    figures: Sequence[Figures],
    value_of: Callable[[Figures], float],
) -> list[str]:
    largest = max(value_of(f) for f in figures) or 1.0
    parts = [
        f'<text x="{left}" y="{TITLE_HEIGHT + 14}" font-weight="bold">{title}</text>'
    ]
    for row, name in enumerate(scenarios):
        top = 2 * TITLE_HEIGHT + row * ROW_HEIGHT - 10
        parts.append(f'<text x="{left}" y="{top + 24}">{escape(name)}</text>')
        parts += [
            _bar(left + LABEL_WIDTH, top, f, value_of(f), largest)
            for f in figures
            if f.scenario == name
        ]
    return parts


def _bar(left: int, top: int, figures: Figures, value: float, largest: float) -> str:
    number = STRATEGIES.index(figures.way)
    max_length = PANEL_WIDTH - LABEL_WIDTH - 2 * MARGIN
    length = max(1.0, max_length * value / largest)
    y = top + number * (BAR_HEIGHT + 1)
    return (
        f'<rect x="{left}" y="{y}" width="{length:.1f}" height="{BAR_HEIGHT}" '
        f'fill="{COLOURS[number]}"/><text x="{left + length + 4:.1f}" '
        f'y="{y + BAR_HEIGHT - 1}" font-size="10">{value:.3g}</text>'
    )
