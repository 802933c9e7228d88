"""Adaptive concurrency limit for an upstream.

An upstream may shed load or serve fewer requests than its configured slots. Without a
limit, each request beyond its capacity is rejected or lost after it was offered, when
a retry is no longer safe.

The limit follows additive increase, multiplicative decrease, based on the agent's own
observations: a response that reports overload, or no response. Slot time alone does not
lower the limit: if everything is slow for another reason, each agent would cut its
slots and the service would lose capacity when it has least. An overload signal lowers
the limit by a third, not half, because the limits are small numbers. One slot is added
after 16 consecutive successes, so a limit that is one too high costs at most one lost
request in 17.
"""

from __future__ import annotations


DECREASE_FACTOR = 0.67
SUCCESSES_PER_ADDED_SLOT = 16


class AdaptiveLimit:
    """Limits the slots in use to between 1 and the configured slots.

    Attributes:
        current: Slots that may be used.
    """

    def __init__(self, slots: int) -> None:
        """Initializes the limit to the configured slots.

        Args:
            slots: Configured slots of the upstream.
        """
        self._max_slots = slots
        self._consecutive_successes = 0
        self.current = slots

    def record_success(self) -> None:
        """Counts a successful response."""
        self._consecutive_successes += 1
        if self._consecutive_successes >= SUCCESSES_PER_ADDED_SLOT:
            self._consecutive_successes = 0
            self.current = min(self._max_slots, self.current + 1)

    def record_overload(self) -> None:
        """Lowers the limit after an overload signal from the upstream."""
        self._consecutive_successes = 0
        self.current = max(1, int(self.current * DECREASE_FACTOR))
