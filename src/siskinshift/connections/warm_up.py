"""How many new flows an upstream gets while it is cold.

Pattern of load: a failure domain returns with all of its upstreams cold and no flow
open, so every balancer finds them the least loaded ones.
"""

from __future__ import annotations

from collections import deque


WINDOW_SECONDS = 1.0


class WarmUpLimit:
    """Counts the new flows of one upstream over a sliding window.

    The agent beside the upstream is the one place that sees those of all balancers.

    Attributes:
        rate: New flows a second that the upstream bears while cold; 0 for no limit.
    """

    def __init__(self) -> None:
        """Starts without a limit."""
        self.rate = 0.0
        self._admitted_at: deque[float] = deque()

    def admits(self, *, is_cold: bool, now: float) -> bool:
        """Decides on a new flow and counts it if it is admitted.

        Args:
            is_cold: Whether the upstream is cold.
            now: Clock reading, seconds.

        Returns:
            Whether the upstream may get it.
        """
        if not self.rate:
            return True
        while self._admitted_at and now - self._admitted_at[0] > WINDOW_SECONDS:
            self._admitted_at.popleft()
        # A rate below one a second still lets the upstream warm up.
        if is_cold and len(self._admitted_at) >= max(1, int(self.rate)):
            return False
        self._admitted_at.append(now)
        return True
