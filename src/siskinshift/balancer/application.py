"""Balancer process that forwards each datagram of the fabric to an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.configuration.reader import TICK_SECONDS
from siskinshift.configuration.reader import ConfigurationReader
from siskinshift.configuration.store import ConfigurationStore
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.members import FULL_WEIGHT
from siskinshift.core.packets import Envelope
from siskinshift.kv.etcd import EtcdStore
from siskinshift.kv.guard import CallClass
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.routing.chooser import AgentChooser
from siskinshift.routing.chooser import DropPacket
from siskinshift.runtime.node_application import NodeApplication
from siskinshift.wire.exceptions import WireError


if TYPE_CHECKING:
    import threading

    from siskinshift.api.server import OperatorsServer
    from siskinshift.core.views import View
    from siskinshift.messages.core import Service
    from siskinshift.settings.generated import Settings


# A fabric that still routes to this balancer sends within 1 s under any load.
QUIET_SECONDS = 1.0
MAX_LEAVE_SECONDS = 30.0


class BalancerApplication(NodeApplication):
    """Forwards datagrams, reads the configuration and serves the operators' API."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(
            settings, role=Role.BALANCER, state=MemberState.READY, weight=FULL_WEIGHT
        )
        self._chooser = AgentChooser()
        self._view_version = 0
        self._last_received_at = monotonic_clock()
        self._operators_server: OperatorsServer | None = None
        self._store = EtcdStore(settings.kv)
        self._reader = ConfigurationReader(
            settings=settings.kv,
            store=self._store,
            member=self.member,
            on_services=self._apply_services,
            on_entry_slot=self._announce_entry_slot,
            spawn=self.spawn,
        )

    def on_start(self) -> None:
        """Opens the control server, joins membership and starts forwarding."""
        self.open_node()
        self.membership.views.subscribe(self._on_view)
        self.membership.start()
        self._start_reader()
        self.spawn(self.data_socket.receive_until, self.stopping, self._on_datagram)
        self._start_operators_api()

    def _start_reader(self) -> None:
        if not self.settings.kv.endpoints:
            return
        self.membership.views.subscribe(self._reader.update)
        self.add_cleanup(self._reader.stop)
        self.run_every(TICK_SECONDS, self._reader.step)

    @property
    def operators_ports(self) -> list[int]:
        """Ports of the operators' API; empty while it is not served."""
        return self._operators_server.ports if self._operators_server else []

    def _start_operators_api(self) -> None:
        if not self.settings.api.endpoints:
            return
        # Imported here: the library adds tens of megabytes of resident memory, and only
        # balancers that serve the API need it.
        from siskinshift.api.server import OperatorsServer
        from siskinshift.api.service import OperatorsService

        store = self._store.with_call_class(CallClass.OPERATOR)
        service = OperatorsService(
            settings=self.settings,
            store=ConfigurationStore(store),
            membership=self.membership,
            store_available=lambda: store.is_available,
        )
        self._operators_server = OperatorsServer(self.settings.api, service)
        self.add_cleanup(self._operators_server.stop)
        self._operators_server.start()

    def leave(self, stop_now: threading.Event) -> None:
        """Continues forwarding until the fabric has stopped sending.

        No flow depends on a balancer. Stopping earlier would only lose datagrams in
        flight to it.

        Args:
            stop_now: Ends the wait when set.
        """
        self.membership.change_own(state=MemberState.DRAINING, weight=0)
        deadline = monotonic_clock() + MAX_LEAVE_SECONDS
        while monotonic_clock() < min(deadline, self._last_received_at + QUIET_SECONDS):
            if stop_now.wait(QUIET_SECONDS / 10):
                return

    def _on_view(self, view: View) -> None:
        self._chooser.update(view)
        self._view_version = view.version

    def _announce_entry_slot(self, revision: int) -> None:
        self.counters.add("kv.entry_slot_taken" if revision else "kv.entry_slot_lost")
        if not self.stopping.is_set():
            self.membership.announce_entry_slot(revision)

    def _apply_services(self, services: list[Service]) -> None:
        if self.membership.services.merge_all(services):
            self.membership.publish_merged_services()

    def _on_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        self._last_received_at = monotonic_clock()
        try:
            packet = self.codec.unpack(datagram)
        except WireError as error:
            self.drops.record(error.kind, host=source[0], port=source[1])
            return
        choice = self._chooser.choose(packet)
        if isinstance(choice, DropPacket):
            self.drops.record(choice.error, caller=packet.caller.host)
            return
        envelope = Envelope(packet=packet, view_version=self._view_version)
        self.data_socket.send(self.codec.pack_envelope(envelope), choice.agent.data)
        self.counters.add("forwarded")
