"""Schedules the heartbeats of a node to its peers.

With hundreds of nodes, heartbeats of all to all would use more of a node's processor
and link than the callers do. A node sends a bounded number per second, to peers of its
own failure domain first: nearly all flows are placed there, by the loads that
heartbeats carry. Each heartbeat includes the time until the next one for the failure
detector.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from attrs import frozen

from siskinshift.connections.fleet import Peer


# To peers of the own failure domain; up to a dozen of them get one twice a second.
NEAR_HEARTBEATS_PER_SECOND = 24.0
# To all other peers.
FAR_HEARTBEATS_PER_SECOND = 12.0
# Interval between two batches to the peers of other domains, which spreads the
# heartbeats.
BATCH_SECONDS = 0.25


@frozen
class HeartbeatRound:
    """A batch of peers that get the same heartbeat.

    Attributes:
        peers: Recipients of the heartbeat.
        next_heartbeat_within: Seconds within which they get the next one.
    """

    peers: Sequence[Peer]
    next_heartbeat_within: float


class HeartbeatSchedule:
    """Schedule of one node's heartbeats to the peers of one kind."""

    def __init__(self, *, failure_domain: str, interval: float) -> None:
        """Initializes the schedule with all heartbeats due.

        Args:
            failure_domain: Failure domain of the node.
            interval: Seconds between two heartbeats to one peer while peers are few.
        """
        self._failure_domain = failure_domain
        self._interval = interval
        self._near_due = float("-inf")
        self._far_due = float("-inf")
        self._far_index = 0
        self._far_credit = 0.0

    @property
    def next_due(self) -> float:
        """Clock reading at which `due` is needed next, seconds."""
        return min(self._near_due, self._far_due)

    def expedite(self) -> None:
        """Makes the heartbeats to the own failure domain due at once."""
        self._near_due = float("-inf")

    def due(self, peers: Sequence[Peer], *, now: float) -> list[HeartbeatRound]:
        """Returns the heartbeats that are due.

        Args:
            peers: All peers of the kind, in a stable order.
            now: Clock reading, seconds.

        Returns:
            Peers of the own failure domain, and a batch of the other peers.
        """
        rounds = []
        if now >= self._near_due:
            near = [peer for peer in peers if self._is_near(peer)]
            interval = self._interval_for(len(near), NEAR_HEARTBEATS_PER_SECOND)
            self._near_due = now + interval
            rounds.append(HeartbeatRound(near, interval))
        if now >= self._far_due:
            self._far_due = now + BATCH_SECONDS
            rounds.append(self._far_batch([p for p in peers if not self._is_near(p)]))
        return [each for each in rounds if each.peers]

    def _far_batch(self, far: list[Peer]) -> HeartbeatRound:
        interval = self._interval_for(len(far), FAR_HEARTBEATS_PER_SECOND)
        self._far_credit += len(far) * BATCH_SECONDS / interval
        count = min(math.floor(self._far_credit), len(far))
        self._far_credit -= count
        start = self._far_index % len(far) if far else 0
        self._far_index = start + count
        return HeartbeatRound((far + far)[start : start + count], interval)

    def _interval_for(self, count: int, rate: float) -> float:
        return max(self._interval, count / rate)

    def _is_near(self, peer: Peer) -> bool:
        return peer.member.failure_domain == self._failure_domain
