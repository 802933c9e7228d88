"""Detects that an upstream started after the agent's previous process had ended.

After a power loss, callers continue to use hundreds of flows that are in no flow
snapshot, and each agent has to deny owning them. An agent that cannot rule out that its
upstream kept running has to probe the upstream with each of these flows. On links of a
few Mbit/s, those packets leave no bandwidth for owner lookups, and none completes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.connections.incarnation import Incarnation
    from siskinshift.connections.upstream_state import Heartbeat


class UpstreamRestartCheck:
    """Compares the first heartbeat with the snapshot of the previous process.

    A cold upstream whose incarnation differs from the one in the snapshot holds no flow
    that this process does not track: all flows of an upstream pass through its agent,
    and an agent writes a new incarnation to its snapshot as soon as it receives a
    heartbeat of it. Without a snapshot the check is inconclusive, since the previous
    process may have ended before it wrote one.
    """

    def __init__(self) -> None:
        """Initializes the check without a heartbeat or a snapshot."""
        self._first_heartbeat: Heartbeat | None = None
        self._snapshot_incarnation: Incarnation | None = None

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Handles a heartbeat; only the first one has an effect.

        Args:
            heartbeat: The heartbeat.

        Returns:
            Whether this shows that the upstream is new.
        """
        if self._first_heartbeat is not None:
            return False
        self._first_heartbeat = heartbeat
        return self._is_new

    def on_snapshot_read(self, incarnation: Incarnation | None) -> bool:
        """Records the incarnation in the snapshot of the previous process.

        Args:
            incarnation: Incarnation of the upstream; None if the snapshot has none.

        Returns:
            Whether this shows that the upstream is new.
        """
        self._snapshot_incarnation = incarnation
        return self._is_new

    @property
    def _is_new(self) -> bool:
        if self._first_heartbeat is None:
            return False
        is_other = self._snapshot_incarnation not in (
            None,
            self._first_heartbeat.incarnation,
        )
        return is_other and self._first_heartbeat.cold_seconds > 0
