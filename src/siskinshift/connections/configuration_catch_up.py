"""Decides when a balancer requests a newer configuration from a peer."""

from __future__ import annotations


# While the store responds, changes reach all balancers within milliseconds of each
# other, so the store has refused a balancer that has not begun to read by then. Far
# below the three seconds within which a change has to be in force.
FETCH_AFTER_SECONDS = 0.4
# A starting balancer has no configuration to continue with. The store responds in 4 ms,
# and in its slowest observed disturbance in sixty times that.
START_DELAY_SECONDS = 0.25


class CatchUp:
    """Tracks the versions that peers announce and how long this balancer is behind.

    A balancer on a link of 7 Mbit/s needs 1.1 s to read 4,246 routes, while peers on
    faster links have the change at once. Fetching it from a peer during the read from
    the store would delay both, since they share the link.
    """

    def __init__(self) -> None:
        """Initializes the state without an announced version."""
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
        """Handles a version that a peer announced.

        Args:
            announced: Version that the peer holds.
            held: Version in force here; 0 for none.
            last_progress_at: Time at which the newest part of the read from the store
                arrived, seconds.
            is_failing: Whether the last read from the store failed.
            now: Clock reading, seconds.

        Returns:
            Whether to fetch the configuration from this peer now.
        """
        if announced <= held:
            return False
        if self._newest_announced <= held:
            self._behind_since = now
        self._newest_announced = max(self._newest_announced, announced)
        is_flowing = now - last_progress_at < FETCH_AFTER_SECONDS
        delay = FETCH_AFTER_SECONDS
        if held == 0:
            # Without a configuration, no caller is served.
            delay = 0.0 if is_failing else START_DELAY_SECONDS
        return now - self._behind_since >= delay and not is_flowing
