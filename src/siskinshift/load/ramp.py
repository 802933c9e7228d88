"""Cold-start ramp of an upstream.

An upstream that was just started has cold caches, connections and code. Without a ramp
the idle upstream looks best to all peers, gets its full load at once and responds
slowly; after a rollout with many new upstreams the service degrades.

The fraction of full load grows linearly from a tenth to 1 over the ramp duration. It
does not start at zero, because only requests warm up an upstream. Own requests of a
one-slot upstream still run; the ramp controls how many requests it accepts from peers,
how many it hands over, and which weight it announces for new flows.
"""

from __future__ import annotations


MIN_RAMP_FRACTION = 0.1


class ColdStartRamp:
    """Computes the fraction of full load that an upstream should get."""

    def __init__(self, *, started_at: float, ramp_duration: float) -> None:
        """Initializes the ramp.

        Args:
            started_at: Clock reading at the start of the upstream, seconds.
            ramp_duration: Seconds to full load.
        """
        self._started_at = started_at
        self._ramp_duration = ramp_duration

    def fraction(self, *, now: float) -> float:
        """Returns the current fraction of full load.

        Args:
            now: Clock reading, seconds.

        Returns:
            The fraction, 0.1 to 1.
        """
        if self._ramp_duration <= 0:
            return 1.0
        elapsed = (now - self._started_at) / self._ramp_duration
        return min(1.0, max(MIN_RAMP_FRACTION, elapsed))
