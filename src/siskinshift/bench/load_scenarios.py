"""Defines load scenarios: arrivals of requests and faults. Shared with the tests."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from attrs import evolve
from attrs import frozen

from siskinshift.bench.load_model import SimulatedRequest
from siskinshift.bench.load_model import Slowdown


# Sigma of the lognormal service times: the 99th percentile is 3.2 times the median.
SERVICE_TIME_SIGMA = 0.5
CALLERS_PER_GROUP = 20
FLOWS_PER_CALLER = 3


@frozen
class ServiceSize:
    """One service of a deployment.

    Attributes:
        name: Name of the service.
        deployment: Deployment of the service.
        agents: Number of agents, each with one upstream.
        slots: Slots of each upstream.
        service_time: Mean time of a request in a slot, seconds.
        caller_timeout: Seconds from arrival to the deadline.
        queue_time_limit: Value of the setting with this name, seconds.
    """

    name: str
    deployment: str
    agents: int
    slots: int
    service_time: float
    caller_timeout: float
    queue_time_limit: float

    @property
    def capacity(self) -> float:
        """Requests per second that all slots can run."""
        return self.agents * self.slots / self.service_time


SERVICES: tuple[ServiceSize, ...] = (
    ServiceSize("editor", "grantowo", 7, 1, 0.04, 2.0, 1.0),
    ServiceSize("dossiers", "grantowo", 3, 1, 0.25, 10.0, 5.0),
    ServiceSize("marketplace", "sublocar", 7, 3, 0.05, 2.0, 1.0),
    ServiceSize("plans", "sublocar", 4, 3, 0.2, 10.0, 5.0),
)

SHARES_BY_GROUP_ID = {"north": 5, "south": 3, "west": 2}
FLOODING_GROUP = "west"


@frozen
class Phase:
    """Load of one group during a period.

    Attributes:
        group_id: The group.
        starts_at: Simulated time, seconds.
        ends_at: Simulated time, seconds.
        load: Arriving work as a fraction of the capacity of the service.
        heavy_caller_fraction: Fraction of requests from a single caller.
        long_fraction: Fraction of long requests, all from a single caller.
        long_factor: Factor by which long requests take longer.
    """

    group_id: str
    starts_at: float
    ends_at: float
    load: float
    heavy_caller_fraction: float = 0.0
    long_fraction: float = 0.0
    long_factor: float = 1.0


@frozen
class Scenario:
    """Load of the callers and faults of the upstreams.

    Attributes:
        name: Name of the scenario.
        duration: Simulated time of arrivals, seconds.
        measured_from: Start of the measurement window, simulated time in seconds.
        measured_until: End of the measurement window.
        phases: Load by group.
        slowdowns: Slowdowns of upstreams.
        hotspot_fraction: Fraction of the flows that agent 0 owns in addition to an
            even split of the rest.
        misreporting_agent: Index of an agent that reports itself as idle; None for
            none.
        restart_at: Simulated time at which agent 0 restarts; None for no restart.
    """

    name: str
    duration: float
    measured_from: float
    measured_until: float
    phases: tuple[Phase, ...]
    slowdowns: tuple[Slowdown, ...] = ()
    hotspot_fraction: float = 0.0
    misreporting_agent: int | None = None
    restart_at: float | None = None


ScenarioFactory: TypeAlias = Callable[[], Scenario]

SCENARIOS_BY_NAME: dict[str, ScenarioFactory] = {}


def scenario(name: str) -> Callable[[ScenarioFactory], ScenarioFactory]:
    """Registers the decorated function as the factory of a scenario.

    Args:
        name: Name of the scenario.

    Returns:
        The decorator.
    """

    def register(factory: ScenarioFactory) -> ScenarioFactory:
        SCENARIOS_BY_NAME[name] = factory
        return factory

    return register


def even_load(
    load: float, *, until: float, starts_at: float = 0.0
) -> tuple[Phase, ...]:
    """Splits a load among the groups by share.

    Args:
        load: Load as a fraction of the capacity.
        until: Simulated time of the end, seconds.
        starts_at: Simulated time of the start, seconds.

    Returns:
        One phase for each group.
    """
    total = sum(SHARES_BY_GROUP_ID.values())
    return tuple(
        Phase(group_id, starts_at, until, load * share / total)
        for group_id, share in SHARES_BY_GROUP_ID.items()
    )


@scenario("burst")
def _burst() -> Scenario:
    return Scenario(
        name="burst",
        duration=30.0,
        measured_from=2.0,
        measured_until=30.0,
        phases=(
            *even_load(0.5, until=30.0),
            *even_load(4.5, starts_at=10.0, until=12.0),
        ),
    )


@scenario("heavy caller")
def _heavy_caller() -> Scenario:
    phases = (Phase("north", 0.0, 30.0, 1.5, heavy_caller_fraction=0.8),)
    return Scenario("heavy caller", 30.0, 2.0, 30.0, phases)


@scenario("flood")
def _flood() -> Scenario:
    return Scenario("flood", 100.0, 5.0, 100.0, flood_phases(with_flooder=True))


@scenario("flood: alone")
def _flood_alone() -> Scenario:
    return Scenario("flood: alone", 100.0, 5.0, 100.0, flood_phases(with_flooder=False))


def flood_phases(*, with_flooder: bool) -> tuple[Phase, ...]:
    """Returns the load of a group at four fifths of its share and of a flooding one.

    Args:
        with_flooder: Whether to include the flooding group.

    Returns:
        The phases; the first group's arrivals are the same in both cases.
    """
    within_share = Phase("north", 0.0, 100.0, 0.4)
    flood = Phase(FLOODING_GROUP, 0.0, 100.0, 3.0)
    return (within_share, flood) if with_flooder else (within_share,)


@scenario("slow upstream")
def _slow_upstream() -> Scenario:
    slow = Slowdown(agent=0, starts_at=10.0, ends_at=25.0, factor=10.0)
    phases = even_load(0.5, until=35.0)
    return Scenario("slow upstream", 35.0, 2.0, 35.0, phases, (slow,))


@scenario("lying report")
def _lying_report() -> Scenario:
    phases = even_load(0.7, until=30.0)
    return Scenario(
        "lying report",
        30.0,
        5.0,
        30.0,
        phases,
        hotspot_fraction=0.3,
        misreporting_agent=0,
    )


@scenario("long among short")
def _long_among_short() -> Scenario:
    phases = tuple(
        evolve(phase, long_fraction=0.02, long_factor=20.0)
        for phase in even_load(0.8, until=40.0)
    )
    return Scenario("long among short", 40.0, 5.0, 40.0, phases)


@scenario("saturation")
def _saturation() -> Scenario:
    return Scenario("saturation", 60.0, 10.0, 60.0, even_load(2.0, until=60.0))


@scenario("cold start")
def _cold_start() -> Scenario:
    cold = Slowdown(0, 10.0, 40.0, factor=5.0, warmup_requests=60)
    phases = even_load(0.6, until=40.0)
    return Scenario("cold start", 40.0, 10.0, 40.0, phases, (cold,), restart_at=10.0)


@scenario("pinned unevenly")
def _pinned_unevenly() -> Scenario:
    phases = even_load(0.6, until=60.0)
    return Scenario("pinned unevenly", 60.0, 15.0, 60.0, phases, hotspot_fraction=0.3)


def make_arrivals(
    scenario: Scenario, size: ServiceSize, *, seed: int
) -> list[SimulatedRequest]:
    """Draws the requests of a scenario.

    Args:
        scenario: The scenario.
        size: The service.
        seed: Seed of the random generators.

    Returns:
        The requests in the order of their arrival.
    """
    requests: list[SimulatedRequest] = []
    for index, phase in enumerate(scenario.phases):
        # Each phase has its own generator, so that the arrivals of a group do not
        # depend on other groups.
        random = Random(f"{seed}/{index}/{phase.group_id}")
        owners = _draw_owners(scenario, size, random)
        requests += _draw_phase(phase, size, random, owners)
    requests.sort(key=lambda request: request.arrived_at)
    for number, request in enumerate(requests):
        request.request_id = number
    return requests


def _draw_owners(scenario: Scenario, size: ServiceSize, random: Random) -> list[int]:
    flows = CALLERS_PER_GROUP * FLOWS_PER_CALLER
    hotspot_flows = int(flows * scenario.hotspot_fraction)
    even_owners = [number % size.agents for number in range(flows - hotspot_flows)]
    owners = even_owners + [0] * hotspot_flows
    random.shuffle(owners)
    return owners


def _draw_phase(
    phase: Phase, size: ServiceSize, random: Random, owners: list[int]
) -> list[SimulatedRequest]:
    mean_factor = 1 + phase.long_fraction * (phase.long_factor - 1)
    rate = phase.load * size.capacity / mean_factor
    requests = []
    now = phase.starts_at + random.expovariate(rate)
    while now < phase.ends_at:
        requests.append(_draw_request(phase, size, random, owners, now))
        now += random.expovariate(rate)
    return requests


def _draw_request(
    phase: Phase, size: ServiceSize, random: Random, owners: list[int], now: float
) -> SimulatedRequest:
    # The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
    mu = math.log(size.service_time) - SERVICE_TIME_SIGMA**2 / 2
    service_time = random.lognormvariate(mu, SERVICE_TIME_SIGMA)
    caller = random.randrange(1, CALLERS_PER_GROUP)
    if random.random() < phase.heavy_caller_fraction:
        caller = 0
    elif random.random() < phase.long_fraction:
        caller = 0
        service_time *= phase.long_factor
    flow = caller * FLOWS_PER_CALLER + random.randrange(FLOWS_PER_CALLER)
    return SimulatedRequest(
        request_id=0,
        group_id=phase.group_id,
        caller=f"10.0.{len(phase.group_id)}.{caller}",
        owner=owners[flow],
        arrived_at=now,
        service_time=service_time,
        deadline=now + size.caller_timeout,
    )
