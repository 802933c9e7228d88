"""Agent process that owns the flows of the upstream on its instance."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING

from siskinshift.agent.datagram_flows import DatagramFlows
from siskinshift.agent.handover import RequestHandover
from siskinshift.agent.life_cycle import AgentLifeCycle
from siskinshift.agent.request_flows import RequestFlows
from siskinshift.agent.request_runner import RequestRunner
from siskinshift.agent.service_refusals import ServiceRefusals
from siskinshift.agent.upstream_connections import UpstreamConnections
from siskinshift.core.clocks import monotonic_clock
from siskinshift.core.errors import ErrorKind
from siskinshift.core.packets import Packet
from siskinshift.core.views import is_drained
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.flows.actions import ForwardToAgent
from siskinshift.flows.actions import SendNotes
from siskinshift.flows.notes_sender import NotesSender
from siskinshift.flows.router import FlowRouter
from siskinshift.load.gate import LoadGate
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.messages.core import ServiceMode
from siskinshift.runtime.node_application import NodeApplication
from siskinshift.wire.exceptions import WireError


if TYPE_CHECKING:
    from siskinshift.core.views import View
    from siskinshift.flows.actions import FlowAction
    from siskinshift.messages.flows import FlowNotes
    from siskinshift.settings.generated import Settings


TICK_SECONDS = 0.05


class AgentApplication(NodeApplication):
    """Serves the flows and requests of one upstream."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(
            settings,
            role=Role.AGENT,
            state=MemberState.JOINING,
            weight=0,
            upstream_class=settings.agent.upstream_class,
            slots=settings.agent.slots,
        )
        node = settings.node
        self._lock = threading.Lock()
        self._router = FlowRouter(
            member_id=node.node_id,
            incarnation=self.incarnation,
            settings=settings.flows,
        )
        self._life_cycle = AgentLifeCycle(settings.flows)
        self._flows = DatagramFlows(
            upstream=settings.agent.upstream_endpoint,
            idle_timeout=settings.agent.flow_idle_timeout,
            clock=monotonic_clock,
            send_reply=self._send_reply,
            on_flow_end=self._on_flow_end,
        )
        self._connections = UpstreamConnections(settings.agent.upstream_endpoint)
        self._runner = RequestRunner(
            gate=LoadGate(
                member_id=node.node_id,
                incarnation=self.incarnation,
                slots=settings.agent.slots,
                ramp_duration=settings.flows.ramp_duration,
                settings=settings.load,
                random=Random(),
                now=monotonic_clock(),
            ),
            connections=self._connections,
            max_requests=settings.agent.connections,
            spawn=self.spawn,
            clock=monotonic_clock,
            telemetry=self.telemetry,
            is_leaving=lambda: self._life_cycle.redirects_callers(
                now=monotonic_clock()
            ),
        )
        self._refusals = ServiceRefusals()
        self._request_flows = RequestFlows(
            settings=settings.agent,
            runner=self._runner,
            refusals=self._refusals,
            spawn=self.spawn,
            clock=monotonic_clock,
            counters=self.counters,
            send_reply=self._send_reply,
            on_flow_end=self._on_flow_end,
        )
        self._handover = RequestHandover(
            member_id=node.node_id,
            upstream_class=settings.agent.upstream_class,
            runner=self._runner,
            routes=self.routes,
            key_ring=self.key_ring,
            spawn=self.spawn,
            clock=monotonic_clock,
            counters=self.counters,
            random=Random(),
        )
        self._notes_sender = NotesSender(
            application=self,
            routes=self.routes,
            key_ring=self.key_ring,
            clock=monotonic_clock,
            on_notes=self._on_notes,
        )

    def on_start(self) -> None:
        """Opens the control server, joins membership and starts to accept flows."""
        self.add_cleanup(self._flows.close)
        self.add_cleanup(self._connections.close)
        self.add_cleanup(self._handover.close)
        self.open_node()
        self.membership.views.subscribe(self._on_view)
        self.membership.start()
        self.spawn(self.data_socket.receive_until, self.stopping, self._on_datagram)
        self.spawn(self._flows.relay_until, self.stopping)
        self.run_every(TICK_SECONDS, self._tick)

    def on_stop(self) -> None:
        """Closes the connections of callers and cancels exchanges with the upstream."""
        self._request_flows.close(is_abrupt=self.is_aborted)
        self._runner.cancel_all()
        self._handover.cancel_all()

    def drain(self) -> None:
        """Moves buckets to peers and refuses new flows; owned flows are kept."""
        self._life_cycle.drain(now=monotonic_clock())
        self._runner.refuse_peer_requests()

    def leave(self, stop_now: threading.Event) -> None:
        """Drains and waits for open flows and requests, up to the drain timeout.

        Args:
            stop_now: Ends the wait when set.
        """
        self.drain()
        deadline = monotonic_clock() + self.settings.agent.drain_timeout
        while not self._is_drain_complete() and monotonic_clock() < deadline:
            if stop_now.wait(TICK_SECONDS):
                return

    def _is_drain_complete(self) -> bool:
        open_count = len(self._flows) + len(self._request_flows) + len(self._runner)
        open_count += len(self._handover)
        return open_count == 0 and self._life_cycle.is_draining_announced

    def _advance_life_cycle(self) -> None:
        announced = self._life_cycle.step(
            now=monotonic_clock(), has_service=self._has_own_service()
        )
        if announced is not None:
            self.membership.change_own(state=announced.state, weight=announced.weight)
        if self._life_cycle.redirects_callers(now=monotonic_clock()):
            self._request_flows.drain()
            self._runner.drain()
        elif self._is_drained_by_operators():
            self._request_flows.drain()
        else:
            self._request_flows.resume()

    def _has_own_service(self) -> bool:
        # Without configuration and peers the agent would open new flows for packets
        # that belong to flows of other agents.
        upstream_class = self.settings.agent.upstream_class
        view = self.membership.views.current
        return any(
            service.upstream_class == upstream_class
            for service in view.services_by_id.values()
        )

    def _is_drained_by_operators(self) -> bool:
        settings = self.settings
        return any(
            is_drained(service, self.membership.own)
            for service in self.membership.views.current.services_by_id.values()
            if service.upstream_class == settings.agent.upstream_class
        )

    def _on_view(self, view: View) -> None:
        self._handover.update(view)
        for service in view.services_by_id.values():
            # Adds idle agents to the imbalance metric.
            if service.upstream_class == self.settings.agent.upstream_class:
                self.telemetry.record_slot_time(service.service_id, seconds=0.0)
        self._runner.update(view, upstream_class=self.settings.agent.upstream_class)
        # Before the router, which may create flows whose requests must be refused.
        self._refusals.update(view, self.membership.own)
        with self._lock:
            actions = self._router.update(view, now=monotonic_clock())
        self._execute(actions)

    def _on_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            envelope = self.codec.unpack_envelope(datagram)
        except WireError as error:
            self.drops.record(error.kind, host=source[0], port=source[1])
            return
        if envelope.hop_count > self.settings.flows.max_hops:
            self.drops.record(ErrorKind.HOP_LIMIT, host=source[0], port=source[1])
            return
        with self._lock:
            actions = self._router.on_envelope(envelope, now=monotonic_clock())
        self._execute(actions)

    def _tick(self) -> None:
        with self._lock:
            actions = self._router.tick(now=monotonic_clock())
        self._execute(actions)
        self._runner.tick()
        self._flows.close_idle()
        self._advance_life_cycle()

    def _on_notes(self, notes: FlowNotes) -> None:
        with self._lock:
            actions = self._router.on_notes(notes, now=monotonic_clock())
        self._execute(actions)

    def _on_flow_end(self, flow_hash: int) -> None:
        with self._lock:
            service_id = self._router.service_of(flow_hash)
            actions = self._router.on_flow_ended(flow_hash, now=monotonic_clock())
        if service_id:
            # Flows that remain when the process stops are broken.
            self.telemetry.record_flow(service_id, broken=self.stopping.is_set())
        self._execute(actions)

    def _execute(self, actions: list[FlowAction]) -> None:
        for action in actions:
            if isinstance(action, DeliverToFlow):
                self.counters.add("flows.opened", int(action.is_new))
                self._deliver(action)
            elif isinstance(action, ForwardToAgent):
                self.counters.add("forwarded")
                datagram = self.codec.pack_envelope(action.envelope)
                self.data_socket.send(datagram, action.agent.data)
            elif isinstance(action, SendNotes):
                self._notes_sender.send(action)
            elif isinstance(action, DropEnvelope):
                self.drops.record(action.error)

    def _deliver(self, action: DeliverToFlow) -> None:
        view = self.membership.views.current
        service = view.services_by_id.get(action.service_id)
        if service is None:
            self.drops.record(ErrorKind.UNKNOWN_ADDRESS)
        elif service.mode is ServiceMode.REQUEST:
            self._request_flows.deliver(action.flow_hash, service, action.packet)
        else:
            self._flows.deliver(action.flow_hash, action.packet)

    def _send_reply(self, packet: Packet) -> None:
        reply = Packet(
            caller=packet.service_address,
            service_address=packet.caller,
            payload=packet.payload,
        )
        datagram = self.codec.pack(reply)
        self.data_socket.send(datagram, self.settings.agent.fabric_return)
