"""Base class of balancers and agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.control.server import ControlRoutes
from siskinshift.control.server import ControlServer
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.clocks import unix_milliseconds
from siskinshift.core.keyring import KeyRing
from siskinshift.membership.node import MembershipNode
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.observability.telemetry import Telemetry
from siskinshift.runtime.application import Application
from siskinshift.runtime.datagrams import DatagramSocket
from siskinshift.runtime.drops import DropRecorder
from siskinshift.wire.codec import EnvelopeCodec


if TYPE_CHECKING:
    from siskinshift.messages.core import Role
    from siskinshift.settings.generated import Settings


ACCEPT_POLL_SECONDS = 0.1


class NodeApplication(Application):
    """Owns the sockets, the control server, telemetry and membership of a node.

    Attributes:
        telemetry: Metrics and logs of the node.
        counters: Counters of datagram events.
        key_ring: Keys of the deployment.
        codec: Encodes and decodes datagrams.
        drops: Counts and logs dropped datagrams.
        data_socket: Socket for forwarded datagrams.
        routes: Handlers of messages between processes; components register theirs.
        incarnation: Start time of this process, unix milliseconds.
        member: The node's initial state.
        membership: Membership protocol of the node.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        role: Role,
        state: MemberState,
        weight: int,
        upstream_class: str = "",
        slots: int = 1,
    ) -> None:
        """Binds the sockets.

        Args:
            settings: All settings of the process.
            role: Balancer or agent.
            state: Initial state.
            weight: Initial weight, 0 to 1000.
            upstream_class: Class of the upstream, for an agent.
            slots: Slots of the upstream, for an agent.
        """
        super().__init__(settings)
        node = settings.node
        self.telemetry = Telemetry(settings, clock=monotonic_clock)
        self.counters = self.telemetry.counters
        self.key_ring = KeyRing(settings.keys)
        self.codec = EnvelopeCodec(self.key_ring)
        self.drops = DropRecorder(component=role.value, counters=self.counters)
        self.data_socket = DatagramSocket(node.data_endpoint)
        self.routes = ControlRoutes()
        self._server = ControlServer(
            endpoint=node.control_endpoint,
            routes=self.routes,
            key_ring=self.key_ring,
            executor=self.executor,
        )
        self.incarnation = unix_milliseconds()
        self.member = Member(
            member_id=node.node_id,
            role=role,
            incarnation=self.incarnation,
            version=1,
            state=state,
            region=node.region,
            failure_domain=node.failure_domain,
            control=node.control_endpoint,
            data=self.data_socket.endpoint,
            upstream_class=upstream_class,
            weight=weight,
            slots=slots,
        )
        self.membership = MembershipNode(
            application=self,
            member=self.member,
            routes=self.routes,
            key_ring=self.key_ring,
            clock=monotonic_clock,
        )

    def open_node(self) -> None:
        """Starts telemetry and the control server and registers their cleanup."""
        self.telemetry.start()
        self.add_cleanup(self.telemetry.stop)
        self.add_cleanup(self.data_socket.close)
        self.add_cleanup(self._server.server_close)
        self.add_cleanup(self._server.close_connections)
        self.add_cleanup(self._server.shutdown)
        self.spawn(self._server.serve_forever, ACCEPT_POLL_SECONDS)
