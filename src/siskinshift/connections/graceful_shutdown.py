"""Decides when a terminating balancer reports not ready and when its process ends.

Balancers are restarted one after the other. Routers take one that reports not ready out
of rotation, but as soon as fewer than half of a failure domain's balancers are ready,
they send to all of them again, including the stopped ones. Without the wait below, the
termination of the second of three would send a third of the domain's packets to the
first one, which is not ready again yet. If no balancer of the domain is ready, routers
send to neighbouring domains, so the last one does not wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinshift.connections.fleet import Peer


# Routers probe every half second, and two failures take a balancer out of rotation.
ROTATION_REMOVAL_SECONDS = 1.6
# Packets in transit have arrived if no caller's packet was received for this time.
QUIET_SECONDS = 0.5
# Reserved for clean-up before the process is killed.
CLEANUP_SECONDS = 0.8


@frozen
class Rotation:
    """The other balancers of a failure domain, as one balancer sees them.

    Attributes:
        ready: Those that are ready and responsive.
        unavailable: Member ids of all others.
    """

    ready: int
    unavailable: tuple[str, ...] = ()

    @property
    def can_spare_one(self) -> bool:
        """Whether routers send to no unavailable balancer without this one."""
        # Without ready balancers in the domain, neighbouring domains take over.
        is_empty = self.ready == 0
        return is_empty or 2 * self.ready >= self.ready + len(self.unavailable) + 1


NO_PEERS = Rotation(ready=0)


@define(eq=False)
class GracefulShutdown:
    """State of a balancer's planned shutdown.

    Attributes:
        started_at: Time at which the shutdown was requested, seconds.
        leave_seconds: Time from then until the process is killed.
        not_ready_at: Time since which it has reported not ready; None before.
        rotation: The peers that the newest decision was based on.
    """

    started_at: float
    leave_seconds: float
    not_ready_at: float | None = None
    rotation: Rotation = NO_PEERS

    @property
    def reports_not_ready(self) -> bool:
        """Whether the balancer reports not ready."""
        return self.not_ready_at is not None

    def advance(
        self, peers: Collection[Peer], *, received_at: float, now: float
    ) -> bool:
        """Starts to report not ready if peers allow it; returns whether to exit.

        Args:
            peers: The other balancers of the failure domain.
            received_at: Time of the last packet of a caller, seconds.
            now: Clock reading, seconds.

        Returns:
            Whether the process may exit now.
        """
        end_by = self.started_at + self.leave_seconds - CLEANUP_SECONDS
        if self.not_ready_at is None:
            must_begin = now >= end_by - ROTATION_REMOVAL_SECONDS
            self.rotation = _rotation_of(peers, now=now)
            if must_begin or self.rotation.can_spare_one:
                self.not_ready_at = now
            return False
        if now >= end_by:
            return True
        out_of_rotation_at = self.not_ready_at + ROTATION_REMOVAL_SECONDS
        return now >= max(out_of_rotation_at, received_at + QUIET_SECONDS)


def _rotation_of(peers: Collection[Peer], *, now: float) -> Rotation:
    unavailable = tuple(
        peer.member.member_id
        for peer in peers
        if peer.member.state is not MemberState.READY or peer.is_unresponsive(now=now)
    )
    return Rotation(len(peers) - len(unavailable), unavailable)
