"""Decides when refusing of new flows begins and ends.

Load: a burst holds the queueing delay at the limit, where it moves above and below it
with each response. With a single threshold refusals would alternate with admissions,
and balancers would place flows by a state that is over when they act on it. While
refusing is in force, the lower delay is the limit of each new flow; otherwise it is the
upper one.
"""

from __future__ import annotations

from attrs import define


# Shortest time between two changes. The queueing delays at which refusing begins are
# about a second, so the backlog takes about as long to drain.
MIN_DWELL_SECONDS = 1.0


@define(eq=False)
class RefusalState:
    """Whether new flows of one urgency are being refused.

    Attributes:
        is_refusing: Whether refusing is in force.
        changed_at: Time of the last change, seconds.
    """

    is_refusing: bool = False
    changed_at: float = float("-inf")

    def update(self, wait: float, *, begins: float, ends: float, now: float) -> bool:
        """Updates the state.

        Args:
            wait: Queueing delay now, seconds.
            begins: Delay above which refusing begins, seconds.
            ends: Delay below which it ends, seconds, less than `begins`.
            now: Clock reading, seconds.

        Returns:
            Whether refusing is in force.
        """
        if now - self.changed_at < MIN_DWELL_SECONDS:
            return self.is_refusing
        if wait < ends if self.is_refusing else wait > begins:
            self.is_refusing = not self.is_refusing
            self.changed_at = now
        return self.is_refusing
