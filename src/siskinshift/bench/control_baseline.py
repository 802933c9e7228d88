"""What the plain ways would cost, from the size of their messages measured here."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.bench.control_fleet import make_agents
from siskinshift.bench.control_fleet import make_balancers
from siskinshift.bench.control_fleet import make_service
from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.control.codec import pack
from siskinshift.messages.membership import News


if TYPE_CHECKING:
    from siskinshift.bench.control_costs import MessageCosts
    from siskinshift.bench.control_scenarios import FleetPlan


# The thin version: each process to each of eight seeds, twice a second.
FULL_STATE_SEEDS = 8
FULL_STATE_PER_SECOND = 2.0
# Every node watching: a lease of six seconds kept alive thrice, a watch that is
# opened again every ten seconds.
KEEP_ALIVES_PER_SECOND = 0.5
WATCHES_PER_SECOND = 0.1
CHANGES_PER_DAY = 410 + 3 * 1900
DAY_SECONDS = 86_400


@frozen
class BaselineFigures:
    """Cost of one plain way.

    Attributes:
        balancers: Size of the fleet.
        way: Its name.
        node_kb_per_second: Bytes of one node; of a seed in brackets in the note.
        node_core_percent: Processor of one node.
        kv_calls_per_second: Calls to the key-value service of the whole fleet.
        note: What to know about it.
    """

    balancers: int
    way: str
    node_kb_per_second: float
    node_core_percent: float
    kv_calls_per_second: float
    note: str


def measure_baselines(plan: FleetPlan, costs: MessageCosts) -> list[BaselineFigures]:
    """Works the plain ways out for a fleet.

    Args:
        plan: Size of the fleet.
        costs: Measured cost of one message.

    Returns:
        Figures of each way.
    """
    state = News(
        sender_id="seed",
        members=(
            *make_balancers(plan.balancers),
            *make_agents(plan.agents, plan.services),
        ),
        services=tuple(make_service(number, 1) for number in range(plan.services)),
    )
    started = time.process_time()
    body, _ = pack(encode_message(state))
    encoding = time.process_time() - started
    started = time.process_time()
    decode_message(encode_message(state), News)
    decoding = time.process_time() - started
    return [
        _full_state(plan, len(body), encoding, decoding),
        _everyone_watches(plan, costs),
    ]


def _full_state(
    plan: FleetPlan, state_bytes: int, encoding: float, decoding: float
) -> BaselineFigures:
    per_second = FULL_STATE_SEEDS * FULL_STATE_PER_SECOND
    nodes = plan.balancers + plan.agents
    seed_rate = nodes * FULL_STATE_PER_SECOND
    seed_mb = state_bytes * seed_rate / 1e6
    return BaselineFigures(
        balancers=plan.balancers,
        way="full-state heartbeats to seeds",
        node_kb_per_second=state_bytes * per_second / 1000,
        node_core_percent=decoding * per_second * 100,
        kv_calls_per_second=0.0,
        note=f"state {state_bytes / 1000:.0f} KB packed; a seed would send "
        f"{seed_mb:.0f} MB/s and take {encoding * seed_rate:.0f} cores",
    )


def _everyone_watches(plan: FleetPlan, costs: MessageCosts) -> BaselineFigures:
    nodes = plan.balancers + plan.agents
    calls = nodes * (KEEP_ALIVES_PER_SECOND + WATCHES_PER_SECOND)
    events = CHANGES_PER_DAY / DAY_SECONDS
    node_calls = KEEP_ALIVES_PER_SECOND + WATCHES_PER_SECOND
    node_bytes = node_calls * costs.heartbeat_wire + events * 700
    return BaselineFigures(
        balancers=plan.balancers,
        way="every node watches the KV",
        node_kb_per_second=node_bytes / 1000,
        node_core_percent=node_calls * costs.heartbeat_client / 1e6 * 100,
        kv_calls_per_second=calls,
        note=f"{nodes} open watches; each change is sent {nodes} times by the KV",
    )
