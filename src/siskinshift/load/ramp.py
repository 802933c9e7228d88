"""Cold-start ramp.

Pattern: an upstream that was just started (caches, connections, code still cold).
Without it the idle newcomer looks best to everybody, gets a full part at once and
answers it slowly; with many newcomers after a rollout the service dips.

The part grows from a tenth to all of it over the ramp time, in a straight line: work is
what warms an upstream, so the ramp never starts at nothing. Own requests of a one-slot
upstream still run; the ramp decides how much it takes from peers and how much it hands
over, and what weight it announces for new flows.
"""

from __future__ import annotations


LEAST_PART = 0.1


class ColdStartRamp:
    """Part of full load that an upstream should get."""

    def __init__(self, *, started_at: float, ramp_time: float) -> None:
        """Starts a ramp.

        Args:
            started_at: Clock reading at the start of the upstream, seconds.
            ramp_time: Seconds to full load.
        """
        self._started_at = started_at
        self._ramp_time = ramp_time

    def part(self, *, now: float) -> float:
        """Reads the ramp.

        Args:
            now: Clock reading, seconds.

        Returns:
            The part, 0.1 to 1.
        """
        if self._ramp_time <= 0:
            return 1.0
        passed = (now - self._started_at) / self._ramp_time
        return min(1.0, max(LEAST_PART, passed))
