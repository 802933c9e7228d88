"""Which peers a node sends a heartbeat, and when.

Pattern: hundreds of nodes, where heartbeats of all to all would take more of a node's
processor and link than the callers do. A node sends a bounded number a second, to peers
of its own failure domain first: nearly all flows are placed there, by the loads that
heartbeats carry. Each names the time until the next one, for the failure detector.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from attrs import frozen

from siskinshift.connections.fleet import Peer


# To peers of the own failure domain. Up to a dozen of them get one twice a second.
NEAR_HEARTBEATS_PER_SECOND = 24.0
# To all other peers.
FAR_HEARTBEATS_PER_SECOND = 12.0
# A turn of the others is sent in parts of this length, so that heartbeats are spread.
PART_SECONDS = 0.25


@frozen
class HeartbeatRound:
    """Peers that are sent the same heartbeat now.

    Attributes:
        peers: Who gets it.
        next_within: Seconds within which they get the next one.
    """

    peers: Sequence[Peer]
    next_within: float


class HeartbeatSchedule:
    """The turns of one node among one kind of peers."""

    def __init__(self, *, failure_domain: str, interval: float) -> None:
        """Begins with the first turn.

        Args:
            failure_domain: Failure domain of the node.
            interval: Seconds between two heartbeats to one peer while peers are few.
        """
        self._failure_domain = failure_domain
        self._interval = interval
        self._near_due = float("-inf")
        self._far_due = float("-inf")
        self._far_index = 0
        self._far_owed = 0.0

    @property
    def next_due(self) -> float:
        """When `due` is needed next: clock reading, seconds."""
        return min(self._near_due, self._far_due)

    def expedite(self) -> None:
        """Makes the heartbeats to the own failure domain due now."""
        self._near_due = float("-inf")

    def due(self, peers: Sequence[Peer], *, now: float) -> list[HeartbeatRound]:
        """Names who is sent one now.

        Args:
            peers: All peers of the kind, in an order that lasts.
            now: Clock reading, seconds.

        Returns:
            Peers of the own failure domain, and a part of the others.
        """
        rounds = []
        if now >= self._near_due:
            near = [peer for peer in peers if self._is_near(peer)]
            pause = self._pause(len(near), NEAR_HEARTBEATS_PER_SECOND)
            self._near_due = now + pause
            rounds.append(HeartbeatRound(near, pause))
        if now >= self._far_due:
            self._far_due = now + PART_SECONDS
            rounds.append(self._part([p for p in peers if not self._is_near(p)]))
        return [each for each in rounds if each.peers]

    def _part(self, far: list[Peer]) -> HeartbeatRound:
        pause = self._pause(len(far), FAR_HEARTBEATS_PER_SECOND)
        self._far_owed += len(far) * PART_SECONDS / pause
        count = min(math.floor(self._far_owed), len(far))
        self._far_owed -= count
        start = self._far_index % len(far) if far else 0
        self._far_index = start + count
        return HeartbeatRound((far + far)[start : start + count], pause)

    def _pause(self, count: int, rate: float) -> float:
        return max(self._interval, count / rate)

    def _is_near(self, peer: Peer) -> bool:
        return peer.member.failure_domain == self._failure_domain
