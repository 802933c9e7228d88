"""Limits the rate of new flows to an upstream that is cold.

When a failure domain returns, all of its upstreams are cold and have no open flows, so
every balancer ranks them as the least loaded ones.
"""

from __future__ import annotations

from collections import deque


WINDOW_SECONDS = 1.0


class WarmUpLimit:
    """Rate limit on the new flows of one upstream over a sliding window.

    Only the agent beside the upstream receives the new flows of all balancers.

    Attributes:
        rate: New flows per second while the upstream is cold; 0 for no limit.
    """

    def __init__(self) -> None:
        """Initializes the limiter without a limit."""
        self.rate = 0.0
        self._admitted_at: deque[float] = deque()

    def admits(self, *, is_cold: bool, now: float) -> bool:
        """Returns whether to admit a new flow, and counts it if so.

        Args:
            is_cold: Whether the upstream is cold.
            now: Clock reading, seconds.

        Returns:
            Whether the upstream may get the flow.
        """
        if not self.rate:
            return True
        while self._admitted_at and now - self._admitted_at[0] > WINDOW_SECONDS:
            self._admitted_at.popleft()
        # At a rate below one per second, one flow still warms up the upstream.
        if is_cold and len(self._admitted_at) >= max(1, int(self.rate)):
            return False
        self._admitted_at.append(now)
        return True
