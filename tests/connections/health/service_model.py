"""Upstreams of one service with the faults of the incident reports, without a network.

One balancer with the real placement opens a flow for each request. Requests wait at
the agent while the upstream has two, and at the upstream for its only slot.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from siskinshift.connections.evacuations import EvacuationRegister
from siskinshift.connections.fleet import Peer
from siskinshift.connections.health.outlier_detector import OutlierDetector
from siskinshift.connections.health.upstream_observer import UpstreamObserver
from siskinshift.connections.node_settings import PolicySettings
from siskinshift.connections.owned_flow import OwnedFlow
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from tests.connections.builders import agent_placement
from tests.connections.builders import agents
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import quiet_log


MEAN_WORK_SECONDS = 0.022
LONG_FRACTION = 0.03
LONG_FACTOR = 7.0
DEADLINE_SECONDS = 1.33
OBJECTIVE_SECONDS = 0.276
REPORT_INTERVAL_SECONDS = 0.3
# 44 % of the capacity of eight upstreams.
REQUESTS_PER_SECOND = 160.0
FAULT_AT = 2.0


def healthy_work(random: Random) -> float:
    """Returns the work of a request: 3 % take seven times the mean of 22 ms."""
    if random.random() < LONG_FRACTION:
        return LONG_FACTOR * MEAN_WORK_SECONDS
    usual = MEAN_WORK_SECONDS * (1 - LONG_FRACTION * LONG_FACTOR) / (1 - LONG_FRACTION)
    return random.gammavariate(4.0, usual / 4.0)


def new_detector() -> OutlierDetector:
    """Returns a detector with the default settings and without evacuations."""
    evacuations = EvacuationRegister()
    return OutlierDetector(PolicySettings(), evacuations=evacuations, log=quiet_log())


@attrs.frozen
class Outcome:
    """How an upstream serves one request; without `seconds` it hangs."""

    seconds: float = 0.0
    is_reset: bool = False
    is_failure: bool = False
    is_refusal: bool = False


Behaviour = Callable[[float, Random], Outcome]


def healthy(_: float, random: Random) -> Outcome:
    return Outcome(healthy_work(random))


@attrs.define(eq=False)
class Upstream:
    """One upstream with its agent's observer and queue."""

    peer: Peer
    behave: Behaviour
    round_trip: float = 0.002
    observer: UpstreamObserver = attrs.Factory(UpstreamObserver)
    waiting: list[int] = attrs.Factory(list)
    running: list[int] = attrs.Factory(list)
    opened_at: list[float] = attrs.Factory(list)
    busy_until: float = 0.0


class ServiceModel:
    """Runs requests against the upstreams and counts what became of them.

    Attributes:
        late: Requests since the fault that failed or missed their objective.
    """

    def __init__(
        self,
        seed: int,
        *,
        rate: float = REQUESTS_PER_SECOND,
        detects: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.rate = rate
        self.fleet = fleet_of(*agents(8))
        self.upstreams = {
            peer.member.member_id: Upstream(peer, healthy)
            for peer in self.fleet.agents()
        }
        self.detector = new_detector()
        self.detects = detects
        self.placement = agent_placement(seed=seed)
        self.late = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._unanswered: dict[int, tuple[Upstream, Outcome, float]] = {}

    def set_behaviour(self, count: int, behave: Behaviour) -> list[Upstream]:
        """Sets the behaviour of the first upstreams and returns them."""
        chosen = list(self.upstreams.values())[:count]
        for upstream in chosen:
            upstream.behave = behave
        return chosen

    def run(self, until: float) -> None:
        """Runs the service up to a time."""
        for upstream in self.upstreams.values():
            first_at = self.random.uniform(0, REPORT_INTERVAL_SECONDS)
            self._at(first_at, partial(self._report_regularly, upstream))
        self._at(0.0, self._open)
        while self._events and self._events[0][0] <= until:
            now, _, act = heapq.heappop(self._events)
            act(now)

    def count_after(self, upstreams: list[Upstream], start: float) -> int:
        """Returns how many requests the upstreams got since a time."""
        return sum(at >= start for u in upstreams for at in u.opened_at)

    def ejections(self) -> dict[str, int]:
        """Returns the number of ejections by reason."""
        counts: dict[str, int] = {}
        for line in self.detector._log.metrics.render().splitlines():
            if 'event="ejection"' in line:
                reason = line.split('reason="editor:')[1].split('"')[0]
                counts[reason] = int(line.rsplit(" ", 1)[1])
        return counts

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, act))

    def _open(self, now: float) -> None:
        self._at(now + self.random.expovariate(self.rate), self._open)
        number = self._number
        eligible = everyone = self.fleet.agents_of("editor")
        if self.detects:
            eligible = self.detector.eligible("editor", everyone, now=now)
        peer = self.placement.choose(eligible, _flow(number), attempted=(), now=now)
        assert peer is not None
        upstream = self.upstreams[peer.member.member_id]
        upstream.opened_at.append(now)
        peer.flows_since_load += 1
        round_trip = upstream.round_trip * self.random.uniform(0.8, 1.2)
        peer.record_round_trip(round_trip, now=now)
        upstream.observer.on_opening(_flow(number), now=now)
        outcome = upstream.behave(now, self.random)
        if outcome.is_refusal:
            upstream.observer.on_opening_refused(_flow(number), now=now)
            self._report(upstream, now)
            return
        response = _segment(number, flags=SYN | ACK)
        upstream.observer.on_upstream_segment(response, OwnedFlow(now, now), now=now)
        self._report(upstream, now)
        self._unanswered[number] = (upstream, outcome, now)
        upstream.waiting.append(number)
        self._start_waiting(upstream, now)
        self._at(now + DEADLINE_SECONDS, partial(self._give_up, number))

    def _start_waiting(self, upstream: Upstream, now: float) -> None:
        while upstream.waiting and len(upstream.running) < 2:
            number = upstream.waiting.pop(0)
            upstream.running.append(number)
            upstream.observer.on_forwarded(_flow(number), now=now)
            _, outcome, _ = self._unanswered[number]
            if outcome.seconds:
                upstream.busy_until = max(now, upstream.busy_until) + outcome.seconds
                self._at(upstream.busy_until, partial(self._respond, number))

    def _respond(self, number: int, now: float) -> None:
        if number not in self._unanswered:
            return
        upstream, outcome, _ = self._unanswered[number]
        reset, data = _segment(number, flags=RESET), _segment(number, length=100)
        upstream.observer.on_upstream_segment(
            reset if outcome.is_reset else data, OwnedFlow(now - 0.01, now), now=now
        )
        self._end(number, now)

    def _give_up(self, number: int, now: float) -> None:
        if number in self._unanswered:
            upstream, _, _ = self._unanswered[number]
            upstream.observer.on_flow_ended(_flow(number), now=now)
            self._end(number, now)

    def _end(self, number: int, now: float) -> None:
        upstream, outcome, opened_at = self._unanswered.pop(number)
        for requests in (upstream.running, upstream.waiting):
            if number in requests:
                requests.remove(number)
        is_late = outcome.is_failure or now - opened_at > OBJECTIVE_SECONDS
        self.late += is_late and now >= FAULT_AT
        self._start_waiting(upstream, now)

    def _report(self, upstream: Upstream, now: float) -> None:
        observed = upstream.observer.observe(None, now=now)
        report = LoadReport(**attrs.asdict(observed))
        flows = len(upstream.waiting) + len(upstream.running)
        load = Load(flows, flows, is_certain=True, report=report)
        self.fleet.update_load(upstream.peer, load)
        self.fleet.record_message(upstream.peer, now=now)

    def _report_regularly(self, upstream: Upstream, now: float) -> None:
        self._report(upstream, now)
        at = now + REPORT_INTERVAL_SECONDS
        self._at(at, partial(self._report_regularly, upstream))


def _flow(number: int) -> bytes:
    return flow_of(number % 60_000)


def _segment(number: int, *, flags: int = ACK, length: int = 0) -> Segment:
    return Segment(_flow(number), flags, 1, 1, length, b"")
