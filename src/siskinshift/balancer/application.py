"""The balancer: takes datagrams of the fabric and passes each to an agent."""

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


# A fabric that still knows this balancer sends within a second under any load.
QUIET_SECONDS = 1.0
LEAVE_SECONDS_MAXIMUM = 30.0


class BalancerApplication(NodeApplication):
    """One entry instance."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(
            settings, role=Role.BALANCER, state=MemberState.READY, weight=FULL_WEIGHT
        )
        self._chooser = AgentChooser()
        self._view_version = 0
        self._received_at = monotonic_clock()
        self._operators: OperatorsServer | None = None
        self._store = EtcdStore(settings.kv)
        self._reader = ConfigurationReader(
            settings=settings.kv,
            store=self._store,
            member=self.member,
            on_services=self._take_services,
            on_entry_slot=self._announce_entry_slot,
            spawn=self.spawn,
        )

    def on_start(self) -> None:
        """Opens the control server and starts forwarding."""
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
        self.add_cleanup(self._operators.stop)
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
