"""How many of an upstream's slots are used.

Pattern: an upstream that sheds load, or can do less than its configured slots for a
while. Without it each request beyond what the upstream can do is turned away or lost
there, after it was offered, where a refusal is no longer safe to repeat.

Additive increase, multiplicative decrease on what the agent sees itself: an answer that
says "too much to do", or none at all. Slot time alone does not lower the limit: when
everything is slow for another reason, each agent would cut its slots and the service
would lose capacity in the moment it has least. A third is taken off at each sign, not
half, since the limits are small numbers; one slot is given back after 16 good answers
in a row, so that a limit one too high costs at most one lost request in 17.
"""

from __future__ import annotations


DECREASE_FACTOR = 0.67
GOOD_ANSWERS_FOR_ONE_SLOT = 16


class AdaptiveLimit:
    """The number of slots in use, between 1 and the configured slots.

    Attributes:
        limit: Slots that may be used.
    """

    def __init__(self, slots: int) -> None:
        """Starts at the configured slots.

        Args:
            slots: Configured slots of the upstream.
        """
        self._slots = slots
        self._good_in_a_row = 0
        self.limit = slots

    def answered(self) -> None:
        """Takes a good answer."""
        self._good_in_a_row += 1
        if self._good_in_a_row >= GOOD_ANSWERS_FOR_ONE_SLOT:
            self._good_in_a_row = 0
            self.limit = min(self._slots, self.limit + 1)

    def refused(self) -> None:
        """Takes a sign that the upstream had too much to do."""
        self._good_in_a_row = 0
        self.limit = max(1, int(self.limit * DECREASE_FACTOR))
