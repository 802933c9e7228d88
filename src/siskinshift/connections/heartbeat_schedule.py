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


# Limit to peers of the own failure domain: up to a dozen get one twice a second.
LOCAL_HEARTBEATS_PER_SECOND = 24.0
# Limit to all other peers.
REMOTE_HEARTBEATS_PER_SECOND = 12.0
# Heartbeats to the peers of other domains are spread over batches at this interval.
REMOTE_BATCH_INTERVAL_SECONDS = 0.25


@frozen
class HeartbeatRound:
    """A batch of peers that get the same heartbeat.

    Attributes:
        peers: Recipients of the heartbeat.
        next_heartbeat_within: Seconds within which the next heartbeat follows.
    """

    peers: Sequence[Peer]
    next_heartbeat_within: float


class HeartbeatSchedule:
    """Schedule of one node's heartbeats to the peers of one role."""

    def __init__(self, *, failure_domain: str, interval: float) -> None:
        """Initializes the schedule with all heartbeats due.

        Args:
            failure_domain: Failure domain of the node.
            interval: Seconds between two heartbeats to one peer while peers are few.
        """
        self._failure_domain = failure_domain
        self._interval = interval
        self._local_due = float("-inf")
        self._remote_due = float("-inf")
        self._remote_index = 0
        self._remote_credit = 0.0

    @property
    def next_due(self) -> float:
        """Clock reading at which `due` is needed next, seconds."""
        return min(self._local_due, self._remote_due)

    def expedite(self) -> None:
        """Makes the heartbeats to the own failure domain due at once."""
        self._local_due = float("-inf")

    def due(self, peers: Sequence[Peer], *, now: float) -> list[HeartbeatRound]:
        """Returns the heartbeats that are due.

        Args:
            peers: All peers of the role, in a stable order.
            now: Clock reading, seconds.

        Returns:
            Peers of the own failure domain, and a batch of the other peers.
        """
        rounds = []
        if now >= self._local_due:
            local = [peer for peer in peers if self._is_local(peer)]
            interval = self._interval_for(len(local), LOCAL_HEARTBEATS_PER_SECOND)
            self._local_due = now + interval
            rounds.append(HeartbeatRound(local, interval))
        if now >= self._remote_due:
            self._remote_due = now + REMOTE_BATCH_INTERVAL_SECONDS
            rounds.append(
                self._remote_batch([p for p in peers if not self._is_local(p)])
            )
        return [heartbeat_round for heartbeat_round in rounds if heartbeat_round.peers]

    def _remote_batch(self, remote: list[Peer]) -> HeartbeatRound:
        interval = self._interval_for(len(remote), REMOTE_HEARTBEATS_PER_SECOND)
        self._remote_credit += len(remote) * REMOTE_BATCH_INTERVAL_SECONDS / interval
        count = min(math.floor(self._remote_credit), len(remote))
        self._remote_credit -= count
        start = self._remote_index % len(remote) if remote else 0
        self._remote_index = start + count
        return HeartbeatRound((remote + remote)[start : start + count], interval)

    def _interval_for(self, count: int, rate: float) -> float:
        return max(self._interval, count / rate)

    def _is_local(self, peer: Peer) -> bool:
        return peer.member.failure_domain == self._failure_domain
