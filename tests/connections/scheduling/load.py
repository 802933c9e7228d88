"""Applies a load to the requests of one agent with a fake upstream of one slot."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.connections.health.upstream_observer import UpstreamObserver
from siskinshift.connections.node_settings import PolicySettings
from siskinshift.connections.owned_flow import OwnedFlow
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.scheduling.agent_requests import AgentRequests
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from tests.connections.builders import quiet_log


if TYPE_CHECKING:
    from random import Random


ROUND_TRIP_SECONDS = 0.004
STATUS = RequestParameters(0.276, 1.33, 2, RequestKind.IDEMPOTENT)
PURCHASE = RequestParameters(0.278, 1.67, 1, RequestKind.NON_IDEMPOTENT)
MANIFEST = RequestParameters(0.872, 4.36, 2, RequestKind.DOWNLOAD)


@frozen(order=True)
class Demand:
    """A request of a caller: when it opens its flow, how long it runs."""

    at: float
    caller: int
    work: float
    parameters: RequestParameters = STATUS


@define(eq=False)
class Outcomes:
    """What callers got: response times by demand, and which were refused at once."""

    response_by_demand: dict[int, float] = Factory(dict)
    refused: set[int] = Factory(set)


def flow_key(number: int, caller: int) -> bytes:
    """Returns a flow of a caller's host."""
    host = bytes((10, 0, caller >> 8, caller & 255))
    return number.to_bytes(6, "big") + host + bytes(2)


def data(flow: bytes, seq: int = 2, length: int = 900) -> Segment:
    """Returns a packet with data whose bytes contain its fields."""
    return Segment(flow, ACK, seq, 1, length, f"{seq}/{length}".encode())


def agent_requests(**policy: bool) -> AgentRequests:
    """Returns requests without history."""
    requests = AgentRequests(
        settings=PolicySettings(), observer=UpstreamObserver(), log=quiet_log()
    )
    requests.apply(ServicePolicy(**policy))
    return requests


def poisson(
    rng: Random,
    rate: float,
    *,
    until: float,
    work: float,
    parameters: RequestParameters,
    callers: range,
    since: float = 0.0,
) -> list[Demand]:
    """Returns demand with exponential intervals; `rate` is per second."""
    demands = []
    at = since + rng.expovariate(rate)
    while at < until:
        demands.append(
            Demand(at, rng.choice(callers), work * rng.uniform(0.7, 1.3), parameters)
        )
        at += rng.expovariate(rate)
    return demands


def burst(rng: Random, *, factor: float, seconds: float) -> list[Demand]:
    """Returns a mix of requests at a multiple of one upstream's capacity."""
    rate = factor / (0.633 * 0.022 + 0.314 * 0.029 + 0.054 * 0.005)
    mix = ((0.633, 0.022, STATUS), (0.314, 0.029, PURCHASE), (0.054, 0.005, MANIFEST))
    return sorted(
        (
            demand
            for share, work, parameters in mix
            for demand in poisson(
                rng,
                rate * share,
                until=seconds,
                work=work,
                parameters=parameters,
                callers=range(100),
            )
        ),
        key=lambda demand: demand.at,
    )


def run(requests: AgentRequests, demands: list[Demand]) -> Outcomes:
    """Runs the demand; the upstream serves forwarded requests in order of arrival."""
    outcomes = Outcomes()
    events: list[tuple[float, int, str, int]] = [
        (demand.at, number, "open", number) for number, demand in enumerate(demands)
    ]
    heapq.heapify(events)
    flows: dict[int, OwnedFlow] = {}
    keys = {n: flow_key(n, d.caller) for n, d in enumerate(demands)}
    number_by_key = {key: n for n, key in keys.items()}
    upstream: list[int] = []
    ticked_at = 0.0

    def forward(keys_to_run: list[bytes], now: float) -> None:
        for key in keys_to_run:
            upstream.append(number_by_key[key])
            if len(upstream) == 1:
                begin(now)

    def begin(now: float) -> None:
        done_at = now + demands[upstream[0]].work
        heapq.heappush(events, (done_at, -1, "done", upstream[0]))

    while events:
        now, _, event, number = heapq.heappop(events)
        key, demand = keys[number], demands[number]
        if event == "open":
            syn = Segment(key, SYN, 1, 0, 0, b"")
            if requests.check_opening(key, demand.parameters, now=now):
                outcomes.refused.add(number)
                requests.record_refusal(key, now=now)
                continue
            flows[number] = OwnedFlow(now, now)
            requests.on_flow_opened(flows[number], syn, demand.parameters, now=now)
            heapq.heappush(events, (now + ROUND_TRIP_SECONDS, number, "data", number))
        elif event == "data":
            packet = Segment(key, ACK, 2, 1, 900, key)
            forward(
                requests.on_data(flows[number], packet, demand.parameters, now=now), now
            )
        else:
            upstream.pop(0)
            outcomes.response_by_demand[number] = now - demand.at
            requests.on_response(key, now=now)
            if upstream:
                begin(now)
            if requests.policy.uses_admission:
                requests.drop_expired(now=now)
            forward(requests.start(now=now), now)
        if now - ticked_at > 0.1:
            ticked_at = now
            requests.drop_expired(now=now)
            forward(requests.start(now=now), now)
    return outcomes
