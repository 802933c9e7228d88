"""Places flows where a new request is expected to be finished first.

The load it handles: demand that is uneven over the failure domains, upstreams that are
slower or colder than others, and long-lived flows with different request rates, none of
which a count of flows shows.

Two agents of the own domain are compared by expected wait. A fraction of the flows,
which `Spillover` decides, is placed at the better of two agents of other domains, drawn
in proportion to the room of their domains. Comparisons among agents without fresh
reports are left to `open_flows`, since seconds and flows do not compare.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from siskinshift.connections.placement.cost_policies import CANDIDATES_COMPARED
from siskinshift.connections.placement.cost_policies import EXPECTED_WAIT
from siskinshift.connections.placement.cost_policies import register_cost_policy
from siskinshift.connections.placement.expected_wait import expected_wait
from siskinshift.connections.placement.expected_wait import has_fresh_report
from siskinshift.connections.placement.expected_wait import path_cost
from siskinshift.connections.placement.open_flows import cost
from siskinshift.connections.placement.open_flows import is_worth_leaving
from siskinshift.connections.placement.room import ServiceLoad
from siskinshift.connections.placement.spillover import DomainOffer
from siskinshift.connections.placement.spillover import Spillover


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.placement.candidates import Candidates
    from siskinshift.connections.placement.cost_policies import PlacementContext
    from siskinshift.connections.placement.room import DomainLoad


# Weight in the draw of agents whose domain has no room, so that each can be drawn.
MIN_DRAW_WEIGHT = 1e-3
# Reasons of the metric `siskinshift_decisions_total{event="placement"}`.
LOCAL = "local"
REMOTE_ONLY = "remote only"
FALLBACK = "open flows"


@register_cost_policy(EXPECTED_WAIT)
class ExpectedWait:
    """The policy of deployments with overload control or uploads."""

    def __init__(self, context: PlacementContext) -> None:
        """Initializes the policy; see `CostPolicy`."""
        self._context = context
        self._random = context.random
        self._loads_by_service: dict[str, ServiceLoad] = {}
        self._spillovers_by_service: dict[str, Spillover] = {}
        self._exported_domains_by_service: dict[str, set[str]] = {}

    def choose(self, candidates: Candidates, *, now: float) -> Peer:
        """Chooses an agent; see `CostPolicy`."""
        service_id = candidates.responsive[0].member.upstream_class
        service = self._loads_by_service.setdefault(service_id, ServiceLoad())
        spillover = self._spillovers_by_service.setdefault(service_id, Spillover())
        if service.refresh(candidates.responsive, now=now):
            self._export_room(service_id, service)
            self._update_spillover(service, spillover, now=now)
        if candidates.was_refused:
            return self._choose_after_refusal(candidates, service, now=now)
        if not candidates.remote:
            self._count(LOCAL)
            return self._best(candidates.local, service, now=now)
        if not candidates.local:
            self._count(REMOTE_ONLY)
            remote = self._draw(candidates.remote, _free_fractions(service))
            return self._best(remote, service, now=now)
        if not self._is_comparable(service):
            return self._choose_by_flows(candidates, service, now=now)
        if self._random.random() < spillover.fraction:
            weights = spillover.free_fractions_by_domain
            remote = [
                agent
                for agent in candidates.remote
                if agent.member.failure_domain in weights
                and service.known_domain(agent.member.failure_domain) is not None
            ]
            if remote:
                chosen = self._best(self._draw(remote, weights), service, now=now)
                self._record_spilled(chosen, service, spillover, now=now)
                return chosen
        self._count(LOCAL)
        return self._best(candidates.local, service, now=now)

    def _record_spilled(
        self, agent: Peer, service: ServiceLoad, spillover: Spillover, *, now: float
    ) -> None:
        if self._context.log is None:
            return
        own = self._context.failure_domain
        name = agent.member.failure_domain
        domains = service.domains_by_name
        self._context.log.decision(
            "spilled",
            reason=name,
            agent=agent.member.member_id,
            seconds=round(self._offer(name, domains[name]).seconds, 4),
            own_seconds=round(self._offer(own, domains[own]).seconds, 4),
            room=round(domains[name].room, 2),
            own_room=round(domains[own].room, 2),
            fraction=round(spillover.fraction, 3),
            report_age=round(now - agent.last_seen_at, 3),
        )

    def _choose_after_refusal(
        self, candidates: Candidates, service: ServiceLoad, *, now: float
    ) -> Peer:
        """Chooses in the domain with the most room, so that one is not tried in vain.

        Every agent of a full domain refuses, and each refusal costs a round trip.
        """
        agents = [*candidates.local, *candidates.remote]

        def room(name: str) -> float:
            domain = service.known_domain(name)
            return domain.room if domain is not None else 0.0

        # The order of the candidates, own domain first, decides between equal rooms.
        most = max((a.member.failure_domain for a in agents), key=room)
        in_domain = [a for a in agents if a.member.failure_domain == most]
        chosen = self._best(in_domain, service, now=now)
        if self._context.log is not None:
            self._context.log.decision(
                "placed after refusal",
                reason=most,
                agent=chosen.member.member_id,
                room=round(room(most), 2),
            )
        return chosen

    def _choose_by_flows(
        self, candidates: Candidates, service: ServiceLoad, *, now: float
    ) -> Peer:
        local = self._best(candidates.local, service, now=now)
        remote = self._best(candidates.remote, service, now=now)
        self._count(FALLBACK)
        return remote if is_worth_leaving(local, remote) else local

    def _best(
        self, agents: Sequence[Peer], service: ServiceLoad, *, now: float
    ) -> Peer:
        if len(agents) > CANDIDATES_COMPARED:
            agents = self._random.sample(agents, CANDIDATES_COMPARED)
        if len(agents) == 1:
            return agents[0]
        if not self._can_estimate(agents, service, now=now):
            self._count(FALLBACK)
            return min(agents, key=cost)
        return min(agents, key=lambda agent: self._seconds(agent, service, now=now))

    def _draw(
        self, agents: Sequence[Peer], weights_by_domain: Mapping[str, float]
    ) -> Sequence[Peer]:
        """Draws the agents to compare, in proportion to the room of their domains.

        The flow's hash selects as many agents of each domain as its size accounts for,
        so the weight of each is the free fraction of its domain.
        """
        if len(agents) <= CANDIDATES_COMPARED:
            return agents

        def key(agent: Peer) -> float:
            # The agent with the first event, at a rate of its weight, is drawn.
            weight = weights_by_domain.get(agent.member.failure_domain, 0.0)
            return self._random.expovariate(max(MIN_DRAW_WEIGHT, weight))

        return sorted(agents, key=key)[:CANDIDATES_COMPARED]

    def _seconds(self, agent: Peer, service: ServiceLoad, *, now: float) -> float:
        return expected_wait(agent, service, now=now) + path_cost(
            agent,
            service,
            own_domain=self._context.failure_domain,
            remote_cost=self._context.settings.remote_cost,
        )

    def _can_estimate(
        self, agents: Sequence[Peer], service: ServiceLoad, *, now: float
    ) -> bool:
        if not service.typical_run:
            return False
        return all(has_fresh_report(agent, now=now) for agent in agents)

    def _is_comparable(self, service: ServiceLoad) -> bool:
        """Returns whether the own domain and another one have reported."""
        own = self._context.failure_domain
        return service.known_domain(own) is not None and any(
            domain.is_known
            for name, domain in service.domains_by_name.items()
            if name != own
        )

    def _update_spillover(
        self, service: ServiceLoad, spillover: Spillover, *, now: float
    ) -> None:
        own_name = self._context.failure_domain
        own = service.known_domain(own_name)
        if own is None:
            return
        offers_by_domain = {
            name: self._offer(name, domain)
            for name, domain in service.domains_by_name.items()
            if domain.is_known
        }
        spillover.update(
            offers_by_domain.pop(own_name),
            offers_by_domain,
            run_seconds=service.typical_run,
            is_link_short=self._context.is_link_short(),
            random=self._random,
            now=now,
        )

    def _offer(self, name: str, domain: DomainLoad) -> DomainOffer:
        path_seconds = domain.round_trip
        if name != self._context.failure_domain:
            path_seconds += self._context.settings.remote_cost
        return DomainOffer(
            seconds=domain.wait + path_seconds,
            path_seconds=path_seconds,
            round_trip=domain.round_trip,
            capacity=domain.capacity,
            busy=domain.busy,
            slots_per_agent=max(1.0, domain.capacity / domain.reporting),
        )

    def _count(self, reason: str) -> None:
        if self._context.log is not None:
            self._context.log.metrics.count_decision("placement", reason)

    def _export_room(self, service_id: str, service: ServiceLoad) -> None:
        if self._context.log is None:
            return
        exported = self._exported_domains_by_service.setdefault(service_id, set())
        exported.update(service.domains_by_name)
        for name in exported:
            domain = service.domains_by_name.get(name)
            # Metric names allow only these characters, and gauges have no labels.
            suffix = re.sub(r"\W", "_", f"{service_id}_{name}", flags=re.ASCII)
            self._context.log.metrics.set_gauge(
                f"placement_room_slots_{suffix}",
                round(domain.room, 3) if domain is not None else 0.0,
            )


def _free_fractions(service: ServiceLoad) -> dict[str, float]:
    return {n: domain.free_fraction for n, domain in service.domains_by_name.items()}
