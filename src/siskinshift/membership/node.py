"""Runs the membership protocol of one process on real clocks, threads and HTTP."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING

from siskinshift.configuration.table import ServiceTable
from siskinshift.control.client import ControlClient
from siskinshift.membership.actions import PATHS_BY_MESSAGE_TYPE
from siskinshift.membership.actions import Call
from siskinshift.membership.agent import AgentMembership
from siskinshift.membership.balancer import BalancerMembership
from siskinshift.membership.peer_tasks import PeerTasks
from siskinshift.membership.peer_tasks import send_call
from siskinshift.membership.view_holder import ViewHolder
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.membership import Heartbeat
from siskinshift.runtime.counters import Counters


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.control.server import ControlRoutes
    from siskinshift.core.clocks import Clock
    from siskinshift.core.keyring import KeyRing
    from siskinshift.membership.actions import Message
    from siskinshift.membership.actions import Reply
    from siskinshift.membership.participant import Participant
    from siskinshift.messages.core import Member
    from siskinshift.runtime.application import Application


MAX_WAIT_SECONDS = 0.2
# Least interval between two views. A change after a longer pause is published at once;
# in a flood of changes the interval limits the cost of building views.
VIEW_INTERVAL_SECONDS = 0.25
# A process that leaves notifies its watchers, but doesn't wait for failed ones.
LEAVE_TIMEOUT_SECONDS = 0.1


class MembershipNode:
    """Runs membership for one process.

    Attributes:
        views: Holder of the current view.
        services: Configuration of the process.
        counters: Messages sent, received and failed.
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
        """Initializes the node and registers its message handlers.

        Args:
            application: Application that runs the node's threads.
            member: Initial state of the process.
            routes: Where message handlers are registered.
            key_ring: Keys of the deployment.
            clock: Clock of the process.
        """
        self.views = ViewHolder()
        self.services = ServiceTable()
        self.counters = Counters()
        self._application = application
        self._settings = application.settings.membership
        self._key_ring = key_ring
        self._clock = clock
        self._condition = threading.Condition()
        self._is_notified = False
        self._published_revision = -1
        self._next_publish_at = 0.0
        participant_class = (
            BalancerMembership if member.role is Role.BALANCER else AgentMembership
        )
        self._participant: Participant = participant_class(
            own=member,
            services=self.services,
            settings=self._settings,
            random=Random(f"{member.member_id} {member.incarnation}"),
        )
        self._tasks = PeerTasks(
            application=application,
            key_ring=key_ring,
            timeout=self._settings.call_timeout,
            on_result=self._on_result,
        )
        for message_type, path in PATHS_BY_MESSAGE_TYPE.items():
            routes.route(path, message_type)(self._handler(path))

    @property
    def own(self) -> Member:
        """State that this process announces of itself."""
        return self._participant.own

    def start(self) -> None:
        """Starts the task that sends messages when they are due."""
        self._application.add_cleanup(self._announce_shutdown)
        self._application.spawn(self._run)

    def change_own(self, *, state: MemberState, weight: int) -> None:
        """Changes the state that this process announces of itself.

        Args:
            state: New state.
            weight: New weight, 0 to 1000.
        """
        with self._condition:
            self._participant.change_own(state=state, weight=weight, now=self._clock())
            self._notify()

    def announce_entry_slot(self, revision: int) -> None:
        """Announces the entry slot that this balancer claimed or lost.

        Args:
            revision: Revision at which it was claimed; 0 once it is lost.
        """
        with self._condition:
            own = self._participant.own
            self._participant.change_own(
                state=own.state,
                weight=own.weight,
                now=self._clock(),
                entry_slot=revision,
            )
            self._notify()

    def publish_merged_services(self) -> None:
        """Publishes configuration that was merged into `services`, also to peers."""
        with self._condition:
            self._participant.publish_merged_services(now=self._clock())
            self._notify()

    def _handler(self, path: str) -> Callable[[Message], Reply]:
        name = f"received{path.replace('/', '.')}"

        def handle(message: Message) -> Reply:
            self.counters.add(name)
            with self._condition:
                revision = self._participant.table.revision
                reply = self._participant.handle(message, now=self._clock())
                if self._participant.table.revision != revision:
                    self._notify()
            return reply

        return handle

    def _run(self) -> None:
        while not self._application.stopping.is_set():
            with self._condition:
                now = self._clock()
                calls = self._participant.due(now)
                due_at = self._participant.next_due()
            for call in calls:
                self._tasks.send(call)
            publish_at = self._publish()
            with self._condition:
                pause = min(due_at, publish_at) - self._clock()
                if not self._is_notified and pause > 0:
                    self._condition.wait(min(pause, MAX_WAIT_SECONDS))
                self._is_notified = False

    def _notify(self) -> None:
        self._is_notified = True
        self._condition.notify_all()

    def _on_result(self, call: Call, reply: Reply | None) -> None:
        self.counters.add("calls.failed" if reply is None else "calls.answered")
        with self._condition:
            now = self._clock()
            if reply is None:
                self._participant.on_failure(call, now=now)
                following = []
            else:
                following = self._participant.on_reply(call, reply, now=now)
            self._notify()
        for next_call in following:
            self._tasks.send(next_call)

    def _publish(self) -> float:
        """Publishes a view after a change; called by the running task only.

        Returns:
            When to call this method again, clock reading in seconds.
        """
        with self._condition:
            now = self._clock()
            revision = self._participant.table.revision
            if revision == self._published_revision:
                return float("inf")
            if now < self._next_publish_at:
                return self._next_publish_at
            members = tuple(self._participant.table.members_by_id.values())
            services = tuple(self.services.services_by_id.values())
        # Listeners run without the lock, since they may call methods of the node.
        self.views.publish(services, members)
        self._published_revision = revision
        self._next_publish_at = self._clock() + VIEW_INTERVAL_SECONDS
        return float("inf")

    def _announce_shutdown(self) -> None:
        """Notifies the watchers of the end of this process.

        Otherwise they would detect it only by their failure timeout.
        """
        if self._application.is_aborted:
            return
        with self._condition:
            self._participant.change_own(
                state=MemberState.GONE, weight=0, now=self._clock()
            )
            own = self._participant.own
            watchers = self._participant.watchers
        heartbeat = Heartbeat(
            member_id=own.member_id,
            incarnation=own.incarnation,
            version=own.version,
            member=own,
        )
        for endpoint in watchers:
            client = ControlClient(
                endpoint=endpoint,
                key_ring=self._key_ring,
                timeout=LEAVE_TIMEOUT_SECONDS,
            )
            reply = send_call(client, Call(endpoint, heartbeat))
            self.counters.add("leave.told" if reply is not None else "leave.failed")
            client.close()
