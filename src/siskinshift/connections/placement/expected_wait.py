"""Estimates the seconds until a new request would be finished at an agent.

The load it handles: upstreams of one to three slots whose work takes 5 to 29 ms, with
reports that are up to 1.5 s old while a dozen other balancers place flows as well.

- A report's wait is exact for the moment it was made; the queue of an upstream of one
  slot changes completely within some hundred milliseconds. The estimate moves from the
  reported wait to the mean wait of a queue with the reported utilization as the report
  ages.
- Long-lived flows bring requests later. The utilization over the last seconds shows
  those of flows that have been open for a while, however many or few flows bring them.
  Flows that are newer than that add the mean utilization of a flow of the service.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from siskinshift.core.members import FULL_WEIGHT


if TYPE_CHECKING:
    from siskinshift.connections.fleet import Peer
    from siskinshift.connections.placement.room import ServiceLoad


# Age of a report, seconds, from which it is not used: it covers the reports of other
# domains (1.1 s apart in the workloads) and the loss of one of them.
MAX_REPORT_AGE_SECONDS = 3.0
# The reported wait counts less by a factor of e for each of these.
WAIT_DECAY_SECONDS = 1.0
# Weight of a wait that was reported just now; the rest is the mean wait. A lower weight
# or a faster decay delays the requests of long-lived flows with uneven rates.
FRESH_WAIT_WEIGHT = 0.9
# Utilization from which the estimated mean wait no longer rises: it is unbounded at 1,
# and the report's resolution is 1/255. The wait is then 19 run times at one slot.
MAX_UTILIZATION = 0.95
# Responses below which an agent's own run time is not used.
MIN_SAMPLES = 5
# Smallest fraction of the typical run time that an agent is credited with: upstreams
# that respond with failures in 1 ms would otherwise look like the fastest ones.
MIN_RUN_FRACTION = 0.5
# Largest multiple of the domain's median round trip that counts against an agent. Its
# mean is updated only by openings, so a single long one would exclude it permanently.
MAX_ROUND_TRIP_FACTOR = 3.0


def has_fresh_report(agent: Peer, *, now: float) -> bool:
    """Returns whether an agent's report may be used.

    Args:
        agent: The agent.
        now: Clock reading, seconds.
    """
    # Each message that updates the load also updates `last_seen_at`.
    is_fresh = now - agent.last_seen_at <= MAX_REPORT_AGE_SECONDS
    return is_fresh and agent.load.report is not None


def mean_queue_wait(run_seconds: float, slots: float, utilization: float) -> float:
    """Estimates the mean wait in a queue with few slots (Sakasegawa's formula).

    Args:
        run_seconds: Time that a request takes in a slot, seconds.
        slots: Number of slots.
        utilization: Fraction of the slots in use, 0 to 1.

    Returns:
        Mean wait, seconds; exact for one slot and exponential run times.
    """
    utilization = min(MAX_UTILIZATION, max(0.0, utilization))
    exponent = math.sqrt(2 * (slots + 1)) - 1
    busy_part = math.pow(utilization, exponent)
    return run_seconds * busy_part / (slots * (1 - utilization))


def run_seconds(agent: Peer, typical: float) -> float:
    """Returns the run time that is expected of an agent's upstream.

    Args:
        agent: The agent; it has reported.
        typical: Typical run time of the service, seconds.

    Returns:
        Run time, seconds.
    """
    report = agent.load.report
    if report is None or report.samples < MIN_SAMPLES or report.run_seconds <= 0:
        return typical
    return max(report.run_seconds, MIN_RUN_FRACTION * typical)


def expected_wait(
    agent: Peer, service: ServiceLoad, *, now: float, counts_placed: bool = True
) -> float:
    """Estimates the time until a new request would be finished, without the path.

    Args:
        agent: The agent; it has a fresh report.
        service: Load of its service.
        now: Clock reading, seconds.
        counts_placed: Whether to count the flows that this node placed there since the
            report. They keep it from placing all flows at one agent until the next
            report, but are omitted between domains: a node places more in its own, so
            that its own domain would always look slower.

    Returns:
        Estimated seconds.
    """
    load = agent.load
    report = load.report
    assert report is not None
    slots = max(1, agent.member.slots)
    warmth = max(1, agent.member.weight) / FULL_WEIGHT
    run = run_seconds(agent, service.typical_run) / warmth
    placed = agent.flows_since_load if counts_placed else 0
    mean_flows = service.mean_flows_by_id.get(agent.member.member_id, load.flows)
    new_flows = max(0.0, load.flows + placed - mean_flows)
    utilization = (
        report.busy_fraction + new_flows * service.slots_per_new_flow / slots
    ) / warmth
    age = max(0.0, now - agent.last_seen_at)
    reported_part = FRESH_WAIT_WEIGHT * math.exp(-age / WAIT_DECAY_SECONDS)
    wait = (
        reported_part * report.wait_seconds
        + (1 - reported_part) * mean_queue_wait(run, slots, utilization)
        + placed * run / slots
    )
    return wait + run


def path_cost(
    agent: Peer, service: ServiceLoad, *, own_domain: str, remote_cost: float
) -> float:
    """Returns the cost of the path to an agent.

    Args:
        agent: The agent.
        service: Load of its service.
        own_domain: Failure domain of this node.
        remote_cost: Cost of another failure domain, seconds.

    Returns:
        Seconds of wait that the path counts as.
    """
    name = agent.member.failure_domain
    domain = service.domains_by_name.get(name)
    median = domain.round_trip if domain is not None else 0.0
    round_trip = agent.round_trip or median
    if median:
        round_trip = min(round_trip, MAX_ROUND_TRIP_FACTOR * median)
    return round_trip + (0.0 if name == own_domain else remote_cost)
