"""Benchmarks decisions under load; run by `make bench-load`.

Simulates every scenario for the services of both deployments, with the production gates
and with three baselines in the same run and with the same arrivals. Prints a table and
the goals; writes JSON and one SVG for each service.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

import orjson
from attrs import asdict
from attrs import frozen

from siskinshift.bench.load_figures import PINNED
from siskinshift.bench.load_figures import PRODUCT
from siskinshift.bench.load_figures import STRATEGIES
from siskinshift.bench.load_figures import Figures
from siskinshift.bench.load_figures import simulate
from siskinshift.bench.load_plot import draw
from siskinshift.bench.load_scenarios import SCENARIOS_BY_NAME
from siskinshift.bench.load_scenarios import SERVICES
from siskinshift.settings.loader import SettingsLoader


SEED = 1
SETTINGS_TEXT = """
[node]
node_id = bench
control_endpoint = 127.0.0.1:0
data_endpoint = 127.0.0.1:0
[keys]
current = a-key-of-sixteen-or-more
"""
P99_RATIO_GOAL = 1.3
SHARE_GOAL = 0.03
GOODPUT_GOAL = 0.95
IMBALANCE_GOAL = 1.10
BASELINE_MIN_IMBALANCE = 1.5
DEFAULT_DIRECTORY = "build/bench-load"


@frozen
class Goal:
    """A goal and its result.

    Attributes:
        name: Name of the goal.
        service: Service for which it was measured.
        measured: Measured value.
        is_met: Whether the value meets the goal.
    """

    name: str
    service: str
    measured: float
    is_met: bool


def run_bench() -> list[Figures]:
    """Simulates all scenarios.

    Returns:
        Figures of each service, scenario and strategy.
    """
    settings = SettingsLoader(source="bench").load(SETTINGS_TEXT).load
    return [
        simulate(make_scenario(), size, strategy, settings=settings, seed=SEED).figures
        for size in SERVICES
        for make_scenario in SCENARIOS_BY_NAME.values()
        for strategy in STRATEGIES
    ]


def evaluate_goals(figures: list[Figures]) -> list[Goal]:
    """Evaluates the goals.

    Args:
        figures: All figures.

    Returns:
        The goals of all services with their results.
    """
    figures_by_key = {(f.service, f.scenario, f.way): f for f in figures}
    goals: list[Goal] = []
    for size in SERVICES:
        goals += _evaluate_service_goals(size.name, figures_by_key)
    fault_count = sum(
        f.not_run_that_ran + f.doubles + f.wrong_answers
        for f in figures
        if f.way == PRODUCT
    )
    goals.append(
        Goal(
            "not_run that ran, doubles, wrong answers",
            "all",
            fault_count,
            not fault_count,
        )
    )
    return goals


def _evaluate_service_goals(
    service: str, figures_by_key: dict[tuple[str, str, str], Figures]
) -> list[Goal]:
    flooded = figures_by_key[service, "flood", PRODUCT].groups["north"].p99
    alone = figures_by_key[service, "flood: alone", PRODUCT].groups["north"].p99
    saturated = figures_by_key[service, "saturation", PRODUCT]
    deviation = max(abs(group.share_ratio - 1) for group in saturated.groups.values())
    pinned = figures_by_key[service, "pinned unevenly", PRODUCT].imbalance
    baseline = figures_by_key[service, "pinned unevenly", PINNED].imbalance
    latency_ratio = flooded / alone
    return [
        Goal(
            "p99 while another floods / alone",
            service,
            latency_ratio,
            latency_ratio <= P99_RATIO_GOAL,
        ),
        Goal(
            "share got off share owed",
            service,
            deviation,
            deviation <= SHARE_GOAL,
        ),
        Goal(
            "goodput at 2x load",
            service,
            saturated.goodput,
            saturated.goodput >= GOODPUT_GOAL,
        ),
        Goal("imbalance, pinned flows", service, pinned, pinned < IMBALANCE_GOAL),
        Goal(
            "imbalance of the flow-pinned baseline",
            service,
            baseline,
            baseline > BASELINE_MIN_IMBALANCE,
        ),
    ]


def format_table(figures: list[Figures]) -> str:
    """Formats the figures as a table.

    Args:
        figures: All figures.

    Returns:
        The table, one line for each service, scenario, strategy and group.
    """
    lines = [
        f"{'service':12}{'scenario':18}{'way':17}{'goodput':>8}{'imbal.':>8}"
        f"{'msg/s':>7}  {'group':7}{'asked':>7}{'answ.':>7}{'refus.':>7}{'unkn.':>6}"
        f"{'p50 ms':>8}{'p99 ms':>8}{'p99.9':>8}{'share':>7}"
    ]
    for f in figures:
        prefix = (
            f"{f.service:12}{f.scenario:18}{f.way:17}{f.goodput:8.3f}"
            f"{f.imbalance:8.3f}{f.messages_per_second:7.0f}  "
        )
        for name, group in f.groups.items():
            lines.append(
                f"{prefix}{name:7}{group.requests:7}{group.answered:7}{group.refused:7}"
                f"{group.unknown:6}{group.p50 * 1e3:8.0f}{group.p99 * 1e3:8.0f}"
                f"{group.p999 * 1e3:8.0f}{group.share_ratio:7.3f}"
            )
            prefix = " " * len(prefix)
    return "\n".join(lines)


def main() -> None:
    """Runs the benchmark and writes its results."""
    directory = Path(sys.argv[1] if len(sys.argv) > 1 else DEFAULT_DIRECTORY)
    directory.mkdir(parents=True, exist_ok=True)
    started_at = time.monotonic()
    figures = run_bench()
    goals = evaluate_goals(figures)
    print(format_table(figures))
    for goal in goals:
        verdict = "met" if goal.is_met else "MISSED"
        print(f"{verdict:7}{goal.service:12}{goal.name:42}{goal.measured:8.3f}")
    print(f"{time.monotonic() - started_at:.0f} s")
    for size in SERVICES:
        own = [f for f in figures if f.service == size.name]
        (directory / f"load-{size.name}.svg").write_text(draw(own))
    report = {
        "seed": SEED,
        "goals": [asdict(goal) for goal in goals],
        "figures": [asdict(f) for f in figures],
    }
    text = orjson.dumps(report, option=orjson.OPT_INDENT_2)
    (directory / "load.json").write_bytes(text)
    print(orjson.dumps([asdict(goal) for goal in goals]).decode())


if __name__ == "__main__":
    main()
