"""The balancer: takes datagrams of the fabric and passes each to an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.configuration.reader import TICK_SECONDS
from siskinshift.configuration.reader import ConfigurationReader
from siskinshift.configuration.store import ConfigurationStore
from siskinshift.control.server import ControlRoutes
from siskinshift.control.server import ControlServer
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.clocks import unix_milliseconds
from siskinshift.core.keyring import KeyRing
from siskinshift.core.packets import Envelope
from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.guard import CallClass
from siskinshift.membership.node import MembershipNode
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.observability.telemetry import Telemetry
from siskinshift.routing.chooser import AgentChooser
from siskinshift.routing.chooser import DropPacket
from siskinshift.runtime.application import Application
from siskinshift.runtime.datagrams import DatagramSocket
from siskinshift.runtime.drops import DropRecorder
from siskinshift.wire.codec import EnvelopeCodec
from siskinshift.wire.exceptions import WireError


if TYPE_CHECKING:
    import threading

    from siskinshift.api.server import OperatorsServer
    from siskinshift.core.views import View
    from siskinshift.messages.core import Service
    from siskinshift.settings.generated import Settings


# A fabric that still knows this balancer sends within a second under any load.
QUIET_SECONDS = 1.0
LEAVE_SECONDS_MAXIMUM = 30.0


class BalancerApplication(Application):
    """One entry instance.

    Attributes:
        counters: What happened to datagrams.
        membership: The balancer's part in membership.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        node = settings.node
        self._telemetry = Telemetry(settings, clock=monotonic_clock)
        self.counters = self._telemetry.counters
        key_ring = KeyRing(settings.keys)
        self._codec = EnvelopeCodec(key_ring)
        self._chooser = AgentChooser()
        self._view_version = 0
        self._received_at = monotonic_clock()
        self._drops = DropRecorder(part="balancer", counters=self.counters)
        self._operators: OperatorsServer | None = None
        self._socket = DatagramSocket(node.data_endpoint)
        routes = ControlRoutes()
        self._server = ControlServer(
            endpoint=node.control_endpoint,
            routes=routes,
            key_ring=key_ring,
            executor=self.executor,
        )
        member = Member(
            member_id=node.node_id,
            role=Role.BALANCER,
            incarnation=unix_milliseconds(),
            version=1,
            state=MemberState.READY,
            region=node.region,
            failure_domain=node.failure_domain,
            control=node.control_endpoint,
            data=self._socket.endpoint,
        )
        self._store = EtcdStore(settings.kv)
        self._reader = ConfigurationReader(
            settings=settings.kv,
            store=self._store,
            member=member,
            on_services=self._take_services,
            on_entry_slot=self._announce_entry_slot,
            spawn=self.spawn,
        )
        self.membership = MembershipNode(
            application=self,
            member=member,
            routes=routes,
            key_ring=key_ring,
            clock=monotonic_clock,
        )

    def on_start(self) -> None:
        """Opens the control server and starts forwarding."""
        self._telemetry.start()
        self.owns(self._telemetry.stop)
        self.owns(self._socket.close)
        self.owns(self._server.server_close)
        self.owns(self._server.close_connections)
        self.owns(self._server.shutdown)
        self.spawn(self._server.serve_forever, 0.1)
        self.membership.views.subscribe(self._on_view)
        self.membership.start()
        self._start_reader()
        self.spawn(self._socket.receive_until, self.stopping, self._on_datagram)
        self._start_operators_api()

    def _start_reader(self) -> None:
        if not self.settings.kv.endpoints:
            return
        self.membership.views.subscribe(self._reader.update)
        self.owns(self._reader.stop)
        self.every(TICK_SECONDS, self._reader.step)

    @property
    def operators_ports(self) -> list[int]:
        """Ports of the operators' API; empty while it is not served."""
        return self._operators.ports if self._operators else []

    def _start_operators_api(self) -> None:
        if not self.settings.api.endpoints:
            return
        # Imported here: the library costs tens of megabytes resident, and only the
        # balancers that serve the API need it.
        from siskinshift.api.server import OperatorsServer
        from siskinshift.api.service import OperatorsService

        store = self._store.shared_with(CallClass.OPERATOR)
        service = OperatorsService(
            settings=self.settings,
            store=ConfigurationStore(store),
            membership=self.membership,
            store_available=lambda: store.available,
        )
        self._operators = OperatorsServer(self.settings.api, service)
        self.owns(self._operators.stop)
        self._operators.start()

    def leave(self, at_once: threading.Event) -> None:
        """Goes on forwarding until the fabric has stopped to send.

        No flow depends on a balancer; only datagrams on their way here would be cut.

        Args:
            at_once: Ends the wait when set.
        """
        self.membership.change_own(state=MemberState.DRAINING, weight=0)
        until = monotonic_clock() + LEAVE_SECONDS_MAXIMUM
        while monotonic_clock() < min(until, self._received_at + QUIET_SECONDS):
            if at_once.wait(QUIET_SECONDS / 10):
                return

    def _on_view(self, view: View) -> None:
        self._chooser.update(view)
        self._view_version = view.version

    def _announce_entry_slot(self, revision: int) -> None:
        self.counters.add("kv.entry_slot_taken" if revision else "kv.entry_slot_lost")
        if not self.stopping.is_set():
            self.membership.announce_entry_slot(revision)

    def _take_services(self, services: list[Service]) -> None:
        if self.membership.services.merge_all(services):
            self.membership.services_changed()

    def _on_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        self._received_at = monotonic_clock()
        try:
            packet = self._codec.unpack(datagram)
        except WireError as error:
            self._drops.dropped(error.kind, host=source[0], port=source[1])
            return
        choice = self._chooser.choose(packet)
        if isinstance(choice, DropPacket):
            self._drops.dropped(choice.error, caller=packet.caller.host)
            return
        envelope = Envelope(packet=packet, view_version=self._view_version)
        self._socket.send(self._codec.pack_envelope(envelope), choice.agent.data)
        self.counters.add("forwarded")
