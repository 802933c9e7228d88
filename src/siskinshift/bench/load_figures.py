"""Simulates a load scenario under one strategy and computes its figures."""

from __future__ import annotations

import math
from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinshift.bench.load_agents import FirstInFirstOutAgents
from siskinshift.bench.load_agents import GatedAgents
from siskinshift.bench.load_model import EventLoop
from siskinshift.bench.load_model import SimulatedRequest
from siskinshift.bench.load_scenarios import SHARES_BY_GROUP_ID
from siskinshift.bench.load_scenarios import make_arrivals
from siskinshift.messages.core import OutcomeKind


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from siskinshift.bench.load_agents import Agents
    from siskinshift.bench.load_scenarios import Scenario
    from siskinshift.bench.load_scenarios import ServiceSize
    from siskinshift.settings.generated import LoadSettings


PRODUCT = "siskinshift"
FIFO = "fifo, no limits"
ROUND_ROBIN = "round robin"
PINNED = "flow-pinned"
STRATEGIES = (PRODUCT, FIFO, ROUND_ROBIN, PINNED)
# Responses still arrive during this time after the last request.
DRAIN_SECONDS = 30.0


@frozen
class GroupFigures:
    """Figures of one group.

    Attributes:
        requests: Requests that arrived in the measurement window.
        answered: Number of these with a response before the deadline.
        refused: Number of these that were refused as not run.
        unknown: Number of these that may have run.
        p50: Median latency of the answered requests, seconds.
        p99: 99th percentile of it.
        p999: 99.9th percentile of it.
        share_ratio: Received slot time divided by the entitled slot time; 0 if not
            measured.
    """

    requests: int
    answered: int
    refused: int
    unknown: int
    p50: float
    p99: float
    p999: float
    share_ratio: float


@frozen
class Figures:
    """Figures of one scenario, service and strategy.

    Attributes:
        scenario: Name of the scenario.
        service: Name of the service.
        way: Strategy that served the requests.
        goodput: Slot time of good requests divided by the capacity in the window.
        imbalance: Slot time of the busiest upstream divided by the mean.
        not_run_that_ran: Requests refused as not run that ran; must be 0.
        doubles: Requests that ran more than once; must be 0.
        wrong_answers: Requests without exactly one final outcome; must be 0.
        messages_per_second: Messages between agents, per second and agent.
        groups: Figures by group.
    """

    scenario: str
    service: str
    way: str
    goodput: float
    imbalance: float
    not_run_that_ran: int
    doubles: int
    wrong_answers: int
    messages_per_second: float
    groups: dict[str, GroupFigures]


@define
class ScenarioRun:
    """Result of a simulated scenario.

    Attributes:
        requests: All requests with their outcomes.
        figures: Figures of the requests.
    """

    requests: list[SimulatedRequest]
    figures: Figures


def simulate(
    scenario: Scenario,
    size: ServiceSize,
    strategy: str,
    *,
    settings: LoadSettings,
    seed: int,
) -> ScenarioRun:
    """Simulates a scenario.

    Args:
        scenario: The scenario.
        size: The service.
        strategy: One of STRATEGIES.
        settings: Load settings of the production gates.
        seed: Seed of the random generators.

    Returns:
        The requests and the figures.
    """
    loop = EventLoop()
    agents = _make_agents(loop, scenario, size, strategy, settings=settings, seed=seed)
    requests = make_arrivals(scenario, size, seed=seed)
    for request in requests:
        loop.at(request.arrived_at, partial(agents.submit, request))
    loop.run(until=scenario.duration + DRAIN_SECONDS)
    messages = agents.messages if isinstance(agents, GatedAgents) else 0
    per_second = messages / size.agents / (scenario.duration + DRAIN_SECONDS)
    return ScenarioRun(
        requests, _figures(scenario, size, strategy, requests, per_second=per_second)
    )


def percentile(values: Sequence[float], fraction: float) -> float:
    """Computes a percentile by nearest rank.

    Args:
        values: The values, in any order.
        fraction: The percentile as a fraction, 0 to 1.

    Returns:
        The percentile; 0 without values.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[
        min(len(ordered) - 1, max(0, math.ceil(fraction * len(ordered)) - 1))
    ]


def _make_agents(
    loop: EventLoop,
    scenario: Scenario,
    size: ServiceSize,
    strategy: str,
    *,
    settings: LoadSettings,
    seed: int,
) -> Agents:
    if strategy == PRODUCT:
        return GatedAgents(loop, size, scenario, settings=settings, seed=seed)
    return FirstInFirstOutAgents(
        loop,
        size,
        scenario,
        queue_limit=None if strategy == FIFO else _baseline_queue_limit(size),
        round_robin=strategy == ROUND_ROBIN,
    )


def _baseline_queue_limit(size: ServiceSize) -> int:
    # A full queue takes half of the caller timeout to drain. With a longer queue every
    # response of the baseline would be late, which makes the comparison unfair.
    return max(1, round(size.caller_timeout / 2 / size.service_time * size.slots))


def _figures(
    scenario: Scenario,
    size: ServiceSize,
    strategy: str,
    requests: list[SimulatedRequest],
    *,
    per_second: float,
) -> Figures:
    window = scenario.measured_until - scenario.measured_from
    useful = sum(_slot_time(scenario, r) for r in requests if r.is_good)
    busy_time_by_agent: defaultdict[int, float] = defaultdict(float)
    for request in requests:
        for run in request.runs:
            busy_time_by_agent[run.agent] += _overlap(
                scenario, run.started_at, run.ended_at
            )
    mean = sum(busy_time_by_agent.values()) / size.agents
    not_run = [r for r in requests if r.outcome is OutcomeKind.NOT_RUN]
    return Figures(
        scenario=scenario.name,
        service=size.name,
        way=strategy,
        goodput=useful / (window * size.agents * size.slots),
        imbalance=max(busy_time_by_agent.values()) / mean if mean else 1.0,
        not_run_that_ran=sum(bool(r.runs) for r in not_run),
        doubles=sum(len(r.runs) > 1 for r in requests),
        wrong_answers=sum(r.outcome_count > 1 for r in requests)
        + (sum(r.outcome_count == 0 for r in requests) if strategy == PRODUCT else 0),
        messages_per_second=per_second,
        groups=_group_figures(scenario, size, requests),
    )


def _group_figures(
    scenario: Scenario, size: ServiceSize, requests: list[SimulatedRequest]
) -> dict[str, GroupFigures]:
    slot_time_by_group_id: defaultdict[str, float] = defaultdict(float)
    offered_by_group_id: defaultdict[str, float] = defaultdict(float)
    for request in requests:
        slot_time_by_group_id[request.group_id] += _slot_time(scenario, request)
        if scenario.measured_from <= request.arrived_at < scenario.measured_until:
            offered_by_group_id[request.group_id] += request.service_time
    window = scenario.measured_until - scenario.measured_from
    entitled = _entitled_slot_time(
        offered_by_group_id,
        slot_time_by_group_id,
        capacity=window * size.agents * size.slots,
    )
    figures = {}
    for group_id in SHARES_BY_GROUP_ID:
        own = [
            request
            for request in requests
            if request.group_id == group_id
            and scenario.measured_from <= request.arrived_at < scenario.measured_until
        ]
        if own:
            ratio = (
                slot_time_by_group_id[group_id] / entitled[group_id]
                if entitled
                else 0.0
            )
            figures[group_id] = _figures_of_group(own, ratio)
    return figures


def _figures_of_group(own: list[SimulatedRequest], share_ratio: float) -> GroupFigures:
    latencies = [request.latency for request in own if request.is_good]
    return GroupFigures(
        requests=len(own),
        answered=len(latencies),
        refused=sum(r.outcome is OutcomeKind.NOT_RUN for r in own),
        unknown=sum(r.outcome is OutcomeKind.UNKNOWN for r in own),
        p50=percentile(latencies, 0.5),
        p99=percentile(latencies, 0.99),
        p999=percentile(latencies, 0.999),
        share_ratio=share_ratio,
    )


def _entitled_slot_time(
    offered_by_group_id: Mapping[str, float],
    slot_time_by_group_id: Mapping[str, float],
    *,
    capacity: float,
) -> dict[str, float]:
    # Shares apply only if the groups together offer more load than the capacity.
    if sum(offered_by_group_id.values()) < capacity or len(offered_by_group_id) < 2:
        return {}
    load_by_group_id = {g: work / capacity for g, work in offered_by_group_id.items()}
    total = sum(slot_time_by_group_id.values()) / capacity
    return {
        g: fraction * capacity
        for g, fraction in _split_max_min_fair(load_by_group_id, total).items()
    }


def _split_max_min_fair(
    load_by_group_id: Mapping[str, float], total: float
) -> dict[str, float]:
    entitled: dict[str, float] = {}
    remaining = total
    unsatisfied = set(load_by_group_id)
    while unsatisfied:
        shares = sum(SHARES_BY_GROUP_ID[g] for g in unsatisfied)
        portions = {g: remaining * SHARES_BY_GROUP_ID[g] / shares for g in unsatisfied}
        satisfied = {g for g in unsatisfied if load_by_group_id[g] <= portions[g]}
        if not satisfied:
            entitled.update(portions)
            return entitled
        entitled.update({g: load_by_group_id[g] for g in satisfied})
        remaining -= sum(load_by_group_id[g] for g in satisfied)
        unsatisfied -= satisfied
    return entitled


def _slot_time(scenario: Scenario, request: SimulatedRequest) -> float:
    return sum(_overlap(scenario, run.started_at, run.ended_at) for run in request.runs)


def _overlap(scenario: Scenario, started_at: float, ended_at: float) -> float:
    until = min(ended_at, scenario.measured_until)
    return max(0.0, until - max(started_at, scenario.measured_from))
