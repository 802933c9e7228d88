"""Benchmarks the data plane; prints tables and, in the last line, JSON.

`python -m siskinshift.bench.dataplane` runs all measurements with fixed seeds.
"""

from __future__ import annotations

import json
import resource
from typing import TYPE_CHECKING
from typing import Any

import attrs

from siskinshift.bench.dataplane_breaks import break_rows
from siskinshift.bench.dataplane_decisions import agent_rows
from siskinshift.bench.dataplane_decisions import balance_rows
from siskinshift.bench.dataplane_decisions import balancer_rows
from siskinshift.bench.dataplane_decisions import codec_rows
from siskinshift.bench.dataplane_decisions import flow_rows
from siskinshift.bench.dataplane_decisions import table_memory
from siskinshift.bench.dataplane_paths import path_rows
from siskinshift.bench.dataplane_paths import socket_memory
from siskinshift.bench.flow_network import MAX_VIEW_DELAY_SECONDS
from siskinshift.core.keyring import KeyRing
from siskinshift.settings.loader import SettingsLoader


if TYPE_CHECKING:
    from collections.abc import Sequence


SETTINGS_TEXT = """
[node]
node_id = bench
control_endpoint = 127.0.0.1:0
data_endpoint = 127.0.0.1:0
[keys]
current = a-key-of-sixteen-or-more
"""
MEMBER_COUNTS = (20, 200, 6000)
FLOW_COUNTS = (1_000, 10_000, 100_000)
AGENT_COUNTS = (3, 4, 7, 70)
BALANCE_SERVICES = 50
PATH_SECONDS = 5.0
# File descriptors for everything except the sockets of flows.
RESERVED_DESCRIPTORS = 500


def main() -> None:
    """Runs all measurements."""
    settings = SettingsLoader(source="bench").load(SETTINGS_TEXT)
    # Views spread slowly and unevenly in the simulation. As in tests/flows/walk.py,
    # settle_delay must exceed the longest propagation delay of a view.
    slow_view_settings = attrs.evolve(
        settings.flows, settle_delay=MAX_VIEW_DELAY_SECONDS + 0.5, held_timeout=8.0
    )
    max_sockets = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_DESCRIPTORS
    socket_counts = tuple(count for count in FLOW_COUNTS if count <= max_sockets)
    agent_costs, agent_memory = agent_rows(settings.flows, FLOW_COUNTS)
    rows_by_title: dict[str, Sequence[Any]] = {
        "paths": path_rows(PATH_SECONDS),
        "costs": [
            *codec_rows(KeyRing(settings.keys)),
            *balancer_rows(MEMBER_COUNTS),
            *flow_rows(FLOW_COUNTS),
            *agent_costs,
        ],
        "memory": [
            *agent_memory,
            *socket_memory(socket_counts),
            table_memory(MEMBER_COUNTS[-1]),
        ],
        "balance": balance_rows(AGENT_COUNTS, BALANCE_SERVICES),
        "breaks": [
            *break_rows(slow_view_settings, agents=7, flows_per_agent=200),
            *break_rows(slow_view_settings, agents=70, flows_per_agent=100),
        ],
    }
    for title, rows in rows_by_title.items():
        _print_table(title, rows)
    print(
        json.dumps({k: [attrs.asdict(r) for r in v] for k, v in rows_by_title.items()})
    )


def _print_table(title: str, rows: Sequence[Any]) -> None:
    names = [field.name for field in attrs.fields(type(rows[0]))]
    cells = [names] + [
        [_format_cell(getattr(row, name)) for name in names] for row in rows
    ]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    print(f"\n{title}")
    for line in cells:
        padded = (text.ljust(width) for text, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def _format_cell(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    main()
