"""The control benchmark: `make bench-control`."""

from __future__ import annotations

import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import orjson
from attrs import asdict

from siskinshift.bench.control_baseline import measure_baselines
from siskinshift.bench.control_costs import MessageCosts
from siskinshift.bench.control_costs import measure_messages
from siskinshift.bench.control_costs import measure_process
from siskinshift.bench.control_scenarios import ControlScenarios
from siskinshift.bench.control_scenarios import FleetPlan
from siskinshift.bench.control_scenarios import ScenarioFigures
from siskinshift.settings.loader import SettingsLoader


PLANS = (
    FleetPlan(balancers=810, agents=5800, services=1200, seed=11, repeats=3),
    FleetPlan(balancers=200, agents=5800, services=1200, seed=12, repeats=3),
    FleetPlan(balancers=20, agents=5800, services=1200, seed=13, repeats=3),
)
SETTINGS_TEXT = (
    "[node]\nnode_id = bench\ncontrol_endpoint = 127.0.0.1:0\n"
    "data_endpoint = 127.0.0.1:0\n[keys]\ncurrent = a-key-of-sixteen-or-more\n"
)


def play_plan(plan: FleetPlan, costs: MessageCosts) -> list[ScenarioFigures]:
    """Plays all scenarios of one fleet; runs in a process of its own.

    Args:
        plan: Size of the fleet.
        costs: Measured cost of one message.

    Returns:
        Figures of each scenario.
    """
    settings = SettingsLoader(source="bench").load(SETTINGS_TEXT)
    scenarios = ControlScenarios(
        plan, settings=settings.membership, kv_settings=settings.kv, costs=costs
    )
    return scenarios.play()


def main() -> None:
    """Runs the benchmark; prints tables, the last line is JSON."""
    started = time.monotonic()
    plans = [plan for plan in PLANS if _is_wanted(plan)]
    costs = measure_messages()
    largest = max(plans, key=lambda plan: plan.balancers)
    processes = [
        measure_process(
            role=role,
            balancers=largest.balancers,
            agents=largest.agents,
            services=largest.services,
        )
        for role in ("agent", "balancer")
    ]
    baselines = [one for plan in plans for one in measure_baselines(plan, costs)]
    with ProcessPoolExecutor(len(plans), mp_context=get_context("spawn")) as executor:
        futures = [executor.submit(play_plan, plan, costs) for plan in plans]
        figures = [one for future in futures for one in future.result()]
    _print_rows("one message, real sockets", [asdict(costs)])
    _print_rows("one process, real sockets", [asdict(one) for one in processes])
    _print_rows("scenarios", [asdict(one) for one in figures])
    _print_rows("plain ways, worked out", [asdict(one) for one in baselines])
    document = {
        "costs": asdict(costs),
        "processes": [asdict(one) for one in processes],
        "scenarios": [asdict(one) for one in figures],
        "baselines": [asdict(one) for one in baselines],
        "seconds": time.monotonic() - started,
    }
    print(orjson.dumps(document).decode(), flush=True)
    # Idle server threads of the measurement need no orderly end.
    os._exit(0)


def _is_wanted(plan: FleetPlan) -> bool:
    wanted = sys.argv[1:]
    return not wanted or str(plan.balancers) in wanted


def _print_rows(title: str, rows: list[dict[str, object]]) -> None:
    print(f"\n{title}")
    texts = [[_text(value) for value in row.values()] for row in rows]
    names = list(rows[0])
    widths = [
        max(len(name), *(len(line[column]) for line in texts))
        for column, name in enumerate(names)
    ]
    for line in (names, *texts):
        print(
            "  ".join(
                text.ljust(width) for text, width in zip(line, widths, strict=True)
            )
        )


def _text(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    main()
