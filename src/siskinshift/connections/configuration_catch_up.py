"""When a balancer asks a peer for a configuration that it lacks; needs no network."""

from __future__ import annotations


# Changes reach all balancers within milliseconds of each other while the store answers
# them; one that has not even begun to read by then is turned away. Far below the three
# seconds within which a change has to be in force.
FETCH_AFTER_SECONDS = 0.4
# A balancer that starts has no configuration to go on with. The store answers in 4 ms;
# sixty times that is its slowest seen disturbance.
START_SECONDS = 0.25


class CatchUp:
    """Decides by what peers tell and by how the own reading comes along.

    Pattern of load: a change of a long configuration, and balancers on thin links. One
    at 7 Mbit/s reads 4,246 routes for 1.1 s, while peers on better links hold the
    change at once. A peer's copy beside a reading that flows makes both late, since
    they share the link.
    """

    def __init__(self) -> None:
        """Starts without word of any version."""
        self._newest_announced = 0
        self._behind_since = 0.0

    def is_due(
        self,
        *,
        announced: int,
        held: int,
        last_progress_at: float,
        is_failing: bool = False,
        now: float,
    ) -> bool:
        """Takes a peer's word and decides whether its copy is needed now.

        Args:
            announced: Version that the peer holds.
            held: Version in force here; 0 for none.
            last_progress_at: When the newest part of the own reading came, seconds.
            is_failing: Whether the last own reading failed.
            now: Clock reading, seconds.

        Returns:
            Whether to fetch from this peer.
        """
        if announced <= held:
            return False
        if self._newest_announced <= held:
            self._behind_since = now
        self._newest_announced = max(self._newest_announced, announced)
        is_flowing = now - last_progress_at < FETCH_AFTER_SECONDS
        patience = FETCH_AFTER_SECONDS
        if held == 0:
            # Nobody is served without a configuration.
            patience = 0.0 if is_failing else START_SECONDS
        return now - self._behind_since >= patience and not is_flowing
