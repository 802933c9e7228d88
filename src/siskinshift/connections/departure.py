"""When a balancer that was told to end says that it is not ready, and when it ends.

Pattern: balancers are restarted in turn. Routers take one that says not ready out of
rotation, but as soon as fewer than half of a failure domain's balancers are left they
send to all of them again, the stopped ones included. Without the wait below, the second
of three that leaves sends a third of the domain's packets to the first one, which is
not back yet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinshift.connections.fleet import Peer


# Routers probe each half second, and two misses take a balancer out of rotation.
ROTATION_SECONDS = 1.6
# Packets that the routers sent before that have arrived after this.
QUIET_SECONDS = 0.5
# Left of the time until the process is killed, for its clean-up.
RESERVE_SECONDS = 0.8


@define(eq=False)
class Departure:
    """A planned end of a balancer.

    Attributes:
        started_at: When the process was told to end, seconds.
        leave_seconds: Time from then until it is killed.
        not_ready_at: Since when it has said not ready; None before.
    """

    started_at: float
    leave_seconds: float
    not_ready_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the balancer says not ready."""
        return self.not_ready_at is not None

    def may_end(
        self, peers: Collection[Peer], *, received_at: float, now: float
    ) -> bool:
        """Decides on the next step.

        Args:
            peers: The other balancers of the failure domain.
            received_at: When the last packet of a caller came, seconds.
            now: Clock reading, seconds.

        Returns:
            Whether the process may end now.
        """
        end_by = self.started_at + self.leave_seconds - RESERVE_SECONDS
        if self.not_ready_at is None:
            must_begin = now >= end_by - ROTATION_SECONDS
            if must_begin or _can_spare_one(peers, now=now):
                self.not_ready_at = now
            return False
        if now >= end_by:
            return True
        rotated_at = self.not_ready_at + ROTATION_SECONDS
        return now >= max(rotated_at, received_at + QUIET_SECONDS)


def _can_spare_one(peers: Collection[Peer], *, now: float) -> bool:
    ready = sum(
        peer.member.state is MemberState.READY and not peer.is_unresponsive(now=now)
        for peer in peers
    )
    # One that serves alone can't wait for others: neighbouring domains take over.
    return not peers or 2 * ready >= len(peers) + 1
