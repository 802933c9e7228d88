"""A process's part in membership: announces itself, hears others, keeps the view."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs

from siskinshift.configuration.table import ServiceTable
from siskinshift.control.client import ControlClient
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.membership.table import MemberTable
from siskinshift.membership.view_holder import ViewHolder
from siskinshift.messages.membership import Heartbeat
from siskinshift.messages.membership import HeartbeatReply


if TYPE_CHECKING:
    from siskinshift.control.server import ControlRoutes
    from siskinshift.core.clocks import Clock
    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import MemberState
    from siskinshift.runtime.application import Application


HEARTBEAT_PATH = "/v1/heartbeat"


class MembershipNode:
    """Runs membership for one process.

    Attributes:
        views: Where the current view is.
        services: Configuration held.
    """

    def __init__(
        self,
        *,
        application: Application,
        member: Member,
        routes: ControlRoutes,
        key_ring: KeyRing,
        clock: Clock,
    ) -> None:
        """Prepares the node.

        Args:
            application: Owner of threads.
            member: The process's own state to begin with.
            routes: Where message handlers are registered.
            key_ring: Keys of the deployment.
            clock: Clock of the process.
        """
        self.views = ViewHolder()
        self.services = ServiceTable()
        self._application = application
        self._settings = application.settings.membership
        self._clock = clock
        self._lock = threading.Lock()
        self._own = member
        self._table = MemberTable()
        self._table.merge(member)
        self._published = (-1, -1)
        self._clients = [
            ControlClient(
                endpoint=seed,
                key_ring=key_ring,
                timeout=self._settings.heartbeat_interval,
            )
            for seed in self._settings.seeds
            if seed != member.control
        ]
        routes.handles(HEARTBEAT_PATH, Heartbeat)(self._on_heartbeat)

    def start(self) -> None:
        """Starts one task for each seed and one that watches for silence."""
        interval = self._settings.heartbeat_interval
        for client in self._clients:
            self._application.owns(client.close)
            self._application.spawn(self._announce_until_stopped, client)
        self._application.every(interval / 2, self._expire)

    def change_own(self, *, state: MemberState, weight: int) -> None:
        """Changes what this process says of itself.

        Args:
            state: New state.
            weight: New weight, 0 to 1000.
        """
        with self._lock:
            version = self._own.version + 1
            self._own = attrs.evolve(
                self._own, state=state, weight=weight, version=version
            )
            self._table.merge(self._own)
            self._publish()

    def services_changed(self) -> None:
        """Publishes a view after the configuration changed."""
        with self._lock:
            self._publish()

    def _announce_until_stopped(self, client: ControlClient) -> None:
        while not self._application.stopping.is_set():
            self._announce(client)
            self._application.stopping.wait(self._settings.heartbeat_interval)

    def _announce(self, client: ControlClient) -> None:
        with self._lock:
            heartbeat = Heartbeat(member=self._own)
        try:
            reply = client.call(HEARTBEAT_PATH, heartbeat, HeartbeatReply)
        except (PeerUnreachableError, BadMessageError):
            return
        with self._lock:
            for member in reply.members:
                self._merge(member)
            for service in reply.services:
                self.services.merge(service)
            self._publish()

    def _on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        with self._lock:
            self._table.heard(heartbeat.member, now=self._clock())
            self._publish()
            return HeartbeatReply(
                members=tuple(self._table.members_by_id.values()),
                services=tuple(self.services.services_by_id.values()),
            )

    def _merge(self, member: Member) -> None:
        if member.member_id != self._own.member_id:
            self._table.merge(member)
            return
        if member.version <= self._own.version or member.state is self._own.state:
            return
        # A peer believes this process gone: speak up with a higher version.
        self._own = attrs.evolve(self._own, version=member.version + 1)
        self._table.merge(self._own)

    def _expire(self) -> None:
        with self._lock:
            self._table.expire(silence=self._settings.gone_after, now=self._clock())
            self._publish()

    def _publish(self) -> None:
        state = (self._table.revision, self.services.generation)
        if state == self._published:
            return
        self._published = state
        self.views.publish(
            self.services.services_by_id.values(),
            self._table.members_by_id.values(),
        )
