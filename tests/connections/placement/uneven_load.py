"""A loop of openings at balancers with late reports, for the tests of placement."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from siskinshift.connections.load_policies import LoadPolicies
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from tests.connections.builders import agent_placement
from tests.connections.builders import fleet_of
from tests.connections.builders import flow_of
from tests.connections.builders import member


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.fleet import Peer


DOMAIN_SIZES = {"a": 10, "b": 10, "c": 9, "d": 9}
BALANCERS = 17
RUN_SECONDS = 0.013
LOCAL_ROUND_TRIP = 0.001
REMOTE_ROUND_TRIP = 0.0078
# A report arrives this old and is used until the next one.
REPORT_DELAY = 0.5
REPORT_INTERVAL = 1.0
BUSY_WINDOW = 2.0


def shares(rate: float, *, uneven: bool = False) -> dict[str, float]:
    """Divides a rate by the size of the domains; one of them may get twice its part."""
    parts = {name: float(size) for name, size in DOMAIN_SIZES.items()}
    if uneven:
        parts["a"] *= 2
    return {name: rate * part / sum(parts.values()) for name, part in parts.items()}


@define
class Upstream:
    """An upstream of one slot that serves requests in order of arrival."""

    run: float
    free_at: float = 0.0
    flows: int = 0
    running: int = 0
    work: float = 0.0
    runs: list[tuple[float, float]] = Factory(list)

    def serve(self, now: float, work: float) -> float:
        """Returns when a request that arrives now is finished."""
        start = max(now, self.free_at)
        self.free_at = start + work
        self.work += work
        self.runs.append((start, self.free_at))
        return self.free_at

    def load(self, now: float) -> Load:
        """Returns what its agent reports."""
        since = now - BUSY_WINDOW
        self.runs = [run for run in self.runs if run[1] > since]
        busy = sum(max(0.0, min(end, now) - max(at, since)) for at, end in self.runs)
        report = LoadReport(
            run_seconds=self.run,
            wait_seconds=max(0.0, self.free_at - now),
            busy_fraction=busy / min(BUSY_WINDOW, max(now, 0.1)),
            samples=20,
        )
        return Load(flows=self.flows, running=self.running, report=report)


@define(eq=False, slots=False)
class UnevenLoad:
    """Flows that 17 balancers place at 38 upstreams, and what their callers get.

    Attributes:
        seed: Seed of all draws.
        expected_wait: Whether the policy is in force; otherwise `open_flows`.
        rates_by_domain: New flows a second.
        seconds: Length of the load.
        heavy_until: When domain a returns to half of its rate.
        flow_seconds: Mean length of a flow; 0 for a single request.
        request_rates: Requests a second of a flow, one of these.
        runs_by_id: Run times of the upstreams that differ.
        weights_by_id: Weights of the upstreams that differ.
        lost_domain: Domain that does not answer from `lost_at`.
        lost_at: When it is lost.
        waits: Arrival and time to completion of each request, path included.
        placed: Arrival, domain of the caller and of the agent of each flow.
    """

    seed: int
    expected_wait: bool
    rates_by_domain: Mapping[str, float]
    seconds: float = 4.0
    heavy_until: float = float("inf")
    flow_seconds: float = 0.0
    request_rates: tuple[float, ...] = (1.0,)
    runs_by_id: Mapping[str, float] = Factory(dict)
    weights_by_id: Mapping[str, int] = Factory(dict)
    lost_domain: str = ""
    lost_at: float = 0.0
    waits: list[tuple[float, float]] = Factory(list)
    placed: list[tuple[float, str, str]] = Factory(list)
    upstreams_by_id: dict[str, Upstream] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Places all flows."""
        self._random = Random(self.seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        members = [
            member(
                f"{domain}-{i}",
                host=f"10.{ord(domain)}.0.{i}",
                domain=domain,
                weight=self.weights_by_id.get(f"{domain}-{i}", 1000),
            )
            for domain, size in DOMAIN_SIZES.items()
            for i in range(size)
        ]
        for known in members:
            run = self.runs_by_id.get(known.member_id, RUN_SECONDS)
            self.upstreams_by_id[known.member_id] = Upstream(run)
        balancers = [
            (
                "abcd"[i % 4],
                fleet_of(*members),
                agent_placement(domain="abcd"[i % 4], seed=100 * self.seed + i),
            )
            for i in range(BALANCERS)
        ]
        self._balancers_by_domain = {
            name: [(f.agents(), p) for d, f, p in balancers if d == name]
            for name in DOMAIN_SIZES
        }
        for domain, fleet, placement in balancers:
            placement.apply(LoadPolicies(expected_wait=self.expected_wait))
            for peer in fleet.agents():
                is_local = peer.member.failure_domain == domain
                peer.round_trip = LOCAL_ROUND_TRIP if is_local else REMOTE_ROUND_TRIP
                self._add(-self._random.random(), self._report, peer)
        for domain in self.rates_by_domain:
            self._add(0.0, self._open, domain)
        while self._events[0][0] < self.seconds:
            now, _, event = heapq.heappop(self._events)
            event(now)

    def _add(self, at: float, event: Callable[..., None], *args: object) -> None:
        entry = (at, next(self._order), lambda now: event(now, *args))
        heapq.heappush(self._events, entry)

    def _is_lost(self, peer: Peer, now: float) -> bool:
        return peer.member.failure_domain == self.lost_domain and now >= self.lost_at

    def _report(self, now: float, peer: Peer) -> None:
        if not self._is_lost(peer, now):
            load = self.upstreams_by_id[peer.member.member_id].load(now)
            self._add(now + REPORT_DELAY, self._receive, peer, now, load)
            self._add(now + REPORT_INTERVAL, self._report, peer)

    def _receive(self, _: float, peer: Peer, reported_at: float, load: Load) -> None:
        peer.last_seen_at, peer.load, peer.flows_since_load = reported_at, load, 0

    def _open(self, now: float, domain: str) -> None:
        rate = self.rates_by_domain[domain]
        if domain == "a" and now > self.heavy_until:
            rate /= 2
        self._add(now + self._random.expovariate(rate), self._open, domain)
        agents, placement = self._random.choice(self._balancers_by_domain[domain])
        flow = flow_of(self._random.randrange(1 << 16))
        attempted: set[str] = set()
        while True:
            agent = placement.choose(agents, flow, attempted=attempted, now=now)
            assert agent is not None
            if not self._is_lost(agent, now):
                break
            attempted.add(agent.member.member_id)
            agent.unanswered_openings += 1
        agent.flows_since_load += 1
        self.placed.append((now, domain, agent.member.failure_domain))
        upstream = self.upstreams_by_id[agent.member.member_id]
        upstream.flows += 1
        length = self._random.expovariate(1 / (self.flow_seconds or 1))
        ends_at = now + length if self.flow_seconds else now
        rate = self._random.choice(self.request_rates)
        path = agent.round_trip
        self._add(now + path, self._request, upstream, path, rate, ends_at)

    def _request(
        self, now: float, upstream: Upstream, path: float, rate: float, ends_at: float
    ) -> None:
        done = upstream.serve(now, upstream.run * self._random.uniform(0.5, 1.5))
        upstream.running += 1
        self._add(done, self._respond, upstream)
        self.waits.append((now, done - now + path))
        following = now + self._random.expovariate(rate)
        if following < ends_at:
            self._add(following, self._request, upstream, path, rate, ends_at)
        else:
            self._add(max(done, ends_at), self._end, upstream)

    def _respond(self, _: float, upstream: Upstream) -> None:
        upstream.running -= 1

    def _end(self, _: float, upstream: Upstream) -> None:
        upstream.flows -= 1

    def mean(self, *, since: float = 1.0) -> float:
        """Returns the mean time to completion, seconds."""
        waits = [wait for at, wait in self.waits if at >= since]
        return sum(waits) / len(waits)

    def quantile(self, q: float, *, since: float = 1.0) -> float:
        """Returns a quantile of the time to completion, seconds."""
        ordered = sorted(wait for at, wait in self.waits if at >= since)
        return ordered[min(len(ordered) - 1, int(q * len(ordered)))]

    def busiest_over_mean(self) -> float:
        """Returns the work of the busiest upstream over the mean."""
        works = [upstream.work for upstream in self.upstreams_by_id.values()]
        return max(works) * len(works) / sum(works)

    def remote_part(
        self, *, since: float = 0.0, until: float = float("inf"), domain: str = ""
    ) -> float:
        """Returns the part of a domain's, or all, flows placed in other domains."""
        flags = [
            own != other
            for at, own, other in self.placed
            if since <= at < until and domain in ("", own)
        ]
        return sum(flags) / max(1, len(flags))
