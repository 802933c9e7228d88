"""The agent: owns the flows of the upstream it stands beside."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from siskinshift.agent.datagram_flows import DatagramFlows
from siskinshift.control.server import ControlRoutes
from siskinshift.control.server import ControlServer
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.clocks import unix_milliseconds
from siskinshift.core.keyring import KeyRing
from siskinshift.core.packets import Packet
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.flows.actions import ForwardToAgent
from siskinshift.flows.actions import SendNotes
from siskinshift.flows.courier import NotesCourier
from siskinshift.flows.router import FlowRouter
from siskinshift.membership.node import MembershipNode
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.runtime.application import Application
from siskinshift.runtime.counters import Counters
from siskinshift.runtime.datagrams import DatagramSocket
from siskinshift.wire.codec import EnvelopeCodec
from siskinshift.wire.exceptions import WireError


if TYPE_CHECKING:
    from siskinshift.core.views import View
    from siskinshift.flows.actions import FlowAction
    from siskinshift.messages.flows import FlowNotes
    from siskinshift.settings.generated import Settings


FULL_WEIGHT = 1000
TICK_SECONDS = 0.05


class AgentApplication(Application):
    """The process beside one upstream.

    Attributes:
        counters: What happened to datagrams.
        membership: The agent's part in membership.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        node = settings.node
        self.counters = Counters()
        key_ring = KeyRing(settings.keys)
        self._codec = EnvelopeCodec(key_ring)
        self._lock = threading.Lock()
        incarnation = unix_milliseconds()
        self._router = FlowRouter(
            member_id=node.node_id, incarnation=incarnation, settings=settings.flows
        )
        self._socket = DatagramSocket(node.data_endpoint)
        self._flows = DatagramFlows(
            upstream=settings.agent.upstream_endpoint,
            idle_timeout=settings.agent.flow_idle_timeout,
            clock=monotonic_clock,
            send_answer=self._send_answer,
            on_flow_end=self._on_flow_end,
        )
        routes = ControlRoutes()
        self._courier = NotesCourier(
            application=self,
            routes=routes,
            key_ring=key_ring,
            clock=monotonic_clock,
            on_notes=self._on_notes,
        )
        self._server = ControlServer(
            endpoint=node.control_endpoint,
            routes=routes,
            key_ring=key_ring,
            executor=self.executor,
        )
        member = Member(
            member_id=node.node_id,
            role=Role.AGENT,
            incarnation=incarnation,
            version=1,
            state=MemberState.READY,
            region=node.region,
            failure_domain=node.failure_domain,
            control=node.control_endpoint,
            data=self._socket.endpoint,
            upstream_class=settings.agent.upstream_class,
            weight=FULL_WEIGHT,
            slots=settings.agent.slots,
        )
        self.membership = MembershipNode(
            application=self,
            member=member,
            routes=routes,
            key_ring=key_ring,
            clock=monotonic_clock,
        )

    def on_start(self) -> None:
        """Opens the control server and starts to take flows."""
        self.owns(self._socket.close)
        self.owns(self._flows.close)
        self.owns(self._server.server_close)
        self.owns(self._server.close_connections)
        self.owns(self._server.shutdown)
        self.spawn(self._server.serve_forever, 0.1)
        self.membership.views.subscribe(self._on_view)
        self.membership.start()
        self.spawn(self._socket.receive_until, self.stopping, self._on_datagram)
        self.spawn(self._flows.relay_until, self.stopping)
        self.every(TICK_SECONDS, self._tick)

    def drain(self) -> None:
        """Takes no new flows; owned flows go on."""
        self.membership.change_own(state=MemberState.DRAINING, weight=0)

    def _on_view(self, view: View) -> None:
        with self._lock:
            actions = self._router.update(view, now=monotonic_clock())
        self._carry_out(actions)

    def _on_datagram(self, datagram: bytes, _source: tuple[str, int]) -> None:
        try:
            envelope = self._codec.unpack_envelope(datagram)
        except WireError as error:
            self.counters.add(f"dropped.{error.code}")
            return
        with self._lock:
            actions = self._router.on_envelope(envelope, now=monotonic_clock())
        self._carry_out(actions)

    def _tick(self) -> None:
        with self._lock:
            actions = self._router.tick(now=monotonic_clock())
        self._carry_out(actions)
        self._flows.close_idle()

    def _on_notes(self, notes: FlowNotes) -> None:
        with self._lock:
            actions = self._router.on_notes(notes, now=monotonic_clock())
        self._carry_out(actions)

    def _on_flow_end(self, digest: int) -> None:
        with self._lock:
            actions = self._router.flow_ended(digest, now=monotonic_clock())
        self._carry_out(actions)

    def _carry_out(self, actions: list[FlowAction]) -> None:
        for action in actions:
            if isinstance(action, DeliverToFlow):
                self.counters.add("flows.opened", int(action.is_new))
                self._flows.deliver(action.flow_hash, action.packet)
            elif isinstance(action, ForwardToAgent):
                self.counters.add("forwarded")
                datagram = self._codec.pack_envelope(action.envelope)
                self._socket.send(datagram, action.agent.data)
            elif isinstance(action, SendNotes):
                self._courier.send(action)
            elif isinstance(action, DropEnvelope):
                self.counters.add(f"dropped.{action.error.value}")

    def _send_answer(self, packet: Packet) -> None:
        answer = Packet(
            caller=packet.service_address,
            service_address=packet.caller,
            payload=packet.payload,
        )
        datagram = self._codec.pack(answer)
        self._socket.send(datagram, self.settings.agent.fabric_return)
