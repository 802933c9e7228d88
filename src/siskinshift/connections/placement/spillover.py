"""Decides which fraction of a service's new flows leaves the own failure domain.

The load it handles: one domain has more demand than capacity for seconds while others
have room. The fraction is the one at which a new request would be finished as soon in
the own domain as elsewhere, path included, by the estimated wait of queues with the
reported utilization.

Reports show the effect of a fraction only after about two seconds. A controller that
raised the fraction for as long as the own domain was slower went too far and back every
four seconds; here the demand is calculated from the reports together with the fraction
that was in force when they were made. All balancers of a domain see the same reports,
so each moves its fraction by a bounded step at random intervals.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.connections.placement.expected_wait import MAX_UTILIZATION
from siskinshift.connections.placement.expected_wait import mean_queue_wait


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from random import Random


# Mean time between two steps: agents of the own domain report every 0.5 s.
STEP_INTERVAL_SECONDS = 0.5
# Fraction of this interval by which each step is earlier or later at random.
STEP_JITTER_FRACTION = 0.25
# Largest change of the fraction in one step: a domain that is lost or overloaded at
# once sheds half of its flows within 1.5 s.
MAX_STEP = 0.2
# Part of the difference from the balanced fraction by which a step changes it.
STEP_GAIN = 0.5
# Smaller changes are not made: they are within the noise of the reports.
MIN_STEP = 0.03
# Time constant by which reports lag: half of the two seconds over which agents measure
# how busy they are, and the age of the reports.
REPORT_LAG_SECONDS = 2.0
# Spillover begins when another domain finishes a request sooner by this many run times,
# path included. It ends when the fraction that balances the domains is below
# `MIN_STEP`.
BEGIN_RUN_TIMES = 0.5
# Wait that each unit of utilization above the largest one adds: the backlog that it
# adds in the time over which agents measure.
OVERLOAD_SECONDS = 2.0
# Halvings of the interval that contains the balanced fraction; the error is 0.4 %.
BISECTION_STEPS = 8
# Part of the fraction that is kept while this node's own link is short of room.
SHORT_LINK_FACTOR = 0.5
# Longest round trip to a domain that receives flows while the link is short of room:
# half of the 40 ms after which an opening is offered to a second agent, which doubles
# its packets on the link.
SHORT_LINK_MAX_ROUND_TRIP_SECONDS = 0.02


@frozen
class DomainOffer:
    """What a failure domain offers a new request.

    Attributes:
        seconds: Expected time until it is finished, path included.
        path_seconds: The part of it that the path takes or counts as.
        round_trip: Median round trip to its agents, seconds.
        capacity: Slots at full weight.
        busy: Slots in use, and those that the backlog would occupy.
        slots_per_agent: Mean number of slots of an agent.
    """

    seconds: float
    path_seconds: float
    round_trip: float
    capacity: float
    busy: float
    slots_per_agent: float = 1.0

    @property
    def room(self) -> float:
        """Free slots."""
        return max(0.0, self.capacity - self.busy)


@define(eq=False)
class Spillover:
    """Spillover of one service at one balancer.

    Attributes:
        fraction: Fraction of the new flows that are placed in other domains, 0 to 1.
        reported_fraction: The fraction whose effect the current reports show.
        free_fractions_by_domain: Free fraction of each domain that receives them.
        next_step_at: When the fraction may change next, seconds.
        stepped_at: When it could change last, seconds.
    """

    fraction: float = 0.0
    reported_fraction: float = 0.0
    free_fractions_by_domain: dict[str, float] = Factory(dict)
    next_step_at: float = float("-inf")
    stepped_at: float = float("-inf")

    def update(
        self,
        own: DomainOffer,
        others_by_domain: Mapping[str, DomainOffer],
        *,
        run_seconds: float,
        is_link_short: bool,
        random: Random,
        now: float,
    ) -> None:
        """Moves the fraction by a step if one is due.

        Args:
            own: What the own failure domain offers.
            others_by_domain: What the other domains offer.
            run_seconds: Typical run time of the service.
            is_link_short: Whether this node's own link is short of room.
            random: Random source for the interval of steps.
            now: Clock reading, seconds.
        """
        if now < self.next_step_at:
            return
        jitter = 1 + STEP_JITTER_FRACTION * (2 * random.random() - 1)
        self.next_step_at = now + STEP_INTERVAL_SECONDS * jitter
        kept = math.exp((self.stepped_at - now) / REPORT_LAG_SECONDS)
        self.reported_fraction = (
            kept * self.reported_fraction + (1 - kept) * self.fraction
        )
        self.stepped_at = now
        target = self._target(
            own,
            others_by_domain,
            run_seconds=run_seconds,
            is_link_short=is_link_short,
        )
        change = target - self.fraction
        if target < MIN_STEP:
            self.fraction = max(0.0, self.fraction - MAX_STEP)
        elif abs(change) >= MIN_STEP:
            # Without an earlier step the reports show the whole demand.
            gain = STEP_GAIN if self.fraction else 1.0
            self.fraction += max(-MAX_STEP, min(MAX_STEP, gain * change))

    def _target(
        self,
        own: DomainOffer,
        others_by_domain: Mapping[str, DomainOffer],
        *,
        run_seconds: float,
        is_link_short: bool,
    ) -> float:
        offers_by_domain = {
            name: offer
            for name, offer in others_by_domain.items()
            if offer.room > 0
            and not (
                is_link_short and offer.round_trip > SHORT_LINK_MAX_ROUND_TRIP_SECONDS
            )
        }
        if not offers_by_domain:
            return 0.0
        offers = list(offers_by_domain.values())
        if not self.fraction:
            gain = own.seconds - min(offer.seconds for offer in offers)
            if gain <= BEGIN_RUN_TIMES * run_seconds:
                return 0.0
        self.free_fractions_by_domain = {
            name: offer.room / offer.capacity
            for name, offer in offers_by_domain.items()
        }
        target = balanced_fraction(
            own,
            offers,
            run_seconds=run_seconds,
            reported_fraction=self.reported_fraction,
        )
        return target * SHORT_LINK_FACTOR if is_link_short else target


def balanced_fraction(
    own: DomainOffer,
    others: Sequence[DomainOffer],
    *,
    run_seconds: float,
    reported_fraction: float,
) -> float:
    """Returns the fraction at which the own domain is as fast as the others together.

    Args:
        own: What the own failure domain offers.
        others: What the domains offer that may receive flows, at least one.
        run_seconds: Typical run time of the service.
        reported_fraction: Fraction whose effect the reports show.

    Returns:
        Fraction of the own domain's demand, 0 to 1; 0 if it is faster by itself.
    """
    demand = own.busy / max(1 - reported_fraction, MIN_STEP)
    room = sum(offer.room for offer in others)
    path = sum(offer.path_seconds * offer.room for offer in others) / room
    capacity = sum(offer.capacity for offer in others)
    busy = sum(offer.busy for offer in others)
    slots = sum(offer.slots_per_agent for offer in others) / len(others)

    def gain(fraction: float) -> float:
        own_utilization = demand * (1 - fraction) / own.capacity
        moved = demand * (fraction - reported_fraction)
        return (
            own.path_seconds
            + _wait(run_seconds, own.slots_per_agent, own_utilization)
            - path
            - _wait(run_seconds, slots, (busy + moved) / capacity)
        )

    if gain(0.0) <= 0:
        return 0.0
    low, high = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if gain(middle) > 0:
            low = middle
        else:
            high = middle
    return low


def _wait(run_seconds: float, slots: float, utilization: float) -> float:
    excess = max(0.0, utilization - MAX_UTILIZATION)
    wait = mean_queue_wait(run_seconds, slots, utilization)
    return wait + excess * OVERLOAD_SECONDS
