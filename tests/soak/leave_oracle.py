"""Checks that upstreams receive no opening packets after their acknowledged leave."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.standins.connection_ends import UpstreamRecord


# A leaving upstream gets no new flow later than this after the acknowledgement.
MAX_LEAVE_SECONDS = 3.0


class LeaveOracle:
    """The acknowledged leaves of all upstreams."""

    def __init__(self) -> None:
        """Initializes the oracle without a leave."""
        self._leaves: list[tuple[UpstreamRecord, float]] = []

    def record_leave(self, record: UpstreamRecord, *, now: float) -> None:
        """Records that a leave was acknowledged.

        Args:
            record: Record of the leaving incarnation.
            now: Clock reading, seconds; after the response of the agent.
        """
        self._leaves.append((record, now))

    def find_violations(self) -> list[float]:
        """Returns when leaving upstreams received opening packets too late."""
        return [
            at
            for record, acknowledged_at in self._leaves
            for at in record.opened_at
            if at > acknowledged_at + MAX_LEAVE_SECONDS
        ]
