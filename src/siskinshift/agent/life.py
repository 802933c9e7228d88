"""Decides in which state and with which weight an agent shows itself. No clock.

Load patterns. A cold start: a new agent at full weight would get its whole part of
new flows while its upstream is cold, and their callers would wait. A drain: all
buckets given away at once would make every peer claim, list and settle in the same
moment. Both go in few steps, because each step moves buckets and costs messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from siskinshift.settings.generated import FlowsSettings


# Doubling: the first step shows whether the upstream works at all.
RAMP_WEIGHTS = (125, 250, 500, FULL_WEIGHT)
# Two steps before none: with at most 3 s allowed, more would not settle in between.
SHIFT_WEIGHTS = (500, 125)
# Peers hear of the drain before callers do: a caller that comes back at once would
# else be sent here again. Gossip takes a few hundred milliseconds.
GOAWAY_DELAY_SECONDS = 0.7


@frozen
class LifeStep:
    """What to announce.

    Attributes:
        state: New state.
        weight: New weight, 0 to 1000.
    """

    state: MemberState
    weight: int


class AgentLife:
    """Life of an agent: joining, ready with a ramp, shift, draining."""

    def __init__(self, settings: FlowsSettings) -> None:
        """Prepares a joining agent.

        Args:
            settings: Times of ramp and shift.
        """
        self._settings = settings
        self._announced = LifeStep(MemberState.JOINING, 0)
        self._ready_since: float | None = None
        self._draining_since: float | None = None
        self._weight_before_drain = 0

    @property
    def is_announced_draining(self) -> bool:
        """Whether the agent takes no new flows any more."""
        return self._announced.state is MemberState.DRAINING

    def drain(self, *, now: float) -> None:
        """Begins to leave; a second call changes nothing.

        Args:
            now: Clock reading, seconds.
        """
        if self._draining_since is None:
            self._draining_since = now
            self._weight_before_drain = self._announced.weight

    def step(self, *, now: float, knows_service: bool) -> LifeStep | None:
        """Lets time pass.

        Args:
            now: Clock reading, seconds.
            knows_service: Whether the view has the service that the agent is for.

        Returns:
            What to announce, or None without news.
        """
        wanted = self._wanted(now, knows_service)
        if wanted == self._announced:
            return None
        self._announced = wanted
        return wanted

    def sends_callers_away(self, *, now: float) -> bool:
        """Tells whether callers of requests should move to other agents.

        Args:
            now: Clock reading, seconds.

        Returns:
            True once all buckets are given away and peers have heard of it.
        """
        if self._draining_since is None:
            return False
        shifted_at = self._draining_since + self._settings.shift_duration
        return now >= shifted_at + GOAWAY_DELAY_SECONDS

    def _wanted(self, now: float, knows_service: bool) -> LifeStep:
        if self._draining_since is not None:
            return self._shifted(now - self._draining_since)
        if self._ready_since is None:
            if not knows_service:
                return self._announced
            self._ready_since = now
        return LifeStep(MemberState.READY, self._ramped(now - self._ready_since))

    def _ramped(self, elapsed: float) -> int:
        duration = self._settings.ramp_duration
        if elapsed >= duration:
            return FULL_WEIGHT
        steps = len(RAMP_WEIGHTS) - 1
        return RAMP_WEIGHTS[int(steps * elapsed / duration)]

    def _shifted(self, elapsed: float) -> LifeStep:
        duration = self._settings.shift_duration
        if elapsed >= duration or self._announced.state is not MemberState.READY:
            return LifeStep(MemberState.DRAINING, 0)
        step = SHIFT_WEIGHTS[int(len(SHIFT_WEIGHTS) * elapsed / duration)]
        return LifeStep(MemberState.READY, min(step, self._weight_before_drain))
