"""Scenarios of load: what callers do and what goes wrong. Shared with the tests."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import TypeAlias

from attrs import evolve
from attrs import frozen

from siskinshift.bench.load_model import ModelRequest
from siskinshift.bench.load_model import Sickness


# Spread of service times: the 99th percentile is 3.2 times the median.
SERVICE_TIME_SIGMA = 0.5
CALLERS_IN_A_GROUP = 20
FLOWS_OF_A_CALLER = 3


@frozen
class ServiceSize:
    """One service of a deployment.

    Attributes:
        name: Name.
        deployment: Deployment it belongs to.
        agents: Number of upstreams.
        slots: Slots of each.
        service_time: Mean time of a request in a slot, seconds.
        patience: Seconds from arrival to the deadline.
        queue_time_limit: The setting, seconds.
    """

    name: str
    deployment: str
    agents: int
    slots: int
    service_time: float
    patience: float
    queue_time_limit: float

    @property
    def capacity(self) -> float:
        """Requests a second that all slots can run."""
        return self.agents * self.slots / self.service_time


SERVICES: tuple[ServiceSize, ...] = (
    ServiceSize("editor", "grantowo", 7, 1, 0.04, 2.0, 1.0),
    ServiceSize("dossiers", "grantowo", 3, 1, 0.25, 10.0, 5.0),
    ServiceSize("marketplace", "sublocar", 7, 3, 0.05, 2.0, 1.0),
    ServiceSize("plans", "sublocar", 4, 3, 0.2, 10.0, 5.0),
)

SHARES_BY_GROUP = {"north": 5, "south": 3, "west": 2}
FLOODER = "west"


@frozen
class Phase:
    """Load of one group for a time.

    Attributes:
        group_id: The group.
        starts_at: Model time, seconds.
        ends_at: Model time, seconds.
        load: Work that arrives, as a part of the service's capacity.
        heavy_part: Part of requests that one caller sends.
        long_part: Part of requests that are long; one caller sends them.
        long_factor: How many times longer they are.
    """

    group_id: str
    starts_at: float
    ends_at: float
    load: float
    heavy_part: float = 0.0
    long_part: float = 0.0
    long_factor: float = 1.0


@frozen
class Scenario:
    """What callers do and what goes wrong.

    Attributes:
        name: Name.
        duration: Model time of arrivals, seconds.
        measured_from: Start of the window that figures are taken from.
        measured_until: End of it.
        phases: Load by group.
        sicknesses: What is wrong with upstreams.
        crowded_part: Part of the flows that agent 0 owns beyond an even part.
        lying_agent: Index of an agent whose load report says that it is idle.
        restarts: Model time at which agent 0 was started; None for all warm.
    """

    name: str
    duration: float
    measured_from: float
    measured_until: float
    phases: tuple[Phase, ...]
    sicknesses: tuple[Sickness, ...] = ()
    crowded_part: float = 0.0
    lying_agent: int | None = None
    restarts: float | None = None


ScenarioMaker: TypeAlias = Callable[[], Scenario]

SCENARIOS_BY_NAME: dict[str, ScenarioMaker] = {}


def scenario(name: str) -> Callable[[ScenarioMaker], ScenarioMaker]:
    """Registers the decorated maker of a scenario.

    Args:
        name: Name of the scenario.

    Returns:
        The decorator.
    """

    def register(maker: ScenarioMaker) -> ScenarioMaker:
        SCENARIOS_BY_NAME[name] = maker
        return maker

    return register


def even_load(
    load: float, *, until: float, starts_at: float = 0.0
) -> tuple[Phase, ...]:
    """Spreads a load over the groups by share.

    Args:
        load: Part of the capacity.
        until: Model time of the end, seconds.
        starts_at: Model time of the start, seconds.

    Returns:
        One phase a group.
    """
    total = sum(SHARES_BY_GROUP.values())
    return tuple(
        Phase(group_id, starts_at, until, load * share / total)
        for group_id, share in SHARES_BY_GROUP.items()
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
    phases = (Phase("north", 0.0, 30.0, 1.5, heavy_part=0.8),)
    return Scenario("heavy caller", 30.0, 2.0, 30.0, phases)


@scenario("flood")
def _flood() -> Scenario:
    return Scenario("flood", 100.0, 5.0, 100.0, flood_phases(with_flooder=True))


@scenario("flood: alone")
def _alone() -> Scenario:
    return Scenario("flood: alone", 100.0, 5.0, 100.0, flood_phases(with_flooder=False))


def flood_phases(*, with_flooder: bool) -> tuple[Phase, ...]:
    """Gives the load of a group at four fifths of its share, and of one that floods.

    Args:
        with_flooder: Whether the other group floods.

    Returns:
        The phases; the first group's arrivals are the same in both cases.
    """
    kept = Phase("north", 0.0, 100.0, 0.4)
    flood = Phase(FLOODER, 0.0, 100.0, 3.0)
    return (kept, flood) if with_flooder else (kept,)


@scenario("slow upstream")
def _slow_upstream() -> Scenario:
    sick = Sickness(agent=0, starts_at=10.0, ends_at=25.0, factor=10.0)
    phases = even_load(0.5, until=35.0)
    return Scenario("slow upstream", 35.0, 2.0, 35.0, phases, (sick,))


@scenario("lying report")
def _lying_report() -> Scenario:
    phases = even_load(0.7, until=30.0)
    return Scenario(
        "lying report", 30.0, 5.0, 30.0, phases, crowded_part=0.3, lying_agent=0
    )


@scenario("long among short")
def _long_among_short() -> Scenario:
    phases = tuple(
        evolve(phase, long_part=0.02, long_factor=20.0)
        for phase in even_load(0.8, until=40.0)
    )
    return Scenario("long among short", 40.0, 5.0, 40.0, phases)


@scenario("saturation")
def _saturation() -> Scenario:
    return Scenario("saturation", 60.0, 10.0, 60.0, even_load(2.0, until=60.0))


@scenario("cold start")
def _cold_start() -> Scenario:
    cold = Sickness(0, 10.0, 40.0, factor=5.0, cold_requests=60)
    phases = even_load(0.6, until=40.0)
    return Scenario("cold start", 40.0, 10.0, 40.0, phases, (cold,), restarts=10.0)


@scenario("pinned unevenly")
def _pinned_unevenly() -> Scenario:
    phases = even_load(0.6, until=60.0)
    return Scenario("pinned unevenly", 60.0, 15.0, 60.0, phases, crowded_part=0.3)


def make_arrivals(
    scenario: Scenario, size: ServiceSize, *, seed: int
) -> list[ModelRequest]:
    """Draws the requests of a scenario.

    Args:
        scenario: The scenario.
        size: The service.
        seed: Seed of all draws.

    Returns:
        The requests in the order of their arrival.
    """
    requests: list[ModelRequest] = []
    for index, phase in enumerate(scenario.phases):
        # One source for each phase: a group's arrivals don't depend on other groups.
        random = Random(f"{seed}/{index}/{phase.group_id}")
        homes = _homes(scenario, size, random)
        requests += _phase_arrivals(phase, size, random, homes)
    requests.sort(key=lambda request: request.arrived_at)
    for number, request in enumerate(requests):
        request.request_id = number
    return requests


def _homes(scenario: Scenario, size: ServiceSize, random: Random) -> list[int]:
    flows = CALLERS_IN_A_GROUP * FLOWS_OF_A_CALLER
    crowded = int(flows * scenario.crowded_part)
    even = [number % size.agents for number in range(flows - crowded)]
    homes = even + [0] * crowded
    random.shuffle(homes)
    return homes


def _phase_arrivals(
    phase: Phase, size: ServiceSize, random: Random, homes: list[int]
) -> list[ModelRequest]:
    mean_factor = 1 + phase.long_part * (phase.long_factor - 1)
    rate = phase.load * size.capacity / mean_factor
    requests = []
    now = phase.starts_at + random.expovariate(rate)
    while now < phase.ends_at:
        requests.append(_draw(phase, size, random, homes, now))
        now += random.expovariate(rate)
    return requests


def _draw(
    phase: Phase, size: ServiceSize, random: Random, homes: list[int], now: float
) -> ModelRequest:
    # Mean of a lognormal distribution is exp(mu + sigma^2 / 2).
    mu = math.log(size.service_time) - SERVICE_TIME_SIGMA**2 / 2
    service_time = random.lognormvariate(mu, SERVICE_TIME_SIGMA)
    caller = random.randrange(1, CALLERS_IN_A_GROUP)
    if random.random() < phase.heavy_part:
        caller = 0
    elif random.random() < phase.long_part:
        caller = 0
        service_time *= phase.long_factor
    flow = caller * FLOWS_OF_A_CALLER + random.randrange(FLOWS_OF_A_CALLER)
    return ModelRequest(
        request_id=0,
        group_id=phase.group_id,
        caller=f"10.0.{len(phase.group_id)}.{caller}",
        owner=homes[flow],
        arrived_at=now,
        service_time=service_time,
        deadline=now + size.patience,
    )
