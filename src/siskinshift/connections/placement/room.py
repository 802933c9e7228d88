"""Sums the load and the spare capacity of a service by failure domain.

The load it handles: one domain receives twice its share of the demand, or loses its
upstreams, while others have room. The sums come from the reports that agents send to
each balancer anyway; no message is added. They are refreshed at most five times a
second for each service, so that their cost does not depend on the number of flows.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define

from siskinshift.connections.placement.candidates import SUSPECTED_AFTER_UNANSWERED
from siskinshift.connections.placement.expected_wait import MIN_SAMPLES
from siskinshift.connections.placement.expected_wait import expected_wait
from siskinshift.connections.placement.expected_wait import has_fresh_report
from siskinshift.core.members import FULL_WEIGHT


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Peer


# Shortest time between two sums.
REFRESH_INTERVAL_SECONDS = 0.2
# The same for each agent of the service: an agent takes about 6 us of a sum, so that
# sums take at most 0.2 % of a core.
REFRESH_SECONDS_PER_AGENT = 0.005
# Time over which agents report how busy they are.
BUSY_WINDOW_SECONDS = 2.0
# Time constant of the mean number of flows: half of that time.
MEAN_FLOWS_SECONDS = BUSY_WINDOW_SECONDS / 2
# Smallest fraction of a domain's ready agents with fresh reports for which its sums are
# used.
MIN_REPORTING_FRACTION = 0.5


@define(eq=False)
class DomainLoad:
    """Load of a service in one failure domain.

    Attributes:
        capacity: Slots at full weight of the agents with fresh reports.
        room: Free ones of them.
        busy: Slots in use, and those that the reported waits would occupy for the two
            seconds over which agents measure.
        wait: Expected time until a new request is finished at the better of two of its
            agents, seconds, without the path.
        round_trip: Median round trip to its agents, seconds; 0 if none is known.
        agents: Ready agents.
        reporting: Those of them with fresh reports.
    """

    capacity: float = 0.0
    room: float = 0.0
    busy: float = 0.0
    wait: float = 0.0
    round_trip: float = 0.0
    agents: int = 0
    reporting: int = 0

    @property
    def is_known(self) -> bool:
        """Whether enough agents have reported."""
        return self.capacity > 0 and (
            self.reporting >= MIN_REPORTING_FRACTION * self.agents
        )

    @property
    def free_fraction(self) -> float:
        """Fraction of the capacity that is free, 0 to 1."""
        return self.room / self.capacity if self.capacity else 0.0


@define(eq=False)
class ServiceLoad:
    """Load of a service as known to this node.

    Attributes:
        typical_run: Median run time of its agents, seconds; 0 if none has reported one.
        slots_per_new_flow: Slots that a flow will occupy which was opened too recently
            for the reported utilization to show it, 0 to 1.
        domains_by_name: Load of each failure domain with a ready agent.
        mean_flows_by_id: Moving mean of the open flows of each agent.
        refreshed_at: When the sums were last refreshed, seconds.
    """

    typical_run: float = 0.0
    slots_per_new_flow: float = 0.0
    domains_by_name: dict[str, DomainLoad] = Factory(dict)
    mean_flows_by_id: dict[str, float] = Factory(dict)
    refreshed_at: float = float("-inf")

    def refresh(self, agents: Sequence[Peer], *, now: float) -> bool:
        """Refreshes the sums if they are due.

        Args:
            agents: Responsive ready agents of the service that may receive flows.
            now: Clock reading, seconds.

        Returns:
            Whether the sums were refreshed.
        """
        elapsed = now - self.refreshed_at
        interval = max(
            REFRESH_INTERVAL_SECONDS, REFRESH_SECONDS_PER_AGENT * len(agents)
        )
        if elapsed < interval:
            return False
        self.refreshed_at = now
        trusted = [
            a for a in agents if a.unanswered_openings < SUSPECTED_AFTER_UNANSWERED
        ]
        reporting = [a for a in trusted if has_fresh_report(a, now=now)]
        self._update_service(reporting, elapsed=elapsed)
        self._sum_domains(trusted, reporting, now=now)
        return True

    def known_domain(self, name: str) -> DomainLoad | None:
        """Returns the load of a failure domain, or None if too few agents reported it.

        Args:
            name: The failure domain.
        """
        domain = self.domains_by_name.get(name)
        return domain if domain is not None and domain.is_known else None

    def _update_service(self, reporting: Sequence[Peer], *, elapsed: float) -> None:
        runs: list[float] = []
        busy_slots = 0.0
        open_flows = running = 0
        kept = math.exp(-elapsed / MEAN_FLOWS_SECONDS)
        mean_flows_by_id: dict[str, float] = {}
        for agent in reporting:
            load, report = agent.load, agent.load.report
            if report is None:
                continue
            if report.samples >= MIN_SAMPLES and report.run_seconds > 0:
                runs.append(report.run_seconds)
            open_flows += load.flows
            running += min(load.running, load.flows)
            busy_slots += report.busy_fraction * agent.member.slots
            member_id = agent.member.member_id
            old = self.mean_flows_by_id.get(member_id, load.flows)
            mean_flows_by_id[member_id] = load.flows + kept * (old - load.flows)
        self.mean_flows_by_id = mean_flows_by_id
        self.typical_run = median(runs) if runs else 0.0
        flows = sum(mean_flows_by_id.values())
        idle = 1 - running / max(1, open_flows)
        # A flow without a pause between requests is a single request, which is over
        # before the next report; then the number of flows predicts nothing.
        self.slots_per_new_flow = idle * min(1.0, busy_slots / flows) if flows else 0.0

    def _sum_domains(
        self, trusted: Sequence[Peer], reporting: Sequence[Peer], *, now: float
    ) -> None:
        domains: dict[str, DomainLoad] = {}
        self.domains_by_name = domains
        round_trips_by_domain: dict[str, list[float]] = {}
        for agent in trusted:
            name = agent.member.failure_domain
            domains.setdefault(name, DomainLoad()).agents += 1
            if agent.round_trip:
                round_trips_by_domain.setdefault(name, []).append(agent.round_trip)
        for name, round_trips in round_trips_by_domain.items():
            domains[name].round_trip = median(round_trips)
        if not self.typical_run:
            return
        waits_by_domain: dict[str, list[float]] = {}
        for agent in reporting:
            name = agent.member.failure_domain
            domain = domains[name]
            report = agent.load.report
            slots = max(1, agent.member.slots)
            busy, backlog = float(slots), 0.0
            if report is not None:
                busy = report.busy_fraction * slots
                backlog = report.wait_seconds * slots / BUSY_WINDOW_SECONDS
            capacity = slots * max(1, agent.member.weight) / FULL_WEIGHT
            wait = expected_wait(agent, self, now=now, counts_placed=False)
            waits_by_domain.setdefault(name, []).append(wait)
            domain.capacity += capacity
            domain.room += max(0.0, capacity - busy)
            new_flows = agent.load.flows - self.mean_flows_by_id[agent.member.member_id]
            domain.busy += busy + backlog + new_flows * self.slots_per_new_flow
            domain.reporting += 1
        for name, waits in waits_by_domain.items():
            domains[name].wait = mean_of_better(waits)


def mean_of_better(values: Sequence[float]) -> float:
    """Returns the mean of the lower of two values that are drawn at random.

    Two agents of a domain are compared for each flow, so this is what a flow gets. The
    plain mean would let a single hanging upstream make its whole domain look slow.

    Args:
        values: The values, at least one.

    Returns:
        The mean over all pairs, including each value with itself.
    """
    count = len(values)
    ranked = enumerate(sorted(values))
    return sum((2 * (count - i) - 1) * value for i, value in ranked) / count**2
