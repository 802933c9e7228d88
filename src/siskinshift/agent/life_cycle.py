"""Computes the state and weight that an agent announces. No I/O, no clock.

A new agent at full weight would get its full share of new flows while its upstream is
cold, and their callers would wait. A draining agent that released all buckets at once
would make all peers claim them, exchange flow lists and resolve owners in the same
window. Both therefore take a few steps; each one moves buckets and costs messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.core.members import FULL_WEIGHT
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from siskinshift.settings.generated import FlowsSettings


# The weight doubles in each step. The first one shows whether the upstream works.
RAMP_WEIGHTS = (125, 250, 500, FULL_WEIGHT)
# Two steps before weight 0: with at most 3 s allowed, ownership would not converge
# between more steps.
SHIFT_WEIGHTS = (500, 125)
# Callers are redirected once peers have received the drain by gossip, which takes a
# few hundred milliseconds. A caller that reconnects earlier is routed here again.
GOAWAY_DELAY_SECONDS = 0.7


@frozen
class AnnouncedState:
    """State and weight of an agent in membership.

    Attributes:
        state: Member state.
        weight: Weight, 0 to 1000.
    """

    state: MemberState
    weight: int


class AgentLifeCycle:
    """State machine of an agent: joining, ready, draining.

    The weight rises in steps during the ramp after joining and falls in steps during
    the shift before draining.
    """

    def __init__(self, settings: FlowsSettings) -> None:
        """Initializes a joining agent.

        Args:
            settings: Durations of ramp and shift.
        """
        self._settings = settings
        self._announced = AnnouncedState(MemberState.JOINING, 0)
        self._ready_at: float | None = None
        self._drain_started_at: float | None = None
        self._weight_before_drain = 0

    @property
    def is_draining_announced(self) -> bool:
        """Whether the agent has announced that it accepts no new flows."""
        return self._announced.state is MemberState.DRAINING

    def drain(self, *, now: float) -> None:
        """Starts the drain; a second call has no effect.

        Args:
            now: Clock reading, seconds.
        """
        if self._drain_started_at is None:
            self._drain_started_at = now
            self._weight_before_drain = self._announced.weight

    def step(self, *, now: float, has_service: bool) -> AnnouncedState | None:
        """Advances the state machine.

        Args:
            now: Clock reading, seconds.
            has_service: Whether the view contains a service of the agent's upstream
                class.

        Returns:
            The state to announce, or None if it is unchanged.
        """
        target = self._target_state(now, has_service)
        if target == self._announced:
            return None
        self._announced = target
        return target

    def redirects_callers(self, *, now: float) -> bool:
        """Returns whether callers of requests should move to other agents.

        Args:
            now: Clock reading, seconds.

        Returns:
            True once all buckets were released and peers had time to receive this.
        """
        if self._drain_started_at is None:
            return False
        shifted_at = self._drain_started_at + self._settings.shift_duration
        return now >= shifted_at + GOAWAY_DELAY_SECONDS

    def _target_state(self, now: float, has_service: bool) -> AnnouncedState:
        if self._drain_started_at is not None:
            return self._drain_state(now - self._drain_started_at)
        if self._ready_at is None:
            if not has_service:
                return self._announced
            self._ready_at = now
        return AnnouncedState(
            MemberState.READY, self._ramp_weight(now - self._ready_at)
        )

    def _ramp_weight(self, elapsed: float) -> int:
        duration = self._settings.ramp_duration
        if elapsed >= duration:
            return FULL_WEIGHT
        steps = len(RAMP_WEIGHTS) - 1
        return RAMP_WEIGHTS[int(steps * elapsed / duration)]

    def _drain_state(self, elapsed: float) -> AnnouncedState:
        duration = self._settings.shift_duration
        if elapsed >= duration or self._announced.state is not MemberState.READY:
            return AnnouncedState(MemberState.DRAINING, 0)
        weight = SHIFT_WEIGHTS[int(len(SHIFT_WEIGHTS) * elapsed / duration)]
        return AnnouncedState(MemberState.READY, min(weight, self._weight_before_drain))
